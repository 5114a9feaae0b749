//! The gRPC front: for each request, a proxy calls the router over gRPC, and transfers the bytes itself.

mod exchange;
mod stream;

use std::future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future::or;
use h2::RecvStream;
use h2::server::{self, SendResponse};
use http::{HeaderMap, Method, Request, Response};
use tindoor_extproc::request::HeaderNames;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::configuration::limits::ProxyLimits;
use crate::state::RouterState;
use crate::timeout::with_timeout;
use stream::{GrpcStatus, MessageStream, StreamEnd};

const PROCESS_PATH: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
const CONTENT_TYPE: &str = "application/grpc";

type Connection = server::Connection<Compat<Async<TcpStream>>, Bytes>;

/// Serves one connection until either side ends it.
pub async fn serve_connection(
    router: Rc<RouterState>,
    stream: Async<TcpStream>,
    names: Rc<HeaderNames>,
) -> io::Result<()> {
    let limits = &router.limits.proxy;
    let builder = connection_builder(limits);
    let handshake = async { builder.handshake(stream.compat()).await.map_err(io::Error::other) };
    let mut connection: Connection = with_timeout(limits.frame_timeout, handshake).await?;
    // Each open stream holds a clone; the strong count minus one is the number of open streams.
    let open_streams = Rc::new(());
    let mut last_used = Instant::now();
    // One timer for the whole connection, as creating a timer costs a system call.
    let mut idle = Timer::after(limits.idle_timeout);
    loop {
        let accepted = or(async { Some(connection.accept().await) }, async {
            (&mut idle).await;
            None
        });
        let (request, respond) = match accepted.await {
            Some(None) => return Ok(()),
            Some(Some(accepted)) => accepted.map_err(io::Error::other)?,
            None if Rc::strong_count(&open_streams) > 1 || last_used.elapsed() < limits.idle_timeout => {
                idle.set_after(limits.idle_timeout);
                continue;
            }
            None => return close_idle(connection, limits).await,
        };
        last_used = Instant::now();
        let guard = Rc::clone(&open_streams);
        let (router, names) = (Rc::clone(&router), Rc::clone(&names));
        let executor = Rc::clone(&router.executor);
        let task = async move {
            serve_stream(&router, request, respond, &names).await;
            drop(guard);
        };
        executor.spawn(task).detach();
    }
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

async fn close_idle(mut connection: Connection, limits: &ProxyLimits) -> io::Result<()> {
    connection.graceful_shutdown();
    let closed =
        async { future::poll_fn(|context| connection.poll_closed(context)).await.map_err(io::Error::other) };
    with_timeout(limits.frame_timeout, closed).await
}

/// Serves one call of the service: replies to its messages, and sends the gRPC status at the end.
async fn serve_stream(
    router: &Rc<RouterState>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    names: &HeaderNames,
) {
    if let Some(refusal) = refusal_of(&request) {
        let _ = respond.send_response(refusal, true);
        return;
    }
    let Ok(sender) = respond.send_response(grpc_response(None), false) else { return };
    let mut stream = MessageStream::new(router, sender, request.into_body());
    let status = match exchange::serve(router, &mut stream, names).await {
        Ok(()) => GrpcStatus::OK,
        Err(StreamEnd::Status(status)) => status,
        Err(StreamEnd::Gone) => return,
    };
    if status != GrpcStatus::OK
        && let Some(times) = router.malformed_log.record()
    {
        let GrpcStatus { code, message } = status;
        tracing::warn!(
            code,
            reason = message,
            times,
            "stream of an external proxy ended with a gRPC error status"
        );
    }
    stream.send_trailers(trailers(status));
}

/// Returns the response to a call that is not for this service. `None` if the call is for this service.
fn refusal_of(request: &Request<RecvStream>) -> Option<Response<()>> {
    let content_type = request.headers().get("content-type").map(http::HeaderValue::as_bytes);
    let is_grpc = content_type.is_some_and(|kind| kind.starts_with(CONTENT_TYPE.as_bytes()));
    if !is_grpc || request.method() != Method::POST {
        return Some(Response::builder().status(415).body(()).expect("a plain response"));
    }
    (request.uri().path() != PROCESS_PATH).then(|| grpc_response(Some(GrpcStatus::UNIMPLEMENTED)))
}

fn grpc_response(status: Option<u16>) -> Response<()> {
    let mut builder = Response::builder().status(200).header("content-type", CONTENT_TYPE);
    if let Some(status) = status {
        builder = builder.header("grpc-status", status);
    }
    builder.body(()).expect("a plain response")
}

fn trailers(status: GrpcStatus) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", status.code.into());
    if !status.message.is_empty() {
        trailers.insert("grpc-message", http::HeaderValue::from_static(status.message));
    }
    trailers
}
