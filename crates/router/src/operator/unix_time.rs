//! The current time for keys and tokens.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in seconds; 0 if the system clock is set before 1970.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
