//! Lateness and congestion, the two ratios that decide which requests are admitted.
//!
//! Lateness is the time that responses took, divided by their latency objectives. Congestion is the number in
//! flight, divided by the number up to which responses are in time: at a congestion of 1 or more, another
//! request would be late.

use crate::host::Host;

use super::RoutingEngine;
use super::endpoints::Endpoint;
use super::hashing::unit_interval;
use super::load::{FillPath, LOAD_WINDOW, LoadSamples};
use super::requests::Request;

/// The prior lateness, which is assumed if there are no samples.
const DEFAULT_LATENESS: f64 = 0.3;
/// The weight of the prior lateness, as a number of samples.
const PRIOR_SAMPLES: f64 = 2.0;
/// The lateness to which a single sample is capped.
const MAX_SAMPLE_LATENESS: f64 = 3.0;
/// The minimum time that one sample represents, in seconds.
const MIN_SAMPLE_SPACING_SECS: f64 = 0.001;
/// The initial value of sums that are used as divisors, which keeps them above 0.
const EPSILON: f64 = 1e-6;
/// The lateness below which an endpoint is not congested, whatever the number in flight.
pub(super) const UNCONGESTED_LATENESS: f64 = 0.45;
/// The lateness at which an endpoint or path is congested: admission aims for responses within half of the
/// objective.
const CONGESTED_LATENESS: f64 = 0.5;
/// The minimum service time assumed for one request, in seconds.
const MIN_WORK_SECS: f64 = 0.001;
/// The minimum allowance (objective divided by work) of a request, relative to the allowance of the samples.
const MIN_RELATIVE_ALLOWANCE: f64 = 0.5;
/// The number of most recent fills from which the lateness of a parent is computed.
const PARENT_LATENESS_SAMPLES: usize = 12;

/// The limits up to which an endpoint or a fill path is not congested.
#[derive(Clone, Copy)]
struct CongestionLimits {
    /// The lateness below which there is no congestion.
    uncongested_lateness: f64,
    /// The number in flight up to which the requests of a single router cause no congestion.
    min_in_flight: f64,
}

/// Limits of the hits of one endpoint.
const ENDPOINT_LIMITS: CongestionLimits =
    CongestionLimits { uncongested_lateness: UNCONGESTED_LATENESS, min_in_flight: 2.0 };
/// Limits of fills from copies held by sources.
const SOURCE_FILL_LIMITS: CongestionLimits =
    CongestionLimits { uncongested_lateness: UNCONGESTED_LATENESS, min_in_flight: 6.0 };
/// Limits of fills by the origin.
const ORIGIN_FILL_LIMITS: CongestionLimits =
    CongestionLimits { uncongested_lateness: 0.6, min_in_flight: 4.0 };

/// Weighted means over load samples.
#[derive(Clone, Copy)]
struct LoadSummary {
    /// The mean number in flight, weighted by work.
    in_flight: f64,
    /// Response times divided by objectives.
    lateness: f64,
    /// The mean objective divided by the mean work.
    allowance: f64,
}

impl<H: Host> RoutingEngine<H> {
    /// Summarizes the last `count` samples; the weight of a sample declines with its age. The fewer samples
    /// there are, the closer the lateness is to `prior_lateness`.
    fn load_summary(&self, loads: &LoadSamples, count: usize, prior_lateness: f64) -> LoadSummary {
        let (mut weight, mut took, mut allowed) = (0.0, 0.0, EPSILON);
        let (mut work, mut in_flight, mut objective) = (EPSILON, EPSILON, EPSILON);
        for (load, previous) in loads.iter().rev().zip(loads.iter().rev().skip(1)).take(count) {
            let age = self.now.since(load.at).as_secs();
            let freshness = (1.0 - age / self.load.sample_lifetime.as_secs()).max(0.0);
            weight += freshness;
            work += freshness * load.work;
            in_flight += freshness * load.in_flight * load.work;
            objective += freshness * load.objective;
            // Each sample is weighted by the time since the previous sample, so that the few requests
            // admitted after a burst outweigh the burst.
            let spacing = load.at.since(previous.at).as_secs().max(MIN_SAMPLE_SPACING_SECS);
            let sample_weight = freshness * spacing;
            took += sample_weight * load.took.as_secs().min(MAX_SAMPLE_LATENESS * load.objective);
            allowed += sample_weight * load.objective;
        }
        LoadSummary {
            in_flight: in_flight / work,
            lateness: (weight * took / allowed + PRIOR_SAMPLES * prior_lateness) / (weight + PRIOR_SAMPLES),
            allowance: objective / work,
        }
    }

    /// Returns the congestion of an endpoint or a fill path for a request, given the number in flight there.
    ///
    /// On a saturated link, response times grow in proportion to the number in flight. The number at which
    /// they exceed the objective therefore follows from the mean lateness and the mean number in flight. The
    /// more routers share the link, the less this router's own number in flight shows the load of the link.
    /// Lateness and the request's admission draw then decide, so that all routers together admit only as many
    /// requests as can be answered in time.
    fn congestion(
        &self,
        load_summary: LoadSummary,
        request: &Request,
        in_flight: f64,
        limits: CongestionLimits,
    ) -> f64 {
        if load_summary.lateness < limits.uncongested_lateness {
            return 0.0;
        }
        // A request with little work relative to its objective is still admitted at a higher lateness.
        let work = self.work(&request.meta).max(MIN_WORK_SECS);
        let allowance = self.objective(request.meta.class, work) / work / load_summary.allowance;
        let allowance = allowance.max(MIN_RELATIVE_ALLOWANCE);
        let own_share = 1.0 / self.settings.topology.local_router_count();
        let in_flight = in_flight + 1.0 - own_share;
        let draw = unit_interval(request.admission_draw).powf(0.5 - 0.5 * own_share);
        let congestion = (in_flight / load_summary.in_flight).powf(own_share) * load_summary.lateness
            / (CONGESTED_LATENESS * allowance)
            * draw;
        congestion.min(in_flight / (limits.min_in_flight * (4.0 * own_share * own_share).min(1.0)))
    }

    /// Returns the congestion of a fill path for a request. For fills by the origin the congestion is at
    /// least 1 while the fleet's quota allows none.
    pub(super) fn fill_congestion(&self, request: &Request, path: FillPath) -> f64 {
        let without_quota = path == FillPath::Origin && !self.host.can_afford_fill(request.meta.class);
        let limits = match path {
            FillPath::Source => SOURCE_FILL_LIMITS,
            FillPath::Origin => ORIGIN_FILL_LIMITS,
        };
        let load_summary = self.load_summary(self.load.fills(path), LOAD_WINDOW, DEFAULT_LATENESS);
        let in_flight = self.load.fills_in_flight(path);
        self.congestion(load_summary, request, in_flight, limits).max(f64::from(without_quota))
    }

    /// Returns the lateness of the most recent hits of all endpoints.
    pub(super) fn recent_hit_lateness(&self) -> f64 {
        self.load_summary(&self.load.hits, LOAD_WINDOW, DEFAULT_LATENESS).lateness
    }

    /// Returns the lateness of the most recent fills from copies held by sources.
    pub(super) fn recent_fill_lateness(&self) -> f64 {
        self.load_summary(self.load.fills(FillPath::Source), LOAD_WINDOW, DEFAULT_LATENESS).lateness
    }

    /// Returns the lateness of a parent's most recent fills, with `prior_lateness` as the prior.
    pub(super) fn parent_lateness(&self, parent: &Endpoint, prior_lateness: f64) -> f64 {
        self.load_summary(&parent.loads, PARENT_LATENESS_SAMPLES, prior_lateness).lateness
    }

    /// Returns whether an endpoint that could answer instead of a cache answers in time.
    pub(super) fn answers_in_time(&self, endpoint: &Endpoint) -> bool {
        self.parent_lateness(endpoint, DEFAULT_LATENESS) < UNCONGESTED_LATENESS
    }

    /// Returns whether an endpoint would answer a request late, with `prior_lateness` as the prior.
    pub(super) fn would_be_late(&self, endpoint: &Endpoint, request: &Request, prior_lateness: f64) -> bool {
        let load_summary = self.load_summary(&endpoint.loads, LOAD_WINDOW, prior_lateness);
        self.congestion(load_summary, request, f64::from(endpoint.in_flight), ENDPOINT_LIMITS) >= 1.0
    }
}
