//! The state of one request in the table.

use tindoor::host::{Authorization, EndpointId};
use tindoor::time::Moment;

use crate::{CallId, CallReply, ExternalRequest, RequestNumber, RoutingDecision};

/// A routing decision in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DecisionLease {
    pub decision: RoutingDecision,
    pub issued_at: Moment,
    /// When it ends, reported or not.
    pub expires_at: Moment,
    pub call: CallId,
    /// Whether it was sent to the proxy: it can't be withdrawn then.
    pub is_sent: bool,
}

/// Where a request stands with its proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// A call waits for the routing engine's decision.
    AwaitingDecision(CallId),
    /// A decision is in flight.
    DecisionIssued(DecisionLease),
    /// A failure was reported on this call, which waits for the routing engine to decide on a retry.
    AwaitingRetryDecision(CallId),
    /// The routing engine ordered a retry, and the next call has not come yet; kept until then.
    RetryReady { decision: RoutingDecision, until: Moment },
    /// The call ended after its decision without a report. The end of the attempt is reported with the next
    /// call, or at this time.
    CallLost { lease: DecisionLease, until: Moment },
    /// The call ended before its decision; the next one may come until then.
    AwaitingNextCall { until: Moment },
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// As its first call asked.
    pub call: ExternalRequest,
    /// The latest attempt that the proxy counted.
    pub attempt: u32,
    /// When its client stops waiting.
    pub deadline: Moment,
    pub progress: Progress,
    /// When and where it first may have run.
    pub first_ran: Option<(Moment, EndpointId)>,
    /// The final reply, where the routing engine gave the request up while a decision was in flight; sent
    /// with the report.
    pub pending_reply: Option<CallReply>,
    /// Other calls with its idempotency key that wait for its end.
    pub waiters: Vec<CallId>,
    pub timer: Option<Moment>,
}

impl Request {
    /// Whether a call with the same correlation id is a later attempt of this request, from somebody entitled
    /// to it.
    pub fn accepts_retry(&self, retry: &ExternalRequest) -> bool {
        let target = |call: &ExternalRequest| (call.class, call.object, call.part, call.idempotency_key);
        retry.attempt > self.attempt && target(retry) == target(&self.call) && may_resume(retry)
    }

    /// The attempt of this lease surely never ran: where it was the first that might have, none has.
    pub fn clear_first_run(&mut self, lease: &DecisionLease) {
        let run = (lease.issued_at, lease.decision.endpoint);
        self.first_ran = self.first_ran.filter(|first_ran| *first_ran != run);
    }
}

/// Whether a call may join a request that is known. A signed URL that expired between two attempts was valid
/// when the request began; one that never was is somebody else's.
pub fn may_resume(call: &ExternalRequest) -> bool {
    matches!(call.authorization, Authorization::Granted | Authorization::Expired)
}

/// A request that finished, and the reply to later calls with its correlation id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FinishedRequest {
    pub reply: CallReply,
    pub until: Moment,
}

/// A call that waits for the end of another request with its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiter {
    pub number: RequestNumber,
    pub until: Moment,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    Request(RequestNumber),
    /// By the correlation id.
    FinishedRequest(u64),
    Waiter(CallId),
}
