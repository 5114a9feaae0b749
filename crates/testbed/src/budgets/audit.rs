//! Audits the budget experiment, from what endpoints and clients saw and from the grants that passed between
//! routers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::QuietPeriod;
use super::grants::GrantAudit;
use super::limits::Limits;
use super::rates::RateHistory;
use super::token_bucket::RateAudit;
use super::traffic::{DemandedFill, Traffic};
use crate::cluster::Cluster;
use crate::figures::Figures;
use crate::fleet::SharedUse;

/// Attempts of one request, at most.
const ATTEMPT_LIMIT: u64 = 8;

/// The number of budgets that are audited.
const BUDGETS: usize = 5;

/// In a quiet period of this length, a router with much demand is granted something.
const STARVATION_PERIOD_S: u64 = 2;

/// As many fills demanded in such a period are much demand.
const MUCH_DEMAND: u64 = 10;

/// After most routers were killed: the others use the budget again once fills in a window of this length are
/// so much of what the rate allows.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);
const RECOVERED_PART: f64 = 0.85;

/// How far apart the windows start, and how many there are.
const RECOVERY_STEP: Duration = Duration::from_millis(100);
const RECOVERY_STEPS: u32 = 100;

/// What a run left for its audit.
pub struct Evidence {
    /// What clients observed.
    pub traffic: Traffic,
    /// The activated rates of fills.
    pub rates: RateHistory,
    /// How far a spending and its arrival at an endpoint may lie apart, in seconds.
    pub tolerance_s: f64,
    /// When clients started.
    pub started_at: Instant,
    /// When no more faults were injected.
    pub quiet_period: QuietPeriod,
    /// Waits for the fleet to settle that failed.
    pub unsettled: u64,
    /// How long it took from the bootstrap until all routers were healthy.
    pub time_to_healthy: Duration,
}

/// What an audit found of each budget.
struct Findings {
    fills: RateAudit,
    retries: RateAudit,
    requests: RateAudit,
    connections: RateAudit,
    peak_fills_in_flight: i64,
    fills_in_flight_over: u64,
    grant_violations: u64,
    peak_granted_part: f64,
}

/// Audits a run.
pub fn audit(cluster: &Cluster, mut evidence: Evidence) -> Figures {
    let shared = cluster.fleet.lock().unwrap().shared_use();
    let mut figures = std::mem::take(&mut evidence.traffic.figures);
    cluster.fleet.lock().unwrap().audit(&mut figures);
    let findings = Findings::of(cluster, &shared, &evidence);
    let mut report = findings.report();
    report.extend(report_run(cluster, &evidence));
    report.extend(report_use(cluster, &shared, &evidence));
    figures.more.extend(report.into_iter().map(|(name, value)| (name.to_string(), value)));
    figures.judge(ATTEMPT_LIMIT, findings.violations() + evidence.unsettled);
    figures
}

impl Findings {
    fn of(cluster: &Cluster, shared: &SharedUse, evidence: &Evidence) -> Self {
        let limits = Limits::of(&cluster.plan);
        let Evidence { rates, tolerance_s, started_at, .. } = evidence;
        let tolerance_s = *tolerance_s;
        let since_start = |times: &[Instant]| -> Vec<Instant> {
            times.iter().copied().filter(|at| at >= started_at).collect()
        };
        let fill_starts = since_start(&fill_starts(shared));
        let rate_at = |at| rates.at(at);
        let of_endpoints = shared.connections.values();
        let connections = of_endpoints
            .map(|times| RateAudit::of(&since_start(times), limits.connections, tolerance_s))
            .fold(RateAudit::default(), RateAudit::plus);
        let peak_fills_in_flight = peak_fills_in_flight(shared);
        let fills_in_flight_over = (peak_fills_in_flight - limits.fills_in_flight as i64).max(0) as u64;
        let messages = cluster.relay.recorded();
        let grants = GrantAudit::of(&messages, &limits, rates);
        Self {
            fills: RateAudit::of_changing_rate(&fill_starts, limits.fills.burst, tolerance_s, rate_at),
            retries: RateAudit::of(&since_start(&shared.retries), limits.retries, tolerance_s),
            requests: RateAudit::of(&since_start(&shared.requests), limits.requests, tolerance_s),
            connections,
            peak_fills_in_flight,
            fills_in_flight_over,
            grant_violations: grants.violations,
            peak_granted_part: grants.peak_part,
        }
    }

    /// All spending and grants beyond a limit.
    fn violations(&self) -> u64 {
        let of_rates = [self.fills, self.retries, self.requests, self.connections];
        let of_rates: u64 = of_rates.iter().map(|audit| audit.violations).sum();
        of_rates + self.fills_in_flight_over + self.grant_violations
    }

    fn report(&self) -> Vec<(&'static str, Value)> {
        let other_peaks = [self.retries.peak_part, self.requests.peak_part, self.connections.peak_part];
        vec![
            ("budgets", json!(BUDGETS)),
            ("windows_over", json!(self.violations())),
            ("fills_over", json!(self.fills.violations)),
            ("granted_over", json!(self.grant_violations)),
            ("most_granted", json!(self.peak_granted_part)),
            ("in_hand_over", json!(self.fills_in_flight_over)),
            ("further_over", json!(self.retries.violations)),
            ("requests_over", json!(self.requests.violations)),
            ("connections_over", json!(self.connections.violations)),
            ("most_of_whole", json!(self.fills.peak_part)),
            ("most_of_others", json!(other_peaks)),
            ("most_in_hand", json!(self.peak_fills_in_flight)),
        ]
    }
}

/// Figures of the run itself, by their keys.
fn report_run(cluster: &Cluster, evidence: &Evidence) -> Vec<(&'static str, Value)> {
    let (messages, bytes) = cluster.relay.carried();
    vec![
        ("routers", json!(cluster.plan.routers)),
        ("slack_s", json!(evidence.tolerance_s)),
        ("lowered", json!(evidence.rates.changes())),
        ("stuck", json!(evidence.unsettled)),
        ("lost_with_router", json!(evidence.traffic.lost_with_router)),
        ("ready_ms", json!(evidence.time_to_healthy.as_millis() as u64)),
        ("relay_messages", json!(messages)),
        ("relay_bytes", json!(bytes)),
    ]
}

/// Figures of how well the budgets were used, by their keys.
fn report_use(cluster: &Cluster, shared: &SharedUse, evidence: &Evidence) -> Vec<(&'static str, Value)> {
    let fill_starts = fill_starts(shared);
    let starved = starved_periods(&evidence.traffic.demanded_fills, evidence.quiet_period);
    let recoveries = recoveries_ms(cluster, &fill_starts, evidence);
    let percentile = |part: f64| recoveries.get((part * recoveries.len() as f64) as usize).copied();
    vec![
        ("used_of_whole", json!(used_part(&fill_starts, evidence.quiet_period))),
        ("starved", json!(starved)),
        ("regrant_ms_p50", json!(percentile(0.5))),
        ("regrant_ms_p99", json!(percentile(0.99))),
        ("filled", json!(fill_starts.len())),
        ("further", json!(shared.retries.len())),
    ]
}

fn fill_starts(shared: &SharedUse) -> Vec<Instant> {
    shared.fills.iter().map(|fill| fill.began).collect()
}

/// The most fills that had begun and had not ended.
fn peak_fills_in_flight(shared: &SharedUse) -> i64 {
    let edges_of_fills = shared.fills.iter().flat_map(|fill| [(fill.began, 1), (fill.ended, -1)]);
    let mut edges: Vec<(Instant, i64)> = edges_of_fills.collect();
    edges.sort_unstable();
    let (mut in_flight, mut peak) = (0, 0);
    for (_, change) in edges {
        in_flight += change;
        peak = peak.max(in_flight);
    }
    peak
}

/// How much of what the rate allows was filled in the quiet period.
fn used_part(fill_starts: &[Instant], quiet_period: QuietPeriod) -> f64 {
    let QuietPeriod { start, end, fills_per_second } = quiet_period;
    let used = fill_starts.iter().filter(|at| (start..end).contains(*at)).count() as f64;
    let allowed = fills_per_second * (end - start).as_secs_f64();
    used / allowed.max(1.0)
}

/// The fills that clients of one router demanded in a part of the quiet period.
#[derive(Default)]
struct PeriodDemand {
    demanded: u64,
    served: u64,
}

/// Counts the parts of the quiet period in which a router with much demand was granted nothing.
fn starved_periods(demanded_fills: &[DemandedFill], quiet_period: QuietPeriod) -> usize {
    let mut periods: HashMap<(usize, u64), PeriodDemand> = HashMap::new();
    for fill in demanded_fills.iter().filter(|fill| fill.sent_at >= quiet_period.start) {
        let number = (fill.sent_at - quiet_period.start).as_secs() / STARVATION_PERIOD_S;
        let period = periods.entry((fill.router, number)).or_default();
        period.demanded += 1;
        period.served += u64::from(fill.served);
    }
    let is_starved = |period: &&PeriodDemand| period.demanded >= MUCH_DEMAND && period.served == 0;
    periods.values().filter(is_starved).count()
}

/// Each time that most routers were killed: how long it took until the others used the budget again. Sorted.
fn recoveries_ms(cluster: &Cluster, fill_starts: &[Instant], evidence: &Evidence) -> Vec<u64> {
    let is_used = |start: Instant| {
        let end = start + RECOVERY_WINDOW;
        let filled = fill_starts.iter().filter(|at| (start..end).contains(*at)).count() as f64;
        let allowed = RECOVERY_WINDOW.as_secs_f64() * evidence.rates.at(start);
        end < evidence.quiet_period.end && filled >= RECOVERED_PART * allowed
    };
    let recovery = |killed_at: Instant| {
        let mut steps = (1..RECOVERY_STEPS).map(|step| RECOVERY_STEP * step);
        let recovery = steps.find(|elapsed| is_used(killed_at + *elapsed))?;
        Some(recovery.as_millis() as u64)
    };
    let injected = cluster.injected.lock().unwrap().clone();
    let kills = injected.iter().filter(|(_, fault)| *fault == "killmost");
    let mut recoveries: Vec<u64> = kills.filter_map(|(at, _)| recovery(*at)).collect();
    recoveries.sort_unstable();
    recoveries
}
