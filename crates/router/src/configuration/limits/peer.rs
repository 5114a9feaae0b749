//! Limits of connections between the routers of a fleet, and of the operator's socket.

use std::time::Duration;

use super::ConnectionLimits;

/// One in this many file descriptors is for connections from peers, and one for connections to peers.
const PEER_DESCRIPTORS_DIVISOR: usize = 8;
/// The maximum number of connections from peers, and separately of connections to peers.
const MAX_PEER_CONNECTIONS: usize = 96;
/// The maximum number of operators' commands at a time.
const OPERATOR_CONNECTIONS: usize = 4;

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
    pub(super) fn new(descriptors: usize) -> Self {
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
    pub(super) fn descriptors(&self) -> usize {
        2 * self.connections.max_connections + self.operator_connections.max_connections
    }
}
