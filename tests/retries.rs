//! Retries, deadlines and giving up requests.

mod support;

use support::*;
use tindoor::host::*;
use tindoor::time::Span;

#[test]
fn a_non_idempotent_request_is_retried_only_if_no_attempt_ran() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.request(3, 1);
    assert_eq!(
        router.end_attempt(0, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1),
        [Action::SendCacheOnly(1, 6)]
    );
    assert_eq!(router.end_attempt(1, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 900), []);
    assert_eq!(router.advance(300), [Action::Fail(1)]);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_window() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.request(2, 1);
    router.end_attempt(0, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert_eq!(router.advance(100), [Action::SendCacheOnly(1, 6)]);
    router.advance(2900);
    router.end_attempt(1, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert_eq!(router.advance(100).len(), 1, "expected one action, a rejection");
    router.request(2, 2);
    assert_eq!(router.advance(3100), []);
    router.end_attempt(0, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 10);
    assert!(matches!(router.advance(100)[..], [Action::Reject(2, _)]));
}

#[test]
fn a_retry_with_an_idempotency_key_must_be_sent_within_the_rest_of_its_window() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.request(2, 1);
    assert_eq!(router.send_within(), None, "nothing has run before the first attempt");
    assert_eq!(router.advance(400), []);
    router.end_attempt(0, AttemptStatus::Incomplete, OutcomeDetail::Unknown, 400);
    assert_eq!(router.advance(100), [Action::SendCacheOnly(1, 6)]);
    let rest = router.send_within().expect("the retry has a limit");
    let window = Span::secs(3.0);
    assert!(rest <= window - Span::millis(400) && rest >= window - Span::millis(550), "{rest:?}");
}

#[test]
fn an_idempotent_request_and_one_that_did_not_run_are_sent_again_at_any_time() {
    for (class, status) in [(0, AttemptStatus::Error), (2, AttemptStatus::Unreachable)] {
        let mut router = start_router(&endpoint_list(), &[]);
        router.request(class, 1);
        let mut actions = router.end_attempt(0, status, OutcomeDetail::Unknown, 10);
        actions.extend(router.advance(100));
        assert!(
            matches!(actions[..], [Action::SendWithFill { .. } | Action::SendCacheOnly(..)]),
            "{actions:?}"
        );
        assert_eq!(router.send_within(), None);
    }
}

#[test]
fn a_request_is_rejected_after_two_caches_were_overloaded() {
    let mut router = start_router(&endpoint_list(), &[]);
    let first = sent_to(&router.request(0, 1)).0;
    assert_ne!(
        sent_to(&router.end_attempt(0, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1)).0,
        first
    );
    let actions = router.end_attempt(1, AttemptStatus::Overloaded, OutcomeDetail::Unknown, 1);
    assert!(
        matches!(actions[..], [Action::Reject(1, Some(retry_after))] if retry_after <= Span::millis(500))
    );
}

#[test]
fn a_failed_fill_is_retried_at_the_other_parent_and_retries_of_joined_requests_are_spread_out() {
    let mut router = start_router(&endpoint_list(), &[]);
    let (cache, source) = sent_to(&router.request(0, 1));
    router.end_attempt(0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 5);
    let (again, other) = sent_to(&router.advance(30));
    assert!(again == cache && other != source && other != 6);
    let mut router = start_router(&endpoint_list(), &[]);
    router.request(0, 1);
    (0..4).for_each(|_| drop(router.request(0, 1)));
    for slot in 1..=5 {
        assert_eq!(
            router.end_attempt_of(slot, 0, AttemptStatus::Error, OutcomeDetail::SourceUnreachable, 5),
            []
        );
    }
    let mut times = Vec::new();
    for _ in 0..60 {
        for action in router.advance(1) {
            assert!(matches!(action, Action::SendWithFill { .. }));
            times.push(router.millis);
        }
    }
    times.dedup();
    assert!(times.len() > 2, "retries sent only at {times:?} ms");
}

#[test]
fn a_request_that_failed_at_every_parent_is_filled_by_the_origin() {
    let mut router = start_router(&endpoint_list(), &[]);
    let (cache, _) = sent_to(&router.request(0, 1));
    // A cache that could not reach its source is not overloaded itself, so it is used again.
    assert_eq!(
        sent_to(&router.end_attempt(0, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 9)).0,
        cache
    );
    assert_eq!(
        sent_to(&router.end_attempt(1, AttemptStatus::Overloaded, OutcomeDetail::SourceUnreachable, 9)),
        (cache, 6)
    );
}

#[test]
fn a_request_is_answered_before_its_deadline_and_never_after() {
    let mut router = start_router(&endpoint_list(), &[("cancellation", 0.0)]);
    router.request_within(0, 1, 800);
    let actions = router.advance(799);
    assert!(matches!(actions[..], [Action::Reject(1, _)]), "{actions:?}");
    assert_eq!(router.end_attempt(0, AttemptStatus::TimedOut, OutcomeDetail::Unknown, 800), []);
    assert_eq!(router.advance(3000), []);
    // A request with too little time remaining is rejected immediately.
    assert!(matches!(router.request_within(0, 1, 3)[..], [Action::Reject(2, _)]));
}

#[test]
fn no_other_attempt_is_sent_until_a_cancelled_one_has_ended() {
    let mut router = start_router(&endpoint_list(), &[]);
    router.serve_sequentially(60, OutcomeDetail::Hit, 20);
    (0..4).for_each(|_| drop(router.request(0, 1)));
    let actions = router.advance(1500);
    assert!(actions.iter().any(|action| matches!(action, Action::Cancel(..))));
    assert!(!actions.iter().any(|action| matches!(action, Action::SendWithFill { .. })), "{actions:?}");
}
