//! Accepts connections from clients.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use futures_lite::future;
use socket2::SockRef;

use super::connections::Connections;
use super::session::serve_connection;
use crate::configuration::limits::Limits;
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

/// The listener for clients.
pub struct Listener {
    state: Rc<RouterState>,
    connections: Rc<Connections>,
    socket: Async<TcpListener>,
}

impl Listener {
    /// Creates a listener on a bound socket.
    pub fn new(state: Rc<RouterState>, connections: Rc<Connections>, socket: Async<TcpListener>) -> Self {
        Self { state, connections, socket }
    }

    /// Accepts connections until it is dropped.
    pub async fn accept(&self) -> Infallible {
        let limits = &self.state.limits;
        loop {
            // A burst of new connections must not starve the existing ones.
            future::yield_now().await;
            if !self.connections.make_room(&limits.client) {
                Timer::after(limits.poll_interval).await;
                continue;
            }
            match self.socket.accept().await {
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    if let Some(times) = self.state.overload_log.record() {
                        tracing::warn!(%error, times, "accept failed; closing idle connections");
                    }
                    self.state.endpoints.sweep_idle();
                    self.connections.close_one(&limits.client);
                    Timer::after(limits.poll_interval).await;
                }
            }
        }
    }

    /// Accepts the connections in the system's accept queue while there is capacity; returns true once the
    /// queue is empty. Closing the listener resets the queued connections, and any calls on them are lost.
    pub fn accept_pending(&self) -> bool {
        while self.connections.make_room(&self.state.limits.client) {
            match self.socket.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => self.serve(stream),
                Err(_) => return true,
            }
        }
        false
    }

    fn serve(&self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let send_buffer_bytes = self.state.limits.client.send_buffer_bytes;
        let _ = SockRef::from(stream.get_ref()).set_send_buffer_size(send_buffer_bytes);
        let connection = self.connections.add(stream);
        let session = serve_connection(Rc::clone(&self.state), connection);
        self.state.executor.spawn(session).detach();
    }
}
