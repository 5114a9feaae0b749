//! One router's part in dividing the fleet's budgets: its purses, what it lends on, and what it asks of whom it has
//! its shares from. The router that leads the voters has the whole; all others have what they are lent.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Start, Terms};

use crate::book::{Book, Claim, Given, Guarding};
use crate::purse::Purse;
use crate::{Line, Share, Whole};

/// What each line's whole is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// By budget, the same for every member of its scope.
    pub any: BTreeMap<u16, Whole>,
    /// Of single lines.
    pub one: BTreeMap<Line, Whole>,
}

impl Plan {
    pub fn whole(&self, line: Line) -> Option<&Whole> {
        self.any.get(&line.budget).or_else(|| self.one.get(&line))
    }

    pub fn is_empty(&self) -> bool {
        self.any.is_empty() && self.one.is_empty()
    }
}

/// A router asks for its shares, and says of each line all that it might still spend. What it does not name it does
/// not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Goes up with each question of one start; with a new one, answers to earlier ones are void.
    pub nonce: u64,
    pub lines: Vec<Ask>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub line: Line,
    pub wants: Share,
    pub weight: u64,
    pub holds: Share,
    /// The term of the leader that lent this by itself; 0 where another did.
    pub term: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    pub nonce: u64,
    /// The giver's term where it leads; 0 where it lends on what it was lent.
    pub term: u64,
    pub shares: Vec<Lent>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lent {
    pub line: Line,
    pub share: Share,
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
    purse: Purse,
    book: Book,
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
pub struct Party {
    own: Start,
    terms: Terms,
    guards: Guards,
    weight: u64,
    plan: Plan,
    /// What holds next, once a change is decided: what is lent then must fit both.
    next: Option<Plan>,
    /// Whether its floors are its own yet.
    floors: bool,
    lines: BTreeMap<Line, Held>,
    lead: Option<Lead>,
    asked: Option<(u64, Moment)>,
    nonce: u64,
    /// Questions in a row that were not answered.
    vain: u32,
    /// The last question of each that asks here.
    heard: BTreeMap<Start, (u64, Moment)>,
}

/// Lines that are known at once, so that one message names all, and those who ask here.
const LINES: usize = 1024;
const ASKERS: usize = 8192;

/// The most that one counts, so that sums stay within their numbers.
const HEAVIEST: u64 = 1 << 40;

/// How long a line is kept that nobody wants anything of.
const RESTS: Span = Span::millis(30_000);

impl Party {
    pub fn new(own: Start, terms: Terms, guards: Guards, weight: u64) -> Self {
        Self {
            own,
            terms,
            guards,
            weight: weight.max(1),
            plan: Plan::default(),
            next: None,
            floors: false,
            lines: BTreeMap::new(),
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
        self.lines.retain(|line, _| self.plan.whole(*line).is_some());
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
        for (line, held) in &mut self.lines {
            if let Some(whole) = plan.whole(*line) {
                held.purse.change(now, own(whole, floors));
            }
        }
    }

    /// Whether anything is divided at all.
    pub fn is_idle(&self) -> bool {
        self.plan.is_empty() && self.next.is_none()
    }

    fn held(&mut self, now: Moment, line: Line) -> Option<&mut Held> {
        let whole = self.plan.whole(line)?;
        if !self.lines.contains_key(&line) && self.lines.len() >= LINES {
            return None;
        }
        let (full, floors) = (!self.guards.burst, self.floors);
        Some(self.lines.entry(line).or_insert_with(|| {
            let mut purse = Purse::new(own(whole, floors), now);
            purse.comes_full = full;
            Held { purse, book: Book::default(), term: 0 }
        }))
    }

    /// Whether one unit of each of these could be spent now. What is not limited can.
    pub fn affords(&mut self, now: Moment, lines: &[Line]) -> bool {
        lines.iter().all(|line| {
            self.plan.whole(*line).is_none()
                || self.held(now, *line).is_some_and(|held| held.purse.affords(now))
        })
    }

    /// Spends one of each, or nothing.
    pub fn spend(&mut self, now: Moment, lines: &[Line]) -> bool {
        if !self.affords(now, lines) {
            self.refused(now, lines);
            return false;
        }
        for line in lines {
            if let Some(held) = self.lines.get_mut(line) {
                held.purse.charge(now);
            }
        }
        true
    }

    /// Of these one each was wanted, and not all were to be had.
    pub fn refused(&mut self, now: Moment, lines: &[Line]) {
        for line in lines {
            if let Some(held) = self.held(now, *line) {
                held.purse.refused(now);
            }
        }
    }

    /// What was spent then is over; where it was not used it comes back: a hit fills nothing.
    pub fn settled(&mut self, now: Moment, spent: Moment, lines: &[Line], used: bool) {
        for line in lines {
            if let Some(held) = self.lines.get_mut(line) {
                held.purse.settled(now, spent, used);
            }
        }
    }

    /// What was spent then of levels is over.
    pub fn ended(&mut self, spent: Moment, lines: &[Line]) {
        for line in lines {
            if let Some(held) = self.lines.get_mut(line) {
                held.purse.ended(spent);
            }
        }
    }

    /// This router's part of something; none where it is not divided.
    pub fn part(&mut self, now: Moment, line: Line) -> Option<f64> {
        let held = self.held(now, line)?;
        held.purse.refused(now);
        Some(held.purse.part(now))
    }

    /// What may be spent of a line now, and of how much; for whoever looks.
    pub fn shares(&mut self, now: Moment) -> Vec<(Line, Share, Share)> {
        let of = |(line, held): (&Line, &Held)| (*line, held.purse.share(now), held.purse.whole().share);
        self.lines.iter().map(of).collect()
    }

    /// All that this router itself might still spend of each line, its floor in it.
    pub fn might_spend(&mut self, now: Moment) -> Vec<(Line, Share)> {
        let of =
            |(line, held): (&Line, &mut Held)| (*line, held.purse.holds(now).plus(held.purse.whole().floor));
        self.lines.iter_mut().map(of).collect()
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
        let lines: Vec<Line> = self.lines.keys().copied().collect();
        lines.into_iter().for_each(|line| self.earn(line));
        self.settle(now);
    }

    /// The longest that something lent just now may last here, by the slowest clock.
    fn over(&self) -> Span {
        self.terms.lease + self.terms.drift(self.terms.lease)
    }

    /// The leader's income of a line, for a lease from when it surely led: the whole without the floors, by all that may
    /// hold meanwhile.
    fn earn(&mut self, line: Line) {
        let Some(confirmed) = self.lead.and_then(|lead| lead.confirmed) else { return };
        let until = confirmed + self.terms.lease - self.terms.drift(self.terms.lease);
        let floors = self.guards.floor;
        let divided = |whole: &Whole| if floors { whole.divided() } else { whole.share };
        let [now, next] = [Some(&self.plan), self.next.as_ref()].map(|plan| plan.and_then(|p| p.whole(line)));
        let income = [now, next].into_iter().flatten().map(divided).reduce(Share::least);
        if let (Some(income), Some(held)) = (income, self.lines.get_mut(&line)) {
            held.book.earn(income, until);
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
        for held in self.lines.values_mut() {
            held.book.forget();
            held.term = term;
        }
        self.heard.clear();
    }

    /// The own clock has jumped: nothing that was reckoned by it holds.
    pub fn jumped(&mut self, now: Moment) {
        let (guards, weight, nonce) = (self.guards, self.weight, self.nonce);
        let (plan, next) = (std::mem::take(&mut self.plan), self.next.take());
        let levels = std::mem::take(&mut self.lines);
        *self = Self::new(self.own, self.terms, guards, weight);
        (self.plan, self.next, self.nonce) = (plan, next, nonce);
        // What is in hand stays so; nothing else does.
        for (line, mut held) in levels {
            held.purse.jumped(now);
            held.book.forget();
            self.lines.insert(line, Held { term: 0, ..held });
        }
    }

    /// Takes what this router may spend out of what it was lent.
    fn settle(&mut self, now: Moment) {
        let lines: Vec<Line> = self.lines.keys().copied().collect();
        for line in lines {
            let held = self.lines.get_mut(&line).expect("it is known");
            let ((wants, weight), holds) = (held.purse.wants(now), held.purse.holds(now));
            let weight = if weight == 0 { self.weight } else { weight };
            let ask = Ask { line, wants, weight, holds, term: held.term };
            if let Some(given) = self.lend(now, self.own, ask) {
                let held = self.lines.get_mut(&line).expect("it is known");
                let until = if self.guards.wakes { given.until } else { Moment::at_micros(u64::MAX) };
                held.purse.grant(now, given.share, until);
                if let Some(lead) = self.lead {
                    held.term = lead.term;
                }
            }
        }
        let resting = |held: &mut Held| held.purse.rests(now, RESTS) && held.book.rests();
        self.lines.retain(|_, held| !resting(held));
    }

    fn lend(&mut self, now: Moment, who: Start, ask: Ask) -> Option<Given> {
        let lead = self.lead;
        let drift = self.terms.drift(self.terms.lease);
        let Guards { lapse, returned, .. } = self.guards;
        let whole = *self.plan.whole(ask.line).or_else(|| self.next.as_ref()?.whole(ask.line))?;
        let next = self.next.as_ref().and_then(|next| next.whole(ask.line)).copied();
        let lag = if self.guards.epoch { whole.lag } else { Span::ZERO };
        let held = self.lines.get_mut(&ask.line)?;
        let confirmed = lead.map(|lead| lead.confirmed.unwrap_or_default());
        let honours = lead.filter(|lead| lead.open.is_none_or(|open| now < open + lag)).map(|lead| {
            let before = ask.term != 0 && ask.term < lead.term;
            let held = if before { ask.holds } else { Share::NONE };
            // Where less is to hold soon, what goes on is less by as much: all of it together fits then.
            next.map_or(held, |next| scaled(held, whole.divided(), next.divided()))
        });
        let claim = Claim { wants: ask.wants, weight: ask.weight.clamp(1, HEAVIEST) };
        let guarding = Guarding { drift, lapse, returned };
        Some(held.book.ask(now, &whole, who, claim, ask.holds, confirmed, honours, guarding))
    }

    /// What to ask of whom this router has its shares from: none while an answer is still to be waited for, and of
    /// the router that leads.
    pub fn ask(&mut self, now: Moment) -> Option<Want> {
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
        let mut lines: Vec<Ask> = Vec::new();
        for (line, held) in &self.lines {
            let Claim { wants, weight } = held.book.claims();
            // What it was lent it may lend on or spend at any time, until it is lent less.
            let income = if now < held.book.until() { held.book.income() } else { Share::NONE };
            let holds = held.book.out().most(income);
            if wants != Share::NONE || holds != Share::NONE {
                lines.push(Ask { line: *line, wants, weight, holds, term: held.term });
            }
        }
        Some(Want { nonce: self.nonce, lines })
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
    pub fn asked(&mut self, now: Moment, from: Start, want: Want) -> Option<Lend> {
        let known = self.heard.get(&from).map(|(nonce, _)| *nonce);
        let fresh = known.is_none_or(|known| known < want.nonce);
        if !fresh || known.is_none() && self.heard.len() >= ASKERS || want.lines.len() > LINES {
            return None;
        }
        self.heard.insert(from, (want.nonce, now));
        // What it does not name it neither wants nor holds.
        let named: BTreeSet<Line> = want.lines.iter().map(|ask| ask.line).collect();
        let unnamed = |(line, held): &(&Line, &Held)| held.book.knows(from) && !named.contains(line);
        let unnamed: Vec<Line> = self.lines.iter().filter(unnamed).map(|(line, _)| *line).collect();
        for line in unnamed {
            let ask = Ask { line, wants: Share::NONE, weight: 1, holds: Share::NONE, term: 0 };
            self.lend(now, from, ask);
        }
        let mut shares = Vec::new();
        for ask in want.lines {
            if self.held(now, ask.line).is_none() {
                continue;
            }
            self.earn(ask.line);
            if let Some(Given { share, until }) = self.lend(now, from, ask) {
                shares.push(Lent { line: ask.line, share, left: until.since(now).as_micros() });
            }
        }
        Some(Lend { nonce: want.nonce, term: self.lead.map_or(0, |lead| lead.term), shares })
    }

    /// The answer came: only the one to the last question is of use, as all before it are void.
    pub fn lent(&mut self, now: Moment, lend: Lend) {
        let Some((_, asked)) = self.asked.take_if(|(nonce, _)| *nonce == lend.nonce) else { return };
        self.vain = 0;
        if self.lead.is_some() {
            return;
        }
        let lease = self.terms.lease;
        let mut named: BTreeMap<Line, Lent> = lend.shares.into_iter().map(|lent| (lent.line, lent)).collect();
        for (line, held) in &mut self.lines {
            let lent = named.remove(line);
            let share = lent.map_or(Share::NONE, |lent| lent.share);
            let left = lent.map_or(Span::ZERO, |lent| Span::micros(lent.left)).min(lease);
            held.book.earn(share, asked + left - self.terms.drift(lease).min(left));
            held.term = lend.term;
        }
        self.settle(now);
    }

    /// Memory stays bounded by those listed.
    pub fn keep(&mut self, now: Moment, which: impl Fn(Start) -> bool) {
        let over = self.terms.lease * 4.0;
        self.heard.retain(|start, (_, at)| which(*start) || now.since(*at) < over);
    }
}

/// The whole as one router spends of it.
fn own(whole: &Whole, floors: bool) -> Whole {
    if floors { *whole } else { Whole { floor: Share::NONE, ..*whole } }
}

/// A share in proportion to what is divided, no more than it was.
fn scaled(share: Share, from: Share, to: Share) -> Share {
    let part = |share: u64, from: u64, to: u64| match from > to {
        true => (u128::from(share) * u128::from(to) / u128::from(from.max(1))) as u64,
        false => share,
    };
    Share { flow: part(share.flow, from.flow, to.flow), stock: part(share.stock, from.stock, to.stock) }
}
