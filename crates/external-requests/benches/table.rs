//! Measures the time that the table takes for one request, with no idempotency keys and with a million
//! stored, and the memory that a million keys take.

use std::hint::black_box;

use criterion::Criterion;
use tindoor::host::{AttemptStatus, Authorization, EndpointId, Outcome, OutcomeDetail};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

/// A host that ignores all calls.
struct DiscardingHost;

impl TableHost for DiscardingHost {
    fn request_started(&mut self, _: RequestNumber, _: &ExternalRequest, _: Option<(Moment, EndpointId)>) {}
    fn attempt_ended(&mut self, _: RequestNumber, _: u16, _: Outcome, _: bool) {}
    fn request_abandoned(&mut self, _: RequestNumber) {}
    fn request_finished(&mut self, _: RequestNumber) {}
    fn reply(&mut self, call: CallId, reply: CallReply) {
        black_box((call, reply));
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

/// Runs one request, from its call to its report.
fn run_request(table: &mut ExternalRequestTable, index: u64, idempotency_key: Option<u128>) {
    let now = Moment::at_micros(100_000_000 + index * 20);
    let time_remaining = Span::millis(3000);
    let request = ExternalRequest {
        correlation_id: index,
        attempt: 1,
        class: 0,
        object: index % 5000,
        part: 0,
        group: 3,
        idempotency_key,
        is_non_idempotent: false,
        client_retry: false,
        time_remaining,
        authorization: Authorization::Granted,
    };
    let (host, call) = (&mut DiscardingHost, CallId(index));
    table.timer_fired(now, host);
    table.call_received(now, host, call, request);
    let decision = RoutingDecision {
        attempt_index: 0,
        endpoint: EndpointId(1),
        directives: None,
        timeout: time_remaining,
        send_by: None,
    };
    table.decision_made(now, host, RequestNumber(index), decision);
    table.confirm_send(
        now,
        host,
        call,
        &CallReply::Decision { decision, use_within: time_remaining, time_remaining },
    );
    let report = Report {
        outcome: Outcome::new(AttemptStatus::Served, OutcomeDetail::Unknown),
        stored_result: StoredResult { status: 200, version: 0 },
        used_after: None,
    };
    table.report_received(now, host, call, None, report);
}

/// Returns the resident memory of this process in kB, or 0 if it can't be read.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|size_kb| size_kb.parse().ok()).unwrap_or_default()
}

fn bench_empty(criterion: &mut Criterion) {
    let (mut table, mut index) = (table(), 0);
    criterion.bench_function("a read, from call to report", |bencher| {
        bencher.iter(|| {
            index += 1;
            run_request(&mut table, index, None);
        });
    });
}

fn bench_million_keys(criterion: &mut Criterion) {
    let (mut table, before) = (table(), resident_kb());
    for index in 1..=1_000_000u64 {
        // The requests cover 20 s, and a key is stored for 63 s (the idempotency window and the longest
        // request time), so that no key expires.
        let key = u128::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C834);
        run_request(&mut table, index, Some(key));
    }
    let keys = table.idempotency_keys().len();
    println!("{keys} idempotency keys and as many finished requests: {} kB resident", resident_kb() - before);
    let mut index = 1_000_000;
    criterion.bench_function("a write beside a million idempotency keys", |bencher| {
        bencher.iter(|| {
            index += 1;
            run_request(&mut table, index, Some(u128::from(index) << 64));
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_empty(&mut criterion);
    bench_million_keys(&mut criterion);
    criterion.final_summary();
}
