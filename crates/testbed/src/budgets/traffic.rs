//! The clients of the experiment and their observations. Most requests are for objects that no endpoint
//! holds.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::cluster::{CallResult, ClientConnection, Cluster};
use crate::figures::Figures;
use crate::stand_in::Reply;

/// The pause between requests after the planned number of requests has been sent.
const PAUSE_BEYOND_PLAN: Duration = Duration::from_millis(50);

/// The interval at which a pausing client checks whether to end the pause.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// If the limit of fills in flight is below this number, clients request objects whose fills take long, so
/// that the fills in flight at the origin match those that routers count.
const FEW_FILLS_IN_FLIGHT: f64 = 20.0;

/// A request that can only be served by a fill.
pub struct DemandedFill {
    /// The index of the router to which the request was sent.
    pub router: usize,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Whether the request was served.
    pub served: bool,
}

/// The observations of all clients.
#[derive(Default)]
pub struct Traffic {
    /// The counts that all experiments share.
    pub figures: Figures,
    /// The answered requests that can only be served by a fill.
    pub demanded_fills: Vec<DemandedFill>,
    /// Requests that were not sent, or whose router was killed or stopped before it answered.
    pub lost_with_router: u64,
}

impl Traffic {
    /// Counts a reply. Returns whether the request was served.
    fn count_reply(&mut self, is_own: bool, reply: &Reply) -> bool {
        self.figures.answered_twice += u64::from(!is_own);
        match reply {
            Reply::Served { .. } => self.figures.done += 1,
            Reply::Rejected(_) => self.figures.rejected += 1,
            _ => self.figures.failed += 1,
        }
        matches!(reply, Reply::Served { .. })
    }
}

/// A randomly drawn request.
struct Request {
    object: String,
    correlation_id: String,
    /// Whether the request can only be served by a fill.
    demands_fill: bool,
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
        while !self.is_finished() {
            let request = self.draw_request();
            let sent_at = Instant::now();
            let Some(result) = self.connection.call(&request.fields()) else { continue };
            if self.cluster.requests_sent.fetch_add(1, Ordering::Relaxed) >= self.cluster.plan.requests {
                thread::sleep(PAUSE_BEYOND_PLAN);
            }
            self.record(&request, sent_at, &result);
            self.pause();
        }
    }

    fn is_finished(&self) -> bool {
        self.cluster.finished.load(Ordering::SeqCst)
    }

    fn draw_request(&mut self) -> Request {
        let kind = self.random.random_range(0..20);
        let object = match kind {
            0 | 1 => format!("ee{:014x}", self.random.random::<u64>() >> 8),
            2..6 => format!("00000000000010{:02x}", self.random.random_range(0..16)),
            _ if self.cluster.plan.fills[2] < FEW_FILLS_IN_FLIGHT => {
                format!("f2{:014x}", self.random.random::<u64>() >> 8)
            }
            _ => format!("f1{:014x}", self.random.random::<u64>() >> 8),
        };
        // The first digit is the router's location.
        let correlation_id = format!("{}{:015x}", self.router % 2, self.random.random::<u64>() >> 4);
        Request { object, correlation_id, demands_fill: kind >= 6 }
    }

    fn record(&self, request: &Request, sent_at: Instant, result: &CallResult) {
        let mut traffic = self.traffic.lock().unwrap();
        traffic.figures.requests += 1;
        match result {
            CallResult::LostWithRouter => traffic.lost_with_router += 1,
            CallResult::NoAnswer => traffic.figures.answered_none += 1,
            CallResult::Answered { is_own, reply, .. } => {
                let served = traffic.count_reply(*is_own, reply);
                if request.demands_fill {
                    traffic.demanded_fills.push(DemandedFill { router: self.router, sent_at, served });
                }
            }
        }
    }

    /// Pauses until the next request is due. If the fault `shift` is injected, demand is low for some routers
    /// at a time, for a shorter time than routers remember demand. A long pause of low demand ends when
    /// demand becomes high.
    fn pause(&mut self) {
        let cluster = self.cluster;
        let shifts = cluster.has_fault("shift") && !cluster.faults_finished.load(Ordering::SeqCst);
        let is_low = shifts && !cluster.has_high_demand(self.router);
        let longest_ms = if is_low { 4000 } else { 12 };
        let length = Duration::from_millis(self.random.random_range(longest_ms / 4..longest_ms));
        let due = Instant::now() + length;
        while Instant::now() < due && !self.is_finished() && !(is_low && cluster.has_high_demand(self.router))
        {
            thread::sleep((due - Instant::now()).min(PAUSE_POLL_INTERVAL));
        }
    }
}
