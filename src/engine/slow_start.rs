//! What endpoints can take while they warm up after a start (rule 4).

use super::*;

pub(super) type FillCharge = (Moment, f64, Option<(u64, u16)>);

impl<H: Host> RoutingEngine<H> {
    pub(super) fn ramp(&self, tier: Tier) -> &Ramp {
        match tier {
            Tier::Parent => &self.settings.slow_start.parents,
            _ => &self.settings.slow_start.caches,
        }
    }

    /// The part of its capacity that a member surely has by now: 1 once it is warm.
    pub(super) fn warmth(&self, member: &Member) -> f64 {
        let ramp = self.ramp(member.tier);
        let Some(started) = member.listed.started.filter(|_| member.tier != Tier::Origin) else { return 1.0 };
        let floor = ramp.initial_share();
        let gained =
            self.now.since(started).as_secs() / ramp.duration.unwrap_or_default().as_secs().max(0.001);
        (floor + (1.0 - floor) * gained).min(1.0)
    }

    /// The work per second that these samples stand for, over the time that they span.
    pub(super) fn pace<const SIZE: usize>(&self, samples: &Samples<(Moment, u16), SIZE>) -> f64 {
        let ends = samples.0.front().zip(samples.0.back());
        let Some((first, last)) = ends.filter(|_| samples.0.len() >= 12) else { return 0.0 };
        let work: f64 = samples.0.iter().map(|sample| self.mean_work(sample.1)).sum();
        work / last.0.since(first.0).as_secs().max(0.5)
    }

    pub(super) fn is_warm(&self, no: EndpointId) -> bool {
        self.warmth(self.member(no)) >= 1.0
    }

    /// Rule 4: whether a cold member can take this work and not fall over. The budget of a sliding window is
    /// what it surely has, times the multiple that it bears, times the window. Its capacity is its size over
    /// the routers that reach it where sizes are told, else put low: what warm members lately did for this
    /// router, over all that are ready or answered within two warm-ups, as one of a lost branch may be listed
    /// first. First tries count in part, for a router just started; repeats swell after a loss and do not.
    /// Where hundreds share one, what is wanted passes by lot, one a window at most: in all half the budget,
    /// whatever each has of the traffic. Could harm where chance has many send at once.
    pub(super) fn bears(&self, member: &Member, work: f64, lot: u64) -> bool {
        let warmth = self.warmth(member);
        if warmth >= 1.0 {
            return true;
        }
        let asked = self.pace(&self.asked);
        let topology = &self.settings.topology;
        let (done, least, routers) = match member.tier {
            Tier::Parent => (self.pace(&self.fills), asked * 0.05, topology.router_count()),
            _ => (self.pace(&self.served), asked * 0.5, topology.local_router_count()),
        };
        let size = f64::from(member.listed.size);
        let part = size
            / self.size(
                member.tier,
                self.now - self.settings.slow_start.caches.duration.unwrap_or(Span::millis(15_000)) * 2.0,
            );
        let own = || self.host.slow_start_share(member.listed.stable, member.tier == Tier::Parent);
        let bears = match topology.capacity_known {
            true => own().map_or_else(|| size / routers, |own| size * own),
            false => done.max(least) * part,
        };
        let window = self.settings.slow_start.window();
        let budget = warmth * bears * self.ramp(member.tier).overload_multiple() * window.as_secs() * 0.7;
        let drawn = |past| member.drawn.iter().filter(move |drawn| self.now.since(drawn.0) <= past);
        let spent: f64 = drawn(window).filter(|drawn| drawn.2.is_some()).map(|drawn| drawn.1).sum();
        if budget >= work {
            return spent + work <= budget;
        }
        // What is wanted of it in a window: at first its part of all requests, as those to whom the others are
        // ill send it more than its warm objects; then as it was seen.
        let first = if asked > 0.0 { asked * part } else { 4.0 * work / window.as_secs() };
        let seen = self.now.since(member.listed.started.unwrap_or_default()).min(window * 4.0);
        let wanted = drawn(seen).map(|drawn| drawn.1).sum::<f64>() + work;
        let wanted = wanted / (seen.as_secs() + work / first) * window.as_secs();
        // A rush, which all have at once, shows in one window before it does in four. Half: it costs service.
        let wanted = wanted.max(0.5 * (drawn(window).map(|drawn| drawn.1).sum::<f64>() + work));
        spent == 0.0 && unit(mix(lot, member.listed.stable)) * wanted < budget * 0.7
    }

    /// Counts what is wanted of a member while it is cold, and for which request and attempt it was sent.
    pub(super) fn draw(&mut self, no: EndpointId, class: u16, sent: Option<(u64, u16)>) {
        let (now, work, cold) = (self.now, self.mean_work(class), !self.is_warm(no));
        let kept = self.settings.slow_start.window() * 4.0;
        let drawn = &mut self.member_mut(no).drawn;
        drawn.retain(|drawn| now.since(drawn.0) <= kept);
        drawn.extend(Some((now, work, sent)).filter(|_| cold));
    }
}
