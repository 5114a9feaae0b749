//! Peers that send slowly, stop half way or send without end: on every listener the router stays within its memory,
//! and the usual peers beside them are served.

#[path = "support/http2.rs"]
mod http2;
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use http2::{CallEnd, Http2Client};
use serde_json::{Value, json};
use support::*;
use tindoor_consensus::{CatchUp, Envelope, Message};
use tindoor_membership::Incarnation;
use tindoor_testbed::cluster::free_address;
use tindoor_testbed::peer;
use tindoor_testbed::stand_in::*;

/// The memory of the router, in megabytes.
const MEMORY_MB: u64 = 32;
/// What the router may hold at most, in kilobytes, without the pages of its executable.
const MAX_PEAK_KB: u64 = 24_000;
/// A third of the router's descriptors, less some for the usual clients.
const BAD_CLIENTS: usize = 320;
/// A twelfth of the router's descriptors.
const PROXY_CONNECTIONS: usize = 85;
/// The most connections that the router accepts from peers.
const PEER_CONNECTIONS: usize = 96;
/// The largest frame of a client, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// The largest message of a peer, in bytes.
const MAX_PEER_MESSAGE_BYTES: usize = 1 << 20;
/// A piece of a message, as a network cuts it, and the time between two.
const PIECE_BYTES: usize = 16_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the usual peers are watched, and the time between two of their calls.
const WATCHED: Duration = Duration::from_secs(2);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which a usual call is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

struct Fixture {
    _change_stream: ChangeStream,
    _cache: Cache,
    router: Router,
}

/// Starts a router with little memory and the listeners for proxies.
fn fixture() -> Fixture {
    let listen = json!({"listen": "127.0.0.1:0"});
    fixture_with_fronts(Some(json!({"external_processing": listen, "call": listen})))
}

/// Starts a router with little memory and this fronts file.
fn fixture_with_fronts(fronts: Option<Value>) -> Fixture {
    let (cache, change_stream) = (Cache::start(|_| Behavior::Respond(served(b"x"))), ChangeStream::start());
    let entries = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", cache.address, "parent", "active"),
        endpoint_entry("o-1", cache.address, "origin", "active"),
    ];
    let mut configuration = configuration(change_stream.address, entries);
    configuration["limits"]["memory_mb"] = json!(MEMORY_MB);
    let options = StartOptions { fronts, log_level: Some("info"), ..StartOptions::default() };
    let router = Router::start_with(&configuration, &options);
    Fixture { _change_stream: change_stream, _cache: cache, router }
}

impl Fixture {
    fn assert_within_memory(&self) {
        let peak = self.router.peak_kb();
        assert!(peak < MAX_PEAK_KB, "{peak} KB");
    }

    fn assert_evictions_logged(&self, listener: &str) {
        let text = format!("incomplete message evicted to free memory for others listener=\"{listener}\"");
        let is_logged = |log: &mut Vec<String>| log.iter().any(|line| line.contains(&text)).then_some(());
        self.router.log.wait("the eviction to be logged", is_logged);
    }
}

/// Sends these bytes in pieces on every connection.
fn send_in_pieces(connections: &mut [TcpStream], bytes: &[u8]) {
    for piece in bytes.chunks(PIECE_BYTES) {
        for connection in connections.iter_mut() {
            // The router may have closed it.
            let _ = connection.write_all(piece);
        }
        thread::sleep(PIECE_INTERVAL);
    }
}

fn connect(count: usize, address: SocketAddr) -> Vec<TcpStream> {
    (0..count).map(|_| TcpStream::connect(address).unwrap()).collect()
}

/// Makes calls of a usual client for the time `WATCHED`; each must be served.
fn assert_client_is_served(fixture: &Fixture) {
    let (mut client, begun, mut seq) = (Client::connect(&fixture.router), Instant::now(), 0);
    while begun.elapsed() < WATCHED {
        seq += 1;
        client.request(seq, OBJECT);
        assert_eq!(client.reply(), (seq, served_reply(b"x")));
        thread::sleep(CALL_INTERVAL);
    }
}

/// A proxy that has made a call over gRPC.
fn proven_proxy(fixture: &Fixture) -> Http2Client {
    let mut proxy = Http2Client::connect(fixture.router.front("external_processing"));
    assert!(call_and_report(&mut proxy, 0x4000));
    proxy
}

/// Makes a call over gRPC and reports on it; returns whether it was answered.
fn call_and_report(proxy: &mut Http2Client, correlation_id: u64) -> bool {
    let stream = proxy.call(correlation_id);
    let is_answered = proxy.wait_for(stream, ANSWER_TIMEOUT) == CallEnd::Answered;
    if is_answered {
        proxy.report(stream);
        proxy.end_stream(stream);
    }
    is_answered
}

/// Makes calls over gRPC for the time `WATCHED`; each must be answered.
fn assert_proxy_is_answered(proxy: &mut Http2Client) {
    let begun = Instant::now();
    for correlation_id in 0x5000.. {
        if begun.elapsed() >= WATCHED {
            return;
        }
        assert!(call_and_report(proxy, correlation_id), "call {correlation_id:x}");
        thread::sleep(CALL_INTERVAL);
    }
}

// Guards against a kill for memory: 320 clients whose frames are one byte short (review/7).
#[test]
fn incomplete_frames_of_hundreds_of_clients_stay_within_memory() {
    let fixture = fixture_with_fronts(None);
    let mut frame = (MAX_FRAME_BYTES as u32).to_be_bytes().to_vec();
    frame.resize(frame.len() + MAX_FRAME_BYTES - 1, 7);
    let mut bad = connect(BAD_CLIENTS, fixture.router.address);
    let sending = thread::spawn(move || {
        send_in_pieces(&mut bad, &frame);
        bad
    });
    assert_client_is_served(&fixture);
    drop(sending.join());
    fixture.assert_within_memory();
    fixture.assert_evictions_logged("clients");
}

// Guards against a kill for memory: gRPC streams whose first message has begun and does not go on.
#[test]
fn begun_messages_on_hundreds_of_streams_stay_within_memory() {
    let fixture = fixture();
    let front = fixture.router.front("external_processing");
    let mut proxy = proven_proxy(&fixture);
    let mut bad: Vec<_> = (0..PROXY_CONNECTIONS - 25).map(|_| Http2Client::connect(front)).collect();
    // The length of a message of 60,000 bytes, and its begin.
    let mut begun = vec![0, 0, 0, 0xea, 0x60];
    begun.resize(300, 7);
    let sending = thread::spawn(move || {
        for _ in 0..100 {
            for client in &mut bad {
                let stream = client.open_stream();
                client.send(&http2::frame(0, 0, stream, &begun));
            }
        }
        thread::sleep(WATCHED);
    });
    assert_proxy_is_answered(&mut proxy);
    sending.join().unwrap();
    fixture.assert_within_memory();
    fixture.assert_evictions_logged("external_processing");
}

// Guards against a kill for memory: messages of many empty fields, which take far more memory than their bytes, on
// streams that stay open.
#[test]
fn messages_of_many_short_fields_stay_within_memory() {
    let fixture = fixture();
    let front = fixture.router.front("external_processing");
    let mut proxy = proven_proxy(&fixture);
    let mut bad: Vec<_> = (0..PROXY_CONNECTIONS - 25).map(|_| Http2Client::connect(front)).collect();
    let fields: Vec<(String, String)> =
        (0..2000).map(|index| (format!("x-{index}"), String::new())).collect();
    let fields: Vec<_> = fields.iter().map(|(name, value)| (&**name, &**value)).collect();
    for round in 0..20 {
        for (index, client) in bad.iter_mut().enumerate() {
            let stream = client.open_stream();
            let message = peer::request_headers((index * 100 + round) as u64, &fields);
            for piece in message.chunks(PIECE_BYTES) {
                client.send(&http2::frame(0, 0, stream, piece));
            }
        }
    }
    assert_proxy_is_answered(&mut proxy);
    fixture.assert_within_memory();
}

// Guards against a kill for memory: heads of many short fields that are never completed, on the plain call.
#[test]
fn incomplete_heads_of_proxies_stay_within_memory() {
    let fixture = fixture();
    let mut bad = connect(PROXY_CONNECTIONS - 25, fixture.router.front("call"));
    let mut head = b"GET /v1/store/pages/7f3a9c21e0b4d655/3 HTTP/1.1\r\n".to_vec();
    while head.len() < PIECE_BYTES {
        head.extend(b"a:\r\n");
    }
    let sending = thread::spawn(move || {
        send_in_pieces(&mut bad, &head);
        thread::sleep(WATCHED);
    });
    assert_client_is_served(&fixture);
    sending.join().unwrap();
    fixture.assert_within_memory();
}

/// Starts a router with little memory and a listener for peers, and returns the address of that listener.
fn fixture_in_fleet() -> (Fixture, SocketAddr) {
    let address = free_address();
    let fleet = json!({"name": "test", "listen": address.to_string(), "seeds": [address.to_string()],
                       "votes": true, "voters": 1});
    (fixture_with_fronts(Some(json!({"fleet": fleet}))), address)
}

// Guards against a kill for memory: messages on the fleet's listener that take far more memory than their bytes.
#[test]
fn messages_of_peers_with_very_many_entries_stay_within_memory() {
    let (fixture, address) = fixture_in_fleet();
    let message = Message::StatusResponse {
        nonce: 1,
        clock_micros: 0,
        clock_offsets: Vec::new(),
        index: 0,
        confirms_index: false,
        quorum_confirmation: None,
        peer_confirmations: Vec::new(),
        catch_up: CatchUp::Entries { first: 1, entries: vec![Vec::new(); MAX_PEER_MESSAGE_BYTES - 200] },
        leader_address: None,
    };
    let (fleet, sender) = ("test".to_string(), Incarnation(1));
    let envelope = Envelope { fleet, sender, sender_address: "127.0.0.1:9".into(), message }.to_bytes();
    let mut connections = connect(4, address);
    for connection in &mut connections {
        connection.write_all(b"tindoor-fleet 1 test stranger\n").unwrap();
        connection.write_all(&(envelope.len() as u32).to_be_bytes()).unwrap();
        // The router may close it.
        let _ = connection.write_all(&envelope);
    }
    let text = "peer connection closed: malformed message";
    let is_logged = |log: &mut Vec<String>| log.iter().any(|line| line.contains(text)).then_some(());
    fixture.router.log.wait("the messages to be refused", is_logged);
    fixture.assert_within_memory();
}

// Guards against a kill for memory: long messages on the fleet's listener that are never completed.
#[test]
fn incomplete_messages_of_peers_stay_within_memory() {
    let (fixture, address) = fixture_in_fleet();
    let mut bad = connect(PEER_CONNECTIONS, address);
    for connection in &mut bad {
        connection.write_all(b"tindoor-fleet 1 test stranger\n").unwrap();
        connection.write_all(&(MAX_PEER_MESSAGE_BYTES as u32).to_be_bytes()).unwrap();
    }
    send_in_pieces(&mut bad, &vec![7; MAX_PEER_MESSAGE_BYTES - 1]);
    fixture.assert_within_memory();
    fixture.assert_evictions_logged("fleet");
    // Those whose messages still fit are not closed.
    let is_open = |connection: &&mut TcpStream| {
        let mut connection: &TcpStream = connection;
        connection.set_read_timeout(Some(PIECE_INTERVAL)).unwrap();
        connection.read(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    let open = bad.iter_mut().filter(|connection| is_open(connection)).count();
    let fitting = MEMORY_MB as usize * 1_000_000 / 8 / MAX_PEER_MESSAGE_BYTES;
    assert!((1..=fitting).contains(&open), "{open} connections are open");
}

/// The least number of calls of a usual peer that are answered beside a flood, out of `WATCHED` / `CALL_INTERVAL`.
const MIN_ANSWERED: u32 = 25;

/// Sends these bytes again and again, and drops what the router replies, until the returned guard is dropped.
fn flood(connection: TcpStream, bytes: Vec<u8>) -> Flood {
    flood_with(connection, move || bytes.clone())
}

/// Like [`flood`], with other bytes each time.
fn flood_with(mut connection: TcpStream, mut next: impl FnMut() -> Vec<u8> + Send + 'static) -> Flood {
    let mut replies = connection.try_clone().unwrap();
    let socket = connection.try_clone().unwrap();
    thread::spawn(move || while replies.read(&mut [0; 4096]).is_ok_and(|size| size > 0) {});
    let sending = thread::spawn(move || while connection.write_all(&next()).is_ok() {});
    Flood { socket, sending: Some(sending) }
}

/// A connection that sends at full speed.
struct Flood {
    socket: TcpStream,
    sending: Option<thread::JoinHandle<()>>,
}

impl Drop for Flood {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
        if let Some(sending) = self.sending.take() {
            sending.join().unwrap();
        }
    }
}

/// Makes plain calls for the time `WATCHED`, each with an id of its own; returns how many were given a decision.
fn plain_decisions(fixture: &Fixture) -> u32 {
    let mut connection = TcpStream::connect(fixture.router.front("call")).unwrap();
    connection.set_read_timeout(Some(WATCHED)).unwrap();
    let (begun, mut decisions) = (Instant::now(), 0);
    for id in 0x6000.. {
        let path = format!("/v1/store/pages/{OBJECT}/3");
        let call = format!("GET {path} HTTP/1.1\r\nx-ticket: {id:016x}\r\n\r\n");
        let Some(decision) = exchange(&mut connection, &call) else { return decisions };
        let lease = decision.lines().find_map(|line| line.strip_prefix("x-tindoor-lease: "));
        if let Some(lease) = lease {
            let names = format!("x-ticket: {id:016x}\r\nx-tindoor-lease: {lease}\r\nx-status: 200");
            let report = format!("POST /report HTTP/1.1\r\n{names}\r\nx-remark: warm\r\n\r\n");
            exchange(&mut connection, &report);
            decisions += 1;
        }
        if begun.elapsed() >= WATCHED {
            return decisions;
        }
        thread::sleep(CALL_INTERVAL);
    }
    decisions
}

/// Sends a request and returns the head of the response. `None` if none comes in time.
fn exchange(connection: &mut TcpStream, request: &str) -> Option<String> {
    connection.write_all(request.as_bytes()).unwrap();
    let (mut response, mut byte) = (Vec::new(), [0]);
    while !response.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).ok()?;
        response.push(byte[0]);
    }
    Some(String::from_utf8(response).unwrap())
}

/// Makes calls over gRPC for the time `WATCHED`; returns how many were answered.
fn grpc_decisions(proxy: &mut Http2Client) -> u32 {
    let (begun, mut decisions) = (Instant::now(), 0);
    for correlation_id in 0x7000.. {
        decisions += u32::from(call_and_report(proxy, correlation_id));
        if begun.elapsed() >= WATCHED {
            return decisions;
        }
        thread::sleep(CALL_INTERVAL);
    }
    decisions
}

// Guards against calls that are answered late or never: one proxy that pipelines unsound plain calls at full speed.
#[test]
fn calls_are_answered_beside_a_flood_of_plain_calls() {
    let fixture = fixture();
    let connection = TcpStream::connect(fixture.router.front("call")).unwrap();
    let _flood = flood(connection, b"GET /nothing HTTP/1.1\r\n\r\n".repeat(500));
    let decisions = plain_decisions(&fixture);
    assert!(decisions >= MIN_ANSWERED, "{decisions} decisions");
    assert_client_is_served(&fixture);
}

// Guards against calls that are answered late or never: one proxy that sends small HTTP/2 frames at full speed.
#[test]
fn calls_are_answered_beside_a_flood_of_http2_frames() {
    const PING: u8 = 6;
    const WINDOW_UPDATE: u8 = 8;
    const UNKNOWN: u8 = 99;
    for (kind, payload) in [(PING, &[0; 8][..]), (WINDOW_UPDATE, &[0, 0, 0, 1][..]), (UNKNOWN, &[][..])] {
        let fixture = fixture();
        let mut proxy = proven_proxy(&fixture);
        let connection = Http2Client::connect(fixture.router.front("external_processing")).socket;
        let _flood = flood(connection, http2::frame(kind, 0, 0, payload).repeat(500));
        let decisions = grpc_decisions(&mut proxy);
        assert!(decisions >= MIN_ANSWERED, "{decisions} decisions beside frames of kind {kind}");
    }
}

// Guards against calls that are answered late or never: one client that sends unsound calls at full speed.
#[test]
fn calls_are_answered_beside_a_flood_of_a_client() {
    let fixture = fixture();
    let connection = TcpStream::connect(fixture.router.address).unwrap();
    let _flood = flood(connection, frame(1, "nothing", 1, &[0]).repeat(500));
    assert_client_is_served(&fixture);
    let decisions = plain_decisions(&fixture);
    assert!(decisions >= MIN_ANSWERED, "{decisions} decisions");
}

/// Returns 100 plain calls with ids that no other call has, from `first_id` on.
fn plain_calls(first_id: u64) -> Vec<u8> {
    let path = format!("/v1/store/pages/{OBJECT}/3");
    let call = |id| format!("GET {path} HTTP/1.1\r\nx-ticket: {id:016x}\r\n\r\n");
    (first_id..first_id + 100).map(call).collect::<String>().into_bytes()
}

// Guards against calls that are refused: one proxy that asks under ever new ids at full speed and reports nothing, so
// that its requests fill the table.
#[test]
fn calls_are_answered_beside_a_flood_under_ever_new_ids() {
    let fixture = fixture();
    let connection = TcpStream::connect(fixture.router.front("call")).unwrap();
    let mut next_id = 1 << 40;
    let _flood = flood_with(connection, move || {
        next_id += 100;
        plain_calls(next_id)
    });
    // As long as the flood's decisions take to expire.
    thread::sleep(WATCHED);
    let decisions = plain_decisions(&fixture);
    assert!(decisions >= MIN_ANSWERED, "{decisions} decisions");
    fixture.assert_within_memory();
}

// Guards against a kill for memory: thousands of whole calls over gRPC on which nothing is reported.
#[test]
fn calls_without_a_report_stay_within_memory() {
    let fixture = fixture();
    let front = fixture.router.front("external_processing");
    let mut proxy = proven_proxy(&fixture);
    let mut bad: Vec<_> = (0..PROXY_CONNECTIONS - 25).map(|_| Http2Client::connect(front)).collect();
    for round in 0..100 {
        for (index, client) in bad.iter_mut().enumerate() {
            client.call((index * 1000 + round) as u64);
        }
    }
    assert_proxy_is_answered(&mut proxy);
    fixture.assert_within_memory();
}

// Guards against a kill for memory: proxies that let no reply through, so that thousands of refusals wait.
#[test]
fn refusals_that_wait_for_the_proxys_window_stay_within_memory() {
    const SETTINGS: u8 = 4;
    const DATA: u8 = 0;
    const NO_INITIAL_WINDOW: [u8; 6] = [0, 4, 0, 0, 0, 0];
    let fixture = fixture();
    let front = fixture.router.front("external_processing");
    let mut proxy = proven_proxy(&fixture);
    let mut bad: Vec<_> = (0..PROXY_CONNECTIONS - 25).map(|_| Http2Client::connect(front)).collect();
    let invalid = peer::request_headers(1, &[("x-max-ms", "soon")]);
    for client in &mut bad {
        client.send(&http2::frame(SETTINGS, 0, 0, &NO_INITIAL_WINDOW));
    }
    for _ in 0..500 {
        for client in &mut bad {
            let stream = client.open_stream();
            client.send(&http2::frame(DATA, 0, stream, &invalid));
        }
    }
    assert_proxy_is_answered(&mut proxy);
    fixture.assert_within_memory();
}
