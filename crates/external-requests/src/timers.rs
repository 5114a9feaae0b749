//! A set of timers, ordered by due time.

use std::collections::BTreeSet;

use tindoor::time::Moment;

/// A set of timers, each identified by its due time and an event. The caller of [`pop_due`](Self::pop_due)
/// checks that the timer is still valid.
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

    /// Returns when the first timer is due. `None` if there are no timers.
    pub fn next(&self) -> Option<Moment> {
        self.0.first().map(|first| first.0)
    }

    /// Removes and returns the first timer, whether it is due or not. `None` if there are no timers.
    pub fn pop_first(&mut self) -> Option<(Moment, T)> {
        self.0.pop_first()
    }

    /// Removes and returns the first timer that is due at `now`. `None` if no timer is due.
    pub fn pop_due(&mut self, now: Moment) -> Option<(Moment, T)> {
        let due = self.0.first().is_some_and(|first| first.0 <= now);
        if due { self.0.pop_first() } else { None }
    }
}
