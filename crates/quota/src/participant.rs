//! One router's part in the division of the fleet's budgets: what it may spend, what it grants to others, and
//! what it requests from its lender. The leader has the fleet's total; every other router has what it is
//! granted.

mod borrowing;
mod lending;

use std::collections::BTreeMap;

use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};

use crate::lease_ledger::LeaseLedger;
use crate::token_bucket::TokenBucket;
use crate::{BudgetKey, BudgetLimit, BudgetPlan, Quota};

/// The most keys that are known at once, so that one message can name all of them.
const MAX_KEYS: usize = 1024;

/// How long a key is kept that is not used.
const IDLE_KEY_RETENTION: Span = Span::millis(30_000);

/// Checks that keep the fleet within its totals. A test may disable one to show that its audit detects the
/// fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A grant counts as outstanding until it has expired.
    pub count_until_expired: bool,
    /// A new leader waits until the grants of its predecessor have expired, except for those that it renews.
    pub wait_for_predecessor: bool,
    /// A grant counts as outstanding until its borrower reports that it holds less.
    pub count_until_returned: bool,
    /// Burst that is moved to a router comes without tokens.
    pub empty_bursts: bool,
    /// A router spends nothing beyond its guaranteed minimum once its lease is over.
    pub stop_at_expiry: bool,
    /// The guaranteed minima of all possible routers are set aside from what is granted.
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

/// What may be spent of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// The key.
    pub key: BudgetKey,
    /// What this router may spend.
    pub own: Quota,
    /// What the fleet may spend.
    pub total: Quota,
}

/// One key as this router knows it.
#[derive(Clone, Debug)]
struct KeyState {
    bucket: TokenBucket,
    ledger: LeaseLedger,
    /// The term of the leader that granted the income; 0 where another router did.
    lender_term: u64,
}

/// This router's leadership.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    /// The last moment at which a majority confirmed it.
    confirmed: Option<Moment>,
    /// From when on it grants more than it renews.
    grants_from: Option<Moment>,
}

/// The request that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    nonce: u64,
    sent_at: Moment,
}

/// The last request of a router that requests quota here.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    nonce: u64,
    received_at: Moment,
}

/// One router's part in the division of the fleet's budgets.
#[derive(Clone, Debug)]
pub struct Participant {
    own: Incarnation,
    timings: Timings,
    checks: SafetyChecks,
    weight: u64,
    plan: BudgetPlan,
    /// The plan after a decided change; grants must fit both.
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
    /// A router without budgets, whose claims have `weight` in the division.
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
            last_nonce: 0,
            unanswered_requests: 0,
            requesters: BTreeMap::new(),
        }
    }

    /// Sets the plan in force at this router, and the one that follows it.
    pub fn set_plan(&mut self, now: Moment, plan: BudgetPlan, next: Option<BudgetPlan>) {
        self.plan = plan;
        self.next_plan = next;
        self.keys.retain(|key, _| self.plan.limit(*key).is_some());
        self.update_limits(now);
    }

    /// Sets whether this incarnation may spend its guaranteed minima: while the one before it might, it may
    /// not.
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

    /// Whether no budget is divided, now or by the next plan.
    pub fn is_idle(&self) -> bool {
        self.plan.is_empty() && self.next_plan.is_none()
    }

    /// The state of a limited key, which is created on its first use.
    fn key_state(&mut self, now: Moment, key: BudgetKey) -> Option<&mut KeyState> {
        let limit = self.plan.limit(key)?;
        if !self.keys.contains_key(&key) && self.keys.len() >= MAX_KEYS {
            return None;
        }
        let (checks, owns_guaranteed) = (self.checks, self.owns_guaranteed);
        Some(self.keys.entry(key).or_insert_with(|| {
            let mut bucket = TokenBucket::new(own_limit(limit, owns_guaranteed), now);
            bucket.burst_comes_full = !checks.empty_bursts;
            KeyState { bucket, ledger: LeaseLedger::default(), lender_term: 0 }
        }))
    }

    /// Whether one unit of each key could be spent now. Keys that are not limited always can.
    pub fn can_afford(&mut self, now: Moment, keys: &[BudgetKey]) -> bool {
        keys.iter().all(|key| {
            self.plan.limit(*key).is_none()
                || self.key_state(now, *key).is_some_and(|state| state.bucket.can_afford(now))
        })
    }

    /// Spends one unit of each key, or none of any; returns whether it did.
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

    /// Records that one unit of each key was wanted, and not all were available.
    pub fn record_refusal(&mut self, now: Moment, keys: &[BudgetKey]) {
        for key in keys {
            if let Some(state) = self.key_state(now, *key) {
                state.bucket.record_refusal(now);
            }
        }
    }

    /// Ends the charges that were made at `spent_at`, and refunds them unless they were used: a cache hit
    /// fills nothing.
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

    /// This router's fraction of a key, and records that it was wanted; none where the key is not limited.
    pub fn share_fraction(&mut self, now: Moment, key: BudgetKey) -> Option<f64> {
        let state = self.key_state(now, key)?;
        state.bucket.record_refusal(now);
        Some(state.bucket.share_fraction(now))
    }

    /// What this router and the fleet may spend of each known key now.
    pub fn quotas(&self, now: Moment) -> Vec<QuotaStatus> {
        let status = |(key, state): (&BudgetKey, &KeyState)| QuotaStatus {
            key: *key,
            own: state.bucket.quota(now),
            total: state.bucket.limit().total,
        };
        self.keys.iter().map(status).collect()
    }

    /// All that this router itself might still spend of each key, the guaranteed minimum included.
    pub fn max_spendable(&mut self, now: Moment) -> Vec<(BudgetKey, Quota)> {
        let spendable = |(key, state): (&BudgetKey, &mut KeyState)| {
            (*key, state.bucket.holdings(now).plus(state.bucket.limit().guaranteed))
        };
        self.keys.iter_mut().map(spendable).collect()
    }

    /// Drops all grants that were counted by the clock before it jumped. Units in flight stay so.
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

/// The limit by which one router spends: without a guaranteed minimum while that may be another
/// incarnation's.
fn own_limit(limit: &BudgetLimit, owns_guaranteed: bool) -> BudgetLimit {
    if owns_guaranteed { *limit } else { BudgetLimit { guaranteed: Quota::NONE, ..*limit } }
}
