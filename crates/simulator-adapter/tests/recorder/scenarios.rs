//! The scenarios that are recorded: for each the settings, the fleet, and what happens to it.

use super::frames::{DRAINING, GONE, READY};
use super::settings::{Class, PLAIN_CLASS, Settings};
use super::world::Condition;

/// Which servers something happens to.
#[derive(Clone, Copy)]
pub enum Target {
    /// By zone, and place among those present there.
    Cache(u8, usize),
    Caches(u8),
    Parent(usize),
    Parents,
    Origin,
}

#[derive(Clone, Copy)]
pub enum Incident {
    Condition(Target, Condition),
    State(Target, u8),
    Size(Target, f32),
    /// Healthy again, ready, empty, with a new start time.
    Restart(Target),
    /// Gone, with a new one of its kind in its place.
    Replace(Target),
    WholeList,
    SubscriptionLost(u32),
    PurgeObject(u64),
    PurgeGroup(u16),
    /// Requests per second from now on.
    Rate(f64),
    RestartInstance(u32),
    /// A request whose class is out of range.
    UnknownClass(u32),
    /// Records that need no reaction: answers to health checks, and a message from a peer.
    SideNews(u32),
}

#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub settings: Settings,
    /// The zone of each instance.
    pub zones: Vec<u8>,
    pub caches_per_zone: usize,
    pub parents: usize,
    /// Milliseconds.
    pub duration: u64,
    pub requests_per_second: f64,
    pub objects: u64,
    /// The share of attempts that end in a way drawn at random.
    pub noise: f64,
    /// The share of calls to discovery that fail.
    pub watch_failures: f64,
    pub sizes_told: bool,
    /// The share of attempts that find a copy however it came there.
    pub held_anyway: f64,
    /// The most timers that go off in one tick for an instance.
    pub timers_per_tick: u32,
    /// With their times in milliseconds.
    pub incidents: Vec<(u64, Incident)>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "",
            seed: 0,
            settings: Settings::default(),
            zones: vec![1, 2],
            caches_per_zone: 4,
            parents: 3,
            duration: 10_000,
            requests_per_second: 100.0,
            objects: 300,
            noise: 0.01,
            watch_failures: 0.0,
            sizes_told: true,
            held_anyway: 0.0,
            timers_per_tick: 1,
            incidents: Vec::new(),
        }
    }
}

pub fn all() -> Vec<Scenario> {
    vec![
        changes_of_the_list(),
        overload(),
        effects(),
        outliers(),
        cold_starts_sizes_told(),
        cold_starts_sizes_untold(),
        origin_and_parents(),
        list_on_request(),
        no_fills(),
    ]
}

const SECOND_CLASS: Class =
    Class { objective: 500_000, deadline: 4_000_000, fresh: 0, older_by: 0, share: 0.5, ..PLAIN_CLASS };

/// Caches drain, go, are replaced and restarted under ordinary load; objects and groups are purged.
fn changes_of_the_list() -> Scenario {
    use Incident::*;
    use Target::*;
    let classes = vec![PLAIN_CLASS, SECOND_CLASS];
    Scenario {
        name: "changes_of_the_list",
        seed: 101,
        timers_per_tick: 2,
        settings: Settings { classes, ..Settings::default() },
        zones: vec![1, 2, 1],
        incidents: vec![
            (500, SideNews(1)),
            (1000, State(Cache(1, 0), DRAINING)),
            (1500, State(Cache(1, 0), GONE)),
            (2000, Replace(Cache(2, 1))),
            (2500, PurgeObject(1)),
            (2600, PurgeObject(2)),
            (3000, Restart(Cache(1, 1))),
            (3500, PurgeGroup(3)),
            (4000, State(Parent(0), DRAINING)),
            (4500, Size(Cache(1, 2), 3.0)),
            (4800, RestartInstance(2)),
            (5000, WholeList),
            (5500, State(Parent(0), READY)),
            (5600, UnknownClass(0)),
            (6000, State(Caches(2), DRAINING)),
            (6300, PurgeObject(1)),
            (6500, State(Caches(2), READY)),
            (7000, State(Parents, GONE)),
            (8000, PurgeGroup(5)),
            (8500, Replace(Cache(1, 0))),
            (9000, PurgeObject(4)),
        ],
        ..Scenario::default()
    }
}

/// More requests than the caches and the links serve, in waves.
fn overload() -> Scenario {
    use Incident::*;
    let quick = Class { objective: 150_000, deadline: 900_000, ..PLAIN_CLASS };
    let settings = Settings {
        classes: vec![quick, SECOND_CLASS],
        bypass_allowed: false,
        instances_by_zone: [0, 1, 1],
        client_kb_per_s: 400.0,
        ..Settings::default()
    };
    Scenario {
        name: "overload",
        seed: 102,
        settings,
        caches_per_zone: 2,
        duration: 8_000,
        requests_per_second: 100.0,
        objects: 500,
        noise: 0.005,
        incidents: vec![
            (2000, Rate(420.0)),
            (3500, Rate(80.0)),
            (5000, Rate(360.0)),
            (5500, RestartInstance(1)),
            (6500, Rate(60.0)),
        ],
        ..Scenario::default()
    }
}

/// Every effect of a request, with attempts that often end badly.
fn effects() -> Scenario {
    use Incident::*;
    use Target::*;
    let keyed = |group, window| Class { effect: "idempotency_key", group, window, ..PLAIN_CLASS };
    let classes = vec![
        PLAIN_CLASS,
        keyed("all", 5_000_000),
        keyed("zone", 5_000_000),
        keyed("cell", 5_000_000),
        keyed("all", 60_000),
        Class { effect: "non_idempotent", ..PLAIN_CLASS },
        Class { goes_through: true, fresh: 0, ..PLAIN_CLASS },
        Class { goes_through: true, effect: "non_idempotent", fresh: 0, ..PLAIN_CLASS },
        Class { stream: true, ..PLAIN_CLASS },
    ];
    Scenario {
        name: "effects",
        seed: 103,
        settings: Settings { classes, second_copies: true, ..Settings::default() },
        noise: 0.35,
        incidents: vec![
            (2000, Condition(Cache(1, 0), super::world::Condition::Failing(0.5))),
            (3000, UnknownClass(1)),
            (4000, Condition(Origin, super::world::Condition::Failing(0.4))),
            (6000, Condition(Origin, super::world::Condition::Healthy)),
            (7000, RestartInstance(0)),
        ],
        ..Scenario::default()
    }
}

/// Caches that are slow, fail, hang, are full or down, and come back.
fn outliers() -> Scenario {
    use super::world::Condition::{Down, Failing, Full, Healthy, Hung, Resetting, Slow};
    use Incident::*;
    use Target::*;
    let settings = Settings { note_level: "hit", retry_after: false, ..Settings::default() };
    Scenario {
        name: "outliers",
        seed: 104,
        settings,
        caches_per_zone: 5,
        duration: 14_000,
        requests_per_second: 85.0,
        noise: 0.0,
        incidents: vec![
            (1000, Condition(Cache(1, 0), Failing(0.9))),
            (1500, Condition(Cache(2, 0), Hung)),
            (3000, Condition(Cache(1, 0), Healthy)),
            (4000, Condition(Cache(2, 0), Healthy)),
            (4500, Condition(Cache(1, 1), Slow(12.0))),
            (5000, Condition(Cache(2, 1), Resetting)),
            (6000, Condition(Cache(1, 2), Down)),
            (6500, Condition(Cache(2, 1), Healthy)),
            (7000, Condition(Cache(1, 1), Healthy)),
            (7500, Condition(Cache(2, 2), Full(0.8))),
            (8000, Condition(Cache(1, 2), Healthy)),
            (8500, Condition(Caches(2), Hung)),
            (9500, Condition(Caches(2), Healthy)),
            (10_000, Condition(Caches(1), Failing(0.7))),
            (11_000, Condition(Caches(1), Healthy)),
            (11_500, Condition(Parent(1), Failing(0.9))),
            (12_500, Condition(Parent(1), Healthy)),
        ],
        ..Scenario::default()
    }
}

/// What is lost and restarted in both scenarios of cold starts.
fn cold_starts() -> Vec<(u64, Incident)> {
    use super::world::Condition::Down;
    use Incident::*;
    use Target::*;
    vec![
        (1500, Restart(Cache(1, 0))),
        (2500, Condition(Caches(2), Down)),
        (3500, Restart(Caches(2))),
        (5000, Restart(Parent(0))),
        (6000, Condition(Parents, Down)),
        (7000, Restart(Parents)),
        (8000, Replace(Cache(1, 1))),
        (8500, Rate(250.0)),
        (9300, Rate(75.0)),
        (10_000, RestartInstance(0)),
        (10_500, Restart(Caches(1))),
        (12_000, Restart(Origin)),
    ]
}

/// Restarts of caches, of a whole zone and of all parents, where many instances share them by number.
fn cold_starts_sizes_told() -> Scenario {
    let settings = Settings {
        classes: vec![PLAIN_CLASS, SECOND_CLASS],
        balancers: 6,
        instances_by_zone: [0, 2, 4],
        ..Settings::default()
    };
    Scenario {
        name: "cold_starts_sizes_told",
        seed: 105,
        settings,
        duration: 13_000,
        requests_per_second: 75.0,
        incidents: cold_starts(),
        ..Scenario::default()
    }
}

/// The same where capacities have to be learned, with hundreds of instances elsewhere.
fn cold_starts_sizes_untold() -> Scenario {
    let settings = Settings {
        weights: "live",
        note_level: "hit",
        balancers: 300,
        instances_by_zone: [0, 150, 150],
        cold_share: 0.05,
        warm_within: 5_000_000,
        ..Settings::default()
    };
    Scenario {
        name: "cold_starts_sizes_untold",
        seed: 106,
        settings,
        duration: 13_000,
        requests_per_second: 75.0,
        sizes_told: false,
        incidents: cold_starts(),
        ..Scenario::default()
    }
}

/// Parents that fail alone and together, an origin that is slow and fails, and purges that cause fills.
fn origin_and_parents() -> Scenario {
    use super::world::Condition::{Down, Failing, Full, Healthy, Hung, Resetting, Slow};
    use Incident::*;
    use Target::*;
    Scenario {
        name: "origin_and_parents",
        seed: 107,
        settings: Settings { classes: vec![PLAIN_CLASS, SECOND_CLASS], ..Settings::default() },
        duration: 14_000,
        requests_per_second: 50.0,
        objects: 800,
        incidents: vec![
            (1000, Condition(Parent(0), Slow(20.0))),
            (2500, Condition(Parent(0), Healthy)),
            (3000, Condition(Parent(1), Failing(0.8))),
            (4000, Condition(Parent(1), Full(0.7))),
            (4500, Condition(Parent(1), Healthy)),
            (5000, Condition(Parents, Down)),
            (6000, Condition(Parents, Healthy)),
            (6500, Condition(Parent(2), Hung)),
            (7000, PurgeGroup(1)),
            (7100, PurgeGroup(2)),
            (7500, Condition(Origin, Slow(15.0))),
            (8500, PurgeGroup(4)),
            (9000, Condition(Parent(2), Healthy)),
            (9500, Condition(Origin, Failing(0.8))),
            (10_500, Condition(Origin, Healthy)),
            (11_000, Condition(Parents, Resetting)),
            (11_500, Condition(Origin, Resetting)),
            (12_000, Condition(Parents, Healthy)),
            (12_500, Condition(Origin, Healthy)),
            (13_000, PurgeGroup(6)),
        ],
        ..Scenario::default()
    }
}

/// The list comes only where it is asked for, and the call often fails; nothing is cancelled or noted.
fn list_on_request() -> Scenario {
    use super::world::Condition::{Hung, Slow};
    use Incident::*;
    use Target::*;
    let settings = Settings {
        registry_mode: "on_request",
        note_level: "off",
        weights: "off",
        cancelling: false,
        ..Settings::default()
    };
    Scenario {
        name: "list_on_request",
        seed: 108,
        settings,
        zones: vec![2, 1, 2],
        watch_failures: 0.5,
        noise: 0.05,
        incidents: vec![
            (500, State(Cache(2, 0), DRAINING)),
            (1000, Replace(Cache(2, 1))),
            (2000, SubscriptionLost(0)),
            (2500, Restart(Cache(1, 0))),
            (3000, SubscriptionLost(1)),
            (3200, State(Cache(1, 2), GONE)),
            (4000, RestartInstance(2)),
            (5000, Condition(Cache(2, 2), Hung)),
            (6000, WholeList),
            (6500, Condition(Origin, Slow(10.0))),
            (7000, PurgeGroup(2)),
            (8000, SubscriptionLost(2)),
        ],
        ..Scenario::default()
    }
}

/// Another family: caches answer by themselves, there are no parents, and a request is tried twice.
fn no_fills() -> Scenario {
    use super::world::Condition::{Down, Failing, Healthy};
    use Incident::*;
    use Target::*;
    let keyed = Class { effect: "idempotency_key", group: "zone", share: 0.3, ..PLAIN_CLASS };
    let once = Class { effect: "non_idempotent", share: 0.3, ..PLAIN_CLASS };
    let settings = Settings {
        classes: vec![PLAIN_CLASS, keyed, once],
        family: "service",
        parents: false,
        bypass_allowed: false,
        most_tries: 2,
        note_level: "off",
        ..Settings::default()
    };
    Scenario {
        name: "no_fills",
        seed: 109,
        settings,
        noise: 0.2,
        held_anyway: 0.85,
        duration: 8_000,
        incidents: vec![
            (2000, Condition(Cache(1, 0), Down)),
            (3000, Restart(Cache(1, 0))),
            (4000, Condition(Cache(2, 1), Failing(0.9))),
            (5000, Condition(Cache(2, 1), Healthy)),
            (6000, Rate(200.0)),
        ],
        ..Scenario::default()
    }
}
