//! The memory budget for complete messages, calls and answers.

use std::cell::Cell;
use std::rc::Rc;

/// The memory that all complete messages, calls and answers together may use.
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

/// A reserved part of the budget; dropping it returns the memory.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self { max_bytes, used_bytes: Cell::new(0) })
    }

    /// Returns the number of bytes in the budget.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the number of bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    /// Reserves this many bytes; `None` if fewer are free.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        if bytes > self.free_bytes() {
            return None;
        }
        let reservation = MemoryReservation { budget: Rc::clone(self), bytes: Cell::new(0) };
        reservation.resize(bytes);
        Some(reservation)
    }
}

impl MemoryReservation {
    /// Changes the reservation to this many bytes, whether they are free or not: for memory that has its own limit and
    /// is in use already.
    pub fn resize(&self, bytes: usize) {
        let used_bytes = self.budget.used_bytes.get() - self.bytes.replace(bytes) + bytes;
        self.budget.used_bytes.set(used_bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
