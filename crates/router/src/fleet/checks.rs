//! The safety checks of a fleet's member, but for the one that an experiment disables.

use tindoor_consensus::SafetyChecks;

use crate::disabled_check::is_disabled;

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
    /// All checks, but for the one that an experiment disables.
    pub fn enabled() -> Self {
        Self {
            node: SafetyChecks {
                // The lease on the policy also keeps a router that wakes from spending: both are disabled.
                lease: !is_disabled("lease") && !is_disabled("wakes"),
                staged_activation: !is_disabled("staged"),
                compare_generation: !is_disabled("compare"),
                quota: tindoor_quota::SafetyChecks {
                    count_until_expired: !is_disabled("lapse"),
                    wait_for_predecessor: !is_disabled("epoch"),
                    count_until_returned: !is_disabled("returned"),
                    empty_bursts: !is_disabled("burst"),
                    stop_at_expiry: !is_disabled("wakes"),
                    reserve_guaranteed: !is_disabled("floor"),
                },
            },
            unique_incarnations: !is_disabled("incarnation"),
            synced_writes: !is_disabled("synced"),
            pinned_settings: !is_disabled("pinned"),
        }
    }
}
