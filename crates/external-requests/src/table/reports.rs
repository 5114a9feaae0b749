//! Ends of attempts and requests: a proxy reports, or the routing engine gives the request up.

use tindoor::host::AttemptStatus;
use tindoor::time::{Moment, Span};

use super::finish::Ending;
use super::request::{DecisionLease, Progress};
use super::{ExternalRequestTable, end_attempt};
use crate::{CallId, CallReply, RefusalReason, Report, RequestNumber, TableHost};

impl ExternalRequestTable {
    /// A proxy reports on a call how its attempt ended; `correlation_id` where it names the request again.
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
        if surely_never_ran(outcome.status) {
            request.clear_first_run(&lease);
        }
        let attempt_index = lease.decision.attempt_index;
        let result = (outcome.status == AttemptStatus::Served).then_some(stored_result);
        if let Some(reply) = request.pending_reply.or(result.map(|_| CallReply::PassThrough)) {
            host.attempt_ended(number, attempt_index, outcome, true);
            return self.finish(now, host, number, Ending { call: Some(call), reply, result });
        }
        request.progress = Progress::AwaitingRetryDecision(call);
        self.set_timer(number, None);
        host.attempt_ended(number, attempt_index, outcome, false);
    }

    /// The lease that a report on this call belongs to.
    fn issued_lease(
        &self,
        call: CallId,
        correlation_id: Option<u64>,
    ) -> Option<(RequestNumber, DecisionLease)> {
        let number = *self.calls.get(&call)?;
        let request = self.requests.get(&number)?;
        let Progress::DecisionIssued(lease) = request.progress else { return None };
        let is_named = correlation_id.is_none_or(|id| id == request.call.correlation_id);
        is_named.then_some((number, lease))
    }

    fn count_late_use(&mut self, report: &Report) {
        let is_late = report.used_after.is_some_and(|after| after > self.limits.use_within);
        self.counters.used_late += u64::from(is_late);
    }

    /// The routing engine rejects the request: a retry is harmless, best after `retry_after`.
    pub fn request_rejected(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        retry_after: Option<Span>,
    ) {
        self.give_up(now, host, number, CallReply::Rejected(retry_after, RefusalReason::GaveUp));
    }

    /// The routing engine fails the request.
    pub fn request_failed(&mut self, now: Moment, host: &mut impl TableHost, number: RequestNumber) {
        self.give_up(now, host, number, CallReply::Failed(RefusalReason::GaveUp));
    }

    fn give_up(&mut self, now: Moment, host: &mut impl TableHost, number: RequestNumber, reply: CallReply) {
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
            // A reply is only possible in answer to the report.
            Progress::DecisionIssued(_) | Progress::CallLost { .. } => {
                request.pending_reply = Some(reply);
                return;
            }
        };
        self.finish(now, host, number, Ending { call, reply, result: None });
    }
}

/// Whether an attempt that ended so never ran. What an earlier attempt may have done is not undone by that.
fn surely_never_ran(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::Overloaded
            | AttemptStatus::Unreachable
            | AttemptStatus::Superseded
            | AttemptStatus::Miss
    )
}
