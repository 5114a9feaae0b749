//! The state of a node, its construction, and what its owner calls at events.

mod activation;
mod clocks;
mod commands;
mod entries;
mod heartbeat;
mod leader;
mod members;
mod outcomes;
mod quota;
mod replica_output;
mod status;
mod status_exchange;

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::time::{Moment, Span};
use tindoor_membership::{ClockSync, FailureDetector, Lease, Timings};
use tindoor_policy::{AgreedState, LogEntry, OutcomeCount, OutcomeWindow, Policy};
use tindoor_quota::Participant;

use self::activation::ObservedDecision;
use self::members::Directory;
use self::quota::{PlannedGenerations, SkippedLenders};
use crate::actions::{Action, Objection};
use crate::config::{Limits, LocalIdentity, NodeConfig, SafetyChecks};
use crate::errors::{BootstrapError, StartError};
use crate::leadership::Leadership;
use crate::messages::{Command, Envelope, Message};
use crate::replica::Replica;
use crate::storage::{RaftLog, StoredState};

/// The index of the first entry of a fleet's log.
const BOOTSTRAP_INDEX: u64 = 1;

/// One router's part in its fleet.
pub struct Node {
    fleet: String,
    identity: LocalIdentity,
    timings: Timings,
    limits: Limits,
    checks: SafetyChecks,
    seeds: Vec<String>,

    agreed: AgreedState,
    directory: Directory,
    /// The last entries that were applied, encoded, without a gap up to the index.
    recent_entries: VecDeque<Vec<u8>>,
    /// When changes of the members, proposals and decisions were first observed here, by index.
    first_observed: BTreeMap<u64, Moment>,
    /// The last decision that was observed.
    observed_decision: Option<ObservedDecision>,

    clocks: ClockSync,
    lease: Lease,
    failure_detector: FailureDetector,

    replica: Option<Replica>,
    leadership: Option<Leadership>,
    /// The term in which this router leads, as last reported to its owner.
    reported_term: Option<u64>,
    /// Where the leader is reached, as peers tell.
    reported_leader: Option<String>,
    /// When a quorum last confirmed that this router leads, and in which term.
    leadership_confirmed: Option<(u64, Moment)>,

    /// When status requests without a response were sent, by nonce.
    status_requests: BTreeMap<u64, Moment>,
    last_nonce: u64,
    /// When reads that are not yet confirmed were requested, by number.
    read_requests: BTreeMap<u64, Moment>,
    pending_commands: VecDeque<Command>,

    /// Whether this router can apply the policy in force and a staged one, by generation.
    policy_checks: BTreeMap<u64, Option<Objection>>,
    /// The newest generation by which a request was decided here. The router never returns to an older one.
    newest_used_generation: u64,

    /// Outcomes that are not yet reported, by generation and request class.
    unreported_outcomes: BTreeMap<(u64, u16), OutcomeCount>,
    /// Outcomes that members reported to this voter.
    outcome_window: OutcomeWindow,

    quota: Participant,
    planned_generations: Option<PlannedGenerations>,
    skipped_lenders: SkippedLenders,
    /// Since when this process is a member.
    member_since: Option<Moment>,

    rng: Pcg64Mcg,
    ticks: u32,
    heartbeats: u32,
    actions: Vec<Action>,
}

impl Node {
    /// Starts a node, with what its replica's storage holds.
    pub fn start(config: NodeConfig, now: Moment) -> Result<Self, StartError> {
        let NodeConfig { fleet, identity, timings, limits, checks, seeds, stored, random_seed } = config;
        timings.check()?;
        let log = stored.as_ref().map(decode_log).transpose()?.unwrap_or_default();
        let agreed = decode_agreed(&log, checks)?;
        let replica = identity.replica_id.map(|replica_id| Replica::start(replica_id, log)).transpose()?;
        let mut node = Self {
            clocks: ClockSync::new(identity.incarnation),
            quota: Participant::new(identity.incarnation, timings, checks.quota, limits.quota_weight),
            fleet,
            identity,
            timings,
            limits,
            checks,
            seeds,
            agreed,
            directory: Directory::default(),
            recent_entries: VecDeque::new(),
            first_observed: BTreeMap::new(),
            observed_decision: None,
            lease: Lease::default(),
            failure_detector: FailureDetector::default(),
            replica,
            leadership: None,
            reported_term: None,
            reported_leader: None,
            leadership_confirmed: None,
            status_requests: BTreeMap::new(),
            last_nonce: 0,
            read_requests: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            policy_checks: BTreeMap::new(),
            newest_used_generation: 0,
            unreported_outcomes: BTreeMap::new(),
            outcome_window: OutcomeWindow::default(),
            planned_generations: None,
            skipped_lenders: SkippedLenders { count: 0, since: now },
            member_since: None,
            rng: Pcg64Mcg::seed_from_u64(random_seed),
            ticks: 0,
            heartbeats: 0,
            actions: Vec::new(),
        };
        node.directory = Directory::new(&node.agreed);
        node.observe_installed_state(now);
        node.advance_replica(now);
        Ok(node)
    }

    /// Bootstraps the fleet with this policy: once, by its operator. Returns the fleet's number.
    pub fn bootstrap(&mut self, now: Moment, policy: Policy) -> Result<u64, BootstrapError> {
        let Some(replica_id) = self.identity.replica_id else { return Err(BootstrapError::NotAVoter) };
        if self.agreed.fleet != 0 {
            return Err(BootstrapError::AlreadyBootstrapped { fleet: self.agreed.fleet });
        }
        let fleet = self.rng.random_range(1..u64::MAX);
        let mut agreed = AgreedState::new();
        agreed.checks_base_generation = self.checks.compare_generation;
        agreed.apply(BOOTSTRAP_INDEX, LogEntry::Bootstrap { fleet, policy, replica_id });
        let data = postcard::to_stdvec(&agreed).expect("plain values can be encoded");
        let log = RaftLog::bootstrap(data, replica_id);
        // The first write of this storage: all later ones continue it.
        self.actions.push(Action::Write(log.to_write()));
        let mut replica = Replica::start(replica_id, log)?;
        replica.campaign();
        self.replica = Some(replica);
        self.agreed = agreed;
        self.advance_replica(now);
        Ok(fleet)
    }

    /// Advances the node's time; to be called each [`tick_interval`](Self::tick_interval).
    pub fn tick(&mut self, now: Moment) {
        if let Some(replica) = &mut self.replica {
            replica.tick();
        }
        self.ticks += 1;
        if self.ticks >= self.limits.ticks_per_heartbeat {
            self.ticks = 0;
            self.heartbeats += 1;
            self.heartbeat(now);
        }
        self.advance_replica(now);
    }

    /// How often [`tick`](Self::tick) is to be called.
    pub fn tick_interval(&self) -> Span {
        self.timings.heartbeat_interval * (1.0 / f64::from(self.limits.ticks_per_heartbeat))
    }

    /// Takes the actions that have become due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether no action is due.
    pub fn is_quiet(&self) -> bool {
        self.actions.is_empty()
    }

    /// Whether its replica has applied all that this router knows to be agreed.
    pub fn is_settled(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.applied() >= self.agreed.index)
    }

    /// Whether this router leads the voters.
    pub fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_leader)
    }

    /// The replicated state, as far as it is known here.
    pub fn agreed(&self) -> &AgreedState {
        &self.agreed
    }

    fn send(&mut self, address: &str, message: Message) {
        let envelope = Envelope {
            fleet: self.fleet.clone(),
            sender: self.identity.incarnation,
            sender_address: self.identity.address.clone(),
            message,
        };
        self.actions.push(Action::Send { address: address.to_string(), envelope });
    }

    fn is_member(&self) -> bool {
        self.agreed.members.contains(self.identity.incarnation)
    }
}

fn decode_log(stored: &StoredState) -> Result<RaftLog, StartError> {
    RaftLog::decode(stored).ok_or(StartError::InconsistentLog)
}

/// The replicated state of the log's snapshot.
fn decode_agreed(log: &RaftLog, checks: SafetyChecks) -> Result<AgreedState, StartError> {
    let mut agreed = if log.snapshot_data().is_empty() {
        AgreedState::new()
    } else {
        postcard::from_bytes(log.snapshot_data()).map_err(|_| StartError::UnreadableSnapshot)?
    };
    agreed.checks_base_generation = checks.compare_generation;
    Ok(agreed)
}
