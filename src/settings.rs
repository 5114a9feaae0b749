//! The settings of a deployment as the routing engine uses them: typed values, with one struct per concern.
//!
//! Values that a deployment may leave out are `Option`s. The accessor methods of the structs apply the
//! defaults.

use crate::time::Span;

/// The settings of one routing engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The tiers, routers and capabilities of the deployment.
    pub topology: Topology,
    /// Limits on the attempts of a request.
    pub attempts: AttemptSettings,
    /// The Retry-After of rejected requests.
    pub rejection: RejectionSettings,
    /// The capacity of endpoints while they warm up.
    pub slow_start: SlowStartSettings,
    /// The time limits of purges.
    pub purges: PurgeSettings,
    /// The request classes, which requests refer to by their index in this list.
    pub classes: Vec<ClassSettings>,
}

impl Settings {
    /// Returns the longest deadline of any request class, or zero if there are no classes.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// The tiers, routers and capabilities of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// The location of this router.
    pub location: u16,
    /// The endpoint kind of parents; `None` if the deployment has no parents.
    pub parent_kind: Option<u8>,
    /// The endpoint kind of origins; `None` if the deployment has no origins.
    pub origin_kind: Option<u8>,
    /// The number of routers in the whole fleet.
    pub routers: Option<u32>,
    /// The number of routers in this location.
    pub routers_in_location: Option<u32>,
    /// Whether requests may be sent directly to a parent or to the origin, bypassing the caches.
    pub bypass_allowed: Option<bool>,
    /// Whether caches fill misses.
    pub caches_fill: bool,
    /// Whether the endpoint list is sent only on request.
    pub discovery_on_request: bool,
    /// Whether endpoints report their capacity.
    pub capacity_known: bool,
    /// The rate at which clients receive response bodies, in kilobytes per second; 0 if unknown.
    pub client_kb_per_s: f64,
    /// Whether caches report for each response how a miss was filled.
    pub fill_details_reported: bool,
}

impl Topology {
    /// Returns the number of routers in the whole fleet, at least 1.
    pub fn router_count(&self) -> f64 {
        f64::from(self.routers.unwrap_or(1).max(1))
    }

    /// Returns the number of routers in this location, at least 1.
    pub fn local_router_count(&self) -> f64 {
        f64::from(self.routers_in_location.unwrap_or(1).max(1))
    }

    /// Returns whether requests may bypass the caches.
    pub fn may_bypass(&self) -> bool {
        self.bypass_allowed.unwrap_or(false)
    }
}

/// Limits on the attempts of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptSettings {
    /// The maximum number of attempts of one request.
    pub max_attempts: Option<u32>,
    /// Whether an attempt in flight may be cancelled.
    pub cancellation: Option<bool>,
    /// Whether a second attempt may be in flight for an idempotent request.
    pub hedging: bool,
    /// How long attempts may still be sent to an endpoint after it begins to drain.
    pub drain_grace: Span,
    /// Whether changed settings also apply to requests in flight. By default a request keeps the settings
    /// under which it was received; only an experiment enables this.
    pub follows_new_settings: bool,
}

impl AttemptSettings {
    /// Returns the maximum number of attempts of one request.
    pub fn max_attempts(&self) -> usize {
        self.max_attempts.unwrap_or(1) as usize
    }

    /// Returns whether an attempt in flight may be cancelled.
    pub fn may_cancel(&self) -> bool {
        self.cancellation.unwrap_or(false)
    }
}

/// The Retry-After of rejected requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RejectionSettings {
    /// Whether rejections carry a Retry-After.
    pub retry_after_sent: Option<bool>,
    /// The maximum Retry-After.
    pub max_retry_after: Option<Span>,
}

impl RejectionSettings {
    /// Returns the maximum Retry-After; `None` if rejections carry no Retry-After.
    pub fn max_retry_after(&self) -> Option<Span> {
        self.retry_after_sent.unwrap_or(false).then(|| self.max_retry_after.unwrap_or_default())
    }
}

/// The capacity of endpoints while they warm up after a start.
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
    /// Returns the sliding window over which the load of a warming endpoint is limited.
    pub fn window(&self) -> Span {
        self.window.unwrap_or(Span::millis(1000))
    }
}

/// How the capacity of the endpoints of one tier grows after a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ramp {
    /// The share of its full capacity, from 0 to 1, that an endpoint has when it starts.
    pub initial_share: Option<f64>,
    /// The time from the start of an endpoint until it has its full capacity.
    pub duration: Option<Span>,
    /// The load at which an endpoint is overloaded, as a multiple of its current capacity.
    pub overload_multiple: Option<f64>,
}

impl Ramp {
    /// Returns the share of its full capacity, from 0 to 1, that an endpoint has when it starts.
    pub fn initial_share(&self) -> f64 {
        self.initial_share.unwrap_or(1.0)
    }

    /// Returns the load at which an endpoint is overloaded, as a multiple of its current capacity.
    pub fn overload_multiple(&self) -> f64 {
        self.overload_multiple.unwrap_or(1.0)
    }
}

/// The time limits of purges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PurgeSettings {
    /// The time after a purge by which every copy from before the purge is gone from all endpoints.
    pub copies_gone_after: Option<Span>,
    /// The time within which a purge must be applied.
    pub grace: Option<Span>,
}

impl PurgeSettings {
    /// Returns the time after a purge by which every copy from before the purge is gone from all endpoints.
    pub fn copies_gone_after(&self) -> Span {
        self.copies_gone_after.unwrap_or(Span::millis(60_000))
    }
}

/// The settings of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// The maximum time that a client waits for the answer.
    pub deadline: Span,
    /// The response time up to which a response is in time.
    pub latency_objective: Span,
    /// The number of seconds by which the latency objective grows for each second that sending the response
    /// takes.
    pub objective_stretch: Option<f64>,
    /// The weight of an in-time response relative to other request classes.
    pub priority_weight: Option<f64>,
    /// The weight of a late response, as a fraction of `priority_weight`.
    pub late_share: Option<f64>,
    /// The weight of a response from a stale copy, as a fraction of `priority_weight`.
    pub stale_share: Option<f64>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Where a request with an idempotency key may run again.
    pub retry_scope: RetryScope,
    /// How long after its first attempt a request with an idempotency key may run again.
    pub retry_window: Option<Span>,
    /// The maximum age of a served copy; `None` if no copies are kept.
    pub max_age: Option<Span>,
    /// How far the age of a served copy may exceed `max_age` after a failed attempt or while fills are
    /// congested.
    pub stale_while_failing: Option<Span>,
    /// Whether the origin always runs the requests itself.
    pub runs_at_origin: bool,
}

impl ClassSettings {
    /// Returns the latency objective, in seconds, of a request whose response takes `work` seconds to send.
    pub fn objective_for(&self, work: f64) -> f64 {
        self.latency_objective.as_secs() + self.objective_stretch.unwrap_or_default() * work
    }

    /// Returns whether a request that may have run once can run again at any endpoint and at any time.
    pub fn is_freely_retried(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
            || self.idempotency == Idempotency::WithKey && self.retry_scope == RetryScope::Everywhere
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run again with the same idempotency key, within the retry scope and retry window of
    /// its class.
    WithKey,
    /// The request may run only once.
    #[default]
    NonIdempotent,
}

/// Where a request with an idempotency key may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryScope {
    /// At every endpoint.
    Everywhere,
    /// In the location of the first attempt.
    Location,
    /// In the cell of the first attempt.
    Cell,
    /// At no endpoint.
    #[default]
    Nowhere,
}
