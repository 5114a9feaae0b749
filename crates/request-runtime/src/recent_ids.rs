//! Ids that are remembered for a fixed time.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The ids of recent requests, each remembered for the same time. The oldest is forgotten early if there are too many.
pub struct RecentIds {
    retention: Duration,
    max_ids: usize,
    /// The ids in the order in which they were added, each with the time until which it is remembered.
    expiry: VecDeque<(Instant, u64)>,
    ids: HashSet<u64>,
}

impl RecentIds {
    /// What one id occupies, in bytes: both collections double as they grow.
    pub const ENTRY_BYTES: usize = 2 * (size_of::<(Instant, u64)>() + size_of::<u64>());

    /// Creates a store that remembers at most `max_ids` ids, each for `retention`.
    pub fn new(retention: Duration, max_ids: usize) -> Self {
        Self { retention, max_ids, expiry: VecDeque::new(), ids: HashSet::new() }
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns whether an id is remembered at `now`.
    pub fn contains(&mut self, now: Instant, id: u64) -> bool {
        self.forget_expired(now);
        self.ids.contains(&id)
    }

    /// Remembers an id. An id that is remembered already keeps its time.
    pub fn remember(&mut self, now: Instant, id: u64) {
        self.forget_expired(now);
        if self.max_ids == 0 || !self.ids.insert(id) {
            return;
        }
        self.expiry.push_back((now + self.retention, id));
        if self.ids.len() > self.max_ids {
            self.forget_first();
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.expiry.pop_front() {
            self.ids.remove(&id);
        }
    }
}
