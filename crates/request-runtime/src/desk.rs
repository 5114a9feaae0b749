//! The routing engine's [`Host`]: puts each order into the slot of its request and wakes the request's task.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

use futures_lite::future;
use tindoor::control::RoutingEngine;
use tindoor::host::{EndpointId, FillDirectives, Host, Outcome, QuotaCharge, RequestMeta, RequestSlot};
use tindoor::settings::Settings;
use tindoor::time::{Moment, Span};

/// What a request's task is told to do.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Send(Attempt),
    Cancel(u16),
    Reject(Option<Span>),
    Fail,
    /// Nobody waits for the request any more, or the router ends; not from the routing engine.
    Abandon,
}

/// One attempt that the routing engine ordered.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub index: u16,
    pub endpoint: EndpointId,
    pub timeout: Duration,
    /// None for a plain look.
    pub directives: Option<FillDirectives>,
    pub issued_at: Instant,
}

/// Where what is for one task waits for it: the orders of a request, by default.
pub struct Mailbox<T = Action> {
    orders: RefCell<VecDeque<T>>,
    task: Cell<Option<Waker>>,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self { orders: RefCell::default(), task: Cell::default() }
    }
}

impl<T> Mailbox<T> {
    /// The same in place of all that waits.
    pub fn replace(&self, order: T) {
        self.orders.borrow_mut().clear();
        self.push(order);
    }

    /// Takes what waits, without waiting.
    pub fn try_next(&self) -> Option<T> {
        self.orders.borrow_mut().pop_front()
    }

    pub fn push(&self, order: T) {
        self.orders.borrow_mut().push_back(order);
        if let Some(task) = self.task.take() {
            task.wake();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.orders.borrow().is_empty()
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

/// The ids of the requests in hand, of all fronts.
#[derive(Clone, Default)]
pub struct InFlightIds(Rc<RefCell<HashSet<u64>>>);

/// One of them, given back with its request.
pub struct InFlightId(Rc<RefCell<HashSet<u64>>>, u64);

impl InFlightIds {
    /// Whether a request of that id is in hand.
    pub fn contains(&self, id: u64) -> bool {
        self.0.borrow().contains(&id)
    }

    /// None where a request of that id is in hand.
    pub fn reserve(&self, id: u64) -> Option<InFlightId> {
        self.0.borrow_mut().insert(id).then(|| InFlightId(Rc::clone(&self.0), id))
    }
}

impl Drop for InFlightId {
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

    /// A Unix millisecond as a point on the routing engine's clock.
    pub fn at_unix_ms(ms: u64) -> Moment {
        Moment::at_micros(ms.saturating_mul(1000))
    }
}

/// A request in hand.
struct Open {
    mailbox: Rc<Mailbox>,
    sent: u16,
    /// The caches and sources of its attempts: their numbers stay theirs for as long.
    names: Vec<EndpointId>,
    /// What each attempt drew on that routers share and may come back, where they do.
    drawn: Vec<Option<FillCharge>>,
}

/// Requests by their numbers, and when the routing engine is to be woken.
#[derive(Default)]
pub struct EngineHost {
    mailboxes: Vec<Option<Open>>,
    free: Vec<u32>,
    /// By cache, how often it is named by requests in hand.
    named: Vec<u32>,
    alarm: Rc<WakeTimer>,
    gate: Option<Rc<dyn AdmissionGate>>,
}

/// The earliest time at which a task is to be woken; it may be set earlier while the task sleeps.
#[derive(Default)]
pub struct WakeTimer {
    at: Cell<Option<Instant>>,
    earlier: Cell<bool>,
    task: Cell<Option<Waker>>,
}

impl WakeTimer {
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
    pub async fn fired(&self) {
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

impl EngineHost {
    fn put(&self, request: RequestSlot, order: Action) {
        match self.mailboxes.get(request.0 as usize).and_then(Option::as_ref) {
            Some(open) => open.mailbox.push(order),
            None => tracing::error!(?request, ?order, "an order for a view that is not there"),
        }
    }

    fn attempt(
        &mut self,
        request: RequestSlot,
        cache: EndpointId,
        wait: Span,
        directives: Option<FillDirectives>,
    ) {
        let Some(Some(open)) = self.mailboxes.get_mut(request.0 as usize) else { return };
        let index = open.sent;
        open.sent += 1;
        for no in [Some(cache), directives.map(|directives| directives.source)].into_iter().flatten() {
            open.names.push(no);
            self.named.resize(self.named.len().max(no.0 as usize + 1), 0);
            self.named[no.0 as usize] += 1;
        }
        tracing::debug!(request = request.0, index, cache = cache.0, "ordered");
        let wait = Duration::from_micros(wait.as_micros());
        self.put(
            request,
            Action::Send(Attempt {
                index,
                endpoint: cache,
                timeout: wait,
                directives,
                issued_at: Instant::now(),
            }),
        );
    }
}

impl Host for EngineHost {
    fn send_cache_only(&mut self, request: RequestSlot, cache: EndpointId, wait: Span) {
        self.attempt(request, cache, wait, None);
    }

    fn send_with_fill(
        &mut self,
        request: RequestSlot,
        cache: EndpointId,
        wait: Span,
        directives: FillDirectives,
    ) {
        self.attempt(request, cache, wait, Some(directives));
    }

    fn cancel(&mut self, request: RequestSlot, index: u16) {
        self.put(request, Action::Cancel(index));
    }

    fn reject(&mut self, request: RequestSlot, retry_after: Option<Span>) {
        self.put(request, Action::Reject(retry_after));
    }

    fn fail(&mut self, request: RequestSlot) {
        self.put(request, Action::Fail);
    }

    fn set_timer(&mut self, wait: Span) {
        self.alarm.set(Instant::now() + Duration::from_micros(wait.as_micros()));
    }

    /// The change stream is followed from the start, whether it is asked for or not.
    fn watch_endpoints(&mut self) {}

    fn can_afford_fill(&self, class: u16) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.can_afford_fill(class))
    }

    fn charge_quota(&mut self, request: RequestSlot, draw: QuotaCharge) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(drawn) = gate.charge_quota(&draw) else { return false };
        // The attempt that is sent next has this place.
        if let Some(Some(open)) = self.mailboxes.get_mut(request.0 as usize) {
            open.drawn.push(Some(drawn).filter(|drawn| drawn.fills));
        }
        true
    }

    fn slow_start_share(&self, stable: u64, parent: bool) -> Option<f64> {
        self.gate.as_ref()?.slow_start_share(stable, parent)
    }
}

/// Whether requests may be taken, by what they are decided and what they may draw on, where routers of a fleet agree on
/// that.
pub trait AdmissionGate {
    /// The settings to apply now, where they have changed; else, where no request may be taken, when clients may come
    /// again.
    fn updated_settings(&self) -> Result<Option<Settings>, Span>;
    /// How many requests may be in hand, by what is gone by.
    fn max_in_flight(&self) -> usize;
    /// Asked in the moment in which a request of that account is taken, right after [`updated_settings`](Self::updated_settings): the
    /// generation of what it is decided by; else when its client may come again.
    fn admit(&self, account: u64) -> Result<u64, Span>;
    /// A request ended that was taken under that generation.
    fn request_ended(&self, generation: u64, class: u16, done: bool, took: Duration);
    /// Whether a fill by the origin is to be had of what all share.
    fn can_afford_fill(&self, class: u16) -> bool;
    /// Draws on what all share for one attempt; none where it is not to be had.
    fn charge_quota(&self, draw: &QuotaCharge) -> Option<FillCharge>;
    /// A attempt ended that drew on fills, and how.
    fn settle_charge(&self, drawn: FillCharge, end: Outcome);
    /// This router's part of what a cold cache, or parent, bears; none where that is not divided.
    fn slow_start_share(&self, stable: u64, parent: bool) -> Option<f64>;
}

/// What one attempt drew on, as whoever keeps the account knows it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillCharge {
    pub at: Moment,
    pub class: u16,
    pub fills: bool,
}

/// A request that was taken, for the account of its end.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedRequest {
    generation: u64,
    class: u16,
    at: Instant,
}

/// The routing engine with its clock: the one way to it.
pub struct EngineHandle {
    control: RefCell<RoutingEngine<EngineHost>>,
    pub clock: Clock,
    alarm: Rc<WakeTimer>,
    open: Cell<usize>,
    gate: RefCell<Option<Rc<dyn AdmissionGate>>>,
}

impl EngineHandle {
    pub fn start(settings: Settings, seed: u64) -> Self {
        let (clock, desk) = (Clock::new(), EngineHost::default());
        let alarm = Rc::clone(&desk.alarm);
        let control = RefCell::new(RoutingEngine::start(desk, settings, seed, clock.now()));
        Self { control, clock, alarm, open: Cell::new(0), gate: RefCell::default() }
    }

    /// Tells the routing engine what happened, at the time that it is now. Nothing is awaited inside.
    pub fn with<T>(&self, what: impl FnOnce(&mut RoutingEngine<EngineHost>) -> T) -> T {
        let mut control = self.control.borrow_mut();
        control.set_time(self.clock.now());
        what(&mut control)
    }

    /// Has this one be asked before each request.
    pub fn set_gate(&self, gate: Rc<dyn AdmissionGate>) {
        self.control.borrow_mut().host().gate = Some(Rc::clone(&gate));
        *self.gate.borrow_mut() = Some(gate);
    }

    /// Has the routing engine go by what is in force now; else, where no request may be taken, when clients may come again. A
    /// request in hand stays with what it was taken by.
    fn reconcile_settings(&self) -> Result<(), Span> {
        let gate = self.gate.borrow().clone();
        if let Some(settings) = gate.map_or(Ok(None), |gate| gate.updated_settings())? {
            self.with(|control| control.apply_settings(settings));
        }
        Ok(())
    }

    /// Whether one more request may come to be in hand, of so many at most. What is decided at the door is decided by
    /// what is in force as well: else a router whose places are all taken would go by the old for as long.
    pub fn has_capacity(&self, most: usize) -> bool {
        let _ = self.reconcile_settings();
        let gate = self.gate.borrow();
        self.open.get() < gate.as_ref().map_or(most, |gate| most.min(gate.max_in_flight()))
    }

    /// When the client of a request that is refused at the door may come again, where that is told.
    pub fn retry_after(&self) -> Option<Span> {
        match self.reconcile_settings() {
            Ok(()) => self.with(RoutingEngine::retry_after),
            Err(pause) => Some(pause),
        }
    }

    /// A request is taken: it comes to the routing engine, unless none may be taken now.
    pub fn admit(&self, no: RequestSlot, asked: RequestMeta, left: Span) -> Option<AdmittedRequest> {
        let gate = self.gate.borrow().clone();
        let account = u64::from(asked.group);
        let admits =
            |gate: Rc<dyn AdmissionGate>| self.reconcile_settings().and_then(|()| gate.admit(account));
        match gate.map(admits) {
            Some(Err(pause)) => {
                self.control.borrow_mut().host().put(no, Action::Reject(Some(pause)));
                None
            }
            admitted => {
                self.with(|control| control.request_received(no, asked, left));
                let generation = admitted?.ok()?;
                Some(AdmittedRequest { generation, class: asked.class, at: Instant::now() })
            }
        }
    }

    /// The account of a request that was taken: whether it was done.
    pub fn record_outcome(&self, taken: Option<AdmittedRequest>, done: bool) {
        if let (Some(AdmittedRequest { generation, class, at }), Some(gate)) =
            (taken, self.gate.borrow().as_ref())
        {
            gate.request_ended(generation, class, done, at.elapsed());
        }
    }

    /// Tells the routing engine how a attempt ended; `last` says that the request is finished.
    pub fn attempt_ended(&self, no: RequestSlot, attempt: &Attempt, end: Outcome, last: bool) {
        let took = Span::micros(attempt.issued_at.elapsed().as_micros() as u64);
        tracing::debug!(
            request = no.0,
            index = attempt.index,
            cache = attempt.endpoint.0,
            ?end,
            ?took,
            last,
            "ended"
        );
        self.settle(no, attempt.index, end);
        self.with(|control| control.attempt_ended(no, attempt.index, end, took, last));
    }

    /// What a attempt drew on that routers share is settled before anything else is decided.
    fn settle(&self, no: RequestSlot, index: u16, end: Outcome) {
        let gate = self.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        let mut control = self.control.borrow_mut();
        let open = control.host().mailboxes.get_mut(no.0 as usize).and_then(Option::as_mut);
        let drawn = open.and_then(|open| open.drawn.get_mut(usize::from(index))?.take());
        if let Some(drawn) = drawn {
            gate.settle_charge(drawn, end);
        }
    }

    /// How many requests are in hand.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// A number and a slot for a new request.
    pub fn open_request(&self) -> (RequestSlot, Rc<Mailbox>) {
        self.open.set(self.open.get() + 1);
        let mailbox = Rc::new(Mailbox::default());
        let mut control = self.control.borrow_mut();
        let desk = control.host();
        let fresh =
            Some(Open { mailbox: Rc::clone(&mailbox), sent: 0, names: Vec::new(), drawn: Vec::new() });
        let no = match desk.free.pop() {
            Some(no) => {
                desk.mailboxes[no as usize] = fresh;
                no
            }
            None => {
                desk.mailboxes.push(fresh);
                desk.mailboxes.len() as u32 - 1
            }
        };
        (RequestSlot(no), mailbox)
    }

    /// The router ends: nothing more is done for any request.
    pub fn abandon_all(&self) {
        self.control
            .borrow_mut()
            .host()
            .mailboxes
            .iter()
            .flatten()
            .for_each(|open| open.mailbox.push(Action::Abandon));
    }

    /// The request has its final answer and every attempt of it was reported.
    pub fn close_request(&self, no: RequestSlot) {
        self.open.set(self.open.get() - 1);
        let mut control = self.control.borrow_mut();
        let desk = control.host();
        let open = desk.mailboxes[no.0 as usize].take();
        open.iter().flat_map(|open| &open.names).for_each(|name| desk.named[name.0 as usize] -= 1);
        desk.free.push(no.0);
    }

    /// Whether a request in hand was sent to that cache, or with it as source.
    pub fn is_referenced(&self, no: EndpointId) -> bool {
        self.control.borrow_mut().host().named.get(no.0 as usize).is_some_and(|count| *count > 0)
    }

    /// Wakes the routing engine whenever it asked for it; never ends.
    pub async fn run_timers(&self) {
        loop {
            self.alarm.fired().await;
            self.with(RoutingEngine::timer_fired);
        }
    }
}
