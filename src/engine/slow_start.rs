//! Slow start: limits the work that is sent to endpoints while they warm up after a start (rule 4).
//!
//! All routers together must not overload a warming endpoint. Each router therefore uses only its share of
//! the capacity that the endpoint is certain to have. Objects return to a restarted endpoint gradually, in
//! the same order at every router.

use crate::host::{EndpointId, Host};
use crate::settings::Ramp;
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::endpoints::{Endpoint, Tier};
use super::hashing::{mix, unit_interval};
use super::requests::RequestId;
use super::samples::Samples;

/// The minimum duration of a ramp, in seconds, which keeps divisors above 0.
const MIN_RAMP_SECS: f64 = 0.001;
/// The ramp duration from which the activity period below is computed if the settings contain no ramp
/// duration for caches.
const DEFAULT_RAMP_DURATION: Span = Span::millis(15_000);
/// The time after its last activity during which a removed endpoint is still included when work is divided
/// among endpoints, in ramp durations of caches.
const ACTIVE_WITHIN_RAMPS: f64 = 2.0;
/// The minimum number of samples from which a rate of work is computed.
const MIN_RATE_SAMPLES: usize = 12;
/// The minimum time over which a rate of work is computed, in seconds.
const MIN_RATE_SECS: f64 = 0.5;
/// The number of arrivals kept.
const ARRIVAL_WINDOW: usize = 128;
/// The number of responses of warm caches kept.
const RESPONSE_WINDOW: usize = 256;
/// The number of fills by warm parents kept.
const FILL_WINDOW: usize = 128;
/// The minimum capacity assumed for all parents together, as a share of the work that arrives at this router.
const PARENT_SHARE_OF_ARRIVALS: f64 = 0.05;
/// The minimum capacity assumed for all caches together, as a share of the work that arrives at this router.
const CACHE_SHARE_OF_ARRIVALS: f64 = 0.5;
/// The share of a warming endpoint's budget that is used; the rest is a margin for random fluctuation.
const BUDGET_MARGIN: f64 = 0.7;
/// The share of a budget of less than one request that is used by requests admitted by random draw.
const DRAW_MARGIN: f64 = 0.7;
/// The time over which demand is averaged, in slow start windows.
const DEMAND_WINDOWS: f64 = 4.0;
/// The minimum demand, as a share of the demand in the last window alone. A burst shows there before it shows
/// in the average.
const BURST_SHARE: f64 = 0.5;
/// The number of requests assumed in the first window if the arrival rate is unknown.
const ASSUMED_REQUESTS_PER_WINDOW: f64 = 4.0;

/// Identifies an attempt over the life of the engine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) index: u16,
}

/// The work of one request that was sent to a warming endpoint, or that would have been sent there if the
/// endpoint could absorb it.
pub(super) struct SlowStartCharge {
    at: Moment,
    /// In seconds of service time.
    work: f64,
    /// The attempt that was sent to the endpoint; `None` if the request was not sent there, or if the attempt
    /// turned out to need no work from the endpoint.
    sent: Option<AttemptId>,
}

/// The time at which a request arrived or was served, and its request class.
#[derive(Clone, Copy)]
pub(super) struct ClassSample {
    at: Moment,
    class: u16,
}

/// The recent work that arrived at this router, and that warm endpoints did for this router.
#[derive(Default)]
pub(super) struct Throughput {
    /// Requests that arrived, without retries of clients.
    pub(super) arrivals: Samples<ClassSample, ARRIVAL_WINDOW>,
    /// Requests served by warm caches of the location.
    pub(super) cache_responses: Samples<ClassSample, RESPONSE_WINDOW>,
    /// Fills from warm parents.
    pub(super) parent_fills: Samples<ClassSample, FILL_WINDOW>,
}

impl Endpoint {
    /// Iterates over the charges of the last `span`.
    fn charges_within(&self, span: Span, now: Moment) -> impl Iterator<Item = &SlowStartCharge> {
        self.slow_start_charges.iter().filter(move |charge| now.since(charge.at) <= span)
    }

    /// Returns the work charged within the last `span`, whether sent or not, in seconds of service time.
    fn demand_within(&self, span: Span, now: Moment) -> f64 {
        self.charges_within(span, now).map(|charge| charge.work).sum::<f64>()
    }

    /// Marks the charge of an attempt that needed no work from this endpoint as not sent.
    pub(super) fn refund(&mut self, attempt: AttemptId) {
        for charge in &mut self.slow_start_charges {
            if charge.sent == Some(attempt) {
                charge.sent = None;
            }
        }
    }
}

impl<H: Host> RoutingEngine<H> {
    /// Returns a sample of this request class at the current time.
    pub(super) fn class_sample(&self, class: u16) -> ClassSample {
        ClassSample { at: self.now, class }
    }

    fn ramp(&self, tier: Tier) -> &Ramp {
        match tier {
            Tier::Parent => &self.settings.slow_start.parents,
            _ => &self.settings.slow_start.caches,
        }
    }

    /// Returns the share of its full capacity that an endpoint is certain to have by now; 1 once it is warm.
    pub(super) fn warm_share(&self, endpoint: &Endpoint) -> f64 {
        let started_at = endpoint.entry.started_at.filter(|_| endpoint.tier != Tier::Origin);
        let Some(started_at) = started_at else { return 1.0 };
        let ramp = self.ramp(endpoint.tier);
        let initial = ramp.initial_share();
        let duration_secs = ramp.duration.unwrap_or_default().as_secs().max(MIN_RAMP_SECS);
        let progress = self.now.since(started_at).as_secs() / duration_secs;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    pub(super) fn is_warm(&self, id: EndpointId) -> bool {
        self.warm_share(&self.endpoints[id]) >= 1.0
    }

    /// Returns the work per second that the samples show, in seconds of service time; 0 if there are too few
    /// samples.
    fn work_rate<const SIZE: usize>(&self, samples: &Samples<ClassSample, SIZE>) -> f64 {
        let ends = samples.first().zip(samples.last());
        let Some((first, last)) = ends.filter(|_| samples.len() >= MIN_RATE_SAMPLES) else { return 0.0 };
        let work: f64 = samples.iter().map(|sample| self.mean_work(sample.class)).sum();
        work / last.at.since(first.at).as_secs().max(MIN_RATE_SECS)
    }

    /// Returns an endpoint's share of the capacity of its tier. That capacity includes recently active
    /// endpoints: if several endpoints are restarted together, the first one to be listed would otherwise get
    /// the load of the whole tier.
    fn tier_share(&self, endpoint: &Endpoint) -> f64 {
        let ramp_duration = self.settings.slow_start.caches.duration.unwrap_or(DEFAULT_RAMP_DURATION);
        let since = self.now - ramp_duration * ACTIVE_WITHIN_RAMPS;
        endpoint.capacity() / self.endpoints.capacity_active_since(endpoint.tier, since)
    }

    /// Returns the work per second that this router may send to an endpoint once it is warm, in seconds of
    /// service time.
    ///
    /// If capacities are known, this is the router's share of the endpoint's capacity. Otherwise it is
    /// estimated from the work that warm endpoints did and, for a router that has just started, from the
    /// arrival rate. Retries of clients are not included in that rate, because they multiply after an outage.
    fn warm_capacity(&self, endpoint: &Endpoint, arrival_rate: f64, tier_share: f64) -> f64 {
        let topology = &self.settings.topology;
        let is_parent = endpoint.tier == Tier::Parent;
        if topology.capacity_known {
            let routers = if is_parent { topology.router_count() } else { topology.local_router_count() };
            let fleet_share = self.host.slow_start_share(endpoint.entry.stable_id, is_parent);
            return match fleet_share {
                Some(share) => endpoint.capacity() * share,
                None => endpoint.capacity() / routers,
            };
        }
        let (served_rate, min_rate) = if is_parent {
            (self.work_rate(&self.throughput.parent_fills), arrival_rate * PARENT_SHARE_OF_ARRIVALS)
        } else {
            (self.work_rate(&self.throughput.cache_responses), arrival_rate * CACHE_SHARE_OF_ARRIVALS)
        };
        served_rate.max(min_rate) * tier_share
    }

    /// Returns whether an endpoint can take this work without being overloaded (rule 4).
    ///
    /// A warming endpoint has a budget for each sliding window: the capacity that it is certain to have,
    /// times its overload multiple, times the length of the window. If the budget is less than one request,
    /// requests are admitted by their admission draw, at most one per window.
    pub(super) fn can_absorb(&self, endpoint: &Endpoint, work: f64, admission_draw: u64) -> bool {
        let warm_share = self.warm_share(endpoint);
        if warm_share >= 1.0 {
            return true;
        }
        let arrival_rate = self.work_rate(&self.throughput.arrivals);
        let tier_share = self.tier_share(endpoint);
        let capacity = self.warm_capacity(endpoint, arrival_rate, tier_share);
        let overload_multiple = self.ramp(endpoint.tier).overload_multiple();
        let window = self.settings.slow_start.window();
        let budget = warm_share * capacity * overload_multiple * window.as_secs() * BUDGET_MARGIN;
        let sent = endpoint.charges_within(window, self.now).filter(|charge| charge.sent.is_some());
        let spent: f64 = sent.map(|charge| charge.work).sum();
        if budget >= work {
            return spent + work <= budget;
        }
        let expected_rate = (arrival_rate > 0.0).then_some(arrival_rate * tier_share);
        let demand = self.demand(endpoint, work, expected_rate);
        let draw = unit_interval(mix(admission_draw, endpoint.entry.stable_id));
        spent == 0.0 && draw * demand < budget * DRAW_MARGIN
    }

    /// Returns the demand on a warming endpoint in one window, including this work, in seconds of service
    /// time. `expected_rate` is in seconds of service time per second; `None` if the arrival rate is unknown.
    ///
    /// Right after the start, the demand is assumed to be the endpoint's share of all requests: routers that
    /// have ejected the other endpoints send more than the objects that a warm endpoint would get. Later, the
    /// demand is computed from the observed requests.
    fn demand(&self, endpoint: &Endpoint, work: f64, expected_rate: Option<f64>) -> f64 {
        let window = self.settings.slow_start.window();
        let expected_rate =
            expected_rate.unwrap_or_else(|| ASSUMED_REQUESTS_PER_WINDOW * work / window.as_secs());
        let uptime = self.now.since(endpoint.entry.started_at.unwrap_or_default());
        let observation_time = uptime.min(window * DEMAND_WINDOWS);
        let observed = endpoint.demand_within(observation_time, self.now) + work;
        let mean = observed / (observation_time.as_secs() + work / expected_rate) * window.as_secs();
        mean.max(BURST_SHARE * (endpoint.demand_within(window, self.now) + work))
    }

    /// Charges a warming endpoint with the work of a request. `sent` is the attempt sent to the endpoint;
    /// `None` if the request was not sent there.
    pub(super) fn charge_slow_start(&mut self, id: EndpointId, class: u16, sent: Option<AttemptId>) {
        let (now, work, is_warm) = (self.now, self.mean_work(class), self.is_warm(id));
        let retention = self.settings.slow_start.window() * DEMAND_WINDOWS;
        let charges = &mut self.endpoints[id].slow_start_charges;
        charges.retain(|charge| now.since(charge.at) <= retention);
        if !is_warm {
            charges.push_back(SlowStartCharge { at: now, work, sent });
        }
    }
}
