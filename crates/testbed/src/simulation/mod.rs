//! Deterministic simulation of a router fleet in virtual time.
//!
//! A simulated day runs the consensus, membership and quota state machines of all routers without sockets,
//! injects faults, and audits afterwards what the routers did with requests. The audit uses the true time,
//! which no process knows. The same seed always gives the same day.

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
