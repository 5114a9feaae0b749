//! Benchmarks of spending quota, which every request does, and of dividing a budget among many routers.

#![expect(missing_docs, reason = "criterion's macro generates a public function without documentation")]

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{
    BudgetKey, BudgetKind, BudgetLimit, BudgetPlan, Participant, Quota, SafetyChecks, UNIT, WeightedDemand,
    max_min_fair_shares,
};

fn participant() -> Participant {
    let timings = Timings {
        lease: Span::secs(1.0),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    };
    let guaranteed = Quota { rate: 0, burst: UNIT };
    let total = Quota::rate(1e6, 1e6);
    let limit =
        BudgetLimit { kind: BudgetKind::Rate, total, guaranteed, max_routers: 4, release_lag: Span::ZERO };
    let plan =
        BudgetPlan { by_budget: (1..=10).map(|budget| (budget, limit)).collect(), ..BudgetPlan::default() };
    let mut participant = Participant::new(Incarnation(1), timings, SafetyChecks::default(), 1);
    participant.set_plan(Moment::default(), plan, None);
    participant
}

fn benches(criterion: &mut Criterion) {
    let mut participant = participant();
    let mut now = Moment::at_micros(1);
    let keys = [1, 2, 3, 4].map(|budget| BudgetKey { budget, scope: 0 });
    criterion.bench_function("spend and settle one key", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let spent = participant.spend(now, black_box(&keys[..1]));
            participant.settle(now, now, &keys[..1], false);
            spent
        });
    });
    criterion.bench_function("spend and settle four keys", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            let spent = participant.spend(now, black_box(&keys));
            participant.settle(now, now, &keys, false);
            spent
        });
    });
    criterion.bench_function("can afford four keys", |bench| {
        bench.iter(|| {
            now = now + Span::micros(1);
            participant.can_afford(now, black_box(&keys))
        });
    });
    let demands: Vec<WeightedDemand> = (0..5000u64)
        .map(|index| WeightedDemand { amount: index * 7919 % 5000, weight: 1 + index % 3 })
        .collect();
    criterion.bench_function("divide among 5000", |bench| {
        bench.iter(|| max_min_fair_shares(black_box(2_000_000), &demands, 1, 0));
    });
}

criterion_group!(quota, benches);
criterion_main!(quota);
