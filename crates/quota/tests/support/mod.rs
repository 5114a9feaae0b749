//! Limits and moments that the tests share.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use tindoor::time::{Moment, Span};
use tindoor_quota::{BudgetKind, BudgetLimit, Quota, UNIT};

/// A rate, in units per second, for up to four routers. One unit of burst is guaranteed to each of them.
pub fn rate(per_second: f64, burst: f64) -> BudgetLimit {
    let guaranteed = Quota { rate: 0, burst: UNIT };
    BudgetLimit {
        kind: BudgetKind::Rate,
        total: Quota::rate(per_second, burst),
        guaranteed,
        max_routers: 4,
        release_lag: Span::ZERO,
    }
}

/// The moment `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> Moment {
    Moment::at_micros(10_000_000 + ms * 1000)
}

/// A limit of the units in flight for up to four routers, without a guaranteed minimum.
pub fn concurrency(max_in_flight: f64) -> BudgetLimit {
    let total = Quota::concurrency(max_in_flight);
    BudgetLimit {
        kind: BudgetKind::Concurrency,
        total,
        guaranteed: Quota::NONE,
        max_routers: 4,
        release_lag: Span::millis(10),
    }
}
