//! Measurement of the cost of a routing decision, compared with a call that the same front rejects before it
//! reads any routing state, and of the memory that open streams use.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use h2::client::SendRequest;
use hdrhistogram::Histogram;
use prost::bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::net::TcpStream;

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::peer::{self, PROCESS};
use crate::stand_in::{Router, StartOptions, configuration};

const ENDPOINTS: usize = 6;
const STREAMS_PER_CONNECTION: u64 = 250;
const DATA_FRAME_BUDGET: usize = 1 << 20;
const LONGEST_LATENCY_US: u64 = 60_000_000;
const ATTEMPT_LIMIT: u64 = 8;
/// Processor times in `/proc/PID/stat` are in clock ticks, of which Linux reports 100 per second.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// The resources that a process has used so far.
pub(crate) struct ProcessUsage {
    /// User and system processor time, in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory, in kilobytes.
    pub(crate) resident_kb: u64,
}

/// Reads the resource usage of a process from `/proc`.
pub(crate) fn process_usage(pid: u32) -> Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line =
        status.lines().find(|line| line.starts_with("VmRSS")).context("no VmRSS line in /proc/PID/status")?;
    let resident_kb =
        line.split_whitespace().nth(1).context("no value in the VmRSS line of /proc/PID/status")?.parse()?;
    Ok(ProcessUsage { cpu_seconds: ticks / CLOCK_TICKS_PER_SECOND, resident_kb })
}

fn start_router(fleet: &Fleet) -> Router {
    let fronts = Some(json!({"external_processing": {"listen": "127.0.0.1:0"}}));
    let options = StartOptions { fronts, log_level: Some("info"), ..StartOptions::default() };
    let router =
        Router::start_with(&configuration(fleet.change_stream.address, fleet.endpoint_list()), &options);
    fleet.change_stream.wait_for_subscriptions(1);
    router
}

/// The calls of one kind that all streams make, and their results.
struct Load {
    seed: u64,
    requests: u64,
    /// Mean pause of a stream between two calls.
    pause: Duration,
    /// Whether the calls have headers that the front rejects.
    is_rejected: bool,
    next_request: AtomicU64,
    answered: AtomicU64,
    latency_us: Mutex<Histogram<u64>>,
}

/// Measures routing decisions, then rejected calls, on this many concurrent streams. After each call a stream
/// pauses and then calls again; without a pause the router is saturated.
pub fn run(seed: u64, requests: u64, streams: u64, pause: Duration) -> Result<Figures> {
    let fleet = Fleet::start(ENDPOINTS);
    let router = start_router(&fleet);
    let front = router.front("external_processing");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let mut figures = Figures::default();
    for (name, is_rejected) in [("choice", false), ("refused", true)] {
        let started_at = Instant::now();
        let before = process_usage(router.pid())?;
        let load = Arc::new(Load {
            seed,
            requests,
            pause,
            is_rejected,
            next_request: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            latency_us: Mutex::new(Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 3)?),
        });
        runtime.block_on(run_streams(&load, front, streams))?;
        let cpu_seconds = process_usage(router.pid())?.cpu_seconds - before.cpu_seconds;
        load.report(&mut figures, name, started_at.elapsed().as_secs_f64(), cpu_seconds);
    }
    figures.done = figures.requests - figures.answered_none;
    figures.judge(ATTEMPT_LIMIT, 0);
    Ok(figures)
}

/// Runs all streams until they have used up the load's requests.
async fn run_streams(load: &Arc<Load>, front: SocketAddr, streams: u64) -> Result<()> {
    let mut tasks = Vec::new();
    for group in 0..streams.div_ceil(STREAMS_PER_CONNECTION) {
        let socket = TcpStream::connect(front).await?;
        socket.set_nodelay(true)?;
        let mut builder = h2::client::Builder::new();
        let (sender, connection) = builder.data_frame_budget(DATA_FRAME_BUDGET).handshake(socket).await?;
        tokio::spawn(async move { connection.await.ok() });
        let first = group * STREAMS_PER_CONNECTION;
        for index in first..streams.min(first + STREAMS_PER_CONNECTION) {
            tasks.push(tokio::spawn(run_stream(Arc::clone(load), sender.clone(), index)));
        }
    }
    for task in tasks {
        task.await?;
    }
    Ok(())
}

/// Makes one call after another until the load's requests are used up.
async fn run_stream(load: Arc<Load>, sender: SendRequest<Bytes>, index: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(load.seed.wrapping_mul(7919).wrapping_add(index));
    while load.next_request.fetch_add(1, Ordering::Relaxed) < load.requests {
        let path = format!("/v1/store/pages/{:016x}/0", random.random_range(0..2000u64));
        // The front rejects a deadline that is not a number when it parses the headers.
        let deadline_ms = if load.is_rejected { "never" } else { "3000" };
        let more = [(":path", path.as_str()), ("x-max-ms", deadline_ms), ("x-group", "7")];
        let headers = peer::request_headers(random.random(), &more);
        let latency = peer::exchange_once(sender.clone(), PROCESS, headers).await;
        // `sleep` with a duration of zero would still wait for the timer.
        if !load.pause.is_zero() {
            tokio::time::sleep(load.pause.mul_f64(random.random_range(0.5..1.5))).await;
        }
        if let Some(latency) = latency {
            load.answered.fetch_add(1, Ordering::Relaxed);
            load.latency_us.lock().unwrap().saturating_record(latency.as_micros() as u64);
        }
    }
}

impl Load {
    /// Adds the measured values to the report, under keys that begin with `name`.
    fn report(&self, figures: &mut Figures, name: &str, seconds: f64, cpu_seconds: f64) {
        let answered = self.answered.load(Ordering::Relaxed);
        let latency_us = self.latency_us.lock().unwrap();
        let values = [
            ("us_median", json!(latency_us.value_at_quantile(0.5))),
            ("us_99", json!(latency_us.value_at_quantile(0.99))),
            ("a_second", json!((answered as f64 / seconds).round())),
            ("a_second_of_one_core", json!((answered as f64 / cpu_seconds).round())),
            ("cpu_us_each", json!(1e6 * cpu_seconds / answered as f64)),
        ];
        for (key, value) in values {
            figures.more.insert(format!("{name}_{key}"), value);
        }
        figures.requests += self.requests;
        figures.answered_none += self.requests - answered;
    }
}

/// Measures the router's resident memory while this many streams are open on each of `connections`
/// connections.
pub fn memory(streams: usize, connections: usize) -> Result<Figures> {
    let fleet = Fleet::start(ENDPOINTS);
    let router = start_router(&fleet);
    let front = router.front("external_processing");
    let kb_before = process_usage(router.pid())?.resident_kb;
    let held = peer::hold_connections(front, streams, connections, || {
        process_usage(router.pid()).map_or(0, |usage| usage.resident_kb)
    });
    let accepted = held.accepted as u64;
    let mut figures = Figures { requests: accepted, done: accepted, ..Figures::default() };
    let total = streams * connections;
    let more = [("kb_before", kb_before), ("kb_with_streams", held.measured), ("streams", total as u64)];
    figures.more.extend(more.map(|(name, value)| (name.to_string(), json!(value))));
    let bytes_per_stream = held.measured.saturating_sub(kb_before) as f64 * 1024.0 / total as f64;
    figures.more.insert("bytes_a_stream".into(), json!(bytes_per_stream.round()));
    Ok(figures)
}
