//! The status of a node as shown to its operator. The JSON names are those of the control socket.

use serde::{Deserialize, Serialize};

/// Why a router currently accepts no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// The router is not a member: it has just started, or was removed.
    #[serde(rename = "NotListed")]
    NotAMember,
    /// The router's lease has expired: its policy may no longer be in force.
    #[serde(rename = "NoLease")]
    LeaseExpired,
    /// The fleet's time is not known precisely enough to tell whether a decided change is active, or the
    /// local clock has jumped and is not trusted yet.
    #[serde(rename = "NoTime")]
    ClockUncertain,
    /// The router can't apply the policy in force.
    #[serde(rename = "Unfit")]
    PolicyNotApplicable,
}

/// The status of a node, as shown to its operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The router's name.
    pub name: String,
    /// The incarnation of the router's process.
    #[serde(rename = "start")]
    pub incarnation: String,
    /// The fleet's number, or 0 if the router does not know of a bootstrapped fleet.
    pub fleet: u64,
    /// The index of the last log entry that the router has applied.
    pub index: u64,
    /// The generation of the policy in force.
    pub generation: u64,
    /// The hash of the policy in force. Empty if there is none.
    pub hash: String,
    /// Why the router accepts no requests. `None` if it accepts requests.
    #[serde(rename = "out")]
    pub unavailable: Option<UnavailableReason>,
    /// The time until the lease expires, in milliseconds.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: u64,
    /// The number of members in the fleet.
    #[serde(rename = "routers")]
    pub members: usize,
    /// The names of the voters. A voter that is not a member is shown by its replica id.
    pub voters: Vec<String>,
    /// The leader's address, if known.
    pub leader: Option<String>,
    /// The error bound of the fleet's time, in microseconds. `None` if the fleet's time is not known.
    pub clock_bound_us: Option<u64>,
    /// A description of the staged change, if there is one.
    #[serde(rename = "under_way")]
    pub staged_change: Option<String>,
    /// The generation on probation, if there is one.
    pub on_probation: Option<u64>,
}
