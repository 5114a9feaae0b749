//! The messages between clients and routers: Thrift, framed transport, strict binary protocol.
//!
//! Nothing here does I/O. What is read are slices of the frame; every length is checked against what is
//! there before anything is made of it.

use bytes::{Buf, Bytes, BytesMut};

const VERSION: u32 = 0x8001_0000;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// How deep structs and collections may nest in what is skipped.
const DEEPEST: u32 = 16;

/// How many fields a call may have; far more than there are.
const MOST_FIELDS: usize = 64;

/// One message of a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    Call { seq: i32, fields: Fields, body: Bytes },
    Cancel { seq: i32 },
    Health { seq: i32 },
}

/// Why a frame is no message.
#[derive(Debug, PartialEq)]
pub enum Fault {
    /// Not even its head can be read: nothing can be answered.
    Unreadable(&'static str),
    /// It names a method that there is not.
    UnknownMethod { seq: i32 },
    /// The arguments can't be read, but the call can be answered.
    BadArguments { seq: i32, what: &'static str },
}

/// The string map of a call, as slices of its frame.
#[derive(Debug, Default, PartialEq)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|field| field.0 == name.as_bytes()).map(|field| &field.1)
    }
}

/// Takes the next whole frame from the front of what has been read, if it is all there.
pub fn take_frame(read: &mut BytesMut, longest: usize) -> Result<Option<Bytes>, Fault> {
    let Some(head) = read.first_chunk::<4>() else { return Ok(None) };
    let size = i32::from_be_bytes(*head);
    let size = usize::try_from(size).map_err(|_| Fault::Unreadable("a frame of negative length"))?;
    if size > longest {
        return Err(Fault::Unreadable("a frame over the limit"));
    }
    if read.len() < 4 + size {
        return Ok(None);
    }
    read.advance(4);
    Ok(Some(read.split_to(size).freeze()))
}

/// Reads the message in one frame.
pub fn parse(frame: Bytes) -> Result<Message, Fault> {
    let mut rest = Reader(frame);
    let head = rest.u32().map_err(Fault::Unreadable)?;
    if head & 0xffff_0000 != VERSION {
        return Err(Fault::Unreadable("not the strict binary protocol"));
    }
    let name = rest.string().map_err(Fault::Unreadable)?;
    let seq = rest.u32().map_err(Fault::Unreadable)? as i32;
    let bad = |what| Fault::BadArguments { seq, what };
    match (&name[..], head as u8) {
        (b"call", CALL) => {
            let (fields, body) = rest.call().map_err(bad)?;
            // A length that is wrong may leave a part of the message behind its end.
            if !rest.0.is_empty() {
                return Err(bad("bytes behind the call"));
            }
            Ok(Message::Call { seq, fields, body })
        }
        // Owes no answer, so what can't be read is as good as unknown.
        (b"cancel", ONEWAY) => {
            let unreadable = Fault::Unreadable("a cancel that names no call");
            let named = rest.cancel().ok().flatten().ok_or(unreadable)?;
            Ok(Message::Cancel { seq: named })
        }
        (b"health", CALL) => rest.skip(STRUCT, 0).map(|()| Message::Health { seq }).map_err(bad),
        (_, CALL) => Err(Fault::UnknownMethod { seq }),
        _ => Err(Fault::Unreadable("neither a call nor one-way")),
    }
}

struct Reader(Bytes);

type Read<T> = Result<T, &'static str>;

impl Reader {
    fn bytes(&mut self, size: usize) -> Read<Bytes> {
        if size > self.0.len() {
            return Err("cut short");
        }
        Ok(self.0.split_to(size))
    }

    fn u8(&mut self) -> Read<u8> {
        self.bytes(1).map(|bytes| bytes[0])
    }

    fn u32(&mut self) -> Read<u32> {
        self.bytes(4).map(|mut bytes| bytes.get_u32())
    }

    fn size(&mut self) -> Read<usize> {
        usize::try_from(self.u32()? as i32).map_err(|_| "a negative length")
    }

    fn string(&mut self) -> Read<Bytes> {
        let size = self.size()?;
        self.bytes(size)
    }

    /// The next field's type and number; none at the end of the struct.
    fn field(&mut self) -> Read<Option<(u8, i16)>> {
        match self.u8()? {
            STOP => Ok(None),
            kind => Ok(Some((kind, self.bytes(2)?.get_i16()))),
        }
    }

    fn call(&mut self) -> Read<(Fields, Bytes)> {
        let (mut fields, mut body) = (None, None);
        while let Some(field) = self.field()? {
            match field {
                (MAP, 1) if fields.is_none() => fields = Some(self.fields()?),
                (STRING, 2) if body.is_none() => body = Some(self.string()?),
                (_, 1 | 2) => return Err("an argument twice, or of another type"),
                (kind, _) => self.skip(kind, 0)?,
            }
        }
        Ok((fields.unwrap_or_default(), body.unwrap_or_default()))
    }

    fn fields(&mut self) -> Read<Fields> {
        let (key, value, count) = (self.u8()?, self.u8()?, self.size()?);
        if count > 0 && (key, value) != (STRING, STRING) {
            return Err("fields are not a map of strings");
        }
        // Grown by what is there, never by the count that is claimed.
        let mut fields: Vec<(Bytes, Bytes)> = Vec::new();
        for _ in 0..count {
            let field = (self.string()?, self.string()?);
            // Each name once: which one of two is meant can't be told.
            if fields.len() == MOST_FIELDS || fields.iter().any(|known| known.0 == field.0) {
                return Err("too many fields, or one twice");
            }
            fields.push(field);
        }
        Ok(Fields(fields))
    }

    fn cancel(&mut self) -> Read<Option<i32>> {
        let mut seq = None;
        while let Some(field) = self.field()? {
            match field {
                (I32, 1) => seq = Some(self.u32()? as i32),
                (kind, _) => self.skip(kind, 0)?,
            }
        }
        Ok(seq)
    }

    fn skip(&mut self, kind: u8, depth: u32) -> Read<()> {
        if depth > DEEPEST {
            return Err("nested too deep");
        }
        match kind {
            BOOL | 3 => self.bytes(1).map(drop),
            6 => self.bytes(2).map(drop),
            I32 => self.bytes(4).map(drop),
            4 | 10 => self.bytes(8).map(drop),
            STRING => self.string().map(drop),
            STRUCT => {
                while let Some((kind, _)) = self.field()? {
                    self.skip(kind, depth + 1)?;
                }
                Ok(())
            }
            MAP => {
                let (key, value, count) = (self.u8()?, self.u8()?, self.size()?);
                (0..count).try_for_each(|_| {
                    self.skip(key, depth + 1)?;
                    self.skip(value, depth + 1)
                })
            }
            14 | 15 => {
                let (item, count) = (self.u8()?, self.size()?);
                (0..count).try_for_each(|_| self.skip(item, depth + 1))
            }
            _ => Err("an unknown type"),
        }
    }
}

/// An answer as it goes onto the connection: the body is not copied between what stands round it.
#[derive(Debug)]
pub struct Reply {
    pub head: Bytes,
    pub body: Bytes,
    pub tail: Bytes,
}

impl Reply {
    fn whole(mut bytes: Vec<u8>) -> Self {
        let size = (bytes.len() - 4) as u32;
        bytes[..4].copy_from_slice(&size.to_be_bytes());
        Self { head: bytes.into(), body: Bytes::new(), tail: Bytes::new() }
    }

    pub fn size(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }
}

fn open(kind: u8, method: &str, seq: i32) -> Vec<u8> {
    let mut out = Vec::with_capacity(96);
    out.extend([0; 4]);
    out.extend((VERSION | u32::from(kind)).to_be_bytes());
    string(&mut out, method.as_bytes());
    out.extend(seq.to_be_bytes());
    out
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn field(out: &mut Vec<u8>, kind: u8, number: i16) {
    out.push(kind);
    out.extend(number.to_be_bytes());
}

fn map(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    out.extend([STRING, STRING]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        string(out, name.as_bytes());
        string(out, value.as_bytes());
    }
}

/// An `Answer` in reply to `method`.
pub fn answer(method: &str, seq: i32, body: Bytes, fields: &[(&str, &str)], good: bool) -> Reply {
    let mut head = open(REPLY, method, seq);
    field(&mut head, STRUCT, 0);
    field(&mut head, STRING, 1);
    head.extend((body.len() as u32).to_be_bytes());
    let mut tail = Vec::with_capacity(32);
    field(&mut tail, MAP, 2);
    map(&mut tail, fields);
    field(&mut tail, BOOL, 3);
    tail.extend([u8::from(good), STOP, STOP]);
    let size = (head.len() - 4 + body.len() + tail.len()) as u32;
    head[..4].copy_from_slice(&size.to_be_bytes());
    Reply { head: head.into(), body, tail: tail.into() }
}

fn exception(seq: i32, number: i16, fields: &[(&str, &str)]) -> Reply {
    let mut out = open(REPLY, "call", seq);
    field(&mut out, STRUCT, number);
    field(&mut out, MAP, 1);
    map(&mut out, fields);
    out.extend([STOP, STOP]);
    Reply::whole(out)
}

/// `Trylater`: trying again is harmless.
pub fn try_later(seq: i32, fields: &[(&str, &str)]) -> Reply {
    exception(seq, 1, fields)
}

/// `Aborted`: no promise about its effect.
pub fn aborted(seq: i32, fields: &[(&str, &str)]) -> Reply {
    exception(seq, 2, fields)
}

/// What an application exception tells.
#[derive(Clone, Copy, Debug)]
pub enum Objection {
    UnknownMethod = 1,
    BadSequence = 4,
    ProtocolError = 7,
}

pub fn application_exception(seq: i32, objection: Objection, text: &str) -> Reply {
    let mut out = open(EXCEPTION, "call", seq);
    field(&mut out, STRING, 1);
    string(&mut out, text.as_bytes());
    field(&mut out, I32, 2);
    out.extend((objection as i32).to_be_bytes());
    out.push(STOP);
    Reply::whole(out)
}
