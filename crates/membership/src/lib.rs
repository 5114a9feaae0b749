//! Members of one fleet, as one of them knows them: the [`MemberList`], how long what it knows is certainly
//! valid ([`Lease`]), the fleet's time ([`ClockSync`]), and who is suspected to have failed
//! ([`FailureDetector`]). Nothing here does I/O, reads a clock or draws random numbers.
//!
//! What is promised with them, and on which assumptions, is in `docs/design/policy.md`.

mod clocks;
mod failure_detector;
mod interval;
mod lease;
mod member_list;
mod timings;

pub use clocks::{ClockExchange, ClockOffset, ClockSync};
pub use failure_detector::FailureDetector;
pub use interval::{FleetTime, Interval};
pub use lease::{Confirmation, Lease};
pub use member_list::{Member, MemberList, UninformedMajority};
pub use timings::{Timings, TimingsError};

use serde::{Deserialize, Serialize};

/// One process of a router: 64 random bits, never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
