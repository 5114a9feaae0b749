//! This router as a member of a fleet. Connects the consensus node to a clock, to stable storage and to the
//! node's peers, and applies the fleet's policy and quotas to the routing engine. All agreement logic is in
//! the node; this module does its I/O.

mod admission;
mod checks;
mod clock;
mod peers;
mod policy_objections;
mod replica_storage;
mod runtime;
mod transitions;

pub use runtime::{Fleet, FleetStatus, LocalRouter};
