//! Timeouts of attempts, and the detection of endpoints that hang.

use crate::host::{EndpointId, Host, RequestSlot};
use crate::settings::Idempotency;
use crate::time::Span;

use super::RoutingEngine;
use super::endpoints::Tier;
use super::requests::{Attempt, Request};

/// The response time on which the attempt timeout is based, as a quantile of the last responses.
const TIMEOUT_QUANTILE: f64 = 0.95;
/// The attempt timeout is this many times that response time.
const TIMEOUT_MULTIPLE: f64 = 3.0;
/// The attempt timeout is at least this share of the request class's deadline.
const TIMEOUT_DEADLINE_SHARE: f64 = 0.75;
/// The attempt timeout is at least this many times the request's latency objective.
const TIMEOUT_OBJECTIVE_MULTIPLE: f64 = 1.5;
/// An endpoint is silent for too long after this many times its longest recent gap between responses.
const SILENCE_GAP_MULTIPLE: f64 = 2.0;
/// The shortest silence timeout.
const MIN_SILENCE_TIMEOUT: Span = Span::millis(400);
/// The longest silence timeout.
const MAX_SILENCE_TIMEOUT: Span = Span::millis(1500);
/// The share of the silence timeout after which a silent endpoint is checked again.
const SILENCE_CHECK_SHARE: f64 = 0.5;
/// Attempts in flight without which silence does not show that an endpoint hangs.
const MIN_HUNG_ATTEMPTS: u32 = 3;

impl<H: Host> RoutingEngine<H> {
    /// How long an attempt of a request may take: well beyond what responses took lately.
    pub(super) fn attempt_timeout(&self, request: &Request) -> Span {
        let class = request.meta.class;
        let time_remaining = request.deadline.since(self.now);
        let responses = &self.load.responses;
        let usual = responses.quantile(TIMEOUT_QUANTILE, |response| response.took).unwrap_or(time_remaining);
        let objective = Span::secs(self.objective(class, self.work(&request.meta)));
        (usual * TIMEOUT_MULTIPLE)
            .max(self.class(class).deadline * TIMEOUT_DEADLINE_SHARE)
            .max(objective * TIMEOUT_OBJECTIVE_MULTIPLE)
            .min(time_remaining)
    }

    /// How long an endpoint with attempts in flight may be silent before it counts as hung.
    pub(super) fn silence_timeout(&self, id: EndpointId) -> Span {
        let longest_gap = self.endpoints[id].response_gaps.iter().max().copied().unwrap_or_default();
        (longest_gap * SILENCE_GAP_MULTIPLE).max(MIN_SILENCE_TIMEOUT).min(MAX_SILENCE_TIMEOUT)
    }

    /// A timer of a request has fired: its deadline has passed, a retry is due, or its endpoint may hang.
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
        if self.settings.attempts.may_cancel() && self.hangs(request, attempt, silence_timeout) {
            self.eject(endpoint);
            self.cancel(slot, index);
        } else {
            self.schedule_request(self.now + silence_timeout * SILENCE_CHECK_SHARE, slot);
        }
    }

    /// Whether an attempt's endpoint accepts requests and answers none, and the request can go elsewhere.
    fn hangs(&self, request: &Request, attempt: &Attempt, silence_timeout: Span) -> bool {
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
