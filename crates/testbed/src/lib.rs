//! Stand-in caches, proxies and clients, and the experiments that run the router against them on loopback.
//! This package shares no code with the router, and audits only what the stand-in caches and clients observe.
//! The one exception is [`simulation`], which runs the router's own state machines in virtual time, without
//! I/O.

pub mod budgets;
pub mod choices;
pub mod cluster;
pub mod demo;
pub mod external_processing;
pub mod figures;
pub mod fleet;
pub mod peer;
pub mod policy;
pub mod proxy;
pub mod relay;
pub mod signed;
pub mod simulation;
pub mod stand_in;
