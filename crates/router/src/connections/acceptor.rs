//! Accepts the connections of one listener, as far as there is room for them.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::managed::ManagedConnection;
use super::registry::ListenerRegistry;
use super::table::{ConnectionTable, Room};
use crate::log_throttle::LogThrottle;

/// A non-blocking listening socket.
pub trait ListeningSocket: AsFd {
    /// An accepted connection.
    type Stream;

    /// Accepts the first connection of the system's accept queue, without waiting.
    fn accept_next(&self) -> io::Result<Self::Stream>;
}

impl ListeningSocket for TcpListener {
    type Stream = TcpStream;

    fn accept_next(&self) -> io::Result<TcpStream> {
        self.accept().map(|(stream, _)| stream)
    }
}

impl ListeningSocket for UnixListener {
    type Stream = UnixStream;

    fn accept_next(&self) -> io::Result<UnixStream> {
        self.accept().map(|(stream, _)| stream)
    }
}

/// The connections that a handler's listening socket accepts.
type StreamOf<H> = <<H as ConnectionHandler>::Listener as ListeningSocket>::Stream;

/// What a listener does with its connections.
pub trait ConnectionHandler {
    /// The listening socket.
    type Listener: ListeningSocket;

    /// Starts to serve a connection.
    fn serve(&self, stream: StreamOf<Self>) -> io::Result<Rc<dyn ManagedConnection>>;

    /// Refuses a connection for which there is no room. No call on it is run.
    fn refuse(&self, stream: StreamOf<Self>);

    /// Releases what else holds descriptors, after an accept has failed.
    fn accept_failed(&self) {}
}

/// An acceptor, whatever its protocol.
pub trait PendingConnections {
    /// Accepts the connections in the system's accept queue while there is room; returns true once the queue
    /// is empty. Closing the listener resets the queued connections, and any calls on them are lost.
    fn accept_pending(&self) -> bool;
}

/// Accepts the connections of one listener.
pub struct Acceptor<H: ConnectionHandler> {
    handler: H,
    socket: Async<H::Listener>,
    table: Rc<ConnectionTable>,
    registry: Rc<ListenerRegistry>,
    /// The connection that was accepted while there was no room for it. Those behind it wait in the system's
    /// accept queue.
    waiting: RefCell<Option<StreamOf<H>>>,
    poll_interval: Duration,
    failure_log: LogThrottle,
    refusal_log: LogThrottle,
}

impl<H: ConnectionHandler> Acceptor<H> {
    /// Creates an acceptor for a bound socket, whose connections are counted in `table`.
    pub fn new(
        handler: H,
        socket: Async<H::Listener>,
        table: Rc<ConnectionTable>,
        registry: Rc<ListenerRegistry>,
        poll_interval: Duration,
    ) -> Self {
        Self {
            handler,
            socket,
            table,
            registry,
            waiting: RefCell::new(None),
            poll_interval,
            failure_log: LogThrottle::default(),
            refusal_log: LogThrottle::default(),
        }
    }

    /// Accepts connections until it is dropped.
    pub async fn run(&self) -> Infallible {
        loop {
            // A burst of new connections must not starve the existing ones.
            future::yield_now().await;
            match self.socket.get_ref().accept_next() {
                Ok(stream) => {
                    *self.waiting.borrow_mut() = Some(stream);
                    self.admit_waiting().await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.table.metrics.record_queue_empty();
                    self.wait_for_connection().await;
                }
                Err(error) => self.recover(&error).await,
            }
        }
    }

    /// Waits until a connection arrives. Meanwhile makes room for it.
    async fn wait_for_connection(&self) {
        let arrived = async {
            let _ = self.socket.readable().await;
        };
        if self.table.keep_room() == Room::Available {
            arrived.await;
        } else {
            future::or(arrived, self.wait_poll_interval()).await;
        }
    }

    async fn wait_poll_interval(&self) {
        Timer::after(self.poll_interval).await;
    }

    /// Serves the waiting connection once there is room for it. Refuses it if connections have been waiting
    /// for too long: a call on it could no longer be answered in time.
    async fn admit_waiting(&self) {
        loop {
            let room = self.table.make_room();
            if room == Room::Available {
                return self.serve_waiting();
            }
            if self.has_waited_too_long(room) {
                return self.refuse_waiting();
            }
            Timer::after(self.table.limits.room_check_interval).await;
        }
    }

    fn has_waited_too_long(&self, room: Room) -> bool {
        let ConnectionTable { metrics, limits, .. } = &*self.table;
        let waiting_time = metrics.record_waiting();
        if room == Room::Unavailable {
            return metrics.record_blocked() >= limits.max_blocked_time;
        }
        metrics.record_unblocked();
        waiting_time >= limits.max_queue_time
    }

    fn serve_waiting(&self) {
        if let Some(stream) = self.waiting.take() {
            self.serve(stream);
        }
    }

    fn serve(&self, stream: StreamOf<H>) {
        match self.handler.serve(stream) {
            Ok(connection) => self.table.add(&connection),
            Err(error) => tracing::debug!(listener = self.table.listener, %error, "connection not served"),
        }
    }

    fn refuse_waiting(&self) {
        let Some(stream) = self.waiting.take() else { return };
        self.table.metrics.record_refused();
        if let Some(times) = self.refusal_log.record() {
            let counts = self.table.counts();
            let (listener, max) = (self.table.listener, self.table.limits.max_connections);
            tracing::warn!(
                listener,
                max,
                open = counts.open,
                closing = counts.closing,
                times,
                "connection refused: all connections of the listener are in use"
            );
        }
        self.handler.refuse(stream);
    }

    /// Releases descriptors after an accept has failed, and waits for the poll interval.
    async fn recover(&self, error: &io::Error) {
        if let Some(times) = self.failure_log.record() {
            let listener = self.table.listener;
            tracing::warn!(listener, %error, times, "accept failed; closing idle connections");
        }
        self.handler.accept_failed();
        if !self.table.close_one() {
            self.registry.close_one();
        }
        self.wait_poll_interval().await;
    }
}

impl<H: ConnectionHandler> PendingConnections for Acceptor<H> {
    fn accept_pending(&self) -> bool {
        while self.table.make_room() == Room::Available {
            let waiting = self.waiting.take();
            match waiting.map_or_else(|| self.socket.get_ref().accept_next(), Ok) {
                Ok(stream) => self.serve(stream),
                Err(_) => return true,
            }
        }
        false
    }
}
