//! Budgets: what is limited, the fleet-wide limit, and the guaranteed minimum of each router.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tindoor::time::Span;

use crate::{Quota, UNIT};

/// Identifies one budget of one member of its scope, such as a single cache or tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// The number of the budget.
    pub budget: u16,
    /// The member of the budget's scope; 0 for a budget of the whole fleet.
    pub scope: u64,
}

/// The kind of amount that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// Units per second, with one burst for the whole fleet.
    Rate,
    /// Units in flight at once.
    Concurrency,
    /// A fraction of the amount that another limit allows. That limit applies the fraction over a sliding
    /// window.
    Fraction,
}

/// The limit of a budget: what the whole fleet may spend, and what each router may spend without a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimit {
    /// The kind of amount that is limited.
    pub kind: BudgetKind,
    /// What the whole fleet may spend.
    pub total: Quota,
    /// The minimum that each router may spend at any time, even when it is partitioned from all others.
    pub guaranteed: Quota,
    /// The largest number of routers that may exist at once, including removed routers that may still spend.
    pub max_routers: u64,
    /// How long a grant still counts as spent after it was lowered or has expired: the longest time that a
    /// unit can be in flight, or the sliding window of a fraction.
    pub release_lag: Span,
}

impl BudgetLimit {
    /// The part of the total that may be granted: the total minus the guaranteed minima of
    /// [`Self::max_routers`] routers.
    pub fn grantable(&self) -> Quota {
        self.total.minus(self.guaranteed.times(self.max_routers))
    }

    /// The smallest useful amount of [`Quota::burst`], in thousandths of a unit. Less than one unit of a
    /// burst or of concurrency admits no request.
    pub fn granularity(&self) -> u64 {
        if self.kind == BudgetKind::Fraction { 1 } else { UNIT }
    }
}

/// The limits of all budgets. A key without a limit is unlimited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetPlan {
    /// Limits by budget number. The limit applies to each member of the budget's scope separately.
    pub by_budget: BTreeMap<u16, BudgetLimit>,
    /// Limits of single keys, for budgets without an entry in [`Self::by_budget`].
    pub by_key: BTreeMap<BudgetKey, BudgetLimit>,
}

impl BudgetPlan {
    /// Returns the limit of a key. `None` if the key is not limited.
    pub fn limit(&self, key: BudgetKey) -> Option<&BudgetLimit> {
        self.by_budget.get(&key.budget).or_else(|| self.by_key.get(&key))
    }

    /// Whether no budget is limited.
    pub fn is_empty(&self) -> bool {
        self.by_budget.is_empty() && self.by_key.is_empty()
    }
}
