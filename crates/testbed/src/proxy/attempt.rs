//! One attempt of a request: requests a decision from the router, forwards the request to the endpoint in the
//! decision, and reports the outcome to the router.

use std::io;
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    ProcessingRequest, ProcessingResponse, processing_request, processing_response,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;

use super::http::{Fields, Message, read};
use super::messages::{
    Decision, framed, http_headers, immediate_response, processing_request, request_headers, set_fields,
    unframed,
};
use super::{Proxy, Response};

/// The URL of the external processing service's method.
const PROCESS_URL: &str = "http://router/envoy.service.ext_proc.v3.ExternalProcessor/Process";
/// Time-out of a forwarded request if the decision has no `x-max-ms`, in milliseconds.
const DEFAULT_ATTEMPT_TIMEOUT_MS: u64 = 1000;

/// How long the proxy waits for the router to end a stream without a report.
const UNREPORTED_STREAM_TIMEOUT: Duration = Duration::from_secs(6);

/// How long the flow-control window stays closed with the fault `window`.
const CLOSED_WINDOW_TIME: Duration = Duration::from_millis(900);
/// Size of the flow-control window after it is opened.
const OPEN_WINDOW_BYTES: u32 = 1 << 16;

/// The attempt ended without a response to the client; another attempt follows.
pub(super) struct Retry {
    /// The wait before the next attempt.
    pub(super) backoff: Duration,
}

impl Retry {
    const SOON: Self = Self { backoff: Duration::from_millis(5) };

    /// No router answers; the router may be restarting.
    const ROUTER_UNAVAILABLE: Self = Self { backoff: Duration::from_millis(40) };
}

/// An attempt of a request.
pub(super) struct Attempt<'a> {
    pub(super) proxy: &'a Proxy,
    pub(super) request: &'a Message,
    /// Number of the attempt, starting with 1.
    pub(super) number: u32,
    pub(super) time_remaining_ms: u64,
    /// Name of the fault to inject; empty if there is none.
    pub(super) fault: &'a str,
}

/// An open stream to the router.
struct Exchange {
    responses: Streaming<ProcessingResponse>,
    requests: mpsc::Sender<ProcessingRequest>,
}

/// A new stream and its first message. The message is `None` if the stream ended without one.
struct OpenedStream {
    responses: Streaming<ProcessingResponse>,
    first: Option<ProcessingResponse>,
}

/// Why the endpoint returned no response or was not called, as reported to the router in `x-tindoor-failed`.
type ForwardFailure = &'static str;

async fn open_stream(
    mut processor: ExternalProcessorClient<Channel>,
    requests: mpsc::Receiver<ProcessingRequest>,
) -> Result<OpenedStream, tonic::Status> {
    let mut responses = processor.process(ReceiverStream::new(requests)).await?.into_inner();
    let first = responses.message().await?;
    Ok(OpenedStream { responses, first })
}

impl Attempt<'_> {
    /// Makes the attempt. Returns the response to the client, or the retry if another attempt follows.
    pub(super) async fn run(self) -> Result<Response, Retry> {
        let (requests, receiver) = mpsc::channel(8);
        let first_message = request_headers(self.request, self.number, self.time_remaining_ms);
        let _ = requests.send(first_message.clone()).await;
        if self.fault == "window" {
            return self.run_with_closed_window(&first_message).await.ok_or(Retry::SOON);
        }
        let processor = self.proxy.processor.lock().unwrap().clone();
        let started_at = Instant::now();
        let opening = open_stream(processor, receiver);
        if self.fault == "before" {
            // Cancels the stream immediately or while the router decides. The time until the cancellation
            // depends on the request's correlation id.
            let spread =
                self.request.fields.get("x-ticket").map_or(0, |ticket| u64::from(ticket.as_bytes()[15]));
            let _ = tokio::time::timeout(Duration::from_micros(spread * 6), opening).await;
            return Ok(Response::local(503, "given up"));
        }
        let opened = opening.await.map_err(|status| {
            let code = format!("{:?}", status.code());
            *self.proxy.statuses.lock().unwrap().entry(code).or_default() += 1;
            Retry::ROUTER_UNAVAILABLE
        })?;
        let decision = match opened.first.and_then(Decision::from_message) {
            Some(Decision::Forward(decision)) => decision,
            Some(Decision::Immediate(response)) => return Ok(response),
            None => return Err(Retry::SOON),
        };
        let latency_us = started_at.elapsed().as_micros() as u64;
        self.proxy.decision_latencies_us.lock().unwrap().push(latency_us);
        let exchange = Exchange { responses: opened.responses, requests };
        match self.fault {
            "after" => Ok(Response::local(503, "given up")),
            "reset" => Err(Retry::SOON),
            _ => self.forward_and_report(exchange, &decision, started_at).await,
        }
    }

    /// Forwards the request as the router decided, and reports the outcome.
    async fn forward_and_report(
        &self,
        mut exchange: Exchange,
        decision: &Fields,
        started_at: Instant,
    ) -> Result<Response, Retry> {
        let use_within_ms: u64 =
            decision.get("x-tindoor-use-within-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let forwarded = match started_at.elapsed().as_millis() as u64 > use_within_ms {
            true => Err("unused"),
            false => self.proxy.forward(self.request, decision).await,
        };
        let report = processing_request(processing_request::Request::ResponseHeaders(http_headers(
            report_fields(&forwarded),
        )));
        if self.fault == "wrong" {
            self.proxy.send_wrong_reports(self.request).await;
        }
        if self.fault == "silent" || self.fault == "late" {
            let end = tokio::time::timeout(UNREPORTED_STREAM_TIMEOUT, exchange.responses.message()).await;
            *self.proxy.streams_left.lock().unwrap() += u64::from(end.is_err());
        }
        if self.fault == "silent" {
            return Ok(Response::local(503, "silent"));
        }
        if exchange.requests.send(report.clone()).await.is_err() && self.fault.is_empty() {
            return Err(Retry::SOON);
        }
        if self.fault == "twice" {
            let _ = exchange.requests.send(report).await;
        }
        let reply = exchange.responses.message().await.ok().flatten();
        self.finish(reply, forwarded)
    }

    /// Determines the result of the attempt from the router's reply to the report.
    fn finish(
        &self,
        reply: Option<ProcessingResponse>,
        forwarded: Result<Message, ForwardFailure>,
    ) -> Result<Response, Retry> {
        let is_served =
            forwarded.as_ref().is_ok_and(|response| response.target == "200" || response.target == "304");
        let mut added = Fields::new();
        match reply.and_then(|reply| reply.response) {
            Some(processing_response::Response::ImmediateResponse(immediate)) => {
                return Ok(immediate_response(immediate));
            }
            Some(processing_response::Response::ResponseHeaders(headers)) => {
                added = set_fields(headers.response.and_then(|response| response.header_mutation));
                if added.contains_key("x-tindoor-again") {
                    return Err(Retry::SOON);
                }
            }
            _ if self.fault.is_empty() && !is_served => return Err(Retry::SOON),
            _ => {}
        }
        match forwarded {
            Ok(Message { target, mut fields, body }) => {
                fields.remove("connection");
                fields.extend(added);
                Ok(Response { status: target.parse().unwrap_or(500), fields, body })
            }
            Err(failure) => Ok(Response::local(503, failure)),
        }
    }

    /// Requests a decision on a separate connection whose flow-control window opens late, and forwards the
    /// request immediately after the decision. `None` if any step fails.
    async fn run_with_closed_window(&self, first_message: &ProcessingRequest) -> Option<Response> {
        let socket = TcpStream::connect(self.proxy.front).await.ok()?;
        let builder = h2::client::Builder::new().initial_window_size(0).handshake(socket).await;
        let (sender, mut connection) = builder.ok()?;
        tokio::spawn(async move {
            let ended = tokio::time::timeout(CLOSED_WINDOW_TIME, &mut connection).await;
            if ended.is_err() && connection.set_initial_window_size(OPEN_WINDOW_BYTES).is_ok() {
                let _ = connection.await;
            }
        });
        let call = ::http::Request::post(PROCESS_URL)
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        let mut sender = sender.ready().await.ok()?;
        let (response, mut stream) = sender.send_request(call.body(()).ok()?, false).ok()?;
        stream.send_data(framed(first_message), false).ok()?;
        let mut body = response.await.ok()?.into_body();
        let decision = match Decision::from_message(unframed(&body.data().await?.ok()?)?)? {
            Decision::Forward(decision) => decision,
            Decision::Immediate(response) => return Some(response),
        };
        let Message { target, fields, body } = self.proxy.forward(self.request, &decision).await.ok()?;
        Some(Response { status: target.parse().unwrap_or(500), fields, body })
    }
}

/// Returns the header fields of the report on a request: those of the endpoint's response, or the failure.
fn report_fields(forwarded: &Result<Message, ForwardFailure>) -> Vec<(String, String)> {
    match forwarded {
        Ok(response) => {
            let mut fields = vec![(":status".to_string(), response.target.clone())];
            fields.extend(response.fields.iter().map(|(name, value)| (name.clone(), value.clone())));
            fields
        }
        Err(failure) => {
            vec![(":status".into(), "503".into()), ("x-tindoor-failed".into(), (*failure).to_string())]
        }
    }
}

impl Proxy {
    /// Sends the request to the endpoint in the decision and returns the endpoint's response.
    async fn forward(&self, request: &Message, decision: &Fields) -> Result<Message, ForwardFailure> {
        let address = decision.get("x-tindoor-address").ok_or("unused")?.clone();
        let head = forwarded_head(request, decision);
        let timeout_ms =
            decision.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(DEFAULT_ATTEMPT_TIMEOUT_MS);
        let idle = self.idle.lock().unwrap().get_mut(&address).and_then(Vec::pop);
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(&address).await.map_err(|_| "unreachable")?,
        };
        let exchange = async {
            stream.write_all(head.as_bytes()).await?;
            let response = read(&mut stream, &mut Vec::new()).await?;
            response.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))
        };
        match tokio::time::timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(Ok(response)) => {
                self.idle.lock().unwrap().entry(address).or_default().push(stream);
                Ok(response)
            }
            Ok(Err(_)) => Err("broken"),
            Err(_) => Err("timed-out"),
        }
    }

    /// Sends wrong reports with this request's correlation id: one for the lease of another request, and two
    /// for leases that do not exist.
    async fn send_wrong_reports(&self, request: &Message) {
        let foreign_lease = self.foreign_lease.lock().unwrap().clone();
        let foreign_lease = match foreign_lease {
            Some(lease) => lease,
            None => self.acquire_foreign_lease().await,
        };
        let correlation_id = request.fields.get("x-ticket").cloned().unwrap_or_default();
        for lease in [foreign_lease, "1".into(), String::new()] {
            let fields =
                format!("x-ticket: {correlation_id}\r\nx-tindoor-lease: {lease}\r\nx-status: 200\r\n");
            self.plain_call(&format!("POST /report HTTP/1.1\r\n{fields}\r\n")).await;
        }
    }

    /// Requests a decision for another request from the plain call front; stores and returns its lease.
    async fn acquire_foreign_lease(&self) -> String {
        let correlation_id = format!("{:016x}", u64::MAX - u64::from(self.address.port()));
        let path = "/v1/store/pages/00000000000000aa/0";
        let response =
            self.plain_call(&format!("GET {path} HTTP/1.1\r\nx-ticket: {correlation_id}\r\n\r\n")).await;
        let lease = response.and_then(|response| response.fields.get("x-tindoor-lease").cloned());
        let lease = lease.unwrap_or_default();
        *self.foreign_lease.lock().unwrap() = Some(lease.clone());
        lease
    }

    /// Sends a request without a body to the plain call front and returns the response. `None` if the call
    /// fails.
    async fn plain_call(&self, head: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.call_front).await.ok()?;
        stream.write_all(head.as_bytes()).await.ok()?;
        read(&mut stream, &mut Vec::new()).await.ok()?
    }
}

/// Returns the head of the request to the endpoint.
fn forwarded_head(request: &Message, decision: &Fields) -> String {
    let path = decision.get(":path").unwrap_or(&request.target);
    let mut head = format!("GET {path} HTTP/1.1\r\nHost: cache\r\n");
    let names = ["x-ticket", "x-max-ms", "x-source", "x-tier", "x-mode", "x-accept-age"];
    for (name, value) in names.iter().filter_map(|name| decision.get_key_value(*name)) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(idempotency_key) = request.fields.get("x-nonce") {
        head.push_str(&format!("x-nonce: {idempotency_key}\r\n"));
    }
    head.push_str("\r\n");
    head
}
