//! Frames, records and fields of the wire, and the request runtime that encodes what a router does.

use std::collections::HashMap;
use std::io::Read;

use anyhow::{Context, Result, bail, ensure};
use tindoor::host::{EndpointId, FillDirectives, Host, RequestSlot};
use tindoor::time::Span;

pub const SPAWN: u8 = 1;
pub const LIST: u8 = 2;
pub const INGRESS: u8 = 3;
pub const STREAMING: u8 = 4;
pub const DONE: u8 = 5;
pub const ABORTED: u8 = 6;
pub const ELAPSED: u8 = 7;
pub const CHECKED: u8 = 8;
pub const FROM_PEER: u8 = 9;
pub const DESTROY: u8 = 10;
pub const STRUCK_OUT: u8 = 11;

const CANCEL: u8 = 1;
const ABORT: u8 = 5;
const READ_THROUGH: u8 = 7;
const SET_TIMER: u8 = 8;
const NOT_NOW: u8 = 9;
const WATCH: u8 = 11;
const SUBMIT_TO: u8 = 12;

/// The wire's name of an event code, for messages.
pub fn event_name(code: u8) -> Option<&'static str> {
    Some(match code {
        SPAWN => "Spawn",
        LIST => "DirectoryUpdate",
        INGRESS => "Ingress",
        STREAMING => "Streaming",
        DONE => "Done",
        ABORTED => "Aborted",
        ELAPSED => "Elapsed",
        CHECKED => "Checked",
        FROM_PEER => "FromPeer",
        DESTROY => "Destroy",
        STRUCK_OUT => "StruckOut",
        _ => return None,
    })
}

/// Reads a batch into `body`; gives its clock and count of records, or none where the input ends.
pub fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<(u64, u32)>> {
    body.clear();
    input.by_ref().take(16).read_to_end(body)?;
    if body.is_empty() {
        return Ok(None);
    }
    ensure!(body.len() == 16, "batch header cut short after {} bytes", body.len());
    let mut header = Record::new(body);
    let (clock, size, count) = (header.u64()?, header.u32()?, header.u32()?);
    let size = size.checked_sub(4).context("batch length leaves no room for the record count")?;
    body.clear();
    // The buffer grows with what really comes, not with what the header claims.
    input.by_ref().take(size.into()).read_to_end(body)?;
    ensure!(body.len() == size as usize, "batch cut short: {} bytes of {size}", body.len());
    Ok(Some((clock, count)))
}

/// Bytes being read field by field.
pub struct Record<'a>(&'a [u8]);

impl<'a> Record<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn bytes(&self) -> &'a [u8] {
        self.0
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let Some((head, tail)) = self.0.split_first_chunk::<N>() else {
            bail!("too short: {N} bytes wanted, {} left", self.0.len());
        };
        self.0 = tail;
        Ok(*head)
    }

    pub fn skip(&mut self, size: usize) -> Result<&'a [u8]> {
        let Some((head, tail)) = self.0.split_at_checked(size) else {
            bail!("too short: {size} bytes wanted, {} left", self.0.len());
        };
        self.0 = tail;
        Ok(head)
    }

    /// What a u32 length in front covers.
    pub fn counted(&mut self) -> Result<Record<'a>> {
        let size = self.u32()? as usize;
        self.skip(size).map(Record)
    }

    pub fn u8(&mut self) -> Result<u8> {
        self.array::<1>().map(|bytes| bytes[0])
    }

    pub fn u16(&mut self) -> Result<u16> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32> {
        let value = self.array().map(f32::from_le_bytes)?;
        ensure!(value.is_finite(), "a field is not a finite number");
        Ok(value)
    }

    /// Four bytes of address and a port, as one number.
    pub fn address(&mut self) -> Result<u64> {
        let [a, b, c, d, e, f] = self.array::<6>()?;
        Ok(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]))
    }

    /// A load report; nothing here makes use of it yet.
    pub fn report(&mut self) -> Result<()> {
        let count = self.u8()?;
        self.skip(usize::from(count) * 4).map(|_| ())
    }
}

struct Ticket {
    ticket: u64,
    open: bool,
    out: u32,
}

/// One router's ids, and the actions that it took since they were last collected.
pub struct AdapterHost {
    who: u32,
    pub actions: Vec<u8>,
    addresses: Vec<u64>,
    caches: HashMap<u64, u32>,
    correlation_ids: Vec<Ticket>,
    requests: HashMap<u64, u32>,
    free: Vec<u32>,
}

impl AdapterHost {
    pub fn new(who: u32) -> Self {
        Self {
            who,
            actions: Vec::new(),
            addresses: Vec::new(),
            caches: HashMap::new(),
            correlation_ids: Vec::new(),
            requests: HashMap::new(),
            free: Vec::new(),
        }
    }

    pub fn cache_no(&mut self, address: u64) -> EndpointId {
        let addresses = &mut self.addresses;
        EndpointId(*self.caches.entry(address).or_insert_with(|| {
            addresses.push(address);
            addresses.len() as u32 - 1
        }))
    }

    pub fn open_request(&mut self, ticket: u64) -> Result<RequestSlot> {
        ensure!(!self.requests.contains_key(&ticket), "request {ticket} was taken before");
        let fresh = Ticket { ticket, open: true, out: 0 };
        let no = match self.free.pop() {
            Some(no) => {
                self.correlation_ids[no as usize] = fresh;
                no
            }
            None => {
                self.correlation_ids.push(fresh);
                self.correlation_ids.len() as u32 - 1
            }
        };
        self.requests.insert(ticket, no);
        Ok(RequestSlot(no))
    }

    pub fn request_of(&self, ticket: u64) -> Option<RequestSlot> {
        self.requests.get(&ticket).copied().map(RequestSlot)
    }

    /// A attempt was reported, and with it perhaps the end of the request.
    pub fn close_attempt(&mut self, no: RequestSlot, last: bool) {
        let ticket = &mut self.correlation_ids[no.0 as usize];
        ticket.out = ticket.out.saturating_sub(1);
        ticket.open &= !last;
        self.release(no);
    }

    pub fn close_request(&mut self, no: RequestSlot) {
        self.correlation_ids[no.0 as usize].open = false;
        self.release(no);
    }

    fn release(&mut self, no: RequestSlot) {
        let ticket = &self.correlation_ids[no.0 as usize];
        if !ticket.open && ticket.out == 0 && self.requests.remove(&ticket.ticket).is_some() {
            self.free.push(no.0);
        }
    }

    fn act(&mut self, code: u8, fields: &[&[u8]]) {
        let size: usize = 4 + fields.iter().map(|field| field.len()).sum::<usize>();
        self.actions.push(code);
        self.actions.extend((size as u32).to_le_bytes());
        self.actions.extend(self.who.to_le_bytes());
        for field in fields {
            self.actions.extend(*field);
        }
    }

    fn ticket(&self, no: RequestSlot) -> [u8; 8] {
        self.correlation_ids[no.0 as usize].ticket.to_le_bytes()
    }

    fn address(&self, no: EndpointId) -> [u8; 6] {
        let [a, b, c, d, e, f, ..] = self.addresses[no.0 as usize].to_le_bytes();
        [a, b, c, d, e, f]
    }
}

/// A span in the wire's field for it, where 0 would mean "not given".
fn some(span: Span) -> [u8; 4] {
    u32::try_from(span.as_micros().max(1)).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host for AdapterHost {
    fn send_cache_only(&mut self, request: RequestSlot, cache: EndpointId, wait: Span) {
        self.correlation_ids[request.0 as usize].out += 1;
        self.act(SUBMIT_TO, &[&self.ticket(request), &some(wait), &self.address(cache)]);
    }

    fn send_with_fill(
        &mut self,
        request: RequestSlot,
        cache: EndpointId,
        wait: Span,
        directives: FillDirectives,
    ) {
        self.correlation_ids[request.0 as usize].out += 1;
        let max_age = directives.max_age.map_or([0; 4], some);
        let how = u8::from(directives.join_fill)
            + 2 * u8::from(directives.only_if_cached)
            + 8 * u8::from(directives.refresh);
        let (ticket, cache, source) =
            (self.ticket(request), self.address(cache), self.address(directives.source));
        self.act(
            READ_THROUGH,
            &[&ticket, &cache, &max_age, &source, &[how], &some(wait), &[directives.retention_rank]],
        );
    }

    fn cancel(&mut self, request: RequestSlot, nth: u16) {
        self.act(CANCEL, &[&self.ticket(request), &nth.to_le_bytes()]);
    }

    fn reject(&mut self, request: RequestSlot, retry_after: Option<Span>) {
        let retry_after = retry_after.map_or([0; 4], some);
        self.act(NOT_NOW, &[&self.ticket(request), &retry_after]);
        self.close_request(request);
    }

    fn fail(&mut self, request: RequestSlot) {
        self.act(ABORT, &[&self.ticket(request)]);
        self.close_request(request);
    }

    fn set_timer(&mut self, wait: Span) {
        let wait = u32::try_from(wait.as_micros()).unwrap_or(u32::MAX);
        self.act(SET_TIMER, &[&wait.to_le_bytes(), &[0; 4]]);
    }

    fn watch_endpoints(&mut self) {
        self.act(WATCH, &[&[1]]);
    }
}
