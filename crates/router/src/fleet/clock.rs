//! The clock that counts on while the machine sleeps, compared with the one that does not: where the two
//! part, the clock has jumped.

use std::cell::Cell;
use std::time::Instant;

use rustix::time::{ClockId, clock_gettime};
use tindoor::time::Moment;

/// How far the two clocks may part between two readings, in microseconds, and as a part of the time between
/// them.
const MAX_DIFFERENCE_MICROS: u64 = 10_000;
const MAX_DIFFERENCE_DIVISOR: u64 = 100;

/// Both clocks at the same moment.
#[derive(Clone, Copy)]
struct Reading {
    /// Stands still while the machine sleeps.
    monotonic: Instant,
    /// Counts on while the machine sleeps; in microseconds since its start.
    boot_micros: u64,
}

/// The local clock of a fleet's member.
pub(super) struct BootClock {
    last: Cell<Reading>,
    started: Reading,
    fault: Option<ClockFault>,
}

/// A clock fault of an experiment, in a build for tests only: the clock runs faster by a factor, and jumps
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

    /// The time, and whether the clock has jumped since it was last read.
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
    /// `RATE:JUMP_AFTER_MS:JUMP_MS`.
    fn from_environment() -> Option<Self> {
        let value = std::env::var("TINDOOR_CLOCK").ok().filter(|_| cfg!(debug_assertions))?;
        let mut parts = value.split(':');
        let rate = parts.next()?.parse().ok()?;
        let (after_ms, jump_ms): (u64, i64) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        tracing::warn!(rate, after_ms, jump_ms, "a clock fault is injected for an experiment");
        Some(Self { rate, jump_after_micros: after_ms * 1000, jump_micros: jump_ms * 1000 })
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}
