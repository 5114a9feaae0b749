//! A stand-in front proxy: HTTP/1.1 from clients, a stock gRPC client of the published external processing
//! service, HTTP/1.1 to caches. It does what such a proxy does, and injects the fault that a client names in
//! `x-fault`.

mod attempt;
mod http;
mod messages;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tonic::transport::{Channel, Endpoint};

use attempt::Attempt;
pub use http::{Fields, Message, read};
pub(crate) use messages::{framed, http_headers, processing_request, unframed};

const ATTEMPT_LIMIT: u32 = 16;
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// How often a waiting proxy looks whether its client is still there, once the client has sent more.
const CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy answers its client.
struct Response {
    status: u16,
    fields: Fields,
    body: Vec<u8>,
}

impl Response {
    /// An answer of the proxy's own, where it got none from the router.
    fn local(status: u16, reason: &str) -> Self {
        Self { status, fields: [("x-lab-why".to_string(), reason.to_string())].into(), body: Vec::new() }
    }
}

/// A front proxy.
pub struct Proxy {
    /// Where it listens for clients.
    pub address: SocketAddr,
    processor: Mutex<ExternalProcessorClient<Channel>>,
    front: SocketAddr,
    call: SocketAddr,
    /// Idle connections to each cache.
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    /// How long each routing decision took, in microseconds.
    pub decision_latencies_us: Mutex<Vec<u64>>,
    /// Number of streams that the router had not ended in time after nothing was reported.
    pub streams_left: Mutex<u64>,
    /// Number of streams that the router ended, by gRPC code.
    pub statuses: Mutex<HashMap<String, u64>>,
    /// The decision lease of another request, for reports that are wrong.
    foreign_lease: Mutex<Option<String>>,
}

fn channel(front: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{front}")).expect("an address").connect_lazy()
}

impl Proxy {
    /// Starts a proxy that calls the router's external processing front, and with some faults its plain call
    /// front.
    pub async fn start(front: SocketAddr, call: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            processor: Mutex::new(ExternalProcessorClient::new(channel(front))),
            front,
            call,
            idle: Mutex::default(),
            decision_latencies_us: Mutex::default(),
            streams_left: Mutex::default(),
            statuses: Mutex::default(),
            foreign_lease: Mutex::default(),
        });
        let accepting = Arc::clone(&proxy);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = Arc::clone(&accepting);
                tokio::spawn(async move { proxy.serve_connection(stream).await });
            }
        });
        proxy
    }

    /// Drops the connection to the router, with all streams that are open on it.
    pub fn reconnect(&self, front: SocketAddr) {
        *self.processor.lock().unwrap() = ExternalProcessorClient::new(channel(front));
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut unread = Vec::new();
        while let Ok(Some(request)) = read(&mut stream, &mut unread).await {
            let response = tokio::select! {
                response = self.handle(&request) => response,
                // A client that disconnects cancels its request.
                () = disconnected(&stream) => return,
            };
            let mut head = format!("HTTP/1.1 {} X\r\n", response.status);
            for (name, value) in response.fields.iter().filter(|field| !field.0.starts_with("content-")) {
                head.push_str(&format!("{name}: {value}\r\n"));
            }
            let correlation_id = request.fields.get("x-ticket").cloned().unwrap_or_default();
            let size = response.body.len();
            head.push_str(&format!("x-lab-ticket: {correlation_id}\r\ncontent-length: {size}\r\n\r\n"));
            let bytes = [head.as_bytes(), &response.body].concat();
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// Makes attempts until one ends with an answer to the client.
    async fn handle(&self, request: &Message) -> Response {
        let fault = request.fields.get("x-fault").cloned().unwrap_or_default();
        let started_at = Instant::now();
        let deadline_ms: u64 =
            request.fields.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(DEFAULT_DEADLINE_MS);
        for number in 1..=ATTEMPT_LIMIT {
            let time_remaining_ms = deadline_ms.saturating_sub(started_at.elapsed().as_millis() as u64);
            if time_remaining_ms == 0 {
                return Response::local(503, "late");
            }
            let fault = if number == 1 { fault.as_str() } else { "" };
            let attempt = Attempt { proxy: self, request, number, time_remaining_ms, fault };
            match attempt.run().await {
                Ok(response) => return response,
                Err(retry) => tokio::time::sleep(retry.backoff).await,
            }
        }
        Response::local(503, "tries")
    }
}

/// Waits until the client closes or resets its connection.
async fn disconnected(stream: &TcpStream) {
    loop {
        match stream.peek(&mut [0]).await {
            Ok(0) | Err(_) => return,
            // A next request; the proxy reads it after it has answered this one.
            Ok(_) => tokio::time::sleep(CLIENT_POLL_INTERVAL).await,
        }
    }
}
