//! Runs one client request, from its call to its final reply.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use tindoor::host::{AttemptStatus, Outcome, RequestSlot};
use tindoor::settings::Idempotency;
use tindoor::time::Span;
use tindoor_http::EndpointRequest;
use tindoor_request_runtime::{
    Attempt, AttemptEnd, FinalAnswer, IncomingRequest, Mailbox, RequestTransport, run_request,
};
use tindoor_thrift::{Answer, Fields, Reply, aborted, answer, try_later};

use super::connection::Connection;
use super::request_fields::{InvalidField, REQUEST_ID, RequestFields, read_fields};
use crate::memory::MemoryReservation;
use crate::state::RouterState;
use crate::upstream::{AttemptResult, PendingRequest, RoutingSnapshot};

/// A call as received; its texts are slices of the frame.
pub struct Call {
    /// The sequence id, which the reply carries too.
    pub sequence_id: i32,
    /// The fields, not validated yet.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
    /// When the last byte of its frame was read.
    pub arrived: Instant,
    /// The reservation for the memory of the call and its frame.
    pub _memory: MemoryReservation,
}

/// A call whose request is in flight.
pub struct OpenCall {
    /// The call.
    pub call: Call,
    /// The request's slot in the routing engine.
    pub slot: RequestSlot,
    /// Receives the engine's actions for the request.
    pub mailbox: Rc<Mailbox>,
}

/// The transport of one request: sends its attempts to endpoints and its answer to the client.
struct ClientTransport<'a> {
    state: &'a RouterState,
    connection: &'a Connection,
    open_call: &'a OpenCall,
    fields: &'a RequestFields<'a>,
    /// The number of attempts that were sent and may have run.
    possible_runs: Cell<u32>,
}

impl RequestTransport for ClientTransport<'_> {
    type Payload = AttemptResult;

    async fn send(&self, attempt: Attempt) -> AttemptEnd<AttemptResult> {
        let result = self.run_attempt(attempt).await;
        AttemptEnd { outcome: Outcome::new(result.status, result.detail), payload: result }
    }

    fn answer(&self, final_answer: FinalAnswer<AttemptResult>) {
        let sequence_id = self.open_call.call.sequence_id;
        let (reply, memory) = match final_answer {
            FinalAnswer::Served(AttemptResult { body, not_modified, memory, .. }) => {
                let fields: &[_] = if not_modified { &[("valid", "1")] } else { &[] };
                (answer("call", sequence_id, Answer { body, fields, good: true }), memory)
            }
            FinalAnswer::Rejected(retry_after) => (rejected(sequence_id, retry_after), None),
            FinalAnswer::Failed | FinalAnswer::Abandoned => (aborted(sequence_id, &[]), None),
        };
        self.connection.finish_call(sequence_id, &self.open_call.mailbox, reply, memory);
    }
}

impl ClientTransport<'_> {
    /// Runs one attempt within its time limits.
    async fn run_attempt(&self, attempt: Attempt) -> AttemptResult {
        let request = AttemptRequest::new(self, attempt);
        let exchange = self.state.endpoints.exchange(attempt.endpoint, &request, &self.state.memory.complete);
        let time_limit = async {
            let status = request.time_limit_reached().await;
            AttemptResult::without_response(status)
        };
        let result = future::or(exchange, time_limit).await;
        if request.is_sent.get() && result.status.certainly_did_not_run() {
            self.possible_runs.set(self.possible_runs.get() - 1);
        }
        result
    }
}

/// The request of one attempt.
struct AttemptRequest<'a> {
    transport: &'a ClientTransport<'a>,
    attempt: Attempt,
    /// The state that the routing decision was based on.
    snapshot: RoutingSnapshot,
    /// The name of the endpoint to fill from; `None` if there is no fill from another endpoint.
    fill_source: Option<String>,
    /// When the attempt times out.
    deadline: Instant,
    /// Whether the request has been written completely.
    is_sent: Cell<bool>,
}

impl<'a> AttemptRequest<'a> {
    fn new(transport: &'a ClientTransport<'a>, attempt: Attempt) -> Self {
        let endpoints = &transport.state.endpoints;
        let source = attempt.source();
        let other_source = source.filter(|source| *source != attempt.endpoint);
        Self {
            transport,
            attempt,
            snapshot: endpoints.snapshot(attempt.endpoint, source),
            fill_source: other_source.map(|source| endpoints.name(source)),
            deadline: attempt.issued_at + attempt.timeout,
            is_sent: Cell::new(false),
        }
    }

    /// Waits until the attempt reaches one of its time limits. Returns the status with which it then ends.
    async fn time_limit_reached(&self) -> AttemptStatus {
        if let Some(send_by) = self.attempt.send_by.filter(|send_by| *send_by < self.deadline) {
            Timer::at(send_by).await;
            if !self.is_sent.get() {
                return AttemptStatus::Superseded;
            }
        }
        Timer::at(self.deadline).await;
        if self.is_sent.get() { AttemptStatus::TimedOut } else { AttemptStatus::Unreachable }
    }

    fn endpoint_request(&self, timeout_ms: u64) -> EndpointRequest<'_> {
        let directives = self.attempt.directives;
        let max_age = directives.and_then(|directives| directives.max_age);
        EndpointRequest {
            timeout_ms,
            fill_source: self.fill_source.as_deref(),
            retention_rank: directives.map_or(0, |directives| directives.retention_rank),
            // Milliseconds, rounded down, but not to 0, which would accept any fresh copy.
            max_age_ms: max_age.map(|max_age| (max_age.as_micros() / 1000).max(1)),
            join_fill: directives.is_some_and(|directives| directives.join_fill),
            only_if_cached: directives.is_some_and(|directives| directives.only_if_cached),
            refresh: directives.is_some_and(|directives| directives.refresh),
            ..self.transport.fields.endpoint_request
        }
    }
}

impl PendingRequest for AttemptRequest<'_> {
    async fn encode_head(&self) -> Option<String> {
        let ClientTransport { state, connection, .. } = self.transport;
        // While a connection was established, the client may have disconnected or the endpoint list may have
        // changed.
        connection.let_reader_catch_up().await;
        let is_client_waiting = connection.is_client_waiting(state.limits.client.max_read_backlog);
        let now = Instant::now();
        let time_remaining = self.deadline.saturating_duration_since(now);
        let timeout_ms = time_remaining.as_millis() as u64;
        let source = self.attempt.source();
        let is_current = state.endpoints.snapshot(self.attempt.endpoint, source) == self.snapshot;
        let is_in_time = timeout_ms > 0 && self.attempt.may_be_sent_at(now);
        let may_send = is_current && is_client_waiting && is_in_time;
        may_send.then(|| self.endpoint_request(timeout_ms).encode_head())
    }

    fn body(&self) -> &Bytes {
        &self.transport.open_call.call.body
    }

    fn mark_sent(&self) {
        let OpenCall { slot, .. } = self.transport.open_call;
        let (index, after_ms) = (self.attempt.index, self.attempt.issued_at.elapsed().as_millis() as u64);
        tracing::debug!(request = slot.0, index, after_ms, "attempt sent");
        self.is_sent.set(true);
        self.transport.possible_runs.set(self.transport.possible_runs.get() + 1);
    }
}

/// Serves one call: validates its fields, runs its request, and sends the final answer.
pub async fn serve_call(state: Rc<RouterState>, connection: Rc<Connection>, open_call: OpenCall) {
    if let Err(reply) = run_call(&state, &connection, &open_call).await {
        connection.finish_call(open_call.call.sequence_id, &open_call.mailbox, reply, None);
    }
    state.engine.close_request(open_call.slot);
}

/// Runs a call's request. The error is the reply to a call that can't be run.
async fn run_call(state: &RouterState, connection: &Connection, open_call: &OpenCall) -> Result<(), Reply> {
    let OpenCall { call, slot, mailbox } = open_call;
    let fields = read_fields(&call.fields, &call.body, &state.classes, &state.limits.client);
    let fields = fields.map_err(|InvalidField(field)| {
        if let Some(times) = state.malformed_log.record() {
            tracing::warn!(field, times, "call aborted: missing or invalid field");
        }
        aborted(call.sequence_id, &[("reason", field)])
    })?;
    // The call was cancelled or its connection is being closed, so it doesn't reach the routing engine.
    if !mailbox.is_empty() {
        return Err(aborted(call.sequence_id, &[]));
    }
    // Endpoints distinguish requests by their ids, so an id may be in flight only once, and the id of a
    // non-idempotent request that may have run must not be used again.
    let is_non_idempotent =
        state.classes[usize::from(fields.meta.class)].idempotency == Idempotency::NonIdempotent;
    let id_in_use = || aborted(call.sequence_id, &[("reason", REQUEST_ID)]);
    let _id = state.in_flight_ids.reserve(fields.id).ok_or_else(id_in_use)?;
    if is_non_idempotent && state.recent_runs.contains(fields.id) {
        return Err(id_in_use());
    }
    let time_remaining = time_remaining(state, call, fields.timeout);
    let possible_runs = Cell::new(0);
    let transport = ClientTransport { state, connection, open_call, fields: &fields, possible_runs };
    let request = IncomingRequest { slot: *slot, mailbox, meta: fields.meta, time_remaining };
    run_request(&state.engine, request, &transport).await;
    if is_non_idempotent && transport.possible_runs.get() > 0 {
        state.recent_runs.remember(fields.id);
    }
    Ok(())
}

/// Returns the time remaining for a request: the client's timeout less the time since the call arrived,
/// limited by the configured maximum and by the deadline of a shutdown.
fn time_remaining(state: &RouterState, call: &Call, timeout: Span) -> Span {
    let span = |duration: Duration| Span::micros(duration.as_micros() as u64);
    let elapsed = span(call.arrived.elapsed());
    let shutdown = state.shutdown_deadline.get();
    let until_shutdown = shutdown.map(|deadline| span(deadline.saturating_duration_since(Instant::now())));
    let max_timeout = span(state.limits.client.max_request_timeout);
    (timeout - elapsed).min(until_shutdown.unwrap_or(timeout)).min(max_timeout)
}

/// Returns the reply to a call that never ran and that the client may retry, after `retry_after` if given.
pub fn rejected(sequence_id: i32, retry_after: Option<Span>) -> Reply {
    let retry_after_ms = retry_after.map(|span| (span.as_micros() / 1000).to_string());
    let fields: Vec<_> = retry_after_ms.iter().map(|text| ("pause", text.as_str())).collect();
    try_later(sequence_id, &fields)
}
