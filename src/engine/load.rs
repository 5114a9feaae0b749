//! Load samples, service time, and the estimate of fills in flight.

use crate::host::{Host, RequestMeta};
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::requests::FillMode;
use super::samples::Samples;

/// How many hits or fills a window of load samples holds.
pub(super) const LOAD_WINDOW: usize = 40;
/// How many service times are kept for each request class.
const SERVICE_TIME_WINDOW: usize = 64;
/// How many responses are kept.
const RESPONSE_WINDOW: usize = 64;
/// Load samples count for this many times the longest deadline, ever less.
const SAMPLE_LIFETIME_DEADLINES: f64 = 2.0;
/// Service times needed before their mean is used.
const MIN_SERVICE_TIMES: usize = 4;
/// The least response time that hits count for in all, in seconds, which keeps the divisor above 0.
const MIN_HIT_SECS: f64 = 0.001;

/// The most recent load samples of an endpoint or a path.
pub(super) type LoadSamples = Samples<LoadSample, LOAD_WINDOW>;

/// A completed hit or fill as a measure of load.
#[derive(Clone, Copy)]
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
    service_times: Vec<Samples<Span, SERVICE_TIME_WINDOW>>,
    /// The last hits of all caches.
    pub(super) hits: LoadSamples,
    source_fills: LoadSamples,
    origin_fills: LoadSamples,
    /// The last responses to attempts that fill misses as they occur.
    pub(super) responses: Samples<ResponseSample, RESPONSE_WINDOW>,
    pub(super) in_flight: FillModeCounts,
    /// How long load samples count, ever less.
    pub(super) sample_lifetime: Span,
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

    pub(super) fn fills(&self, path: FillPath) -> &LoadSamples {
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

    /// Fills in flight by estimate. Attempts that fill misses as they occur count by the share of their time
    /// that recently went to fills.
    pub(super) fn fills_in_flight(&self, path: FillPath) -> f64 {
        let (mut hit_secs, mut source_secs, mut origin_secs) = (MIN_HIT_SECS, 0.0, 0.0);
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
    /// It is never above the latency objective, which also stands in for it until there are samples: under
    /// load from the start no sample shows the service time alone.
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
}
