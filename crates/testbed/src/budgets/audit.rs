//! Audits the budget experiment by what endpoints and clients observed, and by the grants that were sent
//! between routers.

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

/// The maximum number of attempts per request.
const ATTEMPT_LIMIT: u64 = 8;

/// The number of budgets that are audited.
const BUDGETS: usize = 5;

/// The time in the quiet period, in seconds, within which a router with much demand must be granted a fill.
const STARVATION_PERIOD_S: u64 = 2;

/// The minimum number of fills that a router must demand in such a period to be considered starved.
const STARVATION_DEMAND: u64 = 10;

/// The window in which fills are counted after most routers were killed. The remaining routers have recovered
/// once the fills in a window reach [`RECOVERED_FRACTION`] of what the rate allows.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);
/// The fraction of the allowed fills in a window from which on the fleet has recovered.
const RECOVERED_FRACTION: f64 = 0.85;

/// The time between the starts of consecutive windows.
const RECOVERY_STEP: Duration = Duration::from_millis(100);
/// The exclusive upper bound of the number of steps from the kill to the start of a window. The first window
/// starts one step after the routers were killed.
const RECOVERY_STEPS: u32 = 100;

/// The evidence from a run for its audit.
pub struct Evidence {
    /// The observations of the clients.
    pub traffic: Traffic,
    /// The activated fill rates.
    pub rates: RateHistory,
    /// The maximum time from a router spending from a budget until the endpoint observes it, in seconds.
    pub tolerance_s: f64,
    /// When the clients started.
    pub started_at: Instant,
    /// The period after the end of fault injection.
    pub quiet_period: QuietPeriod,
    /// The number of times that the fleet did not settle in time.
    pub unsettled: u64,
    /// The time from the bootstrap until all routers were healthy.
    pub time_to_healthy: Duration,
}

/// The findings of an audit, by budget.
struct Findings {
    fills: RateAudit,
    retries: RateAudit,
    requests: RateAudit,
    connections: RateAudit,
    /// The most fills that were in flight at a time.
    peak_fills_in_flight: i64,
    /// The number of fills by which that peak exceeded the limit.
    fills_in_flight_over: u64,
    /// Grants that exceeded the grantable quota.
    grant_violations: u64,
    /// The largest fraction of the grantable quota that was outstanding.
    peak_granted_fraction: f64,
}

/// Audits a run and returns its report.
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
        let connection_times = shared.connections.values();
        let connections = connection_times
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
            peak_granted_fraction: grants.peak_fraction,
        }
    }

    /// Returns the number of all violations by spending and by grants.
    fn violations(&self) -> u64 {
        let rate_audits = [self.fills, self.retries, self.requests, self.connections];
        let rate_violations: u64 = rate_audits.iter().map(|audit| audit.violations).sum();
        rate_violations + self.fills_in_flight_over + self.grant_violations
    }

    fn report(&self) -> Vec<(&'static str, Value)> {
        let other_peaks =
            [self.retries.peak_fraction, self.requests.peak_fraction, self.connections.peak_fraction];
        vec![
            ("budgets", json!(BUDGETS)),
            ("windows_over", json!(self.violations())),
            ("fills_over", json!(self.fills.violations)),
            ("granted_over", json!(self.grant_violations)),
            ("most_granted", json!(self.peak_granted_fraction)),
            ("in_hand_over", json!(self.fills_in_flight_over)),
            ("further_over", json!(self.retries.violations)),
            ("requests_over", json!(self.requests.violations)),
            ("connections_over", json!(self.connections.violations)),
            ("most_of_whole", json!(self.fills.peak_fraction)),
            ("most_of_others", json!(other_peaks)),
            ("most_in_hand", json!(self.peak_fills_in_flight)),
        ]
    }
}

/// Returns the figures of the run itself, by their keys.
fn report_run(cluster: &Cluster, evidence: &Evidence) -> Vec<(&'static str, Value)> {
    let (messages, bytes) = cluster.relay.carried();
    vec![
        ("routers", json!(cluster.plan.routers)),
        ("slack_s", json!(evidence.tolerance_s)),
        ("lowered", json!(evidence.rates.change_count())),
        ("stuck", json!(evidence.unsettled)),
        ("lost_with_router", json!(evidence.traffic.lost_with_router)),
        ("ready_ms", json!(evidence.time_to_healthy.as_millis() as u64)),
        ("relay_messages", json!(messages)),
        ("relay_bytes", json!(bytes)),
    ]
}

/// Returns the figures of how well the fill budget was used, by their keys.
fn report_use(cluster: &Cluster, shared: &SharedUse, evidence: &Evidence) -> Vec<(&'static str, Value)> {
    let fill_starts = fill_starts(shared);
    let starved = starved_periods(&evidence.traffic.demanded_fills, evidence.quiet_period);
    let recoveries = recoveries_ms(cluster, &fill_starts, evidence);
    let percentile = |fraction: f64| recoveries.get((fraction * recoveries.len() as f64) as usize).copied();
    vec![
        ("used_of_whole", json!(used_fraction(&fill_starts, evidence.quiet_period))),
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

/// Returns the most fills that were in flight at a time.
fn peak_fills_in_flight(shared: &SharedUse) -> i64 {
    let fill_edges = shared.fills.iter().flat_map(|fill| [(fill.began, 1), (fill.ended, -1)]);
    let mut edges: Vec<(Instant, i64)> = fill_edges.collect();
    edges.sort_unstable();
    let (mut in_flight, mut peak) = (0, 0);
    for (_, change) in edges {
        in_flight += change;
        peak = peak.max(in_flight);
    }
    peak
}

/// Returns the fraction of the allowed fills that were started in the quiet period.
fn used_fraction(fill_starts: &[Instant], quiet_period: QuietPeriod) -> f64 {
    let QuietPeriod { start, end, fills_per_second } = quiet_period;
    let used = fill_starts.iter().filter(|at| (start..end).contains(*at)).count() as f64;
    let allowed = fills_per_second * (end - start).as_secs_f64();
    used / allowed.max(1.0)
}

/// The fills that clients of one router demanded in one starvation period of the quiet period.
#[derive(Default)]
struct PeriodDemand {
    demanded: u64,
    served: u64,
}

/// Counts the starvation periods in which a router with much demand was not granted any fill.
fn starved_periods(demanded_fills: &[DemandedFill], quiet_period: QuietPeriod) -> usize {
    let mut periods: HashMap<(usize, u64), PeriodDemand> = HashMap::new();
    for fill in demanded_fills.iter().filter(|fill| fill.sent_at >= quiet_period.start) {
        let number = (fill.sent_at - quiet_period.start).as_secs() / STARVATION_PERIOD_S;
        let period = periods.entry((fill.router, number)).or_default();
        period.demanded += 1;
        period.served += u64::from(fill.served);
    }
    let is_starved = |period: &&PeriodDemand| period.demanded >= STARVATION_DEMAND && period.served == 0;
    periods.values().filter(is_starved).count()
}

/// Returns how long it took the remaining routers to use the budget again each time that most routers were
/// killed, in milliseconds and sorted. Times without a recovery are left out.
fn recoveries_ms(cluster: &Cluster, fill_starts: &[Instant], evidence: &Evidence) -> Vec<u64> {
    let has_recovered = |start: Instant| {
        let end = start + RECOVERY_WINDOW;
        let filled = fill_starts.iter().filter(|at| (start..end).contains(*at)).count() as f64;
        let allowed = RECOVERY_WINDOW.as_secs_f64() * evidence.rates.at(start);
        end < evidence.quiet_period.end && filled >= RECOVERED_FRACTION * allowed
    };
    let recovery = |killed_at: Instant| {
        let mut steps = (1..RECOVERY_STEPS).map(|step| RECOVERY_STEP * step);
        let recovery = steps.find(|elapsed| has_recovered(killed_at + *elapsed))?;
        Some(recovery.as_millis() as u64)
    };
    let injected = cluster.injected.lock().unwrap().clone();
    let kills = injected.iter().filter(|(_, fault)| *fault == "killmost");
    let mut recoveries: Vec<u64> = kills.filter_map(|(at, _)| recovery(*at)).collect();
    recoveries.sort_unstable();
    recoveries
}
