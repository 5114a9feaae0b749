//! The table of requests in hand: one method for each thing that can happen.

use std::collections::BTreeMap;

use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};

use crate::idempotency_keys::{IdempotencyKeys, State};
use crate::timers::Timers;
use crate::{
    CallId, CallReply, ExternalRequest, RefusalReason, Report, RequestNumber, RoutingDecision, StoredResult,
    TableHost,
};

/// Every size and time that the table keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Requests in hand at once.
    pub max_requests: usize,
    /// Marks known at once.
    pub max_idempotency_keys: usize,
    /// Tickets of requests that are over, known at once.
    pub max_finished: usize,
    /// Calls that wait for the end of one mark.
    pub max_waiters: usize,
    /// How long a choice may lie at a proxy before it is used: half the drain grace and half the purge grace
    /// at most, so that what is told after it was given still meets its use within the grace.
    pub use_within: Span,
    /// How long after a choice's own time its report may still come.
    pub report_grace: Span,
    /// How long a request is kept for its next call once a try of it has ended.
    pub retry_window: Span,
    /// How long a write that may have run may run again, by its mark.
    pub idempotency_window: Span,
    /// The longest that a client may wait for one request, its own retries counted.
    pub max_request_time: Span,
}

/// The checks that an experiment may take out, to see that its audit notices. All stand in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EnabledChecks {
    /// A mark is asked for once at a time.
    pub idempotency_keys: bool,
    /// A request is the same one over several calls.
    pub correlation_ids: bool,
    /// What is told between choice and use takes back what has not left.
    pub withdrawal: bool,
    /// A choice ends once nothing is reported in its time.
    pub leases: bool,
}

impl Default for EnabledChecks {
    fn default() -> Self {
        Self { idempotency_keys: true, correlation_ids: true, withdrawal: true, leases: true }
    }
}

/// What happened so far, by its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub calls: u64,
    pub decisions: u64,
    pub reports: u64,
    /// Ended by the proxy before it had its choice, and after it.
    pub abandoned_before_decision: u64,
    pub abandoned_after_decision: u64,
    pub unreported: u64,
    /// Reports of no choice that is out: late, given twice, or for another request.
    pub unmatched_reports: u64,
    pub superseded: u64,
    pub used_late: u64,
    /// Choices taken back before they left, and those that were out when a change made them stale.
    pub withdrawn: u64,
    pub stale: u64,
    /// Calls that waited for the end of another with their mark, and that were told one known already.
    pub waited_for_key: u64,
    pub replayed: u64,
    pub rejected: u64,
}

/// A choice that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    decision: RoutingDecision,
    given: Moment,
    /// When it is over, reported or not.
    due: Moment,
    stream: CallId,
    /// It has left for the proxy: it can't be taken back.
    sent: bool,
}

/// Where a request stands with its proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// A call waits for what the routing engine orders.
    Asking(CallId),
    /// A choice is out.
    Out(Lease),
    /// A failure was reported; what comes of it is told on that call.
    Deciding(CallId),
    /// The routing engine has ordered a further choice, and no call asks for it; until then.
    Parked(RoutingDecision, Moment),
    /// The try ended without a word after its choice: its end is told with the next call, or with the last of
    /// it.
    Lapsed(Lease, Moment),
    /// The call ended before its choice came: the next one may come until then.
    Unasked(Moment),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    call: ExternalRequest,
    attempt: u32,
    /// When its client stops to wait.
    end: Moment,
    stand: Progress,
    /// When and where it first may have run.
    first_ran: Option<(Moment, EndpointId)>,
    /// The routing engine has given it up while its choice was out; told with the report.
    given_up: Option<CallReply>,
    /// Other calls with its mark that wait for its end.
    waiters: Vec<CallId>,
    timer: Option<Moment>,
}

/// A request that is over, as further calls with its ticket are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FinishedRequest {
    say: CallReply,
    until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Timer {
    Request(RequestNumber),
    FinishedRequest(u64),
    Waiter(CallId),
}

/// Requests in hand, tickets lately over, and marks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExternalRequestTable {
    limits: Limits,
    checks: EnabledChecks,
    started: Moment,
    serial: u64,
    requests: BTreeMap<RequestNumber, Request>,
    correlation_ids: BTreeMap<u64, RequestNumber>,
    over: BTreeMap<u64, FinishedRequest>,
    streams: BTreeMap<CallId, RequestNumber>,
    /// Calls that wait for a mark, and until when.
    waiting: BTreeMap<CallId, (RequestNumber, Moment)>,
    idempotency_keys: IdempotencyKeys,
    timers: Timers<Timer>,
    pub counters: Counters,
}

/// A link that lapsed between two tries was good when the request began; one that never was is somebody else's.
fn stranger(call: &ExternalRequest) -> bool {
    !matches!(call.authorization, Authorization::Granted | Authorization::Expired)
}

impl ExternalRequestTable {
    pub fn new(limits: Limits, checks: EnabledChecks, now: Moment) -> Self {
        Self {
            limits,
            checks,
            started: now,
            serial: 0,
            requests: BTreeMap::new(),
            correlation_ids: BTreeMap::new(),
            over: BTreeMap::new(),
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            idempotency_keys: IdempotencyKeys::default(),
            timers: Timers::default(),
            counters: Counters::default(),
        }
    }

    /// Requests in hand.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    pub fn idempotency_keys(&self) -> &IdempotencyKeys {
        &self.idempotency_keys
    }

    /// When [`timer_fired`](Self::timer_fired) is to be called next.
    pub fn next_timer(&self) -> Option<Moment> {
        self.timers.next().into_iter().chain(self.idempotency_keys.next()).min()
    }

    /// A proxy asks for a choice.
    pub fn call_received(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        stream: CallId,
        call: ExternalRequest,
    ) {
        self.counters.calls += 1;
        self.idempotency_keys.sweep(now);
        let known =
            self.correlation_ids.get(&call.correlation_id).copied().filter(|_| self.checks.correlation_ids);
        if let Some(serial) = known {
            return self.again(now, host, stream, call, serial);
        }
        let over = self
            .over
            .get(&call.correlation_id)
            .copied()
            .filter(|over| self.checks.correlation_ids && over.until > now);
        if let Some(FinishedRequest { say, .. }) = over {
            self.counters.rejected += 1;
            // What a write came to is for those whose link holds.
            return host.reply(
                stream,
                if stranger(&call) { CallReply::Failed(RefusalReason::CorrelationIdInUse) } else { say },
            );
        }
        if self.requests.len() >= self.limits.max_requests || self.over.len() >= self.limits.max_finished {
            return self.turn_away(host, stream);
        }
        let mut first_ran = None;
        // Whose link is refused hears nothing of another's write, and takes no mark in hand.
        let idempotency_key = call
            .idempotency_key
            .filter(|_| self.checks.idempotency_keys && call.authorization == Authorization::Granted);
        if let Some(idempotency_key) = idempotency_key {
            match self.idempotency_keys.state(idempotency_key) {
                Some(State::InHand(first)) => return self.wait_for(now, host, stream, call, first),
                Some(State::Done(known)) => {
                    self.counters.replayed += 1;
                    return host.reply(stream, CallReply::Replayed(known));
                }
                Some(State::Ran(at, cache)) => first_ran = Some((at, cache)),
                // A router that has just started knows no marks. A further try may be one that ran before,
                // nobody knows when: the routing engine is told of it as long past, and does not have it run again.
                None if call.client_retry || call.attempt > 1 => {
                    let unsure = self.started + self.limits.idempotency_window + self.limits.max_request_time;
                    first_ran = Some((Moment::default(), EndpointId(0))).filter(|_| now < unsure);
                }
                None => {}
            }
            if !self.idempotency_keys.take(
                idempotency_key,
                RequestNumber(self.serial + 1),
                self.limits.max_idempotency_keys,
            ) {
                return self.turn_away(host, stream);
            }
        }
        self.serial += 1;
        let serial = RequestNumber(self.serial);
        let request = Request {
            call,
            attempt: call.attempt,
            end: now + call.time_remaining.min(self.limits.max_request_time),
            stand: Progress::Asking(stream),
            first_ran,
            given_up: None,
            waiters: Vec::new(),
            timer: None,
        };
        self.requests.insert(serial, request);
        self.correlation_ids.insert(call.correlation_id, serial);
        self.streams.insert(stream, serial);
        host.request_started(serial, &call, first_ran);
    }

    fn turn_away(&mut self, host: &mut impl TableHost, stream: CallId) {
        self.counters.rejected += 1;
        let retry_after = host.retry_after();
        host.reply(stream, CallReply::Rejected(retry_after, RefusalReason::NoCapacity));
    }

    /// A write that is in hand by its mark is asked for again: its end is this call's, too.
    fn wait_for(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        stream: CallId,
        call: ExternalRequest,
        first: RequestNumber,
    ) {
        let room = self.limits.max_waiters;
        let Some(request) = self.requests.get_mut(&first).filter(|request| request.waiters.len() < room)
        else {
            return self.turn_away(host, stream);
        };
        self.counters.waited_for_key += 1;
        request.waiters.push(stream);
        let until = now + call.time_remaining.min(self.limits.max_request_time);
        self.waiting.insert(stream, (first, until));
        self.timers.set(until, Timer::Waiter(stream));
    }

    /// A further call of a request in hand.
    fn again(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        stream: CallId,
        call: ExternalRequest,
        serial: RequestNumber,
    ) {
        let Some(request) = self.requests.get_mut(&serial) else { return };
        let what = |call: &ExternalRequest| (call.class, call.object, call.part, call.idempotency_key);
        if call.attempt <= request.attempt || what(&call) != what(&request.call) || stranger(&call) {
            self.counters.rejected += 1;
            return host.reply(stream, CallReply::Failed(RefusalReason::CorrelationIdInUse));
        }
        request.attempt = call.attempt;
        let stand = request.stand;
        match stand {
            // The later call stands for the proxy's word that it has given the earlier one up.
            Progress::Asking(old) | Progress::Deciding(old) => {
                request.stand = Progress::Asking(stream);
                self.overtake(host, old);
            }
            Progress::Out(Lease { stream: old, decision, .. }) => {
                request.stand = Progress::Asking(stream);
                self.overtake(host, old);
                if !self.refused(now, host, serial, stream, decision.attempt_index) {
                    host.attempt_ended(
                        serial,
                        decision.attempt_index,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        false,
                    );
                }
            }
            Progress::Lapsed(Lease { decision, .. }, _) => {
                request.stand = Progress::Asking(stream);
                if !self.refused(now, host, serial, stream, decision.attempt_index) {
                    host.attempt_ended(
                        serial,
                        decision.attempt_index,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        false,
                    );
                }
            }
            Progress::Parked(decision, _) => {
                self.streams.insert(stream, serial);
                return self.give(now, host, serial, stream, decision);
            }
            Progress::Unasked(_) => request.stand = Progress::Asking(stream),
        }
        if self.requests.contains_key(&serial) {
            self.streams.insert(stream, serial);
            self.set_timer(serial, None);
        }
    }

    /// Where the routing engine has given the request up meanwhile, the next call is told so.
    fn refused(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        stream: CallId,
        nth: u16,
    ) -> bool {
        let Some(say) = self.requests.get(&serial).and_then(|request| request.given_up) else { return false };
        host.attempt_ended(serial, nth, Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown), true);
        self.finish(now, host, serial, Some(stream), say, None);
        true
    }

    fn overtake(&mut self, host: &mut impl TableHost, old: CallId) {
        self.counters.superseded += 1;
        self.streams.remove(&old);
        host.reply(old, CallReply::Failed(RefusalReason::Superseded));
    }

    /// The routing engine ordered a attempt.
    pub fn decision_made(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        decision: RoutingDecision,
    ) {
        let Some(request) = self.requests.get(&serial) else { return };
        match request.stand {
            Progress::Asking(stream) => self.give(now, host, serial, stream, decision),
            Progress::Deciding(stream) => {
                self.streams.remove(&stream);
                self.park(now, serial, decision);
                host.reply(stream, CallReply::AwaitRetry);
            }
            Progress::Unasked(until) => self.park_until(serial, decision, until),
            // One is out already: a second is not carried.
            Progress::Out(_) | Progress::Parked(..) | Progress::Lapsed(..) => {
                host.attempt_ended(
                    serial,
                    decision.attempt_index,
                    Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                    false,
                );
            }
        }
    }

    fn park(&mut self, now: Moment, serial: RequestNumber, decision: RoutingDecision) {
        self.park_until(serial, decision, now + self.limits.retry_window);
    }

    fn park_until(&mut self, serial: RequestNumber, decision: RoutingDecision, until: Moment) {
        let Some(request) = self.requests.get_mut(&serial) else { return };
        request.stand = Progress::Parked(decision, until);
        self.set_timer(serial, Some(until));
    }

    fn give(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        stream: CallId,
        decision: RoutingDecision,
    ) {
        let Some(request) = self.requests.get_mut(&serial) else { return };
        self.counters.decisions += 1;
        let left = decision.timeout.min(request.end.since(now));
        let use_within = self.limits.use_within.min(left);
        let due = now + use_within + left + self.limits.report_grace;
        request.first_ran = request.first_ran.or(Some((now, decision.endpoint)));
        request.stand = Progress::Out(Lease { decision, given: now, due, stream, sent: false });
        self.set_timer(serial, Some(due));
        host.reply(stream, CallReply::Decision { decision, use_within, time_remaining: left });
    }

    /// What was said to that call is about to leave for the proxy; false where it was taken back meanwhile,
    /// and the call has to wait for the next word.
    pub fn confirm_send(&mut self, stream: CallId, say: &CallReply) -> bool {
        let CallReply::Decision { decision, .. } = say else { return true };
        let request = self.streams.get(&stream).and_then(|serial| self.requests.get_mut(serial));
        match request.map(|request| &mut request.stand) {
            Some(Progress::Out(lease)) if lease.stream == stream && lease.decision == *decision => {
                lease.sent = true;
                true
            }
            _ => false,
        }
    }

    /// Whether that call's choice is out for a request with this ticket.
    pub fn awaits_report(&self, stream: CallId, correlation_id: u64) -> bool {
        let request = self.streams.get(&stream).and_then(|serial| self.requests.get(serial));
        request.is_some_and(|request| {
            request.call.correlation_id == correlation_id && matches!(request.stand, Progress::Out(_))
        })
    }

    /// Whether a request with this ticket is in hand.
    pub fn contains(&self, correlation_id: u64) -> bool {
        self.correlation_ids.contains_key(&correlation_id)
    }

    /// The routing engine stops waiting for a attempt. One that a proxy has can't be called back; its end is told
    /// when it is reported, or in its time.
    pub fn attempt_cancelled(&mut self, host: &mut impl TableHost, serial: RequestNumber, nth: u16) {
        let Some(request) = self.requests.get(&serial) else { return };
        match request.stand {
            Progress::Out(lease) if lease.decision.attempt_index == nth && !lease.sent => {
                self.withdraw(host, serial, lease)
            }
            Progress::Parked(decision, until) if decision.attempt_index == nth => {
                if let Some(request) = self.requests.get_mut(&serial) {
                    request.stand = Progress::Unasked(until);
                }
                host.attempt_ended(
                    serial,
                    nth,
                    Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                    false,
                );
            }
            Progress::Lapsed(lease, until) if lease.decision.attempt_index == nth => {
                if let Some(request) = self.requests.get_mut(&serial) {
                    request.stand = Progress::Unasked(until);
                }
                host.attempt_ended(
                    serial,
                    nth,
                    Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                    false,
                );
            }
            _ => {}
        }
    }

    /// A choice that has not left is taken back: the call waits for the next.
    fn withdraw(&mut self, host: &mut impl TableHost, serial: RequestNumber, lease: Lease) {
        self.counters.withdrawn += 1;
        self.set_timer(serial, None);
        let Some(request) = self.requests.get_mut(&serial) else { return };
        request.stand = Progress::Asking(lease.stream);
        // It never left: it can't have run.
        request.first_ran =
            request.first_ran.filter(|first_ran| *first_ran != (lease.given, lease.decision.endpoint));
        host.attempt_ended(
            serial,
            lease.decision.attempt_index,
            Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
            false,
        );
    }

    /// The routing engine rejects the request: a retry is harmless, best after `retry_after`.
    pub fn request_rejected(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        retry_after: Option<Span>,
    ) {
        let reply = CallReply::Rejected(retry_after, RefusalReason::GaveUp);
        self.request_given_up(now, host, serial, reply);
    }

    /// The routing engine fails the request.
    pub fn request_failed(&mut self, now: Moment, host: &mut impl TableHost, serial: RequestNumber) {
        self.request_given_up(now, host, serial, CallReply::Failed(RefusalReason::GaveUp));
    }

    fn request_given_up(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        say: CallReply,
    ) {
        let Some(request) = self.requests.get_mut(&serial) else { return };
        match request.stand {
            Progress::Asking(stream) | Progress::Deciding(stream) => {
                self.finish(now, host, serial, Some(stream), say, None);
            }
            Progress::Parked(decision, _) => {
                host.attempt_ended(
                    serial,
                    decision.attempt_index,
                    Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                    true,
                );
                self.finish(now, host, serial, None, say, None);
            }
            Progress::Unasked(_) => self.finish(now, host, serial, None, say, None),
            Progress::Out(lease) if !lease.sent => {
                // It lay unsent: it never ran.
                request.first_ran = request
                    .first_ran
                    .filter(|first_ran| *first_ran != (lease.given, lease.decision.endpoint));
                host.attempt_ended(
                    serial,
                    lease.decision.attempt_index,
                    Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                    true,
                );
                self.finish(now, host, serial, Some(lease.stream), say, None);
            }
            // Told on the report, as nothing can be said before.
            Progress::Out(_) | Progress::Lapsed(..) => request.given_up = Some(say),
        }
    }

    /// A proxy reports on a call how its attempt ended; `correlation_id` where it names the request again.
    pub fn report_received(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        stream: CallId,
        correlation_id: Option<u64>,
        report: Report,
    ) {
        let serial = self.streams.get(&stream).copied();
        let request = serial.and_then(|serial| Some((serial, self.requests.get_mut(&serial)?)));
        let out = request.and_then(|(serial, request)| match request.stand {
            Progress::Out(lease)
                if correlation_id
                    .is_none_or(|correlation_id| correlation_id == request.call.correlation_id) =>
            {
                Some((serial, request, lease))
            }
            _ => None,
        });
        let Some((serial, request, lease)) = out else {
            self.counters.unmatched_reports += 1;
            return host.reply(stream, CallReply::Failed(RefusalReason::UnknownDecision));
        };
        let used_late = report.used_after.is_some_and(|after| after > self.limits.use_within);
        self.counters.used_late += u64::from(used_late);
        self.counters.reports += 1;
        let Report { outcome, stored_result: known, .. } = report;
        let verdict = outcome.status;
        let void = matches!(
            verdict,
            AttemptStatus::Overloaded
                | AttemptStatus::Unreachable
                | AttemptStatus::Superseded
                | AttemptStatus::Miss
        );
        if void {
            // What the first attempt may have done is not undone by a later one's word.
            request.first_ran =
                request.first_ran.filter(|first_ran| *first_ran != (lease.given, lease.decision.endpoint));
        }
        let given_up = request.given_up;
        if let Some(say) = given_up {
            host.attempt_ended(serial, lease.decision.attempt_index, outcome, true);
            let done = (verdict == AttemptStatus::Served).then_some(known);
            return self.finish(now, host, serial, Some(stream), say, done);
        }
        if verdict == AttemptStatus::Served {
            host.attempt_ended(serial, lease.decision.attempt_index, outcome, true);
            return self.finish(now, host, serial, Some(stream), CallReply::PassThrough, Some(known));
        }
        request.stand = Progress::Deciding(stream);
        self.set_timer(serial, None);
        host.attempt_ended(serial, lease.decision.attempt_index, outcome, false);
    }

    /// A call ended, by its proxy or with its connection.
    pub fn call_ended(&mut self, now: Moment, stream: CallId) {
        if let Some((first, until)) = self.waiting.remove(&stream) {
            self.timers.unset(until, Timer::Waiter(stream));
            if let Some(request) = self.requests.get_mut(&first) {
                request.waiters.retain(|waiter| *waiter != stream);
            }
            return;
        }
        let Some(serial) = self.streams.remove(&stream) else { return };
        let until = now + self.limits.retry_window;
        let Some(request) = self.requests.get_mut(&serial) else { return };
        match request.stand {
            Progress::Asking(_) | Progress::Deciding(_) => {
                self.counters.abandoned_before_decision += 1;
                request.stand = Progress::Unasked(until);
            }
            Progress::Out(lease) => {
                self.counters.abandoned_after_decision += 1;
                if !lease.sent {
                    // It never left: it can't have run.
                    request.first_ran = request
                        .first_ran
                        .filter(|first_ran| *first_ran != (lease.given, lease.decision.endpoint));
                }
                request.stand = Progress::Lapsed(lease, until);
            }
            _ => return,
        }
        self.set_timer(serial, Some(until));
    }

    /// The list of caches or a purge was told. `stale` says whether a choice for that call would now be
    /// another.
    pub fn withdraw_stale_decisions(
        &mut self,
        host: &mut impl TableHost,
        stale: impl Fn(&ExternalRequest, &RoutingDecision) -> bool,
    ) {
        let serials: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for serial in serials {
            let Some(request) = self.requests.get(&serial) else { continue };
            match request.stand {
                Progress::Out(lease) if stale(&request.call, &lease.decision) => match lease.sent {
                    false if self.checks.withdrawal => self.withdraw(host, serial, lease),
                    _ => self.counters.stale += 1,
                },
                Progress::Parked(decision, until)
                    if self.checks.withdrawal && stale(&request.call, &decision) =>
                {
                    self.counters.withdrawn += 1;
                    if let Some(request) = self.requests.get_mut(&serial) {
                        request.stand = Progress::Unasked(until);
                    }
                    host.attempt_ended(
                        serial,
                        decision.attempt_index,
                        Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                        false,
                    );
                }
                _ => {}
            }
        }
    }

    /// The time asked for by [`next_timer`](Self::next_timer) has come.
    pub fn timer_fired(&mut self, now: Moment, host: &mut impl TableHost) {
        self.idempotency_keys.sweep(now);
        while let Some((at, timer)) = self.timers.take(now) {
            match timer {
                Timer::FinishedRequest(correlation_id) => {
                    if self.over.get(&correlation_id).is_some_and(|over| over.until == at) {
                        self.over.remove(&correlation_id);
                    }
                }
                Timer::Waiter(stream) => {
                    let Some((first, _)) = self.waiting.remove(&stream) else { continue };
                    if let Some(request) = self.requests.get_mut(&first) {
                        request.waiters.retain(|waiter| *waiter != stream);
                    }
                    let retry_after = host.retry_after();
                    host.reply(stream, CallReply::Rejected(retry_after, RefusalReason::IdempotencyKeyInUse));
                }
                Timer::Request(serial) => self.request_due(now, host, serial, at),
            }
        }
    }

    fn request_due(&mut self, now: Moment, host: &mut impl TableHost, serial: RequestNumber, at: Moment) {
        let Some(request) = self.requests.get_mut(&serial).filter(|request| request.timer == Some(at)) else {
            return;
        };
        request.timer = None;
        let untold = OutcomeDetail::Unknown;
        match request.stand {
            Progress::Out(lease) => {
                if !self.checks.leases {
                    return;
                }
                self.counters.unreported += 1;
                // Nobody knows whether it ran, nor whose fault it is: a proxy that says nothing blames no
                // cache.
                host.attempt_ended(
                    serial,
                    lease.decision.attempt_index,
                    Outcome::new(AttemptStatus::Cancelled, untold),
                    true,
                );
                let say = request.given_up.unwrap_or(CallReply::Failed(RefusalReason::NotReported));
                self.finish(now, host, serial, Some(lease.stream), say, None);
            }
            Progress::Parked(decision, _) => {
                host.attempt_ended(
                    serial,
                    decision.attempt_index,
                    Outcome::new(AttemptStatus::Superseded, untold),
                    true,
                );
                self.leave(now, host, serial);
            }
            Progress::Lapsed(lease, _) => {
                host.attempt_ended(
                    serial,
                    lease.decision.attempt_index,
                    Outcome::new(AttemptStatus::Cancelled, untold),
                    true,
                );
                self.leave(now, host, serial);
            }
            Progress::Unasked(_) => self.leave(now, host, serial),
            Progress::Asking(_) | Progress::Deciding(_) => {}
        }
    }

    /// No further call came: whoever asked has left, with whatever answer the proxy gave.
    fn leave(&mut self, now: Moment, host: &mut impl TableHost, serial: RequestNumber) {
        host.request_abandoned(serial);
        self.finish(now, host, serial, None, CallReply::Failed(RefusalReason::CorrelationIdInUse), None);
    }

    /// The router ends: every call gets its final answer now.
    pub fn shut_down(&mut self, now: Moment, host: &mut impl TableHost) {
        while let Some((serial, request)) = self.requests.first_key_value() {
            let (serial, stand) = (*serial, request.stand);
            let stream = match stand {
                Progress::Asking(stream) | Progress::Deciding(stream) => Some(stream),
                Progress::Out(Lease { decision, stream, .. }) => {
                    host.attempt_ended(
                        serial,
                        decision.attempt_index,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        true,
                    );
                    Some(stream)
                }
                Progress::Lapsed(Lease { decision, .. }, _) | Progress::Parked(decision, _) => {
                    host.attempt_ended(
                        serial,
                        decision.attempt_index,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        true,
                    );
                    None
                }
                Progress::Unasked(_) => None,
            };
            host.request_abandoned(serial);
            self.finish(now, host, serial, stream, CallReply::Failed(RefusalReason::ShuttingDown), None);
        }
    }

    /// The request is over: its call, and those that waited for its mark, are told; what is known of it is kept
    /// for as long as somebody may ask.
    fn finish(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        serial: RequestNumber,
        stream: Option<CallId>,
        say: CallReply,
        done: Option<StoredResult>,
    ) {
        let Some(request) = self.requests.remove(&serial) else { return };
        if let Some(at) = request.timer {
            self.timers.unset(at, Timer::Request(serial));
        }
        if self.correlation_ids.get(&request.call.correlation_id) == Some(&serial) {
            self.correlation_ids.remove(&request.call.correlation_id);
        }
        if let Some(stream) = stream {
            self.streams.remove(&stream);
            host.reply(stream, say);
        }
        // A ticket is answered once; who asks with it again is told the same, for as long as a client would
        // wait.
        let until = request.end.max(now) + self.limits.retry_window;
        let later = match (say, done) {
            (CallReply::PassThrough, Some(known)) if request.call.idempotency_key.is_some() => {
                CallReply::Replayed(known)
            }
            (CallReply::PassThrough, _) => CallReply::Failed(RefusalReason::CorrelationIdInUse),
            (say, _) => say,
        };
        self.over.insert(request.call.correlation_id, FinishedRequest { say: later, until });
        self.timers.set(until, Timer::FinishedRequest(request.call.correlation_id));
        if let Some(idempotency_key) = request
            .call
            .idempotency_key
            .filter(|_| self.checks.idempotency_keys && request.call.authorization == Authorization::Granted)
        {
            let state = match (done, request.first_ran) {
                (Some(known), _) => Some(State::Done(known)),
                (None, Some((at, cache))) => Some(State::Ran(at, cache)),
                (None, None) => None,
            };
            // Not again after its window either: so it is known for as long as a client may still try.
            let kept = now + self.limits.idempotency_window + self.limits.max_request_time;
            self.idempotency_keys.settle(idempotency_key, state.map(|state| (state, kept)));
        }
        for waiter in request.waiters {
            let Some((_, until)) = self.waiting.remove(&waiter) else { continue };
            self.timers.unset(until, Timer::Waiter(waiter));
            let say = match done {
                Some(known) => CallReply::Replayed(known),
                None => match say {
                    CallReply::Rejected(..) | CallReply::Failed(RefusalReason::GaveUp) => say,
                    _ => CallReply::Failed(RefusalReason::IdempotencyKeyInUse),
                },
            };
            host.reply(waiter, say);
        }
        host.request_finished(serial);
    }

    fn set_timer(&mut self, serial: RequestNumber, at: Option<Moment>) {
        let Some(request) = self.requests.get_mut(&serial) else { return };
        if let Some(old) = std::mem::replace(&mut request.timer, at) {
            self.timers.unset(old, Timer::Request(serial));
        }
        if let Some(at) = at {
            self.timers.set(at, Timer::Request(serial));
        }
    }
}
