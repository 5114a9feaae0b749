//! Limits of client connections and calls.

use std::time::Duration;

use tindoor_request_runtime::RecentIds;

use super::{ConnectionLimits, FRAME_TIMEOUT, INITIAL_READ_BYTES, READ_CHUNK_BYTES, WRITE_TIMEOUT};

/// One in this many client connections is kept available for new clients.
pub(super) const RESERVE_DIVISOR: usize = 8;
/// One in this many bytes of the memory is for rejections and health replies that wait to be written.
const UNWRITTEN_REPLIES_DIVISOR: usize = 32;
/// One in this many bytes of the memory is for ids of non-idempotent requests that may have run, at most; it is charged
/// to complete messages.
const RECENT_RUNS_DIVISOR: usize = 32;
/// What a rejection or health reply occupies until it is written, in bytes.
const REPLY_BYTES: usize = 256;
/// The bounds of the number of unwritten replies of one client connection.
const MIN_UNWRITTEN_REPLIES: usize = 8;
const MAX_UNWRITTEN_REPLIES: usize = 128;

/// Limits of client connections and calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Limits of the connections.
    pub connections: ConnectionLimits,
    /// The maximum number of open calls on one connection.
    pub max_open_calls: usize,
    /// The number of unwritten replies above which the router stops reading from a connection.
    pub max_unwritten_replies: usize,
    /// The maximum number of ids of non-idempotent requests that may have run that are remembered.
    pub max_recent_runs: usize,
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

impl ClientLimits {
    pub(super) fn new(
        memory: usize,
        max_connections: usize,
        max_request_timeout: Duration,
        final_write_timeout: Duration,
    ) -> Self {
        let replies_bytes = memory / UNWRITTEN_REPLIES_DIVISOR / max_connections.max(1);
        Self {
            connections: ConnectionLimits::new(max_connections, max_connections / RESERVE_DIVISOR),
            max_open_calls: 32,
            max_unwritten_replies: (replies_bytes / REPLY_BYTES)
                .clamp(MIN_UNWRITTEN_REPLIES, MAX_UNWRITTEN_REPLIES),
            max_recent_runs: memory / RECENT_RUNS_DIVISOR / RecentIds::ENTRY_BYTES,
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
