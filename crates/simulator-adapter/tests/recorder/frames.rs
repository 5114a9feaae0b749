//! Encodes batches and event records, and decodes actions.
//!
//! Clocks and durations are in microseconds.

/// An IPv4 address and a port.
pub type Address = [u8; 6];

/// Encodes an event record: its code, the length of its fields and the fields.
pub fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_le_bytes(), &body].concat()
}

/// Encodes a batch of records.
pub fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let (size, count) = (body.len() as u32 + 4, records.len() as u32);
    [&clock.to_le_bytes()[..], &size.to_le_bytes(), &count.to_le_bytes(), &body].concat()
}

pub fn instance_started(instance_id: u32, seed: u64, settings: &str) -> Vec<u8> {
    let size = settings.len() as u32;
    record(1, &[&instance_id.to_le_bytes(), &seed.to_le_bytes(), &size.to_le_bytes(), settings.as_bytes()])
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub struct Entry {
    pub state: u8,
    pub address: Address,
    /// When the server last started; 0 if that was long ago.
    pub started_at: u64,
    pub zone: u8,
    /// The number of full-speed transfers that the server can run at once, or a relative weight.
    pub capacity: f32,
    pub kind: u8,
    pub cell: u16,
}

// The states of an entry.
pub const REMOVED: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;

// The kinds of an endpoint list update.
/// All entries.
pub const FULL: u8 = 0;
/// All entries, sent to an instance when it starts.
pub const FULL_AT_START: u8 = 1;
/// No entries: the list could not be fetched.
pub const FAILED: u8 = 3;
/// Only the entries that changed.
pub const DELTA: u8 = 4;

pub fn endpoints_changed(instance_id: u32, update_kind: u8, version: u64, entries: &[Entry]) -> Vec<u8> {
    let encode = |entry: &Entry| {
        let (started_at, capacity) = (entry.started_at.to_le_bytes(), entry.capacity.to_le_bytes());
        let cell = entry.cell.to_le_bytes();
        [&[entry.state][..], &entry.address, &started_at, &[entry.zone], &capacity, &[entry.kind], &cell]
            .concat()
    };
    let encoded_entries: Vec<u8> = entries.iter().flat_map(encode).collect();
    let count = (entries.len() as u32).to_le_bytes();
    record(2, &[&instance_id.to_le_bytes(), &[update_kind], &version.to_le_bytes(), &count, &encoded_entries])
}

/// What a client requests.
#[derive(Clone, Copy)]
pub struct RequestMeta {
    pub object: u64,
    pub part: u32,
    pub group: u16,
    pub class: u16,
    /// The size of the response in kilobytes; 0 if unknown.
    pub size_kb: f32,
    /// 2 for a client retry, otherwise 0.
    pub flags: u16,
}

pub fn request_received(
    instance_id: u32,
    request_id: u64,
    meta: &RequestMeta,
    time_remaining: u64,
) -> Vec<u8> {
    let group = f32::from(meta.group).to_le_bytes();
    record(
        3,
        &[
            &instance_id.to_le_bytes(),
            &request_id.to_le_bytes(),
            &(meta.part as f32).to_le_bytes(),
            &(time_remaining as u32).to_le_bytes(),
            &meta.class.to_le_bytes(),
            &group,
            &[0; 2],
            &meta.flags.to_le_bytes(),
            &meta.object.to_le_bytes(),
            &meta.size_kb.to_le_bytes(),
        ],
    )
}

pub fn streaming_started(
    instance_id: u32,
    request_id: u64,
    attempt: u16,
    server: Address,
    took: u64,
) -> Vec<u8> {
    let took = (took as u32).to_le_bytes();
    record(
        4,
        &[&instance_id.to_le_bytes(), &request_id.to_le_bytes(), &attempt.to_le_bytes(), &server, &took],
    )
}

/// How an attempt ended.
pub struct Outcome {
    pub attempt: u16,
    pub server: Address,
    pub status: u8,
    pub detail: u32,
    /// Whether the request has its final answer.
    pub is_last: bool,
    pub took: u64,
    pub first_byte: u64,
}

pub fn attempt_ended(instance_id: u32, request_id: u64, outcome: &Outcome) -> Vec<u8> {
    record(
        5,
        &[
            &instance_id.to_le_bytes(),
            &request_id.to_le_bytes(),
            &outcome.detail.to_le_bytes(),
            &[u8::from(outcome.is_last)],
            &(outcome.took as u32).to_le_bytes(),
            &(outcome.first_byte as u32).to_le_bytes(),
            &outcome.server,
            &[outcome.status],
            &outcome.attempt.to_le_bytes(),
            &[0],
        ],
    )
}

pub fn request_abandoned(instance_id: u32, request_id: u64) -> Vec<u8> {
    record(6, &[&instance_id.to_le_bytes(), &request_id.to_le_bytes()])
}

pub fn timer_fired(instance_id: u32, cookie: u32) -> Vec<u8> {
    record(7, &[&instance_id.to_le_bytes(), &cookie.to_le_bytes()])
}

/// Encodes the end of a health check, with a load report of two values.
pub fn health_checked(instance_id: u32, server: Address, status: u8, took: u32) -> Vec<u8> {
    record(8, &[&instance_id.to_le_bytes(), &server, &[status], &took.to_le_bytes(), &[2], &[0; 8]])
}

pub fn peer_message(instance_id: u32, sender: u16, contents: &[u8]) -> Vec<u8> {
    let size = (contents.len() as u16).to_le_bytes();
    record(9, &[&instance_id.to_le_bytes(), &sender.to_le_bytes(), &size, contents])
}

pub fn instance_stopped(instance_id: u32) -> Vec<u8> {
    record(10, &[&instance_id.to_le_bytes()])
}

/// Encodes a purge of an object or, if `object` is 0, of a group.
pub fn purged(instance_id: u32, object: u64, group: u16, ago: u64) -> Vec<u8> {
    let ago = (ago as u32).to_le_bytes();
    record(11, &[&instance_id.to_le_bytes(), &object.to_le_bytes(), &group.to_le_bytes(), &ago])
}

/// An action of an instance.
pub enum Action {
    SendCacheOnly {
        request_id: u64,
        timeout: u32,
        server: Address,
    },
    SendWithFill {
        request_id: u64,
        timeout: u32,
        server: Address,
        source: Address,
        only_if_cached: bool,
        retention_rank: u8,
    },
    Cancel {
        request_id: u64,
        attempt: u16,
    },
    Reject {
        request_id: u64,
        retry_after: u32,
    },
    Fail {
        request_id: u64,
    },
    SetTimer {
        wait: u32,
        cookie: u32,
    },
    WatchEndpoints,
}

/// Decodes the actions of a reply, each with the number of its instance.
pub fn actions(reply: &[u8]) -> Vec<(u32, Action)> {
    let mut records = Fields(reply);
    let mut actions = Vec::new();
    while !records.0.is_empty() {
        let code = records.array::<1>()[0];
        let size = records.u32() as usize;
        let (body, tail) = records.0.split_at(size);
        records.0 = tail;
        let mut fields = Fields(body);
        let instance_id = fields.u32();
        actions.push((instance_id, decode_action(code, &mut fields)));
    }
    actions
}

fn decode_action(code: u8, fields: &mut Fields) -> Action {
    match code {
        1 => Action::Cancel { request_id: fields.u64(), attempt: u16::from_le_bytes(fields.array()) },
        5 => Action::Fail { request_id: fields.u64() },
        7 => {
            let (request_id, server, _age, source) =
                (fields.u64(), fields.array(), fields.u32(), fields.array());
            let only_if_cached = fields.array::<1>()[0] & 2 != 0;
            let (timeout, retention_rank) = (fields.u32(), fields.array::<1>()[0]);
            Action::SendWithFill { request_id, timeout, server, source, only_if_cached, retention_rank }
        }
        8 => Action::SetTimer { wait: fields.u32(), cookie: fields.u32() },
        9 => Action::Reject { request_id: fields.u64(), retry_after: fields.u32() },
        11 => Action::WatchEndpoints,
        12 => {
            Action::SendCacheOnly { request_id: fields.u64(), timeout: fields.u32(), server: fields.array() }
        }
        other => panic!("unknown action code {other}"),
    }
}

/// The bytes of a reply that are not yet read.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn array<const N: usize>(&mut self) -> [u8; N] {
        let (head, tail) = self.0.split_first_chunk().expect("reply is not cut short");
        self.0 = tail;
        *head
    }

    fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.array())
    }

    fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.array())
    }
}
