//! What is known of the marks of writes: in hand, done, or one that may have run. Each has an end, and their
//! number a bound; one that may have run is never forgotten early to make room for another.

use std::collections::BTreeMap;

use tindoor::host::CacheNo;
use tindoor::time::Moment;

use crate::Serial;
use crate::timers::Timers;

/// The answer that a done dispatch brought, as far as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    pub status: u16,
    /// The version of the object, 16 hex digits as a number; 0 where none was told.
    pub version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    InHand(Serial),
    Done(Known),
    /// When and where it first may have run; it has no known end.
    Ran(Moment, CacheNo),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: State,
    /// From when on it may be forgotten; none while it is in hand.
    until: Option<Moment>,
}

/// The marks of writes that were lately seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Marks {
    entries: BTreeMap<u128, Entry>,
    ends: Timers<u128>,
}

impl Marks {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn state(&self, mark: u128) -> Option<State> {
        self.entries.get(&mark).map(|entry| entry.state)
    }

    /// Takes a mark in hand; false where there is no room for a new one.
    pub(crate) fn take(&mut self, mark: u128, serial: Serial, most: usize) -> bool {
        if !self.entries.contains_key(&mark) && self.entries.len() >= most {
            return false;
        }
        let old = self.entries.insert(mark, Entry { state: State::InHand(serial), until: None });
        if let Some(until) = old.and_then(|old| old.until) {
            self.ends.unset(until, mark);
        }
        true
    }

    /// Its view is over: what is known of it now, and until when; nothing where it never ran.
    pub(crate) fn settle(&mut self, mark: u128, known: Option<(State, Moment)>) {
        match known {
            Some((state, until)) => {
                self.entries.insert(mark, Entry { state, until: Some(until) });
                self.ends.set(until, mark);
            }
            None => drop(self.entries.remove(&mark)),
        }
    }

    /// Forgets those whose end has come.
    pub(crate) fn sweep(&mut self, now: Moment) {
        while let Some((at, mark)) = self.ends.take(now) {
            if self.entries.get(&mark).is_some_and(|entry| entry.until == Some(at)) {
                self.entries.remove(&mark);
            }
        }
    }

    pub(crate) fn next(&self) -> Option<Moment> {
        self.ends.next()
    }
}
