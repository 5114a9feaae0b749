//! The host of the table of external requests: connects it to the routing engine and to the calls' mailboxes.

use std::collections::HashMap;
use std::rc::Rc;

use async_executor::Task;
use tindoor::host::{AttemptStatus, EndpointId, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::{CallId, CallReply, ExternalRequest, RequestNumber, TableHost};
use tindoor_request_runtime::{Action, AdmittedRequest, Attempt, InFlightId, Mailbox};

use super::ExternalProcessing;
use super::request_counter::{CountedRequest, RequestCounter};
use crate::memory::MemoryReservation;

/// The requests in flight and the open calls.
#[derive(Default)]
pub struct InFlight {
    requests: HashMap<RequestNumber, InFlightRequest>,
    calls: HashMap<CallId, Rc<Mailbox<CallReply>>>,
    last_call: u64,
}

struct InFlightRequest {
    slot: RequestSlot,
    mailbox: Rc<Mailbox>,
    /// The attempts whose end was not yet reported to the routing engine.
    attempts: Vec<Attempt>,
    /// Used to count the request's outcome. `None` if the outcome was already counted or must not be
    /// counted.
    admitted: Option<AdmittedRequest>,
    _id: Option<InFlightId>,
    _memory: Option<MemoryReservation>,
    _counted: Option<CountedRequest>,
    /// Carries out the routing engine's actions for the request until this task is dropped.
    _actor: Task<()>,
}

impl InFlight {
    /// Creates an instance without requests, whose calls have ids after `last_call`.
    pub fn new(last_call: u64) -> Self {
        Self { last_call, ..Self::default() }
    }

    /// Adds a call, and returns its id and the mailbox for its replies.
    pub fn add_call(&mut self) -> (CallId, Rc<Mailbox<CallReply>>) {
        self.last_call += 1;
        let (id, replies) = (CallId(self.last_call), Rc::default());
        self.calls.insert(id, Rc::clone(&replies));
        (id, replies)
    }

    /// Redirects the replies to a call to `replies`.
    pub fn attach(&mut self, call: CallId, replies: &Rc<Mailbox<CallReply>>) {
        self.calls.insert(call, Rc::clone(replies));
    }

    pub fn has_call(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    pub fn remove_call(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    pub fn add_attempt(&mut self, number: RequestNumber, attempt: Attempt) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.attempts.push(attempt);
        }
    }
}

/// The table's host while it handles one event.
pub struct Host<'a> {
    pub external: &'a Rc<ExternalProcessing>,
    pub in_flight: &'a mut InFlight,
    /// Counts the requests of the connection whose call is handled. `None` for other events.
    pub connection_requests: Option<&'a RequestCounter>,
}

impl TableHost for Host<'_> {
    fn request_started(
        &mut self,
        number: RequestNumber,
        request: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        let external = Rc::clone(self.external);
        let (slot, mailbox) = external.engine.open_request();
        let admitted = external.engine.admit(slot, request_meta(request, first_ran), request.time_remaining);
        let id = external.ids.reserve(request.correlation_id);
        let (actions, acting) = (Rc::clone(&mailbox), Rc::clone(&external));
        let actor = external.executor.spawn(async move {
            loop {
                let action = actions.next().await;
                acting.act(number, action);
            }
        });
        let request = InFlightRequest {
            slot,
            mailbox,
            attempts: Vec::new(),
            admitted,
            _id: id,
            _memory: external.memory.complete.reserve(external.call_bytes),
            _counted: self.connection_requests.map(RequestCounter::count),
            _actor: actor,
        };
        self.in_flight.requests.insert(number, request);
    }

    fn attempt_ended(&mut self, number: RequestNumber, attempt_index: u16, outcome: Outcome, last: bool) {
        let Some(request) = self.in_flight.requests.get_mut(&number) else { return };
        let position = request.attempts.iter().position(|attempt| attempt.index == attempt_index);
        let Some(position) = position else { return };
        let attempt = request.attempts.swap_remove(position);
        if outcome.status == AttemptStatus::Served {
            self.external.engine.record_outcome(request.admitted.take(), true);
        }
        self.external.engine.attempt_ended(request.slot, &attempt, outcome, last);
    }

    fn request_abandoned(&mut self, number: RequestNumber) {
        if let Some(request) = self.in_flight.requests.get_mut(&number) {
            // Not counted: an abandoned request does not indicate whether the policy is good or bad.
            request.admitted = None;
            self.external.engine.with(|engine| engine.request_abandoned(request.slot));
        }
    }

    fn request_finished(&mut self, number: RequestNumber) {
        let Some(request) = self.in_flight.requests.remove(&number) else { return };
        let engine = &self.external.engine;
        engine.record_outcome(request.admitted, false);
        // Also ends the attempts that the engine ordered and the table never issued. Otherwise the routing
        // engine would count them as in flight forever.
        let queued = std::iter::from_fn(|| request.mailbox.try_next()).filter_map(|action| match action {
            Action::Send(attempt) => Some(attempt),
            _ => None,
        });
        let outcome = Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown);
        for attempt in request.attempts.iter().copied().chain(queued) {
            engine.attempt_ended(request.slot, &attempt, outcome, true);
        }
        engine.close_request(request.slot);
    }

    fn reply(&mut self, call: CallId, reply: CallReply) {
        if let Some(replies) = self.in_flight.calls.get(&call) {
            replies.replace(reply);
        }
    }

    fn retry_after(&mut self) -> Option<Span> {
        self.external.engine.retry_after()
    }
}

fn request_meta(request: &ExternalRequest, first_ran: Option<(Moment, EndpointId)>) -> RequestMeta {
    let ExternalRequest { object, part, group, class, client_retry, authorization, .. } = *request;
    RequestMeta { object, part, group, class, size_kb: None, client_retry, first_ran, authorization }
}
