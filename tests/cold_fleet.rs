//! What a cold cache or parent gets from all routers together: no more than its budget, and what chance adds to it.

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
    /// What each cache carries at once.
    size: f32,
    size_told: bool,
    /// Requests a second in all, before and during the burst.
    rate: [f64; 2],
    /// When the burst begins and ends, counted from the start of the cold caches.
    burst: [u64; 2],
    /// Whether all caches are cold, or one.
    all_cold: bool,
    /// How many seconds of traffic there are before the start.
    history: u64,
    /// Traffic of router `n` as a share: 1 / (n + 1) to this power.
    skew: f64,
}

/// How long one request takes to send, and the window in which a cold cache falls, in milliseconds.
const WORK: u64 = 200;
const WINDOW: u64 = 1500;
/// What a cold cache surely has, as a share, and from when on it has all, in milliseconds; the multiple that it bears.
const FLOOR: f64 = 0.2;
const WARM_WITHIN: u64 = 15_000;
const MULTIPLE: f64 = 2.5;

/// Plays a fleet whose caches start cold: the most that any window of a cold cache had beyond its budget of N calls,
/// over the 2 x root of N + 2 that are put down to chance; and the share of requests that were served.
fn play(layout: Layout, seed: u64) -> (f64, f64) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let start = layout.history * 1000;
    let cold = if layout.all_cold { layout.caches } else { 1 };
    // Parents that can do all there is, and the origin; then the caches, the cold ones last.
    let first_cold = 3 + layout.caches - cold;
    let list = |cold_now: bool| -> Vec<EndpointUpdate> {
        let behind = [(0, PARENT), (1, PARENT), (2, ORIGIN)];
        let behind = behind
            .map(|(no, kind)| EndpointUpdate { capacity: 1e4, ..line(no, 1000 + u64::from(no), kind, None) });
        let caches = (3..if cold_now { 3 + layout.caches } else { first_cold }).map(|no| {
            let started = (no >= first_cold).then_some(start);
            EndpointUpdate { capacity: layout.size, ..line(no, 1000 + u64::from(no), 0, started) }
        });
        behind.into_iter().chain(caches).collect()
    };
    let told = |seed: u64| {
        [
            ("capacity_known", f64::from(u8::from(layout.size_told))),
            ("routers", layout.routers as f64),
            ("routers_in_location", layout.routers as f64),
            ("bypass_allowed", 0.0),
            ("slow_start_window", WINDOW as f64 * 1000.0),
            ("overload_multiple", MULTIPLE),
            ("initial_share", FLOOR),
            ("warm_within", WARM_WITHIN as f64 * 1000.0),
            ("seed", seed as f64),
        ]
    };
    let before = if start == 0 { list(true) } else { list(false) };
    let mut routers: Vec<Router> =
        (0..layout.routers).map(|nth| router(&before, &told(seed * 1000 + nth as u64))).collect();
    let weights: Vec<f64> = (0..layout.routers).map(|nth| ((nth + 1) as f64).powf(-layout.skew)).collect();
    let whole: f64 = weights.iter().sum();
    let mut sent: Vec<Vec<u64>> = vec![Vec::new(); cold as usize];
    let (mut asked, mut served) = (0, 0);
    let mut ends: BTreeMap<u64, Vec<(usize, u32)>> = BTreeMap::new();
    for now in 0..start + 20_000 {
        if now == start && start > 0 {
            routers.iter_mut().for_each(|r| r.control.endpoints_changed(ListUpdateKind::Full, &list(true)));
        }
        for (nth, request) in ends.remove(&now).unwrap_or_default() {
            let behind = now - routers[nth].millis;
            routers[nth].wait(behind);
            routers[nth].end_of(request, 0, AttemptStatus::Served, OutcomeDetail::Hit, WORK);
        }
        let burst = now >= start + layout.burst[0] && now < start + layout.burst[1];
        let rate = layout.rate[usize::from(burst)];
        for nth in 0..layout.routers {
            if chance.random_range(0.0..1.0) >= rate * weights[nth] / whole / 1000.0 {
                continue;
            }
            let r = &mut routers[nth];
            r.wait(now - r.millis);
            let acts = r.request(0, chance.random());
            asked += u32::from(now >= start);
            if let [Act::Read { cache, .. }] = acts[..] {
                served += u32::from(now >= start);
                if cache >= first_cold && now >= start {
                    sent[(cache - first_cold) as usize].push(now - start);
                }
                ends.entry(now + WORK).or_default().push((nth, r.next));
            }
        }
    }
    let over = |times: &Vec<u64>| {
        let over = times.iter().enumerate().map(|(last, at)| {
            let first = times.partition_point(|early| early + WINDOW <= *at);
            let warmth = (FLOOR + (1.0 - FLOOR) * *at as f64 / WARM_WITHIN as f64).min(1.0);
            let budget = warmth * f64::from(layout.size) * MULTIPLE * WINDOW as f64 / WORK as f64;
            ((last + 1 - first) as f64 - budget) / (2.0 * budget.sqrt() + 2.0)
        });
        over.fold(f64::MIN, f64::max)
    };
    (sent.iter().map(over).fold(f64::MIN, f64::max), f64::from(served) / f64::from(asked))
}

/// Thirty routers before ten caches of four transfers each, a hundred and twenty requests a second, one cache cold.
const USUAL: Layout = Layout {
    routers: 30,
    caches: 10,
    size: 4.0,
    size_told: true,
    rate: [120.0, 120.0],
    burst: [3000, 9000],
    all_cold: false,
    history: 20,
    skew: 0.0,
};

/// Holds the sum of all routers to what a cold cache bears, on some seeds, and sees that it is not starved.
fn holds(layout: Layout, least_served: f64) {
    for seed in 1..=3 {
        let (over, served) = play(layout, seed);
        assert!(over < 1.0, "{over:.2} of what chance may add, seed {seed}, {layout:?}");
        assert!(served > least_served, "{served:.3} served, seed {seed}, {layout:?}");
    }
}

#[test]
fn thirty_routers_with_even_traffic_or_not_hold_to_what_one_cold_cache_bears() {
    holds(USUAL, 0.99);
    holds(Layout { skew: 1.0, rate: [100.0, 300.0], ..USUAL }, 0.99);
    holds(Layout { size_told: false, rate: [100.0, 300.0], ..USUAL }, 0.99);
}

#[test]
fn a_rush_at_all_routers_at_once_does_not_topple_a_small_cold_cache() {
    holds(Layout { size: 1.0, rate: [10.0, 100.0], ..USUAL }, 0.99);
    holds(Layout { size: 1.0, rate: [3.0, 90.0], burst: [3000, 5000], ..USUAL }, 0.99);
}

#[test]
fn where_all_caches_are_cold_the_ramp_holds_and_is_used() {
    holds(Layout { all_cold: true, ..USUAL }, 0.8);
    holds(Layout { all_cold: true, rate: [100.0, 300.0], ..USUAL }, 0.6);
    holds(Layout { all_cold: true, size_told: false, rate: [100.0, 300.0], ..USUAL }, 0.3);
}

#[test]
fn a_rush_at_all_routers_at_once_does_not_topple_caches_that_are_all_cold() {
    let sudden = Layout { all_cold: true, rate: [3.0, 90.0], size: 1.0, burst: [3000, 5000], ..USUAL };
    holds(sudden, 0.4);
    holds(Layout { routers: 20, rate: [3.0, 180.0], size: 2.0, ..sudden }, 0.4);
}

#[test]
fn routers_that_start_beside_cold_caches_hold_to_what_they_bear() {
    holds(Layout { all_cold: true, history: 0, ..USUAL }, 0.7);
    let rush = Layout { all_cold: true, history: 0, rate: [60.0, 300.0], burst: [0, 3000], ..USUAL };
    holds(rush, 0.4);
    holds(Layout { size: 1.0, ..rush }, 0.2);
}
