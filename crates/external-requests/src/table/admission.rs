//! Admission of calls: a call starts a new request, continues a request in flight, or duplicates a write.

use tindoor::host::EndpointId;
use tindoor::time::Moment;

use super::ExternalRequestTable;
use super::request::{Progress, Request, Timer, Waiter, may_resume};
use crate::finished_requests::FinishedRequests;
use crate::idempotency_keys::KeyState;
use crate::{CallId, CallReply, ExternalRequest, RefusalReason, RequestNumber, StoredResult, TableHost};

/// Whether a new request may run, according to its idempotency key.
enum KeyCheck {
    /// The request may run. `first_ran` holds when and where an earlier request with this key may first have
    /// run.
    Reserved { first_ran: Option<(Moment, EndpointId)> },
    /// Another request with this key is in flight.
    InFlight(RequestNumber),
    /// The write with this key has been served, with this result.
    Done(StoredResult),
    /// The store of idempotency keys is full.
    NoCapacity,
}

impl ExternalRequestTable {
    /// Handles a proxy's call, which asks for a decision.
    pub fn call_received(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        call: CallId,
        request: ExternalRequest,
    ) {
        self.counters.calls += 1;
        self.remove_expired(now);
        if let Some(number) = self.find_in_flight(request.correlation_id) {
            return self.retry_received(now, host, number, call, request);
        }
        if let Some(reply) = self.finished_reply(now, &request) {
            self.counters.rejected += 1;
            return host.reply(call, reply);
        }
        if self.is_full() || request.is_non_idempotent && self.is_run_store_full() {
            return self.reject_call(host, call);
        }
        match self.check_key(now, &request) {
            KeyCheck::Reserved { first_ran } => self.start_request(now, host, call, request, first_ran),
            KeyCheck::InFlight(number) => self.wait_for(now, host, number, call, request),
            KeyCheck::Done(result) => {
                self.counters.replayed += 1;
                host.reply(call, CallReply::Replayed(result));
            }
            KeyCheck::NoCapacity => self.reject_call(host, call),
        }
    }

    fn is_full(&self) -> bool {
        self.requests.len() >= self.limits.max_requests
    }

    /// Whether no further run can be remembered, by its idempotency key or its correlation id.
    fn is_run_store_full(&self) -> bool {
        self.idempotency_keys.len() + self.runs.len() >= self.limits.max_idempotency_keys
    }

    fn find_in_flight(&self, correlation_id: u64) -> Option<RequestNumber> {
        self.correlation_ids.get(&correlation_id).copied().filter(|_| self.checks.correlation_ids)
    }

    /// Returns the reply to a call for a request that finished recently. `None` if no such request is known.
    fn finished_reply(&self, now: Moment, request: &ExternalRequest) -> Option<CallReply> {
        let stored = |requests: &FinishedRequests| requests.reply(now, request.correlation_id);
        let reply = stored(&self.runs).or_else(|| stored(&self.finished));
        let reply = reply.filter(|_| self.checks.correlation_ids)?;
        // The result of a write is only disclosed to calls whose signed URL is valid, or was valid until it
        // expired.
        let in_use = CallReply::Failed(RefusalReason::CorrelationIdInUse);
        Some(if may_resume(request) { reply.into() } else { in_use })
    }

    /// Reserves the idempotency key of a new request.
    ///
    /// A request that is not authorized reserves no key and gets no information about other writes.
    fn check_key(&mut self, now: Moment, request: &ExternalRequest) -> KeyCheck {
        let Some(key) = self.reserved_key(request) else { return KeyCheck::Reserved { first_ran: None } };
        let first_ran = match self.idempotency_keys.state(key) {
            Some(KeyState::InFlight(number)) => return KeyCheck::InFlight(number),
            Some(KeyState::Done(result)) => return KeyCheck::Done(result),
            Some(KeyState::MayHaveRun(at, endpoint)) => Some((at, endpoint)),
            None => self.assumed_first_run(now, request),
        };
        let number = RequestNumber(self.last_number + 1);
        let max_keys = self.limits.max_idempotency_keys.saturating_sub(self.runs.len());
        match self.idempotency_keys.reserve(key, number, max_keys) {
            true => KeyCheck::Reserved { first_ran },
            false => KeyCheck::NoCapacity,
        }
    }

    /// Returns the assumed first run of a request whose idempotency key is not stored. `None` if no
    /// earlier run has to be assumed.
    ///
    /// A router that has just started knows no keys, so a retry may have run before the start. Its first
    /// run is assumed to be long ago, which keeps the routing engine from running it again.
    fn assumed_first_run(&self, now: Moment, request: &ExternalRequest) -> Option<(Moment, EndpointId)> {
        let is_retry = request.client_retry || request.attempt > 1;
        let all_keys_known_from =
            self.started_at + self.limits.idempotency_window + self.limits.max_request_time;
        (is_retry && now < all_keys_known_from).then(|| (Moment::default(), EndpointId(0)))
    }

    fn start_request(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        call: CallId,
        request: ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        self.last_number += 1;
        let number = RequestNumber(self.last_number);
        let entry = Request {
            call: request,
            attempt: request.attempt,
            deadline: now + request.time_remaining.min(self.limits.max_request_time),
            progress: Progress::AwaitingDecision(call),
            first_ran,
            pending_reply: None,
            waiters: Vec::new(),
            timer: None,
        };
        self.requests.insert(number, entry);
        self.correlation_ids.insert(request.correlation_id, number);
        self.calls.insert(call, number);
        host.request_started(number, &request, first_ran);
    }

    fn reject_call(&mut self, host: &mut impl TableHost, call: CallId) {
        self.counters.rejected += 1;
        let retry_after = host.retry_after();
        host.reply(call, CallReply::Rejected(retry_after, RefusalReason::NoCapacity));
    }

    /// Makes a call wait for the request in flight with the same idempotency key, to receive the same result.
    fn wait_for(
        &mut self,
        now: Moment,
        host: &mut impl TableHost,
        number: RequestNumber,
        call: CallId,
        request: ExternalRequest,
    ) {
        let max_waiters = self.limits.max_waiters;
        let in_flight = self.requests.get_mut(&number);
        let Some(in_flight) = in_flight.filter(|in_flight| in_flight.waiters.len() < max_waiters) else {
            return self.reject_call(host, call);
        };
        self.counters.waited_for_key += 1;
        in_flight.waiters.push(call);
        let until = now + request.time_remaining.min(self.limits.max_request_time);
        self.waiters.insert(call, Waiter { number, until });
        self.timers.schedule(until, Timer::Waiter(call));
    }
}
