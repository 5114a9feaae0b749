//! Counts the requests in flight that began on one connection.

use std::cell::Cell;
use std::rc::Rc;

/// The number of requests in flight that began on one connection. They may outlive it.
#[derive(Clone, Default)]
pub struct RequestCounter(Rc<Cell<usize>>);

impl RequestCounter {
    /// Returns the number of requests.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts a request until the returned value is dropped.
    pub fn count(&self) -> CountedRequest {
        self.0.set(self.0.get() + 1);
        CountedRequest(self.clone())
    }
}

/// Counts a request as in flight until it is dropped.
pub struct CountedRequest(RequestCounter);

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.0.0.set(self.0.get() - 1);
    }
}
