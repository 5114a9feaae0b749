//! Several routers of one fleet as processes that divide the fleet's budgets, with faults between them. What
//! is counted is what stand-in endpoints saw by their own clock, over every window; nothing that a router
//! states is trusted.

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

/// Faults that only this experiment injects.
pub const FAULTS: &[&str] = &["join", "lower", "shift"];

/// Checks that the experiment can disable.
const CHECKS: &[&str] = &["lapse", "epoch", "returned", "burst", "wakes", "floor"];

const ENDPOINTS: usize = 4;

/// Clients of each router: together they demand more than a budget's total.
const CLIENTS_PER_ROUTER: usize = 6;

/// How far a spending and its arrival at an endpoint may lie apart, in seconds. What a busy machine adds to
/// it is measured: by how much a thread that sleeps oversleeps.
const ARRIVAL_TOLERANCE_S: f64 = 0.15;

/// How long the measuring thread sleeps at a time.
const SLEEP_SAMPLE: Duration = Duration::from_millis(5);

/// How long the fleet is left undisturbed at the end, while its use of the budget is counted.
const QUIET_PERIOD: Duration = Duration::from_millis(7000);

/// How long the proposed budgets may take to be in force everywhere.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(60);

/// The generation by which the budgets are in force.
const BUDGET_GENERATION: u64 = 2;

/// A part of a run in which no faults are injected.
#[derive(Clone, Copy)]
struct QuietPeriod {
    start: Instant,
    end: Instant,
    /// The fills per second in force.
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
    let rates = RateHistory::ask(&cluster, &changes);
    let evidence =
        Evidence { traffic, rates, tolerance_s, started_at, quiet_period, unsettled, time_to_healthy };
    let mut figures = audit::audit(&cluster, evidence);
    cluster.end(&mut figures);
    Ok(figures)
}

/// Lets many fills be in flight by the routing engine's own reckoning, as the budget is what is tested, and
/// puts all routers into the endpoints' location, so that they reach all of them.
fn configure(configuration: &mut Value) {
    configuration["settings"]["request_classes"][0]["objective"] = json!(2_000_000);
    configuration["settings"]["zone"] = json!(0);
}

/// Proposes the budgets and waits until all routers have them in force.
fn put_budgets_in_force(cluster: &Cluster) -> Result<()> {
    let limits = Limits::of(&cluster.plan);
    rates::propose(cluster, 0, 0, &limits.policy_changes()).context("budgets are proposed")?;
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

/// Measures, until the experiment is finished, by how many seconds a thread oversleeps at most.
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

/// Injects faults and changes the fill rate until the plan's time is over; returns the changes.
fn change_rates_under_faults(cluster: &Arc<Cluster>, started_at: Instant) -> Vec<rates::RateChange> {
    let faulty = Arc::clone(cluster);
    let faults = thread::spawn(move || FaultInjector::new(&faulty).run());
    let changes = RateChanger::new(cluster, started_at).run();
    cluster.faults_finished.store(true, Ordering::SeqCst);
    faults.join().expect("faults end");
    changes
}

/// Waits until grants of the time before have expired, and then for the quiet period. With a check disabled,
/// use of the budget does not matter, and the period is empty.
fn await_quiet_period(cluster: &Cluster) -> QuietPeriod {
    let plan = &cluster.plan;
    let length = if plan.without.is_some() { Duration::ZERO } else { QUIET_PERIOD };
    if plan.without.is_none() {
        thread::sleep(Duration::from_millis(2 * plan.lease));
    }
    let start = Instant::now();
    // What use is compared with is asked of the routers: no violation is excused by it.
    let answer = (0..plan.routers).find_map(|router| cluster.control(router, &json!("policy")));
    let in_force = answer.and_then(|answer| answer["policy"]["budget.origin_fills.per_s"].as_f64());
    let fills_per_second = in_force.unwrap_or(plan.fills[0]);
    thread::sleep(length);
    QuietPeriod { start, end: Instant::now(), fills_per_second }
}

/// The routers that take no requests, as their clock is off. It is asked of them: no violation is excused by
/// it.
fn inactive_routers(cluster: &Cluster) -> Vec<usize> {
    let is_inactive = |router: &usize| {
        let status = cluster.control(*router, &json!("status")).unwrap_or_default();
        !status["out"].is_null()
    };
    (0..cluster.plan.routers).filter(is_inactive).collect()
}
