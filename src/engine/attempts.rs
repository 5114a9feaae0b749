//! Sending of attempts. Every attempt passes through this module, which enforces the five rules of the
//! service:
//!
//! 1. No attempt is sent for a request that has its final answer or too little time left for an answer.
//! 2. A request that may have run is sent again only where running it twice does no harm. Only one attempt
//!    of a request is in flight, unless hedged requests are permitted.
//! 3. Draining and removed endpoints get no new attempts.
//! 4. Warming endpoints are not overloaded.
//! 5. Copies from before a purge are not served.

use crate::host::{AttemptLimits, AttemptStatus, EndpointId, FillDirectives, Host, QuotaCharge, RequestSlot};
use crate::settings::{Idempotency, RetryScope};
use crate::time::Span;

use super::RoutingEngine;
use super::load::FillPath;
use super::requests::{Attempt, FillMode, FirstRun, Request};
use super::routing::CONGESTED;
use super::slow_start::AttemptId;

/// The minimum time that must remain before the deadline for an attempt to be sent.
pub(super) const MIN_TIME_REMAINING: Span = Span::millis(10);
/// How long before the end of the retry window an attempt must be sent, so that it arrives within the window.
const RETRY_WINDOW_MARGIN: Span = Span::millis(20);
/// The minimum age limit after a purge; a limit of zero would mean any age.
const MIN_MAX_AGE: Span = Span::micros(1);

/// The endpoint, source and fill mode of an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptPlan {
    pub(super) endpoint: EndpointId,
    /// The source of a fill; `None` if the endpoint fills no misses.
    pub(super) source: Option<EndpointId>,
    pub(super) fill_mode: FillMode,
}

impl AttemptPlan {
    fn endpoints(self) -> impl Iterator<Item = EndpointId> {
        [Some(self.endpoint), self.source].into_iter().flatten()
    }
}

/// The copies from which an attempt may be answered.
struct Freshness {
    /// The maximum age of a copy; `None` for the request class's own freshness lifetime.
    max_age: Option<Span>,
    /// Whether an ageing copy is refreshed while it is served.
    refresh: bool,
}

impl<H: Host> RoutingEngine<H> {
    /// Sends an attempt of a request if all rules permit it; otherwise gives the request up. Every attempt is
    /// sent by this method.
    pub(super) fn send(&mut self, slot: RequestSlot, plan: AttemptPlan) {
        let Some(request) = self.requests.get(slot).filter(|request| rule_1_is_unanswered(request)) else {
            return;
        };
        if !self.permits(request, plan) {
            return self.give_up(slot);
        }
        let class = request.meta.class;
        let is_stored = !self.class(class).runs_at_origin;
        let is_retry = request.attempts.iter().any(Attempt::fills_misses);
        let freshness = self.freshness(request, plan, is_retry);
        let limits = AttemptLimits {
            timeout: self.attempt_timeout(request),
            send_within: self.retry_window_remaining(request),
        };
        let silence_timeout = self.silence_timeout(plan.endpoint);
        let attempt = AttemptId { request: request.id, index: request.attempts.len() as u16 };
        let charge = self.quota_charge(request, plan);
        if !self.host.charge_quota(slot, charge) {
            return self.give_up(slot);
        }
        match plan.source {
            Some(source) => {
                let directives = FillDirectives {
                    source,
                    max_age: freshness.max_age,
                    join_fill: is_stored,
                    only_if_cached: plan.fill_mode == FillMode::OnlyIfCached,
                    refresh: freshness.refresh,
                    retention_rank: u8::from(is_stored),
                };
                self.host.send_with_fill(slot, plan.endpoint, limits, directives);
            }
            None => self.host.send_cache_only(slot, plan.endpoint, limits),
        }
        self.recent_attempts.add(is_retry);
        self.record_sent(slot, plan, class, attempt);
        self.schedule_request(self.now + silence_timeout, slot);
    }

    /// Returns whether the rules and the maximum number of attempts permit an attempt.
    fn permits(&self, request: &Request, plan: AttemptPlan) -> bool {
        self.rule_1_leaves_time(request)
            && request.attempts.len() < self.settings.attempts.max_attempts()
            && self.rule_2_permits_retry(request, plan.endpoint)
            && self.rule_2_permits_concurrency(request)
            && self.rule_3_permits_endpoints(plan)
            && self.rule_4_permits_load(request, plan)
    }

    /// Rule 1: enough time remains for an answer before the deadline.
    fn rule_1_leaves_time(&self, request: &Request) -> bool {
        request.deadline.since(self.now) >= MIN_TIME_REMAINING
    }

    /// Rule 2: a request that may have run is sent again only where running it twice does no harm.
    fn rule_2_permits_retry(&self, request: &Request, endpoint: EndpointId) -> bool {
        let class = self.class(request.meta.class);
        let Some(FirstRun { endpoint: first, .. }) = request.first_run() else { return true };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => {
                self.is_in_retry_scope(class.retry_scope, first, endpoint)
                    && self.retry_window_remaining(request).is_none_or(|remaining| remaining > Span::ZERO)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Rule 2: returns how long a request that may have run can still be sent again with its idempotency key;
    /// `None` if the request is subject to no retry window.
    fn retry_window_remaining(&self, request: &Request) -> Option<Span> {
        let class = self.class(request.meta.class);
        let first_run = request.first_run().filter(|_| class.idempotency == Idempotency::WithKey)?;
        let window_end = first_run.at + class.retry_window.unwrap_or_default();
        Some(window_end.since(self.now + RETRY_WINDOW_MARGIN))
    }

    fn is_in_retry_scope(&self, scope: RetryScope, first: EndpointId, endpoint: EndpointId) -> bool {
        let entry = |id: EndpointId| &self.endpoints[id].entry;
        let is_same_location = || entry(first).location == entry(endpoint).location;
        match scope {
            RetryScope::Everywhere => true,
            RetryScope::Location => is_same_location(),
            RetryScope::Cell => is_same_location() && entry(first).cell == entry(endpoint).cell,
            RetryScope::Nowhere => false,
        }
    }

    /// Rule 2: a request has only one attempt in flight, unless the deployment permits hedged requests.
    fn rule_2_permits_concurrency(&self, request: &Request) -> bool {
        let is_idempotent = self.class(request.meta.class).idempotency == Idempotency::Idempotent;
        match request.in_flight().count() {
            0 => true,
            1 => self.settings.attempts.hedging && is_idempotent,
            _ => false,
        }
    }

    /// Rule 3: a draining or removed endpoint gets no new attempts, neither as endpoint nor as source.
    fn rule_3_permits_endpoints(&self, plan: AttemptPlan) -> bool {
        plan.endpoints().all(|id| self.endpoints[id].is_ready())
    }

    /// Rule 4: the attempt does not overload a warming endpoint or source.
    fn rule_4_permits_load(&self, request: &Request, plan: AttemptPlan) -> bool {
        let work = self.mean_work(request.meta.class);
        plan.endpoints().all(|id| self.can_absorb(&self.endpoints[id], work, request.admission_draw))
    }

    /// Rule 5: the maximum age of a copy, which is the time since the newest purge that covers the request;
    /// `None` if there was no such purge.
    fn rule_5_max_age(&self, request: &Request) -> Option<Span> {
        let purged_at = self.purges.newest_for(&request.meta)?;
        Some(self.now.since(purged_at).max(MIN_MAX_AGE))
    }

    /// Returns which copies may be served. Stale copies, which are worth less, are allowed only for retries
    /// and while fills are congested.
    fn freshness(&self, request: &Request, plan: AttemptPlan, is_retry: bool) -> Freshness {
        let since_purge = self.rule_5_max_age(request);
        let class = self.class(request.meta.class);
        let fresh_for = class.max_age.unwrap_or_default();
        let are_fills_congested = [FillPath::Source, FillPath::Origin]
            .into_iter()
            .any(|path| self.fill_congestion(request, path) >= CONGESTED);
        let may_be_stale = is_retry || are_fills_congested;
        let stale_for = class.stale_while_failing.filter(|_| may_be_stale).unwrap_or_default();
        let has_freshness_lifetime = fresh_for > Span::ZERO;
        let limit = Some(fresh_for + stale_for)
            .filter(|_| has_freshness_lifetime && (may_be_stale || since_purge.is_some()));
        let can_refresh =
            plan.fill_mode == FillMode::OnMiss && plan.source.is_some_and(|source| self.is_warm(source));
        Freshness {
            max_age: limit.into_iter().chain(since_purge).min(),
            refresh: !class.runs_at_origin && can_refresh && has_freshness_lifetime,
        }
    }

    fn quota_charge(&self, request: &Request, plan: AttemptPlan) -> QuotaCharge {
        let class = request.meta.class;
        let fills_misses = matches!(plan.fill_mode, FillMode::OnMiss | FillMode::KnownMiss);
        let has_failed = |attempt: &Attempt| !attempt.has_status(AttemptStatus::Miss);
        QuotaCharge {
            endpoint: self.endpoints[plan.endpoint].entry.stable_id,
            class,
            cache_only: plan.fill_mode == FillMode::CacheOnly,
            may_fill_from_origin: !self.class(class).runs_at_origin && plan.source.is_some() && fills_misses,
            is_retry: request.attempts.iter().any(has_failed),
        }
    }

    /// Records an attempt that was just sent in the request, the endpoints and the load statistics.
    fn record_sent(&mut self, slot: RequestSlot, plan: AttemptPlan, class: u16, id: AttemptId) {
        let AttemptPlan { endpoint, source, fill_mode } = plan;
        self.charge_slow_start(endpoint, class, Some(id));
        if let Some(source) = source.filter(|source| *source != endpoint) {
            self.charge_slow_start(source, class, Some(id));
        }
        let state = &mut self.endpoints[endpoint];
        if state.in_flight == 0 {
            state.last_active = self.now;
        }
        state.in_flight += 1;
        let endpoint_in_flight = f64::from(state.in_flight);
        *self.load.in_flight.of(fill_mode) += 1.0;
        let attempt = Attempt {
            endpoint,
            source,
            sent_at: self.now,
            endpoint_in_flight,
            fill_mode,
            fills_in_flight: self.load.fill_counts(),
            cancelled: false,
            outcome: None,
        };
        if let Some(request) = self.requests.get_mut(slot) {
            request.attempts.push(attempt);
        }
    }
}

/// Rule 1: nothing is sent for a request that has its final answer.
fn rule_1_is_unanswered(request: &Request) -> bool {
    !request.finished
}
