//! Slow start of caches and parents, seen by single routers and by many.

mod support;

use support::*;
use tindoor::host::*;
use tindoor::time::Moment;

#[test]
fn a_warming_location_is_not_overloaded_even_when_clients_retry() {
    let mut router = start_router(&endpoint_list(), &[("bypass_allowed", 0.0)]);
    // 100 requests a second of 20 ms: each cache does half a transfer a second.
    router.serve_quietly(200, OutcomeDetail::Hit, 20);
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
    // At most 0.29 of half a transfer, four times, times 2.5, in 2 s: 2.9 s of work or 140 requests.
    assert!((20..110).contains(&sent), "{sent} sent");
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
    // A tenth of 20 transfers, twice, for two seconds: 8 s of work, or 26 requests before any service time is
    // sampled.
    assert!((1..26).contains(&filled), "{filled} fills from one warming parent");
}

#[test]
fn an_unreachable_parent_is_treated_as_warming_up_before_the_list_shows_it() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_quietly(100, OutcomeDetail::FilledFromSource, 30);
    let missing = sent_to(&router.request(0, 7)).1;
    router.end_attempt(0, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 5);
    let mut sent_there = || {
        let requests = (200..300).filter(|object| {
            let source = sent_to(&router.request(0, *object)).1;
            router.advance(2);
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == missing
        });
        (requests.count(), router.advance(21_000).len()).0
    };
    let (soon, late) = (sent_there(), sent_there());
    assert!(soon < 20 && late > 35, "{soon} of 100 at first, {late} once it is warm");
}

#[test]
fn a_hundred_routers_that_ejected_all_other_parents_do_not_overload_a_warming_one() {
    let list: Vec<EndpointUpdate> =
        endpoint_list().into_iter().map(|entry| EndpointUpdate { capacity: 20.0, ..entry }).collect();
    let settings = |seed| [("capacity_known", 1.0), ("routers", 100.0), ("seed", f64::from(seed))];
    let mut routers: Vec<TestRouter> = (0..100).map(|seed| start_router(&list, &settings(seed))).collect();
    let warming = [EndpointUpdate { capacity: 20.0, ..entry(4, 1004, PARENT, Some(9000)) }];
    let mut filled = 0;
    for router in &mut routers {
        router.serve_quietly(100, OutcomeDetail::Hit, 200);
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
    // A tenth of 20 transfers and a little more, twice, for two seconds: about 10 s of work, or 50 requests.
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
    assert!((50..300).contains(&sent), "{sent} sent");
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
    assert!((1..15).contains(&sent), "{sent} sent");
}

#[test]
fn objects_return_to_a_restarted_parent_one_by_one() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_quietly(200, OutcomeDetail::FilledFromSource, 20);
    router.engine.endpoints_changed(ListUpdateKind::Delta, &[entry(4, 1004, PARENT, Some(router.millis))]);
    let filled_there = |router: &mut TestRouter| {
        let taken = (0..100).filter(|object| {
            let source = sent_to(&router.request(0, *object)).1;
            router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == 4
        });
        taken.count()
    };
    let early = filled_there(&mut router);
    router.advance(10_000);
    let middle = filled_there(&mut router);
    router.advance(11_000);
    let late = filled_there(&mut router);
    assert!(early < 15 && early < middle && middle < late && late > 35, "{early} {middle} {late}");
}
