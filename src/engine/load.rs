//! Load samples, service time, lateness and congestion.
//!
//! Lateness is the time that responses took over their objectives. Congestion is the number in flight over the number
//! up to which responses come in time: at 1 or more, another request would be late.

use crate::host::{Host, RequestMeta};
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::endpoints::Endpoint;
use super::hashing::unit_interval;
use super::requests::{FillMode, Request};
use super::samples::Samples;

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
/// Load samples count for this many times the longest deadline, ever less.
const SAMPLE_LIFETIME_DEADLINES: f64 = 2.0;
/// Service times needed before their mean is used.
const MIN_SERVICE_TIMES: usize = 4;
/// Below this lateness an endpoint is calm: a request is sent there without a look at congestion.
pub(super) const CALM_LATENESS: f64 = 0.45;
/// Congested where lateness reaches half of the objective.
const CONGESTED_LATENESS: f64 = 0.5;
/// The least service time assumed of one request, in seconds.
const MIN_WORK_SECS: f64 = 0.001;
/// The least objective of a request over its work, relative to that of the samples.
const MIN_RELATIVE_ALLOWANCE: f64 = 0.5;
/// All samples of a window.
const ALL_SAMPLES: usize = 40;
/// The last fills of a parent that tell its lateness.
pub(super) const PARENT_SAMPLES: usize = 12;

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

/// A completed hit or fill as a measure of load.
#[derive(Clone, Copy, Default)]
pub(super) struct LoadSample {
    pub(super) at: Moment,
    /// How many like it were in flight when it was sent, itself included.
    pub(super) in_flight: f64,
    /// Its service time, in seconds.
    pub(super) work: f64,
    /// Its latency objective, in seconds.
    pub(super) objective: f64,
    pub(super) took: Span,
}

/// What load samples show together.
#[derive(Clone, Copy)]
pub(super) struct Pressure {
    /// Mean number in flight, weighted by work.
    in_flight: f64,
    pub(super) lateness: f64,
    /// The mean objective over the mean work.
    allowance: f64,
}

/// Where a fill comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FillPath {
    /// From a copy that the source holds.
    Source,
    /// From the origin, through the source if there is one.
    Origin,
}

/// Where a response came from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponsePath {
    /// From the endpoint's own copy.
    Hit,
    Fill(FillPath),
}

/// A response to an attempt that fills misses.
#[derive(Clone, Copy)]
pub(super) struct ResponseSample {
    pub(super) path: ResponsePath,
    pub(super) took: Span,
}

/// Numbers of fills by their path.
#[derive(Clone, Copy)]
pub(super) struct FillCounts {
    from_source: f64,
    from_origin: f64,
}

impl FillCounts {
    pub(super) fn get(self, path: FillPath) -> f64 {
        match path {
            FillPath::Source => self.from_source,
            FillPath::Origin => self.from_origin,
        }
    }
}

/// Attempts in flight by how they treat a miss.
#[derive(Default)]
pub(super) struct FillModeCounts {
    on_miss: f64,
    cache_only: f64,
    only_if_cached: f64,
    known_miss: f64,
}

impl FillModeCounts {
    pub(super) fn of(&mut self, mode: FillMode) -> &mut f64 {
        match mode {
            FillMode::OnMiss => &mut self.on_miss,
            FillMode::CacheOnly => &mut self.cache_only,
            FillMode::OnlyIfCached => &mut self.only_if_cached,
            FillMode::KnownMiss => &mut self.known_miss,
        }
    }
}

/// What this router has measured of its load.
#[derive(Default)]
pub(super) struct LoadStatistics {
    /// By request class, the times of hits at endpoints with little else in flight.
    service_times: Vec<Samples<Span, 64>>,
    /// The last hits of all caches.
    pub(super) hits: Samples<LoadSample, 40>,
    source_fills: Samples<LoadSample, 40>,
    origin_fills: Samples<LoadSample, 40>,
    /// The last responses to attempts that fill misses as they occur.
    pub(super) responses: Samples<ResponseSample, 64>,
    pub(super) in_flight: FillModeCounts,
    /// How long load samples count, ever less.
    sample_lifetime: Span,
}

impl LoadStatistics {
    /// Prepares for that many request classes with that longest deadline.
    pub(super) fn configure(&mut self, class_count: usize, longest_deadline: Span) {
        self.sample_lifetime = longest_deadline * SAMPLE_LIFETIME_DEADLINES;
        self.service_times.resize_with(class_count, Samples::default);
    }

    pub(super) fn has_class(&self, class: u16) -> bool {
        usize::from(class) < self.service_times.len()
    }

    pub(super) fn add_service_time(&mut self, class: u16, took: Span) {
        self.service_times[usize::from(class)].add(took);
    }

    pub(super) fn fills(&self, path: FillPath) -> &Samples<LoadSample, 40> {
        match path {
            FillPath::Source => &self.source_fills,
            FillPath::Origin => &self.origin_fills,
        }
    }

    pub(super) fn add_fill(&mut self, path: FillPath, sample: LoadSample) {
        match path {
            FillPath::Source => self.source_fills.add(sample),
            FillPath::Origin => self.origin_fills.add(sample),
        }
    }

    /// Fills in flight by estimate. Attempts that fill misses as they occur count by the share of their time that
    /// recently went to fills.
    pub(super) fn fills_in_flight(&self, path: FillPath) -> f64 {
        let (mut hit_secs, mut source_secs, mut origin_secs) = (MIN_SAMPLE_SPACING_SECS, 0.0, 0.0);
        for response in self.responses.iter() {
            let total = match response.path {
                ResponsePath::Hit => &mut hit_secs,
                ResponsePath::Fill(FillPath::Source) => &mut source_secs,
                ResponsePath::Fill(FillPath::Origin) => &mut origin_secs,
            };
            *total += response.took.as_secs();
        }
        let (only_if_cached, fill_secs) = match path {
            FillPath::Source => (self.in_flight.only_if_cached, source_secs),
            FillPath::Origin => (0.0, origin_secs),
        };
        let all_secs = hit_secs + source_secs + origin_secs;
        self.in_flight.known_miss + only_if_cached + self.in_flight.on_miss * fill_secs / all_secs
    }

    pub(super) fn fill_counts(&self) -> FillCounts {
        FillCounts {
            from_source: self.fills_in_flight(FillPath::Source),
            from_origin: self.fills_in_flight(FillPath::Origin),
        }
    }
}

impl<H: Host> RoutingEngine<H> {
    /// The service time of a request in seconds: by its size where that is known, else by its request class.
    pub(super) fn work(&self, meta: &RequestMeta) -> f64 {
        let client_kb_per_s = self.settings.topology.client_kb_per_s;
        meta.size_kb
            .map(|size_kb| f64::from(size_kb) / client_kb_per_s)
            .filter(|work| work.is_finite())
            .unwrap_or_else(|| self.mean_work(meta.class))
    }

    /// The mean service time of a request class in seconds.
    ///
    /// It is never above the latency objective, which also stands in for it until there are samples: under load from
    /// the start no sample shows the service time alone.
    pub(super) fn mean_work(&self, class: u16) -> f64 {
        let service_times = &self.load.service_times[usize::from(class)];
        let objective = self.class(class).latency_objective.as_secs();
        if service_times.len() < MIN_SERVICE_TIMES {
            return objective;
        }
        let total = service_times.iter().map(|took| took.as_secs()).sum::<f64>();
        (total / service_times.len() as f64).min(objective)
    }

    /// The latency objective of a request of that service time, in seconds.
    pub(super) fn objective(&self, class: u16, work: f64) -> f64 {
        self.class(class).objective_for(work)
    }

    /// What the last `count` samples show together, older ones counting less; where there are few, lateness leans on
    /// `usual_lateness`.
    fn pressure(&self, loads: &Samples<LoadSample, 40>, count: usize, usual_lateness: f64) -> Pressure {
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
    /// On a saturated link response times grow in proportion to the number in flight, so the number at which they
    /// pass the objective follows from the mean lateness and the mean number. The more routers share the link, the
    /// less this router's own number tells: lateness decides, together with the request's admission draw, so that
    /// all routers together admit what comes in time.
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
        let pressure = self.pressure(self.load.fills(path), ALL_SAMPLES, DEFAULT_LATENESS);
        let in_flight = self.load.fills_in_flight(path);
        self.congestion(pressure, request, in_flight, limits).max(f64::from(without_quota))
    }

    /// The lateness of the last hits of all caches.
    pub(super) fn usual_hit_lateness(&self) -> f64 {
        self.pressure(&self.load.hits, ALL_SAMPLES, DEFAULT_LATENESS).lateness
    }

    /// The lateness of the last fills from copies that sources hold.
    pub(super) fn usual_fill_lateness(&self) -> f64 {
        self.pressure(self.load.fills(FillPath::Source), ALL_SAMPLES, DEFAULT_LATENESS).lateness
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
        let pressure = self.pressure(&endpoint.loads, ALL_SAMPLES, usual_lateness);
        self.congestion(pressure, request, f64::from(endpoint.in_flight), ENDPOINT_LIMITS) >= 1.0
    }
}
