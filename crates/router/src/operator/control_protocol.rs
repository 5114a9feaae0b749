//! The requests of the control socket. A request and its answer are one line of JSON each. The JSON names are
//! a fixed interface, because other programs write them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The new number of each changed policy key; `None` removes the key from the policy.
pub type PolicyChanges = BTreeMap<String, Option<f64>>;

/// A request of an operator to a running router.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlRequest {
    /// Returns the router's state in its fleet.
    Status,
    /// Returns the policy in force.
    Policy,
    /// Returns recent proposals and their outcomes.
    History,
    /// Returns the current quota of the router and of the fleet for each budget.
    #[serde(rename = "shares")]
    Quotas,
    /// Creates a new fleet with this router as its first member.
    #[serde(rename = "found")]
    Bootstrap {
        /// Changes to the initial policy, which is derived from the router's own settings.
        #[serde(default, rename = "like")]
        changes: PolicyChanges,
    },
    /// Proposes a change to the policy in force.
    Propose {
        /// The changes.
        changes: PolicyChanges,
        /// The generation that the changes are based on; `None` for the generation in force.
        #[serde(rename = "from")]
        base_generation: Option<u64>,
        /// The author of the proposal.
        #[serde(rename = "by")]
        author: String,
        /// A note for the history.
        note: String,
    },
    /// Reverts a change that is on probation.
    #[serde(rename = "undo")]
    Revert {
        /// The generation to revert; `None` for the generation in force.
        generation: Option<u64>,
        /// The author of the revert.
        #[serde(rename = "by")]
        author: String,
    },
    /// Withdraws a proposal that has not been decided yet.
    Withdraw {
        /// The generation of the proposal.
        generation: u64,
    },
    /// Removes a router from the fleet's member list after its process has ended.
    #[serde(rename = "forget")]
    RemoveMember {
        /// The name of the router to remove.
        name: String,
    },
    /// Returns the outcome of a proposal; null while the proposal is under way.
    #[serde(rename = "end")]
    Outcome {
        /// The proposal's token.
        token: u64,
    },
}

#[cfg(test)]
#[path = "../../tests/unit/control_protocol.rs"]
mod tests;
