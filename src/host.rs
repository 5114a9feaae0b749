//! The interface between the routing engine and its caller: the [`Host`] trait that the engine acts through,
//! and the plain types that pass between the two.

use crate::time::{Moment, Span};

/// The slot of a request in the caller's request table.
///
/// A slot may be used again once its request has its final answer and every attempt made for it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSlot(pub u32);

/// The index of an endpoint in the caller's endpoint table, assigned from 0 in the order in which endpoints
/// are first listed.
///
/// Caches, parents and origins share one table. The index of a removed endpoint may be assigned again once no
/// request in flight was sent to it or names it as its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// The result of checking a request's signed URL or token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Authorization {
    /// It is valid, or none is required.
    #[default]
    Granted,
    /// It becomes valid after this time.
    NotYetValid(Span),
    /// It was valid and has expired.
    Expired,
    /// It is invalid.
    Denied,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestMeta {
    /// The object requested.
    pub object: u64,
    /// The index of the object's part, for objects that are requested in parts.
    pub part: u32,
    /// The group that the object is purged with.
    pub group: u32,
    /// The index of the request class in the settings.
    pub class: u16,
    /// The size of the response in kilobytes, where it is known.
    pub size_kb: Option<f32>,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// When and where an earlier request with the same idempotency key first may have run.
    pub first_ran: Option<(Moment, EndpointId)>,
    /// The result of checking the request's authorization.
    pub authorization: Authorization,
}

/// One entry of an endpoint list update.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// The endpoint's index in the caller's table.
    pub endpoint: EndpointId,
    /// An id that is the same at every router; rendezvous hashing uses it.
    pub stable_id: u64,
    /// Whether the endpoint takes requests.
    pub state: EndpointState,
    /// When the endpoint last started; none if that is long past.
    pub started_at: Option<Moment>,
    /// The location of the endpoint.
    pub location: u8,
    /// The endpoint's capacity in transfers at full speed, or a relative weight where capacities are not
    /// known.
    pub capacity: f32,
    /// The deployment's number for caches, parents or origins.
    pub kind: u8,
    /// The cell within the location.
    pub cell: u16,
}

/// The stable id of a name, the same at every router: its FNV-1a hash.
pub fn stable_id(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has in flight and takes nothing new.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// What an endpoint list update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// The complete list: endpoints that are not in it were removed.
    Full,
    /// Only the entries that changed.
    Delta,
    /// The list could not be fetched; the last one stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStatus {
    /// A complete response was received.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint, or its source, rejected the request because it is overloaded; nothing ran.
    Overloaded,
    /// No response came within the attempt timeout.
    TimedOut,
    /// No connection could be made in time; nothing ran.
    Unreachable,
    /// The connection broke while the attempt was in flight; it may have run.
    Incomplete,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt was dropped before it was sent, as its request was finished or a limit was reached;
    /// nothing ran.
    Superseded,
    /// Neither the endpoint nor a source that only gives what it holds had a suitable copy; nothing ran.
    Miss,
}

/// What an endpoint reported about how it came to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeDetail {
    /// Nothing was reported.
    Unknown,
    /// Answered from a fresh copy.
    Hit,
    /// Filled from a copy that the source held.
    FilledFromSource,
    /// Filled by the origin.
    FilledFromOrigin,
    /// Answered by a fill that was already in flight; with a miss, that there is one.
    JoinedFill,
    /// Answered from a copy past its fresh time.
    StaleHit,
    /// The fill failed: its source is overloaded.
    SourceOverloaded,
    /// The fill failed: its source could not be reached, broke the connection or was too slow.
    SourceUnreachable,
    /// The fill failed: its source holds no copy and may not fetch one.
    SourceMiss,
    /// The cache has all its fills in flight.
    NoFillSlot,
    /// The fill failed: the origin failed its parent.
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
    /// An outcome of a status and what was reported with it.
    pub const fn new(status: AttemptStatus, detail: OutcomeDetail) -> Self {
        Self { status, detail }
    }
}

/// How a cache is to treat an object that it may not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FillDirectives {
    /// The endpoint that a miss is filled from.
    pub source: EndpointId,
    /// The oldest copy that may be served; none for the request class's own fresh time.
    pub max_age: Option<Span>,
    /// Whether to wait for a fill of the same object that is already in flight.
    pub join_fill: bool,
    /// Whether the source may only give what it holds.
    pub only_if_cached: bool,
    /// Whether an ageing copy is refreshed while it is served.
    pub refresh: bool,
    /// The rank at which the copy is retained; 0 retains none.
    pub retention_rank: u8,
}

/// What an attempt charges to the quotas that all routers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    /// The endpoint that the attempt is sent to, by its stable id.
    pub endpoint: u64,
    /// The request class.
    pub class: u16,
    /// Whether the attempt is answered from a fresh copy or not at all.
    pub cache_only: bool,
    /// Whether the origin may be asked for a fill.
    pub may_fill_from_origin: bool,
    /// Whether an earlier attempt of the request failed.
    pub is_retry: bool,
}

/// What the routing engine acts through. Every call takes effect at once, in the order made.
pub trait Host {
    /// Sends an attempt to an endpoint that answers from its own fresh copy only, or that runs the request
    /// itself.
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, timeout: Span);
    /// Sends an attempt to an endpoint that may fill a miss.
    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        timeout: Span,
        directives: FillDirectives,
    );
    /// Cancels the request's attempt of this index, counted from 0; its end is still reported to the engine.
    fn cancel(&mut self, slot: RequestSlot, index: u16);
    /// Gives the final answer that the client may safely send the request again, best after `retry_after`.
    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>);
    /// Gives the final answer that the request failed; whether it ran is not known.
    fn fail(&mut self, slot: RequestSlot);
    /// Sets the engine's one timer: [`timer_fired`](crate::engine::RoutingEngine::timer_fired) is due after
    /// this time.
    fn set_timer(&mut self, wait: Span);
    /// Subscribes to the endpoint list and its changes.
    fn watch_endpoints(&mut self);

    /// Whether the shared quotas afford a fill by the origin now; always true where nothing is shared.
    fn can_afford_fill(&self, _class: u16) -> bool {
        true
    }

    /// Charges the shared quotas for the next attempt of a request, which is sent only if this returns true.
    fn charge_quota(&mut self, _slot: RequestSlot, _charge: QuotaCharge) -> bool {
        true
    }

    /// This router's share of a warming cache's or parent's capacity; none where it is not divided by the
    /// fleet.
    fn slow_start_share(&self, _stable_id: u64, _is_parent: bool) -> Option<f64> {
        None
    }
}
