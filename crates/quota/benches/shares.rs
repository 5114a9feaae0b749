//! What spending costs on the path of a view, and dividing among many.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Start, Terms};
use tindoor_quota::{Guards, Kind, Line, Party, Plan, Share, UNIT, Whole, Wish, divide};

fn party() -> Party {
    let terms = Terms {
        lease: Span::secs(1.0),
        hold_out: Span::secs(6.0),
        bound: Span::millis(40),
        beat: Span::millis(100),
        drift_ppm: 200,
    };
    let floor = Share { flow: 0, stock: UNIT };
    let share = Share::rate(1e6, 1e6);
    let whole = Whole { kind: Kind::Rate, share, floor, routers: 4, lag: Span::ZERO };
    let plan = Plan { any: (1..=10).map(|budget| (budget, whole)).collect(), ..Plan::default() };
    let mut party = Party::new(Start(1), terms, Guards::default(), 1);
    party.plan(Moment::default(), plan, None);
    party
}

fn benches(criterion: &mut Criterion) {
    let mut party = party();
    let mut now = Moment::at_micros(1);
    let lines = [1, 2, 3, 4].map(|budget| Line { budget, of: 0 });
    criterion.bench_function("spend and settle one line", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let had = party.spend(now, black_box(&lines[..1]));
            party.settled(now, now, &lines[..1], false);
            had
        })
    });
    criterion.bench_function("spend and settle four lines", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let had = party.spend(now, black_box(&lines));
            party.settled(now, now, &lines, false);
            had
        })
    });
    criterion.bench_function("affords four lines", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            party.affords(now, black_box(&lines))
        })
    });
    let wishes: Vec<Wish> =
        (0..5000u64).map(|nth| Wish { wants: nth * 7919 % 5000, weight: 1 + nth % 3 }).collect();
    criterion.bench_function("divide among 5000", |bench| {
        bench.iter(|| divide(black_box(2_000_000), &wishes, 1, 0))
    });
}

criterion_group!(shares, benches);
criterion_main!(shares);
