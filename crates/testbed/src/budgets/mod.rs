//! The budget experiment: runs several routers of one fleet as processes that share the fleet's budgets,
//! while faults are injected. The audit counts what stand-in endpoints observed by their own clock, over
//! every time window, and does not excuse a violation by what routers report about themselves.

mod audit;
mod grants;
mod limits;
mod rates;
mod token_bucket;
mod traffic;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::{Value, json};

pub use crate::cluster::Plan;
use crate::cluster::{Cluster, FaultInjector, wait_until};
use crate::figures::Figures;
use crate::fleet::Fleet;
use audit::Evidence;
use limits::Limits;
use rates::{RateChanger, RateHistory};
use traffic::{Client, Traffic};

/// Names of the faults that only this experiment injects.
pub const FAULTS: &[&str] = &["join", "lower", "shift"];

/// Names of the safety checks that this experiment can disable.
const CHECKS: &[&str] = &["lapse", "epoch", "returned", "burst", "wakes", "floor"];

/// The number of stand-in endpoints.
const ENDPOINTS: usize = 4;

/// The number of clients of each router. All clients together demand more than the total of each budget.
const CLIENTS_PER_ROUTER: usize = 6;

/// The maximum time from a router spending from a budget until the endpoint observes it, on an idle machine,
/// in seconds. The delay that a busy machine adds is measured during the run, by how much a sleeping thread
/// oversleeps.
const ARRIVAL_TOLERANCE_S: f64 = 0.15;

/// The duration of each sleep of the thread that measures oversleeping.
const SLEEP_SAMPLE: Duration = Duration::from_millis(5);

/// How long the fleet is left undisturbed at the end, while its use of the fill budget is measured.
const QUIET_PERIOD: Duration = Duration::from_millis(7000);

/// The time within which the proposed budgets must be in force at all routers.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(60);

/// The generation of the policy that sets the budgets.
const BUDGET_GENERATION: u64 = 2;

/// A period of a run in which no faults are injected.
#[derive(Clone, Copy)]
struct QuietPeriod {
    start: Instant,
    end: Instant,
    /// The fill rate in force, in fills per second.
    fills_per_second: f64,
}

/// Runs the experiment.
pub fn run(plan: &Plan) -> Result<Figures> {
    let mut fleet = Fleet::start(ENDPOINTS);
    fleet.record_shared_use();
    let (cluster, time_to_healthy) = Cluster::start(plan, FAULTS, CHECKS, fleet, configure)?;
    put_budgets_in_force(&cluster)?;
    if cluster.has_fault("join") {
        cluster.kill(plan.routers - 1);
    }
    cluster.relay.record();
    let started_at = Instant::now();
    let traffic = Arc::new(Mutex::new(Traffic::default()));
    let clients = start_clients(&cluster, &traffic);
    let oversleep = measure_oversleep(&cluster);
    let changes = change_rates_under_faults(&cluster, started_at);
    let unsettled = cluster.settle();
    let quiet_period = await_quiet_period(&cluster);
    let inactive = inactive_routers(&cluster);
    cluster.finished.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let tolerance_s = ARRIVAL_TOLERANCE_S + oversleep.join().unwrap_or_default();
    let mut traffic = std::mem::take(&mut *traffic.lock().unwrap());
    traffic.demanded_fills.retain(|fill| !inactive.contains(&fill.router));
    let rates = RateHistory::fetch(&cluster, &changes);
    let evidence =
        Evidence { traffic, rates, tolerance_s, started_at, quiet_period, unsettled, time_to_healthy };
    let mut figures = audit::audit(&cluster, evidence);
    cluster.end(&mut figures);
    Ok(figures)
}

/// Configures a router so that the routing engine itself allows many fills in flight, because the experiment
/// tests the budget. Also puts all routers into the location of the endpoints, so that they reach all
/// endpoints.
fn configure(configuration: &mut Value) {
    configuration["settings"]["request_classes"][0]["objective"] = json!(2_000_000);
    configuration["settings"]["zone"] = json!(0);
}

/// Proposes the budgets and waits until they are in force at all routers.
fn put_budgets_in_force(cluster: &Cluster) -> Result<()> {
    let limits = Limits::of(&cluster.plan);
    rates::propose(cluster, 0, 0, &limits.policy_changes())
        .context("router n0 did not accept the proposal of the budgets")?;
    let is_in_force = |router: usize| {
        let status = cluster.control(router, &json!("status")).unwrap_or_default();
        let has_generation = status["generation"] == json!(BUDGET_GENERATION);
        has_generation && status["on_probation"].is_null() && status["out"].is_null()
    };
    wait_until(ACTIVATION_LIMIT, "budgets in force", || (0..cluster.plan.routers).all(is_in_force))
}

fn start_clients(cluster: &Arc<Cluster>, traffic: &Arc<Mutex<Traffic>>) -> Vec<JoinHandle<()>> {
    let start = |index| {
        let (cluster, traffic) = (Arc::clone(cluster), Arc::clone(traffic));
        thread::spawn(move || Client::new(&cluster, &traffic, index).run())
    };
    (0..cluster.plan.routers * CLIENTS_PER_ROUTER).map(start).collect()
}

/// Measures the longest time by which a thread oversleeps until the experiment is finished, in seconds.
fn measure_oversleep(cluster: &Arc<Cluster>) -> JoinHandle<f64> {
    let cluster = Arc::clone(cluster);
    thread::spawn(move || {
        let mut longest = 0f64;
        while !cluster.finished.load(Ordering::SeqCst) {
            let asleep_since = Instant::now();
            thread::sleep(SLEEP_SAMPLE);
            longest = longest.max(asleep_since.elapsed().as_secs_f64() - SLEEP_SAMPLE.as_secs_f64());
        }
        longest
    })
}

/// Injects faults and changes the fill rate until the plan's time is over. Returns the changes.
fn change_rates_under_faults(cluster: &Arc<Cluster>, started_at: Instant) -> Vec<rates::RateChange> {
    let injected_cluster = Arc::clone(cluster);
    let faults = thread::spawn(move || FaultInjector::new(&injected_cluster).run());
    let changes = RateChanger::new(cluster, started_at).run();
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("the fault injector does not panic");
    changes
}

/// Waits until grants from the time of faults have expired, and then for the quiet period. If a check is
/// disabled, the use of the budget does not matter, and the quiet period is empty.
fn await_quiet_period(cluster: &Cluster) -> QuietPeriod {
    let plan = &cluster.plan;
    let length = if plan.without.is_some() { Duration::ZERO } else { QUIET_PERIOD };
    if plan.without.is_none() {
        thread::sleep(Duration::from_millis(2 * plan.lease));
    }
    let start = Instant::now();
    // The rate in force is queried from the routers. It is compared only with the use of the budget, so it
    // cannot excuse a violation.
    let answer = (0..plan.routers).find_map(|router| cluster.control(router, &json!("policy")));
    let in_force = answer.and_then(|answer| answer["policy"]["budget.origin_fills.per_s"].as_f64());
    let fills_per_second = in_force.unwrap_or(plan.fills[0]);
    thread::sleep(length);
    QuietPeriod { start, end: Instant::now(), fills_per_second }
}

/// Returns the routers that accept no requests because their clock is off. The routers are queried for this,
/// which cannot excuse a violation.
fn inactive_routers(cluster: &Cluster) -> Vec<usize> {
    let is_inactive = |router: &usize| {
        let status = cluster.control(*router, &json!("status")).unwrap_or_default();
        !status["out"].is_null()
    };
    (0..cluster.plan.routers).filter(is_inactive).collect()
}
