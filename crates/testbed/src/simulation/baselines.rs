//! Baseline protocols for distributing policy changes: direct file reload and plain two-phase commit. They
//! are simulated under the same faults as the fleet's own protocol, for comparison.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::day::DaySettings;
use super::events::EventQueue;

/// The generation of the policy that all routers have at the start.
const FIRST_GENERATION: u64 = 1;
/// The time from the end of fault injection to the end of the day, in microseconds.
const RECOVERY_US: u64 = 12_000_000;
/// The time of the first proposal, in microseconds from the start of the day.
const FIRST_PROPOSAL_US: u64 = 2_000_000;
/// The time of the first fault, in microseconds from the start of the day.
const FIRST_FAULT_US: u64 = 2_200_000;
/// The interval at which a coordinator retransmits its messages, in microseconds.
const RETRANSMIT_INTERVAL_US: u64 = 200_000;
/// The time within which a coordinator must receive all votes, in microseconds.
const VOTE_TIMEOUT_US: u64 = 2_000_000;

/// A baseline protocol for distributing policy changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each router applies a change as soon as it receives it.
    FileReload,
    /// All routers vote, then all commit. The coordinator retransmits its messages until every router has
    /// acknowledged the commit.
    TwoPhaseCommit,
}

/// The counts of a simulated day with a baseline protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BaselineOutcome {
    /// Requests decided.
    pub requests: u64,
    /// Requests that an old policy decided after the first request decided by a newer policy. Time
    /// differences up to the largest allowed difference between two clocks are not counted.
    pub mixed_policy_requests: u64,
    /// Changes proposed.
    pub proposals: u64,
    /// Changes whose policy decided at least one request.
    pub activated: u64,
    /// Routers that did not have the newest policy at the end of the day.
    pub outdated_at_end: u64,
}

/// A message about a change. The number is the generation of the changed policy.
#[derive(Clone, Copy, Debug)]
enum Message {
    Reload(u64),
    Prepare(u64),
    Vote(u64),
    Commit(u64),
    Acknowledge(u64),
}

/// A message that arrived while its receiver was paused.
#[derive(Clone, Copy)]
struct QueuedMessage {
    from: usize,
    message: Message,
}

enum Event {
    Request {
        process: usize,
    },
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Propose,
    Retransmit {
        generation: u64,
    },
    Fault,
    UnblockLinks,
    /// A killed process restarts, or a paused process resumes.
    Recover {
        process: usize,
    },
}

#[derive(Clone)]
struct Process {
    /// The generation of the policy in the router's file, which survives a restart of the process.
    generation: u64,
    up: bool,
    paused: bool,
    queued_messages: Vec<QueuedMessage>,
}

/// The state of a change at its coordinator.
struct Change {
    coordinator: usize,
    proposed_at: u64,
    votes: BTreeSet<usize>,
    committed: bool,
    acknowledged: BTreeSet<usize>,
}

/// The state of a simulated day. Times are true times in microseconds.
struct World<'a> {
    day: &'a DaySettings,
    baseline: Baseline,
    rng: Pcg64Mcg,
    now: u64,
    events: EventQueue<Event>,
    processes: Vec<Process>,
    blocked_links: BTreeSet<(usize, usize)>,
    changes: BTreeMap<u64, Change>,
    request_times: BTreeMap<u64, Vec<u64>>,
    outcome: BaselineOutcome,
}

/// Simulates and audits one day with a baseline protocol.
pub fn simulate_day(day: &DaySettings, baseline: Baseline) -> BaselineOutcome {
    let process =
        Process { generation: FIRST_GENERATION, up: true, paused: false, queued_messages: Vec::new() };
    let mut world = World {
        day,
        baseline,
        rng: Pcg64Mcg::seed_from_u64(day.seed),
        now: 0,
        events: EventQueue::new(),
        processes: vec![process; day.routers],
        blocked_links: BTreeSet::new(),
        changes: BTreeMap::new(),
        request_times: BTreeMap::new(),
        outcome: BaselineOutcome::default(),
    };
    world.run();
    world.audit();
    world.outcome
}

impl World<'_> {
    fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.events.schedule(self.now + delay_us, event);
    }

    fn faults_over(&self) -> bool {
        self.now >= self.day.fault_duration.as_micros()
    }

    fn run(&mut self) {
        let end = self.day.fault_duration.as_micros() + RECOVERY_US;
        for process in 0..self.processes.len() {
            self.schedule_in(1000 * process as u64, Event::Request { process });
        }
        self.schedule_in(FIRST_PROPOSAL_US, Event::Propose);
        self.schedule_in(FIRST_FAULT_US, Event::Fault);
        while let Some((time, event)) = self.events.pop().filter(|(time, _)| *time < end) {
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { process } => self.handle_request(process),
            Event::Message { from, to, message } => self.deliver(from, to, message),
            Event::Propose => self.propose(),
            Event::Retransmit { generation } => self.retransmit(generation),
            Event::Fault if self.faults_over() => {
                (0..self.processes.len()).for_each(|process| self.recover(process));
            }
            Event::Fault => self.inject_fault(),
            Event::UnblockLinks => self.blocked_links.clear(),
            Event::Recover { process } => self.recover(process),
        }
    }

    fn handle_request(&mut self, index: usize) {
        let mean_us = self.day.request_interval.as_micros();
        let delay_us = self.rng.random_range(mean_us / 2..mean_us * 3 / 2);
        self.schedule_in(delay_us, Event::Request { process: index });
        let process = &self.processes[index];
        if process.up && !process.paused {
            self.outcome.requests += 1;
            self.request_times.entry(process.generation).or_default().push(self.now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let faults_active = !self.faults_over();
        let lost = faults_active && self.day.has("drop") && self.rng.random_bool(0.1);
        if self.blocked_links.contains(&(from, to)) || lost {
            return;
        }
        let late = faults_active && self.day.has("delay") && self.rng.random_bool(0.05);
        let delay_us = if late { self.rng.random_range(0..600_000) } else { 0 };
        let jitter_us = self.rng.random_range(0..self.day.latency_jitter.as_micros());
        let latency_us = self.day.min_latency.as_micros() + jitter_us + delay_us;
        self.schedule_in(latency_us, Event::Message { from, to, message });
    }

    fn broadcast(&mut self, from: usize, message: Message) {
        (0..self.processes.len()).for_each(|to| self.send(from, to, message));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let process = &mut self.processes[to];
        if process.up && process.paused {
            process.queued_messages.push(QueuedMessage { from, message });
        } else if process.up {
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Reload(generation) => self.apply(to, generation),
            Message::Prepare(generation) => self.send(to, from, Message::Vote(generation)),
            Message::Vote(generation) => self.count_vote(from, to, generation),
            Message::Commit(generation) => {
                self.apply(to, generation);
                self.send(to, from, Message::Acknowledge(generation));
            }
            Message::Acknowledge(generation) => {
                if let Some(change) = self.changes.get_mut(&generation) {
                    change.acknowledged.insert(from);
                }
            }
        }
    }

    fn apply(&mut self, process: usize, generation: u64) {
        let process = &mut self.processes[process];
        process.generation = process.generation.max(generation);
    }

    fn count_vote(&mut self, voter: usize, coordinator: usize, generation: u64) {
        let all = self.processes.len();
        let Some(change) = self.changes.get_mut(&generation) else { return };
        change.votes.insert(voter);
        let in_time = self.now < change.proposed_at + VOTE_TIMEOUT_US;
        if change.votes.len() == all && !change.committed && in_time {
            change.committed = true;
            self.broadcast(coordinator, Message::Commit(generation));
        }
    }

    fn propose(&mut self) {
        if self.faults_over() {
            return;
        }
        self.schedule_in(self.day.proposal_interval.as_micros(), Event::Propose);
        let coordinator = self.rng.random_range(0..self.processes.len());
        if !self.processes[coordinator].up || self.processes[coordinator].paused {
            return;
        }
        self.outcome.proposals += 1;
        let generation = FIRST_GENERATION + self.outcome.proposals;
        let change = Change {
            coordinator,
            proposed_at: self.now,
            votes: BTreeSet::new(),
            committed: false,
            acknowledged: BTreeSet::new(),
        };
        self.changes.insert(generation, change);
        match self.baseline {
            Baseline::FileReload => self.broadcast(coordinator, Message::Reload(generation)),
            Baseline::TwoPhaseCommit => {
                self.broadcast(coordinator, Message::Prepare(generation));
                self.schedule_in(RETRANSMIT_INTERVAL_US, Event::Retransmit { generation });
            }
        }
    }

    /// Retransmits the current message of a change, until the change times out or all routers have
    /// acknowledged the commit.
    fn retransmit(&mut self, generation: u64) {
        let Some(change) = self.changes.get(&generation) else { return };
        let (coordinator, committed) = (change.coordinator, change.committed);
        let timed_out = !committed && self.now > change.proposed_at + VOTE_TIMEOUT_US;
        let acknowledged = change.acknowledged.len() == self.processes.len();
        if !self.processes[coordinator].up || timed_out || acknowledged {
            return;
        }
        let message = if committed { Message::Commit(generation) } else { Message::Prepare(generation) };
        self.broadcast(coordinator, message);
        self.schedule_in(RETRANSMIT_INTERVAL_US, Event::Retransmit { generation });
    }

    /// Starts or resumes a process, which then receives the messages that were queued during a pause.
    fn recover(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.up = true;
        process.paused = false;
        for QueuedMessage { from, message } in std::mem::take(&mut process.queued_messages) {
            self.receive(from, index, message);
        }
    }

    fn inject_fault(&mut self) {
        let interval_us = self.rng.random_range(300_000..2_000_000);
        self.schedule_in(interval_us, Event::Fault);
        let faults = ["oneway", "split", "kill", "pause"].into_iter();
        let faults: Vec<&str> = faults.filter(|fault| self.day.has(fault)).collect();
        if faults.is_empty() {
            return;
        }
        let (count, duration_us) = (self.processes.len(), self.rng.random_range(200_000..5_000_000));
        let process = self.rng.random_range(0..count);
        match faults[self.rng.random_range(0..faults.len())] {
            "oneway" => {
                let other = self.rng.random_range(0..count);
                self.blocked_links.insert((process, other));
                self.schedule_in(duration_us, Event::UnblockLinks);
            }
            "split" => {
                let sides: Vec<bool> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
                let links = (0..count * count).map(|pair| (pair / count, pair % count));
                self.blocked_links.extend(links.filter(|(from, to)| sides[*from] != sides[*to]));
                self.schedule_in(duration_us, Event::UnblockLinks);
            }
            "kill" => {
                self.processes[process].up = false;
                self.processes[process].queued_messages.clear();
                self.schedule_in(duration_us, Event::Recover { process });
            }
            _ => {
                self.processes[process].paused = true;
                self.schedule_in(duration_us, Event::Recover { process });
            }
        }
    }

    fn audit(&mut self) {
        let tolerance = 2 * self.day.timings.clock_bound.as_micros();
        let times: Vec<&Vec<u64>> = self.request_times.values().collect();
        for (index, new) in times.iter().enumerate() {
            let first = new.iter().min().copied().unwrap_or(u64::MAX);
            let old = times[..index].iter().flat_map(|times| times.iter());
            let late = old.filter(|time| **time > first + tolerance).count();
            self.outcome.mixed_policy_requests += late as u64;
        }
        self.outcome.activated = times.len() as u64 - 1;
        let newest = self.processes.iter().map(|process| process.generation).max();
        let outdated = self.processes.iter().filter(|process| Some(process.generation) != newest);
        self.outcome.outdated_at_end = outdated.count() as u64;
    }
}
