//! The lifecycle of one request, from its admission to when every attempt of it is reported.

use std::pin::Pin;

use futures_lite::future;
use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::Span;

use crate::{Action, AdmittedRequest, Attempt, EngineHandle, Mailbox};

/// How an attempt ended, with what it brought for the client.
pub struct AttemptEnd<P> {
    /// As reported to the routing engine.
    pub outcome: Outcome,
    /// For the client, if the attempt was served.
    pub payload: P,
}

/// The one final answer of a request.
pub enum FinalAnswer<P> {
    /// What the attempt that was served brought.
    Served(P),
    /// A retry is harmless, best after this long.
    Rejected(Option<Span>),
    /// The request failed, and may have run.
    Failed,
    /// Nobody waits any more, or the router or the client's connection ends.
    Abandoned,
}

/// What a front does for one request.
pub trait RequestTransport {
    /// What an attempt brings for the client.
    type Payload;

    /// Sends one attempt and waits for its end. Dropping the future cancels the attempt at once.
    fn send(&self, attempt: Attempt) -> impl Future<Output = AttemptEnd<Self::Payload>>;

    /// Gives the final answer; called once.
    fn answer(&self, answer: FinalAnswer<Self::Payload>);
}

/// A request that was read and checked, before it is admitted.
pub struct IncomingRequest<'a> {
    /// Its slot at the routing engine.
    pub slot: RequestSlot,
    /// Where the routing engine's actions for it arrive.
    pub mailbox: &'a Mailbox,
    /// What it asks for.
    pub meta: RequestMeta,
    /// How long its client waits from now on.
    pub time_remaining: Span,
}

/// Runs one request: carries out what the routing engine orders, until the client has its one final answer
/// and every attempt has been reported.
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

/// Where a request stands.
struct Lifecycle<'a, T: RequestTransport> {
    engine: &'a EngineHandle,
    slot: RequestSlot,
    transport: &'a T,
    admitted: Option<AdmittedRequest>,
    /// One at a time.
    in_flight: Option<InFlightAttempt<'a, T::Payload>>,
    is_answered: bool,
}

impl<T: RequestTransport> Lifecycle<'_, T> {
    /// The end of an attempt is reported even where the final answer is long given.
    fn is_finished(&self) -> bool {
        self.is_answered && self.in_flight.is_none()
    }

    /// Waits for the next event; actions come before the end of the attempt in flight.
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
            Action::Reject(retry_after) => self.refuse(FinalAnswer::Rejected(retry_after)),
            Action::Fail => self.refuse(FinalAnswer::Failed),
            Action::Abandon => self.abandon(),
        }
    }

    fn send(&mut self, attempt: Attempt) {
        if self.in_flight.is_none() && !self.is_answered {
            self.in_flight = Some(InFlightAttempt { attempt, end: Box::pin(self.transport.send(attempt)) });
        } else {
            // Every attempt that was ordered is reported, also one that was never sent: the routing engine
            // would otherwise count it as in flight for ever.
            self.report_unfinished(&attempt, AttemptStatus::Superseded, self.is_answered);
        }
    }

    fn cancel(&mut self, index: u16) {
        if let Some(cancelled) = self.in_flight.take_if(|in_flight| in_flight.attempt.index == index) {
            self.report_unfinished(&cancelled.attempt, AttemptStatus::Cancelled, self.is_answered);
        }
    }

    fn refuse(&mut self, answer: FinalAnswer<T::Payload>) {
        self.transport.answer(answer);
        self.engine.record_outcome(self.admitted, false);
        self.is_answered = true;
    }

    fn abandon(&mut self) {
        // Only where the router or the connection ends is anybody left to answer.
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
