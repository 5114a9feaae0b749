//! The ids of clients' non-idempotent requests that may have run: such a request must not run again if its id comes
//! again after its client has left.

use std::cell::RefCell;
use std::time::Instant;

use tindoor_request_runtime::RecentIds;

use crate::configuration::limits::ClientLimits;
use crate::memory::{MemoryAccount, MemoryReservation};

/// The ids of recent non-idempotent requests that may have run, charged to the memory account.
pub struct RecentRuns {
    ids: RefCell<RecentIds>,
    memory: MemoryReservation,
}

impl RecentRuns {
    /// Creates a store without ids.
    pub fn new(limits: &ClientLimits, memory: &MemoryAccount) -> Self {
        Self {
            ids: RefCell::new(RecentIds::new(limits.max_request_timeout, limits.max_recent_runs)),
            memory: memory.complete.reserve(0).expect("nothing is free at any time"),
        }
    }

    /// Returns whether a request with this id may have run recently.
    pub fn contains(&self, id: u64) -> bool {
        self.ids.borrow_mut().contains(Instant::now(), id)
    }

    /// Remembers that the request with this id may have run.
    pub fn remember(&self, id: u64) {
        let mut ids = self.ids.borrow_mut();
        ids.remember(Instant::now(), id);
        self.memory.resize(ids.len() * RecentIds::ENTRY_BYTES);
    }
}
