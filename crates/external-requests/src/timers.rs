//! What is due when; entries that no longer hold are passed over by whoever takes them.

use std::collections::BTreeSet;

use tindoor::time::Moment;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timers<T: Ord>(BTreeSet<(Moment, T)>);

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<T: Ord + Copy> Timers<T> {
    pub fn set(&mut self, at: Moment, what: T) {
        self.0.insert((at, what));
    }

    pub fn unset(&mut self, at: Moment, what: T) {
        self.0.remove(&(at, what));
    }

    pub fn next(&self) -> Option<Moment> {
        self.0.first().map(|first| first.0)
    }

    /// The first that is due by now.
    pub fn take(&mut self, now: Moment) -> Option<(Moment, T)> {
        let due = self.0.first().is_some_and(|first| first.0 <= now);
        if due { self.0.pop_first() } else { None }
    }
}
