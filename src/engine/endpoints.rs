//! The endpoint table, its tiers, and the ranking of endpoints by weighted rendezvous hashing.

use std::collections::VecDeque;
use std::ops::{Index, IndexMut, Range};

use rand::Rng;

use crate::host::{EndpointId, EndpointState, EndpointUpdate, Host, ListUpdateKind};
use crate::settings::Topology;
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::hashing::{mix, unit_interval};
use super::load::LoadSamples;
use super::samples::Samples;
use super::slow_start::SlowStartCharge;

/// The range from which the delay before a failed fetch of the endpoint list is retried is drawn, in seconds.
const LIST_RETRY_SECS: Range<f64> = 0.5..1.5;
/// The number of outcomes in an outcome window.
const OUTCOME_WINDOW: usize = 16;
/// The number of gaps between responses that are kept for each endpoint.
const GAP_WINDOW: usize = 16;
/// The minimum capacity used in calculations, which keeps divisors above 0.
const MIN_CAPACITY: f64 = 1e-3;

/// The role of an endpoint from the point of view of this router.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Tier {
    /// A cache of the router's own location.
    Cache,
    /// A parent, which fills caches in any location.
    Parent,
    /// The origin.
    Origin,
    /// A cache of another location, to which this router sends no requests.
    Remote,
}

impl Tier {
    fn of(update: &EndpointUpdate, topology: &Topology) -> Self {
        match Some(update.kind) {
            kind if kind == topology.parent_kind => Self::Parent,
            kind if kind == topology.origin_kind => Self::Origin,
            _ if u16::from(update.location) == topology.location => Self::Cache,
            _ => Self::Remote,
        }
    }
}

/// This router's state for one cache, parent or origin.
pub(super) struct Endpoint {
    /// The newest entry for the endpoint in the endpoint list.
    pub(super) entry: EndpointUpdate,
    pub(super) tier: Tier,
    /// The outcome window: for each of the most recent attempts, whether it succeeded.
    pub(super) outcomes: Samples<bool, OUTCOME_WINDOW>,
    pub(super) loads: LoadSamples,
    /// The number of attempts of this router in flight at the endpoint.
    pub(super) in_flight: u32,
    /// When the endpoint last answered, or was last sent an attempt while it had none in flight.
    pub(super) last_active: Moment,
    /// The times between answers of the endpoint while attempts were in flight.
    pub(super) response_gaps: Samples<Span, GAP_WINDOW>,
    /// The moment after which trial requests are sent to the ejected endpoint; `None` if it is not ejected.
    pub(super) ejected_until: Option<Moment>,
    /// The number of ejections of the endpoint, minus the number of its reinstatements.
    pub(super) ejection_count: i32,
    /// The slow start charges of the endpoint while it warms up, oldest first.
    pub(super) slow_start_charges: VecDeque<SlowStartCharge>,
}

impl Endpoint {
    fn new(entry: EndpointUpdate, tier: Tier, in_flight: u32, now: Moment) -> Self {
        Self {
            entry,
            tier,
            outcomes: Samples::default(),
            loads: Samples::default(),
            in_flight,
            last_active: now,
            response_gaps: Samples::default(),
            ejected_until: None,
            ejection_count: 0,
            slow_start_charges: VecDeque::new(),
        }
    }

    pub(super) fn id(&self) -> EndpointId {
        self.entry.endpoint
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.entry.capacity)
    }

    /// Returns whether an update refers to the process that was listed before, in the same tier.
    fn is_same_process(&self, update: &EndpointUpdate, tier: Tier) -> bool {
        self.entry.started_at == update.started_at
            && self.entry.stable_id == update.stable_id
            && self.tier == tier
    }
}

/// All endpoints that were ever listed, indexed by id.
#[derive(Default)]
pub(super) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    tiers: [Vec<EndpointId>; 4],
}

impl Index<EndpointId> for EndpointTable {
    type Output = Endpoint;
    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.0 as usize]
    }
}

impl IndexMut<EndpointId> for EndpointTable {
    fn index_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.0 as usize]
    }
}

impl EndpointTable {
    fn mark_all_removed(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.entry.state = EndpointState::Removed;
        }
    }

    fn apply(&mut self, update: &EndpointUpdate, tier: Tier, now: Moment) {
        let Some(known) = self.endpoints.get_mut(update.endpoint.0 as usize) else {
            self.endpoints.push(Endpoint::new(*update, tier, 0, now));
            return;
        };
        if update.state == EndpointState::Removed {
            // The capacity and tier are kept: they still show how the load was divided among endpoints.
            known.entry.state = update.state;
        } else if known.is_same_process(update, tier) {
            known.entry = *update;
        } else {
            *known = Endpoint::new(*update, tier, known.in_flight, now);
        }
    }

    fn index_tiers(&mut self) {
        self.tiers.iter_mut().for_each(Vec::clear);
        for endpoint in &self.endpoints {
            self.tiers[endpoint.tier as usize].push(endpoint.id());
        }
    }

    pub(super) fn tier(&self, tier: Tier) -> impl Iterator<Item = &Endpoint> {
        self.tiers[tier as usize].iter().map(|id| &self[*id])
    }

    pub(super) fn ready(&self, tier: Tier) -> impl Iterator<Item = &Endpoint> {
        self.tier(tier).filter(|endpoint| endpoint.is_ready())
    }

    /// Returns the total capacity of a tier's ready endpoints.
    pub(super) fn ready_capacity(&self, tier: Tier) -> f64 {
        self.ready(tier).map(Endpoint::capacity).sum::<f64>().max(MIN_CAPACITY)
    }

    /// Returns the total capacity of a tier's endpoints that are ready or have been active since `since`.
    pub(super) fn capacity_active_since(&self, tier: Tier, since: Moment) -> f64 {
        let counted = |endpoint: &&Endpoint| endpoint.is_ready() || endpoint.last_active >= since;
        self.tier(tier).filter(counted).map(Endpoint::capacity).sum::<f64>().max(MIN_CAPACITY)
    }

    /// Returns a tier's ready endpoints in the order of weighted rendezvous hashing, best first.
    pub(super) fn rank(&self, hash: u64, tier: Tier) -> Vec<EndpointId> {
        let score = |endpoint: &Endpoint| {
            -unit_interval(mix(endpoint.entry.stable_id, hash)).ln()
                / f64::from(endpoint.entry.capacity.max(MIN_CAPACITY as f32))
        };
        let mut scored: Vec<_> = self.ready(tier).map(|endpoint| (score(endpoint), endpoint.id())).collect();
        scored.sort_by(|a, b| a.partial_cmp(b).expect("hashes are numbers"));
        scored.into_iter().map(|(_, id)| id).collect()
    }
}

impl<H: Host> RoutingEngine<H> {
    /// Handles an update of the endpoint list, or a failure to fetch the list.
    pub fn endpoints_changed(&mut self, kind: ListUpdateKind, updates: &[EndpointUpdate]) {
        match kind {
            ListUpdateKind::Failed => {
                let delay = Span::secs(self.rng.random_range(LIST_RETRY_SECS));
                self.schedule_list_request(delay);
            }
            // Endpoints that are still in the list are updated below.
            ListUpdateKind::Full => self.endpoints.mark_all_removed(),
            ListUpdateKind::Delta => {}
        }
        for update in updates {
            let tier = Tier::of(update, &self.settings.topology);
            self.endpoints.apply(update, tier, self.now);
        }
        self.endpoints.index_tiers();
    }
}
