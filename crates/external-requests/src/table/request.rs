//! The state of one request in the table.

use tindoor::host::{Authorization, EndpointId};
use tindoor::time::{Moment, Span};

use crate::{CallId, CallReply, ExternalRequest, RequestNumber, RoutingDecision};

/// A routing decision in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DecisionLease {
    pub decision: RoutingDecision,
    pub issued_at: Moment,
    /// When the decision expires if no report arrives before.
    pub expires_at: Moment,
    pub call: CallId,
    /// The time within which the proxy must use the decision, counted from when it is sent.
    pub use_within: Span,
    /// Whether the decision was sent to the proxy. A sent decision can't be withdrawn.
    pub is_sent: bool,
}

/// The progress of a request between the proxy and the routing engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// A call waits for the routing engine's decision.
    AwaitingDecision(CallId),
    /// A decision is in flight.
    DecisionIssued(DecisionLease),
    /// A failure was reported on this call, which waits for the routing engine to decide on a retry.
    AwaitingRetryDecision(CallId),
    /// The routing engine decided on a retry, and the next call has not arrived yet. The request is kept until
    /// `until`, and the decision for as long as its attempt may begin.
    RetryReady { decision: RoutingDecision, until: Moment },
    /// The call ended after its decision, without a report. The end of the attempt is reported to the routing
    /// engine when the next call arrives, or at `until`.
    CallLost { lease: DecisionLease, until: Moment },
    /// The call ended before its decision, or the decision that was kept for the next call was withdrawn. The
    /// next call is accepted until `until`.
    AwaitingNextCall { until: Moment },
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// The request as given in its first call.
    pub call: ExternalRequest,
    /// The latest attempt number received from the proxy.
    pub attempt: u32,
    /// When the client stops waiting.
    pub deadline: Moment,
    pub progress: Progress,
    /// When and where the request may first have run. `None` if it has certainly not run.
    pub first_ran: Option<(Moment, EndpointId)>,
    /// The final reply, if the routing engine rejected or failed the request while a decision was in flight.
    /// Sent in reply to the report, to the next call, or when the decision expires.
    pub pending_reply: Option<CallReply>,
    /// Other calls with the same idempotency key that wait for the end of this request.
    pub waiters: Vec<CallId>,
    /// When the request's timer fires. `None` if it is not set.
    pub timer: Option<Moment>,
}

impl DecisionLease {
    /// Returns whether the attempt begins in time if the decision is sent at `now`.
    pub fn may_be_sent(&self, now: Moment) -> bool {
        self.decision.send_by.is_none_or(|send_by| now + self.use_within <= send_by)
    }
}

impl Request {
    /// Whether a call with the same correlation id is a later attempt of this request and is authorized to
    /// continue it.
    pub fn accepts_retry(&self, retry: &ExternalRequest) -> bool {
        let target = |call: &ExternalRequest| (call.class, call.object, call.part, call.idempotency_key);
        retry.attempt > self.attempt && target(retry) == target(&self.call) && may_resume(retry)
    }

    /// Records that the attempt of this lease certainly did not run. If it was the first attempt that may
    /// have run, clears `first_ran`.
    pub fn clear_first_run(&mut self, lease: &DecisionLease) {
        let run = (lease.issued_at, lease.decision.endpoint);
        self.first_ran = self.first_ran.filter(|first_ran| *first_ran != run);
    }
}

/// Whether a call is authorized to continue a known request or to see its reply. A signed URL that expired
/// between two attempts was valid when the request began. A call whose URL was never valid does not come from
/// the client of that request.
pub fn may_resume(call: &ExternalRequest) -> bool {
    matches!(call.authorization, Authorization::Granted | Authorization::Expired)
}

/// A call that waits for the end of another request with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter {
    /// The request that the call waits for.
    pub number: RequestNumber,
    /// When the call stops waiting.
    pub until: Moment,
}

/// The event that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    Request(RequestNumber),
    Waiter(CallId),
}
