//! Binds the listen address for clients, and starts to serve their connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use socket2::SockRef;

use super::connection::Connection;
use super::session::serve_connection;
use crate::configuration::limits::Limits;
use crate::connections::{ConnectionHandler, ManagedConnection};
use crate::state::RouterState;

/// Binds the listen address. While another process still listens there, such as a previous instance of the
/// router that is shutting down, retries until the bind timeout.
pub async fn bind(address: SocketAddr, limits: &Limits) -> io::Result<Async<TcpListener>> {
    let begun = Instant::now();
    let mut is_logged = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < limits.bind_timeout =>
            {
                if !is_logged {
                    tracing::warn!(%address, "listen address in use; waiting until it is free");
                }
                is_logged = true;
                Timer::after(limits.poll_interval).await;
            }
            result => return result,
        }
    }
}

/// Serves the connections of clients.
pub struct ClientHandler {
    state: Rc<RouterState>,
}

impl ClientHandler {
    /// Creates a handler.
    pub fn new(state: Rc<RouterState>) -> Self {
        Self { state }
    }
}

impl ConnectionHandler for ClientHandler {
    type Listener = TcpListener;

    fn serve(&self, stream: TcpStream) -> io::Result<Rc<dyn ManagedConnection>> {
        let stream = Async::new(stream)?;
        let _ = stream.get_ref().set_nodelay(true);
        let send_buffer_bytes = self.state.limits.client.send_buffer_bytes;
        let _ = SockRef::from(stream.get_ref()).set_send_buffer_size(send_buffer_bytes);
        let connection = Rc::new(Connection::new(stream, Rc::clone(&self.state.unwritten_replies)));
        let session = serve_connection(Rc::clone(&self.state), Rc::clone(&connection));
        self.state.executor.spawn(session).detach();
        Ok(connection)
    }

    /// Closes the connection unread: the protocol has no reply to a call that was not read.
    fn refuse(&self, stream: TcpStream) {
        drop(stream);
    }

    fn accept_failed(&self) {
        self.state.endpoints.sweep_idle();
    }
}
