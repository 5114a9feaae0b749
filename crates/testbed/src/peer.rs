//! A peer of the external processor that may say anything: raw HTTP/2, messages or bytes in any order.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HttpBody, HttpTrailers, ProcessingRequest, ProcessingResponse,
};
use h2::client::SendRequest;
use prost::bytes::{Buf, Bytes, BytesMut};
use tokio::net::TcpStream;

use crate::proxy::{framed, http_headers, request, unframed};

pub const PROCESS: &str = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

/// What a peer saw of one call.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The HTTP status; 0 where none came.
    pub status: u16,
    /// The kinds of the messages, as `request_headers` or `immediate 503`.
    pub said: Vec<String>,
    /// gRPC's status; none where the stream was reset.
    pub code: Option<u16>,
}

/// The headers of a plain request of an object; further ones replace those of their name.
pub fn page(ticket: u64, more: &[(&str, &str)]) -> Bytes {
    let plain = [
        (":path", "/v1/store/pages/7f3a9c21e0b4d655/3".to_string()),
        ("x-ticket", format!("{ticket:016x}")),
        ("x-max-ms", "3000".to_string()),
    ];
    let kept = plain.into_iter().filter(|field| !more.iter().any(|other| other.0 == field.0));
    let fields = kept.map(|(name, value)| (name.to_string(), value));
    let more = more.iter().map(|(name, value)| (name.to_string(), value.to_string()));
    framed(&request(Request::RequestHeaders(http_headers(fields.chain(more).collect()))))
}

pub fn answer(status: &str) -> Bytes {
    let fields = vec![(":status".to_string(), status.to_string()), ("x-remark".into(), "warm".into())];
    framed(&request(Request::ResponseHeaders(http_headers(fields))))
}

pub fn body(size: usize) -> Bytes {
    framed(&request(Request::RequestBody(HttpBody { body: vec![7; size], ..HttpBody::default() })))
}

pub fn trailers() -> Bytes {
    framed(&request(Request::ResponseTrailers(HttpTrailers::default())))
}

pub fn nothing() -> Bytes {
    framed(&ProcessingRequest::default())
}

fn kind(message: ProcessingResponse) -> String {
    match message.response {
        Some(Response::RequestHeaders(_)) => "request_headers".into(),
        Some(Response::ResponseHeaders(_)) => "response_headers".into(),
        Some(Response::RequestBody(_)) => "request_body".into(),
        Some(Response::ResponseBody(_)) => "response_body".into(),
        Some(Response::RequestTrailers(_)) => "request_trailers".into(),
        Some(Response::ResponseTrailers(_)) => "response_trailers".into(),
        Some(Response::ImmediateResponse(said)) => {
            format!("immediate {}", said.status.map_or(0, |status| status.code))
        }
        _ => "unknown".into(),
    }
}

async fn connect(front: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(front).await.expect("the front listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("a handshake");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}

fn post(path: &str, kind: &str) -> http::Request<()> {
    let uri = format!("http://router{path}");
    http::Request::post(uri)
        .header("content-type", kind)
        .header("te", "trailers")
        .body(())
        .expect("a plain request")
}

fn inside<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(Duration::from_secs(60), work).await };
    runtime.block_on(bounded).expect("an end within a minute")
}

/// One call: after each of these chunks but the last one message is waited for; then the peer's side ends.
pub fn call(front: SocketAddr, path: &str, kind_of: &str, chunks: Vec<Bytes>) -> Outcome {
    inside(async {
        let mut sender = connect(front).await.ready().await.expect("ready");
        let (answer, mut stream) = sender.send_request(post(path, kind_of), false).expect("a stream");
        let mut outcome = Outcome::default();
        let mut chunks = chunks.into_iter().peekable();
        let _ = chunks.next().map(|chunk| stream.send_data(chunk, chunks.peek().is_none()));
        let Ok(answer) = answer.await else { return outcome };
        outcome.status = answer.status().as_u16();
        let code = |headers: &http::HeaderMap| headers.get("grpc-status")?.to_str().ok()?.parse().ok();
        outcome.code = code(answer.headers());
        let (mut reader, mut read) = (answer.into_body(), BytesMut::new());
        while let Some(Ok(data)) = reader.data().await {
            read.extend_from_slice(&data);
            while read.len() >= 5 && read.len() >= 5 + (&read[1..5]).get_u32() as usize {
                let size = 5 + (&read[1..5]).get_u32() as usize;
                outcome.said.extend(unframed(&read.split_to(size)).map(kind));
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

/// Opens streams and resets each at once; how many it got through before the connection was closed to it.
pub fn resets(front: SocketAddr, count: usize) -> usize {
    inside(async {
        let mut sender = connect(front).await;
        for nth in 0..count {
            let Ok(ready) = sender.ready().await else { return nth };
            sender = ready;
            let Ok((_, mut stream)) = sender.send_request(post(PROCESS, "application/grpc"), false) else {
                return nth;
            };
            let _ = stream.send_data(page(nth as u64, &[]), false);
            stream.send_reset(h2::Reason::CANCEL);
            tokio::task::yield_now().await;
        }
        count
    })
}

/// Asks for so many choices on one connection and keeps them all open; how many were given.
pub fn hold(front: SocketAddr, count: usize) -> usize {
    inside(async {
        let mut sender = connect(front).await;
        let mut open = Vec::new();
        let mut given = 0;
        for nth in 0..count {
            let Ok(Ok(ready)) = tokio::time::timeout(Duration::from_secs(1), sender.ready()).await else {
                break;
            };
            sender = ready;
            let Ok((answer, mut stream)) = sender.send_request(post(PROCESS, "application/grpc"), false)
            else {
                break;
            };
            let _ = stream.send_data(page(0x1_0000 + nth as u64, &[("x-max-ms", "60000")]), false);
            let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(2), answer).await else { break };
            let mut reader = answer.into_body();
            let first = reader.data().await.and_then(Result::ok);
            let _ = reader.flow_control().release_capacity(first.as_ref().map_or(0, Bytes::len));
            let choice =
                first.and_then(|data| unframed(&data)).is_some_and(|said| kind(said) == "request_headers");
            given += usize::from(choice);
            open.push((stream, reader));
        }
        given
    })
}

/// One call that is reported done at once: how long the first message took; none where anything was missing.
pub async fn once(sender: SendRequest<Bytes>, path: &str, asked: Bytes) -> Option<Duration> {
    let mut sender = sender.ready().await.ok()?;
    let begun = Instant::now();
    let (answer, mut stream) = sender.send_request(post(path, "application/grpc"), false).ok()?;
    stream.send_data(asked, false).ok()?;
    let mut reader = answer.await.ok()?.into_body();
    let first = reader.data().await?.ok()?;
    let took = begun.elapsed();
    let said = kind(unframed(&first)?);
    stream
        .send_data(if said == "request_headers" { self::answer("200") } else { Bytes::new() }, true)
        .ok()?;
    let _ = reader.flow_control().release_capacity(first.len());
    while let Some(Ok(_)) = reader.data().await {}
    reader.trailers().await.ok().flatten().map(|_| took)
}

/// Calls held open on many connections: how many choices were given, and what `measure` said with all of them
/// open.
pub fn hold_many(
    front: SocketAddr,
    streams: usize,
    connections: usize,
    measure: impl Fn() -> u64,
) -> (usize, u64) {
    inside(async {
        let (mut open, mut given) = (Vec::new(), 0);
        for group in 0..connections {
            let mut sender = connect(front).await;
            for nth in 0..streams {
                let Ok(ready) = sender.ready().await else { break };
                sender = ready;
                let Ok((answer, mut stream)) = sender.send_request(post(PROCESS, "application/grpc"), false)
                else {
                    break;
                };
                let ticket = (group * streams + nth) as u64;
                let _ = stream.send_data(page(ticket, &[("x-max-ms", "60000")]), false);
                let Ok(answer) = answer.await else { break };
                let mut reader = answer.into_body();
                let first = reader.data().await.and_then(Result::ok);
                let _ = reader.flow_control().release_capacity(first.as_ref().map_or(0, Bytes::len));
                let choice = first
                    .and_then(|data| unframed(&data))
                    .is_some_and(|said| kind(said) == "request_headers");
                given += usize::from(choice);
                open.push((stream, reader));
            }
        }
        let measured = measure();
        drop(open);
        (given, measured)
    })
}

/// A call on a connection that never opens a window: whether the router resets its stream.
pub fn shut_window(front: SocketAddr) -> bool {
    inside(async {
        let socket = TcpStream::connect(front).await.expect("the front listens");
        let builder = h2::client::Builder::new().initial_window_size(0).handshake::<_, Bytes>(socket).await;
        let (sender, connection) = builder.expect("a handshake");
        tokio::spawn(async move { connection.await.ok() });
        let mut sender = sender.ready().await.expect("ready");
        let (answer, mut stream) =
            sender.send_request(post(PROCESS, "application/grpc"), false).expect("a stream");
        let _ = stream.send_data(page(1, &[("x-max-ms", "1000")]), false);
        let Ok(answer) = answer.await else { return true };
        matches!(answer.into_body().data().await, Some(Err(_)))
    })
}
