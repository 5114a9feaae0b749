//! The life of one request, from when it is checked to when every attempt of it is reported.

use std::pin::Pin;

use futures_lite::future;
use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, RequestMeta, RequestSlot};
use tindoor::time::Span;

use crate::desk::{Action, Attempt, EngineHandle, Mailbox};

/// How a attempt ended, with what it brought for the client.
pub struct AttemptEnd<G> {
    pub outcome: Outcome,
    pub payload: G,
}

/// The one final answer of a request.
pub enum FinalAnswer<G> {
    Served(G),
    /// Trying again is harmless, best after this long.
    Rejected(Option<Span>),
    Failed,
    /// Nobody waits any more, or the router or its connection ends.
    Abandoned,
}

/// What a front does for one request.
pub trait RequestTransport {
    /// What a attempt brings.
    type Payload;
    /// Carries out one attempt. Dropped, it gives the attempt up at once.
    fn send(&self, attempt: Attempt) -> impl Future<Output = AttemptEnd<Self::Payload>>;
    /// Gives the final answer; called once.
    fn answer(&self, answer: FinalAnswer<Self::Payload>);
}

enum Happened<G> {
    Action(Action),
    AttemptEnd(AttemptEnd<G>),
}

type Carried<'a, G> = Pin<Box<dyn Future<Output = AttemptEnd<G>> + 'a>>;

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

/// Lives one request through: asks the routing engine at each point of choice and does what it says, until the client
/// has its one final answer and every attempt has been reported.
pub async fn run_request<H: RequestTransport>(engine: &EngineHandle, request: IncomingRequest<'_>, hand: &H) {
    let IncomingRequest { slot: no, mailbox, meta: asked, time_remaining: left } = request;
    let taken = engine.admit(no, asked, left);
    // One attempt is out at a time; its end is told even where the answer is long given.
    let mut out: Option<(Attempt, Carried<H::Payload>)> = None;
    let mut answered = false;
    while !answered || out.is_some() || !mailbox.is_empty() {
        let order = async { Happened::Action(mailbox.next().await) };
        let end = async {
            match &mut out {
                Some((_, carried)) => Happened::AttemptEnd(carried.await),
                None => future::pending().await,
            }
        };
        let happened = future::or(order, end).await;
        match happened {
            Happened::Action(Action::Send(attempt)) if out.is_none() && !answered => {
                out = Some((attempt, Box::pin(hand.send(attempt))));
            }
            // Each that was ordered is told of, also where the client left before it began: else the routing engine
            // counts it as out for ever, and takes its cache and the way of its fills for full.
            Happened::Action(Action::Send(vain)) => {
                engine.attempt_ended(
                    no,
                    &vain,
                    Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
                    answered,
                );
            }
            Happened::Action(Action::Cancel(nth)) => {
                // Dropping what carries it gives the request up.
                if let Some((attempt, _)) = out.take_if(|(attempt, _)| attempt.index == nth) {
                    engine.attempt_ended(
                        no,
                        &attempt,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        answered,
                    );
                }
            }
            Happened::Action(Action::Reject(retry_after)) => {
                hand.answer(FinalAnswer::Rejected(retry_after));
                engine.record_outcome(taken, false);
                answered = true;
            }
            Happened::Action(Action::Fail) => {
                hand.answer(FinalAnswer::Failed);
                engine.record_outcome(taken, false);
                answered = true;
            }
            Happened::Action(Action::Abandon) => {
                // Only where the router or its connection ends is there somebody to tell.
                if !answered {
                    hand.answer(FinalAnswer::Abandoned);
                }
                engine.with(|control| control.request_abandoned(no));
                if let Some((attempt, _)) = out.take() {
                    engine.attempt_ended(
                        no,
                        &attempt,
                        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
                        true,
                    );
                }
                answered = true;
            }
            Happened::AttemptEnd(AttemptEnd { outcome, payload }) => {
                let Some((attempt, _)) = out.take() else { continue };
                let done = outcome.status == AttemptStatus::Served;
                engine.attempt_ended(no, &attempt, outcome, answered || done);
                if done && !answered {
                    hand.answer(FinalAnswer::Served(payload));
                    engine.record_outcome(taken, true);
                    answered = true;
                }
            }
        }
    }
}
