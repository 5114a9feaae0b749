//! Signals as they come.

use std::io;

use async_signal::{Signal, Signals};

/// Heeds these from now on.
///
/// Kept out of its callers: set up inside a task, a descriptor was copied together with the one beside it, and came to
/// the C library in the lower half of a register whose upper half held the other. The system ignores that half; what
/// operators put between a router and the system on their fleet days does not, says that there is no such
/// descriptor, and the router refused to start. See `docs/incidents/2026-12-02-signals-refused.md`.
#[inline(never)]
pub fn heed(which: &[Signal]) -> io::Result<Signals> {
    Signals::new(which.iter().copied())
}
