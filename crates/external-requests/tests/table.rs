//! What becomes of a request, for each thing that a proxy may do with a routing decision.

use std::collections::BTreeMap;

use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// What the table did, in order.
#[derive(Clone, Debug, PartialEq)]
enum HostCall {
    Started(RequestNumber, Option<(Moment, EndpointId)>),
    AttemptEnded(RequestNumber, u16, AttemptStatus, bool),
    Abandoned(RequestNumber),
    Finished(RequestNumber),
}

#[derive(Default)]
struct RecordingHost {
    calls: Vec<HostCall>,
    replies: BTreeMap<CallId, Vec<CallReply>>,
}

impl TableHost for RecordingHost {
    fn request_started(
        &mut self,
        number: RequestNumber,
        _: &ExternalRequest,
        first_ran: Option<(Moment, EndpointId)>,
    ) {
        self.calls.push(HostCall::Started(number, first_ran));
    }
    fn attempt_ended(&mut self, number: RequestNumber, attempt_index: u16, outcome: Outcome, last: bool) {
        self.calls.push(HostCall::AttemptEnded(number, attempt_index, outcome.status, last));
    }
    fn request_abandoned(&mut self, number: RequestNumber) {
        self.calls.push(HostCall::Abandoned(number));
    }
    fn request_finished(&mut self, number: RequestNumber) {
        self.calls.push(HostCall::Finished(number));
    }
    fn reply(&mut self, call: CallId, reply: CallReply) {
        self.replies.entry(call).or_default().push(reply);
    }
    fn retry_after(&mut self) -> Option<Span> {
        Some(Span::millis(100))
    }
}

struct Fixture {
    table: ExternalRequestTable,
    host: RecordingHost,
    now: u64,
}

const LIMITS: Limits = Limits {
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

fn fixture() -> Fixture {
    // Long enough after the start that every key within the idempotency window would be known.
    let table = ExternalRequestTable::new(LIMITS, EnabledChecks::default(), Moment::at_micros(0));
    Fixture { table, host: RecordingHost::default(), now: 100_000 }
}

fn write(correlation_id: u64, attempt: u32, idempotency_key: u128) -> ExternalRequest {
    ExternalRequest {
        correlation_id,
        attempt,
        class: 1,
        object: 7,
        part: 0,
        group: 3,
        idempotency_key: Some(idempotency_key),
        client_retry: false,
        time_remaining: Span::millis(3000),
        authorization: Authorization::Granted,
    }
}

fn read(correlation_id: u64, attempt: u32) -> ExternalRequest {
    ExternalRequest { idempotency_key: None, class: 0, ..write(correlation_id, attempt, 0) }
}

fn report(status: AttemptStatus) -> Report {
    let stored_result = StoredResult { status: 200, version: 9 };
    Report { outcome: Outcome::new(status, OutcomeDetail::Unknown), stored_result, used_after: None }
}

impl Fixture {
    fn at(&self) -> Moment {
        Moment::at_micros(self.now * 1000)
    }
    fn call(&mut self, call: u64, request: ExternalRequest) {
        self.table.call_received(self.at(), &mut self.host, CallId(call), request);
    }
    fn decide(&mut self, number: u64, attempt_index: u16, endpoint: u32) {
        let decision = RoutingDecision {
            attempt_index,
            endpoint: EndpointId(endpoint),
            directives: None,
            timeout: Span::millis(900),
        };
        self.table.decision_made(self.at(), &mut self.host, RequestNumber(number), decision);
    }
    fn report(&mut self, call: u64, status: AttemptStatus) {
        self.table.report_received(self.at(), &mut self.host, CallId(call), None, report(status));
    }
    fn end_call(&mut self, call: u64) {
        self.table.call_ended(self.at(), CallId(call));
    }
    fn reject(&mut self, number: u64) {
        self.table.request_rejected(self.at(), &mut self.host, RequestNumber(number), None);
    }
    fn advance(&mut self, millis: u64) {
        self.now += millis;
        self.table.timer_fired(self.at(), &mut self.host);
    }
    fn reply(&self, call: u64) -> CallReply {
        *self.host.replies[&CallId(call)].last().unwrap()
    }
    fn send(&mut self, call: u64) -> bool {
        let reply = self.reply(call);
        self.table.confirm_send(CallId(call), &reply)
    }
    fn attempt_ends(&self) -> Vec<(u16, AttemptStatus, bool)> {
        let end = |call: &HostCall| match call {
            HostCall::AttemptEnded(_, index, status, last) => Some((*index, *status, *last)),
            _ => None,
        };
        self.host.calls.iter().filter_map(end).collect()
    }
    fn has_decision(&self, call: u64) -> bool {
        matches!(self.reply(call), CallReply::Decision { .. })
    }
}

#[test]
fn a_served_attempt_finishes_its_request() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    let CallReply::Decision { decision, use_within, .. } = fixture.reply(1) else { panic!() };
    assert_eq!((decision.endpoint, use_within), (EndpointId(2), Span::millis(200)));
    assert!(fixture.send(1));
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(fixture.reply(1), CallReply::PassThrough);
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Served, true)]);
    assert_eq!(
        (fixture.host.calls.last(), fixture.table.in_flight()),
        (Some(&HostCall::Finished(RequestNumber(1))), 0)
    );
    fixture.call(2, read(5, 2));
    assert_eq!(
        fixture.reply(2),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "a correlation id is served once"
    );
}

#[test]
fn after_a_failed_attempt_the_next_call_gets_the_routing_engines_retry() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.report(1, AttemptStatus::Overloaded);
    fixture.decide(1, 1, 3);
    assert_eq!(fixture.reply(1), CallReply::AwaitRetry);
    fixture.call(2, read(5, 2));
    assert!(fixture.has_decision(2));
    fixture.report(2, AttemptStatus::Incomplete);
    fixture.reject(1);
    assert_eq!(fixture.reply(2), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(
        fixture.attempt_ends(),
        [(0, AttemptStatus::Overloaded, false), (1, AttemptStatus::Incomplete, false)]
    );
    fixture.call(3, read(5, 3));
    assert_eq!(
        fixture.reply(3),
        CallReply::Rejected(None, RefusalReason::GaveUp),
        "the same answer again, and no further attempt"
    );
    assert_eq!(fixture.table.in_flight(), 0);
}

#[test]
fn a_call_that_ends_before_its_decision_is_superseded_and_after_it_cancelled() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.end_call(1);
    fixture.decide(1, 0, 2);
    fixture.advance(250);
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Superseded, true)]);
    fixture.call(2, read(6, 1));
    fixture.decide(2, 0, 2);
    assert!(fixture.send(2));
    fixture.end_call(2);
    fixture.advance(250);
    assert_eq!(fixture.attempt_ends()[1..], [(0, AttemptStatus::Cancelled, true)]);
    assert_eq!(fixture.table.in_flight(), 0);
}

#[test]
fn a_request_whose_call_was_lost_continues_with_the_next_call() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.end_call(1);
    fixture.advance(100);
    assert!(fixture.attempt_ends().is_empty(), "its end is reported with the next call, when more is known");
    fixture.call(2, read(5, 2));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Cancelled, false)]);
    fixture.decide(1, 1, 3);
    assert!(fixture.has_decision(2));
}

#[test]
fn a_later_attempt_supersedes_the_earlier_and_an_equal_one_is_refused() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.call(2, read(5, 1));
    assert_eq!(fixture.reply(2), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    fixture.call(3, ExternalRequest { object: 8, ..read(5, 2) });
    assert_eq!(
        fixture.reply(3),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "another object is not the same request"
    );
    fixture.call(4, read(5, 2));
    assert_eq!(fixture.reply(1), CallReply::Failed(RefusalReason::Superseded));
    assert_eq!(
        fixture.attempt_ends(),
        [(0, AttemptStatus::Cancelled, false)],
        "one attempt in flight at a time"
    );
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(
        fixture.reply(1),
        CallReply::Failed(RefusalReason::UnknownDecision),
        "its report comes too late"
    );
    assert_eq!(fixture.table.counters.unmatched_reports, 1);
}

#[test]
fn an_unreported_decision_expires_and_blames_no_endpoint() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.advance(1349);
    assert_eq!(fixture.table.in_flight(), 1);
    fixture.advance(1);
    assert_eq!(fixture.reply(1), CallReply::Failed(RefusalReason::NotReported));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Cancelled, true)]);
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(
        (fixture.reply(1), fixture.attempt_ends().len()),
        (CallReply::Failed(RefusalReason::UnknownDecision), 1)
    );
}

#[test]
fn a_duplicate_report_or_one_for_another_request_changes_nothing() {
    let mut fixture = fixture();
    for (call, correlation_id) in [(1, 5), (2, 6)] {
        fixture.call(call, read(correlation_id, 1));
        fixture.decide(call, 0, 2);
    }
    fixture.table.report_received(
        fixture.at(),
        &mut fixture.host,
        CallId(2),
        Some(5),
        report(AttemptStatus::Served),
    );
    assert_eq!(
        (fixture.reply(2), fixture.table.in_flight()),
        (CallReply::Failed(RefusalReason::UnknownDecision), 2)
    );
    fixture.report(1, AttemptStatus::Served);
    fixture.report(1, AttemptStatus::Served);
    assert_eq!((fixture.attempt_ends().len(), fixture.table.counters.unmatched_reports), (1, 2));
}

#[test]
fn a_duplicate_write_waits_for_the_first_and_is_replayed_after_it() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, write(6, 1, 77));
    assert!(!fixture.host.replies.contains_key(&CallId(2)), "it waits");
    fixture.report(1, AttemptStatus::Served);
    let replayed = CallReply::Replayed(StoredResult { status: 200, version: 9 });
    assert_eq!(fixture.reply(2), replayed);
    fixture.advance(2999);
    fixture.call(3, write(7, 1, 77));
    assert_eq!(fixture.reply(3), replayed);
    let started = fixture.host.calls.iter().filter(|call| matches!(call, HostCall::Started(..))).count();
    assert_eq!(started, 1, "one request, and one attempt, for one idempotency key");
}

#[test]
fn a_waiter_past_its_deadline_is_rejected_and_one_too_many_at_once() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, ExternalRequest { time_remaining: Span::millis(50), ..write(6, 1, 77) });
    fixture.call(3, write(7, 1, 77));
    fixture.call(4, write(8, 1, 77));
    assert_eq!(fixture.reply(4), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
    fixture.advance(50);
    assert_eq!(
        fixture.reply(2),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::IdempotencyKeyInUse)
    );
    fixture.end_call(3);
    fixture.report(1, AttemptStatus::Served);
    assert!(!fixture.host.replies.contains_key(&CallId(3)), "its call had ended");
}

#[test]
fn a_write_that_may_have_run_is_reported_with_the_next_request_of_its_key() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    let issued_at = fixture.at();
    assert!(fixture.send(1));
    fixture.end_call(1);
    fixture.advance(250);
    fixture.advance(10_000);
    fixture.call(2, write(6, 1, 77));
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), Some((issued_at, EndpointId(2)))))
    );
}

#[test]
fn a_write_whose_decision_was_never_sent_has_not_run() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.end_call(1);
    fixture.advance(250);
    fixture.call(2, write(6, 1, 77));
    assert!(fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)));
}

#[test]
fn a_write_that_was_rejected_by_its_endpoint_has_not_run() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.report(1, AttemptStatus::Overloaded);
    fixture.reject(1);
    fixture.call(2, write(6, 1, 77));
    assert!(fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)));
}

#[test]
fn after_a_restart_a_retried_write_is_taken_to_have_run() {
    let mut fixture = fixture();
    fixture.now = 10;
    fixture.call(1, ExternalRequest { client_retry: true, ..write(5, 1, 77) });
    assert!(
        fixture
            .host
            .calls
            .contains(&HostCall::Started(RequestNumber(1), Some((Moment::default(), EndpointId(0)))))
    );
    fixture.call(2, write(6, 1, 78));
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)),
        "a first attempt is taken for one"
    );
    fixture.advance(63_000);
    fixture.call(3, ExternalRequest { client_retry: true, ..write(7, 1, 79) });
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(3), None)),
        "by now every key within the window is known"
    );
}

#[test]
fn a_denied_request_learns_nothing_of_a_write_and_takes_over_no_request() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, ExternalRequest { authorization: Authorization::Denied, ..write(6, 1, 77) });
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)),
        "only the routing engine answers it"
    );
    fixture.reject(2);
    fixture.call(3, ExternalRequest { authorization: Authorization::Denied, ..write(5, 2, 77) });
    assert_eq!(fixture.reply(3), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    fixture.call(4, ExternalRequest { authorization: Authorization::Expired, ..write(5, 3, 77) });
    assert_eq!(
        fixture.reply(1),
        CallReply::Failed(RefusalReason::Superseded),
        "it was valid when the request began"
    );
    fixture.decide(1, 1, 2);
    fixture.report(4, AttemptStatus::Served);
    fixture.call(5, write(7, 1, 77));
    assert!(matches!(fixture.reply(5), CallReply::Replayed(_)), "the denied one reserved no key");
    fixture.call(6, ExternalRequest { authorization: Authorization::Denied, ..write(5, 4, 77) });
    assert_eq!(
        fixture.reply(6),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "nor does its correlation id disclose the result"
    );
}

#[test]
fn a_change_withdraws_unsent_decisions_and_counts_sent_ones_as_stale() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.call(2, read(6, 1));
    fixture.decide(1, 0, 2);
    fixture.decide(2, 0, 2);
    assert!(fixture.send(1));
    let reply = fixture.reply(2);
    fixture
        .table
        .withdraw_stale_decisions(&mut fixture.host, |_, decision| decision.endpoint == EndpointId(2));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Superseded, false)]);
    assert!(!fixture.table.confirm_send(CallId(2), &reply), "it must not be sent any more");
    assert_eq!((fixture.table.counters.withdrawn, fixture.table.counters.stale), (1, 1));
    fixture.decide(2, 1, 3);
    assert!(fixture.has_decision(2) && fixture.send(2));
}

#[test]
fn a_request_given_up_while_its_decision_is_in_flight_is_refused_with_the_report() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    assert!(fixture.send(1));
    fixture.reject(1);
    assert!(fixture.has_decision(1), "no reply is possible before the report");
    fixture.report(1, AttemptStatus::TimedOut);
    assert_eq!(fixture.reply(1), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::TimedOut, true)]);
}

#[test]
fn full_tables_reject_at_once_and_evict_no_key_early() {
    let mut fixture = fixture();
    for index in 1..=4 {
        fixture.call(index, write(index, 1, index.into()));
        fixture.decide(index, 0, 2);
        fixture.report(index, AttemptStatus::Served);
    }
    fixture.call(5, write(5, 1, 5));
    assert_eq!(fixture.reply(5), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
    fixture.call(6, write(6, 1, 1));
    assert!(matches!(fixture.reply(6), CallReply::Replayed(_)));
    fixture.advance(63_000);
    assert!(fixture.table.idempotency_keys().is_empty(), "each has its end");
    for index in 11..=14 {
        fixture.call(index, read(index, 1));
    }
    fixture.call(15, read(15, 1));
    assert_eq!(fixture.reply(15), CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity));
}

#[test]
fn a_shutdown_answers_every_call_once() {
    let mut fixture = fixture();
    for index in 1..=3 {
        fixture.call(index, read(index, 1));
    }
    fixture.decide(2, 0, 2);
    fixture.decide(3, 0, 2);
    fixture.end_call(3);
    fixture.table.shut_down(fixture.at(), &mut fixture.host);
    assert_eq!(fixture.reply(1), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!(fixture.reply(2), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!((fixture.table.in_flight(), fixture.attempt_ends().len()), (0, 2));
    assert_eq!(fixture.host.replies[&CallId(3)].len(), 1, "its call had ended");
}
