//! Slow start of caches and parents, with a single router and with many routers.

mod support;

use support::*;
use tindoor::host::*;
use tindoor::time::Moment;

#[test]
fn a_warming_location_is_not_overloaded_even_when_clients_retry() {
    let mut router = start_router(&endpoint_list(), &[("bypass_allowed", 0.0)]);
    // 100 requests per second of 20 ms each: on average each of the four caches runs half a transfer.
    router.serve_sequentially(200, OutcomeDetail::Hit, 20);
    let warming: Vec<EndpointUpdate> =
        (0..4).map(|id| entry(id, 1000 + u64::from(id), 0, Some(router.millis))).collect();
    router.engine.endpoints_changed(ListUpdateKind::Delta, &warming);
    router.client_retry = true;
    let mut sent = 0;
    for object in 0..800 {
        let actions = router.request(0, object);
        sent += actions.iter().filter(|action| matches!(action, Action::SendWithFill { .. })).count();
        if sent > 0 && matches!(actions[..], [Action::SendWithFill { .. }]) {
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        }
        router.advance(2);
    }
    // The budget is at most 0.29 times half a transfer, times four caches, times 2.5, times 2 s: 2.9 s of
    // work or 140 requests.
    assert!((20..110).contains(&sent), "{sent} of 800 requests sent");
}

#[test]
fn a_hundred_routers_together_do_not_overload_a_warming_parent() {
    let list: Vec<EndpointUpdate> = endpoint_list()
        .into_iter()
        .map(|entry| match entry.kind {
            PARENT => EndpointUpdate { capacity: 20.0, started_at: Some(Moment::at_micros(START)), ..entry },
            _ => entry,
        })
        .collect();
    let settings = |seed| [("capacity_known", 1.0), ("routers", 100.0), ("seed", f64::from(seed))];
    let mut routers: Vec<TestRouter> = (0..100).map(|seed| start_router(&list, &settings(seed))).collect();
    let mut filled = 0;
    for object in 0..500 {
        let router = &mut routers[object % 100];
        router.advance(2000 * (object as u64 / 100 + 1) / 5 - router.millis);
        filled += usize::from(matches!(
            router.request(0, object as u64)[..],
            [Action::SendWithFill { source: 4, .. }]
        ));
    }
    // The budget is a tenth of 20 transfers, times 2, times 2 s: 8 s of work, or 26 requests as long as there
    // are no samples of the service time.
    assert!((1..26).contains(&filled), "{filled} fills from one warming parent");
}

#[test]
fn an_unreachable_parent_is_treated_as_warming_up_before_the_list_shows_its_restart() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(100, OutcomeDetail::FilledFromSource, 30);
    let unreachable = sent_to(&router.request(0, 7)).1;
    router.end_attempt(0, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 5);
    let mut sent_there = || {
        let requests = (200..300).filter(|object| {
            let source = sent_to(&router.request(0, *object)).1;
            router.advance(2);
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == unreachable
        });
        (requests.count(), router.advance(21_000).len()).0
    };
    let (while_warming, once_warm) = (sent_there(), sent_there());
    assert!(
        while_warming < 20 && once_warm > 35,
        "{while_warming} of 100 fills at first, {once_warm} once the parent is warm"
    );
}

#[test]
fn a_hundred_routers_that_ejected_the_other_parent_do_not_overload_a_warming_one() {
    let list: Vec<EndpointUpdate> =
        endpoint_list().into_iter().map(|entry| EndpointUpdate { capacity: 20.0, ..entry }).collect();
    let settings = |seed| [("capacity_known", 1.0), ("routers", 100.0), ("seed", f64::from(seed))];
    let mut routers: Vec<TestRouter> = (0..100).map(|seed| start_router(&list, &settings(seed))).collect();
    let warming = [EndpointUpdate { capacity: 20.0, ..entry(4, 1004, PARENT, Some(9000)) }];
    let mut filled = 0;
    for router in &mut routers {
        router.serve_sequentially(100, OutcomeDetail::Hit, 200);
        router.advance(9000 - router.millis);
        router.engine.endpoints_changed(ListUpdateKind::Delta, &warming);
        for object in 0..40 {
            // Parent 5 rejects every fill.
            let mut actions = router.request(0, object);
            for index in 0..2 {
                filled += usize::from(matches!(actions[..], [Action::SendWithFill { source: 4, .. }]));
                actions = match actions[..] {
                    [Action::SendWithFill { source: 5, .. }] => router.end_attempt(
                        index,
                        AttemptStatus::Overloaded,
                        OutcomeDetail::SourceOverloaded,
                        5,
                    ),
                    _ => Vec::new(),
                };
            }
            router.advance(25);
        }
    }
    // The budget is a little more than a tenth of 20 transfers, times 2, times 2 s: about 10 s of work, or 50
    // requests.
    assert!((1..40).contains(&filled), "{filled} fills from a warming parent");
}

#[test]
fn a_router_started_with_a_warming_location_does_not_starve_it() {
    let warming: Vec<EndpointUpdate> = endpoint_list()
        .into_iter()
        .map(|entry| EndpointUpdate { started_at: Some(Moment::at_micros(START)), ..entry })
        .collect();
    let mut router = start_router(&warming, &[("bypass_allowed", 0.0), ("parent_initial_share", 1.0)]);
    let mut sent = 0;
    for object in 0..500 {
        if matches!(router.request(0, object)[..], [Action::SendWithFill { .. }]) {
            sent += 1;
            router.advance(10);
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 10);
        }
        router.advance(10);
    }
    assert!((50..300).contains(&sent), "{sent} of 500 requests sent");
}

#[test]
fn the_first_restarted_cache_to_be_listed_does_not_get_the_load_of_the_whole_location() {
    let mut router = start_router(&endpoint_list(), &[("bypass_allowed", 0.0)]);
    let removed: Vec<EndpointUpdate> = endpoint_list()[..4]
        .iter()
        .map(|entry| EndpointUpdate { state: EndpointState::Removed, ..*entry })
        .collect();
    router.engine.endpoints_changed(ListUpdateKind::Delta, &removed);
    let count_sent = |router: &mut TestRouter| {
        let sent = (0..100).filter(|object| {
            router.advance(10);
            matches!(router.request(0, *object)[..], [Action::SendWithFill { .. }])
        });
        sent.count()
    };
    assert_eq!(count_sent(&mut router), 0);
    router.engine.endpoints_changed(ListUpdateKind::Delta, &[entry(0, 1000, 0, Some(router.millis))]);
    let sent = count_sent(&mut router);
    assert!((1..15).contains(&sent), "{sent} of 100 requests sent");
}

#[test]
fn objects_return_to_a_restarted_parent_gradually() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(200, OutcomeDetail::FilledFromSource, 20);
    router.engine.endpoints_changed(ListUpdateKind::Delta, &[entry(4, 1004, PARENT, Some(router.millis))]);
    let filled_there = |router: &mut TestRouter| {
        let filled = (0..100).filter(|object| {
            let source = sent_to(&router.request(0, *object)).1;
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == 4
        });
        filled.count()
    };
    let at_start = filled_there(&mut router);
    router.advance(10_000);
    let middle = filled_there(&mut router);
    router.advance(11_000);
    let once_warm = filled_there(&mut router);
    assert!(
        at_start < 15 && at_start < middle && middle < once_warm && once_warm > 35,
        "{at_start}, {middle}, {once_warm} of 100 fills from the restarted parent after 0, 10 and 21 s"
    );
}
