//! What the leader of the voters sees to: the list, the voters, their clocks, and the one change under way.

use std::collections::BTreeMap;

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};
use tindoor_policy::{Assessment, LogEntry, Probation, Proposal, StagedChange};

use crate::frames::Command;
use crate::node::Node;
use crate::voters::{Replica, plan_membership_change};

/// What a leader knows beyond what is agreed; the next one finds it out anew.
pub struct Leadership {
    since: Moment,
    term: u64,
    /// What each router said of the change under way.
    answers: BTreeMap<Incarnation, Option<String>>,
    of: u64,
    /// The generation whose decision it has proposed: once, with one moment.
    pub(crate) decided: Option<u64>,
    /// What was proposed and may still be on its way.
    proposed: Vec<(LogEntry, Moment)>,
    /// When a change of voters was last proposed.
    changed: Option<Moment>,
    /// Since when the fleet's time can't be told well enough.
    timeless: Option<Moment>,
    probation: Option<Probation>,
}

impl Leadership {
    fn new(now: Moment, term: u64) -> Self {
        let (answers, proposed) = Default::default();
        Self {
            since: now,
            term,
            answers,
            of: 0,
            decided: None,
            proposed,
            changed: None,
            timeless: None,
            probation: None,
        }
    }
}

impl Leadership {
    /// Its clock has jumped: what it waits for is waited for anew. What it has decided stays decided.
    pub(crate) fn jumped(&mut self, now: Moment) {
        self.since = now;
        self.changed = self.changed.map(|_| now);
        self.timeless = None;
        self.proposed.clear();
        self.probation = None;
    }
}

impl Node {
    /// Everything a leader sees to, once a beat.
    pub(crate) fn lead_on(&mut self, now: Moment) {
        let term = self.voter.as_ref().map_or(0, |voter| voter.term());
        let mut lead =
            self.lead.take().filter(|lead| lead.term == term).unwrap_or_else(|| Leadership::new(now, term));
        let again = self.terms.heartbeat_interval * 6.0;
        lead.proposed.retain(|(_, at)| now.since(*at) < again);
        self.lead = Some(lead);
        // A router that was just elected does not know yet all that is committed.
        if self.agreed.fleet == 0 {
            return;
        }
        self.see_to_list(now);
        self.see_to_clocks(now);
        self.see_to_voters(now);
        self.see_to_change(now);
        self.see_to_probation(now);
    }

    /// Proposes an entry, unless it is on its way already.
    fn enter(&mut self, now: Moment, entry: LogEntry) {
        let (Some(voter), Some(lead)) = (&mut self.voter, &mut self.lead) else { return };
        if !lead.proposed.iter().any(|(known, _)| *known == entry) && voter.propose(&entry) {
            lead.proposed.push((entry, now));
        }
    }

    /// A command for the leader, which this router is.
    pub(crate) fn take(&mut self, now: Moment, command: Command) {
        if self.lead.is_none() {
            let term = self.voter.as_ref().map_or(0, |voter| voter.term());
            self.lead = Some(Leadership::new(now, term));
        }
        match command {
            Command::Join { start, listed, after } => {
                let same = self.agreed.members.find_by_name(&listed.name).is_some();
                if self.agreed.members.get(start) != Some(&listed) && (same || self.has_place()) {
                    self.enter(now, LogEntry::Join { start, listed, after });
                }
            }
            Command::Leave { start } => self.leaves(now, start, true),
            Command::Forget { name } => {
                if let Some(start) = self.agreed.members.find_by_name(&name) {
                    self.leaves(now, start, true);
                }
            }
            Command::Answer { generation, start, objection } => {
                let asked = self.agreed.staged.as_ref().is_some_and(|s| s.version.generation == generation);
                if let Some(lead) =
                    self.lead.as_mut().filter(|_| asked && self.agreed.members.contains(start))
                {
                    if lead.of != generation {
                        lead.of = generation;
                        lead.answers.clear();
                    }
                    lead.answers.insert(start, objection);
                }
                self.see_to_change(now);
            }
            Command::Propose(proposal) => {
                if self.agreed.end_of(proposal.token).is_none() {
                    self.enter(now, LogEntry::Propose(proposal));
                }
            }
            Command::Withdraw { generation } => {
                self.enter(now, LogEntry::CallOff { generation, why: "withdrawn".into() });
            }
            Command::Report { .. } => {}
        }
    }

    fn leaves(&mut self, now: Moment, start: Incarnation, ended: bool) {
        if self.agreed.members.contains(start) {
            self.enter(now, LogEntry::Leave { start, ended });
        }
    }

    /// Lists that nobody can hold any more are retired, and those forgotten who were silent for very long.
    fn see_to_list(&mut self, now: Moment) {
        let held = self.terms.quorum_loss_grace
            + self.terms.lease * 2.0
            + self.terms.drift(self.terms.quorum_loss_grace);
        let over = |at: Moment| now.since(at) > held;
        let oldest = self.agreed.members.oldest_superseded();
        if let Some(before) = oldest.filter(|step| self.seen_at(*step).is_some_and(over)) {
            // All that are over by now, at once.
            let last = self.seen.range(before..).take_while(|(_, at)| over(**at)).last();
            let before = last.map_or(before, |(index, _)| *index);
            // While a change is under way it may still be told by the old lists who could vouch for whom.
            if self.agreed.staged.is_none() {
                self.enter(now, LogEntry::Retire { before });
            }
        }
        let since = self.lead.as_ref().map_or(now, |lead| lead.since);
        let own = self.own.start;
        let gone = |start: &&Incarnation| {
            **start != own && self.failure_detector.silence(**start, now, since) > held
        };
        if let Some(start) = self.agreed.members.members().keys().find(gone).copied() {
            self.leaves(now, start, false);
        }
    }

    /// Each keeper's clock is set against the fleet's time; the first one is the fleet's time.
    fn see_to_clocks(&mut self, now: Moment) {
        let decided = self.agreed.staged.as_ref().is_some_and(|staged| staged.at.is_some()) || self.decides();
        if decided || !self.agreed.members.contains(self.own.start) {
            return;
        }
        let (since, own) = (self.lead.as_ref().map_or(now, |lead| lead.since), self.own.start);
        let there =
            |start| start == own || self.failure_detector.silence(start, now, since) < self.terms.lease;
        let keepers = self.time_keepers(there);
        if self.agreed.clocks.is_empty() {
            return self.enter(now, LogEntry::Clock { of: self.own.start, ahead: Some(0) });
        }
        let near = self.terms.clock_bound * 0.25;
        let Some(time) = self.time(now).filter(|time| time.error_bound() <= near) else {
            // Most clocks of the fleet's time are gone, or two do not agree and nobody tells which is off: it begins
            // anew with the leader's, as nothing hangs on it now.
            let timeless = self.lead.as_ref().and_then(|lead| lead.timeless);
            if timeless.is_some_and(|since| now.since(since) > self.terms.lease * 2.0) {
                let others: Vec<Incarnation> =
                    self.agreed.clocks.keys().copied().filter(|of| *of != own).collect();
                others.into_iter().for_each(|of| self.enter(now, LogEntry::Clock { of, ahead: None }));
            }
            self.lead.iter_mut().for_each(|lead| lead.timeless = lead.timeless.or(Some(now)));
            return;
        };
        self.lead.iter_mut().for_each(|lead| lead.timeless = None);
        for of in keepers.iter().copied() {
            let reads = self.clocks.offset_of(&self.terms, of, now);
            let Some(reads) = reads.filter(|reads| reads.error_bound() <= near) else { continue };
            let ahead = match self.agreed.clocks.get(&of) {
                None => {
                    Some(reads.midpoint() + now.since(Moment::default()).as_micros() as i64 - time.midpoint())
                }
                Some(agreed) => {
                    let strays = self.clocks.deviation_of(&self.terms, &self.agreed.clocks, of, now);
                    strays.map(|strays| agreed + strays)
                }
            };
            if ahead.is_some() {
                self.enter(now, LogEntry::Clock { of, ahead });
                return;
            }
        }
        // One that is not to be any more goes once all that are to be are there.
        let clocks = &self.agreed.clocks;
        let gone = clocks.keys().find(|clock| !keepers.contains(clock)).copied();
        if let Some(of) = gone.filter(|_| keepers.iter().all(|keeper| clocks.contains_key(keeper))) {
            self.enter(now, LogEntry::Clock { of, ahead: None });
        }
    }

    fn is_voter(&self, start: Incarnation) -> bool {
        let replica_id = self.agreed.members.get(start).and_then(|listed| listed.replica_id);
        replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id))
    }

    fn voters_listed(&self) -> Vec<Incarnation> {
        self.agreed.members.members().keys().copied().filter(|start| self.is_voter(*start)).collect()
    }

    /// Keeps as many voters as are wanted, and replaces one that is gone.
    fn see_to_voters(&mut self, now: Moment) {
        let lead = self.lead.as_ref().expect("it leads");
        let (since, changed) = (lead.since, lead.changed);
        let lasts =
            |beats: f64| changed.is_some_and(|at| now.since(at) < self.terms.heartbeat_interval * beats);
        if !self.agreed.leaving.is_empty() {
            // Both, those before and those to come, are needed until this is agreed as well. One that is to go can't
            // lead then.
            let stays =
                self.own.replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id));
            let heir = self
                .voters_listed()
                .into_iter()
                .min_by_key(|start| self.failure_detector.silence(*start, now, since));
            let heir = heir.and_then(|start| self.agreed.members.get(start)?.replica_id);
            let done = match (&mut self.voter, heir) {
                _ if lasts(2.0) => false,
                (Some(voter), _) if stays => voter.finish_membership_change(),
                (Some(voter), Some(heir)) => {
                    voter.hand_over(heir);
                    true
                }
                _ => false,
            };
            if done {
                self.lead.as_mut().expect("it leads").changed = Some(now);
            }
            return;
        }
        let Some(own) =
            self.own.replica_id.filter(|_| !lasts(8.0) && self.agreed.members.contains(self.own.start))
        else {
            return;
        };
        let patience = self.terms.lease * 4.0;
        let there = |start: Incarnation| {
            start == self.own.start || self.failure_detector.silence(start, now, since) < patience
        };
        let members = self.agreed.members.members();
        let holder =
            |replica_id: &u64| members.iter().find(|(_, listed)| listed.replica_id == Some(*replica_id));
        let voters: Vec<Replica> = (self.agreed.voters.iter())
            .map(|replica_id| match holder(replica_id) {
                Some((start, listed)) => {
                    Replica { replica_id: *replica_id, location: listed.location, there: there(*start) }
                }
                None => Replica {
                    replica_id: *replica_id,
                    location: u16::MAX,
                    there: now.since(since) <= patience,
                },
            })
            .collect();
        // Just now: a new one that is not there is one less to lose.
        let heard = |start: Incarnation| {
            self.failure_detector.silence(start, now, Moment::default()) < self.terms.heartbeat_interval * 6.0
        };
        let free = |(start, listed): (&Incarnation, &Member)| {
            let replica_id = listed
                .replica_id
                .filter(|replica_id| !self.agreed.voters.contains(replica_id) && heard(*start))?;
            Some(Replica { replica_id, location: listed.location, there: true })
        };
        let free: Vec<Replica> = members.iter().filter_map(free).collect();
        if let Some(membership_change) = plan_membership_change(own, &voters, &free, self.limits.voters)
            && self.voter.as_mut().is_some_and(|voter| voter.plan_membership_change(&membership_change))
        {
            self.lead.as_mut().expect("it leads").changed = Some(now);
        }
    }

    /// The one change under way: decided once nobody objects and the silent can't go on by the old policy.
    fn see_to_change(&mut self, now: Moment) {
        let Some(staged) = self.agreed.staged.clone() else { return };
        let generation = staged.version.generation;
        match staged.at {
            None => self.see_to_decision(now, &staged),
            Some(at) => {
                let passed = match self.time(now) {
                    Some(time) => time.low > at.plus(self.terms.clock_bound).0,
                    // The fleet's time was lost: by the own clock it is surely over.
                    None => self.turned.is_some_and(|(seen, _)| {
                        let most = self.terms.lease * 3.0 + self.terms.clock_bound * 6.0;
                        now.since(seen) > most + self.terms.drift(most)
                    }),
                };
                if passed {
                    self.enter(now, LogEntry::Held { generation });
                }
            }
        }
    }

    fn see_to_decision(&mut self, now: Moment, staged: &StagedChange) {
        let (generation, index) = (staged.version.generation, staged.index);
        let Some(lead) = self.lead.as_ref() else { return };
        let none = BTreeMap::new();
        let answers = if lead.of == generation { &lead.answers } else { &none };
        let name = |start: &Incarnation| {
            self.agreed.members.get(*start).map_or(start.to_string(), |l| l.name.clone())
        };
        if let Some((start, why)) = answers.iter().find_map(|(start, why)| Some((start, why.as_ref()?))) {
            let why = format!("{}: {why}", name(start));
            return self.enter(now, LogEntry::CallOff { generation, why });
        }
        let seen = self.seen_at(index).unwrap_or(now);
        let waited = now.since(seen);
        let (lease, hold_out) = (self.terms.lease, self.terms.quorum_loss_grace);
        let too_long = (lease + hold_out) * 2.0 + self.terms.drift(hold_out);
        if waited > too_long {
            return self.enter(now, LogEntry::CallOff { generation, why: "no decision in time".into() });
        }
        let all = self.agreed.members.members().keys().all(|start| answers.contains_key(start));
        // The silent are waited for a little: they may have an objection. After that they go by it, or stay out.
        let patient = lease * 0.5;
        let decided = match self
            .agreed
            .members
            .rule_out_uninformed_majority(index, |start| answers.contains_key(&start))
        {
            _ if !self.guards.staged => true,
            Ok(()) => all || waited >= patient,
            // More than half of some list is silent: they may live on each other's words until the hold-out.
            Err(superseded) => {
                let since = self.seen_at(superseded).unwrap_or(seen);
                now.since(since) > hold_out + self.terms.drift(hold_out) && waited >= patient
            }
        };
        if !decided || lead.decided == Some(generation) {
            return;
        }
        if let Some(at) = self.ahead(now) {
            let proposed =
                self.voter.as_mut().is_some_and(|voter| voter.propose(&LogEntry::Decide { generation, at }));
            if let Some(lead) = self.lead.as_mut().filter(|_| proposed) {
                lead.decided = Some(generation);
            }
        }
    }

    /// Whether it has proposed a decision that is not yet agreed.
    pub(crate) fn decides(&self) -> bool {
        let undecided = self.agreed.staged.as_ref().filter(|staged| staged.at.is_none());
        let decided = self.lead.as_ref().and_then(|lead| lead.decided);
        self.guards.staged && undecided.is_some_and(|staged| decided == Some(staged.version.generation))
    }

    /// Judges the change on probation, and has it kept or undone.
    fn see_to_probation(&mut self, now: Moment) {
        let Some((generation, before)) = self.agreed.probation.clone() else {
            if let Some(lead) = &mut self.lead {
                lead.probation = None;
            }
            return;
        };
        let began = match self.turned {
            Some((at, [_, new])) if new == generation => at,
            // It was elected since: what it knows of before ends now.
            _ => now,
        };
        let bounds = self.limits.probation;
        let Some(lead) = &mut self.lead else { return };
        if lead.probation.as_ref().is_none_or(|probation| probation.generation() != generation) {
            lead.probation =
                Some(Probation::begin(bounds, &self.tally, [before.generation, generation], began));
        }
        let finding = lead.probation.as_ref().expect("just begun").judge(&self.tally, now);
        let words = match finding {
            Assessment::Open => return,
            Assessment::Harm { location, class, before: was, after } => {
                let note = format!(
                    "in time at location {location}, offering {class}: {was:.3} before, {after:.3} after"
                );
                if let Ok(proposal) = self.rollback_proposal(generation, "probation", &note) {
                    // The same token for as long as this leader leads: it is proposed once.
                    let token = generation.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
                    self.enter(now, LogEntry::Propose(Proposal { token, ..proposal }));
                }
                return;
            }
            Assessment::Trouble { began_before: true } => "kept: trouble that had begun before",
            Assessment::Trouble { .. } => "kept: trouble everywhere alike",
            Assessment::NoHarm => "kept: no harm",
            Assessment::TooLittle => "kept: too little traffic to tell",
        };
        self.enter(now, LogEntry::Kept { generation, finding: words.into() });
    }
}
