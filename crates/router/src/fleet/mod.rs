//! This router as a member of a fleet: its consensus node with a clock, stable storage, connections to its
//! peers, and the routing engine that goes by the fleet's policy. What is decided here is decided by the
//! node.

mod admission;
mod checks;
mod clock;
mod peers;
mod policy_objections;
mod replica_storage;
mod runtime;
mod transitions;

pub use runtime::{Fleet, FleetStatus, LocalRouter};
