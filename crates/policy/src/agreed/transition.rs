//! Effects of log entries.

use tindoor_membership::{FleetTime, Incarnation};

/// What a log entry has changed, for logs and for whoever waits for it.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// A router joined the member list.
    Joined(Incarnation),
    /// A router left the member list.
    Removed(Incarnation),
    /// A proposal was accepted under this generation.
    Proposed(u64),
    /// The proposal with this token was rejected, for this reason.
    Rejected(u64, String),
    /// The generation takes effect at this time.
    Decided(u64, FleetTime),
    /// The generation was cancelled, for this reason.
    Cancelled(u64, String),
    /// The generation is in force.
    Activated(u64),
    /// The probation of the generation ended, with this finding.
    ProbationEnded(u64, String),
}
