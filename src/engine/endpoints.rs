//! The endpoint table, its tiers, and the rendezvous ranking of endpoints.

use super::*;

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Tier {
    Cache, // of the own location
    Parent,
    Origin,
    Elsewhere,
}

/// A cache, a parent or the origin, as this router knows it.
pub(super) struct Member {
    pub(super) listed: EndpointUpdate,
    pub(super) tier: Tier,
    /// How its last attempts ended: whether well.
    pub(super) signs: Samples<bool, 16>,
    pub(super) loads: Samples<Load, 40>,
    pub(super) out: u32,
    /// When it last answered, or last got a request with none in hand.
    pub(super) heard: Moment,
    pub(super) gaps: Samples<Span, 16>,
    /// Set while it is left out for what it did; a few trial requests go to it after that moment.
    pub(super) out_until: Option<Moment>,
    pub(super) outages: i32,
    /// Work wanted of it while it was cold, by time; with request and attempt where it was sent.
    pub(super) drawn: VecDeque<FillCharge>,
}

impl Member {
    pub(super) fn new(listed: EndpointUpdate, tier: Tier, out: u32, heard: Moment) -> Self {
        let (signs, gaps, loads, drawn, out_until) = Default::default();
        Self { listed, tier, signs, loads, out, heard, gaps, out_until, outages: 0, drawn }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.listed.standing == EndpointState::Ready
    }
}

impl<H: Host> RoutingEngine<H> {
    pub(super) fn member(&self, cache: EndpointId) -> &Member {
        &self.members[cache.0 as usize]
    }

    pub(super) fn member_mut(&mut self, cache: EndpointId) -> &mut Member {
        &mut self.members[cache.0 as usize]
    }

    pub(super) fn tier(&self, tier: Tier) -> impl Iterator<Item = &Member> {
        self.tiers[tier as usize].iter().map(|no| self.member(*no))
    }

    /// How much those of a tier could do together that are ready or have answered since.
    pub(super) fn size(&self, tier: Tier, since: Moment) -> f64 {
        let counted = |m: &&Member| m.is_ready() || m.heard >= since;
        self.tier(tier).filter(counted).map(|m| f64::from(m.listed.size)).sum::<f64>().max(1e-3)
    }

    /// News of the list of caches.
    pub fn endpoints_changed(&mut self, form: ListUpdateKind, lines: &[EndpointUpdate]) {
        if form == ListUpdateKind::Failed {
            let pause = Span::secs(self.chance.random_range(0.5..1.5));
            self.alarm(self.now + pause, RequestSlot(u32::MAX));
        }
        if form == ListUpdateKind::Full {
            // What the list does not name is gone; what it names is set below.
            self.members.iter_mut().for_each(|member| member.listed.standing = EndpointState::Removed);
        }
        for line in lines {
            let topology = &self.settings.topology;
            let tier = match Some(line.kind) {
                kind if kind == topology.parent_kind => Tier::Parent,
                kind if kind == topology.origin_kind => Tier::Origin,
                _ if u16::from(line.location) == topology.location => Tier::Cache,
                _ => Tier::Elsewhere,
            };
            let known = self.members.get(line.cache.0 as usize);
            let fresh = Member::new(*line, tier, known.map_or(0, |member| member.out), self.now);
            let EndpointUpdate { cache, stable, started, standing, .. } = *line;
            match known.map(|known| (known.listed.started, known.listed.stable, known.tier)) {
                None => self.members.push(fresh),
                // Gone; its size and place still tell how the load was shared.
                Some(_) if standing == EndpointState::Removed => {
                    self.member_mut(cache).listed.standing = standing
                }
                // The same life goes on: what was learned of its health stays.
                Some(same) if same == (started, stable, tier) => self.member_mut(cache).listed = *line,
                Some(_) => *self.member_mut(cache) = fresh,
            }
        }
        self.tiers.iter_mut().for_each(Vec::clear);
        self.members.iter().for_each(|member| self.tiers[member.tier as usize].push(member.listed.cache));
    }

    /// Members of one tier in the order of the weighted rendezvous hash, best first.
    pub(super) fn order(&self, hash: u64, tier: Tier) -> Vec<EndpointId> {
        let ready = self.tier(tier).filter(|m| m.is_ready());
        let score = |m: &Member| -unit(mix(m.listed.stable, hash)).ln() / f64::from(m.listed.size.max(1e-3));
        let mut scored: Vec<_> = ready.map(|m| (score(m), m.listed.cache)).collect();
        scored.sort_by(|a, b| a.partial_cmp(b).expect("hashes are numbers"));
        scored.into_iter().map(|scored| scored.1).collect()
    }
}
