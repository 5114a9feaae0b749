//! A client of the router's wire protocol, and the frames that it sends.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};

use socket2::{Domain, Socket, Type};

use super::watched::WAIT_TIMEOUT;
use super::{Reply, Router};

/// Message kind of a call in the wire protocol.
const KIND_CALL: u8 = 1;

/// Message kind of a message that has no reply in the wire protocol.
const KIND_ONEWAY: u8 = 4;

/// Receive buffer size of a client that reads few bytes at a time.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;

/// A placeholder for a field value; [`call`] replaces it by an id that no other call has.
pub const FRESH: &str = "fresh";

/// The object that most tests request.
pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// Appends a text preceded by its length.
fn append_text(message: &mut Vec<u8>, text: &[u8]) {
    message.extend((text.len() as u32).to_be_bytes());
    message.extend(text);
}

/// Returns the frame of a message with these encoded arguments.
pub fn frame(kind: u8, method: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, kind];
    append_text(&mut message, method.as_bytes());
    message.extend(seq.to_be_bytes());
    message.extend(arguments);
    [&(message.len() as u32).to_be_bytes()[..], &message].concat()
}

/// Returns the frame of a call with these fields; [`FRESH`] values are replaced by a unique id.
pub fn call(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let fresh = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        append_text(&mut arguments, name.as_bytes());
        append_text(&mut arguments, if *value == FRESH { &fresh } else { *value }.as_bytes());
    }
    arguments.extend([11, 0, 2]);
    append_text(&mut arguments, body);
    arguments.push(0);
    frame(KIND_CALL, "call", seq, &arguments)
}

/// Returns the frame of a message that cancels a call.
pub fn cancel(seq: i32) -> Vec<u8> {
    let mut arguments = vec![8, 0, 1];
    arguments.extend(seq.to_be_bytes());
    arguments.push(0);
    frame(KIND_ONEWAY, "cancel", 0, &arguments)
}

/// Returns the fields of a plain request of an object. The request's deadline is `time_remaining_ms`
/// milliseconds away.
pub fn page<'a>(object: &'a str, time_remaining_ms: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("route", "pages"),
        ("trace", FRESH),
        ("patience", time_remaining_ms),
        ("entity", object),
        ("chunk", "3"),
        ("tag", "17"),
    ]
}

/// A client's connection.
pub struct Client(pub TcpStream);

impl Client {
    /// Connects to the router.
    pub fn connect(router: &Router) -> Self {
        Self::with_timeout(TcpStream::connect(router.address).unwrap())
    }

    /// Connects with a receive buffer so small that the rest of a long reply stays in the send buffer of the
    /// router's socket.
    pub fn connect_small(router: &Router) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&router.address.into()).unwrap();
        Self::with_timeout(socket.into())
    }

    fn with_timeout(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// Whether the router closes the connection without a reset and without sending more.
    pub fn ends_in_order(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }

    /// Sends these bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Requests an object, with a deadline that is not reached during the test.
    pub fn request(&mut self, seq: i32, object: &str) {
        self.send(&call(seq, &page(object, "600000"), b""));
    }

    /// Cancels a call.
    pub fn cancel(&mut self, seq: i32) {
        self.send(&cancel(seq));
    }

    /// Sends a health check and returns its result.
    pub fn healthy(&mut self, seq: i32) -> bool {
        self.send(&frame(KIND_CALL, "health", seq, &[2, 0, 1, 1, 0]));
        match self.reply() {
            (number, Reply::Served { healthy, .. }) if number == seq => healthy,
            other => panic!("expected the reply to the health check, got {other:?}"),
        }
    }

    /// Returns the next reply with its sequence number; panics if the connection ends.
    pub fn reply(&mut self) -> (i32, Reply) {
        self.reply_or_end().expect("expected a reply, but the connection ended")
    }

    /// Returns the next reply with its sequence number. `None` if the connection ends.
    pub fn reply_or_end(&mut self) -> Option<(i32, Reply)> {
        let mut size = [0; 4];
        self.0.read_exact(&mut size).ok()?;
        let mut message = vec![0; u32::from_be_bytes(size) as usize];
        self.0.read_exact(&mut message).ok()?;
        Some(Reply::decode(&message))
    }
}
