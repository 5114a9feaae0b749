//! The one way to the routing engine: every event reaches it here, with the time at which it is applied.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use tindoor::engine::RoutingEngine;
use tindoor::host::{EndpointId, Outcome, RequestMeta, RequestSlot};
use tindoor::settings::Settings;
use tindoor::time::Span;

use crate::{Action, AdmissionGate, AdmittedRequest, Attempt, Clock, EngineHost, Mailbox, WakeTimer};

/// The routing engine with its clock, its timer and the admission gate before it.
pub struct EngineHandle {
    engine: RefCell<RoutingEngine<EngineHost>>,
    /// The engine's clock.
    pub clock: Clock,
    timer: Rc<WakeTimer>,
    in_flight: Cell<usize>,
    gate: RefCell<Option<Rc<dyn AdmissionGate>>>,
}

impl EngineHandle {
    /// Starts a routing engine without an admission gate.
    pub fn start(settings: Settings, seed: u64) -> Self {
        let (clock, host) = (Clock::new(), EngineHost::default());
        let timer = Rc::clone(&host.timer);
        let engine = RefCell::new(RoutingEngine::start(host, settings, seed, clock.now()));
        Self { engine, clock, timer, in_flight: Cell::new(0), gate: RefCell::default() }
    }

    /// Applies an event to the routing engine at the present time. Nothing is awaited inside.
    pub fn with<T>(&self, event: impl FnOnce(&mut RoutingEngine<EngineHost>) -> T) -> T {
        let mut engine = self.engine.borrow_mut();
        engine.set_time(self.clock.now());
        event(&mut engine)
    }

    /// Has `gate` decide on the admission of each request from now on.
    pub fn set_gate(&self, gate: Rc<dyn AdmissionGate>) {
        self.engine.borrow_mut().host().gate = Some(Rc::clone(&gate));
        *self.gate.borrow_mut() = Some(gate);
    }

    /// Calls the routing engine whenever its timer fires; never returns.
    pub async fn run_timers(&self) {
        loop {
            self.timer.fired().await;
            self.with(RoutingEngine::timer_fired);
        }
    }
}

/// Admission of requests.
impl EngineHandle {
    /// Applies the settings in force to the routing engine; an error says that no request is admitted now,
    /// and when clients may retry. Requests in flight stay with the settings that they were admitted under.
    fn reconcile_settings(&self) -> Result<(), Span> {
        let gate = self.gate.borrow().clone();
        if let Some(settings) = gate.map_or(Ok(None), |gate| gate.updated_settings())? {
            self.with(|engine| engine.apply_settings(settings));
        }
        Ok(())
    }

    /// Whether one more request may be in flight, of `limit` at most. The settings in force are applied
    /// first: a router at its limit would otherwise never learn that they changed.
    pub fn has_capacity(&self, limit: usize) -> bool {
        let _ = self.reconcile_settings();
        let gate = self.gate.borrow();
        self.in_flight.get() < gate.as_ref().map_or(limit, |gate| limit.min(gate.max_in_flight()))
    }

    /// When the client of a request that finds no capacity may retry, where that is known.
    pub fn retry_after(&self) -> Option<Span> {
        match self.reconcile_settings() {
            Ok(()) => self.with(RoutingEngine::retry_after),
            Err(retry_after) => Some(retry_after),
        }
    }

    /// Hands a request to the routing engine, or rejects it where the gate does not admit it. Returns what to
    /// count at its end, where there is a gate that admitted it.
    pub fn admit(
        &self,
        slot: RequestSlot,
        meta: RequestMeta,
        time_remaining: Span,
    ) -> Option<AdmittedRequest> {
        let generation = match self.ask_gate(u64::from(meta.group)) {
            Ok(generation) => generation,
            Err(retry_after) => {
                self.engine.borrow_mut().host().push(slot, Action::Reject(Some(retry_after)));
                return None;
            }
        };
        self.with(|engine| engine.request_received(slot, meta, time_remaining));
        Some(AdmittedRequest { generation: generation?, class: meta.class, admitted_at: Instant::now() })
    }

    /// The generation under which the gate admits a request; none where there is no gate.
    fn ask_gate(&self, account: u64) -> Result<Option<u64>, Span> {
        let Some(gate) = self.gate.borrow().clone() else { return Ok(None) };
        self.reconcile_settings()?;
        gate.admit(account).map(Some)
    }

    /// Counts the end of an admitted request.
    pub fn record_outcome(&self, admitted: Option<AdmittedRequest>, done: bool) {
        if let (Some(request), Some(gate)) = (admitted, self.gate.borrow().as_ref()) {
            gate.request_ended(request.generation, request.class, done, request.admitted_at.elapsed());
        }
    }
}

/// Requests in flight.
impl EngineHandle {
    /// How many requests are in flight.
    pub fn open_requests(&self) -> usize {
        self.in_flight.get()
    }

    /// Gives a new request a slot and a mailbox.
    pub fn open_request(&self) -> (RequestSlot, Rc<Mailbox>) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.engine.borrow_mut().host().open()
    }

    /// Frees the slot of a request that has its final answer and whose attempts have all been reported.
    pub fn close_request(&self, slot: RequestSlot) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.engine.borrow_mut().host().close(slot);
    }

    /// Reports the end of an attempt to the routing engine; `last` says that the request has its final
    /// answer.
    pub fn attempt_ended(&self, slot: RequestSlot, attempt: &Attempt, outcome: Outcome, last: bool) {
        let took = Span::micros(attempt.issued_at.elapsed().as_micros() as u64);
        tracing::debug!(
            request = slot.0,
            index = attempt.index,
            endpoint = attempt.endpoint.0,
            ?outcome,
            ?took,
            last,
            "attempt ended"
        );
        // The quota is settled first, as the next decision may draw on it.
        self.settle_charge(slot, attempt.index, outcome);
        self.with(|engine| engine.attempt_ended(slot, attempt.index, outcome, took, last));
    }

    fn settle_charge(&self, slot: RequestSlot, attempt_index: u16, outcome: Outcome) {
        let gate = self.gate.borrow();
        let Some(gate) = gate.as_ref() else { return };
        let mut engine = self.engine.borrow_mut();
        if let Some(charge) = engine.host().take_charge(slot, attempt_index) {
            gate.settle_charge(charge, outcome);
        }
    }

    /// Whether a request in flight has an attempt to that endpoint, or with it as source.
    pub fn is_referenced(&self, endpoint: EndpointId) -> bool {
        self.engine.borrow_mut().host().is_referenced(endpoint)
    }

    /// Abandons all requests in flight, as the router shuts down.
    pub fn abandon_all(&self) {
        self.engine.borrow_mut().host().abandon_all();
    }
}
