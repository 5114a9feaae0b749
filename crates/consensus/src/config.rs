//! The configuration of a node.

use tindoor_membership::{Incarnation, Timings};
use tindoor_policy::ProbationLimits;

use crate::storage::StoredState;

/// The configuration with which a [`Node`](crate::Node) starts.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name. All routers of a fleet must use the same name.
    pub fleet: String,
    /// The identity of this router.
    pub identity: LocalIdentity,
    /// The fleet's timings. All routers of a fleet must use the same timings.
    pub timings: Timings,
    /// The node's size limits and intervals.
    pub limits: Limits,
    /// The safety checks. All of them are enabled in production.
    pub checks: SafetyChecks,
    /// Addresses of the routers to contact first, before any member is known.
    pub seeds: Vec<String>,
    /// The contents of this replica's storage. `None` if nothing was ever written to it.
    pub stored: Option<StoredState>,
    /// The seed of the node's random number generator.
    pub random_seed: u64,
}

/// The identity of a router.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The router's name, which stays the same across restarts.
    pub name: String,
    /// The address at which peers reach this router.
    pub address: String,
    /// The router's location, as an index into the deployment's list of locations.
    pub location: u16,
    /// The replica id: the one in its storage, or a random one for this process. `None` if the router may not
    /// vote.
    pub replica_id: Option<u64>,
    /// The previous process of this router. `None` unless that process is proved to have ended.
    pub predecessor: Option<Incarnation>,
}

/// Size limits and intervals of a node.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The target number of voters in the fleet.
    pub voters: usize,
    /// The number of random peers that are sent a status request at each heartbeat.
    pub status_requests: usize,
    /// The number of ticks in a heartbeat interval.
    pub ticks_per_heartbeat: u32,
    /// The maximum number of other peers' confirmations in one status response.
    pub peer_confirmations: usize,
    /// The maximum number of recent log entries that are kept for peers that lag behind.
    pub recent_entries: usize,
    /// The maximum number of unanswered status requests that are tracked. The same limit applies to
    /// unconfirmed read requests.
    pub outstanding_requests: usize,
    /// The maximum number of submitted commands whose outcome is not yet known.
    pub pending_commands: usize,
    /// The interval between outcome reports, in heartbeats.
    pub report_interval: u32,
    /// The interval after which pending commands are sent again, in heartbeats.
    pub resend_interval: u32,
    /// The maximum number of times that a command is forwarded.
    pub command_hops: u8,
    /// The limits by which a change on probation is kept or reverted.
    pub probation: ProbationLimits,
    /// The largest fleet, in members, in which every member requests quota directly from the leader. In
    /// larger fleets one member of each location requests quota and grants it to the other members there.
    pub direct_quota_members: usize,
    /// The number of consecutive unanswered quota requests after which another member of the location is
    /// asked.
    pub unanswered_quota_requests: u32,
    /// This router's weight in the division of budgets.
    pub quota_weight: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            voters: 3,
            status_requests: 2,
            ticks_per_heartbeat: 5,
            peer_confirmations: 256,
            recent_entries: 512,
            outstanding_requests: 64,
            pending_commands: 16,
            report_interval: 4,
            resend_interval: 2,
            command_hops: 3,
            probation: ProbationLimits::default(),
            direct_quota_members: 64,
            unanswered_quota_requests: 3,
            quota_weight: 1,
        }
    }
}

/// The safety checks of a node. All are enabled in production. A fault experiment disables one of them to
/// show that the experiment's audit detects the resulting fault.
#[derive(Clone, Copy, Debug)]
pub struct SafetyChecks {
    /// Accept requests only while the lease is valid.
    pub lease: bool,
    /// Decide a change only once members that do not respond can no longer apply the old policy beyond its
    /// activation, and activate it one lease after the decision.
    pub staged_activation: bool,
    /// Accept a proposal only if its base generation is the generation in force.
    pub compare_generation: bool,
    /// The safety checks of quota.
    pub quota: tindoor_quota::SafetyChecks,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            lease: true,
            staged_activation: true,
            compare_generation: true,
            quota: tindoor_quota::SafetyChecks::default(),
        }
    }
}
