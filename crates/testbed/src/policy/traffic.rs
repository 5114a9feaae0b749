//! The clients of the experiment and their observations.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::version::RETRY_AFTER_WITHOUT_LEASE_MS;
use crate::cluster::{CallResult, ClientConnection, Cluster};
use crate::figures::Figures;
use crate::stand_in::Reply;

/// The pause between requests after the planned number of requests has been sent. Occasional requests still
/// show which version is in force.
const PAUSE_BEYOND_PLAN: Duration = Duration::from_millis(50);

/// A client's observation of one request.
pub struct ObservedRequest {
    /// The index of the router to which the request was sent.
    pub router: usize,
    /// The correlation id, which endpoints receive as well.
    pub correlation_id: String,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the request was answered.
    pub answered_at: Instant,
    /// The Retry-After, in milliseconds. `None` unless the request was rejected with a Retry-After.
    pub retry_after_ms: Option<u64>,
    /// When the router last reported itself healthy after the client had connected.
    pub healthy_since: Option<Instant>,
}

/// The observations of all clients.
#[derive(Default)]
pub struct Traffic {
    /// The counts that all experiments share.
    pub figures: Figures,
    /// Requests that were answered.
    pub observed: Vec<ObservedRequest>,
    /// Rejections by routers without a lease.
    pub rejected_without_lease: u64,
    /// Requests that were not sent, or whose router was killed or stopped before it answered.
    pub lost_with_router: u64,
    /// Latencies of the requests that endpoints do not fail on purpose, in microseconds.
    pub latencies_us: Vec<u64>,
}

impl Traffic {
    /// Counts a reply. Returns its Retry-After, in milliseconds, if the reply is a rejection that states one.
    fn count_reply(&mut self, reply: Reply) -> Option<u64> {
        match reply {
            Reply::Served { .. } => self.figures.done += 1,
            Reply::Rejected(fields) => {
                self.figures.rejected += 1;
                let retry_after = fields.get("pause").and_then(|pause| pause.parse().ok());
                self.rejected_without_lease += u64::from(retry_after == Some(RETRY_AFTER_WITHOUT_LEASE_MS));
                return retry_after;
            }
            _ => self.figures.failed += 1,
        }
        None
    }
}

/// A randomly drawn request.
struct Request {
    object: String,
    correlation_id: String,
    /// Whether endpoints fail the request on purpose.
    fails: bool,
}

impl Request {
    fn fields(&self) -> [(&str, &str); 6] {
        [
            ("route", "pages"),
            ("trace", &self.correlation_id),
            ("patience", "2500"),
            ("entity", &self.object),
            ("chunk", "0"),
            ("tag", "17"),
        ]
    }
}

/// A client of one router.
pub struct Client<'a> {
    cluster: &'a Cluster,
    traffic: &'a Mutex<Traffic>,
    router: usize,
    random: Pcg64Mcg,
    connection: ClientConnection<'a>,
}

impl<'a> Client<'a> {
    /// Creates the client with this index. Clients are assigned to the routers in turn.
    pub fn new(cluster: &'a Cluster, traffic: &'a Mutex<Traffic>, index: usize) -> Self {
        let router = index % cluster.nodes.len();
        let seed = cluster.plan.seed.wrapping_mul(0x9E37_79B9).wrapping_add(index as u64);
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { cluster, traffic, router, random, connection: ClientConnection::new(cluster, router) }
    }

    /// Sends requests until the experiment is finished.
    pub fn run(mut self) {
        while !self.cluster.finished.load(Ordering::SeqCst) {
            let request = self.draw_request();
            let Some(result) = self.connection.call(&request.fields()) else { continue };
            let answered_at = Instant::now();
            if self.cluster.requests_sent.fetch_add(1, Ordering::Relaxed) >= self.cluster.plan.requests {
                thread::sleep(PAUSE_BEYOND_PLAN);
            }
            if self.record(request, result, answered_at) {
                thread::sleep(Duration::from_millis(self.random.random_range(4..20)));
            }
        }
    }

    fn draw_request(&mut self) -> Request {
        let kind = self.random.random_range(0..20);
        let prefix = match kind {
            0 => "ee000000000000",
            1 => "dd000000000000",
            _ => "00000000000010",
        };
        let object = format!("{prefix}{:02x}", self.random.random_range(0..64));
        // The first digit is the router's location.
        let correlation_id = format!("{}{:015x}", self.router % 2, self.random.random::<u64>() >> 4);
        Request { object, correlation_id, fails: kind <= 1 }
    }

    /// Records the result of a request. Returns whether the request was answered.
    fn record(&self, request: Request, result: CallResult, answered_at: Instant) -> bool {
        let mut traffic = self.traffic.lock().unwrap();
        traffic.figures.requests += 1;
        let (sent_at, is_own, reply) = match result {
            CallResult::Answered { sent_at, is_own, reply } => (sent_at, is_own, reply),
            CallResult::LostWithRouter => {
                traffic.lost_with_router += 1;
                return false;
            }
            CallResult::NoAnswer => {
                traffic.figures.answered_none += 1;
                return false;
            }
        };
        traffic.figures.answered_twice += u64::from(!is_own);
        let retry_after_ms = traffic.count_reply(reply);
        if !request.fails {
            traffic.latencies_us.push((answered_at - sent_at).as_micros() as u64);
        }
        traffic.observed.push(ObservedRequest {
            router: self.router,
            correlation_id: request.correlation_id,
            sent_at,
            answered_at,
            retry_after_ms,
            healthy_since: self.connection.healthy_since,
        });
        true
    }
}
