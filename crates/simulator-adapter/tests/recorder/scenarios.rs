//! The recorded scenarios: the settings, the fleet and the incidents of each.
//!
//! The function of a scenario has the name of its pair of golden files.

use super::frames::{DRAINING, READY, REMOVED};
use super::settings::{Class, PLAIN_CLASS, Settings};
use super::world::Condition;

/// The servers that an incident affects.
#[derive(Clone, Copy)]
pub enum Target {
    /// The cache with this zone and this index among the listed caches of the zone.
    Cache(u8, usize),
    /// All caches of a zone.
    Caches(u8),
    /// The parent with this index among the listed parents.
    Parent(usize),
    Parents,
    Origin,
}

/// A change to the fleet or to the load at a given time.
#[derive(Clone, Copy)]
pub enum Incident {
    Condition(Target, Condition),
    State(Target, u8),
    Capacity(Target, f32),
    /// The servers become healthy and ready, with no copies and a new start time.
    Restart(Target),
    /// The servers are removed, and a new server of the same kind and zone is added for each.
    Replace(Target),
    /// The full list is sent to every instance.
    FullList,
    /// An instance loses its subscription to the list.
    SubscriptionLost(u32),
    PurgeObject(u64),
    PurgeGroup(u16),
    /// The number of requests per second changes.
    Rate(f64),
    RestartInstance(u32),
    /// An instance receives a request whose class is not in the settings.
    UnknownClass(u32),
    /// An instance receives records that it ignores: the ends of health checks and a message from a peer.
    IgnoredRecords(u32),
}

/// A simulated fleet, its load and what happens to it.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub settings: Settings,
    /// The zone of each instance.
    pub zones: Vec<u8>,
    pub caches_per_zone: usize,
    pub parents: usize,
    /// How long clients send new requests, in milliseconds.
    pub duration: u64,
    pub requests_per_second: f64,
    /// The number of different objects.
    pub objects: u64,
    /// The share of attempts that end in a random way, whatever the condition of the server.
    pub noise: f64,
    /// The share of calls to the discovery service that fail.
    pub watch_failures: f64,
    /// Whether requests carry the size of their response.
    pub response_sizes_known: bool,
    /// The share of attempts that are hits regardless of which copies were stored before.
    pub extra_hits: f64,
    /// The maximum number of timers that fire for an instance in one tick.
    pub timers_per_tick: u32,
    /// The incidents, with their times in milliseconds from the start.
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
            response_sizes_known: true,
            extra_hits: 0.0,
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

/// Servers drain and are removed, replaced and restarted under normal load; objects and groups are purged.
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
            (500, IgnoredRecords(1)),
            (1000, State(Cache(1, 0), DRAINING)),
            (1500, State(Cache(1, 0), REMOVED)),
            (2000, Replace(Cache(2, 1))),
            (2500, PurgeObject(1)),
            (2600, PurgeObject(2)),
            (3000, Restart(Cache(1, 1))),
            (3500, PurgeGroup(3)),
            (4000, State(Parent(0), DRAINING)),
            (4500, Capacity(Cache(1, 2), 3.0)),
            (4800, RestartInstance(2)),
            (5000, FullList),
            (5500, State(Parent(0), READY)),
            (5600, UnknownClass(0)),
            (6000, State(Caches(2), DRAINING)),
            (6300, PurgeObject(1)),
            (6500, State(Caches(2), READY)),
            (7000, State(Parents, REMOVED)),
            (8000, PurgeGroup(5)),
            (8500, Replace(Cache(1, 0))),
            (9000, PurgeObject(4)),
        ],
        ..Scenario::default()
    }
}

/// Two waves of more requests than the caches and their links can serve.
fn overload() -> Scenario {
    use Incident::*;
    let short_deadline = Class { objective: 150_000, deadline: 900_000, ..PLAIN_CLASS };
    let settings = Settings {
        classes: vec![short_deadline, SECOND_CLASS],
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

/// Idempotent and non-idempotent requests and requests with an idempotency key, with many failed attempts.
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

/// Caches that are slow, failing, hung, overloaded or down, and recover.
fn outliers() -> Scenario {
    use super::world::Condition::{Down, Failing, Healthy, Hung, Overloaded, Resetting, Slow};
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
            (7500, Condition(Cache(2, 2), Overloaded(0.8))),
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

/// Returns the incidents of both cold start scenarios.
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

/// Restarts of caches, of a whole zone and of all parents. Response sizes are known. The settings give
/// more instances than are simulated, and all of them share the capacity of the servers.
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

/// The same restarts with unknown response sizes, and capacities that have to be learned. The settings give
/// hundreds of instances, most of which are not simulated.
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
        response_sizes_known: false,
        incidents: cold_starts(),
        ..Scenario::default()
    }
}

/// Single and simultaneous failures of parents, a slow and failing origin, and purges that cause fills.
fn origin_and_parents() -> Scenario {
    use super::world::Condition::{Down, Failing, Healthy, Hung, Overloaded, Resetting, Slow};
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
            (4000, Condition(Parent(1), Overloaded(0.7))),
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

/// Instances receive changes of the list only after they call the discovery service, and half of the calls
/// fail. Attempts are not cancelled, and caches report no details.
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
            (3200, State(Cache(1, 2), REMOVED)),
            (4000, RestartInstance(2)),
            (5000, Condition(Cache(2, 2), Hung)),
            (6000, FullList),
            (6500, Condition(Origin, Slow(10.0))),
            (7000, PurgeGroup(2)),
            (8000, SubscriptionLost(2)),
        ],
        ..Scenario::default()
    }
}

/// Another family: there are no parents, caches fill no misses, and a request has at most two attempts.
fn no_fills() -> Scenario {
    use super::world::Condition::{Down, Failing, Healthy};
    use Incident::*;
    use Target::*;
    let keyed = Class { effect: "idempotency_key", group: "zone", share: 0.3, ..PLAIN_CLASS };
    let non_idempotent = Class { effect: "non_idempotent", share: 0.3, ..PLAIN_CLASS };
    let settings = Settings {
        classes: vec![PLAIN_CLASS, keyed, non_idempotent],
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
        extra_hits: 0.85,
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
