//! Budgets: what is limited, by how much, and how much of it each router always has.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

use crate::{Quota, UNIT};

/// One budget of one member of its scope, such as a single cache or tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// The number of the budget.
    pub budget: u16,
    /// The member of the budget's scope; 0 for the fleet.
    pub scope: u64,
}

/// What kind of amount a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// Units per second, with one burst for the fleet.
    Rate,
    /// Units in flight at once.
    Concurrency,
    /// A fraction of what another limit allows, applied there over a sliding window.
    Fraction,
}

/// What the whole fleet may spend of a budget, and what each router may spend without a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimit {
    /// What kind of amount is limited.
    pub kind: BudgetKind,
    /// What the fleet may spend.
    pub total: Quota,
    /// The minimum that each router may spend at any time, also when it is partitioned from all others.
    pub guaranteed: Quota,
    /// The most routers that may exist at once, those included that may still spend.
    pub max_routers: u64,
    /// How long a grant still counts after it was lowered or has expired: the longest that a unit is in
    /// flight, or the sliding window of a fraction.
    pub release_lag: Span,
}

impl BudgetLimit {
    /// What remains to be granted once the guaranteed minimum of every possible router is set aside.
    pub fn grantable(&self) -> Quota {
        self.total.minus(self.guaranteed.times(self.max_routers))
    }

    /// The smallest useful amount of `burst`: less than one unit of a burst or of concurrency admits nothing.
    pub fn granularity(&self) -> u64 {
        if self.kind == BudgetKind::Fraction { 1 } else { UNIT }
    }
}

/// The limits of all budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetPlan {
    /// Limits by budget number; each member of the budget's scope has this limit to itself.
    pub by_budget: BTreeMap<u16, BudgetLimit>,
    /// Limits of single keys.
    pub by_key: BTreeMap<BudgetKey, BudgetLimit>,
}

impl BudgetPlan {
    /// The limit of a key; none where it is not limited.
    pub fn limit(&self, key: BudgetKey) -> Option<&BudgetLimit> {
        self.by_budget.get(&key.budget).or_else(|| self.by_key.get(&key))
    }

    /// Whether nothing is limited.
    pub fn is_empty(&self) -> bool {
        self.by_budget.is_empty() && self.by_key.is_empty()
    }
}
