//! Further calls for a request in flight.

use std::mem;

use tindoor::host::AttemptStatus;
use tindoor::time::Moment;

use super::finish::Completion;
use super::request::Progress;
use super::{ExternalRequestTable, end_attempt};
use crate::{CallId, CallReply, ExternalRequest, RefusalReason, RequestNumber, TableHost};

impl ExternalRequestTable {
    /// Handles a call with the correlation id of a request in flight.
    ///
    /// A call for a later attempt means that the proxy has given up the earlier attempt.
    pub(super) fn retry_received(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        call: CallId,
        retry: ExternalRequest,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if !request.accepts_retry(&retry) {
            self.counters.rejected += 1;
            return host.reply(call, CallReply::Failed(RefusalReason::CorrelationIdInUse));
        }
        request.attempt = retry.attempt;
        match mem::replace(&mut request.progress, Progress::AwaitingDecision(call)) {
            Progress::AwaitingDecision(previous) | Progress::AwaitingRetryDecision(previous) => {
                self.supersede(host, previous);
            }
            Progress::DecisionIssued(lease) => {
                self.supersede(host, lease.call);
                self.cancel_for_retry(now, host, number, call, lease.decision.attempt_index);
            }
            Progress::CallLost { lease, .. } => {
                self.cancel_for_retry(now, host, number, call, lease.decision.attempt_index);
            }
            Progress::RetryReady { decision, .. } => {
                self.calls.insert(call, number);
                return self.issue(now, host, number, call, decision);
            }
            Progress::AwaitingNextCall { .. } => {}
        }
        if self.requests.contains_key(&number) {
            self.calls.insert(call, number);
            self.set_timer(number, None);
        }
    }

    fn supersede(&mut self, host: &mut impl TableHost, previous: CallId) {
        self.counters.superseded += 1;
        self.calls.remove(&previous);
        host.reply(previous, CallReply::Failed(RefusalReason::Superseded));
    }

    /// Cancels the attempt in flight, to make way for a retry. If the routing engine has meanwhile rejected
    /// or failed the request, the retry gets the final reply.
    fn cancel_for_retry(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        call: CallId,
        attempt_index: u16,
    ) {
        let pending_reply = self.requests.get(&number).and_then(|request| request.pending_reply);
        end_attempt(host, number, attempt_index, AttemptStatus::Cancelled, pending_reply.is_some());
        if let Some(reply) = pending_reply {
            self.finish(now, host, number, Completion { call: Some(call), reply, result: None });
        }
    }
}
