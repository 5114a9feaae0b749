//! What the decisions act through, and the plain types that pass between them and their caller.

use crate::time::{Moment, Span};

/// A request's place in the caller's table. It may be used again once the request has its final answer
/// and every attempt made for it has been reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestSlot(pub u32);

/// A cache's place in the caller's table, in the order of first listing from 0; parents and the origin
/// have one too. Another may get the number of one that is gone once no request in hand was sent there or with
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// What the check of a client's link said, where links are checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Authorization {
    /// It holds, or none is asked for.
    #[default]
    Granted,
    /// It will hold after this long.
    NotYetValid(Span),
    /// It held, and does no more.
    Expired,
    Denied,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestMeta {
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub class: u16,
    /// The size, where it is told.
    pub size_kb: Option<f32>,
    /// Marked as a client's further try, where clients mark these.
    pub client_retry: bool,
    /// When and where it first may have run for an earlier request of the same mark.
    pub first_ran: Option<(Moment, EndpointId)>,
    pub authorization: Authorization,
}

/// One line of the list of caches.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    pub cache: EndpointId,
    /// The same at every router, so this is what gets hashed.
    pub stable: u64,
    pub standing: EndpointState,
    /// The latest start; none if long past.
    pub started: Option<Moment>,
    pub location: u8,
    pub size: f32,
    pub kind: u8,
    pub cell: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// All there is: what is not in it is gone.
    Full,
    /// Only what changed.
    Delta,
    /// Nothing came; the list held stays.
    Failed,
}

/// How a attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStatus {
    Served,
    Error,
    Overloaded,
    TimedOut,
    Unreachable,
    Incomplete,
    Cancelled,
    Superseded,
    Miss,
}

/// What the cache tells of the way to that end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeDetail {
    Unknown,
    Hit,
    FilledFromSource,
    FilledFromOrigin,
    JoinedFill,
    StaleHit,
    SourceOverloaded,
    SourceUnreachable,
    SourceMiss,
    NoFillSlot,
    OriginFailed,
}

/// How an attempt ended, as the engine is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Outcome {
    pub status: AttemptStatus,
    pub detail: OutcomeDetail,
}

impl Outcome {
    pub const fn new(status: AttemptStatus, detail: OutcomeDetail) -> Self {
        Self { status, detail }
    }
}

/// How a cache is to treat an object that it may lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FillDirectives {
    /// Who supplies a miss.
    pub source: EndpointId,
    /// The oldest copy that will do; none for the request class's own fresh time.
    pub max_age: Option<Span>,
    /// Wait for a fill that runs already.
    pub join_fill: bool,
    /// Have the source give only what it holds.
    pub only_if_cached: bool,
    /// Fetch an ageing copy anew while serving it.
    pub refresh: bool,
    /// The rank at which the copy is kept; 0 keeps none.
    pub retention_rank: u8,
}

/// What a attempt would draw on that all routers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    /// The cache, by its stable number.
    pub cache: u64,
    pub class: u16,
    /// Answered from a fresh copy or not at all.
    pub look: bool,
    /// By it the origin may be asked for a fill.
    pub fills: bool,
    /// One before it failed.
    pub further: bool,
}

/// The hands of the decisions. Every call takes effect at once, in the order made.
pub trait Host {
    /// Attempt a request to a cache that answers from its own fresh copy only.
    fn send_cache_only(&mut self, request: RequestSlot, cache: EndpointId, wait: Span);
    /// Attempt a request to a cache that may fill what it lacks.
    fn send_with_fill(
        &mut self,
        request: RequestSlot,
        cache: EndpointId,
        wait: Span,
        directives: FillDirectives,
    );
    /// Stop waiting for the request's attempt `nth`, counted from 0; its end is still reported.
    fn cancel(&mut self, request: RequestSlot, nth: u16);
    /// Final answer: trying again is harmless, best after `retry_after`.
    fn reject(&mut self, request: RequestSlot, retry_after: Option<Span>);
    /// Final answer that promises nothing.
    fn fail(&mut self, request: RequestSlot);
    /// Call `RoutingEngine::wake` after this long.
    fn set_timer(&mut self, wait: Span);
    /// Ask to be sent the list and its changes.
    fn watch_endpoints(&mut self);

    /// Whether a fill by the origin is to be had now of what all routers share; where nothing is, it is.
    fn can_afford_fill(&self, _class: u16) -> bool {
        true
    }

    /// Draws on what is shared for the next attempt of a request: it is sent only where this says so.
    fn charge_quota(&mut self, _request: RequestSlot, _draw: QuotaCharge) -> bool {
        true
    }

    /// This router's part of what a cold cache, or parent, bears; none where it goes by numbers of the start.
    fn slow_start_share(&self, _stable: u64, _parent: bool) -> Option<f64> {
        None
    }
}
