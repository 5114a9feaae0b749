//! Load statistics: load samples, service times, and the estimated number of fills in flight.

use crate::host::{Host, RequestMeta};
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::requests::FillMode;
use super::samples::Samples;

/// The number of hits or fills in a window of load samples.
pub(super) const LOAD_WINDOW: usize = 40;
/// The number of service times kept for each request class.
const SERVICE_TIME_WINDOW: usize = 64;
/// The number of responses kept.
const RESPONSE_WINDOW: usize = 64;
/// The age at which load samples no longer have any weight, as a multiple of the longest deadline.
const SAMPLE_LIFETIME_DEADLINES: f64 = 2.0;
/// The minimum number of service times from which a mean is computed.
const MIN_SERVICE_TIMES: usize = 4;
/// The initial value of the sum of hit response times, in seconds, which keeps the divisor above 0.
const MIN_HIT_SECS: f64 = 0.001;

/// The most recent load samples of an endpoint or a path.
pub(super) type LoadSamples = Samples<LoadSample, LOAD_WINDOW>;

/// A completed hit or fill, which serves as a measure of load.
#[derive(Clone, Copy)]
pub(super) struct LoadSample {
    pub(super) at: Moment,
    /// The number of attempts at the endpoint, or of fills of the path, that were in flight when the attempt
    /// was sent, including this attempt. Always 1 for fills in the samples of a source, of which only the
    /// lateness is used.
    pub(super) in_flight: f64,
    /// The service time of the request, in seconds.
    pub(super) work: f64,
    /// The latency objective of the request, in seconds.
    pub(super) objective: f64,
    pub(super) took: Span,
}

/// Where a fill comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FillPath {
    /// From a copy held by the source.
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

/// A response to an attempt with [`FillMode::OnMiss`].
#[derive(Clone, Copy)]
pub(super) struct ResponseSample {
    pub(super) path: ResponsePath,
    pub(super) took: Span,
}

/// The number of fills of each path.
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

/// The number of attempts in flight of each fill mode.
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

/// The load that this router has measured.
#[derive(Default)]
pub(super) struct LoadStatistics {
    /// For each request class, the response times of hits at endpoints with few other attempts in flight.
    service_times: Vec<Samples<Span, SERVICE_TIME_WINDOW>>,
    /// The most recent hits of all endpoints.
    pub(super) hits: LoadSamples,
    source_fills: LoadSamples,
    origin_fills: LoadSamples,
    /// The most recent responses to attempts with [`FillMode::OnMiss`].
    pub(super) responses: Samples<ResponseSample, RESPONSE_WINDOW>,
    pub(super) in_flight: FillModeCounts,
    /// The age at which load samples no longer have any weight; until then the weight declines linearly.
    pub(super) sample_lifetime: Span,
}

impl LoadStatistics {
    /// Applies the number of request classes and their longest deadline.
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

    /// Returns the estimated number of fills of a path in flight. An attempt with [`FillMode::OnMiss`] is
    /// counted with the share of recent response time that was spent on fills of that path.
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
    /// Returns the service time of a request in seconds, computed from its size if that is known, otherwise
    /// the mean of its request class.
    pub(super) fn work(&self, meta: &RequestMeta) -> f64 {
        let client_kb_per_s = self.settings.topology.client_kb_per_s;
        meta.size_kb
            .map(|size_kb| f64::from(size_kb) / client_kb_per_s)
            .filter(|work| work.is_finite())
            .unwrap_or_else(|| self.mean_work(meta.class))
    }

    /// Returns the mean service time of a request class in seconds.
    ///
    /// The mean is capped at the latency objective, which is also used until there are enough samples. If
    /// there is load from the start, response times include queueing, and no sample shows the service time
    /// alone.
    pub(super) fn mean_work(&self, class: u16) -> f64 {
        let service_times = &self.load.service_times[usize::from(class)];
        let objective = self.class(class).latency_objective.as_secs();
        if service_times.len() < MIN_SERVICE_TIMES {
            return objective;
        }
        let total = service_times.iter().map(|took| took.as_secs()).sum::<f64>();
        (total / service_times.len() as f64).min(objective)
    }

    /// Returns the latency objective, in seconds, of a request with a service time of `work` seconds.
    pub(super) fn objective(&self, class: u16, work: f64) -> f64 {
        self.class(class).objective_for(work)
    }
}
