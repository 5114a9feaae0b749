//! A stand-in front proxy. The proxy accepts HTTP/1.1 requests from clients, calls the router with a stock
//! gRPC client of the published external processing service, and forwards requests to caches over HTTP/1.1. A
//! client can name a fault in the header `x-fault`; the proxy then injects this fault.

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

/// Maximum number of attempts of a request.
const ATTEMPT_LIMIT: u32 = 16;
/// Deadline of a request without the header `x-max-ms`, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// How often the proxy checks whether a client is still connected after the client has sent its next request.
const CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A response of the proxy to its client.
struct Response {
    status: u16,
    fields: Fields,
    body: Vec<u8>,
}

impl Response {
    /// Returns a response that the proxy generates itself because the router provided none. The reason is
    /// sent in the header `x-lab-why`.
    fn local(status: u16, reason: &str) -> Self {
        Self { status, fields: [("x-lab-why".to_string(), reason.to_string())].into(), body: Vec::new() }
    }
}

/// A front proxy.
pub struct Proxy {
    /// The address on which the proxy listens for clients.
    pub address: SocketAddr,
    processor: Mutex<ExternalProcessorClient<Channel>>,
    /// Address of the router's external processing front.
    front: SocketAddr,
    /// Address of the router's plain call front.
    call_front: SocketAddr,
    /// Idle connections by cache address.
    idle: Mutex<HashMap<String, Vec<TcpStream>>>,
    /// Latency of each routing decision, in microseconds.
    pub decision_latencies_us: Mutex<Vec<u64>>,
    /// Number of streams without a report that the router did not end in time.
    pub streams_left: Mutex<u64>,
    /// Number of streams that failed before a decision, by gRPC status code.
    pub statuses: Mutex<HashMap<String, u64>>,
    /// The decision lease of another request, used in wrong reports. `None` until first needed.
    foreign_lease: Mutex<Option<String>>,
}

fn channel(front: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{front}")).expect("the address is a valid URI").connect_lazy()
}

impl Proxy {
    /// Starts a proxy that calls the router's external processing front and, for some faults, its plain call
    /// front.
    pub async fn start(front: SocketAddr, call_front: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            processor: Mutex::new(ExternalProcessorClient::new(channel(front))),
            front,
            call_front,
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

    /// Drops the connection to the router with all its open streams. The next attempt connects to `front`.
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

    /// Makes attempts until one returns a response to the client.
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
            // The next request of the client; the proxy reads it after the response to this request.
            Ok(_) => tokio::time::sleep(CLIENT_POLL_INTERVAL).await,
        }
    }
}
