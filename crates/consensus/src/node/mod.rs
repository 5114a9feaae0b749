//! The state of a node, its construction, and the methods that its owner calls.

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

/// The index of the first entry in a fleet's log.
const BOOTSTRAP_INDEX: u64 = 1;

/// The consensus node of a router: its part in the agreement, leases and leadership of its fleet.
pub struct Node {
    fleet: String,
    identity: LocalIdentity,
    timings: Timings,
    limits: Limits,
    checks: SafetyChecks,
    seeds: Vec<String>,

    /// The replicated state, as far as it is known here.
    agreed: AgreedState,
    directory: Directory,
    /// The most recently applied entries, encoded. They are consecutive and end at the index of `agreed`.
    recent_entries: VecDeque<Vec<u8>>,
    /// When membership changes, proposals and decisions were first observed here, by index.
    first_observed: BTreeMap<u64, Moment>,
    /// The last decision that was observed here.
    observed_decision: Option<ObservedDecision>,

    clocks: ClockSync,
    lease: Lease,
    failure_detector: FailureDetector,

    replica: Option<Replica>,
    leadership: Option<Leadership>,
    /// The term in which this router is the leader, as last reported to the node's owner. `None` if the
    /// router was last reported not to be the leader.
    reported_term: Option<u64>,
    /// The leader's address, as last reported by a peer.
    reported_leader: Option<String>,
    /// The term and the time of the latest quorum confirmation that this router is the leader. The time is
    /// that of the read request.
    leadership_confirmed: Option<(u64, Moment)>,

    /// When each unanswered status request was sent, by nonce.
    status_requests: BTreeMap<u64, Moment>,
    /// The nonce of the last status request, or 0 if none was sent yet.
    last_nonce: u64,
    /// When each unconfirmed read was requested, by number.
    read_requests: BTreeMap<u64, Moment>,
    /// Submitted commands whose outcome is not yet known.
    pending_commands: VecDeque<Command>,

    /// The results of checking the policy in force and the staged one, by generation: the objection, or
    /// `None` if this router can apply the policy.
    policy_checks: BTreeMap<u64, Option<Objection>>,
    /// The newest generation that `active_policy` returned. The router never returns to an older one.
    newest_used_generation: u64,

    /// Outcomes that were not yet reported, by generation and request class.
    unreported_outcomes: BTreeMap<(u64, u16), OutcomeCount>,
    /// Outcomes that members reported to this voter.
    outcome_window: OutcomeWindow,

    quota: Participant,
    planned_generations: Option<PlannedGenerations>,
    skipped_lenders: SkippedLenders,
    /// Since when this process has been a member. `None` if it is not a member.
    member_since: Option<Moment>,

    rng: Pcg64Mcg,
    /// The number of ticks since the last heartbeat.
    ticks: u32,
    /// The number of heartbeats since the start.
    heartbeats: u32,
    /// Actions that the owner has not yet taken.
    actions: Vec<Action>,
}

impl Node {
    /// Starts a node from its configuration and the stored state of its replica.
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

    /// Bootstraps a fleet with this policy, at the request of its operator. Returns the fleet's number.
    ///
    /// A fleet is bootstrapped only once, by one router.
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
        // This is the first write to the storage. All later writes build on it.
        self.actions.push(Action::Write(log.to_write()));
        let mut replica = Replica::start(replica_id, log)?;
        replica.campaign();
        self.replica = Some(replica);
        self.agreed = agreed;
        self.advance_replica(now);
        Ok(fleet)
    }

    /// Advances the node's time. Must be called once per [`tick_interval`](Self::tick_interval).
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

    /// Returns the interval at which [`tick`](Self::tick) must be called.
    pub fn tick_interval(&self) -> Span {
        self.timings.heartbeat_interval * (1.0 / f64::from(self.limits.ticks_per_heartbeat))
    }

    /// Removes and returns the actions that the owner must perform now, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether there are no actions to perform.
    pub fn is_quiet(&self) -> bool {
        self.actions.is_empty()
    }

    /// Returns whether this router's replica has applied every entry that is part of the replicated state
    /// known here. Returns false if the router has no replica.
    pub fn is_settled(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.applied() >= self.agreed.index)
    }

    /// Returns whether this router is the leader.
    pub fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_leader)
    }

    /// Returns the replicated state, as far as it is known here.
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

/// Decodes the replicated state in the log's snapshot.
fn decode_agreed(log: &RaftLog, checks: SafetyChecks) -> Result<AgreedState, StartError> {
    let mut agreed = if log.snapshot_data().is_empty() {
        AgreedState::new()
    } else {
        postcard::from_bytes(log.snapshot_data()).map_err(|_| StartError::UnreadableSnapshot)?
    };
    agreed.checks_base_generation = checks.compare_generation;
    Ok(agreed)
}
