//! Races between two events: something arrives just as the router closes a connection, shuts down, waits, or
//! learns of a change. Each race is forced by what a scripted peer has read or written, or by pausing the
//! router process so that it finds both events at once.

mod support;

use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

const OTHER: &str = "00000000000000aa";

/// Returns a body of the maximum length of a response, 240 000 bytes.
fn long_body() -> Vec<u8> {
    (0..240_000u32).map(|i| (i * 7 % 251) as u8).collect()
}

/// Starts a fixture with few descriptors, in which every object has the long body.
fn fixture_with_long_answers() -> Fixture {
    let bytes = served(&long_body());
    fixture_with(
        move |_| Behavior::Respond(bytes.clone()),
        |configuration| configuration["limits"]["sockets"] = json!(64),
    )
}

/// Connects a client whose long reply the router has written, but which is still mostly in the system's
/// buffers.
fn client_with_unread_reply(fixture: &Fixture) -> Client {
    let mut client = Client::connect_small(&fixture.router);
    client.request(1, OBJECT);
    fixture.wait_for_log(" ended ");
    client
}

impl Fixture {
    /// Waits until `time` has passed since an instant, for behaviour that depends on time.
    fn wait_until_elapsed(&self, since: Instant, time: Duration) {
        while since.elapsed() < time {
            std::thread::sleep(time.saturating_sub(since.elapsed()));
        }
    }

    /// Sends a stop signal, waits until the shutdown has begun, and returns the current time.
    fn begin_shutdown(&self) -> Instant {
        self.router.terminate();
        self.wait_for_log("stopping");
        Instant::now()
    }
}

#[test]
fn a_call_sent_during_the_close_of_an_idle_connection_destroys_no_reply_and_is_not_forwarded() {
    let fixture = fixture_with_long_answers();
    let mut client = client_with_unread_reply(&fixture);
    // Other clients that have sent calls and have been idle for a shorter time. Of the 64 descriptors, 21 are
    // for clients, of which 2 are kept free: the nineteenth connection causes the first one to be closed.
    let mut others: Vec<_> = (0..18).map(|_| Client::connect(&fixture.router)).collect();
    others.iter_mut().for_each(|other| assert!(other.healthy(1)));
    fixture.wait_for_log("client connection closed");
    client.request(2, OTHER);
    assert_eq!(client.reply(), (1, served_reply(&long_body())));
    assert!(client.ends_in_order(), "without a reset");
    let other = others.last_mut().unwrap();
    other.request(3, OTHER);
    assert_eq!(other.reply(), (3, served_reply(&long_body())));
    assert_eq!(fixture.cache.count(), 2, "the call after the close was not forwarded");
}

#[test]
fn a_call_sent_during_the_close_at_shutdown_destroys_no_reply_and_is_not_forwarded() {
    let mut fixture = fixture_with_long_answers();
    let mut client = client_with_unread_reply(&fixture);
    fixture.begin_shutdown();
    fixture.wait_for_log("client connection closed");
    fixture.router.pause(true);
    client.request(2, OTHER);
    fixture.router.pause(false);
    assert_eq!(client.reply(), (1, served_reply(&long_body())));
    assert!(client.ends_in_order(), "without a reset");
    assert!(fixture.router.wait().success());
    assert_eq!(fixture.cache.count(), 1, "the call after the close was not forwarded");
}

#[test]
fn calls_in_the_system_buffers_at_shutdown_are_answered() {
    let mut fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut idle = Client::connect(&fixture.router);
    idle.request(1, OBJECT);
    assert_eq!(idle.reply(), (1, served_reply(b"x")));
    let stopping_since = fixture.begin_shutdown();
    // A call on an idle connection, and one on a connection that is not accepted yet.
    fixture.router.pause(true);
    idle.request(2, OTHER);
    let mut waiting = Client::connect(&fixture.router);
    waiting.request(1, "00000000000000ab");
    fixture.wait_until_elapsed(stopping_since, Duration::from_millis(1200));
    fixture.router.pause(false);
    assert_eq!(idle.reply(), (2, served_reply(b"x")));
    assert_eq!(waiting.reply(), (1, served_reply(b"x")));
    assert!(idle.ends_in_order() && waiting.ends_in_order());
    assert!(fixture.router.wait().success());
}

#[test]
fn an_incomplete_frame_at_shutdown_is_awaited_and_answered() {
    let mut fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&fixture.router);
    let frame = call(1, &page(OBJECT, "3000"), b"");
    client.send(&frame[..30]);
    let mut other = Client::connect(&fixture.router);
    assert!(other.healthy(1));
    let stopping_since = fixture.begin_shutdown();
    // Beyond the minimum duration of a shutdown, the router still serves calls that have begun to arrive.
    fixture.wait_until_elapsed(stopping_since, Duration::from_millis(1200));
    client.send(&frame[30..]);
    assert_eq!(client.reply(), (1, served_reply(b"x")));
    assert!(client.ends_in_order());
    assert!(fixture.router.wait().success());
}

#[test]
fn idle_connections_are_closed_without_a_reset_at_shutdown() {
    let mut fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut idle: Vec<_> = (0..20).map(|_| Client::connect(&fixture.router)).collect();
    idle.iter_mut().for_each(|client| assert!(client.healthy(1)));
    fixture.begin_shutdown();
    for mut client in idle {
        assert!(client.ends_in_order());
    }
    // Every client has closed its side by now, so the router has nothing to wait for.
    assert!(fixture.router.wait().success());
}

#[test]
fn a_connection_established_as_the_client_disconnects_carries_no_request() {
    let stuck = FullBacklogCache::start();
    let (fixture, client) = fixture_with_pending_connect(&stuck);
    fixture.router.pause(true);
    drop(client);
    let requests = stuck.open();
    stuck.accepted.wait("the connection to be established", |count| (*count > 0).then_some(()));
    fixture.router.pause(false);
    fixture.wait_for_log(" ended ");
    let mut other = Client::connect(&fixture.router);
    other.request(1, OTHER);
    assert_eq!(other.reply(), (1, served_reply(b"stuck")));
    let requests = requests.change(|requests| requests.clone());
    assert!(requests.iter().all(|request| !request.contains(OBJECT)), "{requests:?}");
}

#[test]
fn a_connection_established_as_the_call_is_cancelled_carries_no_request() {
    let stuck = FullBacklogCache::start();
    let (fixture, mut client) = fixture_with_pending_connect(&stuck);
    fixture.router.pause(true);
    client.cancel(1);
    let requests = stuck.open();
    stuck.accepted.wait("the connection to be established", |count| (*count > 0).then_some(()));
    fixture.router.pause(false);
    fixture.wait_for_log(" ended ");
    client.request(3, OTHER);
    assert_eq!(client.reply(), (3, served_reply(b"stuck")));
    let requests = requests.change(|requests| requests.clone());
    assert!(requests.iter().all(|request| !request.contains(OBJECT)), "{requests:?}");
}

/// Asserts that no retry is sent when the router finds two events at once: an error response, after which it
/// would retry a read, and `client_action`, which ends the client's wait.
fn assert_error_is_not_retried_after(client_action: impl FnOnce(&mut Client)) {
    let gate = Watched::default();
    let held = gate.clone();
    let fixture = fixture(move |request| match request.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), http_response(500, "", b"")),
        false => Behavior::Respond(served(b"x")),
    });
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    fixture.router.pause(true);
    client_action(&mut client);
    gate.release();
    fixture.cache.released.wait("the error to be written", |count| (*count > 0).then_some(()));
    fixture.router.pause(false);
    fixture.wait_for_log(" ended ");
    // The backoff before another attempt is at most 20 ms.
    fixture.wait_until_elapsed(Instant::now(), Duration::from_millis(200));
    let mut other = Client::connect(&fixture.router);
    other.request(1, OTHER);
    assert_eq!(other.reply(), (1, served_reply(b"x")));
    assert_eq!(fixture.cache.count(), 2, "one request for each call");
}

#[test]
fn an_error_that_arrives_as_the_client_disconnects_is_not_retried() {
    assert_error_is_not_retried_after(|client| client.0.shutdown(std::net::Shutdown::Both).unwrap());
}

#[test]
fn an_error_that_arrives_as_the_call_is_cancelled_is_not_retried() {
    assert_error_is_not_retried_after(|client| client.cancel(1));
}

#[test]
fn no_further_attempt_is_sent_for_a_client_that_reads_no_replies_and_closes_its_side() {
    let gate = Watched::default();
    let held = gate.clone();
    // The error response would cause a retry of the read.
    let fixture = fixture(move |request| match request.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), http_response(500, "", b"")),
        false => Behavior::Respond(served(b"x")),
    });
    let mut client = Client::connect_small(&fixture.router);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    // Requests far more replies than the buffers hold, so that the router stops reading and can't see the
    // close behind the unread calls.
    client.0.set_nonblocking(true).unwrap();
    let calls = frame(1, "health", 2, &[2, 0, 1, 1, 0]).repeat(1000);
    let start = Instant::now();
    let mut last_write = Instant::now();
    while last_write.elapsed() < Duration::from_millis(300) {
        match client.0.write(&calls) {
            Ok(_) => last_write = Instant::now(),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        assert!(start.elapsed() < Duration::from_secs(60));
    }
    client.0.shutdown(std::net::Shutdown::Write).unwrap();
    gate.release();
    // The first attempt ends, and each further one is superseded without having been sent.
    let superseded = |log: &mut Vec<String>| log.iter().filter(|line| line.contains("Superseded")).count();
    fixture.router.log.wait("a further attempt to be superseded", |log| (superseded(log) > 0).then_some(()));
    assert_eq!(fixture.cache.count(), 1);
}

#[test]
fn open_calls_are_answered_before_an_unreadable_frame_closes_the_connection() {
    let fixture = fixture(|request| {
        if request.request_line.contains(OBJECT) { Behavior::Hang } else { Behavior::Respond(served(b"x")) }
    });
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    client.send(&[0xff; 8]);
    let (seq, reply) = client.reply();
    assert!(seq == 1 && is_rejected_or_failed(&reply), "{reply:?}");
    assert!(client.ends_in_order());
    fixture.cache.closed.wait("the attempt to be abandoned", |closed| (*closed > 0).then_some(()));
}

#[test]
fn an_unreadable_frame_does_not_truncate_a_reply_that_is_being_written() {
    let bytes = served(&long_body());
    let fixture = fixture(move |_| Behavior::Respond(bytes.clone()));
    let mut client = Client::connect_small(&fixture.router);
    let mut sender = client.0.try_clone().unwrap();
    (1..=8).for_each(|seq| client.request(seq, &format!("{seq:016x}")));
    // The first bytes of the replies have arrived; the replies are far longer than the system's buffers.
    client.0.peek(&mut [0]).unwrap();
    sender.write_all(&[0xff; 8]).unwrap();
    for _ in 1..=8 {
        let (_, reply) = client.reply();
        assert!(reply == served_reply(&long_body()) || is_rejected_or_failed(&reply));
    }
    assert!(client.ends_in_order());
}

#[test]
fn the_watch_reconnects_if_bytes_arrive_without_completing_a_line() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    // Bytes keep arriving, but no line is completed.
    until("the router to reconnect", || {
        fixture.change_stream.send(" ");
        std::thread::sleep(Duration::from_millis(200));
        fixture.change_stream.subscriptions.change(|subscriptions| subscriptions.len() > 1)
    });
    fixture
        .change_stream
        .send(&endpoint_list_event(2, vec![endpoint_entry("c-9", fixture.cache.address, "cache", "active")]));
    fixture.wait_for_log("sequence: 2");
}

#[test]
fn a_complete_list_that_arrives_late_does_not_undo_later_changes() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    let (old, new) = (endpoint_entry("c-1", fixture.cache.address, "cache", "leaving"), |phase| {
        endpoint_entry("c-2", second.address, "cache", phase)
    });
    fixture.change_stream.send(&endpoint_list_event(2, vec![old, new("active")]));
    fixture.wait_for_log("sequence: 2");
    let active = endpoint_entry("c-1", fixture.cache.address, "cache", "active");
    let late = json!({"seq": 1, "fleet": {"revision": 1, "complete": true, "members": [active]}});
    fixture.change_stream.send(&format!("{late}\n{}", endpoint_list_event(3, vec![new("active")])));
    fixture.wait_for_log("sequence: 3");
    let mut client = Client::connect(&fixture.router);
    for seq in 1..=20 {
        client.request(seq, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq, served_reply(b"second")));
    }
    // A complete list with the next sequence number is applied: endpoints that it doesn't list are removed.
    let third = Cache::start(|_| Behavior::Respond(served(b"third")));
    let entries = vec![endpoint_entry("c-3", third.address, "cache", "active")];
    let complete = json!({"seq": 4, "fleet": {"revision": 4, "complete": true, "members": entries}});
    fixture.change_stream.send(&format!("{complete}\n"));
    fixture.wait_for_log("sequence: 4");
    client.request(21, OBJECT);
    assert_eq!(client.reply(), (21, served_reply(b"third")));
    assert_eq!(fixture.cache.count(), 0);
}

#[test]
fn a_reload_in_the_middle_of_a_line_neither_loses_nor_repeats_an_event() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    let drained = endpoint_entry("c-1", fixture.cache.address, "cache", "leaving");
    let event =
        endpoint_list_event(2, vec![drained, endpoint_entry("c-2", second.address, "cache", "active")]);
    fixture.change_stream.send(&event[..40]);
    let next = ChangeStream::start();
    let entries: Vec<Value> = Vec::new();
    fixture.router.reload(&configuration(next.address, entries).to_string());
    assert_eq!(next.wait_for_subscriptions(1), [1], "from the last complete event");
    // The rest of the line from the old change stream must be ignored.
    fixture.change_stream.send(&event[40..]);
    next.send(&event);
    fixture.wait_for_log("sequence: 2");
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    assert_eq!(
        client.reply(),
        (1, served_reply(b"second")),
        "a drain that arrives right after a reload is applied"
    );
    let applied = |log: &mut Vec<String>| log.iter().filter(|line| line.contains("sequence: 2")).count();
    assert_eq!(fixture.router.log.change(applied), 1);
}

#[test]
fn a_router_becomes_ready_once_the_previous_instance_releases_its_address() {
    let (cache, change_stream) = (Cache::start(|_| Behavior::Respond(served(b"x"))), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Hang);
    let entries = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", origin.address, "parent", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    let router =
        Router::start_at(&configuration(change_stream.address, entries), previous.local_addr().unwrap());
    let logged = |word: &'static str| {
        router.log.wait("the router's log", |log| log.iter().any(|line| line.contains(word)).then_some(()));
    };
    logged("in use");
    drop(previous);
    logged("ready");
    let mut client = Client::connect(&router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, served_reply(b"x")));
}

#[test]
fn a_router_that_waits_for_its_address_exits_on_a_stop_signal() {
    let previous = TcpListener::bind("127.0.0.1:0").unwrap();
    let change_stream = ChangeStream::start();
    let mut router =
        Router::start_at(&configuration(change_stream.address, Vec::new()), previous.local_addr().unwrap());
    router.log.wait("the wait to begin", |log| log.iter().any(|line| line.contains("in use")).then_some(()));
    router.terminate();
    assert!(router.wait().success());
}

/// Guards against making room so slowly that connections behind many idle ones are refused: one place was made in
/// 10 ms at most, and those that had waited for 2 s were refused.
#[test]
fn clients_behind_three_hundred_idle_ones_are_answered_and_none_is_refused() {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["limits"]["sockets"] = json!(64),
    );
    let _idle: Vec<_> = (0..300).map(|_| Client::connect(&fixture.router)).collect();
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, served_reply(b"x")));
    let refused = |log: &mut Vec<String>| log.iter().any(|line| line.contains("connection refused"));
    assert!(!fixture.router.log.change(refused));
}

#[test]
fn idle_clients_leave_descriptors_for_the_change_stream_and_for_caches() {
    let cache = Cache::start(|_| Behavior::Respond(served(b"x")));
    let entries = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", cache.address, "parent", "active"),
        endpoint_entry("o-1", cache.address, "origin", "active"),
    ];
    // The change stream is unavailable: connects to its address hang.
    let stuck = FullBacklogCache::start();
    let router = Router::start_with(
        &configuration(stuck.address, entries.clone()),
        &StartOptions { descriptors: Some(64), ..StartOptions::default() },
    );
    let mut idle: Vec<_> = (0..200).map(|_| Client::connect(&router)).collect();
    let mut client = Client::connect(&router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, served_reply(b"x")), "a connection to a cache is possible");
    let change_stream = ChangeStream::start();
    router.reload(&configuration(change_stream.address, entries).to_string());
    assert_eq!(change_stream.wait_for_subscriptions(1), [1], "and one to the change stream, once available");
    client.request(2, OTHER);
    assert_eq!(client.reply(), (2, served_reply(b"x")));
    let open_descriptors = descriptors(router.pid());
    assert!(open_descriptors <= 64, "{open_descriptors}");
    idle.iter_mut().take(10).for_each(|client| assert!(client.reply_or_end().is_none()));
}
