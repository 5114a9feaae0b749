//! What one call takes in the table, empty and with a million marks known, and the memory of those.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

struct Nobody;

impl TableHost for Nobody {
    fn request_started(&mut self, _: RequestNumber, _: &ExternalRequest, _: Option<(Moment, EndpointId)>) {}
    fn attempt_ended(&mut self, _: RequestNumber, _: u16, _: Outcome, _: bool) {}
    fn request_abandoned(&mut self, _: RequestNumber) {}
    fn request_finished(&mut self, _: RequestNumber) {}
    fn reply(&mut self, stream: CallId, say: CallReply) {
        black_box((stream, say));
    }
    fn retry_after(&mut self) -> Option<Span> {
        None
    }
}

fn table() -> ExternalRequestTable {
    let limits = Limits {
        max_requests: 1 << 12,
        max_idempotency_keys: 1 << 30,
        max_finished: 1 << 30,
        max_waiters: 8,
        use_within: Span::millis(200),
        report_grace: Span::millis(250),
        retry_window: Span::millis(250),
        idempotency_window: Span::millis(3000),
        max_request_time: Span::millis(60_000),
    };
    ExternalRequestTable::new(limits, EnabledChecks::default(), Moment::default())
}

/// Asked, chosen, sent and reported done.
fn one(calls: &mut ExternalRequestTable, nth: u64, idempotency_key: Option<u128>) {
    let now = Moment::at_micros(100_000_000 + nth * 20);
    let (class, object, part, group, client_retry, attempt) = (0, nth % 5000, 0, 3, false, 1);
    let left = Span::millis(3000);
    let call = ExternalRequest {
        correlation_id: nth,
        attempt,
        class,
        object,
        part,
        group,
        idempotency_key,
        client_retry,
        time_remaining: left,
        authorization: Authorization::Granted,
    };
    let stream = CallId(nth);
    calls.timer_fired(now, &mut Nobody);
    calls.call_received(now, &mut Nobody, stream, call);
    let decision =
        RoutingDecision { attempt_index: 0, endpoint: EndpointId(1), directives: None, timeout: left };
    calls.decision_made(now, &mut Nobody, RequestNumber(nth), decision);
    calls.confirm_send(stream, &CallReply::Decision { decision, use_within: left, time_remaining: left });
    let known = StoredResult { status: 200, version: 0 };
    let report = Report {
        outcome: Outcome::new(AttemptStatus::Served, OutcomeDetail::Unknown),
        stored_result: known,
        used_after: None,
    };
    calls.report_received(now, &mut Nobody, stream, None, report);
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|size_kb| size_kb.parse().ok()).unwrap_or_default()
}

fn bench(criterion: &mut Criterion) {
    let (mut calls, mut nth) = (table(), 0);
    criterion.bench_function("a page, asked to reported", |bencher| {
        bencher.iter(|| {
            nth += 1;
            one(&mut calls, nth, None);
        });
    });
    let (mut calls, before) = (table(), resident());
    for nth in 1..=1_000_000u64 {
        // All within a window, so that none has its end yet.
        one(&mut calls, nth, Some(u128::from(nth).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C834)));
    }
    let idempotency_keys = calls.idempotency_keys().len();
    println!("{idempotency_keys} marks and as many tickets over: {} kB more resident", resident() - before);
    let mut nth = 1_000_000;
    criterion.bench_function("a save beside a million marks", |bencher| {
        bencher.iter(|| {
            nth += 1;
            one(&mut calls, nth, Some(u128::from(nth) << 64));
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
