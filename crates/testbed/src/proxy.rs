//! A stand-in front proxy: HTTP/1.1 in, a stock gRPC client of the published external processing service,
//! HTTP/1.1 to caches. It does what such a proxy does, and by a client's `x-fault` what it should not.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HeaderMutation, HttpHeaders, ProcessingRequest, ProcessingResponse, processing_request,
    processing_response,
};
use prost::Message as Message_;
use prost::bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

pub type Fields = HashMap<String, String>;

/// One message of HTTP/1.1: its first line's middle word (path or status), headers in lower case, and the
/// body.
pub struct Message {
    pub what: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

/// Reads a request or an answer; what came behind it stays in `rest`.
pub async fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default();
            let what = first.split(' ').nth(1).unwrap_or_default().to_string();
            let pair =
                |line: &str| line.split_once(':').map(|(n, v)| (n.to_lowercase(), v.trim().to_string()));
            let fields: Fields = lines.filter_map(pair).collect();
            let size = fields.get("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
            let whole: usize = end + 4 + size;
            while rest.len() < whole {
                if stream.read_buf(rest).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let body = rest[end + 4..whole].to_vec();
            rest.drain(..whole);
            return Ok(Some(Message { what, fields, body }));
        }
        if stream.read_buf(rest).await? == 0 {
            return if rest.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// What the proxy answers its client.
struct Answer {
    status: u16,
    fields: Fields,
    body: Vec<u8>,
}

impl Answer {
    /// The proxy's own word, where it got none from the router.
    fn own(status: u16, why: &str) -> Self {
        Self { status, fields: [("x-lab-why".to_string(), why.to_string())].into(), body: Vec::new() }
    }
}

pub struct Proxy {
    pub address: SocketAddr,
    processor: Mutex<ExternalProcessorClient<Channel>>,
    front: SocketAddr,
    call: SocketAddr,
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    /// How long each choice took, in microseconds.
    pub choices: Mutex<Vec<u64>>,
    /// Streams that the router had not ended in time after nothing was reported.
    pub streams_left: Mutex<u64>,
    /// Ends that the router gave streams, by gRPC code.
    pub statuses: Mutex<HashMap<String, u64>>,
    /// A ticket and lease of somebody else, to report wrongly.
    other: Mutex<Option<String>>,
}

fn channel(front: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{front}")).expect("an address").connect_lazy()
}

impl Proxy {
    pub async fn start(front: SocketAddr, call: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            processor: Mutex::new(ExternalProcessorClient::new(channel(front))),
            front,
            call,
            idle: Mutex::default(),
            choices: Mutex::default(),
            streams_left: Mutex::default(),
            statuses: Mutex::default(),
            other: Mutex::default(),
        });
        let serving = Arc::clone(&proxy);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = Arc::clone(&serving);
                tokio::spawn(async move { proxy.converse(stream).await });
            }
        });
        proxy
    }

    /// Drops the connection to the router, with all that is open on it.
    pub fn reconnect(&self, front: SocketAddr) {
        *self.processor.lock().unwrap() = ExternalProcessorClient::new(channel(front));
    }

    async fn converse(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(asked)) = read(&mut stream, &mut rest).await {
            let answer = tokio::select! {
                answer = self.handle(&asked) => answer,
                // A client that gives up takes everything down with it.
                _ = closed(&stream) => return,
            };
            let mut head = format!("HTTP/1.1 {} X\r\n", answer.status);
            for (name, value) in answer.fields.iter().filter(|field| !field.0.starts_with("content-")) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            let ticket = asked.fields.get("x-ticket").cloned().unwrap_or_default();
            head.push_str(&format!(
                "x-lab-ticket: {ticket}\r\ncontent-length: {}\r\n\r\n",
                answer.body.len()
            ));
            let bytes = [head.as_bytes(), &answer.body].concat();
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// One request: calls, forwards and reports, again for as long as the router says so.
    async fn handle(&self, asked: &Message) -> Answer {
        let fault = asked.fields.get("x-fault").cloned().unwrap_or_default();
        let start = Instant::now();
        let patience: u64 = asked.fields.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(3000);
        for attempt in 1..=16 {
            let left = patience.saturating_sub(start.elapsed().as_millis() as u64);
            if left == 0 {
                return Answer::own(503, "late");
            }
            match self.attempt(asked, attempt, left, if attempt == 1 { &fault } else { "" }).await {
                Ok(answer) => return answer,
                Err(pause) => tokio::time::sleep(pause).await,
            }
        }
        Answer::own(503, "tries")
    }

    /// One call, with what comes of it; an error asks for the next after a pause.
    async fn attempt(
        &self,
        asked: &Message,
        attempt: u32,
        left: u64,
        fault: &str,
    ) -> Result<Answer, Duration> {
        let soon = Duration::from_millis(5);
        let (sender, receiver) = mpsc::channel(8);
        let _ = sender.send(request_headers(fields_of_call(asked, attempt, left))).await;
        if fault == "window" {
            return self.slowly(asked, fields_of_call(asked, attempt, left)).await.ok_or(soon);
        }
        let mut processor = self.processor.lock().unwrap().clone();
        let begun = Instant::now();
        let called = async {
            let mut stream = processor.process(ReceiverStream::new(receiver)).await?.into_inner();
            let first = stream.message().await?;
            Ok::<_, tonic::Status>((stream, first))
        };
        if fault == "before" {
            // Given up in the breath in which it is asked, or while the router chooses.
            let chance = asked.fields.get("x-ticket").map_or(0, |ticket| u64::from(ticket.as_bytes()[15]));
            let _ = tokio::time::timeout(Duration::from_micros(chance * 6), called).await;
            return Ok(Answer::own(503, "given up"));
        }
        let (mut stream, first) = match called.await {
            Ok(called) => called,
            Err(status) => {
                *self.statuses.lock().unwrap().entry(format!("{:?}", status.code())).or_default() += 1;
                // No router there: it may be starting again.
                return Err(Duration::from_millis(40));
            }
        };
        let chosen = match first.and_then(|first| first.response) {
            Some(processing_response::Response::RequestHeaders(headers)) => {
                set_fields(headers.response.and_then(|response| response.header_mutation))
            }
            Some(processing_response::Response::ImmediateResponse(immediate)) => {
                return Ok(refused(immediate));
            }
            _ => return Err(soon),
        };
        self.choices.lock().unwrap().push(begun.elapsed().as_micros() as u64);
        match fault {
            "after" => return Ok(Answer::own(503, "given up")),
            "reset" => return Err(soon),
            _ => {}
        }
        // What the choice allows: to begin within its time.
        let use_within: u64 =
            chosen.get("x-tindoor-use-within-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let used = begun.elapsed().as_millis() as u64;
        let forwarded = match used > use_within {
            true => Err("unused"),
            false => self.forward(asked, &chosen).await,
        };
        let report = match &forwarded {
            Ok(answer) => {
                let mut fields: Vec<_> = vec![(":status".to_string(), answer.what.clone())];
                fields.extend(answer.fields.iter().map(|(name, value)| (name.clone(), value.clone())));
                fields
            }
            Err(why) => vec![(":status".into(), "503".into()), ("x-tindoor-failed".into(), why.to_string())],
        };
        if fault == "wrong" {
            self.report_wrongly(asked).await;
        }
        if fault == "silent" || fault == "late" {
            // The answer goes out; what the router does with a stream on which nothing is said is seen here.
            let late = tokio::time::timeout(Duration::from_secs(6), stream.message()).await;
            *self.streams_left.lock().unwrap() += u64::from(late.is_err());
        }
        if fault == "silent" {
            return Ok(Answer::own(503, "silent"));
        }
        let report = request(processing_request::Request::ResponseHeaders(http_headers(report)));
        if sender.send(report.clone()).await.is_err() && fault.is_empty() {
            return Err(soon);
        }
        if fault == "twice" {
            let _ = sender.send(report).await;
        }
        let mut added = Fields::new();
        let done = forwarded.as_ref().is_ok_and(|answer| answer.what == "200" || answer.what == "304");
        match stream.message().await.ok().flatten().and_then(|said: ProcessingResponse| said.response) {
            Some(processing_response::Response::ImmediateResponse(immediate)) => {
                return Ok(refused(immediate));
            }
            Some(processing_response::Response::ResponseHeaders(headers)) => {
                let set = set_fields(headers.response.and_then(|response| response.header_mutation));
                if set.contains_key("x-tindoor-again") {
                    return Err(soon);
                }
                added = set;
            }
            _ if fault.is_empty() && !done => return Err(soon),
            _ => {}
        }
        match forwarded {
            Ok(Message { what, mut fields, body }) => {
                fields.remove("connection");
                fields.extend(added);
                Ok(Answer { status: what.parse().unwrap_or(500), fields, body })
            }
            Err(why) => Ok(Answer::own(503, why)),
        }
    }

    /// A call on a connection of its own that opens no window for 0.9 s; what it gets then is used at once.
    async fn slowly(&self, asked: &Message, fields: Vec<(String, String)>) -> Option<Answer> {
        let socket = TcpStream::connect(self.front).await.ok()?;
        let builder = h2::client::Builder::new().initial_window_size(0).handshake(socket).await;
        let (sender, mut connection) = builder.ok()?;
        tokio::spawn(async move {
            let shut = tokio::time::timeout(Duration::from_millis(900), &mut connection).await;
            if shut.is_err() && connection.set_initial_window_size(1 << 16).is_ok() {
                let _ = connection.await;
            }
        });
        let call = http::Request::post("http://router/envoy.service.ext_proc.v3.ExternalProcessor/Process")
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        let mut sender = sender.ready().await.ok()?;
        let (answer, mut stream) = sender.send_request(call.body(()).ok()?, false).ok()?;
        stream.send_data(framed(&request_headers(fields)), false).ok()?;
        let mut body = answer.await.ok()?.into_body();
        let said: ProcessingResponse = unframed(&body.data().await?.ok()?)?;
        let chosen = match said.response? {
            processing_response::Response::RequestHeaders(headers) => {
                set_fields(headers.response.and_then(|response| response.header_mutation))
            }
            processing_response::Response::ImmediateResponse(immediate) => return Some(refused(immediate)),
            _ => return None,
        };
        let answer = self.forward(asked, &chosen).await.ok()?;
        Some(Answer { status: answer.what.parse().unwrap_or(500), fields: answer.fields, body: answer.body })
    }

    /// Sends the request to the chosen cache, as the choice says.
    async fn forward(&self, asked: &Message, chosen: &Fields) -> Result<Message, &'static str> {
        let address = chosen.get("x-tindoor-address").ok_or("unused")?.clone();
        let path = chosen.get(":path").unwrap_or(&asked.what);
        let mut head = format!("GET {path} HTTP/1.1\r\nHost: cache\r\n");
        let names = ["x-ticket", "x-max-ms", "x-source", "x-tier", "x-mode", "x-accept-age"];
        for (name, value) in names.iter().filter_map(|name| Some((name, chosen.get(*name)?))) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if let Some(mark) = asked.fields.get("x-nonce") {
            head.push_str(&format!("x-nonce: {mark}\r\n"));
        }
        head.push_str("\r\n");
        let wait = chosen.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(1000);
        let idle = self.idle.lock().unwrap().get_mut(&address).and_then(Vec::pop);
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(&address).await.map_err(|_| "unreachable")?,
        };
        let exchange = async {
            stream.write_all(head.as_bytes()).await?;
            read(&mut stream, &mut Vec::new()).await?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))
        };
        match tokio::time::timeout(Duration::from_millis(wait), exchange).await {
            Ok(Ok(answer)) => {
                self.idle.lock().unwrap().entry(address).or_default().push(stream);
                Ok(answer)
            }
            Ok(Err(_)) => Err("broken"),
            Err(_) => Err("timed-out"),
        }
    }

    /// Asks the plain call for a choice of its own once, then reports on that lease with other requests'
    /// tickets.
    async fn report_wrongly(&self, asked: &Message) {
        let ask = async |head: String| {
            let mut stream = TcpStream::connect(self.call).await.ok()?;
            stream.write_all(head.as_bytes()).await.ok()?;
            read(&mut stream, &mut Vec::new()).await.ok()?
        };
        let lease = self.other.lock().unwrap().clone();
        let lease = match lease {
            Some(lease) => lease,
            None => {
                let ticket = format!("{:016x}", u64::MAX - u64::from(self.address.port()));
                let head =
                    format!("GET /v1/store/pages/00000000000000aa/0 HTTP/1.1\r\nx-ticket: {ticket}\r\n\r\n");
                let lease = ask(head).await.and_then(|answer| answer.fields.get("x-tindoor-lease").cloned());
                let lease = lease.unwrap_or_default();
                *self.other.lock().unwrap() = Some(lease.clone());
                lease
            }
        };
        let ticket = asked.fields.get("x-ticket").cloned().unwrap_or_default();
        for lease in [lease, "1".into(), String::new()] {
            let names = format!("x-ticket: {ticket}\r\nx-tindoor-lease: {lease}\r\nx-status: 200\r\n");
            ask(format!("POST /report HTTP/1.1\r\n{names}\r\n")).await;
        }
    }
}

async fn closed(stream: &TcpStream) {
    loop {
        match stream.peek(&mut [0]).await {
            Ok(0) | Err(_) => return,
            // The client says more while it waits: nothing that this proxy knows.
            Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

pub(crate) fn http_headers(fields: Vec<(String, String)>) -> HttpHeaders {
    let header = |(key, value): (String, String)| HeaderValue {
        key,
        raw_value: value.into_bytes(),
        ..Default::default()
    };
    let headers = Some(HeaderMap { headers: fields.into_iter().map(header).collect() });
    HttpHeaders { headers, end_of_stream: false, ..Default::default() }
}

pub(crate) fn request(request: processing_request::Request) -> ProcessingRequest {
    ProcessingRequest { request: Some(request), ..Default::default() }
}

fn request_headers(fields: Vec<(String, String)>) -> ProcessingRequest {
    request(processing_request::Request::RequestHeaders(http_headers(fields)))
}

fn fields_of_call(asked: &Message, attempt: u32, left: u64) -> Vec<(String, String)> {
    let mut fields: Vec<(String, String)> = vec![
        (":path".into(), asked.what.clone()),
        (":method".into(), "GET".into()),
        ("x-envoy-attempt-count".into(), attempt.to_string()),
        ("x-max-ms".into(), left.to_string()),
    ];
    let known = ["x-ticket", "x-nonce", "x-group", "x-redo", "cookie", "x-envoy-external-address"];
    fields.extend(known.iter().filter_map(|n| Some((n.to_string(), asked.fields.get(*n)?.clone()))));
    fields
}

/// A message in gRPC's frame.
pub(crate) fn framed(message: &impl Message_) -> Bytes {
    let bytes = message.encode_to_vec();
    [&[0][..], &(bytes.len() as u32).to_be_bytes(), &bytes].concat().into()
}

pub(crate) fn unframed<M: Message_ + Default>(bytes: &[u8]) -> Option<M> {
    M::decode(bytes.get(5..)?).ok()
}

fn set_fields(mutation: Option<HeaderMutation>) -> Fields {
    let set = mutation.into_iter().flat_map(|mutation| mutation.set_headers);
    let header = set.filter_map(|option| option.header);
    header.map(|header| (header.key, String::from_utf8_lossy(&header.raw_value).into_owned())).collect()
}

fn refused(immediate: envoy_types::pb::envoy::service::ext_proc::v3::ImmediateResponse) -> Answer {
    let status = immediate.status.map_or(500, |status| status.code as u16);
    Answer { status, fields: set_fields(immediate.headers), body: Vec::new() }
}
