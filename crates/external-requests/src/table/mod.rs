//! The table of externally processed requests, with one method for each event.

mod admission;
mod decisions;
mod expiry;
mod finish;
mod reports;
mod request;
mod retries;

use std::collections::BTreeMap;

use tindoor::host::{AttemptStatus, Authorization, Outcome, OutcomeDetail};
use tindoor::time::Moment;

use crate::finished_requests::FinishedRequests;
use crate::idempotency_keys::IdempotencyKeys;
use crate::timers::Timers;
use crate::{CallId, Counters, EnabledChecks, ExternalRequest, Limits, RequestNumber, TableHost};
use request::{Progress, Request, Timer, Waiter};

/// What a stored idempotency key occupies, in bytes.
pub const IDEMPOTENCY_KEY_BYTES: usize = IdempotencyKeys::ENTRY_BYTES;
/// What a finished request that is stored occupies, in bytes.
pub const FINISHED_REQUEST_BYTES: usize = FinishedRequests::ENTRY_BYTES;

/// Requests in flight, requests that finished recently, and idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExternalRequestTable {
    limits: Limits,
    checks: EnabledChecks,
    started_at: Moment,
    last_number: u64,
    requests: BTreeMap<RequestNumber, Request>,
    /// Requests in flight, by correlation id.
    correlation_ids: BTreeMap<u64, RequestNumber>,
    /// Requests that finished recently and may be forgotten early.
    finished: FinishedRequests,
    /// Non-idempotent requests that finished and may have run.
    runs: FinishedRequests,
    /// The calls of requests in flight.
    calls: BTreeMap<CallId, RequestNumber>,
    /// Calls that wait for the end of another request with the same idempotency key.
    waiters: BTreeMap<CallId, Waiter>,
    idempotency_keys: IdempotencyKeys,
    timers: Timers<Timer>,
    /// The number of events of each kind so far.
    pub counters: Counters,
}

impl ExternalRequestTable {
    /// Creates an empty table. `now` is the time at which the router started.
    pub fn new(limits: Limits, checks: EnabledChecks, now: Moment) -> Self {
        Self {
            limits,
            checks,
            started_at: now,
            last_number: 0,
            requests: BTreeMap::new(),
            correlation_ids: BTreeMap::new(),
            finished: FinishedRequests::default(),
            runs: FinishedRequests::default(),
            calls: BTreeMap::new(),
            waiters: BTreeMap::new(),
            idempotency_keys: IdempotencyKeys::default(),
            timers: Timers::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request with this correlation id is in flight.
    pub fn contains(&self, correlation_id: u64) -> bool {
        self.correlation_ids.contains_key(&correlation_id)
    }

    /// Whether the call holds a decision that has not been reported on, for a request with this correlation
    /// id.
    pub fn awaits_report(&self, call: CallId, correlation_id: u64) -> bool {
        let request = self.calls.get(&call).and_then(|number| self.requests.get(number));
        request.is_some_and(|request| {
            let is_issued = matches!(request.progress, Progress::DecisionIssued(_));
            request.call.correlation_id == correlation_id && is_issued
        })
    }

    /// Returns what the stored idempotency keys and finished requests occupy, in bytes.
    pub fn stored_bytes(&self) -> usize {
        let finished = self.finished.len() + self.runs.len();
        self.idempotency_keys.len() * IDEMPOTENCY_KEY_BYTES + finished * FINISHED_REQUEST_BYTES
    }

    /// Returns the store of idempotency keys.
    pub fn idempotency_keys(&self) -> &IdempotencyKeys {
        &self.idempotency_keys
    }

    /// Returns when [`timer_fired`](Self::timer_fired) must be called next. `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Moment> {
        let stores =
            [self.idempotency_keys.next_expiry(), self.finished.next_expiry(), self.runs.next_expiry()];
        self.timers.next().into_iter().chain(stores.into_iter().flatten()).min()
    }

    /// Sets or clears the timer of a request. Each request has at most one.
    fn set_timer(&mut self, number: RequestNumber, at: Option<Moment>) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(previous) = std::mem::replace(&mut request.timer, at) {
            self.timers.cancel(previous, Timer::Request(number));
        }
        if let Some(at) = at {
            self.timers.schedule(at, Timer::Request(number));
        }
    }

    /// Returns the idempotency key that a request reserves. `None` if the request has no key or is not
    /// authorized.
    fn reserved_key(&self, request: &ExternalRequest) -> Option<u128> {
        request.idempotency_key.filter(|_| self.checks.idempotency_keys && is_granted(request))
    }
}

fn is_granted(request: &ExternalRequest) -> bool {
    request.authorization == Authorization::Granted
}

/// Reports the end of an attempt about which the endpoint reported nothing.
fn end_attempt(
    host: &mut impl TableHost,
    number: RequestNumber,
    attempt_index: u16,
    status: AttemptStatus,
    last: bool,
) {
    host.attempt_ended(number, attempt_index, Outcome::new(status, OutcomeDetail::Unknown), last);
}
