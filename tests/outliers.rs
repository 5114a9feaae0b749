//! Outlier ejection, trial requests, hang detection and the health weight of parents.

mod support;

use support::*;
use tindoor::host::*;

#[test]
fn a_hung_cache_is_ejected_before_its_attempts_time_out() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(100, OutcomeDetail::Hit, 20);
    let hung = sent_to(&router.request(0, 1)).0;
    let (mut cancelled, mut late) = (0, 0);
    for object in 0..150 {
        let actions = router.request(0, object);
        if matches!(actions[..], [Action::SendWithFill { endpoint, .. }] if endpoint != hung) {
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        } else if router.millis > 2000 {
            late += 1;
        }
        for action in router.advance(10) {
            if let Action::Cancel(slot, index) = action {
                cancelled += 1;
                let again =
                    router.end_attempt_of(slot, index, AttemptStatus::Cancelled, OutcomeDetail::Unknown, 400);
                assert_ne!(sent_to(&again).0, hung);
                router.end_attempt_of(slot, index + 1, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            }
        }
    }
    assert!(
        cancelled > 3 && late < 4,
        "{cancelled} attempts cancelled, {late} requests sent to the hung cache after 2 s"
    );
}

#[test]
fn a_failing_cache_is_ejected_and_reinstated_after_trial_requests() {
    let mut router = start_router(&endpoint_list(), &[]);
    let faulty = sent_to(&router.request(0, 1)).0;
    router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
    let serve_round = |router: &mut TestRouter, failing: bool| {
        let mut count = 0;
        for object in 0..200 {
            let actions = router.request(0, object);
            let mut cache = sent_to(&actions).0;
            count += usize::from(cache == faulty);
            let mut index = 0;
            while cache == faulty && failing {
                router.end_attempt(index, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
                cache = sent_to(&router.advance(200)).0;
                index += 1;
            }
            router.end_attempt(index, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            router.advance(10);
        }
        count
    };
    let failing = serve_round(&mut router, true);
    assert!(failing < 12, "{failing} of 200 requests sent to the failing cache");
    router.advance(8000);
    let healthy = serve_round(&mut router, false);
    assert_eq!(
        [sent_to(&router.request(0, 1)).0, sent_to(&router.request(0, 1)).0],
        [faulty, faulty],
        "no longer on trial"
    );
    assert!(healthy > 30, "{healthy} of 200 requests sent to the cache after its recovery");
}

#[test]
fn the_only_cache_is_used_however_often_it_fails() {
    let list: Vec<EndpointUpdate> =
        endpoint_list().into_iter().filter(|entry| entry.endpoint.0 == 0 || entry.kind != 0).collect();
    let list: Vec<EndpointUpdate> = list
        .into_iter()
        .zip(0..)
        .map(|(entry, id)| EndpointUpdate { endpoint: EndpointId(id), ..entry })
        .collect();
    let mut router = start_router(&list, &[("bypass_allowed", 0.0)]);
    for object in 0..30 {
        assert_eq!(sent_to(&router.request(0, object)).0, 0);
        router.end_attempt(0, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
        let again = router.advance(60);
        assert!(
            again
                .iter()
                .all(|action| !matches!(action, Action::SendWithFill { endpoint, .. } if *endpoint != 0))
        );
        router.engine.request_abandoned(RequestSlot(router.last_slot));
    }
}

#[test]
fn a_request_that_fails_everywhere_is_given_up_and_does_not_keep_a_cache_ejected() {
    let mut router = start_router(&endpoint_list(), &[]);
    let faulty = sent_to(&router.request(0, 1)).0;
    router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
    let serve = |router: &mut TestRouter, object, failing: bool| {
        let failing = sent_to(&router.request(0, object)).0 == faulty && failing;
        if failing {
            router.end_attempt(0, AttemptStatus::Unreachable, OutcomeDetail::Unknown, 1);
        }
        router.end_attempt(u16::from(failing), AttemptStatus::Served, OutcomeDetail::Hit, 20);
        router.advance(10);
    };
    (0..100).for_each(|object| serve(&mut router, object, true));
    router.advance(8000);
    for object in 0..200 {
        // A bad request, which causes an error at every cache, is the first of the cache's trial requests.
        let (mut actions, mut index) = (router.request(0, 1), 0);
        while !matches!(actions[..], [Action::Reject(..)]) {
            let at_once = router.end_attempt(index, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
            actions = [at_once, router.advance(200)].concat();
            index += 1;
        }
        assert!(index <= 4, "{index} attempts");
        serve(&mut router, object, false);
    }
    assert_eq!(
        [sent_to(&router.request(0, 1)).0, sent_to(&router.request(0, 1)).0],
        [faulty, faulty],
        "no longer on trial"
    );
}

#[test]
fn a_new_cache_that_reuses_the_id_of_a_removed_one_starts_with_an_empty_outcome_window() {
    let mut router = start_router(&endpoint_list(), &[]);
    let faulty = sent_to(&router.request(0, 1)).0;
    for object in 0..200 {
        let failing = sent_to(&router.request(0, object)).0 == faulty;
        if failing {
            router.end_attempt(0, AttemptStatus::Unreachable, OutcomeDetail::Unknown, 1);
        }
        router.end_attempt(u16::from(failing), AttemptStatus::Served, OutcomeDetail::Hit, 20);
        router.advance(10);
    }
    let removed = EndpointUpdate { state: EndpointState::Removed, ..endpoint_list()[faulty as usize] };
    router.engine.endpoints_changed(ListUpdateKind::Delta, &[removed]);
    router.engine.endpoints_changed(ListUpdateKind::Delta, &[entry(faulty, 77, 0, None)]);
    let count = (0..200).filter(|object| sent_to(&router.request(0, 5000 + object)).0 == faulty).count();
    assert!(count > 20, "{count} of 200 requests sent to the new cache");
}

#[test]
fn ejection_leaves_enough_caches_to_carry_the_load() {
    let mut router = start_router(&endpoint_list(), &[]);
    let mut count = [0; 4];
    for object in 0..400 {
        let first = sent_to(&router.request(0, object)).0;
        let mut cache = first;
        let mut index = 0;
        while cache != 3 && index < 3 {
            router.end_attempt(index, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
            cache = sent_to(&router.advance(90)).0;
            index += 1;
        }
        router.end_attempt(index, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        count[first as usize] += usize::from(object > 100);
        router.advance(5);
    }
    count.sort_unstable();
    assert!(count[0] < 20 && count[1] < 20 && count[2] > 40, "{count:?} requests per cache, sorted");
}

#[test]
fn a_slow_parent_loses_objects_and_regains_them_after_recovery() {
    let mut router = start_router(&endpoint_list(), &[]);
    let serve_round = |router: &mut TestRouter, slow: u64| {
        let mut count = 0;
        for object in 0..100 {
            let source = sent_to(&router.request(0, object)).1;
            router.advance(5);
            router.end_attempt(
                0,
                AttemptStatus::Served,
                OutcomeDetail::FilledFromSource,
                if source == 4 { slow } else { 30 },
            );
            count += usize::from(source == 4);
        }
        count
    };
    let (healthy, slow) = (serve_round(&mut router, 30), serve_round(&mut router, 600));
    let again = (0..5).map(|_| serve_round(&mut router, 30)).last().unwrap();
    assert!(
        slow < healthy * 2 / 3 && again > healthy - 3,
        "of 100 fills from the parent: {healthy} while healthy, {slow} while slow, {again} after recovery"
    );
}
