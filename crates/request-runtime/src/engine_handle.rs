//! Access to the routing engine. Every event is applied through [`EngineHandle`], which sets the engine's
//! time first.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use tindoor::engine::RoutingEngine;
use tindoor::host::{EndpointId, Outcome, RequestMeta, RequestSlot};
use tindoor::settings::Settings;
use tindoor::time::Span;

use crate::{Action, AdmissionGate, AdmittedRequest, Attempt, Clock, EngineHost, Mailbox, WakeTimer};

/// The routing engine with its clock, its timer and the admission gate that requests pass before they reach
/// it.
pub struct EngineHandle {
    engine: RefCell<RoutingEngine<EngineHost>>,
    /// The clock of the routing engine.
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

    /// Applies an event to the routing engine at the current time.
    ///
    /// The engine stays borrowed while `event` runs, so `event` must not call back into this handle.
    pub fn with<T>(&self, event: impl FnOnce(&mut RoutingEngine<EngineHost>) -> T) -> T {
        let mut engine = self.engine.borrow_mut();
        engine.set_time(self.clock.now());
        event(&mut engine)
    }

    /// Sets the gate that decides on the admission of every later request.
    pub fn set_gate(&self, gate: Rc<dyn AdmissionGate>) {
        self.engine.borrow_mut().host().gate = Some(Rc::clone(&gate));
        *self.gate.borrow_mut() = Some(gate);
    }

    /// Calls the routing engine each time its timer fires. Never returns.
    pub async fn run_timers(&self) {
        loop {
            self.timer.fired().await;
            self.with(RoutingEngine::timer_fired);
        }
    }
}

/// Admission of requests.
impl EngineHandle {
    /// Applies the settings in force to the routing engine if they have changed. Requests in flight keep the
    /// settings that they were admitted under.
    ///
    /// An error means that no request is admitted now; it holds the delay after which clients may retry.
    fn apply_updated_settings(&self) -> Result<(), Span> {
        let gate = self.gate.borrow().clone();
        if let Some(settings) = gate.map_or(Ok(None), |gate| gate.updated_settings())? {
            self.with(|engine| engine.apply_settings(settings));
        }
        Ok(())
    }

    /// Whether one more request may be in flight, given a maximum of `limit` and the maximum set by the
    /// admission gate.
    ///
    /// Applies the settings in force first: a router at its limit admits no request, and would otherwise
    /// never notice that the settings have changed.
    pub fn has_capacity(&self, limit: usize) -> bool {
        self.in_flight.get() < self.max_in_flight(limit)
    }

    /// Returns how many requests may be in flight, given a maximum of `limit` and the maximum set by the admission
    /// gate. Applies the settings in force first.
    pub fn max_in_flight(&self, limit: usize) -> usize {
        let _ = self.apply_updated_settings();
        let gate = self.gate.borrow();
        gate.as_ref().map_or(limit, |gate| limit.min(gate.max_in_flight()))
    }

    /// Returns the delay after which a client may retry a request that found no capacity. `None` if it is not
    /// known.
    pub fn retry_after(&self) -> Option<Span> {
        match self.apply_updated_settings() {
            Ok(()) => self.with(RoutingEngine::retry_after),
            Err(retry_after) => Some(retry_after),
        }
    }

    /// Passes a request to the routing engine, or rejects it if the admission gate does not admit it.
    ///
    /// Returns the request to pass to [`record_outcome`](Self::record_outcome) when it ends. `None` if the
    /// request was rejected, or if there is no admission gate.
    pub fn admit(
        &self,
        slot: RequestSlot,
        meta: RequestMeta,
        time_remaining: Span,
    ) -> Option<AdmittedRequest> {
        let generation = match self.check_admission(u64::from(meta.group)) {
            Ok(generation) => generation,
            Err(retry_after) => {
                self.engine.borrow_mut().host().push(slot, Action::Reject(Some(retry_after)));
                return None;
            }
        };
        self.with(|engine| engine.request_received(slot, meta, time_remaining));
        Some(AdmittedRequest { generation: generation?, class: meta.class, admitted_at: Instant::now() })
    }

    /// Returns the generation of the settings under which the gate admits a request of `account`. `None` if
    /// there is no gate; an error holds the delay after which the client may retry.
    fn check_admission(&self, account: u64) -> Result<Option<u64>, Span> {
        let Some(gate) = self.gate.borrow().clone() else { return Ok(None) };
        self.apply_updated_settings()?;
        gate.admit(account).map(Some)
    }

    /// Reports the end of an admitted request to the admission gate; `served` says whether it was served.
    pub fn record_outcome(&self, admitted: Option<AdmittedRequest>, served: bool) {
        if let (Some(request), Some(gate)) = (admitted, self.gate.borrow().as_ref()) {
            gate.request_ended(request.generation, request.class, served, request.admitted_at.elapsed());
        }
    }
}

/// Requests in flight.
impl EngineHandle {
    /// Returns the number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.in_flight.get()
    }

    /// Allocates a slot and a mailbox for a new request.
    pub fn open_request(&self) -> (RequestSlot, Rc<Mailbox>) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.engine.borrow_mut().host().open()
    }

    /// Frees the slot of a request. The request must have its final answer, and all its attempts must have
    /// been reported.
    pub fn close_request(&self, slot: RequestSlot) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.engine.borrow_mut().host().close(slot);
    }

    /// Reports the end of an attempt to the routing engine; `last` says whether the request has its final
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
        // The charge is settled first, because the routing engine may charge the quota again in its next
        // decision.
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

    /// Whether a request in flight has an attempt that uses the endpoint, as its destination or as its
    /// source.
    pub fn is_referenced(&self, endpoint: EndpointId) -> bool {
        self.engine.borrow_mut().host().is_referenced(endpoint)
    }

    /// Abandons all requests in flight; used when the router shuts down.
    pub fn abandon_all(&self) {
        self.engine.borrow_mut().host().abandon_all();
    }
}
