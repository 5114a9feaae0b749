//! Budgets of a fleet, divided among its routers and divided anew as they come and go, never over the whole. One
//! router's side of it: what it may spend ([`TokenBucket`]), what it has lent on to others ([`LeaseLedger`]), and what it asks
//! and answers ([`Participant`]). Nothing here does I/O, reads a clock or draws lots.
//!
//! What is promised, and why it holds, is in `docs/design/budgets.md`.

mod divide;
mod ledger;
mod participant;
mod token_bucket;

pub use divide::{Demand, divide};
pub use ledger::{Claim, Grant, Guarding, LeaseLedger};
pub use participant::{Granted, Guards, KeyDemand, Participant, Plan, QuotaGrant, QuotaRequest};
pub use token_bucket::{RetryBudget, TokenBucket};

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

/// One budget of one member of its scope: that of a cache, an account; of the fleet, 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    pub budget: u16,
    pub of: u64,
}

/// A part of a budget. Rates have both; levels and parts a stock alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a unit that come each second.
    pub rate: u64,
    /// Thousandths of a unit: the burst of a rate, the most in hand of a level, the part itself.
    pub burst: u64,
}

/// Thousandths in a unit.
pub const UNIT: u64 = 1000;

impl Quota {
    pub const NONE: Self = Self { rate: 0, burst: 0 };

    /// A rate: units a second, with a burst.
    pub fn rate(per_second: f64, burst: f64) -> Self {
        Self { rate: thousandths(per_second), burst: thousandths(burst) }
    }

    /// So many at once.
    pub fn level(units: f64) -> Self {
        Self { rate: 0, burst: thousandths(units) }
    }

    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_add(other.rate), burst: self.burst.saturating_add(other.burst) }
    }

    /// Without the other; nothing where that is more.
    pub fn less(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_sub(other.rate), burst: self.burst.saturating_sub(other.burst) }
    }

    pub fn times(self, count: u64) -> Self {
        Self { rate: self.rate.saturating_mul(count), burst: self.burst.saturating_mul(count) }
    }

    pub fn least(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    pub fn most(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }

    /// Whether it is no more than the other in either.
    pub fn within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}

fn thousandths(units: f64) -> u64 {
    (units * UNIT as f64).clamp(0.0, 1e15) as u64
}

/// What kind of thing is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// So many a second, with one burst for the fleet.
    Rate,
    /// So many in hand at once.
    Level,
    /// A part of what another measure allows, reckoned over a sliding time there.
    Part,
}

/// All that the fleet may spend of one line, and what each router has of it without asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimit {
    pub kind: Kind,
    pub quota: Quota,
    /// One router's own, whoever is cut off.
    pub floor: Quota,
    /// How many routers may belong, those counted that might still spend.
    pub routers: u64,
    /// How long a share still counts after it was lowered or has lapsed: the longest that a unit is in hand, or
    /// the sliding time of a part.
    pub lag: Span,
}

impl BudgetLimit {
    /// What is left to be divided once every router that may belong has its floor.
    pub fn divided(&self) -> Quota {
        self.quota.less(self.floor.times(self.routers))
    }

    /// The smallest piece of stock that is of use: a burst or a level under one unit lets nothing through.
    pub fn grain(&self) -> u64 {
        if self.kind == Kind::Part { 1 } else { UNIT }
    }
}
