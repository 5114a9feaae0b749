//! The clients of the external-processing experiment.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::{Counts, OBJECTS, REQUEST_FAULTS, Workload, object};
use crate::proxy::{Fields, read};

/// How long a client waits for a complete answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of times that a rejected save is sent, including the first time.
const SAVE_ATTEMPTS: u32 = 3;
/// How long a client waits before a retry if the answer does not state a pause.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(30);
/// How long a client goes on retrying a request that is rejected because of overload.
const OVERLOAD_PATIENCE: Duration = Duration::from_secs(10);

/// Runs one client, which sends one request after another, each to a random proxy.
pub(super) async fn run(workload: Arc<Workload>, index: u64) {
    let seed = workload.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(index);
    let mut client = Client {
        workload: &workload,
        random: Pcg64Mcg::seed_from_u64(seed),
        connections: Connections::new(&workload),
    };
    loop {
        let request = workload.next_request.fetch_add(1, Ordering::Relaxed);
        if request >= workload.plan.requests || Instant::now() > workload.end {
            return;
        }
        let fault = client.draw_fault();
        let proxy = client.random.random_range(0..2);
        let is_save = fault == "ask-twice" || client.random.random_bool(0.2);
        let idempotency_key = format!("{:032x}", client.random.random::<u128>());
        match is_save {
            false => client.read_object(proxy, fault).await,
            true => client.save(proxy, fault, &idempotency_key).await,
        }
    }
}

/// A request of a client, before it is sent.
#[derive(Clone, Copy)]
struct ClientRequest<'a> {
    /// Index of the proxy that receives the request.
    proxy: usize,
    path: &'a str,
    /// The idempotency key of a save.
    idempotency_key: Option<&'a str>,
    /// Whether the client sent the request before.
    is_retry: bool,
    /// Name of the fault, empty for none.
    fault: &'a str,
    correlation_id: u64,
}

/// The answer that a client received.
struct ClientResponse {
    status: u16,
    fields: Fields,
}

impl ClientResponse {
    /// Returns whether the router rejected the request because of overload, so that the client is to retry it
    /// after the stated pause.
    fn is_overload_rejection(&self) -> bool {
        let reason = self.fields.get("x-tindoor-reason").map(String::as_str);
        self.status == 503 && reason == Some("given-up") && self.pause().is_some()
    }

    /// Returns the pause before a retry, as stated in the answer.
    fn pause(&self) -> Option<Duration> {
        let pause_ms = self.fields.get("x-tindoor-pause-ms")?.parse().ok()?;
        Some(Duration::from_millis(pause_ms))
    }
}

struct Client<'a> {
    workload: &'a Workload,
    random: Pcg64Mcg,
    connections: Connections<'a>,
}

impl<'a> Client<'a> {
    /// Draws the fault of the next request; empty for none.
    fn draw_fault(&mut self) -> &'a str {
        let faults: Vec<&str> = self
            .workload
            .plan
            .faults
            .iter()
            .map(String::as_str)
            .filter(|fault| REQUEST_FAULTS.contains(fault))
            .collect();
        if !self.random.random_bool(0.2) || faults.is_empty() {
            return "";
        }
        let fault = faults[self.random.random_range(0..faults.len())];
        // Leaves out most of the faults that wait for seconds, because the run would spend its time waiting.
        let waits_long = fault == "silent" || fault == "late";
        if waits_long && self.random.random_bool(0.8) { "" } else { fault }
    }

    async fn read_object(&mut self, proxy: usize, fault: &str) {
        let index = (OBJECTS as f64 * self.random.random::<f64>().powi(2)) as u64;
        let must_fail = self.workload.plan.has("fail") && self.random.random_bool(0.02);
        let object = match must_fail {
            true => format!("ee{:014x}", self.random.random_range(0..1u64 << 40)),
            false => object(index),
        };
        let path = format!("/v1/store/pages/{object}/0");
        let request = ClientRequest {
            proxy,
            path: &path,
            idempotency_key: None,
            is_retry: false,
            fault,
            correlation_id: self.random.random(),
        };
        self.send_with_retries(request, 1).await;
    }

    async fn save(&mut self, proxy: usize, fault: &str, idempotency_key: &str) {
        let path = format!("/v1/store/saves/{}/0", object(self.random.random_range(0..OBJECTS)));
        let request = ClientRequest {
            proxy,
            path: &path,
            idempotency_key: Some(idempotency_key),
            is_retry: false,
            fault: "",
            correlation_id: self.random.random(),
        };
        match fault {
            "ask-twice" => self.save_on_both_proxies(request).await,
            _ => self.send_with_retries(ClientRequest { fault, ..request }, SAVE_ATTEMPTS).await,
        }
    }

    /// Sends a save with the same idempotency key to both proxies at once.
    async fn save_on_both_proxies(&mut self, first: ClientRequest<'_>) {
        let mut other = Connections::new(self.workload);
        let second = ClientRequest { proxy: 1 - first.proxy, correlation_id: self.random.random(), ..first };
        tokio::join!(self.connections.send(first), other.send(second));
    }

    /// Sends a request and, as long as it fails or is rejected, retries it after the stated pause, up to
    /// `max_attempts` times in all. Where no faults are injected, overload rejections don't count as attempts:
    /// the client's patience limits them.
    async fn send_with_retries(&mut self, mut request: ClientRequest<'_>, max_attempts: u32) {
        let patience_end = Instant::now() + OVERLOAD_PATIENCE;
        let is_patient = self.workload.plan.faults.is_empty();
        let mut attempts = 0;
        while let Some(response) = self.connections.send(request).await {
            let is_retryable = matches!(response.status, 502 | 503);
            attempts += u32::from(!is_patient || !response.is_overload_rejection());
            if !is_retryable || attempts >= max_attempts || Instant::now() > patience_end {
                break;
            }
            tokio::time::sleep(response.pause().unwrap_or(DEFAULT_BACKOFF)).await;
            request = ClientRequest { is_retry: true, correlation_id: self.random.random(), ..request };
        }
    }
}

/// The connections of a client.
struct Connections<'a> {
    workload: &'a Workload,
    /// An idle connection to each proxy.
    idle: [Option<TcpStream>; 2],
}

impl<'a> Connections<'a> {
    fn new(workload: &'a Workload) -> Self {
        Self { workload, idle: [None, None] }
    }

    /// Sends a request and checks that exactly one answer arrives in time. Returns `None` if the client
    /// disconnects first or no answer arrives.
    async fn send(&mut self, request: ClientRequest<'_>) -> Option<ClientResponse> {
        let counts = &self.workload.counts;
        let correlation_id = format!("{:016x}", request.correlation_id);
        let address = self.workload.proxies[request.proxy].address;
        let mut stream = match self.idle[request.proxy].take() {
            Some(stream) => stream,
            None => TcpStream::connect(address).await.ok()?,
        };
        let _ = stream.set_nodelay(true);
        counts.lock().unwrap().figures.requests += 1;
        let started_at = Instant::now();
        // Bytes that arrive before the request is sent are a second answer to the previous request.
        let mut unread = Vec::new();
        if stream.try_read_buf(&mut unread).is_ok_and(|size| size > 0) {
            counts.lock().unwrap().figures.answered_twice += 1;
            unread.clear();
        }
        stream.write_all(request_head(&request, &correlation_id).as_bytes()).await.ok()?;
        if request.fault == "leave" {
            let wait_us = u64::from_str_radix(&correlation_id[..4], 16).unwrap_or(0) % 3000;
            tokio::time::sleep(Duration::from_micros(wait_us)).await;
            counts.lock().unwrap().disconnected_clients += 1;
            return None;
        }
        let response = tokio::time::timeout(CLIENT_TIMEOUT, read(&mut stream, &mut unread)).await;
        let mut counts = counts.lock().unwrap();
        let Ok(Ok(Some(response))) = response else {
            counts.figures.answered_none += 1;
            return None;
        };
        let is_own = response.fields.get("x-lab-ticket") == Some(&correlation_id);
        counts.figures.answered_twice += u64::from(!is_own || !unread.is_empty());
        counts.latency_us.saturating_record(started_at.elapsed().as_micros() as u64);
        let response =
            ClientResponse { status: response.target.parse().unwrap_or(0), fields: response.fields };
        counts.add(&response);
        drop(counts);
        self.idle[request.proxy] = Some(stream);
        Some(response)
    }
}

/// Formats the request line and headers, with the fault that the proxy is to inject.
fn request_head(request: &ClientRequest, correlation_id: &str) -> String {
    let mut head = format!(
        "GET {} HTTP/1.1\r\nx-ticket: {correlation_id}\r\nx-max-ms: 3000\r\nx-group: 17\r\n",
        request.path
    );
    if let Some(key) = request.idempotency_key {
        head.push_str(&format!("x-nonce: {key}\r\n"));
    }
    if request.is_retry {
        head.push_str("x-redo: 1\r\n");
    }
    // The client itself injects `leave` and `ask-twice`; the proxy injects all other faults.
    if !["", "leave", "ask-twice"].contains(&request.fault) {
        head.push_str(&format!("x-fault: {}\r\n", request.fault));
    }
    head.push_str("\r\n");
    head
}

impl Counts {
    fn add(&mut self, response: &ClientResponse) {
        let ClientResponse { status, fields } = response;
        match status {
            200 | 304 => self.figures.done += 1,
            503 => self.figures.rejected += 1,
            _ => self.figures.failed += 1,
        }
        if *status != 200 {
            let reason = fields.get("x-tindoor-reason").or(fields.get("x-lab-why")).cloned();
            let end = format!("{status} {}", reason.unwrap_or_default());
            *self.ends_by_reason.entry(end).or_default() += 1;
        }
    }
}
