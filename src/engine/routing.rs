//! The choice of endpoint, source and fill mode for a request.
//!
//! Requests for one object meet at one cache, which joins the fill in flight for it, and the fills of all
//! locations meet at one parent. Everything else here is an exception for endpoints that fail, warm up or are
//! congested.

use crate::host::{EndpointId, Host, RequestSlot};

use super::RoutingEngine;
use super::attempts::AttemptPlan;
use super::congestion::CALM_LATENESS;
use super::endpoints::{Endpoint, Tier};
use super::hashing::{mix, unit_interval};
use super::load::FillPath;
use super::requests::{FillMode, Request};

/// Attempts in flight at a cache that are never too many for its fair share.
const FAIR_SHARE_ALLOWANCE: f64 = 4.0;
/// Attempts in flight at a cache, over its share by capacity, beyond which a hot object goes to the next
/// cache.
const FAIR_SHARE_MULTIPLE: f64 = 1.5;
/// Congestion of fills from which on a request is first sent without one.
const NEAR_CONGESTION: f64 = 0.8;
/// Congestion of fills from which on none is started.
pub(super) const CONGESTED: f64 = 1.0;

/// How little an endpoint suits a request. What stands first weighs most; the default suits best.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Misfit {
    is_ejected: bool,
    /// An attempt of the request failed there.
    has_failed: bool,
    /// The object has moved away while the endpoint warms up or is slow.
    is_displaced: bool,
    is_congested: bool,
}

/// An endpoint that could take a request.
#[derive(Clone, Copy)]
struct Candidate {
    id: EndpointId,
    misfit: Misfit,
}

impl Candidate {
    fn is_healthy(&self) -> bool {
        !self.misfit.is_ejected && !self.misfit.has_failed
    }
}

/// The result of a search through one tier.
struct Selection {
    best: Option<Candidate>,
    /// Endpoints that suit better and can't absorb the request while they warm up.
    spared: Vec<EndpointId>,
}

impl<H: Host> RoutingEngine<H> {
    /// Sends a request to the endpoint that suits it best, or gives it up.
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
        for id in parents.spared.into_iter().chain(caches.spared) {
            self.charge_slow_start(id, class, None);
        }
        let Some(endpoint) = endpoint else { return self.give_up(slot) };
        let source = if fill_mode == FillMode::CacheOnly { Some(endpoint) } else { source };
        self.send(slot, AttemptPlan { endpoint, source, fill_mode });
    }

    /// Searches a tier for the endpoint that suits a request best. Among equals the rendezvous ranking
    /// decides.
    fn select(&self, request: &Request, tier: Tier, hash: u64) -> Selection {
        let work = self.mean_work(request.meta.class);
        let in_flight: u32 = self.endpoints.tier(tier).map(|endpoint| endpoint.in_flight).sum();
        let fair_share = FAIR_SHARE_MULTIPLE * f64::from(in_flight) / self.endpoints.ready_capacity(tier);
        let usual_lateness = self.usual_hit_lateness();
        let candidate = |id: EndpointId| {
            let endpoint = &self.endpoints[id];
            let is_congested = tier == Tier::Cache
                && (exceeds_fair_share(endpoint, fair_share)
                    || self.would_be_late(endpoint, request, usual_lateness));
            Candidate { id, misfit: self.misfit(endpoint, request, hash, is_congested) }
        };
        let mut ranked: Vec<_> = self.endpoints.rank(hash, tier).into_iter().map(candidate).collect();
        ranked.sort_by_key(|candidate| candidate.misfit);
        let can_absorb = |candidate: &Candidate| {
            self.can_absorb(&self.endpoints[candidate.id], work, request.admission_draw)
        };
        let best = ranked.iter().position(can_absorb);
        let spared = ranked[..best.unwrap_or(ranked.len())].iter().map(|candidate| candidate.id).collect();
        Selection { best: best.map(|index| ranked[index]), spared }
    }

    fn misfit(&self, endpoint: &Endpoint, request: &Request, hash: u64, is_congested: bool) -> Misfit {
        // A hash of its own, so that objects leave a parent evenly, and the same ones at every router.
        let draw = unit_interval(mix(hash, endpoint.entry.stable_id.rotate_left(32)));
        Misfit {
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

    /// The source of a fill: the best parent, or the origin where every parent is ejected or failed the
    /// request.
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

    /// The endpoint that answers: the best cache, or the source itself where no cache can take the request,
    /// or where the cache would be late and the source is calm.
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
        if !self.would_be_late(&self.endpoints[cache.id], request, self.usual_hit_lateness()) {
            return Some(cache.id);
        }
        bypass.filter(|id| self.is_calm(&self.endpoints[*id]))
    }

    /// How an attempt treats a miss; none where the request has to be given up.
    ///
    /// While fills are congested a request is first sent without one, or with only what the source holds
    /// where just the origin's fills are. Hits are served as ever; what surely misses is filled up to the
    /// limit or given up.
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

    /// Where sources' and origin's fills are not reported apart, whether half of all being quick shows that
    /// only those by the origin are late.
    fn shows_only_origin_late(&self) -> bool {
        if self.settings.topology.fill_details_reported {
            return false;
        }
        let fills = self.load.fills(FillPath::Source);
        let median = fills.quantile(0.5, |load| load.took.as_secs() / load.objective);
        median.is_some_and(|median| median < CALM_LATENESS)
    }
}

/// Whether so much is in flight at a cache that a hot object must have outgrown it.
fn exceeds_fair_share(cache: &Endpoint, fair_share: f64) -> bool {
    f64::from(cache.in_flight) > FAIR_SHARE_ALLOWANCE + fair_share * cache.capacity()
}
