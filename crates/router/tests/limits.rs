//! Descriptors, memory and connections at their limits.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn thousands_of_requests_and_connections_leak_no_descriptor() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    let before = descriptors(world.router.pid());
    for round in 0..2000 {
        let mut client = Client::connect(&world.router);
        client.request(1, &format!("{round:016x}"));
        // Some leave before their answer.
        if round % 3 > 0 {
            assert_eq!(client.reply(), (1, done(b"x")));
        }
        // A connection to the cache is not reused for 30 ms: at most 15 requests come in that time.
        std::thread::sleep(Duration::from_millis(2));
    }
    // A few connections to the cache stay for the next requests.
    until("what was opened to be closed", || descriptors(world.router.pid()) <= before + 20);
    let mut client = Client::connect(&world.router);
    assert!(client.healthy(1));
}

#[test]
fn requests_are_answered_where_the_system_allows_fewer_descriptors_than_configured() {
    let (cache, log) = (Cache::start(|_| Behavior::Hang), ChangeStream::start());
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", cache.address, "parent", "active"),
        endpoint_entry("o-1", cache.address, "origin", "active"),
    ];
    let router = Router::start_with(
        &configuration(log.address, members),
        &StartOptions { descriptors: Some(40), ..StartOptions::default() },
    );
    let _idle: Vec<_> = (0..60).map(|_| Client::connect(&router)).collect();
    let mut client = Client::connect(&router);
    for seq in 1..=32 {
        client.send(&call(seq, &page(&format!("{seq:016x}"), "2000"), b""));
    }
    (0..32).for_each(|_| assert!(is_over(&client.reply().1)));
    assert!(client.healthy(33));
}

#[test]
fn silent_and_incomplete_connections_are_closed_and_active_ones_may_stay_idle() {
    let world = world_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["limits"]["sockets"] = json!(100),
    );
    // Far more than there is room for: the silent ones make it for each other, and for those that ask.
    let mut silent: Vec<_> = (0..200).map(|_| Client::connect(&world.router)).collect();
    let mut late = Client::connect(&world.router);
    late.request(1, OBJECT);
    assert_eq!(late.reply(), (1, done(b"x")));
    late.send(&call(2, &page(OBJECT, "3000"), b"")[..30]);
    let mut client = Client::connect(&world.router);
    assert!(client.healthy(1));
    silent.iter_mut().for_each(|client| assert_eq!(client.reply_or_end(), None));
    assert_eq!(late.reply_or_end(), None);
    assert!(client.healthy(2));
}

#[test]
fn descriptors_stay_within_their_limit_while_endpoints_hang() {
    burst_within_descriptors(None);
}

#[test]
fn descriptors_stay_within_their_limit_while_connects_hang() {
    let stuck = FullBacklogCache::start();
    burst_within_descriptors(Some(stuck.address));
}

/// More requests than connections to a cache that never answers, or never lets one come up.
fn burst_within_descriptors(address: Option<SocketAddr>) {
    let world = world_with(
        |_| Behavior::Hang,
        |configuration| {
            configuration["limits"]["sockets"] = json!(100);
            if let Some(address) = address {
                let members = &mut configuration["known"]["results"][0]["fleet"]["members"];
                members[0]["host_port"] = json!(address.to_string());
            }
        },
    );
    let (most, over) = (Watched::<usize>::default(), Watched::<bool>::default());
    let (sampled, ended, pid) = (most.clone(), over.clone(), world.router.pid());
    let sampler = std::thread::spawn(move || {
        while !ended.change(|over| *over) {
            let now = descriptors(pid);
            sampled.change(|most| *most = now.max(*most));
        }
    });
    // A third for clients: the idle ones make room for the new.
    let _idle: Vec<_> = (0..60).map(|_| Client::connect(&world.router)).collect();
    let mut busy: Vec<_> = (0..4).map(|_| Client::connect(&world.router)).collect();
    for (index, client) in busy.iter_mut().enumerate() {
        for seq in 1..=32 {
            client.send(&call(seq, &page(&format!("{:016x}", index * 32 + seq as usize), "3000"), b""));
        }
    }
    // More than the connections to caches: all get their answer, the last ones without having been sent.
    for client in &mut busy {
        (0..32).for_each(|_| assert!(is_over(&client.reply().1)));
    }
    assert!(Client::connect(&world.router).healthy(1));
    over.release();
    sampler.join().unwrap();
    let most = most.change(|most| *most);
    assert!((40..=100).contains(&most), "{most} descriptors");
}

#[test]
fn slow_readers_are_disconnected_and_memory_stays_bounded() {
    let bytes = served(&vec![1; 240_000]);
    let world = world_with(
        move |_| Behavior::Respond(bytes.clone()),
        |configuration| configuration["limits"]["memory_mb"] = json!(32),
    );
    let mut slow: Vec<_> = (0..12).map(|_| Client::connect(&world.router)).collect();
    for client in &mut slow {
        for seq in 1..=32 {
            client.send(&call(seq, &page(&format!("{seq:016x}"), "3000"), b""));
        }
    }
    // 92 MB are asked for and not taken; another client is served all the same, in the end.
    let mut client = Client::connect(&world.router);
    assert!(client.healthy(1));
    let mut seq = 1;
    until("memory to be free again", || {
        seq += 1;
        client.request(seq, "00000000000000aa");
        !is_over(&client.reply().1)
    });
    let peak = world.router.peak_kb();
    assert!(peak < 24_000, "{peak} KB");
}

#[test]
fn a_client_that_never_reads_is_disconnected_before_it_costs_memory() {
    let world = world_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["limits"]["memory_mb"] = json!(32),
    );
    let mut flood = Client::connect(&world.router);
    let asks = frame(1, "health", 1, &[0]).repeat(1000);
    let flooding = std::thread::spawn(move || while flood.0.write_all(&asks).is_ok() {});
    let mut client = Client::connect(&world.router);
    let mut seq = 0;
    until("the flood to end", || {
        seq += 1;
        client.request(seq, OBJECT);
        assert_eq!(client.reply(), (seq, done(b"x")));
        flooding.is_finished()
    });
    let peak = world.router.peak_kb();
    assert!(peak < 24_000, "{peak} KB");
}
