//! What a node is started with.

use tindoor_membership::{Incarnation, Timings};
use tindoor_policy::ProbationLimits;

use crate::storage::StoredState;

/// Everything a [`Node`](crate::Node) is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name, the same at all its routers.
    pub fleet: String,
    /// Who this router is.
    pub identity: LocalIdentity,
    /// The fleet's timings, the same at all its routers.
    pub timings: Timings,
    /// Sizes and intervals.
    pub limits: Limits,
    /// The safety checks; all are on in service.
    pub checks: SafetyChecks,
    /// Addresses of the routers to contact first.
    pub seeds: Vec<String>,
    /// What this replica's storage holds, if it was written before.
    pub stored: Option<StoredState>,
    /// The seed of all random draws.
    pub random_seed: u64,
}

/// Who this router is.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// This process.
    pub incarnation: Incarnation,
    /// The router's name, which outlives its processes.
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    /// Its location, by its position in the deployment's list.
    pub location: u16,
    /// Its replica id, if it may vote: that of its storage, or one drawn for this process.
    pub replica_id: Option<u64>,
    /// The process before this one, where that one is proved to have ended.
    pub predecessor: Option<Incarnation>,
}

/// Sizes and intervals of a node.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Voters that the fleet should have.
    pub voters: usize,
    /// Peers that are sent a status request each heartbeat.
    pub status_requests: usize,
    /// Ticks in a heartbeat interval.
    pub ticks_per_heartbeat: u32,
    /// Confirmations of other peers in one status response.
    pub peer_confirmations: usize,
    /// Recent log entries that are kept for peers that lag behind.
    pub recent_entries: usize,
    /// Status and read requests without a response that are remembered.
    pub outstanding_requests: usize,
    /// Submitted commands whose outcome is not yet known.
    pub pending_commands: usize,
    /// Heartbeats between two outcome reports.
    pub report_interval: u32,
    /// Heartbeats until a pending command is sent again.
    pub resend_interval: u32,
    /// How often a command is forwarded.
    pub command_hops: u8,
    /// When a change on probation is reverted.
    pub probation: ProbationLimits,
    /// Up to so many members request quota from the leader itself; in larger fleets one member of each
    /// location passes quota on.
    pub direct_quota_members: usize,
    /// Unanswered quota requests in a row, after which another member of the location is asked.
    pub unanswered_quota_requests: u32,
    /// This router's weight where budgets are divided.
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

/// The safety checks of a node. All are on in service; a fault experiment disables one to show that its audit
/// detects the fault.
#[derive(Clone, Copy, Debug)]
pub struct SafetyChecks {
    /// Requests are accepted only while the lease is valid.
    pub lease: bool,
    /// A change is activated a lease after its decision, once the silent members can't go on by the old
    /// policy.
    pub staged_activation: bool,
    /// A proposal must be made from the policy in force.
    pub compare_generation: bool,
    /// The checks of budgets.
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
