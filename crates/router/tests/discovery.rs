//! The discovery watch: endpoint list and purges, reconnects, and a new address of the change stream.

mod support;

use std::net::SocketAddr;

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn endpoint_ids_are_reused_after_thousands_of_endpoints_came_and_went() {
    let world = world_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["settings"]["rules"]["warm_within"] = json!(1_000),
    );
    let mut client = Client::connect(&world.router);
    world.log.wait_for_subscriptions(1);
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    let (address, mut seq) = (world.cache.address, 1);
    for round in 0..100 {
        let names = |phase| {
            (0..30)
                .map(|index| endpoint_entry(&format!("n-{round}-{index}"), address, "cache", phase))
                .collect()
        };
        world.log.send(&fleet(seq + 1, names("active")));
        world.log.send(&fleet(seq + 2, names("left")));
        seq += 2;
        world.heeds(&format!("sequence: {seq},"));
        client.request(seq as i32, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq as i32, done(b"x")));
    }
    let numbers = |log: &mut Vec<String>| {
        let number = |line: &String| line.split_once(" slot=")?.1.split(' ').next()?.parse::<u32>().ok();
        let new = log.iter().filter(|line| line.contains("endpoint added"));
        Some(new.filter_map(number).collect::<Vec<_>>())
    };
    let numbers = world.router.log.wait("the numbers", numbers);
    assert_eq!(numbers.len(), 3003);
    assert!(numbers.iter().all(|no| *no < 200), "{:?}", numbers.iter().max());
}

#[test]
fn a_draining_endpoint_gets_no_request_and_a_purge_bounds_the_age() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&world.router);
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    world.log.wait_for_subscriptions(1);
    let drained = endpoint_entry("c-1", world.cache.address, "cache", "leaving");
    let fresh = endpoint_entry("c-2", second.address, "cache", "active");
    let purge = json!({"seq": 3, "invalidate": {"object": OBJECT, "time": 1}});
    // Cut anywhere, with a line that can't be read and a repeat between.
    let text = format!("not a line\n{}{purge}\n{purge}\n", fleet(2, vec![drained, fresh]));
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    world.log.send("{\"seq\":2,\"inval\n");
    assert_eq!(world.log.wait_for_subscriptions(2), [1, 1], "it may have been a purge");
    world.log.send(&format!("{}\n", "x".repeat(2_000_000)));
    for piece in text.as_bytes().chunks(7) {
        world.log.send(std::str::from_utf8(piece).unwrap());
    }
    let mut seq = 0;
    until("the list and the purge to be heeded", || {
        seq += 1;
        client.request(seq, OBJECT);
        client.reply();
        second.received.change(|seen| seen.iter().any(|seen| seen.headers.contains_key("x-accept-age")))
    });
    let before = world.cache.count();
    client.request(seq + 1, OBJECT);
    assert_eq!(client.reply().1, done(b"second"));
    assert_eq!(world.cache.count(), before);
}

#[test]
fn the_watch_reconnects_after_a_gap_a_close_and_silence() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    assert_eq!(world.log.wait_for_subscriptions(1), [1]);
    let drained = || endpoint_entry("c-1", world.cache.address, "cache", "leaving");
    world.log.send(&fleet(5, vec![drained()]));
    assert_eq!(world.log.wait_for_subscriptions(2), [1, 1], "event 5 after 1: something is missing");
    world.log.disconnect();
    assert_eq!(world.log.wait_for_subscriptions(3), [1, 1, 1]);
    world.log.send(&fleet(2, vec![endpoint_entry("c-9", world.cache.address, "cache", "left")]));
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    assert_eq!(world.log.wait_for_subscriptions(4), [1, 1, 1, 2], "silent for longer than its beat allows");
}

#[test]
fn a_reload_moves_the_watch_which_goes_on_from_its_position() {
    let stuck = FullBacklogCache::start();
    let mut world = world(|_| Behavior::Hang);
    let mut client = Client::connect(&world.router);
    world.log.wait_for_subscriptions(1);
    let (next, members) =
        (ChangeStream::start(), vec![endpoint_entry("c-9", world.cache.address, "cache", "active")]);
    let file = |log: SocketAddr| configuration(log, members.clone());
    world.router.reload("{ no");
    world.heeds("not JSON");
    let mut bad = file(next.address);
    bad["changelog"] = json!("nowhere");
    world.router.reload(&bad.to_string());
    world.heeds("changelog: \"nowhere\" is no address");
    // The connect to this one hangs for longer than the news may take.
    world.router.reload(&file(stuck.address).to_string());
    world.heeds("configuration reloaded");
    let mut moved = file(next.address);
    moved["limits"]["sockets"] = json!(500);
    world.router.reload(&moved.to_string());
    assert_eq!(next.wait_for_subscriptions(1), [1]);
    world.heeds("key=\"limits\"");
    next.send(&fleet(2, vec![endpoint_entry("c-1", world.cache.address, "cache", "left")]));
    world.heeds("sequence: 2");
    // Also while it stops, which a request of the longest deadline holds up.
    client.request(1, OBJECT);
    assert!(client.healthy(2));
    world.router.terminate();
    world.heeds("stopping");
    let last = ChangeStream::start();
    world.router.reload(&file(last.address).to_string());
    assert!(world.router.wait().success());
}
