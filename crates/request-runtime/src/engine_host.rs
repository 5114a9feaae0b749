//! The routing engine's [`Host`]: puts each action into the mailbox of its request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tindoor::host::{EndpointId, FillDirectives, Host, QuotaCharge, RequestSlot};
use tindoor::time::Span;

use crate::{Action, AdmissionGate, Attempt, AttemptCharge, Mailbox, WakeTimer};

/// The requests in flight by their slots, and when the routing engine is to be called next.
#[derive(Default)]
pub struct EngineHost {
    requests: Vec<Option<RequestEntry>>,
    free_slots: Vec<u32>,
    /// By endpoint, how many times attempts of requests in flight refer to it.
    reference_counts: Vec<u32>,
    pub(crate) timer: Rc<WakeTimer>,
    pub(crate) gate: Option<Rc<dyn AdmissionGate>>,
}

/// A request in flight.
struct RequestEntry {
    mailbox: Rc<Mailbox>,
    next_attempt_index: u16,
    /// The endpoints and sources of its attempts: their ids are not given to others before the request ends.
    referenced: Vec<EndpointId>,
    /// By attempt, the charge to settle at its end; none where the attempt fills nothing.
    charges: Vec<Option<AttemptCharge>>,
}

impl EngineHost {
    /// Gives a new request a slot and a mailbox.
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

    /// Frees the slot and drops the references of its request.
    pub(crate) fn close(&mut self, slot: RequestSlot) {
        let entry = self.requests[slot.0 as usize].take();
        for endpoint in entry.iter().flat_map(|entry| &entry.referenced) {
            self.reference_counts[endpoint.0 as usize] -= 1;
        }
        self.free_slots.push(slot.0);
    }

    /// Whether an attempt of a request in flight refers to that endpoint.
    pub(crate) fn is_referenced(&self, endpoint: EndpointId) -> bool {
        self.reference_counts.get(endpoint.0 as usize).is_some_and(|count| *count > 0)
    }

    /// Removes the charge of an attempt, if there is one to settle.
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
                tracing::error!(request = slot.0, ?action, "an action for a request that is not in flight");
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
        timeout: Span,
        directives: Option<FillDirectives>,
    ) {
        let source = directives.map(|directives| directives.source);
        let Some(entry) = self.entry_mut(slot) else { return };
        let index = entry.next_attempt_index;
        entry.next_attempt_index += 1;
        entry.referenced.extend([Some(endpoint), source].into_iter().flatten());
        [Some(endpoint), source].into_iter().flatten().for_each(|endpoint| self.count_reference(endpoint));
        tracing::debug!(request = slot.0, index, endpoint = endpoint.0, "attempt ordered");
        let timeout = Duration::from_micros(timeout.as_micros());
        let issued_at = Instant::now();
        self.push(slot, Action::Send(Attempt { index, endpoint, timeout, directives, issued_at }));
    }

    fn count_reference(&mut self, endpoint: EndpointId) {
        let index = endpoint.0 as usize;
        self.reference_counts.resize(self.reference_counts.len().max(index + 1), 0);
        self.reference_counts[index] += 1;
    }
}

impl Host for EngineHost {
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, timeout: Span) {
        self.send(slot, endpoint, timeout, None);
    }

    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        timeout: Span,
        directives: FillDirectives,
    ) {
        self.send(slot, endpoint, timeout, Some(directives));
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

    /// The discovery watch runs from the start, whether it is asked for or not.
    fn watch_endpoints(&mut self) {}

    fn can_afford_fill(&self, class: u16) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.can_afford_fill(class))
    }

    fn charge_quota(&mut self, slot: RequestSlot, charge: QuotaCharge) -> bool {
        let Some(gate) = &self.gate else { return true };
        let Some(charged) = gate.charge_quota(&charge) else { return false };
        // The attempt that is sent next has the index of this charge.
        if let Some(entry) = self.entry_mut(slot) {
            entry.charges.push(Some(charged).filter(|charged| charged.may_fill_from_origin));
        }
        true
    }

    fn slow_start_share(&self, stable_id: u64, is_parent: bool) -> Option<f64> {
        self.gate.as_ref()?.slow_start_share(stable_id, is_parent)
    }
}
