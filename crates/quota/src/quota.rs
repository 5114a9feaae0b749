//! Amounts of a budget, as a rate and a burst.

use serde::{Deserialize, Serialize};

/// One unit of a budget. Amounts are stored in thousandths of a unit.
pub const UNIT: u64 = 1000;

/// The largest amount, in thousandths of a unit.
const MAX_THOUSANDTHS: f64 = 1e15;

/// An amount of a budget. A rate uses both fields; concurrency limits and fractions use only `burst`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// The rate, in thousandths of a unit per second.
    pub rate: u64,
    /// The burst of a rate, the largest number in flight of a concurrency limit, or the fraction itself; in
    /// thousandths of a unit.
    pub burst: u64,
}

impl Quota {
    /// The empty quota.
    pub const NONE: Self = Self { rate: 0, burst: 0 };

    /// Creates a rate in units per second, with its burst in units.
    pub fn rate(per_second: f64, burst: f64) -> Self {
        Self { rate: thousandths(per_second), burst: thousandths(burst) }
    }

    /// Creates a limit of the units that may be in flight at once.
    pub fn concurrency(units: f64) -> Self {
        Self { rate: 0, burst: thousandths(units) }
    }

    /// The saturating sum, field by field.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_add(other.rate), burst: self.burst.saturating_add(other.burst) }
    }

    /// The difference, field by field; zero where `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_sub(other.rate), burst: self.burst.saturating_sub(other.burst) }
    }

    /// The saturating product with `count`, field by field.
    pub fn times(self, count: u64) -> Self {
        Self { rate: self.rate.saturating_mul(count), burst: self.burst.saturating_mul(count) }
    }

    /// The smaller of both amounts, field by field.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// The larger of both amounts, field by field.
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }

    /// Whether no field exceeds that of `other`.
    pub fn within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    /// Scales this amount by `to / from`, field by field, and never increases it.
    pub(crate) fn scaled_down(self, from: Self, to: Self) -> Self {
        Self {
            rate: scale_down(self.rate, from.rate, to.rate),
            burst: scale_down(self.burst, from.burst, to.burst),
        }
    }
}

fn scale_down(amount: u64, from: u64, to: u64) -> u64 {
    if from <= to {
        return amount;
    }
    (u128::from(amount) * u128::from(to) / u128::from(from.max(1))) as u64
}

fn thousandths(units: f64) -> u64 {
    (units * UNIT as f64).clamp(0.0, MAX_THOUSANDTHS) as u64
}
