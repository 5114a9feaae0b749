//! Shared values with blocking waits for changes.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Upper bound of every wait, far above the duration of any wait on a slow machine.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// How often a waiting thread checks the value even if no change was signalled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A shared value. Threads can wait until a change of the value makes a condition true.
#[derive(Default)]
pub struct Watched<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Watched<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Watched<T> {
    /// Runs `change` on the value, wakes all waiting threads, and returns the result of `change`.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.0.0.lock().unwrap());
        self.0.1.notify_all();
        result
    }

    /// Waits until `ready` returns a result; panics with `awaited` after 60 s.
    pub fn wait<R>(&self, awaited: &str, mut ready: impl FnMut(&mut T) -> Option<R>) -> R {
        let start = Instant::now();
        let mut value = self.0.0.lock().unwrap();
        loop {
            if let Some(result) = ready(&mut value) {
                return result;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {awaited}");
            value = self.0.1.wait_timeout(value, RECHECK_INTERVAL).unwrap().0;
        }
    }
}

impl Watched<bool> {
    /// Sets the value to true, so that all threads waiting for it continue.
    pub fn release(&self) {
        self.change(|open| *open = true);
    }
}

/// Repeats `attempt` until it returns true; panics with `awaited` after 60 s.
pub fn until(awaited: &str, mut attempt: impl FnMut() -> bool) {
    let start = Instant::now();
    while !attempt() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {awaited}");
    }
}
