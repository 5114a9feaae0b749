//! Points in time and lengths of time, in microseconds; the two do not mix.

use std::ops::{Add, Mul, Sub};

/// A point on the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A length of time, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn at_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// How long ago `earlier` was; nothing if it lies ahead.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Self = Self(0);

    pub const fn micros(micros: u64) -> Self {
        Self(micros)
    }

    pub const fn millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A span of so many seconds; what is negative or no number counts as none.
    pub fn secs(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, times: f64) -> Span {
        Span((self.0 as f64 * times) as u64)
    }
}
