//! Load samples, service time, lateness and congestion.

use super::*;

/// A hit as a sign of how full a cache is, or a fill as one of how full the way to it is.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) at: Moment,
    /// How many more like it were in hand here at the attempt, with this one.
    pub(super) held: f64,
    pub(super) work: f64,
    pub(super) goal: f64,
    pub(super) took: Span,
}

impl<H: Host> RoutingEngine<H> {
    /// What a request will cost in sending time: by its size where that is told, else by its request class's hits.
    pub(super) fn work(&self, asked: &RequestMeta) -> f64 {
        let told = asked.size_kb.map(|size_kb| f64::from(size_kb) / self.settings.topology.client_kb_per_s);
        told.filter(|work| work.is_finite()).unwrap_or_else(|| self.mean_work(asked.class))
    }

    /// The mean sending time of an request class, as its easy hits show it; before there are any, its goal, and no
    /// more than that, as a day that begins crowded has none. Could harm where goals are short.
    pub(super) fn mean_work(&self, class: u16) -> f64 {
        let (easy, goal) = (&self.easy[class as usize].0, self.class(class).latency_objective.as_secs());
        let mean = easy.iter().map(|took| took.as_secs()).sum::<f64>() / easy.len() as f64;
        if easy.len() < 4 { goal } else { mean.min(goal) }
    }

    /// What the last samples say together, the less the older: how much was in hand, how late answers were
    /// against their own goals, leaning on what is `usual` where there are few, and what goal work had.
    pub(super) fn strain(&self, loads: &Samples<Load, 40>, last: usize, usual: f64) -> [f64; 3] {
        let [mut count, mut took, mut work, mut held, mut goal, mut due] = [0.0, 0.0, 1e-6, 1e-6, 1e-6, 1e-6];
        for (load, before) in loads.0.iter().rev().zip(loads.0.iter().rev().skip(1)).take(last) {
            let fresh = (1.0 - self.now.since(load.at).as_secs() / self.memory.as_secs()).max(0.0);
            count += fresh;
            work += fresh * load.work;
            held += fresh * load.held * load.work;
            goal += fresh * load.goal;
            // Each stands for the time since the one before: the few let in after a rush outweigh it.
            let spell = fresh * load.at.since(before.at).as_secs().max(0.001);
            took += spell * load.took.as_secs().min(3.0 * load.goal);
            due += spell * load.goal;
        }
        [held / work, (count * took / due + 2.0 * usual) / (count + 2.0), goal / work]
    }

    /// How full a cache, or the way in for fills, is: at 1 or more a request would come late, as the last show.
    /// Once a link is full, sending slows down in proportion to what is in hand: the number at which it gets
    /// too slow follows from the mean slowness and number. The more routers share it, the more the slowness
    /// alone decides, by lot, so that all together let in what comes in time. Answers overload, slow members,
    /// full links and hot objects. Could harm where lateness does not grow with what is in hand.
    pub(super) fn crowd(
        &self,
        [held, late, room]: [f64; 3],
        request: &Held,
        hand: f64,
        [calm, least]: [f64; 2],
    ) -> f64 {
        if late < calm {
            return 0.0;
        }
        // What asks little work for its goal is let in longer, and what asks much less long.
        let own = self.work(&request.asked).max(0.001);
        let room = (self.goal(request.asked.class, own) / own / room).max(0.5);
        let alone = 1.0 / self.settings.topology.local_router_count();
        let hand = hand + 1.0 - alone;
        let full =
            (hand / held).powf(alone) * late / (0.5 * room) * unit(request.lot).powf(0.5 - 0.5 * alone);
        full.min(hand / (least * (4.0 * alone * alone).min(1.0)))
    }

    /// The time in which an answer of so much work is in time.
    pub(super) fn goal(&self, class: u16, work: f64) -> f64 {
        self.class(class).objective_for(work)
    }

    /// The fills in hand over those that still come in time: from what a source holds (0), by the origin (1).
    pub(super) fn fill_crowd(&self, request: &Held, far: usize) -> f64 {
        // None is to be had of the fleet's budget: as where the origin is full.
        let least = f64::from(far == 1 && !self.host.can_afford_fill(request.asked.class));
        let strain = self.strain(&self.fill_loads[far], 40, 0.3);
        self.crowd(strain, request, self.fills_in_hand(far), [[0.45, 6.0], [0.6, 4.0]][far]).max(least)
    }

    /// Fills in hand by estimate: of what fills as it comes, the part of the time that went to fills.
    pub(super) fn fills_in_hand(&self, far: usize) -> f64 {
        let mut took = [0.001, 0.0, 0.0];
        self.filled.0.iter().for_each(|filled| took[filled.0] += filled.1.as_secs());
        let [as_it_comes, _, if_held, surely] = self.filling;
        surely + [if_held, 0.0][far] + as_it_comes * took[1 + far] / took.iter().sum::<f64>()
    }

    pub(super) fn usual_lateness(&self) -> f64 {
        self.strain(&self.hits, 40, 0.3)[1]
    }

    /// Whether a request would come late from a cache with that much in hand, where hits are `usual` so late.
    pub(super) fn too_late(&self, member: &Member, request: &Held, usual: f64) -> bool {
        let strain = self.strain(&member.loads, 40, usual);
        self.crowd(strain, request, f64::from(member.out), [0.45, 2.0]) >= 1.0
    }
}
