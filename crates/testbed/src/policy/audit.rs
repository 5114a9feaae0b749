//! Audits the policy experiment, from what clients and endpoints saw.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::history::{ProposalHistory, Timeline};
use super::proposals::Proposal;
use super::sightings::{Sighting, Sightings};
use super::traffic::Traffic;
use crate::cluster::{CLOCK_BOUND_MS, Cluster};
use crate::figures::Figures;

/// Attempts of one request, at most.
const ATTEMPT_LIMIT: u64 = 8;

/// By how much the clocks of two routers may differ.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(2 * CLOCK_BOUND_MS);

/// Violations that are printed, at most.
const MAX_PRINTED: u64 = 5;

/// What a run left for its audit.
pub struct Evidence {
    /// What clients observed.
    pub traffic: Traffic,
    /// The proposals.
    pub proposals: Vec<Proposal>,
    /// Waits for the fleet to settle that failed.
    pub unsettled: u64,
    /// How long it took from the bootstrap until all routers were healthy.
    pub time_to_healthy: Duration,
}

/// Counts of sightings that don't fit the order of activations.
#[derive(Default)]
struct Violations {
    /// Requests decided by a version while it was not in force.
    out_of_order: u64,
    /// Those by a router that had become healthy only after the version's end: it forgot a newer one.
    forgotten: u64,
    /// Requests decided by a version that was never in force.
    never_in_force: u64,
}

/// What an audit found.
struct Findings {
    unknown_ages: u64,
    half_applied: u64,
    rejected: u64,
    reverted: u64,
    overwritten: u64,
    violations: Violations,
    timeline: Timeline,
}

/// Audits a run.
pub fn audit(cluster: &Cluster, mut evidence: Evidence) -> Figures {
    let ages = cluster.fleet.lock().unwrap().take_accepted_ages();
    let mut figures = std::mem::take(&mut evidence.traffic.figures);
    cluster.fleet.lock().unwrap().audit(&mut figures);
    let sightings = Sightings::of(&evidence.traffic.observed, &ages);
    let findings = find(cluster, &evidence.traffic, &sightings);
    let report = report(cluster, &evidence, &findings);
    figures.more.extend(report.into_iter().map(|(name, value)| (name.to_string(), value)));
    let violations = &findings.violations;
    let of_versions = violations.out_of_order + violations.never_in_force + violations.forgotten;
    let of_changes = findings.half_applied + findings.overwritten;
    figures.judge(ATTEMPT_LIMIT, of_versions + of_changes + evidence.unsettled);
    figures
}

fn find(cluster: &Cluster, traffic: &Traffic, sightings: &Sightings) -> Findings {
    let history = ProposalHistory::ask(cluster);
    let (rejected, reverted) = (history.rejected, history.reverted);
    let overwritten = history.overwritten;
    let timeline = history.first_seen(&sightings.first, CLOCK_TOLERANCE);
    let started_at = traffic.observed.iter().map(|request| request.sent_at).min();
    let mut violations = Violations::default();
    for sighting in &sightings.first {
        violations.check(sighting, &timeline, started_at);
    }
    Findings {
        unknown_ages: sightings.unknown_ages,
        half_applied: sightings.of_mixed_versions,
        rejected,
        reverted,
        overwritten,
        violations,
        timeline,
    }
}

impl Violations {
    /// Counts a sighting that fits no activation of its version.
    fn check(&mut self, sighting: &Sighting, timeline: &Timeline, started_at: Option<Instant>) {
        let Some(last) = timeline.positions_of(sighting.version).last() else {
            self.never_in_force += 1;
            return;
        };
        if timeline.positions_of(sighting.version).any(|position| timeline.fits(position, sighting)) {
            return;
        }
        self.out_of_order += 1;
        if self.out_of_order <= MAX_PRINTED {
            print_violation(sighting, timeline, started_at);
        }
        let end = timeline.ended_by(last);
        let became_healthy_later = end.zip(sighting.healthy_since).is_some_and(|(end, since)| end < since);
        self.forgotten += u64::from(became_healthy_later);
    }
}

/// Prints a sighting and the timeline, in milliseconds from the first request on.
fn print_violation(sighting: &Sighting, timeline: &Timeline, started_at: Option<Instant>) {
    let ms = |at: Option<Instant>| Some((at? - started_at?).as_millis());
    let [sent, seen, healthy] =
        [Some(sighting.sent_at), Some(sighting.seen_at), sighting.healthy_since].map(ms);
    let first_seen: Vec<_> = timeline.first_seen.iter().map(|at| ms(*at)).collect();
    let activated: Vec<_> = timeline.activated.iter().map(|version| version.number()).collect();
    let (router, version) = (sighting.router, sighting.version.number());
    eprintln!(
        "mixed: n{router} by {version}, sent {sent:?}, seen {seen:?}, healthy {healthy:?}; \
         {activated:?} at {first_seen:?}"
    );
}

/// The figures that only this experiment has, by their keys.
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

/// How long it took from each proposal until its version's first activation was seen.
fn activation_delays_ms(proposals: &[Proposal], timeline: &Timeline) -> Vec<u64> {
    let delay = |proposal: &Proposal| {
        let activated_at = timeline.first_activation_of(proposal.version)?;
        let delay = activated_at.checked_duration_since(proposal.proposed_at)?;
        Some(delay.as_millis() as u64)
    };
    proposals.iter().filter_map(delay).collect()
}

/// The median and the 99th percentile; none where there are no values.
struct Percentiles {
    p50: Option<u64>,
    p99: Option<u64>,
}

impl Percentiles {
    fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let at = |part: f64| values.get((part * values.len() as f64) as usize).copied();
        Self { p50: at(0.5), p99: at(0.99) }
    }
}
