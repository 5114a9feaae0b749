//! Case: calls that a proxy withdraws cost other calls their answer.
//!
//! A proxy with one gRPC connection to the router has some calls out at a cache. With trouble, 200 further clients
//! of it ask and leave at once, so the proxy begins 200 calls and resets them. Then the cache answers, and the
//! proxy reports each answer on its stream, as the page on the front for proxies says.

#[path = "lib.rs"]
mod lib;

use lib::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_CALLS: u32 = 8;
const WITHDRAWN: u32 = 200;
const PATIENCE_MS: u64 = 3000;
const SLACK_MS: u64 = 500;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const CANCEL: [u8; 4] = [0, 0, 0, 8];

fn server(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(error));
    let (address, record) = (listener.local_addr().unwrap(), record.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(request)) = read_message(&mut reader) {
                    record.line(format!("cache: ticket {} came", request.field("x-ticket")));
                    sleep_ms(600);
                    let fields = "X-Version: 4be0c1927d55a6f3\r\nX-Remark: warm\r\n";
                    if stream.write_all(&response(200, fields, b"object")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend([kind, flags]);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// The headers of a call of the service, as literals (RFC 7541, 6.2.2).
fn headers(stream: u32) -> Vec<u8> {
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
fn message(phase: u8, fields: &[(&str, String)]) -> Vec<u8> {
    let list: Vec<u8> = fields
        .iter()
        .flat_map(|(name, value)| field(1, &[field(1, name.as_bytes()), field(3, value.as_bytes())].concat()))
        .collect();
    let message = field(phase, &field(1, &list));
    [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat()
}

fn call_headers(stream: u32) -> Vec<u8> {
    let fields = [
        (":path", format!("/v1/store/lesson-assets/{stream:016x}/0")),
        ("x-ticket", format!("{:016x}", 0x9b1f_0000 + stream)),
        ("x-max-ms", PATIENCE_MS.to_string()),
        ("x-group", "17".to_string()),
        ("x-envoy-attempt-count", "1".to_string()),
    ];
    frame(DATA, 0, stream, &message(2, &fields))
}

/// What the proxy has read: the bytes of messages by stream, and how the connection ended.
#[derive(Default)]
struct Seen {
    messages: BTreeMap<u32, Vec<Vec<u8>>>,
    ended: Option<String>,
}

/// The proxy's connection.
#[derive(Clone)]
struct Connection {
    stream: Arc<Mutex<TcpStream>>,
    seen: Arc<Mutex<Seen>>,
}

impl Connection {
    fn open(record: &Record, front: SocketAddr) -> Self {
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

    fn send(&self, bytes: &[u8]) {
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
    fn wait(&self, stream: u32, count: usize, until: Instant) -> Option<Vec<u8>> {
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
fn header(message: &[u8], name: &str) -> Option<String> {
    let at = message.windows(name.len()).position(|part| part == name.as_bytes())? + name.len();
    let [0x1a, length, ..] = message[at..] else { return None };
    String::from_utf8(message[at + 2..at + 2 + usize::from(length)].to_vec()).ok()
}

/// One usual call: asks, sends the request on, reports. Whether the report got its reply.
fn usual_call(record: &Record, connection: &Connection, stream: u32) -> bool {
    let until = Instant::now() + Duration::from_millis(PATIENCE_MS + SLACK_MS);
    connection.send(&[headers(stream), call_headers(stream)].concat());
    let Some(choice) = connection.wait(stream, 1, until) else {
        record.line(format!("proxy: call {stream} got nothing"));
        return false;
    };
    let Some(address) = header(&choice, "x-tindoor-address") else {
        cannot_run(format!("call {stream} got no choice"));
    };
    record.line(format!("proxy: call {stream} got its choice, {address}"));
    let request = format!(
        "GET /v1/store/lesson-assets/{stream:016x}/0 HTTP/1.1\r\nHost: cache\r\nx-ticket: {:016x}\r\nx-max-ms: 2900\r\n\r\n",
        0x9b1f_0000 + stream
    );
    let answer = exchange(address.parse().unwrap(), &request, Duration::from_millis(2900));
    let status = answer.as_ref().map_or(503, Message::status);
    let report = [(":status", status.to_string()), ("x-version", "4be0c1927d55a6f3".to_string())];
    connection.send(&frame(DATA, 0, stream, &message(3, &report)));
    let replied = connection.wait(stream, 2, until).is_some();
    record.line(format!("proxy: call {stream} reported {status}, reply {replied}"));
    connection.send(&frame(DATA, END_STREAM, stream, b""));
    replied
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = Case::start(&arguments[1], &arguments[2]);
    let stream = ChangeStream::start(2);
    let (front, configuration) = (free_address(), case.temporary.join("config.json"));
    let fronts = case.temporary.join("fronts.json");
    Deployment {
        name: "n1",
        listen: free_address(),
        change_stream: stream.address,
        zones: vec!["central".into()],
        zone: 0,
        bypass: true,
        members: vec![
            member("s-1", server(&case.record), "standard", "central"),
            member("s-2", server(&case.record), "standard", "central"),
            member("s-parent", server(&case.record), "parent", "central"),
            member("s-origin", server(&case.record), "origin", "central"),
        ],
        classes: vec![Class {
            name: "lesson-assets",
            effect: "read_like",
            deadline_ms: PATIENCE_MS,
            objective_ms: 400,
            window_ms: 0,
            goes_through: false,
        }],
        memory_mb: 192,
        drain_grace_ms: 2000,
        purge_grace_ms: 500,
    }
    .write(&configuration);
    std::fs::write(&fronts, format!("{{\"external_processing\": {{\"listen\": \"{front}\"}}}}"))
        .unwrap_or_else(|error| cannot_run(error));
    let mut router = Router::start(&case, "n1", &configuration, Some(&fronts));
    sleep_ms(300);
    let connection = Connection::open(&case.record, front);
    sleep_ms(100);
    let calls: Vec<_> = (0..USUAL_CALLS)
        .map(|number| {
            let (record, connection) = (case.record.clone(), connection.clone());
            sleep_ms(5);
            thread::spawn(move || usual_call(&record, &connection, 1 + 2 * number))
        })
        .collect();
    sleep_ms(300);
    if case.trouble {
        case.record.line(format!("{WITHDRAWN} clients of the proxy ask and leave; it begins their calls and resets them"));
        let first = 1 + 2 * USUAL_CALLS;
        let burst: Vec<u8> = (0..WITHDRAWN)
            .map(|number| first + 2 * number)
            .flat_map(|stream| [headers(stream), call_headers(stream), frame(RST_STREAM, 0, stream, &CANCEL)].concat())
            .collect();
        connection.send(&burst);
    }
    let replied = calls.into_iter().filter_map(|call| call.join().ok()).filter(|replied| *replied).count();
    if router.has_ended() {
        case.end(true, "the router ended");
    }
    let ended = connection.seen.lock().unwrap().ended.clone();
    case.end(
        replied < USUAL_CALLS as usize,
        &format!("{replied} of {USUAL_CALLS} calls got the reply to their report; connection: {ended:?}"),
    );
}
