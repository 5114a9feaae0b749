//! What one router has granted to others of one key, and what it may still grant: of the fleet's total at the
//! leader, of its own grant at a router that passes it on within its location, to itself alone at any other.
//!
//! A grant counts as outstanding for as long as it might be spent: until its borrower reports lower holdings,
//! or until it has expired by any clock. So outstanding grants never exceed the income, whatever messages are
//! lost, late or duplicated.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;

use crate::fair_shares::{WeightedDemand, max_min_fair_shares};
use crate::{BudgetLimit, Quota};

/// With more borrowers than this, targets are computed at most once per [`DIVISION_INTERVAL`].
const ALWAYS_DIVIDED_BORROWERS: usize = 64;

/// How long targets are used among many borrowers.
const DIVISION_INTERVAL: Span = Span::millis(100);

/// How long those that get a unit keep it before others have their turn, where units are fewer than
/// borrowers. A turn must be long enough to spend a single unit.
const ROTATION_PERIOD: Span = Span::millis(1000);

/// How long a silent borrower still counts in the division after its grant has expired.
const CLAIM_RETENTION: Span = Span::millis(2000);

/// What a borrower wants, and its weight in the division.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// The amount wanted.
    pub demand: Quota,
    /// The weight.
    pub weight: u64,
}

/// What a borrower may spend, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The amount granted.
    pub quota: Quota,
    /// When it expires.
    pub expires: Moment,
}

/// One borrower's request.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest {
    /// Who asks.
    pub borrower: Incarnation,
    /// What it wants.
    pub claim: Claim,
    /// All that it might still spend. What was granted beyond that has been returned.
    pub holdings: Quota,
}

/// What a lender may grant at the moment.
#[derive(Clone, Copy, Debug)]
pub struct LendingTerms {
    /// The limit of the key.
    pub limit: BudgetLimit,
    /// At the leader: the last moment at which it is known to have led. None at other lenders.
    pub confirmed: Option<Moment>,
    /// At a new leader: what the borrower was granted by the leader before. It is renewed, and nothing else
    /// granted.
    pub carried_over: Option<Quota>,
    /// Which checks apply.
    pub checks: LedgerChecks,
}

/// How grants are accounted. A test may disable a check to show that it is needed.
#[derive(Clone, Copy, Debug)]
pub struct LedgerChecks {
    /// How far two clocks may differ over a lease.
    pub drift: Span,
    /// A grant counts as outstanding until it has expired.
    pub count_until_expired: bool,
    /// A grant counts as outstanding until its borrower reports that it no longer holds it.
    pub count_until_returned: bool,
}

/// A router that has requested quota.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    claim: Claim,
    /// What it might still spend, and until when its last grant is valid.
    outstanding: Quota,
    expires: Moment,
    last_request: Moment,
}

/// Quota that was returned or has expired, and may not be granted again yet.
#[derive(Clone, Copy, Debug)]
struct QuarantinedQuota {
    since: Moment,
    quota: Quota,
}

/// The account of one key at one router.
#[derive(Clone, Debug, Default)]
pub struct LeaseLedger {
    income: Quota,
    income_expires: Moment,
    borrowers: BTreeMap<Incarnation, Borrower>,
    targets: BTreeMap<Incarnation, Quota>,
    divided_at: Moment,
    /// At the leader, quota that was returned or has expired is granted again only once a majority has
    /// confirmed the leader after that moment. A deposed leader would otherwise grant what its successor
    /// renews.
    quarantine: Vec<QuarantinedQuota>,
}

impl LeaseLedger {
    /// Sets what may be granted from now on, and until when. Outstanding grants are not revoked.
    pub fn set_income(&mut self, income: Quota, expires: Moment) {
        self.income = income;
        self.income_expires = expires;
    }

    /// What may be granted.
    pub fn income(&self) -> Quota {
        self.income
    }

    /// Until when it may be.
    pub fn income_expires(&self) -> Moment {
        self.income_expires
    }

    /// The sum of all grants that might still be spent, by other routers and this one.
    pub fn outstanding(&self) -> Quota {
        let quarantined = self.quarantine.iter().map(|quarantined| quarantined.quota);
        let granted = self.borrowers.values().map(|borrower| borrower.outstanding);
        granted.chain(quarantined).fold(Quota::NONE, Quota::plus)
    }

    /// The sums of demands and of weights.
    pub fn total_claim(&self) -> Claim {
        self.borrowers.values().fold(Claim::default(), |sum, borrower| Claim {
            demand: sum.demand.plus(borrower.claim.demand),
            weight: sum.weight + borrower.claim.weight,
        })
    }

    /// Grants what a borrower gets by the claims of all.
    pub fn grant(&mut self, now: Moment, request: LoanRequest, terms: &LendingTerms) -> Grant {
        self.expire_grants(now, terms);
        let LoanRequest { borrower, claim, .. } = request;
        let known = self.borrowers.get(&borrower).copied();
        let holdings = self.accept_returned(now, &request, terms);
        let expires = known.map_or(now, |known| known.expires);
        let current = Borrower { claim, outstanding: holdings, expires, last_request: now };
        self.borrowers.insert(borrower, current);
        let target = self.target(now, &terms.limit, borrower);
        let granted = match terms.carried_over {
            Some(quota) => Grant { quota: quota.max(holdings), expires: self.income_expires },
            None => self.new_grant(now, target, &current),
        };
        let current = self.borrowers.get_mut(&borrower).expect("inserted above");
        current.outstanding = current.outstanding.max(granted.quota);
        current.expires = current.expires.max(granted.expires);
        granted
    }

    /// What the borrower still holds of this lender's grants; what it holds beyond them another lender
    /// accounts for.
    fn accept_returned(&mut self, now: Moment, request: &LoanRequest, terms: &LendingTerms) -> Quota {
        let borrower = self.borrowers.get(&request.borrower);
        let outstanding = borrower.map_or(Quota::NONE, |borrower| borrower.outstanding);
        if !terms.checks.count_until_returned {
            return Quota::NONE;
        }
        let holdings = request.holdings.min(outstanding);
        let returned = outstanding.minus(holdings);
        if returned != Quota::NONE && terms.confirmed.is_some() {
            self.quarantine.push(QuarantinedQuota { since: now, quota: returned });
            self.release_quarantine(terms.confirmed);
        }
        holdings
    }

    /// The borrower's target as far as others leave room for it.
    fn new_grant(&self, now: Moment, target: Quota, borrower: &Borrower) -> Grant {
        let room = match now >= self.income_expires {
            true => Quota::NONE,
            false => self.income.minus(self.outstanding().minus(borrower.outstanding)),
        };
        let fresh = target.min(room);
        // The borrower may keep what it holds until that expires: nothing is then granted twice, and it is
        // not left without quota while others still hold more than their targets.
        let kept = target.min(borrower.outstanding);
        if fresh.within(kept) && fresh != kept && now < borrower.expires {
            return Grant { quota: kept, expires: borrower.expires };
        }
        Grant { quota: fresh, expires: self.income_expires }
    }

    /// Makes expired grants available again: at the leader, once it was confirmed after they expired.
    fn expire_grants(&mut self, now: Moment, terms: &LendingTerms) {
        let LedgerChecks { drift, count_until_expired, .. } = terms.checks;
        let lag = terms.limit.release_lag + drift;
        for borrower in self.borrowers.values_mut() {
            let expired = now >= borrower.expires + lag;
            // A borrower that is silent for so long leaves its part of the division to others.
            if expired {
                borrower.claim = Claim::default();
            }
            if borrower.outstanding != Quota::NONE && (expired || !count_until_expired) {
                if count_until_expired {
                    let since = borrower.expires + lag;
                    self.quarantine.push(QuarantinedQuota { since, quota: borrower.outstanding });
                }
                borrower.outstanding = Quota::NONE;
            }
        }
        self.borrowers.retain(|_, borrower| {
            borrower.outstanding != Quota::NONE
                || now < borrower.expires + lag + CLAIM_RETENTION
                || now < borrower.last_request + CLAIM_RETENTION
        });
        self.release_quarantine(terms.confirmed);
    }

    fn release_quarantine(&mut self, confirmed: Option<Moment>) {
        match confirmed {
            Some(confirmed) => self.quarantine.retain(|quarantined| quarantined.since >= confirmed),
            None => self.quarantine.clear(),
        }
    }

    /// What a borrower should have by the claims of all.
    fn target(&mut self, now: Moment, limit: &BudgetLimit, borrower: Incarnation) -> Quota {
        let outdated =
            now.since(self.divided_at) >= DIVISION_INTERVAL || !self.targets.contains_key(&borrower);
        if self.borrowers.len() <= ALWAYS_DIVIDED_BORROWERS || outdated {
            self.divide(now, limit);
        }
        self.targets.get(&borrower).copied().unwrap_or_default()
    }

    fn divide(&mut self, now: Moment, limit: &BudgetLimit) {
        let rotation = (now.as_micros() / ROTATION_PERIOD.as_micros()) as usize;
        let rate_demands = self.weighted_demands(|quota| quota.rate);
        let burst_demands = self.weighted_demands(|quota| quota.burst);
        let rates = max_min_fair_shares(self.income.rate, &rate_demands, 1, rotation);
        let bursts = max_min_fair_shares(self.income.burst, &burst_demands, limit.granularity(), rotation);
        let shares = rates.into_iter().zip(bursts).map(|(rate, burst)| Quota { rate, burst });
        self.targets = self.borrowers.keys().copied().zip(shares).collect();
        self.divided_at = now;
    }

    fn weighted_demands(&self, amount: fn(Quota) -> u64) -> Vec<WeightedDemand> {
        let claims = self.borrowers.values().map(|borrower| borrower.claim);
        claims.map(|claim| WeightedDemand { amount: amount(claim.demand), weight: claim.weight }).collect()
    }

    /// Whether a router has requested quota here.
    pub fn knows(&self, borrower: Incarnation) -> bool {
        self.borrowers.contains_key(&borrower)
    }

    /// Whether nothing is outstanding and nobody requests quota.
    pub fn is_idle(&self) -> bool {
        self.borrowers.is_empty() && self.quarantine.is_empty()
    }

    /// Drops the account, when this process stops leading or leads a new term: it can't know what is
    /// outstanding.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
