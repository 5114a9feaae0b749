//! Calls of proxies that carry the bytes themselves: which request a call belongs to, which choice is out and
//! until when, how it ended, and what is known of the marks of writes. Nothing here does I/O or reads a
//! clock.
//!
//! A caller builds one [`ExternalRequestTable`] and calls the method named for each thing that happens, with the time and
//! its [`TableHost`]. Which cache, whether again and what is refused is the routing engine's, reached through
//! the hands.

mod idempotency_keys;
mod table;
mod timers;

pub use idempotency_keys::{IdempotencyKeys, StoredResult};
pub use table::{Counters, EnabledChecks, ExternalRequestTable, Limits};

use tindoor::host::{Authorization, EndpointId, FillDirectives, Outcome};
use tindoor::time::{Moment, Span};

/// A call on its way, as the front counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request in hand, as the table counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What a proxy asks, read and checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExternalRequest {
    /// The request's id: the same for all calls that are made for one request.
    pub correlation_id: u64,
    /// Counted by the proxy from 1: a further try of the same request has a higher one.
    pub attempt: u32,
    pub class: u16,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// Where a repeat is told by its mark: the mark.
    pub idempotency_key: Option<u128>,
    /// Marked as a client's further try.
    pub client_retry: bool,
    /// How long the client waits from now on.
    pub time_remaining: Span,
    /// What the check of its link said.
    pub authorization: Authorization,
}

/// A choice as the routing engine ordered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoutingDecision {
    /// Which attempt of its request, from 0.
    pub attempt_index: u16,
    pub endpoint: EndpointId,
    pub directives: Option<FillDirectives>,
    /// How long it may take, from the order on.
    pub timeout: Span,
}

impl RoutingDecision {
    /// Whether its cache or its source is one of these.
    pub fn references(&self, endpoint: EndpointId) -> bool {
        self.endpoint == endpoint || self.directives.is_some_and(|directives| directives.source == endpoint)
    }
}

/// How a proxy says that its attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    pub outcome: Outcome,
    /// The status that the client gets where it is done, and the version of the object.
    pub stored_result: StoredResult,
    /// How long after the choice it was used, where the proxy tells.
    pub used_after: Option<Span>,
}

/// Why a call got no choice of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The routing engine gave the request up.
    GaveUp,
    /// There is no room for a further request, mark or waiter.
    NoCapacity,
    /// A request of that ticket is in hand with this or a later try, or asks for something else.
    CorrelationIdInUse,
    /// Its mark is in hand, and the end did not come in time.
    IdempotencyKeyInUse,
    /// A later try of the same request came.
    Superseded,
    /// The report belongs to no choice that is out.
    UnknownDecision,
    /// The choice was used up: nothing was reported in its time.
    NotReported,
    /// The router ends.
    ShuttingDown,
}

/// What a call or a report is told. Each call gets one of the first four; each report one of all but the
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallReply {
    /// Go there, beginning within this time from now.
    Decision { decision: RoutingDecision, use_within: Span, time_remaining: Span },
    /// Final: trying again is harmless, best after so long.
    Rejected(Option<Span>, RefusalReason),
    /// Final: promises nothing.
    Failed(RefusalReason),
    /// Final: the write of this mark was done, and this was its answer.
    Replayed(StoredResult),
    /// Final: what the cache answered goes to the client.
    PassThrough,
    /// Not final: a further choice waits for the next call of this request.
    AwaitRetry,
}

/// What the table acts through. Every call takes effect at once, and none comes back into the table.
pub trait TableHost {
    /// A request begins: the routing engine is told of it. `first_ran` says when and where its mark first may have run; a
    /// moment long ago where nobody knows.
    fn request_started(
        &mut self,
        serial: RequestNumber,
        call: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    );
    /// A attempt of the request ended; `last` says that the request has its final answer.
    fn attempt_ended(&mut self, serial: RequestNumber, nth: u16, end: Outcome, last: bool);
    /// Nobody waits for the request any more.
    fn request_abandoned(&mut self, serial: RequestNumber);
    /// Everything of the request is reported: what stands for it can go.
    fn request_finished(&mut self, serial: RequestNumber);
    /// A word to a call. One that was not yet sent is replaced by the next.
    fn reply(&mut self, stream: CallId, say: CallReply);
    /// When one that finds no room may come again.
    fn retry_after(&mut self) -> Option<Span>;
}
