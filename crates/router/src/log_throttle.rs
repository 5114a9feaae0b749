//! Limits how often a repeated condition is logged.

use std::cell::Cell;

/// Counts occurrences of one condition and has them logged each time that their number has doubled.
#[derive(Default)]
pub struct LogThrottle {
    occurrences: Cell<u64>,
}

impl LogThrottle {
    /// Counts one occurrence; the number of them where this one is to be logged.
    pub fn record(&self) -> Option<u64> {
        let occurrences = self.occurrences.get() + 1;
        self.occurrences.set(occurrences);
        occurrences.is_power_of_two().then_some(occurrences)
    }
}
