//! One short story for each thing that a proxy may do to a choice.

use std::collections::BTreeMap;

use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// What the table did, in its order.
#[derive(Clone, Debug, PartialEq)]
enum Did {
    Begin(RequestNumber, Option<(Moment, EndpointId)>),
    Ended(RequestNumber, u16, AttemptStatus, bool),
    Left(RequestNumber),
    Close(RequestNumber),
}

#[derive(Default)]
struct Fake {
    did: Vec<Did>,
    says: BTreeMap<CallId, Vec<CallReply>>,
}

impl TableHost for Fake {
    fn request_started(
        &mut self,
        serial: RequestNumber,
        _: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        self.did.push(Did::Begin(serial, first_ran));
    }
    fn attempt_ended(&mut self, serial: RequestNumber, nth: u16, end: Outcome, last: bool) {
        self.did.push(Did::Ended(serial, nth, end.status, last));
    }
    fn request_abandoned(&mut self, serial: RequestNumber) {
        self.did.push(Did::Left(serial));
    }
    fn request_finished(&mut self, serial: RequestNumber) {
        self.did.push(Did::Close(serial));
    }
    fn reply(&mut self, stream: CallId, say: CallReply) {
        self.says.entry(stream).or_default().push(say);
    }
    fn retry_after(&mut self) -> Option<Span> {
        Some(Span::millis(100))
    }
}

struct World {
    calls: ExternalRequestTable,
    fake: Fake,
    now: u64,
}

const BOUNDS: Limits = Limits {
    max_requests: 4,
    max_idempotency_keys: 4,
    max_finished: 16,
    max_waiters: 2,
    use_within: Span::millis(200),
    report_grace: Span::millis(250),
    retry_window: Span::millis(250),
    idempotency_window: Span::millis(3000),
    max_request_time: Span::millis(60_000),
};

fn world() -> World {
    // Well after the start, when every mark in its window would be known.
    let calls = ExternalRequestTable::new(BOUNDS, EnabledChecks::default(), Moment::at_micros(0));
    World { calls, fake: Fake::default(), now: 100_000 }
}

fn save(correlation_id: u64, attempt: u32, idempotency_key: u128) -> ExternalRequest {
    let (class, object, part, group, client_retry) = (1, 7, 0, 3, false);
    let (idempotency_key, left) = (Some(idempotency_key), Span::millis(3000));
    ExternalRequest {
        correlation_id,
        attempt,
        class,
        object,
        part,
        group,
        idempotency_key,
        client_retry,
        time_remaining: left,
        authorization: Authorization::Granted,
    }
}

fn page(correlation_id: u64, attempt: u32) -> ExternalRequest {
    ExternalRequest { idempotency_key: None, class: 0, ..save(correlation_id, attempt, 0) }
}

fn report(verdict: AttemptStatus) -> Report {
    let known = StoredResult { status: 200, version: 9 };
    Report { outcome: Outcome::new(verdict, OutcomeDetail::Unknown), stored_result: known, used_after: None }
}

impl World {
    fn at(&self) -> Moment {
        Moment::at_micros(self.now * 1000)
    }
    fn call(&mut self, stream: u64, call: ExternalRequest) {
        self.calls.call_received(self.at(), &mut self.fake, CallId(stream), call);
    }
    fn order(&mut self, serial: u64, nth: u16, cache: u32) {
        let decision = RoutingDecision {
            attempt_index: nth,
            endpoint: EndpointId(cache),
            directives: None,
            timeout: Span::millis(900),
        };
        self.calls.decision_made(self.at(), &mut self.fake, RequestNumber(serial), decision);
    }
    fn report(&mut self, stream: u64, verdict: AttemptStatus) {
        self.calls.report_received(self.at(), &mut self.fake, CallId(stream), None, report(verdict));
    }
    fn end(&mut self, stream: u64) {
        self.calls.call_ended(self.at(), CallId(stream));
    }
    fn refuse(&mut self, serial: u64) {
        self.calls.request_rejected(self.at(), &mut self.fake, RequestNumber(serial), None);
    }
    fn authorization(&mut self, millis: u64) {
        self.now += millis;
        self.calls.timer_fired(self.at(), &mut self.fake);
    }
    fn said(&self, stream: u64) -> CallReply {
        *self.fake.says[&CallId(stream)].last().unwrap()
    }
    fn leaves(&mut self, stream: u64) -> bool {
        let say = self.said(stream);
        self.calls.confirm_send(CallId(stream), &say)
    }
    fn ends(&self) -> Vec<(u16, AttemptStatus, bool)> {
        let end = |did: &Did| match did {
            Did::Ended(_, nth, verdict, last) => Some((*nth, *verdict, *last)),
            _ => None,
        };
        self.fake.did.iter().filter_map(end).collect()
    }
    fn is_choice(&self, stream: u64) -> bool {
        matches!(self.said(stream), CallReply::Decision { .. })
    }
}

#[test]
fn a_choice_that_is_reported_done_ends_its_request() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    let CallReply::Decision { decision, use_within, .. } = world.said(1) else { panic!() };
    assert_eq!((decision.endpoint, use_within), (EndpointId(2), Span::millis(200)));
    assert!(world.leaves(1));
    world.report(1, AttemptStatus::Served);
    assert_eq!(world.said(1), CallReply::PassThrough);
    assert_eq!(world.ends(), [(0, AttemptStatus::Served, true)]);
    assert_eq!((world.fake.did.last(), world.calls.in_flight()), (Some(&Did::Close(RequestNumber(1))), 0));
    world.call(2, page(5, 2));
    assert_eq!(
        world.said(2),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "a ticket is answered once"
    );
}

#[test]
fn a_failure_is_decided_by_the_module_and_the_next_call_gets_what_it_chose() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.report(1, AttemptStatus::Overloaded);
    world.order(1, 1, 3);
    assert_eq!(world.said(1), CallReply::AwaitRetry);
    world.call(2, page(5, 2));
    assert!(world.is_choice(2));
    world.report(2, AttemptStatus::Incomplete);
    world.refuse(1);
    assert_eq!(world.said(2), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(world.ends(), [(0, AttemptStatus::Overloaded, false), (1, AttemptStatus::Incomplete, false)]);
    world.call(3, page(5, 3));
    assert_eq!(
        world.said(3),
        CallReply::Rejected(None, RefusalReason::GaveUp),
        "the same answer again, and no ninth dispatch"
    );
    assert_eq!(world.calls.in_flight(), 0);
}

#[test]
fn given_up_before_the_choice_nothing_ran_and_after_it_it_may_have() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.end(1);
    world.order(1, 0, 2);
    world.authorization(250);
    assert_eq!(world.ends(), [(0, AttemptStatus::Superseded, true)]);
    world.call(2, page(6, 1));
    world.order(2, 0, 2);
    assert!(world.leaves(2));
    world.end(2);
    world.authorization(250);
    assert_eq!(world.ends()[1..], [(0, AttemptStatus::Cancelled, true)]);
    assert_eq!(world.calls.in_flight(), 0);
}

#[test]
fn a_try_that_ended_without_a_word_goes_on_over_another_connection() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.end(1);
    world.authorization(100);
    assert!(world.ends().is_empty(), "its end is told with the next call, when the module knows more");
    world.call(2, page(5, 2));
    assert_eq!(world.ends(), [(0, AttemptStatus::Cancelled, false)]);
    world.order(1, 1, 3);
    assert!(world.is_choice(2));
}

#[test]
fn a_later_try_overtakes_the_earlier_and_an_equal_one_is_refused() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.call(2, page(5, 1));
    assert_eq!(world.said(2), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    world.call(3, ExternalRequest { object: 8, ..page(5, 2) });
    assert_eq!(
        world.said(3),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "another object is not the same view"
    );
    world.call(4, page(5, 2));
    assert_eq!(world.said(1), CallReply::Failed(RefusalReason::Superseded));
    assert_eq!(world.ends(), [(0, AttemptStatus::Cancelled, false)], "one dispatch out at a time");
    world.report(1, AttemptStatus::Served);
    assert_eq!(world.said(1), CallReply::Failed(RefusalReason::UnknownDecision), "its report comes too late");
    assert_eq!(world.calls.counters.unmatched_reports, 1);
}

#[test]
fn what_is_never_reported_ends_in_its_time_and_blames_nobody() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    world.authorization(1349);
    assert_eq!(world.calls.in_flight(), 1);
    world.authorization(1);
    assert_eq!(world.said(1), CallReply::Failed(RefusalReason::NotReported));
    assert_eq!(world.ends(), [(0, AttemptStatus::Cancelled, true)]);
    world.report(1, AttemptStatus::Served);
    assert_eq!((world.said(1), world.ends().len()), (CallReply::Failed(RefusalReason::UnknownDecision), 1));
}

#[test]
fn a_report_that_comes_twice_or_names_another_request_changes_nothing() {
    let mut world = world();
    for (stream, correlation_id) in [(1, 5), (2, 6)] {
        world.call(stream, page(correlation_id, 1));
        world.order(stream, 0, 2);
    }
    world.calls.report_received(
        world.at(),
        &mut world.fake,
        CallId(2),
        Some(5),
        report(AttemptStatus::Served),
    );
    assert_eq!(
        (world.said(2), world.calls.in_flight()),
        (CallReply::Failed(RefusalReason::UnknownDecision), 2)
    );
    world.report(1, AttemptStatus::Served);
    world.report(1, AttemptStatus::Served);
    assert_eq!((world.ends().len(), world.calls.counters.unmatched_reports), (1, 2));
}

#[test]
fn a_save_asked_for_twice_waits_for_the_one_end_and_is_known_after_it() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, save(6, 1, 77));
    assert!(!world.fake.says.contains_key(&CallId(2)), "it waits");
    world.report(1, AttemptStatus::Served);
    let known = CallReply::Replayed(StoredResult { status: 200, version: 9 });
    assert_eq!(world.said(2), known);
    world.authorization(2999);
    world.call(3, save(7, 1, 77));
    assert_eq!(world.said(3), known);
    let begun = world.fake.did.iter().filter(|did| matches!(did, Did::Begin(..))).count();
    assert_eq!(begun, 1, "one view, and one dispatch, for one mark");
}

#[test]
fn a_waiter_whose_time_is_up_is_turned_back_and_one_too_many_at_once() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, ExternalRequest { time_remaining: Span::millis(50), ..save(6, 1, 77) });
    world.call(3, save(7, 1, 77));
    world.call(4, save(8, 1, 77));
    assert_eq!(world.said(4), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
    world.authorization(50);
    assert_eq!(
        world.said(2),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::IdempotencyKeyInUse)
    );
    world.end(3);
    world.report(1, AttemptStatus::Served);
    assert!(!world.fake.says.contains_key(&CallId(3)), "it had left");
}

#[test]
fn a_save_that_may_have_run_is_told_to_the_module_with_the_next_request_of_its_mark() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    let given = world.at();
    assert!(world.leaves(1));
    world.end(1);
    world.authorization(250);
    world.authorization(10_000);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(RequestNumber(2), Some((given, EndpointId(2))))));
}

#[test]
fn a_save_whose_choice_never_left_is_as_new() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.end(1);
    world.authorization(250);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(RequestNumber(2), None)));
}

#[test]
fn a_save_that_surely_never_ran_is_as_new() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.report(1, AttemptStatus::Overloaded);
    world.refuse(1);
    world.call(2, save(6, 1, 77));
    assert!(world.fake.did.contains(&Did::Begin(RequestNumber(2), None)));
}

#[test]
fn a_router_that_forgot_everything_takes_a_marked_repeat_for_long_run() {
    let mut world = world();
    world.now = 10;
    world.call(1, ExternalRequest { client_retry: true, ..save(5, 1, 77) });
    assert!(world.fake.did.contains(&Did::Begin(RequestNumber(1), Some((Moment::default(), EndpointId(0))))));
    world.call(2, save(6, 1, 78));
    assert!(world.fake.did.contains(&Did::Begin(RequestNumber(2), None)), "a first try is one");
    world.authorization(63_000);
    world.call(3, ExternalRequest { client_retry: true, ..save(7, 1, 79) });
    assert!(
        world.fake.did.contains(&Did::Begin(RequestNumber(3), None)),
        "by now every mark in its window is known"
    );
}

#[test]
fn a_refused_link_hears_nothing_of_a_write_and_takes_over_no_request() {
    let mut world = world();
    world.call(1, save(5, 1, 77));
    world.order(1, 0, 2);
    world.call(2, ExternalRequest { authorization: Authorization::Denied, ..save(6, 1, 77) });
    assert!(
        world.fake.did.contains(&Did::Begin(RequestNumber(2), None)),
        "the module gives its answer, and nobody else"
    );
    world.refuse(2);
    world.call(3, ExternalRequest { authorization: Authorization::Denied, ..save(5, 2, 77) });
    assert_eq!(world.said(3), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    world.call(4, ExternalRequest { authorization: Authorization::Expired, ..save(5, 3, 77) });
    assert_eq!(
        world.said(1),
        CallReply::Failed(RefusalReason::Superseded),
        "it was good when the view began"
    );
    world.order(1, 1, 2);
    world.report(4, AttemptStatus::Served);
    world.call(5, save(7, 1, 77));
    assert!(matches!(world.said(5), CallReply::Replayed(_)), "the refused one took no mark away");
    world.call(6, ExternalRequest { authorization: Authorization::Denied, ..save(5, 4, 77) });
    assert_eq!(
        world.said(6),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "nor does its ticket tell what the write came to"
    );
}

#[test]
fn a_change_takes_back_what_has_not_left_and_counts_what_has() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.call(2, page(6, 1));
    world.order(1, 0, 2);
    world.order(2, 0, 2);
    assert!(world.leaves(1));
    let say = world.said(2);
    world.calls.withdraw_stale_decisions(&mut world.fake, |_, decision| decision.endpoint == EndpointId(2));
    assert_eq!(world.ends(), [(0, AttemptStatus::Superseded, false)]);
    assert!(!world.calls.confirm_send(CallId(2), &say), "it must not leave any more");
    assert_eq!((world.calls.counters.withdrawn, world.calls.counters.stale), (1, 1));
    world.order(2, 1, 3);
    assert!(world.is_choice(2) && world.leaves(2));
}

#[test]
fn what_the_module_gives_up_while_a_choice_is_out_is_told_on_its_report() {
    let mut world = world();
    world.call(1, page(5, 1));
    world.order(1, 0, 2);
    assert!(world.leaves(1));
    world.refuse(1);
    assert!(world.is_choice(1), "nothing can be said before the report");
    world.report(1, AttemptStatus::TimedOut);
    assert_eq!(world.said(1), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(world.ends(), [(0, AttemptStatus::TimedOut, true)]);
}

#[test]
fn full_tables_turn_back_at_once_and_forget_no_mark_early() {
    let mut world = world();
    for nth in 1..=4 {
        world.call(nth, save(nth, 1, nth.into()));
        world.order(nth, 0, 2);
        world.report(nth, AttemptStatus::Served);
    }
    world.call(5, save(5, 1, 5));
    assert_eq!(world.said(5), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
    world.call(6, save(6, 1, 1));
    assert!(matches!(world.said(6), CallReply::Replayed(_)));
    world.authorization(63_000);
    assert!(world.calls.idempotency_keys().is_empty(), "each has its end");
    for nth in 11..=14 {
        world.call(nth, page(nth, 1));
    }
    world.call(15, page(15, 1));
    assert_eq!(world.said(15), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
}

#[test]
fn a_router_that_ends_answers_everybody_once() {
    let mut world = world();
    for nth in 1..=3 {
        world.call(nth, page(nth, 1));
    }
    world.order(2, 0, 2);
    world.order(3, 0, 2);
    world.end(3);
    world.calls.shut_down(world.at(), &mut world.fake);
    assert_eq!(world.said(1), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!(world.said(2), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!((world.calls.in_flight(), world.ends().len()), (0, 2));
    assert_eq!(world.fake.says[&CallId(3)].len(), 1, "it had left");
}
