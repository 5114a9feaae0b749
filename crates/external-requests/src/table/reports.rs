//! The end of attempts and requests, by a proxy's report or because the routing engine rejects or fails the
//! request.

use tindoor::host::AttemptStatus;
use tindoor::time::{Moment, Span};

use super::finish::Completion;
use super::request::{DecisionLease, Progress};
use super::{ExternalRequestTable, end_attempt};
use crate::{CallId, CallReply, RefusalReason, Report, RequestNumber, TableHost};

impl ExternalRequestTable {
    /// Handles a proxy's report on how the attempt of a call ended.
    ///
    /// `correlation_id` is set if the report names the request; it must match the request of the call.
    pub fn report_received(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        call: CallId,
        correlation_id: Option<u64>,
        report: Report,
    ) {
        let Some((number, lease)) = self.issued_lease(call, correlation_id) else {
            self.counters.unmatched_reports += 1;
            return host.reply(call, CallReply::Failed(RefusalReason::UnknownDecision));
        };
        self.counters.reports += 1;
        self.count_late_use(&report);
        let Report { outcome, stored_result, .. } = report;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if outcome.status.certainly_did_not_run() {
            request.clear_first_run(&lease);
        }
        let attempt_index = lease.decision.attempt_index;
        let result = (outcome.status == AttemptStatus::Served).then_some(stored_result);
        if let Some(reply) = request.pending_reply.or(result.map(|_| CallReply::PassThrough)) {
            host.attempt_ended(number, attempt_index, outcome, true);
            return self.finish(now, host, number, Completion { call: Some(call), reply, result });
        }
        request.progress = Progress::AwaitingRetryDecision(call);
        self.set_timer(number, None);
        host.attempt_ended(number, attempt_index, outcome, false);
    }

    /// Returns the request and the lease that a report on this call belongs to. `None` if the call has no
    /// decision in flight, or if its request has another correlation id.
    fn issued_lease(
        &self,
        call: CallId,
        correlation_id: Option<u64>,
    ) -> Option<(RequestNumber, DecisionLease)> {
        let number = *self.calls.get(&call)?;
        let request = self.requests.get(&number)?;
        let Progress::DecisionIssued(lease) = request.progress else { return None };
        let is_same_request = correlation_id.is_none_or(|id| id == request.call.correlation_id);
        is_same_request.then_some((number, lease))
    }

    fn count_late_use(&mut self, report: &Report) {
        let is_late = report.used_after.is_some_and(|after| after > self.limits.use_within);
        self.counters.used_late += u64::from(is_late);
    }

    /// Handles the rejection of a request by the routing engine. The client can retry it safely, preferably
    /// after `retry_after`, if it is given.
    pub fn request_rejected(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        retry_after: Option<Span>,
    ) {
        self.finish_unserved(now, host, number, CallReply::Rejected(retry_after, RefusalReason::GaveUp));
    }

    /// Handles the failure of a request, as decided by the routing engine.
    pub fn request_failed(&mut self, now: Moment, host: &mut impl TableHost, number: RequestNumber) {
        self.finish_unserved(now, host, number, CallReply::Failed(RefusalReason::GaveUp));
    }

    /// Completes a request without a result. If a decision for the request may be in use, keeps
    /// `reply` until that attempt ends.
    fn finish_unserved(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        reply: CallReply,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let call = match request.progress {
            Progress::AwaitingDecision(call) | Progress::AwaitingRetryDecision(call) => Some(call),
            Progress::AwaitingNextCall { .. } => None,
            Progress::RetryReady { decision, .. } => {
                end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, true);
                None
            }
            Progress::DecisionIssued(lease) if !lease.is_sent => {
                request.clear_first_run(&lease);
                end_attempt(host, number, lease.decision.attempt_index, AttemptStatus::Superseded, true);
                Some(lease.call)
            }
            // The proxy already has its decision. It can only get another reply when it reports.
            Progress::DecisionIssued(_) | Progress::CallLost { .. } => {
                request.pending_reply = Some(reply);
                return;
            }
        };
        self.finish(now, host, number, Completion { call, reply, result: None });
    }
}
