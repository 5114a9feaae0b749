//! The module's [`Host`]: puts each order into the slot of its view and wakes the view's task.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

use futures_lite::future;
use tindoor::control::Control;
use tindoor::host::{Asked, CacheNo, Draw, Facts, Host, Note, Terms, Verdict, ViewNo};
use tindoor::time::{Moment, Span};

/// What a view's task is told to do.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    Dispatch(Dispatch),
    CallOff(u16),
    TurnBack(Option<Span>),
    WriteOff,
    /// Nobody waits for the view any more, or the router ends; not from the module.
    Left,
}

/// One dispatch that the module ordered.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    pub nth: u16,
    pub cache: CacheNo,
    pub wait: Duration,
    /// None for a plain look.
    pub terms: Option<Terms>,
    pub ordered: Instant,
}

/// Where what is for one task waits for it: the orders of a view, by default.
pub struct Slot<T = Order> {
    orders: RefCell<VecDeque<T>>,
    task: Cell<Option<Waker>>,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Self { orders: RefCell::default(), task: Cell::default() }
    }
}

impl<T> Slot<T> {
    /// The same in place of all that waits.
    pub fn put_alone(&self, order: T) {
        self.orders.borrow_mut().clear();
        self.put(order);
    }

    /// Takes what waits, without waiting.
    pub fn take(&self) -> Option<T> {
        self.orders.borrow_mut().pop_front()
    }

    pub fn put(&self, order: T) {
        self.orders.borrow_mut().push_back(order);
        if let Some(task) = self.task.take() {
            task.wake();
        }
    }

    pub fn has_orders(&self) -> bool {
        !self.orders.borrow().is_empty()
    }

    pub async fn next(&self) -> T {
        future::poll_fn(|context| match self.orders.borrow_mut().pop_front() {
            Some(order) => Poll::Ready(order),
            None => {
                self.task.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }
}

/// The ids of the views in hand, of all fronts.
#[derive(Clone, Default)]
pub struct Ids(Rc<RefCell<HashSet<u64>>>);

/// One of them, given back with its view.
pub struct Id(Rc<RefCell<HashSet<u64>>>, u64);

impl Ids {
    /// Whether a view of that id is in hand.
    pub fn has(&self, id: u64) -> bool {
        self.0.borrow().contains(&id)
    }

    /// None where a view of that id is in hand.
    pub fn take(&self, id: u64) -> Option<Id> {
        self.0.borrow_mut().insert(id).then(|| Id(Rc::clone(&self.0), id))
    }
}

impl Drop for Id {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// One monotonic clock, set against the Unix clock once at the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix }
    }

    pub fn now(&self) -> Moment {
        Moment::at_micros((self.unix + self.start.elapsed()).as_micros() as u64)
    }

    /// A Unix millisecond as a point on the module's clock.
    pub fn unix_ms(ms: u64) -> Moment {
        Moment::at_micros(ms.saturating_mul(1000))
    }
}

/// A view in hand.
struct Open {
    slot: Rc<Slot>,
    sent: u16,
    /// The caches and sources of its dispatches: their numbers stay theirs for as long.
    names: Vec<CacheNo>,
    /// What each dispatch drew on that routers share and may come back, where they do.
    drawn: Vec<Option<Drawn>>,
}

/// Views by their numbers, and when the module is to be woken.
#[derive(Default)]
pub struct Desk {
    slots: Vec<Option<Open>>,
    free: Vec<u32>,
    /// By cache, how often it is named by views in hand.
    named: Vec<u32>,
    alarm: Rc<Alarm>,
    gate: Option<Rc<dyn Gate>>,
}

/// The earliest time at which a task is to be woken; it may be set earlier while the task sleeps.
#[derive(Default)]
pub struct Alarm {
    at: Cell<Option<Instant>>,
    earlier: Cell<bool>,
    task: Cell<Option<Waker>>,
}

impl Alarm {
    /// Rings then, or earlier.
    pub fn set(&self, at: Instant) {
        if self.at.get().is_none_or(|planned| at < planned) {
            self.at.set(Some(at));
            self.earlier.set(true);
            if let Some(task) = self.task.take() {
                task.wake();
            }
        }
    }

    /// Waits until it rings, which clears it.
    pub async fn rings(&self) {
        loop {
            let Some(at) = self.at.get() else {
                self.changed().await;
                continue;
            };
            let ring = async {
                async_io::Timer::at(at).await;
                true
            };
            let changed = async {
                self.changed().await;
                false
            };
            if future::or(ring, changed).await {
                return self.at.set(None);
            }
        }
    }

    async fn changed(&self) {
        future::poll_fn(|context| {
            if self.earlier.take() {
                return Poll::Ready(());
            }
            self.task.set(Some(context.waker().clone()));
            Poll::Pending
        })
        .await
    }
}

impl Desk {
    fn put(&self, view: ViewNo, order: Order) {
        match self.slots.get(view.0 as usize).and_then(Option::as_ref) {
            Some(open) => open.slot.put(order),
            None => tracing::error!(?view, ?order, "an order for a view that is not there"),
        }
    }

    fn dispatch(&mut self, view: ViewNo, cache: CacheNo, wait: Span, terms: Option<Terms>) {
        let Some(Some(open)) = self.slots.get_mut(view.0 as usize) else { return };
        let nth = open.sent;
        open.sent += 1;
        for no in [Some(cache), terms.map(|terms| terms.source)].into_iter().flatten() {
            open.names.push(no);
            self.named.resize(self.named.len().max(no.0 as usize + 1), 0);
            self.named[no.0 as usize] += 1;
        }
        tracing::debug!(view = view.0, nth, cache = cache.0, "ordered");
        let wait = Duration::from_micros(wait.as_micros());
        self.put(view, Order::Dispatch(Dispatch { nth, cache, wait, terms, ordered: Instant::now() }));
    }
}

impl Host for Desk {
    fn look(&mut self, view: ViewNo, cache: CacheNo, wait: Span) {
        self.dispatch(view, cache, wait, None);
    }

    fn read(&mut self, view: ViewNo, cache: CacheNo, wait: Span, terms: Terms) {
        self.dispatch(view, cache, wait, Some(terms));
    }

    fn call_off(&mut self, view: ViewNo, nth: u16) {
        self.put(view, Order::CallOff(nth));
    }

    fn turn_back(&mut self, view: ViewNo, come_back: Option<Span>) {
        self.put(view, Order::TurnBack(come_back));
    }

    fn write_off(&mut self, view: ViewNo) {
        self.put(view, Order::WriteOff);
    }

    fn wake_in(&mut self, wait: Span) {
        self.alarm.set(Instant::now() + Duration::from_micros(wait.as_micros()));
    }

    /// The change log is followed from the start, whether it is asked for or not.
    fn subscribe(&mut self) {}

    fn affords_fill(&self, offering: u16) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.affords_fill(offering))
    }

    fn draw(&mut self, view: ViewNo, draw: Draw) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(drawn) = gate.draw(&draw) else { return false };
        // The dispatch that is sent next has this place.
        if let Some(Some(open)) = self.slots.get_mut(view.0 as usize) {
            open.drawn.push(Some(drawn).filter(|drawn| drawn.fills));
        }
        true
    }

    fn part(&self, stable: u64, parent: bool) -> Option<f64> {
        self.gate.as_ref()?.part(stable, parent)
    }
}

/// Whether views may be taken, by what they are decided and what they may draw on, where routers of a fleet agree on
/// that.
pub trait Gate {
    /// The facts to go by now, where they have changed; else, where no view may be taken, when clients may come
    /// again.
    fn renews(&self) -> Result<Option<Facts>, Span>;
    /// How many views may be in hand, by what is gone by.
    fn most_in_hand(&self) -> usize;
    /// Asked in the moment in which a view of that account is taken, right after [`renews`](Self::renews): the
    /// generation of what it is decided by; else when its client may come again.
    fn admits(&self, account: u64) -> Result<u64, Span>;
    /// A view ended that was taken under that generation.
    fn ended(&self, generation: u64, offering: u16, done: bool, took: Duration);
    /// Whether a fill by the origin is to be had of what all share.
    fn affords_fill(&self, offering: u16) -> bool;
    /// Draws on what all share for one dispatch; none where it is not to be had.
    fn draw(&self, draw: &Draw) -> Option<Drawn>;
    /// A dispatch ended that drew on fills, and how.
    fn settle(&self, drawn: Drawn, end: (Verdict, Note));
    /// This router's part of what a cold cache, or parent, bears; none where that is not divided.
    fn part(&self, stable: u64, parent: bool) -> Option<f64>;
}

/// What one dispatch drew on, as whoever keeps the account knows it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drawn {
    pub at: Moment,
    pub offering: u16,
    pub fills: bool,
}

/// A view that was taken, for the account of its end.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    generation: u64,
    offering: u16,
    at: Instant,
}

/// The module with its clock: the one way to it.
pub struct Decisions {
    control: RefCell<Control<Desk>>,
    pub clock: Clock,
    alarm: Rc<Alarm>,
    open: Cell<usize>,
    gate: RefCell<Option<Rc<dyn Gate>>>,
}

impl Decisions {
    pub fn start(facts: Facts, seed: u64) -> Result<Self, String> {
        let (clock, desk) = (Clock::new(), Desk::default());
        let alarm = Rc::clone(&desk.alarm);
        let control = RefCell::new(Control::start(desk, facts, seed, clock.now())?);
        Ok(Self { control, clock, alarm, open: Cell::new(0), gate: RefCell::default() })
    }

    /// Tells the module what happened, at the time that it is now. Nothing is awaited inside.
    pub fn tell<T>(&self, what: impl FnOnce(&mut Control<Desk>) -> T) -> T {
        let mut control = self.control.borrow_mut();
        control.clock(self.clock.now());
        what(&mut control)
    }

    /// Has this one be asked before each view.
    pub fn set_gate(&self, gate: Rc<dyn Gate>) {
        self.control.borrow_mut().host().gate = Some(Rc::clone(&gate));
        *self.gate.borrow_mut() = Some(gate);
    }

    /// Has the module go by what is in force now; else, where no view may be taken, when clients may come again. A
    /// view in hand stays with what it was taken by.
    fn keep_up(&self) -> Result<(), Span> {
        let gate = self.gate.borrow().clone();
        if let Some(facts) = gate.map_or(Ok(None), |gate| gate.renews())?
            && let Err(what) = self.tell(|control| control.adopt(facts))
        {
            tracing::error!(what, "a policy that was checked can't be gone by");
        }
        Ok(())
    }

    /// Whether one more view may come to be in hand, of so many at most. What is decided at the door is decided by
    /// what is in force as well: else a router whose places are all taken would go by the old for as long.
    pub fn has_room(&self, most: usize) -> bool {
        let _ = self.keep_up();
        let gate = self.gate.borrow();
        self.open.get() < gate.as_ref().map_or(most, |gate| most.min(gate.most_in_hand()))
    }

    /// When the client of a view that is refused at the door may come again, where that is told.
    pub fn come_back(&self) -> Option<Span> {
        match self.keep_up() {
            Ok(()) => self.tell(Control::come_back),
            Err(pause) => Some(pause),
        }
    }

    /// A view is taken: it comes to the module, unless none may be taken now.
    pub fn take(&self, no: ViewNo, asked: Asked, left: Span) -> Option<Taken> {
        let gate = self.gate.borrow().clone();
        let account = u64::from(asked.group);
        let admits = |gate: Rc<dyn Gate>| self.keep_up().and_then(|()| gate.admits(account));
        match gate.map(admits) {
            Some(Err(pause)) => {
                self.control.borrow_mut().host().put(no, Order::TurnBack(Some(pause)));
                None
            }
            admitted => {
                self.tell(|control| control.view(no, asked, left));
                let generation = admitted?.ok()?;
                Some(Taken { generation, offering: asked.offering, at: Instant::now() })
            }
        }
    }

    /// The account of a view that was taken: whether it was done.
    pub fn account(&self, taken: Option<Taken>, done: bool) {
        if let (Some(Taken { generation, offering, at }), Some(gate)) = (taken, self.gate.borrow().as_ref()) {
            gate.ended(generation, offering, done, at.elapsed());
        }
    }

    /// Tells the module how a dispatch ended; `last` says that the view is finished.
    pub fn ended(&self, no: ViewNo, dispatch: &Dispatch, end: (Verdict, Note), last: bool) {
        let took = Span::micros(dispatch.ordered.elapsed().as_micros() as u64);
        tracing::debug!(
            view = no.0,
            nth = dispatch.nth,
            cache = dispatch.cache.0,
            ?end,
            ?took,
            last,
            "ended"
        );
        self.settle(no, dispatch.nth, end);
        self.tell(|control| control.answered(no, dispatch.nth, end, took, last));
    }

    /// What a dispatch drew on that routers share is settled before anything else is decided.
    fn settle(&self, no: ViewNo, nth: u16, end: (Verdict, Note)) {
        let gate = self.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        let mut control = self.control.borrow_mut();
        let open = control.host().slots.get_mut(no.0 as usize).and_then(Option::as_mut);
        let drawn = open.and_then(|open| open.drawn.get_mut(usize::from(nth))?.take());
        if let Some(drawn) = drawn {
            gate.settle(drawn, end);
        }
    }

    /// How many views are in hand.
    pub fn open_views(&self) -> usize {
        self.open.get()
    }

    /// A number and a slot for a new view.
    pub fn open_view(&self) -> (ViewNo, Rc<Slot>) {
        self.open.set(self.open.get() + 1);
        let slot = Rc::new(Slot::default());
        let mut control = self.control.borrow_mut();
        let desk = control.host();
        let fresh = Some(Open { slot: Rc::clone(&slot), sent: 0, names: Vec::new(), drawn: Vec::new() });
        let no = match desk.free.pop() {
            Some(no) => {
                desk.slots[no as usize] = fresh;
                no
            }
            None => {
                desk.slots.push(fresh);
                desk.slots.len() as u32 - 1
            }
        };
        (ViewNo(no), slot)
    }

    /// The router ends: nothing more is done for any view.
    pub fn leave_all(&self) {
        self.control.borrow_mut().host().slots.iter().flatten().for_each(|open| open.slot.put(Order::Left));
    }

    /// The view has its final answer and every dispatch of it was reported.
    pub fn close_view(&self, no: ViewNo) {
        self.open.set(self.open.get() - 1);
        let mut control = self.control.borrow_mut();
        let desk = control.host();
        let open = desk.slots[no.0 as usize].take();
        open.iter().flat_map(|open| &open.names).for_each(|name| desk.named[name.0 as usize] -= 1);
        desk.free.push(no.0);
    }

    /// Whether a view in hand was sent to that cache, or with it as source.
    pub fn names(&self, no: CacheNo) -> bool {
        self.control.borrow_mut().host().named.get(no.0 as usize).is_some_and(|count| *count > 0)
    }

    /// Wakes the module whenever it asked for it; never ends.
    pub async fn keep_time(&self) {
        loop {
            self.alarm.rings().await;
            self.tell(Control::wake);
        }
    }
}
