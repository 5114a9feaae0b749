//! Tests how a request ends, for everything that a proxy may do with a routing decision.

use std::collections::BTreeMap;

use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// A call that the table made to its host, other than a reply.
#[derive(Clone, Debug, PartialEq)]
enum HostCall {
    Started(RequestNumber, Option<(Moment, EndpointId)>),
    AttemptEnded(RequestNumber, u16, AttemptStatus, bool),
    Abandoned(RequestNumber),
    Finished(RequestNumber),
}

#[derive(Default)]
/// Records the calls of the table, in order.
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
    /// The current time, in milliseconds.
    now_ms: u64,
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
    // 100 s after the start: late enough for the table to know all keys that clients may still retry with.
    let table = ExternalRequestTable::new(LIMITS, EnabledChecks::default(), Moment::at_micros(0));
    Fixture { table, host: RecordingHost::default(), now_ms: 100_000 }
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
        is_non_idempotent: false,
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
    fn now(&self) -> Moment {
        Moment::at_micros(self.now_ms * 1000)
    }
    fn call(&mut self, call: u64, request: ExternalRequest) {
        self.table.call_received(self.now(), &mut self.host, CallId(call), request);
    }
    fn decide(&mut self, number: u64, attempt_index: u16, endpoint: u32) {
        let decision = RoutingDecision {
            attempt_index,
            endpoint: EndpointId(endpoint),
            directives: None,
            timeout: Span::millis(900),
            send_by: None,
        };
        self.table.decision_made(self.now(), &mut self.host, RequestNumber(number), decision);
    }
    /// Makes a decision whose attempt must begin within this time.
    fn decide_within(&mut self, number: u64, attempt_index: u16, endpoint: u32, millis: u64) {
        let decision = RoutingDecision {
            attempt_index,
            endpoint: EndpointId(endpoint),
            directives: None,
            timeout: Span::millis(900),
            send_by: Some(self.now() + Span::millis(millis)),
        };
        self.table.decision_made(self.now(), &mut self.host, RequestNumber(number), decision);
    }
    fn report(&mut self, call: u64, status: AttemptStatus) {
        self.table.report_received(self.now(), &mut self.host, CallId(call), None, report(status));
    }
    fn end_call(&mut self, call: u64) {
        self.table.call_ended(self.now(), CallId(call));
    }
    fn reject(&mut self, number: u64) {
        self.table.request_rejected(self.now(), &mut self.host, RequestNumber(number), None);
    }
    fn advance(&mut self, millis: u64) {
        self.now_ms += millis;
        self.table.timer_fired(self.now(), &mut self.host);
    }
    fn last_reply(&self, call: u64) -> CallReply {
        *self.host.replies[&CallId(call)].last().unwrap()
    }
    fn send(&mut self, call: u64) -> bool {
        let reply = self.last_reply(call);
        self.table.confirm_send(self.now(), &mut self.host, CallId(call), &reply)
    }
    fn attempt_ends(&self) -> Vec<(u16, AttemptStatus, bool)> {
        let end = |call: &HostCall| match call {
            HostCall::AttemptEnded(_, index, status, last) => Some((*index, *status, *last)),
            _ => None,
        };
        self.host.calls.iter().filter_map(end).collect()
    }
    fn has_decision(&self, call: u64) -> bool {
        matches!(self.last_reply(call), CallReply::Decision { .. })
    }
}

#[test]
fn a_served_attempt_finishes_its_request() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    let CallReply::Decision { decision, use_within, .. } = fixture.last_reply(1) else { panic!() };
    assert_eq!((decision.endpoint, use_within), (EndpointId(2), Span::millis(200)));
    assert!(fixture.send(1));
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(fixture.last_reply(1), CallReply::PassThrough);
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Served, true)]);
    assert_eq!(
        (fixture.host.calls.last(), fixture.table.in_flight()),
        (Some(&HostCall::Finished(RequestNumber(1))), 0)
    );
    fixture.call(2, read(5, 2));
    assert_eq!(
        fixture.last_reply(2),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "a request with a correlation id that was served is not run again"
    );
}

#[test]
fn after_a_failed_attempt_the_next_call_gets_the_routing_engines_retry() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.report(1, AttemptStatus::Overloaded);
    fixture.decide(1, 1, 3);
    assert_eq!(fixture.last_reply(1), CallReply::AwaitRetry);
    fixture.call(2, read(5, 2));
    assert!(fixture.has_decision(2));
    fixture.report(2, AttemptStatus::Incomplete);
    fixture.reject(1);
    assert_eq!(fixture.last_reply(2), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(
        fixture.attempt_ends(),
        [(0, AttemptStatus::Overloaded, false), (1, AttemptStatus::Incomplete, false)]
    );
    fixture.call(3, read(5, 3));
    assert_eq!(
        fixture.last_reply(3),
        CallReply::Rejected(None, RefusalReason::GaveUp),
        "a later call gets the same reply and no further attempt"
    );
    assert_eq!(fixture.table.in_flight(), 0);
}

#[test]
fn an_attempt_is_superseded_if_its_call_ends_before_the_decision_and_cancelled_if_after() {
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
    assert!(
        fixture.attempt_ends().is_empty(),
        "the end of the attempt is only reported when the next call arrives"
    );
    fixture.call(2, read(5, 2));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Cancelled, false)]);
    fixture.decide(1, 1, 3);
    assert!(fixture.has_decision(2));
}

#[test]
fn a_call_for_a_later_attempt_supersedes_the_earlier_call_and_a_duplicate_attempt_is_refused() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.call(2, read(5, 1));
    assert_eq!(fixture.last_reply(2), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    fixture.call(3, ExternalRequest { object: 8, ..read(5, 2) });
    assert_eq!(
        fixture.last_reply(3),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "a call for another object is not a retry of the same request"
    );
    fixture.call(4, read(5, 2));
    assert_eq!(fixture.last_reply(1), CallReply::Failed(RefusalReason::Superseded));
    assert_eq!(
        fixture.attempt_ends(),
        [(0, AttemptStatus::Cancelled, false)],
        "only one attempt may be in flight at a time"
    );
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(
        fixture.last_reply(1),
        CallReply::Failed(RefusalReason::UnknownDecision),
        "the report of a superseded call is too late"
    );
    assert_eq!(fixture.table.counters.unmatched_reports, 1);
}

#[test]
fn an_unreported_decision_expires_and_its_attempt_is_reported_as_cancelled() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    fixture.advance(1349);
    assert_eq!(fixture.table.in_flight(), 1);
    fixture.advance(1);
    assert_eq!(fixture.last_reply(1), CallReply::Failed(RefusalReason::NotReported));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Cancelled, true)]);
    fixture.report(1, AttemptStatus::Served);
    assert_eq!(
        (fixture.last_reply(1), fixture.attempt_ends().len()),
        (CallReply::Failed(RefusalReason::UnknownDecision), 1)
    );
}

#[test]
fn a_duplicate_report_or_a_report_for_another_request_has_no_effect() {
    let mut fixture = fixture();
    for (call, correlation_id) in [(1, 5), (2, 6)] {
        fixture.call(call, read(correlation_id, 1));
        fixture.decide(call, 0, 2);
    }
    fixture.table.report_received(
        fixture.now(),
        &mut fixture.host,
        CallId(2),
        Some(5),
        report(AttemptStatus::Served),
    );
    assert_eq!(
        (fixture.last_reply(2), fixture.table.in_flight()),
        (CallReply::Failed(RefusalReason::UnknownDecision), 2)
    );
    fixture.report(1, AttemptStatus::Served);
    fixture.report(1, AttemptStatus::Served);
    assert_eq!((fixture.attempt_ends().len(), fixture.table.counters.unmatched_reports), (1, 2));
}

#[test]
fn a_duplicate_write_waits_for_the_first_write_and_gets_its_result() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, write(6, 1, 77));
    assert!(!fixture.host.replies.contains_key(&CallId(2)), "the duplicate write must wait for the first");
    fixture.report(1, AttemptStatus::Served);
    let replayed = CallReply::Replayed(StoredResult { status: 200, version: 9 });
    assert_eq!(fixture.last_reply(2), replayed);
    fixture.advance(2999);
    fixture.call(3, write(7, 1, 77));
    assert_eq!(fixture.last_reply(3), replayed);
    let started = fixture.host.calls.iter().filter(|call| matches!(call, HostCall::Started(..))).count();
    assert_eq!(started, 1, "only one request may start for one idempotency key");
}

#[test]
fn a_waiting_call_is_rejected_at_its_deadline_and_a_call_beyond_the_limit_immediately() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, ExternalRequest { time_remaining: Span::millis(50), ..write(6, 1, 77) });
    fixture.call(3, write(7, 1, 77));
    fixture.call(4, write(8, 1, 77));
    assert_eq!(
        fixture.last_reply(4),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity)
    );
    fixture.advance(50);
    assert_eq!(
        fixture.last_reply(2),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::IdempotencyKeyInUse)
    );
    fixture.end_call(3);
    fixture.report(1, AttemptStatus::Served);
    assert!(!fixture.host.replies.contains_key(&CallId(3)), "a call that has ended gets no reply");
}

#[test]
fn the_next_request_with_the_key_of_a_write_that_may_have_run_gets_its_first_run() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    let issued_at = fixture.now();
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
fn a_write_whose_decision_was_never_sent_is_known_not_to_have_run() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.end_call(1);
    fixture.advance(250);
    fixture.call(2, write(6, 1, 77));
    assert!(fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)));
}

#[test]
fn a_write_that_its_endpoint_rejected_is_known_not_to_have_run() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.report(1, AttemptStatus::Overloaded);
    fixture.reject(1);
    fixture.call(2, write(6, 1, 77));
    assert!(fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)));
}

#[test]
fn after_a_restart_a_retried_write_is_assumed_to_have_run() {
    let mut fixture = fixture();
    fixture.now_ms = 10;
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
        "a first attempt is assumed not to have run before"
    );
    fixture.advance(63_000);
    fixture.call(3, ExternalRequest { client_retry: true, ..write(7, 1, 79) });
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(3), None)),
        "all keys that clients may still retry with are known by now"
    );
}

#[test]
fn a_denied_request_can_neither_see_the_result_of_a_write_nor_continue_a_request() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    fixture.call(2, ExternalRequest { authorization: Authorization::Denied, ..write(6, 1, 77) });
    assert!(
        fixture.host.calls.contains(&HostCall::Started(RequestNumber(2), None)),
        "a denied request goes to the routing engine, not to the stored keys"
    );
    fixture.reject(2);
    fixture.call(3, ExternalRequest { authorization: Authorization::Denied, ..write(5, 2, 77) });
    assert_eq!(fixture.last_reply(3), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    fixture.call(4, ExternalRequest { authorization: Authorization::Expired, ..write(5, 3, 77) });
    assert_eq!(
        fixture.last_reply(1),
        CallReply::Failed(RefusalReason::Superseded),
        "an expired URL may continue a request, as it was valid when the request began"
    );
    fixture.decide(1, 1, 2);
    fixture.report(4, AttemptStatus::Served);
    fixture.call(5, write(7, 1, 77));
    assert!(
        matches!(fixture.last_reply(5), CallReply::Replayed(_)),
        "the denied request must not have reserved the key"
    );
    fixture.call(6, ExternalRequest { authorization: Authorization::Denied, ..write(5, 4, 77) });
    assert_eq!(
        fixture.last_reply(6),
        CallReply::Failed(RefusalReason::CorrelationIdInUse),
        "the correlation id of a write must not disclose its result to a denied call"
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
    let reply = fixture.last_reply(2);
    fixture
        .table
        .withdraw_stale_decisions(&mut fixture.host, |_, decision| decision.endpoint == EndpointId(2));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Superseded, false)]);
    let now = fixture.now();
    let is_sent = fixture.table.confirm_send(now, &mut fixture.host, CallId(2), &reply);
    assert!(!is_sent, "a withdrawn decision must not be sent");
    assert_eq!((fixture.table.counters.withdrawn, fixture.table.counters.stale), (1, 1));
    fixture.decide(2, 1, 3);
    assert!(fixture.has_decision(2) && fixture.send(2));
}

#[test]
fn a_request_rejected_while_its_decision_is_in_flight_gets_the_rejection_in_reply_to_the_report() {
    let mut fixture = fixture();
    fixture.call(1, read(5, 1));
    fixture.decide(1, 0, 2);
    assert!(fixture.send(1));
    fixture.reject(1);
    assert!(fixture.has_decision(1), "the rejection must not be sent before the report");
    fixture.report(1, AttemptStatus::TimedOut);
    assert_eq!(fixture.last_reply(1), CallReply::Rejected(None, RefusalReason::GaveUp));
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::TimedOut, true)]);
}

#[test]
fn a_full_table_rejects_calls_immediately_and_evicts_no_key_early() {
    let mut fixture = fixture();
    for index in 1..=4 {
        fixture.call(index, write(index, 1, index.into()));
        fixture.decide(index, 0, 2);
        fixture.report(index, AttemptStatus::Served);
    }
    fixture.call(5, write(5, 1, 5));
    assert_eq!(
        fixture.last_reply(5),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity)
    );
    fixture.call(6, write(6, 1, 1));
    assert!(matches!(fixture.last_reply(6), CallReply::Replayed(_)));
    fixture.advance(63_000);
    assert!(fixture.table.idempotency_keys().is_empty(), "all keys must have expired");
    for index in 11..=14 {
        fixture.call(index, read(index, 1));
    }
    fixture.call(15, read(15, 1));
    assert_eq!(
        fixture.last_reply(15),
        CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity)
    );
}

// Guards against a write that runs twice: a retry kept for the proxy's next call beyond the write's window (review/6).
#[test]
fn a_kept_decision_is_withdrawn_once_its_attempt_must_not_begin_any_more() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide(1, 0, 2);
    assert!(fixture.send(1));
    fixture.report(1, AttemptStatus::Incomplete);
    fixture.decide_within(1, 1, 3, 90);
    assert_eq!(fixture.last_reply(1), CallReply::AwaitRetry);
    fixture.advance(90);
    assert_eq!(fixture.attempt_ends().last(), Some(&(1, AttemptStatus::Superseded, false)));
    fixture.call(2, write(5, 2, 77));
    assert!(!fixture.host.replies.contains_key(&CallId(2)), "the routing engine decides again");
    fixture.table.request_failed(fixture.now(), &mut fixture.host, RequestNumber(1));
    assert_eq!(fixture.last_reply(2), CallReply::Failed(RefusalReason::GaveUp));
    assert_eq!(fixture.table.counters.lapsed, 1);
}

// Guards against a write that runs twice: a proxy that may hold its decision beyond the write's window (review/6).
#[test]
fn a_decision_may_be_held_only_until_its_attempt_must_begin() {
    let mut fixture = fixture();
    fixture.call(1, write(5, 1, 77));
    fixture.decide_within(1, 0, 2, 110);
    let CallReply::Decision { use_within, .. } = fixture.last_reply(1) else { panic!("expected a decision") };
    assert_eq!(use_within, Span::millis(100), "10 ms are kept for the way to the proxy");
    fixture.now_ms += 11;
    assert!(!fixture.send(1), "the proxy's stream took no decision for 11 ms");
    assert_eq!(fixture.attempt_ends(), [(0, AttemptStatus::Superseded, false)]);
    fixture.decide_within(1, 1, 2, 10);
    assert_eq!(fixture.attempt_ends().last(), Some(&(1, AttemptStatus::Superseded, false)));
}

fn order(correlation_id: u64, attempt: u32) -> ExternalRequest {
    ExternalRequest { is_non_idempotent: true, class: 2, ..read(correlation_id, attempt) }
}

// Guards against a request that runs twice: one that may have run and is asked for again after its deadline.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_remembered_for_the_longest_wait() {
    let mut fixture = fixture();
    fixture.call(1, order(5, 1));
    fixture.decide(1, 0, 2);
    assert!(fixture.send(1));
    fixture.end_call(1);
    fixture.advance(250);
    for (call, attempt) in [(2, 1), (3, 2)] {
        fixture.advance(29_000);
        fixture.call(call, order(5, attempt));
        assert_eq!(fixture.last_reply(call), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    }
    fixture.advance(60_000);
    assert_eq!(fixture.table.stored_bytes(), 0, "nothing grows with time");
}

#[test]
fn a_non_idempotent_request_that_did_not_run_may_be_asked_for_again() {
    let mut fixture = fixture();
    fixture.call(1, order(5, 1));
    fixture.decide(1, 0, 2);
    fixture.end_call(1);
    fixture.advance(250);
    fixture.advance(10_000);
    fixture.call(2, order(5, 2));
    assert!(!fixture.host.replies.contains_key(&CallId(2)), "it waits for a decision");
}

#[test]
fn no_non_idempotent_request_starts_that_could_not_be_remembered() {
    let mut fixture = fixture();
    for id in 1..=4 {
        fixture.call(id, order(id, 1));
        fixture.decide(id, 0, 2);
        assert!(fixture.send(id));
        fixture.report(id, AttemptStatus::Served);
    }
    fixture.call(5, order(5, 1));
    let no_capacity = CallReply::Rejected(Some(Span::millis(100)), RefusalReason::NoCapacity);
    assert_eq!(fixture.last_reply(5), no_capacity);
    fixture.call(6, write(6, 1, 77));
    assert_eq!(fixture.last_reply(6), no_capacity, "keys and ids share their room");
    fixture.call(7, read(7, 1));
    assert!(!fixture.host.replies.contains_key(&CallId(7)), "a read needs no room there");
    fixture.call(8, order(1, 2));
    assert_eq!(fixture.last_reply(8), CallReply::Failed(RefusalReason::CorrelationIdInUse));
}

// Guards against calls that are refused for many seconds: one proxy that asks under ever new ids at full speed.
#[test]
fn finished_requests_under_ever_new_ids_keep_no_other_request_out() {
    let mut fixture = fixture();
    for id in 1..=100 {
        fixture.call(id, read(id, 1));
        fixture.decide(id, 0, 2);
        assert!(fixture.send(id));
        fixture.report(id, AttemptStatus::Served);
    }
    assert!(fixture.table.stored_bytes() <= LIMITS.max_finished * FINISHED_REQUEST_BYTES);
    fixture.call(101, read(100, 2));
    assert_eq!(fixture.last_reply(101), CallReply::Failed(RefusalReason::CorrelationIdInUse));
    fixture.call(102, read(200, 1));
    assert!(!fixture.host.replies.contains_key(&CallId(102)), "it waits for a decision");
}

#[test]
fn a_shutdown_sends_one_final_reply_to_every_open_call() {
    let mut fixture = fixture();
    for index in 1..=3 {
        fixture.call(index, read(index, 1));
    }
    fixture.decide(2, 0, 2);
    fixture.decide(3, 0, 2);
    fixture.end_call(3);
    fixture.table.shut_down(fixture.now(), &mut fixture.host);
    assert_eq!(fixture.last_reply(1), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!(fixture.last_reply(2), CallReply::Failed(RefusalReason::ShuttingDown));
    assert_eq!((fixture.table.in_flight(), fixture.attempt_ends().len()), (0, 2));
    assert_eq!(fixture.host.replies[&CallId(3)].len(), 1, "a call that has ended gets no final reply");
}
