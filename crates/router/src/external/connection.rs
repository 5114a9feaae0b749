//! One connection of an external proxy, for both fronts: its open calls, and how it is closed.

use std::cell::Cell;
use std::future;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_io::Async;
use socket2::SockRef;

use super::request_counter::RequestCounter;
use crate::configuration::limits::ProxyLimits;
use crate::connections::{
    ConnectionState, ManagedConnection, Phase, discard_until_closed, half_close, half_close_unless_unread,
    has_unread_bytes,
};
use crate::memory::Standing;
use crate::timeout::with_timeout;

/// How many reads of `REFUSAL_READ_BYTES` discard what has arrived on a refused connection.
const MAX_REFUSAL_READS: usize = 4;
const REFUSAL_READ_BYTES: usize = 16 << 10;
/// The number of streams without a call under way up to which a connection's streams are not the first to be evicted.
const MAX_PROVEN_WAITING_STREAMS: usize = 4;

/// How the router closes an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMethod {
    /// It closes its side unless bytes have arrived (HTTP/1.1).
    HalfClose,
    /// It announces the close, serves the calls that cross the announcement, and then names the last stream
    /// that it has served (HTTP/2, RFC 9113, section 6.8).
    GoAway,
}

/// One connection of a proxy.
pub struct ProxyConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    state: ConnectionState,
    close_method: CloseMethod,
    open_calls: Cell<usize>,
    /// The requests in flight that began on the connection.
    pub requests: RequestCounter,
    /// The gRPC calls that have begun and have no final answer.
    pub calls_under_way: RequestCounter,
    /// Whether the first message of a call has ever arrived completely.
    has_begun_call: Cell<bool>,
    /// Whether the HTTP/2 library has read since other tasks last ran.
    has_read_in_turn: Cell<bool>,
    /// How many streams the proxy has abandoned since one got its final answer.
    abandoned_streams: Cell<usize>,
    /// Whether an announced close is completed as soon as no call is open, without waiting for the proxy.
    is_finish_requested: Cell<bool>,
}

impl ProxyConnection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(stream: TcpStream, close_method: CloseMethod) -> io::Result<Rc<Self>> {
        let stream = Async::new(stream)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok(Rc::new(Self {
            stream,
            state: ConnectionState::default(),
            close_method,
            open_calls: Cell::new(0),
            requests: RequestCounter::default(),
            calls_under_way: RequestCounter::default(),
            has_begun_call: Cell::new(false),
            has_read_in_turn: Cell::new(false),
            abandoned_streams: Cell::new(0),
            is_finish_requested: Cell::new(false),
        }))
    }

    /// Returns the address of the proxy.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.get_ref().peer_addr().ok()
    }

    /// Records that the first message of a call has arrived completely.
    pub fn record_call(&self) {
        self.has_begun_call.set(true);
    }

    /// Records that a stream has got its final answer.
    pub fn record_answer(&self) {
        self.abandoned_streams.set(0);
    }

    /// Records that the proxy has abandoned a stream.
    pub fn record_abandoned_stream(&self) {
        self.abandoned_streams.set(self.abandoned_streams.get() + 1);
        self.state.wake();
    }

    /// Returns how many streams the proxy has abandoned since one got its final answer.
    pub fn abandoned_streams(&self) -> usize {
        self.abandoned_streams.get()
    }

    /// Returns the standing of the connection's incomplete messages: it has to have made a call, and to have few streams
    /// on which no call is under way.
    pub fn standing(&self) -> Standing {
        let waiting_streams = self.open_calls.get().saturating_sub(self.calls_under_way.get());
        Standing::of(self.has_begun_call.get() && waiting_streams <= MAX_PROVEN_WAITING_STREAMS)
    }

    /// Records that other tasks have run, so that the connection may be read again.
    pub fn begin_read_turn(&self) {
        self.has_read_in_turn.set(false);
    }

    /// Records a read. Returns false if other tasks must run first.
    pub fn may_read_in_turn(&self) -> bool {
        !self.has_read_in_turn.replace(true)
    }

    /// Counts a call as open until the returned value is dropped.
    pub fn begin_call(self: &Rc<Self>) -> OpenCall {
        self.open_calls.set(self.open_calls.get() + 1);
        OpenCall(Rc::clone(self))
    }

    /// Completes an announced close as soon as no call is open.
    pub fn request_finish(&self) {
        self.is_finish_requested.set(true);
        self.state.wake();
    }

    /// Returns whether an announced close is to be completed now.
    pub fn is_finish_due(&self) -> bool {
        self.is_finish_requested.get() && !self.is_busy()
    }

    /// Waits until an announced close is to be completed.
    pub async fn finish_due(&self) {
        future::poll_fn(|context| {
            if self.is_finish_due() {
                return Poll::Ready(());
            }
            self.state.register(context);
            Poll::Pending
        })
        .await;
    }

    /// Closes a connection whose preface has not been read, so that there is no stream to wait for. Returns
    /// false, and leaves it open, if bytes have arrived: they may be the preface and a call.
    fn close_before_preface(&self) -> bool {
        if has_unread_bytes(self) {
            return false;
        }
        self.state.advance(Phase::Closing);
        self.request_finish();
        true
    }

    /// Closes the router's side, and for a bounded time reads and discards what still arrives.
    pub async fn close(&self, limits: &ProxyLimits) {
        half_close(self);
        let discard = discard_until_closed(&self.state, &self.stream, limits.initial_read_bytes);
        let _ = with_timeout(limits.connections.linger_timeout, discard).await;
    }
}

impl ManagedConnection for ProxyConnection {
    fn state(&self) -> &ConnectionState {
        &self.state
    }

    fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.stream.get_ref())
    }

    fn is_busy(&self) -> bool {
        self.open_calls.get() > 0
    }

    fn stop(&self) {
        self.state.advance(Phase::Closing);
        self.request_finish();
    }

    fn accepts_calls(&self) -> bool {
        match self.close_method {
            CloseMethod::HalfClose => self.state.phase() == Phase::Open,
            CloseMethod::GoAway => self.state.phase() <= Phase::Closing,
        }
    }

    fn begin_close(&self) -> bool {
        match self.close_method {
            CloseMethod::HalfClose => half_close_unless_unread(self),
            CloseMethod::GoAway if self.state.has_sent_message() => {
                self.state.advance(Phase::Closing);
                true
            }
            CloseMethod::GoAway => self.close_before_preface(),
        }
    }

    fn is_lingering(&self) -> bool {
        match self.state.phase() {
            Phase::Closing => self.close_method == CloseMethod::GoAway && !self.is_busy(),
            phase => phase == Phase::HalfClosed,
        }
    }

    fn end_if_lingered(&self, min_linger: Duration) {
        self.finish_close(min_linger);
        if self.state.phase() == Phase::HalfClosed && self.state.idle_time() >= min_linger {
            self.state.advance(Phase::Ended);
        }
    }

    fn finish_close(&self, min_linger: Duration) {
        if self.state.phase() == Phase::Closing && self.state.idle_time() >= min_linger {
            self.request_finish();
        }
    }
}

/// Counts a call as open until it is dropped.
pub struct OpenCall(Rc<ProxyConnection>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
        self.0.state.record_activity();
        self.0.state.wake();
    }
}

/// Logs the error, if any, with which a connection ended.
pub fn log_end(result: io::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection of an external proxy ended with an error");
    }
}

/// Refuses a connection: sends a reply that says that no call on it is run, and closes it. What has arrived is
/// discarded first, as closing with unread bytes would reset the connection before the reply is read.
pub fn refuse(mut stream: TcpStream, reply: &[u8]) {
    if stream.set_nonblocking(true).is_err() {
        return;
    }
    let mut discarded = [0; REFUSAL_READ_BYTES];
    for _ in 0..MAX_REFUSAL_READS {
        if stream.read(&mut discarded).is_ok_and(|size| size == discarded.len()) {
            continue;
        }
        break;
    }
    // A new connection's send buffer has space for the reply.
    let _ = stream.write(reply);
    let _ = stream.shutdown(Shutdown::Write);
}
