//! Limits of connections to endpoints.

use std::time::Duration;

use super::{INITIAL_READ_BYTES, LimitInputs};

/// The minimum number of file descriptors reserved for the listener, the connections of the watch, signals,
/// timers, logs, a connection that waits for room, and the configuration file.
const MIN_RESERVED_DESCRIPTORS: usize = 20;
/// The maximum number of file descriptors reserved for the same.
const MAX_RESERVED_DESCRIPTORS: usize = 32;

/// Limits of connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// The maximum number of connections, including idle ones and those being established.
    pub max_connections: usize,
    /// The maximum size of a response head together with the interim responses before it, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a response body, in bytes.
    pub max_body_bytes: usize,
    /// The size of the first read of a response, before its length is known, in bytes.
    pub initial_read_bytes: usize,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// How long a connection may stay idle. Shorter than the endpoint's own idle timeout.
    pub idle_timeout: Duration,
    /// How long a connection must be idle before it is reused. A surplus response may arrive after the first
    /// one, and would be mistaken for the response to the next request.
    pub reuse_delay: Duration,
    /// How long the id of a removed endpoint is not assigned to another endpoint.
    pub removed_endpoint_retention: Duration,
    /// The time between two sweeps of idle connections.
    pub sweep_interval: Duration,
}

impl UpstreamLimits {
    pub(super) fn new(inputs: &LimitInputs, client_connections: usize) -> Self {
        let reserved = (inputs.descriptors / 4).clamp(MIN_RESERVED_DESCRIPTORS, MAX_RESERVED_DESCRIPTORS);
        let max_connections = inputs.descriptors.saturating_sub(client_connections + reserved).max(1);
        Self {
            max_connections,
            max_head_bytes: 8 << 10,
            max_body_bytes: 240_000,
            initial_read_bytes: INITIAL_READ_BYTES,
            connect_timeout: inputs.connect_timeout,
            idle_timeout: inputs.endpoint_idle_timeout / 2,
            reuse_delay: Duration::from_millis(30),
            removed_endpoint_retention: inputs.warm_up * 3,
            sweep_interval: Duration::from_secs(1),
        }
    }
}
