//! The local clock of a fleet member. Compares the boot clock, which keeps running while the machine sleeps,
//! with the monotonic clock, which does not. If the two differ by more than a tolerance, the clock has
//! jumped.

use std::cell::Cell;
use std::time::Instant;

use rustix::time::{ClockId, clock_gettime};
use tindoor::time::Moment;

/// The fixed part of the tolerated difference between the two clocks from one reading to the next, in
/// microseconds.
const MAX_DIFFERENCE_MICROS: u64 = 10_000;
/// The proportional part of the tolerated difference: the time between the readings divided by this number.
const MAX_DIFFERENCE_DIVISOR: u64 = 100;

/// The values of both clocks at one moment.
#[derive(Clone, Copy)]
struct Reading {
    /// The monotonic clock, which stops while the machine sleeps.
    monotonic: Instant,
    /// The boot clock, which keeps running while the machine sleeps: microseconds since the machine started.
    boot_micros: u64,
}

/// The local clock of a fleet member.
pub(super) struct BootClock {
    last: Cell<Reading>,
    started: Reading,
    fault: Option<ClockFault>,
}

/// A clock fault that an experiment injects, in debug builds only: the clock runs at another rate, and jumps
/// once.
#[derive(Clone, Copy)]
struct ClockFault {
    rate: f64,
    jump_after_micros: u64,
    jump_micros: i64,
}

impl BootClock {
    pub fn start() -> Self {
        let started = Reading { monotonic: Instant::now(), boot_micros: boot_micros() };
        Self { last: Cell::new(started), started, fault: ClockFault::from_environment() }
    }

    fn read(&self) -> Reading {
        let reading = Reading { monotonic: Instant::now(), boot_micros: boot_micros() };
        let Some(fault) = self.fault else { return reading };
        let elapsed = reading.boot_micros - self.started.boot_micros;
        let jump = if elapsed > fault.jump_after_micros { fault.jump_micros } else { 0 };
        let faulty = self.started.boot_micros as i64 + (elapsed as f64 * fault.rate) as i64 + jump;
        Reading { boot_micros: faulty.max(0) as u64, ..reading }
    }

    /// Returns the time, and whether the clock has jumped since the previous reading.
    pub fn now(&self) -> (Moment, bool) {
        let reading = self.read();
        let last = self.last.replace(reading);
        let monotonic = (reading.monotonic - last.monotonic).as_micros() as i64;
        let boot = reading.boot_micros as i64 - last.boot_micros as i64;
        let difference = (boot - monotonic).unsigned_abs();
        let tolerated = MAX_DIFFERENCE_MICROS + monotonic.unsigned_abs() / MAX_DIFFERENCE_DIVISOR;
        (Moment::at_micros(reading.boot_micros), difference > tolerated)
    }
}

impl ClockFault {
    /// Reads the fault from `TINDOOR_CLOCK`, in the form `RATE:JUMP_AFTER_MS:JUMP_MS`.
    fn from_environment() -> Option<Self> {
        let value = std::env::var("TINDOOR_CLOCK").ok().filter(|_| cfg!(debug_assertions))?;
        let mut parts = value.split(':');
        let rate = parts.next()?.parse().ok()?;
        let (after_ms, jump_ms): (u64, i64) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        tracing::warn!(
            rate,
            after_ms,
            jump_ms,
            "clock fault injected for an experiment; use this process for tests only"
        );
        Some(Self { rate, jump_after_micros: after_ms * 1000, jump_micros: jump_ms * 1000 })
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
