//! What one router has lent on of one line, and what it may still lend: all of the fleet's for the router that leads
//! the voters, a block of it for one that divides among its location, its own alone for any other.
//!
//! A share counts for as long as it might still be spent: until its holder says that it holds less, or until it has
//! lapsed for sure. So the sum of what is out is never over the income, whatever is lost, late or doubled.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;

use crate::divide::{Demand, divide};
use crate::{BudgetLimit, Quota};

/// What one asks for, and how much it counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    pub wants: Quota,
    pub weight: u64,
}

/// What one is given, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    pub quota: Quota,
    pub until: Moment,
}

/// One that asked.
#[derive(Clone, Copy, Debug)]
struct Child {
    claim: Claim,
    /// What it might still spend, and until when its last share lasts.
    out: Quota,
    until: Moment,
    heard: Moment,
}

/// The account of one line at one router.
#[derive(Clone, Debug, Default)]
pub struct LeaseLedger {
    income: Quota,
    until: Moment,
    children: BTreeMap<Incarnation, Child>,
    targets: BTreeMap<Incarnation, Quota>,
    targeted: Moment,
    /// What came back or lapsed, and when: at the router that leads it is lent again only once a majority has
    /// confirmed that it led after that moment. One deposed meanwhile might else lend what its successor renews.
    cooling: Vec<(Moment, Quota)>,
}

/// With more who ask than this, they are divided among anew only so often.
const FEW: usize = 64;
const ANEW: Span = Span::millis(100);

/// How long a turn lasts, where units are fewer than those who want one.
const TURN: Span = Span::millis(1000);

/// How long one that is silent still counts where room is divided, beyond its share's end.
const FORGOTTEN: Span = Span::millis(2000);

impl LeaseLedger {
    /// What may be lent from now on, and until when; nothing that is out is called back by it.
    pub fn earn(&mut self, income: Quota, until: Moment) {
        (self.income, self.until) = (income, until);
    }

    pub fn income(&self) -> Quota {
        self.income
    }

    pub fn until(&self) -> Moment {
        self.until
    }

    /// What lapsed is room again; at the router that leads, once it was confirmed after that.
    fn settle(
        &mut self,
        now: Moment,
        whole: &BudgetLimit,
        confirmed: Option<Moment>,
        drift: Span,
        lapses: bool,
    ) {
        let lag = whole.lag + drift;
        for child in self.children.values_mut() {
            // Whoever is silent for so long wants nothing, as far as is known: others have the room.
            if now >= child.until + lag {
                child.claim = Claim::default();
            }
            if child.out != Quota::NONE && (now >= child.until + lag || !lapses) {
                if lapses {
                    self.cooling.push((child.until + lag, child.out));
                }
                child.out = Quota::NONE;
            }
        }
        self.children.retain(|_, child| {
            child.out != Quota::NONE || now < child.until + lag + FORGOTTEN || now < child.heard + FORGOTTEN
        });
        self.warm(confirmed);
    }

    fn warm(&mut self, confirmed: Option<Moment>) {
        match confirmed {
            Some(confirmed) => self.cooling.retain(|(at, _)| *at >= confirmed),
            None => self.cooling.clear(),
        }
    }

    /// All that others and this router might still spend of it.
    pub fn out(&self) -> Quota {
        let cooling = self.cooling.iter().map(|(_, quota)| *quota);
        self.children.values().map(|child| child.out).chain(cooling).fold(Quota::NONE, Quota::plus)
    }

    /// The sum of what is asked here, and of the weights.
    pub fn claims(&self) -> Claim {
        self.children.values().fold(Claim::default(), |sum, child| Claim {
            wants: sum.wants.plus(child.claim.wants),
            weight: sum.weight + child.claim.weight,
        })
    }

    /// One asks, and says what it might still spend: what it held beyond that has come back.
    /// `confirmed` is told by the router that leads: since when it surely did. `honours` has it go on with what a
    /// predecessor lent, and lend nothing else.
    #[expect(clippy::too_many_arguments, reason = "one call for each that asks, all of it told by the party")]
    pub fn ask(
        &mut self,
        now: Moment,
        whole: &BudgetLimit,
        who: Incarnation,
        claim: Claim,
        holds: Quota,
        confirmed: Option<Moment>,
        honours: Option<Quota>,
        guards: Guarding,
    ) -> Grant {
        self.settle(now, whole, confirmed, guards.drift, guards.lapse);
        let known = self.children.get(&who).copied();
        let out = known.map_or(Quota::NONE, |child| child.out);
        // It may hold less than was lent last; more only where another lent it, which counts there.
        let holds = if guards.returned { holds.least(out) } else { Quota::NONE };
        let back = out.less(holds);
        if back != Quota::NONE && confirmed.is_some() && guards.returned {
            self.cooling.push((now, back));
            self.warm(confirmed);
        }
        let until = known.map_or(now, |child| child.until);
        self.children.insert(who, Child { claim, out: holds, until, heard: now });
        let lapsed = now >= self.until;
        let target = self.target(now, whole, who);
        let room = if lapsed { Quota::NONE } else { self.income.less(self.out().less(holds)) };
        let given = match honours {
            // What a predecessor lent goes on, and nothing else is lent before that can have lapsed.
            Some(held) => Grant { quota: held.most(holds), until: self.until },
            None => {
                let fresh = target.least(room);
                // What it holds already it may keep, but no longer than it was to: so nothing is out twice, and one
                // that others still hold more than they are to have is not left without.
                let kept = target.least(holds);
                match fresh.within(kept) && fresh != kept && now < until {
                    true => Grant { quota: kept, until },
                    false => Grant { quota: fresh, until: self.until },
                }
            }
        };
        let child = self.children.get_mut(&who).expect("just put there");
        child.out = child.out.most(given.quota);
        child.until = child.until.max(given.until);
        given
    }

    /// What one is to have, as all ask now.
    fn target(&mut self, now: Moment, whole: &BudgetLimit, who: Incarnation) -> Quota {
        let stale = now.since(self.targeted) >= ANEW || !self.targets.contains_key(&who);
        if self.children.len() <= FEW || stale {
            self.divide(now, whole);
        }
        self.targets.get(&who).copied().unwrap_or_default()
    }

    fn divide(&mut self, now: Moment, whole: &BudgetLimit) {
        let part = |of: fn(Quota) -> u64| -> Vec<Demand> {
            let wish = |child: &Child| Demand { wants: of(child.claim.wants), weight: child.claim.weight };
            self.children.values().map(wish).collect()
        };
        // A turn lasts a while: one that gets a lone unit must have the time to spend it.
        let turn = (now.since(Moment::default()).as_micros() / TURN.as_micros()) as usize;
        let flows = divide(self.income.rate, &part(|quota| quota.rate), 1, turn);
        let stocks = divide(self.income.burst, &part(|quota| quota.burst), whole.grain(), turn);
        let shares = flows.into_iter().zip(stocks).map(|(rate, burst)| Quota { rate, burst });
        self.targets = self.children.keys().copied().zip(shares).collect();
        self.targeted = now;
    }

    /// Whether that one has asked here.
    pub fn knows(&self, who: Incarnation) -> bool {
        self.children.contains_key(&who)
    }

    /// Whether nothing is out and nobody asks.
    pub fn rests(&self) -> bool {
        self.children.is_empty() && self.cooling.is_empty()
    }

    /// This process does not lead any more, or leads anew: what is out it can't know any more.
    pub fn forget(&mut self) {
        *self = Self::default();
    }
}

/// How the account is kept; an experiment may take a guard out.
#[derive(Clone, Copy, Debug)]
pub struct Guarding {
    /// How far clocks may part over a lease.
    pub drift: Span,
    /// What is out counts until it has lapsed.
    pub lapse: bool,
    /// What is out counts until it is said to be held no more.
    pub returned: bool,
}
