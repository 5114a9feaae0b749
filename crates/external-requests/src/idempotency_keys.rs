//! What is known of the marks of writes: in hand, done, or one that may have run. Each has an end, and their
//! number a bound; one that may have run is never forgotten early to make room for another.

use std::collections::BTreeMap;

use tindoor::host::EndpointId;
use tindoor::time::Moment;

use crate::RequestNumber;
use crate::timers::Timers;

/// The answer that a done attempt brought, as far as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredResult {
    pub status: u16,
    /// The version of the object, 16 hex digits as a number; 0 where none was told.
    pub version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    InHand(RequestNumber),
    Done(StoredResult),
    /// When and where it first may have run; it has no known end.
    Ran(Moment, EndpointId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: State,
    /// From when on it may be forgotten; none while it is in hand.
    until: Option<Moment>,
}

/// The marks of writes that were lately seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IdempotencyKeys {
    entries: BTreeMap<u128, Entry>,
    ends: Timers<u128>,
}

impl IdempotencyKeys {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn state(&self, idempotency_key: u128) -> Option<State> {
        self.entries.get(&idempotency_key).map(|entry| entry.state)
    }

    /// Takes a mark in hand; false where there is no room for a new one.
    pub(crate) fn take(&mut self, idempotency_key: u128, serial: RequestNumber, most: usize) -> bool {
        if !self.entries.contains_key(&idempotency_key) && self.entries.len() >= most {
            return false;
        }
        let old = self.entries.insert(idempotency_key, Entry { state: State::InHand(serial), until: None });
        if let Some(until) = old.and_then(|old| old.until) {
            self.ends.unset(until, idempotency_key);
        }
        true
    }

    /// Its request is over: what is known of it now, and until when; nothing where it never ran.
    pub(crate) fn settle(&mut self, idempotency_key: u128, known: Option<(State, Moment)>) {
        match known {
            Some((state, until)) => {
                self.entries.insert(idempotency_key, Entry { state, until: Some(until) });
                self.ends.set(until, idempotency_key);
            }
            None => drop(self.entries.remove(&idempotency_key)),
        }
    }

    /// Forgets those whose end has come.
    pub(crate) fn sweep(&mut self, now: Moment) {
        while let Some((at, idempotency_key)) = self.ends.take(now) {
            if self.entries.get(&idempotency_key).is_some_and(|entry| entry.until == Some(at)) {
                self.entries.remove(&idempotency_key);
            }
        }
    }

    pub(crate) fn next(&self) -> Option<Moment> {
        self.ends.next()
    }
}
