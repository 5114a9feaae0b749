//! Whether events stayed within a rate and its burst.

use std::time::Instant;

use super::limits::RateLimit;

/// What an audit of events found.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateAudit {
    /// Events beyond the limit.
    pub violations: u64,
    /// The most that any window took, as a part of what it might.
    pub peak_part: f64,
}

impl RateAudit {
    /// Audits events against a limit.
    pub fn of(times: &[Instant], limit: RateLimit, tolerance_s: f64) -> Self {
        Self::of_changing_rate(times, limit.burst, tolerance_s, |_| limit.per_second)
    }

    /// Audits events against a rate that changes. A token bucket that begins full covers all windows at once.
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
            audit.peak_part = audit.peak_part.max((capacity(at) - tokens) / capacity(at));
            if tokens < 0.0 {
                audit.violations += 1;
                tokens = 0.0;
            }
        }
        audit
    }

    /// The violations of both, and the higher of their peaks.
    pub fn plus(self, other: Self) -> Self {
        Self {
            violations: self.violations + other.violations,
            peak_part: self.peak_part.max(other.peak_part),
        }
    }
}
