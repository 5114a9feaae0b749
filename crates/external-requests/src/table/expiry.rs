//! Calls that end before their final reply, timers, and the shutdown of the router.

use tindoor::host::AttemptStatus;
use tindoor::time::Moment;

use super::finish::Completion;
use super::request::{DecisionLease, Progress, Timer};
use super::{ExternalRequestTable, end_attempt};
use crate::{CallId, CallReply, RefusalReason, RequestNumber, TableHost};

impl ExternalRequestTable {
    /// Handles the end of a call that the proxy ended or whose connection closed.
    pub fn call_ended(&mut self, now: Moment, call: CallId) {
        if let Some(waiter) = self.waiters.remove(&call) {
            self.timers.cancel(waiter.until, Timer::Waiter(call));
            return self.drop_waiter(waiter.number, call);
        }
        let Some(number) = self.calls.remove(&call) else { return };
        let until = now + self.limits.retry_window;
        let Some(request) = self.requests.get_mut(&number) else { return };
        match request.progress {
            Progress::AwaitingDecision(_) | Progress::AwaitingRetryDecision(_) => {
                self.counters.abandoned_before_decision += 1;
                request.progress = Progress::AwaitingNextCall { until };
            }
            Progress::DecisionIssued(lease) => {
                self.counters.abandoned_after_decision += 1;
                if !lease.is_sent {
                    request.clear_first_run(&lease);
                }
                request.progress = Progress::CallLost { lease, until };
            }
            _ => return,
        }
        self.set_timer(number, Some(until));
    }

    fn drop_waiter(&mut self, number: RequestNumber, call: CallId) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.waiters.retain(|waiter| *waiter != call);
        }
    }

    /// Handles all timers that are due. Must be called at the time that [`next_timer`](Self::next_timer)
    /// returns.
    pub fn timer_fired(&mut self, now: Moment, host: &mut impl TableHost) {
        self.remove_expired(now);
        while let Some((at, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::Waiter(call) => self.waiter_timed_out(host, call),
                Timer::Request(number) => self.request_timed_out(now, host, number, at),
            }
        }
    }

    /// Removes what is stored of finished requests and has expired.
    pub(super) fn remove_expired(&mut self, now: Moment) {
        self.idempotency_keys.remove_expired(now);
        self.finished.remove_expired(now);
        self.runs.remove_expired(now);
    }

    fn waiter_timed_out(&mut self, host: &mut impl TableHost, call: CallId) {
        let Some(waiter) = self.waiters.remove(&call) else { return };
        self.drop_waiter(waiter.number, call);
        let retry_after = host.retry_after();
        host.reply(call, CallReply::Rejected(retry_after, RefusalReason::IdempotencyKeyInUse));
    }

    fn request_timed_out(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        at: Moment,
    ) {
        let request = self.requests.get_mut(&number).filter(|request| request.timer == Some(at));
        let Some(request) = request else { return };
        request.timer = None;
        match request.progress {
            Progress::DecisionIssued(lease) => return self.lease_expired(now, host, number, lease),
            Progress::RetryReady { decision, until } if now < until => {
                return self.kept_decision_lapsed(host, number, decision, until);
            }
            Progress::RetryReady { decision, .. } => {
                end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, true);
            }
            Progress::CallLost { lease, .. } => {
                end_attempt(host, number, lease.decision.attempt_index, AttemptStatus::Cancelled, true);
            }
            Progress::AwaitingNextCall { .. } => {}
            Progress::AwaitingDecision(_) | Progress::AwaitingRetryDecision(_) => return,
        }
        self.abandon(now, host, number, None, RefusalReason::CorrelationIdInUse);
    }

    /// Ends a request whose decision was not reported on in time.
    ///
    /// Whether the attempt ran is unknown. It is reported as cancelled, which does not count against the
    /// endpoint.
    fn lease_expired(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        lease: DecisionLease,
    ) {
        if !self.checks.leases {
            return;
        }
        self.counters.unreported += 1;
        end_attempt(host, number, lease.decision.attempt_index, AttemptStatus::Cancelled, true);
        let pending_reply = self.requests.get(&number).and_then(|request| request.pending_reply);
        let reply = pending_reply.unwrap_or(CallReply::Failed(RefusalReason::NotReported));
        self.finish(now, host, number, Completion { call: Some(lease.call), reply, result: None });
    }

    /// Ends a request that no client waits for any longer.
    fn abandon(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        call: Option<CallId>,
        reason: RefusalReason,
    ) {
        host.request_abandoned(number);
        self.finish(now, host, number, Completion { call, reply: CallReply::Failed(reason), result: None });
    }

    /// Shuts down the table: ends every request and sends the final reply to every open call.
    pub fn shut_down(&mut self, now: Moment, host: &mut impl TableHost) {
        while let Some((&number, request)) = self.requests.first_key_value() {
            let (call, decision) = match request.progress {
                Progress::AwaitingDecision(call) | Progress::AwaitingRetryDecision(call) => {
                    (Some(call), None)
                }
                Progress::DecisionIssued(lease) => (Some(lease.call), Some(lease.decision)),
                Progress::CallLost { lease, .. } => (None, Some(lease.decision)),
                Progress::RetryReady { decision, .. } => (None, Some(decision)),
                Progress::AwaitingNextCall { .. } => (None, None),
            };
            if let Some(decision) = decision {
                end_attempt(host, number, decision.attempt_index, AttemptStatus::Cancelled, true);
            }
            self.abandon(now, host, number, call, RefusalReason::ShuttingDown);
        }
    }
}
