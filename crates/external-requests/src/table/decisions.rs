//! Decisions of the routing engine: they are issued to calls, sent, cancelled or withdrawn.

use tindoor::host::AttemptStatus;
use tindoor::time::Moment;

use super::request::{DecisionLease, Progress};
use super::{ExternalRequestTable, end_attempt};
use crate::{CallId, CallReply, ExternalRequest, RequestNumber, RoutingDecision, TableHost};

impl ExternalRequestTable {
    /// Handles the routing engine's decision to send an attempt of a request.
    pub fn decision_made(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        decision: RoutingDecision,
    ) {
        let Some(request) = self.requests.get(&number) else { return };
        match request.progress {
            Progress::AwaitingDecision(call) => self.issue(now, host, number, call, decision),
            Progress::AwaitingRetryDecision(call) => {
                self.calls.remove(&call);
                self.keep_for_retry(number, decision, now + self.limits.retry_window);
                host.reply(call, CallReply::AwaitRetry);
            }
            Progress::AwaitingNextCall { until } => self.keep_for_retry(number, decision, until),
            // Only one attempt may be in flight at a time, so this one is dropped.
            Progress::DecisionIssued(_) | Progress::RetryReady { .. } | Progress::CallLost { .. } => {
                end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, false);
            }
        }
    }

    fn keep_for_retry(&mut self, number: RequestNumber, decision: RoutingDecision, until: Moment) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.progress = Progress::RetryReady { decision, until };
        self.set_timer(number, Some(decision.send_by.map_or(until, |send_by| send_by.min(until))));
    }

    /// Withdraws a decision that was kept for the next call, as its attempt must not begin any more. The request is
    /// kept for its next call, and the routing engine decides again.
    pub(super) fn kept_decision_lapsed(
        &mut self,
        host: &mut impl TableHost,
        number: RequestNumber,
        decision: RoutingDecision,
        until: Moment,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        self.counters.lapsed += 1;
        request.progress = Progress::AwaitingNextCall { until };
        self.set_timer(number, Some(until));
        end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, false);
    }

    /// Issues a decision to a call, with a lease that limits how long the decision stays in flight.
    pub(super) fn issue(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        call: CallId,
        decision: RoutingDecision,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let time_remaining = decision.timeout.min(request.deadline.since(now));
        let max_use = self.limits.use_within.min(time_remaining);
        let Some(use_within) = decision.limit_use(now, max_use) else {
            self.counters.lapsed += 1;
            request.progress = Progress::AwaitingDecision(call);
            self.set_timer(number, None);
            return end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, false);
        };
        self.counters.decisions += 1;
        let expires_at = now + use_within + time_remaining + self.limits.report_grace;
        request.first_ran = request.first_ran.or(Some((now, decision.endpoint)));
        let lease = DecisionLease { decision, issued_at: now, expires_at, call, use_within, is_sent: false };
        request.progress = Progress::DecisionIssued(lease);
        self.set_timer(number, Some(expires_at));
        host.reply(call, CallReply::Decision { decision, use_within, time_remaining });
    }

    /// Marks a reply as sent. Must be called right before the reply is sent.
    ///
    /// Returns `false` if the reply is a decision that has been withdrawn, or whose attempt would begin too late: it
    /// must not be sent, and the call waits for the next reply.
    pub fn confirm_send(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        call: CallId,
        reply: &CallReply,
    ) -> bool {
        let CallReply::Decision { decision, .. } = reply else { return true };
        let Some(&number) = self.calls.get(&call) else { return false };
        let Some(request) = self.requests.get_mut(&number) else { return false };
        match &mut request.progress {
            Progress::DecisionIssued(lease) if lease.call == call && lease.decision == *decision => {
                lease.is_sent = lease.may_be_sent(now);
                if !lease.is_sent {
                    let lease = *lease;
                    self.counters.lapsed += 1;
                    self.withdraw(host, number, lease);
                    return false;
                }
                true
            }
            _ => false,
        }
    }

    /// Handles the cancellation of an attempt by the routing engine.
    ///
    /// An attempt whose decision was sent can't be cancelled while its call is open: it ends when the proxy
    /// reports on it or the decision expires.
    pub fn attempt_cancelled(
        &mut self,
        host: &mut impl TableHost,
        number: RequestNumber,
        attempt_index: u16,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        match request.progress {
            Progress::DecisionIssued(lease)
                if lease.decision.attempt_index == attempt_index && !lease.is_sent =>
            {
                self.counters.withdrawn += 1;
                self.withdraw(host, number, lease);
            }
            Progress::RetryReady { decision: RoutingDecision { attempt_index: current, .. }, until }
            | Progress::CallLost {
                lease: DecisionLease { decision: RoutingDecision { attempt_index: current, .. }, .. },
                until,
            } if current == attempt_index => {
                request.progress = Progress::AwaitingNextCall { until };
                end_attempt(host, number, attempt_index, AttemptStatus::Cancelled, false);
            }
            _ => {}
        }
    }

    /// Withdraws the unsent decisions that are stale after a change of the endpoint list or a purge.
    ///
    /// `is_stale` returns whether a decision would be different now. Stale decisions that have been sent are
    /// only counted.
    pub fn withdraw_stale_decisions(
        &mut self,
        host: &mut impl TableHost,
        is_stale: impl Fn(&ExternalRequest, &RoutingDecision) -> bool,
    ) {
        let numbers: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for number in numbers {
            let Some(request) = self.requests.get_mut(&number) else { continue };
            match request.progress {
                Progress::DecisionIssued(lease) if is_stale(&request.call, &lease.decision) => {
                    if lease.is_sent || !self.checks.withdrawal {
                        self.counters.stale += 1;
                    } else {
                        self.counters.withdrawn += 1;
                        self.withdraw(host, number, lease);
                    }
                }
                Progress::RetryReady { decision, until }
                    if self.checks.withdrawal && is_stale(&request.call, &decision) =>
                {
                    self.counters.withdrawn += 1;
                    request.progress = Progress::AwaitingNextCall { until };
                    end_attempt(host, number, decision.attempt_index, AttemptStatus::Superseded, false);
                }
                _ => {}
            }
        }
    }

    /// Withdraws a decision that has not been sent. Its call waits for the next decision.
    fn withdraw(&mut self, host: &mut impl TableHost, number: RequestNumber, lease: DecisionLease) {
        self.set_timer(number, None);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.progress = Progress::AwaitingDecision(lease.call);
        request.clear_first_run(&lease);
        end_attempt(host, number, lease.decision.attempt_index, AttemptStatus::Superseded, false);
    }
}
