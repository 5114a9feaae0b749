//! Short stories, one for each failure met or rule kept, told to the decisions through one tiny host.

mod support;

use support::*;
use tindoor::host::*;
use tindoor::time::{Moment, Span};

#[test]
fn requests_for_one_object_meet_at_one_cache_and_one_parent_whatever_the_indices() {
    let mut turned: Vec<EndpointUpdate> = fleet().into_iter().rev().collect();
    turned.iter_mut().zip(0..).for_each(|(line, no)| line.endpoint = EndpointId(no));
    let (mut one, mut other) = (router(&fleet(), &[]), router(&turned, &[]));
    let mut used = [0; 7];
    for object in 0..50 {
        let (cache, source) = place(&one.request(0, object));
        assert_eq!(place(&other.request(0, object)), (6 - cache, 6 - source));
        assert_eq!(place(&one.request(0, object)), (cache, source));
        used[cache as usize] += 1;
        one.end_of(one.next, 0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
        one.end_of(one.next - 1, 0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
        other.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
    }
    assert!(used[..4].iter().all(|used| *used > 3), "{used:?}");
    assert!(matches!(one.request(0, 5)[..], [Act::Read { join_fill: true, retention_rank: 1, .. }]));
}

#[test]
fn what_runs_at_the_origin_goes_there_untouched_and_never_through_a_cache() {
    let mut r = router(&fleet(), &[]);
    assert_eq!(r.request(2, 1), [Act::Look(1, 6)]);
    let mut r = router(&fleet(), &[("bypass_allowed", 0.0)]);
    assert!(matches!(
        r.request(2, 1)[..],
        [Act::Read { source: 6, join_fill: false, retention_rank: 0, .. }]
    ));
}

#[test]
fn a_once_only_request_goes_again_only_when_it_is_known_not_to_have_run() {
    let mut r = router(&fleet(), &[]);
    r.request(3, 1);
    assert_eq!(r.end(0, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1), [Act::Look(1, 6)]);
    assert_eq!(r.end(1, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 900), []);
    assert_eq!(r.wait(300), [Act::WriteOff(1)]);
}

#[test]
fn a_tagged_request_goes_again_only_within_its_window() {
    let mut r = router(&fleet(), &[]);
    r.request(2, 1);
    r.end(0, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert_eq!(r.wait(100), [Act::Look(1, 6)]);
    r.wait(2900);
    r.end(1, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert_eq!(r.wait(100).len(), 1, "turned back, not sent");
    r.request(2, 2);
    assert_eq!(r.wait(3100), []);
    r.end(0, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert!(matches!(r.wait(100)[..], [Act::TurnBack(2, _)]));
}

#[test]
fn a_draining_or_gone_member_gets_nothing_more_as_cache_or_as_source() {
    let mut r = router(&fleet(), &[]);
    let (cache, source) = place(&r.request(0, 1));
    let mut lines = fleet();
    lines[cache as usize].state = EndpointState::Draining;
    lines[source as usize].state = EndpointState::Removed;
    let changed = [lines[cache as usize], lines[source as usize]];
    r.control.endpoints_changed(ListUpdateKind::Delta, &changed);
    for object in 0..40 {
        let (new_cache, new_source) = place(&r.request(0, object));
        assert!(new_cache != cache && new_source != source);
        r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 30);
    }
    // The whole list without them says the same, and one without any cache leaves the parents.
    r.control.endpoints_changed(ListUpdateKind::Full, &lines[4..]);
    let (cache, _) = place(&r.request(0, 1));
    assert!(cache >= 4);
}

#[test]
fn after_a_purge_only_younger_copies_will_do() {
    let mut r = router(&fleet(), &[]);
    assert!(matches!(r.request(0, 1)[..], [Act::Read { max_age: None, .. }]));
    r.control.purged(None, 9, Span::ZERO);
    let least = Some(Span::micros(1)); // nothing would mean any age
    assert!(matches!(&r.request(0, 1)[..], [Act::Read { max_age, .. }] if *max_age == least));
    r.wait(700);
    let since = Some(Span::millis(700));
    assert!(matches!(&r.request(1, 2)[..], [Act::Read { max_age, .. }] if *max_age == since));
    r.control.purged(Some(2), 9, Span::millis(100));
    let newest = Some(Span::millis(100));
    assert!(matches!(&r.request(0, 2)[..], [Act::Read { max_age, .. }] if *max_age == newest));
}

#[test]
fn a_cold_branch_is_not_sent_more_than_it_bears_even_when_clients_repeat() {
    let mut r = router(&fleet(), &[("bypass_allowed", 0.0)]);
    r.quiet(200, OutcomeDetail::Hit, 20); // 100 requests a second of 20 ms: each cache does half a transfer a second
    let cold: Vec<EndpointUpdate> =
        (0..4).map(|no| line(no, 1000 + u64::from(no), 0, Some(r.millis))).collect();
    r.control.endpoints_changed(ListUpdateKind::Delta, &cold);
    r.repeats = true;
    let mut sent = 0;
    for object in 0..800 {
        let acts = r.request(0, object);
        sent += acts.iter().filter(|act| matches!(act, Act::Read { .. })).count();
        if sent > 0 && matches!(acts[..], [Act::Read { .. }]) {
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        }
        r.wait(2);
    }
    // At most 0.29 of half a transfer, four times, times 2.5, in 2 s: 2.9 s of work or 140 requests.
    assert!((20..110).contains(&sent), "{sent} sent");
}

#[test]
fn a_hundred_routers_together_do_not_topple_a_cold_parent() {
    let list: Vec<EndpointUpdate> = fleet()
        .into_iter()
        .map(|l| match l.kind {
            PARENT => EndpointUpdate { capacity: 20.0, started_at: Some(Moment::at_micros(START)), ..l },
            _ => l,
        })
        .collect();
    let told = |seed| [("capacity_known", 1.0), ("routers", 100.0), ("seed", f64::from(seed))];
    let mut routers: Vec<Router> = (0..100).map(|seed| router(&list, &told(seed))).collect();
    let mut filled = 0;
    for object in 0..500 {
        let r = &mut routers[object % 100];
        r.wait(2000 * (object as u64 / 100 + 1) / 5 - r.millis);
        filled += usize::from(matches!(r.request(0, object as u64)[..], [Act::Read { source: 4, .. }]));
    }
    // A tenth of 20 transfers, twice, for two seconds: 8 s of work, or 26 requests before any is measured.
    assert!((1..26).contains(&filled), "{filled} fills from one cold parent");
}

#[test]
fn in_a_branch_of_many_routers_lateness_alone_turns_requests_back() {
    let rejected = |routers: f64| {
        let mut r = router(&fleet(), &[("routers_in_location", routers), ("bypass_allowed", 0.0)]);
        let mut rejected = 0;
        for object in 0..120 {
            let acts = r.request(0, object);
            if matches!(acts[..], [Act::Read { .. }]) {
                r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 1500); // five goals, and nothing else in hand here
            }
            rejected += usize::from(matches!(acts[..], [Act::TurnBack(..)]) && object >= 40);
            r.wait(50);
        }
        rejected
    };
    assert_eq!(rejected(1.0), 0);
    assert!(rejected(12.0) > 40, "{} of 80", rejected(12.0));
}

#[test]
fn a_day_that_begins_crowded_does_not_pass_for_an_easy_one() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0), ("bypass_allowed", 0.0)]);
    let mut rejected = 0;
    for object in 0..200 {
        let acts = r.request(0, object);
        match acts[..] {
            [Act::Read { .. }] => drop(r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 1000)), // three times the base goal
            _ => rejected += 1,
        }
        r.wait(30);
    }
    assert!(rejected > 60, "{rejected} of 200");
}

#[test]
fn lost_answers_do_not_pass_for_a_slow_origin_where_notes_tell_all() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0)]);
    r.quiet(60, OutcomeDetail::FilledFromOrigin, 30);
    let mut filled = 0;
    for object in 100..180 {
        filled += usize::from(matches!(r.request(0, object)[..], [Act::Read { only_if_cached: false, .. }]));
        match object % 4 {
            0 => drop(r.end(0, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 3750)),
            _ => drop(r.end(0, AttemptStatus::Served, OutcomeDetail::FilledFromOrigin, 30)),
        }
        r.wait(150);
    }
    assert!(filled > 75, "{filled} of 80 let in");
}

#[test]
fn a_few_time_outs_do_not_close_the_way_in_once_fills_are_quick_again() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0)]);
    r.quiet(40, OutcomeDetail::FilledFromSource, 30);
    for object in 100..106 {
        r.request_within(0, object, 30);
        r.wait(20);
        r.end(0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 4900);
    }
    let mut filled = 0;
    for object in 200..260 {
        let acts = r.request(0, object);
        filled += usize::from(matches!(acts[..], [Act::Read { only_if_cached: false, .. }]));
        r.wait(100);
        r.end(0, AttemptStatus::Served, OutcomeDetail::FilledFromOrigin, 30);
    }
    assert!(filled > 35, "{filled} of 60 let in");
}

#[test]
fn a_parent_that_was_not_there_is_taken_for_cold_before_the_list_tells() {
    let mut r = router(&fleet(), &[]);
    r.quiet(100, OutcomeDetail::FilledFromSource, 30);
    let missing = place(&r.request(0, 7)).1;
    r.end(0, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 5);
    let mut asked = || {
        let requests = (200..300).filter(|object| {
            let source = place(&r.request(0, *object)).1;
            r.wait(2);
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == missing
        });
        (requests.count(), r.wait(21_000).len()).0
    };
    let (soon, late) = (asked(), asked());
    assert!(soon < 20 && late > 35, "{soon} of 100 at once, {late} once it must be warm");
}

#[test]
fn where_notes_tell_little_and_half_the_fills_are_quick_what_parents_hold_is_still_filled() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0), ("fill_details_reported", 0.0)]);
    let mut only_if_cached = 0;
    for object in 0..200 {
        let acts = r.request(0, object);
        only_if_cached += usize::from(matches!(acts[..], [Act::Read { only_if_cached: true, .. }]));
        r.end(
            0,
            AttemptStatus::Served,
            OutcomeDetail::FilledFromSource,
            if object % 3 == 0 { 3000 } else { 30 },
        );
        r.wait(60);
    }
    assert!(only_if_cached > 60, "{only_if_cached} of 200 asked for only what is held");
}

#[test]
fn a_list_that_is_repeated_empty_sudden_or_moves_its_members_is_taken_as_it_comes() {
    let mut r = router(&fleet(), &[("routers_in_location", 0.0), ("routers", 0.0), ("client_kb_per_s", 0.0)]);
    r.size_kb = Some(0.0);
    r.control.endpoints_changed(ListUpdateKind::Full, &fleet());
    r.control.endpoints_changed(ListUpdateKind::Delta, &fleet()[..3]);
    assert!(place(&r.request(0, 1)).0 < 4);
    r.control.endpoints_changed(ListUpdateKind::Full, &[]);
    assert!(matches!(r.request(0, 2)[..], [Act::TurnBack(..)]));
    let many: Vec<EndpointUpdate> =
        (0..300).map(|no| line(no, 5000 + u64::from(no), (no > 250).into(), None)).collect();
    r.control.endpoints_changed(ListUpdateKind::Full, &many);
    for object in 0..300 {
        let (cache, source) = place(&r.request(0, object));
        assert!(cache <= 250 && source > 250, "{cache} filled from {source}");
        r.end(0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 20);
    }
}

#[test]
fn where_a_cache_would_answer_late_a_calm_parent_answers_by_itself() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0)]);
    let mut straight = [0, 0];
    for object in 0..300 {
        let acts = r.request(0, object);
        if let [Act::Read { cache, .. }] = acts[..] {
            let by_parent = cache >= 4;
            straight[usize::from(object >= 150)] += usize::from(by_parent);
            // Caches are late all day, the parents from the middle on.
            let millis = if by_parent && object < 150 { 30 } else { 1500 };
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, millis);
        }
        r.wait(30);
    }
    assert!(straight[0] > 40 && straight[1] < straight[0] / 2, "{straight:?} of 150 each");
}

#[test]
fn the_few_requests_let_in_after_a_rush_outweigh_the_rush() {
    let mut r = router(&fleet(), &[("routers_in_location", 12.0), ("bypass_allowed", 0.0)]);
    r.quiet(40, OutcomeDetail::Hit, 30);
    let mut rejected = [0; 3];
    for object in 0..400 {
        let rush = object < 200;
        let acts = r.request(0, object);
        match acts[..] {
            [Act::Read { .. }] => {
                drop(r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, if rush { 900 } else { 30 }))
            }
            _ => rejected[object as usize / 200 + object as usize / 300] += 1,
        }
        r.wait(if rush { 10 } else { 60 });
    }
    assert!(rejected[0] > 100 && rejected[1] < 33 && rejected[2] < 5, "{rejected:?}");
}

#[test]
fn a_hundred_routers_to_whom_all_other_parents_are_ill_do_not_topple_a_cold_one() {
    let list: Vec<EndpointUpdate> =
        fleet().into_iter().map(|l| EndpointUpdate { capacity: 20.0, ..l }).collect();
    let told = |seed| [("capacity_known", 1.0), ("routers", 100.0), ("seed", f64::from(seed))];
    let mut routers: Vec<Router> = (0..100).map(|seed| router(&list, &told(seed))).collect();
    let cold = [EndpointUpdate { capacity: 20.0, ..line(4, 1004, PARENT, Some(9000)) }];
    let mut filled = 0;
    for r in &mut routers {
        r.quiet(100, OutcomeDetail::Hit, 200);
        r.wait(9000 - r.millis);
        r.control.endpoints_changed(ListUpdateKind::Delta, &cold);
        for object in 0..40 {
            // Parent 5 is there for objects that it holds alone; each request that names it is refused.
            let mut acts = r.request(0, object);
            for nth in 0..2 {
                filled += usize::from(matches!(acts[..], [Act::Read { source: 4, .. }]));
                acts = match acts[..] {
                    [Act::Read { source: 5, .. }] => {
                        r.end(nth, AttemptStatus::Overloaded, OutcomeDetail::SourceOverloaded, 5)
                    }
                    _ => Vec::new(),
                };
            }
            r.wait(25);
        }
    }
    // A tenth of 20 transfers and a little more, twice, for two seconds: about 10 s of work, or 50 requests.
    assert!((1..40).contains(&filled), "{filled} fills from a cold parent");
}

#[test]
fn a_router_started_beside_a_cold_branch_does_not_starve_it() {
    let cold: Vec<EndpointUpdate> = fleet()
        .into_iter()
        .map(|l| EndpointUpdate { started_at: Some(Moment::at_micros(START)), ..l })
        .collect();
    let mut r = router(&cold, &[("bypass_allowed", 0.0), ("parent_initial_share", 1.0)]);
    let mut sent = 0;
    for object in 0..500 {
        if matches!(r.request(0, object)[..], [Act::Read { .. }]) {
            sent += 1;
            r.wait(10);
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 10);
        }
        r.wait(10);
    }
    assert!((50..300).contains(&sent), "{sent} sent");
}

#[test]
fn the_first_of_a_lost_branch_to_be_listed_is_not_taken_for_all_of_it() {
    let mut r = router(&fleet(), &[("bypass_allowed", 0.0)]);
    let gone: Vec<EndpointUpdate> =
        fleet()[..4].iter().map(|l| EndpointUpdate { state: EndpointState::Removed, ..*l }).collect();
    r.control.endpoints_changed(ListUpdateKind::Delta, &gone);
    let ask = |r: &mut Router| {
        let read = (0..100).filter(|object| {
            r.wait(10);
            matches!(r.request(0, *object)[..], [Act::Read { .. }])
        });
        read.count()
    };
    assert_eq!(ask(&mut r), 0);
    r.control.endpoints_changed(ListUpdateKind::Delta, &[line(0, 1000, 0, Some(r.millis))]);
    let sent = ask(&mut r);
    assert!((1..15).contains(&sent), "{sent} sent");
}

#[test]
fn a_restarted_parent_takes_its_objects_back_one_by_one() {
    let mut r = router(&fleet(), &[]);
    r.quiet(200, OutcomeDetail::FilledFromSource, 20);
    r.control.endpoints_changed(ListUpdateKind::Delta, &[line(4, 1004, PARENT, Some(r.millis))]);
    let at = |r: &mut Router| {
        let taken = (0..100).filter(|object| {
            let source = place(&r.request(0, *object)).1;
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            source == 4
        });
        taken.count()
    };
    let early = at(&mut r);
    r.wait(10_000);
    let middle = at(&mut r);
    r.wait(11_000);
    let late = at(&mut r);
    assert!(early < 15 && early < middle && middle < late && late > 35, "{early} {middle} {late}");
}

#[test]
fn a_hung_cache_is_left_before_its_requests_time_out() {
    let mut r = router(&fleet(), &[]);
    r.quiet(100, OutcomeDetail::Hit, 20);
    let hung = place(&r.request(0, 1)).0;
    let (mut cancelled, mut late) = (0, 0);
    for object in 0..150 {
        let acts = r.request(0, object);
        if matches!(acts[..], [Act::Read { cache, .. }] if cache != hung) {
            r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        } else if r.millis > 2000 {
            late += 1;
        }
        for act in r.wait(10) {
            if let Act::CallOff(request, nth) = act {
                cancelled += 1;
                let again = r.end_of(request, nth, AttemptStatus::Cancelled, OutcomeDetail::Unknown, 400);
                assert_ne!(place(&again).0, hung);
                r.end_of(request, nth + 1, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            }
        }
    }
    assert!(cancelled > 3 && late < 4, "{cancelled} called off, {late} sent to it later");
}

#[test]
fn a_cache_that_fails_at_once_is_left_out_and_comes_back_by_trials() {
    let mut r = router(&fleet(), &[]);
    let bad = place(&r.request(0, 1)).0;
    r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
    let round = |r: &mut Router, failing: bool| {
        let mut met = 0;
        for object in 0..200 {
            let acts = r.request(0, object);
            let mut cache = place(&acts).0;
            met += usize::from(cache == bad);
            let mut nth = 0;
            while cache == bad && failing {
                r.end(nth, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
                cache = place(&r.wait(200)).0;
                nth += 1;
            }
            r.end(nth, AttemptStatus::Served, OutcomeDetail::Hit, 20);
            r.wait(10);
        }
        met
    };
    let failing = round(&mut r, true);
    assert!(failing < 12, "{failing} met the failing cache");
    r.wait(8000);
    let well = round(&mut r, false);
    assert_eq!([place(&r.request(0, 1)).0, place(&r.request(0, 1)).0], [bad, bad], "no longer on trial");
    assert!(well > 30, "{well} met it when it was well again");
}

#[test]
fn the_only_cache_left_is_used_however_it_does() {
    let list: Vec<EndpointUpdate> =
        fleet().into_iter().filter(|line| line.endpoint.0 == 0 || line.kind != 0).collect();
    let list: Vec<EndpointUpdate> =
        list.into_iter().zip(0..).map(|(l, no)| EndpointUpdate { endpoint: EndpointId(no), ..l }).collect();
    let mut r = router(&list, &[("bypass_allowed", 0.0)]);
    for object in 0..30 {
        assert_eq!(place(&r.request(0, object)).0, 0);
        r.end(0, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
        let again = r.wait(60);
        assert!(again.iter().all(|act| !matches!(act, Act::Read { cache, .. } if *cache != 0)));
        r.control.request_abandoned(RequestSlot(r.next));
    }
}

#[test]
fn what_no_cache_can_use_is_soon_given_up_and_keeps_none_of_them_out() {
    let mut r = router(&fleet(), &[]);
    let bad = place(&r.request(0, 1)).0;
    r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20);
    let good = |r: &mut Router, object, failing: bool| {
        let failing = place(&r.request(0, object)).0 == bad && failing;
        if failing {
            r.end(0, AttemptStatus::Unreachable, OutcomeDetail::Unknown, 1);
        }
        r.end(u16::from(failing), AttemptStatus::Served, OutcomeDetail::Hit, 20);
        r.wait(10);
    };
    (0..100).for_each(|object| good(&mut r, object, true));
    r.wait(8000);
    for object in 0..200 {
        // A bad client's, an error wherever it is asked for, meets the cache first on its trials.
        let (mut acts, mut nth) = (r.request(0, 1), 0);
        while !matches!(acts[..], [Act::TurnBack(..)]) {
            let at_once = r.end(nth, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
            acts = [at_once, r.wait(200)].concat();
            nth += 1;
        }
        assert!(nth <= 4, "{nth} dispatches");
        good(&mut r, object, false);
    }
    assert_eq!([place(&r.request(0, 1)).0, place(&r.request(0, 1)).0], [bad, bad], "no longer on trial");
}

#[test]
fn the_number_of_a_cache_that_is_gone_may_be_a_new_ones_who_starts_unblamed() {
    let mut r = router(&fleet(), &[]);
    let bad = place(&r.request(0, 1)).0;
    for object in 0..200 {
        let failing = place(&r.request(0, object)).0 == bad;
        if failing {
            r.end(0, AttemptStatus::Unreachable, OutcomeDetail::Unknown, 1);
        }
        r.end(u16::from(failing), AttemptStatus::Served, OutcomeDetail::Hit, 20);
        r.wait(10);
    }
    let gone = EndpointUpdate { state: EndpointState::Removed, ..fleet()[bad as usize] };
    r.control.endpoints_changed(ListUpdateKind::Delta, &[gone]);
    r.control.endpoints_changed(ListUpdateKind::Delta, &[line(bad, 77, 0, None)]);
    let met = (0..200).filter(|object| place(&r.request(0, 5000 + object)).0 == bad).count();
    assert!(met > 20, "{met} views for the new cache");
}

#[test]
fn never_so_many_are_left_out_that_the_rest_would_drown() {
    let mut r = router(&fleet(), &[]);
    let mut met = [0; 4];
    for object in 0..400 {
        let first = place(&r.request(0, object)).0;
        let mut cache = first;
        let mut nth = 0;
        while cache != 3 && nth < 3 {
            r.end(nth, AttemptStatus::Error, OutcomeDetail::Unknown, 1);
            cache = place(&r.wait(90)).0;
            nth += 1;
        }
        r.end(nth, AttemptStatus::Served, OutcomeDetail::Hit, 20);
        met[first as usize] += usize::from(object > 100);
        r.wait(5);
    }
    met.sort_unstable();
    assert!(met[0] < 20 && met[1] < 20 && met[2] > 40, "{met:?}");
}

#[test]
fn requests_of_a_hot_object_beyond_a_fair_share_go_to_the_next_in_its_order() {
    let mut r = router(&fleet(), &[]);
    let caches: Vec<u32> = (0..24).map(|_| place(&r.request(0, 1)).0).collect();
    let count = |cache: u32| caches.iter().filter(|met| **met == cache).count();
    let (home, next) = (caches[0], *caches.iter().find(|cache| **cache != caches[0]).unwrap());
    assert!(count(home) > 5 && count(home) < 20 && count(home) + count(next) == 24, "{caches:?}");
}

#[test]
fn a_full_location_is_not_called_over_and_over() {
    let mut r = router(&fleet(), &[]);
    let first = place(&r.request(0, 1)).0;
    assert_ne!(place(&r.end(0, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1)).0, first);
    let acts = r.end(1, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1);
    assert!(matches!(acts[..], [Act::TurnBack(1, Some(retry_after))] if retry_after <= Span::millis(500)));
}

#[test]
fn a_failed_fill_goes_to_the_other_parent_and_its_waiters_spread_out() {
    let mut r = router(&fleet(), &[]);
    let (cache, source) = place(&r.request(0, 1));
    r.end(0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 5);
    let (again, other) = place(&r.wait(30));
    assert!(again == cache && other != source && other != 6);
    let mut r = router(&fleet(), &[]);
    r.request(0, 1);
    (0..4).for_each(|_| drop(r.request(0, 1)));
    for request in 1..=5 {
        assert_eq!(r.end_of(request, 0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 5), []);
    }
    let mut times = Vec::new();
    for _ in 0..60 {
        for act in r.wait(1) {
            assert!(matches!(act, Act::Read { .. }));
            times.push(r.millis);
        }
    }
    times.dedup();
    assert!(times.len() > 2, "{times:?}");
}

#[test]
fn when_every_parent_failed_a_request_it_is_filled_by_the_origin() {
    let mut r = router(&fleet(), &[]);
    let (cache, _) = place(&r.request(0, 1));
    // A cache that could not reach its source is not full, and stays.
    assert_eq!(place(&r.end(0, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 9)).0, cache);
    assert_eq!(place(&r.end(1, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 9)), (cache, 6));
}

#[test]
fn a_slow_parent_keeps_fewer_objects_and_gets_them_back() {
    let mut r = router(&fleet(), &[]);
    let round = |r: &mut Router, slow: u64| {
        let mut met = 0;
        for object in 0..100 {
            let source = place(&r.request(0, object)).1;
            r.wait(5);
            r.end(
                0,
                AttemptStatus::Served,
                OutcomeDetail::FilledFromSource,
                if source == 4 { slow } else { 30 },
            );
            met += usize::from(source == 4);
        }
        met
    };
    let (well, slow) = (round(&mut r, 30), round(&mut r, 600));
    let again = (0..5).map(|_| round(&mut r, 30)).last().unwrap();
    assert!(slow < well * 2 / 3 && again > well - 3, "{well}, {slow} while slow, {again} after");
}

#[test]
fn while_fills_come_late_misses_are_turned_back_and_hits_are_served() {
    let mut r = router(&fleet(), &[]);
    r.quiet(100, OutcomeDetail::Hit, 20);
    (100..160).for_each(|object| drop(r.request(0, object)));
    r.wait(1500);
    for request in 101..=160 {
        r.end_of(request, 0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 1500);
    }
    (200..260).for_each(|object| drop(r.request(0, object)));
    let mut rejected = 0;
    for object in 300..310 {
        let (cache, source) = place(&r.request(0, object));
        assert_eq!(cache, source, "a look that fills nothing");
        let acts = r.end(0, AttemptStatus::Miss, OutcomeDetail::Unknown, 2);
        rejected += usize::from(matches!(acts[..], [Act::TurnBack(..)]));
    }
    assert!(rejected >= 8, "{rejected} turned back");
    place(&r.request(0, 999));
    assert_eq!(r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20), []);
}

#[test]
fn while_only_the_origin_is_slow_what_a_parent_holds_is_still_filled() {
    let mut r = router(&fleet(), &[]);
    r.quiet(100, OutcomeDetail::Hit, 20);
    (100..140).for_each(|object| drop(r.request(0, object)));
    r.wait(1500);
    for request in 101..=140 {
        let note = [OutcomeDetail::FilledFromOrigin, OutcomeDetail::FilledFromSource][request as usize % 2];
        r.end_of(request, 0, AttemptStatus::Served, note, [1500, 30][request as usize % 2]);
    }
    let acts: Vec<Act> = (200..240).flat_map(|object| r.request(0, object)).collect();
    let (_, source) = place(&acts[39..]);
    assert!(
        (4..6).contains(&source) && matches!(acts[39], Act::Read { only_if_cached: true, .. }),
        "{acts:?}"
    );
    assert_eq!(r.end(0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 30), []);
}

#[test]
fn a_cache_whose_hits_come_late_gets_fewer_requests() {
    let mut r = router(&fleet(), &[]);
    r.quiet(100, OutcomeDetail::Hit, 20);
    let slow = place(&r.request(0, 1)).0;
    let mut held = Vec::new();
    for object in 0..400 {
        let acts = r.request(0, object);
        match acts[..] {
            [Act::Read { cache, .. }] if cache == slow => held.push(r.next),
            [Act::Read { .. }] => drop(r.end(0, AttemptStatus::Served, OutcomeDetail::Hit, 20)),
            _ => {}
        }
        r.wait(5);
        if object % 8 == 0 && !held.is_empty() {
            r.end_of(held.remove(0), 0, AttemptStatus::Served, OutcomeDetail::Hit, 900);
        }
    }
    assert!(held.len() < 4, "{} in hand", held.len());
}

#[test]
fn what_is_told_to_be_huge_is_turned_back_first() {
    let mut r = router(&fleet(), &[("client_kb_per_s", 1000.0), ("bypass_allowed", 0.0)]);
    r.size_kb = Some(50.0);
    r.quiet(100, OutcomeDetail::Hit, 55);
    (100..180).for_each(|object| drop(r.request(0, object)));
    r.wait(390);
    (101..=180)
        .for_each(|request| drop(r.end_of(request, 0, AttemptStatus::Served, OutcomeDetail::Hit, 390)));
    let mut taken = |size_kb: f32| {
        r.size_kb = Some(size_kb);
        (200..280).filter(|object| matches!(r.request(0, *object)[..], [Act::Read { .. }])).count()
    };
    let huge = taken(1500.0);
    let small = taken(50.0);
    assert!(huge > 8 && huge < 60 && small > huge / 3, "{huge} huge ones and then {small} small ones taken");
}

#[test]
fn a_request_is_answered_before_its_client_leaves_and_never_after() {
    let mut r = router(&fleet(), &[("cancellation", 0.0)]);
    r.request_within(0, 1, 800);
    let acts = r.wait(799);
    assert!(matches!(acts[..], [Act::TurnBack(1, _)]), "{acts:?}");
    assert_eq!(r.end(0, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 800), []);
    assert_eq!(r.wait(3000), []);
    // Too short a time to try anything is answered at once.
    assert!(matches!(r.request_within(0, 1, 3)[..], [Act::TurnBack(2, _)]));
}

#[test]
fn one_attempt_is_out_at_a_time_until_the_one_called_off_has_ended() {
    let mut r = router(&fleet(), &[]);
    r.quiet(60, OutcomeDetail::Hit, 20);
    (0..4).for_each(|_| drop(r.request(0, 1)));
    let acts = r.wait(1500);
    assert!(acts.iter().any(|act| matches!(act, Act::CallOff(..))));
    assert!(!acts.iter().any(|act| matches!(act, Act::Read { .. })), "{acts:?}");
}

#[test]
fn whose_link_is_refused_reaches_no_cache_and_who_is_early_is_told_when_to_come() {
    let mut r = router(&fleet(), &[("retry_after_sent", 1.0), ("max_retry_after", 5e5)]);
    for (authorization, act) in [
        (Authorization::Denied, "written off"),
        (Authorization::Expired, "written off"),
        (Authorization::NotYetValid(Span::millis(300)), "turned back for 300"),
        (Authorization::NotYetValid(Span::millis(9000)), "turned back for 500"),
    ] {
        r.authorization = authorization;
        let acts = r.request(0, 7);
        let said = match &acts[..] {
            [Act::WriteOff(_)] => "written off".to_string(),
            [Act::TurnBack(_, Some(rest))] => format!("turned back for {}", rest.as_micros() / 1000),
            other => format!("{other:?}"),
        };
        assert_eq!(said, act, "{authorization:?}");
    }
    r.authorization = Authorization::Granted;
    assert!(!matches!(&r.request(0, 7)[..], [Act::WriteOff(_)]));
}
