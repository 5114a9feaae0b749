//! Attempt timeouts and the detection of hung endpoints.

use crate::host::{EndpointId, Host, RequestSlot};
use crate::settings::Idempotency;
use crate::time::Span;

use super::RoutingEngine;
use super::endpoints::Tier;
use super::requests::{Attempt, Request};

/// The quantile of recent response times on which the attempt timeout is based.
const TIMEOUT_QUANTILE: f64 = 0.95;
/// The attempt timeout as a multiple of the response time at `TIMEOUT_QUANTILE`.
const TIMEOUT_MULTIPLE: f64 = 3.0;
/// The minimum attempt timeout as a share of the request class's deadline.
const TIMEOUT_DEADLINE_SHARE: f64 = 0.75;
/// The minimum attempt timeout as a multiple of the request's latency objective.
const TIMEOUT_OBJECTIVE_MULTIPLE: f64 = 1.5;
/// The silence timeout of an endpoint as a multiple of its longest recent gap between responses.
const SILENCE_GAP_MULTIPLE: f64 = 2.0;
/// The minimum silence timeout.
const MIN_SILENCE_TIMEOUT: Span = Span::millis(400);
/// The maximum silence timeout.
const MAX_SILENCE_TIMEOUT: Span = Span::millis(1500);
/// The share of the silence timeout after which a silent endpoint is checked again.
const SILENCE_CHECK_SHARE: f64 = 0.5;
/// The minimum number of attempts in flight at an endpoint for its silence to show that it hangs.
const MIN_HUNG_ATTEMPTS: u32 = 3;

impl<H: Host> RoutingEngine<H> {
    /// Returns the timeout of an attempt of a request, which is well above recent response times.
    pub(super) fn attempt_timeout(&self, request: &Request) -> Span {
        let class = request.meta.class;
        let time_remaining = request.deadline.since(self.now);
        let responses = &self.load.responses;
        let response_time =
            responses.quantile(TIMEOUT_QUANTILE, |response| response.took).unwrap_or(time_remaining);
        let objective = Span::secs(self.objective(class, self.work(&request.meta)));
        (response_time * TIMEOUT_MULTIPLE)
            .max(self.class(class).deadline * TIMEOUT_DEADLINE_SHARE)
            .max(objective * TIMEOUT_OBJECTIVE_MULTIPLE)
            .min(time_remaining)
    }

    /// Returns how long an endpoint with attempts in flight may be silent before it is considered hung.
    pub(super) fn silence_timeout(&self, id: EndpointId) -> Span {
        let longest_gap = self.endpoints[id].response_gaps.iter().max().copied().unwrap_or_default();
        (longest_gap * SILENCE_GAP_MULTIPLE).max(MIN_SILENCE_TIMEOUT).min(MAX_SILENCE_TIMEOUT)
    }

    /// Handles the timer of a request: its deadline has passed, a retry is due, or the endpoint of its
    /// attempt may hang.
    pub(super) fn request_timer_due(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get(slot) else { return };
        if self.now >= request.deadline {
            return self.give_up(slot);
        }
        if request.in_flight().count() == 0 {
            return self.route(slot);
        }
        let Some((index, attempt)) = request.in_flight().find(|(_, attempt)| !attempt.cancelled) else {
            return;
        };
        let endpoint = attempt.endpoint;
        let silence_timeout = self.silence_timeout(endpoint);
        if self.settings.attempts.may_cancel()
            && self.should_cancel_as_hung(request, attempt, silence_timeout)
        {
            self.eject(endpoint);
            self.cancel(slot, index);
        } else {
            self.schedule_request(self.now + silence_timeout * SILENCE_CHECK_SHARE, slot);
        }
    }

    /// Returns whether an attempt should be cancelled because its endpoint accepts requests but answers none,
    /// and the request can be sent to another endpoint.
    fn should_cancel_as_hung(&self, request: &Request, attempt: &Attempt, silence_timeout: Span) -> bool {
        let endpoint = &self.endpoints[attempt.endpoint];
        let is_silent = self.now.since(attempt.sent_at) >= silence_timeout
            && self.now.since(endpoint.last_active) >= silence_timeout;
        let has_alternative = self.endpoints.ready(Tier::Cache).count() > 1;
        let is_idempotent = self.class(request.meta.class).idempotency == Idempotency::Idempotent;
        is_silent && endpoint.in_flight >= MIN_HUNG_ATTEMPTS && has_alternative && is_idempotent
    }

    fn cancel(&mut self, slot: RequestSlot, index: usize) {
        if let Some(request) = self.requests.get_mut(slot) {
            request.attempts[index].cancelled = true;
        }
        self.host.cancel(slot, index as u16);
    }
}
