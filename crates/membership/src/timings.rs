//! The timings of a fleet, and the check that they are consistent with each other.

use tindoor::time::Span;

/// The minimum length of a lease, in heartbeat intervals.
const MIN_LEASE_HEARTBEATS: f64 = 4.0;

/// The largest accepted clock drift, in parts per million.
const MAX_DRIFT_PPM: u64 = 10_000;

/// Parts per million in a whole.
const PPM: u64 = 1_000_000;

/// The timings of a fleet. All its routers must have the same timings, because each router relies on the
/// timings of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// The length of a lease: how long a router may act on the state that it last confirmed.
    pub lease: Span,
    /// How long a fleet keeps serving without a quorum of its voters.
    pub quorum_loss_grace: Span,
    /// The largest error of a router's reading of the fleet's time, and the largest difference between two
    /// routers' readings.
    pub clock_bound: Span,
    /// How often a router sends status requests.
    pub heartbeat_interval: Span,
    /// How far the rate of a clock may deviate from the true rate, in parts per million.
    pub drift_ppm: u64,
}

/// Reasons why timings are rejected. The error messages name the keys of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingsError {
    /// The heartbeat interval is less than a millisecond.
    #[error("beat_ms: expected at least 1, found 0")]
    NoHeartbeat,
    /// The lease is too short for the heartbeat interval.
    #[error("lease_ms: expected at least four times beat_ms ({heartbeat_ms}), found {lease_ms}")]
    ShortLease {
        /// The lease, in milliseconds.
        lease_ms: u64,
        /// The heartbeat interval, in milliseconds.
        heartbeat_ms: u64,
    },
    /// The grace is shorter than the lease.
    #[error("hold_out_ms: expected at least lease_ms ({lease_ms}), found {grace_ms}")]
    ShortGrace {
        /// The grace after the loss of a quorum, in milliseconds.
        grace_ms: u64,
        /// The lease, in milliseconds.
        lease_ms: u64,
    },
    /// The clock bound is zero, or longer than the lease.
    #[error("clock_bound_ms: expected at least 1 and at most lease_ms, found {clock_bound_ms}")]
    ClockBoundOutOfRange {
        /// The clock bound, in milliseconds.
        clock_bound_ms: u64,
    },
    /// The clock drift exceeds 10,000 parts per million, or clocks drift apart by more than the clock bound
    /// during a lease.
    #[error(
        "drift_ppm: expected at most 10000, and two clocks that drift apart by at most clock_bound_ms during \
         lease_ms, found {drift_ppm}"
    )]
    ExcessiveDrift {
        /// The drift, in parts per million.
        drift_ppm: u64,
    },
}

impl Timings {
    /// Checks that the timings are consistent with each other.
    pub fn check(&self) -> Result<(), TimingsError> {
        let Self { lease, quorum_loss_grace, clock_bound, heartbeat_interval, drift_ppm } = *self;
        let (lease_ms, heartbeat_ms) = (millis(lease), millis(heartbeat_interval));
        if heartbeat_ms == 0 {
            return Err(TimingsError::NoHeartbeat);
        }
        if lease < heartbeat_interval * MIN_LEASE_HEARTBEATS {
            return Err(TimingsError::ShortLease { lease_ms, heartbeat_ms });
        }
        if quorum_loss_grace < lease {
            return Err(TimingsError::ShortGrace { grace_ms: millis(quorum_loss_grace), lease_ms });
        }
        if clock_bound == Span::ZERO || clock_bound > lease {
            return Err(TimingsError::ClockBoundOutOfRange { clock_bound_ms: millis(clock_bound) });
        }
        if drift_ppm > MAX_DRIFT_PPM || self.drift(lease) > clock_bound {
            return Err(TimingsError::ExcessiveDrift { drift_ppm });
        }
        Ok(())
    }

    /// Returns how far two clocks may drift apart during `elapsed`. This is twice the drift of one clock,
    /// because the clocks may drift in opposite directions.
    pub fn drift(&self, elapsed: Span) -> Span {
        Span::micros(elapsed.as_micros().saturating_mul(2 * self.drift_ppm).div_ceil(PPM))
    }
}

fn millis(span: Span) -> u64 {
    span.as_micros() / 1000
}
