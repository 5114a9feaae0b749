//! Responses of endpoints, and when connections to them are used again.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

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
    let world = world(move |seen| match answers.get(next.fetch_add(1, Ordering::Relaxed)) {
        Some(bytes) if seen.request_line.contains(OBJECT) => Behavior::RespondAndClose(bytes.clone()),
        _ => Behavior::Respond(served(b"good")),
    });
    let mut client = Client::connect(&world.router);
    let mut over = 0;
    for seq in 1.. {
        client.request(seq, OBJECT);
        match client.reply() {
            (_, reply) if is_over(&reply) => over += 1,
            reply => {
                assert_eq!(reply, (seq, done(b"good")));
                break;
            }
        }
    }
    assert!(over <= 8 && world.cache.count() >= 9, "{over} over, {} requests", world.cache.count());
}

#[test]
fn interim_responses_and_surplus_bytes_cost_no_response() {
    let good = served(b"good");
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n".to_vec();
    let answers = [
        [interim.clone(), good.clone()].concat(),
        [good.clone(), good.clone()].concat(),
        [good.clone(), vec![0xff; 100]].concat(),
        [interim, http_response(304, "", b"")].concat(),
    ];
    let next = AtomicUsize::new(0);
    let world = world(move |_| Behavior::Respond(answers[next.fetch_add(1, Ordering::Relaxed) % 4].clone()));
    let mut client = Client::connect(&world.router);
    for seq in 1..=40 {
        client.request(seq, OBJECT);
        match (seq % 4, client.reply()) {
            (0, (_, Reply::Served { fields, .. })) => assert_eq!(fields["valid"], "1"),
            (_, reply) => assert_eq!(reply, (seq, done(b"good"))),
        }
    }
    assert_eq!(world.cache.count(), 40, "none was thrown away");
}

#[test]
fn endpoints_that_refuse_or_reset_cost_an_attempt_and_not_the_answer() {
    let refusing = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let resetting = Cache::start(|_| Behavior::Reset);
    let world = world_with(
        |_| Behavior::Respond(served(b"good")),
        |configuration| {
            let members = &mut configuration["known"]["results"][0]["fleet"]["members"];
            for (id, address) in [("c-2", refusing), ("c-3", resetting.address)] {
                members.as_array_mut().unwrap().push(endpoint_entry(id, address, "cache", "active"));
            }
        },
    );
    let mut client = Client::connect(&world.router);
    for seq in 1..=30 {
        client.request(seq, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq, done(b"good")));
    }
    assert!(resetting.count() > 0, "it was tried");
    world.heeds("Unreachable");
}

#[test]
fn idle_connections_are_closed_before_the_endpoint_closes_them() {
    let world = world_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["settings"]["limits"]["conn_idle"] = json!(2_000_000),
    );
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, done(b"x")));
    world.cache.closed.wait("the router to close", |closed| (*closed > 0).then_some(()));
}

#[test]
fn a_connection_closed_while_idle_is_not_used_for_non_idempotent_requests() {
    let world = world(|_| Behavior::RespondAndClose(served(b"x")));
    let mut client = Client::connect(&world.router);
    for seq in 1..=3 {
        let fields: Vec<_> =
            [("route", "orders")].into_iter().chain(page(OBJECT, "3000").into_iter().skip(1)).collect();
        client.send(&call(seq, &fields, b"order"));
        assert_eq!(client.reply(), (seq, done(b"x")), "else it may have run, and is written off");
        world.cache.closed.wait("the cache to close", |closed| (*closed >= seq as usize).then_some(()));
    }
    let seen = world.cache.requests(3);
    assert_eq!(seen.iter().map(|seen| seen.connection).collect::<Vec<_>>(), [0, 1, 2]);
}

#[test]
fn a_new_endpoint_at_the_address_of_a_removed_one_gets_new_connections() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    client.reply();
    world.log.wait_for_subscriptions(1);
    let address = world.cache.address;
    let (old, new) =
        (endpoint_entry("c-1", address, "cache", "left"), endpoint_entry("c-2", address, "cache", "active"));
    world.log.send(&fleet(2, vec![old, new]));
    world.log.heartbeat.change(|heartbeat| *heartbeat = Some(2));
    world.cache.closed.wait("the old connection to go", |closed| (*closed > 0).then_some(()));
    client.request(2, OBJECT);
    assert_eq!(client.reply(), (2, done(b"x")));
    assert_eq!(world.cache.requests(2)[1].connection, 1);
}

#[test]
fn a_connect_that_hangs_past_a_drain_sends_nothing() {
    let stuck = FullBacklogCache::start();
    let (world, mut client) = stuck_world(&stuck);
    let gone = endpoint_entry("c-1", stuck.address, "cache", "left");
    world.log.send(&fleet(2, vec![gone, endpoint_entry("c-2", world.cache.address, "cache", "active")]));
    world.heeds("sequence: 2");
    let asked = stuck.open();
    assert_eq!(client.reply(), (1, done(b"other")));
    assert_eq!(asked.change(|asked| asked.clone()), [""; 0]);
}

#[test]
fn a_connect_that_hangs_past_a_purge_accepts_no_older_copy() {
    let stuck = FullBacklogCache::start();
    let (world, mut client) = stuck_world(&stuck);
    let purge = json!({"seq": 2, "invalidate": {"object": OBJECT, "time": 1}});
    world.log.send(&format!("{purge}\n"));
    world.heeds("sequence: 2");
    let asked = stuck.open();
    assert_eq!(client.reply(), (1, done(b"stuck")));
    let asked = asked.change(|asked| asked.clone());
    assert!(asked.iter().all(|asked| asked.contains("X-Accept-Age")), "{asked:?}");
}
