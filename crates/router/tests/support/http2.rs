//! A client of the gRPC front that sends and receives single HTTP/2 frames.

#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use tindoor_testbed::peer::{self, PROCESS};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const ACK: u8 = 1;
const HEADER_BYTES: usize = 9;

/// The last stream id of a GOAWAY frame that only announces a close.
pub const ANNOUNCED: u32 = (1 << 31) - 1;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A message came on the call's stream: a decision or the reply to a report.
    Answered,
    /// The stream ended with a status, or was reset.
    Ended,
    /// A GOAWAY frame says that the call was not run.
    NotRun,
    /// The connection was closed or reset.
    Closed,
    /// Nothing came in time, and the connection is open.
    Nothing,
}

/// One HTTP/2 frame.
pub struct Frame {
    pub kind: u8,
    flags: u8,
    pub stream: u32,
    payload: Vec<u8>,
}

impl Frame {
    /// Returns the last stream id, if this is a GOAWAY frame.
    pub fn last_stream(&self) -> Option<u32> {
        let id = self.payload.first_chunk().map(|bytes| u32::from_be_bytes(*bytes));
        id.filter(|_| self.kind == GOAWAY)
    }
}

/// The result of reading.
pub enum Received {
    Frame(Frame),
    Closed,
    Nothing,
}

/// A connection with the gRPC front.
pub struct Http2Client {
    pub socket: TcpStream,
    /// Whether PING frames are answered.
    pub answers_pings: bool,
    unread: Vec<u8>,
    next_stream: u32,
}

impl Http2Client {
    /// Connects and sends the client's preface.
    pub fn connect(front: SocketAddr) -> Self {
        let socket = TcpStream::connect(front).unwrap();
        socket.set_nodelay(true).unwrap();
        let mut client = Self { socket, answers_pings: true, unread: Vec::new(), next_stream: 1 };
        client.send(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        client.send(&frame(SETTINGS, 0, 0, &[]));
        client
    }

    /// Sends bytes; the connection may have been closed.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.socket.write_all(bytes);
    }

    /// Opens a stream with a call for a decision, and returns its id.
    pub fn call(&mut self, correlation_id: u64) -> u32 {
        let stream = self.open_stream();
        self.send(&frame(DATA, 0, stream, &peer::request_headers(correlation_id, &[])));
        stream
    }

    /// Opens a stream without a message, and returns its id.
    pub fn open_stream(&mut self) -> u32 {
        let stream = self.next_stream;
        self.next_stream += 2;
        let bytes = frame(HEADERS, END_HEADERS, stream, &header_block());
        self.send(&bytes);
        stream
    }

    /// Reports that the request of a call was served; the stream stays open.
    pub fn report(&mut self, stream: u32) {
        self.send(&frame(DATA, 0, stream, &peer::response_headers("200")));
    }

    /// Ends this side of a stream.
    pub fn end_stream(&mut self, stream: u32) {
        self.send(&frame(DATA, END_STREAM, stream, &[]));
    }

    /// Waits until something comes on a stream, or until it is known that nothing will.
    pub fn wait_for(&mut self, stream: u32, limit: Duration) -> CallEnd {
        let deadline = Instant::now() + limit;
        loop {
            let frame = match self.receive(deadline.saturating_duration_since(Instant::now())) {
                Received::Frame(frame) => frame,
                Received::Closed => return CallEnd::Closed,
                Received::Nothing => return CallEnd::Nothing,
            };
            match frame.kind {
                DATA if frame.stream == stream && !frame.payload.is_empty() => return CallEnd::Answered,
                HEADERS | DATA if frame.stream == stream && frame.flags & END_STREAM != 0 => {
                    return CallEnd::Ended;
                }
                RST_STREAM if frame.stream == stream => return CallEnd::Ended,
                GOAWAY if frame.last_stream() < Some(stream) => return CallEnd::NotRun,
                _ => {}
            }
        }
    }

    /// Waits for the next GOAWAY frame, and returns its last stream id. `None` if none comes in time.
    pub fn next_goaway(&mut self, limit: Duration) -> Option<u32> {
        let deadline = Instant::now() + limit;
        loop {
            let Received::Frame(frame) = self.receive(deadline.saturating_duration_since(Instant::now()))
            else {
                return None;
            };
            if let Some(last_stream) = frame.last_stream() {
                return Some(last_stream);
            }
        }
    }

    /// Returns whether the router closes its side without a reset.
    pub fn ends_in_order(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut bytes = [0; 4096];
        while let Some(left) = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
        {
            self.socket.set_read_timeout(Some(left)).unwrap();
            match self.socket.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == ErrorKind::Interrupted,
            }
        }
        false
    }

    /// Receives one frame.
    pub fn receive(&mut self, limit: Duration) -> Received {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(frame) = self.take_frame() {
                self.acknowledge(&frame);
                return Received::Frame(frame);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Received::Nothing;
            }
            self.socket.set_read_timeout(Some(left)).unwrap();
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes) {
                Ok(0) => return Received::Closed,
                Ok(size) => self.unread.extend(&bytes[..size]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Received::Nothing;
                }
                Err(_) => return Received::Closed,
            }
        }
    }

    fn take_frame(&mut self) -> Option<Frame> {
        let header: [u8; HEADER_BYTES] = *self.unread.first_chunk()?;
        let size = HEADER_BYTES + u32::from_be_bytes([0, header[0], header[1], header[2]]) as usize;
        if self.unread.len() < size {
            return None;
        }
        let payload = self.unread.drain(..size).skip(HEADER_BYTES).collect();
        let stream = u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
        Some(Frame { kind: header[3], flags: header[4], stream, payload })
    }

    fn acknowledge(&mut self, received: &Frame) {
        let is_pending = received.flags & ACK == 0;
        if received.kind == SETTINGS && is_pending {
            self.send(&frame(SETTINGS, ACK, 0, &[]));
        }
        if received.kind == PING && is_pending && self.answers_pings {
            self.send(&frame(PING, ACK, 0, &received.payload));
        }
    }
}

/// Returns the bytes of a frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Returns the header block of a call, without compression.
fn header_block() -> Vec<u8> {
    let fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", PROCESS),
        (":authority", "router"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    let mut block = Vec::new();
    for (name, value) in fields {
        block.extend([0, name.len() as u8]);
        block.extend(name.as_bytes());
        block.push(value.len() as u8);
        block.extend(value.as_bytes());
    }
    block
}
