//! The agreed state of a fleet and how each log entry changes it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tindoor_membership::{FleetTime, Incarnation, Member, MemberList};

use super::{
    LogEntry, OnProbation, PastProposal, PolicyVersion, Proposal, ProposalOutcome, StagedChange, Transition,
};
use crate::Policy;

/// The minimum number of clocks for a change to be decided; a fleet with fewer routers needs one clock for
/// each router. With a single clock, a jump of that clock could not be detected.
const MIN_CLOCKS: usize = 2;

/// The maximum number of past proposals that are kept.
const MAX_PAST_PROPOSALS: usize = 64;

/// The generation of the policy with which a fleet starts.
const FIRST_GENERATION: u64 = 1;

/// The state that a fleet has agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedState {
    /// The fleet's number; 0 before its first entry.
    pub fleet: u64,
    /// The index of the last applied log entry.
    pub index: u64,
    /// The routers of the fleet.
    pub members: MemberList,
    /// The replica ids of the voters.
    pub voters: Vec<u64>,
    /// During a change of voters (joint consensus), the replica ids of the voters before the change; a
    /// majority of them must agree as well. Empty at other times.
    pub outgoing_voters: Vec<u64>,
    /// The last incarnation and address of each voter. A voter that is no longer a member keeps its entry,
    /// because its vote may be needed to elect the leader that adds it to the member list again.
    pub replica_addresses: BTreeMap<u64, (Incarnation, String)>,
    /// The clocks that the fleet's time is derived from: how far each is ahead of the fleet's time, in
    /// microseconds.
    pub clocks: BTreeMap<Incarnation, i64>,
    /// The policy in force; `None` before the first entry.
    pub in_force: Option<PolicyVersion>,
    /// The change that is proposed or decided but not in force yet, if any.
    pub staged: Option<StagedChange>,
    /// The change on probation, if any.
    pub probation: Option<OnProbation>,
    /// The most recent proposals that have ended, oldest first.
    pub past: VecDeque<PastProposal>,
    /// The last generation that was given to a proposal.
    last_generation: u64,
    /// Whether a proposal must be derived from the policy in force. Disabled only in tests that show why the
    /// check is needed.
    #[serde(skip, default = "enabled")]
    pub checks_base_generation: bool,
}

fn enabled() -> bool {
    true
}

impl AgreedState {
    /// Returns the state before the first entry.
    pub fn new() -> Self {
        Self { checks_base_generation: true, ..Self::default() }
    }

    /// Returns whether a replica is a voter, in the old or the new configuration.
    fn is_voter(&self, replica_id: u64) -> bool {
        self.voters.contains(&replica_id) || self.outgoing_voters.contains(&replica_id)
    }

    /// Returns whether there are enough clocks for a change to be decided.
    pub fn has_enough_clocks(&self) -> bool {
        self.clocks.len() >= self.members.members().len().min(MIN_CLOCKS)
    }

    /// Returns whether a proposed change is not decided yet. Routers don't confirm each other's leases until
    /// it is decided or cancelled.
    pub fn has_undecided_change(&self) -> bool {
        self.staged.as_ref().is_some_and(|staged| !staged.is_decided())
    }

    /// Returns whether a change is decided but not activated yet.
    pub fn has_decided_change(&self) -> bool {
        self.staged.as_ref().is_some_and(StagedChange::is_decided)
    }

    /// Returns the generation in force; 0 before the first entry.
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |version| version.generation)
    }

    /// Returns the record of a proposal that has ended; `None` if the proposal is unknown or under way, or if
    /// its record was dropped to keep the most recent ones.
    pub fn past_proposal(&self, token: u64) -> Option<&PastProposal> {
        self.past.iter().rev().find(|past| past.token == token)
    }

    /// Applies the next entry and returns what changed. An entry that is not valid in the current state
    /// changes only the index.
    pub fn apply(&mut self, index: u64, entry: LogEntry) -> Vec<Transition> {
        self.index = index;
        match entry {
            LogEntry::Bootstrap { fleet, policy, replica_id } => self.bootstrap(fleet, policy, replica_id),
            LogEntry::Join { incarnation, member, predecessor } => {
                self.join(index, incarnation, member, predecessor)
            }
            LogEntry::Leave { incarnation, ended } => self.leave(index, incarnation, ended),
            LogEntry::RetireLists { before } => {
                self.members.discard_superseded(before);
                Vec::new()
            }
            LogEntry::NoOp => Vec::new(),
            LogEntry::Voters { replica_ids, outgoing } => self.change_voters(replica_ids, outgoing),
            LogEntry::Clock { incarnation, offset_us } => self.set_clock(incarnation, offset_us),
            LogEntry::Propose(proposal) => self.propose(index, proposal),
            LogEntry::Decide { generation, activation_time } => self.decide(generation, activation_time),
            LogEntry::Cancel { generation, reason } => self.cancel(generation, reason),
            LogEntry::Activated { generation } => self.activate(generation),
            LogEntry::ProbationEnded { generation, finding } => self.end_probation(generation, finding),
        }
    }

    fn bootstrap(&mut self, fleet: u64, policy: Policy, replica_id: u64) -> Vec<Transition> {
        if self.fleet != 0 {
            return Vec::new();
        }
        self.fleet = fleet;
        self.voters = vec![replica_id];
        self.last_generation = FIRST_GENERATION;
        self.in_force = Some(PolicyVersion {
            generation: FIRST_GENERATION,
            base_generation: 0,
            hash: policy.hash(),
            policy: Arc::new(policy),
        });
        vec![Transition::Activated(FIRST_GENERATION)]
    }

    fn join(
        &mut self,
        index: u64,
        incarnation: Incarnation,
        member: Member,
        predecessor: Option<Incarnation>,
    ) -> Vec<Transition> {
        if let Some(replica_id) = member.replica_id.filter(|replica_id| self.is_voter(*replica_id)) {
            self.replica_addresses.insert(replica_id, (incarnation, member.address.clone()));
        }
        self.members.add(index, incarnation, member, predecessor);
        self.remove_clocks_of_non_members();
        vec![Transition::Joined(incarnation)]
    }

    fn leave(&mut self, index: u64, incarnation: Incarnation, ended: bool) -> Vec<Transition> {
        self.members.remove(index, incarnation, ended);
        self.remove_clocks_of_non_members();
        vec![Transition::Removed(incarnation)]
    }

    fn change_voters(&mut self, replica_ids: Vec<u64>, outgoing: Vec<u64>) -> Vec<Transition> {
        self.voters = replica_ids;
        self.outgoing_voters = outgoing;
        for (incarnation, member) in self.members.members() {
            let voter = member.replica_id.filter(|replica_id| {
                self.voters.contains(replica_id) || self.outgoing_voters.contains(replica_id)
            });
            if let Some(replica_id) = voter {
                self.replica_addresses.insert(replica_id, (*incarnation, member.address.clone()));
            }
        }
        let (voters, outgoing) = (&self.voters, &self.outgoing_voters);
        self.replica_addresses
            .retain(|replica_id, _| voters.contains(replica_id) || outgoing.contains(replica_id));
        Vec::new()
    }

    /// Sets or removes a clock's offset, except while a decided change waits for its activation: the
    /// activation time is given in the fleet's time, which a new offset would shift.
    fn set_clock(&mut self, incarnation: Incarnation, offset_us: Option<i64>) -> Vec<Transition> {
        if self.has_decided_change() {
            return Vec::new();
        }
        match offset_us.filter(|_| self.members.contains(incarnation)) {
            Some(offset_us) => drop(self.clocks.insert(incarnation, offset_us)),
            None => drop(self.clocks.remove(&incarnation)),
        }
        Vec::new()
    }

    /// Removes the clocks of routers that are no longer members, except while a decided change waits for its
    /// activation: the readings of these clocks still define the activation time, and if a single clock were
    /// left, a jump of it could not be detected.
    fn remove_clocks_of_non_members(&mut self) {
        if !self.has_decided_change() {
            let members = &self.members;
            self.clocks.retain(|incarnation, _| members.contains(*incarnation));
        }
    }

    fn propose(&mut self, index: u64, proposal: Proposal) -> Vec<Transition> {
        let token = proposal.token;
        let is_staged = self.staged.as_ref().is_some_and(|staged| staged.token == token);
        if is_staged || self.past_proposal(token).is_some() {
            return Vec::new();
        }
        if let Some(reason) = self.objection_to(&proposal) {
            self.record_past(PastProposal::rejected(proposal, reason.clone()));
            return vec![Transition::Rejected(token, reason)];
        }
        self.last_generation += 1;
        let generation = self.last_generation;
        let Proposal { base_generation, policy, reverts, author, note, .. } = proposal;
        let hash = policy.hash();
        let version = PolicyVersion { generation, base_generation, hash, policy: Arc::new(policy) };
        self.staged =
            Some(StagedChange { version, token, reverts, author, note, index, activation_time: None });
        vec![Transition::Proposed(generation)]
    }

    /// Returns the reason why a proposal can't be accepted now, for its author; `None` if it can.
    fn objection_to(&self, proposal: &Proposal) -> Option<String> {
        let Proposal { base_generation, reverts, .. } = proposal;
        if let Some(staged) = &self.staged {
            return Some(format!("generation {} is under way", staged.version.generation));
        }
        if self.checks_base_generation && *base_generation != self.generation() {
            let in_force = self.generation();
            return Some(format!("made from generation {base_generation}, and {in_force} is in force"));
        }
        let OnProbation { generation, .. } = self.probation.as_ref()?;
        (*reverts != Some(*generation)).then(|| format!("generation {generation} is on probation"))
    }

    /// Decides the activation time of a change, unless too few clocks are left: a clock may have been removed
    /// since the leader checked their number, and a jump of the last clock could not be detected.
    fn decide(&mut self, generation: u64, activation_time: FleetTime) -> Vec<Transition> {
        let has_enough_clocks = self.has_enough_clocks();
        match &mut self.staged {
            Some(staged)
                if staged.version.generation == generation && !staged.is_decided() && has_enough_clocks =>
            {
                staged.activation_time = Some(activation_time);
                vec![Transition::Decided(generation, activation_time)]
            }
            _ => Vec::new(),
        }
    }

    fn cancel(&mut self, generation: u64, reason: String) -> Vec<Transition> {
        let staged =
            self.staged.take_if(|staged| staged.version.generation == generation && !staged.is_decided());
        let Some(staged) = staged else { return Vec::new() };
        self.record_past(PastProposal::ended(staged, ProposalOutcome::Cancelled(reason.clone())));
        vec![Transition::Cancelled(generation, reason)]
    }

    fn activate(&mut self, generation: u64) -> Vec<Transition> {
        let staged =
            self.staged.take_if(|staged| staged.version.generation == generation && staged.is_decided());
        let Some(staged) = staged else { return Vec::new() };
        let previous = self.in_force.replace(staged.version.clone());
        // A revert ends the probation of the change that it reverts and is not put on probation itself.
        self.probation = previous
            .filter(|_| staged.reverts.is_none())
            .map(|previous| OnProbation { generation, previous });
        self.record_past(PastProposal::ended(staged, ProposalOutcome::Activated));
        self.remove_clocks_of_non_members();
        vec![Transition::Activated(generation)]
    }

    fn end_probation(&mut self, generation: u64, finding: String) -> Vec<Transition> {
        match self.probation.take_if(|probation| probation.generation == generation) {
            Some(_) => vec![Transition::ProbationEnded(generation, finding)],
            None => Vec::new(),
        }
    }

    fn record_past(&mut self, past: PastProposal) {
        if self.past.len() == MAX_PAST_PROPOSALS {
            self.past.pop_front();
        }
        self.past.push_back(past);
    }
}
