//! Connections to endpoints (caches, parents and the origin) and the exchanges on them.

mod connection;
mod endpoint_table;
mod exchange;
mod pool;

pub use endpoint_table::ListedEndpoint;
pub use exchange::{AttemptResult, PendingRequest};
pub use pool::{EndpointPool, RoutingSnapshot};
