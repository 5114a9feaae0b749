//! The budgets of the experiment.

use serde_json::{Value, json};

use crate::cluster::Plan;

/// The part of each budget that is guaranteed to the routers without a grant.
pub const GUARANTEED_PART: f64 = 0.05;

/// Routers that may belong beyond those that are started.
const SPARE_ROUTERS: usize = 4;

/// The least burst for each router that may belong.
const MIN_BURST_PER_ROUTER: f64 = 2.0;

/// A rate and its burst.
#[derive(Clone, Copy)]
pub struct RateLimit {
    /// Units per second.
    pub per_second: f64,
    /// Units at once.
    pub burst: f64,
}

/// The fleet's limits. They are so low that clients demand more even on a slow machine, and so high that a
/// router whose clients demand little demands less than its quota.
pub struct Limits {
    /// Fills by the origin, as the plan has them. A lowered rate is half of this one.
    pub fills: RateLimit,
    /// Fills by the origin that are in flight.
    pub fills_in_flight: f64,
    /// Retries.
    pub retries: RateLimit,
    /// Requests of one account.
    pub requests: RateLimit,
    /// New connections to one endpoint.
    pub connections: RateLimit,
    /// Routers that may belong.
    pub max_routers: usize,
}

impl Limits {
    /// The limits of a plan.
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

    /// The policy changes that set them.
    pub fn policy_changes(&self) -> Value {
        json!({
            "budget.routers_most": self.max_routers,
            "budget.floor_part": GUARANTEED_PART,
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
