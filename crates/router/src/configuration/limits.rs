//! Sizes, counts and times that the router keeps to, derived from the configuration at start.

use std::time::Duration;

use tindoor::time::Span;
use tindoor_external_requests::Limits as TableLimits;

/// The fewest descriptors set aside for the listener, the watch, signals, timers and logs.
const MIN_RESERVED_DESCRIPTORS: usize = 16;
/// The most descriptors set aside for them.
const MAX_RESERVED_DESCRIPTORS: usize = 32;
/// The share of the descriptors that clients get.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3;
/// Time from the first byte of a frame or request head to its last.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a client or proxy to take an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The least upper bound of a request's timeout.
const MIN_MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that are read at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Bytes that are read first where the length of a message is unknown.
const INITIAL_READ_BYTES: usize = 2 << 10;
/// The longest deadline that a shutdown waits for: the process may be killed 0.7 s after it.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline in which requests are still answered during a shutdown.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// What the configuration says about the machine and about connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitInputs {
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Time for a connection to an endpoint to be established.
    pub connect_timeout: Duration,
    /// Time after which endpoints close an idle connection.
    pub endpoint_idle_timeout: Duration,
    /// Requests in flight.
    pub max_open_requests: usize,
    /// The longest deadline of any request class.
    pub longest_deadline: Duration,
    /// Time that an endpoint takes to warm up.
    pub warm_up: Duration,
}

/// All limits of the router.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests in flight, of all listeners together.
    pub max_open_requests: usize,
    /// Bytes that all frames and bodies may take together.
    pub max_buffered_bytes: usize,
    /// Time between two checks of a condition that has no event.
    pub poll_interval: Duration,
    /// Time for another process to release the listen address.
    pub bind_timeout: Duration,
    /// Retry-After of requests that are rejected for want of a lease.
    pub no_lease_retry_after: Duration,
    /// Clients' connections and calls.
    pub client: ClientLimits,
    /// Connections to endpoints.
    pub upstream: UpstreamLimits,
    /// The discovery watch.
    pub watch: WatchLimits,
    /// Graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Proxies that ask for routing decisions.
    pub proxy: ProxyLimits,
    /// Requests that proxies carry out.
    pub external: ExternalRequestLimits,
}

/// Limits of clients' connections and calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Connections, those being closed included.
    pub max_connections: usize,
    /// Connections of these that are kept free, or are being closed, for new clients.
    pub reserved_connections: usize,
    /// Open calls on one connection.
    pub max_open_calls: usize,
    /// Unwritten replies of one connection, above which no more is read from it.
    pub max_unwritten_replies: usize,
    /// Bytes of one frame, without its length.
    pub max_frame_bytes: usize,
    /// Bytes up to which a frame is copied, so that a request does not pin the whole read buffer.
    pub max_copied_frame_bytes: usize,
    /// Bytes of a text field of a call.
    pub max_field_bytes: usize,
    /// Bytes of the body of a call.
    pub max_body_bytes: usize,
    /// Bytes that are read at a time.
    pub read_chunk_bytes: usize,
    /// Bytes that the system may buffer for a client that reads slowly.
    pub send_buffer_bytes: usize,
    /// Age from which a new connection without a complete frame makes room for others.
    pub first_call_timeout: Duration,
    /// Time to the first complete frame, and from the first byte of a frame to its last.
    pub frame_timeout: Duration,
    /// The longest timeout of a request; longer ones are cut to it.
    pub max_request_timeout: Duration,
    /// Time for a client to take a reply.
    pub write_timeout: Duration,
    /// Time for the last replies of a connection that is being closed.
    pub final_write_timeout: Duration,
    /// Time in which what still arrives is read and dropped once the router has closed its side: unread bytes
    /// would reset the connection and destroy replies on their way.
    pub linger_timeout: Duration,
    /// The least of that time where connections run out.
    pub min_linger: Duration,
    /// Time for which there may be more to read from a client without a pause: after it nothing is forwarded
    /// for the client, as its close may lie behind the unread bytes.
    pub max_read_backlog: Duration,
}

/// Limits of connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Connections, idle ones and those being established included.
    pub max_connections: usize,
    /// Bytes of a response head, with the interim responses before it.
    pub max_head_bytes: usize,
    /// Bytes of a response body.
    pub max_body_bytes: usize,
    /// Bytes that are read of a response before its length is known.
    pub initial_read_bytes: usize,
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// Time for which a connection may stay idle; shorter than the endpoint's own.
    pub idle_timeout: Duration,
    /// Idle time before a connection is used again: a surplus response, which would be taken for that of the
    /// next request, may arrive after the first one.
    pub reuse_delay: Duration,
    /// Time for which the id of a removed endpoint is not given to another.
    pub removed_endpoint_retention: Duration,
    /// Time between two sweeps of idle connections.
    pub sweep_interval: Duration,
}

/// Limits of the discovery watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchLimits {
    /// Bytes of one line.
    pub max_line_bytes: usize,
    /// Bytes that are read at a time.
    pub read_chunk_bytes: usize,
    /// Time for the connection to be established.
    pub connect_timeout: Duration,
    /// Time without a byte; the stream has a heartbeat each second.
    pub read_timeout: Duration,
    /// Time for a complete line, however its bytes arrive.
    pub line_timeout: Duration,
    /// The least pause before the next connection; jitter adds up to as much again.
    pub backoff: Duration,
}

/// Limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownLimits {
    /// Time for which new requests are taken at least.
    pub min_duration: Duration,
    /// Time after which requests in flight are abandoned.
    pub timeout: Duration,
    /// Time for the last replies after that.
    pub final_write_timeout: Duration,
}

/// Limits of connections from proxies.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLimits {
    /// Connections.
    pub max_connections: usize,
    /// Open streams on one connection.
    pub max_streams: usize,
    /// Bytes of a header list.
    pub max_header_list_bytes: usize,
    /// Bytes of a message.
    pub max_message_bytes: usize,
    /// Streams that a proxy may reset before they are accepted, and reset streams that are remembered.
    pub max_reset_streams: usize,
    /// The cost of small frames that wait to be read on one connection, by the reckoning of the HTTP/2
    /// library.
    pub data_frame_budget: usize,
    /// Bytes that may wait on one stream for its flow-control window.
    pub max_unsent_bytes: usize,
    /// Bytes that are read at a time.
    pub read_chunk_bytes: usize,
    /// Bytes that are read of a request before its length is known.
    pub initial_read_bytes: usize,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
    /// Time for a complete request head or message.
    pub frame_timeout: Duration,
    /// Time for a proxy to take an answer.
    pub write_timeout: Duration,
    /// The longest timeout of a request.
    pub max_request_timeout: Duration,
}

/// Limits of requests that proxies carry out.
#[derive(Clone, Copy, Debug)]
pub struct ExternalRequestLimits {
    /// Time within which a routing decision is to be used.
    pub decision_timeout: Duration,
    /// Time after the end of an attempt within which it is to be reported.
    pub report_timeout: Duration,
    /// Time for which a request waits for the proxy's next call.
    pub retry_timeout: Duration,
    /// Idempotency keys that are remembered.
    pub max_idempotency_keys: usize,
    /// Correlation ids of finished requests that are remembered.
    pub max_finished_requests: usize,
    /// Calls that wait for the outcome of one idempotency key.
    pub max_waiters_per_key: usize,
}

impl Limits {
    /// The limits of a process with this machine and these connections.
    pub fn new(inputs: LimitInputs) -> Self {
        let client_connections = inputs.descriptors / CLIENT_DESCRIPTORS_DIVISOR;
        let memory = inputs.memory_mb as usize * 1_000_000;
        let max_request_timeout = inputs.longest_deadline.max(MIN_MAX_REQUEST_TIMEOUT);
        let final_write_timeout = Duration::from_millis(200);
        Self {
            max_open_requests: inputs.max_open_requests,
            max_buffered_bytes: memory / 2,
            poll_interval: Duration::from_millis(10),
            bind_timeout: Duration::from_secs(8),
            no_lease_retry_after: Duration::from_millis(400),
            client: ClientLimits::new(client_connections, max_request_timeout, final_write_timeout),
            upstream: UpstreamLimits::new(&inputs, client_connections),
            watch: WatchLimits::new(),
            shutdown: ShutdownLimits {
                min_duration: Duration::from_millis(800),
                timeout: inputs.longest_deadline.min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_MARGIN,
                final_write_timeout,
            },
            proxy: ProxyLimits::new(client_connections, max_request_timeout),
            external: ExternalRequestLimits::new(),
        }
    }

    /// Limits of the table of externally processed requests, by the shortest grace period and the longest
    /// retry window of the deployment. A decision is to be used within half the grace period; the other half
    /// is for the drain or purge to reach this router.
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

impl ClientLimits {
    fn new(max_connections: usize, max_request_timeout: Duration, final_write_timeout: Duration) -> Self {
        Self {
            max_connections,
            reserved_connections: max_connections / 8,
            max_open_calls: 32,
            max_unwritten_replies: 128,
            max_frame_bytes: 64 << 10,
            max_copied_frame_bytes: 4 << 10,
            max_field_bytes: 128,
            max_body_bytes: 48_000,
            read_chunk_bytes: READ_CHUNK_BYTES,
            send_buffer_bytes: 256 << 10,
            first_call_timeout: Duration::from_millis(250),
            frame_timeout: FRAME_TIMEOUT,
            max_request_timeout,
            write_timeout: WRITE_TIMEOUT,
            final_write_timeout,
            linger_timeout: Duration::from_secs(1),
            min_linger: Duration::from_millis(60),
            max_read_backlog: Duration::from_millis(80),
        }
    }
}

impl UpstreamLimits {
    fn new(inputs: &LimitInputs, client_connections: usize) -> Self {
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

impl WatchLimits {
    fn new() -> Self {
        Self {
            max_line_bytes: 1 << 20,
            read_chunk_bytes: READ_CHUNK_BYTES,
            connect_timeout: Duration::from_secs(1),
            read_timeout: Duration::from_millis(1800),
            line_timeout: Duration::from_millis(2500),
            backoff: Duration::from_millis(100),
        }
    }
}

impl ProxyLimits {
    fn new(client_connections: usize, max_request_timeout: Duration) -> Self {
        Self {
            max_connections: (client_connections / 4).max(1),
            max_streams: 1 << 10,
            max_header_list_bytes: 16 << 10,
            max_message_bytes: 64 << 10,
            max_reset_streams: 64,
            data_frame_budget: 2 * 256 * (1 << 10),
            max_unsent_bytes: 16 << 10,
            read_chunk_bytes: READ_CHUNK_BYTES,
            initial_read_bytes: INITIAL_READ_BYTES,
            idle_timeout: Duration::from_secs(60),
            frame_timeout: FRAME_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            max_request_timeout,
        }
    }
}

impl ExternalRequestLimits {
    fn new() -> Self {
        Self {
            decision_timeout: Duration::from_millis(200),
            report_timeout: Duration::from_millis(250),
            retry_timeout: Duration::from_millis(250),
            max_idempotency_keys: 1 << 17,
            max_finished_requests: 1 << 17,
            max_waiters_per_key: 8,
        }
    }
}

/// Limits of connections between the routers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Connections to peers, and as many from them.
    pub max_connections: usize,
    /// Bytes of a message.
    pub max_message_bytes: usize,
    /// Bytes of the first line of a connection.
    pub max_hello_bytes: usize,
    /// Messages that wait for one peer.
    pub max_queued_messages: usize,
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// Time for a message to be written, or to arrive completely.
    pub write_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
    /// Pause after a connection that failed.
    pub backoff: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_connections: 96,
            max_message_bytes: 1 << 20,
            max_hello_bytes: 256,
            max_queued_messages: 128,
            connect_timeout: Duration::from_millis(400),
            write_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
            backoff: Duration::from_millis(50),
        }
    }
}
