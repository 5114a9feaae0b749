//! The clock of the routing engine.

use std::time::{Duration, Instant, SystemTime};

use tindoor::time::Moment;

const MICROS_PER_MILLI: u64 = 1000;

/// A monotonic clock that is set from the system clock once, when it is created.
///
/// Its times are Unix times, but later changes of the system clock do not affect them.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix_at_start = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_at_start }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        Moment::at_micros((self.unix_at_start + self.start.elapsed()).as_micros() as u64)
    }

    /// Returns the current Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.now().as_micros() / MICROS_PER_MILLI
    }

    /// Converts a Unix time in milliseconds to a time on this clock.
    pub fn at_unix_ms(ms: u64) -> Moment {
        Moment::at_micros(ms.saturating_mul(MICROS_PER_MILLI))
    }
}
