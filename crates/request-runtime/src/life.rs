//! The life of one view, from when it is checked to when every dispatch of it is reported.

use std::pin::Pin;

use futures_lite::future;
use tindoor::host::{Asked, Note, Verdict, ViewNo};
use tindoor::time::Span;

use crate::desk::{Decisions, Dispatch, Order, Slot};

/// How a dispatch ended, with what it brought for the client.
pub struct Ended<G> {
    pub verdict: Verdict,
    pub note: Note,
    pub goods: G,
}

/// The one final answer of a view.
pub enum Answer<G> {
    Done(G),
    /// Trying again is harmless, best after this long.
    TurnedBack(Option<Span>),
    WrittenOff,
    /// Nobody waits any more, or the router or its connection ends.
    Left,
}

/// What a front does for one view.
pub trait Hand {
    /// What a dispatch brings.
    type Goods;
    /// Carries out one dispatch. Dropped, it gives the dispatch up at once.
    fn carry(&self, dispatch: Dispatch) -> impl Future<Output = Ended<Self::Goods>>;
    /// Gives the final answer; called once.
    fn answer(&self, answer: Answer<Self::Goods>);
}

enum Happened<G> {
    Order(Order),
    Ended(Ended<G>),
}

type Carried<'a, G> = Pin<Box<dyn Future<Output = Ended<G>> + 'a>>;

/// Lives one view through: asks the module at each point of choice and does what it says, until the client
/// has its one final answer and every dispatch has been reported.
pub async fn live<H: Hand>(
    decisions: &Decisions,
    no: ViewNo,
    slot: &Slot,
    (asked, left): (Asked, Span),
    hand: &H,
) {
    let taken = decisions.take(no, asked, left);
    // One dispatch is out at a time; its end is told even where the answer is long given.
    let mut out: Option<(Dispatch, Carried<H::Goods>)> = None;
    let mut answered = false;
    while !answered || out.is_some() || slot.has_orders() {
        let order = async { Happened::Order(slot.next().await) };
        let end = async {
            match &mut out {
                Some((_, carried)) => Happened::Ended(carried.await),
                None => future::pending().await,
            }
        };
        let happened = future::or(order, end).await;
        match happened {
            Happened::Order(Order::Dispatch(dispatch)) if out.is_none() && !answered => {
                out = Some((dispatch, Box::pin(hand.carry(dispatch))));
            }
            // Each that was ordered is told of, also where the client left before it began: else the module
            // counts it as out for ever, and takes its cache and the way of its fills for full.
            Happened::Order(Order::Dispatch(vain)) => {
                decisions.ended(no, &vain, (Verdict::Moot, Note::Untold), answered);
            }
            Happened::Order(Order::CallOff(nth)) => {
                // Dropping what carries it gives the request up.
                if let Some((dispatch, _)) = out.take_if(|(dispatch, _)| dispatch.nth == nth) {
                    decisions.ended(no, &dispatch, (Verdict::CalledOff, Note::Untold), answered);
                }
            }
            Happened::Order(Order::TurnBack(come_back)) => {
                hand.answer(Answer::TurnedBack(come_back));
                decisions.account(taken, false);
                answered = true;
            }
            Happened::Order(Order::WriteOff) => {
                hand.answer(Answer::WrittenOff);
                decisions.account(taken, false);
                answered = true;
            }
            Happened::Order(Order::Left) => {
                // Only where the router or its connection ends is there somebody to tell.
                if !answered {
                    hand.answer(Answer::Left);
                }
                decisions.tell(|control| control.left(no));
                if let Some((dispatch, _)) = out.take() {
                    decisions.ended(no, &dispatch, (Verdict::CalledOff, Note::Untold), true);
                }
                answered = true;
            }
            Happened::Ended(Ended { verdict, note, goods }) => {
                let Some((dispatch, _)) = out.take() else { continue };
                let done = verdict == Verdict::Done;
                decisions.ended(no, &dispatch, (verdict, note), answered || done);
                if done && !answered {
                    hand.answer(Answer::Done(goods));
                    decisions.account(taken, true);
                    answered = true;
                }
            }
        }
    }
}
