//! The limits that a policy declares for its budgets.

use tindoor::time::Span;
use tindoor_quota::{BudgetKind, BudgetLimit, BudgetPlan, Quota, UNIT};

use super::{Budget, scope_of_name};
use crate::{Policy, PolicyError};

/// The default fraction of each total that is set aside for guaranteed minima.
const DEFAULT_GUARANTEED_FRACTION: f64 = 0.1;

/// The default sliding window of slow start.
const DEFAULT_SLOW_START_WINDOW: Span = Span::millis(1000);

/// The total of a fraction budget, in units: one unit is a thousandth of the whole.
const FRACTION_TOTAL: f64 = 1000.0;

const MICROS_PER_MILLI: f64 = 1000.0;

/// The minimum burst of a rate for each possible router, in units. One unit per router is set aside as its
/// guaranteed minimum; a burst of twice as much leaves at least the same amount to be granted.
const MIN_BURST_PER_ROUTER: f64 = 2.0;

const MAX_ROUTERS_KEY: &str = "budget.routers_most";
const GUARANTEED_FRACTION_KEY: &str = "budget.floor_part";

/// The rate budgets that don't depend on a request class, with the prefixes of their keys.
const RATE_BUDGETS: [(Budget, &str); 6] = [
    (Budget::OriginFills, "budget.origin_fills."),
    (Budget::LocationFills, "budget.location_fills."),
    (Budget::Retries, "budget.further."),
    (Budget::CacheOnlyReads, "budget.looks."),
    (Budget::NewConnections, "budget.connections."),
    (Budget::Tenants, "budget.accounts."),
];

/// Returns the maximum number of routers in the fleet; `None` if the policy does not set it. A policy that
/// declares budgets must set it.
pub fn max_routers(policy: &Policy) -> Option<u64> {
    policy.get(MAX_ROUTERS_KEY).map(|most| most as u64)
}

/// Returns an error if `to` introduces or lowers the bound on the number of routers to less than `possible`,
/// the number of processes that may act: each of them needs its guaranteed minimum. A policy that keeps or
/// raises the bound of `from` is always accepted, even while `possible` includes two incarnations of one
/// router.
pub fn router_bound_objection(from: Option<&Policy>, to: &Policy, possible: u64) -> Option<PolicyError> {
    let before = from.and_then(max_routers);
    let is_too_low = |most: &u64| before.is_none_or(|before| *most < before) && *most < possible;
    let most = max_routers(to).filter(is_too_low)?;
    Some(PolicyError::TooFewRouters { most, possible })
}

/// Returns how many retries each successful request allows at the router that served it; `None` if the policy
/// does not set it.
pub fn retries_per_success(policy: &Policy) -> Option<f64> {
    policy.get("budget.further.per_success")
}

/// Returns the limits of all budgets under a policy. The plan is empty if the policy does not bound the
/// number of routers.
pub fn plan(policy: &Policy) -> BudgetPlan {
    let mut plan = BudgetPlan::default();
    let Some(max_routers) = max_routers(policy).filter(|most| *most > 0) else { return plan };
    let guaranteed_fraction = policy.get(GUARANTEED_FRACTION_KEY).unwrap_or(DEFAULT_GUARANTEED_FRACTION);
    let declared = DeclaredBudgets { policy, max_routers, guaranteed_fraction };
    for (budget, prefix) in RATE_BUDGETS {
        plan.by_budget.extend(declared.rate(prefix).map(|limit| (budget as u16, limit)));
    }
    for name in policy.0.keys() {
        let class = name.strip_prefix("offering.").and_then(|rest| rest.strip_suffix(".origin_fills_per_s"));
        let Some(class) = class else { continue };
        let limit = declared.rate(&format!("offering.{class}.origin_fills_"));
        plan.by_key.extend(limit.map(|limit| (Budget::ClassFills.key(scope_of_name(class)), limit)));
    }
    if let Some(limit) = declared.concurrent_origin_fills() {
        plan.by_budget.insert(Budget::ConcurrentOriginFills as u16, limit);
    }
    if let Some(limit) = declared.slow_start() {
        let budgets = [Budget::WarmingCaches, Budget::WarmingParents];
        plan.by_budget.extend(budgets.map(|budget| (budget as u16, limit)));
    }
    plan
}

/// A policy, with the values that all of its limits share.
struct DeclaredBudgets<'a> {
    policy: &'a Policy,
    max_routers: u64,
    guaranteed_fraction: f64,
}

impl DeclaredBudgets<'_> {
    /// Returns the limit of the rate budget whose keys begin with `prefix`; `None` if it is not declared.
    fn rate(&self, prefix: &str) -> Option<BudgetLimit> {
        let per_second = self.policy.get(&format!("{prefix}per_s"))?;
        let total = Quota::rate(per_second, self.policy.get(&format!("{prefix}burst"))?);
        // A burst below one unit would admit nothing.
        let guaranteed = Quota { rate: self.guaranteed_thousandths(total.rate), burst: UNIT };
        Some(self.limit(BudgetKind::Rate, total, guaranteed, Span::ZERO))
    }

    fn concurrent_origin_fills(&self) -> Option<BudgetLimit> {
        let most = self.policy.get("budget.origin_fills.in_hand")?;
        let guaranteed =
            Quota::concurrency((most * self.guaranteed_fraction / self.max_routers as f64).floor());
        let total = Quota::concurrency(most);
        Some(self.limit(BudgetKind::Concurrency, total, guaranteed, self.longest_deadline()))
    }

    /// Returns the longest deadline of the request classes: the maximum time that a request, and a fill for
    /// it, is in flight.
    fn longest_deadline(&self) -> Span {
        let deadlines = self.policy.0.iter().filter(|(name, _)| name.ends_with(".cut_off_ms"));
        span_of_millis(deadlines.map(|(_, ms)| *ms).fold(0.0, f64::max))
    }

    /// Returns the limit of slow-start allowances; `None` if they are not divided by demand.
    fn slow_start(&self) -> Option<BudgetLimit> {
        if self.policy.get("budget.cold_parts") != Some(1.0) {
            return None;
        }
        let total = Quota::concurrency(FRACTION_TOTAL);
        let guaranteed = Quota { rate: 0, burst: self.guaranteed_thousandths(total.burst) };
        let window = self.policy.get("cold_window_ms").map_or(DEFAULT_SLOW_START_WINDOW, span_of_millis);
        Some(self.limit(BudgetKind::Fraction, total, guaranteed, window))
    }

    /// Returns the guaranteed minimum of each router; it and `total` are in thousandths of a unit.
    fn guaranteed_thousandths(&self, total: u64) -> u64 {
        (total as f64 * self.guaranteed_fraction / self.max_routers as f64) as u64
    }

    fn limit(&self, kind: BudgetKind, total: Quota, guaranteed: Quota, release_lag: Span) -> BudgetLimit {
        BudgetLimit { kind, total, guaranteed, max_routers: self.max_routers, release_lag }
    }
}

fn span_of_millis(ms: f64) -> Span {
    Span::micros((ms * MICROS_PER_MILLI) as u64)
}

/// Checks that all keys that a budget depends on are set, and that each burst is large enough to be divided.
pub(crate) fn check(policy: &Policy) -> Result<(), PolicyError> {
    let max_routers = policy.get(MAX_ROUTERS_KEY);
    for name in policy.0.keys() {
        if let Some(prefix) = name.strip_suffix("per_s") {
            let routers = max_routers.ok_or_else(|| PolicyError::WithoutMaxRouters { key: name.clone() })?;
            check_burst(policy, name, prefix, routers)?;
        } else if name.starts_with("budget.") && name != GUARANTEED_FRACTION_KEY && max_routers.is_none() {
            return Err(PolicyError::WithoutMaxRouters { key: name.clone() });
        }
    }
    Ok(())
}

fn check_burst(policy: &Policy, rate_key: &str, prefix: &str, routers: f64) -> Result<(), PolicyError> {
    let burst_key = format!("{prefix}burst");
    match policy.get(&burst_key) {
        None => Err(PolicyError::WithoutBurst { key: rate_key.to_string(), burst_key }),
        Some(burst) if burst < MIN_BURST_PER_ROUTER * routers => {
            Err(PolicyError::BurstTooSmall { burst_key, burst, routers })
        }
        Some(_) => Ok(()),
    }
}
