//! Audits by a token bucket whether events stayed within a rate and its burst.

use std::time::Instant;

use super::limits::RateLimit;

/// The findings of an audit of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateAudit {
    /// Events that exceeded the limit.
    pub violations: u64,
    /// The largest fraction of the bucket's capacity that was used at a time. Above 1 if the limit was
    /// exceeded.
    pub peak_fraction: f64,
}

impl RateAudit {
    /// Audits events against a constant limit. `tolerance_s` is the uncertainty of event times, in seconds.
    pub fn of(times: &[Instant], limit: RateLimit, tolerance_s: f64) -> Self {
        Self::of_changing_rate(times, limit.burst, tolerance_s, |_| limit.per_second)
    }

    /// Audits events against a rate that changes over time, in events per second. A token bucket that starts
    /// full checks all time windows at once.
    pub fn of_changing_rate(
        times: &[Instant],
        burst: f64,
        tolerance_s: f64,
        rate: impl Fn(Instant) -> f64,
    ) -> Self {
        let mut audit = Self::default();
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let Some(first) = sorted.first().copied() else { return audit };
        let capacity = |at: Instant| burst + tolerance_s * rate(at);
        let (mut last, mut tokens) = (first, capacity(first));
        for at in sorted {
            let refill = (at - last).as_secs_f64() * rate(at);
            tokens = (tokens + refill).min(capacity(at)) - 1.0;
            last = at;
            audit.peak_fraction = audit.peak_fraction.max((capacity(at) - tokens) / capacity(at));
            if tokens < 0.0 {
                audit.violations += 1;
                tokens = 0.0;
            }
        }
        audit
    }

    /// Returns the sum of the violations and the higher of the peaks.
    pub fn plus(self, other: Self) -> Self {
        Self {
            violations: self.violations + other.violations,
            peak_fraction: self.peak_fraction.max(other.peak_fraction),
        }
    }
}
