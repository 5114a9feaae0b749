//! The gRPC front: for each request, a proxy calls the router over gRPC, and transfers the bytes itself.

mod connection;
mod exchange;
mod stream;

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{HeaderMap, Method, Request, Response};
use tindoor_extproc::request::HeaderNames;

use super::connection::{CloseMethod, ProxyConnection, log_end, refuse};
use crate::connections::{ConnectionHandler, ManagedConnection};
use crate::memory::IncomingMessage;
use crate::state::RouterState;
use stream::{GrpcStatus, MessageStream, StreamEnd};

const PROCESS_PATH: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";
const CONTENT_TYPE: &str = "application/grpc";

/// Serves the connections of proxies that call over gRPC.
pub struct GrpcHandler {
    router: Rc<RouterState>,
    names: Rc<HeaderNames>,
}

impl GrpcHandler {
    /// Creates a handler; `names` are the headers that a request is read from.
    pub fn new(router: Rc<RouterState>, names: HeaderNames) -> Self {
        Self { router, names: Rc::new(names) }
    }
}

impl ConnectionHandler for GrpcHandler {
    type Listener = TcpListener;

    fn serve(&self, stream: TcpStream) -> io::Result<Rc<dyn ManagedConnection>> {
        let proxy = ProxyConnection::new(stream, CloseMethod::GoAway)?;
        let (router, names, served) = (Rc::clone(&self.router), Rc::clone(&self.names), Rc::clone(&proxy));
        let task = async move { log_end(connection::serve(&router, &served, &names).await) };
        self.router.executor.spawn(task).detach();
        Ok(proxy)
    }

    fn refuse(&self, stream: TcpStream) {
        refuse(stream, &connection::refusal());
    }

    fn accept_failed(&self) {
        self.router.endpoints.sweep_idle();
    }
}

/// Serves one call of the service: replies to its messages, and sends the gRPC status at the end.
async fn serve_stream(
    router: &Rc<RouterState>,
    proxy: &ProxyConnection,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    received: IncomingMessage,
    names: &HeaderNames,
) {
    if let Some(refusal) = refusal_of(&request) {
        let _ = respond.send_response(refusal, true);
        return;
    }
    let Ok(sender) = respond.send_response(grpc_response(None), false) else { return };
    let mut stream = MessageStream::new(router, proxy, sender, request.into_body(), received);
    let status = match exchange::serve(router, &mut stream, names).await {
        Ok(()) => GrpcStatus::OK,
        Err(StreamEnd::Status(status)) => status,
        Err(StreamEnd::Gone) => return proxy.record_abandoned_stream(),
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
