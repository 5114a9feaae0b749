//! Tests of the division of budgets among routers: grants that are made, returned, expire and move, and
//! totals that are never exceeded.

mod support;

use support::{at, concurrency, rate};
use tindoor::time::Span;
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{BudgetKey, BudgetLimit, BudgetPlan, Participant, Quota, SafetyChecks, UNIT};

const KEY: BudgetKey = BudgetKey { budget: 1, scope: 0 };

fn timings() -> Timings {
    Timings {
        lease: Span::millis(1000),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    }
}

fn plan(limit: BudgetLimit) -> BudgetPlan {
    BudgetPlan { by_budget: [(KEY.budget, limit)].into(), ..BudgetPlan::default() }
}

fn participant(id: u64, plan: &BudgetPlan, checks: SafetyChecks) -> Participant {
    let mut participant = Participant::new(Incarnation(id), timings(), checks, 1);
    participant.set_plan(at(0), plan.clone(), None);
    participant.set_owns_guaranteed(at(0), true);
    participant
}

/// Spends one unit each 5 ms where it can; returns how many.
fn spend_steadily(participant: &mut Participant, from: u64, to: u64) -> usize {
    (from..to).step_by(5).filter(|ms| participant.spend(at(*ms), &[KEY])).count()
}

fn quota(participant: &mut Participant, ms: u64) -> Quota {
    participant
        .max_spendable(at(ms))
        .iter()
        .find(|(key, _)| *key == KEY)
        .map(|(_, quota)| *quota)
        .unwrap_or_default()
}

/// Confirms the leader, and carries one request of another router and its answer.
fn exchange(leader: &mut Participant, other: &mut Participant, id: u64, ms: u64) {
    leader.lead(at(ms), 1, Some(at(ms)));
    if let Some(request) = other.next_request(at(ms)) {
        let answer = leader.grant_request(at(ms), Incarnation(id), request).expect("the request is new");
        other.accept_grant(at(ms + 1), answer);
    }
}

/// A leader past its first lease, and another router, which both want more than the total.
fn leader_and_other(checks: SafetyChecks) -> [Participant; 2] {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut other] = [1, 2].map(|id| participant(id, &plan, checks));
    for ms in (0..3000).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        spend_steadily(&mut other, ms, ms + 100);
        exchange(&mut leader, &mut other, 2, ms + 100);
    }
    [leader, other]
}

#[test]
fn two_routers_that_want_the_total_get_half_each_and_never_exceed_it() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let [a, b] = [quota(&mut leader, 3000), quota(&mut other, 3001)];
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)), "{a:?} {b:?}");
    assert!(a.rate > 45_000 && b.rate > 45_000, "{a:?} {b:?}");
}

#[test]
fn a_new_leader_renews_grants_shown_to_it_and_grants_nothing_else_for_a_lease() {
    let plan = plan(rate(100.0, 20.0));
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let before = quota(&mut other, 3050);
    let mut next = participant(3, &plan, SafetyChecks::default());
    let mut stranger = participant(4, &plan, SafetyChecks::default());
    spend_steadily(&mut next, 3000, 3100);
    spend_steadily(&mut stranger, 3000, 3100);
    spend_steadily(&mut other, 3000, 3100);
    next.lead(at(3100), 2, Some(at(3100)));
    for (participant, id) in [(&mut other, 2), (&mut stranger, 4)] {
        let request = participant.next_request(at(3100)).expect("no request is open");
        let answer = next.grant_request(at(3100), Incarnation(id), request).expect("the request is new");
        participant.accept_grant(at(3101), answer);
    }
    assert_eq!(quota(&mut other, 3150).rate, before.rate, "the renewed grant stays");
    assert_eq!(quota(&mut stranger, 3150), Quota { rate: 0, burst: UNIT }, "only its guaranteed minimum");
    assert_eq!(quota(&mut next, 3150).rate, 0, "also for the leader itself");
    // The first leader's own half has expired a lease later.
    for ms in (3200..6000).step_by(100) {
        spend_steadily(&mut stranger, ms, ms + 100);
        next.lead(at(ms), 2, Some(at(ms)));
        if let Some(request) = stranger.next_request(at(ms)) {
            let answer = next.grant_request(at(ms), Incarnation(4), request).expect("the request is new");
            stranger.accept_grant(at(ms + 1), answer);
        }
    }
    assert!(quota(&mut stranger, 5900).rate > 45_000);
}

#[test]
fn a_new_leader_also_waits_for_units_in_flight() {
    let limit = BudgetLimit { release_lag: Span::millis(1000), ..concurrency(10.0) };
    let plan = plan(limit);
    let [mut next, mut stranger] = [1, 2].map(|id| participant(id, &plan, SafetyChecks::default()));
    let mut granted_at = |ms: u64| {
        stranger.record_refusal(at(ms), &[KEY]);
        next.lead(at(ms), 2, Some(at(ms)));
        let request = stranger.next_request(at(ms)).expect("the last request was answered");
        let answer = next.grant_request(at(ms), Incarnation(2), request).expect("the request is new");
        stranger.accept_grant(at(ms), answer);
        quota(&mut stranger, ms).burst
    };
    // It leads from 0 on. Earlier grants have expired a lease later; units in flight count for one more
    // second.
    assert_eq!(granted_at(0), 0);
    assert_eq!(granted_at(1800), 0, "a fill granted by its predecessor may still be in flight");
    assert!(granted_at(2100) > 0);
}

#[test]
fn grants_renewed_by_a_new_leader_fit_a_lowered_total() {
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let before = quota(&mut other, 3050).rate;
    let mut next = participant(3, &old, SafetyChecks::default());
    next.set_plan(at(3000), old, Some(new));
    next.lead(at(3100), 2, Some(at(3100)));
    let request = other.next_request(at(3100)).expect("no request is open");
    let answer = next.grant_request(at(3100), Incarnation(2), request).expect("the request is new");
    other.accept_grant(at(3101), answer);
    let after = quota(&mut other, 3101).rate;
    assert!(after > 0 && after <= before * 40 / 100, "{before} before, {after} after");
}

/// A leader, a router that passes on its grant, and one that is granted from it, all past the first lease.
/// The last two want more than the total.
fn leader_middle_and_last() -> [Participant; 3] {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut middle, mut last] =
        [1, 2, 3].map(|id| participant(id, &plan, SafetyChecks::default()));
    for ms in (0..3000).step_by(100) {
        spend_steadily(&mut middle, ms, ms + 100);
        spend_steadily(&mut last, ms, ms + 100);
        if let Some(request) = last.next_request(at(ms + 90)) {
            let answer =
                middle.grant_request(at(ms + 90), Incarnation(3), request).expect("the request is new");
            last.accept_grant(at(ms + 91), answer);
        }
        exchange(&mut leader, &mut middle, 2, ms + 100);
    }
    [leader, middle, last]
}

#[test]
fn a_partitioned_router_keeps_passing_on_its_grant_until_that_expires() {
    let [_, mut middle, mut last] = leader_middle_and_last();
    let [a, b] = [quota(&mut middle, 3001), quota(&mut last, 3001)];
    assert!(a.rate > 30_000 && b.rate > 30_000, "{a:?} {b:?}");
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)));
    // Partitioned from the leader, the middle one wants nothing more; its grant goes to the last one until it
    // expires.
    for ms in (3100..3900).step_by(100) {
        spend_steadily(&mut last, ms - 100, ms);
        middle.next_request(at(ms));
        if let Some(request) = last.next_request(at(ms)) {
            let answer = middle.grant_request(at(ms), Incarnation(3), request).expect("the request is new");
            last.accept_grant(at(ms + 1), answer);
        }
        let sum = quota(&mut middle, ms).plus(quota(&mut last, ms + 1));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    assert_eq!(quota(&mut last, 4300), Quota { rate: 0, burst: UNIT }, "only its guaranteed minimum is left");
}

#[test]
fn a_new_leader_renews_grants_of_a_leader_but_not_those_passed_on_from_them() {
    let [_, mut middle, mut last] = leader_middle_and_last();
    let mut next = participant(4, &plan(rate(100.0, 20.0)), SafetyChecks::default());
    next.lead(at(3100), 2, Some(at(3100)));
    let mut granted_sum = Quota::NONE;
    for (participant, id) in [(&mut middle, 2), (&mut last, 3)] {
        let request = participant.next_request(at(3400)).expect("the last request timed out");
        let answer = next.grant_request(at(3400), Incarnation(id), request).expect("the request is new");
        granted_sum = answer.grants.iter().fold(granted_sum, |sum, granted| sum.plus(granted.quota));
    }
    // The middle one's grant includes what it passed on: both together would exceed the total.
    assert!(granted_sum.within(Quota::rate(100.0, 16.0)) && granted_sum.rate > 80_000, "{granted_sum:?}");
}

#[test]
fn a_router_suspended_past_its_lease_spends_only_its_guaranteed_minimum() {
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let spent = (0..50).filter(|_| other.spend(at(9000), &[KEY])).count();
    assert!(spent <= 1, "{spent} spent of an expired grant");
    let [_, mut other] = leader_and_other(SafetyChecks { stop_at_expiry: false, ..SafetyChecks::default() });
    assert!((0..50).filter(|_| other.spend(at(9000), &[KEY])).count() > 1, "the check is needed");
}

#[test]
fn the_grant_of_a_silent_router_is_available_again_after_its_lease_and_no_sooner() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let before = quota(&mut leader, 3000);
    for ms in (3100..3900).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        leader.lead(at(ms), 1, Some(at(ms)));
        let sum = quota(&mut leader, ms).plus(quota(&mut other, ms));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    for ms in (3900..5200).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        leader.lead(at(ms), 1, Some(at(ms)));
    }
    assert!(quota(&mut leader, 5200).rate > before.rate * 3 / 2, "within two leases");
}

/// What both might spend after the leader's demand has risen and the answer that lowers the other's grant was
/// lost.
fn after_a_lost_answer(checks: SafetyChecks) -> Quota {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut other] = [1, 2].map(|id| participant(id, &plan, checks));
    for ms in (0..7000).step_by(100) {
        spend_steadily(&mut other, ms, ms + 100);
        if ms >= 3000 {
            spend_steadily(&mut leader, ms, ms + 100);
        }
        let now = ms + 100;
        leader.lead(at(now), 1, Some(at(now)));
        let before = quota(&mut other, now);
        let request = other.next_request(at(now)).expect("the last request was answered");
        let answer = leader.grant_request(at(now), Incarnation(2), request).expect("the request is new");
        if answer.grants.iter().any(|granted| granted.quota.rate + 10 * UNIT < before.rate) {
            leader.lead(at(now + 1), 1, Some(at(now + 1)));
            return quota(&mut leader, now + 1).plus(quota(&mut other, now + 1));
        }
        other.accept_grant(at(now + 1), answer);
    }
    panic!("its grant is lowered in the end");
}

#[test]
fn quota_is_returned_before_it_is_granted_again_also_where_the_answer_is_lost() {
    let total = Quota::rate(100.0, 20.0);
    assert!(after_a_lost_answer(SafetyChecks::default()).within(total));
    let without =
        after_a_lost_answer(SafetyChecks { count_until_returned: false, ..SafetyChecks::default() });
    assert!(!without.within(total), "the check is needed: {without:?}");
}

#[test]
fn an_answer_to_an_earlier_request_is_void() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    leader.lead(at(3400), 1, Some(at(3400)));
    let early = other.next_request(at(3400)).expect("no request is open");
    let late = leader.grant_request(at(3400), Incarnation(2), early).expect("the request is new");
    let again = other.next_request(at(3700)).expect("the first request timed out");
    let before = quota(&mut other, 3700);
    other.accept_grant(at(3701), late);
    assert_eq!(quota(&mut other, 3701), before, "it may have been granted to others since");
    // A request that arrives a second time is ignored.
    assert!(leader.grant_request(at(3702), Incarnation(2), again.clone()).is_some());
    assert!(leader.grant_request(at(3703), Incarnation(2), again).is_none());
}

#[test]
fn a_lowered_total_bounds_grants_from_its_decision_on() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    leader.set_plan(at(3000), old, Some(new));
    for ms in (3100..4300).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        spend_steadily(&mut other, ms, ms + 100);
        exchange(&mut leader, &mut other, 2, ms);
    }
    // All earlier grants have expired a lease after the decision, before it takes effect.
    let sum = quota(&mut leader, 4300).plus(quota(&mut other, 4300));
    assert!(sum.within(Quota::rate(40.0, 20.0)), "{sum:?}");
}

#[test]
fn routers_take_turns_where_there_are_fewer_units_than_routers() {
    let limit = concurrency(2.0);
    let plan = plan(limit);
    let mut participants: Vec<Participant> =
        (1..=5).map(|id| participant(id, &plan, SafetyChecks::default())).collect();
    let (mut units_by_router, mut peak) = ([0; 5], 0);
    for ms in (0..30_000).step_by(100) {
        let mut units = 0;
        for index in 0..5 {
            participants[index].record_refusal(at(ms), &[KEY]);
            if index > 0 {
                let [leader, other] = participants.get_disjoint_mut([0, index]).unwrap();
                exchange(leader, other, index as u64 + 1, ms);
            }
            let own = quota(&mut participants[index], ms + 2).burst / UNIT;
            units_by_router[index] += own;
            units += own;
        }
        peak = peak.max(units);
    }
    assert!(
        units_by_router.iter().all(|units| *units > 0) && peak <= 2,
        "{units_by_router:?}, {peak} at once"
    );
}

#[test]
fn spending_from_several_keys_takes_from_all_or_none() {
    let (one, other) = (KEY, BudgetKey { budget: 2, scope: 7 });
    let plan = BudgetPlan {
        by_budget: [(1, rate(100.0, 20.0)), (2, rate(100.0, 8.0))].into(),
        ..BudgetPlan::default()
    };
    let mut leader = participant(1, &plan, SafetyChecks::default());
    for ms in (0..4000).step_by(100) {
        for ms in (ms..ms + 100).step_by(5) {
            leader.spend(at(ms), &[one, other]);
        }
        leader.lead(at(ms + 100), 1, Some(at(ms + 100)));
    }
    // The smaller budget is spent; the larger one still has what it did not need beside it.
    let both = (0..50).filter(|_| leader.spend(at(4500), &[one, other])).count();
    let rest = (0..50).filter(|_| leader.spend(at(4500), &[one])).count();
    assert!(both > 0 && rest > 0, "{both} of both, {rest} more of one");
    // A key without a limit can always be spent.
    assert!((0..50).all(|_| leader.spend(at(4500), &[BudgetKey { budget: 9, scope: 0 }])));
}
