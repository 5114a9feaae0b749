//! The event queue of a simulation.

use std::collections::BTreeMap;

/// Events in the order of their time. Events of the same time come in the order in which they were scheduled.
pub(super) struct EventQueue<E> {
    events: BTreeMap<(u64, u64), E>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { events: BTreeMap::new(), sequence: 0 }
    }

    /// Schedules an event for a time, in microseconds.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.events.insert((at_us, self.sequence), event);
    }

    /// Takes the next event, and its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let ((at_us, _), event) = self.events.pop_first()?;
        Some((at_us, event))
    }
}
