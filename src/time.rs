//! Points in time and durations, with microsecond resolution.
//!
//! Arithmetic saturates: a span is never negative, and no moment lies before the clock's origin.

use std::ops::{Add, Mul, Sub};

/// A point in time on the caller's monotonic clock, in microseconds after the clock's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A non-negative duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    /// Returns the moment `micros` microseconds after the clock's origin.
    pub const fn at_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the number of microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later moment.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The span of zero length.
    pub const ZERO: Self = Self(0);

    /// Returns a span of `micros` microseconds.
    pub const fn micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns a span of `millis` milliseconds.
    pub const fn millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns a span of `secs` seconds; a negative number or NaN gives zero.
    pub fn secs(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in seconds.
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
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}
