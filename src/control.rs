//! All decisions of the router: where a request goes, where its fill comes from, when it is given up.
//!
//! A caller builds one [`RoutingEngine`] with a [`Host`], the facts of its deployment, a seed and the time. When
//! something happens it sets the [`clock`](RoutingEngine::clock) and calls the method named for it, like
//! [`request`](RoutingEngine::request). The control acts by calling the host: trait and types are in [`crate::host`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::host::{
    AttemptStatus, Authorization, EndpointId, EndpointState, EndpointUpdate, FillDirectives, Host,
    ListUpdateKind, Outcome, OutcomeDetail, QuotaCharge, RequestMeta, RequestSlot,
};
use crate::settings::{ClassSettings, Idempotency, Ramp, RetryScope, Settings};
use crate::time::{Moment, Span};

/// The last few of something measured.
#[derive(Default)]
struct Samples<T, const SIZE: usize>(VecDeque<T>);

impl<T: Copy, const SIZE: usize> Samples<T, SIZE> {
    fn add(&mut self, sample: T) {
        if self.0.len() == SIZE {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    fn quantile<K: Copy + PartialOrd>(&self, part: f64, key: impl Fn(&T) -> K) -> Option<K> {
        let mut sorted: Vec<K> = self.0.iter().map(key).collect();
        sorted.sort_by(|a, b| a.partial_cmp(b).expect("samples are numbers"));
        sorted.get((part * sorted.len() as f64) as usize).copied()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Tier {
    Cache, // of the own location
    Parent,
    Origin,
    Elsewhere,
}

/// A hit as a sign of how full a cache is, or a fill as one of how full the way to it is.
#[derive(Clone, Copy, Default)]
struct Load {
    at: Moment,
    /// How many more like it were in hand here at the attempt, with this one.
    held: f64,
    work: f64,
    goal: f64,
    took: Span,
}

/// An error of which nothing is told: of the cache, or of what was asked.
const ERROR: Outcome = Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown);

type FillCharge = (Moment, f64, Option<(u64, u16)>);

/// A cache, a parent or the origin, as this router knows it.
struct Member {
    listed: EndpointUpdate,
    tier: Tier,
    /// How its last attempts ended: whether well.
    signs: Samples<bool, 16>,
    loads: Samples<Load, 40>,
    out: u32,
    /// When it last answered, or last got a request with none in hand.
    heard: Moment,
    gaps: Samples<Span, 16>,
    /// Set while it is left out for what it did; a few trial requests go to it after that moment.
    out_until: Option<Moment>,
    outages: i32,
    /// Work wanted of it while it was cold, by time; with request and attempt where it was sent.
    drawn: VecDeque<FillCharge>,
}

impl Member {
    fn new(listed: EndpointUpdate, tier: Tier, out: u32, heard: Moment) -> Self {
        let (signs, gaps, loads, drawn, out_until) = Default::default();
        Self { listed, tier, signs, loads, out, heard, gaps, out_until, outages: 0, drawn }
    }

    fn is_ready(&self) -> bool {
        self.listed.standing == EndpointState::Ready
    }
}

/// Whether a attempt fills a miss: as it comes, not, only from what its source holds, or surely after these.
#[derive(Clone, Copy, PartialEq)]
enum Filling {
    AsItComes,
    Not,
    IfHeld,
    Surely,
}

/// One attempt made for a request.
#[derive(Clone, Copy)]
struct Attempt {
    cache: EndpointId,
    source: Option<EndpointId>,
    sent: Moment,
    /// What the cache had in hand from here then, this one counted.
    load: f64,
    filling: Filling,
    /// Fills in hand here then, by estimate: from what a source held, and by the origin.
    fills: [f64; 2],
    cancelled: bool,
    end: Option<Outcome>,
}

impl Attempt {
    fn fills_misses(&self) -> bool {
        matches!(self.filling, Filling::AsItComes | Filling::Surely)
    }
}

/// A request in hand.
struct Held {
    settings: Arc<Settings>,
    serial: u64,
    /// Its lot where something is let through in part.
    lot: u64,
    asked: RequestMeta,
    end: Moment,
    attempts: Vec<Attempt>,
    /// Has its final answer, or its stream: nothing is sent for it any more.
    finished: bool,
}

impl Held {
    /// When, and where, it first may have run; a attempt that is out may.
    fn first_ran(&self) -> Option<(Moment, EndpointId)> {
        use AttemptStatus::{Miss, Overloaded, Superseded, Unreachable};
        let void = |d: &Attempt| {
            matches!(d.end, Some(Outcome { status: Overloaded | Unreachable | Superseded | Miss, .. }))
        };
        self.asked.first_ran.or_else(|| self.attempts.iter().find(|d| !void(d)).map(|d| (d.sent, d.cache)))
    }

    fn open(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, d)| d.end.is_none())
    }
    fn errors(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|d| d.end == Some(ERROR))
    }

    /// Whether it was sent to that cache in vain, and not by fault of a source.
    fn failed_in(&self, cache: EndpointId) -> bool {
        let by_source = |d: &Attempt| d.source.is_some_and(|source| self.failed_at(source));
        self.attempts.iter().any(|d| d.cache == cache && d.fills_misses() && !by_source(d))
    }

    /// Whether a fill of this request failed at that source.
    fn failed_at(&self, source: EndpointId) -> bool {
        use OutcomeDetail::{OriginFailed, SourceMiss, SourceOverloaded, SourceUnreachable};
        let blamed = |note| matches!(note, SourceOverloaded | SourceUnreachable | SourceMiss | OriginFailed);
        self.attempts.iter().any(|d| d.source == Some(source) && d.end.is_some_and(|end| blamed(end.detail)))
    }
}

/// The decisions of one router.
pub struct RoutingEngine<H: Host> {
    host: H,
    settings: Arc<Settings>,
    now: Moment,
    /// How long samples of lateness count, ever less: the longest that a client waits, and again.
    memory: Span,
    chance: Pcg64Mcg,
    /// By request class, hits of caches that had little else in hand: what sending takes by itself.
    easy: Vec<Samples<Span, 64>>,
    members: Vec<Member>,
    /// Which of them are of each tier.
    tiers: [Vec<EndpointId>; 4],
    requests: Vec<Option<Held>>,
    serial: u64,
    purges: HashMap<(bool, u64), Moment>,
    /// When purges were last forgotten.
    swept: Moment,
    /// When, for which request's serial and number; serial 0 asks for the list again.
    alarms: BinaryHeap<Reverse<(Moment, u64, RequestSlot)>>,
    next_wake: Option<Moment>,
    /// When warm caches of the location served which request class, and when warm parents gave a fill.
    served: Samples<(Moment, u16), 256>,
    fills: Samples<(Moment, u16), 128>,
    /// First tries that came in.
    asked: Samples<(Moment, u16), 128>,
    sends: Samples<bool, 64>,
    /// The last hits of any cache of the location.
    hits: Samples<Load, 40>,
    /// The last fills from what a source held, and by way of the origin.
    fill_loads: [Samples<Load, 40>; 2],
    /// Answers of what fills as it comes: by hit (0), source (1) or origin (2), and their time.
    filled: Samples<(usize, Span), 64>,
    /// How many attempts are out, by their filling.
    filling: [f64; 4],
}

/// Mixes stable ids into an even 64 bits.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29);
    for _ in 0..2 {
        x = (x ^ (x >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    }
    x ^ (x >> 32)
}

/// A hash as a number above 0 and below 1.
fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

impl<H: Host> RoutingEngine<H> {
    /// An engine that knows nothing but its settings.
    pub fn start(host: H, settings: Settings, seed: u64, now: Moment) -> Self {
        let mut control = Self {
            host,
            settings: Arc::new(Settings::default()),
            now,
            memory: Span::ZERO,
            chance: Pcg64Mcg::seed_from_u64(seed),
            easy: Vec::new(),
            members: Vec::new(),
            tiers: Default::default(),
            requests: Vec::new(),
            serial: 0,
            purges: HashMap::new(),
            swept: now,
            alarms: BinaryHeap::new(),
            next_wake: None,
            served: Default::default(),
            fills: Default::default(),
            asked: Default::default(),
            sends: Default::default(),
            hits: Default::default(),
            fill_loads: Default::default(),
            filled: Default::default(),
            filling: [0.0; 4],
        };
        control.apply_settings(settings);
        if control.settings.topology.discovery_on_request {
            control.host.watch_endpoints();
        }
        control
    }

    /// Decides new requests by these settings from now on.
    pub fn apply_settings(&mut self, settings: Settings) {
        self.memory = settings.longest_deadline() * 2.0;
        self.easy.resize_with(settings.classes.len(), Default::default);
        self.settings = Arc::new(settings);
    }

    /// Does so by the policy under which that request was taken.
    fn as_taken(&mut self, no: RequestSlot, what: impl FnOnce(&mut Self)) {
        let newest = Arc::clone(&self.settings);
        let pinned = self.held(no).filter(|_| !self.settings.attempts.settings_unpinned);
        self.settings = Arc::clone(pinned.map_or(&newest, |held| &held.settings));
        what(self);
        self.settings = newest;
    }

    fn class(&self, class: u16) -> &ClassSettings {
        &self.settings.classes[usize::from(class)]
    }

    /// What the control acts through.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }
    /// The time of all that is called next.
    pub fn set_time(&mut self, now: Moment) {
        self.now = now;
    }

    /// The time asked for by `set_timer` has passed.
    pub fn timer_fired(&mut self) {
        self.next_wake = None;
        while let Some(&Reverse((_, serial, no))) = self.alarms.peek().filter(|next| next.0.0 <= self.now) {
            self.alarms.pop();
            match self.held(no).is_some_and(|held| held.serial == serial && !held.finished) {
                _ if serial == 0 => self.host.watch_endpoints(),
                true => self.as_taken(no, |control| control.due(no)),
                false => {}
            }
        }
        self.plan_wake();
    }
    fn alarm(&mut self, at: Moment, no: RequestSlot) {
        let serial = self.held(no).map_or(0, |held| held.serial);
        self.alarms.push(Reverse((at, serial, no)));
        self.plan_wake();
    }
    fn plan_wake(&mut self) {
        let Some(&Reverse((due, _, _))) = self.alarms.peek() else { return };
        if self.next_wake.is_none_or(|planned| due < planned) {
            self.next_wake = Some(due);
            self.host.set_timer(due.since(self.now));
        }
    }

    fn held(&self, no: RequestSlot) -> Option<&Held> {
        self.requests.get(no.0 as usize)?.as_ref()
    }
    fn held_mut(&mut self, no: RequestSlot) -> Option<&mut Held> {
        self.requests.get_mut(no.0 as usize)?.as_mut()
    }
    fn member(&self, cache: EndpointId) -> &Member {
        &self.members[cache.0 as usize]
    }
    fn member_mut(&mut self, cache: EndpointId) -> &mut Member {
        &mut self.members[cache.0 as usize]
    }
    fn tier(&self, tier: Tier) -> impl Iterator<Item = &Member> {
        self.tiers[tier as usize].iter().map(|no| self.member(*no))
    }

    /// How much those of a tier could do together that are ready or have answered since.
    fn size(&self, tier: Tier, since: Moment) -> f64 {
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

    /// An object, or else a whole group, was purged so long ago.
    pub fn purged(&mut self, object: Option<u64>, group: u32, ago: Span) {
        let key = object.map_or((false, u64::from(group)), |object| (true, object));
        let at = self.now - ago;
        self.purges.entry(key).and_modify(|newest| *newest = at.max(*newest)).or_insert(at);
        // Memory stays bounded: once no older copy can be left anywhere, a purge is forgotten.
        let (now, gone) = (self.now, self.settings.purges.copies_gone_after());
        if now.since(self.swept) > gone {
            self.purges.retain(|_, at| now.since(*at) <= gone);
            self.swept = now;
        }
    }

    /// A request was taken; its client waits for so long.
    pub fn request_received(&mut self, no: RequestSlot, asked: RequestMeta, left: Span) {
        if usize::from(asked.class) >= self.easy.len() {
            return self.host.fail(no);
        }
        self.serial += 1;
        // The answer must be out before the client leaves: a few milliseconds are kept for it.
        let end = self.now + (left - Span::millis(6));
        let (serial, lot, attempts) = (self.serial, self.chance.random(), Vec::new());
        let settings = Arc::clone(&self.settings);
        let held = Held { settings, serial, lot, asked, end, attempts, finished: false };
        self.requests.resize_with(self.requests.len().max(no.0 as usize + 1), || None);
        self.requests[no.0 as usize] = Some(held);
        if !asked.client_retry && asked.authorization == Authorization::Granted {
            self.asked.add((self.now, asked.class));
        }
        self.alarm(end, no);
        // Whose link is refused never reaches a cache; who came early is told when it holds.
        match asked.authorization {
            Authorization::Granted => return self.route(no),
            Authorization::NotYetValid(wait) => {
                let rest = self.retry_after().zip(self.settings.rejection.max_retry_after());
                let rest = rest.map(|(_, longest)| wait.min(longest));
                self.host.reject(no, rest);
            }
            Authorization::Expired | Authorization::Denied => self.host.fail(no),
        }
        self.request_abandoned(no);
    }

    /// A streamed answer began: the attempt belongs to the client now.
    pub fn streaming_started(&mut self, no: RequestSlot) {
        self.held_mut(no).into_iter().for_each(|held| held.finished = true);
    }

    /// What a request will cost in sending time: by its size where that is told, else by its request class's hits.
    fn work(&self, asked: &RequestMeta) -> f64 {
        let told = asked.size_kb.map(|size_kb| f64::from(size_kb) / self.settings.topology.client_kb_per_s);
        told.filter(|work| work.is_finite()).unwrap_or_else(|| self.mean_work(asked.class))
    }

    /// The mean sending time of an request class, as its easy hits show it; before there are any, its goal, and no
    /// more than that, as a day that begins crowded has none. Could harm where goals are short.
    fn mean_work(&self, class: u16) -> f64 {
        let (easy, goal) = (&self.easy[class as usize].0, self.class(class).latency_objective.as_secs());
        let mean = easy.iter().map(|took| took.as_secs()).sum::<f64>() / easy.len() as f64;
        if easy.len() < 4 { goal } else { mean.min(goal) }
    }

    /// What the last samples say together, the less the older: how much was in hand, how late answers were
    /// against their own goals, leaning on what is `usual` where there are few, and what goal work had.
    fn strain(&self, loads: &Samples<Load, 40>, last: usize, usual: f64) -> [f64; 3] {
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
    fn crowd(&self, [held, late, room]: [f64; 3], request: &Held, hand: f64, [calm, least]: [f64; 2]) -> f64 {
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
    fn goal(&self, class: u16, work: f64) -> f64 {
        self.class(class).objective_for(work)
    }

    /// The fills in hand over those that still come in time: from what a source holds (0), by the origin (1).
    fn fill_crowd(&self, request: &Held, far: usize) -> f64 {
        // None is to be had of the fleet's budget: as where the origin is full.
        let least = f64::from(far == 1 && !self.host.can_afford_fill(request.asked.class));
        let strain = self.strain(&self.fill_loads[far], 40, 0.3);
        self.crowd(strain, request, self.fills_in_hand(far), [[0.45, 6.0], [0.6, 4.0]][far]).max(least)
    }

    /// Fills in hand by estimate: of what fills as it comes, the part of the time that went to fills.
    fn fills_in_hand(&self, far: usize) -> f64 {
        let mut took = [0.001, 0.0, 0.0];
        self.filled.0.iter().for_each(|filled| took[filled.0] += filled.1.as_secs());
        let [as_it_comes, _, if_held, surely] = self.filling;
        surely + [if_held, 0.0][far] + as_it_comes * took[1 + far] / took.iter().sum::<f64>()
    }

    /// Members of one tier in the order of the weighted rendezvous hash, best first.
    fn order(&self, hash: u64, tier: Tier) -> Vec<EndpointId> {
        let ready = self.tier(tier).filter(|m| m.is_ready());
        let score = |m: &Member| -unit(mix(m.listed.stable, hash)).ln() / f64::from(m.listed.size.max(1e-3));
        let mut scored: Vec<_> = ready.map(|m| (score(m), m.listed.cache)).collect();
        scored.sort_by(|a, b| a.partial_cmp(b).expect("hashes are numbers"));
        scored.into_iter().map(|scored| scored.1).collect()
    }

    fn ramp(&self, tier: Tier) -> &Ramp {
        match tier {
            Tier::Parent => &self.settings.slow_start.parents,
            _ => &self.settings.slow_start.caches,
        }
    }

    /// The part of its capacity that a member surely has by now: 1 once it is warm.
    fn warmth(&self, member: &Member) -> f64 {
        let ramp = self.ramp(member.tier);
        let Some(started) = member.listed.started.filter(|_| member.tier != Tier::Origin) else { return 1.0 };
        let floor = ramp.initial_share();
        let gained =
            self.now.since(started).as_secs() / ramp.duration.unwrap_or_default().as_secs().max(0.001);
        (floor + (1.0 - floor) * gained).min(1.0)
    }

    /// The work per second that these samples stand for, over the time that they span.
    fn pace<const SIZE: usize>(&self, samples: &Samples<(Moment, u16), SIZE>) -> f64 {
        let ends = samples.0.front().zip(samples.0.back());
        let Some((first, last)) = ends.filter(|_| samples.0.len() >= 12) else { return 0.0 };
        let work: f64 = samples.0.iter().map(|sample| self.mean_work(sample.1)).sum();
        work / last.0.since(first.0).as_secs().max(0.5)
    }
    fn is_warm(&self, no: EndpointId) -> bool {
        self.warmth(self.member(no)) >= 1.0
    }

    /// Rule 4: whether a cold member can take this work and not fall over. The budget of a sliding window is
    /// what it surely has, times the multiple that it bears, times the window. Its capacity is its size over
    /// the routers that reach it where sizes are told, else put low: what warm members lately did for this
    /// router, over all that are ready or answered within two warm-ups, as one of a lost branch may be listed
    /// first. First tries count in part, for a router just started; repeats swell after a loss and do not.
    /// Where hundreds share one, what is wanted passes by lot, one a window at most: in all half the budget,
    /// whatever each has of the traffic. Could harm where chance has many send at once.
    fn bears(&self, member: &Member, work: f64, lot: u64) -> bool {
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

    /// The part of its objects that a slow parent keeps, a tenth at least to see it recover: less as fills
    /// took longer than the best one's, so not where all are slow. Could harm where the best can't do it all.
    fn fitness(&self, member: &Member) -> f64 {
        if member.tier != Tier::Parent {
            return 1.0;
        }
        let usual = self.strain(&self.fill_loads[0], 40, 0.3)[1];
        let pressure = |m: &Member| self.strain(&m.loads, 12, usual)[1];
        let own = pressure(member);
        if own <= 0.45 {
            return 1.0;
        }
        let ready = self.tier(member.tier).filter(|m| m.is_ready());
        let best = ready.map(pressure).fold(own, f64::min);
        if own > 2.0 * best { (best / own).max(0.1) } else { 1.0 }
    }

    /// Left out, and not yet due for a trial request.
    fn ill(&self, member: &Member) -> bool {
        member.out_until.is_some_and(|until| until > self.now || member.out > 0)
    }
    fn usual_lateness(&self) -> f64 {
        self.strain(&self.hits, 40, 0.3)[1]
    }

    /// Whether a request would come late from a cache with that much in hand, where hits are `usual` so late.
    fn too_late(&self, member: &Member, request: &Held, usual: f64) -> bool {
        let strain = self.strain(&member.loads, 40, usual);
        self.crowd(strain, request, f64::from(member.out), [0.45, 2.0]) >= 1.0
    }

    /// The member of a tier that suits a request best, and how little: 0 is an ordinary one, and among equals
    /// the hash order decides; then the better ones that rule 4 spares.
    fn pick(&self, held: &Held, tier: Tier, hash: u64) -> (Option<(u32, EndpointId)>, Vec<EndpointId>) {
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

    /// Counts what is wanted of a member while it is cold, and for which request and attempt it was sent.
    fn draw(&mut self, no: EndpointId, class: u16, sent: Option<(u64, u16)>) {
        let (now, work, cold) = (self.now, self.mean_work(class), !self.is_warm(no));
        let kept = self.settings.slow_start.window() * 4.0;
        let drawn = &mut self.member_mut(no).drawn;
        drawn.retain(|drawn| now.since(drawn.0) <= kept);
        drawn.extend(Some((now, work, sent)).filter(|_| cold));
    }

    /// Picks the cache and the source of a request and attempts it, or gives it up.
    fn route(&mut self, no: RequestSlot) {
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

    /// The one place that every send passes; here the rules are kept.
    fn send(&mut self, no: RequestSlot, cache: EndpointId, source: Option<EndpointId>, filling: Filling) {
        // Rule 1: nothing after the final answer, and time must be left for one.
        let Some(held) = self.held(no).filter(|held| !held.finished) else { return };
        let (class, left) = (held.asked.class, held.end.since(self.now));
        // Rule 2: what may have run goes again only where a repeat does no harm.
        let settings = self.class(class);
        let idempotent = settings.idempotency == Idempotency::Idempotent;
        let place = |cache: EndpointId| (self.member(cache).listed.location, self.member(cache).listed.cell);
        let harmless = match (settings.idempotency, held.first_ran()) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::WithKey, Some((since, first))) => {
                let same = match settings.retry_scope {
                    RetryScope::Location => place(first).0 == place(cache).0,
                    RetryScope::Cell => place(first) == place(cache),
                    RetryScope::Everywhere => true,
                    RetryScope::Nowhere => false,
                };
                same && self.now.since(since) + Span::millis(20) < settings.retry_window.unwrap_or_default()
            }
            _ => false,
        };
        let open = held.open().count();
        let second = open == 1 && self.settings.attempts.hedging && idempotent;
        // Rule 3: a cache that drains or is gone gets nothing, be it as cache or as source.
        let both_ready = [Some(cache), source].into_iter().flatten().all(|no| self.member(no).is_ready());
        // Rule 4: a cold cache or source is not pushed over.
        let work = self.mean_work(held.asked.class);
        let bears = |no: EndpointId| self.bears(self.member(no), work, held.lot);
        let borne = bears(cache) && source.is_none_or(bears);
        let more = held.attempts.len() < self.settings.attempts.max_attempts();
        if !(left >= Span::millis(10) && more && harmless && (open == 0 || second) && both_ready && borne) {
            return self.give_up(no);
        }
        // Rule 5: the oldest copy allowed is younger than the newest purge that this router knows of.
        let purge = [(true, held.asked.object), (false, u64::from(held.asked.group))];
        let purged = purge.iter().filter_map(|key| self.purges.get(key)).max();
        let since_purge = purged.map(|at| self.now.since(*at).max(Span::micros(1)));
        let retry = held.attempts.iter().any(Attempt::fills_misses);
        // A copy past its fresh time earns less: for when a attempt has failed or no more fills are let in.
        let fresh = self.class(class).max_age.unwrap_or_default();
        let scarce = [0, 1].into_iter().any(|far| self.fill_crowd(held, far) >= 1.0);
        let older = if retry || scarce {
            self.class(class).stale_while_failing.unwrap_or_default()
        } else {
            Span::ZERO
        };
        let cap = Some(fresh + older).filter(|_| fresh > Span::ZERO && (retry || scarce || purged.is_some()));
        let max_age = cap.into_iter().chain(since_purge).min();
        let keep = !self.class(class).runs_at_origin;
        let spare = filling == Filling::AsItComes && source.is_some_and(|s| self.is_warm(s));
        let refresh = keep && spare && fresh > Span::ZERO;
        let wait = self.patience(held, left);
        let check = self.hush(cache);
        let sent = (held.serial, held.attempts.len() as u16);
        let further =
            held.attempts.iter().any(|d| !matches!(d.end, Some(Outcome { status: AttemptStatus::Miss, .. })));
        let fills = keep && source.is_some() && matches!(filling, Filling::AsItComes | Filling::Surely);
        let (look, only_if_cached) = (filling == Filling::Not, filling == Filling::IfHeld);
        let stable = self.member(cache).listed.stable;
        if !self.host.charge_quota(no, QuotaCharge { cache: stable, class, look, fills, further }) {
            return self.give_up(no);
        }
        let directives = |source| FillDirectives {
            source,
            max_age,
            join_fill: keep,
            only_if_cached,
            refresh,
            retention_rank: u8::from(keep),
        };
        match source {
            Some(source) => self.host.send_with_fill(no, cache, wait, directives(source)),
            None => self.host.send_cache_only(no, cache, wait),
        }
        let now = self.now;
        self.draw(cache, class, Some(sent));
        source.filter(|s| *s != cache).into_iter().for_each(|s| self.draw(s, class, Some(sent)));
        let member = self.member_mut(cache);
        if member.out == 0 {
            member.heard = now;
        }
        member.out += 1;
        let load = f64::from(member.out);
        self.filling[filling as usize] += 1.0;
        let fills = [0, 1].map(|far| self.fills_in_hand(far));
        self.sends.add(retry);
        let (sent, cancelled, end) = (now, false, None);
        let sent = Attempt { cache, source, sent, load, filling, fills, cancelled, end };
        self.held_mut(no).into_iter().for_each(|held| held.attempts.push(sent));
        self.alarm(now + check, no);
    }

    /// How long one attempt may take: well beyond what its request class's answers took lately.
    fn patience(&self, held: &Held, left: Span) -> Span {
        let usual = self.filled.quantile(0.95, |filled| filled.1).unwrap_or(left);
        let goal = Span::secs(self.goal(held.asked.class, self.work(&held.asked)));
        (usual * 3.0).max(self.class(held.asked.class).deadline * 0.75).max(goal * 1.5).min(left)
    }

    /// How long a cache with requests in hand may say nothing before it counts as hung.
    fn hush(&self, cache: EndpointId) -> Span {
        let longest = self.member(cache).gaps.0.iter().max();
        (longest.copied().unwrap_or_default() * 2.0).max(Span::millis(400)).min(Span::millis(1500))
    }

    /// An alarm of a request rang: its time is up, a retry is due, or its cache may be hung.
    fn due(&mut self, no: RequestSlot) {
        let Some(held) = self.held(no) else { return };
        if self.now >= held.end {
            return self.give_up(no);
        }
        if held.open().count() == 0 {
            return self.route(no);
        }
        let Some((nth, _)) = held.open().find(|(_, d)| !d.cancelled) else { return };
        let cache = held.attempts[nth].cache;
        let hush = self.hush(cache);
        let member = self.member(cache);
        let silent = self.now.since(member.heard);
        let over = self.now.since(held.attempts[nth].sent) >= hush;
        // A cache that takes requests and answers none: it is left before its requests' time-outs. Guards
        // against hangs, long pauses and lost answers; harms where a few huge objects are all it holds.
        let alternative = self.order(0, Tier::Cache).len() > 1;
        let repeatable = self.class(held.asked.class).idempotency == Idempotency::Idempotent;
        let hung = over && silent >= hush && member.out >= 3 && alternative && repeatable;
        if hung && self.settings.attempts.may_cancel() {
            self.leave_out(cache);
            self.held_mut(no).into_iter().for_each(|held| held.attempts[nth].cancelled = true);
            return self.host.cancel(no, nth as u16);
        }
        self.alarm(self.now + hush * 0.5, no);
    }

    /// Leaves a member out for a while that grows with each time, unless the rest would drown.
    fn leave_out(&mut self, no: EndpointId) {
        let now = self.now;
        let member = self.member(no);
        let all = self.size(member.tier, now + Span::millis(1));
        let ready = self.tier(member.tier).filter(|m| m.is_ready());
        let left_out = ready.filter(|m| m.out_until.is_some() || m.listed.cache == no);
        let out: f64 = left_out.map(|m| f64::from(m.listed.size)).sum();
        if out > all * 0.6 || member.out_until.is_some_and(|until| until > now) {
            return;
        }
        let member = self.member_mut(no);
        let pause = Span::millis(1000) * 1.5f64.powi(member.outages.min(5));
        member.outages += 1;
        member.out_until = Some(now + pause);
        member.signs.0.clear();
    }

    /// Takes in one sign of a member's health and judges it against its peers.
    fn sign(&mut self, no: EndpointId, good: bool) {
        let member = self.member_mut(no);
        member.signs.add(good);
        let on_trial = member.out_until.is_some();
        let well = member.signs.0.iter().filter(|good| **good).count();
        let bad = member.signs.0.len() - well;
        let member = self.member(no);
        if member.tier == Tier::Origin {
            return;
        }
        let fit = |m: &&Member| m.is_ready() && m.out_until.is_none();
        let peers = self.tier(member.tier).filter(fit).filter(|m| m.listed.cache != no);
        let theirs: Vec<bool> = peers.flat_map(|m| m.signs.0.iter().copied()).collect();
        let peer_bad = theirs.iter().filter(|good| !**good).count() as f64 / theirs.len().max(1) as f64;
        let share = bad as f64 / member.signs.0.len() as f64;
        let failing = bad >= 3 && share > 0.3 + 1.5 * peer_bad;
        if failing || (on_trial && !good) {
            self.leave_out(no);
        } else if on_trial && well >= 3 {
            let member = self.member_mut(no);
            member.out_until = None;
            member.outages -= 1;
        }
    }

    /// A attempt ended; `last` says that the request is finished.
    pub fn attempt_ended(&mut self, no: RequestSlot, nth: u16, end: Outcome, took: Span, last: bool) {
        self.as_taken(no, |control| control.ended(no, nth, end, took, last));
    }

    fn ended(&mut self, no: RequestSlot, nth: u16, end: Outcome, took: Span, last: bool) {
        let now = self.now;
        let Outcome { status: verdict, detail: note } = end;
        let Some(held) = self.held_mut(no) else { return };
        let (serial, asked) = (held.serial, held.asked);
        let open = held.attempts.get_mut(nth as usize).filter(|d| d.end.is_none());
        let Some(attempt) = open else { return };
        attempt.end = Some(end);
        let Attempt { cache, source, cancelled, load, filling, fills, .. } = *attempt;
        let member = self.member_mut(cache);
        member.out = member.out.saturating_sub(1);
        if verdict != AttemptStatus::Cancelled && verdict != AttemptStatus::TimedOut {
            member.gaps.add(now.since(member.heard));
            member.heard = now;
        }
        self.filling[filling as usize] -= 1.0;
        let work = self.work(&asked);
        let goal = self.goal(asked.class, work);
        // Where all is told, a late source is told of: a bare time-out may be just a lost answer.
        let told = self.settings.topology.fill_details_reported;
        let late = verdict == AttemptStatus::TimedOut && !cancelled && !told
            || note == OutcomeDetail::SourceUnreachable;
        let way = match note {
            OutcomeDetail::FilledFromSource => 1,
            OutcomeDetail::FilledFromOrigin | OutcomeDetail::OriginFailed => 2,
            _ if late => 1 + usize::from(told),
            _ => 0,
        };
        if verdict == AttemptStatus::Served && filling == Filling::AsItComes {
            self.filled.add((way, took));
        }
        if let Some(source) = source.filter(|s| *s != cache && (way == 1 || late)) {
            let source = self.member_mut(source);
            source.loads.add(Load { at: now, held: 1.0, work, goal, took });
            source.heard = if late { source.heard } else { now };
        }
        if way > 0 {
            self.fill_loads[way - 1].add(Load { at: now, held: fills[way - 1], work, goal, took });
        }
        // A hit drew nothing from its source's budget.
        let hit = matches!(note, OutcomeDetail::Hit | OutcomeDetail::JoinedFill | OutcomeDetail::StaleHit);
        if let Some(source) = source.filter(|s| hit && *s != cache) {
            let drawn = self.member_mut(source).drawn.iter_mut();
            drawn.filter(|drawn| drawn.2 == Some((serial, nth))).for_each(|drawn| drawn.2 = None);
        }
        if matches!(note, OutcomeDetail::Hit | OutcomeDetail::StaleHit) {
            let load = Load { at: now, held: load, work, goal, took };
            self.member_mut(cache).loads.add(load);
            self.hits.add(load);
            let calm = self.strain(&self.hits, 40, 0.3)[1] < 0.6;
            // What slows all alike is no sending time; could harm where all objects grow at once.
            if load.held <= 3.0 && calm && self.member(cache).tier == Tier::Cache {
                self.easy[asked.class as usize].add(took);
            }
        }
        // What a bad client asks is an error at every cache, and says nothing of them: errors count once
        // another attempt of the request is done. Could harm where none ever is, as then none is left out.
        let errors: Vec<Attempt> = self.held(no).into_iter().flat_map(Held::errors).copied().collect();
        for failed in errors.into_iter().filter(|_| verdict == AttemptStatus::Served) {
            self.learn(failed.cache, failed.source, &asked, ERROR);
        }
        if !cancelled && end != ERROR {
            self.learn(cache, source, &asked, end);
        }
        if last || self.held(no).is_none_or(|held| held.finished) {
            return self.request_abandoned(no);
        }
        if matches!(filling, Filling::Not | Filling::IfHeld) && verdict == AttemptStatus::Miss {
            return self.route(no);
        }
        self.retry(no, verdict);
    }

    /// Draws from the end of a attempt what it says of cache, source and request class.
    fn learn(&mut self, cache: EndpointId, source: Option<EndpointId>, asked: &RequestMeta, end: Outcome) {
        let Outcome { status: verdict, detail: note } = end;
        let source = source.filter(|s| *s != cache);
        match verdict {
            AttemptStatus::Served => {
                let giver = source.filter(|_| {
                    matches!(note, OutcomeDetail::FilledFromSource | OutcomeDetail::FilledFromOrigin)
                });
                if giver.is_some_and(|giver| self.is_warm(giver)) {
                    self.fills.add((self.now, asked.class));
                }
                if self.is_warm(cache) && self.member(cache).tier == Tier::Cache {
                    self.served.add((self.now, asked.class));
                }
                giver.into_iter().chain([cache]).for_each(|no| self.sign(no, true));
            }
            AttemptStatus::Cancelled | AttemptStatus::Superseded | AttemptStatus::Miss => {}
            AttemptStatus::Overloaded if note != OutcomeDetail::SourceUnreachable => {}
            _ => {
                let by_source =
                    matches!(note, OutcomeDetail::SourceOverloaded | OutcomeDetail::SourceUnreachable);
                if !by_source && note != OutcomeDetail::OriginFailed {
                    self.sign(cache, false);
                }
                let unsure = note == OutcomeDetail::Unknown && verdict != AttemptStatus::Unreachable;
                if let Some(source) = source.filter(|_| by_source || unsure) {
                    self.sign(source, false);
                    // A parent that is not there at all may be started again before the list tells, and is
                    // taken for cold since: else all flood it once it answers, and it falls over. Guards
                    // what restarts or is lost together; harms where connects fail for another reason.
                    if verdict == AttemptStatus::Overloaded {
                        self.member_mut(source).listed.started = Some(self.now);
                    }
                }
            }
        }
    }

    /// A attempt failed: plans the next one, or gives the request up.
    fn retry(&mut self, no: RequestSlot, verdict: AttemptStatus) {
        let now = self.now;
        let retries = self.sends.0.iter().filter(|retry| **retry).count();
        let shaken = self.chance.random_range(0.0..1.0);
        let Some(held) = self.held(no) else { return };
        let full = |d: &&Attempt| {
            matches!(
                d.end,
                Some(Outcome {
                    status: AttemptStatus::Overloaded,
                    detail: OutcomeDetail::Unknown | OutcomeDetail::NoFillSlot
                })
            )
        };
        let vain = held.attempts.iter().filter(full).count() > 1 || held.errors().count() > 3;
        // The waiters of a failed join come back spread out; what was only diverted goes at once.
        let pause = match verdict {
            AttemptStatus::Overloaded | AttemptStatus::Unreachable | AttemptStatus::Cancelled => Span::ZERO,
            _ => Span::millis(20) * (held.attempts.len() as f64 * shaken),
        };
        // When most sends are retries, two caches are full or four fail, more only feed the trouble.
        match now + pause {
            at if vain || retries > 40 || at + Span::millis(10) >= held.end => self.give_up(no),
            at if at == now => self.route(no),
            at => self.alarm(at, no),
        }
    }

    /// When one that is rejected, here or at the door, may come again, where that can be told.
    pub fn retry_after(&mut self) -> Option<Span> {
        let rest = Span::secs(self.chance.random_range(0.05..0.3));
        self.settings.rejection.max_retry_after().map(|longest| rest.min(longest))
    }

    /// Answers a request that will not be done, at once; rule 2 decides how.
    fn give_up(&mut self, no: RequestSlot) {
        let retry_after = self.retry_after();
        let calling_off = self.settings.attempts.may_cancel();
        let Some(held) = self.held(no).filter(|held| !held.finished) else { return };
        let class = held.asked.class;
        let open: Vec<u16> = held.open().filter(|(_, d)| !d.cancelled).map(|(nth, _)| nth as u16).collect();
        let honest = self.class(class).is_freely_retried() || held.first_ran().is_none();
        match honest {
            true => self.host.reject(no, retry_after),
            false => self.host.fail(no),
        }
        for nth in open.into_iter().filter(|_| calling_off) {
            self.host.cancel(no, nth);
        }
        self.request_abandoned(no);
    }

    /// Nobody waits for this request any more: it has its answer, or its client left.
    pub fn request_abandoned(&mut self, no: RequestSlot) {
        let Some(held) = self.held_mut(no) else { return };
        held.finished = true;
        if held.open().count() == 0 {
            self.requests[no.0 as usize] = None;
        }
    }
}
