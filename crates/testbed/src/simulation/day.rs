//! The settings of a simulated day.

use tindoor::time::Span;
use tindoor_consensus::SafetyChecks;
use tindoor_membership::Timings;
use tindoor_policy::Policy;
use tindoor_policy::budgets::Budget;
use tindoor_quota::BudgetKey;

/// The least limit of concurrent fills on a day with a budget.
const MIN_CONCURRENT_FILLS: f64 = 40.0;
/// The least burst of fills on a day with a budget.
const MIN_FILL_BURST: f64 = 60.0;
/// From the beginning of a day to the first proposal. The time in which faults are injected counts from then
/// on.
pub(super) const WARM_UP: Span = Span::millis(2000);
/// How many routers beyond the initial ones the budget is laid out for.
const SPARE_ROUTERS: usize = 3;

/// The faults that a day can have, as users name them.
pub const FAULTS: &[&str] = &[
    "drop",
    "delay",
    "duplicate",
    "oneway",
    "split",
    "kill",
    "killmost",
    "pause",
    "restart",
    "forget",
    "leader",
    "proposers",
    "clock",
    "badchange",
    "away",
    "sleep",
    "deaf",
    "lower",
    "shift",
];

/// The settings of a simulated day.
#[derive(Clone, Debug)]
pub struct DaySettings {
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of routers.
    pub routers: usize,
    /// How long faults are injected. The day goes on afterwards until pending changes must have been decided.
    pub fault_duration: Span,
    /// The faults to inject, out of [`FAULTS`].
    pub faults: Vec<String>,
    /// The timings of membership and leases.
    pub timings: Timings,
    /// The safety checks of consensus and quota that are enabled.
    pub checks: SafetyChecks,
    /// Time between two proposals.
    pub proposal_interval: Span,
    /// Mean time between two requests of a router.
    pub request_interval: Span,
    /// The least latency of a message.
    pub min_latency: Span,
    /// The upper bound of the random latency added to it.
    pub latency_jitter: Span,
    /// The part of messages lost where the fault `drop` is injected.
    pub loss: f64,
    /// The fills per second that the routers divide among themselves; each request wants one.
    pub fills_per_second: Option<f64>,
    /// Whether transitions and faults are printed as they come.
    pub trace: bool,
}

impl DaySettings {
    /// A day without faults and budgets.
    pub fn new(seed: u64, routers: usize) -> Self {
        let timings = Timings {
            lease: Span::millis(1500),
            quorum_loss_grace: Span::secs(6.0),
            clock_bound: Span::millis(40),
            heartbeat_interval: Span::millis(200),
            drift_ppm: 200,
        };
        Self {
            seed,
            routers,
            fault_duration: Span::secs(25.0),
            faults: Vec::new(),
            timings,
            checks: SafetyChecks::default(),
            proposal_interval: Span::secs(2.5),
            request_interval: Span::millis(20),
            min_latency: Span::micros(200),
            latency_jitter: Span::millis(3),
            loss: 0.1,
            fills_per_second: None,
            trace: false,
        }
    }

    /// Whether the day has this fault.
    pub fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|injected| injected == fault)
    }

    /// How long the day goes on after the last fault.
    pub(super) fn recovery_duration(&self) -> Span {
        let Timings { lease, quorum_loss_grace, .. } = self.timings;
        (lease + quorum_loss_grace) * 2.0 + lease * 6.0
    }

    /// The policy with which the fleet is bootstrapped.
    pub(super) fn initial_policy(&self) -> Policy {
        let Some(rate) = self.fills_per_second else { return Policy::default() };
        let max_routers = (self.routers + SPARE_ROUTERS) as f64;
        let burst = MIN_FILL_BURST.max(2.0 * max_routers);
        let concurrent = MIN_CONCURRENT_FILLS.max(rate * 0.6).max(self.routers as f64 * 2.0);
        let settings = [
            ("budget.routers_most", max_routers),
            ("budget.floor_part", 0.05),
            ("budget.origin_fills.per_s", rate),
            ("budget.origin_fills.burst", burst),
            ("budget.origin_fills.in_hand", concurrent),
            ("offering.pages.cut_off_ms", 500.0),
        ];
        Policy::default().with(settings.map(|(key, number)| (key.to_string(), number)))
    }

    /// A number of the initial policy's fill budget: `per_s`, `burst` or `in_hand`.
    pub(super) fn fill_budget(&self, setting: &str) -> f64 {
        self.initial_policy().0[&format!("budget.origin_fills.{setting}")]
    }
}

/// The budget key of the rate of fills.
pub(super) fn fill_key() -> BudgetKey {
    Budget::OriginFills.key(0)
}

/// The budget key of concurrent fills.
pub(super) fn concurrent_fill_key() -> BudgetKey {
    Budget::ConcurrentOriginFills.key(0)
}
