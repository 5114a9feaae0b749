//! A small simulated fleet in virtual time: clients, caches, parents, an origin and the discovery service.
//!
//! It plays the simulator's part towards the binary. It is as rough as it may be: its answers need only be
//! legal on the wire, plausible enough that the router's state develops, and the same in every run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::frames::{self, Action, Address, Entry, Outcome, RequestMeta};
use super::scenarios::{Incident, Scenario, Target};
use super::settings::{CACHE_KIND, ORIGIN_KIND, PARENT_KIND};
use super::{Adapter, Counts};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// The clock's origin is arbitrary.
const START: u64 = 1_000 * SECOND;
/// All events are moved to the next multiple of this.
const TICK: u64 = 2 * MILLISECOND;

/// Pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    }

    /// From 0 to 1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

/// How a server behaves.
#[derive(Clone, Copy, PartialEq)]
pub enum Condition {
    Healthy,
    /// Takes this many times as long.
    Slow(f64),
    /// Answers that share of requests with an error.
    Failing(f64),
    /// Answers that share of requests with "full".
    Full(f64),
    /// Takes requests and answers none.
    Hung,
    /// Drops the connection while it works.
    Resetting,
    /// Takes no connection.
    Down,
}

struct Server {
    entry: Entry,
    condition: Condition,
    in_hand: u32,
}

struct Instance {
    zone: u8,
    incarnation: u32,
    subscribed: bool,
    /// The entries that it was sent last, by server.
    last_sent: Vec<Option<Entry>>,
}

struct Attempt {
    request_id: u64,
    number: u16,
    server: usize,
    sent: u64,
    ended: bool,
    streaming: bool,
}

struct Request {
    instance_id: u32,
    incarnation: u32,
    meta: RequestMeta,
    deadline: u64,
    client_attempts: u32,
    finished: bool,
    attempts: Vec<usize>,
}

/// How an attempt is going to end.
struct Ending {
    status: u8,
    detail: u32,
    took: u64,
    first_byte: u64,
}

enum Event {
    Arrival,
    Retry { instance_id: u32, meta: RequestMeta, client_attempts: u32 },
    ClientGone { request_id: u64 },
    Deadline { request_id: u64 },
    StreamStart { attempt: usize },
    AttemptEnd { attempt: usize, status: u8, detail: u32, first_byte: u64 },
    Timer { instance_id: u32, incarnation: u32, cookie: u32 },
    CatchUp { instance_id: u32, incarnation: u32 },
    WatchAnswer { instance_id: u32, incarnation: u32 },
    Incident(Incident),
}

struct World {
    scenario: Scenario,
    random: Random,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// How many timers are due, by time, instance and its incarnation.
    timers: BTreeMap<(u64, u32, u32), u32>,
    events: BTreeMap<u64, Event>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    requests: BTreeMap<u64, Request>,
    attempts: Vec<Attempt>,
    last_ticket: u64,
    rate: f64,
    fills: u32,
    origin_fills: u32,
    /// Which server holds a copy of which object's part.
    copies: BTreeSet<(usize, u64, u32)>,
    version: u64,
    purges: Vec<(u64, u64, u16)>,
    /// The records of the batch being built.
    records: Vec<Vec<u8>>,
    counts: Counts,
}

/// Runs a scenario against the binary to its end.
pub fn run(scenario: Scenario, adapter: &mut Adapter) -> Counts {
    let mut world = World::new(scenario);
    world.exchange(adapter);
    world.start_instances();
    world.exchange(adapter);
    world.schedule(TICK, Event::Arrival);
    for (at, incident) in world.scenario.incidents.clone() {
        world.schedule(at * MILLISECOND, Event::Incident(incident));
    }
    // Some seconds more, for what is out; timers could go on for longer.
    let end = START + world.scenario.duration * MILLISECOND + 8 * SECOND;
    while let Some(&Reverse((at, _))) = world.queue.peek().filter(|next| next.0.0 < end) {
        world.now = at;
        while let Some(&Reverse((_, key))) = world.queue.peek().filter(|next| next.0.0 == at) {
            world.queue.pop();
            let event = world.events.remove(&key).expect("event is scheduled");
            world.take(event);
        }
        world.exchange(adapter);
    }
    world.counts
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let random = Random(scenario.seed);
        let rate = scenario.requests_per_second;
        let instances = scenario.zones.iter().map(|zone| Instance {
            zone: *zone,
            incarnation: 0,
            subscribed: scenario.settings.registry_mode == "pushed",
            last_sent: Vec::new(),
        });
        let mut world = Self {
            instances: instances.collect(),
            scenario,
            random,
            now: START,
            sequence: 0,
            queue: BinaryHeap::new(),
            timers: BTreeMap::new(),
            events: BTreeMap::new(),
            servers: Vec::new(),
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            last_ticket: 1 << 40,
            rate,
            fills: 0,
            origin_fills: 0,
            copies: BTreeSet::new(),
            version: 1,
            purges: Vec::new(),
            records: Vec::new(),
            counts: Counts::default(),
        };
        world.add_servers();
        world
    }

    fn add_servers(&mut self) {
        for zone in [1, 2] {
            (0..self.scenario.caches_per_zone).for_each(|_| self.add_server(CACHE_KIND, zone));
        }
        if self.scenario.settings.parents {
            (0..self.scenario.parents).for_each(|_| self.add_server(PARENT_KIND, 0));
        }
        self.add_server(ORIGIN_KIND, 0);
    }

    fn add_server(&mut self, kind: u8, zone: u8) {
        let number = self.servers.len() as u8;
        let port = (8000 + self.random.below(1000) as u16).to_le_bytes();
        let address = [10, zone, number, self.random.below(250) as u8, port[0], port[1]];
        let size = match kind {
            CACHE_KIND => self.random.pick(&[1.0, 1.0, 2.0]),
            PARENT_KIND => 4.0,
            _ => 8.0,
        };
        let cell = u16::from(zone) * 10 + u16::from(number % 2);
        let entry = Entry { state: frames::READY, address, started: 0, zone, size, kind, cell };
        self.servers.push(Server { entry, condition: Condition::Healthy, in_hand: 0 });
    }

    fn schedule(&mut self, after: u64, event: Event) {
        let at = (self.now + after.max(1)).div_ceil(TICK) * TICK;
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn record(&mut self, record: Vec<u8>) {
        self.counts.add(format!("event {:02}", record[0]), 1);
        self.records.push(record);
    }

    /// Sends the batch and reacts to the actions that come back.
    fn exchange(&mut self, adapter: &mut Adapter) {
        let records = std::mem::take(&mut self.records);
        let reply = adapter.exchange(&frames::batch(self.now, &records));
        for (instance_id, action) in frames::actions(&reply) {
            self.act(instance_id, action);
        }
    }

    // Instances and discovery.

    fn start_instances(&mut self) {
        (0..self.instances.len() as u32).for_each(|instance_id| self.spawn(instance_id));
    }

    fn spawn(&mut self, instance_id: u32) {
        let instance = &mut self.instances[instance_id as usize];
        instance.subscribed = self.scenario.settings.registry_mode == "pushed";
        let (seed, zone) = (self.random.next(), instance.zone);
        let settings = self.scenario.settings.json(zone);
        self.record(frames::spawn(instance_id, seed, &settings));
        self.send_list(instance_id, frames::CACHED);
        let gone_everywhere = self.scenario.settings.gone_everywhere;
        for (at, object, group) in self.purges.clone() {
            if self.now - at < gone_everywhere {
                self.record(frames::struck_out(instance_id, object, group, self.now - at));
            }
        }
    }

    fn respawn(&mut self, instance_id: u32) {
        self.record(frames::destroy(instance_id));
        self.instances[instance_id as usize].incarnation += 1;
        self.spawn(instance_id);
    }

    fn is_alive(&self, instance_id: u32, incarnation: u32) -> bool {
        self.instances[instance_id as usize].incarnation == incarnation
    }

    /// Sends the whole list.
    fn send_list(&mut self, instance_id: u32, form: u8) {
        let entries: Vec<Entry> = self.servers.iter().map(|server| server.entry).collect();
        self.instances[instance_id as usize].last_sent = entries.iter().copied().map(Some).collect();
        let present: Vec<Entry> = entries.into_iter().filter(|entry| entry.state != frames::GONE).collect();
        self.record(frames::directory_update(instance_id, form, self.version, &present));
    }

    /// Sends what changed since the instance was sent the list.
    fn send_changes(&mut self, instance_id: u32) {
        let last_sent = &mut self.instances[instance_id as usize].last_sent;
        last_sent.resize(self.servers.len(), None);
        let mut changed = Vec::new();
        for (server, last_sent) in self.servers.iter().zip(last_sent) {
            if *last_sent != Some(server.entry) {
                *last_sent = Some(server.entry);
                changed.push(server.entry);
            }
        }
        self.record(frames::directory_update(instance_id, frames::CHANGES, self.version, &changed));
    }

    fn list_changed(&mut self) {
        self.version += 1;
        for instance_id in 0..self.instances.len() as u32 {
            let delay = 10 * MILLISECOND + self.random.below(150 * MILLISECOND);
            let incarnation = self.instances[instance_id as usize].incarnation;
            self.schedule(delay, Event::CatchUp { instance_id, incarnation });
        }
    }

    fn answer_watch(&mut self, instance_id: u32) {
        if self.random.chance(self.scenario.watch_failures) {
            return self.record(frames::directory_update(instance_id, frames::FAILED, self.version, &[]));
        }
        self.instances[instance_id as usize].subscribed = true;
        match self.random.chance(0.3) {
            true => self.send_list(instance_id, frames::WHOLE),
            false => self.send_changes(instance_id),
        }
    }

    // Events.

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Retry { instance_id, meta, client_attempts } => {
                self.request(instance_id, meta, client_attempts);
            }
            Event::ClientGone { request_id } | Event::Deadline { request_id } => self.abort(request_id),
            Event::StreamStart { attempt } => self.start_stream(attempt),
            Event::AttemptEnd { attempt, status, detail, first_byte } => {
                self.end_attempt(attempt, status, detail, first_byte);
            }
            Event::Timer { instance_id, incarnation, cookie } if self.is_alive(instance_id, incarnation) => {
                self.record(frames::elapsed(instance_id, cookie));
            }
            Event::CatchUp { instance_id, incarnation } if self.is_alive(instance_id, incarnation) => {
                if self.instances[instance_id as usize].subscribed {
                    self.send_changes(instance_id);
                }
            }
            Event::WatchAnswer { instance_id, incarnation } if self.is_alive(instance_id, incarnation) => {
                self.answer_watch(instance_id);
            }
            Event::Timer { .. } | Event::CatchUp { .. } | Event::WatchAnswer { .. } => {}
            Event::Incident(incident) => self.happen(incident),
        }
    }

    fn happen(&mut self, incident: Incident) {
        match incident {
            Incident::Condition(target, condition) => {
                for server in self.targets(target) {
                    self.servers[server].condition = condition;
                }
            }
            Incident::State(target, state) => {
                self.change_entries(target, |entry| entry.state = state);
            }
            Incident::Size(target, size) => self.change_entries(target, |entry| entry.size = size),
            Incident::Restart(target) => self.restart(target),
            Incident::Replace(target) => {
                for server in self.targets(target) {
                    let entry = self.servers[server].entry;
                    self.servers[server].entry.state = frames::GONE;
                    self.servers[server].condition = Condition::Down;
                    self.add_server(entry.kind, entry.zone);
                    let added = self.servers.last_mut().expect("server was added");
                    added.entry.started = self.now;
                }
                self.list_changed();
            }
            Incident::WholeList => {
                self.version += 1;
                (0..self.instances.len() as u32)
                    .for_each(|instance_id| self.send_list(instance_id, frames::WHOLE));
            }
            Incident::SubscriptionLost(instance_id) => {
                self.instances[instance_id as usize].subscribed = false;
                self.record(frames::directory_update(instance_id, frames::FAILED, self.version, &[]));
            }
            Incident::PurgeObject(object) => self.purge(object, 0),
            Incident::PurgeGroup(group) => self.purge(0, group),
            Incident::Rate(rate) => self.rate = rate,
            Incident::RestartInstance(instance_id) => self.respawn(instance_id),
            Incident::UnknownClass(instance_id) => {
                let mut meta = self.draw_request();
                meta.class = self.scenario.settings.classes.len() as u16;
                self.request(instance_id, meta, 9);
            }
            Incident::SideNews(instance_id) => {
                let server = self.servers[0].entry.address;
                self.record(frames::checked(instance_id, server, 10, 700));
                self.record(frames::checked(instance_id, server, 50, 400_000));
                self.record(frames::from_peer(instance_id, 1, b"load 3"));
            }
        }
    }

    fn targets(&self, target: Target) -> Vec<usize> {
        let present = |kind: u8, zone: u8| -> Vec<usize> {
            let servers = self.servers.iter().enumerate();
            let fits = servers.filter(|(_, server)| {
                let entry = server.entry;
                entry.kind == kind && entry.zone == zone && entry.state != frames::GONE
            });
            fits.map(|(index, _)| index).collect()
        };
        match target {
            Target::Cache(zone, nth) => present(CACHE_KIND, zone).get(nth).copied().into_iter().collect(),
            Target::Caches(zone) => present(CACHE_KIND, zone),
            Target::Parent(nth) => present(PARENT_KIND, 0).get(nth).copied().into_iter().collect(),
            Target::Parents => present(PARENT_KIND, 0),
            Target::Origin => present(ORIGIN_KIND, 0),
        }
    }

    fn change_entries(&mut self, target: Target, change: impl Fn(&mut Entry)) {
        for server in self.targets(target) {
            change(&mut self.servers[server].entry);
        }
        self.list_changed();
    }

    fn restart(&mut self, target: Target) {
        let now = self.now;
        for index in self.targets(target) {
            let server = &mut self.servers[index];
            server.entry.started = now;
            server.entry.state = frames::READY;
            server.condition = Condition::Healthy;
            self.copies.retain(|copy| copy.0 != index);
        }
        self.list_changed();
    }

    fn purge(&mut self, object: u64, group: u16) {
        self.purges.push((self.now, object, group));
        self.copies.retain(|copy| match object {
            0 => group_of(copy.1) != group,
            object => copy.1 != object,
        });
        for instance_id in 0..self.instances.len() as u32 {
            let ago = self.random.below(20 * MILLISECOND);
            self.record(frames::struck_out(instance_id, object, group, ago));
        }
    }

    // Clients.

    fn arrive(&mut self) {
        if self.now >= START + self.scenario.duration * MILLISECOND {
            return;
        }
        let meta = self.draw_request();
        let instance_id = self.random.below(self.instances.len() as u64) as u32;
        self.request(instance_id, meta, 0);
        let gap = -(1.0 - self.random.unit()).ln() / self.rate;
        self.schedule((gap * SECOND as f64) as u64, Event::Arrival);
    }

    fn draw_request(&mut self) -> RequestMeta {
        // A few objects are requested much more often than the others.
        let object = 1 + (self.random.unit().powi(3) * self.scenario.objects as f64) as u64;
        let part = self.random.below(2) as u32;
        let size_kb = match self.scenario.sizes_told {
            true => 10.0 + (mixed(object, part) % 190) as f32,
            false => 0.0,
        };
        RequestMeta { object, part, group: group_of(object), class: self.draw_class(), size_kb, flags: 0 }
    }

    fn draw_class(&mut self) -> u16 {
        let classes = &self.scenario.settings.classes;
        let mut lot = self.random.unit() * classes.iter().map(|class| class.share).sum::<f64>();
        for (number, class) in classes.iter().enumerate() {
            lot -= class.share;
            if lot < 0.0 {
                return number as u16;
            }
        }
        0
    }

    fn request(&mut self, instance_id: u32, meta: RequestMeta, client_attempts: u32) {
        self.last_ticket += 1 + self.random.below(5);
        let request_id = self.last_ticket;
        let classes = &self.scenario.settings.classes;
        let longest = classes.get(usize::from(meta.class)).map_or(SECOND, |class| class.deadline);
        let grace = match self.random.chance(0.02) {
            true => self.random.below(30 * MILLISECOND),
            false => longest / (1 + u64::from(client_attempts.min(2))),
        };
        self.record(frames::ingress(instance_id, request_id, &meta, grace));
        let incarnation = self.instances[instance_id as usize].incarnation;
        let (deadline, attempts) = (self.now + grace, Vec::new());
        self.requests.insert(
            request_id,
            Request { instance_id, incarnation, meta, deadline, client_attempts, finished: false, attempts },
        );
        self.schedule(grace + TICK, Event::Deadline { request_id });
        if self.random.chance(0.05) {
            let leaves_after = self.random.below(grace.clamp(1, 300 * MILLISECOND));
            self.schedule(leaves_after, Event::ClientGone { request_id });
        }
    }

    /// The client goes away.
    fn abort(&mut self, request_id: u64) {
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        let alive = self.instances[request.instance_id as usize].incarnation == request.incarnation;
        if !alive || request.finished {
            return;
        }
        request.finished = true;
        let instance_id = request.instance_id;
        self.counts.add("client left".to_string(), 1);
        self.record(frames::aborted(instance_id, request_id));
    }

    // Actions.

    fn act(&mut self, instance_id: u32, action: Action) {
        let name = match &action {
            Action::SendCacheOnly { .. } => "send cache-only",
            Action::SendWithFill { .. } => "send with fill",
            Action::Cancel { .. } => "cancel",
            Action::Reject { retry_after: 0, .. } => "reject without retry-after",
            Action::Reject { .. } => "reject with retry-after",
            Action::Fail { .. } => "fail",
            Action::SetTimer { .. } => "timer",
            Action::Watch => "watch",
        };
        self.counts.add(format!("action {name}"), 1);
        let incarnation = self.instances[instance_id as usize].incarnation;
        match action {
            Action::SendCacheOnly { request_id, wait, server } => {
                self.attempt(request_id, wait, server, None);
            }
            Action::SendWithFill { request_id, wait, server, source, only_if_cached, retention_rank } => {
                self.attempt(request_id, wait, server, Some((source, only_if_cached, retention_rank)));
            }
            Action::Cancel { request_id, attempt } => self.cancel(request_id, attempt),
            Action::Reject { request_id, retry_after } => self.finish(request_id, Some(retry_after)),
            Action::Fail { request_id } => self.finish(request_id, None),
            Action::SetTimer { wait, cookie } => self.set_timer(instance_id, incarnation, wait, cookie),
            Action::Watch => {
                let delay = 20 * MILLISECOND + self.random.below(60 * MILLISECOND);
                self.schedule(delay, Event::WatchAnswer { instance_id, incarnation });
            }
        }
    }

    /// Timers of an instance beyond a few in one tick are left out: every timer that goes off is followed
    /// by another, and the files would hold little else.
    fn set_timer(&mut self, instance_id: u32, incarnation: u32, wait: u32, cookie: u32) {
        let due = (self.now + u64::from(wait.max(1))).div_ceil(TICK) * TICK;
        let timers = self.timers.entry((due, instance_id, incarnation)).or_default();
        *timers += 1;
        if *timers <= self.scenario.timers_per_tick {
            self.schedule(wait.into(), Event::Timer { instance_id, incarnation, cookie });
        }
    }

    /// The instance gave its final answer; some clients come back.
    fn finish(&mut self, request_id: u64, retry_after: Option<u32>) {
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        request.finished = true;
        let (instance_id, client_attempts, mut meta) =
            (request.instance_id, request.client_attempts + 1, request.meta);
        if client_attempts <= 3 && self.random.chance(0.7) {
            meta.flags = 2;
            let pause = 50 * MILLISECOND + u64::from(retry_after.unwrap_or(100_000));
            self.schedule(pause, Event::Retry { instance_id, meta, client_attempts });
        }
    }

    fn cancel(&mut self, request_id: u64, number: u16) {
        let index = self.requests[&request_id].attempts[usize::from(number)];
        if !self.attempts[index].streaming {
            self.schedule(TICK, Event::AttemptEnd { attempt: index, status: 70, detail: 0, first_byte: 0 });
        }
    }

    // Attempts.

    fn server(&self, address: Address) -> usize {
        let found = self.servers.iter().position(|server| server.entry.address == address);
        found.expect("server was listed")
    }

    fn attempt(
        &mut self,
        request_id: u64,
        wait: u32,
        server: Address,
        directives: Option<(Address, bool, u8)>,
    ) {
        let server = self.server(server);
        let source = directives.map(|(source, only_if_cached, _)| (self.server(source), only_if_cached));
        let keep = directives.is_some_and(|directives| directives.2 > 0);
        let attempt = self.attempts.len();
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        let number = request.attempts.len() as u16;
        request.attempts.push(attempt);
        let (meta, left) = (request.meta, request.deadline.saturating_sub(self.now));
        let over = request.finished;
        let sent = self.now;
        self.attempts.push(Attempt { request_id, number, server, sent, ended: false, streaming: false });
        self.servers[server].in_hand += 1;
        let mut ending = match over {
            true => Ending { status: 80, detail: 0, took: 0, first_byte: 0 },
            false => self.draw_ending(server, source, &meta, keep),
        };
        let limit = match wait {
            0 => left,
            wait => left.min(wait.into()),
        };
        if ending.took > limit {
            ending = Ending { status: 40, detail: 0, took: limit, first_byte: 0 };
        }
        self.counts.add(format!("status {:02}", ending.status), 1);
        let stream = self.scenario.settings.classes[usize::from(meta.class)].stream;
        if stream && ending.status == 10 {
            self.schedule(ending.took / 2, Event::StreamStart { attempt });
        }
        let Ending { status, detail, took, first_byte } = ending;
        self.schedule(took, Event::AttemptEnd { attempt, status, detail, first_byte });
    }

    fn draw_ending(
        &mut self,
        server: usize,
        source: Option<(usize, bool)>,
        meta: &RequestMeta,
        keep: bool,
    ) -> Ending {
        if self.random.chance(self.scenario.noise) {
            return self.random_ending();
        }
        let quick = 2 * MILLISECOND + self.random.below(8 * MILLISECOND);
        let end = |status, detail, took| Ending { status, detail, took, first_byte: 0 };
        let mut slowness = 1.0;
        match self.servers[server].condition {
            Condition::Slow(factor) => slowness = factor,
            Condition::Failing(share) if self.random.chance(share) => return end(20, 0, quick),
            Condition::Full(share) if self.random.chance(share) => return end(30, 0, quick),
            Condition::Healthy | Condition::Failing(_) | Condition::Full(_) => {}
            Condition::Hung => return end(10, 1, 100 * SECOND),
            Condition::Resetting => return end(60, 0, quick),
            Condition::Down => return end(50, 0, quick),
        }
        let sending = self.sending_time(server, meta) * slowness;
        let sending = quick + sending as u64;
        let runs_there = self.servers[server].entry.kind == ORIGIN_KIND;
        let held = self.random.chance(self.scenario.held_anyway);
        if runs_there || held || self.copies.contains(&(server, meta.object, meta.part)) {
            let detail = if runs_there { 3 } else { self.random.pick(&[1, 1, 1, 1, 4, 5]) };
            return end(10, detail, sending);
        }
        match source.filter(|(source, _)| *source != server) {
            None => end(90, self.random.pick(&[0, 0, 4]), quick),
            Some((source, only_if_cached)) => self.fill(server, source, only_if_cached, meta, keep, sending),
        }
    }

    /// How long the sending takes with what the server has in hand.
    fn sending_time(&mut self, server: usize, meta: &RequestMeta) -> f64 {
        let size_kb = 10.0 + (mixed(meta.object, meta.part) % 190) as f64;
        let alone = size_kb / self.scenario.settings.client_kb_per_s;
        let Server { entry, in_hand, .. } = &self.servers[server];
        let crowding = f64::from(*in_hand) / (8.0 * f64::from(entry.size));
        alone * crowding.max(1.0) * (0.9 + 0.2 * self.random.unit()) * SECOND as f64
    }

    /// The cache fills its miss from a source.
    fn fill(
        &mut self,
        server: usize,
        source: usize,
        only_if_cached: bool,
        meta: &RequestMeta,
        keep: bool,
        sending: u64,
    ) -> Ending {
        let quick = 4 * MILLISECOND + self.random.below(10 * MILLISECOND);
        let copy = (source, meta.object, meta.part);
        let at_origin = self.servers[source].entry.kind == ORIGIN_KIND;
        let far = at_origin || !self.copies.contains(&copy);
        if far && only_if_cached {
            return Ending { status: 90, detail: 8, took: quick, first_byte: quick };
        }
        let (mut failure, mut slowness) = (None, 1.0);
        let mut path = vec![source];
        if far && !at_origin {
            path.extend(self.targets(Target::Origin));
        }
        for server in path {
            let parent = server == source && !at_origin;
            let detail = |of_parent: u32| if parent { of_parent } else { 10 };
            match self.servers[server].condition {
                Condition::Slow(factor) => slowness *= factor,
                Condition::Failing(share) if self.random.chance(share) => failure = Some((20, detail(6))),
                Condition::Full(share) if self.random.chance(share) => failure = Some((30, detail(6))),
                Condition::Healthy | Condition::Failing(_) | Condition::Full(_) => {}
                Condition::Hung => slowness *= 1000.0,
                Condition::Resetting => failure = Some((20, detail(7))),
                Condition::Down => failure = Some((30, detail(7))),
            }
        }
        if let Some((status, detail)) = failure {
            return Ending { status, detail, took: quick, first_byte: quick };
        }
        let (in_hand, room, least) = match far {
            true => (self.origin_fills, 12.0, 60.0),
            false => (self.fills, 24.0, 15.0),
        };
        if f64::from(in_hand) > 6.0 * room {
            return Ending { status: 30, detail: 9, took: quick, first_byte: quick };
        }
        let waited = least * slowness * (f64::from(in_hand) / room).max(1.0) * (0.7 + self.random.unit());
        let first_byte = (waited * MILLISECOND as f64) as u64;
        self.fills += u32::from(!far);
        self.origin_fills += u32::from(far);
        if keep {
            self.copies.insert((server, meta.object, meta.part));
            self.copies.insert(copy);
        }
        Ending { status: 10, detail: if far { 3 } else { 2 }, took: sending + first_byte, first_byte }
    }

    /// An ending that nothing here accounts for.
    fn random_ending(&mut self) -> Ending {
        let status = self.random.pick(&[10, 20, 20, 30, 30, 40, 50, 60, 60, 70, 80, 90]);
        let details: &[u32] = match status {
            10 => &[0, 1, 2, 3, 4, 5],
            90 => &[0, 4, 8],
            _ => &[0, 0, 6, 7, 8, 9, 10],
        };
        let detail = self.random.pick(details);
        let took = 2 * MILLISECOND + self.random.below(200 * MILLISECOND);
        Ending { status, detail, took, first_byte: took / 2 }
    }

    fn start_stream(&mut self, index: usize) {
        let Attempt { request_id, number, server, sent, ended, .. } = self.attempts[index];
        let request = &self.requests[&request_id];
        let (instance_id, open) = (request.instance_id, !request.finished && !ended);
        if !open || !self.is_alive(instance_id, request.incarnation) {
            return;
        }
        self.attempts[index].streaming = true;
        self.requests.get_mut(&request_id).expect("request was sent").finished = true;
        let address = self.servers[server].entry.address;
        self.record(frames::streaming(instance_id, request_id, number, address, self.now - sent));
    }

    fn end_attempt(&mut self, index: usize, status: u8, detail: u32, first_byte: u64) {
        let Attempt { request_id, number, server, sent, ended, .. } = self.attempts[index];
        if ended {
            return;
        }
        self.attempts[index].ended = true;
        self.servers[server].in_hand -= 1;
        if status == 10 {
            self.fills -= u32::from(detail == 2 && self.fills > 0);
            self.origin_fills -= u32::from(detail == 3 && self.origin_fills > 0);
        }
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        request.finished |= status == 10;
        let (instance_id, incarnation, last) = (request.instance_id, request.incarnation, request.finished);
        if !self.is_alive(instance_id, incarnation) {
            return;
        }
        let (detail, first_byte) = match (self.scenario.settings.note_level, detail) {
            ("all", detail) => (detail, first_byte),
            ("hit", 3) => (2, 0),
            ("hit", detail @ (1 | 2 | 4 | 5)) => (detail, 0),
            _ => (0, 0),
        };
        self.counts.add(format!("detail {detail:02}"), 1);
        self.counts.add(format!("ended {status:02}"), 1);
        let server = self.servers[server].entry.address;
        let took = self.now - sent;
        let outcome = Outcome { attempt: number, server, status, detail, last, took, first_byte };
        self.record(frames::done(instance_id, request_id, &outcome));
    }
}

fn group_of(object: u64) -> u16 {
    1 + (object % 7) as u16
}

/// A number that belongs to a part of an object.
fn mixed(object: u64, part: u32) -> u64 {
    Random(object * 31 + u64::from(part)).next()
}
