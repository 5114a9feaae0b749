//! The timings of a fleet, and how they depend on each other.

use tindoor::time::Span;

/// Heartbeats that a lease has at least.
const MIN_LEASE_HEARTBEATS: f64 = 4.0;

/// The greatest clock drift, in parts per million.
const MAX_DRIFT_PPM: u64 = 10_000;

const PPM: u64 = 1_000_000;

/// The timings of a fleet. All its routers must have the same: each relies on those of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a router may go by what it knew for certain.
    pub lease: Span,
    /// How long a fleet goes on without a quorum of its voters.
    pub quorum_loss_grace: Span,
    /// How far any two routers may differ in the fleet's time, and each from it.
    pub clock_bound: Span,
    /// How often a router sends status requests.
    pub heartbeat_interval: Span,
    /// How far a clock may be off its true rate, in parts per million.
    pub drift_ppm: u64,
}

/// Why timings contradict each other. The texts name the configuration's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingsError {
    /// The heartbeat interval is under a millisecond.
    #[error("beat_ms: 0")]
    NoHeartbeat,
    /// The lease is too short for the heartbeat interval.
    #[error("lease_ms: {lease_ms} is under four beats of {heartbeat_ms} ms")]
    ShortLease {
        /// The lease.
        lease_ms: u64,
        /// The heartbeat interval.
        heartbeat_ms: u64,
    },
    /// The grace is shorter than the lease.
    #[error("hold_out_ms: {grace_ms} is under the lease of {lease_ms} ms")]
    ShortGrace {
        /// The grace after the loss of a quorum.
        grace_ms: u64,
        /// The lease.
        lease_ms: u64,
    },
    /// The clock bound is zero, or longer than the lease.
    #[error("clock_bound_ms: {clock_bound_ms} is not from 1 to the lease")]
    ClockBoundOutOfRange {
        /// The clock bound.
        clock_bound_ms: u64,
    },
    /// Clocks drift by more than the clock bound within a lease.
    #[error("drift_ppm: a lease at {drift_ppm} is off by more than the clock's bound")]
    ExcessiveDrift {
        /// The drift, in parts per million.
        drift_ppm: u64,
    },
}

impl Timings {
    /// Checks that the timings do not contradict each other.
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

    /// How far two clocks may drift apart in that time: both may be off, in opposite directions.
    pub fn drift(&self, elapsed: Span) -> Span {
        Span::micros(elapsed.as_micros().saturating_mul(2 * self.drift_ppm).div_ceil(PPM))
    }
}

fn millis(span: Span) -> u64 {
    span.as_micros() / 1000
}
