//! What spending costs on the path of a request, and dividing among many.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{BudgetKey, BudgetLimit, Demand, Guards, Kind, Participant, Plan, Quota, UNIT, divide};

fn participant() -> Participant {
    let terms = Timings {
        lease: Span::secs(1.0),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    };
    let floor = Quota { rate: 0, burst: UNIT };
    let quota = Quota::rate(1e6, 1e6);
    let whole = BudgetLimit { kind: Kind::Rate, quota, floor, routers: 4, lag: Span::ZERO };
    let plan = Plan { any: (1..=10).map(|budget| (budget, whole)).collect(), ..Plan::default() };
    let mut participant = Participant::new(Incarnation(1), terms, Guards::default(), 1);
    participant.plan(Moment::default(), plan, None);
    participant
}

fn benches(criterion: &mut Criterion) {
    let mut participant = participant();
    let mut now = Moment::at_micros(1);
    let keys = [1, 2, 3, 4].map(|budget| BudgetKey { budget, of: 0 });
    criterion.bench_function("spend and settle one line", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let had = participant.spend(now, black_box(&keys[..1]));
            participant.settled(now, now, &keys[..1], false);
            had
        })
    });
    criterion.bench_function("spend and settle four lines", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let had = participant.spend(now, black_box(&keys));
            participant.settled(now, now, &keys, false);
            had
        })
    });
    criterion.bench_function("affords four lines", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            participant.affords(now, black_box(&keys))
        })
    });
    let wishes: Vec<Demand> =
        (0..5000u64).map(|nth| Demand { wants: nth * 7919 % 5000, weight: 1 + nth % 3 }).collect();
    criterion.bench_function("divide among 5000", |bench| {
        bench.iter(|| divide(black_box(2_000_000), &wishes, 1, 0))
    });
}

criterion_group!(shares, benches);
criterion_main!(shares);
