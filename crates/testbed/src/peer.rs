//! A peer of the external processing front that sends anything: raw HTTP/2, messages or bytes in any order.

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

/// The path of the external processing service's one method.
pub const PROCESS: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

const GRPC: &str = "application/grpc";

/// Bytes of gRPC's frame before a message: the compression flag and the message's size.
const FRAME_HEAD_BYTES: usize = 5;

const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const STREAM_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a peer saw of one call.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The HTTP status; 0 where none came.
    pub status: u16,
    /// The kinds of the messages, as `request_headers` or `immediate 503`.
    pub messages: Vec<String>,
    /// gRPC's status; none where the stream was reset.
    pub code: Option<u16>,
}

/// The headers of a plain request of an object; `more` replace those of their name.
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

/// The headers of an endpoint's response with this status.
pub fn response_headers(status: &str) -> Bytes {
    let fields = vec![(":status".to_string(), status.to_string()), ("x-remark".into(), "warm".into())];
    framed(&processing_request(Request::ResponseHeaders(http_headers(fields))))
}

/// A request body of this size.
pub fn body(size: usize) -> Bytes {
    framed(&processing_request(Request::RequestBody(HttpBody { body: vec![7; size], ..HttpBody::default() })))
}

/// The trailers of a response.
pub fn trailers() -> Bytes {
    framed(&processing_request(Request::ResponseTrailers(HttpTrailers::default())))
}

/// A message of no kind.
pub fn empty() -> Bytes {
    framed(&ProcessingRequest::default())
}

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

/// Whether the frame is a routing decision.
fn is_decision(frame: &[u8]) -> bool {
    unframed(frame).is_some_and(|message| kind(message) == "request_headers")
}

async fn connect(front: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(front).await.expect("the front listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("a handshake");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}

fn post(path: &str, content_type: &str) -> http::Request<()> {
    let uri = format!("http://router{path}");
    http::Request::post(uri)
        .header("content-type", content_type)
        .header("te", "trailers")
        .body(())
        .expect("a plain request")
}

/// Runs a future to its end on a runtime of its own; panics after the call timeout.
fn run_to_end<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(CALL_TIMEOUT, work).await };
    runtime.block_on(bounded).expect("an end within a minute")
}

/// The size of the first frame in these bytes, none while it is not complete.
fn frame_size(bytes: &[u8]) -> Option<usize> {
    let mut message_size = bytes.get(1..FRAME_HEAD_BYTES)?;
    let size = FRAME_HEAD_BYTES + message_size.get_u32() as usize;
    (bytes.len() >= size).then_some(size)
}

/// Makes one call: waits for a message after each chunk but the last; then ends its side of the stream.
pub fn call(front: SocketAddr, path: &str, content_type: &str, chunks: Vec<Bytes>) -> Outcome {
    run_to_end(async {
        let mut sender = connect(front).await.ready().await.expect("ready");
        let (response, mut stream) = sender.send_request(post(path, content_type), false).expect("a stream");
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

/// Opens streams and resets each at once; returns how many were opened before the connection was closed.
pub fn reset_streams(front: SocketAddr, count: usize) -> usize {
    run_to_end(async {
        let mut sender = connect(front).await;
        for index in 0..count {
            let Ok(ready) = sender.ready().await else { return index };
            sender = ready;
            let Ok((_, mut stream)) = sender.send_request(post(PROCESS, GRPC), false) else {
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
    is_accepted: bool,
    _sender: SendStream<Bytes>,
    _reader: RecvStream,
}

/// Sends a request with a long deadline on a new stream.
fn open_long_request(
    sender: &mut SendRequest<Bytes>,
    correlation_id: u64,
) -> Result<(ResponseFuture, SendStream<Bytes>), h2::Error> {
    let (response, mut stream) = sender.send_request(post(PROCESS, GRPC), false)?;
    let _ = stream.send_data(request_headers(correlation_id, &[("x-max-ms", "60000")]), false);
    Ok((response, stream))
}

/// Reads the first message of a stream and keeps the stream.
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

/// Asks for decisions on one connection and keeps all streams open; returns how many decisions it got.
pub fn hold_streams(front: SocketAddr, count: usize) -> usize {
    run_to_end(async {
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

/// What was seen while streams on many connections were open.
pub struct HeldConnections {
    /// Number of streams that got a decision.
    pub accepted: usize,
    /// What was measured with all of them open.
    pub measured: u64,
}

/// Keeps streams open on many connections, and measures with all of them open.
pub fn hold_connections(
    front: SocketAddr,
    streams: usize,
    connections: usize,
    measure: impl Fn() -> u64,
) -> HeldConnections {
    run_to_end(async {
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

/// Makes one call that is reported served at once; returns the time to its first message, none where anything
/// was missing.
pub async fn exchange_once(sender: SendRequest<Bytes>, path: &str, headers: Bytes) -> Option<Duration> {
    let mut sender = sender.ready().await.ok()?;
    let started_at = Instant::now();
    let (response, mut stream) = sender.send_request(post(path, GRPC), false).ok()?;
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
/// its stream.
pub fn is_reset_without_window(front: SocketAddr) -> bool {
    run_to_end(async {
        let socket = TcpStream::connect(front).await.expect("the front listens");
        let builder = h2::client::Builder::new().initial_window_size(0).handshake::<_, Bytes>(socket).await;
        let (sender, connection) = builder.expect("a handshake");
        tokio::spawn(async move { connection.await.ok() });
        let mut sender = sender.ready().await.expect("ready");
        let (response, mut stream) = sender.send_request(post(PROCESS, GRPC), false).expect("a stream");
        let _ = stream.send_data(request_headers(1, &[("x-max-ms", "1000")]), false);
        let Ok(response) = response.await else { return true };
        matches!(response.into_body().data().await, Some(Err(_)))
    })
}
