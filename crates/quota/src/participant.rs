//! One router's part in dividing the fleet's budgets: its purses, what it lends on, and what it asks of whom it has
//! its shares from. The router that leads the voters has the whole; all others have what they are lent.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};

use crate::ledger::{Claim, Grant, Guarding, LeaseLedger};
use crate::token_bucket::TokenBucket;
use crate::{BudgetKey, BudgetLimit, Quota};

/// What each line's whole is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// By budget, the same for every member of its scope.
    pub any: BTreeMap<u16, BudgetLimit>,
    /// Of single lines.
    pub one: BTreeMap<BudgetKey, BudgetLimit>,
}

impl Plan {
    pub fn whole(&self, key: BudgetKey) -> Option<&BudgetLimit> {
        self.any.get(&key.budget).or_else(|| self.one.get(&key))
    }

    pub fn is_empty(&self) -> bool {
        self.any.is_empty() && self.one.is_empty()
    }
}

/// A router asks for its shares, and says of each line all that it might still spend. What it does not name it does
/// not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Goes up with each question of one start; with a new one, answers to earlier ones are void.
    pub nonce: u64,
    pub keys: Vec<KeyDemand>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyDemand {
    pub key: BudgetKey,
    pub wants: Quota,
    pub weight: u64,
    pub holds: Quota,
    /// The term of the leader that lent this by itself; 0 where another did.
    pub term: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    pub nonce: u64,
    /// The giver's term where it leads; 0 where it lends on what it was lent.
    pub term: u64,
    pub shares: Vec<Granted>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    pub key: BudgetKey,
    pub quota: Quota,
    /// Microseconds that it lasts from the question on.
    pub left: u64,
}

/// All stand; an experiment takes one out to see that its audit notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// What was lent counts as out until it has lapsed.
    pub lapse: bool,
    /// A new leader waits until all that its predecessor lent has lapsed, but for what it is shown.
    pub epoch: bool,
    /// What was lent counts as out until its holder says that it holds less.
    pub returned: bool,
    /// A burst that moves comes empty.
    pub burst: bool,
    /// One whose lease is over spends its floor alone.
    pub wakes: bool,
    /// The floors of all that may belong are kept out of what is divided.
    pub floor: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { lapse: true, epoch: true, returned: true, burst: true, wakes: true, floor: true }
    }
}

/// One line as this router knows it.
#[derive(Clone, Debug)]
struct Held {
    bucket: TokenBucket,
    ledger: LeaseLedger,
    /// By whom the income was lent: a leader's term, or 0.
    term: u64,
}

/// This router leads the voters.
#[derive(Clone, Copy, Debug)]
struct Lead {
    term: u64,
    /// Since when it surely did, by the last majority that confirmed it.
    confirmed: Option<Moment>,
    /// From when on it lends what was not shown to it.
    open: Option<Moment>,
}

/// One router's part.
#[derive(Clone, Debug)]
pub struct Participant {
    own: Incarnation,
    terms: Timings,
    guards: Guards,
    weight: u64,
    plan: Plan,
    /// What holds next, once a change is decided: what is lent then must fit both.
    next: Option<Plan>,
    /// Whether its floors are its own yet.
    floors: bool,
    keys: BTreeMap<BudgetKey, Held>,
    lead: Option<Lead>,
    asked: Option<(u64, Moment)>,
    nonce: u64,
    /// Questions in a row that were not answered.
    vain: u32,
    /// The last question of each that asks here.
    heard: BTreeMap<Incarnation, (u64, Moment)>,
}

/// Lines that are known at once, so that one message names all, and those who ask here.
const LINES: usize = 1024;
const ASKERS: usize = 8192;

/// The most that one counts, so that sums stay within their numbers.
const HEAVIEST: u64 = 1 << 40;

/// How long a line is kept that nobody wants anything of.
const RESTS: Span = Span::millis(30_000);

impl Participant {
    pub fn new(own: Incarnation, terms: Timings, guards: Guards, weight: u64) -> Self {
        Self {
            own,
            terms,
            guards,
            weight: weight.max(1),
            plan: Plan::default(),
            next: None,
            floors: false,
            keys: BTreeMap::new(),
            lead: None,
            asked: None,
            nonce: 0,
            vain: 0,
            heard: BTreeMap::new(),
        }
    }

    /// What holds at this router now, and what will.
    pub fn plan(&mut self, now: Moment, plan: Plan, next: Option<Plan>) {
        (self.plan, self.next) = (plan, next);
        self.keys.retain(|key, _| self.plan.whole(*key).is_some());
        self.cut(now);
    }

    /// Whether the floors of this start are its own: a process that had its name before may not spend them any more.
    pub fn floors(&mut self, now: Moment, own: bool) {
        if self.floors != own {
            self.floors = own;
            self.cut(now);
        }
    }

    /// What is at hand is cut to what holds.
    fn cut(&mut self, now: Moment) {
        let (plan, floors) = (&self.plan, self.floors);
        for (key, held) in &mut self.keys {
            if let Some(whole) = plan.whole(*key) {
                held.bucket.change(now, own(whole, floors));
            }
        }
    }

    /// Whether anything is divided at all.
    pub fn is_idle(&self) -> bool {
        self.plan.is_empty() && self.next.is_none()
    }

    fn held(&mut self, now: Moment, key: BudgetKey) -> Option<&mut Held> {
        let whole = self.plan.whole(key)?;
        if !self.keys.contains_key(&key) && self.keys.len() >= LINES {
            return None;
        }
        let (full, floors) = (!self.guards.burst, self.floors);
        Some(self.keys.entry(key).or_insert_with(|| {
            let mut bucket = TokenBucket::new(own(whole, floors), now);
            bucket.comes_full = full;
            Held { bucket, ledger: LeaseLedger::default(), term: 0 }
        }))
    }

    /// Whether one unit of each of these could be spent now. What is not limited can.
    pub fn affords(&mut self, now: Moment, keys: &[BudgetKey]) -> bool {
        keys.iter().all(|key| {
            self.plan.whole(*key).is_none()
                || self.held(now, *key).is_some_and(|held| held.bucket.affords(now))
        })
    }

    /// Spends one of each, or nothing.
    pub fn spend(&mut self, now: Moment, keys: &[BudgetKey]) -> bool {
        if !self.affords(now, keys) {
            self.refused(now, keys);
            return false;
        }
        for key in keys {
            if let Some(held) = self.keys.get_mut(key) {
                held.bucket.charge(now);
            }
        }
        true
    }

    /// Of these one each was wanted, and not all were to be had.
    pub fn refused(&mut self, now: Moment, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(held) = self.held(now, *key) {
                held.bucket.refused(now);
            }
        }
    }

    /// What was spent then is over; where it was not used it comes back: a hit fills nothing.
    pub fn settled(&mut self, now: Moment, spent: Moment, keys: &[BudgetKey], used: bool) {
        for key in keys {
            if let Some(held) = self.keys.get_mut(key) {
                held.bucket.settled(now, spent, used);
            }
        }
    }

    /// What was spent then of levels is over.
    pub fn ended(&mut self, spent: Moment, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(held) = self.keys.get_mut(key) {
                held.bucket.ended(spent);
            }
        }
    }

    /// This router's part of something; none where it is not divided.
    pub fn part(&mut self, now: Moment, key: BudgetKey) -> Option<f64> {
        let held = self.held(now, key)?;
        held.bucket.refused(now);
        Some(held.bucket.part(now))
    }

    /// What may be spent of a line now, and of how much; for whoever looks.
    pub fn shares(&mut self, now: Moment) -> Vec<(BudgetKey, Quota, Quota)> {
        let of = |(key, held): (&BudgetKey, &Held)| (*key, held.bucket.quota(now), held.bucket.whole().quota);
        self.keys.iter().map(of).collect()
    }

    /// All that this router itself might still spend of each line, its floor in it.
    pub fn might_spend(&mut self, now: Moment) -> Vec<(BudgetKey, Quota)> {
        let of = |(key, held): (&BudgetKey, &mut Held)| {
            (*key, held.bucket.holds(now).plus(held.bucket.whole().floor))
        };
        self.keys.iter_mut().map(of).collect()
    }

    /// This router leads in that term, and surely did at `confirmed`. The words of the majority are those by which a
    /// lease is reckoned as well.
    pub fn leads(&mut self, now: Moment, term: u64, confirmed: Option<Moment>) {
        if self.lead.is_none_or(|lead| lead.term != term) {
            if self.lead.is_some() {
                self.deposed();
            }
            self.lead = Some(Lead { term, confirmed: None, open: None });
        }
        let wait = if self.guards.epoch { self.over() } else { Span::ZERO };
        let lead = self.lead.as_mut().expect("just set");
        lead.confirmed = lead.confirmed.max(confirmed);
        // Whoever led before was confirmed before this one was elected: what it lent has lapsed a lease later.
        lead.open = lead.open.or(confirmed.map(|confirmed| confirmed + wait));
        let keys: Vec<BudgetKey> = self.keys.keys().copied().collect();
        keys.into_iter().for_each(|key| self.earn(key));
        self.settle(now);
    }

    /// The longest that something lent just now may last here, by the slowest clock.
    fn over(&self) -> Span {
        self.terms.lease + self.terms.drift(self.terms.lease)
    }

    /// The leader's income of a line, for a lease from when it surely led: the whole without the floors, by all that may
    /// hold meanwhile.
    fn earn(&mut self, key: BudgetKey) {
        let Some(confirmed) = self.lead.and_then(|lead| lead.confirmed) else { return };
        let until = confirmed + self.terms.lease - self.terms.drift(self.terms.lease);
        let floors = self.guards.floor;
        let divided = |whole: &BudgetLimit| if floors { whole.divided() } else { whole.quota };
        let [now, next] = [Some(&self.plan), self.next.as_ref()].map(|plan| plan.and_then(|p| p.whole(key)));
        let income = [now, next].into_iter().flatten().map(divided).reduce(Quota::least);
        if let (Some(income), Some(held)) = (income, self.keys.get_mut(&key)) {
            held.ledger.earn(income, until);
        }
    }

    /// This router does not lead: what others were lent by it they show to its successor.
    pub fn follows(&mut self) {
        if self.lead.take().is_some() {
            self.deposed();
        }
    }

    fn deposed(&mut self) {
        let term = self.lead.map_or(0, |lead| lead.term);
        for held in self.keys.values_mut() {
            held.ledger.forget();
            held.term = term;
        }
        self.heard.clear();
    }

    /// The own clock has jumped: nothing that was reckoned by it holds.
    pub fn jumped(&mut self, now: Moment) {
        let (guards, weight, nonce) = (self.guards, self.weight, self.nonce);
        let (plan, next) = (std::mem::take(&mut self.plan), self.next.take());
        let levels = std::mem::take(&mut self.keys);
        *self = Self::new(self.own, self.terms, guards, weight);
        (self.plan, self.next, self.nonce) = (plan, next, nonce);
        // What is in hand stays so; nothing else does.
        for (key, mut held) in levels {
            held.bucket.jumped(now);
            held.ledger.forget();
            self.keys.insert(key, Held { term: 0, ..held });
        }
    }

    /// Takes what this router may spend out of what it was lent.
    fn settle(&mut self, now: Moment) {
        let keys: Vec<BudgetKey> = self.keys.keys().copied().collect();
        for key in keys {
            let held = self.keys.get_mut(&key).expect("it is known");
            let ((wants, weight), holds) = (held.bucket.wants(now), held.bucket.holds(now));
            let weight = if weight == 0 { self.weight } else { weight };
            let ask = KeyDemand { key, wants, weight, holds, term: held.term };
            if let Some(given) = self.lend(now, self.own, ask) {
                let held = self.keys.get_mut(&key).expect("it is known");
                let until = if self.guards.wakes { given.until } else { Moment::at_micros(u64::MAX) };
                held.bucket.grant(now, given.quota, until);
                if let Some(lead) = self.lead {
                    held.term = lead.term;
                }
            }
        }
        let resting = |held: &mut Held| held.bucket.rests(now, RESTS) && held.ledger.rests();
        self.keys.retain(|_, held| !resting(held));
    }

    fn lend(&mut self, now: Moment, who: Incarnation, ask: KeyDemand) -> Option<Grant> {
        let lead = self.lead;
        let drift = self.terms.drift(self.terms.lease);
        let Guards { lapse, returned, .. } = self.guards;
        let whole = *self.plan.whole(ask.key).or_else(|| self.next.as_ref()?.whole(ask.key))?;
        let next = self.next.as_ref().and_then(|next| next.whole(ask.key)).copied();
        let lag = if self.guards.epoch { whole.lag } else { Span::ZERO };
        let held = self.keys.get_mut(&ask.key)?;
        let confirmed = lead.map(|lead| lead.confirmed.unwrap_or_default());
        let honours = lead.filter(|lead| lead.open.is_none_or(|open| now < open + lag)).map(|lead| {
            let before = ask.term != 0 && ask.term < lead.term;
            let held = if before { ask.holds } else { Quota::NONE };
            // Where less is to hold soon, what goes on is less by as much: all of it together fits then.
            next.map_or(held, |next| scaled(held, whole.divided(), next.divided()))
        });
        let claim = Claim { wants: ask.wants, weight: ask.weight.clamp(1, HEAVIEST) };
        let guarding = Guarding { drift, lapse, returned };
        Some(held.ledger.ask(now, &whole, who, claim, ask.holds, confirmed, honours, guarding))
    }

    /// What to ask of whom this router has its shares from: none while an answer is still to be waited for, and of
    /// the router that leads.
    pub fn ask(&mut self, now: Moment) -> Option<QuotaRequest> {
        if self.lead.is_some() || self.plan.is_empty() {
            return None;
        }
        let patience = self.terms.lease * 0.25;
        match self.asked {
            Some((_, at)) if now.since(at) < patience => return None,
            Some(_) => self.vain += 1,
            None => {}
        }
        self.settle(now);
        self.nonce += 1;
        self.asked = Some((self.nonce, now));
        let mut keys: Vec<KeyDemand> = Vec::new();
        for (key, held) in &self.keys {
            let Claim { wants, weight } = held.ledger.claims();
            // What it was lent it may lend on or spend at any time, until it is lent less.
            let income = if now < held.ledger.until() { held.ledger.income() } else { Quota::NONE };
            let holds = held.ledger.out().most(income);
            if wants != Quota::NONE || holds != Quota::NONE {
                keys.push(KeyDemand { key: *key, wants, weight, holds, term: held.term });
            }
        }
        Some(QuotaRequest { nonce: self.nonce, keys })
    }

    /// How many questions in a row were not answered.
    pub fn vain(&self) -> u32 {
        self.vain
    }

    /// Another is to be asked from now on.
    pub fn turns(&mut self) {
        self.vain = 0;
    }

    /// One asks here.
    pub fn asked(&mut self, now: Moment, from: Incarnation, want: QuotaRequest) -> Option<QuotaGrant> {
        let known = self.heard.get(&from).map(|(nonce, _)| *nonce);
        let fresh = known.is_none_or(|known| known < want.nonce);
        if !fresh || known.is_none() && self.heard.len() >= ASKERS || want.keys.len() > LINES {
            return None;
        }
        self.heard.insert(from, (want.nonce, now));
        // What it does not name it neither wants nor holds.
        let named: BTreeSet<BudgetKey> = want.keys.iter().map(|ask| ask.key).collect();
        let unnamed = |(key, held): &(&BudgetKey, &Held)| held.ledger.knows(from) && !named.contains(key);
        let unnamed: Vec<BudgetKey> = self.keys.iter().filter(unnamed).map(|(key, _)| *key).collect();
        for key in unnamed {
            let ask = KeyDemand { key, wants: Quota::NONE, weight: 1, holds: Quota::NONE, term: 0 };
            self.lend(now, from, ask);
        }
        let mut shares = Vec::new();
        for ask in want.keys {
            if self.held(now, ask.key).is_none() {
                continue;
            }
            self.earn(ask.key);
            if let Some(Grant { quota, until }) = self.lend(now, from, ask) {
                shares.push(Granted { key: ask.key, quota, left: until.since(now).as_micros() });
            }
        }
        Some(QuotaGrant { nonce: want.nonce, term: self.lead.map_or(0, |lead| lead.term), shares })
    }

    /// The answer came: only the one to the last question is of use, as all before it are void.
    pub fn lent(&mut self, now: Moment, lend: QuotaGrant) {
        let Some((_, asked)) = self.asked.take_if(|(nonce, _)| *nonce == lend.nonce) else { return };
        self.vain = 0;
        if self.lead.is_some() {
            return;
        }
        let lease = self.terms.lease;
        let mut named: BTreeMap<BudgetKey, Granted> =
            lend.shares.into_iter().map(|lent| (lent.key, lent)).collect();
        for (key, held) in &mut self.keys {
            let lent = named.remove(key);
            let quota = lent.map_or(Quota::NONE, |lent| lent.quota);
            let left = lent.map_or(Span::ZERO, |lent| Span::micros(lent.left)).min(lease);
            held.ledger.earn(quota, asked + left - self.terms.drift(lease).min(left));
            held.term = lend.term;
        }
        self.settle(now);
    }

    /// Memory stays bounded by those listed.
    pub fn keep(&mut self, now: Moment, which: impl Fn(Incarnation) -> bool) {
        let over = self.terms.lease * 4.0;
        self.heard.retain(|start, (_, at)| which(*start) || now.since(*at) < over);
    }
}

/// The whole as one router spends of it.
fn own(whole: &BudgetLimit, floors: bool) -> BudgetLimit {
    if floors { *whole } else { BudgetLimit { floor: Quota::NONE, ..*whole } }
}

/// A share in proportion to what is divided, no more than it was.
fn scaled(quota: Quota, from: Quota, to: Quota) -> Quota {
    let part = |quota: u64, from: u64, to: u64| match from > to {
        true => (u128::from(quota) * u128::from(to) / u128::from(from.max(1))) as u64,
        false => quota,
    };
    Quota { rate: part(quota.rate, from.rate, to.rate), burst: part(quota.burst, from.burst, to.burst) }
}
