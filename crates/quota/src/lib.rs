//! Budgets of a fleet, divided among its routers and divided anew as they come and go, never over the whole. One
//! router's side of it: what it may spend ([`Purse`]), what it has lent on to others ([`Book`]), and what it asks
//! and answers ([`Party`]). Nothing here does I/O, reads a clock or draws lots.
//!
//! What is promised, and why it holds, is in `docs/design/budgets.md`.

mod book;
mod divide;
mod party;
mod purse;

pub use book::{Book, Claim, Given, Guarding};
pub use divide::{Wish, divide};
pub use party::{Ask, Guards, Lend, Lent, Party, Plan, Want};
pub use purse::{Allowance, Purse};

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

/// One budget of one member of its scope: that of a cache, an account; of the fleet, 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Line {
    pub budget: u16,
    pub of: u64,
}

/// A part of a budget. Rates have both; levels and parts a stock alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// Thousandths of a unit that come each second.
    pub flow: u64,
    /// Thousandths of a unit: the burst of a rate, the most in hand of a level, the part itself.
    pub stock: u64,
}

/// Thousandths in a unit.
pub const UNIT: u64 = 1000;

impl Share {
    pub const NONE: Self = Self { flow: 0, stock: 0 };

    /// A rate: units a second, with a burst.
    pub fn rate(per_second: f64, burst: f64) -> Self {
        Self { flow: thousandths(per_second), stock: thousandths(burst) }
    }

    /// So many at once.
    pub fn level(units: f64) -> Self {
        Self { flow: 0, stock: thousandths(units) }
    }

    pub fn plus(self, other: Self) -> Self {
        Self { flow: self.flow.saturating_add(other.flow), stock: self.stock.saturating_add(other.stock) }
    }

    /// Without the other; nothing where that is more.
    pub fn less(self, other: Self) -> Self {
        Self { flow: self.flow.saturating_sub(other.flow), stock: self.stock.saturating_sub(other.stock) }
    }

    pub fn times(self, count: u64) -> Self {
        Self { flow: self.flow.saturating_mul(count), stock: self.stock.saturating_mul(count) }
    }

    pub fn least(self, other: Self) -> Self {
        Self { flow: self.flow.min(other.flow), stock: self.stock.min(other.stock) }
    }

    pub fn most(self, other: Self) -> Self {
        Self { flow: self.flow.max(other.flow), stock: self.stock.max(other.stock) }
    }

    /// Whether it is no more than the other in either.
    pub fn within(self, other: Self) -> bool {
        self.flow <= other.flow && self.stock <= other.stock
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
pub struct Whole {
    pub kind: Kind,
    pub share: Share,
    /// One router's own, whoever is cut off.
    pub floor: Share,
    /// How many routers may belong, those counted that might still spend.
    pub routers: u64,
    /// How long a share still counts after it was lowered or has lapsed: the longest that a unit is in hand, or
    /// the sliding time of a part.
    pub lag: Span,
}

impl Whole {
    /// What is left to be divided once every router that may belong has its floor.
    pub fn divided(&self) -> Share {
        self.share.less(self.floor.times(self.routers))
    }

    /// The smallest piece of stock that is of use: a burst or a level under one unit lets nothing through.
    pub fn grain(&self) -> u64 {
        if self.kind == Kind::Part { 1 } else { UNIT }
    }
}
