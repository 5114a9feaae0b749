//! Routers of one fleet, as one of them knows them: who is listed ([`MemberList`]), how long what it knows surely
//! still holds ([`Lease`]), what time it is for all ([`ClockSync`]), and who has been silent for longer than is
//! usual ([`FailureDetector`]). Nothing here does I/O, reads a clock or draws lots.
//!
//! What is promised with them, and on which assumptions, is in `docs/design/policy.md`.

mod clocks;
mod failure_detector;
mod lease;
mod member_list;

pub use clocks::{ClockSync, FleetTime, Interval};
pub use failure_detector::FailureDetector;
pub use lease::{Confirmation, Lease};
pub use member_list::{Member, MemberList};

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

/// One start of a router's process: 64 random bits, never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

/// What all routers of a fleet must be told alike, since promises are reckoned with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a router may go by what it surely knew.
    pub lease: Span,
    /// How long a fleet goes on without its voters.
    pub quorum_loss_grace: Span,
    /// How far any two routers may be apart in the fleet's time, and each from it.
    pub clock_bound: Span,
    /// How often a router asks others how things stand.
    pub heartbeat_interval: Span,
    /// How far a clock may be off its true rate, in millionths.
    pub drift_ppm: u64,
}

impl Timings {
    /// Says which term can't stand beside which.
    pub fn check(&self) -> Result<(), String> {
        let Self {
            lease,
            quorum_loss_grace: hold_out,
            clock_bound: bound,
            heartbeat_interval: beat,
            drift_ppm,
        } = *self;
        let ms = |span: Span| span.as_micros() / 1000;
        if ms(beat) == 0 {
            return Err("beat_ms: 0".into());
        }
        if lease < beat * 4.0 {
            return Err(format!("lease_ms: {} is under four beats of {} ms", ms(lease), ms(beat)));
        }
        if hold_out < lease {
            return Err(format!("hold_out_ms: {} is under the lease of {} ms", ms(hold_out), ms(lease)));
        }
        if bound == Span::ZERO || bound > lease {
            return Err(format!("clock_bound_ms: {} is not from 1 to the lease", ms(bound)));
        }
        if drift_ppm > 10_000 || self.drift(lease) > bound {
            return Err(format!("drift_ppm: a lease at {drift_ppm} is off by more than the clock's bound"));
        }
        Ok(())
    }

    /// How far two clocks may part in so long: both may be off, one either way.
    pub fn drift(&self, over: Span) -> Span {
        Span::micros(over.as_micros().saturating_mul(2 * self.drift_ppm).div_ceil(1_000_000))
    }
}
