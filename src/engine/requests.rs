//! Requests in flight, their attempts, and the events that begin and end a request.

use std::sync::Arc;

use rand::Rng;

use crate::host::{
    AttemptStatus, Authorization, EndpointId, Host, Outcome, OutcomeDetail, RequestMeta, RequestSlot,
};
use crate::settings::Settings;
use crate::time::{Moment, Span};

use super::RoutingEngine;
use super::load::FillCounts;

/// The time before the client's deadline that is reserved for the answer to reach the client.
const ANSWER_MARGIN: Span = Span::millis(6);

/// An error for which the endpoint reported no cause: either the endpoint or the request may be at fault.
pub(super) const UNEXPLAINED_ERROR: Outcome = Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown);

/// How an attempt treats a miss.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FillMode {
    /// A miss is filled.
    OnMiss,
    /// A miss is not filled: only a fresh copy is served.
    CacheOnly,
    /// A miss is filled only from a copy held by the source.
    OnlyIfCached,
    /// A miss is filled; an earlier attempt of the request has already found the miss.
    KnownMiss,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) source: Option<EndpointId>,
    pub(super) sent_at: Moment,
    /// The number of attempts of this router in flight at the endpoint when this attempt was sent, including
    /// this attempt.
    pub(super) endpoint_in_flight: f64,
    pub(super) fill_mode: FillMode,
    /// The estimated numbers of fills in flight when this attempt was sent.
    pub(super) fills_in_flight: FillCounts,
    pub(super) cancelled: bool,
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether a miss is filled even if the source holds no copy.
    pub(super) fn fills_misses(&self) -> bool {
        matches!(self.fill_mode, FillMode::OnMiss | FillMode::KnownMiss)
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(super) fn has_status(&self, status: AttemptStatus) -> bool {
        self.outcome.is_some_and(|outcome| outcome.status == status)
    }

    /// Returns whether the attempt is known not to have run the request. An attempt in flight may run it.
    fn did_not_run(&self) -> bool {
        use AttemptStatus::{Miss, Overloaded, Superseded, Unreachable};
        self.outcome
            .is_some_and(|outcome| matches!(outcome.status, Overloaded | Unreachable | Superseded | Miss))
    }

    /// Returns whether the fill failed at the attempt's source.
    fn source_failed(&self) -> bool {
        use OutcomeDetail::{OriginFailed, SourceMiss, SourceOverloaded, SourceUnreachable};
        self.outcome.is_some_and(|outcome| {
            matches!(outcome.detail, SourceOverloaded | SourceUnreachable | SourceMiss | OriginFailed)
        })
    }
}

/// Where and when a request may first have run.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub(super) at: Moment,
    pub(super) endpoint: EndpointId,
}

/// Identifies a request over the lifetime of the engine, unlike its slot, which is reused. Counted from 1.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId(u64);

/// A request in flight.
pub(super) struct Request {
    /// The settings under which the request was received.
    pub(super) settings: Arc<Settings>,
    pub(super) id: RequestId,
    /// A random number that decides whether the request is admitted when only some requests are.
    pub(super) admission_draw: u64,
    pub(super) meta: RequestMeta,
    pub(super) deadline: Moment,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the request has its final answer or its response has begun; if so, no further attempt is sent.
    pub(super) finished: bool,
}

impl Request {
    /// Returns when and where the request may first have run; `None` if it is known not to have run.
    pub(super) fn first_run(&self) -> Option<FirstRun> {
        let earlier = self.meta.first_ran.map(|(at, endpoint)| FirstRun { at, endpoint });
        earlier.or_else(|| {
            let attempt = self.attempts.iter().find(|attempt| !attempt.did_not_run())?;
            Some(FirstRun { at: attempt.sent_at, endpoint: attempt.endpoint })
        })
    }

    /// Iterates over the attempts in flight, with their indices.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight())
    }

    /// Iterates over the attempts that ended in an error without a reported cause.
    pub(super) fn unexplained_errors(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(UNEXPLAINED_ERROR))
    }

    /// Returns whether an attempt at this endpoint failed for a reason other than a failure of the source.
    pub(super) fn failed_at_endpoint(&self, endpoint: EndpointId) -> bool {
        let by_source = |attempt: &Attempt| attempt.source.is_some_and(|id| self.failed_at_source(id));
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint && attempt.fills_misses() && !by_source(attempt))
    }

    /// Returns whether a fill of this request failed at this source.
    pub(super) fn failed_at_source(&self, source: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.source == Some(source) && attempt.source_failed())
    }
}

/// The requests in flight, indexed by slot.
#[derive(Default)]
pub(super) struct RequestTable {
    slots: Vec<Option<Request>>,
    last_id: RequestId,
}

impl RequestTable {
    fn next_id(&mut self) -> RequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    fn insert(&mut self, slot: RequestSlot, request: Request) {
        let index = slot.0 as usize;
        self.slots.resize_with(self.slots.len().max(index + 1), || None);
        self.slots[index] = Some(request);
    }

    fn remove(&mut self, slot: RequestSlot) {
        self.slots[slot.0 as usize] = None;
    }

    pub(super) fn get(&self, slot: RequestSlot) -> Option<&Request> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, slot: RequestSlot) -> Option<&mut Request> {
        self.slots.get_mut(slot.0 as usize)?.as_mut()
    }
}

impl<H: Host> RoutingEngine<H> {
    /// Handles a new request whose client waits for the answer for `time_remaining`.
    pub fn request_received(&mut self, slot: RequestSlot, meta: RequestMeta, time_remaining: Span) {
        if !self.load.has_class(meta.class) {
            return self.host.fail(slot);
        }
        let deadline = self.now + (time_remaining - ANSWER_MARGIN);
        let request = Request {
            settings: Arc::clone(&self.settings),
            id: self.requests.next_id(),
            admission_draw: self.rng.random(),
            meta,
            deadline,
            attempts: Vec::new(),
            finished: false,
        };
        self.requests.insert(slot, request);
        if !meta.client_retry && meta.authorization == Authorization::Granted {
            self.throughput.arrivals.add(self.class_sample(meta.class));
        }
        self.schedule_request(deadline, slot);
        self.authorize(slot, meta.authorization);
    }

    /// Routes an authorized request, or rejects or fails an unauthorized request without sending it.
    fn authorize(&mut self, slot: RequestSlot, authorization: Authorization) {
        match authorization {
            Authorization::Granted => return self.route(slot),
            Authorization::NotYetValid(wait) => {
                let drawn_and_longest = self.retry_after().zip(self.settings.rejection.max_retry_after());
                let retry_after = drawn_and_longest.map(|(_, longest)| wait.min(longest));
                self.host.reject(slot, retry_after);
            }
            Authorization::Expired | Authorization::Denied => self.host.fail(slot),
        }
        self.request_abandoned(slot);
    }

    /// Handles the start of streaming a response to the client: no further attempt of the request is sent.
    pub fn streaming_started(&mut self, slot: RequestSlot) {
        if let Some(request) = self.requests.get_mut(slot) {
            request.finished = true;
        }
    }

    /// Handles a request that no client waits for any more, because it has its final answer or its client has
    /// disconnected.
    pub fn request_abandoned(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.finished = true;
        if request.in_flight().count() == 0 {
            self.requests.remove(slot);
        }
    }

    /// Runs `action` with the settings under which this request was received, or with the newest settings if
    /// requests follow new settings.
    pub(super) fn with_settings_of(&mut self, slot: RequestSlot, action: impl FnOnce(&mut Self)) {
        let newest = Arc::clone(&self.settings);
        let pinned = self.requests.get(slot).filter(|_| !self.settings.attempts.follows_new_settings);
        self.settings = Arc::clone(pinned.map_or(&newest, |request| &request.settings));
        action(self);
        self.settings = newest;
    }
}
