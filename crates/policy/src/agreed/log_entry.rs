//! Entries of the agreed log. They are stored and sent in postcard's form: the order of variants and fields
//! is fixed.

use serde::{Deserialize, Serialize};
use tindoor_membership::{FleetTime, Incarnation, Member};

use super::Proposal;
use crate::Policy;

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first entry of a fleet.
    Bootstrap {
        /// The fleet's number.
        fleet: u64,
        /// The policy with which the fleet starts.
        policy: Policy,
        /// The only voter.
        replica_id: u64,
    },
    /// A router joins the member list.
    Join {
        /// Its incarnation.
        incarnation: Incarnation,
        /// The member.
        member: Member,
        /// The incarnation before it, where that is known to have ended.
        predecessor: Option<Incarnation>,
    },
    /// A router leaves the member list.
    Leave {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether its process is known to have ended.
        ended: bool,
    },
    /// No router holds a member list any more that was superseded at or before an index.
    RetireLists {
        /// That index.
        before: u64,
    },
    /// An entry of the `raft` library itself, such as the first one of a leader.
    NoOp,
    /// The voters change.
    Voters {
        /// The voters from now on.
        replica_ids: Vec<u64>,
        /// The voters before; until the next entry of this kind, their majority must agree as well.
        outgoing: Vec<u64>,
    },
    /// The offset of a router's clock to the fleet's time changes.
    Clock {
        /// The router.
        incarnation: Incarnation,
        /// How far the clock is ahead, in microseconds; none where it no longer is one of the fleet's clocks.
        offset_us: Option<i64>,
    },
    /// A policy is proposed.
    Propose(Proposal),
    /// The proposed policy will take effect.
    Decide {
        /// Its generation.
        generation: u64,
        /// When it takes effect.
        activation_time: FleetTime,
    },
    /// The proposed policy is cancelled.
    Cancel {
        /// Its generation.
        generation: u64,
        /// The reason, for operators.
        reason: String,
    },
    /// The moment at which the policy takes effect has passed at every router.
    Activated {
        /// Its generation.
        generation: u64,
    },
    /// The probation of the policy is over.
    ProbationEnded {
        /// Its generation.
        generation: u64,
        /// What was found, for operators.
        finding: String,
    },
}
