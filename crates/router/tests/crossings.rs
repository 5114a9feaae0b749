//! Two events that cross: what comes in the moment in which the router closes, ends, waits or is told of
//! something else. Each crossing is forced by what a scripted peer has read or written, or by stopping the
//! router between the two, so that it finds both at once.

mod support;

use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;
use tindoor_testbed::stand_in::*;

const OTHER: &str = "00000000000000aa";

/// The longest answer there is.
fn long_body() -> Vec<u8> {
    (0..240_000u32).map(|i| (i * 7 % 251) as u8).collect()
}

/// A world in which each object has the longest answer, with few descriptors.
fn world_of_long_answers() -> World {
    let bytes = served(&long_body());
    world_with(
        move |_| Behavior::Respond(bytes.clone()),
        |configuration| configuration["limits"]["sockets"] = json!(64),
    )
}

/// A client whose long answer has left the router, and lies for the most part in the system's buffers.
fn client_with_answer_on_its_way(world: &World) -> Client {
    let mut client = Client::connect_small(&world.router);
    client.request(1, OBJECT);
    world.heeds(" ended ");
    client
}

impl World {
    /// Waits until so long after an instant; for what the router does by time.
    fn passes(&self, since: Instant, time: Duration) {
        while since.elapsed() < time {
            std::thread::sleep(time.saturating_sub(since.elapsed()));
        }
    }

    fn stops(&self) -> Instant {
        self.router.terminate();
        self.heeds("stopping");
        Instant::now()
    }
}

#[test]
fn a_call_that_crosses_the_close_of_a_resting_connection_costs_no_answer_and_is_not_sent_on() {
    let world = world_of_long_answers();
    let mut client = client_with_answer_on_its_way(&world);
    // Others that have asked, and rested for less long. Of 64 descriptors 21 are for clients, and of those 2
    // are kept free: the nineteenth connection has the first one closed.
    let mut others: Vec<_> = (0..18).map(|_| Client::connect(&world.router)).collect();
    others.iter_mut().for_each(|other| assert!(other.healthy(1)));
    world.heeds("client connection closed");
    client.request(2, OTHER);
    assert_eq!(client.reply(), (1, done(&long_body())));
    assert!(client.ends_in_order(), "and no reset");
    let other = others.last_mut().unwrap();
    other.request(3, OTHER);
    assert_eq!(other.reply(), (3, done(&long_body())));
    assert_eq!(world.cache.count(), 2, "what came after the close was not sent on");
}

#[test]
fn a_call_that_crosses_the_close_at_the_end_costs_no_answer_and_is_not_sent_on() {
    let mut world = world_of_long_answers();
    let mut client = client_with_answer_on_its_way(&world);
    world.stops();
    world.heeds("client connection closed");
    world.router.pause(true);
    client.request(2, OTHER);
    world.router.pause(false);
    assert_eq!(client.reply(), (1, done(&long_body())));
    assert!(client.ends_in_order(), "and no reset");
    assert!(world.router.wait().success());
    assert_eq!(world.cache.count(), 1, "what came after the close was not sent on");
}

#[test]
fn what_lies_in_the_buffers_of_the_system_at_the_end_is_answered() {
    let mut world = world(|_| Behavior::Respond(served(b"x")));
    let mut resting = Client::connect(&world.router);
    resting.request(1, OBJECT);
    assert_eq!(resting.reply(), (1, done(b"x")));
    let told = world.stops();
    // A call on a connection that rests, and one on a connection that is not yet accepted.
    world.router.pause(true);
    resting.request(2, OTHER);
    let mut waiting = Client::connect(&world.router);
    waiting.request(1, "00000000000000ab");
    world.passes(told, Duration::from_millis(1200));
    world.router.pause(false);
    assert_eq!(resting.reply(), (2, done(b"x")));
    assert_eq!(waiting.reply(), (1, done(b"x")));
    assert!(resting.ends_in_order() && waiting.ends_in_order());
    assert!(world.router.wait().success());
}

#[test]
fn half_a_frame_at_the_end_is_waited_for_and_answered() {
    let mut world = world(|_| Behavior::Respond(served(b"x")));
    let mut client = Client::connect(&world.router);
    let frame = call(1, &page(OBJECT, "3000"), b"");
    client.send(&frame[..30]);
    let mut other = Client::connect(&world.router);
    assert!(other.healthy(1));
    let told = world.stops();
    // Past the time in which new calls may come: the router is still there for what has begun.
    world.passes(told, Duration::from_millis(1200));
    client.send(&frame[30..]);
    assert_eq!(client.reply(), (1, done(b"x")));
    assert!(client.ends_in_order());
    assert!(world.router.wait().success());
}

#[test]
fn a_client_that_rests_sees_an_orderly_end_and_the_router_waits_for_no_more() {
    let mut world = world(|_| Behavior::Respond(served(b"x")));
    let mut resting: Vec<_> = (0..20).map(|_| Client::connect(&world.router)).collect();
    resting.iter_mut().for_each(|client| assert!(client.healthy(1)));
    world.stops();
    for mut client in resting {
        assert!(client.ends_in_order());
    }
    // One that never closes its side is not waited for either.
    assert!(world.router.wait().success());
}

#[test]
fn a_connect_that_comes_up_as_its_client_closes_carries_nothing() {
    let stuck = FullBacklogCache::start();
    let (world, client) = stuck_world(&stuck);
    world.router.pause(true);
    drop(client);
    let asked = stuck.open();
    stuck.accepted.wait("the connection to come up", |count| (*count > 0).then_some(()));
    world.router.pause(false);
    world.heeds(" ended ");
    let mut other = Client::connect(&world.router);
    other.request(1, OTHER);
    assert_eq!(other.reply(), (1, done(b"stuck")));
    let asked = asked.change(|asked| asked.clone());
    assert!(asked.iter().all(|asked| !asked.contains(OBJECT)), "{asked:?}");
}

#[test]
fn a_connect_that_comes_up_as_its_call_is_withdrawn_carries_nothing() {
    let stuck = FullBacklogCache::start();
    let (world, mut client) = stuck_world(&stuck);
    world.router.pause(true);
    client.cancel(1);
    let asked = stuck.open();
    stuck.accepted.wait("the connection to come up", |count| (*count > 0).then_some(()));
    world.router.pause(false);
    world.heeds(" ended ");
    client.request(3, OTHER);
    assert_eq!(client.reply(), (3, done(b"stuck")));
    let asked = asked.change(|asked| asked.clone());
    assert!(asked.iter().all(|asked| !asked.contains(OBJECT)), "{asked:?}");
}

/// An error, after which a read is sent again, and the end of its client's wait: the router finds both at
/// once.
fn an_error_that_comes_as(client_leaves: impl FnOnce(&mut Client)) {
    let gate = Watched::default();
    let held = gate.clone();
    let world = world(move |seen| match seen.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), http_response(500, "", b"")),
        false => Behavior::Respond(served(b"x")),
    });
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    world.cache.requests(1);
    world.router.pause(true);
    client_leaves(&mut client);
    gate.release();
    world.cache.released.wait("the error to be written", |count| (*count > 0).then_some(()));
    world.router.pause(false);
    world.heeds(" ended ");
    // The pause before a further attempt is 20 ms at most.
    world.passes(Instant::now(), Duration::from_millis(200));
    let mut other = Client::connect(&world.router);
    other.request(1, OTHER);
    assert_eq!(other.reply(), (1, done(b"x")));
    assert_eq!(world.cache.count(), 2, "one for each call");
}

#[test]
fn an_error_that_comes_as_its_client_closes_is_not_tried_again() {
    an_error_that_comes_as(|client| client.0.shutdown(std::net::Shutdown::Both).unwrap());
}

#[test]
fn an_error_that_comes_as_its_call_is_withdrawn_is_not_tried_again() {
    an_error_that_comes_as(|client| client.cancel(1));
}

#[test]
fn a_client_that_takes_no_answers_and_closes_its_side_has_nothing_more_sent_on() {
    let gate = Watched::default();
    let held = gate.clone();
    // An error: a read goes again.
    let world = world(move |seen| match seen.request_line.contains(OBJECT) {
        true => Behavior::RespondOnRelease(held.clone(), http_response(500, "", b"")),
        false => Behavior::Respond(served(b"x")),
    });
    let mut client = Client::connect_small(&world.router);
    client.request(1, OBJECT);
    world.cache.requests(1);
    // Far more answers than the buffers hold: the router does not read on, and can't see the close behind
    // them.
    client.0.set_nonblocking(true).unwrap();
    let asks = frame(1, "health", 2, &[2, 0, 1, 1, 0]).repeat(1000);
    let full = Instant::now();
    let mut last = Instant::now();
    while last.elapsed() < Duration::from_millis(300) {
        match client.0.write(&asks) {
            Ok(_) => last = Instant::now(),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        assert!(full.elapsed() < Duration::from_secs(60));
    }
    client.0.shutdown(std::net::Shutdown::Write).unwrap();
    gate.release();
    // The one attempt ends, and so do those that follow, without having been sent.
    let ended = |log: &mut Vec<String>| log.iter().filter(|line| line.contains("Superseded")).count();
    world.router.log.wait("a further attempt to be left", |log| (ended(log) > 0).then_some(()));
    assert_eq!(world.cache.count(), 1);
}

#[test]
fn an_unreadable_frame_ends_the_calls_before_it_with_their_answers() {
    let world = world(|seen| {
        if seen.request_line.contains(OBJECT) { Behavior::Hang } else { Behavior::Respond(served(b"x")) }
    });
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    world.cache.requests(1);
    client.send(&[0xff; 8]);
    let (seq, reply) = client.reply();
    assert!(seq == 1 && is_over(&reply), "{reply:?}");
    assert!(client.ends_in_order());
    world.cache.closed.wait("the attempt to be given up", |closed| (*closed > 0).then_some(()));
}

#[test]
fn an_unreadable_frame_cuts_no_answer_that_is_being_written() {
    let bytes = served(&long_body());
    let world = world(move |_| Behavior::Respond(bytes.clone()));
    let mut client = Client::connect_small(&world.router);
    let mut sender = client.0.try_clone().unwrap();
    (1..=8).for_each(|seq| client.request(seq, &format!("{seq:016x}")));
    // The first bytes are here: far more are on their way than the system's buffers hold.
    client.0.peek(&mut [0]).unwrap();
    sender.write_all(&[0xff; 8]).unwrap();
    for _ in 1..=8 {
        let (_, reply) = client.reply();
        assert!(reply == done(&long_body()) || is_over(&reply));
    }
    assert!(client.ends_in_order());
}

#[test]
fn a_change_log_whose_bytes_trickle_and_make_no_line_is_asked_again() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    world.log.wait_for_subscriptions(1);
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    // It is never silent for long, and says nothing.
    until("the router to ask again", || {
        world.log.send(" ");
        std::thread::sleep(Duration::from_millis(200));
        world.log.subscriptions.change(|asked| asked.len() > 1)
    });
    world.log.send(&fleet(2, vec![endpoint_entry("c-9", world.cache.address, "cache", "active")]));
    world.heeds("sequence: 2");
}

#[test]
fn a_whole_list_that_comes_late_undoes_no_change_already_taken() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    world.log.wait_for_subscriptions(1);
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    let (old, new) = (endpoint_entry("c-1", world.cache.address, "cache", "leaving"), |phase| {
        endpoint_entry("c-2", second.address, "cache", phase)
    });
    world.log.send(&fleet(2, vec![old, new("active")]));
    world.heeds("sequence: 2");
    let active = endpoint_entry("c-1", world.cache.address, "cache", "active");
    let late = json!({"seq": 1, "fleet": {"revision": 1, "complete": true, "members": [active]}});
    world.log.send(&format!("{late}\n{}", fleet(3, vec![new("active")])));
    world.heeds("sequence: 3");
    let mut client = Client::connect(&world.router);
    for seq in 1..=20 {
        client.request(seq, &format!("{seq:016x}"));
        assert_eq!(client.reply(), (seq, done(b"second")));
    }
    // One that comes in its turn counts: what it does not name is gone.
    let third = Cache::start(|_| Behavior::Respond(served(b"third")));
    let members = vec![endpoint_entry("c-3", third.address, "cache", "active")];
    let whole = json!({"seq": 4, "fleet": {"revision": 4, "complete": true, "members": members}});
    world.log.send(&format!("{whole}\n"));
    world.heeds("sequence: 4");
    client.request(21, OBJECT);
    assert_eq!(client.reply(), (21, done(b"third")));
    assert_eq!(world.cache.count(), 0);
}

#[test]
fn a_new_configuration_amid_a_line_loses_and_repeats_no_event() {
    let world = world(|_| Behavior::Respond(served(b"x")));
    let second = Cache::start(|_| Behavior::Respond(served(b"second")));
    world.log.wait_for_subscriptions(1);
    world.log.heartbeat.change(|heartbeat| *heartbeat = None);
    let drained = endpoint_entry("c-1", world.cache.address, "cache", "leaving");
    let event = fleet(2, vec![drained, endpoint_entry("c-2", second.address, "cache", "active")]);
    world.log.send(&event[..40]);
    let next = ChangeStream::start();
    let members: Vec<Value> = Vec::new();
    world.router.reload(&configuration(next.address, members).to_string());
    assert_eq!(next.wait_for_subscriptions(1), [1], "from the last whole event");
    // What the old one still says is nobody's.
    world.log.send(&event[40..]);
    next.send(&event);
    world.heeds("sequence: 2");
    let mut client = Client::connect(&world.router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, done(b"second")), "a drain told right after a reload holds");
    let heeded = |log: &mut Vec<String>| log.iter().filter(|line| line.contains("sequence: 2")).count();
    assert_eq!(world.router.log.change(heeded), 1);
}

#[test]
fn a_router_whose_last_instance_still_holds_its_address_is_ready_once_that_ends() {
    let (cache, log) = (Cache::start(|_| Behavior::Respond(served(b"x"))), ChangeStream::start());
    let origin = Cache::start(|_| Behavior::Hang);
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", origin.address, "parent", "active"),
        endpoint_entry("o-1", origin.address, "origin", "active"),
    ];
    let last = TcpListener::bind("127.0.0.1:0").unwrap();
    let router = Router::start_at(&configuration(log.address, members), last.local_addr().unwrap());
    let logged = |word: &'static str| {
        router.log.wait("the router's log", |log| log.iter().any(|line| line.contains(word)).then_some(()));
    };
    logged("in use");
    drop(last);
    logged("ready");
    let mut client = Client::connect(&router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, done(b"x")));
}

#[test]
fn told_to_end_while_it_waits_for_its_address_it_ends() {
    let last = TcpListener::bind("127.0.0.1:0").unwrap();
    let log = ChangeStream::start();
    let mut router = Router::start_at(&configuration(log.address, Vec::new()), last.local_addr().unwrap());
    router.log.wait("it to wait", |log| log.iter().any(|line| line.contains("in use")).then_some(()));
    router.terminate();
    assert!(router.wait().success());
}

#[test]
fn idle_clients_that_take_all_descriptors_leave_some_for_the_change_log_and_for_caches() {
    let cache = Cache::start(|_| Behavior::Respond(served(b"x")));
    let members = vec![
        endpoint_entry("c-1", cache.address, "cache", "active"),
        endpoint_entry("p-1", cache.address, "parent", "active"),
        endpoint_entry("o-1", cache.address, "origin", "active"),
    ];
    // Discovery is down: its address is known, and nobody listens there yet.
    let stuck = FullBacklogCache::start();
    let router = Router::start_with(
        &configuration(stuck.address, members.clone()),
        &StartOptions { descriptors: Some(64), ..StartOptions::default() },
    );
    let mut idle: Vec<_> = (0..200).map(|_| Client::connect(&router)).collect();
    let mut client = Client::connect(&router);
    client.request(1, OBJECT);
    assert_eq!(client.reply(), (1, done(b"x")), "caches are reached");
    let log = ChangeStream::start();
    router.reload(&configuration(log.address, members).to_string());
    assert_eq!(log.wait_for_subscriptions(1), [1], "and so is the change log, once it is there");
    client.request(2, OTHER);
    assert_eq!(client.reply(), (2, done(b"x")));
    let most = descriptors(router.pid());
    assert!(most <= 64, "{most}");
    idle.iter_mut().take(10).for_each(|client| assert!(client.reply_or_end().is_none()));
}
