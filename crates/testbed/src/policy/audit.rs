//! Audits the policy experiment by what clients and endpoints observed.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::history::{ProposalHistory, Timeline};
use super::observations::{Observation, Observations};
use super::proposals::Proposal;
use super::traffic::Traffic;
use crate::cluster::{CLOCK_BOUND_MS, Cluster};
use crate::figures::Figures;

/// The maximum number of attempts per request.
const ATTEMPT_LIMIT: u64 = 8;

/// The maximum difference between the clocks of two routers.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(2 * CLOCK_BOUND_MS);

/// The maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: u64 = 5;

/// The evidence from a run for its audit.
pub struct Evidence {
    /// What clients observed.
    pub traffic: Traffic,
    /// The proposals.
    pub proposals: Vec<Proposal>,
    /// The number of times that the fleet did not settle in time.
    pub unsettled: u64,
    /// The time from the bootstrap until all routers were healthy.
    pub time_to_healthy: Duration,
}

/// Counts of observations that contradict the order of activations.
#[derive(Default)]
struct Violations {
    /// Requests that were decided by a version while it was not in force.
    out_of_order: u64,
    /// The part of `out_of_order` that was decided by a router that had become healthy only after the version
    /// was replaced: the router lost a newer version.
    forgotten: u64,
    /// Requests that were decided by a version that was never in force.
    never_in_force: u64,
}

/// The findings of an audit.
struct Findings {
    /// Attempts that accepted a copy age of no version.
    unknown_ages: u64,
    /// Requests for which more than one version was observed.
    half_applied: u64,
    /// Proposals that were rejected or cancelled.
    rejected: u64,
    /// Activated proposals that reverted another one.
    reverted: u64,
    /// Activated proposals that were derived from a generation that was no longer in force.
    overwritten: u64,
    violations: Violations,
    timeline: Timeline,
}

/// Audits a run and returns its report.
pub fn audit(cluster: &Cluster, mut evidence: Evidence) -> Figures {
    let ages = cluster.fleet.lock().unwrap().take_accepted_ages();
    let mut figures = std::mem::take(&mut evidence.traffic.figures);
    cluster.fleet.lock().unwrap().audit(&mut figures);
    let observations = Observations::of(&evidence.traffic.observed, &ages);
    let findings = collect_findings(cluster, &evidence.traffic, &observations);
    let report = report(cluster, &evidence, &findings);
    figures.more.extend(report.into_iter().map(|(name, value)| (name.to_string(), value)));
    let violations = &findings.violations;
    let version_violations = violations.out_of_order + violations.never_in_force + violations.forgotten;
    let change_violations = findings.half_applied + findings.overwritten;
    figures.judge(ATTEMPT_LIMIT, version_violations + change_violations + evidence.unsettled);
    figures
}

fn collect_findings(cluster: &Cluster, traffic: &Traffic, observations: &Observations) -> Findings {
    let history = ProposalHistory::fetch(cluster);
    let (rejected, reverted) = (history.rejected, history.reverted);
    let overwritten = history.overwritten;
    let timeline = history.into_timeline(&observations.first, CLOCK_TOLERANCE);
    let started_at = traffic.observed.iter().map(|request| request.sent_at).min();
    let mut violations = Violations::default();
    for observation in &observations.first {
        violations.check(observation, &timeline, started_at);
    }
    Findings {
        unknown_ages: observations.unknown_ages,
        half_applied: observations.mixed_version_requests,
        rejected,
        reverted,
        overwritten,
        violations,
        timeline,
    }
}

impl Violations {
    /// Counts an observation as a violation if it fits no activation of its version.
    fn check(&mut self, observation: &Observation, timeline: &Timeline, started_at: Option<Instant>) {
        let Some(last) = timeline.positions_of(observation.version).last() else {
            self.never_in_force += 1;
            return;
        };
        if timeline.positions_of(observation.version).any(|position| timeline.fits(position, observation)) {
            return;
        }
        self.out_of_order += 1;
        if self.out_of_order <= MAX_PRINTED_VIOLATIONS {
            print_violation(observation, timeline, started_at);
        }
        let end = timeline.ended_by(last);
        let became_healthy_later = end.zip(observation.healthy_since).is_some_and(|(end, since)| end < since);
        self.forgotten += u64::from(became_healthy_later);
    }
}

/// Prints an observation and the timeline, in milliseconds since the first request.
fn print_violation(observation: &Observation, timeline: &Timeline, started_at: Option<Instant>) {
    let ms = |at: Option<Instant>| Some((at? - started_at?).as_millis());
    let [sent, seen, healthy] =
        [Some(observation.sent_at), Some(observation.seen_at), observation.healthy_since].map(ms);
    let first_seen: Vec<_> = timeline.first_seen.iter().map(|at| ms(*at)).collect();
    let activated: Vec<_> = timeline.activated.iter().map(|version| version.number()).collect();
    let (router, version) = (observation.router, observation.version.number());
    eprintln!(
        "request decided by a version not in force: router n{router}, version {version}, sent at {sent:?} \
         ms, observed at {seen:?} ms, healthy since {healthy:?} ms; versions {activated:?} first observed at \
         {first_seen:?} ms"
    );
}

/// Returns the figures that only this experiment reports, by their keys.
fn report(cluster: &Cluster, evidence: &Evidence, findings: &Findings) -> Vec<(&'static str, Value)> {
    let Evidence { traffic, proposals, unsettled, time_to_healthy } = evidence;
    let Findings { violations, timeline, .. } = findings;
    let activation_delays = Percentiles::of(activation_delays_ms(proposals, timeline));
    let latencies = Percentiles::of(traffic.latencies_us.clone());
    let longest_revert_ms = timeline.longest_revert().map(|revert| revert.as_millis() as u64);
    let (messages, bytes) = cluster.relay.carried();
    vec![
        ("routers", json!(cluster.plan.routers)),
        ("changes", json!(proposals.len())),
        ("took_hold", json!(timeline.activated.len() - 1)),
        ("refused", json!(findings.rejected)),
        ("undone", json!(findings.reverted)),
        ("mixed_views", json!(violations.out_of_order + violations.never_in_force)),
        ("nowhere_views", json!(violations.never_in_force)),
        ("half_applied", json!(findings.half_applied)),
        ("forgot_policy", json!(violations.forgotten)),
        ("overwritten", json!(findings.overwritten)),
        ("unknown_ages", json!(findings.unknown_ages)),
        ("stuck", json!(unsettled)),
        ("turned_back_no_lease", json!(traffic.rejected_without_lease)),
        ("lost_with_router", json!(traffic.lost_with_router)),
        ("hold_ms_p50", json!(activation_delays.p50)),
        ("hold_ms_p99", json!(activation_delays.p99)),
        ("undo_ms_max", json!(longest_revert_ms)),
        ("view_us_p50", json!(latencies.p50)),
        ("view_us_p99", json!(latencies.p99)),
        ("ready_ms", json!(time_to_healthy.as_millis() as u64)),
        ("relay_messages", json!(messages)),
        ("relay_bytes", json!(bytes)),
    ]
}

/// Returns the time from each proposal until the first activation of its version was observed, in
/// milliseconds. Skips proposals whose activation was not observed.
fn activation_delays_ms(proposals: &[Proposal], timeline: &Timeline) -> Vec<u64> {
    let delay = |proposal: &Proposal| {
        let activated_at = timeline.first_activation_of(proposal.version)?;
        let delay = activated_at.checked_duration_since(proposal.proposed_at)?;
        Some(delay.as_millis() as u64)
    };
    proposals.iter().filter_map(delay).collect()
}

/// The median and the 99th percentile. `None` if there are no values.
struct Percentiles {
    p50: Option<u64>,
    p99: Option<u64>,
}

impl Percentiles {
    fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let at = |fraction: f64| values.get((fraction * values.len() as f64) as usize).copied();
        Self { p50: at(0.5), p99: at(0.99) }
    }
}
