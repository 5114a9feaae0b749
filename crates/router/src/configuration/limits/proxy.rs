//! Limits of connections from proxies, and of the requests that they process.

use std::time::Duration;

use tindoor_external_requests::{FINISHED_REQUEST_BYTES, IDEMPOTENCY_KEY_BYTES};

use super::{ConnectionLimits, FRAME_TIMEOUT, INITIAL_READ_BYTES, READ_CHUNK_BYTES, WRITE_TIMEOUT};

/// One in this many client connections is for proxies, for each of their listeners.
const PROXY_CONNECTIONS_DIVISOR: usize = 4;
/// One in this many connections of proxies is kept available for new proxies. Their connections take longer to
/// close than those of clients, as the close is announced first.
const PROXY_RESERVE_DIVISOR: usize = 4;
/// The maximum number of open streams on one connection.
const MAX_STREAMS: usize = 1 << 10;
/// One in this many bytes of the memory is for stored idempotency keys, at most; it is charged to complete messages.
const IDEMPOTENCY_KEYS_DIVISOR: usize = 6;
/// One in this many bytes of the memory is for finished requests of proxies, at most; charged likewise.
const FINISHED_REQUESTS_DIVISOR: usize = 16;
/// The maximum number of stored idempotency keys, and of finished requests, whatever the memory.
const MAX_STORED_REQUESTS: usize = 1 << 17;

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
    /// The maximum number of streams in a row that a proxy may abandon before their final answer.
    pub max_abandoned_streams: usize,
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

impl ProxyLimits {
    pub(super) fn new(client_connections: usize, max_request_timeout: Duration) -> Self {
        let max_connections = (client_connections / PROXY_CONNECTIONS_DIVISOR).max(1);
        Self {
            connections: ConnectionLimits::new(max_connections, max_connections / PROXY_RESERVE_DIVISOR),
            max_streams: MAX_STREAMS,
            max_header_list_bytes: 16 << 10,
            max_message_bytes: 64 << 10,
            max_reset_streams: 64,
            max_abandoned_streams: MAX_STREAMS,
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
    pub(super) fn new(memory: usize) -> Self {
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
