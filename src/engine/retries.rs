//! Retries, rejections with Retry-After, and giving up requests.

use rand::Rng;

use crate::host::{AttemptStatus, Host, OutcomeDetail, RequestSlot};
use crate::time::Span;

use super::RoutingEngine;
use super::attempts::MIN_TIME_REMAINING;
use super::requests::{Attempt, Request};

/// The maximum backoff before a retry, per attempt already made. The backoff is drawn at random.
const RETRY_BACKOFF: Span = Span::millis(20);
/// The maximum number of retries among the recent attempts of all requests at which another retry is made.
const MAX_RECENT_RETRIES: usize = 40;
/// The maximum number of attempts rejected by overloaded endpoints after which a request is still retried.
const MAX_OVERLOADED_REJECTIONS: usize = 1;
/// The maximum number of errors without a reported cause after which a request is still retried.
const MAX_UNEXPLAINED_ERRORS: usize = 3;
/// The range from which the Retry-After of a rejection is drawn, in seconds.
const RETRY_AFTER_SECS: std::ops::Range<f64> = 0.05..0.3;

/// Returns whether the endpoint itself, not its source, was overloaded and rejected the attempt.
fn was_rejected_as_overloaded(attempt: &Attempt) -> bool {
    attempt.has_status(AttemptStatus::Overloaded)
        && attempt.outcome.is_some_and(|outcome| {
            matches!(outcome.detail, OutcomeDetail::Unknown | OutcomeDetail::NoFillSlot)
        })
}

/// Returns whether so many attempts of the request failed that another attempt is unlikely to succeed.
fn has_failed_too_often(request: &Request) -> bool {
    let overload_rejections =
        request.attempts.iter().filter(|attempt| was_rejected_as_overloaded(attempt)).count();
    overload_rejections > MAX_OVERLOADED_REJECTIONS
        || request.unexplained_errors().count() > MAX_UNEXPLAINED_ERRORS
}

impl<H: Host> RoutingEngine<H> {
    /// Retries a request after a failed attempt, immediately or after a backoff, or gives the request up.
    pub(super) fn retry(&mut self, slot: RequestSlot, status: AttemptStatus) {
        let recent_retries = self.recent_attempts.iter().filter(|is_retry| **is_retry).count();
        let jitter = self.rng.random_range(0.0..1.0);
        let Some(request) = self.requests.get(slot) else { return };
        // The backoff spreads out requests that joined the same failed fill. A request that is only diverted
        // to another endpoint is sent again immediately.
        let backoff = match status {
            AttemptStatus::Overloaded | AttemptStatus::Unreachable | AttemptStatus::Cancelled => Span::ZERO,
            _ => RETRY_BACKOFF * (request.attempts.len() as f64 * jitter),
        };
        let due = self.now + backoff;
        let is_too_late = due + MIN_TIME_REMAINING >= request.deadline;
        // If most recent attempts are retries, further retries would only add to the overload.
        if has_failed_too_often(request) || recent_retries > MAX_RECENT_RETRIES || is_too_late {
            self.give_up(slot);
        } else if due == self.now {
            self.route(slot);
        } else {
            self.schedule_request(due, slot);
        }
    }

    /// Returns the Retry-After for a request that is rejected by the engine or before it reaches the engine;
    /// `None` if rejections carry no Retry-After.
    pub fn retry_after(&mut self) -> Option<Span> {
        let retry_after = Span::secs(self.rng.random_range(RETRY_AFTER_SECS));
        self.settings.rejection.max_retry_after().map(|longest| retry_after.min(longest))
    }

    /// Gives a request its final answer immediately, and cancels its attempts in flight.
    ///
    /// The request is rejected if the client may safely send it again (rule 2); otherwise it is failed.
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
