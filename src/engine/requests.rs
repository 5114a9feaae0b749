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

/// Time kept back from the client's deadline for the answer to reach it.
const ANSWER_MARGIN: Span = Span::millis(6);

/// An error of which the endpoint reported no cause: either the endpoint or the request is at fault.
pub(super) const UNEXPLAINED_ERROR: Outcome = Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown);

/// How an attempt treats a miss.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FillMode {
    /// A miss is filled.
    OnMiss,
    /// Nothing is filled: only a fresh copy is served.
    CacheOnly,
    /// A miss is filled only from a copy that the source holds.
    OnlyIfCached,
    /// A miss, which an earlier attempt found, is filled.
    KnownMiss,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) source: Option<EndpointId>,
    pub(super) sent_at: Moment,
    /// Attempts of this router in flight at the endpoint then, this one included.
    pub(super) endpoint_in_flight: f64,
    pub(super) fill_mode: FillMode,
    /// Estimated fills in flight then.
    pub(super) fills_in_flight: FillCounts,
    pub(super) cancelled: bool,
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether a miss is filled by all means.
    pub(super) fn fills_misses(&self) -> bool {
        matches!(self.fill_mode, FillMode::OnMiss | FillMode::KnownMiss)
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(super) fn has_status(&self, status: AttemptStatus) -> bool {
        self.outcome.is_some_and(|outcome| outcome.status == status)
    }

    /// Whether it is known that the request did not run. It may run while the attempt is in flight.
    fn did_not_run(&self) -> bool {
        use AttemptStatus::{Miss, Overloaded, Superseded, Unreachable};
        self.outcome
            .is_some_and(|outcome| matches!(outcome.status, Overloaded | Unreachable | Superseded | Miss))
    }

    /// Whether the fill failed at the attempt's source.
    fn source_failed(&self) -> bool {
        use OutcomeDetail::{OriginFailed, SourceMiss, SourceOverloaded, SourceUnreachable};
        self.outcome.is_some_and(|outcome| {
            matches!(outcome.detail, SourceOverloaded | SourceUnreachable | SourceMiss | OriginFailed)
        })
    }
}

/// Where and when a request first may have run.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub(super) at: Moment,
    pub(super) endpoint: EndpointId,
}

/// Identifies a request over the life of the engine; slots are used again. Counted from 1.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId(u64);

/// A request in flight.
pub(super) struct Request {
    /// The settings under which it was received.
    pub(super) settings: Arc<Settings>,
    pub(super) id: RequestId,
    /// Decides whether the request is admitted where only some are; drawn at random.
    pub(super) admission_draw: u64,
    pub(super) meta: RequestMeta,
    pub(super) deadline: Moment,
    pub(super) attempts: Vec<Attempt>,
    /// It has its final answer, or its response has begun: nothing more is sent for it.
    pub(super) finished: bool,
}

impl Request {
    /// When and where the request first may have run.
    pub(super) fn first_run(&self) -> Option<FirstRun> {
        let earlier = self.meta.first_ran.map(|(at, endpoint)| FirstRun { at, endpoint });
        earlier.or_else(|| {
            let attempt = self.attempts.iter().find(|attempt| !attempt.did_not_run())?;
            Some(FirstRun { at: attempt.sent_at, endpoint: attempt.endpoint })
        })
    }

    /// Attempts in flight, with their indices.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight())
    }

    /// Attempts that ended in an error without a reported cause.
    pub(super) fn unexplained_errors(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome == Some(UNEXPLAINED_ERROR))
    }

    /// Whether an attempt was sent to that endpoint in vain, and not through the fault of a source.
    pub(super) fn failed_at_endpoint(&self, endpoint: EndpointId) -> bool {
        let through_source = |attempt: &Attempt| attempt.source.is_some_and(|id| self.failed_at_source(id));
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint && attempt.fills_misses() && !through_source(attempt))
    }

    /// Whether a fill of this request failed at that source.
    pub(super) fn failed_at_source(&self, source: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.source == Some(source) && attempt.source_failed())
    }
}

/// Requests in flight by their slots.
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
    /// A request was received whose client waits this long for its answer.
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

    /// Routes a request that is authorized; answers any other without sending it.
    fn authorize(&mut self, slot: RequestSlot, authorization: Authorization) {
        match authorization {
            Authorization::Granted => return self.route(slot),
            Authorization::NotYetValid(wait) => {
                let sent = self.retry_after().zip(self.settings.rejection.max_retry_after());
                let retry_after = sent.map(|(_, longest)| wait.min(longest));
                self.host.reject(slot, retry_after);
            }
            Authorization::Expired | Authorization::Denied => self.host.fail(slot),
        }
        self.request_abandoned(slot);
    }

    /// The response of a request is being streamed to the client: no other attempt may take its place.
    pub fn streaming_started(&mut self, slot: RequestSlot) {
        if let Some(request) = self.requests.get_mut(slot) {
            request.finished = true;
        }
    }

    /// Nobody waits for this request any more: it has its final answer, or its client has gone.
    pub fn request_abandoned(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.finished = true;
        if request.in_flight().count() == 0 {
            self.requests.remove(slot);
        }
    }

    /// Runs `action` under the settings with which that request was received.
    pub(super) fn with_settings_of(&mut self, slot: RequestSlot, action: impl FnOnce(&mut Self)) {
        let newest = Arc::clone(&self.settings);
        let pinned = self.requests.get(slot).filter(|_| !self.settings.attempts.follows_new_settings);
        self.settings = Arc::clone(pinned.map_or(&newest, |request| &request.settings));
        action(self);
        self.settings = newest;
    }
}
