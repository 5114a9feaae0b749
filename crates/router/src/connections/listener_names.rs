//! The names of the listeners in logs and metrics.

/// The listener for clients.
pub const CLIENTS: &str = "clients";
/// The gRPC listener for proxies; also its key in the fronts file.
pub const EXTERNAL_PROCESSING: &str = "external_processing";
/// The plain HTTP listener for proxies; also its key in the fronts file.
pub const CALL: &str = "call";
/// The listener for the other routers of a fleet.
pub const FLEET: &str = "fleet";
/// The socket for operators' commands.
pub const OPERATOR: &str = "operator";
