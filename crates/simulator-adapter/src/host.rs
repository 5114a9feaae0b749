//! The engine's host: maps its ids to the simulator's, and encodes its actions as records.

use std::collections::HashMap;

use anyhow::{Result, ensure};
use tindoor::host::{EndpointId, FillDirectives, Host, RequestSlot};
use tindoor::time::Span;

/// The codes of actions on the wire.
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

/// A request and the simulator's id of it.
struct RequestEntry {
    wire_id: u64,
    /// It has no final answer yet.
    is_open: bool,
    in_flight: u32,
}

/// The ids of one router, and the actions that it took since they were last collected.
pub struct AdapterHost {
    instance: u32,
    /// Encoded actions.
    pub actions: Vec<u8>,
    /// By endpoint id.
    addresses: Vec<u64>,
    endpoint_ids: HashMap<u64, EndpointId>,
    /// By slot.
    requests: Vec<RequestEntry>,
    slots: HashMap<u64, RequestSlot>,
    free_slots: Vec<RequestSlot>,
}

impl AdapterHost {
    /// The host of the router with that number.
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

    /// The endpoint with that address; one that was never listed gets the next id.
    pub fn endpoint_id(&mut self, address: u64) -> EndpointId {
        let addresses = &mut self.addresses;
        *self.endpoint_ids.entry(address).or_insert_with(|| {
            addresses.push(address);
            EndpointId(addresses.len() as u32 - 1)
        })
    }

    /// Assigns a slot to a new request.
    pub fn open_request(&mut self, wire_id: u64) -> Result<RequestSlot> {
        ensure!(!self.slots.contains_key(&wire_id), "request {wire_id} was taken before");
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

    /// The slot of a request, until its final answer and the end of all its attempts.
    pub fn slot(&self, wire_id: u64) -> Option<RequestSlot> {
        self.slots.get(&wire_id).copied()
    }

    /// Records the end of an attempt and, with the last one, of its request.
    pub fn close_attempt(&mut self, slot: RequestSlot, is_last: bool) {
        let request = self.request_mut(slot);
        request.in_flight = request.in_flight.saturating_sub(1);
        request.is_open &= !is_last;
        self.release_if_done(slot);
    }

    /// Records that a request has its final answer, or needs none.
    pub fn close_request(&mut self, slot: RequestSlot) {
        self.request_mut(slot).is_open = false;
        self.release_if_done(slot);
    }

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

    /// Encodes an action: its code, the length of its fields, the instance and the other fields.
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

/// A span in microseconds as the wire has it, where 0 means that none is given.
fn given_span(span: Span) -> [u8; 4] {
    u32::try_from(span.as_micros().max(1)).unwrap_or(u32::MAX).to_le_bytes()
}

fn optional_span(span: Option<Span>) -> [u8; 4] {
    span.map_or([0; 4], given_span)
}

fn fill_flags(directives: &FillDirectives) -> u8 {
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
    fn send_cache_only(&mut self, slot: RequestSlot, endpoint: EndpointId, timeout: Span) {
        self.request_mut(slot).in_flight += 1;
        let (request, address) = (self.wire_id(slot), self.address(endpoint));
        self.push_action(code::SEND_CACHE_ONLY, &[&request, &given_span(timeout), &address]);
    }

    fn send_with_fill(
        &mut self,
        slot: RequestSlot,
        endpoint: EndpointId,
        timeout: Span,
        directives: FillDirectives,
    ) {
        self.request_mut(slot).in_flight += 1;
        self.push_action(
            code::SEND_WITH_FILL,
            &[
                &self.wire_id(slot),
                &self.address(endpoint),
                &optional_span(directives.max_age),
                &self.address(directives.source),
                &[fill_flags(&directives)],
                &given_span(timeout),
                &[directives.retention_rank],
            ],
        );
    }

    fn cancel(&mut self, slot: RequestSlot, index: u16) {
        self.push_action(code::CANCEL, &[&self.wire_id(slot), &index.to_le_bytes()]);
    }

    fn reject(&mut self, slot: RequestSlot, retry_after: Option<Span>) {
        self.push_action(code::REJECT, &[&self.wire_id(slot), &optional_span(retry_after)]);
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
