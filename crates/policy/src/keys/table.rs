//! The declarations of all keys. Names, units and bounds are stored and sent: they stay. Descriptions are read by
//! operators.

use super::Applies::{AtStart, InService};
use super::Unit::{Count, Flag, Milliseconds, Number};
use super::{Applies, Key, Setting, Unit};

const HOUR_MS: f64 = 3_600_000.0;
const DAY_MS: f64 = 24.0 * HOUR_MS;
const ZERO_TO_ONE: [f64; 2] = [0.0, 1.0];
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

/// A key of a budget: the router itself applies it, and it changes in service.
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
        "a view done within it is in time",
    ),
    key(
        "offering.*.goal_stretch",
        Some(Setting::ObjectiveStretch),
        Number,
        [0.0, 1e3],
        InService,
        "how much longer per second of sending work",
    ),
    key(
        "offering.*.earnings",
        Some(Setting::PriorityWeight),
        Number,
        [0.0, 1e9],
        InService,
        "what a view done in time earns",
    ),
    key(
        "offering.*.late_share",
        Some(Setting::LateShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the part of it that a late one earns",
    ),
    key(
        "offering.*.old_share",
        Some(Setting::StaleShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the part of it that a copy past its fresh time earns",
    ),
    key(
        "offering.*.fresh_ms",
        Some(Setting::MaxAge),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "how old a copy may be; 0 where none is kept",
    ),
    key(
        "offering.*.older_by_ms",
        Some(Setting::StaleWhileFailing),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "how much older where a dispatch failed or fills are short",
    ),
    key(
        "offering.*.cut_off_ms",
        Some(Setting::Deadline),
        Milliseconds,
        [1.0, HOUR_MS],
        AtStart,
        "the longest that a client waits: limits are built from it",
    ),
    key(
        "offering.*.window_ms",
        Some(Setting::RetryWindow),
        Milliseconds,
        [0.0, HOUR_MS],
        AtStart,
        "how long a repeated write is told: marks are kept for it",
    ),
    key(
        "come_back_told",
        Some(Setting::RetryAfterSent),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether a view that is turned back is told when to come again",
    ),
    key(
        "longest_come_back_ms",
        Some(Setting::MaxRetryAfter),
        Milliseconds,
        [0.0, HOUR_MS],
        InService,
        "the longest time that it is told",
    ),
    key(
        "most_dispatches",
        Some(Setting::MaxAttempts),
        Count,
        [1.0, 64.0],
        InService,
        "dispatches of one view, at most",
    ),
    key(
        "calling_off",
        Some(Setting::Cancellation),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether a dispatch may be given up",
    ),
    key(
        "direct",
        Some(Setting::BypassAllowed),
        Flag,
        ZERO_TO_ONE,
        InService,
        "whether a parent or the origin may answer by itself",
    ),
    key(
        "cold_floor",
        Some(Setting::CacheInitialShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the part of its capacity that a cold cache has",
    ),
    key(
        "cold_multiple",
        Some(Setting::CacheOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "how many times that a cold cache bears",
    ),
    key(
        "cold_window_ms",
        Some(Setting::SlowStartWindow),
        Milliseconds,
        [1.0, HOUR_MS],
        InService,
        "the window over which it is reckoned",
    ),
    key(
        "parent_floor",
        Some(Setting::ParentInitialShare),
        Number,
        ZERO_TO_ONE,
        InService,
        "the same part of a cold parent",
    ),
    key(
        "parent_multiple",
        Some(Setting::ParentOverloadMultiple),
        Number,
        [0.0, 1e3],
        InService,
        "the same multiple of it",
    ),
    key(
        "parent_warm_within_ms",
        Some(Setting::ParentRampDuration),
        Milliseconds,
        [1.0, HOUR_MS],
        InService,
        "how long a parent takes to be warm",
    ),
    key(
        "warm_within_ms",
        Some(Setting::CacheRampDuration),
        Milliseconds,
        [1.0, HOUR_MS],
        AtStart,
        "how long a cache takes to be warm: numbers of gone ones are kept by it",
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
        "in which sends to a draining cache end: calls are bounded by it",
    ),
    key(
        "purge_grace_ms",
        Some(Setting::PurgeGrace),
        Milliseconds,
        [0.0, HOUR_MS],
        AtStart,
        "in which a purge holds: calls are bounded by it",
    ),
    budget(
        "budget.routers_most",
        Count,
        [1.0, 8192.0],
        "routers that may belong: no more are listed, and each has a floor",
    ),
    budget("budget.floor_part", Number, [0.0, 0.5], "the part of each whole that floors are"),
    budget("budget.origin_fills.per_s", Number, RATE, "fills by the origin, of the whole fleet"),
    budget("budget.origin_fills.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.origin_fills.in_hand", Count, RATE, "fills by the origin under way at once"),
    budget("budget.location_fills.per_s", Number, RATE, "the same of each location, within it"),
    budget("budget.location_fills.burst", Number, RATE, "and how many at a stroke"),
    budget("offering.*.origin_fills_per_s", Number, RATE, "the same of an offering, within it"),
    budget("offering.*.origin_fills_burst", Number, RATE, "and how many at a stroke"),
    budget("budget.further.per_s", Number, RATE, "dispatches after one that failed"),
    budget("budget.further.burst", Number, RATE, "and how many at a stroke"),
    budget(
        "budget.further.per_success",
        Number,
        [0.0, 10.0],
        "how many a view that was done allows, at its own router",
    ),
    budget("budget.looks.per_s", Number, RATE, "plain looks at each cache"),
    budget("budget.looks.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.connections.per_s", Number, RATE, "new connections to each cache"),
    budget("budget.connections.burst", Number, RATE, "and how many at a stroke"),
    budget("budget.accounts.per_s", Number, RATE, "views of each account"),
    budget("budget.accounts.burst", Number, RATE, "and how many at a stroke"),
    budget(
        "budget.cold_parts",
        Flag,
        ZERO_TO_ONE,
        "what cold caches and parents bear is divided by who asks, not by numbers told at the start",
    ),
    key("limit.open_views", None, Count, [1.0, 4096.0], InService, "views in hand at once, at each router"),
];
