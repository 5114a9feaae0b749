//! Drives one HTTP/2 connection of a proxy: accepts its streams, and closes it so that no call is lost.

use std::future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future::or;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt};
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use http::Request;
use tindoor_extproc::request::HeaderNames;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use super::serve_stream;
use crate::configuration::limits::ProxyLimits;
use crate::connections::{ManagedConnection, Phase, listener_names};
use crate::external::connection::ProxyConnection;
use crate::memory::{IncomingMessage, Sender};
use crate::state::RouterState;
use crate::timeout::with_timeout;

/// An HTTP/2 GOAWAY frame without an error, which says that no stream was processed.
const GO_AWAY: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
/// An empty HTTP/2 SETTINGS frame, with which a server's side of a connection begins.
const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];

type AcceptedStream = (Request<RecvStream>, SendResponse<Bytes>);
type Http2 = server::Connection<Compat<ProxySocket>, Bytes>;

/// Returns what is sent on a connection that is refused: no stream was processed, and each may be retried on
/// another connection.
pub fn refusal() -> Vec<u8> {
    [&SETTINGS[..], &GO_AWAY].concat()
}

/// Serves one connection until either side closes it.
pub async fn serve(
    router: &Rc<RouterState>,
    proxy: &Rc<ProxyConnection>,
    names: &Rc<HeaderNames>,
) -> io::Result<()> {
    let limits = &router.limits.proxy;
    match handshake(limits, proxy).await? {
        Some(http2) => serve_streams(router, proxy, names, http2).await?,
        None => with_timeout(limits.write_timeout, (&proxy.stream).write_all(&GO_AWAY)).await?,
    }
    proxy.close(limits).await;
    Ok(())
}

/// Waits for the proxy's connection preface. `None` if the connection is closed first.
async fn handshake(limits: &ProxyLimits, proxy: &Rc<ProxyConnection>) -> io::Result<Option<Http2>> {
    let builder = connection_builder(limits);
    let socket = ProxySocket(Rc::clone(proxy)).compat();
    let mut handshake = builder.handshake(socket);
    let handshake = future::poll_fn(|context| {
        proxy.begin_read_turn();
        Pin::new(&mut handshake).poll(context).map(|http2| http2.map(Some).map_err(io::Error::other))
    });
    let closed = async {
        proxy.finish_due().await;
        Ok(None)
    };
    with_timeout(limits.frame_timeout, or(handshake, closed)).await
}

/// Returns a builder with limits on what one connection may use: open streams, streams that are reset before
/// they are accepted, headers (continuation frames included), and buffered data.
fn connection_builder(limits: &ProxyLimits) -> server::Builder {
    let mut builder = server::Builder::new();
    builder
        .max_concurrent_streams(limits.max_streams as u32)
        .max_header_list_size(limits.max_header_list_bytes as u32)
        .max_frame_size(limits.read_chunk_bytes as u32)
        .max_pending_accept_reset_streams(limits.max_reset_streams)
        .max_concurrent_reset_streams(limits.max_reset_streams)
        .max_local_error_reset_streams(Some(limits.max_reset_streams))
        .data_frame_budget(limits.data_frame_budget)
        .max_send_buffer_size(limits.max_unsent_bytes)
        .initial_window_size(limits.max_message_bytes as u32);
    builder
}

async fn serve_streams(
    router: &Rc<RouterState>,
    proxy: &Rc<ProxyConnection>,
    names: &Rc<HeaderNames>,
    http2: Http2,
) -> io::Result<()> {
    let limits = &router.limits.proxy;
    proxy.state().record_message(Instant::now());
    // One timer for the whole connection, as creating a timer costs a system call.
    let timer = Timer::after(limits.idle_timeout);
    let mut connection = Http2Connection {
        proxy,
        http2,
        timer,
        is_close_announced: false,
        max_abandoned_streams: limits.max_abandoned_streams,
        is_turn_over: true,
    };
    loop {
        match connection.next_event().await? {
            Event::Stream(stream) => {
                proxy.state().record_message(Instant::now());
                begin_stream(router, proxy, names, *stream);
            }
            Event::TooManyAbandoned => {
                if let Some(times) = router.malformed_log.record() {
                    let (peer, streams) = (proxy.peer_address(), proxy.abandoned_streams());
                    tracing::warn!(
                        ?peer,
                        streams,
                        times,
                        "proxy connection closed: too many streams abandoned"
                    );
                }
                let finish = connection.finish(Reason::ENHANCE_YOUR_CALM);
                return with_timeout(router.limits.shutdown.final_write_timeout, finish).await;
            }
            Event::CloseRequested => connection.announce_close(limits),
            Event::TimerFired => connection.timer_fired(limits),
            Event::CloseDue => {
                return with_timeout(
                    router.limits.shutdown.final_write_timeout,
                    connection.finish(Reason::NO_ERROR),
                )
                .await;
            }
            Event::Ended => return Ok(()),
        }
    }
}

/// Serves a stream that was accepted. Refuses it if there is no memory for it: it is not run, and may be sent again.
fn begin_stream(
    router: &Rc<RouterState>,
    proxy: &Rc<ProxyConnection>,
    names: &Rc<HeaderNames>,
    (request, mut respond): AcceptedStream,
) {
    let sender = Sender { listener: listener_names::EXTERNAL_PROCESSING, address: proxy.peer_address() };
    let mut received = IncomingMessage::new(&router.memory.incoming, sender);
    received.set_task_bytes(router.limits.memory.stream_bytes);
    if received.hold(proxy.standing()).is_err() {
        return respond.send_reset(Reason::REFUSED_STREAM);
    }
    let (proxy, call, router) = (Rc::clone(proxy), proxy.begin_call(), Rc::clone(router));
    let (names, executor) = (Rc::clone(names), Rc::clone(&router.executor));
    let task = async move {
        serve_stream(&router, &proxy, request, respond, received, &names).await;
        drop(call);
    };
    executor.spawn(task).detach();
}

/// One connection after the handshake.
struct Http2Connection<'a> {
    proxy: &'a ProxyConnection,
    http2: Http2,
    /// Fires when the connection may have been idle for too long or, after the close was announced, when the
    /// proxy has not confirmed it in time.
    timer: Timer,
    is_close_announced: bool,
    max_abandoned_streams: usize,
    /// Whether other tasks run before the next event. What one read has brought is handled before the next.
    is_turn_over: bool,
}

enum Event {
    Stream(Box<AcceptedStream>),
    /// The proxy has abandoned too many streams in a row.
    TooManyAbandoned,
    /// The connection is to be closed.
    CloseRequested,
    /// The announced close is to be completed, and no stream is open.
    CloseDue,
    TimerFired,
    Ended,
}

impl Http2Connection<'_> {
    async fn next_event(&mut self) -> io::Result<Event> {
        future::poll_fn(|context| {
            if self.is_turn_over {
                self.proxy.begin_read_turn();
            }
            let event = self.poll_event(context);
            self.is_turn_over = event.is_pending();
            event
        })
        .await
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Event>> {
        match self.http2.poll_accept(context) {
            Poll::Ready(Some(accepted)) => {
                let event = accepted.map(|stream| Event::Stream(Box::new(stream)));
                return Poll::Ready(event.map_err(io::Error::other));
            }
            Poll::Ready(None) => return Poll::Ready(Ok(Event::Ended)),
            // Every stream that has arrived has been accepted; a GOAWAY frame that is sent before the next
            // read names the last one.
            Poll::Pending => {}
        }
        self.proxy.state().register(context);
        if self.proxy.abandoned_streams() > self.max_abandoned_streams {
            return Poll::Ready(Ok(Event::TooManyAbandoned));
        }
        if !self.is_close_announced && self.proxy.state().phase() >= Phase::Closing {
            return Poll::Ready(Ok(Event::CloseRequested));
        }
        if self.is_close_announced && self.proxy.is_finish_due() {
            return Poll::Ready(Ok(Event::CloseDue));
        }
        Pin::new(&mut self.timer).poll(context).map(|_| Ok(Event::TimerFired))
    }

    /// Sends a GOAWAY frame that still permits the streams on their way. The HTTP/2 library sends the final
    /// one once the proxy has answered a PING frame, and ends the connection once no stream is open.
    fn announce_close(&mut self, limits: &ProxyLimits) {
        self.http2.graceful_shutdown();
        self.is_close_announced = true;
        self.timer.set_after(limits.connections.linger_timeout);
    }

    fn timer_fired(&mut self, limits: &ProxyLimits) {
        let time_remaining = limits.idle_timeout.saturating_sub(self.proxy.state().idle_time());
        if self.is_close_announced {
            self.proxy.request_finish();
        } else if self.proxy.is_busy() {
            self.timer.set_after(limits.idle_timeout);
        } else if time_remaining.is_zero() {
            self.proxy.begin_close();
        } else {
            self.timer.set_after(time_remaining);
        }
    }

    /// Sends the final GOAWAY frame without waiting any longer for the proxy: streams that arrive later are
    /// not run, and the proxy knows that from the frame.
    async fn finish(mut self, reason: Reason) -> io::Result<()> {
        self.http2.abrupt_shutdown(reason);
        future::poll_fn(|context| {
            self.proxy.begin_read_turn();
            self.http2.poll_closed(context)
        })
        .await
        .map_err(io::Error::other)
    }
}

/// The socket of a connection, as the HTTP/2 library uses it.
struct ProxySocket(Rc<ProxyConnection>);

impl ProxySocket {
    fn stream(&self) -> &Async<std::net::TcpStream> {
        &self.0.stream
    }
}

impl AsyncRead for ProxySocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.0.may_read_in_turn() {
            // The library would read for as long as there are bytes, and keep the streams in them in its queue.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.0.state().set_unread_bytes(false);
        Pin::new(&mut self.stream()).poll_read(context, buffer)
    }
}

impl AsyncWrite for ProxySocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream()).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream()).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream()).poll_close(context)
    }
}
