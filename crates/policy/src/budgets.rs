//! The budgets that a policy declares, as what is divided among the routers.

mod charges;
mod limits;

pub use charges::{BudgetScope, ChargedKeys};
pub(crate) use limits::check;
pub use limits::max_routers;
pub use limits::{plan, retries_per_success, router_bound_objection};

use tindoor::host::stable_id;
use tindoor_quota::BudgetKey;

/// The budgets, by the numbers that name them in messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Budget {
    /// Fills from the origin, of the fleet.
    OriginFills = 1,
    /// Fills from the origin, of each location.
    LocationFills = 2,
    /// Fills from the origin, of each request class.
    ClassFills = 3,
    /// Fills from the origin in flight at once, of the fleet.
    ConcurrentOriginFills = 4,
    /// Attempts after a failed one, of the fleet.
    Retries = 5,
    /// Cache-only reads, of each cache.
    CacheOnlyReads = 6,
    /// New connections, to each cache.
    NewConnections = 7,
    /// Requests, of each tenant.
    Tenants = 8,
    /// The slow-start allowance of each warming cache, among the routers of its location.
    WarmingCaches = 9,
    /// The slow-start allowance of each warming parent.
    WarmingParents = 10,
}

/// The scope of budgets that the fleet has as a whole.
pub const FLEET_SCOPE: u64 = 0;

/// The names of budgets as operators read them, in the order of their numbers. They follow the keys of the
/// policy.
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
    /// The key of this budget for one member of its scope.
    pub fn key(self, scope: u64) -> BudgetKey {
        BudgetKey { budget: self as u16, scope }
    }

    /// The name of a key's budget, as operators read it.
    pub fn name(key: BudgetKey) -> &'static str {
        BUDGET_NAMES.get(usize::from(key.budget).wrapping_sub(1)).copied().unwrap_or("unknown")
    }
}

/// The scope that stands for a named member, such as a request class or an endpoint: its stable id.
pub fn scope_of_name(name: &str) -> u64 {
    stable_id(name)
}
