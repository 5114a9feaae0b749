//! Limits and moments that the tests share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use tindoor::time::{Moment, Span};
use tindoor_quota::{BudgetKind, BudgetLimit, Quota, UNIT};

/// A rate that four routers divide, with one unit of burst guaranteed to each.
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

/// A moment, in milliseconds from the beginning of a test.
pub fn at(ms: u64) -> Moment {
    Moment::at_micros(10_000_000 + ms * 1000)
}

/// A number of units in flight that four routers divide, with nothing guaranteed.
pub fn concurrency(most: f64) -> BudgetLimit {
    let total = Quota::concurrency(most);
    BudgetLimit {
        kind: BudgetKind::Concurrency,
        total,
        guaranteed: Quota::NONE,
        max_routers: 4,
        release_lag: Span::millis(10),
    }
}
