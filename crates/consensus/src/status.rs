//! The status of a node, for its operator. The JSON names are those of the control socket.

use serde::{Deserialize, Serialize};

/// Why no request is accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// The router is not a member: it has just started, or was removed.
    #[serde(rename = "NotListed")]
    NotAMember,
    /// Its lease has expired: it can't know whether its policy is still in force.
    #[serde(rename = "NoLease")]
    LeaseExpired,
    /// A change is about to be activated, and the fleet's time is not known precisely enough.
    #[serde(rename = "NoTime")]
    ClockUncertain,
    /// It can't apply the policy in force.
    #[serde(rename = "Unfit")]
    PolicyNotApplicable,
}

/// The status of a node, for its operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The router's name.
    pub name: String,
    /// Its process.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// The fleet's number; 0 before it is bootstrapped.
    pub fleet: u64,
    /// How far in the log the router is.
    pub index: u64,
    /// The generation of the policy in force.
    pub generation: u64,
    /// The hash of the policy in force.
    pub hash: String,
    /// Why no request is accepted; none where requests are accepted.
    #[serde(rename = "out")]
    pub unavailable: Option<UnavailableReason>,
    /// Time remaining of the lease, in milliseconds.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: u64,
    /// How many members the fleet has.
    #[serde(rename = "routers")]
    pub members: usize,
    /// The names of the voters; the replica id of one that is no member.
    pub voters: Vec<String>,
    /// The address of the leader.
    pub leader: Option<String>,
    /// The error bound of the fleet's time, in microseconds.
    pub clock_bound_us: Option<u64>,
    /// The staged change.
    #[serde(rename = "under_way")]
    pub staged_change: Option<String>,
    /// The generation on probation.
    pub on_probation: Option<u64>,
}
