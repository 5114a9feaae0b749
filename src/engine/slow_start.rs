//! Slow start: how much work is sent to endpoints that warm up after a start (rule 4).
//!
//! All routers together must not overload a warming endpoint, so each keeps to its share of what the endpoint
//! surely can take. Objects come back to a restarted endpoint one by one, the same ones at every router.

use crate::host::{EndpointId, Host};
use crate::settings::Ramp;
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::endpoints::{Endpoint, Tier};
use super::hashing::{mix, unit_interval};
use super::requests::RequestId;
use super::samples::Samples;

/// The shortest ramp, in seconds, which keeps divisors above 0.
const MIN_RAMP_SECS: f64 = 0.001;
/// The ramp duration assumed of caches where none is set.
const DEFAULT_RAMP_DURATION: Span = Span::millis(15_000);
/// Removed endpoints still count for the division of work this many ramp durations after they were active.
const ACTIVE_WITHIN_RAMPS: f64 = 2.0;
/// Samples needed before a rate of work is computed.
const MIN_RATE_SAMPLES: usize = 12;
/// The shortest time over which a rate of work is computed, in seconds.
const MIN_RATE_SECS: f64 = 0.5;
/// How many arrivals are kept.
const ARRIVAL_WINDOW: usize = 128;
/// How many responses of warm caches are kept.
const RESPONSE_WINDOW: usize = 256;
/// How many fills by warm parents are kept.
const FILL_WINDOW: usize = 128;
/// The least capacity assumed of all parents, as a share of the work that arrives here.
const PARENT_SHARE_OF_ARRIVALS: f64 = 0.05;
/// The least capacity assumed of all caches, as a share of the work that arrives here.
const CACHE_SHARE_OF_ARRIVALS: f64 = 0.5;
/// The share of a warming endpoint's budget that is used, as a margin for chance.
const BUDGET_MARGIN: f64 = 0.7;
/// Where the budget is less than one request, the share of it that is passed by random draw.
const DRAW_MARGIN: f64 = 0.7;
/// Demand is averaged over this many slow start windows.
const DEMAND_WINDOWS: f64 = 4.0;
/// The demand of the last window alone counts for this share, as a burst shows there first.
const BURST_SHARE: f64 = 0.5;
/// Requests in the first window where nothing is known of the demand.
const ASSUMED_REQUESTS_PER_WINDOW: f64 = 4.0;

/// Identifies an attempt over the life of the engine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) index: u16,
}

/// Work wanted of a warming endpoint.
pub(super) struct SlowStartCharge {
    at: Moment,
    /// In seconds of service time.
    work: f64,
    /// The attempt that brought it there; none where it was sent elsewhere instead, or took no work after
    /// all.
    sent: Option<AttemptId>,
}

/// When a request of which class arrived or was served.
#[derive(Clone, Copy)]
pub(super) struct ClassSample {
    at: Moment,
    class: u16,
}

/// The work that this router was lately asked for, and that warm endpoints did for it.
#[derive(Default)]
pub(super) struct Throughput {
    /// First attempts of clients.
    pub(super) arrivals: Samples<ClassSample, ARRIVAL_WINDOW>,
    /// Requests served by warm caches of the location.
    pub(super) cache_responses: Samples<ClassSample, RESPONSE_WINDOW>,
    /// Fills given by warm parents.
    pub(super) parent_fills: Samples<ClassSample, FILL_WINDOW>,
}

impl Endpoint {
    /// Work wanted of the endpoint within the last `span`.
    fn charges_within(&self, span: Span, now: Moment) -> impl Iterator<Item = &SlowStartCharge> {
        self.slow_start_charges.iter().filter(move |charge| now.since(charge.at) <= span)
    }

    /// All the work wanted of the endpoint within the last `span`, sent or not.
    fn demand_within(&self, span: Span, now: Moment) -> f64 {
        self.charges_within(span, now).map(|charge| charge.work).sum::<f64>()
    }

    /// Takes back what an attempt was charged that needed nothing from this endpoint.
    pub(super) fn refund(&mut self, attempt: AttemptId) {
        for charge in &mut self.slow_start_charges {
            if charge.sent == Some(attempt) {
                charge.sent = None;
            }
        }
    }
}

impl<H: Host> RoutingEngine<H> {
    /// A sample of that request class, taken now.
    pub(super) fn class_sample(&self, class: u16) -> ClassSample {
        ClassSample { at: self.now, class }
    }

    fn ramp(&self, tier: Tier) -> &Ramp {
        match tier {
            Tier::Parent => &self.settings.slow_start.parents,
            _ => &self.settings.slow_start.caches,
        }
    }

    /// The share of its capacity that an endpoint surely has by now: 1 once it is warm.
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

    /// The work per second that the samples stand for; 0 where there are few.
    fn work_rate<const SIZE: usize>(&self, samples: &Samples<ClassSample, SIZE>) -> f64 {
        let ends = samples.first().zip(samples.last());
        let Some((first, last)) = ends.filter(|_| samples.len() >= MIN_RATE_SAMPLES) else { return 0.0 };
        let work: f64 = samples.iter().map(|sample| self.mean_work(sample.class)).sum();
        work / last.at.since(first.at).as_secs().max(MIN_RATE_SECS)
    }

    /// The share of its tier's capacity that an endpoint has. Endpoints that were lately active count too, as
    /// one of several that are restarted together may be listed first.
    fn tier_share(&self, endpoint: &Endpoint) -> f64 {
        let ramp_duration = self.settings.slow_start.caches.duration.unwrap_or(DEFAULT_RAMP_DURATION);
        let since = self.now - ramp_duration * ACTIVE_WITHIN_RAMPS;
        endpoint.capacity() / self.endpoints.capacity_active_since(endpoint.tier, since)
    }

    /// The work per second that this router may send to an endpoint once it is warm.
    ///
    /// Where capacities are known it is this router's share of the endpoint's; else it follows from what warm
    /// endpoints did, and from first attempts for a router that has just started. Retries of clients do not
    /// count, as they multiply after an outage.
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
        let (served, least) = if is_parent {
            (self.work_rate(&self.throughput.parent_fills), arrival_rate * PARENT_SHARE_OF_ARRIVALS)
        } else {
            (self.work_rate(&self.throughput.cache_responses), arrival_rate * CACHE_SHARE_OF_ARRIVALS)
        };
        served.max(least) * tier_share
    }

    /// Whether an endpoint can absorb this work without being overloaded (rule 4).
    ///
    /// A warming endpoint has a budget for each sliding window: what it surely has, times the multiple that
    /// it takes, times the window. Where the budget is less than one request, requests pass by their
    /// admission draw, at most one a window.
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

    /// The work wanted of a warming endpoint in one window, this work included.
    ///
    /// At first it is the endpoint's share of all requests, as routers that ejected the other endpoints send
    /// it more than the objects of a warm one; then what was seen.
    fn demand(&self, endpoint: &Endpoint, work: f64, expected_rate: Option<f64>) -> f64 {
        let window = self.settings.slow_start.window();
        let expected_rate =
            expected_rate.unwrap_or_else(|| ASSUMED_REQUESTS_PER_WINDOW * work / window.as_secs());
        let up_for = self.now.since(endpoint.entry.started_at.unwrap_or_default());
        let seen_for = up_for.min(window * DEMAND_WINDOWS);
        let seen = endpoint.demand_within(seen_for, self.now) + work;
        let mean = seen / (seen_for.as_secs() + work / expected_rate) * window.as_secs();
        mean.max(BURST_SHARE * (endpoint.demand_within(window, self.now) + work))
    }

    /// Charges a warming endpoint with the work of a request, and the attempt that is sent there, if one is.
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
