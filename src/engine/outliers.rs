//! Outlier detection: outcome windows, ejection, trial requests, and the health weight of parents.

use crate::host::{AttemptStatus, EndpointId, Host, Outcome, OutcomeDetail, RequestMeta};
use crate::time::Span;

use super::RoutingEngine;
use super::congestion::UNCONGESTED_LATENESS;
use super::endpoints::{Endpoint, Tier};

/// The minimum number of failures in the outcome window for an endpoint to be ejected.
const MIN_FAILURES: usize = 3;
/// The share of failures above which an endpoint is an outlier if its peers have no failures.
const FAILURE_SHARE: f64 = 0.3;
/// The amount added to `FAILURE_SHARE`, as a multiple of the share of failures among the endpoint's peers.
const PEER_FAILURE_MULTIPLE: f64 = 1.5;
/// The number of successes after which an ejected endpoint on trial is reinstated.
const TRIAL_SUCCESSES: usize = 3;
/// The duration of an endpoint's first ejection.
const EJECTION_BASE: Span = Span::millis(1000);
/// The factor by which the duration of an ejection grows for each unit of the endpoint's `ejection_count`.
const EJECTION_GROWTH: f64 = 1.5;
/// The `ejection_count` above which the duration no longer grows.
const MAX_EJECTION_GROWTH_STEPS: i32 = 5;
/// The maximum share of a tier's ready capacity that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.6;
/// The lateness above which a parent is slow, as a multiple of the lateness of the best parent.
const SLOW_PARENT_MULTIPLE: f64 = 2.0;
/// The minimum share of its objects that a slow parent keeps, so that its recovery is noticed.
const MIN_HEALTH_WEIGHT: f64 = 0.1;

impl<H: Host> RoutingEngine<H> {
    /// Returns the share of its objects that an endpoint keeps. It is below 1 only for a parent whose fills
    /// take longer than those of the best parent; if all parents are slow, they keep their objects.
    pub(super) fn health_weight(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.tier != Tier::Parent {
            return 1.0;
        }
        let prior_lateness = self.recent_fill_lateness();
        let own = self.parent_lateness(endpoint, prior_lateness);
        if own <= UNCONGESTED_LATENESS {
            return 1.0;
        }
        let ready = self.endpoints.ready(endpoint.tier);
        let best = ready.map(|parent| self.parent_lateness(parent, prior_lateness)).fold(own, f64::min);
        if own > SLOW_PARENT_MULTIPLE * best { (best / own).max(MIN_HEALTH_WEIGHT) } else { 1.0 }
    }

    /// Returns whether an endpoint is ejected and not due for a trial request.
    pub(super) fn is_ejected(&self, endpoint: &Endpoint) -> bool {
        endpoint.ejected_until.is_some_and(|until| until > self.now || endpoint.in_flight > 0)
    }

    /// Ejects an endpoint for a duration that grows with each ejection, unless too little capacity of its
    /// tier would be left.
    pub(super) fn eject(&mut self, id: EndpointId) {
        let endpoint = &self.endpoints[id];
        let capacity = self.endpoints.ready_capacity(endpoint.tier);
        let ready = self.endpoints.ready(endpoint.tier);
        let ejected = ready.filter(|other| other.ejected_until.is_some() || other.id() == id);
        let ejected_capacity: f64 = ejected.map(Endpoint::capacity).sum();
        let is_ejected = endpoint.ejected_until.is_some_and(|until| until > self.now);
        if ejected_capacity > capacity * MAX_EJECTED_SHARE || is_ejected {
            return;
        }
        let growth = EJECTION_GROWTH.powi(endpoint.ejection_count.min(MAX_EJECTION_GROWTH_STEPS));
        let until = self.now + EJECTION_BASE * growth;
        let endpoint = &mut self.endpoints[id];
        endpoint.ejection_count += 1;
        endpoint.ejected_until = Some(until);
        endpoint.outcomes.clear();
    }

    /// Returns the share of failures in the outcome windows of those peers of an endpoint that are not
    /// ejected.
    fn peer_failure_share(&self, endpoint: &Endpoint) -> f64 {
        let peers = self.endpoints.ready(endpoint.tier);
        let peers = peers.filter(|peer| peer.ejected_until.is_none() && peer.id() != endpoint.id());
        let (mut failures, mut count) = (0, 0);
        for succeeded in peers.flat_map(|peer| peer.outcomes.iter()) {
            count += 1;
            failures += usize::from(!succeeded);
        }
        failures as f64 / count.max(1) as f64
    }

    /// Adds an outcome to an endpoint's outcome window. Ejects the endpoint if it is an outlier or has failed
    /// a trial request; reinstates it after `TRIAL_SUCCESSES` successes on trial.
    fn record_outcome(&mut self, id: EndpointId, succeeded: bool) {
        self.endpoints[id].outcomes.add(succeeded);
        let endpoint = &self.endpoints[id];
        if endpoint.tier == Tier::Origin {
            return;
        }
        let on_trial = endpoint.ejected_until.is_some();
        let successes = endpoint.outcomes.iter().filter(|succeeded| **succeeded).count();
        let failures = endpoint.outcomes.len() - successes;
        let share = failures as f64 / endpoint.outcomes.len() as f64;
        let limit = FAILURE_SHARE + PEER_FAILURE_MULTIPLE * self.peer_failure_share(endpoint);
        let is_outlier = failures >= MIN_FAILURES && share > limit;
        if is_outlier || (on_trial && !succeeded) {
            self.eject(id);
        } else if on_trial && successes >= TRIAL_SUCCESSES {
            let endpoint = &mut self.endpoints[id];
            endpoint.ejected_until = None;
            endpoint.ejection_count -= 1;
        }
    }

    /// Records the outcome of an attempt in the outcome windows of its endpoint and its source.
    pub(super) fn record_health(
        &mut self,
        endpoint: EndpointId,
        source: Option<EndpointId>,
        meta: &RequestMeta,
        outcome: Outcome,
    ) {
        let source = source.filter(|source| *source != endpoint);
        match outcome.status {
            AttemptStatus::Served => self.record_success(endpoint, source, meta, outcome.detail),
            AttemptStatus::Cancelled | AttemptStatus::Superseded | AttemptStatus::Miss => {}
            AttemptStatus::Overloaded if outcome.detail != OutcomeDetail::SourceUnreachable => {}
            _ => self.record_failure(endpoint, source, outcome),
        }
    }

    fn record_success(
        &mut self,
        endpoint: EndpointId,
        source: Option<EndpointId>,
        meta: &RequestMeta,
        detail: OutcomeDetail,
    ) {
        let was_filled = matches!(detail, OutcomeDetail::FilledFromSource | OutcomeDetail::FilledFromOrigin);
        let source = source.filter(|_| was_filled);
        let sample = self.class_sample(meta.class);
        if source.is_some_and(|source| self.is_warm(source)) {
            self.throughput.parent_fills.add(sample);
        }
        if self.is_warm(endpoint) && self.endpoints[endpoint].tier == Tier::Cache {
            self.throughput.cache_responses.add(sample);
        }
        for id in source.into_iter().chain([endpoint]) {
            self.record_outcome(id, true);
        }
    }

    fn record_failure(&mut self, endpoint: EndpointId, source: Option<EndpointId>, outcome: Outcome) {
        let Outcome { status, detail } = outcome;
        let by_source = matches!(detail, OutcomeDetail::SourceOverloaded | OutcomeDetail::SourceUnreachable);
        if !by_source && detail != OutcomeDetail::OriginFailed {
            self.record_outcome(endpoint, false);
        }
        let is_unexplained = detail == OutcomeDetail::Unknown && status != AttemptStatus::Unreachable;
        let Some(source) = source.filter(|_| by_source || is_unexplained) else { return };
        self.record_outcome(source, false);
        // The source was not running. It may restart before the endpoint list shows the restart, so it is
        // treated as warming up from now on. Otherwise all routers could overload it as soon as it answers.
        if status == AttemptStatus::Overloaded {
            self.endpoints[source].entry.started_at = Some(self.now);
        }
    }
}
