//! What is agreed by a fleet up to some index of its log: a function of the entries alone, the same at every
//! router.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tindoor_membership::{FleetTime, Incarnation, Member, MemberList};

use crate::Policy;

/// A policy with where it stands among others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub generation: u64,
    pub made_from: u64,
    pub hash: String,
    pub policy: Arc<Policy>,
}

/// What a proposer hands in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Drawn by the proposer: by it the proposal is found again, and taken once.
    pub token: u64,
    pub made_from: u64,
    pub policy: Policy,
    /// The generation that this one undoes.
    pub undoes: Option<u64>,
    pub by: String,
    pub note: String,
}

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first of a fleet: its number and the policy that it begins with.
    Found {
        fleet: u64,
        policy: Policy,
        replica_id: u64,
    },
    Join {
        start: Incarnation,
        listed: Member,
        after: Option<Incarnation>,
    },
    Leave {
        start: Incarnation,
        ended: bool,
    },
    /// Lists that were superseded at or before that index are held by nobody any more.
    Retire {
        before: u64,
    },
    /// Of the `raft` library's own: a leader's first.
    Nothing,
    /// Who votes from here on, by seats, and who does as well until the next of these.
    Voters {
        replica_ids: Vec<u64>,
        leaving: Vec<u64>,
    },
    /// A voter's clock is so far ahead of the fleet's time; none, and it is no longer one of its clocks.
    Clock {
        of: Incarnation,
        ahead: Option<i64>,
    },
    Propose(Proposal),
    Decide {
        generation: u64,
        at: FleetTime,
    },
    CallOff {
        generation: u64,
        why: String,
    },
    /// Its time has passed everywhere.
    Held {
        generation: u64,
    },
    /// Its probation is over.
    Kept {
        generation: u64,
        finding: String,
    },
}

/// A change under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StagedChange {
    pub version: Version,
    pub token: u64,
    pub undoes: Option<u64>,
    pub by: String,
    pub note: String,
    /// The index at which it was proposed.
    pub index: u64,
    /// From when on it decides, once that is agreed.
    pub at: Option<FleetTime>,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It never was one: what it was made from was no longer in force, or another was under way.
    Refused(String),
    CalledOff(String),
    TookHold,
}

/// A change that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastProposal {
    pub token: u64,
    /// None for one that was refused.
    pub generation: Option<u64>,
    pub made_from: u64,
    pub hash: String,
    pub by: String,
    pub note: String,
    pub undoes: Option<u64>,
    pub end: ProposalOutcome,
}

/// What an entry has led to, for logs and for whoever waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    Joined(Incarnation),
    Removed(Incarnation),
    Proposed(u64),
    Refused(u64, String),
    Decided(u64, FleetTime),
    CalledOff(u64, String),
    Held(u64),
    Kept(u64, String),
}

/// Clocks by which a change must be decided at least, as far as there are routers to have them.
const CLOCKS: usize = 2;

/// Changes that are over and kept in mind.
const PAST: usize = 64;

/// All that is agreed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreedState {
    /// The fleet's number; 0 before it is founded.
    pub fleet: u64,
    /// How many entries lead to this.
    pub index: u64,
    pub members: MemberList,
    /// The seats of the voters.
    pub voters: Vec<u64>,
    /// Those before, while both must agree to anything.
    pub leaving: Vec<u64>,
    /// Who last had each of them, and where that one is reached: also one that is listed no more, as its vote may be
    /// what it takes to list it again.
    pub replica_ids: BTreeMap<u64, (Incarnation, String)>,
    /// How far each voter's clock is ahead of the fleet's time, in microseconds.
    pub clocks: BTreeMap<Incarnation, i64>,
    pub in_force: Option<Version>,
    pub staged: Option<StagedChange>,
    /// The generation on probation, and the one before it.
    pub probation: Option<(u64, Version)>,
    pub past: VecDeque<PastProposal>,
    /// The last generation that was given.
    last: u64,
    /// Whether a proposal must be made from what is in force: always, but in an experiment that takes the
    /// guard out.
    #[serde(skip, default = "yes")]
    pub compares: bool,
}

fn yes() -> bool {
    true
}

impl AgreedState {
    pub fn new() -> Self {
        Self { compares: true, ..Self::default() }
    }

    /// Whether that seat has a say now.
    fn votes(&self, replica_id: u64) -> bool {
        self.voters.contains(&replica_id) || self.leaving.contains(&replica_id)
    }

    /// Whether there are clocks enough for a change to be decided by.
    pub fn has_clocks(&self) -> bool {
        self.clocks.len() >= self.members.members().len().min(CLOCKS)
    }

    /// Whether no change waits for its decision: then peers may vouch for each other.
    pub fn is_open(&self) -> bool {
        self.staged.as_ref().is_none_or(|staged| staged.at.is_some())
    }

    /// The generation in force.
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |version| version.generation)
    }

    /// How a proposal ended; none while it is under way, or where it is not known any more.
    pub fn end_of(&self, token: u64) -> Option<&PastProposal> {
        self.past.iter().rev().find(|past| past.token == token)
    }

    /// Takes in the next entry. One that doesn't fit any more changes nothing but the index: it was proposed on
    /// a state that has moved on.
    pub fn apply(&mut self, index: u64, entry: LogEntry) -> Vec<Transition> {
        self.index = index;
        let enough = self.has_clocks();
        match entry {
            LogEntry::Found { fleet, policy, replica_id } if self.fleet == 0 => {
                self.fleet = fleet;
                self.voters = vec![replica_id];
                self.last = 1;
                let hash = policy.hash();
                self.in_force = Some(Version { generation: 1, made_from: 0, hash, policy: Arc::new(policy) });
                vec![Transition::Held(1)]
            }
            LogEntry::Found { .. } => Vec::new(),
            LogEntry::Join { start, listed, after } => {
                if let Some(replica_id) = listed.replica_id.filter(|replica_id| self.votes(*replica_id)) {
                    self.replica_ids.insert(replica_id, (start, listed.address.clone()));
                }
                self.members.add(index, start, listed, after);
                self.forget_clocks();
                vec![Transition::Joined(start)]
            }
            LogEntry::Leave { start, ended } => {
                self.members.remove(index, start, ended);
                self.forget_clocks();
                vec![Transition::Removed(start)]
            }
            LogEntry::Retire { before } => {
                self.members.discard_superseded(before);
                Vec::new()
            }
            LogEntry::Nothing => Vec::new(),
            LogEntry::Voters { replica_ids, leaving } => {
                (self.voters, self.leaving) = (replica_ids, leaving);
                let votes = |listed: &Member| listed.replica_id.filter(|replica_id| self.votes(*replica_id));
                let holds = |(start, listed): (&Incarnation, &Member)| {
                    Some((votes(listed)?, (*start, listed.address.clone())))
                };
                let replica_ids: Vec<(u64, (Incarnation, String))> =
                    self.members.members().iter().filter_map(holds).collect();
                self.replica_ids.extend(replica_ids);
                let (voters, leaving) = (&self.voters, &self.leaving);
                self.replica_ids
                    .retain(|replica_id, _| voters.contains(replica_id) || leaving.contains(replica_id));
                Vec::new()
            }
            LogEntry::Clock { of, ahead } => {
                // Never once a change is decided: its moment is told in the time that this moves.
                match ahead.filter(|_| self.members.contains(of)) {
                    _ if self.staged.as_ref().is_some_and(|staged| staged.at.is_some()) => {}
                    Some(ahead) => drop(self.clocks.insert(of, ahead)),
                    None => drop(self.clocks.remove(&of)),
                }
                Vec::new()
            }
            LogEntry::Propose(proposal) => self.propose(index, proposal),
            LogEntry::Decide { generation, at } => match &mut self.staged {
                // A clock may have gone while this was on its way. One that jumps is seen by another only.
                Some(staged) if staged.version.generation == generation && staged.at.is_none() && enough => {
                    staged.at = Some(at);
                    vec![Transition::Decided(generation, at)]
                }
                _ => Vec::new(),
            },
            LogEntry::CallOff { generation, why } => {
                let fits = |staged: &mut StagedChange| {
                    staged.version.generation == generation && staged.at.is_none()
                };
                let Some(staged) = self.staged.take_if(fits) else { return Vec::new() };
                self.remember(staged, ProposalOutcome::CalledOff(why.clone()));
                vec![Transition::CalledOff(generation, why)]
            }
            LogEntry::Held { generation } => {
                let fits = |staged: &mut StagedChange| {
                    staged.version.generation == generation && staged.at.is_some()
                };
                let Some(staged) = self.staged.take_if(fits) else { return Vec::new() };
                let before = self.in_force.replace(staged.version.clone());
                self.probation = before.filter(|_| staged.undoes.is_none()).map(|old| (generation, old));
                self.remember(staged, ProposalOutcome::TookHold);
                self.forget_clocks();
                vec![Transition::Held(generation)]
            }
            LogEntry::Kept { generation, finding } => {
                if self.probation.take_if(|(on, _)| *on == generation).is_none() {
                    return Vec::new();
                }
                vec![Transition::Kept(generation, finding)]
            }
        }
    }

    /// Clocks of routers that are no longer listed go; but not once a change is decided: what was read of them still
    /// tells its moment, and with one clock left nobody would see it jump.
    fn forget_clocks(&mut self) {
        if self.staged.as_ref().is_none_or(|staged| staged.at.is_none()) {
            let members = &self.members;
            self.clocks.retain(|clock, _| members.contains(*clock));
        }
    }

    fn propose(&mut self, index: u64, proposal: Proposal) -> Vec<Transition> {
        let Proposal { token, made_from, policy, undoes, by, note } = proposal;
        let under_way = self.staged.as_ref().is_some_and(|staged| staged.token == token);
        if under_way || self.end_of(token).is_some() {
            return Vec::new();
        }
        let objection = match &self.staged {
            Some(staged) => Some(format!("generation {} is under way", staged.version.generation)),
            None if self.compares && made_from != self.generation() => {
                Some(format!("made from generation {made_from}, and {} is in force", self.generation()))
            }
            None => match &self.probation {
                Some((on, _)) if undoes != Some(*on) => Some(format!("generation {on} is on probation")),
                _ => None,
            },
        };
        let hash = policy.hash();
        if let Some(why) = objection {
            let end = ProposalOutcome::Refused(why.clone());
            self.keep(PastProposal { token, generation: None, made_from, hash, by, note, undoes, end });
            return vec![Transition::Refused(token, why)];
        }
        self.last += 1;
        let generation = self.last;
        let version = Version { generation, made_from, hash, policy: Arc::new(policy) };
        self.staged = Some(StagedChange { version, token, undoes, by, note, index, at: None });
        vec![Transition::Proposed(generation)]
    }

    fn remember(&mut self, staged: StagedChange, end: ProposalOutcome) {
        let StagedChange {
            version: Version { generation, made_from, hash, .. },
            token,
            undoes,
            by,
            note,
            ..
        } = staged;
        if undoes.is_some() && end == ProposalOutcome::TookHold {
            self.probation = None;
        }
        self.keep(PastProposal {
            token,
            generation: Some(generation),
            made_from,
            hash,
            by,
            note,
            undoes,
            end,
        });
    }

    fn keep(&mut self, past: PastProposal) {
        if self.past.len() == PAST {
            self.past.pop_front();
        }
        self.past.push_back(past);
    }
}
