//! The memory budget for frames and bodies.

use std::cell::Cell;
use std::rc::Rc;

/// The memory that all frames and bodies together may use.
pub struct MemoryBudget {
    free_bytes: Cell<usize>,
}

/// A reserved part of the budget; dropping it returns the memory.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self { free_bytes: Cell::new(bytes) })
    }

    /// Returns the number of bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.get()
    }

    /// Reserves this many bytes; `None` if fewer are free.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let free_bytes = self.free_bytes.get().checked_sub(bytes)?;
        self.free_bytes.set(free_bytes);
        Some(MemoryReservation { budget: Rc::clone(self), bytes })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.free_bytes.set(self.budget.free_bytes.get() + self.bytes);
    }
}
