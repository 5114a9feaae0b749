//! The store of the idempotency keys of writes. The number of keys is bounded and each key expires after a
//! given time. A key whose write may have run is never evicted early to make room for another.

use std::collections::BTreeMap;

use tindoor::host::EndpointId;
use tindoor::time::Moment;

use crate::timers::Timers;
use crate::{RequestNumber, StoredResult};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum KeyState {
    InFlight(RequestNumber),
    Done(StoredResult),
    /// The write may have run. Holds when and where it may first have run.
    MayHaveRun(Moment, EndpointId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: KeyState,
    /// `None` while the request is in flight.
    expires_at: Option<Moment>,
}

/// The idempotency keys of writes in flight and of writes that ended recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IdempotencyKeys {
    entries: BTreeMap<u128, Entry>,
    expiry: Timers<u128>,
}

impl IdempotencyKeys {
    /// What one key occupies, in bytes: the nodes of the trees are half full.
    pub(crate) const ENTRY_BYTES: usize = 2 * (size_of::<(u128, Entry)>() + size_of::<(Moment, u128)>());

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no keys are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn state(&self, key: u128) -> Option<KeyState> {
        self.entries.get(&key).map(|entry| entry.state)
    }

    /// Reserves a key for a request. Returns `false` if the key is new and the store is full.
    pub(crate) fn reserve(&mut self, key: u128, number: RequestNumber, max_keys: usize) -> bool {
        if !self.entries.contains_key(&key) && self.entries.len() >= max_keys {
            return false;
        }
        let entry = Entry { state: KeyState::InFlight(number), expires_at: None };
        let previous = self.entries.insert(key, entry);
        if let Some(expires_at) = previous.and_then(|previous| previous.expires_at) {
            self.expiry.cancel(expires_at, key);
        }
        true
    }

    /// Stores the state of a write whose request has ended, until `expires_at`.
    pub(crate) fn store(&mut self, key: u128, state: KeyState, expires_at: Moment) {
        self.entries.insert(key, Entry { state, expires_at: Some(expires_at) });
        self.expiry.schedule(expires_at, key);
    }

    /// Releases the key of a write that never ran.
    pub(crate) fn release(&mut self, key: u128) {
        self.entries.remove(&key);
    }

    /// Removes the keys that have expired.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        while let Some((at, key)) = self.expiry.pop_due(now) {
            if self.entries.get(&key).is_some_and(|entry| entry.expires_at == Some(at)) {
                self.entries.remove(&key);
            }
        }
    }

    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.expiry.next()
    }
}
