//! The interface between the routing engine and its caller: the [`Host`] trait, whose methods the engine
//! calls to carry out its decisions, and the plain types that the engine and its caller exchange.

use crate::time::{Moment, Span};

/// The slot of a request in the caller's request table.
///
/// A slot may be reused once its request has received its final answer and all attempts of the request have
/// ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSlot(pub u32);

/// The index of an endpoint in the caller's endpoint table, assigned from 0 in the order in which endpoints
/// are first listed.
///
/// Caches, parents and origins share one table. The index of a removed endpoint may be reused once no request
/// in flight was sent to that endpoint or names it as its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// The result of checking a request's signed URL or token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Authorization {
    /// The authorization is valid, or the request requires none.
    #[default]
    Granted,
    /// The authorization becomes valid after this time.
    NotYetValid(Span),
    /// The authorization was valid and has expired.
    Expired,
    /// The authorization is invalid.
    Denied,
}

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestMeta {
    /// The id of the requested object.
    pub object: u64,
    /// The index of the requested part, for objects that are requested in parts.
    pub part: u32,
    /// The id of the object's purge group: purging the group purges the object.
    pub group: u32,
    /// The index of the request class in the settings.
    pub class: u16,
    /// The size of the response in kilobytes; `None` if unknown.
    pub size_kb: Option<f32>,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// When and where an earlier request with the same idempotency key may first have run; `None` if no such
    /// request is known.
    pub first_ran: Option<(Moment, EndpointId)>,
    /// The result of checking the request's authorization.
    pub authorization: Authorization,
}

/// One entry of an endpoint list update.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// The endpoint's index in the caller's table.
    pub endpoint: EndpointId,
    /// An id that is the same at every router, used for rendezvous hashing.
    pub stable_id: u64,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// When the endpoint last started; `None` if that was long ago.
    pub started_at: Option<Moment>,
    /// The location of the endpoint.
    pub location: u8,
    /// The number of full-speed transfers that the endpoint can run at once, or a relative weight if
    /// capacities are unknown.
    pub capacity: f32,
    /// The number by which the deployment identifies caches, parents or origins.
    pub kind: u8,
    /// The endpoint's cell within its location.
    pub cell: u16,
}

/// Returns the stable id of an endpoint name: its FNV-1a hash, which is the same at every router.
pub fn stable_id(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint is no longer in the endpoint list.
    Removed,
}

/// What an endpoint list update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The complete list: endpoints that are not in the list were removed.
    Full,
    /// Only the entries that changed.
    Delta,
    /// No entries: the list could not be fetched, and the previous list remains in effect.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStatus {
    /// A complete response was received.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint or its source was overloaded and rejected the request; the request did not run.
    Overloaded,
    /// No response came within the attempt timeout.
    TimedOut,
    /// No connection could be established in time; the request did not run.
    Unreachable,
    /// The connection broke while the attempt was in flight; the request may have run.
    Incomplete,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt was dropped before it was sent, because its request was finished or a limit was reached;
    /// the request did not run.
    Superseded,
    /// Neither the endpoint nor a source restricted to its own copies had a suitable copy; the request did
    /// not run.
    Miss,
}

impl AttemptStatus {
    /// Returns whether an attempt with this status certainly did not run. This says nothing about other attempts of
    /// the same request.
    pub fn certainly_did_not_run(self) -> bool {
        matches!(self, Self::Overloaded | Self::Unreachable | Self::Superseded | Self::Miss)
    }
}

/// What an endpoint reports about how it produced its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeDetail {
    /// The endpoint reported nothing.
    Unknown,
    /// Answered from a fresh copy.
    Hit,
    /// Filled from a copy held by the source.
    FilledFromSource,
    /// Filled by the origin.
    FilledFromOrigin,
    /// Answered by joining a fill that was already in flight. On a miss: a fill of the object is in flight.
    JoinedFill,
    /// Answered from a copy that is no longer fresh.
    StaleHit,
    /// The fill failed: the source is overloaded.
    SourceOverloaded,
    /// The fill failed: the source could not be reached, broke the connection or was too slow.
    SourceUnreachable,
    /// The fill failed: the source holds no copy and is not allowed to fetch one.
    SourceMiss,
    /// The cache has reached its limit on fills in flight.
    NoFillSlot,
    /// The fill failed: the origin failed to answer the parent.
    OriginFailed,
}

/// How an attempt ended, with what the endpoint reported about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Outcome {
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// What the endpoint reported.
    pub detail: OutcomeDetail,
}

impl Outcome {
    /// Returns an outcome with this status and detail.
    pub const fn new(status: AttemptStatus, detail: OutcomeDetail) -> Self {
        Self { status, detail }
    }
}

/// Instructions to a cache on which copies it may serve and how it fills a miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FillDirectives {
    /// The endpoint that a miss is filled from.
    pub source: EndpointId,
    /// The maximum age of a copy that may be served; `None` for the request class's own freshness lifetime.
    pub max_age: Option<Span>,
    /// Whether to wait for a fill of the same object that is already in flight.
    pub join_fill: bool,
    /// Whether the source may answer only from the copies that it holds.
    pub only_if_cached: bool,
    /// Whether an ageing copy is refreshed while it is served.
    pub refresh: bool,
    /// The rank with which the copy is retained; with rank 0 no copy is retained.
    pub retention_rank: u8,
}

/// The charge of one attempt to the quotas that are shared by all routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    /// The stable id of the endpoint that the attempt is sent to.
    pub endpoint: u64,
    /// The index of the request class in the settings.
    pub class: u16,
    /// Whether the attempt may be answered only from a fresh copy.
    pub cache_only: bool,
    /// Whether the attempt may cause a fill from the origin.
    pub may_fill_from_origin: bool,
    /// Whether an earlier attempt of the request failed.
    pub is_retry: bool,
}

/// The time limits of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptLimits {
    /// The time, from now, after which the attempt ends without a response.
    pub timeout: Span,
    /// The time, from now, after which the attempt must not be sent any more, for example because the
    /// connection to the endpoint came up late; `None` if it may be sent until its timeout. An attempt that
    /// is not sent in time ends with [`AttemptStatus::Superseded`].
    pub send_within: Option<Span>,
}

/// The methods that the routing engine calls to carry out its decisions.
///
/// Every call takes effect immediately, in the order in which the engine makes the calls.
pub trait Host {
    /// Sends an attempt to an endpoint that answers only from its own fresh copy, or that runs the request
    /// itself.
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, limits: AttemptLimits);
    /// Sends an attempt to an endpoint that may fill a miss.
    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        limits: AttemptLimits,
        directives: FillDirectives,
    );
    /// Cancels the request's attempt with this index, counted from 0. The end of the attempt is still
    /// reported to the engine.
    fn cancel(&mut self, slot: RequestSlot, index: u16);
    /// Gives the final answer "rejected": the client may safely send the request again, preferably after
    /// `retry_after`.
    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>);
    /// Gives the final answer "failed": it is not known whether the request ran.
    fn fail(&mut self, slot: RequestSlot);
    /// Sets the engine's only timer: [`timer_fired`](crate::engine::RoutingEngine::timer_fired) must be
    /// called after `wait`.
    fn set_timer(&mut self, wait: Span);
    /// Subscribes to the endpoint list and its changes.
    fn watch_endpoints(&mut self);

    /// Returns whether the shared quotas currently allow a fill from the origin. Always true if the routers
    /// share no quotas.
    fn can_afford_fill(&self, _class: u16) -> bool {
        true
    }

    /// Charges the shared quotas for the next attempt of a request. The attempt is sent only if this returns
    /// true.
    fn charge_quota(&mut self, _slot: RequestSlot, _charge: QuotaCharge) -> bool {
        true
    }

    /// Returns the fraction of a warming cache's or parent's capacity that this router may use; `None` if the
    /// fleet does not divide that capacity among its routers.
    fn slow_start_share(&self, _stable_id: u64, _is_parent: bool) -> Option<f64> {
        None
    }
}
