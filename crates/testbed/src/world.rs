//! A simulated fleet: the parts of routers that agree and take leases, without sockets, in virtual time. What is
//! checked is what the routers would do with requests, against the one true time, which none of them knows.
//! A seed replays exactly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::time::{Moment, Span};
use tindoor_consensus::{
    Action, Command, Envelope, Limits, LocalIdentity, Node, NodeConfig, Objection, SafetyChecks,
    StorageWrite, StoredState, UnavailableReason,
};
use tindoor_membership::{Incarnation, Member, MemberList, Timings};
use tindoor_policy::budgets::Budget;
use tindoor_policy::{Policy, Proposal, ProposalOutcome, Transition};
use tindoor_quota::BudgetKey;

/// How a simulated day goes.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub routers: usize,
    /// How long faults go on; the day lasts until what waits has ended after that.
    pub lasts: Span,
    pub faults: Vec<String>,
    pub terms: Timings,
    pub guards: SafetyChecks,
    /// From one proposal to the next.
    pub proposals: Span,
    /// From one request of a router to its next.
    pub requests: Span,
    /// Latency of a message: the least, and what is added by chance.
    pub latency: [Span; 2],
    /// The share of messages that is lost, where some are.
    pub loss: f64,
    /// Fills by the origin each second, where they are divided: one is wanted for each request.
    pub budget: Option<f64>,
    /// Steps and faults are shown as they come, for whoever looks into a day.
    pub shown: bool,
}

/// Of a day with budgets: how many fills may be in hand, by how much of a burst, and how long one is under way.
pub const IN_HAND: f64 = 40.0;
pub const BURST: f64 = 60.0;
const FILL: [u64; 2] = [20_000, 400_000];

fn fills() -> BudgetKey {
    Budget::OriginFills.key(0)
}

fn fills_in_hand() -> BudgetKey {
    Budget::ConcurrentOriginFills.key(0)
}

impl Day {
    pub fn new(seed: u64, routers: usize) -> Self {
        let terms = Timings {
            lease: Span::millis(1500),
            quorum_loss_grace: Span::secs(6.0),
            clock_bound: Span::millis(40),
            heartbeat_interval: Span::millis(200),
            drift_ppm: 200,
        };
        Self {
            seed,
            routers,
            lasts: Span::secs(25.0),
            faults: Vec::new(),
            terms,
            guards: SafetyChecks::default(),
            proposals: Span::secs(2.5),
            requests: Span::millis(20),
            latency: [Span::micros(200), Span::millis(3)],
            loss: 0.1,
            budget: None,
            shown: false,
        }
    }

    fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }

    /// What a fleet of this day begins with.
    fn first(&self) -> Policy {
        let Some(rate) = self.budget else { return Policy::default() };
        let burst = BURST.max(2.0 * (self.routers + 3) as f64);
        let keys = [
            ("budget.routers_most", (self.routers + 3) as f64),
            ("budget.floor_part", 0.05),
            ("budget.origin_fills.per_s", rate),
            ("budget.origin_fills.burst", burst),
            ("budget.origin_fills.in_hand", IN_HAND.max(rate * 0.6).max(self.routers as f64 * 2.0)),
            ("offering.pages.cut_off_ms", 500.0),
        ];
        Policy::default().with(keys.map(|(key, number)| (key.to_string(), number)))
    }
}

/// The faults that a day may have.
pub const FAULTS: &[&str] = &[
    "drop",
    "delay",
    "duplicate",
    "oneway",
    "split",
    "kill",
    "killmost",
    "pause",
    "restart",
    "forget",
    "leader",
    "proposers",
    "clock",
    "badchange",
    "away",
    "sleep",
    "deaf",
    "lower",
    "shift",
];

/// What came of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    pub requests: u64,
    pub rejected: u64,
    pub changes: u64,
    pub took_hold: u64,
    pub refused: u64,
    pub cancelled: u64,
    /// Requests by a policy when another had taken its place, or before it had.
    pub mixed: u64,
    /// Requests by a policy that never took hold.
    pub nowhere: u64,
    /// Proposals made from what was no longer in force, that took hold.
    pub overwritten: u64,
    /// A change still waits though faults are over for long.
    pub stuck: u64,
    pub messages: u64,
    pub bytes: u64,
    /// From a proposal to its moment, as the routers' requests show it.
    pub held_after: Vec<Span>,
    /// Routers that could not go by what is in force and took no requests at the end, and those that took none for any
    /// other reason: of these there must be none.
    pub unfit_at_end: u64,
    pub out_at_end: u64,
    /// How often a router was taken off the list, as the one says that has seen most.
    pub unlisted: u64,
    /// Fills that were more than the whole allows in some window, and moments at which more were in hand.
    pub windows_over: u64,
    pub in_hand_over: u64,
    /// Moments at which the routers might have spent more than the whole, all alive ones counted.
    pub granted_over: u64,
    /// The most of the whole that they might have, in thousandths.
    pub most_granted: u64,
    /// Fills while all was calm, and what the whole was meanwhile.
    pub filled: f64,
    pub allowed: f64,
    /// Routers that wanted fills in a calm second and got none.
    pub starved: u64,
}

impl Came {
    pub fn broken(&self) -> u64 {
        let shares = self.windows_over + self.in_hand_over + self.granted_over;
        self.mixed + self.nowhere + self.overwritten + self.stuck + self.out_at_end + shares
    }
}

/// One router of the simulated fleet, and what outlives its process.
struct Machine {
    node: Option<Node>,
    name: String,
    address: String,
    location: u16,
    starts: u64,
    /// Its folder's seat and content, where it has one.
    seat: Option<u64>,
    folder: Option<StoredState>,
    /// Its clock reads this much at the true time 0, and runs at this rate.
    offset: i64,
    rate: f64,
    paused: bool,
    /// When its disk has done what it was given.
    disk: u64,
    held_back: Vec<Envelope>,
    /// Counts process starts, so that what was for an earlier one is dropped.
    life: u64,
    /// How many times as many requests come to it as usual.
    heat: f64,
    /// Fills wanted and had since the last look at them.
    calm: [u64; 2],
    /// How often its processes saw a router taken off the list.
    unlisted: u64,
}

enum Event {
    Tick {
        machine: usize,
        life: u64,
    },
    Request {
        machine: usize,
    },
    Message {
        to: usize,
        frame: Box<Envelope>,
    },
    Wrote {
        machine: usize,
        life: u64,
        write: Box<StorageWrite>,
    },
    Fault,
    Propose,
    Resume {
        machine: usize,
    },
    Restart {
        machine: usize,
    },
    Heal,
    /// A fill is over at the origin; at its router, if that is the same process and awake.
    Filled {
        machine: usize,
        life: u64,
        spent: Moment,
    },
    Look,
    Shift,
}

struct World {
    day: Day,
    chance: Pcg64Mcg,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    order: u64,
    machines: Vec<Machine>,
    by_address: BTreeMap<String, usize>,
    /// Who can't reach whom.
    cut: BTreeSet<(usize, usize)>,
    came: Came,
    /// By generation: the first and the last request that it decided, in true time, and how many by when.
    uses: BTreeMap<u64, Vec<u64>>,
    proposed: BTreeMap<u64, (u64, u64)>,
    over: bool,
    /// When a clock last jumped.
    jumped: u64,
    /// When fills were begun, and how many are under way.
    fills: Vec<u64>,
    /// The rate that each proposal told.
    rates: BTreeMap<u64, f64>,
    under_way: u64,
    /// Since when nothing has ailed the fleet.
    ailed: u64,
    /// Fills that ended while their router was stopped.
    unheard: Vec<(usize, Moment)>,
}

/// Plays one day.
pub fn play(day: &Day) -> Came {
    let mut world = World::new(day.clone());
    world.run();
    world.judge();
    world.came
}

impl World {
    fn new(day: Day) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(day.seed);
        let mut world = Self {
            chance,
            now: 1_000_000,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            order: 0,
            machines: Vec::new(),
            by_address: BTreeMap::new(),
            cut: BTreeSet::new(),
            came: Came::default(),
            uses: BTreeMap::new(),
            proposed: BTreeMap::new(),
            over: false,
            jumped: 0,
            fills: Vec::new(),
            rates: BTreeMap::new(),
            under_way: 0,
            ailed: 0,
            unheard: Vec::new(),
            day,
        };
        for no in 0..world.day.routers {
            let address = format!("10.0.{}.{}:7000", no / 250, no % 250);
            world.by_address.insert(address.clone(), no);
            let ppm = world.chance.random_range(-100.0..100.0);
            world.machines.push(Machine {
                node: None,
                name: format!("n{no}"),
                address,
                location: (no % 4) as u16,
                starts: 0,
                seat: (no < 9).then_some(no as u64 + 1),
                folder: (no < 9).then(StoredState::default),
                offset: world.chance.random_range(10_000_000..1_000_000_000),
                rate: 1.0 + ppm / 1e6,
                paused: false,
                disk: 0,
                held_back: Vec::new(),
                life: 0,
                heat: 1.0,
                calm: [0, 0],
                unlisted: 0,
            });
        }
        (0..world.day.routers).for_each(|no| world.start(no));
        if world.day.routers <= 64 {
            let now = world.local(0);
            let founded =
                world.machines[0].node.as_mut().expect("just started").bootstrap(now, world.day.first());
            founded.expect("the first can found it");
        } else {
            world.preload();
        }
        for no in 0..world.day.routers {
            world.gather(no);
        }
        let first = world.now + 2_000_000;
        // A day of budgets without changes of them shows what calm is like.
        if world.day.budget.is_none()
            || ["lower", "proposers", "badchange"].iter().any(|it| world.day.has(it))
        {
            world.at(first, Event::Propose);
        }
        if !world.day.faults.is_empty() {
            world.at(first + 200_000, Event::Fault);
        }
        if world.day.budget.is_some() {
            world.at(first, Event::Look);
        }
        if world.day.has("shift") {
            world.at(first, Event::Shift);
        }
        world
    }

    /// A large fleet begins with its list agreed: thousands of joins are not what is looked at.
    fn preload(&mut self) {
        let listed = |no: usize, machine: &Machine| {
            let Machine { name, address, location, seat, .. } = machine;
            let listed = Member {
                name: name.clone(),
                address: address.clone(),
                replica_id: *seat,
                location: *location,
            };
            (start_of(no, machine.starts), listed)
        };
        let roll = MemberList::new(self.machines.iter().enumerate().map(|(no, m)| listed(no, m)).collect());
        let now = self.local(0);
        let first = self.day.first();
        let node = self.machines[0].node.as_mut().expect("just started");
        node.bootstrap(now, first).expect("the first can found it");
        let mut agreed = node.agreed().clone();
        agreed.members = roll;
        agreed.index = 2;
        // Taken for the log's second entry, which the leader's own first one follows.
        for no in 0..self.machines.len() {
            let now = self.local(no);
            let node = self.machines[no].node.as_mut().expect("just started");
            node.install_state(now, agreed.clone());
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.order += 1;
        self.queue.push(Reverse((at, self.order, slot)));
    }

    fn local(&self, no: usize) -> Moment {
        let machine = &self.machines[no];
        let reads = machine.offset + (self.now as f64 * machine.rate) as i64;
        Moment::at_micros(reads.max(0) as u64)
    }

    fn start(&mut self, no: usize) {
        let now = self.local(no);
        let seed = self.chance.random();
        let seeds: Vec<String> =
            self.machines.iter().take(5).map(|machine| machine.address.clone()).collect();
        let machine = &mut self.machines[no];
        machine.starts += 1;
        machine.life += 1;
        machine.paused = false;
        machine.held_back.clear();
        let identity = LocalIdentity {
            incarnation: start_of(no, machine.starts),
            name: machine.name.clone(),
            address: machine.address.clone(),
            location: machine.location,
            replica_id: machine.seat,
            predecessor: None,
        };
        let stored = machine.folder.clone().filter(|kept| *kept != StoredState::default());
        // So that a change can follow the one before it within the day.
        let mut limits = Limits::default();
        limits.probation.max_duration = Span::millis(500);
        let Day { terms: timings, guards: checks, .. } = self.day;
        let fleet = "lab".to_string();
        let config =
            NodeConfig { fleet, identity, timings, limits, checks, seeds, stored, random_seed: seed };
        machine.node = Some(Node::start(config, now).expect("what was written fits together"));
        let (life, requests) = (machine.life, self.day.requests.as_micros());
        let jitter = self.chance.random_range(1..40_000);
        self.at(self.now + jitter, Event::Tick { machine: no, life });
        if machine_first(life) {
            let jitter = self.chance.random_range(1..requests);
            self.at(self.now + jitter, Event::Request { machine: no });
        }
        self.gather(no);
    }

    /// Carries out what a router wants.
    fn gather(&mut self, no: usize) {
        let Some(node) = self.machines[no].node.as_mut() else { return };
        for out in node.take_actions() {
            match out {
                Action::Send { address: to, envelope: frame } => self.post(no, &to, frame),
                Action::Write(write) => {
                    let life = self.machines[no].life;
                    let takes = self.chance.random_range(500..4_000);
                    let done = self.now.max(self.machines[no].disk) + takes;
                    self.machines[no].disk = done;
                    self.at(done, Event::Wrote { machine: no, life, write: Box::new(write) });
                }
                Action::CheckPolicy(version) => {
                    let bad = version.policy.0.contains_key("bad") && no == self.day.routers - 1;
                    let objection = bad.then(|| Objection {
                        reason: "an offering would have no cache".to_string(),
                        permanent: true,
                    });
                    let now = self.local(no);
                    let node = self.machines[no].node.as_mut().expect("it wanted this");
                    node.policy_checked(now, version.generation, objection);
                }
                Action::LeadershipChanged(term) => self.show(no, &("leads", term)),
                Action::Transition(step) => {
                    self.show(no, &step);
                    self.machines[no].unlisted += u64::from(matches!(step, Transition::Removed(_)));
                }
            }
        }
        if self.machines[no].node.as_mut().is_some_and(|node| !node.is_quiet()) {
            self.gather(no);
        }
    }

    fn show(&self, no: usize, what: &dyn std::fmt::Debug) {
        if self.day.shown {
            eprintln!("{:9.3} n{no}: {what:?}", self.now as f64 / 1e6);
        }
    }

    fn post(&mut self, from: usize, to: &str, frame: Envelope) {
        let Some(&to) = self.by_address.get(to) else { return };
        self.came.messages += 1;
        if self.day.routers <= 64 || self.came.messages.is_multiple_of(64) {
            self.came.bytes += frame.to_bytes().len() as u64 * if self.day.routers <= 64 { 1 } else { 64 };
        }
        let faulty = !self.over;
        if self.cut.contains(&(from, to))
            || faulty && self.day.has("drop") && self.chance.random_bool(self.day.loss)
        {
            return;
        }
        let mut latency = self.day.latency[0].as_micros()
            + self.chance.random_range(0..self.day.latency[1].as_micros().max(1));
        if faulty && self.day.has("delay") && self.chance.random_bool(0.05) {
            latency += self.chance.random_range(0..600_000);
        }
        if faulty && self.day.has("duplicate") && self.chance.random_bool(0.05) {
            let later = latency + self.chance.random_range(0..300_000);
            self.at(self.now + later, Event::Message { to, frame: Box::new(frame.clone()) });
        }
        self.at(self.now + latency, Event::Message { to, frame: Box::new(frame) });
    }

    fn run(&mut self) {
        let faults_end = self.now + 2_000_000 + self.day.lasts.as_micros();
        let Timings { lease, quorum_loss_grace: hold_out, .. } = self.day.terms;
        let calm = (lease + hold_out) * 2.0 + lease * 6.0;
        let end = faults_end + calm.as_micros();
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if !self.over && self.now >= faults_end {
                self.over = true;
                self.heal();
            }
            let event = self.events[slot].take().expect("it was put there");
            self.free.push(slot);
            self.happens(event);
        }
    }

    /// All that ails the fleet ends; who is down comes back.
    fn heal(&mut self) {
        self.cut.clear();
        for no in 0..self.machines.len() {
            match (&self.machines[no].node, self.machines[no].paused) {
                (None, _) => self.start(no),
                (Some(_), true) => self.resume(no),
                _ => {}
            }
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Tick { machine: no, life } => {
                let machine = &self.machines[no];
                if machine.life != life {
                    return;
                }
                let every = self.day.terms.heartbeat_interval.as_micros() / 5;
                self.at(self.now + every, Event::Tick { machine: no, life });
                if !self.machines[no].paused {
                    self.with(no, |node, now| node.tick(now));
                }
            }
            Event::Request { machine: no } => {
                let mean = (self.day.requests.as_micros() as f64 / self.machines[no].heat) as u64;
                let next = self.chance.random_range(mean / 2..mean * 3 / 2);
                self.at(self.now + next, Event::Request { machine: no });
                if !self.machines[no].paused {
                    self.request(no);
                }
            }
            Event::Message { to, frame } => {
                if self.machines[to].paused {
                    if self.machines[to].held_back.len() < 256 {
                        self.machines[to].held_back.push(*frame);
                    }
                } else {
                    self.with(to, |node, now| node.receive(now, *frame));
                }
            }
            Event::Wrote { machine: no, life, write } => {
                if self.machines[no].life != life || self.machines[no].node.is_none() {
                    return;
                }
                let number = write.number;
                if let Some(folder) = &mut self.machines[no].folder {
                    keep(folder, *write);
                }
                self.with(no, |node, now| node.write_completed(now, number));
            }
            Event::Resume { machine: no } => {
                if self.machines[no].paused {
                    self.resume(no);
                }
            }
            Event::Restart { machine: no } => {
                if self.machines[no].node.is_none() {
                    self.show(no, &"starts");
                    self.start(no);
                }
            }
            Event::Heal => self.cut.clear(),
            Event::Filled { machine: no, life, spent } => {
                self.under_way -= 1;
                if self.machines[no].life == life {
                    match self.machines[no].paused {
                        true => self.unheard.push((no, spent)),
                        false => self.with(no, |node, _| node.quota().release(spent, &[fills_in_hand()])),
                    }
                }
            }
            Event::Look => self.look(),
            Event::Shift => self.shift(),
            Event::Fault => self.fault(),
            Event::Propose => self.propose(),
        }
    }

    fn with(&mut self, no: usize, what: impl FnOnce(&mut Node, Moment)) {
        let now = self.local(no);
        if let Some(node) = self.machines[no].node.as_mut() {
            what(node, now);
            self.gather(no);
        }
    }

    fn request(&mut self, no: usize) {
        let now = self.local(no);
        let Some(node) = self.machines[no].node.as_mut() else { return };
        self.came.requests += 1;
        match node.active_policy(now).map(|version| version.generation) {
            Ok(generation) => {
                if self.uses.keys().next_back().is_some_and(|newest| generation < *newest) {
                    self.show(no, &("a view by the old", generation));
                }
                self.uses.entry(generation).or_default().push(self.now);
            }
            Err(_) => {
                self.came.rejected += 1;
                return;
            }
        }
        if self.day.budget.is_some() {
            self.fill(no);
        }
    }

    /// A fill by the origin is wanted.
    fn fill(&mut self, no: usize) {
        let now = self.local(no);
        let lines = [fills(), fills_in_hand()];
        let machine = &mut self.machines[no];
        let had = machine.node.as_mut().is_some_and(|node| node.quota().spend(now, &lines));
        machine.calm[0] += 1;
        machine.calm[1] += u64::from(had);
        if !had {
            return;
        }
        let life = machine.life;
        self.fills.push(self.now);
        self.under_way += 1;
        self.came.in_hand_over += u64::from(self.under_way as f64 > self.whole("origin_fills.in_hand"));
        let lasts = self.chance.random_range(FILL[0]..FILL[1]);
        self.at(self.now + lasts, Event::Filled { machine: no, life, spent: now });
    }

    fn whole(&self, what: &str) -> f64 {
        self.day.first().0[&format!("budget.{what}")]
    }

    /// Once in a while: what all might spend, and whether what there is was used.
    fn look(&mut self) {
        self.at(self.now + 20_000, Event::Look);
        let mut sum = [0u64; 2];
        for no in 0..self.machines.len() {
            let now = self.local(no);
            let Some(node) = self.machines[no].node.as_mut() else { continue };
            for (line, share) in node.quota().max_spendable(now) {
                sum[0] += if line == fills() { share.rate } else { 0 };
                sum[1] += if line == fills() { share.burst } else { 0 };
            }
        }
        let [rate, burst] = ["origin_fills.per_s", "origin_fills.burst"].map(|of| self.whole(of) * 1000.0);
        let most = (sum[0] as f64 / rate).max(sum[1] as f64 / burst);
        self.came.granted_over += u64::from(most > 1.0 + 1e-9);
        self.came.most_granted = self.came.most_granted.max((most * 1000.0) as u64);
        let settled = self.ailed + 3 * self.day.terms.lease.as_micros();
        let calm = self.now > settled.max(8_000_000);
        // Long enough for one of many to have its turn.
        let spell = 4_000_000;
        if self.now % spell < 20_000 {
            if calm && self.uses.len() == 1 {
                let alive = self.machines.iter().filter(|machine| machine.node.is_some());
                let starved = alive.filter(|machine| machine.calm[0] >= 20 && machine.calm[1] == 0).count();
                self.came.starved += starved as u64;
                let had: u64 = self.machines.iter().map(|machine| machine.calm[1]).sum();
                self.came.filled += had as f64;
                self.came.allowed += self.day.budget.unwrap_or_default() * spell as f64 / 1e6;
            }
            self.machines.iter_mut().for_each(|machine| machine.calm = [0, 0]);
        }
    }

    /// Demand moves: some get many requests, the others few.
    fn shift(&mut self) {
        self.at(self.now + 4_000_000, Event::Shift);
        for no in 0..self.machines.len() {
            let hot = self.chance.random_bool(0.3);
            self.machines[no].heat = if hot { 3.0 } else { 0.3 };
        }
    }

    fn resume(&mut self, no: usize) {
        self.machines[no].paused = false;
        while let Some(at) = self.unheard.iter().position(|of| of.0 == no) {
            let (_, spent) = self.unheard.swap_remove(at);
            self.with(no, |node, _| node.quota().release(spent, &[fills_in_hand()]));
        }
        // A request may be the first thing that it sees.
        self.request(no);
        for frame in std::mem::take(&mut self.machines[no].held_back) {
            self.with(no, |node, now| node.receive(now, frame));
        }
    }

    fn kill(&mut self, no: usize) {
        self.machines[no].node = None;
        self.machines[no].life += 1;
        self.unheard.retain(|of| of.0 != no);
    }

    fn propose(&mut self) {
        if self.over {
            return;
        }
        let every = self.day.proposals.as_micros();
        self.at(self.now + every, Event::Propose);
        let proposers = if self.day.has("proposers") { 2 } else { 1 };
        let bad = self.day.has("badchange") && self.chance.random_bool(0.3);
        for _ in 0..proposers {
            let no = self.chance.random_range(0..self.machines.len());
            if self.machines[no].paused {
                continue;
            }
            let (now, at) = (self.local(no), self.now);
            let number = self.chance.random_range(1.0..1e6f64).floor();
            let Some(node) = self.machines[no].node.as_mut() else { continue };
            if node.agreed().fleet == 0 {
                continue;
            }
            let (token, made_from) = (node.new_token(), node.agreed().generation());
            let named = if bad { "bad" } else { "number" };
            let mut policy = self.day.first().with([(named.to_string(), number)]);
            if let Some(rate) = self.day.budget.filter(|_| self.day.has("lower")) {
                let share = [0.4, 1.0][self.chance.random_range(0..2usize)];
                policy = policy.with([("budget.origin_fills.per_s".to_string(), rate * share)]);
            }
            if let Some(rate) = policy.0.get("budget.origin_fills.per_s") {
                self.rates.insert(token, *rate);
            }
            let (by, note) = (format!("n{no}"), String::new());
            let proposal =
                Proposal { token, base_generation: made_from, policy, reverts: None, author: by, note };
            if node.submit(now, Command::Propose(proposal)).is_ok() {
                self.came.changes += 1;
                self.proposed.insert(token, (at, made_from));
            }
            self.gather(no);
        }
    }

    fn fault(&mut self) {
        if self.over {
            return;
        }
        let next = self.chance.random_range(300_000..2_000_000);
        self.at(self.now + next, Event::Fault);
        const ACTS: [&str; 12] = [
            "oneway", "split", "kill", "killmost", "pause", "restart", "forget", "leader", "away", "sleep",
            "deaf", "clock",
        ];
        let acts: Vec<&str> = ACTS.into_iter().filter(|act| self.day.has(act)).collect();
        if acts.is_empty() {
            return;
        }
        let act = acts[self.chance.random_range(0..acts.len())];
        self.ailed = self.now + 5_000_000;
        let count = self.machines.len();
        let no = self.chance.random_range(0..count);
        let back = self.chance.random_range(200_000..5_000_000);
        self.show(no, &act);
        match act {
            "oneway" => {
                let other = self.chance.random_range(0..count);
                self.cut.insert((no, other));
                self.at(self.now + back, Event::Heal);
            }
            "split" => {
                let parts = self.chance.random_range(2..4u32);
                let sides: Vec<u32> = (0..count).map(|_| self.chance.random_range(0..parts)).collect();
                for a in 0..count {
                    for b in 0..count {
                        if sides[a] != sides[b] {
                            self.cut.insert((a, b));
                        }
                    }
                }
                self.at(self.now + back, Event::Heal);
            }
            "kill" | "restart" => {
                self.kill(no);
                self.at(self.now + back, Event::Restart { machine: no });
            }
            // One folder is lost at a time, while the others' voters are there.
            "forget" if self.machines.iter().all(|m| m.node.is_some() && !m.paused) && self.calm() => {
                self.kill(no);
                // Lost now, not at the next start: by then another may be.
                if self.machines[no].seat.is_some() {
                    self.machines[no].folder = Some(StoredState::default());
                    self.machines[no].seat = Some(self.chance.random_range(1_000..u64::MAX));
                }
                self.at(self.now + back, Event::Restart { machine: no });
            }
            "killmost" if self.chance.random_bool(0.3) => {
                for no in 0..count {
                    if self.chance.random_bool(0.7) {
                        self.kill(no);
                        let back = back + self.chance.random_range(0..1_000_000);
                        self.at(self.now + back, Event::Restart { machine: no });
                    }
                }
            }
            // One is gone for longer than it is remembered, or cut off for as long; one at a time.
            "away"
                if self.calm()
                    && self.machines.iter().all(|m| m.node.is_some() && !m.paused)
                    && self.cut.is_empty() =>
            {
                let Timings { lease, quorum_loss_grace: hold_out, .. } = self.day.terms;
                let gone = (hold_out + lease * 4.0).as_micros() + back;
                if self.machines[no].node.as_ref().is_some_and(Node::is_leader) {
                    return;
                }
                if self.chance.random_bool(0.5) {
                    self.kill(no);
                    self.at(self.now + gone, Event::Restart { machine: no });
                } else {
                    self.cut.extend((0..count).flat_map(|other| [(no, other), (other, no)]));
                    self.at(self.now + gone, Event::Heal);
                }
            }
            "pause" if self.machines[no].node.is_some() => {
                self.machines[no].paused = true;
                self.at(self.now + back, Event::Resume { machine: no });
            }
            "leader" => {
                let leads = |m: &Machine| m.node.as_ref().is_some_and(Node::is_leader);
                if let Some(leader) = self.machines.iter().position(leads) {
                    self.kill(leader);
                    self.at(self.now + back, Event::Restart { machine: leader });
                }
            }
            // All machines sleep together for a while, as where they are one machine: each clock is seen to jump.
            "sleep" if self.now > self.jumped + 8_000_000 => {
                self.jumped = self.now;
                for no in 0..count {
                    self.machines[no].offset += back as i64;
                    let now = self.local(no);
                    if let Some(node) = self.machines[no].node.as_mut() {
                        node.clock_jumped(now);
                    }
                }
            }
            // What the leader says does not reach half of the others, though it hears them.
            "deaf" => {
                let leads = |m: &Machine| m.node.as_ref().is_some_and(Node::is_leader);
                if let Some(leader) = self.machines.iter().position(leads) {
                    let half = (0..count).filter(|other| *other != leader && (other + no).is_multiple_of(2));
                    self.cut.extend(half.map(|other| (leader, other)));
                    self.at(self.now + back, Event::Heal);
                }
            }
            "clock" => {
                // One router's clock is not as stated: it jumps, and is seen to. One at a time.
                let by = self.chance.random_range(-2_000_000..2_000_000);
                if self.now < self.jumped + 8_000_000 {
                    return;
                }
                self.jumped = self.now;
                self.machines[no].offset += by;
                let now = self.local(no);
                if let Some(node) = self.machines[no].node.as_mut() {
                    node.clock_jumped(now);
                }
            }
            _ => {}
        }
    }

    /// Whether three voters or more are there and know each other, so that one that forgets is not the last that knew:
    /// while one is added to two, both are needed.
    fn calm(&self) -> bool {
        let node =
            self.machines.iter().filter_map(|m| m.node.as_ref()).max_by_key(|node| node.agreed().index);
        let Some(node) = node else { return false };
        let voters = &node.agreed().voters;
        let settled = |seat: &u64| {
            let machine = self.machines.iter().find(|machine| machine.seat == Some(*seat));
            let node = machine.and_then(|machine| machine.node.as_ref());
            let alone =
                |node: &Node| node.agreed().voters == *voters && node.agreed().outgoing_voters.is_empty();
            node.is_some_and(|node| node.is_settled() && alone(node))
        };
        voters.len() >= 3 && voters.iter().all(settled)
    }

    /// Reckons what the day came to.
    fn judge(&mut self) {
        let best =
            self.machines.iter().filter_map(|m| m.node.as_ref()).max_by_key(|node| node.agreed().index);
        let Some(agreed) = best.map(|node| node.agreed().clone()) else { return };
        self.came.stuck = u64::from(agreed.has_undecided_change());
        self.came.unlisted = self.machines.iter().map(|machine| machine.unlisted).max().unwrap_or_default();
        let bound = 2 * self.day.terms.clock_bound.as_micros();
        let mut held = BTreeSet::from([1]);
        for past in &agreed.past {
            match (&past.outcome, past.generation) {
                (ProposalOutcome::Activated, Some(generation)) => {
                    held.insert(generation);
                    self.came.took_hold += 1;
                }
                (ProposalOutcome::Rejected(_), _) => self.came.refused += 1,
                _ => self.came.cancelled += 1,
            }
        }
        held.extend(agreed.staged.iter().filter(|s| s.effective_at.is_some()).map(|s| s.version.generation));
        // What is over for so long that it is not kept in mind any more, was checked by those after it.
        let known_from = agreed.past.iter().filter_map(|past| past.generation).min().unwrap_or(1);
        for (generation, times) in &self.uses {
            if *generation >= known_from && !held.contains(generation) {
                self.came.nowhere += times.len() as u64;
            }
        }
        let mut in_force = 1;
        for past in agreed.past.iter().filter(|past| past.outcome == ProposalOutcome::Activated) {
            self.came.overwritten +=
                u64::from(past.base_generation < in_force && past.generation >= Some(known_from));
            in_force = past.generation.unwrap_or(in_force);
        }
        let uses: Vec<(&u64, &Vec<u64>)> = self.uses.iter().collect();
        for (at, (_, new)) in uses.iter().enumerate() {
            let first = new.iter().min().copied().unwrap_or(u64::MAX);
            for (_, old) in &uses[..at] {
                self.came.mixed += old.iter().filter(|used| **used > first + bound).count() as u64;
            }
        }
        for past in agreed.past.iter().filter(|past| past.outcome == ProposalOutcome::Activated) {
            let first = past.generation.and_then(|g| self.uses.get(&g)?.iter().min().copied());
            if let (Some((at, _)), Some(first)) = (self.proposed.get(&past.token), first) {
                self.came.held_after.push(Span::micros(first.saturating_sub(*at)));
            }
        }
        if let Some(rate) = self.day.budget {
            self.judge_fills(rate);
        }
        for no in 0..self.machines.len() {
            let now = self.local(no);
            let out = self.machines[no].node.as_mut().map(|node| node.active_policy(now).err());
            if out != Some(None) {
                let status = self.machines[no].node.as_mut().map(|node| node.status(now));
                self.show(no, &("out at the end", out, status));
                let unfit = out == Some(Some(UnavailableReason::PolicyNotApplicable));
                *if unfit { &mut self.came.unfit_at_end } else { &mut self.came.out_at_end } += 1;
            }
        }
    }
}

impl World {
    /// In no window there are more fills than the rate and one burst allow. A bucket that begins full says so for all
    /// windows at once. A lowered whole holds once the first request was decided by it, and the bound after that.
    fn judge_fills(&mut self, rate: f64) {
        let burst = self.whole("origin_fills.burst");
        let bound = 2 * self.day.terms.clock_bound.as_micros();
        let mut wholes: Vec<(u64, f64)> = vec![(0, rate)];
        for node in self.machines.iter().filter_map(|machine| machine.node.as_ref()).take(1) {
            let past = node.agreed().past.iter().filter(|past| past.outcome == ProposalOutcome::Activated);
            for past in past {
                let first = past.generation.and_then(|of| self.uses.get(&of)?.iter().min().copied());
                let Some((first, to)) = first.zip(self.rates.get(&past.token)) else { continue };
                let at =
                    if *to < wholes.last().expect("there is one").1 { first + bound } else { first - bound };
                wholes.push((at, *to));
            }
        }
        let (mut left, mut last) = (burst, 0u64);
        for at in &self.fills {
            let whole = wholes.iter().rev().find(|(from, _)| from <= at).expect("one from the start").1;
            // What clocks may be off by, they may run fast by.
            let came = (at - last) as f64 / 1e6 * whole * 1.0005;
            left = (left + came).min(burst) - 1.0;
            last = *at;
            if left < -1e-6 {
                self.came.windows_over += 1;
                left = 0.0;
            }
        }
    }
}

fn machine_first(life: u64) -> bool {
    life == 1
}

fn start_of(no: usize, starts: u64) -> Incarnation {
    Incarnation((no as u64 + 1) << 20 | starts)
}

/// What a folder holds after a write.
fn keep(folder: &mut StoredState, write: StorageWrite) {
    let StorageWrite { hard_state: hard, snapshot, entries, discard_before: cut_before, .. } = write;
    if let Some(hard) = hard {
        folder.hard_state = hard;
    }
    if let Some(snapshot) = snapshot {
        folder.snapshot = snapshot;
        if cut_before.is_none() {
            folder.entries.clear();
        }
    }
    if let Some(before) = cut_before {
        folder.entries.retain(|(index, _)| *index >= before);
    }
    if let Some((first, _)) = entries.first() {
        folder.entries.retain(|(index, _)| index < first);
    }
    folder.entries.extend(entries);
}
