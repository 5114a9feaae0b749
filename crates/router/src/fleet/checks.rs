//! Determines which safety checks of a fleet member are enabled: all, except the one that an experiment
//! disables.

use tindoor_consensus::SafetyChecks;

use crate::disabled_check::is_disabled;

/// Which safety checks of a fleet member are enabled.
#[derive(Clone, Copy)]
pub(super) struct FleetChecks {
    /// The checks of the consensus node.
    pub node: SafetyChecks,
    /// Each process has a unique incarnation. If disabled, the incarnation is derived from the router's name
    /// and is the same after a restart.
    pub unique_incarnations: bool,
    /// A write is reported as completed only after it has reached stable storage.
    pub synced_writes: bool,
    /// All decisions about a request use the settings that were in force when it was accepted.
    pub pinned_settings: bool,
}

impl FleetChecks {
    /// Returns all checks enabled, except the one that an experiment disables.
    pub fn enabled() -> Self {
        Self {
            node: SafetyChecks {
                // The policy lease also prevents a router from spending after its machine wakes up, so the
                // experiment "wakes" disables both checks.
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
