//! When the watch begins connections to the change stream and gives them up, in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tindoor_discovery::{ConnectionId, ConnectionSchedule, ScheduleLimits};

/// The limits of the router.
const LIMITS: ScheduleLimits = ScheduleLimits {
    max_connections: 3,
    connect_patience: Duration::from_secs(1),
    silence_patience: Duration::from_millis(1800),
    line_patience: Duration::from_millis(2500),
    max_patience: Duration::from_millis(3500),
    pause: Duration::from_millis(100),
    max_pause: Duration::from_millis(250),
    stable_after: Duration::from_secs(1),
};
/// The longest time between two connections while none is answered.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
const HEARTBEAT: Duration = Duration::from_secs(1);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A schedule in simulated time that begins a connection whenever one is due.
struct Simulation {
    start: Instant,
    now: Instant,
    schedule: ConnectionSchedule,
    random: Pcg32,
    /// When each open connection began.
    open: BTreeMap<ConnectionId, Instant>,
    /// When each connection began, of all that ever did.
    begun: Vec<(ConnectionId, Instant)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            schedule: ConnectionSchedule::new(LIMITS, start),
            random: Pcg32::seed_from_u64(seed),
            open: BTreeMap::new(),
            begun: Vec::new(),
        }
    }

    /// Advances to the next connection and begins it.
    fn begin_next(&mut self) -> ConnectionId {
        self.now = self.now.max(self.schedule.next_attempt());
        self.begin_due().expect("a connection is due")
    }

    /// Begins a connection if one is due; it is established at once.
    fn begin_due(&mut self) -> Option<ConnectionId> {
        let id = self.connect_due()?;
        self.schedule.subscribed(id, self.now);
        Some(id)
    }

    /// Begins a connection if one is due, and leaves it connecting.
    fn connect_due(&mut self) -> Option<ConnectionId> {
        if self.now < self.schedule.next_attempt() {
            return None;
        }
        let attempt = self.schedule.begin(self.now, self.random.random());
        if let Some(gives_way) = attempt.gives_way {
            self.open.remove(&gives_way).expect("an open connection gives way");
        }
        self.open.insert(attempt.id, self.now);
        self.begun.push((attempt.id, self.now));
        assert!(self.open.len() <= LIMITS.max_connections);
        Some(attempt.id)
    }

    fn receive_line(&mut self, id: ConnectionId) {
        for superseded in self.schedule.received_line(id, self.now) {
            self.open.remove(&superseded).expect("an open connection is superseded");
        }
    }

    fn end(&mut self, id: ConnectionId) {
        self.open.remove(&id).expect("the connection is open");
        self.schedule.ended(id, self.now);
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Runs until the server answers one of the connections, and returns when. `answered_after` is the time
    /// from the begin of a connection to its answer, or `None` if it is never answered.
    fn run_until_answered(&mut self, answered_after: impl Fn(Instant) -> Option<Duration>) -> Duration {
        loop {
            let answers =
                self.open.iter().filter_map(|(id, begun)| Some((*begun + answered_after(*begun)?, *id)));
            let next_answer = answers.min();
            let due = self.schedule.next_attempt();
            match next_answer {
                Some((at, id)) if at <= due => {
                    self.now = self.now.max(at);
                    self.receive_line(id);
                    return self.elapsed();
                }
                _ => {
                    self.now = due;
                    self.begin_due();
                }
            }
            assert!(self.elapsed() < Duration::from_secs(100_000), "never answered");
        }
    }

    /// Follows a regular stream on this connection for a time.
    fn follow(&mut self, id: ConnectionId, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.receive_line(id);
            self.now += HEARTBEAT;
            assert!(self.now < self.schedule.next_attempt(), "a regular stream causes no connection");
        }
        self.receive_line(id);
    }
}

/// Guards against giving up a slow server: the watch hung up after 1.8 s and asked anew without end.
#[test]
fn a_server_that_answers_late_is_heard_on_the_first_connection_however_late() {
    for late_ms in [10, 1700, 2200, 4100, 9000, 60_000, 600_000] {
        let mut simulation = Simulation::new(late_ms);
        simulation.begin_next();
        let heard = simulation.run_until_answered(|_| Some(millis(late_ms)));
        assert_eq!(heard, millis(late_ms));
        assert_eq!(simulation.open.len(), 1, "the others are closed");
    }
}

/// Guards against waiting for good on a server that is gone: only connections that begin later are answered.
#[test]
fn a_server_that_was_replaced_is_heard_within_the_limits() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed);
        let replaced_after = millis(seed * 450);
        let replaced_at = simulation.start + replaced_after;
        let heard = simulation.run_until_answered(|begun| (begun >= replaced_at).then_some(millis(10)));
        assert!(heard <= replaced_after + MAX_INTERVAL + millis(10), "{heard:?} after {replaced_after:?}");
    }
}

/// As above, and the server that replaced it is slow: none of the connections that are tried may be given up too
/// early each time.
#[test]
fn a_slow_server_that_replaced_another_is_heard_in_the_end() {
    for late_ms in [2000, 5000, 10_000, 30_000, 120_000] {
        for seed in 0..20 {
            let mut simulation = Simulation::new(seed);
            let replaced_at = simulation.start + millis(100 + seed * 700);
            let heard =
                simulation.run_until_answered(|begun| (begun >= replaced_at).then_some(millis(late_ms)));
            let limit = millis(20_000 + late_ms * 6);
            assert!(heard <= limit, "{heard:?} with answers after {late_ms} ms");
        }
    }
}

#[test]
fn a_silent_server_is_asked_as_soon_as_ever_at_first_and_then_more_rarely() {
    let mut simulation = Simulation::new(1);
    for _ in 0..40 {
        simulation.begin_next();
    }
    let intervals: Vec<_> = simulation.begun.windows(2).map(|pair| pair[1].1 - pair[0].1).collect();
    let first = millis(1900)..=millis(2000);
    assert!(first.contains(&intervals[0]) && first.contains(&intervals[1]), "{intervals:?}");
    assert!(intervals[..3].iter().sum::<Duration>() <= millis(6300), "{intervals:?}");
    let late = millis(3750)..=MAX_INTERVAL;
    assert!(intervals[6..].iter().all(|interval| late.contains(interval)), "{intervals:?}");
    let distinct: std::collections::HashSet<_> = intervals[6..].iter().collect();
    assert!(distinct.len() > 10, "jitter spreads the routers out");
}

#[test]
fn the_oldest_connection_is_kept_while_newer_ones_give_way() {
    let mut simulation = Simulation::new(2);
    let first = simulation.begin_next();
    for _ in 0..100 {
        simulation.begin_next();
        assert!(simulation.open.contains_key(&first));
    }
    assert_eq!(simulation.open.len(), LIMITS.max_connections);
}

#[test]
fn a_connect_that_hangs_does_not_hold_up_the_next() {
    let mut simulation = Simulation::new(3);
    let first = simulation.connect_due().unwrap();
    simulation.now = simulation.schedule.next_attempt();
    assert!(simulation.elapsed() <= millis(1200));
    let second = simulation.begin_due().unwrap();
    simulation.now += millis(100);
    // The first connect succeeds after all; the server answers on the second connection.
    simulation.schedule.subscribed(first, simulation.now);
    simulation.receive_line(second);
    assert!(!simulation.schedule.is_open(first));
    // An answer that arrives on the first connection now has no effect.
    let due = simulation.schedule.next_attempt();
    assert_eq!(simulation.schedule.received_line(first, simulation.now), []);
    assert!(simulation.schedule.is_open(second));
    assert_eq!(simulation.schedule.next_attempt(), due);
}

#[test]
fn refused_connects_are_repeated_soon_and_ever_more_rarely_up_to_half_a_second() {
    let mut simulation = Simulation::new(4);
    let mut pauses = Vec::new();
    for _ in 0..50 {
        let id = simulation.begin_next();
        simulation.end(id);
        pauses.push(simulation.schedule.next_attempt() - simulation.now);
    }
    assert!(pauses[..2].iter().all(|pause| (millis(100)..=millis(200)).contains(pause)), "{pauses:?}");
    assert!(pauses[2..].iter().all(|pause| (millis(200)..=millis(500)).contains(pause)), "{pauses:?}");
    assert!(pauses[4..].iter().all(|pause| *pause >= millis(250)), "{pauses:?}");
}

#[test]
fn a_break_after_regular_lines_is_followed_by_a_connection_at_once_whatever_came_before() {
    let mut simulation = Simulation::new(5);
    for _ in 0..10 {
        let id = simulation.begin_next();
        simulation.end(id);
    }
    let id = simulation.begin_next();
    simulation.follow(id, Duration::from_secs(3));
    simulation.end(id);
    let pause = simulation.schedule.next_attempt() - simulation.now;
    assert!(pause <= millis(200), "{pause:?}");
}

#[test]
fn a_server_that_breaks_off_after_each_first_line_is_asked_more_rarely() {
    let mut simulation = Simulation::new(6);
    for _ in 0..10 {
        let id = simulation.begin_next();
        simulation.receive_line(id);
        simulation.end(id);
    }
    assert!(simulation.schedule.next_attempt() - simulation.now >= millis(250));
}

#[test]
fn a_stream_that_falls_silent_is_waited_for_and_left_once_another_connection_tells_more() {
    let mut simulation = Simulation::new(7);
    let stream = simulation.begin_next();
    simulation.follow(stream, Duration::from_secs(5));
    let silent_since = simulation.now;
    let second = simulation.begin_next();
    assert!(simulation.now - silent_since <= millis(2000));
    assert!(simulation.schedule.is_open(stream), "it may only be slow");
    simulation.receive_line(second);
    assert!(!simulation.schedule.is_open(stream));
}

#[test]
fn lines_that_come_slowly_cause_few_further_connections() {
    let mut simulation = Simulation::new(8);
    let stream = simulation.begin_next();
    simulation.follow(stream, Duration::from_secs(5));
    // A line each 2.4 s, longer than the patience with a silent stream.
    for _ in 0..100 {
        let next_line = simulation.now + millis(2400);
        while simulation.schedule.next_attempt() <= next_line {
            simulation.begin_next();
        }
        simulation.now = next_line;
        simulation.receive_line(stream);
    }
    assert!(simulation.begun.len() <= 6, "{}", simulation.begun.len());
    assert!(simulation.schedule.is_open(stream));
}

#[test]
fn a_line_in_pieces_is_waited_for_but_bytes_that_make_no_line_do_not_hold_up_the_next_connection() {
    let mut simulation = Simulation::new(9);
    let id = simulation.begin_next();
    while simulation.begun.len() < 2 && simulation.elapsed() < Duration::from_secs(10) {
        simulation.now += millis(100);
        if simulation.begin_due().is_none() {
            simulation.schedule.received_part(id, simulation.now);
        }
    }
    assert!((millis(2500)..=millis(2800)).contains(&simulation.elapsed()), "{:?}", simulation.elapsed());
    assert!(simulation.schedule.is_open(id), "its line may still become complete");
    simulation.receive_line(id);
    assert_eq!(simulation.open.len(), 1);
}

/// A server of the change stream that serves subscriptions in turn, also those that their router has closed.
struct ServerInTurn {
    queue: VecDeque<(usize, ConnectionId)>,
    service_time: Duration,
    /// When the subscription at the front of the queue will have been served.
    done_at: Option<Instant>,
    calls: usize,
}

impl ServerInTurn {
    /// Adds a subscription to the queue.
    fn accept(&mut self, now: Instant, router: usize, id: ConnectionId) {
        self.calls += 1;
        self.queue.push_back((router, id));
        self.done_at.get_or_insert(now + self.service_time);
    }

    /// Returns the subscription that was served by now, if any.
    fn take_served(&mut self, now: Instant) -> Option<(usize, ConnectionId)> {
        if self.done_at.is_none_or(|done_at| done_at > now) {
            return None;
        }
        let served = self.queue.pop_front();
        self.done_at = (!self.queue.is_empty()).then(|| now + self.service_time);
        served
    }
}

/// Guards against routers that keep a crowded server crowded: of twenty that were moved at once, eight were heard
/// within 30 s, after 200 calls.
#[test]
fn routers_that_subscribe_all_at_once_to_a_server_that_serves_in_turn_are_all_heard() {
    for (routers, service_time) in [(20, millis(200)), (20, millis(1000)), (300, millis(100))] {
        let mut watches: Vec<_> = (0..routers).map(|index| Simulation::new(index as u64)).collect();
        let start = watches[0].now;
        watches.iter_mut().for_each(|watch| watch.schedule = ConnectionSchedule::new(LIMITS, start));
        let mut server = ServerInTurn { queue: VecDeque::new(), service_time, done_at: None, calls: 0 };
        let mut heard = vec![false; routers];
        let mut now = start;
        while heard.contains(&false) {
            for (router, watch) in watches.iter_mut().enumerate().filter(|(router, _)| !heard[*router]) {
                watch.now = now;
                if let Some(id) = watch.begin_due() {
                    server.accept(now, router, id);
                }
            }
            if let Some((router, id)) = server.take_served(now)
                && watches[router].open.contains_key(&id)
            {
                watches[router].receive_line(id);
                heard[router] = true;
            }
            now += millis(10);
        }
        let work = service_time * routers as u32;
        assert!(now - start <= work + work / 10, "{:?} for {work:?} of work", now - start);
        let allowed: usize = (1..=routers).map(|place| max_subscriptions(service_time * place as u32)).sum();
        assert!(server.calls <= allowed, "{} calls of {routers} routers, {allowed} allowed", server.calls);
    }
}

/// Returns how often a router may have subscribed when it is answered after this time: each 1.9 s for the first
/// three intervals, and each 2.6 s at most from then on.
fn max_subscriptions(wait: Duration) -> usize {
    let wait_ms = wait.as_millis() as usize;
    1 + wait_ms.min(5700) / 1900 + wait_ms.saturating_sub(5700) / 2600
}
