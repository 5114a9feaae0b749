//! The safety check that a fault experiment disables, to see that the fault is detected without it. Debug builds
//! only: in a release build all checks are on.

use std::sync::OnceLock;

use crate::operator::command_line::DISABLEABLE_CHECKS;

/// The environment variable that names the check.
const DISABLED_CHECK_VARIABLE: &str = "TINDOOR_WITHOUT";

/// Whether this check, one of [`DISABLEABLE_CHECKS`], is disabled.
pub fn is_disabled(check: &str) -> bool {
    static DISABLED_CHECK: OnceLock<Option<String>> = OnceLock::new();
    DISABLED_CHECK.get_or_init(from_environment).as_deref() == Some(check)
}

fn from_environment() -> Option<String> {
    let check = std::env::var(DISABLED_CHECK_VARIABLE).ok().filter(|_| cfg!(debug_assertions))?;
    if DISABLEABLE_CHECKS.contains(&check.as_str()) {
        tracing::warn!(check, "a check is disabled for a test");
    } else {
        tracing::error!(check, "unknown check");
    }
    Some(check)
}
