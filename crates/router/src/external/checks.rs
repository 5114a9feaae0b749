//! Determines which safety checks of externally processed requests are enabled.

use tindoor_external_requests::EnabledChecks;

use crate::disabled_check::is_disabled;

/// Returns all checks enabled, except the one that an experiment disables.
pub fn enabled() -> EnabledChecks {
    EnabledChecks {
        idempotency_keys: !is_disabled("marks"),
        correlation_ids: !is_disabled("tickets"),
        withdrawal: !is_disabled("withdraw"),
        leases: !is_disabled("leases"),
    }
}
