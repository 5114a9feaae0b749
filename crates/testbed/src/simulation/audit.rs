//! Audits a simulated day: checks by true time what the routers did with requests and fills, and counts
//! violations.

use std::collections::BTreeSet;

use tindoor::time::Span;
use tindoor_consensus::UnavailableReason;
use tindoor_policy::{AgreedState, PastProposal, ProposalOutcome};

use super::world::World;

/// The generation of the policy with which a fleet is bootstrapped.
const FIRST_GENERATION: u64 = 1;
/// The factor by which a rate measured in true time may exceed the nominal one, because clocks drift.
const CLOCK_RATE_TOLERANCE: f64 = 1.0005;

/// The rate of fills that the fleet is allowed from a point in time on.
struct RateLimit {
    /// True time, in microseconds.
    from_us: u64,
    /// Fills per second.
    per_second: f64,
}

impl World {
    /// Counts the violations of the day. Does nothing if no process is running.
    pub(super) fn audit(&mut self) {
        let Some(agreed) = self.most_advanced_node().map(|node| node.agreed().clone()) else { return };
        self.outcome.stuck_changes = u64::from(agreed.has_undecided_change());
        let removed = self.processes.iter().map(|process| process.members_removed).max();
        self.outcome.members_removed = removed.unwrap_or_default();
        self.audit_generations(&agreed);
        self.audit_base_generations(&agreed);
        self.audit_activations();
        self.measure_activation_delays(&agreed);
        if let Some(rate) = self.day.fills_per_second {
            self.audit_fills(rate);
        }
        self.audit_final_state();
    }

    /// Counts requests that were decided by a generation that was never activated.
    fn audit_generations(&mut self, agreed: &AgreedState) {
        let mut activated = BTreeSet::from([FIRST_GENERATION]);
        for past in &agreed.past {
            match (&past.outcome, past.generation) {
                (ProposalOutcome::Activated, Some(generation)) => {
                    activated.insert(generation);
                    self.outcome.activated += 1;
                }
                (ProposalOutcome::Rejected(_), _) => self.outcome.proposals_rejected += 1,
                _ => self.outcome.proposals_cancelled += 1,
            }
        }
        let staged = agreed.staged.iter().filter(|staged| staged.is_decided());
        activated.extend(staged.map(|staged| staged.version.generation));
        let oldest_known = oldest_known_generation(agreed);
        for (generation, times) in &self.request_times {
            if *generation >= oldest_known && !activated.contains(generation) {
                self.outcome.unknown_policy_requests += times.len() as u64;
            }
        }
    }

    /// Counts activated proposals that were derived from a generation no longer in force.
    fn audit_base_generations(&mut self, agreed: &AgreedState) {
        let oldest_known = oldest_known_generation(agreed);
        let mut in_force = FIRST_GENERATION;
        for past in activated(agreed) {
            let outdated = past.base_generation < in_force && past.generation >= Some(oldest_known);
            self.outcome.lost_updates += u64::from(outdated);
            in_force = past.generation.unwrap_or(in_force);
        }
    }

    /// Counts requests that an old generation decided after the first request decided by a newer generation.
    /// Time differences within the clock tolerance are not counted.
    fn audit_activations(&mut self) {
        let tolerance = self.clock_tolerance_us();
        let times: Vec<&Vec<u64>> = self.request_times.values().collect();
        for (index, new) in times.iter().enumerate() {
            let first = new.iter().min().copied().unwrap_or(u64::MAX);
            for old in &times[..index] {
                let late = old.iter().filter(|time| **time > first + tolerance).count();
                self.outcome.mixed_policy_requests += late as u64;
            }
        }
    }

    /// Records the time from each proposal to the first request that the activated policy decided.
    fn measure_activation_delays(&mut self, agreed: &AgreedState) {
        for past in activated(agreed) {
            let proposed = self.proposal_times.get(&past.token);
            if let Some((proposed, first)) = proposed.zip(self.first_request(past)) {
                let delay = Span::micros(first.saturating_sub(*proposed));
                self.outcome.activation_delays.push(delay);
            }
        }
    }

    /// Counts the fills that exceed the rate and burst of the budget. A token bucket that starts full checks
    /// all time windows at once.
    fn audit_fills(&mut self, initial_rate: f64) {
        let burst = self.day.fill_budget("burst");
        let limits = self.rate_limits(initial_rate);
        let (mut tokens, mut last) = (burst, 0u64);
        for time in &self.fill_times {
            let limit = limits
                .iter()
                .rev()
                .find(|limit| limit.from_us <= *time)
                .expect("the initial limit applies from time 0");
            let refill = (time - last) as f64 / 1e6 * limit.per_second * CLOCK_RATE_TOLERANCE;
            tokens = (tokens + refill).min(burst) - 1.0;
            last = *time;
            if tokens < -1e-6 {
                self.outcome.rate_violations += 1;
                tokens = 0.0;
            }
        }
    }

    /// Returns the rate limits over the day, in the order of activation. Within the clock tolerance around
    /// an activation, the higher rate is allowed.
    fn rate_limits(&self, initial_rate: f64) -> Vec<RateLimit> {
        let tolerance = self.clock_tolerance_us();
        let mut limits = vec![RateLimit { from_us: 0, per_second: initial_rate }];
        let Some(node) = self.processes.iter().find_map(|process| process.node.as_ref()) else {
            return limits;
        };
        for past in activated(node.agreed()) {
            let rate = self.proposed_rates.get(&past.token);
            let Some((first, per_second)) = self.first_request(past).zip(rate.copied()) else { continue };
            let lowered = per_second < limits.last().expect("the initial limit is always present").per_second;
            let from_us = if lowered { first + tolerance } else { first - tolerance };
            limits.push(RateLimit { from_us, per_second });
        }
        limits
    }

    /// Counts the routers that could not decide requests at the end of the day.
    fn audit_final_state(&mut self) {
        for index in 0..self.processes.len() {
            let now = self.local_time(index);
            let node = self.processes[index].node.as_mut();
            let error = node.map(|node| node.active_policy(now).err());
            if error == Some(None) {
                continue;
            }
            let status = self.processes[index].node.as_mut().map(|node| node.status(now));
            self.trace(index, &("inactive at the end", error, status));
            if error == Some(Some(UnavailableReason::PolicyNotApplicable)) {
                self.outcome.not_applicable_at_end += 1;
            } else {
                self.outcome.inactive_at_end += 1;
            }
        }
    }

    /// The largest allowed difference between the clocks of two processes, in microseconds.
    fn clock_tolerance_us(&self) -> u64 {
        2 * self.day.timings.clock_bound.as_micros()
    }

    /// Returns the true time, in microseconds, of the first request decided by the policy of a proposal.
    fn first_request(&self, past: &PastProposal) -> Option<u64> {
        self.request_times.get(&past.generation?)?.iter().min().copied()
    }
}

/// Returns the activated proposals of the bounded history.
fn activated(agreed: &AgreedState) -> impl Iterator<Item = &PastProposal> {
    agreed.past.iter().filter(|past| past.outcome == ProposalOutcome::Activated)
}

/// Returns the oldest generation in the bounded history. Older generations can no longer be checked.
fn oldest_known_generation(agreed: &AgreedState) -> u64 {
    agreed.past.iter().filter_map(|past| past.generation).min().unwrap_or(FIRST_GENERATION)
}
