//! The settings of a deployment as the routing engine uses them: one struct for each concern, with typed
//! values.
//!
//! Values that a deployment may leave out are `Option`s; the accessor of the same concern has the default.

use crate::time::Span;

/// The settings that one engine decides by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Which endpoints there are, and how they are reached.
    pub topology: Topology,
    /// How often and how a request may be sent.
    pub attempts: AttemptSettings,
    /// What the client of a rejected request is told.
    pub rejection: RejectionSettings,
    /// What endpoints can take while they warm up.
    pub slow_start: SlowStartSettings,
    /// How purges spread.
    pub purges: PurgeSettings,
    /// Request classes, in the order by which requests name theirs.
    pub classes: Vec<ClassSettings>,
}

impl Settings {
    /// The longest deadline of any request class.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// Which endpoints there are, and how they are reached.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// The location of this router.
    pub location: u16,
    /// The endpoint kind of parents; none where a deployment has no such tier.
    pub parent_kind: Option<u8>,
    /// The endpoint kind of origins; none where a deployment has no such tier.
    pub origin_kind: Option<u8>,
    /// Routers of the whole fleet.
    pub routers: Option<u32>,
    /// Routers of this location.
    pub routers_in_location: Option<u32>,
    /// Whether requests may be sent to a parent or to the origin without a cache.
    pub bypass_allowed: Option<bool>,
    /// Whether caches fill what they lack.
    pub caches_fill: bool,
    /// Whether the endpoint list is sent only when it is asked for.
    pub discovery_on_request: bool,
    /// Whether endpoints state their capacity.
    pub capacity_known: bool,
    /// How fast clients take bodies, in kilobytes a second; 0 where that is not known.
    pub client_kb_per_s: f64,
    /// Whether caches report for each response how a miss was filled.
    pub fill_details_reported: bool,
}

impl Topology {
    /// Routers of the whole fleet, at least one.
    pub fn router_count(&self) -> f64 {
        f64::from(self.routers.unwrap_or(1).max(1))
    }

    /// Routers of this location, at least one.
    pub fn local_router_count(&self) -> f64 {
        f64::from(self.routers_in_location.unwrap_or(1).max(1))
    }

    /// Whether a cache may be bypassed.
    pub fn may_bypass(&self) -> bool {
        self.bypass_allowed.unwrap_or(false)
    }
}

/// How often and how a request may be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSettings {
    /// Attempts of one request, at most.
    pub max_attempts: Option<u32>,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: Option<bool>,
    /// Whether a second attempt may be in flight for an idempotent request.
    pub hedging: bool,
    /// How long an attempt may still be sent to an endpoint that is draining.
    pub drain_grace: Span,
    /// Whether requests in flight follow settings that change; else they keep those under which they were
    /// received. Only an experiment sets this.
    pub follows_new_settings: bool,
}

impl AttemptSettings {
    /// Attempts of one request, at most.
    pub fn max_attempts(&self) -> usize {
        self.max_attempts.unwrap_or(1) as usize
    }

    /// Whether an attempt in flight may be cancelled.
    pub fn may_cancel(&self) -> bool {
        self.cancellation.unwrap_or(false)
    }
}

/// What the client of a rejected request is told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RejectionSettings {
    /// Whether a rejection carries a Retry-After.
    pub retry_after_sent: Option<bool>,
    /// The longest Retry-After.
    pub max_retry_after: Option<Span>,
}

impl RejectionSettings {
    /// The longest Retry-After; none where none is sent.
    pub fn max_retry_after(&self) -> Option<Span> {
        self.retry_after_sent.unwrap_or(false).then(|| self.max_retry_after.unwrap_or_default())
    }
}

/// What endpoints can take while they warm up after a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// The ramp of caches.
    pub caches: Ramp,
    /// The ramp of parents.
    pub parents: Ramp,
    /// The sliding window over which the load of a warming endpoint is limited.
    pub window: Option<Span>,
}

impl SlowStartSettings {
    /// The sliding window over which the load of a warming endpoint is limited.
    pub fn window(&self) -> Span {
        self.window.unwrap_or(Span::millis(1000))
    }
}

/// How the capacity of one tier's endpoints grows after a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ramp {
    /// The share of its capacity that an endpoint has at its start.
    pub initial_share: Option<f64>,
    /// How long it takes until the endpoint has all of its capacity.
    pub duration: Option<Span>,
    /// How many times its current capacity an endpoint takes before it is overloaded.
    pub overload_multiple: Option<f64>,
}

impl Ramp {
    /// The share of its capacity that an endpoint has at its start.
    pub fn initial_share(&self) -> f64 {
        self.initial_share.unwrap_or(1.0)
    }

    /// How many times its current capacity an endpoint takes before it is overloaded.
    pub fn overload_multiple(&self) -> f64 {
        self.overload_multiple.unwrap_or(1.0)
    }
}

/// How purges spread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PurgeSettings {
    /// When no copy from before a purge is left anywhere.
    pub copies_gone_after: Option<Span>,
    /// Within which time a purge has to be applied.
    pub grace: Option<Span>,
}

impl PurgeSettings {
    /// When no copy from before a purge is left anywhere.
    pub fn copies_gone_after(&self) -> Span {
        self.copies_gone_after.unwrap_or(Span::millis(60_000))
    }
}

/// The settings of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// The longest that a client waits.
    pub deadline: Span,
    /// A response within it is in time.
    pub latency_objective: Span,
    /// How many seconds longer the objective is for each second of sending work.
    pub objective_stretch: Option<f64>,
    /// The weight of a response in time against those of other classes.
    pub priority_weight: Option<f64>,
    /// The share of the weight that a late response has.
    pub late_share: Option<f64>,
    /// The share of the weight that a response from a stale copy has.
    pub stale_share: Option<f64>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Where an idempotent request with a key may run again.
    pub retry_scope: RetryScope,
    /// How long it may run again there.
    pub retry_window: Option<Span>,
    /// How old a copy may be that is served; none where nothing is kept.
    pub max_age: Option<Span>,
    /// How much older it may be where an attempt has failed, or fills are short.
    pub stale_while_failing: Option<Span>,
    /// Whether requests are always run by the origin.
    pub runs_at_origin: bool,
}

impl ClassSettings {
    /// How long a request of `work` seconds of sending may take and still be in time, in seconds.
    pub fn objective_for(&self, work: f64) -> f64 {
        self.latency_objective.as_secs() + self.objective_stretch.unwrap_or_default() * work
    }

    /// Whether a request that may have run somewhere may run again everywhere and at any time.
    pub fn is_freely_retried(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
            || self.idempotency == Idempotency::WithKey && self.retry_scope == RetryScope::Everywhere
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// With the same idempotency key, within the scope and the window of its class.
    WithKey,
    /// It may run once only.
    #[default]
    NonIdempotent,
}

/// Where an idempotent request with a key may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryScope {
    /// At every endpoint.
    Everywhere,
    /// In the location of its first attempt.
    Location,
    /// In the cell of its first attempt.
    Cell,
    /// At no endpoint.
    #[default]
    Nowhere,
}
