//! Behaviour at the limits of descriptors, memory and connections.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn thousands_of_requests_and_connections_leak_no_descriptor() {
    let fixture = fixture(|_| Behavior::Respond(served(b"x")));
    let before = descriptors(fixture.router.pid());
    for round in 0..2000 {
        let mut client = Client::connect(&fixture.router);
        client.request(1, &format!("{round:016x}"));
        // Every third client disconnects before its reply.
        if round % 3 > 0 {
            assert_eq!(client.reply(), (1, served_reply(b"x")));
        }
        // A connection to the cache is not reused for 30 ms; at most 15 requests are sent in that time.
        std::thread::sleep(Duration::from_millis(2));
    }
    // A few idle connections to the cache stay open for the next requests.
    until("the descriptors to be closed", || descriptors(fixture.router.pid()) <= before + 20);
    let mut client = Client::connect(&fixture.router);
    assert!(client.healthy(1));
}

#[test]
fn requests_are_answered_if_the_system_allows_fewer_descriptors_than_configured() {
    let (cache, change_stream) = (Cache::start(|_| Behavior::Hang), ChangeStream::start());
    let entries = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", cache.address, "parent", "active"),
        endpoint_entry("o-1", cache.address, "origin", "active"),
    ];
    let router = Router::start_with(
        &configuration(change_stream.address, entries),
        &StartOptions { descriptors: Some(40), ..StartOptions::default() },
    );
    let _idle: Vec<_> = (0..60).map(|_| Client::connect(&router)).collect();
    let mut client = Client::connect(&router);
    for seq in 1..=32 {
        client.send(&call(seq, &page(&format!("{seq:016x}"), "2000"), b""));
    }
    (0..32).for_each(|_| assert!(is_rejected_or_failed(&client.reply().1)));
    assert!(client.healthy(33));
}

#[test]
fn silent_and_incomplete_connections_are_closed_and_active_ones_may_stay_idle() {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["limits"]["sockets"] = json!(100),
    );
    // Far more connections than the limit: silent ones are closed to make room for others, in particular for
    // those that send calls.
    let mut silent: Vec<_> = (0..200).map(|_| Client::connect(&fixture.router)).collect();
    let mut late = Client::connect(&fixture.router);
    late.request(1, OBJECT);
    assert_eq!(late.reply(), (1, served_reply(b"x")));
    late.send(&call(2, &page(OBJECT, "3000"), b"")[..30]);
    let mut client = Client::connect(&fixture.router);
    assert!(client.healthy(1));
    silent.iter_mut().for_each(|client| assert_eq!(client.reply_or_end(), None));
    assert_eq!(late.reply_or_end(), None);
    assert!(client.healthy(2));
}

#[test]
fn descriptors_stay_within_their_limit_while_endpoints_hang() {
    assert_descriptors_limited_during_burst(None);
}

#[test]
fn descriptors_stay_within_their_limit_while_connects_hang() {
    let stuck = FullBacklogCache::start();
    assert_descriptors_limited_during_burst(Some(stuck.address));
}

/// Sends more requests than the router may open connections, to a cache that never responds or, with
/// `address`, to one that accepts no connection. Asserts that the router stays within its descriptor limit.
fn assert_descriptors_limited_during_burst(address: Option<SocketAddr>) {
    let fixture = fixture_with(
        |_| Behavior::Hang,
        |configuration| {
            configuration["limits"]["sockets"] = json!(100);
            if let Some(address) = address {
                let entries = &mut configuration["known"]["results"][0]["fleet"]["members"];
                entries[0]["host_port"] = json!(address.to_string());
            }
        },
    );
    let (peak, finished) = (Watched::<usize>::default(), Watched::<bool>::default());
    let (sampled_peak, ended, pid) = (peak.clone(), finished.clone(), fixture.router.pid());
    let sampler = std::thread::spawn(move || {
        while !ended.change(|finished| *finished) {
            let now = descriptors(pid);
            sampled_peak.change(|peak| *peak = now.max(*peak));
        }
    });
    // A third of the descriptors is for clients; idle connections are closed to make room for new ones.
    let _idle: Vec<_> = (0..60).map(|_| Client::connect(&fixture.router)).collect();
    let mut busy: Vec<_> = (0..4).map(|_| Client::connect(&fixture.router)).collect();
    for (index, client) in busy.iter_mut().enumerate() {
        for seq in 1..=32 {
            client.send(&call(seq, &page(&format!("{:016x}", index * 32 + seq as usize), "3000"), b""));
        }
    }
    // The calls outnumber the connections to caches. All are answered, the last ones without having been sent
    // to a cache.
    for client in &mut busy {
        (0..32).for_each(|_| assert!(is_rejected_or_failed(&client.reply().1)));
    }
    assert!(Client::connect(&fixture.router).healthy(1));
    finished.release();
    sampler.join().unwrap();
    let peak = peak.change(|peak| *peak);
    assert!((40..=100).contains(&peak), "{peak} descriptors");
}

#[test]
fn slow_readers_are_disconnected_and_memory_stays_bounded() {
    let bytes = served(&vec![1; 240_000]);
    let fixture = fixture_with(
        move |_| Behavior::Respond(bytes.clone()),
        |configuration| configuration["limits"]["memory_mb"] = json!(32),
    );
    let mut slow: Vec<_> = (0..12).map(|_| Client::connect(&fixture.router)).collect();
    for client in &mut slow {
        for seq in 1..=32 {
            client.send(&call(seq, &page(&format!("{seq:016x}"), "3000"), b""));
        }
    }
    // The slow clients request 92 MB of replies and don't read them. Another client is served eventually.
    let mut client = Client::connect(&fixture.router);
    assert!(client.healthy(1));
    let mut seq = 1;
    until("memory to be free again", || {
        seq += 1;
        client.request(seq, "00000000000000aa");
        !is_rejected_or_failed(&client.reply().1)
    });
    let peak = fixture.router.peak_kb();
    assert!(peak < 24_000, "{peak} KB");
}

#[test]
fn a_client_that_never_reads_is_disconnected_and_memory_stays_bounded() {
    let fixture = fixture_with(
        |_| Behavior::Respond(served(b"x")),
        |configuration| configuration["limits"]["memory_mb"] = json!(32),
    );
    let mut flood = Client::connect(&fixture.router);
    let calls = frame(1, "health", 1, &[0]).repeat(1000);
    let flooding = std::thread::spawn(move || while flood.0.write_all(&calls).is_ok() {});
    let mut client = Client::connect(&fixture.router);
    let mut seq = 0;
    until("the flood to end", || {
        seq += 1;
        client.request(seq, OBJECT);
        assert_eq!(client.reply(), (seq, served_reply(b"x")));
        flooding.is_finished()
    });
    let peak = fixture.router.peak_kb();
    assert!(peak < 24_000, "{peak} KB");
}
