//! The workload of a simulated day: requests, fills within a budget, and proposals of policy changes.

use rand::Rng;
use tindoor::time::Moment;
use tindoor_consensus::Command;
use tindoor_policy::Proposal;

use super::day::{concurrent_fill_key, fill_key};
use super::world::{Event, World};

/// The range of the duration of a fill, in microseconds.
const FILL_DURATION_US: std::ops::Range<u64> = 20_000..400_000;
/// The interval between samples of the quotas, in microseconds.
const QUOTA_SAMPLE_INTERVAL_US: u64 = 20_000;
/// The period in which each router with demand must be admitted at least one fill, in microseconds.
const FILL_PERIOD_US: u64 = 4_000_000;
/// The true time from which on the use of the budget is counted, in microseconds.
const FILL_COUNT_START_US: u64 = 8_000_000;
/// The minimum number of fills that a router must have requested in a period to be considered starved.
const STARVATION_DEMAND: u64 = 20;
/// The interval between changes of the load factors, in microseconds.
const LOAD_SHIFT_INTERVAL_US: u64 = 4_000_000;
/// A policy setting that makes the last router object to the policy.
pub(super) const OBJECTIONABLE_SETTING: &str = "bad";
const FILL_RATE_SETTING: &str = "budget.origin_fills.per_s";

/// A fill that ended while its process was paused, and that the process has not released yet.
pub(super) struct UnreleasedFill {
    pub process: usize,
    /// The time of admission, by the clock of the process.
    pub admitted_at: Moment,
}

impl World {
    /// Sends a request to a process and schedules the next request.
    pub(super) fn generate_request(&mut self, process: usize) {
        let mean_interval_us = self.day.request_interval.as_micros();
        let mean_us = (mean_interval_us as f64 / self.processes[process].load_factor) as u64;
        let delay_us = self.rng.random_range(mean_us / 2..mean_us * 3 / 2);
        self.schedule_in(delay_us, Event::Request { process });
        if !self.processes[process].paused {
            self.handle_request(process);
        }
    }

    /// Lets a process decide a request by its active policy, or reject the request if it has no active
    /// policy.
    pub(super) fn handle_request(&mut self, process: usize) {
        let now = self.local_time(process);
        let Some(node) = self.processes[process].node.as_mut() else { return };
        self.outcome.requests += 1;
        let Ok(generation) = node.active_policy(now).map(|version| version.generation) else {
            self.outcome.rejected += 1;
            return;
        };
        if self.request_times.keys().next_back().is_some_and(|newest| generation < *newest) {
            self.trace(process, &("request decided by an outdated generation", generation));
        }
        self.request_times.entry(generation).or_default().push(self.now);
        if self.day.fills_per_second.is_some() {
            self.request_fill(process);
        }
    }

    fn request_fill(&mut self, index: usize) {
        let now = self.local_time(index);
        let keys = [fill_key(), concurrent_fill_key()];
        let process = &mut self.processes[index];
        let admitted = process.node.as_mut().is_some_and(|node| node.quota().spend(now, &keys));
        process.fills_requested += 1;
        process.fills_admitted += u64::from(admitted);
        if !admitted {
            return;
        }
        let epoch = process.epoch;
        self.fill_times.push(self.now);
        self.fills_in_flight += 1;
        let over_limit = self.fills_in_flight as f64 > self.day.fill_budget("in_hand");
        self.outcome.concurrency_violations += u64::from(over_limit);
        let duration_us = self.rng.random_range(FILL_DURATION_US);
        self.schedule_in(duration_us, Event::FillCompleted { process: index, epoch, admitted_at: now });
    }

    /// Releases a completed fill, unless its process has been killed or restarted since. A paused process
    /// releases the fill when it resumes.
    pub(super) fn complete_fill(&mut self, process: usize, epoch: u64, admitted_at: Moment) {
        self.fills_in_flight -= 1;
        if self.processes[process].epoch != epoch {
            return;
        }
        if self.processes[process].paused {
            self.unreleased_fills.push(UnreleasedFill { process, admitted_at });
        } else {
            self.release_fill(process, admitted_at);
        }
    }

    pub(super) fn release_fill(&mut self, process: usize, admitted_at: Moment) {
        self.with_node(process, |node, _| node.quota().release(admitted_at, &[concurrent_fill_key()]));
    }

    /// Samples the quota that all running routers together could spend. At the end of each period without
    /// disturbance, records the admitted fills and the starved routers.
    pub(super) fn sample_quotas(&mut self) {
        self.schedule_in(QUOTA_SAMPLE_INTERVAL_US, Event::SampleQuotas);
        self.record_commitment();
        if self.now % FILL_PERIOD_US >= QUOTA_SAMPLE_INTERVAL_US {
            return;
        }
        let settled_at = self.disturbed_until + 3 * self.day.timings.lease.as_micros();
        if self.now > settled_at.max(FILL_COUNT_START_US) && self.request_times.len() == 1 {
            self.record_fill_use();
        }
        for process in &mut self.processes {
            process.fills_requested = 0;
            process.fills_admitted = 0;
        }
    }

    fn record_commitment(&mut self) {
        let (mut rate, mut burst) = (0u64, 0u64);
        for index in 0..self.processes.len() {
            let now = self.local_time(index);
            let Some(node) = self.processes[index].node.as_mut() else { continue };
            let quotas = node.quota().max_spendable(now);
            for (_, quota) in quotas.into_iter().filter(|(key, _)| *key == fill_key()) {
                rate += quota.rate;
                burst += quota.burst;
            }
        }
        // Quotas are in thousandths of a fill.
        let max_rate = self.day.fill_budget("per_s") * 1000.0;
        let max_burst = self.day.fill_budget("burst") * 1000.0;
        let commitment = (rate as f64 / max_rate).max(burst as f64 / max_burst);
        self.outcome.overcommitted_samples += u64::from(commitment > 1.0 + 1e-9);
        let permille = (commitment * 1000.0) as u64;
        self.outcome.peak_commitment_permille = self.outcome.peak_commitment_permille.max(permille);
    }

    fn record_fill_use(&mut self) {
        let running = self.processes.iter().filter(|process| process.node.is_some());
        let starved = running
            .filter(|process| process.fills_requested >= STARVATION_DEMAND && process.fills_admitted == 0)
            .count();
        self.outcome.starved_routers += starved as u64;
        let admitted: u64 = self.processes.iter().map(|process| process.fills_admitted).sum();
        self.outcome.fills_admitted += admitted as f64;
        let rate = self.day.fills_per_second.unwrap_or_default();
        self.outcome.fills_allowed += rate * FILL_PERIOD_US as f64 / 1e6;
    }

    /// Gives a random subset of the routers a high load, and the others a low load.
    pub(super) fn shift_load(&mut self) {
        self.schedule_in(LOAD_SHIFT_INTERVAL_US, Event::ShiftLoad);
        for process in &mut self.processes {
            let high = self.rng.random_bool(0.3);
            process.load_factor = if high { 3.0 } else { 0.3 };
        }
    }

    /// Proposes one or two policy changes and schedules the next proposals.
    pub(super) fn generate_proposals(&mut self) {
        if self.faults_over {
            return;
        }
        self.schedule_in(self.day.proposal_interval.as_micros(), Event::Propose);
        let proposers = if self.day.has("proposers") { 2 } else { 1 };
        let objectionable = self.day.has("badchange") && self.rng.random_bool(0.3);
        for _ in 0..proposers {
            self.propose(objectionable);
        }
    }

    /// Proposes a policy change at a random process, if that process is running and has joined the fleet.
    fn propose(&mut self, objectionable: bool) {
        let process = self.rng.random_range(0..self.processes.len());
        if self.processes[process].paused {
            return;
        }
        let now = self.local_time(process);
        let number = self.rng.random_range(1.0..1e6f64).floor();
        let Some(node) = self.processes[process].node.as_mut() else { return };
        if node.agreed().fleet == 0 {
            return;
        }
        let (token, base_generation) = (node.new_token(), node.agreed().generation());
        let setting = if objectionable { OBJECTIONABLE_SETTING } else { "number" };
        let mut policy = self.day.initial_policy().with([(setting.to_string(), number)]);
        if let Some(rate) = self.day.fills_per_second.filter(|_| self.day.has("lower")) {
            let factor = [0.4, 1.0][self.rng.random_range(0..2usize)];
            policy = policy.with([(FILL_RATE_SETTING.to_string(), rate * factor)]);
        }
        if let Some(rate) = policy.0.get(FILL_RATE_SETTING) {
            self.proposed_rates.insert(token, *rate);
        }
        let (author, note) = (format!("n{process}"), String::new());
        let proposal = Proposal { token, base_generation, policy, reverts: None, author, note };
        if node.submit(now, Command::Propose(proposal)).is_ok() {
            self.outcome.proposals += 1;
            self.proposal_times.insert(token, self.now);
        }
        self.execute_actions(process);
    }
}
