//! Retries, rejection with Retry-After, and giving up.

use rand::Rng;

use crate::host::{AttemptStatus, Host, OutcomeDetail, RequestSlot};
use crate::time::Span;

use super::RoutingEngine;
use super::attempts::MIN_TIME_REMAINING;
use super::requests::{Attempt, Request};

/// Retries after a failure are spread over this time for each attempt made.
const RETRY_BACKOFF: Span = Span::millis(20);
/// Of the recent attempts of all requests, at most this many may be retries for another retry to be made.
const MAX_RECENT_RETRIES: usize = 40;
/// A request is given up once more than this many endpoints rejected it as overloaded.
const MAX_FULL_ENDPOINTS: usize = 1;
/// A request is given up after more than this many errors without a reported cause.
const MAX_UNEXPLAINED_ERRORS: usize = 3;
/// The range from which the Retry-After of a rejection is drawn, in seconds.
const RETRY_AFTER_SECS: std::ops::Range<f64> = 0.05..0.3;

/// Whether the endpoint itself rejected the attempt as overloaded.
fn endpoint_was_full(attempt: &Attempt) -> bool {
    attempt.has_status(AttemptStatus::Overloaded)
        && attempt.outcome.is_some_and(|outcome| {
            matches!(outcome.detail, OutcomeDetail::Unknown | OutcomeDetail::NoFillSlot)
        })
}

/// Whether enough attempts of the request failed that another one would hardly succeed.
fn is_hopeless(request: &Request) -> bool {
    let full = request.attempts.iter().filter(|attempt| endpoint_was_full(attempt)).count();
    full > MAX_FULL_ENDPOINTS || request.unexplained_errors().count() > MAX_UNEXPLAINED_ERRORS
}

impl<H: Host> RoutingEngine<H> {
    /// Retries a request after a failed attempt, at once or after a backoff, or gives it up.
    pub(super) fn retry(&mut self, slot: RequestSlot, status: AttemptStatus) {
        let recent_retries = self.recent_attempts.iter().filter(|is_retry| **is_retry).count();
        let jitter = self.rng.random_range(0.0..1.0);
        let Some(request) = self.requests.get(slot) else { return };
        // Requests that joined the same failed fill are spread out; a diverted one goes on at once.
        let backoff = match status {
            AttemptStatus::Overloaded | AttemptStatus::Unreachable | AttemptStatus::Cancelled => Span::ZERO,
            _ => RETRY_BACKOFF * (request.attempts.len() as f64 * jitter),
        };
        let due = self.now + backoff;
        let is_too_late = due + MIN_TIME_REMAINING >= request.deadline;
        // When most attempts are retries, more of them only add to the overload.
        if is_hopeless(request) || recent_retries > MAX_RECENT_RETRIES || is_too_late {
            self.give_up(slot);
        } else if due == self.now {
            self.route(slot);
        } else {
            self.schedule_request(due, slot);
        }
    }

    /// The Retry-After for a request that is rejected, by the engine or before it; none where none is sent.
    pub fn retry_after(&mut self) -> Option<Span> {
        let retry_after = Span::secs(self.rng.random_range(RETRY_AFTER_SECS));
        self.settings.rejection.max_retry_after().map(|longest| retry_after.min(longest))
    }

    /// Gives a request its final answer at once, and cancels its attempts in flight.
    ///
    /// It is rejected where the client may safely send it again (rule 2), else failed.
    pub(super) fn give_up(&mut self, slot: RequestSlot) {
        let retry_after = self.retry_after();
        let may_cancel = self.settings.attempts.may_cancel();
        let Some(request) = self.requests.get(slot).filter(|request| !request.finished) else { return };
        let to_cancel: Vec<u16> = request
            .in_flight()
            .filter(|(_, attempt)| may_cancel && !attempt.cancelled)
            .map(|(index, _)| index as u16)
            .collect();
        if self.class(request.meta.class).is_freely_retried() || request.first_run().is_none() {
            self.host.reject(slot, retry_after);
        } else {
            self.host.fail(slot);
        }
        for index in to_cancel {
            self.host.cancel(slot, index);
        }
        self.request_abandoned(slot);
    }
}
