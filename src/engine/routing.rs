//! The choice of endpoint, source and fill mode for a request.
//!
//! All requests of a location for one object go to the same cache, so that they join a fill in flight, and
//! the fills of that object from all locations go to the same parent. The rest of this module handles the
//! exceptions: endpoints that fail, warm up or are congested.

use crate::host::{EndpointId, Host, RequestSlot};

use super::RoutingEngine;
use super::attempts::AttemptPlan;
use super::congestion::UNCONGESTED_LATENESS;
use super::endpoints::{Endpoint, Tier};
use super::hashing::{mix, unit_interval};
use super::load::FillPath;
use super::requests::{FillMode, Request};

/// The number of attempts in flight at a cache that is always allowed in addition to its fair share.
const FAIR_SHARE_ALLOWANCE: f64 = 4.0;
/// The fair share of attempts in flight at a cache, as a multiple of its share by capacity. Beyond the fair
/// share, requests for a hot object go to the next cache.
const FAIR_SHARE_MULTIPLE: f64 = 1.5;
/// The congestion of fills above which a request is first sent with a restricted fill mode.
const NEAR_CONGESTION: f64 = 0.8;
/// The congestion of fills at which no further fill is started.
pub(super) const CONGESTED: f64 = 1.0;

/// Reasons against sending a request to an endpoint, in order of decreasing weight. An endpoint without any
/// of them is preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Penalties {
    is_ejected: bool,
    /// An attempt of the request failed at the endpoint.
    has_failed: bool,
    /// The object is assigned to another endpoint while this endpoint warms up or is slow.
    is_displaced: bool,
    is_congested: bool,
}

/// An endpoint to which a request could be sent.
#[derive(Clone, Copy)]
struct Candidate {
    id: EndpointId,
    penalties: Penalties,
}

impl Candidate {
    fn is_healthy(&self) -> bool {
        !self.penalties.is_ejected && !self.penalties.has_failed
    }
}

/// The result of the selection among the endpoints of one tier.
struct Selection {
    best: Option<Candidate>,
    /// Endpoints that rank higher than `best` but cannot absorb the request because they are warming up.
    skipped: Vec<EndpointId>,
}

impl<H: Host> RoutingEngine<H> {
    /// Sends a request to the most suitable endpoint, or gives the request up.
    pub(super) fn route(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get(slot) else { return };
        let class = request.meta.class;
        let hash = mix(request.meta.object, u64::from(request.meta.part));
        let origin = self.endpoints.rank(hash, Tier::Origin).first().copied();
        let goes_direct = self.class(class).runs_at_origin && self.settings.topology.may_bypass();
        if let Some(endpoint) = origin.filter(|_| goes_direct) {
            return self.send(slot, AttemptPlan { endpoint, source: None, fill_mode: FillMode::OnMiss });
        }
        let parents = self.select(request, Tier::Parent, hash);
        let caches = self.select(request, Tier::Cache, hash);
        let source = self.choose_source(class, parents.best, origin);
        let endpoint = self.choose_endpoint(request, caches.best, source);
        let Some(fill_mode) = self.choose_fill_mode(request, endpoint, source) else {
            return self.give_up(slot);
        };
        for id in parents.skipped.into_iter().chain(caches.skipped) {
            self.charge_slow_start(id, class, None);
        }
        let Some(endpoint) = endpoint else { return self.give_up(slot) };
        let source = if fill_mode == FillMode::CacheOnly { Some(endpoint) } else { source };
        self.send(slot, AttemptPlan { endpoint, source, fill_mode });
    }

    /// Selects the most suitable endpoint of a tier for a request. Among equally suitable endpoints the
    /// rendezvous ranking decides.
    fn select(&self, request: &Request, tier: Tier, hash: u64) -> Selection {
        let work = self.mean_work(request.meta.class);
        let in_flight: u32 = self.endpoints.tier(tier).map(|endpoint| endpoint.in_flight).sum();
        let fair_share = FAIR_SHARE_MULTIPLE * f64::from(in_flight) / self.endpoints.ready_capacity(tier);
        let prior_lateness = self.recent_hit_lateness();
        let candidate = |id: EndpointId| {
            let endpoint = &self.endpoints[id];
            let is_congested = tier == Tier::Cache
                && (exceeds_fair_share(endpoint, fair_share)
                    || self.would_be_late(endpoint, request, prior_lateness));
            Candidate { id, penalties: self.penalties(endpoint, request, hash, is_congested) }
        };
        let mut ranked: Vec<_> = self.endpoints.rank(hash, tier).into_iter().map(candidate).collect();
        ranked.sort_by_key(|candidate| candidate.penalties);
        let can_absorb = |candidate: &Candidate| {
            self.can_absorb(&self.endpoints[candidate.id], work, request.admission_draw)
        };
        let best = ranked.iter().position(can_absorb);
        let skipped = ranked[..best.unwrap_or(ranked.len())].iter().map(|candidate| candidate.id).collect();
        Selection { best: best.map(|index| ranked[index]), skipped }
    }

    /// Returns the reasons against sending a request to an endpoint.
    fn penalties(&self, endpoint: &Endpoint, request: &Request, hash: u64, is_congested: bool) -> Penalties {
        // This hash differs from the hash of the ranking, so that the objects that a parent loses are spread
        // evenly over all its objects. Every router computes the same hash and displaces the same objects.
        let draw = unit_interval(mix(hash, endpoint.entry.stable_id.rotate_left(32)));
        Penalties {
            is_ejected: self.is_ejected(endpoint),
            has_failed: if endpoint.tier == Tier::Parent {
                request.failed_at_source(endpoint.id())
            } else {
                request.failed_at_endpoint(endpoint.id())
            },
            is_displaced: draw >= self.warm_share(endpoint) * self.health_weight(endpoint),
            is_congested,
        }
    }

    /// Returns the source of a fill: the origin if requests of the class run there, otherwise the best
    /// parent. A parent that is ejected or has failed the request is used only if there is no origin. `None`
    /// if caches fill no misses or there is no source.
    fn choose_source(
        &self,
        class: u16,
        parent: Option<Candidate>,
        origin: Option<EndpointId>,
    ) -> Option<EndpointId> {
        if !self.settings.topology.caches_fill {
            return None;
        }
        let parent = parent.filter(|parent| parent.is_healthy() || origin.is_none());
        match parent {
            Some(parent) if !self.class(class).runs_at_origin => Some(parent.id),
            _ => origin,
        }
    }

    /// Returns the endpoint that answers: the best cache, or the source itself if no cache can take the
    /// request, or if the cache would be late and the source answers in time. `None` if no endpoint can take
    /// the request or all of them would be late.
    fn choose_endpoint(
        &self,
        request: &Request,
        cache: Option<Candidate>,
        source: Option<EndpointId>,
    ) -> Option<EndpointId> {
        let may_bypass =
            self.settings.topology.may_bypass() && !self.class(request.meta.class).runs_at_origin;
        let bypass = source.filter(|_| may_bypass);
        let Some(cache) = cache else { return bypass };
        if !self.would_be_late(&self.endpoints[cache.id], request, self.recent_hit_lateness()) {
            return Some(cache.id);
        }
        bypass.filter(|id| self.answers_in_time(&self.endpoints[*id]))
    }

    /// Returns how an attempt treats a miss; `None` if the request has to be given up.
    ///
    /// While fills are congested, a request is first sent without a fill or, if only fills by the origin are
    /// congested, with a fill only from a copy held by the source. Hits are thus still served. A request that
    /// was found to miss is sent again with a fill while the congestion is below the limit, and is given up
    /// otherwise.
    fn choose_fill_mode(
        &self,
        request: &Request,
        endpoint: Option<EndpointId>,
        source: Option<EndpointId>,
    ) -> Option<FillMode> {
        let class = request.meta.class;
        let source_congestion = self.fill_congestion(request, FillPath::Source);
        let origin_congestion = self.fill_congestion(request, FillPath::Origin);
        let only_origin_late = self.shows_only_origin_late();
        let can_afford_fill = self.host.can_afford_fill(class);
        if !self.settings.topology.caches_fill || self.class(class).runs_at_origin {
            return Some(FillMode::OnMiss);
        }
        if endpoint == source && source_congestion < CONGESTED && can_afford_fill {
            return Some(FillMode::OnMiss);
        }
        let last = request.attempts.last();
        let missed = last.filter(|attempt| !attempt.fills_misses()).map(|attempt| attempt.fill_mode);
        match missed {
            Some(_) if source_congestion >= CONGESTED => None,
            Some(FillMode::OnlyIfCached) if origin_congestion >= CONGESTED => None,
            None if source_congestion > NEAR_CONGESTION && only_origin_late => Some(FillMode::OnlyIfCached),
            None if source_congestion > NEAR_CONGESTION => Some(FillMode::CacheOnly),
            None | Some(FillMode::CacheOnly) if origin_congestion > NEAR_CONGESTION => {
                Some(FillMode::OnlyIfCached)
            }
            None => Some(FillMode::OnMiss),
            Some(_) => Some(FillMode::KnownMiss),
        }
    }

    /// Returns whether only fills by the origin are late, judged by whether at least half of all fills are
    /// quick. This is used only if endpoints do not report which fills came from the origin.
    fn shows_only_origin_late(&self) -> bool {
        if self.settings.topology.fill_details_reported {
            return false;
        }
        let fills = self.load.fills(FillPath::Source);
        let median = fills.quantile(0.5, |load| load.took.as_secs() / load.objective);
        median.is_some_and(|median| median < UNCONGESTED_LATENESS)
    }
}

/// Returns whether the attempts in flight at a cache exceed its fair share, as they do if the cache holds a
/// hot object.
fn exceeds_fair_share(cache: &Endpoint, fair_share: f64) -> bool {
    f64::from(cache.in_flight) > FAIR_SHARE_ALLOWANCE + fair_share * cache.capacity()
}
