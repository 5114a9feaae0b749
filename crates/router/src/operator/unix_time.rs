//! The time of day, for keys and tokens.

use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
