//! What one router may spend of one line: its floor always, its grant until that lapses. Compared with the clock at
//! each spending, so one that slept past its lease spends nothing of it before it has asked.

use std::collections::VecDeque;

use tindoor::time::{Moment, Span};

use crate::{BudgetLimit, Kind, Quota, UNIT};

/// How long a charge may be given back: a hit is known by then to have filled nothing.
const BACK_WITHIN: Span = Span::millis(250);

/// Slices of demand that are kept, and how long each is.
const SLICES: usize = 8;
const SLICE: Span = Span::millis(250);

/// What is asked beyond what was wanted lately, so that a rise is served before it was asked for.
const HEADROOM: f64 = 1.1;

/// How much of a second's flow is asked as burst.
const BURST: f64 = 0.3;

/// What was wanted lately, spent or not.
#[derive(Clone, Debug, Default)]
struct Demand {
    /// Units wanted, and the most in hand that was, by slice.
    slices: VecDeque<(f64, u64)>,
    began: Moment,
    asked: Quota,
}

impl Demand {
    fn roll(&mut self, now: Moment) {
        if self.slices.is_empty() || now.since(self.began) >= SLICE * (2 * SLICES) as f64 {
            self.slices.clear();
            self.slices.push_back((0.0, 0));
            self.began = now;
        }
        while now.since(self.began) >= SLICE {
            self.began = self.began + SLICE;
            if self.slices.len() == SLICES {
                self.slices.pop_front();
            }
            self.slices.push_back((0.0, 0));
        }
    }

    fn add(&mut self, now: Moment, units: f64, in_hand: u64) {
        self.roll(now);
        let last = self.slices.back_mut().expect("there is one");
        last.0 += units;
        last.1 = last.1.max(in_hand);
    }

    /// Units a second: of the last whole slices, the more of the newer and the older half, so that it rises quickly
    /// and falls slowly.
    fn rate(&self) -> f64 {
        let whole = self.slices.len().saturating_sub(1);
        let mean = |from: usize, to: usize| {
            let sum: f64 = self.slices.iter().take(to).skip(from).map(|slice| slice.0).sum();
            sum / (SLICE.as_secs() * (to - from).max(1) as f64)
        };
        match whole {
            0 => self.slices.front().map_or(0.0, |slice| slice.0 / SLICE.as_secs()),
            _ => {
                let half = (whole / 2).max(1);
                mean(whole - half, whole).max(mean(0, whole - half))
            }
        }
    }

    fn most_in_hand(&self) -> u64 {
        self.slices.iter().map(|slice| slice.1).max().unwrap_or_default()
    }
}

/// One router's side of one line.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    whole: BudgetLimit,
    grant: Quota,
    until: Option<Moment>,
    /// Units of a rate that are there at `at`.
    tokens: f64,
    at: Moment,
    /// When each charge was made that may still be given back, and what was there before the first of them, when.
    charged: VecDeque<Moment>,
    base: (f64, Moment),
    /// Units of a level in hand, of those that were spent since it began.
    in_hand: u64,
    began: Moment,
    /// Higher grants of the last while, for what counts on after it was lowered.
    before: VecDeque<(Moment, u64)>,
    demand: Demand,
    /// When anything was last wanted of it.
    used: Moment,
    /// An experiment may take out that a new burst comes empty.
    pub(crate) comes_full: bool,
}

impl TokenBucket {
    /// Begins with nothing at hand, not even the floor's burst: a process before it may just have spent that.
    pub fn new(whole: BudgetLimit, now: Moment) -> Self {
        Self {
            whole,
            grant: Quota::NONE,
            until: None,
            tokens: 0.0,
            at: now,
            charged: VecDeque::new(),
            base: (0.0, now),
            in_hand: 0,
            began: now,
            before: VecDeque::new(),
            demand: Demand::default(),
            used: now,
            comes_full: false,
        }
    }

    pub fn whole(&self) -> &BudgetLimit {
        &self.whole
    }

    /// The whole has changed: what is at hand is cut to it.
    pub fn change(&mut self, now: Moment, whole: BudgetLimit) {
        if self.whole != whole {
            self.settle(now);
            self.whole = whole;
            self.grant = self.grant.least(whole.divided());
            self.anew();
        }
    }

    /// The own clock has jumped: nothing that was reckoned by it is at hand any more, and what counted on does so anew.
    pub fn jumped(&mut self, now: Moment) {
        let most =
            self.before.iter().map(|(_, burst)| *burst).max().unwrap_or_default().max(self.grant.burst);
        self.before.clear();
        self.before.push_back((now, most));
        (self.grant, self.until, self.tokens, self.at) = (Quota::NONE, None, 0.0, now);
        self.anew();
        (self.demand, self.used) = (Demand::default(), now);
    }

    /// Takes a share in place of the one before.
    pub fn grant(&mut self, now: Moment, quota: Quota, until: Moment) {
        self.settle(now);
        if quota.burst < self.grant.burst && self.until.is_some() {
            self.before.push_back((now, self.grant.burst));
        }
        let (more, same) = (quota.burst.saturating_sub(self.grant.burst), quota == self.grant);
        (self.grant, self.until) = (quota, Some(until));
        if self.comes_full {
            self.tokens += more as f64 / UNIT as f64;
        }
        if !same {
            self.anew();
        }
    }

    /// The share that may be spent now, the floor in it.
    pub fn quota(&self, now: Moment) -> Quota {
        let grant = if self.until.is_some_and(|until| now < until) { self.grant } else { Quota::NONE };
        self.whole.floor.plus(grant)
    }

    /// Lets time pass: tokens come, charges become sure, a grant lapses.
    fn settle(&mut self, now: Moment) {
        while let Some(first) = self.charged.front().copied().filter(|at| now.since(*at) > BACK_WITHIN) {
            self.charged.pop_front();
            self.base = (self.after(self.base, first) - 1.0, first);
        }
        while self.before.front().is_some_and(|(at, _)| now.since(*at) > self.whole.lag) {
            self.before.pop_front();
        }
        if let Some(until) = self.until.filter(|until| now >= *until) {
            self.tokens = self.after((self.tokens, self.at), until);
            self.at = self.at.max(until);
            if self.grant.burst > 0 {
                self.before.push_back((until, self.grant.burst));
            }
            (self.grant, self.until) = (Quota::NONE, None);
            self.anew();
        }
        self.tokens = self.after((self.tokens, self.at), now);
        self.at = self.at.max(now);
    }

    /// What there is some time after so much was, by the share that holds.
    fn after(&self, (tokens, at): (f64, Moment), now: Moment) -> f64 {
        let quota = self.whole.floor.plus(self.grant);
        let came = quota.rate as f64 / UNIT as f64 * now.since(at).as_secs();
        (tokens + came).min(quota.burst as f64 / UNIT as f64)
    }

    /// Another share holds from now on: what is at hand is cut to it, and what was charged before stays so.
    fn anew(&mut self) {
        self.tokens = self.after((self.tokens, self.at), self.at);
        self.charged.clear();
        self.base = (self.tokens, self.at);
    }

    /// Whether one unit could be spent now.
    pub fn affords(&mut self, now: Moment) -> bool {
        self.settle(now);
        match self.whole.kind {
            Kind::Rate => self.tokens >= 1.0,
            Kind::Level => (self.in_hand + 1) * UNIT <= self.quota(now).burst,
            Kind::Part => true,
        }
    }

    /// Spends one unit, if it may.
    pub fn spend(&mut self, now: Moment) -> bool {
        let affords = self.affords(now);
        if affords {
            self.charge(now)
        } else {
            self.refused(now)
        }
        affords
    }

    /// Spends one unit of which it was just seen that it may be.
    pub(crate) fn charge(&mut self, now: Moment) {
        self.used = now;
        match self.whole.kind {
            Kind::Rate => {
                if self.charged.is_empty() {
                    self.base = (self.tokens, now);
                }
                self.tokens -= 1.0;
                self.charged.push_back(now);
            }
            Kind::Level => self.in_hand += 1,
            Kind::Part => {}
        }
        self.demand.add(now, 1.0, self.in_hand);
    }

    /// A unit of a level is over that was spent then: one from before there was a limit was never counted, and must not
    /// make room for another.
    pub fn ended(&mut self, spent: Moment) {
        self.in_hand -= u64::from(spent >= self.began).min(self.in_hand);
    }

    /// What was charged then is over: it was used, or it comes back. Then there is what would be there had it never been
    /// charged: what came meanwhile does not come twice.
    pub fn settled(&mut self, now: Moment, charged: Moment, used: bool) {
        self.settle(now);
        // Found from the newest on: it was charged a moment ago. One that was used can't come back, nor does one whose
        // share has changed since.
        let Some(at) = self.charged.iter().rposition(|at| *at == charged).filter(|_| !used) else { return };
        self.charged.remove(at);
        let mut there = self.base;
        for charge in &self.charged {
            there = (self.after(there, *charge) - 1.0, *charge);
        }
        self.tokens = self.after(there, self.at);
    }

    /// One unit was wanted, and not to be had.
    pub fn refused(&mut self, now: Moment) {
        self.used = now;
        self.demand.add(now, 1.0, self.in_hand + 1);
    }

    /// The part of the whole that is this router's: a router alone has all of it.
    pub fn part(&mut self, now: Moment) -> f64 {
        self.settle(now);
        self.quota(now).burst as f64 / self.whole.quota.burst.max(1) as f64
    }

    /// What it may still spend beyond its floor if it is told nothing more.
    pub fn holds(&mut self, now: Moment) -> Quota {
        self.settle(now);
        let burst = match self.whole.kind {
            Kind::Rate => self.grant.burst,
            // What is in hand stays so, whatever was lowered meanwhile.
            Kind::Level => self.grant.burst.max((self.in_hand * UNIT).saturating_sub(self.whole.floor.burst)),
            Kind::Part => {
                self.before.iter().map(|(_, burst)| *burst).max().unwrap_or_default().max(self.grant.burst)
            }
        };
        Quota { rate: self.grant.rate, burst }
    }

    /// What it asks beyond its floor, from what was wanted lately; and by how much it counts where all want all.
    /// It moves only where what is wanted has moved by a tenth.
    pub fn wants(&mut self, now: Moment) -> (Quota, u64) {
        if self.demand.slices.is_empty() {
            return (Quota::NONE, 0);
        }
        self.demand.roll(now);
        let rate = self.demand.rate();
        if rate == 0.0 && self.demand.most_in_hand() == 0 {
            self.demand.asked = Quota::NONE;
            return (Quota::NONE, 0);
        }
        let units = |units: f64| (units * UNIT as f64) as u64;
        let wants = match self.whole.kind {
            Kind::Rate => {
                let rate = rate * HEADROOM + 0.5;
                Quota { rate: units(rate), burst: units((rate * BURST).ceil() + 1.0) }
            }
            Kind::Level => {
                let most = self.demand.most_in_hand() as f64 * HEADROOM + 1.0;
                Quota { rate: 0, burst: units(most.ceil()) }
            }
            Kind::Part => self.whole.quota,
        };
        let near = |new: u64, old: u64| new.abs_diff(old) <= old / 10;
        if !near(wants.rate, self.demand.asked.rate) || !near(wants.burst, self.demand.asked.burst) {
            self.demand.asked = wants;
        }
        let mut asked = self.demand.asked.less(self.whole.floor);
        asked.burst = asked.burst.next_multiple_of(self.whole.grain());
        let asked = asked.least(self.whole.divided());
        (asked, if self.whole.kind == Kind::Part { units(rate).max(1) } else { 0 })
    }

    /// Whether nothing of it is in use and nothing was wanted for so long.
    pub fn rests(&mut self, now: Moment, so_long: Span) -> bool {
        self.settle(now);
        let idle = self.in_hand == 0 && self.until.is_none();
        idle && self.before.is_empty() && now.since(self.used) > so_long
    }
}

/// How many of something one router's own successes allow: each adds a little, each use takes one. So a trouble that
/// leaves nothing done is not made worse by what is tried again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    each: f64,
    has: f64,
}

/// What is kept at most, and there at the start.
const KEPT: f64 = 10.0;

impl RetryBudget {
    pub fn new(each: f64) -> Self {
        Self { each, has: KEPT }
    }

    /// The same, with another number for each success.
    pub fn by(self, each: f64) -> Self {
        Self { each, ..self }
    }

    pub fn affords(&self) -> bool {
        self.has >= 1.0
    }

    pub fn spent(self) -> Self {
        Self { has: (self.has - 1.0).max(0.0), ..self }
    }

    pub fn filled(self) -> Self {
        Self { has: (self.has + self.each).min(KEPT), ..self }
    }
}
