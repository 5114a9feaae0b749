//! Connections to endpoints (caches, parents and the origin) and the exchanges on them.

mod connection;
mod endpoint_table;
mod exchange;
mod memory_budget;
mod pool;

pub use exchange::{AttemptResult, PendingRequest};
pub use memory_budget::{MemoryBudget, MemoryReservation};
pub use pool::{EndpointPool, RoutingSnapshot};
