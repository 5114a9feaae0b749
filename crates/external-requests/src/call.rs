//! What passes between a proxy and the table: calls, routing decisions, reports and replies.

use tindoor::host::{Authorization, EndpointId, FillDirectives, Outcome};
use tindoor::time::Span;

/// A call of a proxy, as its front counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A request, as the table counts them; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What a proxy asks for, read and checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExternalRequest {
    /// The same for all calls that are made for one request.
    pub correlation_id: u64,
    /// Counted by the proxy from 1; higher for a retry of the same request.
    pub attempt: u32,
    /// The request class.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The group of the object, by which it may be purged.
    pub group: u32,
    /// Set for classes that are idempotent by a key.
    pub idempotency_key: Option<u128>,
    /// Whether the client says that it retries.
    pub client_retry: bool,
    /// How long the client waits from now on.
    pub time_remaining: Span,
    /// The result of the check of its signed URL.
    pub authorization: Authorization,
}

/// A routing decision as the routing engine ordered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoutingDecision {
    /// The index of the attempt within its request, from 0.
    pub attempt_index: u16,
    /// Where the proxy is to send it.
    pub endpoint: EndpointId,
    /// How the endpoint is to fill a miss; none for a cache-only read.
    pub directives: Option<FillDirectives>,
    /// How long the attempt may take, from the decision on.
    pub timeout: Span,
}

impl RoutingDecision {
    /// Where a miss is to be filled from; none for a cache-only read.
    pub fn source(&self) -> Option<EndpointId> {
        self.directives.map(|directives| directives.source)
    }
}

/// How a proxy says that its attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// As reported to the routing engine.
    pub outcome: Outcome,
    /// What to replay to others with the same idempotency key, if the attempt was served.
    pub stored_result: StoredResult,
    /// How long after the decision the proxy used it, where it tells.
    pub used_after: Option<Span>,
}

/// The response of a served attempt, as far as the router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredResult {
    /// The HTTP status.
    pub status: u16,
    /// The version of the object, 16 hex digits as a number; 0 where none was given.
    pub version: u64,
}

/// Why a call got no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The routing engine gave the request up.
    GaveUp,
    /// There is no capacity for one more request, idempotency key or waiter.
    NoCapacity,
    /// A request of that correlation id is in flight with this attempt or a later one, or for something else.
    CorrelationIdInUse,
    /// Another request with its idempotency key is in flight and did not end in time.
    IdempotencyKeyInUse,
    /// A later attempt of the same request came.
    Superseded,
    /// The report belongs to no decision in flight.
    UnknownDecision,
    /// The decision expired before it was reported.
    NotReported,
    /// The router shuts down.
    ShuttingDown,
}

/// The reply to a call or a report. Each call gets one of the first four, each report one of all but the
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallReply {
    /// Send the request by this decision.
    Decision {
        /// Where and how.
        decision: RoutingDecision,
        /// How soon the proxy must have sent it.
        use_within: Span,
        /// How long the attempt may take from now on.
        time_remaining: Span,
    },
    /// Final: a retry is harmless, best after this long.
    Rejected(Option<Span>, RefusalReason),
    /// Final: the request may have run.
    Failed(RefusalReason),
    /// Final: the write of this idempotency key is done, with this result.
    Replayed(StoredResult),
    /// Final: the endpoint's response goes to the client.
    PassThrough,
    /// Not final: a retry is ready for the next call of this request.
    AwaitRetry,
}
