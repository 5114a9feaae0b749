//! Experiment in which proxies call the router for each request while faults are injected. The report counts
//! what caches and clients observed.

mod client;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::runtime::Handle;

use crate::cluster::free_address;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::proxy::Proxy;
use crate::stand_in::{Router, StartOptions, configuration};

/// Faults of single requests, which a proxy or client injects.
pub const REQUEST_FAULTS: [&str; 10] =
    ["before", "after", "silent", "late", "twice", "wrong", "reset", "leave", "ask-twice", "window"];

/// Faults of the fleet, of the router and of the connections to the router.
pub const FLEET_FAULTS: [&str; 6] = ["drain", "die", "purge", "connection", "restart", "fail"];

const ENDPOINTS: usize = 6;
const OBJECTS: u64 = 40;
const ATTEMPT_LIMIT: u64 = 8;
const LONGEST_LATENCY_US: u64 = 60_000_000;

/// The settings of the experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Maximum number of requests that are sent.
    pub requests: u64,
    /// Maximum time during which requests are sent, in seconds.
    pub seconds: u64,
    /// Names of the injected faults.
    pub faults: Vec<String>,
    /// The check of the router that is disabled, if any.
    pub without: Option<String>,
    /// Number of concurrent clients.
    pub clients: u64,
}

impl Plan {
    /// Parses the names of faults, separated by commas; `all` stands for every fault.
    pub fn faults(list: &str) -> Result<Vec<String>> {
        let all = REQUEST_FAULTS.iter().chain(&FLEET_FAULTS);
        let mut faults = Vec::new();
        for name in list.split(',').filter(|name| !name.is_empty()) {
            match name {
                "all" => faults.extend(all.clone().map(ToString::to_string)),
                name if all.clone().any(|known| *known == name) => faults.push(name.to_string()),
                name => bail!(
                    "unknown fault {name}; expected all or one of {}",
                    [&REQUEST_FAULTS[..], &FLEET_FAULTS].concat().join(", ")
                ),
            }
        }
        Ok(faults)
    }

    fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|known| known == fault)
    }
}

/// What the clients counted.
struct Counts {
    figures: Figures,
    /// Number of requests that did not get status 200, by status and reason.
    ends_by_reason: BTreeMap<String, u64>,
    /// Number of requests whose client disconnected before the answer.
    disconnected_clients: u64,
    latency_us: Histogram<u64>,
}

/// The state that all clients share.
struct Workload {
    plan: Plan,
    proxies: Vec<Arc<Proxy>>,
    counts: Mutex<Counts>,
    next_request: AtomicU64,
    /// No request is sent after this time.
    end: Instant,
}

/// Runs the experiment and returns its report.
pub fn run(plan: &Plan) -> Result<Figures> {
    if let Some(check) = &plan.without {
        crate::cluster::ensure_check_is_known(check, &["marks", "tickets", "withdraw", "leases"])?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let mut experiment = Experiment::start(plan, runtime.handle().clone())?;
    let workload = Arc::new(Workload {
        plan: plan.clone(),
        proxies: experiment.proxies.to_vec(),
        counts: Mutex::new(Counts {
            figures: Figures::default(),
            ends_by_reason: BTreeMap::new(),
            disconnected_clients: 0,
            latency_us: latency_histogram()?,
        }),
        next_request: AtomicU64::new(0),
        end: Instant::now() + Duration::from_secs(plan.seconds),
    });
    let clients: Vec<_> =
        (0..plan.clients).map(|index| runtime.spawn(client::run(Arc::clone(&workload), index))).collect();
    experiment.inject_faults(|| clients.iter().all(tokio::task::JoinHandle::is_finished));
    // Waits until every decision lease has ended.
    let has_unreported_outcomes = plan.has("silent") || plan.has("late");
    pause_ms(if has_unreported_outcomes { 500 } else { 100 });
    experiment.report(&workload)
}

fn latency_histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 3)?)
}

fn pause_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// The router under test, with its stand-in fleet and proxies.
struct Experiment<'a> {
    plan: &'a Plan,
    runtime: Handle,
    fleet: Fleet,
    router: Option<Router>,
    options: StartOptions,
    front: SocketAddr,
    proxies: [Arc<Proxy>; 2],
    /// Indexes of the caches that have not been replaced.
    active: Vec<usize>,
    /// Number of restarts of the router.
    restarts: u64,
}

impl<'a> Experiment<'a> {
    fn start(plan: &'a Plan, runtime: Handle) -> Result<Self> {
        let fleet = Fleet::start(ENDPOINTS);
        let (front, call) = (free_address(), free_address());
        let options = StartOptions {
            fronts: Some(json!({"external_processing": {"listen": front}, "call": {"listen": call}})),
            disabled_check: plan.without.clone(),
            log_level: Some("info"),
            ..StartOptions::default()
        };
        let router = Some(Router::start_with(&router_configuration(&fleet), &options));
        fleet.change_stream.wait_for_subscriptions(1);
        let proxies =
            runtime.block_on(async { [Proxy::start(front, call).await, Proxy::start(front, call).await] });
        let active = (0..ENDPOINTS).collect();
        Ok(Self { plan, runtime, fleet, router, options, front, proxies, active, restarts: 0 })
    }

    /// Injects the faults of the fleet and the router, one after another, until all clients have finished.
    fn inject_faults(&mut self, is_finished: impl Fn() -> bool) {
        let plan = self.plan;
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed ^ 0xfaa1);
        for round in 0u64.. {
            if is_finished() {
                break;
            }
            pause_ms(150);
            let target = random.random_range(0..self.active.len());
            if plan.has("purge") {
                self.fleet.purge(&object(random.random_range(0..OBJECTS)));
            }
            if plan.has("drain") && round % 4 == 1 {
                self.fleet.drain(self.active[target]);
                pause_ms(700);
                self.active[target] = self.fleet.replace(self.active[target]);
            }
            if plan.has("die") && round % 4 == 2 {
                self.fleet.set_dead(self.active[target], true);
                pause_ms(300);
                self.fleet.set_dead(self.active[target], false);
            }
            if plan.has("connection") && round % 3 == 1 {
                let _entered = self.runtime.enter();
                self.proxies[round as usize % 2].reconnect(self.front);
            }
            if plan.has("restart") && round % 12 == 7 {
                self.restart_router();
            }
        }
    }

    fn restart_router(&mut self) {
        if let Some(mut old) = self.router.take() {
            old.terminate();
            old.wait();
        }
        let subscriptions =
            self.fleet.change_stream.subscriptions.change(|subscriptions| subscriptions.len());
        self.router = Some(Router::start_with(&router_configuration(&self.fleet), &self.options));
        self.fleet.change_stream.wait_for_subscriptions(subscriptions + 1);
        self.restarts += 1;
    }

    /// Adds up the counts of the clients and proxies and the audit of the caches, and stops the router.
    fn report(self, workload: &Workload) -> Result<Figures> {
        let mut counts = workload.counts.lock().unwrap();
        let mut figures = std::mem::take(&mut counts.figures);
        self.fleet.audit(&mut figures);
        let mut streams_left = 0;
        let mut decisions = latency_histogram()?;
        let mut statuses = BTreeMap::<String, u64>::new();
        for proxy in &self.proxies {
            streams_left += *proxy.streams_left.lock().unwrap();
            for micros in proxy.decision_latencies_us.lock().unwrap().iter() {
                decisions.saturating_record(*micros);
            }
            for (code, count) in proxy.statuses.lock().unwrap().iter() {
                *statuses.entry(code.clone()).or_default() += count;
            }
        }
        let quantile = |histogram: &Histogram<u64>, part| json!(histogram.value_at_quantile(part));
        let more: [(&str, Value); 11] = [
            ("choices", json!(decisions.len())),
            ("choice_us_median", quantile(&decisions, 0.5)),
            ("choice_us_99", quantile(&decisions, 0.99)),
            ("view_us_median", quantile(&counts.latency_us, 0.5)),
            ("view_us_99", quantile(&counts.latency_us, 0.99)),
            ("view_us_max", json!(counts.latency_us.max())),
            ("clients_left", json!(counts.disconnected_clients)),
            ("streams_left", json!(streams_left)),
            ("ends_by_reason", json!(counts.ends_by_reason)),
            ("statuses", json!(statuses)),
            ("restarts", json!(self.restarts)),
        ];
        figures.more.extend(more.map(|(name, value)| (name.to_string(), value)));
        figures.judge(ATTEMPT_LIMIT, streams_left);
        if let Some(mut router) = self.router {
            router.terminate();
            router.wait();
            let is_stop_line = |line: &&String| line.contains("stopped");
            let last_line = router.log.change(|log| log.iter().rev().find(is_stop_line).cloned());
            figures.more.insert("router".into(), json!(last_line.unwrap_or_default()));
        }
        Ok(figures)
    }
}

/// Returns the router's configuration, with all events of the fleet so far.
fn router_configuration(fleet: &Fleet) -> Value {
    let mut configuration = configuration(fleet.change_stream.address, fleet.endpoint_list());
    configuration["known"] = fleet.known_events();
    configuration
}

/// Returns the id of the object with this index.
fn object(index: u64) -> String {
    format!("{:016x}", 0x1000 + index)
}
