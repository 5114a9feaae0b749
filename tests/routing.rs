//! The choice of endpoint and source, endpoint list updates, purges and authorization.

mod support;

use support::*;
use tindoor::host::*;
use tindoor::time::Span;

#[test]
fn requests_for_one_object_go_to_one_cache_and_one_parent_whatever_the_endpoint_ids() {
    let mut reversed: Vec<EndpointUpdate> = endpoint_list().into_iter().rev().collect();
    reversed.iter_mut().zip(0..).for_each(|(entry, id)| entry.endpoint = EndpointId(id));
    let (mut one, mut other) = (start_router(&endpoint_list(), &[]), start_router(&reversed, &[]));
    let mut used = [0; 7];
    for object in 0..50 {
        let (cache, source) = sent_to(&one.request(0, object));
        assert_eq!(sent_to(&other.request(0, object)), (6 - cache, 6 - source));
        assert_eq!(sent_to(&one.request(0, object)), (cache, source));
        used[cache as usize] += 1;
        one.end_attempt_of(one.last_slot, 0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
        one.end_attempt_of(one.last_slot - 1, 0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
        other.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 50);
    }
    assert!(used[..4].iter().all(|used| *used > 3), "{used:?} objects per endpoint");
    assert!(matches!(
        one.request(0, 5)[..],
        [Action::SendWithFill { join_fill: true, retention_rank: 1, .. }]
    ));
}

#[test]
fn requests_that_run_at_the_origin_bypass_caches_or_are_not_stored_by_them() {
    let mut router = start_router(&endpoint_list(), &[]);
    assert_eq!(router.request(2, 1), [Action::SendCacheOnly(1, 6)]);
    let mut router = start_router(&endpoint_list(), &[("bypass_allowed", 0.0)]);
    assert!(matches!(
        router.request(2, 1)[..],
        [Action::SendWithFill { source: 6, join_fill: false, retention_rank: 0, .. }]
    ));
}

#[test]
fn a_draining_or_removed_endpoint_gets_no_new_attempts_as_cache_or_as_source() {
    let mut router = start_router(&endpoint_list(), &[]);
    let (cache, source) = sent_to(&router.request(0, 1));
    let mut entries = endpoint_list();
    entries[cache as usize].state = EndpointState::Draining;
    entries[source as usize].state = EndpointState::Removed;
    let changed = [entries[cache as usize], entries[source as usize]];
    router.engine.endpoints_changed(ListUpdateKind::Delta, &changed);
    for object in 0..40 {
        let (new_cache, new_source) = sent_to(&router.request(0, object));
        assert!(new_cache != cache && new_source != source);
        router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::Hit, 30);
    }
    // A full list without these endpoints has the same effect. This list contains no cache at all, so the
    // parents answer.
    router.engine.endpoints_changed(ListUpdateKind::Full, &entries[4..]);
    let (cache, _) = sent_to(&router.request(0, 1));
    assert!(cache >= 4);
}

#[test]
fn after_a_purge_only_newer_copies_are_served() {
    let mut router = start_router(&endpoint_list(), &[]);
    assert!(matches!(router.request(0, 1)[..], [Action::SendWithFill { max_age: None, .. }]));
    router.engine.purged(None, 9, Span::ZERO);
    let limit = Some(Span::micros(1)); // a limit of zero would mean any age
    assert!(matches!(&router.request(0, 1)[..], [Action::SendWithFill { max_age, .. }] if *max_age == limit));
    router.advance(700);
    let since = Some(Span::millis(700));
    assert!(matches!(&router.request(1, 2)[..], [Action::SendWithFill { max_age, .. }] if *max_age == since));
    router.engine.purged(Some(2), 9, Span::millis(100));
    let newest = Some(Span::millis(100));
    assert!(
        matches!(&router.request(0, 2)[..], [Action::SendWithFill { max_age, .. }] if *max_age == newest)
    );
}

#[test]
fn repeated_empty_and_unrelated_endpoint_lists_are_applied() {
    let mut router = start_router(
        &endpoint_list(),
        &[("routers_in_location", 0.0), ("routers", 0.0), ("client_kb_per_s", 0.0)],
    );
    router.size_kb = Some(0.0);
    router.engine.endpoints_changed(ListUpdateKind::Full, &endpoint_list());
    router.engine.endpoints_changed(ListUpdateKind::Delta, &endpoint_list()[..3]);
    assert!(sent_to(&router.request(0, 1)).0 < 4);
    router.engine.endpoints_changed(ListUpdateKind::Full, &[]);
    assert!(matches!(router.request(0, 2)[..], [Action::Reject(..)]));
    let many: Vec<EndpointUpdate> =
        (0..300).map(|id| entry(id, 5000 + u64::from(id), (id > 250).into(), None)).collect();
    router.engine.endpoints_changed(ListUpdateKind::Full, &many);
    for object in 0..300 {
        let (cache, source) = sent_to(&router.request(0, object));
        assert!(cache <= 250 && source > 250, "cache {cache} filled from source {source}");
        router.end_attempt(0, AttemptStatus::Served, OutcomeDetail::FilledFromSource, 20);
    }
}

#[test]
fn requests_for_a_hot_object_beyond_a_fair_share_go_to_the_next_cache_in_the_ranking() {
    let mut router = start_router(&endpoint_list(), &[]);
    let caches: Vec<u32> = (0..24).map(|_| sent_to(&router.request(0, 1)).0).collect();
    let count = |cache: u32| caches.iter().filter(|used| **used == cache).count();
    let (first, next) = (caches[0], *caches.iter().find(|cache| **cache != caches[0]).unwrap());
    assert!(count(first) > 5 && count(first) < 20 && count(first) + count(next) == 24, "{caches:?}");
}

#[test]
fn unauthorized_requests_are_not_sent_and_early_requests_get_a_retry_after() {
    let mut router = start_router(&endpoint_list(), &[("retry_after_sent", 1.0), ("max_retry_after", 5e5)]);
    for (authorization, expected) in [
        (Authorization::Denied, "failed"),
        (Authorization::Expired, "failed"),
        (Authorization::NotYetValid(Span::millis(300)), "rejected with 300"),
        (Authorization::NotYetValid(Span::millis(9000)), "rejected with 500"),
    ] {
        router.authorization = authorization;
        let actions = router.request(0, 7);
        let answer = match &actions[..] {
            [Action::Fail(_)] => "failed".to_string(),
            [Action::Reject(_, Some(retry_after))] => {
                format!("rejected with {}", retry_after.as_micros() / 1000)
            }
            other => format!("{other:?}"),
        };
        assert_eq!(answer, expected, "{authorization:?}");
    }
    router.authorization = Authorization::Granted;
    assert!(!matches!(&router.request(0, 7)[..], [Action::Fail(_)]));
}
