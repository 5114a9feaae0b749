//! Batches, event records and actions as bytes.

pub type Address = [u8; 6];

/// An event record: its code, the length of its fields, its fields.
pub fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_le_bytes(), &body].concat()
}

/// A batch of records.
pub fn batch(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let (size, count) = (body.len() as u32 + 4, records.len() as u32);
    [&clock.to_le_bytes()[..], &size.to_le_bytes(), &count.to_le_bytes(), &body].concat()
}

pub fn spawn(instance_id: u32, seed: u64, settings: &str) -> Vec<u8> {
    let size = settings.len() as u32;
    record(1, &[&instance_id.to_le_bytes(), &seed.to_le_bytes(), &size.to_le_bytes(), settings.as_bytes()])
}

/// One entry of a list of servers.
#[derive(Clone, Copy, PartialEq)]
pub struct Entry {
    pub state: u8,
    pub address: Address,
    pub started: u64,
    pub zone: u8,
    pub size: f32,
    pub kind: u8,
    pub cell: u16,
}

pub const GONE: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;

pub const WHOLE: u8 = 0;
pub const CACHED: u8 = 1;
pub const FAILED: u8 = 3;
pub const CHANGES: u8 = 4;

pub fn directory_update(instance_id: u32, form: u8, version: u64, entries: &[Entry]) -> Vec<u8> {
    let encode = |entry: &Entry| {
        let (started, size) = (entry.started.to_le_bytes(), entry.size.to_le_bytes());
        let cell = entry.cell.to_le_bytes();
        [&[entry.state][..], &entry.address, &started, &[entry.zone], &size, &[entry.kind], &cell].concat()
    };
    let encoded_entries: Vec<u8> = entries.iter().flat_map(encode).collect();
    let count = (entries.len() as u32).to_le_bytes();
    record(2, &[&instance_id.to_le_bytes(), &[form], &version.to_le_bytes(), &count, &encoded_entries])
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub struct RequestMeta {
    pub object: u64,
    pub part: u32,
    pub group: u16,
    pub class: u16,
    pub size_kb: f32,
    pub flags: u16,
}

pub fn ingress(instance_id: u32, request_id: u64, meta: &RequestMeta, time_remaining: u64) -> Vec<u8> {
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

pub fn streaming(instance_id: u32, request_id: u64, attempt: u16, server: Address, took: u64) -> Vec<u8> {
    let took = (took as u32).to_le_bytes();
    record(
        4,
        &[&instance_id.to_le_bytes(), &request_id.to_le_bytes(), &attempt.to_le_bytes(), &server, &took],
    )
}

/// The end of an attempt.
pub struct Outcome {
    pub attempt: u16,
    pub server: Address,
    pub status: u8,
    pub detail: u32,
    pub last: bool,
    pub took: u64,
    pub first_byte: u64,
}

pub fn done(instance_id: u32, request_id: u64, outcome: &Outcome) -> Vec<u8> {
    record(
        5,
        &[
            &instance_id.to_le_bytes(),
            &request_id.to_le_bytes(),
            &outcome.detail.to_le_bytes(),
            &[u8::from(outcome.last)],
            &(outcome.took as u32).to_le_bytes(),
            &(outcome.first_byte as u32).to_le_bytes(),
            &outcome.server,
            &[outcome.status],
            &outcome.attempt.to_le_bytes(),
            &[0],
        ],
    )
}

pub fn aborted(instance_id: u32, request_id: u64) -> Vec<u8> {
    record(6, &[&instance_id.to_le_bytes(), &request_id.to_le_bytes()])
}

pub fn elapsed(instance_id: u32, cookie: u32) -> Vec<u8> {
    record(7, &[&instance_id.to_le_bytes(), &cookie.to_le_bytes()])
}

/// The answer to a health check, with a load report of two values.
pub fn checked(instance_id: u32, server: Address, status: u8, took: u32) -> Vec<u8> {
    record(8, &[&instance_id.to_le_bytes(), &server, &[status], &took.to_le_bytes(), &[2], &[0; 8]])
}

pub fn from_peer(instance_id: u32, author: u16, contents: &[u8]) -> Vec<u8> {
    let size = (contents.len() as u16).to_le_bytes();
    record(9, &[&instance_id.to_le_bytes(), &author.to_le_bytes(), &size, contents])
}

pub fn destroy(instance_id: u32) -> Vec<u8> {
    record(10, &[&instance_id.to_le_bytes()])
}

/// A purge of an object or, where that is 0, of a group.
pub fn struck_out(instance_id: u32, object: u64, group: u16, ago: u64) -> Vec<u8> {
    let ago = (ago as u32).to_le_bytes();
    record(11, &[&instance_id.to_le_bytes(), &object.to_le_bytes(), &group.to_le_bytes(), &ago])
}

/// What an instance did.
pub enum Action {
    SendCacheOnly {
        request_id: u64,
        wait: u32,
        server: Address,
    },
    SendWithFill {
        request_id: u64,
        wait: u32,
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
    Watch,
}

/// The actions of a reply, each with its instance.
pub fn actions(reply: &[u8]) -> Vec<(u32, Action)> {
    let mut rest = Fields(reply);
    let mut actions = Vec::new();
    while !rest.0.is_empty() {
        let code = rest.array::<1>()[0];
        let size = rest.u32() as usize;
        let (body, tail) = rest.0.split_at(size);
        rest.0 = tail;
        let mut fields = Fields(body);
        let instance_id = fields.u32();
        actions.push((instance_id, action(code, &mut fields)));
    }
    actions
}

fn action(code: u8, fields: &mut Fields) -> Action {
    match code {
        1 => Action::Cancel { request_id: fields.u64(), attempt: u16::from_le_bytes(fields.array()) },
        5 => Action::Fail { request_id: fields.u64() },
        7 => {
            let (request_id, server, _age, source) =
                (fields.u64(), fields.array(), fields.u32(), fields.array());
            let only_if_cached = fields.array::<1>()[0] & 2 != 0;
            let (wait, retention_rank) = (fields.u32(), fields.array::<1>()[0]);
            Action::SendWithFill { request_id, wait, server, source, only_if_cached, retention_rank }
        }
        8 => Action::SetTimer { wait: fields.u32(), cookie: fields.u32() },
        9 => Action::Reject { request_id: fields.u64(), retry_after: fields.u32() },
        11 => Action::Watch,
        12 => Action::SendCacheOnly { request_id: fields.u64(), wait: fields.u32(), server: fields.array() },
        other => panic!("unknown action code {other}"),
    }
}

struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn array<const N: usize>(&mut self) -> [u8; N] {
        let (head, tail) = self.0.split_first_chunk().expect("action is whole");
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
