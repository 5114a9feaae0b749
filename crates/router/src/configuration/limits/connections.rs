//! Limits of the connections of one listener.

use std::time::Duration;

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

impl ConnectionLimits {
    pub(super) fn new(max_connections: usize, reserved_connections: usize) -> Self {
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
