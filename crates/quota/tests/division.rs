//! Tests of the division of budgets among routers: grants are made, renewed, returned and expire, and the
//! routers together never hold more than the total.

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

/// Tries to spend one unit every 5 ms. Returns the number of units spent.
fn spend_steadily(participant: &mut Participant, from: u64, to: u64) -> usize {
    (from..to).step_by(5).filter(|ms| participant.spend(at(*ms), &[KEY])).count()
}

/// All quota of the key that this router might still spend.
fn spendable(participant: &mut Participant, ms: u64) -> Quota {
    participant
        .max_spendable(at(ms))
        .iter()
        .find(|(key, _)| *key == KEY)
        .map(|(_, quota)| *quota)
        .unwrap_or_default()
}

/// Confirms the leader, and delivers one request of another router and the answer to it.
fn exchange(leader: &mut Participant, other: &mut Participant, id: u64, ms: u64) {
    leader.lead(at(ms), 1, Some(at(ms)));
    if let Some(request) = other.next_request(at(ms)) {
        let answer = leader.grant_request(at(ms), Incarnation(id), request).expect("the request is new");
        other.accept_grant(at(ms + 1), answer);
    }
}

/// A leader after its first lease, and another router. Each of them demands more than the total.
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
fn two_routers_that_demand_the_total_get_half_each_and_never_exceed_it() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let [a, b] = [spendable(&mut leader, 3000), spendable(&mut other, 3001)];
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)), "{a:?} {b:?}");
    assert!(a.rate > 45_000 && b.rate > 45_000, "{a:?} {b:?}");
}

#[test]
fn a_new_leader_renews_reported_grants_and_grants_nothing_else_for_a_lease() {
    let plan = plan(rate(100.0, 20.0));
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let before = spendable(&mut other, 3050);
    let mut next = participant(3, &plan, SafetyChecks::default());
    let mut newcomer = participant(4, &plan, SafetyChecks::default());
    spend_steadily(&mut next, 3000, 3100);
    spend_steadily(&mut newcomer, 3000, 3100);
    spend_steadily(&mut other, 3000, 3100);
    next.lead(at(3100), 2, Some(at(3100)));
    for (participant, id) in [(&mut other, 2), (&mut newcomer, 4)] {
        let request = participant.next_request(at(3100)).expect("no request is pending");
        let answer = next.grant_request(at(3100), Incarnation(id), request).expect("the request is new");
        participant.accept_grant(at(3101), answer);
    }
    assert_eq!(spendable(&mut other, 3150).rate, before.rate, "the grant was renewed unchanged");
    assert_eq!(spendable(&mut newcomer, 3150), Quota { rate: 0, burst: UNIT }, "only its guaranteed minimum");
    assert_eq!(spendable(&mut next, 3150).rate, 0, "the new leader grants nothing to itself either");
    // One lease later the first leader's own half has expired, and is granted to the newcomer.
    for ms in (3200..6000).step_by(100) {
        spend_steadily(&mut newcomer, ms, ms + 100);
        next.lead(at(ms), 2, Some(at(ms)));
        if let Some(request) = newcomer.next_request(at(ms)) {
            let answer = next.grant_request(at(ms), Incarnation(4), request).expect("the request is new");
            newcomer.accept_grant(at(ms + 1), answer);
        }
    }
    assert!(spendable(&mut newcomer, 5900).rate > 45_000);
}

#[test]
fn a_new_leader_waits_for_units_in_flight_that_its_predecessor_granted() {
    let limit = BudgetLimit { release_lag: Span::millis(1000), ..concurrency(10.0) };
    let plan = plan(limit);
    let [mut next, mut newcomer] = [1, 2].map(|id| participant(id, &plan, SafetyChecks::default()));
    let mut granted_at = |ms: u64| {
        newcomer.record_refusal(at(ms), &[KEY]);
        next.lead(at(ms), 2, Some(at(ms)));
        let request = newcomer.next_request(at(ms)).expect("the last request was answered");
        let answer = next.grant_request(at(ms), Incarnation(2), request).expect("the request is new");
        newcomer.accept_grant(at(ms), answer);
        spendable(&mut newcomer, ms).burst
    };
    // The new leader leads from 0 ms on. The predecessor's grants expire one lease later (1 s); units in
    // flight count for one more second, the release lag.
    assert_eq!(granted_at(0), 0);
    assert_eq!(granted_at(1800), 0, "a fill granted by its predecessor may still be in flight");
    assert!(granted_at(2100) > 0);
}

#[test]
fn grants_renewed_by_a_new_leader_fit_a_lowered_total() {
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let before = spendable(&mut other, 3050).rate;
    let mut next = participant(3, &old, SafetyChecks::default());
    next.set_plan(at(3000), old, Some(new));
    next.lead(at(3100), 2, Some(at(3100)));
    let request = other.next_request(at(3100)).expect("no request is pending");
    let answer = next.grant_request(at(3100), Incarnation(2), request).expect("the request is new");
    other.accept_grant(at(3101), answer);
    let after = spendable(&mut other, 3101).rate;
    assert!(after > 0 && after <= before * 40 / 100, "{before} before, {after} after");
}

/// A leader, a middle router that borrows from the leader, and a last router that borrows from the middle
/// one, all after the first lease. The middle and the last router each demand more than the total.
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
    let [a, b] = [spendable(&mut middle, 3001), spendable(&mut last, 3001)];
    assert!(a.rate > 30_000 && b.rate > 30_000, "{a:?} {b:?}");
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)));
    // The middle router is partitioned from the leader and has no more demand of its own. It passes on its
    // grant to the last router until the grant expires.
    for ms in (3100..3900).step_by(100) {
        spend_steadily(&mut last, ms - 100, ms);
        middle.next_request(at(ms));
        if let Some(request) = last.next_request(at(ms)) {
            let answer = middle.grant_request(at(ms), Incarnation(3), request).expect("the request is new");
            last.accept_grant(at(ms + 1), answer);
        }
        let sum = spendable(&mut middle, ms).plus(spendable(&mut last, ms + 1));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    assert_eq!(
        spendable(&mut last, 4300),
        Quota { rate: 0, burst: UNIT },
        "only its guaranteed minimum is left"
    );
}

#[test]
fn a_new_leader_renews_grants_of_its_predecessor_but_not_quota_passed_on_from_them() {
    let [_, mut middle, mut last] = leader_middle_and_last();
    let mut next = participant(4, &plan(rate(100.0, 20.0)), SafetyChecks::default());
    next.lead(at(3100), 2, Some(at(3100)));
    let mut granted_sum = Quota::NONE;
    for (participant, id) in [(&mut middle, 2), (&mut last, 3)] {
        let request = participant.next_request(at(3400)).expect("the last request timed out");
        let answer = next.grant_request(at(3400), Incarnation(id), request).expect("the request is new");
        granted_sum = answer.grants.iter().fold(granted_sum, |sum, granted| sum.plus(granted.quota));
    }
    // The middle router's grant includes what it passed on, so renewing both would exceed the total.
    assert!(granted_sum.within(Quota::rate(100.0, 16.0)) && granted_sum.rate > 80_000, "{granted_sum:?}");
}

#[test]
fn a_router_suspended_past_its_lease_spends_only_its_guaranteed_minimum() {
    let [_, mut other] = leader_and_other(SafetyChecks::default());
    let spent = (0..50).filter(|_| other.spend(at(9000), &[KEY])).count();
    assert!(spent <= 1, "{spent} units spent after the grant has expired");
    let [_, mut other] = leader_and_other(SafetyChecks { stop_at_expiry: false, ..SafetyChecks::default() });
    assert!(
        (0..50).filter(|_| other.spend(at(9000), &[KEY])).count() > 1,
        "the check stop_at_expiry is needed"
    );
}

#[test]
fn the_grant_of_a_silent_router_is_granted_to_others_after_its_expiry_and_not_before() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let before = spendable(&mut leader, 3000);
    for ms in (3100..3900).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        leader.lead(at(ms), 1, Some(at(ms)));
        let sum = spendable(&mut leader, ms).plus(spendable(&mut other, ms));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    for ms in (3900..5200).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        leader.lead(at(ms), 1, Some(at(ms)));
    }
    assert!(
        spendable(&mut leader, 5200).rate > before.rate * 3 / 2,
        "the leader gets the silent router's quota within two leases"
    );
}

/// What both routers together might spend after the leader's demand has risen, if the answer that lowers the
/// other router's grant is lost.
fn spendable_after_lost_answer(checks: SafetyChecks) -> Quota {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut other] = [1, 2].map(|id| participant(id, &plan, checks));
    for ms in (0..7000).step_by(100) {
        spend_steadily(&mut other, ms, ms + 100);
        if ms >= 3000 {
            spend_steadily(&mut leader, ms, ms + 100);
        }
        let now = ms + 100;
        leader.lead(at(now), 1, Some(at(now)));
        let before = spendable(&mut other, now);
        let request = other.next_request(at(now)).expect("the last request was answered");
        let answer = leader.grant_request(at(now), Incarnation(2), request).expect("the request is new");
        if answer.grants.iter().any(|granted| granted.quota.rate + 10 * UNIT < before.rate) {
            leader.lead(at(now + 1), 1, Some(at(now + 1)));
            return spendable(&mut leader, now + 1).plus(spendable(&mut other, now + 1));
        }
        other.accept_grant(at(now + 1), answer);
    }
    panic!("the leader's demand has risen, but the other router's grant was never lowered");
}

#[test]
fn quota_is_not_granted_again_before_it_is_returned_even_if_the_answer_is_lost() {
    let total = Quota::rate(100.0, 20.0);
    assert!(spendable_after_lost_answer(SafetyChecks::default()).within(total));
    let without =
        spendable_after_lost_answer(SafetyChecks { count_until_returned: false, ..SafetyChecks::default() });
    assert!(!without.within(total), "without count_until_returned the total must be exceeded: {without:?}");
}

#[test]
fn an_answer_to_an_earlier_request_is_void() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    leader.lead(at(3400), 1, Some(at(3400)));
    let early = other.next_request(at(3400)).expect("no request is pending");
    let late_answer = leader.grant_request(at(3400), Incarnation(2), early).expect("the request is new");
    let second = other.next_request(at(3700)).expect("the first request timed out");
    let before = spendable(&mut other, 3700);
    other.accept_grant(at(3701), late_answer);
    assert_eq!(spendable(&mut other, 3701), before, "the quota may have been granted to others since");
    // A duplicate of a request is ignored.
    assert!(leader.grant_request(at(3702), Incarnation(2), second.clone()).is_some());
    assert!(leader.grant_request(at(3703), Incarnation(2), second).is_none());
}

#[test]
fn a_lowered_total_limits_grants_as_soon_as_it_is_decided() {
    let [mut leader, mut other] = leader_and_other(SafetyChecks::default());
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    leader.set_plan(at(3000), old, Some(new));
    for ms in (3100..4300).step_by(100) {
        spend_steadily(&mut leader, ms, ms + 100);
        spend_steadily(&mut other, ms, ms + 100);
        exchange(&mut leader, &mut other, 2, ms);
    }
    // All earlier grants have expired one lease after the decision, before the new plan takes effect.
    let sum = spendable(&mut leader, 4300).plus(spendable(&mut other, 4300));
    assert!(sum.within(Quota::rate(40.0, 20.0)), "{sum:?}");
}

#[test]
fn routers_take_turns_if_there_are_fewer_units_than_routers() {
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
            let own = spendable(&mut participants[index], ms + 2).burst / UNIT;
            units_by_router[index] += own;
            units += own;
        }
        peak = peak.max(units);
    }
    assert!(
        units_by_router.iter().all(|units| *units > 0) && peak <= 2,
        "units by router: {units_by_router:?}, largest sum at once: {peak}"
    );
}

#[test]
fn spending_from_several_keys_takes_a_unit_of_all_or_of_none() {
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
    // The smaller budget is exhausted first. Refused requests have spent nothing of the larger budget.
    let both = (0..50).filter(|_| leader.spend(at(4500), &[one, other])).count();
    let more = (0..50).filter(|_| leader.spend(at(4500), &[one])).count();
    assert!(both > 0 && more > 0, "{both} units of both keys, then {more} more of the larger one");
    // Units of a key without a limit can always be spent.
    assert!((0..50).all(|_| leader.spend(at(4500), &[BudgetKey { budget: 9, scope: 0 }])));
}

// Guards against a budget that is exceeded: a grant to a process that has ended reaches the next one at its address.
#[test]
fn a_grant_to_an_earlier_process_is_not_accepted() {
    let plan = plan(rate(100.0, 20.0));
    let mut leader = participant(1, &plan, SafetyChecks::default());
    leader.lead(at(0), 1, Some(at(0)));
    let (earlier_id, later_id) = (0x9000_0000_0000_0007, 0x4000_0000_0000_0003);
    let mut earlier = participant(earlier_id, &plan, SafetyChecks::default());
    let mut later = participant(later_id, &plan, SafetyChecks::default());
    spend_steadily(&mut earlier, 4000, 4100);
    spend_steadily(&mut later, 4000, 4100);
    let request = earlier.next_request(at(4100)).expect("no request is pending");
    leader.lead(at(4100), 1, Some(at(4100)));
    let answer =
        leader.grant_request(at(4100), Incarnation(earlier_id), request).expect("the request is new");
    assert!(answer.grants.iter().any(|granted| granted.quota.rate > 0), "{answer:?}");
    later.next_request(at(4150)).expect("no request is pending");
    later.accept_grant(at(4160), answer);
    assert_eq!(spendable(&mut later, 4200), Quota { rate: 0, burst: UNIT }, "only its guaranteed minimum");
}
