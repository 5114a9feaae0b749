//! The declarations of all keys. Names, units and bounds are stored and sent, so they must not change.
//! Descriptions are shown to operators.

use super::Applies::{AtStart, InService};
use super::Unit::{Count, Flag, Milliseconds, Number};
use super::{Applies, Key, Setting, Unit};

/// One hour in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

/// One day in milliseconds.
const DAY_MS: f64 = 24.0 * HOUR_MS;

const ZERO_TO_ONE: [f64; 2] = [0.0, 1.0];

/// The bounds of rates, in units per second, and of bursts and concurrency limits, in units.
const RATE: [f64; 2] = [0.0, 1e6];

const fn key(
    name: &'static str,
    setting: Option<Setting>,
    unit: Unit,
    [min, max]: [f64; 2],
    applies: Applies,
    description: &'static str,
) -> Key {
    Key { name, setting, unit, min, max, applies, description }
}

/// Declares a key of a budget: the router itself applies it, and changes take effect while the router runs.
const fn budget(name: &'static str, unit: Unit, bounds: [f64; 2], description: &'static str) -> Key {
    key(name, None, unit, bounds, InService, description)
}

/// The declarations of all keys.
pub const KEYS: &[Key] = &[
    key(
        "offering.*.latency_goal_ms",
        Some(Setting::LatencyObjective),
        Milliseconds,
        [1.0, HOUR_MS],
        InService,
        "the latency objective: a response within it is in time",
    ),
    key(
        "offering.*.goal_stretch",
        Some(Setting::ObjectiveStretch),
        Number,
        [0.0, 1e3],
        InService,
        "how much longer the objective is for each second that sending the response takes",
    ),
    key(
        "offering.*.earnings",
        Some(Setting::PriorityWeight),
        Number,
        [0.0, 1e9],
        InService,
        "the priority weight: what a response in time is worth",
    ),
    key(
        "offering.*.late_share",
        Some(Setting::LateShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the fraction of the weight that a late response is worth",
    ),
    key(
        "offering.*.old_share",
        Some(Setting::StaleShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the fraction of the weight that a stale copy is worth",
    ),
    key(
        "offering.*.fresh_ms",
        Some(Setting::MaxAge),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "the longest time that a copy is fresh; 0 where responses are not cached",
    ),
    key(
        "offering.*.older_by_ms",
        Some(Setting::StaleWhileFailing),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "how much longer a stale copy may be served while attempts fail or fills are limited",
    ),
    key(
        "offering.*.cut_off_ms",
        Some(Setting::Deadline),
        Milliseconds,
        [1.0, HOUR_MS],
        AtStart,
        "the deadline: the longest that a client waits; limits are derived from it",
    ),
    key(
        "offering.*.window_ms",
        Some(Setting::RetryWindow),
        Milliseconds,
        [0.0, HOUR_MS],
        AtStart,
        "how long the result of a write is kept for retries with its idempotency key",
    ),
    key(
        "come_back_told",
        Some(Setting::RetryAfterSent),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether a rejected request is answered with Retry-After",
    ),
    key(
        "longest_come_back_ms",
        Some(Setting::MaxRetryAfter),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "the longest Retry-After",
    ),
    key(
        "most_dispatches",
        Some(Setting::MaxAttempts),
        Count,
        [1.0, 64.0],
        InService,
        "the most attempts of one request",
    ),
    key(
        "calling_off",
        Some(Setting::Cancellation),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether an attempt may be cancelled",
    ),
    key(
        "direct",
        Some(Setting::BypassAllowed),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether a parent or the origin may respond without a cache",
    ),
    key(
        "cold_floor",
        Some(Setting::CacheInitialShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "slow start: the fraction of its capacity with which a cache begins",
    ),
    key(
        "cold_multiple",
        Some(Setting::CacheOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "slow start: how many times its current capacity a warming cache can absorb",
    ),
    key(
        "cold_window_ms",
        Some(Setting::SlowStartWindow),
        Milliseconds,
        [1.0, HOUR_MS],
        InService,
        "slow start: the window over which the load of a warming cache or parent is counted",
    ),
    key(
        "parent_floor",
        Some(Setting::ParentInitialShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "slow start: the fraction of its capacity with which a parent begins",
    ),
    key(
        "parent_multiple",
        Some(Setting::ParentOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "slow start: how many times its current capacity a warming parent can absorb",
    ),
    key(
        "parent_warm_within_ms",
        Some(Setting::ParentRampDuration),
        Milliseconds,
        [1.0, HOUR_MS],
        InService,
        "slow start: how long a parent takes to warm up",
    ),
    key(
        "warm_within_ms",
        Some(Setting::CacheRampDuration),
        Milliseconds,
        [1.0, HOUR_MS],
        AtStart,
        "slow start: how long a cache takes to warm up; state of removed caches is kept as long",
    ),
    key(
        "copies_gone_after_ms",
        Some(Setting::CopiesGoneAfter),
        Milliseconds,
        [1.0, DAY_MS],
        InService,
        "when no copy from before a purge is left anywhere",
    ),
    key(
        "drain_grace_ms",
        Some(Setting::DrainGrace),
        Milliseconds,
        [0.0, HOUR_MS],
        AtStart,
        "how long attempts at a draining cache may take to end; bounds on requests are derived from it",
    ),
    key(
        "purge_grace_ms",
        Some(Setting::PurgeGrace),
        Milliseconds,
        [0.0, HOUR_MS],
        AtStart,
        "how long a purge may take to be applied; bounds on requests are derived from it",
    ),
    budget(
        "budget.routers_most",
        Count,
        [1.0, 8192.0],
        "the most routers in the fleet: further ones are not listed, and each has a guaranteed minimum",
    ),
    budget(
        "budget.floor_part",
        Number,
        [0.0, 0.5],
        "the fraction of each budget that is set aside for guaranteed minima",
    ),
    budget("budget.origin_fills.per_s", Number, RATE, "fills from the origin per second, of the whole fleet"),
    budget("budget.origin_fills.burst", Number, RATE, "the burst of fills from the origin"),
    budget("budget.origin_fills.in_hand", Count, RATE, "fills from the origin in flight at once"),
    budget(
        "budget.location_fills.per_s",
        Number,
        RATE,
        "fills from the origin per second, of each location, within those of the fleet",
    ),
    budget("budget.location_fills.burst", Number, RATE, "the burst of a location's fills from the origin"),
    budget(
        "offering.*.origin_fills_per_s",
        Number,
        RATE,
        "fills from the origin per second, of this request class, within those of the fleet",
    ),
    budget(
        "offering.*.origin_fills_burst",
        Number,
        RATE,
        "the burst of this request class's fills from the origin",
    ),
    budget("budget.further.per_s", Number, RATE, "retries per second, of the whole fleet"),
    budget("budget.further.burst", Number, RATE, "the burst of retries"),
    budget(
        "budget.further.per_success",
        Number,
        [0.0, 10.0],
        "how many retries each successful request allows at the router that served it",
    ),
    budget("budget.looks.per_s", Number, RATE, "cache-only reads per second, at each cache"),
    budget("budget.looks.burst", Number, RATE, "the burst of cache-only reads at each cache"),
    budget("budget.connections.per_s", Number, RATE, "new connections per second, to each cache"),
    budget("budget.connections.burst", Number, RATE, "the burst of new connections to each cache"),
    budget("budget.accounts.per_s", Number, RATE, "requests per second, of each tenant"),
    budget("budget.accounts.burst", Number, RATE, "the burst of each tenant's requests"),
    budget(
        "budget.cold_parts",
        Flag,
        ZERO_TO_ONE,
        "whether slow-start allowances are divided by demand instead of by the configured number of routers",
    ),
    key(
        "limit.open_views",
        None,
        Count,
        [1.0, 4096.0],
        InService,
        "requests in flight at once, at each router",
    ),
];
