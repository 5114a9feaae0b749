//! One router's part in its fleet: what it knows, what that lets it do, and what it says to others.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};
use tindoor_membership::{
    ClockSync, Confirmation, FailureDetector, FleetTime, Incarnation, Interval, Lease, Member, Timings,
};
use tindoor_policy::{
    AgreedState, Count, LogEntry, OutcomeWindow, Policy, ProbationLimits, Proposal, Transition, Version,
    budgets,
};
use tindoor_quota::Participant;

use crate::frames::{Body, CatchUp, Command, Frame};
use crate::lead::Leadership;
use crate::log::{Log, StorageWrite, StoredState};
use crate::voter::{Progress, Voter};

/// Clocks that the fleet's time is told by, as far as there are routers to have them: of three, one that is off is
/// outvoted.
const CLOCKS: usize = 3;

/// Who this router is.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    pub start: Incarnation,
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    pub location: u16,
    /// Its number among voters, if it may be one: that of its folder, or its start's without one.
    pub replica_id: Option<u64>,
    /// The start before, where that one is proved to have ended.
    pub after: Option<Incarnation>,
}

/// How much of everything.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Voters that are wanted.
    pub voters: usize,
    /// Others that are asked each beat.
    pub asks: usize,
    /// Ticks in a beat.
    pub ticks: u32,
    /// Words of others in one answer.
    pub words: usize,
    /// Entries that are kept for those who know less, and sent at once.
    pub entries: usize,
    /// Questions without answer that are kept in mind.
    pub open: usize,
    /// Commands that wait for their end.
    pub pending: usize,
    /// Beats from one report to the next, and until a command is sent again.
    pub report: u32,
    pub again: u32,
    /// Times a command is passed on.
    pub hops: u8,
    pub probation: ProbationLimits,
    /// Fleets up to so many routers are lent to by the leader itself; in larger ones one of each location lends on.
    pub lent_to: usize,
    /// Questions in a row without answer, after which another of the location is asked.
    pub vain: u32,
    /// By how much this router counts where budgets are divided.
    pub weight: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            voters: 3,
            asks: 2,
            ticks: 5,
            words: 256,
            entries: 512,
            open: 64,
            pending: 16,
            report: 4,
            again: 2,
            hops: 3,
            probation: ProbationLimits::default(),
            lent_to: 64,
            vain: 3,
            weight: 1,
        }
    }
}

/// All stand; an experiment takes one out to see that its audit notices.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Requests are taken only while the lease holds.
    pub lease: bool,
    /// A change is decided a lease ahead, once the silent can't go on by the old policy.
    pub staged: bool,
    /// A proposal is made from what is in force.
    pub compare: bool,
    /// Those of budgets.
    pub shares: tindoor_quota::Guards,
}

impl Default for Guards {
    fn default() -> Self {
        Self { lease: true, staged: true, compare: true, shares: tindoor_quota::Guards::default() }
    }
}

/// Why no request is taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// It is not listed: it has just started, or was taken off the list.
    NotListed,
    /// Its lease is over: it can't know whether its policy still holds.
    NoLease,
    /// A change is near, and it can't tell the fleet's time well enough.
    NoTime,
    /// It can't go by what the others go by.
    Unfit,
}

/// Why a router can't go by a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Objection {
    pub why: String,
    /// It can't at all, and stays out where the policy holds. Else it is of the moment, as when more is in hand than
    /// would be allowed: it speaks against a change, and keeps nobody out once that is decided.
    pub lasts: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: String,
        frame: Frame,
    },
    StorageWrite(StorageWrite),
    /// Say with [`Node::policy_checked`] whether this router could go by that.
    Check(Version),
    /// For the log.
    Transition(Transition),
    /// It leads the voters from now on, in that term; none, and it does no longer.
    Leads(Option<u64>),
}

/// What an operator is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub start: String,
    pub fleet: u64,
    pub index: u64,
    pub generation: u64,
    pub hash: String,
    /// None where requests are taken.
    pub out: Option<UnavailableReason>,
    pub lease_left_ms: u64,
    pub routers: usize,
    pub voters: Vec<String>,
    pub leader: Option<String>,
    /// Half the width of what is known of the fleet's time.
    pub clock_bound_us: Option<u64>,
    pub under_way: Option<String>,
    pub on_probation: Option<u64>,
}

pub struct Node {
    pub(crate) fleet: String,
    pub(crate) own: LocalIdentity,
    pub(crate) terms: Timings,
    pub(crate) limits: Limits,
    pub(crate) guards: Guards,
    pub(crate) agreed: AgreedState,
    /// The listed routers by lot, and seats with whose they are: looked up for each message, so not searched for.
    routers: Vec<Incarnation>,
    replica_ids: BTreeMap<u64, (Incarnation, String)>,
    /// The last entries that were taken in, without a gap up to the index.
    ring: VecDeque<Vec<u8>>,
    pub(crate) clocks: ClockSync,
    pub(crate) lease: Lease,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) voter: Option<Voter>,
    pub(crate) lead: Option<Leadership>,
    /// When lists, proposals and decisions were first seen here, by their index.
    pub(crate) seen: BTreeMap<u64, Moment>,
    pub(crate) tally: OutcomeWindow,
    /// When the last decision was seen, and between which generations.
    pub(crate) turned: Option<(Moment, [u64; 2])>,
    counts: BTreeMap<(u64, u16), Count>,
    asked: BTreeMap<u64, Moment>,
    reads: BTreeMap<u64, Moment>,
    nonce: u64,
    seeds: Vec<String>,
    leader: Option<String>,
    pending: VecDeque<Command>,
    /// What this router says of the policy in force and of a change: why it could not go by it.
    opinions: BTreeMap<u64, Option<Objection>>,
    /// The newest generation that has decided a request here: there is no way back.
    used: u64,
    shares: Participant,
    /// Between which generations what is divided was last made out.
    planned: Option<(u64, u64)>,
    /// Since when this router surely leads, by the last majority that confirmed it, and in which term.
    confirmed: Option<(u64, Moment)>,
    /// How many of the location were passed over as they did not answer, and since when.
    passed: (usize, Moment),
    /// Since when this start is listed.
    listed_since: Option<Moment>,
    /// In which term it was last said to lead.
    led: Option<u64>,
    chance: Pcg64Mcg,
    ticks: u32,
    beats: u32,
    pub(crate) out: Vec<Action>,
}

impl Node {
    /// Takes up its part, with what was kept of its seat, if anything was. `seeds` are where to ask first.
    #[expect(clippy::too_many_arguments, reason = "each is told once, at the start")]
    pub fn start(
        fleet: &str,
        own: LocalIdentity,
        terms: Timings,
        limits: Limits,
        guards: Guards,
        seeds: Vec<String>,
        kept: Option<StoredState>,
        seed: u64,
        now: Moment,
    ) -> Result<Self, String> {
        terms.check()?;
        let mut agreed = AgreedState::new();
        agreed.compares = guards.compare;
        let mut log = Log::default();
        if let Some(kept) = kept {
            log = Log::read(&kept).ok_or("what was kept of the log does not fit together")?;
            if !log.snapshot_data().is_empty() {
                agreed = postcard::from_bytes(log.snapshot_data()).map_err(|_| "a snapshot can't be read")?;
                agreed.compares = guards.compare;
            }
        }
        let voter = match own.replica_id {
            Some(replica_id) => Some(Voter::sit(replica_id, log)?),
            None => None,
        };
        let mut node = Self {
            fleet: fleet.to_string(),
            clocks: ClockSync::new(own.start),
            shares: Participant::new(own.start, terms, guards.shares, limits.weight),
            planned: None,
            confirmed: None,
            passed: (0, now),
            listed_since: None,
            own,
            terms,
            limits,
            guards,
            agreed,
            routers: Vec::new(),
            replica_ids: BTreeMap::new(),
            ring: VecDeque::new(),
            lease: Lease::default(),
            failure_detector: FailureDetector::default(),
            voter,
            lead: None,
            seen: BTreeMap::new(),
            tally: OutcomeWindow::default(),
            turned: None,
            counts: BTreeMap::new(),
            asked: BTreeMap::new(),
            reads: BTreeMap::new(),
            nonce: 0,
            seeds,
            leader: None,
            pending: VecDeque::new(),
            opinions: BTreeMap::new(),
            used: 0,
            led: None,
            chance: Pcg64Mcg::seed_from_u64(seed),
            ticks: 0,
            beats: 0,
            out: Vec::new(),
        };
        node.look_up();
        node.saw_all(now);
        node.progress(now);
        Ok(node)
    }

    /// Founds the fleet with this policy: once, by its operator. Says why it can't.
    pub fn bootstrap(&mut self, now: Moment, policy: Policy) -> Result<u64, String> {
        let Some(replica_id) = self.own.replica_id else { return Err("this router may not vote".into()) };
        if self.agreed.fleet != 0 {
            return Err(format!("fleet {:016x} is founded already", self.agreed.fleet));
        }
        let fleet = self.chance.random_range(1..u64::MAX);
        let mut agreed = AgreedState::new();
        agreed.compares = self.guards.compare;
        agreed.apply(1, LogEntry::Found { fleet, policy, replica_id });
        let data = postcard::to_stdvec(&agreed).expect("plain values have a form");
        let log = Log::begin(data, replica_id);
        // Before anything else of it: the write that makes the log what it is.
        self.out.push(Action::StorageWrite(log.whole()));
        self.voter = Some(Voter::sit(replica_id, log)?);
        self.agreed = agreed;
        self.voter.as_mut().expect("just seated").stand();
        self.progress(now);
        Ok(fleet)
    }

    /// What is to be done since this was last asked.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Whether its voter has taken in all that is agreed, not just heard of it.
    pub fn is_settled(&self) -> bool {
        self.voter.as_ref().is_some_and(|voter| voter.applied() >= self.agreed.index)
    }

    /// Whether nothing is to be done.
    pub fn is_quiet(&self) -> bool {
        self.out.is_empty()
    }

    /// How often [`tick`](Self::tick) is to be called.
    pub fn tick_interval(&self) -> Span {
        self.terms.heartbeat_interval * (1.0 / f64::from(self.limits.ticks))
    }

    pub fn agreed(&self) -> &AgreedState {
        &self.agreed
    }

    pub fn own(&self) -> &LocalIdentity {
        &self.own
    }

    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// Which policy decides a request that is taken now, with its generation; why none does.
    pub fn active_policy(&mut self, now: Moment) -> Result<&Version, UnavailableReason> {
        if !self.agreed.members.contains(self.own.start) {
            return Err(UnavailableReason::NotListed);
        }
        if self.guards.lease && !self.lease.is_valid(now) {
            return Err(UnavailableReason::NoLease);
        }
        if self.is_upset(now) {
            return Err(UnavailableReason::NoTime);
        }
        let staged = self.agreed.staged.as_ref().and_then(|staged| Some((staged, staged.at?)));
        let next = match staged {
            Some((staged, _)) if staged.version.generation <= self.used => true,
            Some((_, at)) => match self.clocks.fleet_time(&self.terms, &self.agreed.clocks, now) {
                Some(time)
                    if time.error_bound() <= self.terms.clock_bound
                        || time.low >= at.0
                        || time.high < at.0 =>
                {
                    time.midpoint() >= at.0
                }
                _ => return Err(UnavailableReason::NoTime),
            },
            None => false,
        };
        let version = match staged.filter(|_| next) {
            Some((staged, _)) => &staged.version,
            None => self.agreed.in_force.as_ref().ok_or(UnavailableReason::NotListed)?,
        };
        let objection = self.opinions.get(&version.generation).and_then(Option::as_ref);
        if objection.is_some_and(|objection| objection.lasts) {
            return Err(UnavailableReason::Unfit);
        }
        let generation = version.generation;
        if self.used < generation {
            self.used = generation;
            self.plan(now);
        }
        self.going_by(generation).ok_or(UnavailableReason::NotListed)
    }

    /// Whether the own clock is not to be trusted: until other clocks agree with what was read since it jumped, or, where
    /// no other clock is agreed of, until all that was reckoned before that has lapsed.
    fn is_upset(&self, now: Moment) -> bool {
        let others = || self.agreed.clocks.keys().any(|clock| *clock != self.own.start);
        self.clocks.untrusted_since().is_some_and(|since| now.since(since) < self.terms.lease || others())
    }

    fn going_by(&self, generation: u64) -> Option<&Version> {
        let staged = self.agreed.staged.as_ref().map(|staged| &staged.version);
        staged.into_iter().chain(&self.agreed.in_force).find(|version| version.generation == generation)
    }

    /// What is divided under the policy that this router goes by, and under the one that is decided.
    fn plan(&mut self, now: Moment) {
        let decided = self.agreed.staged.as_ref().filter(|staged| staged.at.is_some());
        let next = decided.map(|staged| &staged.version).filter(|next| next.generation > self.used);
        let going_by = match decided {
            Some(staged) if staged.version.generation <= self.used => Some(&staged.version),
            _ => self.agreed.in_force.as_ref(),
        };
        let generation = |version: Option<&Version>| version.map_or(0, |version| version.generation);
        let between = (generation(going_by), generation(next));
        if self.planned == Some(between) {
            return;
        }
        let plan = |version: &Version| budgets::plan(&version.policy);
        self.shares.plan(now, going_by.map(plan).unwrap_or_default(), next.map(plan));
        self.planned = Some(between);
    }

    /// How many processes may act as listed ones.
    pub fn possible_members(&self) -> usize {
        self.agreed.members.possible_members()
    }

    /// Whether one more process may come to be listed: each that may spend has its floor kept.
    pub(crate) fn has_place(&self) -> bool {
        let staged = self.agreed.staged.as_ref().map(|staged| &staged.version);
        let most = staged.into_iter().chain(&self.agreed.in_force);
        let most = most.filter_map(|version| budgets::routers_most(&version.policy)).min();
        most.is_none_or(|most| (self.possible_members() as u64) < most)
    }

    /// What this router may spend of the fleet's budgets.
    pub fn quota(&mut self) -> &mut Participant {
        &mut self.shares
    }

    /// Asks for shares, and takes up those of a router that leads.
    fn see_to_shares(&mut self, now: Moment) {
        self.plan(now);
        if !self.agreed.members.contains(self.own.start) {
            self.listed_since = None;
        } else if self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        // A process that had this name before takes no more requests from a lease after it was taken off the list: by
        // then its floor is this one's.
        let lease = self.terms.lease + self.terms.drift(self.terms.lease);
        self.shares.floors(now, self.listed_since.is_some_and(|since| now.since(since) >= lease));
        if self.shares.is_idle() {
            return;
        }
        let term = self.voter.as_ref().filter(|voter| voter.leads()).map(Voter::term);
        match term.filter(|_| self.agreed.members.contains(self.own.start)) {
            Some(term) => {
                let confirmed = self.confirmed.filter(|(of, _)| *of == term).map(|(_, at)| at);
                self.shares.leads(now, term, confirmed);
            }
            None => {
                self.shares.follows();
                if let Some(to) = self.lender(now)
                    && let Some(want) = self.shares.ask(now)
                {
                    self.send(&to, Body::QuotaRequest(want));
                }
            }
        }
        let members = &self.agreed.members;
        self.shares.keep(now, |start| members.contains(start));
    }

    /// Whom to ask: the leader; in a large fleet the first of the own location that answers, which asks the leader.
    fn lender(&mut self, now: Moment) -> Option<String> {
        let listed = self.agreed.members.members();
        if !self.agreed.members.contains(self.own.start) {
            return None;
        }
        if listed.len() > self.limits.lent_to {
            if self.shares.vain() >= self.limits.vain {
                self.shares.turns();
                self.passed = (self.passed.0 + 1, now);
            } else if now.since(self.passed.1) > self.terms.lease * 4.0 {
                self.passed = (0, now);
            }
            let mut here = listed.iter().filter(|(_, other)| other.location == self.own.location);
            if let Some((first, other)) = here.nth(self.passed.0)
                && *first < self.own.start
            {
                return Some(other.address.clone());
            }
        }
        self.leader_address().filter(|leader| *leader != self.own.address)
    }

    /// The policy that decides requests, whether or not this router may take any: for what is told of it.
    pub fn in_force(&self) -> Option<&Version> {
        self.agreed.in_force.as_ref()
    }

    /// The fleet's time now, with its bound.
    pub fn time(&self, now: Moment) -> Option<Interval> {
        self.clocks.fleet_time(&self.terms, &self.agreed.clocks, now)
    }

    /// The own clock is seen to have jumped: nothing that was reckoned by it holds.
    pub fn clock_jumped(&mut self, now: Moment) {
        self.clocks.reset_after_jump(now);
        self.lease.expire();
        self.shares.jumped(now);
        self.confirmed = None;
        self.asked.clear();
        self.reads.clear();
        // What was to be waited for by this clock is waited for anew.
        self.seen.values_mut().for_each(|at| *at = now);
        self.turned = self.turned.map(|(_, between)| (now, between));
        self.lead.iter_mut().for_each(|lead| lead.jumped(now));
    }

    /// Whether this router could go by a change; why not. One that can't go by what is in force stays out.
    pub fn policy_checked(&mut self, now: Moment, generation: u64, objection: Option<Objection>) {
        self.opinions.insert(generation, objection);
        let (in_force, staged) = (self.agreed.generation(), self.agreed.staged.as_ref());
        let staged = staged.map(|staged| staged.version.generation);
        self.opinions.retain(|of, _| *of == in_force || Some(*of) == staged || *of == generation);
        self.say_opinion(now);
        self.progress(now);
    }

    /// Requests that ended, decided under that generation.
    pub fn record_outcomes(&mut self, generation: u64, class: u16, count: Count) {
        self.counts.entry((generation, class)).or_default().add(count);
    }

    /// Has the leader take this in: it is sent until its end is known.
    pub fn submit(&mut self, now: Moment, command: Command) -> Result<(), String> {
        if self.pending.len() >= self.limits.pending {
            return Err("too much is waiting for its end already".into());
        }
        self.pending.push_back(command.clone());
        self.bring(now, 0, command);
        self.progress(now);
        Ok(())
    }

    /// Takes its name off the list: it takes no more requests.
    pub fn leave(&mut self, now: Moment) {
        let start = self.own.start;
        self.bring(now, 0, Command::Leave { start });
        self.progress(now);
    }

    pub fn status(&mut self, now: Moment) -> Status {
        let out = self.active_policy(now).err();
        let name = |replica_id: &u64| {
            let holder =
                self.replica_ids.get(replica_id).and_then(|(start, _)| self.agreed.members.get(*start));
            holder.map_or(format!("{replica_id:016x}"), |listed| listed.name.clone())
        };
        let staged = self.agreed.staged.as_ref().map(|staged| {
            let Version { generation, made_from, hash, .. } = &staged.version;
            let state = if staged.at.is_some() { "decided" } else { "asked" };
            format!("{generation} ({hash}, from {made_from}, by {}): {state}", staged.by)
        });
        Status {
            name: self.own.name.clone(),
            start: self.own.start.to_string(),
            fleet: self.agreed.fleet,
            index: self.agreed.index,
            generation: self.agreed.generation(),
            hash: self.agreed.in_force.as_ref().map(|version| version.hash.clone()).unwrap_or_default(),
            out,
            lease_left_ms: self.lease.remaining(now).as_micros() / 1000,
            routers: self.agreed.members.members().len(),
            voters: self.agreed.voters.iter().map(name).collect(),
            leader: self.leader_address(),
            clock_bound_us: self.time(now).map(|time| time.error_bound().as_micros()),
            under_way: staged,
            on_probation: self.agreed.probation.as_ref().map(|(generation, _)| *generation),
        }
    }

    /// Time has passed: to be called [that often](Self::tick_interval).
    pub fn tick(&mut self, now: Moment) {
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        self.ticks += 1;
        if self.ticks >= self.limits.ticks {
            self.ticks = 0;
            self.beats += 1;
            self.beat(now);
        }
        self.progress(now);
    }

    /// Those writes last, up to that number.
    pub fn write_completed(&mut self, now: Moment, number: u64) {
        if let Some(voter) = &mut self.voter {
            let progress = voter.wrote(number);
            self.heed(now, progress);
        }
        self.progress(now);
    }

    /// A message came, whole.
    pub fn receive(&mut self, now: Moment, frame: Frame) {
        let Frame { fleet, from, address, body } = frame;
        if fleet != self.fleet || from == self.own.start {
            return;
        }
        let known = self.agreed.members.contains(from)
            || !self.agreed.members.contains(self.own.start)
            || self.seeds.contains(&address)
            || self.replica_ids.values().any(|(_, known)| *known == address)
            || self.agreed.members.members().values().any(|listed| listed.address == address);
        match body {
            Body::StatusRequest { nonce, fleet, index, words } => {
                // One that knows of no fleet asks whoever does: all whom it was told to ask first may know as little.
                if self.agreed.fleet == 0 && fleet != 0 {
                    self.ask(now, &address);
                }
                self.tell(now, from, address, nonce, [fleet, index], words)
            }
            Body::Command(hops, command @ Command::Join { .. }) => self.bring(now, hops, command),
            _ if !known => {}
            Body::StatusResponse { .. } => self.told(now, from, body),
            // Room that was lent to one that is not listed would be nobody's until it lapsed.
            Body::QuotaRequest(want) if self.agreed.members.contains(from) => {
                if let Some(lend) = self.shares.asked(now, from, want) {
                    self.send(&address, Body::QuotaGrant(lend));
                }
            }
            Body::QuotaRequest(_) => {}
            Body::QuotaGrant(lend) => self.shares.lent(now, lend),
            Body::Raft(bytes) => {
                if let Some(voter) = &mut self.voter {
                    voter.step(&bytes);
                }
            }
            Body::Command(hops, command) => self.bring(now, hops, command),
        }
        self.progress(now);
    }

    /// Seats' addresses, where they are listed.
    fn seat_address(&self, replica_id: u64) -> Option<&str> {
        self.replica_ids.get(&replica_id).map(|(_, address)| address.as_str())
    }

    /// The list has changed: what is looked up in it is made anew.
    fn look_up(&mut self) {
        let listed = self.agreed.members.members();
        self.routers = listed.keys().copied().collect();
        let replica_id = |(start, listed): (&Incarnation, &Member)| {
            Some((listed.replica_id?, (*start, listed.address.clone())))
        };
        self.replica_ids = self.agreed.replica_ids.clone();
        self.replica_ids.extend(listed.iter().filter_map(replica_id));
    }

    /// The voters that are listed.
    fn voters(&self) -> impl Iterator<Item = Incarnation> {
        self.agreed.voters.iter().filter_map(|replica_id| Some(self.replica_ids.get(replica_id)?.0))
    }

    /// Whose clocks may come to be the fleet's: the voters', and where those are too few also of the first listed.
    fn may_keep_times(&self) -> impl Iterator<Item = Incarnation> {
        let few = self.agreed.voters.len() < CLOCKS;
        let first = self.agreed.members.members().keys().copied().take(if few { 2 * CLOCKS } else { 0 });
        self.voters().chain(first)
    }

    fn may_keep_time(&self, start: Incarnation) -> bool {
        self.agreed.clocks.contains_key(&start) || self.may_keep_times().any(|may| may == start)
    }

    /// Those of them that are to be, as far as they are there: all voters', and others' up to so many.
    pub(crate) fn time_keepers(&self, there: impl Fn(Incarnation) -> bool) -> Vec<Incarnation> {
        let mut keepers: Vec<Incarnation> =
            self.voters().filter(|start| self.agreed.members.contains(*start)).collect();
        let others: Vec<Incarnation> =
            self.may_keep_times().filter(|start| !keepers.contains(start)).collect();
        keepers.extend(
            others.into_iter().filter(|start| there(*start)).take(CLOCKS.saturating_sub(keepers.len())),
        );
        keepers
    }

    fn leader_address(&self) -> Option<String> {
        let replica_id = self.voter.as_ref().map_or(0, Voter::leader);
        match self.seat_address(replica_id).filter(|_| replica_id != 0) {
            Some(address) => Some(address.to_string()),
            None => self.leader.clone(),
        }
    }

    pub(crate) fn send(&mut self, to: &str, body: Body) {
        let LocalIdentity { start, address, .. } = &self.own;
        let frame = Frame { fleet: self.fleet.clone(), from: *start, address: address.clone(), body };
        self.out.push(Action::Send { to: to.to_string(), frame });
    }

    /// Carries out what the voter wants, until it wants nothing more.
    fn progress(&mut self, now: Moment) {
        while let Some(voter) = &mut self.voter {
            let progress = voter.progress();
            if !self.heed(now, progress) {
                break;
            }
        }
        let leads = self.voter.as_ref().filter(|voter| voter.leads()).map(Voter::term);
        if leads != self.led {
            self.led = leads;
            self.out.push(Action::Leads(leads));
        }
    }

    fn heed(&mut self, now: Moment, progress: Progress) -> bool {
        let Progress { messages, writes, installed, agreed, reads } = progress;
        let some = !(messages.is_empty() && writes.is_empty() && installed.is_none() && agreed.is_empty());
        self.out.extend(writes.into_iter().map(Action::StorageWrite));
        if let Some(data) = installed {
            self.whole(now, &data);
        }
        for (index, entry) in agreed {
            self.take_in(now, index, entry);
        }
        for (number, index) in reads {
            if let Some(at) = self.reads.remove(&number) {
                // What is lent by its word must be lent by all that was agreed then.
                if let Some(voter) = self.voter.as_ref().filter(|v| v.leads() && index <= self.agreed.index) {
                    self.confirmed = Some((voter.term(), at)).max(self.confirmed);
                }
                self.lease.confirm_by_quorum(&self.terms, self.agreed.index, Confirmation { index, at });
            }
        }
        for (replica_id, bytes) in messages {
            if let Some(to) = self.seat_address(replica_id).map(str::to_string) {
                self.send(&to, Body::Raft(bytes));
            }
        }
        some
    }

    /// Takes in the next entry, however it came.
    fn take_in(&mut self, now: Moment, index: u64, entry: LogEntry) {
        if index != self.agreed.index + 1 {
            return;
        }
        if matches!(
            entry,
            LogEntry::Join { .. } | LogEntry::Leave { .. } | LogEntry::Propose(_) | LogEntry::Decide { .. }
        ) {
            self.seen.insert(index, now);
        }
        if self.ring.len() == self.limits.entries {
            self.ring.pop_front();
        }
        self.ring.push_back(postcard::to_stdvec(&entry).expect("plain values have a form"));
        let changed = matches!(entry, LogEntry::Voters { .. });
        let decides = if let LogEntry::Decide { generation, .. } = &entry { Some(*generation) } else { None };
        let listed = matches!(entry, LogEntry::Join { .. } | LogEntry::Leave { .. });
        // Who joins has just been heard by somebody. Without this one that comes after long is as silent to the leader
        // as one that was never heard since it leads, and is taken off the list within a beat.
        if let LogEntry::Join { start, .. } = &entry {
            self.failure_detector.record_heartbeat(*start, now);
        }
        for step in self.agreed.apply(index, entry) {
            match &step {
                Transition::Proposed(generation) => self.ask_check(*generation),
                Transition::Decided(generation, _) => {
                    self.turned = Some((now, [self.agreed.generation(), *generation]))
                }
                _ => {}
            }
            self.out.push(Action::Transition(step));
        }
        if listed || changed {
            self.look_up();
        }
        // One that came to nothing decides nothing, at any router: another may follow.
        if decides.is_some()
            && self.agreed.staged.as_ref().is_none_or(|staged| staged.at.is_none())
            && let Some(lead) = &mut self.lead
        {
            lead.decided.take_if(|generation| Some(*generation) == decides);
        }
        if let Some(voter) = &mut self.voter {
            voter.fold(index, changed, &self.agreed);
        }
    }

    fn ask_check(&mut self, generation: u64) {
        if let Some(staged) =
            self.agreed.staged.as_ref().filter(|staged| staged.version.generation == generation)
        {
            self.out.push(Action::Check(staged.version.clone()));
        }
    }

    /// All that is agreed, from somebody who knows more.
    fn whole(&mut self, now: Moment, bytes: &[u8]) {
        if let Ok(agreed) = postcard::from_bytes::<AgreedState>(bytes) {
            self.install_state(now, agreed);
        }
    }

    /// Takes over what is agreed, where it is further than what is known here.
    pub fn install_state(&mut self, now: Moment, mut agreed: AgreedState) {
        let same = self.agreed.fleet == 0 || self.agreed.fleet == agreed.fleet;
        if !same || agreed.fleet == 0 || agreed.index <= self.agreed.index {
            return;
        }
        agreed.compares = self.guards.compare;
        let before = self.agreed.generation();
        self.agreed = agreed;
        self.ring.clear();
        self.look_up();
        self.saw_all(now);
        if self.agreed.generation() != before {
            self.out.push(Action::Transition(Transition::Held(self.agreed.generation())));
        }
        if let Some(version) = self.agreed.in_force.clone() {
            self.out.push(Action::Check(version));
        }
        if let Some(staged) = &self.agreed.staged {
            self.out.push(Action::Check(staged.version.clone()));
        }
    }

    /// What came with a whole state was seen no earlier than now.
    fn saw_all(&mut self, now: Moment) {
        self.seen.clear();
        self.seen.extend(self.agreed.members.oldest_superseded().map(|index| (index, now)));
        self.seen.insert(self.agreed.index, now);
        if let Some(staged) = &self.agreed.staged {
            self.seen.insert(staged.index, now);
            // A decision as well: else one whose fleet has lost the clocks that it was made by waits for it for ever.
            let between = [self.agreed.generation(), staged.version.generation];
            if staged.at.is_some() && self.turned.is_none_or(|(_, known)| known != between) {
                self.turned = Some((now, between));
            }
        }
    }

    /// When that index was surely agreed already.
    pub(crate) fn seen_at(&self, index: u64) -> Option<Moment> {
        self.seen.range(index..).next().map(|(_, at)| *at)
    }

    /// Answers how things stand.
    fn tell(
        &mut self,
        now: Moment,
        _to: Incarnation,
        address: String,
        nonce: u64,
        [fleet, index]: [u64; 2],
        words: bool,
    ) {
        let agreed = &self.agreed;
        if agreed.fleet == 0 || fleet != 0 && fleet != agreed.fleet {
            return;
        }
        let news = if fleet == 0 || index < agreed.index {
            let lacks = agreed.index - index.min(agreed.index);
            match fleet != 0 && lacks <= self.ring.len() as u64 {
                true => {
                    let entries: Vec<_> =
                        self.ring.iter().skip(self.ring.len() - lacks as usize).cloned().collect();
                    CatchUp::Entries { first: index + 1, entries }
                }
                false => CatchUp::Snapshot(postcard::to_stdvec(agreed).expect("plain values have a form")),
            }
        } else {
            CatchUp::None
        };
        let age = |at: Moment| now.since(at).as_micros() + self.terms.drift(now.since(at)).as_micros();
        let mut offsets = Vec::new();
        // One whose clock has jumped lets what others read of it before that stand for a lease. But where all have, as on
        // machines that slept together, nobody would have anything to agree with, ever.
        if self.clocks.untrusted_since().is_none_or(|since| now.since(since) >= self.terms.lease) {
            if self.may_keep_time(self.own.start) {
                offsets.push((self.own.start, Interval { low: 0, high: 0 }));
            }
            let others = agreed.clocks.keys().filter(|clock| **clock != self.own.start);
            offsets.extend(
                others.filter_map(|clock| Some((*clock, self.clocks.offset_of(&self.terms, *clock, now)?))),
            );
        }
        let others =
            if words { self.lease.peer_confirmations(agreed.index, self.limits.words) } else { Vec::new() };
        let body = Body::StatusResponse {
            nonce,
            clock: now.since(Moment::default()).as_micros() as i64,
            offsets,
            index: agreed.index,
            open: agreed.is_open(),
            voters: self.lease.latest_quorum_confirmation().map(|word| (word.index, age(word.at))),
            words: others.into_iter().map(|(start, at)| (start, age(at))).collect(),
            news,
            leader: self.leader_address(),
        };
        self.send(&address, body);
    }

    /// An answer came.
    fn told(&mut self, now: Moment, from: Incarnation, body: Body) {
        let Body::StatusResponse { nonce, clock, offsets, index, open, voters, words, news, leader } = body
        else {
            return;
        };
        // Only what was asked is of use: the moment of the question is what makes an age sure.
        let Some(asked) = self.asked.remove(&nonce) else { return };
        match news {
            CatchUp::None => {}
            CatchUp::Snapshot(bytes) => self.whole(now, &bytes),
            CatchUp::Entries { first, entries } => {
                for (at, bytes) in entries.iter().enumerate() {
                    if let Ok(entry) = postcard::from_bytes(bytes) {
                        self.take_in(now, first + at as u64, entry);
                    }
                }
            }
        }
        self.failure_detector.record_heartbeat(from, now);
        self.clocks.record_exchange(&self.terms, from, [asked, now], clock, &offsets);
        if self.is_upset(now) {
            self.lease.expire();
        }
        let at = |age: u64| {
            asked - Span::micros(age.saturating_add(self.terms.drift(Span::micros(age)).as_micros()))
        };
        if let Some((index, age)) = voters {
            self.lease.confirm_by_quorum(&self.terms, self.agreed.index, Confirmation { index, at: at(age) });
        }
        if open {
            self.lease.confirm_by_peer(from, Confirmation { index, at: asked });
            for (peer, age) in words {
                self.lease.confirm_by_peer(peer, Confirmation { index, at: at(age) });
            }
        }
        if leader.as_deref() != Some(&self.own.address) {
            self.leader = leader.or(self.leader.take());
        }
        self.reckon(now);
    }

    fn reckon(&mut self, now: Moment) {
        // Peers' words are for when the voters' word is old: it costs a look at each.
        if self.lease.remaining(now) > self.terms.lease * 0.6 && self.agreed.members.members().len() > 64 {
            return;
        }
        let word = Confirmation { index: self.agreed.index, at: now };
        let open = self.agreed.is_open() && self.agreed.members.contains(self.own.start);
        let listed = self.agreed.members.members().keys();
        self.lease.renew(&self.terms, word, open, listed, self.own.start);
    }

    /// A router of the list by lot, rarely one that has been silent for long.
    fn some_peer(&mut self, now: Moment, voters_only: bool) -> Option<String> {
        for _ in 0..4 {
            let voters: Vec<Incarnation> = self.voters().filter(|_| voters_only).collect();
            let among = if voters_only { &voters } else { &self.routers };
            if among.is_empty() {
                return None;
            }
            let start = among[self.chance.random_range(0..among.len())];
            let Some(listed) = self.agreed.members.get(start).filter(|_| start != self.own.start) else {
                continue;
            };
            let silent = self
                .failure_detector
                .suspicion(start, now, self.terms.heartbeat_interval * 4.0)
                .is_some_and(|usual| usual > 4.0);
            if !silent || self.chance.random_bool(0.25) {
                return Some(listed.address.clone());
            }
        }
        None
    }

    fn ask(&mut self, now: Moment, to: &str) {
        while self.asked.len() >= self.limits.open {
            self.asked.pop_first();
        }
        // Numbers go up, so the oldest is forgotten first; the first is drawn, so that an answer to an earlier
        // start is no answer to this one.
        self.nonce = if self.nonce == 0 { self.chance.random::<u64>() >> 1 } else { self.nonce + 1 };
        self.asked.insert(self.nonce, now);
        let words = self.lease.remaining(now) < self.terms.lease * 0.7;
        let (fleet, index) = (self.agreed.fleet, self.agreed.index);
        self.send(to, Body::StatusRequest { nonce: self.nonce, fleet, index, words });
    }

    fn beat(&mut self, now: Moment) {
        let listed = self.agreed.members.contains(self.own.start);
        let mut whom: Vec<String> =
            (0..self.limits.asks).filter_map(|_| self.some_peer(now, false)).collect();
        let votes = self.own.replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id));
        if votes {
            whom.extend(self.some_peer(now, true));
        }
        // One that knows nobody who answers asks where it was told to ask first.
        if !listed || whom.is_empty() || self.chance.random_bool(0.1) {
            let seeds: Vec<&String> = self.seeds.iter().filter(|seed| **seed != self.own.address).collect();
            if !seeds.is_empty() {
                whom.push(seeds[self.chance.random_range(0..seeds.len())].clone());
            }
        }
        whom.sort_unstable();
        whom.dedup();
        whom.iter().for_each(|to| self.ask(now, to));
        if !listed && self.agreed.fleet != 0 {
            let LocalIdentity { start, name, address, location, replica_id, after } = self.own.clone();
            let listed = Member { name, address, replica_id, location };
            self.bring(now, 0, Command::Join { start, listed, after });
        }
        if self.beats.is_multiple_of(self.limits.again) {
            self.say_opinion(now);
            self.send_pending(now);
        }
        if self.beats.is_multiple_of(self.limits.report) && listed {
            self.report(now);
        }
        if self.is_leader() {
            // The voters' word: a majority confirms that nobody else leads. None is asked for while a decision is on
            // its way: a word from before it was agreed, asked for after its moment was set, would give a lease
            // beyond that moment.
            if !self.decides() {
                let number = self.chance.random();
                while self.reads.len() >= self.limits.open {
                    self.reads.pop_first();
                }
                self.reads.insert(number, now);
                self.voter.as_mut().expect("it leads").read(number);
            }
            self.lead_on(now);
        } else {
            self.lead = None;
        }
        self.reckon(now);
        self.see_to_shares(now);
        self.forget();
    }

    /// Memory stays bounded by the list.
    fn forget(&mut self) {
        let times: Vec<Incarnation> = self.may_keep_times().collect();
        let agreed = &self.agreed;
        self.clocks.retain(|clock| agreed.clocks.contains_key(&clock) || times.contains(&clock));
        self.lease.retain_peers(|start| agreed.members.contains(start));
        self.failure_detector.retain(|start| agreed.members.contains(start));
        let oldest = agreed
            .members
            .oldest_superseded()
            .into_iter()
            .chain(agreed.staged.as_ref().map(|s| s.index))
            .min();
        // The last few are kept in any case.
        while self.seen.len() > 8
            && self.seen.keys().next().is_some_and(|first| oldest.is_none_or(|o| *first < o))
        {
            self.seen.pop_first();
        }
    }

    fn say_opinion(&mut self, now: Moment) {
        let asked = self.agreed.staged.as_ref().filter(|staged| staged.at.is_none());
        let Some(generation) = asked.map(|staged| staged.version.generation) else { return };
        let Some(objection) = self.opinions.get(&generation) else { return };
        let objection = objection.as_ref().map(|objection| objection.why.clone());
        // One whose time is not sure enough can't confirm.
        let sure = self.time(now).is_some_and(|time| time.error_bound() <= self.terms.clock_bound * 0.5);
        if objection.is_none() && !sure || !self.agreed.members.contains(self.own.start) {
            return;
        }
        self.bring(now, 0, Command::Answer { generation, start: self.own.start, objection });
    }

    fn send_pending(&mut self, now: Moment) {
        let agreed = &self.agreed;
        self.pending.retain(|command| match command {
            Command::Propose(proposal) => {
                let under_way = agreed.staged.as_ref().is_some_and(|staged| staged.token == proposal.token);
                !under_way && agreed.end_of(proposal.token).is_none()
            }
            Command::Withdraw { generation } => {
                let at = |staged: &tindoor_policy::StagedChange| {
                    staged.at.is_none() && staged.version.generation == *generation
                };
                agreed.staged.as_ref().is_some_and(at)
            }
            Command::Forget { name } => agreed.members.find_by_name(name).is_some(),
            _ => false,
        });
        for command in self.pending.clone() {
            self.bring(now, 0, command);
        }
    }

    /// Tells the voters how requests ended here, and that this router is there.
    fn report(&mut self, now: Moment) {
        let counts: Vec<_> =
            std::mem::take(&mut self.counts).into_iter().map(|((of, class), n)| (of, class, n)).collect();
        let report = Command::Report { start: self.own.start, location: self.own.location, counts };
        let replica_ids = self.agreed.voters.clone();
        for replica_id in replica_ids {
            if self.own.replica_id == Some(replica_id) {
                self.reported(now, &report);
            } else if let Some(to) = self.seat_address(replica_id).map(str::to_string) {
                self.send(&to, Body::Command(self.limits.hops, report.clone()));
            }
        }
    }

    fn reported(&mut self, now: Moment, report: &Command) {
        let Command::Report { start, location, counts } = report else { return };
        if !self.agreed.members.contains(*start) {
            return;
        }
        self.failure_detector.record_heartbeat(*start, now);
        let kept = self.limits.probation.before + self.limits.probation.lasts + Span::secs(5.0);
        for (generation, class, count) in counts {
            self.tally.add(now, kept, *generation, (*location, *class), *count);
        }
    }

    /// Brings a command to the leader: here, or a step nearer.
    fn bring(&mut self, now: Moment, hops: u8, command: Command) {
        if matches!(command, Command::Report { .. }) {
            return self.reported(now, &command);
        }
        if self.is_leader() {
            return self.take(now, command);
        }
        if hops >= self.limits.hops {
            return;
        }
        let leader = self.leader_address().filter(|leader| *leader != self.own.address);
        let to = leader.or_else(|| self.some_peer(now, false)).or_else(|| {
            let seeds: Vec<&String> = self.seeds.iter().filter(|seed| **seed != self.own.address).collect();
            (!seeds.is_empty()).then(|| seeds[self.chance.random_range(0..seeds.len())].clone())
        });
        if let Some(to) = to {
            self.send(&to, Body::Command(hops + 1, command));
        }
    }

    /// A number for a proposal.
    pub fn new_token(&mut self) -> u64 {
        self.chance.random()
    }

    /// A proposal to undo a generation: the policy before it, as a change of its own.
    pub fn rollback_proposal(&mut self, generation: u64, by: &str, note: &str) -> Result<Proposal, String> {
        match &self.agreed.probation {
            Some((on, before)) if *on == generation => {
                let (policy, token) = ((*before.policy).clone(), self.chance.random());
                let (by, note) = (by.to_string(), note.to_string());
                Ok(Proposal { token, made_from: generation, policy, undoes: Some(generation), by, note })
            }
            _ => Err(format!("generation {generation} is not on probation: propose the old values instead")),
        }
    }

    /// When a decision is to hold, if it were made now.
    pub(crate) fn ahead(&self, now: Moment) -> Option<FleetTime> {
        let time = self.time(now)?;
        if !self.guards.staged {
            return Some(FleetTime(time.midpoint()));
        }
        if time.error_bound() > self.terms.clock_bound * 0.5 || !self.agreed.has_clocks() {
            return None;
        }
        let lease = self.terms.lease + self.terms.drift(self.terms.lease);
        Some(FleetTime(time.high).plus(lease + self.terms.clock_bound * 2.0))
    }
}
