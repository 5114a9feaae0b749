//! Decides whether a proxy's connection may begin a further request, so that one connection can't keep the others out.

/// One in this many requests, and bytes, is kept for connections that hold little.
const RESERVE_DIVISOR: usize = 4;
/// A connection holds little if it holds less than one in this many of the requests, and of the bytes.
const LITTLE_DIVISOR: usize = 8;

/// What is in use of the requests in flight and of the memory.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The number of requests that may be in flight.
    pub max_requests: usize,
    /// The number of requests in flight.
    pub requests: usize,
    /// The memory for complete messages and calls, in bytes.
    pub max_bytes: usize,
    /// How much of it is free, in bytes.
    pub free_bytes: usize,
    /// What one request occupies, in bytes.
    pub request_bytes: usize,
}

impl Usage {
    /// Returns whether a connection that holds this many requests may begin another. The reserve is for connections
    /// that hold little.
    pub fn admits(&self, held_requests: usize) -> bool {
        let has_capacity = self.requests < self.max_requests && self.free_bytes >= self.request_bytes;
        has_capacity && (!self.is_reserve_in_use() || self.is_little(held_requests))
    }

    fn is_reserve_in_use(&self) -> bool {
        let free_requests = self.max_requests.saturating_sub(self.requests);
        free_requests * RESERVE_DIVISOR <= self.max_requests
            || self.free_bytes * RESERVE_DIVISOR <= self.max_bytes
    }

    fn is_little(&self, held_requests: usize) -> bool {
        held_requests * LITTLE_DIVISOR < self.max_requests
            && held_requests * self.request_bytes * LITTLE_DIVISOR < self.max_bytes
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_share.rs"]
mod tests;
