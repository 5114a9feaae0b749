//! Entries of the agreed log. They are stored and sent in postcard encoding, so the order of variants and
//! fields must not change.

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
        /// The incarnation of the router.
        incarnation: Incarnation,
        /// The router's entry in the member list.
        member: Member,
        /// The previous incarnation of the router, if its process is known to have ended.
        predecessor: Option<Incarnation>,
    },
    /// A router leaves the member list.
    Leave {
        /// The incarnation of the router.
        incarnation: Incarnation,
        /// Whether the router's process is known to have ended.
        ended: bool,
    },
    /// Member lists that were superseded at or before a given index are discarded, because no router uses
    /// them any more.
    RetireLists {
        /// The index, inclusive.
        before: u64,
    },
    /// An entry of the `raft` library itself, such as the first entry of a new leader.
    NoOp,
    /// The set of voters changes.
    Voters {
        /// The replica ids of the voters after the change.
        replica_ids: Vec<u64>,
        /// The replica ids of the voters before the change. Until the next entry of this kind, a majority of
        /// them must agree as well (joint consensus).
        outgoing: Vec<u64>,
    },
    /// The offset of a router's clock from the fleet's time changes.
    Clock {
        /// The incarnation of the router.
        incarnation: Incarnation,
        /// How far the clock is ahead of the fleet's time, in microseconds; `None` if the fleet's time is no
        /// longer derived from this clock.
        offset_us: Option<i64>,
    },
    /// A policy is proposed.
    Propose(Proposal),
    /// The activation time of the proposed policy is decided.
    Decide {
        /// The generation of the policy.
        generation: u64,
        /// When the policy takes effect.
        activation_time: FleetTime,
    },
    /// The proposed policy is cancelled.
    Cancel {
        /// The generation of the policy.
        generation: u64,
        /// The reason, for operators.
        reason: String,
    },
    /// The activation time of the policy has passed at every router.
    Activated {
        /// The generation of the policy.
        generation: u64,
    },
    /// The probation of the policy is over.
    ProbationEnded {
        /// The generation of the policy.
        generation: u64,
        /// The finding of the probation, for operators.
        finding: String,
    },
}
