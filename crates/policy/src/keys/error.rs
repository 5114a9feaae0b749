//! The reasons for rejecting a policy. Operators read the error texts, and a router sends them to the leader
//! as its objection to a proposed policy.

use thiserror::Error;

/// The reason for rejecting a policy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PolicyError {
    /// The key is not declared.
    #[error("{key}: unknown key; `tindoor policy explain` lists all keys")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// The key names a request class that does not exist.
    #[error("{key}: no request class named {class:?} is configured")]
    UnknownClass {
        /// The key.
        key: String,
        /// The request class.
        class: String,
    },
    /// The number is outside the key's bounds.
    #[error("{key}: expected {min} to {max}, found {number}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its number.
        number: f64,
        /// The minimum number allowed.
        min: f64,
        /// The maximum number allowed.
        max: f64,
    },
    /// The number of the key must be whole.
    #[error("{key}: expected a whole number, found {number}")]
    NotWhole {
        /// The key.
        key: String,
        /// Its number.
        number: f64,
    },
    /// The latency objective of a request class exceeds its deadline.
    #[error(
        "offering.{class}.latency_goal_ms: expected at most {deadline} (offering.{class}.cut_off_ms), \
         found {objective}"
    )]
    ObjectiveOverDeadline {
        /// The request class.
        class: String,
        /// Its latency objective in milliseconds.
        objective: f64,
        /// Its deadline in milliseconds.
        deadline: f64,
    },
    /// Copies of a request class could be served after their purge is forgotten.
    #[error(
        "offering.{class}.fresh_ms: expected at most {remembered} (copies_gone_after_ms) together with \
         older_by_ms, found {max_served_age}; a copy could be served after its purge is forgotten"
    )]
    CopyOutlivesPurge {
        /// The request class.
        class: String,
        /// The maximum age of a copy that may be served, in milliseconds.
        max_served_age: f64,
        /// How long purges are remembered, in milliseconds.
        remembered: f64,
    },
    /// The key can be changed only at a restart, not while routers run.
    #[error(
        "{key}: can be changed only at a restart; expected the number with which the routers were started"
    )]
    FixedInService {
        /// The key.
        key: String,
    },
    /// A key that sets a setting of the decision library would be removed.
    #[error("{key}: can't be removed once it is set")]
    SettingRemoved {
        /// The key.
        key: String,
    },
    /// A key of a budget is set without the bound on the number of routers.
    #[error("{key}: needs budget.routers_most, from which the guaranteed minimums are computed")]
    WithoutMaxRouters {
        /// The key of the budget.
        key: String,
    },
    /// A rate is set without its burst.
    #[error("{key}: needs {burst_key}, the burst of this rate")]
    WithoutBurst {
        /// The key of the rate.
        key: String,
        /// The key of the burst.
        burst_key: String,
    },
    /// A burst is too small to be divided among the routers.
    #[error(
        "{burst_key}: expected at least two for each of the {routers} routers that budget.routers_most \
         allows, found {burst}"
    )]
    BurstTooSmall {
        /// The key of the burst.
        burst_key: String,
        /// The burst in units.
        burst: f64,
        /// The maximum number of routers in the fleet.
        routers: f64,
    },
    /// The bound on the number of routers is lower than the number of router processes that may be active.
    #[error(
        "budget.routers_most: expected at least {possible}, the number of router processes that may be \
         active, found {most}"
    )]
    TooFewRouters {
        /// The maximum number of routers that the policy allows.
        most: u64,
        /// The number of router processes that may be active: the members, and removed members that are not
        /// proved to have ended.
        possible: u64,
    },
}
