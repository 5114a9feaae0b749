//! The project's stand-ins and experiments on loopback. Nothing here shares code with the router: what is
//! audited is seen at the caches and at the clients. One exception: [`simulation`] runs the router's own
//! state machines without I/O in virtual time.

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
