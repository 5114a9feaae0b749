//! The table of calls between the fronts that only choose and the routing engine: it carries what either
//! says to the other, and knows no protocol.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use tindoor::host::{AttemptStatus, EndpointId, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::{
    Bounds, CallId, CallReply, Counters, ExternalRequest, ExternalRequestTable, Guards, RefusalReason,
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
pub struct Open {
    external: Rc<ExternalProcessing>,
    pub stream: CallId,
    pub says: Rc<Mailbox<CallReply>>,
    /// It lives on when its connection ends: the report comes on another.
    pub outlives: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.outlives {
            self.external.tell(|calls, now, _| calls.ended(now, self.stream));
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
    fn begin(
        &mut self,
        serial: RequestNumber,
        call: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        let external = Rc::clone(self.external);
        let (no, mailbox) = external.engine.open_request();
        let ExternalRequest { object, part, group, class, client_retry, left, authorization, .. } = *call;
        let asked =
            RequestMeta { object, part, group, class, size_kb: None, client_retry, first_ran, authorization };
        let taken = external.engine.admit(no, asked, left);
        let (id, orders) = (external.ids.take(call.correlation_id), Rc::clone(&mailbox));
        let _orders = self.external.executor.spawn(async move {
            loop {
                let order = orders.next().await;
                external.order(serial, order);
            }
        });
        self.ends.requests.insert(serial, InHand { no, mailbox, out: Vec::new(), taken, _id: id, _orders });
    }

    fn ended(&mut self, serial: RequestNumber, nth: u16, end: Outcome, last: bool) {
        let Some(request) = self.ends.requests.get_mut(&serial) else { return };
        let Some(at) = request.out.iter().position(|attempt| attempt.nth == nth) else { return };
        let attempt = request.out.swap_remove(at);
        if end.status == AttemptStatus::Served {
            self.external.engine.record_outcome(request.taken.take(), true);
        }
        self.external.engine.attempt_ended(request.no, &attempt, end, last);
    }

    fn left(&mut self, serial: RequestNumber) {
        if let Some(request) = self.ends.requests.get_mut(&serial) {
            // Whose client leaves says nothing of a policy.
            request.taken = None;
            self.external.engine.with(|control| control.request_abandoned(request.no));
        }
    }

    fn close(&mut self, serial: RequestNumber) {
        let Some(request) = self.ends.requests.remove(&serial) else { return };
        self.external.engine.record_outcome(request.taken, false);
        // What was ordered and never given out is told of as well: else it counts as out for ever.
        let orders = std::iter::from_fn(|| request.mailbox.take());
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

    fn say(&mut self, stream: CallId, say: CallReply) {
        if let Some(says) = self.ends.streams.get(&stream) {
            says.put_alone(say);
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
        bounds: Bounds,
    ) -> Rc<Self> {
        let calls = RefCell::new(ExternalRequestTable::new(bounds, guards(), engine.clock.now()));
        let (ends, alarm) = Default::default();
        Rc::new(Self { executor, engine, ids, most, calls, ends, alarm })
    }

    /// Tells the table what happened, at the time that it is now. Nothing is awaited inside.
    fn tell<T>(self: &Rc<Self>, what: impl FnOnce(&mut ExternalRequestTable, Moment, &mut Reach) -> T) -> T {
        let (mut calls, mut ends) = (self.calls.borrow_mut(), self.ends.borrow_mut());
        let now = self.engine.clock.now();
        let told = what(&mut calls, now, &mut Reach { external: self, ends: &mut ends });
        if let Some(next) = calls.next() {
            self.alarm.set(Instant::now() + Duration::from_micros(next.since(now).as_micros()));
        }
        told
    }

    /// A new call.
    pub fn open(self: &Rc<Self>) -> Open {
        let mut ends = self.ends.borrow_mut();
        ends.next += 1;
        let (stream, says) = (CallId(ends.next), Rc::default());
        ends.streams.insert(stream, Rc::clone(&says));
        Open { external: Rc::clone(self), stream, says, outlives: false }
    }

    pub fn call(self: &Rc<Self>, open: &Open, call: ExternalRequest) {
        // An id names one request at a time, on whichever front it came.
        tracing::debug!(
            stream = open.stream.0,
            correlation_id = call.correlation_id,
            attempt = call.attempt,
            "called"
        );
        let mine = self.calls.borrow().has(call.correlation_id);
        let full = !self.engine.has_capacity(self.most);
        if !mine && self.ids.has(call.correlation_id) {
            return open.says.put_alone(CallReply::Failed(RefusalReason::Ticket));
        }
        if !mine && full {
            let retry_after = self.engine.retry_after();
            return open.says.put_alone(CallReply::Rejected(retry_after, RefusalReason::NoRoom));
        }
        self.tell(|calls, now, host| calls.call(now, host, open.stream, call));
    }

    /// Whether what was said may leave; false where it was taken back.
    pub fn leaves(&self, open: &Open, say: &CallReply) -> bool {
        self.calls.borrow_mut().leaves(open.stream, say)
    }

    /// A report on the call itself.
    pub fn report(self: &Rc<Self>, open: &Open, report: Report) {
        self.tell(|calls, now, host| calls.reported(now, host, open.stream, None, report));
    }

    /// A report on an earlier call, by its number and ticket; what is said to that one from now on is for
    /// whoever reports. Only one whose connection is done with it, and whose choice is out, can be reported
    /// so: nobody takes over another's call by a number.
    pub fn report_on(
        self: &Rc<Self>,
        open: &Open,
        stream: CallId,
        correlation_id: u64,
        report: Report,
    ) -> bool {
        let attached = self.ends.borrow().streams.contains_key(&stream);
        if attached || !self.calls.borrow().is_out(stream, correlation_id) {
            self.report(open, report);
            return false;
        }
        self.ends.borrow_mut().streams.insert(stream, Rc::clone(&open.says));
        self.tell(|calls, now, host| {
            calls.reported(now, host, stream, Some(correlation_id), report);
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
            Action::Send(Attempt { nth, cache, wait, directives, .. }) => {
                let wait = Span::micros(wait.as_micros() as u64);
                calls.ordered(now, host, serial, RoutingDecision { nth, cache, directives, wait });
            }
            Action::Cancel(nth) => calls.cancelled(host, serial, nth),
            Action::Reject(retry_after) => calls.refused_by_module(now, host, serial, Some(retry_after)),
            Action::Fail => calls.refused_by_module(now, host, serial, None),
            // The router ends: all at once, as each is one of them.
            Action::Abandon => calls.abandon_all(now, host),
        });
    }

    /// The list or a purge was told: what is no longer the right choice is taken back where it can be.
    pub fn told(self: &Rc<Self>, stale: impl Fn(&ExternalRequest, &RoutingDecision) -> bool) {
        self.tell(|calls, _, host| calls.told(host, stale));
    }

    pub fn figures(&self) -> Counters {
        self.calls.borrow().figures
    }

    /// Ends what is due; never ends itself.
    pub async fn keep_time(self: &Rc<Self>) {
        loop {
            self.alarm.rings().await;
            self.tell(|calls, now, host| calls.tick(now, host));
        }
    }
}

/// All guards stand. An experiment of the lab may name one to take out, in a build for tests only, to see
/// that its audit notices.
fn guards() -> Guards {
    let mut guards = Guards::default();
    if cfg!(debug_assertions)
        && let Ok(without) = std::env::var("TINDOOR_WITHOUT")
    {
        match without.as_str() {
            "marks" => guards.idempotency_keys = false,
            "tickets" => guards.correlation_ids = false,
            "withdraw" => guards.withdraw = false,
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
