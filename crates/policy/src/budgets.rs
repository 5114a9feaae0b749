//! The budgets that a policy declares: their limits, which are divided among the routers, and the budgets
//! that each attempt is charged to.

mod charges;
mod limits;

pub use charges::{BudgetScope, ChargedKeys};
pub(crate) use limits::check;
pub use limits::max_routers;
pub use limits::{plan, retries_per_success, router_bound_objection};

use tindoor::host::stable_id;
use tindoor_quota::BudgetKey;

/// A budget. Messages between routers identify a budget by its number here, so the numbers must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Budget {
    /// Fills from the origin per second, for the whole fleet.
    OriginFills = 1,
    /// Fills from the origin per second, for each location.
    LocationFills = 2,
    /// Fills from the origin per second, for each request class.
    ClassFills = 3,
    /// Fills from the origin in flight at once, for the whole fleet.
    ConcurrentOriginFills = 4,
    /// Retries per second, for the whole fleet.
    Retries = 5,
    /// Cache-only reads per second, at each cache.
    CacheOnlyReads = 6,
    /// New connections per second, to each cache.
    NewConnections = 7,
    /// Requests per second, for each tenant.
    Tenants = 8,
    /// The slow-start allowance of each warming cache, divided among the routers of its location.
    WarmingCaches = 9,
    /// The slow-start allowance of each warming parent.
    WarmingParents = 10,
}

/// The scope of budgets that apply to the whole fleet.
pub const FLEET_SCOPE: u64 = 0;

/// The names of budgets for operators, in the order of their numbers. They follow the keys of the policy.
const BUDGET_NAMES: [&str; 10] = [
    "origin_fills",
    "location_fills",
    "offering_fills",
    "origin_fills.in_hand",
    "further",
    "looks",
    "connections",
    "accounts",
    "cold_parts of caches",
    "cold_parts of parents",
];

impl Budget {
    /// Returns the key of this budget for one scope, such as one location or one cache.
    pub fn key(self, scope: u64) -> BudgetKey {
        BudgetKey { budget: self as u16, scope }
    }

    /// Returns the name of a key's budget for operators; `"unknown"` if there is no budget with its number.
    pub fn name(key: BudgetKey) -> &'static str {
        BUDGET_NAMES.get(usize::from(key.budget).wrapping_sub(1)).copied().unwrap_or("unknown")
    }
}

/// Returns the scope of something named, such as a request class or an endpoint: the stable id of its name.
pub fn scope_of_name(name: &str) -> u64 {
    stable_id(name)
}
