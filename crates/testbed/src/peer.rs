//! Test clients of the external processing front that may violate its protocol: they send raw HTTP/2 streams,
//! with messages or arbitrary bytes in any order.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HttpBody, HttpTrailers, ProcessingRequest, ProcessingResponse,
};
use h2::client::{ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use prost::bytes::{Buf, Bytes, BytesMut};
use tokio::net::TcpStream;

use crate::proxy::{framed, http_headers, processing_request, unframed};

/// The path of the only method of the external processing service.
pub const PROCESS: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

const GRPC_CONTENT_TYPE: &str = "application/grpc";

/// Size in bytes of a gRPC frame's header: the compression flag and the message's size.
const FRAME_HEADER_BYTES: usize = 5;

/// Upper bound of the time that a test client's work takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// How long to wait until a connection admits a new stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for the response headers of a stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of one call.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The kinds of the messages received, such as `request_headers` or `immediate 503`.
    pub messages: Vec<String>,
    /// The gRPC status code. `None` if the stream was reset.
    pub code: Option<u16>,
}

/// Returns a frame with the headers of a plain request of an object. `more` adds headers; a header in `more`
/// replaces a default header of the same name.
pub fn request_headers(correlation_id: u64, more: &[(&str, &str)]) -> Bytes {
    let plain = [
        (":path", "/v1/store/pages/7f3a9c21e0b4d655/3".to_string()),
        ("x-ticket", format!("{correlation_id:016x}")),
        ("x-max-ms", "3000".to_string()),
    ];
    let kept = plain.into_iter().filter(|field| !more.iter().any(|other| other.0 == field.0));
    let fields = kept.map(|(name, value)| (name.to_string(), value));
    let more = more.iter().map(|(name, value)| (name.to_string(), value.to_string()));
    framed(&processing_request(Request::RequestHeaders(http_headers(fields.chain(more).collect()))))
}

/// Returns a frame with the headers of an endpoint's response with this status.
pub fn response_headers(status: &str) -> Bytes {
    let fields = vec![(":status".to_string(), status.to_string()), ("x-remark".into(), "warm".into())];
    framed(&processing_request(Request::ResponseHeaders(http_headers(fields))))
}

/// Returns a frame with a request body of this size in bytes.
pub fn body(size: usize) -> Bytes {
    framed(&processing_request(Request::RequestBody(HttpBody { body: vec![7; size], ..HttpBody::default() })))
}

/// Returns a frame with the trailers of a response.
pub fn trailers() -> Bytes {
    framed(&processing_request(Request::ResponseTrailers(HttpTrailers::default())))
}

/// Returns a frame with a message that has no kind.
pub fn empty() -> Bytes {
    framed(&ProcessingRequest::default())
}

/// Returns the name of the message's kind, with the status of an immediate response.
fn kind(message: ProcessingResponse) -> String {
    use processing_response::Response;
    match message.response {
        Some(Response::RequestHeaders(_)) => "request_headers".into(),
        Some(Response::ResponseHeaders(_)) => "response_headers".into(),
        Some(Response::RequestBody(_)) => "request_body".into(),
        Some(Response::ResponseBody(_)) => "response_body".into(),
        Some(Response::RequestTrailers(_)) => "request_trailers".into(),
        Some(Response::ResponseTrailers(_)) => "response_trailers".into(),
        Some(Response::ImmediateResponse(immediate)) => {
            format!("immediate {}", immediate.status.map_or(0, |status| status.code))
        }
        _ => "unknown".into(),
    }
}

/// Whether the frame contains a routing decision.
fn is_decision(frame: &[u8]) -> bool {
    unframed(frame).is_some_and(|message| kind(message) == "request_headers")
}

async fn connect(front: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(front).await.expect("the front listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("the handshake succeeds");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}

fn post_request(path: &str, content_type: &str) -> http::Request<()> {
    let uri = format!("http://router{path}");
    http::Request::post(uri)
        .header("content-type", content_type)
        .header("te", "trailers")
        .body(())
        .expect("the request is valid")
}

/// Runs a future to completion on a new runtime; panics after [`CALL_TIMEOUT`].
fn block_on_with_timeout<T>(work: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built");
    let bounded = async { tokio::time::timeout(CALL_TIMEOUT, work).await };
    runtime.block_on(bounded).expect("the work ends within the call timeout")
}

/// Returns the size in bytes of the first frame in `bytes`. `None` if the frame is incomplete.
fn frame_size(bytes: &[u8]) -> Option<usize> {
    let mut message_size = bytes.get(1..FRAME_HEADER_BYTES)?;
    let size = FRAME_HEADER_BYTES + message_size.get_u32() as usize;
    (bytes.len() >= size).then_some(size)
}

/// Makes one call: sends the first chunk at once and each further chunk after a received message. The last
/// chunk ends the client's side of the stream.
pub fn call(front: SocketAddr, path: &str, content_type: &str, chunks: Vec<Bytes>) -> Outcome {
    block_on_with_timeout(async {
        let mut sender = connect(front).await.ready().await.expect("ready");
        let (response, mut stream) =
            sender.send_request(post_request(path, content_type), false).expect("a stream");
        let mut outcome = Outcome::default();
        let mut chunks = chunks.into_iter().peekable();
        let _ = chunks.next().map(|chunk| stream.send_data(chunk, chunks.peek().is_none()));
        let Ok(response) = response.await else { return outcome };
        outcome.status = response.status().as_u16();
        let code = |headers: &http::HeaderMap| headers.get("grpc-status")?.to_str().ok()?.parse().ok();
        outcome.code = code(response.headers());
        let mut reader = response.into_body();
        let mut unread = BytesMut::new();
        while let Some(Ok(data)) = reader.data().await {
            unread.extend_from_slice(&data);
            while let Some(size) = frame_size(&unread) {
                outcome.messages.extend(unframed(&unread.split_to(size)).map(kind));
                if let Some(chunk) = chunks.next() {
                    let _ = stream.send_data(chunk, chunks.peek().is_none());
                }
            }
        }
        if let Ok(Some(trailers)) = reader.trailers().await {
            outcome.code = code(&trailers);
        }
        outcome
    })
}

/// Opens `count` streams and resets each immediately; returns how many were opened before the connection was
/// closed.
pub fn reset_streams(front: SocketAddr, count: usize) -> usize {
    block_on_with_timeout(async {
        let mut sender = connect(front).await;
        for index in 0..count {
            let Ok(ready) = sender.ready().await else { return index };
            sender = ready;
            let Ok((_, mut stream)) = sender.send_request(post_request(PROCESS, GRPC_CONTENT_TYPE), false)
            else {
                return index;
            };
            let _ = stream.send_data(request_headers(index as u64, &[]), false);
            stream.send_reset(h2::Reason::CANCEL);
            tokio::task::yield_now().await;
        }
        count
    })
}

/// A stream that is kept open after its first message.
struct HeldStream {
    /// Whether the first message was a routing decision.
    is_accepted: bool,
    _sender: SendStream<Bytes>,
    _reader: RecvStream,
}

/// Sends a request with a long deadline on a new stream.
fn open_long_request(
    sender: &mut SendRequest<Bytes>,
    correlation_id: u64,
) -> Result<(ResponseFuture, SendStream<Bytes>), h2::Error> {
    let (response, mut stream) = sender.send_request(post_request(PROCESS, GRPC_CONTENT_TYPE), false)?;
    let _ = stream.send_data(request_headers(correlation_id, &[("x-max-ms", "60000")]), false);
    Ok((response, stream))
}

/// Reads the first message of a stream and keeps the stream open.
async fn hold_stream(response: http::Response<RecvStream>, sender: SendStream<Bytes>) -> HeldStream {
    let mut reader = response.into_body();
    let first = reader.data().await.and_then(Result::ok);
    let _ = reader.flow_control().release_capacity(first.as_ref().map_or(0, Bytes::len));
    let is_accepted = first.is_some_and(|frame| is_decision(&frame));
    HeldStream { is_accepted, _sender: sender, _reader: reader }
}

fn accepted(streams: &[HeldStream]) -> usize {
    streams.iter().filter(|stream| stream.is_accepted).count()
}

/// Requests decisions on one connection and keeps all streams open; returns the number of decisions received.
pub fn hold_streams(front: SocketAddr, count: usize) -> usize {
    block_on_with_timeout(async {
        let mut sender = connect(front).await;
        let mut held = Vec::new();
        for index in 0..count {
            let Ok(Ok(ready)) = tokio::time::timeout(STREAM_TIMEOUT, sender.ready()).await else { break };
            sender = ready;
            let Ok((response, stream)) = open_long_request(&mut sender, 0x1_0000 + index as u64) else {
                break;
            };
            let Ok(Ok(response)) = tokio::time::timeout(RESPONSE_TIMEOUT, response).await else { break };
            held.push(hold_stream(response, stream).await);
        }
        accepted(&held)
    })
}

/// Results while streams on many connections were open.
pub struct HeldConnections {
    /// Number of streams on which a decision was received.
    pub accepted: usize,
    /// The result of the measurement made while all streams were open.
    pub measured: u64,
}

/// Opens `streams` streams on each of `connections` connections, and calls `measure` while all are open.
pub fn hold_connections(
    front: SocketAddr,
    streams: usize,
    connections: usize,
    measure: impl Fn() -> u64,
) -> HeldConnections {
    block_on_with_timeout(async {
        let mut held = Vec::new();
        for connection in 0..connections {
            let mut sender = connect(front).await;
            for index in 0..streams {
                let Ok(ready) = sender.ready().await else { break };
                sender = ready;
                let correlation_id = (connection * streams + index) as u64;
                let Ok((response, stream)) = open_long_request(&mut sender, correlation_id) else { break };
                let Ok(response) = response.await else { break };
                held.push(hold_stream(response, stream).await);
            }
        }
        HeldConnections { accepted: accepted(&held), measured: measure() }
    })
}

/// Makes one call and immediately reports the request as served. Returns the time until the first message.
/// `None` if the call failed at any step.
pub async fn exchange_once(sender: SendRequest<Bytes>, path: &str, headers: Bytes) -> Option<Duration> {
    let mut sender = sender.ready().await.ok()?;
    let started_at = Instant::now();
    let (response, mut stream) = sender.send_request(post_request(path, GRPC_CONTENT_TYPE), false).ok()?;
    stream.send_data(headers, false).ok()?;
    let mut reader = response.await.ok()?.into_body();
    let first = reader.data().await?.ok()?;
    let latency = started_at.elapsed();
    let kind = kind(unframed(&first)?);
    let report = if kind == "request_headers" { response_headers("200") } else { Bytes::new() };
    stream.send_data(report, true).ok()?;
    let _ = reader.flow_control().release_capacity(first.len());
    while let Some(Ok(_)) = reader.data().await {}
    reader.trailers().await.ok().flatten().map(|_| latency)
}

/// Makes a call on a connection that never opens its flow-control window; returns whether the router resets
/// the stream.
pub fn is_reset_without_window(front: SocketAddr) -> bool {
    block_on_with_timeout(async {
        let socket = TcpStream::connect(front).await.expect("the front listens");
        let builder = h2::client::Builder::new().initial_window_size(0).handshake::<_, Bytes>(socket).await;
        let (sender, connection) = builder.expect("the handshake succeeds");
        tokio::spawn(async move { connection.await.ok() });
        let mut sender = sender.ready().await.expect("ready");
        let (response, mut stream) =
            sender.send_request(post_request(PROCESS, GRPC_CONTENT_TYPE), false).expect("a stream");
        let _ = stream.send_data(request_headers(1, &[("x-max-ms", "1000")]), false);
        let Ok(response) = response.await else { return true };
        matches!(response.into_body().data().await, Some(Err(_)))
    })
}
