//! Why a policy is rejected, in the words that operators read. The words are also sent as a router's
//! objection.

use thiserror::Error;

/// Why a policy is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PolicyError {
    /// There is no such key.
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
    /// The number is out of the key's range.
    #[error("{key}: {number} is not from {min} to {max}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its number.
        number: f64,
        /// The least number allowed.
        min: f64,
        /// The largest number allowed.
        max: f64,
    },
    /// The number must be whole.
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
    /// Copies of a request class may be served after their purge is forgotten.
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
    /// The key can't change while routers run.
    #[error("{key}: changes at a start only")]
    FixedInService {
        /// The key.
        key: String,
    },
    /// A setting of the decision library would be unset.
    #[error("{key}: missing, and it was set")]
    SettingRemoved {
        /// The key.
        key: String,
    },
    /// A budget needs the bound on the number of routers.
    #[error("{key}: without budget.routers_most, by which floors are kept")]
    WithoutMaxRouters {
        /// The key of the budget.
        key: String,
    },
    /// A rate needs a burst.
    #[error("{key}: without {burst_key}")]
    WithoutBurst {
        /// The key of the rate.
        key: String,
        /// The key of the burst.
        burst_key: String,
    },
    /// A burst is too small to be divided.
    #[error("{burst_key}: {burst} is under two for each of the {routers} routers that may belong")]
    BurstTooSmall {
        /// The key of the burst.
        burst_key: String,
        /// The burst in units.
        burst: f64,
        /// The most routers that may belong to the fleet.
        routers: f64,
    },
    /// More routers may act than the policy allows.
    #[error("budget.routers_most: {most} is below the {possible} that may belong")]
    TooFewRouters {
        /// The most routers that the policy allows.
        most: u64,
        /// The routers that may act.
        possible: u64,
    },
}
