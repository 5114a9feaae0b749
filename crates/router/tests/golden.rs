//! The bytes that the router process exchanges with clients and caches, compared with the recorded files in
//! `tests/golden/`. Values that differ between runs are replaced by placeholders in capitals.
//!
//! To record the files again: `cargo test -p tindoor-router --test golden -- --ignored record`

#[path = "../../testbed/tests/support/golden.rs"]
mod golden;
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use golden::Recording;
use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const REQUEST_ID: &str = "9b1f03aa5c7e2d41";
const VERSION: &str = "4be0c1927d55a6f3";

fn recordings() -> Vec<Recording> {
    vec![
        ("health.txt", health()),
        ("served.txt", served_requests()),
        ("rejected.txt", rejected_requests()),
        ("aborted.txt", aborted_requests()),
        ("unreadable.txt", unreadable_frames()),
        ("to_cache.txt", requests_to_a_cache()),
    ]
}

#[test]
fn replies_and_requests_are_as_recorded() {
    golden::compare(&recordings());
}

#[test]
#[ignore = "writes the recorded files"]
fn record() {
    golden::record(&recordings());
}

/// Returns one section of a recorded file: a title and the bytes.
fn section(title: &str, bytes: &str) -> String {
    format!("{title}\n    {bytes}\n")
}

/// Reads the next frame to the client, including its length prefix.
fn next_frame(client: &mut Client) -> Vec<u8> {
    let mut frame = vec![0; 4];
    client.0.read_exact(&mut frame).expect("the length of a frame");
    let size = u32::from_be_bytes(frame[..4].try_into().unwrap()) as usize;
    frame.resize(4 + size, 0);
    client.0.read_exact(&mut frame[4..]).expect("the rest of a frame");
    frame
}

/// Returns the frame as text. The value of the field `pause`, in milliseconds, and the lengths that depend on
/// its digits are replaced by placeholders.
fn frame_text(frame: &[u8]) -> String {
    let name = b"\0\0\0\x05pause";
    let Some(start) = frame.windows(name.len()).position(|window| window == name) else {
        return frame.escape_ascii().to_string();
    };
    let length = start + name.len();
    let value = length + 4;
    let digits = u32::from_be_bytes(frame[length..value].try_into().unwrap()) as usize;
    let (pause, rest) = frame[value..].split_at(digits);
    let pause: u64 = std::str::from_utf8(pause).unwrap().parse().expect("a pause in milliseconds");
    assert!(pause <= 500, "over the configured max_retry_after: {pause}");
    format!("LENGTH{}LENGTHPAUSE{}", frame[4..length].escape_ascii(), rest.escape_ascii())
}

/// Sends a request and returns the reply to it as a section.
fn exchange(client: &mut Client, title: &str, request: &[u8]) -> String {
    client.send(request);
    section(title, &frame_text(&next_frame(client)))
}

fn health() -> String {
    let request = frame(1, "health", 7, &[2, 0, 1, 1, 0]);
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    let mut out = exchange(&mut client, "health", &request);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    fixture.router.terminate();
    fixture.wait_for_log("stopping");
    let mut late = Client::connect(&fixture.router);
    out += &exchange(&mut late, "health while the router stops", &request);
    out
}

/// Starts a fixture whose cache responds to each request with these bytes.
fn fixture_responding(bytes: Vec<u8>) -> Fixture {
    fixture(move |_| Behavior::Respond(bytes.clone()))
}

/// Returns the reply to one read, from a new router whose cache responds with these bytes, as a section.
fn read_from(title: &str, bytes: Vec<u8>) -> String {
    let fixture = fixture_responding(bytes);
    let mut client = Client::connect(&fixture.router);
    exchange(&mut client, title, &call(21, &page(OBJECT, "600000"), b""))
}

/// Returns the fields of a request of this class, with the idempotency key if one is given.
fn write_fields<'a>(class: &'a str, key: Option<&'a str>) -> Vec<(&'a str, &'a str)> {
    let others = page(OBJECT, "600000").into_iter().skip(1);
    [("route", class)].into_iter().chain(others).chain(key.map(|key| ("nonce", key))).collect()
}

fn served_requests() -> String {
    let head = format!("X-Remark: fill\r\nX-Version: {VERSION}\r\n");
    let mut out = read_from("hit", served(b"the object"));
    out += &read_from("fill", http_response(200, &head, b"the object"));
    out += &read_from("an empty body", served(b""));
    out += &read_from("not modified", http_response(304, "X-Remark: warm\r\n", b""));
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    let request = call(-2, &write_fields("saves", Some(IDEMPOTENCY_KEY)), b"new");
    out += &exchange(&mut client, "a write with idempotency key", &request);
    out
}

/// Starts a fixture without endpoints; `retry_after` switches the Retry-After of rejections on or off.
fn fixture_without_endpoints(retry_after: bool) -> Fixture {
    fixture_with(
        |_| Behavior::Hang,
        |configuration| {
            configuration["known"]["results"][0]["fleet"]["members"] = json!([]);
            configuration["settings"]["limits"]["retry_after"] = json!(retry_after);
        },
    )
}

fn rejected_requests() -> String {
    let mut out = String::new();
    for (title, retry_after) in [("no endpoint", true), ("no endpoint, pauses switched off", false)] {
        let fixture = fixture_without_endpoints(retry_after);
        let mut client = Client::connect(&fixture.router);
        out += &exchange(&mut client, title, &call(21, &page(OBJECT, "3000"), b""));
    }
    out += &read_from("every endpoint rejects", http_response(503, "X-Shed: 1\r\n", b""));
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    (1..=32).for_each(|seq| client.request(seq, OBJECT));
    out += &exchange(&mut client, "too many open requests", &call(33, &page(OBJECT, "3000"), b""));
    out
}

/// Returns a call whose field of this name has another value, or is missing if `value` is `None`.
fn call_with_changed_field(name: &str, value: Option<&str>) -> Vec<u8> {
    let mut fields = page(OBJECT, "3000");
    fields.retain(|field| field.0 != name);
    fields.extend(value.map(|value| (name, value)));
    call(5, &fields, b"")
}

fn aborted_requests() -> String {
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    let mut out = String::new();
    for name in ["route", "trace", "patience", "entity", "chunk", "tag"] {
        out += &exchange(&mut client, &format!("{name}: missing"), &call_with_changed_field(name, None));
    }
    let long = "a".repeat(1000);
    for (name, values) in [
        ("route", &["unknown", "b d", "", &long][..]),
        ("trace", &["9b1f03aa5c7e2d4", "9b1f03aa5c7e2d41a", "+b1f03aa5c7e2d41"]),
        ("patience", &["0", "-5", "+5", "05", "4294967296", "soon"]),
        ("entity", &["7f3a9c21e0b4d65g", "7f3a"]),
        ("chunk", &["-1", "+1", "01", "nan", "4294967296"]),
        ("tag", &["256", "-1", "x"]),
        ("redo", &["0", "yes"]),
        ("nonce", &["n-1"]),
        ("known", &["4be0", "4be0c1927d55a6f3\r\nX-Mode: n"]),
    ] {
        for value in values {
            let title = format!("{name}: {:?}", if value.len() > 99 { "over the limit" } else { value });
            out += &exchange(&mut client, &title, &call_with_changed_field(name, Some(value)));
        }
    }
    let keyless = call(5, &write_fields("saves", None), b"new");
    out += &exchange(&mut client, "a write without its idempotency key", &keyless);
    let twice = call(5, &[page(OBJECT, "3000"), page(OBJECT, "3000")].concat(), b"");
    out += &exchange(&mut client, "fields twice", &twice);
    let long = call(5, &page(OBJECT, "3000"), &vec![7; 48_001]);
    out += &exchange(&mut client, "a body over the limit", &long);
    let nested: Vec<u8> = [12, 0, 9].repeat(1000);
    out += &exchange(&mut client, "arguments nested too deep", &frame(1, "call", 6, &nested));
    out += &exchange(&mut client, "arguments cut short", &frame(1, "call", 6, &[13, 0, 1, 11]));
    out += &id_in_use();
    out += &failed_after_possible_execution();
    out
}

/// Returns the reply to a second request with the id of one that is in flight, as a section.
fn id_in_use() -> String {
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    let mut fields = page(OBJECT, "600000");
    fields[1].1 = REQUEST_ID;
    client.send(&call(1, &fields, b""));
    fixture.cache.requests(1);
    exchange(&mut client, "an id that is in use", &call(2, &fields, b""))
}

/// Returns the reply to a non-idempotent request that may have run and therefore can't be retried, as a
/// section.
fn failed_after_possible_execution() -> String {
    let fixture = fixture(|_| Behavior::Reset);
    let mut client = Client::connect(&fixture.router);
    let request = call(3, &write_fields("orders", None), b"order");
    exchange(&mut client, "not idempotent, and its connection was reset", &request)
}

/// Returns what the router still sends after receiving these bytes, and how the connection ends.
fn end_after(router: &Router, title: &str, bytes: &[u8]) -> String {
    let mut client = Client::connect(router);
    client.send(bytes);
    let mut rest = Vec::new();
    let end = client.0.read_to_end(&mut rest).map_or("an error", |_| "closed in order");
    section(title, &format!("{}{end}", rest.escape_ascii()))
}

fn unreadable_frames() -> String {
    let fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    let mut out = exchange(&mut client, "an unknown method", &frame(1, "nonesuch", 4, &[0]));
    client.request(7, OBJECT);
    out += &exchange(&mut client, "a sequence number in use", &call(7, &page(OBJECT, "3000"), b""));
    let one_way = frame(4, "nonesuch", 4, &[0]);
    let not_strict = [0, 0, 0, 4, 0, 0, 0, 1];
    let answered = [frame(1, "nonesuch", 1, &[0]), vec![0xff; 4]].concat();
    for (title, bytes) in [
        ("a frame of negative length", &[0xff; 4][..]),
        ("a frame over the limit", &[0x7f, 0xff, 0xff, 0xff]),
        ("a message that is not of the strict protocol", &not_strict),
        ("an unknown method one-way", &one_way),
        ("an answer, then a frame of negative length", &answered),
    ] {
        out += &end_after(&fixture.router, title, bytes);
    }
    out
}

/// A stand-in cache that records the exact bytes of each request.
struct RecordingCache {
    address: SocketAddr,
    requests: Watched<Vec<Vec<u8>>>,
}

impl RecordingCache {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Watched::<Vec<Vec<u8>>>::default();
        let recorded = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let recorded = recorded.clone();
                std::thread::spawn(move || Self::answer_all(stream.unwrap(), &recorded));
            }
        });
        Self { address, requests }
    }

    fn answer_all(mut stream: TcpStream, recorded: &Watched<Vec<Vec<u8>>>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Self::read_request(&mut reader) {
            recorded.change(|recorded| recorded.push(request));
            if stream.write_all(&served(b"x")).is_err() {
                return;
            }
        }
    }

    /// Reads the head and body of the next request; `None` at the end of the connection.
    fn read_request(reader: &mut impl BufRead) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            reader.read_until(b'\n', &mut bytes).ok().filter(|size| *size > 0)?;
        }
        let head = String::from_utf8(bytes.clone()).expect("a head of text");
        let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
        let start = bytes.len();
        bytes.resize(start + length.map_or(0, |length| length.parse().unwrap()), 0);
        reader.read_exact(&mut bytes[start..]).ok()?;
        Some(bytes)
    }
}

/// Returns the request as text, with the remaining time replaced by a placeholder.
fn request_text(request: &[u8]) -> String {
    let text = request.escape_ascii().to_string();
    let (before, rest) = text.split_once("X-Max-Ms: ").expect("the remaining time");
    let (time_remaining, after) = rest.split_once("\\r").unwrap();
    let time_remaining: u64 = time_remaining.parse().expect("milliseconds");
    assert!((1..=3000).contains(&time_remaining), "{time_remaining}");
    format!("{before}X-Max-Ms: MILLISECONDS\\r{after}")
}

/// Returns the first request that a new router sends to any of its endpoints for a call, as a section.
fn first_request(title: &str, fields: &[(&str, &str)], body: &[u8]) -> String {
    let cache = RecordingCache::start();
    let address = json!(cache.address.to_string());
    let point_to_cache = |configuration: &mut Value| {
        let entries = configuration["known"]["results"][0]["fleet"]["members"].as_array_mut().unwrap();
        entries.iter_mut().for_each(|member| member["host_port"] = address.clone());
    };
    let fixture = fixture_with(|_| Behavior::Hang, point_to_cache);
    let mut client = Client::connect(&fixture.router);
    client.send(&call(1, fields, body));
    next_frame(&mut client);
    let first = cache.requests.wait("a request", |requests| requests.first().cloned());
    section(title, &request_text(&first))
}

/// Sets the request id to `REQUEST_ID` and the timeout to 3000 ms, below the limit.
fn with_fixed_id_and_timeout<'a>(mut fields: Vec<(&'a str, &'a str)>) -> Vec<(&'a str, &'a str)> {
    for field in &mut fields {
        match field.0 {
            "trace" => field.1 = REQUEST_ID,
            "patience" => field.1 = "3000",
            _ => {}
        }
    }
    fields
}

fn requests_to_a_cache() -> String {
    let read = with_fixed_id_and_timeout(page(OBJECT, "3000"));
    let known = [&read[..], &[("known", VERSION)]].concat();
    let repeated = [&read[..], &[("redo", "1")]].concat();
    let write = with_fixed_id_and_timeout(write_fields("saves", Some(IDEMPOTENCY_KEY)));
    let order = with_fixed_id_and_timeout(write_fields("orders", None));
    let mut out = first_request("read", &read, b"");
    out += &first_request("read with the client's version", &known, b"");
    out += &first_request("read that is a repeat", &repeated, b"");
    out += &first_request("write with idempotency key", &write, b"the new object");
    out += &first_request("write that is not idempotent", &order, b"an order\r\n\r\n\0\xff");
    out
}
