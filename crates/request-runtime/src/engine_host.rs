//! The [`Host`] of the routing engine: puts each action into the mailbox of the request that it is for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tindoor::host::{AttemptLimits, EndpointId, FillDirectives, Host, QuotaCharge, RequestSlot};
use tindoor::time::Span;

use crate::{Action, AdmissionGate, Attempt, AttemptCharge, Mailbox, WakeTimer};

/// The requests in flight, by slot, and the timer that schedules the next call of the routing engine.
#[derive(Default)]
pub struct EngineHost {
    requests: Vec<Option<RequestEntry>>,
    free_slots: Vec<u32>,
    /// The number of references to each endpoint, by endpoint id. An attempt of a request in flight holds one
    /// reference to its endpoint and one to its source.
    reference_counts: Vec<u32>,
    pub(crate) timer: Rc<WakeTimer>,
    pub(crate) gate: Option<Rc<dyn AdmissionGate>>,
}

/// A request in flight.
struct RequestEntry {
    mailbox: Rc<Mailbox>,
    next_attempt_index: u16,
    /// The endpoints and sources of the request's attempts. Their ids are not reassigned to other endpoints
    /// until the request ends.
    referenced: Vec<EndpointId>,
    /// The quota charge of each attempt, by attempt index, to be settled when the attempt ends. `None` if the
    /// attempt may not fill from the origin, or if its charge has been settled.
    charges: Vec<Option<AttemptCharge>>,
}

impl EngineHost {
    /// Allocates a slot and a mailbox for a new request.
    pub(crate) fn open(&mut self) -> (RequestSlot, Rc<Mailbox>) {
        let mailbox = Rc::new(Mailbox::default());
        let entry = Some(RequestEntry {
            mailbox: Rc::clone(&mailbox),
            next_attempt_index: 0,
            referenced: Vec::new(),
            charges: Vec::new(),
        });
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.requests[slot as usize] = entry;
                slot
            }
            None => {
                self.requests.push(entry);
                self.requests.len() as u32 - 1
            }
        };
        (RequestSlot(slot), mailbox)
    }

    /// Frees a slot and releases the endpoint references of its request.
    pub(crate) fn close(&mut self, slot: RequestSlot) {
        let entry = self.requests[slot.0 as usize].take();
        for endpoint in entry.iter().flat_map(|entry| &entry.referenced) {
            self.reference_counts[endpoint.0 as usize] -= 1;
        }
        self.free_slots.push(slot.0);
    }

    /// Whether an attempt of a request in flight refers to the endpoint, as its destination or as its source.
    pub(crate) fn is_referenced(&self, endpoint: EndpointId) -> bool {
        self.reference_counts.get(endpoint.0 as usize).is_some_and(|count| *count > 0)
    }

    /// Removes and returns the charge of an attempt. `None` if the attempt has no charge to settle.
    pub(crate) fn take_charge(&mut self, slot: RequestSlot, attempt_index: u16) -> Option<AttemptCharge> {
        self.entry_mut(slot)?.charges.get_mut(usize::from(attempt_index))?.take()
    }

    pub(crate) fn abandon_all(&self) {
        for entry in self.requests.iter().flatten() {
            entry.mailbox.push(Action::Abandon);
        }
    }

    pub(crate) fn push(&self, slot: RequestSlot, action: Action) {
        match self.requests.get(slot.0 as usize).and_then(Option::as_ref) {
            Some(entry) => entry.mailbox.push(action),
            None => {
                tracing::error!(
                    request = slot.0,
                    ?action,
                    "dropped an action for a request that is not in flight"
                );
            }
        }
    }

    fn entry_mut(&mut self, slot: RequestSlot) -> Option<&mut RequestEntry> {
        self.requests.get_mut(slot.0 as usize)?.as_mut()
    }

    fn send(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        limits: AttemptLimits,
        directives: Option<FillDirectives>,
    ) {
        let source = directives.map(|directives| directives.source);
        let Some(entry) = self.entry_mut(slot) else { return };
        let index = entry.next_attempt_index;
        entry.next_attempt_index += 1;
        entry.referenced.extend([Some(endpoint), source].into_iter().flatten());
        [Some(endpoint), source].into_iter().flatten().for_each(|endpoint| self.count_reference(endpoint));
        tracing::debug!(request = slot.0, index, endpoint = endpoint.0, "attempt queued");
        let timeout = Duration::from_micros(limits.timeout.as_micros());
        let issued_at = Instant::now();
        let send_within = limits.send_within.map(|span| Duration::from_micros(span.as_micros()));
        let send_by = send_within.map(|within| issued_at + within);
        self.push(slot, Action::Send(Attempt { index, endpoint, timeout, send_by, directives, issued_at }));
    }

    fn count_reference(&mut self, endpoint: EndpointId) {
        let index = endpoint.0 as usize;
        self.reference_counts.resize(self.reference_counts.len().max(index + 1), 0);
        self.reference_counts[index] += 1;
    }
}

impl Host for EngineHost {
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, limits: AttemptLimits) {
        self.send(slot, endpoint, limits, None);
    }

    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        limits: AttemptLimits,
        directives: FillDirectives,
    ) {
        self.send(slot, endpoint, limits, Some(directives));
    }

    fn cancel(&mut self, slot: RequestSlot, attempt_index: u16) {
        self.push(slot, Action::Cancel(attempt_index));
    }

    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>) {
        self.push(slot, Action::Reject(retry_after));
    }

    fn fail(&mut self, slot: RequestSlot) {
        self.push(slot, Action::Fail);
    }

    fn set_timer(&mut self, wait: Span) {
        self.timer.set(Instant::now() + Duration::from_micros(wait.as_micros()));
    }

    /// Does nothing: the router already watches endpoint discovery from startup on.
    fn watch_endpoints(&mut self) {}

    fn can_afford_fill(&self, class: u16) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.can_afford_fill(class))
    }

    fn charge_quota(&mut self, slot: RequestSlot, charge: QuotaCharge) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(charged) = gate.charge_quota(&charge) else { return false };
        // The routing engine charges an attempt right before it sends it, so that the charge and the attempt
        // get the same index.
        if let Some(entry) = self.entry_mut(slot) {
            entry.charges.push(Some(charged).filter(|charged| charged.may_fill_from_origin));
        }
        true
    }

    fn slow_start_share(&self, stable_id: u64, is_parent: bool) -> Option<f64> {
        self.gate.as_ref()?.slow_start_share(stable_id, is_parent)
    }
}
