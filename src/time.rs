//! Points in time and lengths of time, with the resolution of a microsecond.
//!
//! Arithmetic saturates: a span is never negative, and no moment lies before the clock's origin.

use std::ops::{Add, Mul, Sub};

/// A point on the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A length of time, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    /// The moment that many microseconds after the clock's origin.
    pub const fn at_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`; zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A span of this many microseconds.
    pub const fn micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of this many milliseconds.
    pub const fn millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A span of this many seconds; a negative number or NaN gives zero.
    pub fn secs(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in seconds.
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
