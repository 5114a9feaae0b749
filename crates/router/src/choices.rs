//! The table of calls between the fronts that only choose and the decision module: it carries what either
//! says to the other, and knows no protocol.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use tindoor::host::{Asked, CacheNo, Note, Verdict, ViewNo};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::{Bounds, Call, Calls, Choice, Figures, Guards, Hands, Report, Say, Serial, Stream, Why};
use tindoor_request_runtime::{Alarm, Decisions, Dispatch, Id, Ids, Order, Slot, Taken};

/// A view in hand for a proxy.
struct InHand {
    no: ViewNo,
    slot: Rc<Slot>,
    /// Dispatches that are not yet reported.
    out: Vec<Dispatch>,
    /// For the account of its end; none once that was made.
    taken: Option<Taken>,
    _id: Option<Id>,
    _orders: Task<()>,
}

#[derive(Default)]
struct Ends {
    streams: HashMap<Stream, Rc<Slot<Say>>>,
    views: HashMap<Serial, InHand>,
    next: u64,
}

/// Calls of proxies, and the views that they stand for.
pub struct Choices {
    executor: Rc<LocalExecutor<'static>>,
    decisions: Rc<Decisions>,
    ids: Ids,
    /// Views in hand at once, those of all fronts.
    most: usize,
    calls: RefCell<Calls>,
    ends: RefCell<Ends>,
    alarm: Alarm,
}

/// One call; over when it is dropped.
pub struct Open {
    choices: Rc<Choices>,
    pub stream: Stream,
    pub says: Rc<Slot<Say>>,
    /// It lives on when its connection ends: the report comes on another.
    pub outlives: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.outlives {
            self.choices.tell(|calls, now, _| calls.ended(now, self.stream));
        }
        self.choices.ends.borrow_mut().streams.remove(&self.stream);
    }
}

/// The hands of the table, for as long as one event takes.
struct Reach<'a> {
    choices: &'a Rc<Choices>,
    ends: &'a mut Ends,
}

impl Hands for Reach<'_> {
    fn begin(&mut self, serial: Serial, call: &Call, ran: Option<(Moment, CacheNo)>) {
        let choices = Rc::clone(self.choices);
        let (no, slot) = choices.decisions.open_view();
        let Call { object, part, group, offering, repeat, left, pass, .. } = *call;
        let asked = Asked { object, part, group, offering, kb: None, repeat, ran, pass };
        let taken = choices.decisions.take(no, asked, left);
        let (id, orders) = (choices.ids.take(call.ticket), Rc::clone(&slot));
        let _orders = self.choices.executor.spawn(async move {
            loop {
                let order = orders.next().await;
                choices.order(serial, order);
            }
        });
        self.ends.views.insert(serial, InHand { no, slot, out: Vec::new(), taken, _id: id, _orders });
    }

    fn ended(&mut self, serial: Serial, nth: u16, end: (Verdict, Note), last: bool) {
        let Some(view) = self.ends.views.get_mut(&serial) else { return };
        let Some(at) = view.out.iter().position(|dispatch| dispatch.nth == nth) else { return };
        let dispatch = view.out.swap_remove(at);
        if end.0 == Verdict::Done {
            self.choices.decisions.account(view.taken.take(), true);
        }
        self.choices.decisions.ended(view.no, &dispatch, end, last);
    }

    fn left(&mut self, serial: Serial) {
        if let Some(view) = self.ends.views.get_mut(&serial) {
            // Whose client leaves says nothing of a policy.
            view.taken = None;
            self.choices.decisions.tell(|control| control.left(view.no));
        }
    }

    fn close(&mut self, serial: Serial) {
        let Some(view) = self.ends.views.remove(&serial) else { return };
        self.choices.decisions.account(view.taken, false);
        // What was ordered and never given out is told of as well: else it counts as out for ever.
        let orders = std::iter::from_fn(|| view.slot.take());
        let ordered = orders.filter_map(|order| match order {
            Order::Dispatch(dispatch) => Some(dispatch),
            _ => None,
        });
        for dispatch in view.out.iter().copied().chain(ordered) {
            self.choices.decisions.ended(view.no, &dispatch, (Verdict::Moot, Note::Untold), true);
        }
        self.choices.decisions.close_view(view.no);
    }

    fn say(&mut self, stream: Stream, say: Say) {
        if let Some(says) = self.ends.streams.get(&stream) {
            says.put_alone(say);
        }
    }

    fn come_back(&mut self) -> Option<Span> {
        self.choices.decisions.come_back()
    }
}

impl Choices {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        decisions: Rc<Decisions>,
        ids: Ids,
        most: usize,
        bounds: Bounds,
    ) -> Rc<Self> {
        let calls = RefCell::new(Calls::new(bounds, guards(), decisions.clock.now()));
        let (ends, alarm) = Default::default();
        Rc::new(Self { executor, decisions, ids, most, calls, ends, alarm })
    }

    /// Tells the table what happened, at the time that it is now. Nothing is awaited inside.
    fn tell<T>(self: &Rc<Self>, what: impl FnOnce(&mut Calls, Moment, &mut Reach) -> T) -> T {
        let (mut calls, mut ends) = (self.calls.borrow_mut(), self.ends.borrow_mut());
        let now = self.decisions.clock.now();
        let told = what(&mut calls, now, &mut Reach { choices: self, ends: &mut ends });
        if let Some(next) = calls.next() {
            self.alarm.set(Instant::now() + Duration::from_micros(next.since(now).as_micros()));
        }
        told
    }

    /// A new call.
    pub fn open(self: &Rc<Self>) -> Open {
        let mut ends = self.ends.borrow_mut();
        ends.next += 1;
        let (stream, says) = (Stream(ends.next), Rc::default());
        ends.streams.insert(stream, Rc::clone(&says));
        Open { choices: Rc::clone(self), stream, says, outlives: false }
    }

    pub fn call(self: &Rc<Self>, open: &Open, call: Call) {
        // An id names one view at a time, on whichever front it came.
        tracing::debug!(stream = open.stream.0, ticket = call.ticket, attempt = call.attempt, "called");
        let mine = self.calls.borrow().has(call.ticket);
        let full = !self.decisions.has_room(self.most);
        if !mine && self.ids.has(call.ticket) {
            return open.says.put_alone(Say::WrittenOff(Why::Ticket));
        }
        if !mine && full {
            let come_back = self.decisions.come_back();
            return open.says.put_alone(Say::TurnedBack(come_back, Why::NoRoom));
        }
        self.tell(|calls, now, hands| calls.call(now, hands, open.stream, call));
    }

    /// Whether what was said may leave; false where it was taken back.
    pub fn leaves(&self, open: &Open, say: &Say) -> bool {
        self.calls.borrow_mut().leaves(open.stream, say)
    }

    /// A report on the call itself.
    pub fn report(self: &Rc<Self>, open: &Open, report: Report) {
        self.tell(|calls, now, hands| calls.reported(now, hands, open.stream, None, report));
    }

    /// A report on an earlier call, by its number and ticket; what is said to that one from now on is for
    /// whoever reports. Only one whose connection is done with it, and whose choice is out, can be reported
    /// so: nobody takes over another's call by a number.
    pub fn report_on(self: &Rc<Self>, open: &Open, stream: Stream, ticket: u64, report: Report) -> bool {
        let attached = self.ends.borrow().streams.contains_key(&stream);
        if attached || !self.calls.borrow().is_out(stream, ticket) {
            self.report(open, report);
            return false;
        }
        self.ends.borrow_mut().streams.insert(stream, Rc::clone(&open.says));
        self.tell(|calls, now, hands| {
            calls.reported(now, hands, stream, Some(ticket), report);
        });
        true
    }

    /// The report's answer was given, or nobody waits for it.
    pub fn forget(&self, stream: Stream) {
        self.ends.borrow_mut().streams.remove(&stream);
    }

    fn order(self: &Rc<Self>, serial: Serial, order: Order) {
        if let Order::Dispatch(dispatch) = order
            && let Some(view) = self.ends.borrow_mut().views.get_mut(&serial)
        {
            view.out.push(dispatch);
        }
        self.tell(|calls, now, hands| match order {
            Order::Dispatch(Dispatch { nth, cache, wait, terms, .. }) => {
                let wait = Span::micros(wait.as_micros() as u64);
                calls.ordered(now, hands, serial, Choice { nth, cache, terms, wait });
            }
            Order::CallOff(nth) => calls.called_off(hands, serial, nth),
            Order::TurnBack(come_back) => calls.refused_by_module(now, hands, serial, Some(come_back)),
            Order::WriteOff => calls.refused_by_module(now, hands, serial, None),
            // The router ends: all at once, as each is one of them.
            Order::Left => calls.leave_all(now, hands),
        });
    }

    /// The list or a purge was told: what is no longer the right choice is taken back where it can be.
    pub fn told(self: &Rc<Self>, stale: impl Fn(&Call, &Choice) -> bool) {
        self.tell(|calls, _, hands| calls.told(hands, stale));
    }

    pub fn figures(&self) -> Figures {
        self.calls.borrow().figures
    }

    /// Ends what is due; never ends itself.
    pub async fn keep_time(self: &Rc<Self>) {
        loop {
            self.alarm.rings().await;
            self.tell(|calls, now, hands| calls.tick(now, hands));
        }
    }
}

/// All guards stand. An experiment of the lab may name one to take out, in a build for tests only, to see
/// that its audit notices.
fn guards() -> Guards {
    let mut guards = Guards::default();
    if cfg!(debug_assertions)
        && let Ok(without) = std::env::var("TINDOOR_WITHOUT")
    {
        match without.as_str() {
            "marks" => guards.marks = false,
            "tickets" => guards.tickets = false,
            "withdraw" => guards.withdraw = false,
            "leases" => guards.leases = false,
            // Those of links are taken out there.
            "links" | "revoked" | "clock" => {}
            // Those of a fleet as well.
            "lease" | "staged" | "compare" | "incarnation" | "synced" | "pinned" => {}
            other => tracing::error!(guard = other, "no such guard"),
        }
        tracing::warn!(without, "a guard is taken out for an experiment");
    }
    guards
}
