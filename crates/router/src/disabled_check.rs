//! Determines which safety check, if any, is disabled in this process. A fault experiment disables a check to
//! show that the tests detect the fault that the check prevents. Only debug builds can disable a check; in a
//! release build all checks are enabled.

use std::sync::OnceLock;

use crate::operator::command_line::DISABLEABLE_CHECKS;

/// The environment variable that names the disabled check.
const DISABLED_CHECK_VARIABLE: &str = "TINDOOR_WITHOUT";

/// Returns whether `check`, one of [`DISABLEABLE_CHECKS`], is disabled in this process.
pub fn is_disabled(check: &str) -> bool {
    static DISABLED_CHECK: OnceLock<Option<String>> = OnceLock::new();
    DISABLED_CHECK.get_or_init(from_environment).as_deref() == Some(check)
}

fn from_environment() -> Option<String> {
    let check = std::env::var(DISABLED_CHECK_VARIABLE).ok().filter(|_| cfg!(debug_assertions))?;
    if DISABLEABLE_CHECKS.contains(&check.as_str()) {
        tracing::warn!(check, "safety check disabled for an experiment; use this process for tests only");
    } else {
        tracing::error!(check, "unknown safety check in TINDOOR_WITHOUT; all checks stay enabled");
    }
    Some(check)
}
