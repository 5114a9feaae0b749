//! The engine's host: maps the engine's ids to the simulator's and encodes the engine's actions as records.

use std::collections::HashMap;

use anyhow::{Result, ensure};
use tindoor::host::{AttemptLimits, EndpointId, FillDirectives, Host, RequestSlot};
use tindoor::time::Span;

/// The action codes on the wire.
mod code {
    pub const CANCEL: u8 = 1;
    pub const FAIL: u8 = 5;
    pub const SEND_WITH_FILL: u8 = 7;
    pub const SET_TIMER: u8 = 8;
    pub const REJECT: u8 = 9;
    pub const WATCH_ENDPOINTS: u8 = 11;
    pub const SEND_CACHE_ONLY: u8 = 12;
}

/// The flags of fill directives on the wire.
mod fill_flag {
    pub const JOIN_FILL: u8 = 1;
    pub const ONLY_IF_CACHED: u8 = 2;
    pub const REFRESH: u8 = 8;
}

/// A request that the simulator sent.
struct RequestEntry {
    /// The simulator's id of the request.
    wire_id: u64,
    /// Whether the request still needs a final answer.
    is_open: bool,
    /// The number of attempts in flight.
    in_flight: u32,
}

/// The ids that one router uses, and the actions that it took since they were last collected.
pub struct AdapterHost {
    instance: u32,
    /// The encoded actions.
    pub actions: Vec<u8>,
    /// The address of each endpoint, indexed by endpoint id.
    addresses: Vec<u64>,
    endpoint_ids: HashMap<u64, EndpointId>,
    /// The request in each slot, indexed by slot.
    requests: Vec<RequestEntry>,
    /// The slot of each request, by the simulator's id.
    slots: HashMap<u64, RequestSlot>,
    free_slots: Vec<RequestSlot>,
}

impl AdapterHost {
    /// Returns the host of the router with this instance number.
    pub fn new(instance: u32) -> Self {
        Self {
            instance,
            actions: Vec::new(),
            addresses: Vec::new(),
            endpoint_ids: HashMap::new(),
            requests: Vec::new(),
            slots: HashMap::new(),
            free_slots: Vec::new(),
        }
    }

    /// Returns the id of the endpoint with this address. A new address gets the next unused id.
    pub fn endpoint_id(&mut self, address: u64) -> EndpointId {
        let addresses = &mut self.addresses;
        *self.endpoint_ids.entry(address).or_insert_with(|| {
            addresses.push(address);
            EndpointId(addresses.len() as u32 - 1)
        })
    }

    /// Assigns a slot to a new request. Fails if a request with the same wire id still has a slot.
    pub fn open_request(&mut self, wire_id: u64) -> Result<RequestSlot> {
        ensure!(!self.slots.contains_key(&wire_id), "request id {wire_id} is already in use");
        let entry = RequestEntry { wire_id, is_open: true, in_flight: 0 };
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.requests[slot.0 as usize] = entry;
            slot
        } else {
            self.requests.push(entry);
            RequestSlot(self.requests.len() as u32 - 1)
        };
        self.slots.insert(wire_id, slot);
        Ok(slot)
    }

    /// Returns the slot of a request; `None` if the request has its final answer and all its attempts ended.
    pub fn slot(&self, wire_id: u64) -> Option<RequestSlot> {
        self.slots.get(&wire_id).copied()
    }

    /// Records the end of an attempt. If `is_last` is set, the request has its final answer.
    pub fn close_attempt(&mut self, slot: RequestSlot, is_last: bool) {
        let request = self.request_mut(slot);
        request.in_flight = request.in_flight.saturating_sub(1);
        request.is_open &= !is_last;
        self.release_if_done(slot);
    }

    /// Records that a request has its final answer or no longer needs one.
    pub fn close_request(&mut self, slot: RequestSlot) {
        self.request_mut(slot).is_open = false;
        self.release_if_done(slot);
    }

    /// Frees the slot if the request is closed and no attempt is in flight.
    fn release_if_done(&mut self, slot: RequestSlot) {
        let request = &self.requests[slot.0 as usize];
        let is_done = !request.is_open && request.in_flight == 0;
        if is_done && self.slots.remove(&request.wire_id).is_some() {
            self.free_slots.push(slot);
        }
    }

    fn request_mut(&mut self, slot: RequestSlot) -> &mut RequestEntry {
        &mut self.requests[slot.0 as usize]
    }

    /// Encodes an action: its code, the length in bytes of what follows, the instance and the other fields.
    fn push_action(&mut self, code: u8, fields: &[&[u8]]) {
        let size: usize = size_of::<u32>() + fields.iter().map(|field| field.len()).sum::<usize>();
        self.actions.push(code);
        self.actions.extend((size as u32).to_le_bytes());
        self.actions.extend(self.instance.to_le_bytes());
        for field in fields {
            self.actions.extend(*field);
        }
    }

    fn wire_id(&self, slot: RequestSlot) -> [u8; 8] {
        self.requests[slot.0 as usize].wire_id.to_le_bytes()
    }

    fn address(&self, endpoint: EndpointId) -> [u8; 6] {
        let [a, b, c, d, e, f, ..] = self.addresses[endpoint.0 as usize].to_le_bytes();
        [a, b, c, d, e, f]
    }
}

/// Encodes a span in microseconds, limited to the range of a non-zero `u32`: 0 on the wire means no span.
fn encode_span(span: Span) -> [u8; 4] {
    u32::try_from(span.as_micros().max(1)).unwrap_or(u32::MAX).to_le_bytes()
}

/// Encodes a span in microseconds, or 0 if there is none.
fn encode_optional_span(span: Option<Span>) -> [u8; 4] {
    span.map_or([0; 4], encode_span)
}

fn encode_fill_flags(directives: &FillDirectives) -> u8 {
    let mut flags = 0;
    if directives.join_fill {
        flags |= fill_flag::JOIN_FILL;
    }
    if directives.only_if_cached {
        flags |= fill_flag::ONLY_IF_CACHED;
    }
    if directives.refresh {
        flags |= fill_flag::REFRESH;
    }
    flags
}

impl Host for AdapterHost {
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, limits: AttemptLimits) {
        self.request_mut(slot).in_flight += 1;
        let (request, address) = (self.wire_id(slot), self.address(endpoint));
        self.push_action(code::SEND_CACHE_ONLY, &[&request, &encode_span(limits.timeout), &address]);
    }

    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        limits: AttemptLimits,
        directives: FillDirectives,
    ) {
        self.request_mut(slot).in_flight += 1;
        self.push_action(
            code::SEND_WITH_FILL,
            &[
                &self.wire_id(slot),
                &self.address(endpoint),
                &encode_optional_span(directives.max_age),
                &self.address(directives.source),
                &[encode_fill_flags(&directives)],
                &encode_span(limits.timeout),
                &[directives.retention_rank],
            ],
        );
    }

    fn cancel(&mut self, slot: RequestSlot, index: u16) {
        self.push_action(code::CANCEL, &[&self.wire_id(slot), &index.to_le_bytes()]);
    }

    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>) {
        self.push_action(code::REJECT, &[&self.wire_id(slot), &encode_optional_span(retry_after)]);
        self.close_request(slot);
    }

    fn fail(&mut self, slot: RequestSlot) {
        self.push_action(code::FAIL, &[&self.wire_id(slot)]);
        self.close_request(slot);
    }

    fn set_timer(&mut self, wait: Span) {
        let wait = u32::try_from(wait.as_micros()).unwrap_or(u32::MAX);
        let cookie = [0; 4];
        self.push_action(code::SET_TIMER, &[&wait.to_le_bytes(), &cookie]);
    }

    fn watch_endpoints(&mut self) {
        self.push_action(code::WATCH_ENDPOINTS, &[&[1]]);
    }
}
