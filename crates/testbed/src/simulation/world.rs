//! The simulated fleet: its processes, network and clock, and the loop that runs its events.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::time::{Moment, Span};
use tindoor_consensus::{
    Action, Envelope, Limits, LocalIdentity, Node, NodeConfig, Objection, StorageWrite, StoredState,
};
use tindoor_membership::MemberList;
use tindoor_policy::{PolicyVersion, Transition};

use super::day::{DaySettings, WARM_UP};
use super::events::EventQueue;
use super::outcome::DayOutcome;
use super::process::Process;
use super::workload::{OBJECTIONABLE_SETTING, UnreleasedFill};

/// The true time at which a day starts, in microseconds.
const START_US: u64 = 1_000_000;
/// The time from the end of the warm-up to the first fault, in microseconds.
const FIRST_FAULT_DELAY_US: u64 = 200_000;
/// The largest number of routers that join one by one, and for which the size of every message is measured.
pub(super) const SMALL_FLEET: usize = 64;
/// The number of routers whose addresses are in the configuration of each process.
const SEED_ADDRESSES: usize = 5;
/// The longest probation of a policy change. It is short enough that several changes fit into a day.
const MAX_PROBATION: Span = Span::millis(500);

/// An event of a simulated day.
pub(super) enum Event {
    /// A timer tick of a process.
    Tick { process: usize, epoch: u64 },
    /// A request reaches a process.
    Request { process: usize },
    /// A message arrives.
    Message { to: usize, envelope: Box<Envelope> },
    /// The disk has completed a write.
    WriteCompleted { process: usize, epoch: u64, write: Box<StorageWrite> },
    /// The next fault is due.
    Fault,
    /// The next policy change is due.
    Propose,
    /// A paused process resumes.
    Resume { process: usize },
    /// A killed process restarts.
    Restart { process: usize },
    /// All blocked links are unblocked.
    UnblockLinks,
    /// The origin has completed a fill.
    FillCompleted { process: usize, epoch: u64, admitted_at: Moment },
    /// The next sample of all quotas is due.
    SampleQuotas,
    /// The next change of the load factors is due.
    ShiftLoad,
}

/// The state of a simulated day. Times are true times in microseconds, except values of type [`Moment`],
/// which are readings of the clock of a process.
pub(super) struct World {
    pub day: DaySettings,
    pub rng: Pcg64Mcg,
    pub now: u64,
    events: EventQueue<Event>,
    pub processes: Vec<Process>,
    /// The indexes of the processes by address.
    pub indexes_by_address: BTreeMap<String, usize>,
    /// Links from one process to another on which all messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub faults_over: bool,
    pub last_clock_jump: u64,
    /// The time until which the fleet is considered disturbed by the last fault.
    pub disturbed_until: u64,
    /// The times of the requests decided by each generation.
    pub request_times: BTreeMap<u64, Vec<u64>>,
    /// The time of each proposal, by token.
    pub proposal_times: BTreeMap<u64, u64>,
    /// The fill rate in each proposal, by token, in fills per second.
    pub proposed_rates: BTreeMap<u64, f64>,
    /// The times at which fills were started.
    pub fill_times: Vec<u64>,
    pub fills_in_flight: u64,
    pub unreleased_fills: Vec<UnreleasedFill>,
    pub outcome: DayOutcome,
}

impl World {
    /// Starts and bootstraps a fleet, and schedules the first events.
    pub fn new(day: DaySettings) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let processes: Vec<Process> = (0..day.routers).map(|index| Process::new(index, &mut rng)).collect();
        let addresses = processes.iter().enumerate();
        let indexes_by_address = addresses.map(|(index, process)| (process.address.clone(), index)).collect();
        let mut world = Self {
            day,
            rng,
            now: START_US,
            events: EventQueue::new(),
            processes,
            indexes_by_address,
            blocked_links: BTreeSet::new(),
            faults_over: false,
            last_clock_jump: 0,
            disturbed_until: 0,
            request_times: BTreeMap::new(),
            proposal_times: BTreeMap::new(),
            proposed_rates: BTreeMap::new(),
            fill_times: Vec::new(),
            fills_in_flight: 0,
            unreleased_fills: Vec::new(),
            outcome: DayOutcome::default(),
        };
        world.start_fleet();
        world.schedule_first_events();
        world
    }

    fn start_fleet(&mut self) {
        for index in 0..self.processes.len() {
            self.start(index);
        }
        let now = self.local_time(0);
        let initial_policy = self.day.initial_policy();
        let first = self.processes[0].node.as_mut().expect("just started");
        first.bootstrap(now, initial_policy).expect("the first process can bootstrap the fleet");
        if self.day.routers > SMALL_FLEET {
            self.install_member_list();
        }
        for index in 0..self.processes.len() {
            self.execute_actions(index);
        }
    }

    /// Installs the complete member list at all processes of a large fleet, because the simulation of a large
    /// fleet does not test joins.
    fn install_member_list(&mut self) {
        let entries = self.processes.iter().enumerate();
        let members =
            entries.map(|(index, process)| (process.incarnation(index), process.member())).collect();
        let first = self.processes[0].node.as_ref().expect("just started");
        let mut agreed = first.agreed().clone();
        agreed.members = MemberList::new(members);
        // The list takes the place of the second log entry; the leader's own first entry follows it.
        agreed.index = 2;
        for index in 0..self.processes.len() {
            let now = self.local_time(index);
            let node = self.processes[index].node.as_mut().expect("just started");
            node.install_state(now, agreed.clone());
        }
    }

    fn schedule_first_events(&mut self) {
        let warm_up = WARM_UP.as_micros();
        // On a day with a budget, policies are proposed only if a fault requires it, so that undisturbed use
        // of the budget can be measured.
        let changes_budget = ["lower", "proposers", "badchange"].iter().any(|fault| self.day.has(fault));
        if self.day.fills_per_second.is_none() || changes_budget {
            self.schedule_in(warm_up, Event::Propose);
        }
        if !self.day.faults.is_empty() {
            self.schedule_in(warm_up + FIRST_FAULT_DELAY_US, Event::Fault);
        }
        if self.day.fills_per_second.is_some() {
            self.schedule_in(warm_up, Event::SampleQuotas);
        }
        if self.day.has("shift") {
            self.schedule_in(warm_up, Event::ShiftLoad);
        }
    }

    /// Runs the day to its end.
    pub fn run(&mut self) {
        let faults_end = self.now + WARM_UP.as_micros() + self.day.fault_duration.as_micros();
        let end = faults_end + self.day.recovery_duration().as_micros();
        while let Some((time, event)) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if !self.faults_over && self.now >= faults_end {
                self.end_faults();
            }
            self.handle(event);
        }
    }

    /// Schedules an event after a delay, in microseconds.
    pub fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.events.schedule(self.now + delay_us, event);
    }

    /// Returns the current reading of the clock of a process.
    pub fn local_time(&self, process: usize) -> Moment {
        self.processes[process].local_time(self.now)
    }

    /// Returns the running node that has applied the most log entries. `None` if no process is up.
    pub fn most_advanced_node(&self) -> Option<&Node> {
        let nodes = self.processes.iter().filter_map(|process| process.node.as_ref());
        nodes.max_by_key(|node| node.agreed().index)
    }

    /// Prints an event at a process to standard error if tracing is enabled.
    pub fn trace(&self, process: usize, event: &dyn Debug) {
        if self.day.trace {
            eprintln!("{:9.3} n{process}: {event:?}", self.now as f64 / 1e6);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { process, epoch } => self.tick(process, epoch),
            Event::Request { process } => self.generate_request(process),
            Event::Message { to, envelope } => self.deliver(to, *envelope),
            Event::WriteCompleted { process, epoch, write } => self.complete_write(process, epoch, *write),
            Event::Resume { process } => {
                if self.processes[process].paused {
                    self.resume(process);
                }
            }
            Event::Restart { process } => {
                if self.processes[process].node.is_none() {
                    self.trace(process, &"restarted");
                    self.start(process);
                }
            }
            Event::UnblockLinks => self.blocked_links.clear(),
            Event::FillCompleted { process, epoch, admitted_at } => {
                self.complete_fill(process, epoch, admitted_at);
            }
            Event::SampleQuotas => self.sample_quotas(),
            Event::ShiftLoad => self.shift_load(),
            Event::Fault => self.inject_fault(),
            Event::Propose => self.generate_proposals(),
        }
    }

    /// Starts a process from its stored state.
    pub fn start(&mut self, index: usize) {
        let now = self.local_time(index);
        let random_seed = self.rng.random();
        let process = &mut self.processes[index];
        process.start_count += 1;
        process.epoch += 1;
        process.paused = false;
        process.queued_messages.clear();
        let epoch = process.epoch;
        let node =
            Node::start(self.node_config(index, random_seed), now).expect("stored state is consistent");
        self.processes[index].node = Some(node);
        let jitter_us = self.rng.random_range(1..40_000);
        self.schedule_in(jitter_us, Event::Tick { process: index, epoch });
        if epoch == 1 {
            let jitter_us = self.rng.random_range(1..self.day.request_interval.as_micros());
            self.schedule_in(jitter_us, Event::Request { process: index });
        }
        self.execute_actions(index);
    }

    fn node_config(&self, index: usize, random_seed: u64) -> NodeConfig {
        let process = &self.processes[index];
        let identity = LocalIdentity {
            incarnation: process.incarnation(index),
            name: process.name.clone(),
            address: process.address.clone(),
            location: process.location,
            replica_id: process.replica_id,
            predecessor: None,
        };
        let mut limits = Limits::default();
        limits.probation.max_duration = MAX_PROBATION;
        let seeds = self.processes.iter().take(SEED_ADDRESSES);
        NodeConfig {
            fleet: "lab".to_string(),
            identity,
            timings: self.day.timings,
            limits,
            checks: self.day.checks,
            seeds: seeds.map(|seed| seed.address.clone()).collect(),
            stored: process.storage.clone().filter(|stored| *stored != StoredState::default()),
            random_seed,
        }
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, process: usize) {
        self.processes[process].paused = false;
        while let Some(at) = self.unreleased_fills.iter().position(|fill| fill.process == process) {
            let fill = self.unreleased_fills.swap_remove(at);
            self.release_fill(process, fill.admitted_at);
        }
        // Simulates the worst case: a request is handled before all messages that arrived during the pause.
        self.handle_request(process);
        for envelope in std::mem::take(&mut self.processes[process].queued_messages) {
            self.with_node(process, |node, now| node.receive(now, envelope));
        }
    }

    fn tick(&mut self, process: usize, epoch: u64) {
        if self.processes[process].epoch != epoch {
            return;
        }
        let interval_us = self.day.timings.heartbeat_interval.as_micros() / 5;
        self.schedule_in(interval_us, Event::Tick { process, epoch });
        if !self.processes[process].paused {
            self.with_node(process, Node::tick);
        }
    }

    fn complete_write(&mut self, index: usize, epoch: u64, write: StorageWrite) {
        let process = &mut self.processes[index];
        if process.epoch != epoch || process.node.is_none() {
            return;
        }
        let number = write.number;
        process.store(write);
        self.with_node(index, |node, now| node.write_completed(now, number));
    }

    /// Applies a function to the node of a process, if the process is up, and executes the resulting actions.
    pub fn with_node(&mut self, process: usize, apply: impl FnOnce(&mut Node, Moment)) {
        let now = self.local_time(process);
        if let Some(node) = self.processes[process].node.as_mut() {
            apply(node, now);
            self.execute_actions(process);
        }
    }

    /// Executes the actions of a process until none are left.
    pub fn execute_actions(&mut self, process: usize) {
        while let Some(node) = self.processes[process].node.as_mut() {
            for action in node.take_actions() {
                self.execute(process, action);
            }
            if self.processes[process].node.as_ref().is_some_and(Node::is_quiet) {
                return;
            }
        }
    }

    fn execute(&mut self, process: usize, action: Action) {
        match action {
            Action::Send { address, envelope } => self.send(process, &address, envelope),
            Action::Write(write) => self.write(process, write),
            Action::CheckPolicy(version) => self.check_policy(process, &version),
            Action::LeadershipChanged(term) => self.trace(process, &("leadership changed", term)),
            Action::Transition(transition) => {
                self.trace(process, &transition);
                let removed = matches!(transition, Transition::Removed(_));
                self.processes[process].members_removed += u64::from(removed);
            }
        }
    }

    /// Schedules the completion of a write. The disk completes writes one after another.
    fn write(&mut self, process: usize, write: StorageWrite) {
        let epoch = self.processes[process].epoch;
        let duration_us = self.rng.random_range(500..4_000);
        let completed_at = self.now.max(self.processes[process].disk_busy_until) + duration_us;
        self.processes[process].disk_busy_until = completed_at;
        let write = Box::new(write);
        self.events.schedule(completed_at, Event::WriteCompleted { process, epoch, write });
    }

    /// Answers a policy check: the last router objects to policies with [`OBJECTIONABLE_SETTING`], all others
    /// accept every policy.
    fn check_policy(&mut self, process: usize, version: &PolicyVersion) {
        let objects = version.policy.0.contains_key(OBJECTIONABLE_SETTING) && process == self.day.routers - 1;
        let objection = objects
            .then(|| Objection { reason: "an offering would have no cache".to_string(), permanent: true });
        let now = self.local_time(process);
        let node =
            self.processes[process].node.as_mut().expect("only a running node requests a policy check");
        node.policy_checked(now, version.generation, objection);
    }
}
