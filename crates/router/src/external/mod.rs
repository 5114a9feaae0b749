//! Requests that external proxies process. Such a proxy transfers the bytes itself and asks the router, for
//! each request, where to send it. This module connects the table of these requests to the routing engine and
//! to the two fronts, gRPC and plain HTTP.

mod call;
mod checks;
mod connection;
mod connection_share;
mod grpc;
mod http;
mod request;
mod request_counter;
mod table_host;
mod target;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use tindoor::time::{Moment, Span};
use tindoor_external_requests::{
    CallId, CallReply, Counters, ExternalRequest, ExternalRequestTable, Limits, RefusalReason, Report,
    RequestNumber, RoutingDecision,
};
use tindoor_request_runtime::{Action, Attempt, EngineHandle, InFlightIds, WakeTimer};

pub use grpc::GrpcHandler;
pub use http::PlainHandler;

use crate::configuration::limits::Limits as RouterLimits;
use crate::memory::{MemoryAccount, MemoryReservation};
use call::Call;
use connection::ProxyConnection;
use connection_share::Usage;
use request_counter::RequestCounter;
use table_host::{Host, InFlight};

/// Returns the routing decision of an attempt; `now` is the current time.
fn decision_of(attempt: &Attempt, now: Moment) -> RoutingDecision {
    let span = |duration: Duration| Span::micros(duration.as_micros() as u64);
    let time_to_send = |send_by: Instant| span(send_by.saturating_duration_since(Instant::now()));
    RoutingDecision {
        attempt_index: attempt.index,
        endpoint: attempt.endpoint,
        directives: attempt.directives,
        timeout: span(attempt.timeout),
        send_by: attempt.send_by.map(|send_by| now + time_to_send(send_by)),
    }
}

/// Returns a random number after which the ids of this process's calls begin: a report on a decision of an earlier
/// process must not be taken for one on a decision of this one.
fn first_call_id() -> Result<u64> {
    let random = getrandom::u64().context("can't read a random number from the system")?;
    Ok(random / 2)
}

/// The externally processed requests of this router.
pub struct ExternalProcessing {
    executor: Rc<LocalExecutor<'static>>,
    engine: Rc<EngineHandle>,
    ids: InFlightIds,
    /// The maximum number of requests in flight at once, over all fronts.
    max_requests: usize,
    memory: Rc<MemoryAccount>,
    /// What one request in flight occupies, in bytes.
    call_bytes: usize,
    /// The memory of the table's stored keys and finished requests, which have limits of their own.
    stored: MemoryReservation,
    table: RefCell<ExternalRequestTable>,
    in_flight: RefCell<InFlight>,
    timer: WakeTimer,
}

impl ExternalProcessing {
    /// Creates an instance without requests.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        engine: Rc<EngineHandle>,
        ids: InFlightIds,
        memory: &Rc<MemoryAccount>,
        limits: &RouterLimits,
        table_limits: Limits,
    ) -> Result<Rc<Self>> {
        let table = ExternalRequestTable::new(table_limits, checks::enabled(), engine.clock.now());
        Ok(Rc::new(Self {
            executor,
            engine,
            ids,
            max_requests: limits.max_open_requests,
            memory: Rc::clone(memory),
            call_bytes: limits.memory.call_bytes,
            stored: memory.complete.reserve(0).expect("nothing is free at any time"),
            table: RefCell::new(table),
            in_flight: RefCell::new(InFlight::new(first_call_id()?)),
            timer: WakeTimer::default(),
        }))
    }

    /// Applies an event to the table at the current time, and sets the timer for the table's next timeout.
    /// Does not await anything.
    fn apply<T>(self: &Rc<Self>, event: impl FnOnce(&mut ExternalRequestTable, Moment, &mut Host) -> T) -> T {
        self.apply_from(None, event)
    }

    /// Like [`apply`](Self::apply). A request that starts counts as one of the connection of these requests.
    fn apply_from<T>(
        self: &Rc<Self>,
        connection_requests: Option<&RequestCounter>,
        event: impl FnOnce(&mut ExternalRequestTable, Moment, &mut Host) -> T,
    ) -> T {
        let mut table = self.table.borrow_mut();
        let mut in_flight = self.in_flight.borrow_mut();
        let now = self.engine.clock.now();
        let mut host = Host { external: self, in_flight: &mut in_flight, connection_requests };
        let result = event(&mut table, now, &mut host);
        self.stored.resize(table.stored_bytes());
        if let Some(next) = table.next_timer() {
            self.timer.set(Instant::now() + Duration::from_micros(next.since(now).as_micros()));
        }
        result
    }

    /// Opens a call on a connection of a proxy.
    fn open_call(self: &Rc<Self>, proxy: &ProxyConnection) -> Call {
        let (id, replies) = self.in_flight.borrow_mut().add_call();
        let connection_requests = proxy.requests.clone();
        Call { external: Rc::clone(self), id, replies, outlives_connection: false, connection_requests }
    }

    /// Whether there is room for a further request that begins on the call's connection.
    fn has_room(&self, call: &Call) -> bool {
        let usage = Usage {
            max_requests: self.engine.max_in_flight(self.max_requests),
            requests: self.engine.open_requests(),
            max_bytes: self.memory.complete.max_bytes(),
            free_bytes: self.memory.complete.free_bytes(),
            request_bytes: self.call_bytes,
        };
        usage.admits(call.connection_requests.get())
    }

    /// Handles a proxy's request for a routing decision. The replies arrive in the call's mailbox.
    fn call_received(self: &Rc<Self>, call: &Call, request: ExternalRequest) {
        let ExternalRequest { correlation_id, attempt, .. } = request;
        tracing::debug!(call = call.id.0, correlation_id, attempt, "external request received");
        let is_known = self.table.borrow().contains(correlation_id);
        // A correlation id identifies one request at a time across all fronts.
        if !is_known && self.ids.contains(correlation_id) {
            return call.replies.replace(CallReply::Failed(RefusalReason::CorrelationIdInUse));
        }
        if !is_known && !self.has_room(call) {
            let retry_after = self.engine.retry_after();
            return call.replies.replace(CallReply::Rejected(retry_after, RefusalReason::NoCapacity));
        }
        self.apply_from(Some(&call.connection_requests), |table, now, host| {
            table.call_received(now, host, call.id, request);
        });
    }

    /// Marks a reply as sent, immediately before it is sent. Returns false if the reply was withdrawn and
    /// must not be sent.
    fn confirm_send(self: &Rc<Self>, call: &Call, reply: &CallReply) -> bool {
        self.apply(|table, now, host| table.confirm_send(now, host, call.id, reply))
    }

    /// Handles a report that a proxy sends on the stream of its own call.
    fn report_received(self: &Rc<Self>, call: &Call, report: Report) {
        self.apply(|table, now, host| table.report_received(now, host, call.id, None, report));
    }

    /// Handles a proxy's report on an earlier call, identified by its id and the correlation id. From now on,
    /// `call` receives the replies to the earlier call. Returns false if the earlier call still has its
    /// connection, or has no decision in flight: a guessed id must not take over another proxy's call.
    fn report_on_earlier_call(
        self: &Rc<Self>,
        call: &Call,
        earlier: CallId,
        correlation_id: u64,
        report: Report,
    ) -> bool {
        let is_attached = self.in_flight.borrow().has_call(earlier);
        if is_attached || !self.table.borrow().awaits_report(earlier, correlation_id) {
            self.report_received(call, report);
            return false;
        }
        self.in_flight.borrow_mut().attach(earlier, &call.replies);
        self.apply(|table, now, host| {
            table.report_received(now, host, earlier, Some(correlation_id), report);
        });
        true
    }

    /// Discards the mailbox of a call, after the reply to its report was read or when no proxy waits for one.
    fn detach(&self, call: CallId) {
        self.in_flight.borrow_mut().remove_call(call);
    }

    /// Carries out an action of the routing engine.
    fn act(self: &Rc<Self>, number: RequestNumber, action: Action) {
        if let Action::Send(attempt) = action {
            self.in_flight.borrow_mut().add_attempt(number, attempt);
        }
        self.apply(|table, now, host| match action {
            Action::Send(attempt) => table.decision_made(now, host, number, decision_of(&attempt, now)),
            Action::Cancel(attempt_index) => table.attempt_cancelled(host, number, attempt_index),
            Action::Reject(retry_after) => table.request_rejected(now, host, number, retry_after),
            Action::Fail => table.request_failed(now, host, number),
            // The engine abandons every request at shutdown; the first of these actions ends them all.
            Action::Abandon => table.shut_down(now, host),
        });
    }

    /// Withdraws the decisions that have not been sent and for which `is_stale` returns true, after a change
    /// of the endpoint list or a purge: the engine might now decide differently.
    pub fn withdraw_stale_decisions(
        self: &Rc<Self>,
        is_stale: impl Fn(&ExternalRequest, &RoutingDecision) -> bool,
    ) {
        self.apply(|table, _, host| table.withdraw_stale_decisions(host, is_stale));
    }

    /// Returns the number of events so far, by kind.
    pub fn counters(&self) -> Counters {
        self.table.borrow().counters
    }

    /// Runs the table's timers; never returns.
    pub async fn run_timers(self: &Rc<Self>) {
        loop {
            self.timer.fired().await;
            self.apply(|table, now, host| table.timer_fired(now, host));
        }
    }
}
