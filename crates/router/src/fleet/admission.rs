//! The admission gate of the routing engine. Admits requests while this router holds a valid policy lease,
//! and within the limits of the policy and of this router's quota.

use std::time::Duration;

use tindoor::host::{Outcome, QuotaCharge};
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};
use tindoor_policy::budgets::{self, Budget};
use tindoor_policy::{OutcomeCount, PolicyVersion, keys};
use tindoor_quota::{Participant, QuotaStatus, RetryBudget};
use tindoor_request_runtime::{AdmissionGate, AttemptCharge};

use super::Fleet;
use super::runtime::ExitOnPanic;

/// The policy key of the maximum number of open requests.
pub(super) const MAX_OPEN_REQUESTS_KEY: &str = "limit.open_views";

/// The number of policy generations whose latency objectives are kept, as requests in flight may have been
/// admitted a few generations ago. Outcomes of requests from older generations are not counted.
const KEPT_OBJECTIVES: usize = 8;

/// The latency objectives of one generation, by request class.
pub(super) struct LatencyObjectives {
    generation: u64,
    by_class: Vec<Duration>,
}

/// Returns the policy key of a class's latency objective, which is in milliseconds.
fn latency_objective_key(class: &str) -> String {
    format!("offering.{class}.latency_goal_ms")
}

impl Fleet {
    /// Adopts a policy: applies its limits and budgets, and returns the settings of the routing engine under
    /// it. `None` if the policy can't be applied to the settings with which this router was started.
    fn adopt(&self, version: &PolicyVersion) -> Option<Settings> {
        let policy = &version.policy;
        let mut settings = keys::apply_to_settings(policy, &self.settings, &self.classes).ok()?;
        if !self.checks.pinned_settings {
            settings.attempts.follows_new_settings = true;
        }
        self.keep_latency_objectives(version);
        // If the policy sets no limit, as after a revert, the limit is the one the router was started with.
        let limit = policy.0.get(MAX_OPEN_REQUESTS_KEY).map(|limit| *limit as usize);
        self.open_requests_limit.set(limit.unwrap_or(self.started_open_requests_limit));
        let known = self.retry_budget.get();
        let per_success = budgets::retries_per_success(policy);
        self.retry_budget.set(
            per_success
                .map(|each| known.map_or(RetryBudget::new(each), |known| known.with_per_success(each))),
        );
        self.adopted_generation.set(version.generation);
        Some(settings)
    }

    fn keep_latency_objectives(&self, version: &PolicyVersion) {
        let objective = |class: &String| {
            let ms = version.policy.0.get(&latency_objective_key(class));
            Duration::from_micros((ms.copied().unwrap_or_default() * 1000.0) as u64)
        };
        let by_class = self.classes.iter().map(objective).collect();
        let mut objectives = self.latency_objectives.borrow_mut();
        objectives.push(LatencyObjectives { generation: version.generation, by_class });
        if objectives.len() > KEPT_OBJECTIVES {
            objectives.remove(0);
        }
    }

    /// Runs an operation on this router's quota at the current time.
    fn with_quota<T>(&self, operation: impl FnOnce(&mut Participant, Moment) -> T) -> T {
        let _exit = ExitOnPanic;
        let mut node = self.node.borrow_mut();
        let (now, has_jumped) = self.clock.now();
        if has_jumped {
            node.clock_jumped(now);
        }
        operation(node.quota(), now)
    }

    /// Charges a new connection to `cache`. Returns false if the quota does not allow the connection.
    pub fn charge_connection(&self, cache: &str) -> bool {
        let key = Budget::NewConnections.key(budgets::scope_of_name(cache));
        self.with_quota(|participant, now| participant.spend(now, &[key]))
    }

    /// Returns, for each budget known to this router, what this router and the whole fleet may spend.
    pub fn quotas(&self) -> Vec<QuotaStatus> {
        self.with_quota(|participant, now| participant.quotas(now))
    }
}

impl AdmissionGate for Fleet {
    fn updated_settings(&self) -> Result<Option<Settings>, Span> {
        let _exit = ExitOnPanic;
        let mut node = self.node.borrow_mut();
        let (now, has_jumped) = self.clock.now();
        if has_jumped {
            node.clock_jumped(now);
        }
        match node.active_policy(now) {
            Ok(version) if version.generation == self.adopted_generation.get() => Ok(None),
            Ok(version) => Ok(self.adopt(version)),
            Err(_) => Err(self.retry_after),
        }
    }

    fn max_in_flight(&self) -> usize {
        self.open_requests_limit.get()
    }

    fn admit(&self, account: u64) -> Result<u64, Span> {
        // Rejects one account's excess requests before they use capacity that other accounts share.
        let key = Budget::Tenants.key(account);
        match self.with_quota(|participant, now| participant.spend(now, &[key])) {
            true => Ok(self.adopted_generation.get()),
            false => Err(self.retry_after),
        }
    }

    fn request_ended(&self, generation: u64, class: u16, done: bool, took: Duration) {
        if done {
            self.retry_budget.set(self.retry_budget.get().map(RetryBudget::after_success));
        }
        let objectives = self.latency_objectives.borrow();
        let objectives = objectives.iter().find(|objectives| objectives.generation == generation);
        let objective = objectives.and_then(|objectives| objectives.by_class.get(class as usize));
        let Some(objective) = objective else { return };
        let count = OutcomeCount { requests: 1, in_time: u64::from(done && took <= *objective) };
        self.node.borrow_mut().record_outcomes(generation, class, count);
    }

    fn can_afford_fill(&self, class: u16) -> bool {
        let keys = self.budget_scope.fill_keys(class);
        self.with_quota(|participant, now| participant.can_afford(now, &keys))
    }

    fn charge_quota(&self, charge: &QuotaCharge) -> Option<AttemptCharge> {
        let retry_budget = self.retry_budget.get();
        if charge.is_retry && retry_budget.is_some_and(|budget| !budget.can_afford()) {
            return None;
        }
        let keys = self.budget_scope.charged_keys(charge);
        let at = self.with_quota(|participant, now| {
            // An attempt that is sent without a fill because the quota can't pay for one still adds to the
            // demand for fills.
            let fills = self.budget_scope.fill_keys(charge.class);
            if !charge.may_fill_from_origin && !charge.is_retry && !participant.can_afford(now, &fills) {
                participant.record_refusal(now, &fills);
            }
            participant.spend(now, &keys).then_some(now)
        })?;
        if charge.is_retry {
            self.retry_budget.set(retry_budget.map(RetryBudget::after_retry));
        }
        Some(AttemptCharge { at, class: charge.class, may_fill_from_origin: charge.may_fill_from_origin })
    }

    fn settle_charge(&self, charge: AttemptCharge, outcome: Outcome) {
        let keys = self.budget_scope.fill_keys(charge.class);
        // The last key limits fills in flight; the others are rate limits.
        let in_flight = &keys[keys.len() - 1..];
        self.with_quota(|participant, now| {
            participant.settle(now, charge.at, &keys, self.budget_scope.may_have_filled(outcome));
            participant.release(charge.at, in_flight);
        });
    }

    fn slow_start_share(&self, stable: u64, parent: bool) -> Option<f64> {
        let budget = if parent { Budget::WarmingParents } else { Budget::WarmingCaches };
        self.with_quota(|participant, now| participant.share_fraction(now, budget.key(stable)))
    }
}
