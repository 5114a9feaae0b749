//! The limits on the connections of all listeners: whatever other peers do with theirs, a call on a further
//! connection is answered or refused, or its connection is closed. A close to make room loses no call.

#[path = "support/http2.rs"]
mod http2;
mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use http2::{ANNOUNCED, CallEnd, Http2Client};
use serde_json::{Value, json};
use support::*;
use tindoor_testbed::cluster::{control_request, free_address};
use tindoor_testbed::stand_in::*;

/// The client's time of a call, and the time after it within which an answer is late and not lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3000 + 500);
/// Descriptors of the router. Of these, 21 are for clients, and of those 5 for each listener for proxies.
const DESCRIPTORS: usize = 64;
/// More connections than the router accepts on any of its listeners.
const MANY: u64 = 30;

/// The time within which a connection without calls is closed.
const LONGEST_REST: Duration = Duration::from_secs(130);
/// How often a proxy makes a call that is refused, and the time between.
const MAX_ATTEMPTS: u64 = 10;
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// The two listeners for proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Front {
    Grpc,
    Plain,
}

const FRONTS: [Front; 2] = [Front::Grpc, Front::Plain];

impl Front {
    fn key(self) -> &'static str {
        match self {
            Self::Grpc => "external_processing",
            Self::Plain => "call",
        }
    }
}

struct Fixture {
    change_stream: ChangeStream,
    cache: Cache,
    router: Router,
}

/// Starts a router with few descriptors and these listeners for proxies, whose cache has this behavior.
fn fixture(fronts: &[Front], descriptors: usize, behavior: fn(&ReceivedRequest) -> Behavior) -> Fixture {
    let (cache, change_stream) = (Cache::start(behavior), ChangeStream::start());
    let mut configuration = configuration(change_stream.address, entries(cache.address));
    configuration["limits"]["sockets"] = json!(descriptors);
    let listeners = fronts.iter().map(|front| (front.key().into(), json!({"listen": "127.0.0.1:0"})));
    let fronts = Some(Value::Object(listeners.collect()));
    let router = Router::start_with(&configuration, &StartOptions { fronts, ..StartOptions::default() });
    Fixture { change_stream, cache, router }
}

fn entries(cache: SocketAddr) -> Vec<Value> {
    vec![
        endpoint_entry("c-1", cache, "cache", "active"),
        endpoint_entry("p-1", cache, "parent", "active"),
        endpoint_entry("o-1", cache, "origin", "active"),
    ]
}

fn serve(_: &ReceivedRequest) -> Behavior {
    Behavior::Respond(served(b"x"))
}

fn hang(_: &ReceivedRequest) -> Behavior {
    Behavior::Hang
}

impl Fixture {
    fn wait_for_log(&self, text: &str) {
        let is_logged = |log: &mut Vec<String>| log.iter().any(|line| line.contains(text)).then_some(());
        self.router.log.wait("an expected log line", is_logged);
    }

    fn count_in_log(&self, text: &str) -> usize {
        self.router.log.change(|log| log.iter().filter(|line| line.contains(text)).count())
    }
}

/// A proxy's connection with one of the two listeners.
enum Proxy {
    Grpc(Http2Client),
    Plain(TcpStream),
}

impl Proxy {
    fn connect(fixture: &Fixture, front: Front) -> Self {
        let address = fixture.router.front(front.key());
        match front {
            Front::Grpc => Self::Grpc(Http2Client::connect(address)),
            Front::Plain => Self::Plain(TcpStream::connect(address).unwrap()),
        }
    }

    /// Makes one call for a decision, and reports on it over gRPC.
    fn call(&mut self, correlation_id: u64) -> CallEnd {
        match self {
            Self::Grpc(client) => {
                let stream = client.call(correlation_id);
                let end = client.wait_for(stream, ANSWER_TIMEOUT);
                if end == CallEnd::Answered {
                    client.report(stream);
                    client.end_stream(stream);
                }
                end
            }
            Self::Plain(stream) => {
                let _ = stream.write_all(plain_call(correlation_id).as_bytes());
                match status(stream) {
                    Some(200) => CallEnd::Answered,
                    Some(_) => CallEnd::NotRun,
                    None => end_of(stream),
                }
            }
        }
    }
}

fn plain_call(correlation_id: u64) -> String {
    let head = format!("GET /v1/store/pages/{OBJECT}/3 HTTP/1.1\r\nx-ticket: {correlation_id:016x}");
    format!("{head}\r\nx-max-ms: 3000\r\n\r\n")
}

/// Reads the head of a response and returns its status. `None` if the connection ends or nothing comes in time.
fn status(stream: &mut TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    std::str::from_utf8(head.get(9..12)?).ok()?.parse().ok()
}

/// Returns whether a connection on which nothing came has been closed.
fn end_of(stream: &TcpStream) -> CallEnd {
    stream.set_nonblocking(true).unwrap();
    match stream.peek(&mut [0]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => CallEnd::Nothing,
        _ => CallEnd::Closed,
    }
}

/// Opens connections that rest after one call each, and asserts that each call was answered.
fn resting_proxies(fixture: &Fixture, front: Front, first_id: u64) -> Vec<Proxy> {
    let rest = (first_id..first_id + MANY).map(|correlation_id| {
        let mut proxy = Proxy::connect(fixture, front);
        assert_eq!(proxy.call(correlation_id), CallEnd::Answered, "{front:?} {correlation_id}");
        proxy
    });
    rest.collect()
}

// Guards against calls on further connections that were never answered while others rest (review, case 3).
#[test]
fn connections_of_proxies_that_rest_make_room_for_calls_on_further_ones() {
    let fixture = fixture(&FRONTS, DESCRIPTORS, serve);
    let _resting = FRONTS.map(|front| resting_proxies(&fixture, front, 1 + 1000 * front as u64));
    for front in FRONTS {
        fixture.wait_for_log(&format!("listener=\"{}\"", front.key()));
    }
}

// Guards against the same with connections that never complete a message.
#[test]
fn silent_and_incomplete_connections_of_proxies_make_room_for_calls_on_further_ones() {
    let fixture = fixture(&FRONTS, DESCRIPTORS, serve);
    for front in FRONTS {
        let address = fixture.router.front(front.key());
        let incomplete: &[u8] = if front == Front::Grpc { b"PRI * HTTP" } else { b"GET /v1/store" };
        let mut held = Vec::new();
        for number in 0..MANY {
            let mut stream = TcpStream::connect(address).unwrap();
            if number % 2 == 0 {
                stream.write_all(incomplete).unwrap();
            }
            held.push(stream);
        }
        for call in 1..=3 {
            let mut proxy = Proxy::connect(&fixture, front);
            call_with_retries(&fixture, front, &mut proxy, call * 20 + 1000 * front as u64);
        }
    }
}

// Guards against an incomplete frame or head that keeps a connection which has called before.
#[test]
fn half_a_frame_after_a_call_keeps_no_connection_from_being_closed() {
    let fixture = fixture(&FRONTS, DESCRIPTORS, serve);
    for front in FRONTS {
        let mut held = resting_proxies(&fixture, front, 1 + 1000 * front as u64);
        for proxy in &mut held {
            let _ = match proxy {
                Proxy::Grpc(client) => client.socket.write(&[0, 0, 9, 1, 4]),
                Proxy::Plain(stream) => stream.write(b"GET /v1"),
            };
        }
        for call in 20..23 {
            let mut proxy = Proxy::connect(&fixture, front);
            call_with_retries(&fixture, front, &mut proxy, call * 20 + 1000 * front as u64);
        }
    }
}

// Guards against a close to make room that loses a call of a proxy that calls now and then.
#[test]
fn proxies_that_call_now_and_then_on_all_their_connections_lose_no_call() {
    let fixture = fixture(&FRONTS, DESCRIPTORS, serve);
    std::thread::scope(|scope| {
        let callers = (0..12u64).map(|proxy| {
            let (fixture, front) = (&fixture, FRONTS[proxy as usize % 2]);
            scope.spawn(move || {
                let mut connections = [(); 2].map(|()| Proxy::connect(fixture, front));
                for round in 0..10u64 {
                    for (index, connection) in connections.iter_mut().enumerate() {
                        let correlation_id = 1 + proxy * 1000 + round * 20 + index as u64 * 10;
                        call_with_retries(fixture, front, connection, correlation_id);
                    }
                    std::thread::sleep(Duration::from_millis(20 + 7 * proxy));
                }
                connections
            })
        });
        // No proxy closes its connections before all have made their calls.
        let callers: Vec<_> = callers.collect();
        let _connections: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    });
}

/// Makes a call, on a new connection if the previous one was closed; asserts that it is answered in the end.
fn call_with_retries(fixture: &Fixture, front: Front, connection: &mut Proxy, correlation_id: u64) {
    for attempt in 0..MAX_ATTEMPTS {
        match connection.call(correlation_id + attempt) {
            CallEnd::Answered => return,
            CallEnd::Closed | CallEnd::NotRun => {
                std::thread::sleep(RETRY_BACKOFF);
                *connection = Proxy::connect(fixture, front);
            }
            end => panic!("{front:?} call {correlation_id}, attempt {attempt}: {end:?}"),
        }
    }
    panic!("{front:?} call {correlation_id} was refused each time");
}

// Guards against a further connection that waits for as long as all others are in use.
#[test]
fn a_proxy_is_refused_while_all_connections_are_in_use() {
    let fixture = fixture(&[Front::Grpc], DESCRIPTORS, serve);
    let mut busy = Vec::new();
    for correlation_id in 1..=5 {
        let mut client = Http2Client::connect(fixture.router.front("external_processing"));
        let stream = client.call(correlation_id);
        assert_eq!(client.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
        // The stream stays open, as while the proxy passes on the body.
        client.report(stream);
        assert_eq!(client.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
        busy.push((client, stream));
    }
    for correlation_id in 10..16 {
        let end = Proxy::connect(&fixture, Front::Grpc).call(correlation_id);
        assert_eq!(end, CallEnd::NotRun, "a GOAWAY frame that names no stream");
    }
    let (mut client, stream) = busy.pop().unwrap();
    client.end_stream(stream);
    assert_eq!(client.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Ended);
    let mut further = Http2Client::connect(fixture.router.front("external_processing"));
    let stream = further.call(20);
    assert_eq!(further.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered, "a connection is idle again");
}

// Guards against the same over plain HTTP, where calls that wait for the end of a write hold connections.
#[test]
fn a_proxy_gets_an_answer_while_all_connections_wait_for_the_end_of_a_write() {
    let fixture = fixture(&[Front::Plain], DESCRIPTORS, serve);
    let write = |correlation_id: u64| {
        let head = format!("GET /v1/store/saves/{OBJECT}/0 HTTP/1.1\r\nx-ticket: {correlation_id:016x}");
        format!("{head}\r\nx-max-ms: 3000\r\nx-nonce: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n\r\n")
    };
    let mut connections = Vec::new();
    for correlation_id in 1..=6 {
        let mut stream = TcpStream::connect(fixture.router.front("call")).unwrap();
        stream.write_all(write(correlation_id).as_bytes()).unwrap();
        if correlation_id == 1 {
            assert_eq!(status(&mut stream), Some(200));
        }
        connections.push(stream);
    }
    for correlation_id in 10..14 {
        let end = Proxy::connect(&fixture, Front::Plain).call(correlation_id);
        assert!(matches!(end, CallEnd::Answered | CallEnd::NotRun), "{end:?}");
    }
}

// Guards against the same at the listener for clients.
#[test]
fn a_client_is_refused_while_all_connections_have_open_calls() {
    let fixture = fixture(&[], DESCRIPTORS, hang);
    let mut busy: Vec<_> = (0..21).map(|_| Client::connect(&fixture.router)).collect();
    let page = page(OBJECT, "60000");
    for (seq, client) in (1..).zip(&mut busy) {
        client.send(&call(seq, &page, b""));
    }
    fixture.cache.requests(1);
    for _ in 0..4 {
        let mut client = Client::connect(&fixture.router);
        client.send(&call(1, &page, b""));
        client.0.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let received = client.0.read(&mut [0]);
        let is_closed = match &received {
            Ok(size) => *size == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        assert!(is_closed, "the connection is closed unread: {received:?}");
    }
}

// Guards against a call that crosses the close of an idle connection and is never answered.
#[test]
fn a_call_that_crosses_an_announced_close_is_answered() {
    let fixture = fixture(&[Front::Grpc], DESCRIPTORS, serve);
    let (mut first, _others) = announced_close(&fixture);
    let stream = first.call(100);
    assert_eq!(first.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
    first.report(stream);
    first.end_stream(stream);
    assert_eq!(first.next_goaway(ANSWER_TIMEOUT), Some(stream), "the last stream that was served");
    assert!(first.ends_in_order(ANSWER_TIMEOUT), "without a reset");
}

// Guards against the same for the close of a connection that has been idle for a minute.
#[test]
fn a_call_that_crosses_the_close_of_a_connection_without_calls_is_answered() {
    let fixture = fixture(&[Front::Grpc], DESCRIPTORS, serve);
    let mut proxy = Http2Client::connect(fixture.router.front("external_processing"));
    proxy.answers_pings = false;
    let stream = proxy.call(1);
    assert_eq!(proxy.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
    proxy.report(stream);
    proxy.end_stream(stream);
    assert_eq!(proxy.next_goaway(LONGEST_REST), Some(ANNOUNCED));
    let stream = proxy.call(2);
    assert_eq!(proxy.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
    proxy.report(stream);
    proxy.end_stream(stream);
    assert_eq!(proxy.next_goaway(ANSWER_TIMEOUT), Some(stream));
    assert!(proxy.ends_in_order(ANSWER_TIMEOUT));
}

// Guards against a call that arrives too late and is neither run nor named as not run.
#[test]
fn a_call_after_the_final_goaway_frame_is_not_run() {
    let fixture = fixture(&[Front::Grpc], DESCRIPTORS, serve);
    let (mut first, _others) = announced_close(&fixture);
    assert_eq!(first.next_goaway(ANSWER_TIMEOUT), Some(1), "without an answer to the PING frame");
    let calls = fixture.count_in_log("external request received");
    let stream = first.call(100);
    assert!(stream > 1 && first.ends_in_order(ANSWER_TIMEOUT), "without a reset");
    assert_eq!(fixture.count_in_log("external request received"), calls);
}

// Guards against a close that waits for its timeout although the proxy has confirmed it.
#[test]
fn an_announced_close_is_completed_once_the_proxy_answers_the_ping() {
    let fixture = fixture(&[Front::Grpc], DESCRIPTORS, serve);
    let mut proxies: Vec<_> = (1..=4)
        .map(|correlation_id| {
            let mut proxy = Http2Client::connect(fixture.router.front("external_processing"));
            let stream = proxy.call(correlation_id);
            assert_eq!(proxy.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
            proxy.report(stream);
            proxy.end_stream(stream);
            proxy
        })
        .collect();
    assert_eq!(proxies[0].next_goaway(ANSWER_TIMEOUT), Some(ANNOUNCED));
    assert_eq!(proxies[0].next_goaway(ANSWER_TIMEOUT), Some(1));
    assert!(proxies[0].ends_in_order(ANSWER_TIMEOUT));
}

/// Opens as many connections as make the router close the first one, and waits until the close is announced on
/// it. Its proxy answers no PING frames. Returns it and the others.
fn announced_close(fixture: &Fixture) -> (Http2Client, Vec<Http2Client>) {
    let mut proxies = Vec::new();
    // Of the 5 connections, one is kept free: the fourth causes the first one to be closed.
    for correlation_id in 1..=4 {
        let mut proxy = Http2Client::connect(fixture.router.front("external_processing"));
        proxy.answers_pings = false;
        let stream = proxy.call(correlation_id);
        assert_eq!(proxy.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
        proxy.report(stream);
        proxy.end_stream(stream);
        while proxy.wait_for(stream, ANSWER_TIMEOUT) != CallEnd::Ended {}
        proxies.push(proxy);
    }
    let mut first = proxies.remove(0);
    assert_eq!(first.next_goaway(ANSWER_TIMEOUT), Some(ANNOUNCED), "streams on their way are permitted");
    (first, proxies)
}

// Guards against a shutdown that ends the connections of proxies as a whole, with the calls that cross it.
#[test]
fn connections_of_proxies_are_closed_in_order_at_shutdown() {
    let mut fixture = fixture(&FRONTS, 256, serve);
    let mut grpc: Vec<_> =
        (1..=5).map(|_| Http2Client::connect(fixture.router.front("external_processing"))).collect();
    for (correlation_id, proxy) in (1..).zip(&mut grpc) {
        let stream = proxy.call(correlation_id);
        assert_eq!(proxy.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered);
        proxy.report(stream);
        proxy.end_stream(stream);
    }
    let mut plain = Proxy::connect(&fixture, Front::Plain);
    assert_eq!(plain.call(11), CallEnd::Answered);
    fixture.router.terminate();
    fixture.wait_for_log("stopping");
    let mut silent = grpc.pop().unwrap();
    silent.answers_pings = false;
    assert_eq!(silent.next_goaway(ANSWER_TIMEOUT), Some(ANNOUNCED));
    let stream = silent.call(20);
    assert_eq!(silent.wait_for(stream, ANSWER_TIMEOUT), CallEnd::Answered, "a call that crosses the close");
    silent.report(stream);
    silent.end_stream(stream);
    assert_eq!(silent.next_goaway(ANSWER_TIMEOUT), Some(stream));
    assert!(silent.ends_in_order(ANSWER_TIMEOUT));
    for mut proxy in grpc {
        assert_eq!(proxy.next_goaway(ANSWER_TIMEOUT), Some(ANNOUNCED));
        assert_eq!(proxy.next_goaway(ANSWER_TIMEOUT), Some(1));
        assert!(proxy.ends_in_order(ANSWER_TIMEOUT));
    }
    let Proxy::Plain(plain) = plain else { unreachable!("a connection over plain HTTP") };
    assert_eq!(end_of_wait(&plain), CallEnd::Closed);
    assert!(fixture.router.wait().success());
}

/// Waits until a connection on which nothing is expected ends.
fn end_of_wait(stream: &TcpStream) -> CallEnd {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    match stream.peek(&mut [0]) {
        Ok(0) => CallEnd::Closed,
        _ => CallEnd::Nothing,
    }
}

// Guards against the same fault while discovery is down and while the configuration is reloaded.
#[test]
fn resting_proxies_make_room_while_discovery_is_down_and_during_a_reload() {
    let fixture = fixture(&FRONTS, DESCRIPTORS, serve);
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    let stuck = FullBacklogCache::start();
    let mut configuration = configuration(stuck.address, entries(fixture.cache.address));
    configuration["limits"]["sockets"] = json!(DESCRIPTORS);
    fixture.router.reload(&configuration.to_string());
    let _down = FRONTS.map(|front| resting_proxies(&fixture, front, 1 + 1000 * front as u64));
    let next = ChangeStream::start();
    configuration["changelog"] = json!(next.address.to_string());
    fixture.router.reload(&configuration.to_string());
    let _reloaded = FRONTS.map(|front| resting_proxies(&fixture, front, 500 + 1000 * front as u64));
    assert_eq!(next.wait_for_subscriptions(1), [1], "a descriptor is left for the change stream");
}

// Guards against limits of single listeners that exceed the descriptors of the process together.
#[test]
fn all_listeners_together_stay_within_the_descriptors() {
    let allowed = 512;
    let fixture = fixture(&FRONTS, allowed, hang);
    let mut peak = 0;
    let mut sample = || peak = descriptors(fixture.router.pid()).max(peak);
    // More calls than the router may open connections to caches.
    let mut clients: Vec<_> = (0..12).map(|_| Client::connect(&fixture.router)).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        for seq in 1..=32 {
            client.send(&call(seq, &page(&format!("{:016x}", index * 32 + seq as usize), "3000"), b""));
        }
    }
    let mut others = Vec::new();
    for _ in 0..150 {
        others.push(Client::connect(&fixture.router).0);
        others.extend(FRONTS.map(|front| TcpStream::connect(fixture.router.front(front.key())).unwrap()));
        sample();
    }
    for client in &mut clients {
        (0..32).for_each(|_| assert!(is_rejected_or_failed(&client.reply().1)));
        sample();
    }
    assert!((300..=allowed).contains(&peak), "{peak} descriptors");
}

// Guards against a request head that arrives byte by byte and holds its connection for hours.
#[test]
fn a_request_head_over_plain_http_has_to_arrive_completely_in_time() {
    let fixture = fixture(&[Front::Plain], DESCRIPTORS, serve);
    let mut slow = TcpStream::connect(fixture.router.front("call")).unwrap();
    let begun = Instant::now();
    let call = plain_call(1);
    let mut bytes = call.as_bytes().chunks(1).cycle();
    slow.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    // Each byte arrives in time, and the head would take several times as long as it may.
    while slow.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
        let _ = slow.write_all(bytes.next().unwrap());
        assert!(begun.elapsed() < ANSWER_TIMEOUT, "the connection is open");
    }
}

/// Starts a router that is the only member of a fleet. Returns it with the addresses of its listener for peers
/// and of its operator's socket.
fn fleet_member(name: &str) -> (Router, SocketAddr, std::path::PathBuf) {
    let change_stream = ChangeStream::start();
    let operator = std::env::temp_dir().join(format!("tindoor-limits-{}-{name}.sock", std::process::id()));
    let listen = free_address();
    let fleet = json!({"name": "alone", "listen": listen, "operator": operator, "voters": 1});
    let mut configuration = configuration(change_stream.address, Vec::new());
    configuration["limits"]["sockets"] = json!(DESCRIPTORS);
    let start = StartOptions { fronts: Some(json!({ "fleet": fleet })), ..StartOptions::default() };
    let router = Router::start_with(&configuration, &start);
    until("the operator socket to exist", || operator.exists());
    (router, listen, operator)
}

// Guards against silent connections that keep the other routers of the fleet out.
#[test]
fn silent_connections_leave_room_for_those_of_peers() {
    let (router, listen, _operator) = fleet_member("peers");
    let _silent: Vec<_> = (0..120).map(|_| TcpStream::connect(listen).unwrap()).collect();
    let begun = Instant::now();
    while router.log.change(|log| !log.iter().any(|line| line.contains("frame longer than the limit"))) {
        assert!(begun.elapsed() < ANSWER_TIMEOUT, "no connection of a peer was read");
        let mut peer = TcpStream::connect(listen).unwrap();
        let _ = peer.write_all(b"tindoor-fleet 1 alone n1\n\xff\xff\xff\xff");
        std::thread::sleep(Duration::from_millis(100));
        assert!(descriptors(router.pid()) <= DESCRIPTORS);
    }
}

// Guards against commands that hold any number of descriptors, and against a command without an answer.
#[test]
fn silent_connections_to_the_operators_socket_stay_within_the_descriptors() {
    let (router, _listen, operator) = fleet_member("operator");
    let _silent: Vec<_> = (0..100).map(|_| UnixStream::connect(&operator).unwrap()).collect();
    let begun = Instant::now();
    while control_request(&operator, &json!("status")).is_err() {
        assert!(begun.elapsed() < ANSWER_TIMEOUT, "no command was answered");
    }
    assert!(descriptors(router.pid()) <= DESCRIPTORS);
}

// Guards against a limit for a whole message of a peer: one over a slow link was cut off and sent anew each time.
#[test]
fn a_message_of_a_peer_that_arrives_slowly_is_read_to_its_end() {
    const SIZE: u32 = 40;
    let (router, listen, _operator) = fleet_member("slow-message");
    let mut peer = TcpStream::connect(listen).unwrap();
    peer.write_all(b"tindoor-fleet 1 alone n1\n").unwrap();
    peer.write_all(&SIZE.to_be_bytes()).unwrap();
    for _ in 0..SIZE {
        // The message takes 4 s in all.
        std::thread::sleep(Duration::from_millis(100));
        let _ = peer.write_all(b"x");
    }
    // No message consists of such bytes, which shows once it is complete.
    router.log.wait("the message to be decoded", |log| {
        log.iter().any(|line| line.contains("frame can't be decoded as a message")).then_some(())
    });
}
