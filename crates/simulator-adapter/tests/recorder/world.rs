//! A small simulated fleet in virtual time: clients, caches, parents, an origin and the discovery service.
//!
//! The fleet stands in for the simulator. The model is deliberately simple: its records must be valid on the
//! wire, realistic enough to exercise the router's state, and the same in every run.
//!
//! Times and durations are in microseconds, unless stated otherwise.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::frames::{self, Action, Address, Entry, Outcome, RequestMeta};
use super::scenarios::{Incident, Scenario, Target};
use super::settings::{CACHE_KIND, ORIGIN_KIND, PARENT_KIND};
use super::{Adapter, Counts};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// The time at which a scenario starts, an arbitrary value.
const START: u64 = 1_000 * SECOND;
/// The length of a tick: the time of each event is rounded up to a multiple of this.
const TICK: u64 = 2 * MILLISECOND;

/// A pseudo-random number generator (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns a number from 0 to `end`, exclusive.
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
    /// Takes this many times as long to answer.
    Slow(f64),
    /// Answers this share of requests with an error.
    Failing(f64),
    /// Rejects this share of requests as overloaded.
    Overloaded(f64),
    /// Accepts requests and never answers.
    Hung,
    /// Breaks the connection while a request is in flight.
    Resetting,
    /// Accepts no connections.
    Down,
}

struct Server {
    entry: Entry,
    condition: Condition,
    /// The number of attempts in flight.
    in_flight: u32,
}

struct Instance {
    zone: u8,
    /// The number of restarts.
    incarnation: u32,
    /// Whether the instance receives changes of the endpoint list.
    subscribed: bool,
    /// The entry that the instance was last sent for each server; `None` if it was sent none.
    last_sent: Vec<Option<Entry>>,
}

struct Attempt {
    request_id: u64,
    /// The index of the attempt within the request.
    number: u16,
    server: usize,
    sent_at: u64,
    ended: bool,
    streaming: bool,
}

struct Request {
    instance_id: u32,
    incarnation: u32,
    meta: RequestMeta,
    deadline: u64,
    /// How often the client sent the request before.
    client_attempts: u32,
    /// Whether the request has its final answer or its client disconnected.
    finished: bool,
    attempts: Vec<usize>,
}

/// How and when an attempt will end.
struct Ending {
    status: u8,
    detail: u32,
    took: u64,
    first_byte: u64,
}

/// An event that is scheduled for a later tick.
enum Event {
    Arrival,
    ClientRetry { instance_id: u32, meta: RequestMeta, client_attempts: u32 },
    ClientLeft { request_id: u64 },
    Deadline { request_id: u64 },
    StreamStart { attempt: usize },
    AttemptEnd { attempt: usize, status: u8, detail: u32, first_byte: u64 },
    Timer { instance_id: u32, incarnation: u32, cookie: u32 },
    ListChanges { instance_id: u32, incarnation: u32 },
    WatchAnswer { instance_id: u32, incarnation: u32 },
    Incident(Incident),
}

struct World {
    scenario: Scenario,
    random: Random,
    now: u64,
    sequence: u64,
    /// The scheduled events: the time and the key in `events`.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The number of timers that are due, by time, instance and incarnation.
    timers: BTreeMap<(u64, u32, u32), u32>,
    events: BTreeMap<u64, Event>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    requests: BTreeMap<u64, Request>,
    attempts: Vec<Attempt>,
    last_request_id: u64,
    /// Requests per second.
    rate: f64,
    /// The number of fills in flight from copies held by a source.
    fills: u32,
    /// The number of fills in flight from the origin.
    origin_fills: u32,
    /// The copies that servers hold: the server, the object and the part.
    copies: BTreeSet<(usize, u64, u32)>,
    /// The version of the endpoint list.
    version: u64,
    /// The time, object and group of each purge.
    purges: Vec<(u64, u64, u16)>,
    /// The records of the batch being built.
    records: Vec<Vec<u8>>,
    counts: Counts,
}

/// Runs a scenario against the binary and returns the counts of what occurred.
pub fn run(scenario: Scenario, adapter: &mut Adapter) -> Counts {
    let mut world = World::new(scenario);
    world.exchange(adapter);
    world.start_instances();
    world.exchange(adapter);
    world.schedule(TICK, Event::Arrival);
    for (at, incident) in world.scenario.incidents.clone() {
        world.schedule(at * MILLISECOND, Event::Incident(incident));
    }
    // Requests in flight get 8 more seconds to end. Timers may be due after that; they are left out.
    let end = START + world.scenario.duration * MILLISECOND + 8 * SECOND;
    while let Some(&Reverse((at, _))) = world.queue.peek().filter(|next| next.0.0 < end) {
        world.now = at;
        while let Some(&Reverse((_, key))) = world.queue.peek().filter(|next| next.0.0 == at) {
            world.queue.pop();
            let event = world.events.remove(&key).expect("event is scheduled");
            world.handle_event(event);
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
            last_request_id: 1 << 40,
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
        let capacity = match kind {
            CACHE_KIND => self.random.pick(&[1.0, 1.0, 2.0]),
            PARENT_KIND => 4.0,
            _ => 8.0,
        };
        let cell = u16::from(zone) * 10 + u16::from(number % 2);
        let entry = Entry { state: frames::READY, address, started_at: 0, zone, capacity, kind, cell };
        self.servers.push(Server { entry, condition: Condition::Healthy, in_flight: 0 });
    }

    /// Schedules an event, at the earliest for the next tick.
    fn schedule(&mut self, delay: u64, event: Event) {
        let at = (self.now + delay.max(1)).div_ceil(TICK) * TICK;
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Adds a record to the batch.
    fn record(&mut self, record: Vec<u8>) {
        self.counts.add(format!("event {:02}", record[0]), 1);
        self.records.push(record);
    }

    /// Sends the batch and reacts to the actions that come back.
    fn exchange(&mut self, adapter: &mut Adapter) {
        let records = std::mem::take(&mut self.records);
        let reply = adapter.exchange(&frames::batch(self.now, &records));
        for (instance_id, action) in frames::actions(&reply) {
            self.apply_action(instance_id, action);
        }
    }

    // Instances and discovery.

    fn start_instances(&mut self) {
        (0..self.instances.len() as u32).for_each(|instance_id| self.start_instance(instance_id));
    }

    /// Starts an instance and sends it the endpoint list and the recent purges.
    fn start_instance(&mut self, instance_id: u32) {
        let instance = &mut self.instances[instance_id as usize];
        instance.subscribed = self.scenario.settings.registry_mode == "pushed";
        let (seed, zone) = (self.random.next(), instance.zone);
        let settings = self.scenario.settings.json(zone);
        self.record(frames::instance_started(instance_id, seed, &settings));
        self.send_list(instance_id, frames::FULL_AT_START);
        let gone_everywhere = self.scenario.settings.gone_everywhere;
        for (at, object, group) in self.purges.clone() {
            if self.now - at < gone_everywhere {
                self.record(frames::purged(instance_id, object, group, self.now - at));
            }
        }
    }

    fn restart_instance(&mut self, instance_id: u32) {
        self.record(frames::instance_stopped(instance_id));
        self.instances[instance_id as usize].incarnation += 1;
        self.start_instance(instance_id);
    }

    /// Returns whether this incarnation of the instance is running.
    fn is_alive(&self, instance_id: u32, incarnation: u32) -> bool {
        self.instances[instance_id as usize].incarnation == incarnation
    }

    /// Sends the full list.
    fn send_list(&mut self, instance_id: u32, update_kind: u8) {
        let entries: Vec<Entry> = self.servers.iter().map(|server| server.entry).collect();
        self.instances[instance_id as usize].last_sent = entries.iter().copied().map(Some).collect();
        let listed: Vec<Entry> = entries.into_iter().filter(|entry| entry.state != frames::REMOVED).collect();
        self.record(frames::endpoints_changed(instance_id, update_kind, self.version, &listed));
    }

    /// Sends the entries that changed since they were last sent to the instance.
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
        self.record(frames::endpoints_changed(instance_id, frames::DELTA, self.version, &changed));
    }

    /// Increments the version of the list and schedules its changes for every instance.
    fn list_changed(&mut self) {
        self.version += 1;
        for instance_id in 0..self.instances.len() as u32 {
            let delay = 10 * MILLISECOND + self.random.below(150 * MILLISECOND);
            let incarnation = self.instances[instance_id as usize].incarnation;
            self.schedule(delay, Event::ListChanges { instance_id, incarnation });
        }
    }

    /// Answers the call of an instance to the discovery service.
    fn answer_watch(&mut self, instance_id: u32) {
        if self.random.chance(self.scenario.watch_failures) {
            return self.record(frames::endpoints_changed(instance_id, frames::FAILED, self.version, &[]));
        }
        self.instances[instance_id as usize].subscribed = true;
        match self.random.chance(0.3) {
            true => self.send_list(instance_id, frames::FULL),
            false => self.send_changes(instance_id),
        }
    }

    // Events.

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::ClientRetry { instance_id, meta, client_attempts } => {
                self.send_request(instance_id, meta, client_attempts);
            }
            Event::ClientLeft { request_id } | Event::Deadline { request_id } => self.abandon(request_id),
            Event::StreamStart { attempt } => self.start_stream(attempt),
            Event::AttemptEnd { attempt, status, detail, first_byte } => {
                self.end_attempt(attempt, status, detail, first_byte);
            }
            Event::Timer { instance_id, incarnation, cookie } if self.is_alive(instance_id, incarnation) => {
                self.record(frames::timer_fired(instance_id, cookie));
            }
            Event::ListChanges { instance_id, incarnation } if self.is_alive(instance_id, incarnation) => {
                if self.instances[instance_id as usize].subscribed {
                    self.send_changes(instance_id);
                }
            }
            Event::WatchAnswer { instance_id, incarnation } if self.is_alive(instance_id, incarnation) => {
                self.answer_watch(instance_id);
            }
            Event::Timer { .. } | Event::ListChanges { .. } | Event::WatchAnswer { .. } => {}
            Event::Incident(incident) => self.apply_incident(incident),
        }
    }

    fn apply_incident(&mut self, incident: Incident) {
        match incident {
            Incident::Condition(target, condition) => {
                for server in self.targets(target) {
                    self.servers[server].condition = condition;
                }
            }
            Incident::State(target, state) => {
                self.change_entries(target, |entry| entry.state = state);
            }
            Incident::Capacity(target, value) => self.change_entries(target, |entry| entry.capacity = value),
            Incident::Restart(target) => self.restart_servers(target),
            Incident::Replace(target) => {
                for server in self.targets(target) {
                    let entry = self.servers[server].entry;
                    self.servers[server].entry.state = frames::REMOVED;
                    self.servers[server].condition = Condition::Down;
                    self.add_server(entry.kind, entry.zone);
                    let added = self.servers.last_mut().expect("server was added");
                    added.entry.started_at = self.now;
                }
                self.list_changed();
            }
            Incident::FullList => {
                self.version += 1;
                (0..self.instances.len() as u32)
                    .for_each(|instance_id| self.send_list(instance_id, frames::FULL));
            }
            Incident::SubscriptionLost(instance_id) => {
                self.instances[instance_id as usize].subscribed = false;
                self.record(frames::endpoints_changed(instance_id, frames::FAILED, self.version, &[]));
            }
            Incident::PurgeObject(object) => self.purge(object, 0),
            Incident::PurgeGroup(group) => self.purge(0, group),
            Incident::Rate(rate) => self.rate = rate,
            Incident::RestartInstance(instance_id) => self.restart_instance(instance_id),
            Incident::UnknownClass(instance_id) => {
                let mut meta = self.draw_request();
                meta.class = self.scenario.settings.classes.len() as u16;
                self.send_request(instance_id, meta, 9);
            }
            Incident::IgnoredRecords(instance_id) => {
                let server = self.servers[0].entry.address;
                self.record(frames::health_checked(instance_id, server, 10, 700));
                self.record(frames::health_checked(instance_id, server, 50, 400_000));
                self.record(frames::peer_message(instance_id, 1, b"load 3"));
            }
        }
    }

    /// Returns the indices of the listed servers that the target selects.
    fn targets(&self, target: Target) -> Vec<usize> {
        let listed = |kind: u8, zone: u8| -> Vec<usize> {
            let servers = self.servers.iter().enumerate();
            let matching = servers.filter(|(_, server)| {
                let entry = server.entry;
                entry.kind == kind && entry.zone == zone && entry.state != frames::REMOVED
            });
            matching.map(|(index, _)| index).collect()
        };
        match target {
            Target::Cache(zone, nth) => listed(CACHE_KIND, zone).get(nth).copied().into_iter().collect(),
            Target::Caches(zone) => listed(CACHE_KIND, zone),
            Target::Parent(nth) => listed(PARENT_KIND, 0).get(nth).copied().into_iter().collect(),
            Target::Parents => listed(PARENT_KIND, 0),
            Target::Origin => listed(ORIGIN_KIND, 0),
        }
    }

    /// Changes the entries of the target servers and publishes the list.
    fn change_entries(&mut self, target: Target, change: impl Fn(&mut Entry)) {
        for server in self.targets(target) {
            change(&mut self.servers[server].entry);
        }
        self.list_changed();
    }

    fn restart_servers(&mut self, target: Target) {
        let now = self.now;
        for index in self.targets(target) {
            let server = &mut self.servers[index];
            server.entry.started_at = now;
            server.entry.state = frames::READY;
            server.condition = Condition::Healthy;
            self.copies.retain(|copy| copy.0 != index);
        }
        self.list_changed();
    }

    /// Purges an object or, if `object` is 0, a group.
    fn purge(&mut self, object: u64, group: u16) {
        self.purges.push((self.now, object, group));
        self.copies.retain(|copy| match object {
            0 => group_of(copy.1) != group,
            object => copy.1 != object,
        });
        for instance_id in 0..self.instances.len() as u32 {
            let ago = self.random.below(20 * MILLISECOND);
            self.record(frames::purged(instance_id, object, group, ago));
        }
    }

    // Clients.

    /// Sends a new request and schedules the next arrival.
    fn handle_arrival(&mut self) {
        if self.now >= START + self.scenario.duration * MILLISECOND {
            return;
        }
        let meta = self.draw_request();
        let instance_id = self.random.below(self.instances.len() as u64) as u32;
        self.send_request(instance_id, meta, 0);
        let gap = -(1.0 - self.random.unit()).ln() / self.rate;
        self.schedule((gap * SECOND as f64) as u64, Event::Arrival);
    }

    /// Returns a random request.
    fn draw_request(&mut self) -> RequestMeta {
        // A few objects are requested much more often than the others.
        let object = 1 + (self.random.unit().powi(3) * self.scenario.objects as f64) as u64;
        let part = self.random.below(2) as u32;
        let size_kb = match self.scenario.response_sizes_known {
            true => 10.0 + (part_hash(object, part) % 190) as f32,
            false => 0.0,
        };
        RequestMeta { object, part, group: group_of(object), class: self.draw_class(), size_kb, flags: 0 }
    }

    fn draw_class(&mut self) -> u16 {
        let classes = &self.scenario.settings.classes;
        let mut remaining = self.random.unit() * classes.iter().map(|class| class.share).sum::<f64>();
        for (number, class) in classes.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return number as u16;
            }
        }
        0
    }

    /// Sends a request of a client to an instance.
    fn send_request(&mut self, instance_id: u32, meta: RequestMeta, client_attempts: u32) {
        self.last_request_id += 1 + self.random.below(5);
        let request_id = self.last_request_id;
        let classes = &self.scenario.settings.classes;
        let class_deadline = classes.get(usize::from(meta.class)).map_or(SECOND, |class| class.deadline);
        let time_remaining = match self.random.chance(0.02) {
            true => self.random.below(30 * MILLISECOND),
            false => class_deadline / (1 + u64::from(client_attempts.min(2))),
        };
        self.record(frames::request_received(instance_id, request_id, &meta, time_remaining));
        let incarnation = self.instances[instance_id as usize].incarnation;
        let (deadline, attempts) = (self.now + time_remaining, Vec::new());
        self.requests.insert(
            request_id,
            Request { instance_id, incarnation, meta, deadline, client_attempts, finished: false, attempts },
        );
        self.schedule(time_remaining + TICK, Event::Deadline { request_id });
        if self.random.chance(0.05) {
            let delay = self.random.below(time_remaining.clamp(1, 300 * MILLISECOND));
            self.schedule(delay, Event::ClientLeft { request_id });
        }
    }

    /// Handles a client that disconnects, at its deadline or before.
    fn abandon(&mut self, request_id: u64) {
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        let is_alive = self.instances[request.instance_id as usize].incarnation == request.incarnation;
        if !is_alive || request.finished {
            return;
        }
        request.finished = true;
        let instance_id = request.instance_id;
        self.counts.add("client disconnected".to_string(), 1);
        self.record(frames::request_abandoned(instance_id, request_id));
    }

    // Actions.

    /// Carries out an action of an instance.
    fn apply_action(&mut self, instance_id: u32, action: Action) {
        let name = match &action {
            Action::SendCacheOnly { .. } => "send cache-only",
            Action::SendWithFill { .. } => "send with fill",
            Action::Cancel { .. } => "cancel",
            Action::Reject { retry_after: 0, .. } => "reject without retry-after",
            Action::Reject { .. } => "reject with retry-after",
            Action::Fail { .. } => "fail",
            Action::SetTimer { .. } => "timer",
            Action::WatchEndpoints => "watch",
        };
        self.counts.add(format!("action {name}"), 1);
        let incarnation = self.instances[instance_id as usize].incarnation;
        match action {
            Action::SendCacheOnly { request_id, timeout, server } => {
                self.start_attempt(request_id, timeout, server, None);
            }
            Action::SendWithFill { request_id, timeout, server, source, only_if_cached, retention_rank } => {
                self.start_attempt(
                    request_id,
                    timeout,
                    server,
                    Some((source, only_if_cached, retention_rank)),
                );
            }
            Action::Cancel { request_id, attempt } => self.cancel_attempt(request_id, attempt),
            Action::Reject { request_id, retry_after } => self.finish_request(request_id, Some(retry_after)),
            Action::Fail { request_id } => self.finish_request(request_id, None),
            Action::SetTimer { wait, cookie } => self.set_timer(instance_id, incarnation, wait, cookie),
            Action::WatchEndpoints => {
                let delay = 20 * MILLISECOND + self.random.below(60 * MILLISECOND);
                self.schedule(delay, Event::WatchAnswer { instance_id, incarnation });
            }
        }
    }

    /// Schedules a timer, unless the instance already has `timers_per_tick` timers in the same tick.
    ///
    /// The limit keeps the files small: the router sets a new timer each time one fires, so without the limit
    /// the files would consist almost entirely of timers.
    fn set_timer(&mut self, instance_id: u32, incarnation: u32, wait: u32, cookie: u32) {
        let due = (self.now + u64::from(wait.max(1))).div_ceil(TICK) * TICK;
        let timers = self.timers.entry((due, instance_id, incarnation)).or_default();
        *timers += 1;
        if *timers <= self.scenario.timers_per_tick {
            self.schedule(wait.into(), Event::Timer { instance_id, incarnation, cookie });
        }
    }

    /// Handles the rejection or failure of a request. Some clients retry.
    fn finish_request(&mut self, request_id: u64, retry_after: Option<u32>) {
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        request.finished = true;
        let (instance_id, client_attempts, mut meta) =
            (request.instance_id, request.client_attempts + 1, request.meta);
        if client_attempts <= 3 && self.random.chance(0.7) {
            meta.flags = 2;
            let delay = 50 * MILLISECOND + u64::from(retry_after.unwrap_or(100_000));
            self.schedule(delay, Event::ClientRetry { instance_id, meta, client_attempts });
        }
    }

    fn cancel_attempt(&mut self, request_id: u64, number: u16) {
        let index = self.requests[&request_id].attempts[usize::from(number)];
        if !self.attempts[index].streaming {
            self.schedule(TICK, Event::AttemptEnd { attempt: index, status: 70, detail: 0, first_byte: 0 });
        }
    }

    // Attempts.

    /// Returns the index of the server with this address.
    fn server_index(&self, address: Address) -> usize {
        let found = self.servers.iter().position(|server| server.entry.address == address);
        found.expect("server was listed")
    }

    /// Starts an attempt and schedules its end. The directives are the source, whether the source may answer
    /// only from its copies, and the retention rank.
    fn start_attempt(
        &mut self,
        request_id: u64,
        timeout: u32,
        server: Address,
        directives: Option<(Address, bool, u8)>,
    ) {
        let server = self.server_index(server);
        let source =
            directives.map(|(source, only_if_cached, _)| (self.server_index(source), only_if_cached));
        let retain = directives.is_some_and(|directives| directives.2 > 0);
        let attempt = self.attempts.len();
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        let number = request.attempts.len() as u16;
        request.attempts.push(attempt);
        let (meta, time_left) = (request.meta, request.deadline.saturating_sub(self.now));
        let already_finished = request.finished;
        let sent_at = self.now;
        self.attempts.push(Attempt { request_id, number, server, sent_at, ended: false, streaming: false });
        self.servers[server].in_flight += 1;
        let mut ending = match already_finished {
            true => Ending { status: 80, detail: 0, took: 0, first_byte: 0 },
            false => self.draw_ending(server, source, &meta, retain),
        };
        let limit = match timeout {
            0 => time_left,
            timeout => time_left.min(timeout.into()),
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

    /// Returns how an attempt ends, from the condition and the copies of the server.
    fn draw_ending(
        &mut self,
        server: usize,
        source: Option<(usize, bool)>,
        meta: &RequestMeta,
        retain: bool,
    ) -> Ending {
        if self.random.chance(self.scenario.noise) {
            return self.random_ending();
        }
        let delay = 2 * MILLISECOND + self.random.below(8 * MILLISECOND);
        let ending = |status, detail, took| Ending { status, detail, took, first_byte: 0 };
        let mut slowness = 1.0;
        match self.servers[server].condition {
            Condition::Slow(factor) => slowness = factor,
            Condition::Failing(share) if self.random.chance(share) => return ending(20, 0, delay),
            Condition::Overloaded(share) if self.random.chance(share) => return ending(30, 0, delay),
            Condition::Healthy | Condition::Failing(_) | Condition::Overloaded(_) => {}
            Condition::Hung => return ending(10, 1, 100 * SECOND),
            Condition::Resetting => return ending(60, 0, delay),
            Condition::Down => return ending(50, 0, delay),
        }
        let took = self.transfer_time(server, meta) * slowness;
        let took = delay + took as u64;
        let is_origin = self.servers[server].entry.kind == ORIGIN_KIND;
        let is_extra_hit = self.random.chance(self.scenario.extra_hits);
        if is_origin || is_extra_hit || self.copies.contains(&(server, meta.object, meta.part)) {
            let detail = if is_origin { 3 } else { self.random.pick(&[1, 1, 1, 1, 4, 5]) };
            return ending(10, detail, took);
        }
        match source.filter(|(source, _)| *source != server) {
            None => ending(90, self.random.pick(&[0, 0, 4]), delay),
            Some((source, only_if_cached)) => self.fill(server, source, only_if_cached, meta, retain, took),
        }
    }

    /// Returns how long sending the response takes, given the attempts in flight at the server.
    fn transfer_time(&mut self, server: usize, meta: &RequestMeta) -> f64 {
        let size_kb = 10.0 + (part_hash(meta.object, meta.part) % 190) as f64;
        let uncontended_s = size_kb / self.scenario.settings.client_kb_per_s;
        let Server { entry, in_flight, .. } = &self.servers[server];
        let contention = f64::from(*in_flight) / (8.0 * f64::from(entry.capacity));
        uncontended_s * contention.max(1.0) * (0.9 + 0.2 * self.random.unit()) * SECOND as f64
    }

    /// Fills a miss of a server from a source and returns how the attempt ends.
    ///
    /// `transfer_time` is how long the attempt takes apart from the fill.
    fn fill(
        &mut self,
        server: usize,
        source: usize,
        only_if_cached: bool,
        meta: &RequestMeta,
        retain: bool,
        transfer_time: u64,
    ) -> Ending {
        let delay = 4 * MILLISECOND + self.random.below(10 * MILLISECOND);
        let copy = (source, meta.object, meta.part);
        let source_is_origin = self.servers[source].entry.kind == ORIGIN_KIND;
        let needs_origin = source_is_origin || !self.copies.contains(&copy);
        if needs_origin && only_if_cached {
            return Ending { status: 90, detail: 8, took: delay, first_byte: delay };
        }
        let (mut failure, mut slowness) = (None, 1.0);
        let mut path = vec![source];
        if needs_origin && !source_is_origin {
            path.extend(self.targets(Target::Origin));
        }
        for server in path {
            let is_parent = server == source && !source_is_origin;
            let detail = |parent_detail: u32| if is_parent { parent_detail } else { 10 };
            match self.servers[server].condition {
                Condition::Slow(factor) => slowness *= factor,
                Condition::Failing(share) if self.random.chance(share) => failure = Some((20, detail(6))),
                Condition::Overloaded(share) if self.random.chance(share) => failure = Some((30, detail(6))),
                Condition::Healthy | Condition::Failing(_) | Condition::Overloaded(_) => {}
                Condition::Hung => slowness *= 1000.0,
                Condition::Resetting => failure = Some((20, detail(7))),
                Condition::Down => failure = Some((30, detail(7))),
            }
        }
        if let Some((status, detail)) = failure {
            return Ending { status, detail, took: delay, first_byte: delay };
        }
        let (in_flight, slots, base_ms) = match needs_origin {
            true => (self.origin_fills, 12.0, 60.0),
            false => (self.fills, 24.0, 15.0),
        };
        if f64::from(in_flight) > 6.0 * slots {
            return Ending { status: 30, detail: 9, took: delay, first_byte: delay };
        }
        let first_byte_ms =
            base_ms * slowness * (f64::from(in_flight) / slots).max(1.0) * (0.7 + self.random.unit());
        let first_byte = (first_byte_ms * MILLISECOND as f64) as u64;
        self.fills += u32::from(!needs_origin);
        self.origin_fills += u32::from(needs_origin);
        if retain {
            self.copies.insert((server, meta.object, meta.part));
            self.copies.insert(copy);
        }
        Ending {
            status: 10,
            detail: if needs_origin { 3 } else { 2 },
            took: transfer_time + first_byte,
            first_byte,
        }
    }

    /// Returns a random ending, independent of the state of the fleet.
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

    /// Reports that the response of a request is being streamed, which finishes the request.
    fn start_stream(&mut self, index: usize) {
        let Attempt { request_id, number, server, sent_at, ended, .. } = self.attempts[index];
        let request = &self.requests[&request_id];
        let (instance_id, is_open) = (request.instance_id, !request.finished && !ended);
        if !is_open || !self.is_alive(instance_id, request.incarnation) {
            return;
        }
        self.attempts[index].streaming = true;
        self.requests.get_mut(&request_id).expect("request was sent").finished = true;
        let address = self.servers[server].entry.address;
        self.record(frames::streaming_started(instance_id, request_id, number, address, self.now - sent_at));
    }

    /// Ends an attempt and reports its end, with as much detail as `note_level` allows.
    fn end_attempt(&mut self, index: usize, status: u8, detail: u32, first_byte: u64) {
        let Attempt { request_id, number, server, sent_at, ended, .. } = self.attempts[index];
        if ended {
            return;
        }
        self.attempts[index].ended = true;
        self.servers[server].in_flight -= 1;
        if status == 10 {
            self.fills -= u32::from(detail == 2 && self.fills > 0);
            self.origin_fills -= u32::from(detail == 3 && self.origin_fills > 0);
        }
        let request = self.requests.get_mut(&request_id).expect("request was sent");
        request.finished |= status == 10;
        let (instance_id, incarnation, is_last) =
            (request.instance_id, request.incarnation, request.finished);
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
        let took = self.now - sent_at;
        let outcome = Outcome { attempt: number, server, status, detail, is_last, took, first_byte };
        self.record(frames::attempt_ended(instance_id, request_id, &outcome));
    }
}

/// Returns the purge group of an object.
fn group_of(object: u64) -> u16 {
    1 + (object % 7) as u16
}

/// Returns a pseudo-random number that depends only on the object and the part.
fn part_hash(object: u64, part: u32) -> u64 {
    Random(object * 31 + u64::from(part)).next()
}
