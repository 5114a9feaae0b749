//! One router's part in the division of the fleet's budgets: what the router may spend, what it grants to
//! others, and what it requests from its lender. The leader divides the fleet's total; every other router
//! divides the quota that it is granted.

mod borrowing;
mod lending;

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};

use crate::lease_ledger::LeaseLedger;
use crate::token_bucket::TokenBucket;
use crate::{BudgetKey, BudgetLimit, BudgetPlan, Quota};

/// The largest number of keys with state at once, so that one message can list all of them.
const MAX_KEYS: usize = 1024;

/// How long the state of an unused key is kept.
const IDLE_KEY_RETENTION: Span = Span::millis(30_000);

/// The checks that keep the fleet within its totals. A test may disable a check to show that the test detects
/// the resulting fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A grant is outstanding until it has expired.
    pub count_until_expired: bool,
    /// A new leader grants nothing until the grants of its predecessor have expired; until then it only
    /// renews such grants.
    pub wait_for_predecessor: bool,
    /// A grant is outstanding until its borrower reports that it holds less.
    pub count_until_returned: bool,
    /// A burst that is added to a router's grant adds no tokens.
    pub empty_bursts: bool,
    /// A router spends nothing beyond its guaranteed minimum once its grant has expired.
    pub stop_at_expiry: bool,
    /// The leader reserves the guaranteed minima of [`BudgetLimit::max_routers`] routers and grants only the
    /// remainder.
    pub reserve_guaranteed: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            count_until_expired: true,
            wait_for_predecessor: true,
            count_until_returned: true,
            empty_bursts: true,
            stop_at_expiry: true,
            reserve_guaranteed: true,
        }
    }
}

/// The quota of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// The key.
    pub key: BudgetKey,
    /// What this router may spend.
    pub own: Quota,
    /// What the whole fleet may spend.
    pub total: Quota,
}

/// The state of one key at this router.
#[derive(Clone, Debug)]
struct KeyState {
    bucket: TokenBucket,
    ledger: LeaseLedger,
    /// The term of the leader that granted the lendable quota; 0 if a router other than the leader granted
    /// it.
    lender_term: u64,
}

/// This router's leadership of the fleet.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    /// The last moment at which a majority confirmed this leadership.
    confirmed: Option<Moment>,
    /// When this leader starts to make new grants; until then it only renews its predecessor's grants.
    grants_from: Option<Moment>,
}

/// The last request to the lender, while it is unanswered.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    nonce: u64,
    sent_at: Moment,
}

/// The last request that this router received from a borrower.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    nonce: u64,
    received_at: Moment,
}

/// One router's part in the division of the fleet's budgets: spends, requests and grants quota.
#[derive(Clone, Debug)]
pub struct Participant {
    own: Incarnation,
    timings: Timings,
    checks: SafetyChecks,
    weight: u64,
    plan: BudgetPlan,
    /// The plan that a decided change will put into force. Grants must fit both plans.
    next_plan: Option<BudgetPlan>,
    /// Whether this incarnation may spend its guaranteed minima.
    owns_guaranteed: bool,
    keys: BTreeMap<BudgetKey, KeyState>,
    leadership: Option<Leadership>,
    open_request: Option<OpenRequest>,
    last_nonce: u64,
    unanswered_requests: u32,
    requesters: BTreeMap<Incarnation, LastRequest>,
}

impl Participant {
    /// Creates the state of a router without budgets, whose claims have `weight` in the division.
    pub fn new(own: Incarnation, timings: Timings, checks: SafetyChecks, weight: u64) -> Self {
        Self {
            own,
            timings,
            checks,
            weight: weight.max(1),
            plan: BudgetPlan::default(),
            next_plan: None,
            owns_guaranteed: false,
            keys: BTreeMap::new(),
            leadership: None,
            open_request: None,
            // Random, so that an answer to an earlier process at this address matches no request of this one.
            last_nonce: own.0 >> 1,
            unanswered_requests: 0,
            requesters: BTreeMap::new(),
        }
    }

    /// Sets the plan in force at this router, and the plan that will replace it.
    pub fn set_plan(&mut self, now: Moment, plan: BudgetPlan, next: Option<BudgetPlan>) {
        self.plan = plan;
        self.next_plan = next;
        self.keys.retain(|key, _| self.plan.limit(*key).is_some());
        self.update_limits(now);
    }

    /// Sets whether this incarnation may spend its guaranteed minima. It may not do so as long as the
    /// router's previous incarnation might still spend them.
    pub fn set_owns_guaranteed(&mut self, now: Moment, owns: bool) {
        if self.owns_guaranteed != owns {
            self.owns_guaranteed = owns;
            self.update_limits(now);
        }
    }

    fn update_limits(&mut self, now: Moment) {
        for (key, state) in &mut self.keys {
            if let Some(limit) = self.plan.limit(*key) {
                state.bucket.set_limit(now, own_limit(limit, self.owns_guaranteed));
            }
        }
    }

    /// Whether neither the current plan nor a next plan divides any budget.
    pub fn is_idle(&self) -> bool {
        self.plan.is_empty() && self.next_plan.is_none()
    }

    /// Returns the state of a limited key, and creates it on first use. `None` if the key is not limited, or
    /// if [`MAX_KEYS`] other keys already have state.
    fn key_state(&mut self, now: Moment, key: BudgetKey) -> Option<&mut KeyState> {
        let limit = self.plan.limit(key)?;
        if !self.keys.contains_key(&key) && self.keys.len() >= MAX_KEYS {
            return None;
        }
        let (checks, owns_guaranteed) = (self.checks, self.owns_guaranteed);
        Some(self.keys.entry(key).or_insert_with(|| {
            let mut bucket = TokenBucket::new(own_limit(limit, owns_guaranteed), now);
            bucket.fill_added_burst = !checks.empty_bursts;
            KeyState { bucket, ledger: LeaseLedger::default(), lender_term: 0 }
        }))
    }

    /// Whether one unit of each key could be spent now. Keys without a limit are ignored.
    pub fn can_afford(&mut self, now: Moment, keys: &[BudgetKey]) -> bool {
        keys.iter().all(|key| {
            self.plan.limit(*key).is_none()
                || self.key_state(now, *key).is_some_and(|state| state.bucket.can_afford(now))
        })
    }

    /// Spends one unit of each key, or nothing if any key has no unit left. Returns whether units were spent.
    pub fn spend(&mut self, now: Moment, keys: &[BudgetKey]) -> bool {
        if !self.can_afford(now, keys) {
            self.record_refusal(now, keys);
            return false;
        }
        for key in keys {
            if let Some(state) = self.keys.get_mut(key) {
                state.bucket.charge(now);
            }
        }
        true
    }

    /// Records demand for one unit of each key, for a request that was refused because not all units were
    /// available.
    pub fn record_refusal(&mut self, now: Moment, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(state) = self.key_state(now, *key) {
                state.bucket.record_refusal(now);
            }
        }
    }

    /// Settles the charges that were made at `spent_at`, and refunds them unless they were used. For example,
    /// a cache hit causes no fill, so a charge for a fill is refunded.
    pub fn settle(&mut self, now: Moment, spent_at: Moment, keys: &[BudgetKey], used: bool) {
        for key in keys {
            if let Some(state) = self.keys.get_mut(key) {
                state.bucket.settle(now, spent_at, used);
            }
        }
    }

    /// Releases units of concurrency limits that were spent at `spent_at`.
    pub fn release(&mut self, spent_at: Moment, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(state) = self.keys.get_mut(key) {
                state.bucket.release(spent_at);
            }
        }
    }

    /// Returns this router's share of a key's total, from 0 to 1, and records demand for the key. `None` if
    /// the key is not limited.
    pub fn share_fraction(&mut self, now: Moment, key: BudgetKey) -> Option<f64> {
        let state = self.key_state(now, key)?;
        state.bucket.record_refusal(now);
        Some(state.bucket.share_fraction(now))
    }

    /// Returns what this router and the whole fleet may spend now, for each key with state.
    pub fn quotas(&self, now: Moment) -> Vec<QuotaStatus> {
        let status = |(key, state): (&BudgetKey, &KeyState)| QuotaStatus {
            key: *key,
            own: state.bucket.quota(now),
            total: state.bucket.limit().total,
        };
        self.keys.iter().map(status).collect()
    }

    /// Returns all quota that this router itself might still spend of each key, including the guaranteed
    /// minimum.
    pub fn max_spendable(&mut self, now: Moment) -> Vec<(BudgetKey, Quota)> {
        let spendable = |(key, state): (&BudgetKey, &mut KeyState)| {
            (*key, state.bucket.holdings(now).plus(state.bucket.limit().guaranteed))
        };
        self.keys.iter_mut().map(spendable).collect()
    }

    /// Handles a jump of the local clock: drops all grants, whose expiry was measured by that clock. Units in
    /// flight remain counted.
    pub fn clock_jumped(&mut self, now: Moment) {
        let plan = std::mem::take(&mut self.plan);
        let next_plan = self.next_plan.take();
        let keys = std::mem::take(&mut self.keys);
        let last_nonce = self.last_nonce;
        *self = Self::new(self.own, self.timings, self.checks, self.weight);
        self.plan = plan;
        self.next_plan = next_plan;
        self.last_nonce = last_nonce;
        for (key, mut state) in keys {
            state.bucket.clock_jumped(now);
            state.ledger.reset();
            self.keys.insert(key, KeyState { lender_term: 0, ..state });
        }
    }
}

/// The limit that applies to this router's own spending. It has no guaranteed minimum as long as the router's
/// previous incarnation might still spend that minimum.
fn own_limit(limit: &BudgetLimit, owns_guaranteed: bool) -> BudgetLimit {
    if owns_guaranteed { *limit } else { BudgetLimit { guaranteed: Quota::NONE, ..*limit } }
}
