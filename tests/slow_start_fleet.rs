//! The load that all routers of a fleet put on warming caches. It must not exceed the slow start budget of a
//! cache by more than an allowance for random fluctuation.

mod support;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::*;
use tindoor::host::*;

/// The routers, caches and traffic of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Layout {
    routers: usize,
    caches: u32,
    /// The number of full-speed transfers that each cache can run at once.
    capacity: f32,
    capacity_known: bool,
    /// Requests per second of the whole fleet, outside and during the burst.
    rate: [f64; 2],
    /// The beginning and end of the burst, in milliseconds after the start of the warming caches.
    burst: [u64; 2],
    /// Whether all caches warm up or only one.
    all_warming: bool,
    /// The duration of traffic before the warming caches start, in seconds.
    history: u64,
    /// The traffic of router `n` is proportional to 1 / (n + 1) to the power of `skew`.
    skew: f64,
}

/// The service time of a request, in milliseconds.
const SERVICE_TIME: u64 = 200;
/// The sliding window over which the load of a warming cache is limited, in milliseconds.
const WINDOW: u64 = 1500;
/// The share of its full capacity that a cache has when it starts.
const INITIAL_SHARE: f64 = 0.2;
/// The time from the start of a cache until it has its full capacity, in milliseconds.
const RAMP_DURATION: u64 = 15_000;
/// The load at which a warming cache is overloaded, as a multiple of its current capacity.
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The duration of simulated traffic after the start of the warming caches, in milliseconds.
const SIMULATED_DURATION: u64 = 20_000;

/// The result of a simulation.
struct Report {
    /// The maximum excess over the budget of N requests in any window of a warming cache, divided by the
    /// random excess of 2 * sqrt(N) + 2 requests that is allowed.
    excess: f64,
    /// The share of requests that were served.
    served: f64,
}

impl Layout {
    /// The time at which the warming caches start, in milliseconds.
    fn start(&self) -> u64 {
        self.history * 1000
    }

    fn warming_caches(&self) -> u32 {
        if self.all_warming { self.caches } else { 1 }
    }

    /// The id of the first warming cache. Warming caches are the last in the list.
    fn first_warming(&self) -> u32 {
        3 + self.caches - self.warming_caches()
    }

    /// The parents and the origin, which have capacity for all requests, and the caches. Warming caches are
    /// included only once they have started.
    fn endpoints(&self, have_started: bool) -> Vec<EndpointUpdate> {
        let upstream = [(0, PARENT), (1, PARENT), (2, ORIGIN)].map(|(id, kind)| EndpointUpdate {
            capacity: 1e4,
            ..entry(id, 1000 + u64::from(id), kind, None)
        });
        let end = if have_started { 3 + self.caches } else { self.first_warming() };
        let caches = (3..end).map(|id| {
            let started_at = (id >= self.first_warming()).then_some(self.start());
            EndpointUpdate { capacity: self.capacity, ..entry(id, 1000 + u64::from(id), 0, started_at) }
        });
        upstream.into_iter().chain(caches).collect()
    }

    fn routers(&self, seed: u64) -> Vec<TestRouter> {
        let settings = |seed: u64| {
            [
                ("capacity_known", f64::from(u8::from(self.capacity_known))),
                ("routers", self.routers as f64),
                ("routers_in_location", self.routers as f64),
                ("bypass_allowed", 0.0),
                ("slow_start_window", WINDOW as f64 * 1000.0),
                ("overload_multiple", OVERLOAD_MULTIPLE),
                ("initial_share", INITIAL_SHARE),
                ("warm_within", RAMP_DURATION as f64 * 1000.0),
                ("seed", seed as f64),
            ]
        };
        let endpoints = self.endpoints(self.start() == 0);
        (0..self.routers)
            .map(|index| start_router(&endpoints, &settings(seed * 1000 + index as u64)))
            .collect()
    }

    /// The probability that each router receives a request in the millisecond `now`.
    fn request_probabilities(&self, now: u64) -> Vec<f64> {
        let weights: Vec<f64> =
            (0..self.routers).map(|index| ((index + 1) as f64).powf(-self.skew)).collect();
        let total: f64 = weights.iter().sum();
        let is_burst = now >= self.start() + self.burst[0] && now < self.start() + self.burst[1];
        let rate = self.rate[usize::from(is_burst)];
        weights.iter().map(|weight| rate * weight / total / 1000.0).collect()
    }

    /// The maximum excess over the budget in any window of a warming cache (see [`Report::excess`]), computed
    /// from the times of its requests in milliseconds.
    fn excess(&self, times: &[u64]) -> f64 {
        let excess = times.iter().enumerate().map(|(last, at)| {
            let first = times.partition_point(|early| early + WINDOW <= *at);
            let progress = *at as f64 / RAMP_DURATION as f64;
            let warm_share = (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0);
            let budget = warm_share * f64::from(self.capacity) * OVERLOAD_MULTIPLE * WINDOW as f64
                / SERVICE_TIME as f64;
            ((last + 1 - first) as f64 - budget) / (2.0 * budget.sqrt() + 2.0)
        });
        excess.fold(f64::MIN, f64::max)
    }

    /// Simulates the fleet before and after the warming caches start.
    fn simulate(&self, seed: u64) -> Report {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = self.start();
        let mut routers = self.routers(seed);
        let mut sent: Vec<Vec<u64>> = vec![Vec::new(); self.warming_caches() as usize];
        let (mut received, mut served) = (0, 0);
        let mut ends: BTreeMap<u64, Vec<(usize, u32)>> = BTreeMap::new();
        for now in 0..start + SIMULATED_DURATION {
            if now == start && start > 0 {
                for router in &mut routers {
                    router.engine.endpoints_changed(ListUpdateKind::Full, &self.endpoints(true));
                }
            }
            for (index, slot) in ends.remove(&now).unwrap_or_default() {
                let behind = now - routers[index].millis;
                routers[index].advance(behind);
                let (status, detail) = (AttemptStatus::Served, OutcomeDetail::Hit);
                routers[index].end_attempt_of(slot, 0, status, detail, SERVICE_TIME);
            }
            for (index, probability) in self.request_probabilities(now).into_iter().enumerate() {
                if rng.random_range(0.0..1.0) >= probability {
                    continue;
                }
                let router = &mut routers[index];
                router.advance(now - router.millis);
                let actions = router.request(0, rng.random());
                received += u32::from(now >= start);
                if let [Action::SendWithFill { endpoint, .. }] = actions[..] {
                    served += u32::from(now >= start);
                    if endpoint >= self.first_warming() && now >= start {
                        sent[(endpoint - self.first_warming()) as usize].push(now - start);
                    }
                    ends.entry(now + SERVICE_TIME).or_default().push((index, router.last_slot));
                }
            }
        }
        Report {
            excess: sent.iter().map(|times| self.excess(times)).fold(f64::MIN, f64::max),
            served: f64::from(served) / f64::from(received),
        }
    }
}

/// Thirty routers and ten caches of four transfers each, with 120 requests per second and one warming cache.
const BASE: Layout = Layout {
    routers: 30,
    caches: 10,
    capacity: 4.0,
    capacity_known: true,
    rate: [120.0, 120.0],
    burst: [3000, 9000],
    all_warming: false,
    history: 20,
    skew: 0.0,
};

/// Checks with several seeds that all routers together keep to the budget of a warming cache, and that at
/// least a share `min_served` of all requests is served.
fn assert_budget_is_kept(layout: Layout, min_served: f64) {
    for seed in 1..=3 {
        let Report { excess, served } = layout.simulate(seed);
        assert!(
            excess < 1.0,
            "load exceeds the budget by {excess:.2} times the allowed random excess, seed {seed}, {layout:?}"
        );
        assert!(
            served > min_served,
            "{served:.3} of requests served, expected more than {min_served}, seed {seed}, {layout:?}"
        );
    }
}

#[test]
fn thirty_routers_with_even_or_uneven_traffic_keep_to_the_budget_of_one_warming_cache() {
    assert_budget_is_kept(BASE, 0.99);
    assert_budget_is_kept(Layout { skew: 1.0, rate: [100.0, 300.0], ..BASE }, 0.99);
    assert_budget_is_kept(Layout { capacity_known: false, rate: [100.0, 300.0], ..BASE }, 0.99);
}

#[test]
fn a_burst_at_all_routers_at_once_does_not_overload_a_small_warming_cache() {
    assert_budget_is_kept(Layout { capacity: 1.0, rate: [10.0, 100.0], ..BASE }, 0.99);
    assert_budget_is_kept(Layout { capacity: 1.0, rate: [3.0, 90.0], burst: [3000, 5000], ..BASE }, 0.99);
}

#[test]
fn while_all_caches_warm_up_their_budget_is_kept_and_used() {
    let all_warming = Layout { all_warming: true, ..BASE };
    assert_budget_is_kept(all_warming, 0.8);
    assert_budget_is_kept(Layout { rate: [100.0, 300.0], ..all_warming }, 0.6);
    assert_budget_is_kept(Layout { capacity_known: false, rate: [100.0, 300.0], ..all_warming }, 0.3);
}

#[test]
fn a_burst_at_all_routers_at_once_does_not_overload_caches_that_all_warm_up() {
    let sudden_burst =
        Layout { all_warming: true, rate: [3.0, 90.0], capacity: 1.0, burst: [3000, 5000], ..BASE };
    assert_budget_is_kept(sudden_burst, 0.4);
    assert_budget_is_kept(Layout { routers: 20, rate: [3.0, 180.0], capacity: 2.0, ..sudden_burst }, 0.4);
}

#[test]
fn routers_that_start_together_with_the_caches_keep_to_their_budget() {
    assert_budget_is_kept(Layout { all_warming: true, history: 0, ..BASE }, 0.7);
    let burst = Layout { all_warming: true, history: 0, rate: [60.0, 300.0], burst: [0, 3000], ..BASE };
    assert_budget_is_kept(burst, 0.4);
    assert_budget_is_kept(Layout { capacity: 1.0, ..burst }, 0.2);
}
