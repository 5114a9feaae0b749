//! Timers in the order of their time.

use std::collections::BTreeSet;

use tindoor::time::Moment;

/// Timers, each named by an event. Whoever pops a timer checks that it still holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timers<T: Ord>(BTreeSet<(Moment, T)>);

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<T: Ord + Copy> Timers<T> {
    pub fn schedule(&mut self, at: Moment, event: T) {
        self.0.insert((at, event));
    }

    pub fn cancel(&mut self, at: Moment, event: T) {
        self.0.remove(&(at, event));
    }

    /// When the first timer is due.
    pub fn next(&self) -> Option<Moment> {
        self.0.first().map(|first| first.0)
    }

    /// Removes the first timer that is due by now.
    pub fn pop_due(&mut self, now: Moment) -> Option<(Moment, T)> {
        let due = self.0.first().is_some_and(|first| first.0 <= now);
        if due { self.0.pop_first() } else { None }
    }
}
