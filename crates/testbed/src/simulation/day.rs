//! The settings of a simulated day.

use tindoor::time::Span;
use tindoor_consensus::SafetyChecks;
use tindoor_membership::Timings;
use tindoor_policy::Policy;
use tindoor_policy::budgets::Budget;
use tindoor_quota::BudgetKey;

/// The minimum limit of concurrent fills on a day with a fill budget.
const MIN_CONCURRENT_FILLS: f64 = 40.0;
/// The minimum burst, in fills, on a day with a fill budget.
const MIN_FILL_BURST: f64 = 60.0;
/// The time from the start of a day to the first proposal. [`DaySettings::fault_duration`] starts at the end
/// of the warm-up.
pub(super) const WARM_UP: Span = Span::millis(2000);
/// The number of routers that the budget allows for beyond the initial ones.
const SPARE_ROUTERS: usize = 3;

/// The names of all faults that can be injected, as given on the command line.
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
    /// How long faults are injected. The day then continues for long enough that all pending changes must be
    /// decided.
    pub fault_duration: Span,
    /// The names of the faults to inject, from [`FAULTS`].
    pub faults: Vec<String>,
    /// The time limits of membership and leases.
    pub timings: Timings,
    /// The safety checks of consensus and quota that are enabled.
    pub checks: SafetyChecks,
    /// The interval between proposals.
    pub proposal_interval: Span,
    /// The mean time between two requests to a router.
    pub request_interval: Span,
    /// The minimum latency of a message.
    pub min_latency: Span,
    /// The upper bound of the random latency that is added to `min_latency`.
    pub latency_jitter: Span,
    /// The fraction of messages that is lost if the fault `drop` is injected.
    pub loss: f64,
    /// The fill budget that the routers share, in fills per second; each request demands one fill. `None` if
    /// the day has no fill budget.
    pub fills_per_second: Option<f64>,
    /// Whether state transitions and faults are printed to standard error as they happen.
    pub trace: bool,
}

impl DaySettings {
    /// Creates the settings of a day without faults and without a fill budget.
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

    /// Returns whether this fault is injected.
    pub fn has(&self, fault: &str) -> bool {
        self.faults.iter().any(|injected| injected == fault)
    }

    /// The time from the end of fault injection to the end of the day.
    pub(super) fn recovery_duration(&self) -> Span {
        let Timings { lease, quorum_loss_grace, .. } = self.timings;
        (lease + quorum_loss_grace) * 2.0 + lease * 6.0
    }

    /// Returns the policy with which the fleet is bootstrapped.
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

    /// Returns a setting of the initial policy's fill budget: `per_s`, `burst` or `in_hand`.
    pub(super) fn fill_budget(&self, setting: &str) -> f64 {
        self.initial_policy().0[&format!("budget.origin_fills.{setting}")]
    }
}

/// The budget key of the fill rate.
pub(super) fn fill_key() -> BudgetKey {
    Budget::OriginFills.key(0)
}

/// The budget key of concurrent fills.
pub(super) fn concurrent_fill_key() -> BudgetKey {
    Budget::ConcurrentOriginFills.key(0)
}
