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

pub fn spawn(who: u32, seed: u64, settings: &str) -> Vec<u8> {
    let size = settings.len() as u32;
    record(1, &[&who.to_le_bytes(), &seed.to_le_bytes(), &size.to_le_bytes(), settings.as_bytes()])
}

/// One line of a list of servers.
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

pub fn directory_update(who: u32, form: u8, version: u64, entries: &[Entry]) -> Vec<u8> {
    let line = |entry: &Entry| {
        let (started, size) = (entry.started.to_le_bytes(), entry.size.to_le_bytes());
        let cell = entry.cell.to_le_bytes();
        [&[entry.state][..], &entry.address, &started, &[entry.zone], &size, &[entry.kind], &cell].concat()
    };
    let lines: Vec<u8> = entries.iter().flat_map(line).collect();
    let count = (entries.len() as u32).to_le_bytes();
    record(2, &[&who.to_le_bytes(), &[form], &version.to_le_bytes(), &count, &lines])
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub struct RequestMeta {
    pub object: u64,
    pub part: u32,
    pub group: u16,
    pub class: u16,
    pub size_kb: f32,
    pub idempotency_keys: u16,
}

pub fn ingress(who: u32, ticket: u64, asked: &RequestMeta, time_left: u64) -> Vec<u8> {
    let group = f32::from(asked.group).to_le_bytes();
    record(
        3,
        &[
            &who.to_le_bytes(),
            &ticket.to_le_bytes(),
            &(asked.part as f32).to_le_bytes(),
            &(time_left as u32).to_le_bytes(),
            &asked.class.to_le_bytes(),
            &group,
            &[0; 2],
            &asked.idempotency_keys.to_le_bytes(),
            &asked.object.to_le_bytes(),
            &asked.size_kb.to_le_bytes(),
        ],
    )
}

pub fn streaming(who: u32, ticket: u64, attempt: u16, server: Address, took: u64) -> Vec<u8> {
    let took = (took as u32).to_le_bytes();
    record(4, &[&who.to_le_bytes(), &ticket.to_le_bytes(), &attempt.to_le_bytes(), &server, &took])
}

/// The end of an attempt.
pub struct Outcome {
    pub attempt: u16,
    pub server: Address,
    pub verdict: u8,
    pub note: u32,
    pub last: bool,
    pub took: u64,
    pub first_byte: u64,
}

pub fn done(who: u32, ticket: u64, outcome: &Outcome) -> Vec<u8> {
    record(
        5,
        &[
            &who.to_le_bytes(),
            &ticket.to_le_bytes(),
            &outcome.note.to_le_bytes(),
            &[u8::from(outcome.last)],
            &(outcome.took as u32).to_le_bytes(),
            &(outcome.first_byte as u32).to_le_bytes(),
            &outcome.server,
            &[outcome.verdict],
            &outcome.attempt.to_le_bytes(),
            &[0],
        ],
    )
}

pub fn aborted(who: u32, ticket: u64) -> Vec<u8> {
    record(6, &[&who.to_le_bytes(), &ticket.to_le_bytes()])
}

pub fn elapsed(who: u32, cookie: u32) -> Vec<u8> {
    record(7, &[&who.to_le_bytes(), &cookie.to_le_bytes()])
}

/// The answer to a health check, with a load report of two values.
pub fn checked(who: u32, server: Address, verdict: u8, took: u32) -> Vec<u8> {
    record(8, &[&who.to_le_bytes(), &server, &[verdict], &took.to_le_bytes(), &[2], &[0; 8]])
}

pub fn from_peer(who: u32, author: u16, contents: &[u8]) -> Vec<u8> {
    let size = (contents.len() as u16).to_le_bytes();
    record(9, &[&who.to_le_bytes(), &author.to_le_bytes(), &size, contents])
}

pub fn destroy(who: u32) -> Vec<u8> {
    record(10, &[&who.to_le_bytes()])
}

/// A purge of an object or, where that is 0, of a group.
pub fn struck_out(who: u32, object: u64, group: u16, ago: u64) -> Vec<u8> {
    let ago = (ago as u32).to_le_bytes();
    record(11, &[&who.to_le_bytes(), &object.to_le_bytes(), &group.to_le_bytes(), &ago])
}

/// What an instance did.
pub enum Action {
    Look {
        ticket: u64,
        wait: u32,
        server: Address,
    },
    Read {
        ticket: u64,
        wait: u32,
        server: Address,
        source: Address,
        only_if_cached: bool,
        retention_rank: u8,
    },
    Cancel {
        ticket: u64,
        attempt: u16,
    },
    Reject {
        ticket: u64,
        retry_after: u32,
    },
    Fail {
        ticket: u64,
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
        let who = fields.u32();
        actions.push((who, action(code, &mut fields)));
    }
    actions
}

fn action(code: u8, fields: &mut Fields) -> Action {
    match code {
        1 => Action::Cancel { ticket: fields.u64(), attempt: u16::from_le_bytes(fields.array()) },
        5 => Action::Fail { ticket: fields.u64() },
        7 => {
            let (ticket, server, _age, source) = (fields.u64(), fields.array(), fields.u32(), fields.array());
            let only_if_cached = fields.array::<1>()[0] & 2 != 0;
            let (wait, retention_rank) = (fields.u32(), fields.array::<1>()[0]);
            Action::Read { ticket, wait, server, source, only_if_cached, retention_rank }
        }
        8 => Action::SetTimer { wait: fields.u32(), cookie: fields.u32() },
        9 => Action::Reject { ticket: fields.u64(), retry_after: fields.u32() },
        11 => Action::Watch,
        12 => Action::Look { ticket: fields.u64(), wait: fields.u32(), server: fields.array() },
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
