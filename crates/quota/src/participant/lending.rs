//! The lender's side: the leader's lendable quota, and grants to borrowers. A router is also a borrower from
//! its own ledger.

use std::collections::BTreeSet;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;

use super::{IDLE_KEY_RETENTION, KeyState, LastRequest, Leadership, MAX_KEYS, Participant};
use crate::lease_ledger::{Claim, Grant, LedgerChecks, LendingTerms, LoanRequest};
use crate::{BudgetKey, BudgetLimit, Granted, KeyDemand, Quota, QuotaGrant, QuotaRequest};

/// The largest number of routers whose last request is remembered. Requests of further routers are ignored.
const MAX_REQUESTERS: usize = 8192;

/// The largest weight in the division; the bound keeps sums of weights from overflowing.
const MAX_WEIGHT: u64 = 1 << 40;

/// How long the last request of a router that is no longer a member is remembered, in leases.
const REQUESTER_RETENTION_LEASES: f64 = 4.0;

impl Participant {
    /// Records that this router leads in `term`, and that a majority last confirmed its leadership at
    /// `confirmed`. Routers' leases are measured from the same confirmations.
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
        // The predecessor was last confirmed before this leader was elected, so its grants have expired one
        // lease after this leader's first confirmation.
        leadership.grants_from = leadership.grants_from.or(confirmed.map(|confirmed| confirmed + wait));
        let keys: Vec<BudgetKey> = self.keys.keys().copied().collect();
        for key in keys {
            self.update_leader_lendable(key);
        }
        self.update_own_grants(now);
    }

    /// Records that this router does not lead. Borrowers report their grants to the new leader, which renews
    /// them.
    pub fn follow(&mut self) {
        if self.leadership.take().is_some() {
            self.reset_lending(0);
        }
    }

    /// Clears the ledgers of all keys. The quota that this router itself holds is reported as granted in
    /// `lender_term`.
    fn reset_lending(&mut self, lender_term: u64) {
        for state in self.keys.values_mut() {
            state.ledger.reset();
            state.lender_term = lender_term;
        }
        self.requesters.clear();
    }

    /// The longest time that a lease may last if its holder measures it by a slow clock.
    fn longest_lease(&self) -> Span {
        self.timings.lease + self.timings.drift(self.timings.lease)
    }

    /// Sets the leader's lendable quota of a key to what both the current and the next plan allow, for one
    /// lease from the last confirmation. Does nothing if this router does not lead or is not confirmed yet.
    fn update_leader_lendable(&mut self, key: BudgetKey) {
        let Some(confirmed) = self.leadership.and_then(|leadership| leadership.confirmed) else { return };
        let expires = confirmed + self.timings.lease - self.timings.drift(self.timings.lease);
        let reserve_guaranteed = self.checks.reserve_guaranteed;
        let grantable =
            |limit: &BudgetLimit| if reserve_guaranteed { limit.grantable() } else { limit.total };
        let plans = [Some(&self.plan), self.next_plan.as_ref()];
        let limits = plans.into_iter().flatten().filter_map(|plan| plan.limit(key));
        let lendable = limits.map(grantable).reduce(Quota::min);
        if let (Some(lendable), Some(state)) = (lendable, self.keys.get_mut(&key)) {
            state.ledger.set_lendable(lendable, expires);
        }
    }

    /// Grants this router its own share of each key, and drops the state of idle keys.
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

    /// Grants a borrower quota of one key. `None` if the key is not limited or has no state.
    fn grant(&mut self, now: Moment, borrower: Incarnation, demand: KeyDemand) -> Option<Grant> {
        let terms = self.lending_terms(now, &demand)?;
        let state = self.keys.get_mut(&demand.key)?;
        let claim = Claim { demand: demand.demand, weight: demand.weight.clamp(1, MAX_WEIGHT) };
        let request = LoanRequest { borrower, claim, holdings: demand.holdings };
        Some(state.ledger.grant(now, request, &terms))
    }

    /// Returns the conditions for granting quota of a key now. `None` if the key is not limited.
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

    /// Returns the part of a borrower's holdings that a new leader renews because its predecessor granted it.
    /// `None` if this router does not lead, or once all of the predecessor's grants have expired.
    ///
    /// If the next plan allows less than the current one, the renewed grants are reduced in proportion, so
    /// that all of them together fit the next plan.
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

    /// Answers a router's request for quota.
    ///
    /// Ignores the request and returns `None` if it is not newer than the router's last request, if it lists
    /// more than 1024 keys, or if it comes from a new router while 8192 other routers are remembered.
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
        self.reclaim_unlisted(now, borrower, &request);
        let mut grants = Vec::new();
        for demand in request.demands {
            if self.key_state(now, demand.key).is_none() {
                continue;
            }
            self.update_leader_lendable(demand.key);
            if let Some(Grant { quota, expires }) = self.grant(now, borrower, demand) {
                let duration_us = expires.since(now).as_micros();
                grants.push(Granted { key: demand.key, quota, duration_us });
            }
        }
        let lender_term = self.leadership.map_or(0, |leadership| leadership.term);
        Some(QuotaGrant { nonce: request.nonce, lender_term, grants })
    }

    /// Reclaims the borrower's grants of all keys that its request does not list: the borrower neither
    /// requests nor holds quota of them any more.
    fn reclaim_unlisted(&mut self, now: Moment, borrower: Incarnation, request: &QuotaRequest) {
        let listed: BTreeSet<BudgetKey> = request.demands.iter().map(|demand| demand.key).collect();
        let is_unlisted = |(key, state): &(&BudgetKey, &KeyState)| {
            state.ledger.has_borrower(borrower) && !listed.contains(key)
        };
        let unlisted: Vec<BudgetKey> = self.keys.iter().filter(is_unlisted).map(|(key, _)| *key).collect();
        for key in unlisted {
            let no_demand =
                KeyDemand { key, demand: Quota::NONE, weight: 1, holdings: Quota::NONE, lender_term: 0 };
            self.grant(now, borrower, no_demand);
        }
    }

    /// Forgets routers that are no longer members, four leases after their last request.
    pub fn retain(&mut self, now: Moment, is_member: impl Fn(Incarnation) -> bool) {
        let retention = self.timings.lease * REQUESTER_RETENTION_LEASES;
        self.requesters
            .retain(|requester, last| is_member(*requester) || now.since(last.received_at) < retention);
    }
}
