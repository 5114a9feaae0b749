//! Connections to endpoints and their permits.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;

/// A connection to an endpoint.
pub struct EndpointConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The endpoint's generation when the connection was established.
    pub generation: u64,
    /// Counts the connection as open from before the connect until it is closed.
    pub _permit: ConnectionPermit,
}

impl EndpointConnection {
    /// Returns whether the connection is open and has no bytes to read.
    pub fn is_quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A connection in the pool.
pub struct IdleConnection {
    /// The connection.
    pub connection: EndpointConnection,
    /// When it became idle.
    pub since: Instant,
}

/// A permit for one open connection; dropping it releases the permit.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts one more open connection. Doesn't check the limit.
    pub fn acquire(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(Rc::clone(open_connections))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
