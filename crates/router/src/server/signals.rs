//! Subscribes to signals.

use std::io;

use async_signal::{Signal, Signals};

/// Subscribes to these signals.
///
/// Not inlined, as a workaround for tools between the router and the operating system that check more bits of
/// a register than the system does: if inlined into a task, the descriptor that is passed to the C library
/// shares its register with other bits. See `docs/incidents/2026-12-02-signals-refused.md`.
#[inline(never)]
pub fn subscribe(signals: &[Signal]) -> io::Result<Signals> {
    Signals::new(signals.iter().copied())
}
