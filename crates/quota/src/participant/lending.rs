//! The lender's side: the leader's income, and grants to those that request quota here, this router among
//! them.

use std::collections::BTreeSet;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;

use super::{IDLE_KEY_RETENTION, KeyState, LastRequest, Leadership, MAX_KEYS, Participant};
use crate::lease_ledger::{Claim, Grant, LedgerChecks, LendingTerms, LoanRequest};
use crate::{BudgetKey, BudgetLimit, Granted, KeyDemand, Quota, QuotaGrant, QuotaRequest};

/// The most routers that may request quota here.
const MAX_REQUESTERS: usize = 8192;

/// The largest weight in the division, so that sums of weights don't overflow.
const MAX_WEIGHT: u64 = 1 << 40;

/// How long a router that is no longer a member is remembered after its last request, in leases.
const REQUESTER_RETENTION_LEASES: f64 = 4.0;

impl Participant {
    /// This router leads in `term`, and did so at `confirmed` for certain. Leases are counted from the same
    /// confirmations.
    pub fn lead(&mut self, now: Moment, term: u64, confirmed: Option<Moment>) {
        if self.leadership.is_none_or(|leadership| leadership.term != term) {
            if let Some(previous) = self.leadership {
                self.reset_lending(previous.term);
            }
            self.leadership = Some(Leadership { term, confirmed: None, grants_from: None });
        }
        let wait = if self.checks.wait_for_predecessor { self.longest_lease() } else { Span::ZERO };
        let leadership = self.leadership.as_mut().expect("set above");
        leadership.confirmed = leadership.confirmed.max(confirmed);
        // The predecessor was last confirmed before this leader was elected: its grants have expired a lease
        // later.
        leadership.grants_from = leadership.grants_from.or(confirmed.map(|confirmed| confirmed + wait));
        let keys: Vec<BudgetKey> = self.keys.keys().copied().collect();
        for key in keys {
            self.update_leader_income(key);
        }
        self.update_own_grants(now);
    }

    /// This router does not lead. Borrowers show their grants to the new leader, which renews them.
    pub fn follow(&mut self) {
        if self.leadership.take().is_some() {
            self.reset_lending(0);
        }
    }

    /// Drops the accounts of all grants. What this router holds itself counts as granted in `lender_term`.
    fn reset_lending(&mut self, lender_term: u64) {
        for state in self.keys.values_mut() {
            state.ledger.reset();
            state.lender_term = lender_term;
        }
        self.requesters.clear();
    }

    /// The longest that a lease may last by the slowest clock.
    fn longest_lease(&self) -> Span {
        self.timings.lease + self.timings.drift(self.timings.lease)
    }

    /// Sets the leader's income of a key for a lease from the last confirmation on: what the current plan and
    /// the next one both allow.
    fn update_leader_income(&mut self, key: BudgetKey) {
        let Some(confirmed) = self.leadership.and_then(|leadership| leadership.confirmed) else { return };
        let expires = confirmed + self.timings.lease - self.timings.drift(self.timings.lease);
        let reserve_guaranteed = self.checks.reserve_guaranteed;
        let grantable =
            |limit: &BudgetLimit| if reserve_guaranteed { limit.grantable() } else { limit.total };
        let plans = [Some(&self.plan), self.next_plan.as_ref()];
        let limits = plans.into_iter().flatten().filter_map(|plan| plan.limit(key));
        let income = limits.map(grantable).reduce(Quota::min);
        if let (Some(income), Some(state)) = (income, self.keys.get_mut(&key)) {
            state.ledger.set_income(income, expires);
        }
    }

    /// Grants this router its own part of each key, and drops keys that are no longer used.
    pub(super) fn update_own_grants(&mut self, now: Moment) {
        let keys: Vec<BudgetKey> = self.keys.keys().copied().collect();
        for key in keys {
            self.update_own_grant(now, key);
        }
        let is_idle =
            |state: &mut KeyState| state.bucket.is_idle(now, IDLE_KEY_RETENTION) && state.ledger.is_idle();
        self.keys.retain(|_, state| !is_idle(state));
    }

    fn update_own_grant(&mut self, now: Moment, key: BudgetKey) {
        let state = self.keys.get_mut(&key).expect("the key is known");
        let Claim { demand, weight } = state.bucket.claim(now);
        let holdings = state.bucket.holdings(now);
        let weight = if weight == 0 { self.weight } else { weight };
        let demand = KeyDemand { key, demand, weight, holdings, lender_term: state.lender_term };
        let Some(grant) = self.grant(now, self.own, demand) else { return };
        let state = self.keys.get_mut(&key).expect("the key is known");
        let expires = if self.checks.stop_at_expiry { grant.expires } else { Moment::at_micros(u64::MAX) };
        state.bucket.set_grant(now, grant.quota, expires);
        if let Some(leadership) = self.leadership {
            state.lender_term = leadership.term;
        }
    }

    fn grant(&mut self, now: Moment, borrower: Incarnation, demand: KeyDemand) -> Option<Grant> {
        let terms = self.lending_terms(now, &demand)?;
        let state = self.keys.get_mut(&demand.key)?;
        let claim = Claim { demand: demand.demand, weight: demand.weight.clamp(1, MAX_WEIGHT) };
        let request = LoanRequest { borrower, claim, holdings: demand.holdings };
        Some(state.ledger.grant(now, request, &terms))
    }

    fn lending_terms(&self, now: Moment, demand: &KeyDemand) -> Option<LendingTerms> {
        let current = self.plan.limit(demand.key);
        let next = self.next_plan.as_ref().and_then(|plan| plan.limit(demand.key));
        let limit = *current.or(next)?;
        let checks = LedgerChecks {
            drift: self.timings.drift(self.timings.lease),
            count_until_expired: self.checks.count_until_expired,
            count_until_returned: self.checks.count_until_returned,
        };
        Some(LendingTerms {
            limit,
            confirmed: self.leadership.map(|leadership| leadership.confirmed.unwrap_or_default()),
            carried_over: self.carried_over(now, demand, &limit, next),
            checks,
        })
    }

    /// What a new leader renews of its predecessor's grants, until all of them have expired; none once they
    /// have. Where the next plan allows less, the renewed grants are reduced in proportion, so that they fit
    /// it together.
    fn carried_over(
        &self,
        now: Moment,
        demand: &KeyDemand,
        limit: &BudgetLimit,
        next: Option<&BudgetLimit>,
    ) -> Option<Quota> {
        let lag = if self.checks.wait_for_predecessor { limit.release_lag } else { Span::ZERO };
        let leadership = self.leadership?;
        if leadership.grants_from.is_some_and(|grants_from| now >= grants_from + lag) {
            return None;
        }
        let from_predecessor = demand.lender_term != 0 && demand.lender_term < leadership.term;
        let quota = if from_predecessor { demand.holdings } else { Quota::NONE };
        Some(next.map_or(quota, |next| quota.scaled_down(limit.grantable(), next.grantable())))
    }

    /// Answers a router's request. A request that is not newer than the last one of that router is ignored,
    /// as are requests beyond the bounds of memory.
    pub fn grant_request(
        &mut self,
        now: Moment,
        borrower: Incarnation,
        request: QuotaRequest,
    ) -> Option<QuotaGrant> {
        let known = self.requesters.get(&borrower).map(|last| last.nonce);
        let outdated = known.is_some_and(|nonce| nonce >= request.nonce);
        let is_full = known.is_none() && self.requesters.len() >= MAX_REQUESTERS;
        if outdated || is_full || request.demands.len() > MAX_KEYS {
            return None;
        }
        self.requesters.insert(borrower, LastRequest { nonce: request.nonce, received_at: now });
        self.return_unnamed(now, borrower, &request);
        let mut grants = Vec::new();
        for demand in request.demands {
            if self.key_state(now, demand.key).is_none() {
                continue;
            }
            self.update_leader_income(demand.key);
            if let Some(Grant { quota, expires }) = self.grant(now, borrower, demand) {
                let duration_us = expires.since(now).as_micros();
                grants.push(Granted { key: demand.key, quota, duration_us });
            }
        }
        let lender_term = self.leadership.map_or(0, |leadership| leadership.term);
        Some(QuotaGrant { nonce: request.nonce, lender_term, grants })
    }

    /// Takes back all keys that the borrower does not name: it neither wants nor holds them any more.
    fn return_unnamed(&mut self, now: Moment, borrower: Incarnation, request: &QuotaRequest) {
        let named: BTreeSet<BudgetKey> = request.demands.iter().map(|demand| demand.key).collect();
        let is_unnamed =
            |(key, state): &(&BudgetKey, &KeyState)| state.ledger.knows(borrower) && !named.contains(key);
        let unnamed: Vec<BudgetKey> = self.keys.iter().filter(is_unnamed).map(|(key, _)| *key).collect();
        for key in unnamed {
            let nothing =
                KeyDemand { key, demand: Quota::NONE, weight: 1, holdings: Quota::NONE, lender_term: 0 };
            self.grant(now, borrower, nothing);
        }
    }

    /// Forgets the last requests of routers that are no longer members, some time after those.
    pub fn retain(&mut self, now: Moment, is_member: impl Fn(Incarnation) -> bool) {
        let retention = self.timings.lease * REQUESTER_RETENTION_LEASES;
        self.requesters
            .retain(|requester, last| is_member(*requester) || now.since(last.received_at) < retention);
    }
}
