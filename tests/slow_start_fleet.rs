//! The load of warming endpoints from all routers of a fleet: no more than their budget, and what is put down
//! to chance.

mod support;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::*;
use tindoor::host::*;

/// How a fleet's traffic is laid out.
#[derive(Clone, Copy, Debug)]
struct Layout {
    routers: usize,
    caches: u32,
    /// Transfers at full speed that each cache carries at once.
    capacity: f32,
    capacity_known: bool,
    /// Requests a second in all, outside and during the burst.
    rate: [f64; 2],
    /// When the burst begins and ends, in milliseconds after the start of the warming caches.
    burst: [u64; 2],
    /// Whether all caches warm up, or one.
    all_warming: bool,
    /// How many seconds of traffic there are before the start.
    history: u64,
    /// Traffic of router `n` as a share: 1 / (n + 1) to this power.
    skew: f64,
}

/// The service time of a request, and the window in which a warming cache is overloaded, in milliseconds.
const SERVICE_TIME: u64 = 200;
const WINDOW: u64 = 1500;
/// The share of its capacity that a cache has at its start, and when it has all of it, in milliseconds; the
/// multiple of its capacity that it takes.
const INITIAL_SHARE: f64 = 0.2;
const RAMP_DURATION: u64 = 15_000;
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// How long traffic is simulated after the start, in milliseconds.
const SIMULATED: u64 = 20_000;

/// What a simulation shows.
struct Report {
    /// The most that any window of a warming cache had beyond its budget of N requests, over the 2 x root of
    /// N + 2 that are put down to chance.
    excess: f64,
    /// The share of requests that were served.
    served: f64,
}

impl Layout {
    /// When the warming caches start, in milliseconds.
    fn start(&self) -> u64 {
        self.history * 1000
    }

    fn warming_caches(&self) -> u32 {
        if self.all_warming { self.caches } else { 1 }
    }

    /// The id of the first warming cache; they come last.
    fn first_warming(&self) -> u32 {
        3 + self.caches - self.warming_caches()
    }

    /// Parents that can do all there is, the origin, and the caches; the warming ones only once they have
    /// started.
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

    /// The probability of a request in a millisecond at each router.
    fn request_probabilities(&self, now: u64) -> Vec<f64> {
        let weights: Vec<f64> =
            (0..self.routers).map(|index| ((index + 1) as f64).powf(-self.skew)).collect();
        let total: f64 = weights.iter().sum();
        let is_burst = now >= self.start() + self.burst[0] && now < self.start() + self.burst[1];
        let rate = self.rate[usize::from(is_burst)];
        weights.iter().map(|weight| rate * weight / total / 1000.0).collect()
    }

    /// The most that any window of a warming cache had beyond its budget, from the times of its requests.
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

    /// Simulates a fleet whose caches start and warm up.
    fn simulate(&self, seed: u64) -> Report {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = self.start();
        let mut routers = self.routers(seed);
        let mut sent: Vec<Vec<u64>> = vec![Vec::new(); self.warming_caches() as usize];
        let (mut received, mut served) = (0, 0);
        let mut ends: BTreeMap<u64, Vec<(usize, u32)>> = BTreeMap::new();
        for now in 0..start + SIMULATED {
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

/// Thirty routers before ten caches of four transfers each, a hundred and twenty requests a second, one cache
/// warming.
const USUAL: Layout = Layout {
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

/// Checks on some seeds that all routers together keep to the budget of a warming cache and do not starve it.
fn assert_budget_is_kept(layout: Layout, least_served: f64) {
    for seed in 1..=3 {
        let Report { excess, served } = layout.simulate(seed);
        assert!(excess < 1.0, "{excess:.2} of what chance may add, seed {seed}, {layout:?}");
        assert!(served > least_served, "{served:.3} served, seed {seed}, {layout:?}");
    }
}

#[test]
fn thirty_routers_with_even_or_uneven_traffic_keep_to_the_budget_of_one_warming_cache() {
    assert_budget_is_kept(USUAL, 0.99);
    assert_budget_is_kept(Layout { skew: 1.0, rate: [100.0, 300.0], ..USUAL }, 0.99);
    assert_budget_is_kept(Layout { capacity_known: false, rate: [100.0, 300.0], ..USUAL }, 0.99);
}

#[test]
fn a_burst_at_all_routers_at_once_does_not_overload_a_small_warming_cache() {
    assert_budget_is_kept(Layout { capacity: 1.0, rate: [10.0, 100.0], ..USUAL }, 0.99);
    assert_budget_is_kept(Layout { capacity: 1.0, rate: [3.0, 90.0], burst: [3000, 5000], ..USUAL }, 0.99);
}

#[test]
fn where_all_caches_warm_up_their_budget_is_kept_and_used() {
    let all_warming = Layout { all_warming: true, ..USUAL };
    assert_budget_is_kept(all_warming, 0.8);
    assert_budget_is_kept(Layout { rate: [100.0, 300.0], ..all_warming }, 0.6);
    assert_budget_is_kept(Layout { capacity_known: false, rate: [100.0, 300.0], ..all_warming }, 0.3);
}

#[test]
fn a_burst_at_all_routers_at_once_does_not_overload_caches_that_all_warm_up() {
    let sudden = Layout { all_warming: true, rate: [3.0, 90.0], capacity: 1.0, burst: [3000, 5000], ..USUAL };
    assert_budget_is_kept(sudden, 0.4);
    assert_budget_is_kept(Layout { routers: 20, rate: [3.0, 180.0], capacity: 2.0, ..sudden }, 0.4);
}

#[test]
fn routers_that_start_together_with_the_caches_keep_to_their_budget() {
    assert_budget_is_kept(Layout { all_warming: true, history: 0, ..USUAL }, 0.7);
    let burst = Layout { all_warming: true, history: 0, rate: [60.0, 300.0], burst: [0, 3000], ..USUAL };
    assert_budget_is_kept(burst, 0.4);
    assert_budget_is_kept(Layout { capacity: 1.0, ..burst }, 0.2);
}
