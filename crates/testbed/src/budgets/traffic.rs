//! The clients of the experiment, and what they observe. Most requests are for objects that no endpoint
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

/// Pause between requests beyond the plan's.
const PAUSE_BEYOND_PLAN: Duration = Duration::from_millis(50);

/// How often a pausing client looks whether it is to go on.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// With fewer fills at once than this each one lasts long, so that the origin has in flight what routers
/// count as in flight.
const FEW_FILLS_IN_FLIGHT: f64 = 20.0;

/// A request that only a fill can serve.
pub struct DemandedFill {
    /// The index of the router it was sent to.
    pub router: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it was served.
    pub served: bool,
}

/// What all clients observed.
#[derive(Default)]
pub struct Traffic {
    /// The counts that all experiments share.
    pub figures: Figures,
    /// Requests that only fills can serve.
    pub demanded_fills: Vec<DemandedFill>,
    /// Requests that were lost with their router.
    pub lost_with_router: u64,
}

impl Traffic {
    /// Counts a reply; returns whether the request was served.
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

/// A request that is drawn.
struct Request {
    object: String,
    correlation_id: String,
    /// Whether only a fill can serve it.
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
    /// The client with this index; clients take the routers in turn.
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

    /// Pauses until the next request is due. Where demand shifts, it is low for some routers, for a shorter
    /// time than routers remember demand; a pause of low demand ends with the period.
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
