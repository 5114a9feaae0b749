//! Deterministic simulation of a router fleet in virtual time.
//!
//! A simulated day runs the consensus, membership and quota state machines of all routers without sockets and
//! injects faults. Afterwards, it audits what the routers did with requests. The audit uses the true time,
//! which is not available to any process. The same seed always produces the same day.

mod audit;
pub mod baselines;
mod day;
mod events;
mod faults;
pub mod many_days;
mod network;
mod outcome;
pub mod plots;
mod process;
mod workload;
mod world;

pub use day::{DaySettings, FAULTS};
pub use outcome::DayOutcome;

/// Simulates one day and audits it.
pub fn simulate_day(settings: &DaySettings) -> DayOutcome {
    let mut world = world::World::new(settings.clone());
    world.run();
    world.audit();
    world.outcome
}
