//! Limits on sizes, counts and times, derived from the configuration at startup.

mod client;
mod connections;
mod memory;
mod peer;
mod proxy;
mod upstream;
mod watch;

use std::time::Duration;

use tindoor::time::Span;
use tindoor_external_requests::Limits as TableLimits;

pub use client::ClientLimits;
pub use connections::ConnectionLimits;
pub use memory::MemoryLimits;
pub use peer::PeerLimits;
pub use proxy::{ExternalRequestLimits, ProxyLimits};
pub use upstream::UpstreamLimits;
pub use watch::WatchLimits;

/// One in this many file descriptors is for client connections.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3;
/// The time from the first byte of a frame or request head to its last byte.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for a client or proxy to accept all bytes of a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The smallest value of the maximum request timeout, whatever the deadlines of the request classes.
const MIN_MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The buffer size of a single read, in bytes.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// The size of the first read if the length of a message is not known yet, in bytes.
const INITIAL_READ_BYTES: usize = 2 << 10;
/// The longest request deadline that a shutdown waits for. The process may be killed 0.7 s after this time.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// The time after the longest deadline during which a shutdown still answers requests.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// The configured values from which the limits are derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitInputs {
    /// The memory of the process, in megabytes (10^6 bytes).
    pub memory_mb: u64,
    /// The number of file descriptors of the process.
    pub descriptors: usize,
    /// The timeout for establishing a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The time after which endpoints close an idle connection.
    pub endpoint_idle_timeout: Duration,
    /// The maximum number of requests in flight.
    pub max_open_requests: usize,
    /// The longest deadline of any request class.
    pub longest_deadline: Duration,
    /// The time that an endpoint takes to warm up.
    pub warm_up: Duration,
}

/// The listeners beside the one for clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExtraListeners {
    /// The number of listeners for proxies.
    pub for_proxies: usize,
    /// Whether there is a listener for the other routers of a fleet.
    pub for_peers: bool,
}

/// All limits of the router.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of requests in flight, over all listeners.
    pub max_open_requests: usize,
    /// The memory that untrusted peers may occupy.
    pub memory: MemoryLimits,
    /// The time between two checks of a condition that has no event to wait for.
    pub poll_interval: Duration,
    /// How long startup waits for another process to release the listen address.
    pub bind_timeout: Duration,
    /// The Retry-After of requests that are rejected because the router has no lease.
    pub no_lease_retry_after: Duration,
    /// The time between two reports on listeners that were full.
    pub report_interval: Duration,
    /// Limits of client connections and calls.
    pub client: ClientLimits,
    /// Limits of connections to endpoints.
    pub upstream: UpstreamLimits,
    /// Limits of the discovery watch.
    pub watch: WatchLimits,
    /// Limits of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Limits of connections from proxies that request routing decisions.
    pub proxy: ProxyLimits,
    /// Limits of externally processed requests.
    pub external: ExternalRequestLimits,
    /// Limits of connections between the routers of a fleet.
    pub peer: PeerLimits,
}

/// Limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownLimits {
    /// The minimum time for which new requests are still accepted.
    pub min_duration: Duration,
    /// The time after which requests in flight are failed.
    pub timeout: Duration,
    /// The time for writing the last replies after `timeout`.
    pub final_write_timeout: Duration,
}

impl Limits {
    /// Derives the limits from the configured values.
    pub fn new(inputs: LimitInputs) -> Self {
        let client_connections = inputs.descriptors / CLIENT_DESCRIPTORS_DIVISOR;
        let memory = inputs.memory_mb as usize * 1_000_000;
        let max_request_timeout = inputs.longest_deadline.max(MIN_MAX_REQUEST_TIMEOUT);
        let final_write_timeout = Duration::from_millis(200);
        Self {
            max_open_requests: inputs.max_open_requests,
            memory: MemoryLimits::new(memory),
            poll_interval: Duration::from_millis(10),
            bind_timeout: Duration::from_secs(8),
            no_lease_retry_after: Duration::from_millis(400),
            report_interval: Duration::from_secs(10),
            client: ClientLimits::new(memory, client_connections, max_request_timeout, final_write_timeout),
            upstream: UpstreamLimits::new(&inputs, client_connections),
            watch: WatchLimits::new(),
            shutdown: ShutdownLimits {
                min_duration: Duration::from_millis(800),
                timeout: inputs.longest_deadline.min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_MARGIN,
                final_write_timeout,
            },
            proxy: ProxyLimits::new(client_connections, max_request_timeout),
            external: ExternalRequestLimits::new(memory),
            peer: PeerLimits::new(inputs.descriptors),
        }
    }

    /// Returns the limits with the descriptors of further listeners taken from those that use them otherwise, so
    /// that all together stay within the descriptors of the process.
    pub fn with_listeners(mut self, listeners: ExtraListeners) -> Self {
        let for_proxies = listeners.for_proxies * self.proxy.connections.max_connections;
        let for_clients = self.client.connections.max_connections.saturating_sub(for_proxies).max(1);
        self.client.connections = ConnectionLimits::new(for_clients, for_clients / client::RESERVE_DIVISOR);
        if listeners.for_peers {
            let for_peers = self.peer.descriptors();
            self.upstream.max_connections = self.upstream.max_connections.saturating_sub(for_peers).max(1);
        }
        self
    }

    /// Returns the limits of the table of externally processed requests. `grace` is the shortest grace period
    /// and `window` the longest idempotency window of the deployment. A proxy must use a decision within half
    /// the grace period; the other half is the time for a drain or purge to reach this router.
    pub fn external_request_limits(&self, grace: Duration, window: Duration) -> TableLimits {
        let span = |time: Duration| Span::micros(time.as_micros() as u64);
        TableLimits {
            max_requests: self.max_open_requests,
            max_idempotency_keys: self.external.max_idempotency_keys,
            max_finished: self.external.max_finished_requests,
            max_waiters: self.external.max_waiters_per_key,
            use_within: span(self.external.decision_timeout.min(grace / 2)),
            report_grace: span(self.external.report_timeout),
            retry_window: span(self.external.retry_timeout),
            idempotency_window: span(window),
            max_request_time: span(self.client.max_request_timeout),
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/limits.rs"]
mod tests;
