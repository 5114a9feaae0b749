//! Checks that a test disables, to see that the fault they prevent is detected without them.

use tindoor_external_requests::EnabledChecks;

/// Names the check that a test disables; read by debug builds only.
const DISABLED_CHECK: &str = "TINDOOR_WITHOUT";

/// All checks, but for the one that a test disables.
pub fn enabled() -> EnabledChecks {
    let mut checks = EnabledChecks::default();
    if cfg!(debug_assertions)
        && let Ok(name) = std::env::var(DISABLED_CHECK)
    {
        disable(&mut checks, &name);
        tracing::warn!(check = name, "a check is disabled for a test");
    }
    checks
}

fn disable(checks: &mut EnabledChecks, name: &str) {
    match name {
        "marks" => checks.idempotency_keys = false,
        "tickets" => checks.correlation_ids = false,
        "withdraw" => checks.withdrawal = false,
        "leases" => checks.leases = false,
        // Signed URLs and the fleet disable these themselves.
        "links" | "revoked" | "clock" | "lease" | "staged" | "compare" | "incarnation" | "synced"
        | "pinned" => {}
        other => tracing::error!(check = other, "unknown check"),
    }
}
