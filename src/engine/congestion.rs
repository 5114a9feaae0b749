//! Lateness and congestion, which decide what is admitted.
//!
//! Lateness is the time that responses took over their objectives. Congestion is the number in flight over
//! the number up to which responses come in time: at 1 or more, another request would be late.

use crate::host::Host;

use super::RoutingEngine;
use super::endpoints::Endpoint;
use super::hashing::unit_interval;
use super::load::{FillPath, LOAD_WINDOW, LoadSamples};
use super::requests::Request;

/// The lateness assumed where nothing was sampled.
const DEFAULT_LATENESS: f64 = 0.3;
/// How many samples' worth of evidence the assumed lateness counts for.
const PRIOR_SAMPLES: f64 = 2.0;
/// A sample counts as at most this many times its objective.
const MAX_SAMPLE_LATENESS: f64 = 3.0;
/// The least time that one sample stands for, in seconds.
const MIN_SAMPLE_SPACING_SECS: f64 = 0.001;
/// Keeps divisors above 0.
const EPSILON: f64 = 1e-6;
/// Below this lateness an endpoint is calm: a request is sent there without a look at congestion.
pub(super) const CALM_LATENESS: f64 = 0.45;
/// The lateness that counts as congested: admission aims for responses within half of the objective.
const CONGESTED_LATENESS: f64 = 0.5;
/// The least service time assumed of one request, in seconds.
const MIN_WORK_SECS: f64 = 0.001;
/// The least objective of a request over its work, relative to that of the samples.
const MIN_RELATIVE_ALLOWANCE: f64 = 0.5;
/// How many of a parent's last fills tell its lateness.
const PARENT_SAMPLES: usize = 12;

/// Where an endpoint, or the fills of a path, count as congested.
#[derive(Clone, Copy)]
struct CongestionLimits {
    /// Below this lateness there is no congestion.
    calm_lateness: f64,
    /// A single router's requests up to this number in flight are not congestion.
    min_in_flight: f64,
}

/// Limits of the hits of one endpoint.
const ENDPOINT_LIMITS: CongestionLimits =
    CongestionLimits { calm_lateness: CALM_LATENESS, min_in_flight: 2.0 };
/// Limits of fills from copies that sources hold.
const SOURCE_FILL_LIMITS: CongestionLimits =
    CongestionLimits { calm_lateness: CALM_LATENESS, min_in_flight: 6.0 };
/// Limits of fills by the origin.
const ORIGIN_FILL_LIMITS: CongestionLimits = CongestionLimits { calm_lateness: 0.6, min_in_flight: 4.0 };

/// What load samples show together.
#[derive(Clone, Copy)]
struct Pressure {
    /// Mean number in flight, weighted by work.
    in_flight: f64,
    /// Response times over objectives.
    lateness: f64,
    /// The mean objective over the mean work.
    allowance: f64,
}

impl<H: Host> RoutingEngine<H> {
    /// What the last `count` samples show together, older ones counting less; where there are few, lateness
    /// leans on `usual_lateness`.
    fn pressure(&self, loads: &LoadSamples, count: usize, usual_lateness: f64) -> Pressure {
        let (mut weight, mut took, mut due) = (0.0, 0.0, EPSILON);
        let (mut work, mut in_flight, mut objective) = (EPSILON, EPSILON, EPSILON);
        for (load, previous) in loads.iter().rev().zip(loads.iter().rev().skip(1)).take(count) {
            let age = self.now.since(load.at).as_secs();
            let freshness = (1.0 - age / self.load.sample_lifetime.as_secs()).max(0.0);
            weight += freshness;
            work += freshness * load.work;
            in_flight += freshness * load.in_flight * load.work;
            objective += freshness * load.objective;
            // Each sample stands for the time since the one before, so that the few requests admitted after a
            // burst outweigh the burst.
            let spacing = load.at.since(previous.at).as_secs().max(MIN_SAMPLE_SPACING_SECS);
            let spell = freshness * spacing;
            took += spell * load.took.as_secs().min(MAX_SAMPLE_LATENESS * load.objective);
            due += spell * load.objective;
        }
        Pressure {
            in_flight: in_flight / work,
            lateness: (weight * took / due + PRIOR_SAMPLES * usual_lateness) / (weight + PRIOR_SAMPLES),
            allowance: objective / work,
        }
    }

    /// How congested an endpoint or a path of fills is for a request, with that many in flight there.
    ///
    /// On a saturated link response times grow in proportion to the number in flight, so the number at which
    /// they pass the objective follows from the mean lateness and the mean number. The more routers share the
    /// link, the less this router's own number tells: lateness decides, together with the request's admission
    /// draw, so that all routers together admit what comes in time.
    fn congestion(
        &self,
        pressure: Pressure,
        request: &Request,
        in_flight: f64,
        limits: CongestionLimits,
    ) -> f64 {
        if pressure.lateness < limits.calm_lateness {
            return 0.0;
        }
        // A request with little work for its objective is admitted longer.
        let work = self.work(&request.meta).max(MIN_WORK_SECS);
        let allowance = self.objective(request.meta.class, work) / work / pressure.allowance;
        let allowance = allowance.max(MIN_RELATIVE_ALLOWANCE);
        let own_share = 1.0 / self.settings.topology.local_router_count();
        let in_flight = in_flight + 1.0 - own_share;
        let draw = unit_interval(request.admission_draw).powf(0.5 - 0.5 * own_share);
        let congestion = (in_flight / pressure.in_flight).powf(own_share) * pressure.lateness
            / (CONGESTED_LATENESS * allowance)
            * draw;
        congestion.min(in_flight / (limits.min_in_flight * (4.0 * own_share * own_share).min(1.0)))
    }

    /// How congested the fills of a path are for a request; at least 1 while the fleet's quota affords none.
    pub(super) fn fill_congestion(&self, request: &Request, path: FillPath) -> f64 {
        let without_quota = path == FillPath::Origin && !self.host.can_afford_fill(request.meta.class);
        let limits = match path {
            FillPath::Source => SOURCE_FILL_LIMITS,
            FillPath::Origin => ORIGIN_FILL_LIMITS,
        };
        let pressure = self.pressure(self.load.fills(path), LOAD_WINDOW, DEFAULT_LATENESS);
        let in_flight = self.load.fills_in_flight(path);
        self.congestion(pressure, request, in_flight, limits).max(f64::from(without_quota))
    }

    /// The lateness of the last hits of all caches.
    pub(super) fn usual_hit_lateness(&self) -> f64 {
        self.pressure(&self.load.hits, LOAD_WINDOW, DEFAULT_LATENESS).lateness
    }

    /// The lateness of the last fills from copies that sources hold.
    pub(super) fn usual_fill_lateness(&self) -> f64 {
        self.pressure(self.load.fills(FillPath::Source), LOAD_WINDOW, DEFAULT_LATENESS).lateness
    }

    /// The lateness of a parent's last fills, leaning on the usual one.
    pub(super) fn parent_lateness(&self, parent: &Endpoint, usual_lateness: f64) -> f64 {
        self.pressure(&parent.loads, PARENT_SAMPLES, usual_lateness).lateness
    }

    /// Whether an endpoint that may take the place of a cache answers in time.
    pub(super) fn is_calm(&self, endpoint: &Endpoint) -> bool {
        self.parent_lateness(endpoint, DEFAULT_LATENESS) < CALM_LATENESS
    }

    /// Whether an endpoint would answer a request late, where hits usually have this lateness.
    pub(super) fn would_be_late(&self, endpoint: &Endpoint, request: &Request, usual_lateness: f64) -> bool {
        let pressure = self.pressure(&endpoint.loads, LOAD_WINDOW, usual_lateness);
        self.congestion(pressure, request, f64::from(endpoint.in_flight), ENDPOINT_LIMITS) >= 1.0
    }
}
