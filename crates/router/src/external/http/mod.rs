//! The plain HTTP front, for proxies that support only HTTP sub-requests: one HTTP/1.1 request asks for a
//! decision, and a second one reports the outcome. It uses the same table as the gRPC front, with another
//! codec.

mod head;

use std::fmt::Write;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use bytes::Buf;
use futures_lite::{AsyncWriteExt, future};
use tindoor_external_requests::{CallId, CallReply, RefusalReason};
use tindoor_extproc::request::{HeaderNames, Headers, read_report};
use tindoor_extproc::response::{self, FinalResponse, HeaderField};

use super::call::Call;
use super::connection::{CloseMethod, ProxyConnection, log_end, refuse};
use super::request::{CheckedRequest, bad_request, final_response, final_response_to_request, read_request};
use super::target;
use crate::connections::{ConnectionHandler, ManagedConnection, Phase, listener_names};
use crate::memory::{IncomingMessage, Sender, Standing, out_of_memory, receive_some};
use crate::state::RouterState;
use crate::timeout::with_timeout;
use head::{RequestHead, invalid, parse_head};

const REPORT_PATH: &str = "/report";
/// The header with the id of a call, which the report on that call repeats.
const LEASE_HEADER: &str = "x-tindoor-lease";
/// The number of hexadecimal digits of a correlation id.
const CORRELATION_ID_DIGITS: usize = 16;

/// Serves the connections of proxies that call over plain HTTP.
pub struct PlainHandler {
    router: Rc<RouterState>,
    names: Rc<HeaderNames>,
}

impl PlainHandler {
    /// Creates a handler; `names` are the headers that a request is read from.
    pub fn new(router: Rc<RouterState>, names: HeaderNames) -> Self {
        Self { router, names: Rc::new(names) }
    }
}

impl ConnectionHandler for PlainHandler {
    type Listener = TcpListener;

    fn serve(&self, stream: TcpStream) -> io::Result<Rc<dyn ManagedConnection>> {
        let proxy = ProxyConnection::new(stream, CloseMethod::HalfClose)?;
        let (router, names, served) = (Rc::clone(&self.router), Rc::clone(&self.names), Rc::clone(&proxy));
        let task = async move { log_end(serve_connection(router, names, served).await) };
        self.router.executor.spawn(task).detach();
        Ok(proxy)
    }

    fn refuse(&self, stream: TcpStream) {
        let retry_after = self.router.engine.retry_after();
        let rejection = final_response(&CallReply::Rejected(retry_after, RefusalReason::NoCapacity));
        refuse(stream, encode_response(&rejection, true).as_bytes());
    }

    fn accept_failed(&self) {
        self.router.endpoints.sweep_idle();
    }
}

/// One connection. Each request is answered before the next one is read.
struct Connection {
    router: Rc<RouterState>,
    names: Rc<HeaderNames>,
    proxy: Rc<ProxyConnection>,
    received: IncomingMessage,
    /// When the first byte of an incomplete request was read. `None` while nothing of a request has arrived.
    incomplete_since: Option<Instant>,
}

/// Serves one connection until either side closes it.
async fn serve_connection(
    router: Rc<RouterState>,
    names: Rc<HeaderNames>,
    proxy: Rc<ProxyConnection>,
) -> io::Result<()> {
    let limits = router.limits.proxy;
    let sender = Sender { listener: listener_names::CALL, address: proxy.peer_address() };
    let received = IncomingMessage::new(&router.memory.incoming, sender);
    let (served, incomplete_since) = (Rc::clone(&proxy), None);
    let mut connection = Connection { router, names, proxy: served, received, incomplete_since };
    connection.serve_requests().await?;
    proxy.close(&limits).await;
    Ok(())
}

impl Connection {
    async fn serve_requests(&mut self) -> io::Result<()> {
        loop {
            // A proxy that sends continuously must not starve the others: whatever has arrived, other tasks run
            // before the next request is read.
            future::yield_now().await;
            let head = match self.next_request().await {
                Ok(Some(head)) => head,
                Ok(None) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return self.respond(&bad_request(error.to_string()), true).await;
                }
                Err(error) => return Err(error),
            };
            let _call = self.proxy.begin_call();
            match head.path.as_str() {
                REPORT_PATH => self.report(&head).await?,
                _ => self.decide(&head).await?,
            }
            if head.closes_connection {
                return Ok(());
            }
        }
    }

    /// Reads the next request. `None` if either side has closed the connection.
    async fn next_request(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            let state = self.proxy.state();
            if state.phase() != Phase::Open {
                return Ok(None);
            }
            let parsed = parse_head(&self.received.buffer())?;
            if let Some((head, size)) = parsed {
                self.received.buffer().advance(size);
                self.received.complete();
                state.set_unparsed_bytes(!self.received.is_empty());
                state.record_message(Instant::now());
                // What was sent in advance waits while this request is answered.
                self.received.hold(Standing::Proven).map_err(out_of_memory)?;
                self.incomplete_since = None;
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

    /// Reads once. Returns 0 if either side has closed the connection. Fails if a request does not arrive
    /// completely in time, even if single bytes keep arriving.
    async fn receive(&mut self) -> io::Result<usize> {
        let limits = &self.router.limits.proxy;
        if !self.received.is_empty() {
            self.incomplete_since = self.incomplete_since.or(Some(Instant::now()));
        }
        let wait = match self.incomplete_since {
            Some(since) => limits.frame_timeout.saturating_sub(since.elapsed()),
            None => limits.idle_timeout,
        };
        let state = self.proxy.state();
        let standing = Standing::of(state.has_sent_message());
        let memory = &self.router.memory;
        let read = receive_some(&self.proxy.stream, &self.received, memory, standing, None);
        let closed = async {
            state.wait_for(Phase::Closing).await;
            Ok(0)
        };
        let received = with_timeout(wait, future::or(read, closed)).await;
        state.set_unread_bytes(false);
        state.set_unparsed_bytes(!self.received.is_empty());
        received
    }

    async fn respond(&mut self, response: &FinalResponse, closes_connection: bool) -> io::Result<()> {
        let closes_connection = closes_connection || self.proxy.state().phase() != Phase::Open;
        let response = encode_response(response, closes_connection);
        let mut stream = &self.proxy.stream;
        with_timeout(self.router.limits.proxy.write_timeout, stream.write_all(response.as_bytes())).await
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
        let mut call = router.external.open_call(&self.proxy);
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
        let call = router.external.open_call(&self.proxy);
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
            self.proxy.stream.readable().await?;
            match self.proxy.stream.get_ref().peek(&mut [0]) {
                Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
                // The next request has already arrived; it is read after this one is answered.
                Ok(_) => std::future::pending().await,
                Err(error) => Err(error),
            }
        };
        future::or(reply, closed).await
    }
}

/// Returns the bytes of a response without a body.
fn encode_response(response: &FinalResponse, closes_connection: bool) -> String {
    let mut head = format!("HTTP/1.1 {} X\r\n", response.status);
    for HeaderField { name, value } in &response.fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if closes_connection {
        head.push_str("connection: close\r\n");
    }
    head.push_str("content-length: 0\r\n\r\n");
    head
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
