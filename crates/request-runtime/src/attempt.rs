//! The actions that the routing engine issues for a request.

use std::time::{Duration, Instant};

use tindoor::host::{EndpointId, FillDirectives};
use tindoor::time::Span;

/// An action to be carried out by the task that runs a request.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Send this attempt.
    Send(Attempt),
    /// Cancel the attempt with this index.
    Cancel(u16),
    /// Reject the request. The client can retry it safely, preferably after this delay, if one is given.
    Reject(Option<Span>),
    /// Fail the request.
    Fail,
    /// Abandon the request: its client no longer waits for it, or the router is shutting down. Issued by the
    /// router, never by the routing engine.
    Abandon,
}

/// One attempt of a request, as issued by the routing engine.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The index of the attempt within its request, from 0.
    pub index: u16,
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// The time limit of the attempt, counted from `issued_at`.
    pub timeout: Duration,
    /// The time after which the attempt must not be sent any more; `None` if only its time limit applies.
    pub send_by: Option<Instant>,
    /// How the endpoint fills a miss. `None` for a cache-only read.
    pub directives: Option<FillDirectives>,
    /// When the routing engine issued the attempt.
    pub issued_at: Instant,
}

impl Attempt {
    /// Returns whether the attempt may be sent at `now`, as far as `send_by` is concerned.
    pub fn may_be_sent_at(&self, now: Instant) -> bool {
        self.send_by.is_none_or(|send_by| now < send_by)
    }

    /// Returns the endpoint that a miss is filled from. `None` for a cache-only read.
    pub fn source(&self) -> Option<EndpointId> {
        self.directives.map(|directives| directives.source)
    }
}
