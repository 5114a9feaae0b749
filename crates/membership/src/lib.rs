//! Fleet membership, from the view of one member: the members ([`MemberList`]), how long the member may act
//! on the state that it knows ([`Lease`]), the fleet's time ([`ClockSync`]), and which members are suspected
//! to have failed ([`FailureDetector`]). The crate does no I/O, reads no clock and draws no random numbers.
//!
//! `docs/design/policy.md` states the guarantees and the assumptions behind them.

mod bounded_vec;
mod clocks;
mod failure_detector;
mod interval;
mod lease;
mod member_list;
mod timings;

pub use bounded_vec::{MAX_ITEMS, bounded_vec};
pub use clocks::{ClockExchange, ClockOffset, ClockSync};
pub use failure_detector::FailureDetector;
pub use interval::{FleetTime, Interval};
pub use lease::{Confirmation, Lease};
pub use member_list::{Member, MemberList, UninformedMajority};
pub use timings::{Timings, TimingsError};

use serde::{Deserialize, Serialize};

/// Identifies one process of a router: 64 random bits, drawn at its start and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
