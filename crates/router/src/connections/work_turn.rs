//! Bounds how much one connection does before other tasks run.

use std::cell::Cell;

/// Counts the messages that a task handles, so that it yields to others after a bounded number, however fast its
/// peer sends.
pub struct WorkTurn {
    max_messages: u32,
    remaining: Cell<u32>,
}

impl WorkTurn {
    /// Creates a turn of this many messages.
    pub fn new(max_messages: u32) -> Self {
        Self { max_messages, remaining: Cell::new(max_messages) }
    }

    /// Counts a message. Returns true if other tasks must run next, and begins another turn.
    pub fn ends_with_this_message(&self) -> bool {
        let remaining = self.remaining.get().saturating_sub(1);
        self.remaining.set(if remaining == 0 { self.max_messages } else { remaining });
        remaining == 0
    }
}
