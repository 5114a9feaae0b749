//! Lateness and congestion, and the requests that are rejected or diverted because of them.

mod support;

use support::*;
use tindoor::host::*;

#[test]
fn with_many_routers_in_a_location_lateness_alone_causes_rejections() {
    let rejected = |routers: f64| {
        let mut router =
            start_router(&endpoint_list(), &[("routers_in_location", routers), ("bypass_allowed", 0.0)]);
        let mut rejected = 0;
        for object in 0..120 {
            let actions = router.request(0, object);
            if matches!(actions[..], [Action::SendWithFill { .. }]) {
                // 1500 ms is five times the objective; no other request is in flight.
                router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 1500);
            }
            rejected += usize::from(matches!(actions[..], [Action::Reject(..)]) && object >= 40);
            router.advance(50);
        }
        rejected
    };
    assert_eq!(rejected(1.0), 0);
    assert!(rejected(12.0) > 40, "{} of 80 requests rejected", rejected(12.0));
}

#[test]
fn queueing_under_load_from_the_start_is_not_counted_as_service_time() {
    let mut router =
        start_router(&endpoint_list(), &[("routers_in_location", 12.0), ("bypass_allowed", 0.0)]);
    let mut rejected = 0;
    for object in 0..200 {
        let actions = router.request(0, object);
        match actions[..] {
            [Action::SendWithFill { .. }] => {
                // 1000 ms is more than three times the base objective.
                router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 1000);
            }
            _ => rejected += 1,
        }
        router.advance(30);
    }
    assert!(rejected > 60, "{rejected} of 200 requests rejected");
}

#[test]
fn unreported_timeouts_do_not_count_as_late_origin_fills_if_fill_details_are_reported() {
    let mut router = start_router(&endpoint_list(), &[("routers_in_location", 12.0)]);
    router.serve_sequentially(60, OutcomeDetail::FilledFromOrigin, 30);
    let mut filled = 0;
    for object in 100..180 {
        filled += usize::from(matches!(
            router.request(0, object)[..],
            [Action::SendWithFill { only_if_cached: false, .. }]
        ));
        match object % 4 {
            0 => drop(router.end_attempt(0, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 3750)),
            _ => drop(router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::FilledFromOrigin, 30)),
        }
        router.advance(150);
    }
    assert!(filled > 75, "{filled} of 80 admitted");
}

#[test]
fn a_few_timeouts_do_not_stop_admission_once_fills_are_quick_again() {
    let mut router = start_router(&endpoint_list(), &[("routers_in_location", 12.0)]);
    router.serve_sequentially(40, OutcomeDetail::FilledFromSource, 30);
    for object in 100..106 {
        router.request_within(0, object, 30);
        router.advance(20);
        router.end_attempt(0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 4900);
    }
    let mut filled = 0;
    for object in 200..260 {
        let actions = router.request(0, object);
        filled += usize::from(matches!(actions[..], [Action::SendWithFill { only_if_cached: false, .. }]));
        router.advance(100);
        router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::FilledFromOrigin, 30);
    }
    assert!(filled > 35, "{filled} of 60 admitted");
}

#[test]
fn without_fill_details_parents_still_fill_from_their_copies_if_half_of_the_fills_are_quick() {
    let mut router =
        start_router(&endpoint_list(), &[("routers_in_location", 12.0), ("fill_details_reported", 0.0)]);
    let mut only_if_cached = 0;
    for object in 0..200 {
        let actions = router.request(0, object);
        only_if_cached +=
            usize::from(matches!(actions[..], [Action::SendWithFill { only_if_cached: true, .. }]));
        router.end_attempt(
            0,
            AttemptStatus::Served,
            OutcomeDetail::FilledFromSource,
            if object % 3 == 0 { 3000 } else { 30 },
        );
        router.advance(60);
    }
    assert!(only_if_cached > 60, "{only_if_cached} of 200 attempts sent with only_if_cached");
}

#[test]
fn requests_bypass_late_caches_while_the_parents_answer_in_time() {
    let mut router = start_router(&endpoint_list(), &[("routers_in_location", 12.0)]);
    let mut bypassed = [0, 0];
    for object in 0..300 {
        let actions = router.request(0, object);
        if let [Action::SendWithFill { endpoint, .. }] = actions[..] {
            let by_parent = endpoint >= 4;
            bypassed[usize::from(object >= 150)] += usize::from(by_parent);
            // Caches are late all the time, parents only in the second half.
            let millis = if by_parent && object < 150 { 30 } else { 1500 };
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, millis);
        }
        router.advance(30);
    }
    assert!(
        bypassed[0] > 40 && bypassed[1] < bypassed[0] / 2,
        "{bypassed:?} of 150 requests each bypassed the caches"
    );
}

#[test]
fn admission_recovers_after_a_burst_from_the_few_requests_admitted() {
    let mut router =
        start_router(&endpoint_list(), &[("routers_in_location", 12.0), ("bypass_allowed", 0.0)]);
    router.serve_sequentially(40, OutcomeDetail::Hit, 30);
    let mut rejected = [0; 3];
    for object in 0..400 {
        let burst = object < 200;
        let actions = router.request(0, object);
        match actions[..] {
            [Action::SendWithFill { .. }] => drop(router.end_attempt(
                0,
                AttemptStatus::Served,
                OutcomeDetail::Hit,
                if burst { 900 } else { 30 },
            )),
            _ => rejected[object as usize / 200 + object as usize / 300] += 1,
        }
        router.advance(if burst { 10 } else { 60 });
    }
    assert!(
        rejected[0] > 100 && rejected[1] < 33 && rejected[2] < 5,
        "{rejected:?} rejected of 200 in the burst, of the next 100 and of the last 100"
    );
}

#[test]
fn while_fills_are_late_misses_are_rejected_and_hits_are_served() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(100, OutcomeDetail::Hit, 20);
    (100..160).for_each(|object| drop(router.request(0, object)));
    router.advance(1500);
    for slot in 101..=160 {
        router.end_attempt_of(slot, 0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 1500);
    }
    (200..260).for_each(|object| drop(router.request(0, object)));
    let mut rejected = 0;
    for object in 300..310 {
        let (cache, source) = sent_to(&router.request(0, object));
        assert_eq!(cache, source, "the attempt should be cache-only");
        let actions = router.end_attempt(0, AttemptStatus::Miss, OutcomeDetail::Unknown, 2);
        rejected += usize::from(matches!(actions[..], [Action::Reject(..)]));
    }
    assert!(rejected >= 8, "{rejected} of 10 misses rejected");
    sent_to(&router.request(0, 999));
    assert_eq!(router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20), []);
}

#[test]
fn while_only_the_origin_is_slow_parents_still_fill_from_their_copies() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(100, OutcomeDetail::Hit, 20);
    (100..140).for_each(|object| drop(router.request(0, object)));
    router.advance(1500);
    for slot in 101..=140 {
        let detail = [OutcomeDetail::FilledFromOrigin, OutcomeDetail::FilledFromSource][slot as usize % 2];
        router.end_attempt_of(slot, 0, AttemptStatus::Served, detail, [1500, 30][slot as usize % 2]);
    }
    let actions: Vec<Action> = (200..240).flat_map(|object| router.request(0, object)).collect();
    let (_, source) = sent_to(&actions[39..]);
    assert!(
        (4..6).contains(&source) && matches!(actions[39], Action::SendWithFill { only_if_cached: true, .. }),
        "{actions:?}"
    );
    assert_eq!(router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 30), []);
}

#[test]
fn a_cache_whose_hits_are_late_gets_fewer_requests() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(100, OutcomeDetail::Hit, 20);
    let slow = sent_to(&router.request(0, 1)).0;
    let mut in_flight = Vec::new();
    for object in 0..400 {
        let actions = router.request(0, object);
        match actions[..] {
            [Action::SendWithFill { endpoint, .. }] if endpoint == slow => in_flight.push(router.last_slot),
            [Action::SendWithFill { .. }] => {
                router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            }
            _ => {}
        }
        router.advance(5);
        if object % 8 == 0 && !in_flight.is_empty() {
            router.end_attempt_of(in_flight.remove(0), 0, AttemptStatus::Served, OutcomeDetail::Hit, 900);
        }
    }
    assert!(in_flight.len() < 4, "{} attempts in flight at the slow cache", in_flight.len());
}

#[test]
fn requests_known_to_be_huge_are_rejected_first() {
    let mut router = start_router(&endpoint_list(), &[("client_kb_per_s", 1000.0), ("bypass_allowed", 0.0)]);
    router.size_kb = Some(50.0);
    router.serve_sequentially(100, OutcomeDetail::Hit, 55);
    (100..180).for_each(|object| drop(router.request(0, object)));
    router.advance(390);
    for slot in 101..=180 {
        router.end_attempt_of(slot, 0, AttemptStatus::Served, OutcomeDetail::Hit, 390);
    }
    let mut admitted = |size_kb: f32| {
        router.size_kb = Some(size_kb);
        (200..280)
            .filter(|object| matches!(router.request(0, *object)[..], [Action::SendWithFill { .. }]))
            .count()
    };
    let huge = admitted(1500.0);
    let small = admitted(50.0);
    assert!(
        huge > 8 && huge < 60 && small > huge / 3,
        "{huge} huge requests and then {small} small requests admitted, of 80 each"
    );
}
