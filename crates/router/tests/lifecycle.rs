//! Start and graceful shutdown of the router process.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

#[test]
fn a_planned_restart_answers_open_and_new_requests() {
    let gate = Watched::default();
    let held = gate.clone();
    let mut fixture = fixture(move |request| match request.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), served(b"late")),
        false => Behavior::Respond(served(b"new")),
    });
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    fixture.router.terminate();
    fixture
        .router
        .log
        .wait("the shutdown to begin", |log| log.iter().any(|line| line.contains("stopping")).then_some(()));
    let mut late = Client::connect(&fixture.router);
    assert!(!late.healthy(1));
    late.request(2, "00000000000000aa");
    assert_eq!(late.reply(), (2, served_reply(b"new")));
    // The router keeps serving while a request is open, well beyond the minimum duration of a shutdown.
    let (stopping_since, mut seq) = (Instant::now(), 2);
    while stopping_since.elapsed() < Duration::from_millis(1500) {
        seq += 1;
        late.request(seq, "00000000000000aa");
        assert_eq!(late.reply(), (seq, served_reply(b"new")));
    }
    gate.release();
    assert_eq!(client.reply(), (1, served_reply(b"late")));
    assert!(fixture.router.wait().success());
    assert_eq!(client.reply_or_end(), None);
}

#[test]
fn open_requests_are_answered_before_the_shutdown_deadline() {
    let mut fixture = fixture_with(
        |_| Behavior::Hang,
        |configuration| {
            for class in configuration["settings"]["request_classes"].as_array_mut().unwrap() {
                class["deadline"] = json!(2_000_000);
            }
        },
    );
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    fixture.cache.requests(1);
    fixture.router.terminate();
    fixture.wait_for_log("stopping");
    client.request(2, OBJECT);
    // Both requests would wait for ten minutes, and the router may be killed after 2.7 s.
    let replies = [client.reply(), client.reply()];
    assert!(replies.iter().all(|(_, reply)| is_rejected_or_failed(reply)), "{replies:?}");
    assert!(fixture.router.wait().success());
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
    for (pointer, value, key) in cases {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).unwrap() = value;
        let (status, text) = fails_with(&bad.to_string());
        assert!(!status.success() && text.contains(key) && !text.contains("panicked"), "{pointer}: {text}");
    }
}
