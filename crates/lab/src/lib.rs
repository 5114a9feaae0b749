//! The project's stand-ins and experiments on loopback. Nothing here shares code with the router: what is
//! audited is seen at the caches and at the clients.

pub mod called;
pub mod choices;
pub mod demo;
pub mod figures;
pub mod fleet;
pub mod peer;
pub mod proxy;
pub mod signed;
pub mod simulated;
pub mod stand_in;
pub mod world;
