//! Timings and moments that the tests share.

use tindoor::time::{Moment, Span};
use tindoor_membership::Timings;

pub const TIMINGS: Timings = Timings {
    lease: Span::millis(2000),
    quorum_loss_grace: Span::millis(20_000),
    clock_bound: Span::millis(50),
    heartbeat_interval: Span::millis(250),
    drift_ppm: 200,
};

/// The moment `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> Moment {
    Moment::at_micros(1_000_000_000 + ms * 1000)
}
