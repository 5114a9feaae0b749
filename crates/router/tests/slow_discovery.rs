//! A change stream that is slow, crowded, silent or stuck: it is heard in the end if it answers at all, and left
//! in time for another connection if it does not.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

/// Longer than the router waits before it tries another connection beside, 2 s.
const LATE: Duration = Duration::from_millis(2600);
/// By when the router is told after a stop or a SIGHUP, by the rules of the platform.
const TOLD_AFTER: Duration = Duration::from_secs(4);
/// By when the router is told in any case.
const TOLD_AT_THE_LATEST: Duration = Duration::from_secs(7);
/// The maximum number of connections of one router to the change stream.
const MAX_CONNECTIONS: usize = 3;

/// A configuration of a router whose only endpoint does not exist.
fn configuration_at(change_stream: SocketAddr) -> Value {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    configuration(change_stream, vec![endpoint_entry("c-1", nowhere, "cache", "active")])
}

fn start_router(change_stream: SocketAddr) -> Router {
    Router::start(&configuration_at(change_stream))
}

/// Returns the line of an event without content.
fn event(sequence: u64) -> String {
    format!("{}\n", json!({"seq": sequence}))
}

/// Waits until the router has applied this event, and returns the current time.
fn wait_until_applied(router: &Router, sequence: u64) -> Instant {
    let text = format!("WatchEvent {{ sequence: {sequence},");
    router
        .log
        .wait("the event to be applied", |log| log.iter().any(|line| line.contains(&text)).then_some(()));
    Instant::now()
}

/// Returns how often the router has applied this event.
fn times_applied(router: &Router, sequence: u64) -> usize {
    let text = format!("WatchEvent {{ sequence: {sequence},");
    router.log.change(|log| log.iter().filter(|line| line.contains(&text)).count())
}

/// Answers a subscription: sends the event with this number if the router lacks it, and then heartbeats.
fn answer(subscription: &mut Subscription, sequence: u64) {
    if subscription.since < sequence {
        subscription.send(&event(sequence));
    }
    subscription.send_heartbeats(sequence);
}

/// A change stream that answers each subscription late, with event 2.
fn late_change_stream(late: Duration) -> ScriptedChangeStream {
    ScriptedChangeStream::start(move |mut subscription| {
        thread::sleep(late);
        answer(&mut subscription, 2);
    })
}

/// Guards against hanging up on a slow change stream and asking anew without end: it was never heard.
#[test]
fn a_change_stream_that_answers_late_is_heard_at_the_start() {
    let change_stream = late_change_stream(LATE);
    let router = start_router(change_stream.address);
    let asked = change_stream.wait_for_subscriptions(1)[0];
    let told = wait_until_applied(&router, 2);
    assert!(told - asked < TOLD_AFTER, "{:?}", told - asked);
    // The heartbeats after the event keep the connection; nothing is asked for again.
    thread::sleep(LATE);
    assert!(change_stream.count() <= 2, "{}", change_stream.count());
}

/// As above, after a reload moved the watch. Guards against purges and drains that are never heard of.
#[test]
fn a_change_stream_that_answers_late_is_heard_after_a_reload() {
    let (first, late) = (ChangeStream::start(), late_change_stream(LATE));
    let router = start_router(first.address);
    first.wait_for_subscriptions(1);
    let reloaded = Instant::now();
    router.reload(&configuration_at(late.address).to_string());
    let told = wait_until_applied(&router, 2);
    assert!(told - reloaded < TOLD_AFTER, "{:?}", told - reloaded);
}

/// As above, after the change stream closed the connection.
#[test]
fn a_change_stream_that_answers_late_after_a_break_is_heard() {
    let change_stream = ScriptedChangeStream::start(|mut subscription| {
        if subscription.index == 0 {
            subscription.send("1\n");
            return;
        }
        thread::sleep(LATE);
        answer(&mut subscription, 2);
    });
    let router = start_router(change_stream.address);
    let asked = change_stream.wait_for_subscriptions(2);
    assert!(asked[1] - asked[0] < Duration::from_secs(2), "{:?}", asked[1] - asked[0]);
    let told = wait_until_applied(&router, 2);
    assert!(told - asked[1] < TOLD_AFTER, "{:?}", told - asked[1]);
}

/// As above, after several reloads in quick succession; the last address holds, and a reload that does not change
/// it does not lose the place at the change stream.
#[test]
fn the_last_of_several_reloads_is_heard_though_each_change_stream_is_late() {
    let streams: Vec<_> = (0..3).map(|_| late_change_stream(LATE)).collect();
    let router = start_router(streams[0].address);
    for stream in [&streams[1], &streams[0], &streams[1], &streams[2], &streams[2]] {
        router.reload(&configuration_at(stream.address).to_string());
        thread::sleep(Duration::from_millis(100));
    }
    let asked = streams[2].wait_for_subscriptions(1)[0];
    router.reload(&configuration_at(streams[2].address).to_string());
    let told = wait_until_applied(&router, 2);
    assert!(told - asked < TOLD_AFTER, "{:?}", told - asked);
}

/// As above, in a shutdown that an open request delays.
#[test]
fn a_change_stream_that_answers_late_is_heard_during_a_shutdown() {
    let late = late_change_stream(Duration::from_millis(2200));
    let mut fixture = fixture(|_| Behavior::Hang);
    fixture.change_stream.wait_for_subscriptions(1);
    let mut client = Client::connect(&fixture.router);
    client.request(1, OBJECT);
    assert!(client.healthy(2));
    fixture.router.reload(&configuration_at(late.address).to_string());
    late.wait_for_subscriptions(1);
    fixture.router.terminate();
    wait_until_applied(&fixture.router, 2);
    assert!(fixture.router.wait().success());
}

/// Guards against a connect that takes longer than its limit each time.
#[test]
fn a_connect_that_takes_long_is_waited_for() {
    let stuck = FullBacklogCache::start();
    let of_stand_in = connects_to(stuck.address);
    let router = start_router(stuck.address);
    stuck.wait_for_connect();
    thread::sleep(LATE);
    let pending = connects_to(stuck.address) - of_stand_in;
    assert!((2..=MAX_CONNECTIONS).contains(&pending), "{pending} connects wait beside one another");
    stuck.open();
    until("a connect to succeed", || stuck.accepted.change(|accepted| *accepted > 0));
    drop(router);
}

/// Returns the number of connects to this address that wait for an answer.
fn connects_to(address: SocketAddr) -> usize {
    const SYN_SENT: &str = "02";
    let remote = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|fields| fields[2] == remote && fields[3] == SYN_SENT).count()
}

/// Guards against a limit for the first line that is shorter than its pieces take.
#[test]
fn a_first_line_that_arrives_slowly_in_pieces_is_heard() {
    let change_stream = ScriptedChangeStream::start(|mut subscription| {
        let line = event(2);
        subscription.send_in_pieces(&line, 2, Duration::from_millis(800));
        subscription.send_heartbeats(2);
    });
    let router = start_router(change_stream.address);
    wait_until_applied(&router, 2);
}

/// Guards against asking anew without end while the lines of a stream come more slowly than once in 1.8 s.
#[test]
fn a_stream_with_slow_lines_is_followed_and_rarely_asked_again() {
    let change_stream = ScriptedChangeStream::start(|mut subscription| {
        for sequence in subscription.since + 1.. {
            thread::sleep(Duration::from_millis(2400));
            if !subscription.send(&event(sequence)) {
                return;
            }
        }
    });
    let router = start_router(change_stream.address);
    wait_until_applied(&router, 6);
    assert!(change_stream.count() <= 5, "{} subscriptions for five events", change_stream.count());
}

/// Guards against an older connection that answers after a newer one has told more.
#[test]
fn a_late_answer_of_an_older_connection_does_not_set_the_watch_back() {
    let newer_told = Watched::<bool>::default();
    let older_sent = Watched::<Option<bool>>::default();
    let change_stream = {
        let (newer_told, older_sent) = (newer_told.clone(), older_sent.clone());
        ScriptedChangeStream::start(move |mut subscription| {
            if subscription.index == 0 {
                newer_told.wait("the newer connection to tell", |told| told.then_some(()));
                let sent = subscription.send(&format!("{}{}", event(2), event(9)));
                older_sent.change(|older| *older = Some(sent));
                return;
            }
            subscription.send(&format!("{}{}{}", event(2), event(3), event(4)));
            subscription.send_heartbeats(4);
        })
    };
    let router = start_router(change_stream.address);
    wait_until_applied(&router, 4);
    newer_told.release();
    older_sent.wait("the older connection to answer", |sent| *sent);
    thread::sleep(LATE);
    assert_eq!(times_applied(&router, 2), 1);
    assert_eq!(times_applied(&router, 9), 0);
    assert_eq!(change_stream.count(), 2, "the newer connection is still followed");
}

/// Guards against waiting for good on a change stream that is stuck, and against connections without bound.
#[test]
fn a_stuck_change_stream_is_left_in_time_and_asked_ever_more_rarely_on_few_connections() {
    let revived = Watched::<bool>::default();
    let change_stream = {
        let revived = revived.clone();
        ScriptedChangeStream::start(move |mut subscription| {
            if revived.change(|revived| *revived) {
                answer(&mut subscription, 2);
            } else {
                subscription.wait_until_closed();
            }
        })
    };
    let router = start_router(change_stream.address);
    let asked = change_stream.wait_for_subscriptions(6);
    let intervals: Vec<_> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(intervals[0] < Duration::from_millis(2100), "{intervals:?}");
    assert!(asked[2] - asked[0] <= Duration::from_millis(4200), "{intervals:?}");
    assert!(intervals[4] > Duration::from_secs(3), "{intervals:?}");
    let max_open = change_stream.subscriptions.change(|record| record.max_open);
    // The stand-in may see a subscription before it sees that another one gave way to it.
    assert!(max_open <= MAX_CONNECTIONS + 1, "{max_open}");
    // Connections that are open already stay silent.
    revived.release();
    let revived_at = Instant::now();
    let told = wait_until_applied(&router, 2);
    assert!(told - revived_at < TOLD_AT_THE_LATEST, "{:?}", told - revived_at);
}

/// Guards against routers that keep a crowded change stream crowded: eight of twenty were heard within 30 s, and
/// it was asked 200 times.
#[test]
fn twenty_routers_moved_at_once_to_a_change_stream_that_serves_in_turn_are_all_heard() {
    const ROUTERS: u32 = 20;
    const SERVICE_TIME: Duration = Duration::from_millis(200);
    let first = ChangeStream::start();
    let crowded = ScriptedChangeStream::start_in_turn(SERVICE_TIME, 1);
    let configuration_of = |change_stream, index: u32| {
        let mut configuration = configuration_at(change_stream);
        configuration["seed"] = json!(format!("{index:x}"));
        configuration
    };
    let routers: Vec<_> =
        (0..ROUTERS).map(|index| Router::start(&configuration_of(first.address, index))).collect();
    routers.iter().for_each(|router| wait_for_answers(router, 1));
    let moved = Instant::now();
    for (router, index) in routers.iter().zip(0..) {
        router.reload(&configuration_of(crowded.address, index).to_string());
    }
    routers.iter().for_each(|router| wait_for_answers(router, 2));
    let heard = moved.elapsed();
    // Twice the work, for a slow machine.
    assert!(heard <= SERVICE_TIME * ROUTERS * 2, "{heard:?}");
    // Each subscribes once, and again each 1.9 s while it waits.
    assert!(crowded.count() <= ROUTERS as usize * 3, "{} subscriptions", crowded.count());
}

/// Waits until the router has been answered on this many connections to a change stream.
fn wait_for_answers(router: &Router, count: usize) {
    router.log.wait("the router to be answered", |log| {
        let answers = log.iter().filter(|line| line.contains("discovery watch is answered"));
        (answers.count() >= count).then_some(())
    });
}

/// Guards against connections to a silent change stream that take the descriptors of others.
#[test]
fn connections_to_a_silent_change_stream_stay_within_few_descriptors() {
    let silent = ScriptedChangeStream::start(|subscription| subscription.wait_until_closed());
    let router = Router::start_with(
        &configuration_at(silent.address),
        &StartOptions { descriptors: Some(64), ..StartOptions::default() },
    );
    // Idle clients fill their share.
    let _idle: Vec<_> = (0..60).map(|_| Client::connect(&router)).collect();
    silent.wait_for_subscriptions(4);
    let open_descriptors = descriptors(router.pid());
    assert!(open_descriptors <= 64, "{open_descriptors}");
    let change_stream = ChangeStream::start();
    router.reload(&configuration_at(change_stream.address).to_string());
    assert_eq!(change_stream.wait_for_subscriptions(1), [1]);
}
