//! A small proxy's side of the gRPC front: HTTP/2 frames (RFC 9113), literal headers (RFC 7541), and the few messages of
//! the published external processing service that the cases need.

use crate::lib::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;
pub const CANCEL: [u8; 4] = [0, 0, 0, 8];

pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend([kind, flags]);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// The headers of a call of the service, as literals (RFC 7541, 6.2.2).
pub fn headers(stream: u32) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/envoy.service.ext_proc.v3.ExternalProcessor/Process"),
        (":authority", "router"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ] {
        block.push(0);
        for text in [name, value] {
            block.push(text.len() as u8);
            block.extend(text.as_bytes());
        }
    }
    frame(HEADERS, END_HEADERS, stream, &block)
}

/// A field of a protocol buffer with bytes.
fn field(tag: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![tag << 3 | 2];
    let mut length = bytes.len();
    while length > 127 {
        out.push(length as u8 & 127 | 128);
        length >>= 7;
    }
    out.push(length as u8);
    out.extend(bytes);
    out
}

/// A message with request headers (2) or response headers (3), in its gRPC frame.
pub fn message(phase: u8, fields: &[(&str, String)]) -> Vec<u8> {
    let list: Vec<u8> = fields
        .iter()
        .flat_map(|(name, value)| field(1, &[field(1, name.as_bytes()), field(3, value.as_bytes())].concat()))
        .collect();
    let message = field(phase, &field(1, &list));
    [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat()
}

/// What the proxy has read: the bytes of messages by stream, and how the connection ended.
#[derive(Default)]
pub struct Seen {
    pub messages: BTreeMap<u32, Vec<Vec<u8>>>,
    pub ended: Option<String>,
}

/// The proxy's connection.
#[derive(Clone)]
pub struct Connection {
    stream: Arc<Mutex<TcpStream>>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Connection {
    pub fn open(record: &Record, front: SocketAddr) -> Self {
        let stream = TcpStream::connect(front).unwrap_or_else(|error| cannot_run(error));
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().unwrap_or_else(|error| cannot_run(error));
        let connection = Self { stream: Arc::new(Mutex::new(stream)), seen: Arc::default() };
        connection.send(&[&b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"[..], &frame(SETTINGS, 0, 0, b"")].concat());
        let (reading, record) = (connection.clone(), record.clone());
        thread::spawn(move || {
            let error = reading.read(&record, reader).unwrap_err();
            record.line(format!("proxy: its connection to the router ended: {error}"));
            reading.seen.lock().unwrap().ended = Some(error.to_string());
        });
        connection
    }

    pub fn send(&self, bytes: &[u8]) {
        let _ = self.stream.lock().unwrap().write_all(bytes);
    }

    fn read(&self, record: &Record, mut reader: TcpStream) -> std::io::Result<std::convert::Infallible> {
        loop {
            let mut head = [0; 9];
            reader.read_exact(&mut head)?;
            let mut payload = vec![0; u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize];
            reader.read_exact(&mut payload)?;
            let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
            match (head[3], head[4] & ACK) {
                (DATA, _) if !payload.is_empty() => {
                    self.seen.lock().unwrap().messages.entry(stream).or_default().push(payload);
                }
                (SETTINGS, 0) => self.send(&frame(SETTINGS, ACK, 0, b"")),
                (PING, 0) => self.send(&frame(PING, ACK, 0, &payload)),
                (GOAWAY, _) => record.line(format!("proxy: the router sends GOAWAY, last stream and code {payload:?}")),
                _ => {}
            }
        }
    }

    /// Waits until the stream has had `count` messages, and returns the last.
    pub fn wait(&self, stream: u32, count: usize, until: Instant) -> Option<Vec<u8>> {
        while Instant::now() < until {
            let seen = self.seen.lock().unwrap();
            if let Some(messages) = seen.messages.get(&stream).filter(|messages| messages.len() >= count) {
                return messages.last().cloned();
            }
            drop(seen);
            sleep_ms(2);
        }
        None
    }
}

/// The value of a header that a message sets.
pub fn header(message: &[u8], name: &str) -> Option<String> {
    let at = message.windows(name.len()).position(|part| part == name.as_bytes())? + name.len();
    let [0x1a, length, ..] = message[at..] else { return None };
    String::from_utf8(message[at + 2..at + 2 + usize::from(length)].to_vec()).ok()
}
