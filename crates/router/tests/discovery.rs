//! The discovery watch: endpoint lists, purges, reconnects, and a changed address of the change stream.

mod support;

use std::net::SocketAddr;

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn ids_of_removed_endpoints_are_reused() {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["settings"]["rules"]["warm_within"] = json!(1_000),
    );
    let mut client = Client::connect(&fixture.router);
    fixture.change_stream.wait_for_subscriptions(1);
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    let (address, mut seq) = (fixture.cache.address, 1);
    for round in 0..100 {
        let names = |phase| {
            (0..30)
                .map(|index| endpoint_entry(&format!("n-{round}-{index}"), address, "cache", phase))
                .collect()
        };
        fixture.change_stream.send(&endpoint_list_event(seq + 1, names("active")));
        fixture.change_stream.send(&endpoint_list_event(seq + 2, names("left")));
        seq += 2;
        fixture.wait_for_log(&format!("sequence: {seq},"));
        client.request(seq as i32, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq as i32, served_reply(b"x")));
    }
    let assigned_ids = |log: &mut Vec<String>| {
        let id_in = |line: &String| line.split_once(" slot=")?.1.split(' ').next()?.parse::<u32>().ok();
        let added = log.iter().filter(|line| line.contains("endpoint added"));
        Some(added.filter_map(id_in).collect::<Vec<_>>())
    };
    let assigned_ids = fixture.router.log.wait("the assigned ids", assigned_ids);
    assert_eq!(assigned_ids.len(), 3003);
    assert!(assigned_ids.iter().all(|id| *id < 200), "{:?}", assigned_ids.iter().max());
}

#[test]
fn a_draining_endpoint_gets_no_request_and_a_purge_limits_the_accepted_age() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&fixture.router);
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    fixture.change_stream.wait_for_subscriptions(1);
    let drained = endpoint_entry("c-1", fixture.cache.address, "cache", "leaving");
    let fresh = endpoint_entry("c-2", second.address, "cache", "active");
    let purge = json!({"seq": 3, "invalidate": {"object": OBJECT, "time": 1}});
    // An invalid line, the endpoint list, and the purge twice; sent in pieces of 7 bytes.
    let text = format!("not a line\n{}{purge}\n{purge}\n", endpoint_list_event(2, vec![drained, fresh]));
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    fixture.change_stream.send("{\"seq\":2,\"inval\n");
    assert_eq!(
        fixture.change_stream.wait_for_subscriptions(2),
        [1, 1],
        "the damaged line may have been a purge"
    );
    fixture.change_stream.send(&format!("{}\n", "x".repeat(2_000_000)));
    for piece in text.as_bytes().chunks(7) {
        fixture.change_stream.send(std::str::from_utf8(piece).unwrap());
    }
    let mut seq = 0;
    until("the list and the purge to be applied", || {
        seq += 1;
        client.request(seq, OBJECT);
        client.reply();
        second
            .received
            .change(|requests| requests.iter().any(|request| request.headers.contains_key("x-accept-age")))
    });
    let before = fixture.cache.count();
    client.request(seq + 1, OBJECT);
    assert_eq!(client.reply().1, served_reply(b"second"));
    assert_eq!(fixture.cache.count(), before);
}

#[test]
fn the_watch_reconnects_after_a_gap_a_close_and_silence() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    assert_eq!(fixture.change_stream.wait_for_subscriptions(1), [1]);
    let drained = || endpoint_entry("c-1", fixture.cache.address, "cache", "leaving");
    fixture.change_stream.send(&endpoint_list_event(5, vec![drained()]));
    assert_eq!(
        fixture.change_stream.wait_for_subscriptions(2),
        [1, 1],
        "event 5 follows event 1, so events are missing"
    );
    fixture.change_stream.disconnect();
    assert_eq!(fixture.change_stream.wait_for_subscriptions(3), [1, 1, 1]);
    fixture
        .change_stream
        .send(&endpoint_list_event(2, vec![endpoint_entry("c-9", fixture.cache.address, "cache", "left")]));
    fixture.change_stream.heartbeat.change(|heartbeat| *heartbeat = None);
    assert_eq!(
        fixture.change_stream.wait_for_subscriptions(4),
        [1, 1, 1, 2],
        "no heartbeat within the read timeout"
    );
}

#[test]
fn a_reload_moves_the_watch_which_continues_from_its_position() {
    let stuck = FullBacklogCache::start();
    let mut fixture = fixture(|_| Behavior::Hang);
    let mut client = Client::connect(&fixture.router);
    fixture.change_stream.wait_for_subscriptions(1);
    let (next, entries) =
        (ChangeStream::start(), vec![endpoint_entry("c-9", fixture.cache.address, "cache", "active")]);
    let file = |change_stream: SocketAddr| configuration(change_stream, entries.clone());
    fixture.router.reload("{ no");
    fixture.wait_for_log("not JSON");
    let mut bad = file(next.address);
    bad["changelog"] = json!("nowhere");
    fixture.router.reload(&bad.to_string());
    fixture.wait_for_log("changelog: \"nowhere\" is no address");
    // The connect to this address hangs; the next reload must not wait for it.
    fixture.router.reload(&file(stuck.address).to_string());
    fixture.wait_for_log("configuration reloaded");
    let mut moved = file(next.address);
    moved["limits"]["sockets"] = json!(500);
    fixture.router.reload(&moved.to_string());
    assert_eq!(next.wait_for_subscriptions(1), [1]);
    fixture.wait_for_log("key=\"limits\"");
    next.send(&endpoint_list_event(2, vec![endpoint_entry("c-1", fixture.cache.address, "cache", "left")]));
    fixture.wait_for_log("sequence: 2");
    // A reload is also applied during a shutdown, which an open request delays here.
    client.request(1, OBJECT);
    assert!(client.healthy(2));
    fixture.router.terminate();
    fixture.wait_for_log("stopping");
    let last = ChangeStream::start();
    fixture.router.reload(&file(last.address).to_string());
    assert!(fixture.router.wait().success());
}
