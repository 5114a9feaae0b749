//! The table of calls between the fronts that only choose and the routing engine: it carries what either
//! says to the other, and knows no protocol.

pub mod grpc;
pub mod http;
pub mod listener;
mod request;
mod target;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use tindoor::host::{AttemptStatus, EndpointId, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::{
    CallId, CallReply, Counters, EnabledChecks, ExternalRequest, ExternalRequestTable, Limits, RefusalReason,
    Report, RequestNumber, RoutingDecision, TableHost,
};
use tindoor_request_runtime::{
    Action, AdmittedRequest, Attempt, EngineHandle, InFlightId, InFlightIds, Mailbox, WakeTimer,
};

/// A request in hand for a proxy.
struct InHand {
    no: RequestSlot,
    mailbox: Rc<Mailbox>,
    /// Attempts that are not yet reported.
    out: Vec<Attempt>,
    /// For the account of its end; none once that was made.
    taken: Option<AdmittedRequest>,
    _id: Option<InFlightId>,
    _orders: Task<()>,
}

#[derive(Default)]
struct Ends {
    streams: HashMap<CallId, Rc<Mailbox<CallReply>>>,
    requests: HashMap<RequestNumber, InHand>,
    next: u64,
}

/// Calls of proxies, and the requests that they stand for.
pub struct ExternalProcessing {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<EngineHandle>,
    ids: InFlightIds,
    /// Requests in hand at once, those of all fronts.
    most: usize,
    calls: RefCell<ExternalRequestTable>,
    ends: RefCell<Ends>,
    alarm: WakeTimer,
}

/// One call; over when it is dropped.
pub struct Call {
    external: Rc<ExternalProcessing>,
    pub stream: CallId,
    pub says: Rc<Mailbox<CallReply>>,
    /// It lives on when its connection ends: the report comes on another.
    pub outlives: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.outlives {
            self.external.tell(|calls, now, _| calls.call_ended(now, self.stream));
        }
        self.external.ends.borrow_mut().streams.remove(&self.stream);
    }
}

/// The hands of the table, for as long as one event takes.
struct Reach<'a> {
    external: &'a Rc<ExternalProcessing>,
    ends: &'a mut Ends,
}

impl TableHost for Reach<'_> {
    fn request_started(
        &mut self,
        serial: RequestNumber,
        call: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        let external = Rc::clone(self.external);
        let (no, mailbox) = external.engine.open_request();
        let ExternalRequest {
            object,
            part,
            group,
            class,
            client_retry,
            time_remaining: left,
            authorization,
            ..
        } = *call;
        let asked =
            RequestMeta { object, part, group, class, size_kb: None, client_retry, first_ran, authorization };
        let taken = external.engine.admit(no, asked, left);
        let (id, orders) = (external.ids.reserve(call.correlation_id), Rc::clone(&mailbox));
        let _orders = self.external.executor.spawn(async move {
            loop {
                let order = orders.next().await;
                external.order(serial, order);
            }
        });
        self.ends.requests.insert(serial, InHand { no, mailbox, out: Vec::new(), taken, _id: id, _orders });
    }

    fn attempt_ended(&mut self, serial: RequestNumber, nth: u16, end: Outcome, last: bool) {
        let Some(request) = self.ends.requests.get_mut(&serial) else { return };
        let Some(at) = request.out.iter().position(|attempt| attempt.index == nth) else { return };
        let attempt = request.out.swap_remove(at);
        if end.status == AttemptStatus::Served {
            self.external.engine.record_outcome(request.taken.take(), true);
        }
        self.external.engine.attempt_ended(request.no, &attempt, end, last);
    }

    fn request_abandoned(&mut self, serial: RequestNumber) {
        if let Some(request) = self.ends.requests.get_mut(&serial) {
            // Whose client leaves says nothing of a policy.
            request.taken = None;
            self.external.engine.with(|control| control.request_abandoned(request.no));
        }
    }

    fn request_finished(&mut self, serial: RequestNumber) {
        let Some(request) = self.ends.requests.remove(&serial) else { return };
        self.external.engine.record_outcome(request.taken, false);
        // What was ordered and never given out is told of as well: else it counts as out for ever.
        let orders = std::iter::from_fn(|| request.mailbox.try_next());
        let ordered = orders.filter_map(|order| match order {
            Action::Send(attempt) => Some(attempt),
            _ => None,
        });
        for attempt in request.out.iter().copied().chain(ordered) {
            self.external.engine.attempt_ended(
                request.no,
                &attempt,
                Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                true,
            );
        }
        self.external.engine.close_request(request.no);
    }

    fn reply(&mut self, stream: CallId, say: CallReply) {
        if let Some(says) = self.ends.streams.get(&stream) {
            says.replace(say);
        }
    }

    fn retry_after(&mut self) -> Option<Span> {
        self.external.engine.retry_after()
    }
}

impl ExternalProcessing {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        engine: Rc<EngineHandle>,
        ids: InFlightIds,
        most: usize,
        limits: Limits,
    ) -> Rc<Self> {
        let calls = RefCell::new(ExternalRequestTable::new(limits, guards(), engine.clock.now()));
        let (ends, alarm) = Default::default();
        Rc::new(Self { executor, engine, ids, most, calls, ends, alarm })
    }

    /// Tells the table what happened, at the time that it is now. Nothing is awaited inside.
    fn tell<T>(self: &Rc<Self>, what: impl FnOnce(&mut ExternalRequestTable, Moment, &mut Reach) -> T) -> T {
        let (mut calls, mut ends) = (self.calls.borrow_mut(), self.ends.borrow_mut());
        let now = self.engine.clock.now();
        let told = what(&mut calls, now, &mut Reach { external: self, ends: &mut ends });
        if let Some(next) = calls.next_timer() {
            self.alarm.set(Instant::now() + Duration::from_micros(next.since(now).as_micros()));
        }
        told
    }

    /// A new call.
    pub fn open(self: &Rc<Self>) -> Call {
        let mut ends = self.ends.borrow_mut();
        ends.next += 1;
        let (stream, says) = (CallId(ends.next), Rc::default());
        ends.streams.insert(stream, Rc::clone(&says));
        Call { external: Rc::clone(self), stream, says, outlives: false }
    }

    pub fn call(self: &Rc<Self>, open: &Call, call: ExternalRequest) {
        // An id names one request at a time, on whichever front it came.
        tracing::debug!(
            stream = open.stream.0,
            correlation_id = call.correlation_id,
            attempt = call.attempt,
            "called"
        );
        let mine = self.calls.borrow().contains(call.correlation_id);
        let full = !self.engine.has_capacity(self.most);
        if !mine && self.ids.contains(call.correlation_id) {
            return open.says.replace(CallReply::Failed(RefusalReason::CorrelationIdInUse));
        }
        if !mine && full {
            let retry_after = self.engine.retry_after();
            return open.says.replace(CallReply::Rejected(retry_after, RefusalReason::NoCapacity));
        }
        self.tell(|calls, now, host| calls.call_received(now, host, open.stream, call));
    }

    /// Whether what was said may leave; false where it was taken back.
    pub fn confirm_send(&self, open: &Call, say: &CallReply) -> bool {
        self.calls.borrow_mut().confirm_send(open.stream, say)
    }

    /// A report on the call itself.
    pub fn report(self: &Rc<Self>, open: &Call, report: Report) {
        self.tell(|calls, now, host| calls.report_received(now, host, open.stream, None, report));
    }

    /// A report on an earlier call, by its number and ticket; what is said to that one from now on is for
    /// whoever reports. Only one whose connection is done with it, and whose choice is out, can be reported
    /// so: nobody takes over another's call by a number.
    pub fn report_on(
        self: &Rc<Self>,
        open: &Call,
        stream: CallId,
        correlation_id: u64,
        report: Report,
    ) -> bool {
        let attached = self.ends.borrow().streams.contains_key(&stream);
        if attached || !self.calls.borrow().awaits_report(stream, correlation_id) {
            self.report(open, report);
            return false;
        }
        self.ends.borrow_mut().streams.insert(stream, Rc::clone(&open.says));
        self.tell(|calls, now, host| {
            calls.report_received(now, host, stream, Some(correlation_id), report);
        });
        true
    }

    /// The report's answer was given, or nobody waits for it.
    pub fn forget(&self, stream: CallId) {
        self.ends.borrow_mut().streams.remove(&stream);
    }

    fn order(self: &Rc<Self>, serial: RequestNumber, order: Action) {
        if let Action::Send(attempt) = order
            && let Some(request) = self.ends.borrow_mut().requests.get_mut(&serial)
        {
            request.out.push(attempt);
        }
        self.tell(|calls, now, host| match order {
            Action::Send(Attempt { index, endpoint, timeout, directives, .. }) => {
                let timeout = Span::micros(timeout.as_micros() as u64);
                let decision = RoutingDecision { attempt_index: index, endpoint, directives, timeout };
                calls.decision_made(now, host, serial, decision);
            }
            Action::Cancel(nth) => calls.attempt_cancelled(host, serial, nth),
            Action::Reject(retry_after) => calls.request_rejected(now, host, serial, retry_after),
            Action::Fail => calls.request_failed(now, host, serial),
            // The router ends: all at once, as each is one of them.
            Action::Abandon => calls.shut_down(now, host),
        });
    }

    /// The list or a purge was told: what is no longer the right choice is taken back where it can be.
    pub fn withdraw_stale_decisions(
        self: &Rc<Self>,
        stale: impl Fn(&ExternalRequest, &RoutingDecision) -> bool,
    ) {
        self.tell(|calls, _, host| calls.withdraw_stale_decisions(host, stale));
    }

    pub fn counters(&self) -> Counters {
        self.calls.borrow().counters
    }

    /// Ends what is due; never ends itself.
    pub async fn run_timers(self: &Rc<Self>) {
        loop {
            self.alarm.fired().await;
            self.tell(|calls, now, host| calls.timer_fired(now, host));
        }
    }
}

/// All guards stand. An experiment of the lab may name one to take out, in a build for tests only, to see
/// that its audit notices.
fn guards() -> EnabledChecks {
    let mut guards = EnabledChecks::default();
    if cfg!(debug_assertions)
        && let Ok(without) = std::env::var("TINDOOR_WITHOUT")
    {
        match without.as_str() {
            "marks" => guards.idempotency_keys = false,
            "tickets" => guards.correlation_ids = false,
            "withdraw" => guards.withdrawal = false,
            "leases" => guards.leases = false,
            // Those of links are taken out there.
            "links" | "revoked" | "clock" => {}
            // Those of a fleet as well.
            "lease" | "staged" | "compare" | "incarnation" | "synced" | "pinned" => {}
            other => tracing::error!(guard = other, "no such guard"),
        }
        tracing::warn!(without, "a guard is taken out for an experiment");
    }
    guards
}
