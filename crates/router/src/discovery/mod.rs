//! The discovery watch: follows the change stream and applies its events to the connections, the routing
//! engine, and the requests that external proxies execute.

mod apply;
mod connection;
mod metrics;
mod watch;

pub use apply::apply_event;
pub use metrics::WatchMetrics;
pub use watch::watch;
