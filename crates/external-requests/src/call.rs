//! The messages between a proxy and the table: calls, routing decisions, reports and replies.

use tindoor::host::{Authorization, EndpointId, FillDirectives, Outcome};
use tindoor::time::{Moment, Span};

/// The id of a proxy's call, assigned by the front. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The number of a request, assigned by the table from 1. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// A request that a proxy asks a decision for, read and validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExternalRequest {
    /// The id of the request, the same in all calls that a proxy makes for it.
    pub correlation_id: u64,
    /// The number of the attempt, counted by the proxy from 1 and increased with each retry of the request.
    pub attempt: u32,
    /// The request class.
    pub class: u16,
    /// The object requested.
    pub object: u64,
    /// The index of the object's part.
    pub part: u32,
    /// The group that the object is purged with.
    pub group: u32,
    /// The idempotency key. `None` unless the request class is idempotent by key.
    pub idempotency_key: Option<u128>,
    /// Whether the request must not run twice, and has no idempotency key that would prevent it.
    pub is_non_idempotent: bool,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// How long the client keeps waiting, counted from the call.
    pub time_remaining: Span,
    /// The result of checking the request's signed URL.
    pub authorization: Authorization,
}

/// The time that is kept for a decision to be sent after it was issued.
const SEND_MARGIN: Span = Span::millis(10);
/// The shortest time within which a proxy can be told to use a decision.
const MIN_USE_WITHIN: Span = Span::millis(1);

/// A routing decision, as made by the routing engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoutingDecision {
    /// The index of the attempt within its request, from 0.
    pub attempt_index: u16,
    /// The endpoint that the proxy sends the attempt to.
    pub endpoint: EndpointId,
    /// How the endpoint fills a miss. `None` for a cache-only read.
    pub directives: Option<FillDirectives>,
    /// The time limit of the attempt, counted from the decision.
    pub timeout: Span,
    /// The time after which the attempt must not begin, because the request may have run before. `None` if only the
    /// time limit applies.
    pub send_by: Option<Moment>,
}

impl RoutingDecision {
    /// Returns how long a proxy that gets the decision at `now` may hold it before the attempt begins, at most
    /// `use_within`. `None` if the attempt must not begin any more.
    pub(crate) fn limit_use(&self, now: Moment, use_within: Span) -> Option<Span> {
        let Some(send_by) = self.send_by else { return Some(use_within) };
        let limited = send_by.since(now + SEND_MARGIN).min(use_within);
        (limited >= MIN_USE_WITHIN).then_some(limited)
    }

    /// Returns the endpoint that a miss is filled from. `None` for a cache-only read.
    pub fn source(&self) -> Option<EndpointId> {
        self.directives.map(|directives| directives.source)
    }
}

/// A proxy's report on the end of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// The outcome, passed on to the routing engine.
    pub outcome: Outcome,
    /// The result to replay to other requests with the same idempotency key. Only used if the attempt was
    /// served.
    pub stored_result: StoredResult,
    /// The time from the decision until the proxy used it. `None` if the proxy did not report it.
    pub used_after: Option<Span>,
}

/// What the router knows of the response of a served attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredResult {
    /// The HTTP status code.
    pub status: u16,
    /// The version of the object: the number that its 16 hex digits encode, or 0 if no version was given.
    pub version: u64,
}

/// Why a call got no decision, or why its request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The routing engine rejected or failed the request.
    GaveUp,
    /// The table has no capacity for another request, idempotency key or waiting call.
    NoCapacity,
    /// The correlation id belongs to a request that finished recently, or to a request in flight that the
    /// call can't continue: the call is not a later attempt, asks for something else or is not authorized.
    CorrelationIdInUse,
    /// Another request with the same idempotency key is in flight and did not end in time.
    IdempotencyKeyInUse,
    /// A later attempt of the same request arrived.
    Superseded,
    /// The report does not match any decision in flight.
    UnknownDecision,
    /// The decision expired before a report arrived.
    NotReported,
    /// The router is shutting down.
    ShuttingDown,
}

/// The reply to a call or to a report.
///
/// A call gets [`Decision`](Self::Decision), [`Rejected`](Self::Rejected), [`Failed`](Self::Failed) or
/// [`Replayed`](Self::Replayed); a report gets any reply except [`Decision`](Self::Decision).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallReply {
    /// The proxy sends the request according to this decision.
    Decision {
        /// Where and how the proxy sends the request.
        decision: RoutingDecision,
        /// The time within which the proxy must send the request.
        use_within: Span,
        /// The time limit of the attempt, counted from this reply.
        time_remaining: Span,
    },
    /// Final: the request was rejected. The client can retry it safely, preferably after this delay, if one
    /// is given.
    Rejected(Option<Span>, RefusalReason),
    /// Final: the request failed and may have run.
    Failed(RefusalReason),
    /// Final: the write with this idempotency key has already been served, with this result.
    Replayed(StoredResult),
    /// Final: the proxy passes the endpoint's response to the client.
    PassThrough,
    /// Not final: the routing engine has decided on a retry, which the next call for this request receives.
    AwaitRetry,
}
