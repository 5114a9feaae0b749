//! What one call takes in the table, empty and with a million marks known, and the memory of those.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor::host::{CacheNo, Note, Pass, Verdict};
use tindoor::time::{Moment, Span};
use tindoor_external_requests::*;

struct Nobody;

impl Hands for Nobody {
    fn begin(&mut self, _: Serial, _: &Call, _: Option<(Moment, CacheNo)>) {}
    fn ended(&mut self, _: Serial, _: u16, _: (Verdict, Note), _: bool) {}
    fn left(&mut self, _: Serial) {}
    fn close(&mut self, _: Serial) {}
    fn say(&mut self, stream: Stream, say: Say) {
        black_box((stream, say));
    }
    fn come_back(&mut self) -> Option<Span> {
        None
    }
}

fn table() -> Calls {
    let bounds = Bounds {
        views: 1 << 12,
        marks: 1 << 30,
        over: 1 << 30,
        waiters: 8,
        use_within: Span::millis(200),
        report_within: Span::millis(250),
        again_within: Span::millis(250),
        window: Span::millis(3000),
        longest: Span::millis(60_000),
    };
    Calls::new(bounds, Guards::default(), Moment::default())
}

/// Asked, chosen, sent and reported done.
fn one(calls: &mut Calls, nth: u64, mark: Option<u128>) {
    let now = Moment::at_micros(100_000_000 + nth * 20);
    let (offering, object, part, group, repeat, attempt) = (0, nth % 5000, 0, 3, false, 1);
    let left = Span::millis(3000);
    let call =
        Call { ticket: nth, attempt, offering, object, part, group, mark, repeat, left, pass: Pass::Free };
    let stream = Stream(nth);
    calls.tick(now, &mut Nobody);
    calls.call(now, &mut Nobody, stream, call);
    let choice = Choice { nth: 0, cache: CacheNo(1), terms: None, wait: left };
    calls.ordered(now, &mut Nobody, Serial(nth), choice);
    calls.leaves(stream, &Say::Choice { choice, use_within: left, left });
    let known = Known { status: 200, version: 0 };
    let report = Report { verdict: Verdict::Done, note: Note::Untold, known, used_after: None };
    calls.reported(now, &mut Nobody, stream, None, report);
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or_default()
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
    let marks = calls.marks().len();
    println!("{marks} marks and as many tickets over: {} kB more resident", resident() - before);
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
