//! Requests of the control socket: one line of JSON each way. The JSON names are fixed; other programs write
//! them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Numbers by the keys of the policy; none where a key is to be removed.
pub type PolicyChanges = BTreeMap<String, Option<f64>>;

/// What an operator requests of a running router.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlRequest {
    /// The state of the router in its fleet.
    Status,
    /// The policy in force.
    Policy,
    /// The last proposals and their outcomes.
    History,
    /// What the router and the fleet may spend of each budget.
    #[serde(rename = "shares")]
    Quotas,
    /// Start a fleet with this router.
    #[serde(rename = "found")]
    Bootstrap {
        /// Changes to the policy that follows from the router's own settings.
        #[serde(default, rename = "like")]
        changes: PolicyChanges,
    },
    /// Propose a change of the policy in force.
    Propose {
        /// The changes.
        changes: PolicyChanges,
        /// The generation that they were derived from; else the one in force.
        #[serde(rename = "from")]
        base_generation: Option<u64>,
        /// Who proposes it.
        #[serde(rename = "by")]
        author: String,
        /// A note for the history.
        note: String,
    },
    /// Revert a change that is on probation.
    #[serde(rename = "undo")]
    Revert {
        /// Its generation; else the one in force.
        generation: Option<u64>,
        /// Who reverts it.
        #[serde(rename = "by")]
        author: String,
    },
    /// Withdraw a proposal that is not decided yet.
    Withdraw {
        /// Its generation.
        generation: u64,
    },
    /// Remove a router from the member list whose process has ended.
    #[serde(rename = "forget")]
    RemoveMember {
        /// Its name.
        name: String,
    },
    /// The outcome of a proposal; null while it is under way.
    #[serde(rename = "end")]
    Outcome {
        /// The proposal's token.
        token: u64,
    },
}

#[cfg(test)]
#[path = "../../tests/unit/control_protocol.rs"]
mod tests;
