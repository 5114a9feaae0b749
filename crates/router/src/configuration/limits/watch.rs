//! Limits of the discovery watch.

use std::time::Duration;

use tindoor_discovery::ScheduleLimits;

use super::READ_CHUNK_BYTES;

/// Limits of the discovery watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchLimits {
    /// The maximum size of a line, in bytes.
    pub max_line_bytes: usize,
    /// The buffer size of a single read, in bytes.
    pub read_chunk_bytes: usize,
    /// When connections begin and are given up.
    pub schedule: ScheduleLimits,
}

impl WatchLimits {
    pub(super) fn new() -> Self {
        Self {
            max_line_bytes: 1 << 20,
            read_chunk_bytes: READ_CHUNK_BYTES,
            schedule: ScheduleLimits {
                max_connections: 3,
                connect_patience: Duration::from_secs(1),
                silence_patience: Duration::from_millis(1800),
                line_patience: Duration::from_millis(2500),
                max_patience: Duration::from_millis(3500),
                pause: Duration::from_millis(100),
                max_pause: Duration::from_millis(250),
                stable_after: Duration::from_secs(1),
            },
        }
    }
}
