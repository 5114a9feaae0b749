//! Responses of endpoints, and the reuse of connections to them.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

/// The time within which a write may be sent again.
const RETRY_WINDOW: Duration = Duration::from_millis(600);
/// How long after a client's write the system has repeated a connect that a full backlog dropped (the first
/// repetition comes after 1 s), and the connection is established.
const LATE_CONNECT: Duration = Duration::from_secs(2);

#[test]
fn an_incomplete_or_malformed_response_is_never_forwarded() {
    let answers: Vec<Vec<u8>> = vec![
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nshort".to_vec(),
        b"HTTP/1.1 200 X\r\n\r\nno length".to_vec(),
        b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec(),
        b"HTTP/1.1 103 X\r\n\r\n".repeat(1000),
        b"HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n".to_vec(),
        b"what?\r\n\r\n".to_vec(),
        http_response(418, "", b"tea"),
        [b"HTTP/1.1 200 X\r\nX-Long: ".to_vec(), vec![b'a'; 20_000]].concat(),
    ];
    let next = AtomicUsize::new(0);
    let fixture = fixture(move |request| match answers.get(next.fetch_add(1, Ordering::Relaxed)) {
        Some(bytes) if request.request_line.contains(OBJECT) => Behavior::RespondAndClose(bytes.clone()),
        _ => Behavior::Respond(served(b"good")),
    });
    let mut client = Client::connect(&fixture.router);
    let mut unserved = 0;
    for seq in 1.. {
        client.request(seq, OBJECT);
        match client.reply() {
            (_, reply) if is_rejected_or_failed(&reply) => unserved += 1,
            reply => {
                assert_eq!(reply, (seq, served_reply(b"good")));
                break;
            }
        }
    }
    assert!(
        unserved <= 8 && fixture.cache.count() >= 9,
        "{unserved} unserved, {} requests",
        fixture.cache.count()
    );
}

#[test]
fn responses_with_interim_responses_or_surplus_bytes_are_forwarded() {
    let good = served(b"good");
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n".to_vec();
    let answers = [
        [interim.clone(), good.clone()].concat(),
        [good.clone(), good.clone()].concat(),
        [good.clone(), vec![0xff; 100]].concat(),
        [interim, http_response(304, "", b"")].concat(),
    ];
    let next = AtomicUsize::new(0);
    let fixture =
        fixture(move |_| Behavior::Respond(answers[next.fetch_add(1, Ordering::Relaxed) % 4].clone()));
    let mut client = Client::connect(&fixture.router);
    for seq in 1..=40 {
        client.request(seq, OBJECT);
        match (seq % 4, client.reply()) {
            (0, (_, Reply::Served { fields, .. })) => assert_eq!(fields["valid"], "1"),
            (_, reply) => assert_eq!(reply, (seq, served_reply(b"good"))),
        }
    }
    assert_eq!(fixture.cache.count(), 40, "no response was discarded");
}

#[test]
fn requests_are_retried_at_another_endpoint_after_a_refused_or_reset_connection() {
    let refusing = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let resetting = Cache::start(|_| Behavior::Reset);
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"good")),
        |configuration| {
            let entries = &mut configuration["known"]["results"][0]["fleet"]["members"];
            for (id, address) in [("c-2", refusing), ("c-3", resetting.address)] {
                entries.as_array_mut().unwrap().push(endpoint_entry(id, address, "cache", "active"));
            }
        },
    );
    let mut client = Client::connect(&fixture.router);
    for seq in 1..=30 {
        client.request(seq, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq, served_reply(b"good")));
    }
    assert!(resetting.count() > 0, "the resetting endpoint was tried");
    fixture.wait_for_log("Unreachable");
}

#[test]
fn idle_connections_are_closed_before_the_endpoint_closes_them() {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["settings"]["limits"]["conn_idle"] = json!(2_000_000),
    );
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, served_reply(b"x")));
    fixture.cache.closed.wait("the router to close", |closed| (*closed > 0).then_some(()));
}

#[test]
fn a_connection_closed_while_idle_is_not_used_for_non_idempotent_requests() {
    let fixture = fixture(|_| Behavior::RespondAndClose(served(b"x")));
    let mut client = Client::connect(&fixture.router);
    for seq in 1..=3 {
        let fields: Vec<_> =
            [("route", "orders")].into_iter().chain(page(OBJECT, "3000").into_iter().skip(1)).collect();
        client.send(&call(seq, &fields, b"order"));
        assert_eq!(
            client.reply(),
            (seq, served_reply(b"x")),
            "a request that failed on a reused connection could not be retried"
        );
        fixture.cache.closed.wait("the cache to close", |closed| (*closed >= seq as usize).then_some(()));
    }
    let request = fixture.cache.requests(3);
    assert_eq!(request.iter().map(|request| request.connection).collect::<Vec<_>>(), [0, 1, 2]);
}

#[test]
fn a_new_endpoint_at_the_address_of_a_removed_one_gets_new_connections() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    client.reply();
    fixture.change_stream.wait_for_subscriptions(1);
    let address = fixture.cache.address;
    let (old, new) =
        (endpoint_entry("c-1", address, "cache", "left"), endpoint_entry("c-2", address, "cache", "active"));
    fixture.change_stream.send(&endpoint_list_event(2, vec![old, new]));
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = Some(2));
    fixture.cache.closed.wait("the old connection to be closed", |closed| (*closed > 0).then_some(()));
    client.request(2, OBJECT);
    assert_eq!(client.reply(), (2, served_reply(b"x")));
    assert_eq!(fixture.cache.requests(2)[1].connection, 1);
}

// Guards against work that goes to the wrong place: a restarted cache that is taken for the process before it.
#[test]
fn a_restarted_endpoint_gets_new_connections() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    client.reply();
    fixture.change_stream.wait_for_subscriptions(1);
    let mut restarted = endpoint_entry("c-1", fixture.cache.address, "cache", "active");
    // Long ago, so that it is warm.
    restarted["up_since_ms"] = json!(1);
    fixture.change_stream.send(&endpoint_list_event(2, vec![restarted]));
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = Some(2));
    fixture.cache.closed.wait("the old connection to be closed", |closed| (*closed > 0).then_some(()));
    client.request(2, OBJECT);
    assert_eq!(client.reply(), (2, served_reply(b"x")));
    assert_eq!(fixture.cache.requests(2)[1].connection, 1);
}

#[test]
fn no_request_is_sent_on_a_connection_established_after_its_endpoint_was_removed() {
    let stuck = FullBacklogCache::start();
    let (fixture, mut client) = fixture_with_pending_connect(&stuck);
    let gone = endpoint_entry("c-1", stuck.address, "cache", "left");
    fixture.change_stream.send(&endpoint_list_event(
        2,
        vec![gone, endpoint_entry("c-2", fixture.cache.address, "cache", "active")],
    ));
    fixture.wait_for_log("sequence: 2");
    let requests = stuck.open();
    assert_eq!(client.reply(), (1, served_reply(b"other")));
    assert_eq!(requests.change(|requests| requests.clone()), [""; 0]);
}

#[test]
fn a_write_is_not_sent_again_on_a_connection_established_after_its_retry_window() {
    let mut origin = FullBacklogCache::start_unfilled();
    let fixture = fixture_with(
        |_| Behavior::Hang,
        |configuration| {
            configuration["settings"]["limits"]["connect_timeout"] = json!(60_000_000);
            configuration["settings"]["request_classes"][1]["window"] =
                json!(RETRY_WINDOW.as_micros() as u64);
            let entries = &mut configuration["known"]["results"][0]["fleet"]["members"];
            entries[2]["host_port"] = json!(origin.address.to_string());
        },
    );
    let mut client = Client::connect(&fixture.router);
    let fields = [("route", "saves"), ("nonce", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")];
    let fields: Vec<_> = fields.into_iter().chain(page(OBJECT, "3000").into_iter().skip(1)).collect();
    let sent_at = Instant::now();
    client.send(&call(1, &fields, b"write"));
    origin.break_off_request();
    origin.wait_for_connect();
    assert!(sent_at.elapsed() < RETRY_WINDOW, "the retry began after the window");
    thread::sleep(RETRY_WINDOW.saturating_sub(sent_at.elapsed()));
    let requests = origin.open();
    let reply = client.reply();
    assert!(matches!(reply, (1, Reply::Rejected(_))), "{reply:?}");
    assert!(sent_at.elapsed() < LATE_CONNECT, "rejected after {:?}", sent_at.elapsed());
    thread::sleep(LATE_CONNECT.saturating_sub(sent_at.elapsed()));
    assert_eq!(requests.change(|requests| requests.clone()), [""; 0]);
}

#[test]
fn a_request_on_a_connection_established_after_a_purge_accepts_no_older_copy() {
    let stuck = FullBacklogCache::start();
    let (fixture, mut client) = fixture_with_pending_connect(&stuck);
    let purge = json!({"seq": 2, "invalidate": {"object": OBJECT, "time": 1}});
    fixture.change_stream.send(&format!("{purge}\n"));
    fixture.wait_for_log("sequence: 2");
    let requests = stuck.open();
    assert_eq!(client.reply(), (1, served_reply(b"stuck")));
    let requests = requests.change(|requests| requests.clone());
    assert!(requests.iter().all(|request| request.contains("X-Accept-Age")), "{requests:?}");
}
