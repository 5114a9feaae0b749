//! The reasons for rejecting a policy. Operators read the error texts, and a router sends them to the leader
//! as its objection to a proposed policy.

use thiserror::Error;

/// The reason for rejecting a policy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PolicyError {
    /// The key is not declared.
    #[error("{key}: no such key")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// The key names a request class that does not exist.
    #[error("{key}: no offering is called {class:?}")]
    UnknownClass {
        /// The key.
        key: String,
        /// The request class.
        class: String,
    },
    /// The number is outside the key's bounds.
    #[error("{key}: {number} is not from {min} to {max}")]
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
    #[error("{key}: {number} is not a whole number")]
    NotWhole {
        /// The key.
        key: String,
        /// Its number.
        number: f64,
    },
    /// The latency objective of a request class exceeds its deadline.
    #[error("offering.{class}.latency_goal_ms: {objective} is over the cut-off of {deadline}")]
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
        "offering.{class}.fresh_ms: with older_by_ms over copies_gone_after_ms of {remembered}: \
         a copy could outlive the memory of its purge"
    )]
    CopyOutlivesPurge {
        /// The request class.
        class: String,
        /// How long purges are remembered, in milliseconds.
        remembered: f64,
    },
    /// The key can be changed only at a restart, not while routers run.
    #[error("{key}: changes at a start only")]
    FixedInService {
        /// The key.
        key: String,
    },
    /// A key that sets a setting of the decision library would be removed.
    #[error("{key}: missing, and it was set")]
    SettingRemoved {
        /// The key.
        key: String,
    },
    /// A key of a budget is set without the bound on the number of routers.
    #[error("{key}: without budget.routers_most, by which floors are kept")]
    WithoutMaxRouters {
        /// The key of the budget.
        key: String,
    },
    /// A rate is set without its burst.
    #[error("{key}: without {burst_key}")]
    WithoutBurst {
        /// The key of the rate.
        key: String,
        /// The key of the burst.
        burst_key: String,
    },
    /// A burst is too small to be divided among the routers.
    #[error("{burst_key}: {burst} is under two for each of the {routers} routers that may belong")]
    BurstTooSmall {
        /// The key of the burst.
        burst_key: String,
        /// The burst in units.
        burst: f64,
        /// The maximum number of routers in the fleet.
        routers: f64,
    },
    /// The bound on the number of routers is lower than the number of routers that may act.
    #[error("budget.routers_most: {most} is below the {possible} that may belong")]
    TooFewRouters {
        /// The maximum number of routers that the policy allows.
        most: u64,
        /// The number of routers that may act.
        possible: u64,
    },
}
