//! The lines of the change stream: changes of the list of caches, purges, and a beat each second.
//! Nothing here does I/O.

use serde::Deserialize;

/// One line.
#[derive(Debug)]
pub enum Line {
    /// The last number alone: all is told up to there.
    Beat(u64),
    Event(Event),
}

#[derive(Debug, Deserialize)]
pub struct Event {
    pub seq: u64,
    pub fleet: Option<Fleet>,
    pub invalidate: Option<Purge>,
}

#[derive(Debug, Deserialize)]
pub struct Fleet {
    /// The whole list: what it does not name is gone.
    #[serde(default)]
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u16,
    pub phase: Phase,
    #[serde(default)]
    pub size: f32,
    #[serde(default)]
    pub up_since_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Active,
    Leaving,
    Left,
    #[serde(other)]
    Unknown,
}

/// A purge of an object, as 16 hex digits, or of a group.
#[derive(Debug, Deserialize)]
pub struct Purge {
    pub object: Option<String>,
    pub bucket: Option<u32>,
    /// The Unix millisecond of the purge.
    pub time: u64,
}

impl Purge {
    /// The object's number; an error where it is no 16 hex digits.
    pub fn object_number(&self) -> Result<Option<u64>, String> {
        self.object.as_deref().map(|text| object_number(text.as_bytes()).ok_or(text.to_string())).transpose()
    }
}

/// An object's number from its 16 hex digits.
pub fn object_number(text: &[u8]) -> Option<u64> {
    let plain = text.len() == 16 && text.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok().filter(|_| plain)
}

/// Reads one line, without its line feed.
pub fn parse(line: &[u8]) -> Result<Line, serde_json::Error> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.iter().all(u8::is_ascii_digit) {
        return serde_json::from_slice(line).map(Line::Beat);
    }
    serde_json::from_slice(line).map(Line::Event)
}

/// Takes the next whole line from the front of what has been read, without its line feed.
pub fn take_line(read: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = read.iter().position(|byte| *byte == b'\n')?;
    let rest = read.split_off(end + 1);
    let mut line = std::mem::replace(read, rest);
    line.pop();
    Some(line)
}

/// How far the change stream is known.
#[derive(Default)]
pub struct Place {
    /// The last event heeded.
    pub seq: u64,
    /// Lines since then that could not be read: the numbers of as many events may be missing.
    pub unread: u64,
    /// The last event before a line that could not be read: if there is one again, it is no fault of the
    /// connection.
    pub spoilt: Option<u64>,
    /// A gap that stood before this number: if it stands again, it is no fault of the connection.
    pub gap: Option<u64>,
}
