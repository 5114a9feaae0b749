//! Safety checks that an experiment disables, in a build for tests only. All are on in service.

use tindoor_consensus::SafetyChecks;

/// The safety checks of a fleet's member.
#[derive(Clone, Copy)]
pub(super) struct FleetChecks {
    /// Those of the node.
    pub node: SafetyChecks,
    /// Each process has an incarnation of its own; else it is derived from the router's name.
    pub unique_incarnations: bool,
    /// A write is reported as completed only once it is on stable storage.
    pub synced_writes: bool,
    /// A request is decided to its end by the settings by which it was accepted.
    pub pinned_settings: bool,
}

impl FleetChecks {
    /// All checks, without the one that the environment names.
    pub fn from_environment() -> Self {
        let mut checks = Self {
            node: SafetyChecks::default(),
            unique_incarnations: true,
            synced_writes: true,
            pinned_settings: true,
        };
        if cfg!(debug_assertions)
            && let Ok(name) = std::env::var("TINDOOR_WITHOUT")
        {
            checks.disable(&name);
        }
        checks
    }

    fn disable(&mut self, name: &str) {
        let Self { node, unique_incarnations, synced_writes, pinned_settings } = self;
        match name {
            "lease" => node.lease = false,
            "staged" => node.staged_activation = false,
            "compare" => node.compare_generation = false,
            "incarnation" => *unique_incarnations = false,
            "synced" => *synced_writes = false,
            "pinned" => *pinned_settings = false,
            "lapse" => node.quota.count_until_expired = false,
            "epoch" => node.quota.wait_for_predecessor = false,
            "returned" => node.quota.count_until_returned = false,
            "burst" => node.quota.empty_bursts = false,
            // The lease on the policy also keeps a router that wakes from spending: both are disabled.
            "wakes" => (node.quota.stop_at_expiry, node.lease) = (false, false),
            "floor" => node.quota.reserve_guaranteed = false,
            _ => {}
        }
    }
}
