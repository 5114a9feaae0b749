//! One connection to an endpoint.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;

/// A connection, counted from before it is established until it is dropped.
pub struct EndpointConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The generation of the endpoint that it was made to.
    pub generation: u64,
    /// Counts it as open.
    pub _permit: ConnectionPermit,
}

impl EndpointConnection {
    /// Whether it is open and has nothing to read.
    pub fn is_quiet(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A connection that waits for its next use.
pub struct IdleConnection {
    /// The connection.
    pub connection: EndpointConnection,
    /// Since when it has been idle.
    pub since: Instant,
}

/// One of the connections that there may be at once.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts one more connection.
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
