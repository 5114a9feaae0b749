//! Limits how often a repeated condition is logged.

use std::cell::Cell;

/// Counts the occurrences of one condition, of which only the first, second, fourth, eighth and so on are
/// logged.
#[derive(Default)]
pub struct LogThrottle {
    occurrences: Cell<u64>,
}

impl LogThrottle {
    /// Counts one occurrence. Returns the total number if this occurrence should be logged, otherwise `None`.
    pub fn record(&self) -> Option<u64> {
        let occurrences = self.occurrences.get() + 1;
        self.occurrences.set(occurrences);
        occurrences.is_power_of_two().then_some(occurrences)
    }
}
