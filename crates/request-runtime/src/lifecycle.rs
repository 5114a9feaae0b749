//! The lifecycle of one request, from its admission until it has its final answer and all its attempts have
//! been reported.

use std::pin::Pin;

use futures_lite::future;
use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::Span;

use crate::{Action, AdmittedRequest, Attempt, EngineHandle, Mailbox};

/// The outcome of an attempt and the response to pass to the client.
pub struct AttemptEnd<P> {
    /// The outcome that is reported to the routing engine.
    pub outcome: Outcome,
    /// The response to the client. Only used if the attempt was served.
    pub payload: P,
}

/// The final answer of a request. Each request has exactly one.
pub enum FinalAnswer<P> {
    /// The request was served, with this response.
    Served(P),
    /// The request was rejected. The client can retry it safely, preferably after this delay, if one is
    /// given.
    Rejected(Option<Span>),
    /// The request failed and may have run.
    Failed,
    /// The request was abandoned: its client no longer waits for it, the client's connection closed, or the
    /// router is shutting down.
    Abandoned,
}

/// The operations that a front provides for one request.
pub trait RequestTransport {
    /// The response of a served attempt, to be passed to the client.
    type Payload;

    /// Sends one attempt and waits for its end. Dropping the future cancels the attempt immediately.
    fn send(&self, attempt: Attempt) -> impl Future<Output = AttemptEnd<Self::Payload>>;

    /// Sends the final answer to the client. Called exactly once for each request.
    fn answer(&self, answer: FinalAnswer<Self::Payload>);
}

/// A request that has been read and validated, but not yet admitted.
pub struct IncomingRequest<'a> {
    /// The slot of the request at the routing engine.
    pub slot: RequestSlot,
    /// The mailbox that receives the routing engine's actions for the request.
    pub mailbox: &'a Mailbox,
    /// What the request asks for.
    pub meta: RequestMeta,
    /// How long the client keeps waiting, counted from now.
    pub time_remaining: Span,
}

/// Runs one request: carries out the actions of the routing engine until the client has its final answer and
/// every attempt has been reported.
pub async fn run_request<T: RequestTransport>(
    engine: &EngineHandle,
    request: IncomingRequest<'_>,
    transport: &T,
) {
    let IncomingRequest { slot, mailbox, meta, time_remaining } = request;
    let admitted = engine.admit(slot, meta, time_remaining);
    let mut lifecycle = Lifecycle { engine, slot, transport, admitted, in_flight: None, is_answered: false };
    while !lifecycle.is_finished() || !mailbox.is_empty() {
        match lifecycle.next_event(mailbox).await {
            Event::Action(action) => lifecycle.apply(action),
            Event::AttemptEnded(end) => lifecycle.attempt_ended(end),
        }
    }
}

enum Event<P> {
    Action(Action),
    AttemptEnded(AttemptEnd<P>),
}

struct InFlightAttempt<'a, P> {
    attempt: Attempt,
    end: Pin<Box<dyn Future<Output = AttemptEnd<P>> + 'a>>,
}

/// The state of a request that is being run.
struct Lifecycle<'a, T: RequestTransport> {
    engine: &'a EngineHandle,
    slot: RequestSlot,
    transport: &'a T,
    admitted: Option<AdmittedRequest>,
    /// The attempt in flight; there is at most one at a time.
    in_flight: Option<InFlightAttempt<'a, T::Payload>>,
    is_answered: bool,
}

impl<T: RequestTransport> Lifecycle<'_, T> {
    /// Whether the request can be closed. A request that has its final answer stays open until the end of the
    /// attempt in flight has been reported.
    fn is_finished(&self) -> bool {
        self.is_answered && self.in_flight.is_none()
    }

    /// Waits for the next event. If an action and the end of the attempt in flight are both ready, the action
    /// comes first.
    async fn next_event(&mut self, mailbox: &Mailbox) -> Event<T::Payload> {
        let action = async { Event::Action(mailbox.next().await) };
        let end = async {
            match &mut self.in_flight {
                Some(in_flight) => Event::AttemptEnded((&mut in_flight.end).await),
                None => future::pending().await,
            }
        };
        future::or(action, end).await
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send(attempt) => self.send(attempt),
            Action::Cancel(index) => self.cancel(index),
            Action::Reject(retry_after) => self.answer_unserved(FinalAnswer::Rejected(retry_after)),
            Action::Fail => self.answer_unserved(FinalAnswer::Failed),
            Action::Abandon => self.abandon(),
        }
    }

    fn send(&mut self, attempt: Attempt) {
        if self.in_flight.is_none() && !self.is_answered {
            self.in_flight = Some(InFlightAttempt { attempt, end: Box::pin(self.transport.send(attempt)) });
        } else {
            // An attempt that is not sent is reported too. Otherwise the routing engine would count it as in
            // flight forever.
            self.report_unfinished(&attempt, AttemptStatus::Superseded, self.is_answered);
        }
    }

    fn cancel(&mut self, index: u16) {
        if let Some(cancelled) = self.in_flight.take_if(|in_flight| in_flight.attempt.index == index) {
            self.report_unfinished(&cancelled.attempt, AttemptStatus::Cancelled, self.is_answered);
        }
    }

    fn answer_unserved(&mut self, answer: FinalAnswer<T::Payload>) {
        self.transport.answer(answer);
        self.engine.record_outcome(self.admitted, false);
        self.is_answered = true;
    }

    fn abandon(&mut self) {
        // The client receives this answer only if the router is shutting down or the connection is closing.
        // The transport drops the answer of a call that the client cancelled.
        if !self.is_answered {
            self.transport.answer(FinalAnswer::Abandoned);
        }
        self.engine.with(|engine| engine.request_abandoned(self.slot));
        if let Some(cancelled) = self.in_flight.take() {
            self.report_unfinished(&cancelled.attempt, AttemptStatus::Cancelled, true);
        }
        self.is_answered = true;
    }

    fn attempt_ended(&mut self, end: AttemptEnd<T::Payload>) {
        let Some(InFlightAttempt { attempt, .. }) = self.in_flight.take() else { return };
        let is_served = end.outcome.status == AttemptStatus::Served;
        let last = self.is_answered || is_served;
        self.engine.attempt_ended(self.slot, &attempt, end.outcome, last);
        if is_served && !self.is_answered {
            self.transport.answer(FinalAnswer::Served(end.payload));
            self.engine.record_outcome(self.admitted, true);
            self.is_answered = true;
        }
    }

    fn report_unfinished(&self, attempt: &Attempt, status: AttemptStatus, last: bool) {
        let outcome = Outcome::new(status, OutcomeDetail::Unknown);
        self.engine.attempt_ended(self.slot, attempt, outcome, last);
    }
}
