//! The lease ledger of one key at one router: which grants are outstanding, and how much may still be
//! granted.
//!
//! The leader grants from the fleet's total. A router that passes on quota within its location grants from
//! its own grant. Any other router grants only to itself.
//!
//! A grant is outstanding as long as it might be spent: until its borrower reports lower holdings, or until
//! the grant has expired by any clock. Outstanding grants therefore never exceed the lendable quota, even if
//! messages are lost, late or duplicated.

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;

use crate::fair_shares::{WeightedDemand, max_min_fair_shares};
use crate::{BudgetLimit, Quota};

/// The largest number of borrowers for which targets are computed at each request. With more borrowers,
/// targets are computed at most once per [`DIVISION_INTERVAL`].
const MAX_BORROWERS_DIVIDED_PER_REQUEST: usize = 64;

/// How long computed targets are reused if there are more than [`MAX_BORROWERS_DIVIDED_PER_REQUEST`]
/// borrowers.
const DIVISION_INTERVAL: Span = Span::millis(100);

/// How long a borrower keeps its unit before another borrower gets it, if there are fewer units than
/// borrowers. The period must be long enough to spend a single unit.
const ROTATION_PERIOD: Span = Span::millis(1000);

/// How long the ledger keeps a borrower after its last request and after its grant has expired.
const BORROWER_RETENTION: Span = Span::millis(2000);

/// A borrower's demand and its weight in the division.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// The amount requested.
    pub demand: Quota,
    /// The weight in the division.
    pub weight: u64,
}

/// The quota that a borrower may spend, and when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The amount granted.
    pub quota: Quota,
    /// When the grant expires.
    pub expires: Moment,
}

/// One borrower's request.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest {
    /// The router that requests quota.
    pub borrower: Incarnation,
    /// Its demand and weight.
    pub claim: Claim,
    /// All quota that the borrower might still spend. Any earlier grant beyond this amount has been returned.
    pub holdings: Quota,
}

/// The conditions under which a lender may grant quota at the moment.
#[derive(Clone, Copy, Debug)]
pub struct LendingTerms {
    /// The limit of the key.
    pub limit: BudgetLimit,
    /// At the leader, the last moment at which its leadership was confirmed. `None` at other lenders.
    pub confirmed: Option<Moment>,
    /// At a new leader, the quota that its predecessor granted to the borrower. The new leader renews this
    /// quota and grants nothing else. `None` once it may grant as usual, and at other lenders.
    pub carried_over: Option<Quota>,
    /// Which checks apply.
    pub checks: LedgerChecks,
}

/// The checks that the accounting of grants applies. A test may disable a check to show that the check is
/// needed.
#[derive(Clone, Copy, Debug)]
pub struct LedgerChecks {
    /// How far two clocks may drift apart during a lease.
    pub drift: Span,
    /// A grant is outstanding until it has expired.
    pub count_until_expired: bool,
    /// A grant is outstanding until its borrower reports that it no longer holds the quota.
    pub count_until_returned: bool,
}

/// A router that has requested quota.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    claim: Claim,
    /// What the borrower might still spend of this ledger's grants.
    outstanding: Quota,
    /// When its last grant expires.
    expires: Moment,
    last_request: Moment,
}

/// Quota that was returned or has expired at `since`, and may not be granted again yet.
#[derive(Clone, Copy, Debug)]
struct QuarantinedQuota {
    since: Moment,
    quota: Quota,
}

/// The ledger of one key at one router.
#[derive(Clone, Debug, Default)]
pub struct LeaseLedger {
    /// The quota that all grants together may reach, and when it expires.
    lendable: Quota,
    lendable_until: Moment,
    borrowers: BTreeMap<Incarnation, Borrower>,
    targets: BTreeMap<Incarnation, Quota>,
    divided_at: Moment,
    /// Returned and expired quota at the leader, which is granted again only once a majority has confirmed
    /// the leader after that moment. Otherwise a deposed leader would grant quota that its successor renews.
    quarantine: Vec<QuarantinedQuota>,
}

impl LeaseLedger {
    /// Sets the quota that all grants together may reach, and when it expires. Does not revoke outstanding
    /// grants.
    pub fn set_lendable(&mut self, lendable: Quota, until: Moment) {
        self.lendable = lendable;
        self.lendable_until = until;
    }

    /// The quota that all grants together may reach, outstanding grants included.
    pub fn lendable(&self) -> Quota {
        self.lendable
    }

    /// When the lendable quota expires.
    pub fn lendable_until(&self) -> Moment {
        self.lendable_until
    }

    /// The sum of all grants that might still be spent, by this router or others, and of quarantined quota.
    pub fn outstanding(&self) -> Quota {
        let quarantined = self.quarantine.iter().map(|quarantined| quarantined.quota);
        let granted = self.borrowers.values().map(|borrower| borrower.outstanding);
        granted.chain(quarantined).fold(Quota::NONE, Quota::plus)
    }

    /// The sum of all borrowers' demands, and the sum of their weights.
    pub fn total_claim(&self) -> Claim {
        self.borrowers.values().fold(Claim::default(), |sum, borrower| Claim {
            demand: sum.demand.plus(borrower.claim.demand),
            weight: sum.weight + borrower.claim.weight,
        })
    }

    /// Answers a borrower's request. The grant depends on the claims of all borrowers.
    pub fn grant(&mut self, now: Moment, request: LoanRequest, terms: &LendingTerms) -> Grant {
        self.expire_grants(now, terms);
        let LoanRequest { borrower, claim, .. } = request;
        let known = self.borrowers.get(&borrower).copied();
        let holdings = self.reconcile_holdings(now, &request, terms);
        let expires = known.map_or(now, |known| known.expires);
        let current = Borrower { claim, outstanding: holdings, expires, last_request: now };
        self.borrowers.insert(borrower, current);
        let target = self.target(now, &terms.limit, borrower);
        let granted = match terms.carried_over {
            Some(quota) => Grant { quota: quota.max(holdings), expires: self.lendable_until },
            None => self.new_grant(now, target, &current),
        };
        let current = self.borrowers.get_mut(&borrower).expect("inserted above");
        current.outstanding = current.outstanding.max(granted.quota);
        current.expires = current.expires.max(granted.expires);
        granted
    }

    /// Returns what the borrower still holds of this lender's grants, and quarantines what it has returned if
    /// this router leads. Holdings beyond this lender's grants are accounted for by another lender.
    fn reconcile_holdings(&mut self, now: Moment, request: &LoanRequest, terms: &LendingTerms) -> Quota {
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

    /// The grant for a borrower: its target, limited by what the other borrowers' outstanding grants leave.
    fn new_grant(&self, now: Moment, target: Quota, borrower: &Borrower) -> Grant {
        let available = match now >= self.lendable_until {
            true => Quota::NONE,
            false => self.lendable.minus(self.outstanding().minus(borrower.outstanding)),
        };
        let granted = target.min(available);
        // If the borrower already holds more than is available, it keeps its holdings, up to its target,
        // until its last grant expires. This grants no quota twice, and the borrower is not left without
        // quota while others still hold more than their targets.
        let kept = target.min(borrower.outstanding);
        if granted.within(kept) && granted != kept && now < borrower.expires {
            return Grant { quota: kept, expires: borrower.expires };
        }
        Grant { quota: granted, expires: self.lendable_until }
    }

    /// Makes the quota of expired grants available again; at the leader, only once its leadership was
    /// confirmed after the grants expired.
    fn expire_grants(&mut self, now: Moment, terms: &LendingTerms) {
        let LedgerChecks { drift, count_until_expired, .. } = terms.checks;
        let lag = terms.limit.release_lag + drift;
        for borrower in self.borrowers.values_mut() {
            let expired = now >= borrower.expires + lag;
            // The grant has expired by any clock and was not renewed, so the borrower loses its share.
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
                || now < borrower.expires + lag + BORROWER_RETENTION
                || now < borrower.last_request + BORROWER_RETENTION
        });
        self.release_quarantine(terms.confirmed);
    }

    /// Releases the quota that was quarantined before `confirmed`, or all quota if this router does not lead.
    fn release_quarantine(&mut self, confirmed: Option<Moment>) {
        match confirmed {
            Some(confirmed) => self.quarantine.retain(|quarantined| quarantined.since >= confirmed),
            None => self.quarantine.clear(),
        }
    }

    /// The quota that a borrower should have, computed from the claims of all borrowers.
    fn target(&mut self, now: Moment, limit: &BudgetLimit, borrower: Incarnation) -> Quota {
        let outdated =
            now.since(self.divided_at) >= DIVISION_INTERVAL || !self.targets.contains_key(&borrower);
        if self.borrowers.len() <= MAX_BORROWERS_DIVIDED_PER_REQUEST || outdated {
            self.divide(now, limit);
        }
        self.targets.get(&borrower).copied().unwrap_or_default()
    }

    /// Computes the targets of all borrowers.
    fn divide(&mut self, now: Moment, limit: &BudgetLimit) {
        let rotation = (now.as_micros() / ROTATION_PERIOD.as_micros()) as usize;
        let rate_demands = self.weighted_demands(|quota| quota.rate);
        let burst_demands = self.weighted_demands(|quota| quota.burst);
        let rates = max_min_fair_shares(self.lendable.rate, &rate_demands, 1, rotation);
        let bursts = max_min_fair_shares(self.lendable.burst, &burst_demands, limit.granularity(), rotation);
        let shares = rates.into_iter().zip(bursts).map(|(rate, burst)| Quota { rate, burst });
        self.targets = self.borrowers.keys().copied().zip(shares).collect();
        self.divided_at = now;
    }

    fn weighted_demands(&self, amount: fn(Quota) -> u64) -> Vec<WeightedDemand> {
        let claims = self.borrowers.values().map(|borrower| borrower.claim);
        claims.map(|claim| WeightedDemand { amount: amount(claim.demand), weight: claim.weight }).collect()
    }

    /// Whether the ledger has an entry for this borrower.
    pub fn has_borrower(&self, borrower: Incarnation) -> bool {
        self.borrowers.contains_key(&borrower)
    }

    /// Whether no grant is outstanding and no router requests quota.
    pub fn is_idle(&self) -> bool {
        self.borrowers.is_empty() && self.quarantine.is_empty()
    }

    /// Clears the ledger when this process stops leading or starts leading a new term, because it can't know
    /// which grants are outstanding then.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
