//! The effects of log entries on the agreed state.

use tindoor_membership::{FleetTime, Incarnation};

/// A change of the agreed state by a log entry, for log lines and for callers that wait for the change.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// A router joined the member list.
    Joined(Incarnation),
    /// A router left the member list.
    Removed(Incarnation),
    /// A proposal was accepted and given this generation.
    Proposed(u64),
    /// The proposal with this token was rejected, for this reason.
    Rejected(u64, String),
    /// It was decided that the generation takes effect at this time.
    Decided(u64, FleetTime),
    /// The generation was cancelled, for this reason.
    Cancelled(u64, String),
    /// The generation is in force.
    Activated(u64),
    /// The probation of the generation ended, with this finding.
    ProbationEnded(u64, String),
}
