//! Limits on sizes, counts and times, derived from the configuration at startup.

use std::time::Duration;

use tindoor::time::Span;
use tindoor_discovery::ScheduleLimits;
use tindoor_external_requests::{FINISHED_REQUEST_BYTES, IDEMPOTENCY_KEY_BYTES, Limits as TableLimits};

/// The minimum number of file descriptors reserved for the listener, the connections of the watch, signals,
/// timers, logs, a connection that waits for room, and the configuration file.
const MIN_RESERVED_DESCRIPTORS: usize = 20;
/// The maximum number of file descriptors reserved for the same.
const MAX_RESERVED_DESCRIPTORS: usize = 32;
/// One in this many file descriptors is for client connections.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3;
/// One in this many client connections is kept available for new clients.
const CLIENT_RESERVE_DIVISOR: usize = 8;
/// One in this many client connections is for proxies, for each of their listeners.
const PROXY_CONNECTIONS_DIVISOR: usize = 4;
/// One in this many connections of proxies is kept available for new proxies. Their connections take longer to
/// close than those of clients, as the close is announced first.
const PROXY_RESERVE_DIVISOR: usize = 4;
/// One in this many file descriptors is for connections from peers, and one for connections to peers.
const PEER_DESCRIPTORS_DIVISOR: usize = 8;
/// The maximum number of connections from peers, and separately of connections to peers.
const MAX_PEER_CONNECTIONS: usize = 96;
/// The maximum number of operators' commands at a time.
const OPERATOR_CONNECTIONS: usize = 4;
/// One in this many bytes of the memory is for complete messages, calls and answers.
const COMPLETE_MESSAGES_DIVISOR: usize = 2;
/// One in this many bytes of the memory is for messages that are still incomplete.
const INCOMPLETE_MESSAGES_DIVISOR: usize = 8;
/// One in this many bytes of the memory is for stored idempotency keys, at most; it is charged to complete messages.
const IDEMPOTENCY_KEYS_DIVISOR: usize = 6;
/// One in this many bytes of the memory is for finished requests of proxies, at most; charged likewise.
const FINISHED_REQUESTS_DIVISOR: usize = 16;
/// The maximum number of stored idempotency keys, and of finished requests, whatever the memory.
const MAX_STORED_REQUESTS: usize = 1 << 17;
/// One in this many bytes of the memory is for rejections and health replies that wait to be written.
const UNWRITTEN_REPLIES_DIVISOR: usize = 32;
/// What a rejection or health reply occupies until it is written, in bytes.
const REPLY_BYTES: usize = 256;
/// The bounds of the number of unwritten replies of one client connection.
const MIN_UNWRITTEN_REPLIES: usize = 8;
const MAX_UNWRITTEN_REPLIES: usize = 128;
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

/// The memory that untrusted peers may occupy, on all listeners together.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// The maximum total size of complete messages, calls and answers, in bytes.
    pub max_complete_bytes: usize,
    /// The maximum total size of messages that are still incomplete, in bytes.
    pub max_incoming_bytes: usize,
    /// What one open call occupies beside its message, in bytes.
    pub call_bytes: usize,
    /// What one open stream of a proxy occupies beside its messages, in bytes.
    pub stream_bytes: usize,
    /// The size of the read buffer that all connections share, in bytes.
    pub read_chunk_bytes: usize,
}

/// Limits of the connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The maximum number of connections, including those being closed.
    pub max_connections: usize,
    /// How many of `max_connections` are kept available for new peers: connections are closed early enough
    /// that this many are unused or being closed.
    pub reserved_connections: usize,
    /// The age from which a new connection that has not sent a complete message may be closed to make room
    /// for others.
    pub first_message_timeout: Duration,
    /// How long the router reads and discards further bytes after it has closed its side of a connection.
    /// Unread bytes would reset the connection and destroy replies in transit.
    pub linger_timeout: Duration,
    /// The minimum linger time, which applies if the connection limit is reached.
    pub min_linger: Duration,
    /// How long all connections may be in use before those that wait to be accepted are refused.
    pub max_blocked_time: Duration,
    /// How long connections may wait to be accepted while others are closed for them, before they are refused.
    pub max_queue_time: Duration,
    /// The time between two checks for room while a connection waits to be accepted. Each check closes one
    /// connection at most, so this time bounds how many are closed per second.
    pub room_check_interval: Duration,
}

/// Limits of client connections and calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Limits of the connections.
    pub connections: ConnectionLimits,
    /// The maximum number of open calls on one connection.
    pub max_open_calls: usize,
    /// The number of unwritten replies above which the router stops reading from a connection.
    pub max_unwritten_replies: usize,
    /// The maximum size of a frame, without its length prefix, in bytes.
    pub max_frame_bytes: usize,
    /// The size up to which a frame is copied, in bytes, so that a request does not keep the frames in memory that
    /// arrived together with it.
    pub max_copied_frame_bytes: usize,
    /// The maximum size of a text field of a call, in bytes.
    pub max_field_bytes: usize,
    /// The maximum size of the body of a call, in bytes.
    pub max_body_bytes: usize,
    /// The buffer size of a single read of bytes that are discarded, in bytes.
    pub discard_chunk_bytes: usize,
    /// The size of the socket's send buffer, in bytes: how much the system may buffer for a client that reads
    /// slowly.
    pub send_buffer_bytes: usize,
    /// The time from the accept to the first complete frame, and from the first byte of a frame to its last
    /// byte.
    pub frame_timeout: Duration,
    /// The maximum timeout of a request. A longer timeout is reduced to this value.
    pub max_request_timeout: Duration,
    /// The time for a client to accept all bytes of a reply.
    pub write_timeout: Duration,
    /// The time for writing the last replies of a connection that is being closed.
    pub final_write_timeout: Duration,
    /// How long bytes from a client may remain unread without interruption. After that, no request of the
    /// client is forwarded, because the client may have closed the connection after the unread bytes.
    pub max_read_backlog: Duration,
}

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

/// Limits of the discovery watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchLimits {
    /// The maximum size of a line, in bytes.
    pub max_line_bytes: usize,
    /// The buffer size of a single read, in bytes.
    pub read_chunk_bytes: usize,
    /// When connections begin and are given up.
    pub schedule: ScheduleLimits,
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

/// Limits of connections from proxies.
#[derive(Clone, Copy, Debug)]
pub struct ProxyLimits {
    /// Limits of the connections of each listener.
    pub connections: ConnectionLimits,
    /// The maximum number of open streams on one connection.
    pub max_streams: usize,
    /// The maximum size of a header list, in bytes.
    pub max_header_list_bytes: usize,
    /// The maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of streams that a proxy may reset before they are accepted, and the number of reset
    /// streams that are remembered.
    pub max_reset_streams: usize,
    /// The maximum cost of small frames that wait to be read on one connection, in the HTTP/2 library's cost
    /// units.
    pub data_frame_budget: usize,
    /// The maximum number of bytes that may wait on one stream for its flow-control window.
    pub max_unsent_bytes: usize,
    /// The buffer size of a single read, in bytes.
    pub read_chunk_bytes: usize,
    /// The size of the first read of a request, before its length is known, in bytes.
    pub initial_read_bytes: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
    /// The time for receiving a complete request head or message.
    pub frame_timeout: Duration,
    /// The time for a proxy to accept all bytes of a response.
    pub write_timeout: Duration,
    /// The maximum timeout of a request.
    pub max_request_timeout: Duration,
}

/// Limits of externally processed requests.
#[derive(Clone, Copy, Debug)]
pub struct ExternalRequestLimits {
    /// The time within which a proxy must use a routing decision.
    pub decision_timeout: Duration,
    /// The time after the end of an attempt within which the proxy must report the outcome.
    pub report_timeout: Duration,
    /// How long a request is kept for the proxy's next call after an attempt has ended.
    pub retry_timeout: Duration,
    /// The maximum number of idempotency keys, and of ids of non-idempotent requests that may have run, that are
    /// remembered.
    pub max_idempotency_keys: usize,
    /// The maximum number of correlation ids of finished requests that are remembered.
    pub max_finished_requests: usize,
    /// The maximum number of calls that wait for the outcome of one idempotency key.
    pub max_waiters_per_key: usize,
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
        self.client.connections = ConnectionLimits::new(for_clients, for_clients / CLIENT_RESERVE_DIVISOR);
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

impl MemoryLimits {
    fn new(memory: usize) -> Self {
        Self {
            max_complete_bytes: memory / COMPLETE_MESSAGES_DIVISOR,
            max_incoming_bytes: memory / INCOMPLETE_MESSAGES_DIVISOR,
            call_bytes: 4 << 10,
            stream_bytes: 6 << 10,
            read_chunk_bytes: READ_CHUNK_BYTES,
        }
    }
}

impl ConnectionLimits {
    fn new(max_connections: usize, reserved_connections: usize) -> Self {
        Self {
            max_connections,
            reserved_connections,
            first_message_timeout: Duration::from_millis(250),
            linger_timeout: Duration::from_secs(1),
            min_linger: Duration::from_millis(60),
            max_blocked_time: Duration::from_millis(400),
            max_queue_time: Duration::from_secs(2),
            room_check_interval: Duration::from_millis(5),
        }
    }
}

impl ClientLimits {
    fn new(
        memory: usize,
        max_connections: usize,
        max_request_timeout: Duration,
        final_write_timeout: Duration,
    ) -> Self {
        let replies_bytes = memory / UNWRITTEN_REPLIES_DIVISOR / max_connections.max(1);
        Self {
            connections: ConnectionLimits::new(max_connections, max_connections / CLIENT_RESERVE_DIVISOR),
            max_open_calls: 32,
            max_unwritten_replies: (replies_bytes / REPLY_BYTES)
                .clamp(MIN_UNWRITTEN_REPLIES, MAX_UNWRITTEN_REPLIES),
            max_frame_bytes: 64 << 10,
            max_copied_frame_bytes: READ_CHUNK_BYTES,
            max_field_bytes: 128,
            max_body_bytes: 48_000,
            discard_chunk_bytes: INITIAL_READ_BYTES,
            send_buffer_bytes: 256 << 10,
            frame_timeout: FRAME_TIMEOUT,
            max_request_timeout,
            write_timeout: WRITE_TIMEOUT,
            final_write_timeout,
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
            schedule: ScheduleLimits {
                max_connections: 3,
                connect_patience: Duration::from_secs(1),
                silence_patience: Duration::from_millis(1800),
                line_patience: Duration::from_millis(2500),
                max_patience: Duration::from_millis(3500),
                pause: Duration::from_millis(100),
                max_pause: Duration::from_millis(250),
                stable_after: Duration::from_secs(1),
            },
        }
    }
}

impl ProxyLimits {
    fn new(client_connections: usize, max_request_timeout: Duration) -> Self {
        let max_connections = (client_connections / PROXY_CONNECTIONS_DIVISOR).max(1);
        Self {
            connections: ConnectionLimits::new(max_connections, max_connections / PROXY_RESERVE_DIVISOR),
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
    fn new(memory: usize) -> Self {
        Self {
            decision_timeout: Duration::from_millis(200),
            report_timeout: Duration::from_millis(250),
            retry_timeout: Duration::from_millis(250),
            max_idempotency_keys: (memory / IDEMPOTENCY_KEYS_DIVISOR / IDEMPOTENCY_KEY_BYTES)
                .min(MAX_STORED_REQUESTS),
            max_finished_requests: (memory / FINISHED_REQUESTS_DIVISOR / FINISHED_REQUEST_BYTES)
                .min(MAX_STORED_REQUESTS),
            max_waiters_per_key: 8,
        }
    }
}

/// Limits of connections between the routers of a fleet, and of the operator's socket.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Limits of connections from peers. Connections to peers have the same maximum, separately.
    pub connections: ConnectionLimits,
    /// Limits of connections to the operator's socket.
    pub operator_connections: ConnectionLimits,
    /// The maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// The maximum size of the first line of a connection, in bytes.
    pub max_preface_bytes: usize,
    /// The maximum number of messages queued for one peer.
    pub max_queued_messages: usize,
    /// The timeout for establishing a connection. It doubles with each connect that fails.
    pub connect_timeout: Duration,
    /// The maximum of `connect_timeout`.
    pub max_connect_timeout: Duration,
    /// How long the transfer of a message may make no progress, and the time for a first line or an operator's
    /// command.
    pub progress_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
    /// The backoff after a failed connection.
    pub backoff: Duration,
}

impl PeerLimits {
    fn new(descriptors: usize) -> Self {
        let max_connections = (descriptors / PEER_DESCRIPTORS_DIVISOR).clamp(1, MAX_PEER_CONNECTIONS);
        Self {
            connections: ConnectionLimits::new(max_connections, 0),
            operator_connections: ConnectionLimits::new(OPERATOR_CONNECTIONS, 0),
            max_message_bytes: 1 << 20,
            max_preface_bytes: 256,
            max_queued_messages: 128,
            connect_timeout: Duration::from_millis(400),
            max_connect_timeout: Duration::from_millis(1600),
            progress_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
            backoff: Duration::from_millis(50),
        }
    }

    /// Returns the timeout of a connect after this many have failed in a row, so that a peer that is slow to
    /// reach is reached in the end.
    pub fn connect_timeout_after(&self, failed_connects: u32) -> Duration {
        let factor = 2u32.saturating_pow(failed_connects);
        self.connect_timeout.saturating_mul(factor).min(self.max_connect_timeout)
    }

    /// Returns the number of descriptors that the fleet's connections use at most.
    fn descriptors(&self) -> usize {
        2 * self.connections.max_connections + self.operator_connections.max_connections
    }
}
