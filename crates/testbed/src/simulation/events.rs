//! The event queue of a simulation.

use std::collections::BTreeMap;

/// Events ordered by time. Events with the same time are ordered as they were scheduled.
pub(super) struct EventQueue<E> {
    /// By time in microseconds and sequence number.
    events: BTreeMap<(u64, u64), E>,
    /// The sequence number of the last scheduled event.
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { events: BTreeMap::new(), sequence: 0 }
    }

    /// Schedules an event at an absolute time, in microseconds.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence), event);
    }

    /// Removes and returns the next event and its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let ((at_us, _), event) = self.events.pop_first()?;
        Some((at_us, event))
    }
}
