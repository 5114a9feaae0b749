//! Amounts of a budget.

use serde::{Deserialize, Serialize};

/// One unit of a budget, in the thousandths in which amounts are kept.
pub const UNIT: u64 = 1000;

/// The largest amount, in thousandths of a unit.
const MAX_THOUSANDTHS: f64 = 1e15;

/// An amount of a budget. Rates have both numbers; concurrency limits and fractions only `burst`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a unit that are added each second.
    pub rate: u64,
    /// Thousandths of a unit: the burst of a rate, the most in flight of a concurrency limit, or the fraction
    /// itself.
    pub burst: u64,
}

impl Quota {
    /// Nothing at all.
    pub const NONE: Self = Self { rate: 0, burst: 0 };

    /// A rate in units per second, with its burst in units.
    pub fn rate(per_second: f64, burst: f64) -> Self {
        Self { rate: thousandths(per_second), burst: thousandths(burst) }
    }

    /// A number of units that may be in flight at once.
    pub fn concurrency(units: f64) -> Self {
        Self { rate: 0, burst: thousandths(units) }
    }

    /// The sum of both, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_add(other.rate), burst: self.burst.saturating_add(other.burst) }
    }

    /// The difference, at least zero in each number.
    pub fn minus(self, other: Self) -> Self {
        Self { rate: self.rate.saturating_sub(other.rate), burst: self.burst.saturating_sub(other.burst) }
    }

    /// This amount `count` times, saturating.
    pub fn times(self, count: u64) -> Self {
        Self { rate: self.rate.saturating_mul(count), burst: self.burst.saturating_mul(count) }
    }

    /// The smaller of both, number by number.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// The larger of both, number by number.
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), burst: self.burst.max(other.burst) }
    }

    /// Whether neither number exceeds that of `other`.
    pub fn within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    /// This amount scaled by `to / from`, number by number, and never increased.
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
