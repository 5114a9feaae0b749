//! The plain HTTP front, for proxies that support only HTTP sub-requests: one HTTP/1.1 request asks for a
//! decision, and a second one reports the outcome. It uses the same table as the gRPC front, with another
//! codec.

use std::fmt::Write;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tindoor_external_requests::{CallId, CallReply};
use tindoor_extproc::request::{HeaderNames, Headers, read_report};
use tindoor_extproc::response::{self, FinalResponse, HeaderField};

use super::call::Call;
use super::request::{CheckedRequest, bad_request, final_response, final_response_to_request, read_request};
use super::target;
use crate::state::RouterState;
use crate::timeout::with_timeout;

const REPORT_PATH: &str = "/report";
/// The header with the id of a call, which the report on that call repeats.
const LEASE_HEADER: &str = "x-tindoor-lease";
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// The number of hexadecimal digits of a correlation id.
const CORRELATION_ID_DIGITS: usize = 16;

/// The path and headers of a request.
struct RequestHead {
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    closes_connection: bool,
}

/// One connection. Each request is answered before the next one is read.
struct Connection {
    router: Rc<RouterState>,
    names: Rc<HeaderNames>,
    stream: Async<TcpStream>,
    received: Vec<u8>,
}

/// Serves one connection until either side ends it.
pub async fn serve_connection(
    router: Rc<RouterState>,
    stream: Async<TcpStream>,
    names: Rc<HeaderNames>,
) -> io::Result<()> {
    let mut connection = Connection { router, names, stream, received: Vec::new() };
    loop {
        let head = match connection.next_request().await {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                return connection.respond(&bad_request(error.to_string()), true).await;
            }
            Err(error) => return Err(error),
        };
        match head.path.as_str() {
            REPORT_PATH => connection.report(&head).await?,
            _ => connection.decide(&head).await?,
        }
        if head.closes_connection {
            return Ok(());
        }
    }
}

impl Connection {
    /// Reads the next request. `None` if the proxy has closed the connection.
    async fn next_request(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            if let Some((head, size)) = parse_head(&self.received)? {
                self.received.drain(..size);
                return Ok(Some(head));
            }
            if self.received.len() > self.router.limits.proxy.max_header_list_bytes {
                return Err(invalid("the head is over the limit"));
            }
            if self.receive().await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn receive(&mut self) -> io::Result<usize> {
        let limits = &self.router.limits.proxy;
        let wait = if self.received.is_empty() { limits.idle_timeout } else { limits.frame_timeout };
        let filled = self.received.len();
        self.received.resize(filled + limits.initial_read_bytes, 0);
        let received = with_timeout(wait, self.stream.read(&mut self.received[filled..])).await;
        self.received.truncate(filled + received.as_ref().map_or(0, |received| *received));
        received
    }

    async fn respond(&mut self, response: &FinalResponse, closes_connection: bool) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} X\r\n", response.status);
        for HeaderField { name, value } in &response.fields {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if closes_connection {
            head.push_str("connection: close\r\n");
        }
        head.push_str("content-length: 0\r\n\r\n");
        with_timeout(self.router.limits.proxy.write_timeout, self.stream.write_all(head.as_bytes())).await
    }

    /// Responds with a decision or a final refusal. A proxy that closes its connection before the response
    /// has abandoned the request.
    async fn decide(&mut self, head: &RequestHead) -> io::Result<()> {
        let router = Rc::clone(&self.router);
        let request = match read_request(&router, &head.headers(), &self.names) {
            Ok(request) => request,
            Err(error) => {
                return self.respond(&bad_request(error.to_string()), head.closes_connection).await;
            }
        };
        let mut call = router.external.open_call();
        router.external.call_received(&call, request.request);
        loop {
            let reply = self.next_reply(&call).await?;
            let response = match reply {
                CallReply::Decision { .. } if !router.external.confirm_send(&call, &reply) => continue,
                CallReply::Decision { .. } => {
                    // The proxy may use the decision as soon as the first byte of the response is sent. From
                    // then on the call ends when its report arrives, as a separate request, or when the
                    // decision expires.
                    call.outlives_connection = true;
                    decision_response(&router, &call, &request, &reply)
                }
                _ => final_response_to_request(&reply, request.refusal_reason.as_deref()),
            };
            return self.respond(&response, head.closes_connection).await;
        }
    }

    /// Handles a report. The response's status instructs the proxy: with 204 it passes the endpoint's
    /// response on, with 200 it calls again for a retry, and any other response is sent to the client.
    async fn report(&mut self, head: &RequestHead) -> io::Result<()> {
        let router = Rc::clone(&self.router);
        let headers = head.report_headers();
        let lease = head.number(LEASE_HEADER).map(CallId);
        let (Some(correlation_id), Some(lease)) = (self.correlation_id(&headers), lease) else {
            let response = bad_request("x-tindoor-lease or the ticket: missing");
            return self.respond(&response, head.closes_connection).await;
        };
        let report = match read_report(&headers) {
            Ok(report) => report,
            Err(error) => {
                return self.respond(&bad_request(error.to_string()), head.closes_connection).await;
            }
        };
        let call = router.external.open_call();
        let is_attached = router.external.report_on_earlier_call(&call, lease, correlation_id, report);
        let reply = self.next_reply(&call).await;
        // Only if the mailbox was attached: a report with a guessed lease must not detach another call's
        // mailbox.
        if is_attached {
            router.external.detach(lease);
        }
        let response = match reply? {
            CallReply::PassThrough => FinalResponse { status: 204, fields: Vec::new() },
            CallReply::AwaitRetry => {
                FinalResponse { status: 200, fields: vec![HeaderField::new("x-tindoor-again", "1")] }
            }
            other => final_response(&other),
        };
        self.respond(&response, head.closes_connection).await
    }

    fn correlation_id(&self, headers: &Headers) -> Option<u64> {
        let header = headers.0.iter().find(|header| header.0 == self.names.correlation_id)?;
        let text = std::str::from_utf8(header.1).ok()?;
        let text = Some(text).filter(|text| text.len() == CORRELATION_ID_DIGITS)?;
        u64::from_str_radix(text, 16).ok()
    }

    /// Returns the next reply to a call, or an error if the proxy closes the connection first.
    async fn next_reply(&self, call: &Call) -> io::Result<CallReply> {
        let reply = async { Ok(call.replies.next().await) };
        let closed = async {
            self.stream.readable().await?;
            match self.stream.get_ref().peek(&mut [0]) {
                Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
                // The next request has already arrived; it is read after this one is answered.
                Ok(_) => std::future::pending().await,
                Err(error) => Err(error),
            }
        };
        future::or(reply, closed).await
    }
}

impl RequestHead {
    fn headers(&self) -> Headers<'_> {
        let path = (":path", self.path.as_bytes());
        let headers = self.headers.iter().map(|header| (header.0.as_str(), header.1.as_slice()));
        Headers(std::iter::once(path).chain(headers).collect())
    }

    /// Returns the headers of a report, with `x-status`, the endpoint's status, under the name `:status`.
    fn report_headers(&self) -> Headers<'_> {
        let mut headers = self.headers();
        for header in headers.0.iter_mut().filter(|header| header.0 == "x-status") {
            header.0 = ":status";
        }
        headers
    }

    /// Returns a header's value as a number. `None` if the header is missing, repeated or not a number.
    fn number(&self, name: &str) -> Option<u64> {
        let mut values = self.headers.iter().filter(|header| header.0 == name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(&value.1).ok()?.parse().ok()
    }
}

/// Parses the head of a request, and returns it with its size in bytes. `None` if the head is incomplete.
fn parse_head(received: &[u8]) -> io::Result<Option<(RequestHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(received) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("the request can't be read")),
    };
    let headers = request.headers.iter();
    let headers: Vec<_> =
        headers.map(|header| (header.name.to_ascii_lowercase(), header.value.to_vec())).collect();
    let named = |name: &str| headers.iter().find(|header| header.0 == name).map(|header| &header.1[..]);
    let has_body = named("content-length").is_some_and(|length| length != b"0");
    if has_body || named("transfer-encoding").is_some() {
        return Err(invalid("a call has no body"));
    }
    let closes_connection = named("connection").is_some_and(|words| words.eq_ignore_ascii_case(b"close"));
    let path = request.path.unwrap_or_default().to_string();
    Ok(Some((RequestHead { path, headers, closes_connection }, size)))
}

/// Returns the response that carries a decision.
fn decision_response(
    router: &RouterState,
    call: &Call,
    request: &CheckedRequest,
    reply: &CallReply,
) -> FinalResponse {
    let CallReply::Decision { decision, use_within, time_remaining } = reply else {
        return final_response(reply);
    };
    let target = target::resolve(router, decision);
    let mut fields =
        response::decision_headers(&request.request, decision, &target, *use_within, *time_remaining);
    fields.push(HeaderField::new(LEASE_HEADER, call.id.0.to_string()));
    fields.extend(request.path.iter().map(|path| HeaderField::new("x-tindoor-path", path)));
    let cookie = request.renewal_cookie(router);
    fields.extend(cookie.map(|cookie| HeaderField::new("x-tindoor-set-cookie", cookie)));
    FinalResponse { status: 200, fields }
}

fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}
