//! What the routing engine orders for a request.

use std::time::{Duration, Instant};

use tindoor::host::{EndpointId, FillDirectives};
use tindoor::time::Span;

/// What a request's task is to do next.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Send this attempt.
    Send(Attempt),
    /// Cancel the attempt of this index.
    Cancel(u16),
    /// Reject the request: a retry is harmless, best after this long.
    Reject(Option<Span>),
    /// Fail the request.
    Fail,
    /// Nobody waits for the request any more, or the router shuts down; not from the routing engine.
    Abandon,
}

/// One attempt that the routing engine ordered.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its index among the attempts of its request, from 0.
    pub index: u16,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// How long it may take from `issued_at` on.
    pub timeout: Duration,
    /// How the endpoint is to fill a miss; none for a cache-only read.
    pub directives: Option<FillDirectives>,
    /// When the routing engine ordered it.
    pub issued_at: Instant,
}

impl Attempt {
    /// Where a miss is to be filled from; none for a cache-only read.
    pub fn source(&self) -> Option<EndpointId> {
        self.directives.map(|directives| directives.source)
    }
}
