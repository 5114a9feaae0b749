//! The limits of the budgets in the experiment.

use serde_json::{Value, json};

use crate::cluster::Plan;

/// The fraction of each budget that is guaranteed to the routers without a grant.
pub const GUARANTEED_FRACTION: f64 = 0.05;

/// The number of routers that may join the fleet besides those of the plan.
const SPARE_ROUTERS: usize = 4;

/// The minimum burst, in units, for each router that may be in the fleet.
const MIN_BURST_PER_ROUTER: f64 = 2.0;

/// A rate and its burst.
#[derive(Clone, Copy)]
pub struct RateLimit {
    /// Units per second.
    pub per_second: f64,
    /// Burst, in units.
    pub burst: f64,
}

/// The limits of the fleet. They are low enough that clients demand more even on a slow machine, and high
/// enough that a router whose clients demand little demands less than its quota.
pub struct Limits {
    /// Fills by the origin, as in the plan. A lowered rate is half of this rate.
    pub fills: RateLimit,
    /// The maximum number of fills by the origin in flight.
    pub fills_in_flight: f64,
    /// Retries.
    pub retries: RateLimit,
    /// Requests of one account.
    pub requests: RateLimit,
    /// New connections to one endpoint.
    pub connections: RateLimit,
    /// The maximum number of routers in the fleet.
    pub max_routers: usize,
}

impl Limits {
    /// Returns the limits of a plan.
    pub fn of(plan: &Plan) -> Self {
        let max_routers = plan.routers + SPARE_ROUTERS;
        let limit = |per_second: f64, burst: f64| RateLimit {
            per_second,
            burst: burst.max(MIN_BURST_PER_ROUTER * max_routers as f64),
        };
        let [fills_per_second, fill_burst, fills_in_flight] = plan.fills;
        Self {
            fills: limit(fills_per_second, fill_burst),
            fills_in_flight,
            retries: limit(30.0, 40.0),
            requests: limit(400.0, 60.0),
            connections: limit(40.0, 60.0),
            max_routers,
        }
    }

    /// Returns the policy changes that set the limits.
    pub fn policy_changes(&self) -> Value {
        json!({
            "budget.routers_most": self.max_routers,
            "budget.floor_part": GUARANTEED_FRACTION,
            "budget.origin_fills.per_s": self.fills.per_second,
            "budget.origin_fills.burst": self.fills.burst,
            "budget.origin_fills.in_hand": self.fills_in_flight,
            "budget.further.per_s": self.retries.per_second,
            "budget.further.burst": self.retries.burst,
            "budget.accounts.per_s": self.requests.per_second,
            "budget.accounts.burst": self.requests.burst,
            "budget.connections.per_s": self.connections.per_second,
            "budget.connections.burst": self.connections.burst,
        })
    }
}
