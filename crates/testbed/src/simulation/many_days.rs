//! Experiments with many simulated days, one for each seed, run on as many threads as there are cores.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use anyhow::{Result, bail, ensure};
use serde_json::{Value, json};
use tindoor::time::Span;
use tindoor_consensus::SafetyChecks;

use super::baselines::{self, Baseline, BaselineOutcome};
use super::day::WARM_UP;
use super::{DayOutcome, DaySettings, FAULTS, simulate_day};
use crate::figures::Figures;

/// The maximum number of failing seeds that are reported.
const MAX_FAILING_SEEDS: usize = 20;

/// An experiment with many simulated days.
pub struct Plan {
    /// The seed of the first day; each further day uses the next seed.
    pub seed: u64,
    /// How long faults are injected on each day, in seconds of virtual time.
    pub seconds: u64,
    /// The number of days.
    pub days: u64,
    /// The number of routers.
    pub routers: usize,
    /// The names of the faults, separated by commas, or `all`.
    pub faults: String,
    /// The name of the safety check that is disabled. `None` if all checks are enabled.
    pub disabled_check: Option<String>,
    /// The fill budget that the routers share, in fills per second. `None` if there is no fill budget.
    pub fills_per_second: Option<f64>,
    /// Whether state transitions and faults are printed to standard error as they happen.
    pub trace: bool,
}

impl Plan {
    /// The settings of the first day.
    fn settings(&self) -> Result<DaySettings> {
        Ok(DaySettings {
            faults: parse_faults(&self.faults, FAULTS)?,
            fault_duration: Span::secs(self.seconds as f64),
            fills_per_second: self.fills_per_second,
            trace: self.trace,
            checks: self.checks()?,
            ..DaySettings::new(self.seed, self.routers)
        })
    }

    /// All safety checks except the disabled one.
    fn checks(&self) -> Result<SafetyChecks> {
        let mut checks = SafetyChecks::default();
        match self.disabled_check.as_deref() {
            None => {}
            Some("lease") => checks.lease = false,
            Some("staged") => checks.staged_activation = false,
            Some("compare") => checks.compare_generation = false,
            Some(name) if self.fills_per_second.is_some() => checks.quota = quota_checks_without(name)?,
            Some(name) => {
                bail!("unknown check {name}; without --budget, expected one of lease, staged, compare")
            }
        }
        Ok(checks)
    }
}

/// Parses a list of fault names, separated by commas, or `all`.
///
/// # Errors
///
/// Fails for a name that is not in `known`.
pub fn parse_faults(faults: &str, known: &[&str]) -> Result<Vec<String>> {
    let names: Vec<String> = match faults {
        "all" => known.iter().map(ToString::to_string).collect(),
        list => list.split(',').filter(|name| !name.is_empty()).map(str::to_string).collect(),
    };
    for name in &names {
        ensure!(
            known.contains(&name.as_str()),
            "unknown fault {name}; expected all or one of {}",
            known.join(", ")
        );
    }
    Ok(names)
}

/// Returns all safety checks of quotas except the named one.
fn quota_checks_without(name: &str) -> Result<tindoor_quota::SafetyChecks> {
    let mut checks = tindoor_quota::SafetyChecks::default();
    match name {
        "lapse" => checks.count_until_expired = false,
        "epoch" => checks.wait_for_predecessor = false,
        "returned" => checks.count_until_returned = false,
        "burst" => checks.empty_bursts = false,
        "wakes" => checks.stop_at_expiry = false,
        "floor" => checks.reserve_guaranteed = false,
        other => bail!(
            "unknown check {other}; expected one of lease, staged, compare, lapse, epoch, returned, \
             burst, wakes, floor"
        ),
    }
    Ok(checks)
}

/// Simulates the days of a plan and sums their counts and violations.
pub fn run(plan: &Plan) -> Result<Figures> {
    let settings = plan.settings()?;
    let begin = Instant::now();
    let days = simulate_days(&settings, plan.days);
    let sum = |count: fn(&DayOutcome) -> u64| days.iter().map(|day| count(&day.outcome)).sum::<u64>();
    let mut figures = Figures::default();
    figures.requests = sum(|day| day.requests);
    figures.rejected = sum(|day| day.rejected);
    figures.done = figures.requests - figures.rejected;
    figures.rules_broken = sum(DayOutcome::violations);
    let details = [
        proposal_figures(plan, &days),
        delay_figures(&days),
        quota_figures(&days),
        traffic_figures(plan, &days),
        vec![("seconds", json!(begin.elapsed().as_secs_f64()))],
    ];
    let details = details.into_iter().flatten();
    figures.more.extend(details.map(|(name, value)| (name.to_string(), value)));
    Ok(figures)
}

/// The result of one simulated day.
pub(super) struct Day {
    pub seed: u64,
    pub outcome: DayOutcome,
}

/// Simulates days with consecutive seeds on all cores, and returns them in the order of their seeds.
pub(super) fn simulate_days(first: &DaySettings, count: u64) -> Vec<Day> {
    let next = AtomicU64::new(0);
    let days = Mutex::new(Vec::new());
    let worker = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= count {
                return;
            }
            let settings = DaySettings { seed: first.seed + index, ..first.clone() };
            let outcome = simulate_day(&settings);
            days.lock().unwrap().push(Day { seed: settings.seed, outcome });
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(worker);
        }
    });
    let mut days = days.into_inner().unwrap();
    days.sort_by_key(|day: &Day| day.seed);
    days
}

fn total(days: &[Day], count: fn(&DayOutcome) -> u64) -> Value {
    json!(days.iter().map(|day| count(&day.outcome)).sum::<u64>())
}

fn proposal_figures(plan: &Plan, days: &[Day]) -> Vec<(&'static str, Value)> {
    vec![
        ("days", json!(days.len())),
        ("routers", json!(plan.routers)),
        ("changes", total(days, |day| day.proposals)),
        ("took_hold", total(days, |day| day.activated)),
        ("refused", total(days, |day| day.proposals_rejected)),
        ("called_off", total(days, |day| day.proposals_cancelled)),
        ("mixed_views", total(days, |day| day.mixed_policy_requests)),
        ("nowhere_views", total(days, |day| day.unknown_policy_requests)),
        ("overwritten", total(days, |day| day.lost_updates)),
        ("stuck", total(days, |day| day.stuck_changes)),
        ("unfit_at_end", total(days, |day| day.not_applicable_at_end)),
        ("out_at_end", total(days, |day| day.inactive_at_end)),
        ("unlisted", total(days, |day| day.members_removed)),
    ]
}

fn delay_figures(days: &[Day]) -> Vec<(&'static str, Value)> {
    let delays = days.iter().flat_map(|day| &day.outcome.activation_delays);
    let mut delays_ms: Vec<u64> = delays.map(|delay| delay.as_micros() / 1000).collect();
    delays_ms.sort_unstable();
    let quantile = |fraction: f64| delays_ms.get((fraction * delays_ms.len() as f64) as usize).copied();
    vec![
        ("hold_ms_p50", json!(quantile(0.5))),
        ("hold_ms_p99", json!(quantile(0.99))),
        ("hold_ms_max", json!(delays_ms.last())),
    ]
}

fn quota_figures(days: &[Day]) -> Vec<(&'static str, Value)> {
    let peak = days.iter().map(|day| day.outcome.peak_commitment_permille).max();
    vec![
        ("windows_over", total(days, |day| day.rate_violations)),
        ("in_hand_over", total(days, |day| day.concurrency_violations)),
        ("granted_over", total(days, |day| day.overcommitted_samples)),
        ("most_granted", json!(peak)),
        ("starved", total(days, |day| day.starved_routers)),
        ("used_of_whole", json!(fill_utilization(days))),
    ]
}

fn traffic_figures(plan: &Plan, days: &[Day]) -> Vec<(&'static str, Value)> {
    let failing = days.iter().filter(|day| day.outcome.violations() > 0).map(|day| day.seed);
    vec![
        ("messages_each_second", json!(rate_per_router(days, plan, |day| day.messages))),
        ("bytes_each_second", json!(rate_per_router(days, plan, |day| day.bytes))),
        ("failing_seeds", json!(failing.take(MAX_FAILING_SEEDS).collect::<Vec<_>>())),
    ]
}

/// Returns the fraction of the allowed fills that were admitted, over all periods without disturbance.
pub(super) fn fill_utilization(days: &[Day]) -> f64 {
    let admitted: f64 = days.iter().map(|day| day.outcome.fills_admitted).sum();
    let allowed: f64 = days.iter().map(|day| day.outcome.fills_allowed).sum();
    admitted / f64::max(allowed, 1.0)
}

/// Returns a count per router and per second of virtual time.
fn rate_per_router(days: &[Day], plan: &Plan, count: fn(&DayOutcome) -> u64) -> f64 {
    let sum: u64 = days.iter().map(|day| count(&day.outcome)).sum();
    let recovery = DaySettings::new(0, plan.routers).recovery_duration();
    let seconds = plan.seconds as f64 + WARM_UP.as_secs() + recovery.as_secs();
    sum as f64 / (days.len().max(1) as f64 * plan.routers as f64 * seconds)
}

/// Simulates the days of a plan with a baseline protocol, and sums their counts and violations.
pub fn run_baseline(plan: &Plan, baseline: Baseline) -> Result<Figures> {
    let settings = DaySettings {
        faults: parse_faults(&plan.faults, FAULTS)?,
        fault_duration: Span::secs(plan.seconds as f64),
        ..DaySettings::new(plan.seed, plan.routers)
    };
    let day = |index| DaySettings { seed: plan.seed + index, ..settings.clone() };
    let days: Vec<BaselineOutcome> =
        (0..plan.days).map(|index| baselines::simulate_day(&day(index), baseline)).collect();
    let sum = |count: fn(&BaselineOutcome) -> u64| days.iter().map(count).sum::<u64>();
    let mut figures = Figures { requests: sum(|day| day.requests), ..Figures::default() };
    figures.rules_broken = sum(|day| day.mixed_policy_requests);
    let details = [
        ("days", plan.days),
        ("changes", sum(|day| day.proposals)),
        ("took_hold", sum(|day| day.activated)),
        ("mixed_views", sum(|day| day.mixed_policy_requests)),
        ("apart_at_end", sum(|day| day.outdated_at_end)),
    ];
    figures.more.extend(details.map(|(name, count)| (name.to_string(), json!(count))));
    Ok(figures)
}
