//! Start and graceful shutdown of the process.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn a_planned_restart_answers_open_and_new_requests() {
    let gate = Watched::default();
    let held = gate.clone();
    let mut world = world(move |seen| match seen.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), served(b"late")),
        false => Behavior::Respond(served(b"new")),
    });
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    world.cache.requests(1);
    world.router.terminate();
    world.router.log.wait("it to stop", |log| log.iter().any(|line| line.contains("stopping")).then_some(()));
    let mut late = Client::connect(&world.router);
    assert!(!late.healthy(1));
    late.request(2, "00000000000000aa");
    assert_eq!(late.reply(), (2, done(b"new")));
    // It stays for as long as a request is open, well past the time in which new ones may come.
    let (told, mut seq) = (Instant::now(), 2);
    while told.elapsed() < Duration::from_millis(1500) {
        seq += 1;
        late.request(seq, "00000000000000aa");
        assert_eq!(late.reply(), (seq, done(b"new")));
    }
    gate.release();
    assert_eq!(client.reply(), (1, done(b"late")));
    assert!(world.router.wait().success());
    assert_eq!(client.reply_or_end(), None);
}

#[test]
fn open_requests_are_answered_before_the_router_has_to_end() {
    let mut world = world_with(
        |_| Behavior::Hang,
        |configuration| {
            for class in configuration["settings"]["request_classes"].as_array_mut().unwrap() {
                class["deadline"] = json!(2_000_000);
            }
        },
    );
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    world.cache.requests(1);
    world.router.terminate();
    world.heeds("stopping");
    client.request(2, OBJECT);
    // Both would wait for ten minutes, and it may be killed after 2.7 s.
    let over = [client.reply(), client.reply()];
    assert!(over.iter().all(|(_, reply)| is_over(reply)), "{over:?}");
    assert!(world.router.wait().success());
}

#[test]
fn an_invalid_configuration_is_reported_by_its_key() {
    let good = configuration("127.0.0.1:1".parse().unwrap(), Vec::new());
    let (status, text) = fails_with("{ no");
    assert!(!status.success() && text.contains("not JSON"), "{text}");
    let cases = [
        ("/listen", json!("nowhere"), "listen"),
        ("/seed", json!("xyz"), "seed"),
        ("/changelog", Value::Null, "changelog: missing"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/results", json!({}), "known.results"),
        ("/known/results/0", json!({"seq": "one"}), "known.results[0]"),
        ("/settings/zone", json!(7), "settings.zone"),
        ("/settings/request_classes/1/effect", json!("odd"), "settings.request_classes[1].effect"),
        ("/settings/request_classes/0/deadline", json!(-1), "settings.request_classes[0].deadline"),
        ("/settings/rules/drain_grace", Value::Null, "settings.rules.drain_grace: missing"),
        ("/settings/limits/connect_timeout", json!(0), "settings.limits.connect_timeout"),
    ];
    for (place, value, named) in cases {
        let mut bad = good.clone();
        *bad.pointer_mut(place).unwrap() = value;
        let (status, text) = fails_with(&bad.to_string());
        assert!(!status.success() && text.contains(named) && !text.contains("panicked"), "{place}: {text}");
    }
}
