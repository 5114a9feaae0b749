//! The choice of cache, source and fill mode for a request.

use super::*;

impl<H: Host> RoutingEngine<H> {
    /// The member of a tier that suits a request best, and how little: 0 is an ordinary one, and among equals
    /// the hash order decides; then the better ones that rule 4 spares.
    pub(super) fn pick(
        &self,
        held: &Held,
        tier: Tier,
        hash: u64,
    ) -> (Option<(u32, EndpointId)>, Vec<EndpointId>) {
        let work = self.mean_work(held.asked.class);
        let out: u32 = self.tier(tier).map(|m| m.out).sum();
        let fair = 1.5 * f64::from(out) / self.size(tier, self.now + Span::millis(1));
        let usual = self.usual_lateness();
        let misfit = |no: EndpointId| {
            let member = self.member(no);
            // Objects come back to a restarted member one by one, at every router the same ones.
            let away = unit(mix(hash, member.listed.stable.rotate_left(32)))
                >= self.warmth(member) * self.fitness(member);
            let failed = if tier == Tier::Parent { held.failed_at(no) } else { held.failed_in(no) };
            // A hot object can outgrow its cache: requests beyond a fair bound go to the next in its order.
            let crowded = f64::from(member.out) > 4.0 + fair * f64::from(member.listed.size);
            let full = tier == Tier::Cache && (crowded || self.too_late(member, held, usual));
            let ill = u32::from(self.ill(member));
            (ill * 8 + u32::from(failed) * 4 + u32::from(away) * 2 + u32::from(full), no)
        };
        let mut ranked: Vec<_> = self.order(hash, tier).into_iter().map(misfit).collect();
        ranked.sort_by_key(|ranked| ranked.0);
        let first = ranked.iter().position(|ranked| self.bears(self.member(ranked.1), work, held.lot));
        let spared = ranked[..first.unwrap_or(ranked.len())].iter().map(|ranked| ranked.1).collect();
        (first.map(|first| ranked[first]), spared)
    }

    /// Picks the cache and the source of a request and attempts it, or gives it up.
    pub(super) fn route(&mut self, no: RequestSlot) {
        let Some(held) = self.held(no) else { return };
        let asked = held.asked;
        let through = self.class(asked.class).runs_at_origin;
        let direct = self.settings.topology.may_bypass();
        let hash = mix(asked.object, u64::from(asked.part));
        let origin = self.order(hash, Tier::Origin).first().copied();
        let plain = !self.settings.topology.caches_fill;
        if let Some(origin) = origin.filter(|_| through && direct) {
            return self.send(no, origin, None, Filling::AsItComes);
        }
        let missed = held.attempts.last().filter(|d| !d.fills_misses()).map(|d| d.filling);
        // Where every parent is left out or failed this request, the origin is its source: for parents lost
        // together; could harm an origin that made them fail, but that its fills stay limited.
        let (parent, mut spared) = self.pick(held, Tier::Parent, hash);
        let parent = parent.filter(|parent| parent.0 < 4 || origin.is_none());
        let (cache, spared_here) = self.pick(held, Tier::Cache, hash);
        spared.extend(spared_here);
        let source = match parent {
            _ if plain => None,
            Some(parent) if !through => Some(parent.1),
            _ => origin,
        };
        // Where no cache can take it, the parent answers by itself; where one would just be late, a calm
        // parent. Could harm a parent that many locations turn to at once.
        let calm = |no: &EndpointId| self.strain(&self.member(*no).loads, 12, 0.3)[1] < 0.45;
        let straight = source.filter(|_| direct && !through);
        let cache = match cache.map(|cache| cache.1) {
            Some(cache) if !self.too_late(self.member(cache), held, self.usual_lateness()) => Some(cache),
            late => straight.filter(|no| late.is_none() || calm(no)),
        };
        // While fills come late, a request is first sent without one, or with only what the parent holds where
        // just the origin's do: hits and joins are served as ever; what surely misses is filled within the
        // limit or rejected. Guards the link, the parents and the origin, whatever made them late.
        let [near, far] = [0, 1].map(|far| self.fill_crowd(held, far));
        // Where notes do not tell the origin's fills apart, half being quick shows that just those are late.
        let told = self.settings.topology.fill_details_reported;
        let half = self.fill_loads[0].quantile(0.5, |load| load.took.as_secs() / load.goal);
        let just_origin = !told && half.is_some_and(|half| half < 0.45);
        let shared = self.host.can_afford_fill(asked.class);
        let filling = match (cache, missed) {
            _ if plain || through => Filling::AsItComes,
            _ if cache == source && near < 1.0 && shared => Filling::AsItComes,
            (_, Some(_)) if near >= 1.0 => return self.give_up(no),
            (_, Some(Filling::IfHeld)) if far >= 1.0 => return self.give_up(no),
            (_, None) if near > 0.8 && just_origin => Filling::IfHeld,
            (_, None) if near > 0.8 => Filling::Not,
            (_, None | Some(Filling::Not)) if far > 0.8 => Filling::IfHeld,
            (_, None) => Filling::AsItComes,
            _ => Filling::Surely,
        };
        spared.into_iter().for_each(|no| self.draw(no, asked.class, None));
        match cache {
            Some(cache) if filling == Filling::Not => self.send(no, cache, Some(cache), filling),
            Some(cache) => self.send(no, cache, source, filling),
            None => self.give_up(no),
        }
    }
}
