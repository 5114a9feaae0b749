//! Stories of budgets that are divided: what is lent, comes back, lapses and moves, and what is never over the whole.

use proptest::prelude::*;
use tindoor::time::{Moment, Span};
use tindoor_membership::{Incarnation, Timings};
use tindoor_quota::{
    BudgetKey, BudgetLimit, Claim, Demand, Grant, Guarding, Guards, Kind, LeaseLedger, Participant, Plan,
    Quota, RetryBudget, TokenBucket, UNIT, divide,
};

const LINE: BudgetKey = BudgetKey { budget: 1, of: 0 };

fn terms() -> Timings {
    Timings {
        lease: Span::millis(1000),
        quorum_loss_grace: Span::secs(6.0),
        clock_bound: Span::millis(40),
        heartbeat_interval: Span::millis(100),
        drift_ppm: 200,
    }
}

fn rate(per_second: f64, burst: f64) -> BudgetLimit {
    let floor = Quota { rate: 0, burst: UNIT };
    BudgetLimit {
        kind: Kind::Rate,
        quota: Quota::rate(per_second, burst),
        floor,
        routers: 4,
        lag: Span::ZERO,
    }
}

fn level(most: f64) -> BudgetLimit {
    let quota = Quota::level(most);
    BudgetLimit { kind: Kind::Level, quota, floor: Quota::NONE, routers: 4, lag: Span::millis(10) }
}

fn plan(whole: BudgetLimit) -> Plan {
    Plan { any: [(LINE.budget, whole)].into(), ..Plan::default() }
}

fn at(ms: u64) -> Moment {
    Moment::at_micros(10_000_000 + ms * 1000)
}

fn participant(no: u64, plan: &Plan, guards: Guards) -> Participant {
    let mut participant = Participant::new(Incarnation(no), terms(), guards, 1);
    participant.plan(at(0), plan.clone(), None);
    participant.floors(at(0), true);
    participant
}

/// Wants much of the line for so long.
fn wants(participant: &mut Participant, from: u64, to: u64) -> usize {
    (from..to).step_by(5).filter(|ms| participant.spend(at(*ms), &[LINE])).count()
}

fn quota(participant: &mut Participant, ms: u64) -> Quota {
    participant
        .might_spend(at(ms))
        .iter()
        .find(|(key, _)| *key == LINE)
        .map(|(_, quota)| *quota)
        .unwrap_or_default()
}

/// One asks, and what it is answered arrives.
fn exchange(leader: &mut Participant, other: &mut Participant, no: u64, ms: u64) {
    leader.leads(at(ms), 1, Some(at(ms)));
    if let Some(want) = other.ask(at(ms)) {
        let lend = leader.asked(at(ms), Incarnation(no), want).expect("it is new");
        other.lent(at(ms + 1), lend);
    }
}

/// A leader past its first lease, and another, who both want more than there is.
fn two(guards: Guards) -> [Participant; 2] {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut other] = [1, 2].map(|no| participant(no, &plan, guards));
    for ms in (0..3000).step_by(100) {
        wants(&mut leader, ms, ms + 100);
        wants(&mut other, ms, ms + 100);
        exchange(&mut leader, &mut other, 2, ms + 100);
    }
    [leader, other]
}

#[test]
fn two_that_want_all_have_half_each_and_never_more_than_the_whole() {
    let [mut leader, mut other] = two(Guards::default());
    let [a, b] = [quota(&mut leader, 3000), quota(&mut other, 3001)];
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)), "{a:?} {b:?}");
    assert!(a.rate > 45_000 && b.rate > 45_000, "{a:?} {b:?}");
}

#[test]
fn a_new_leader_lends_nothing_before_a_lease_has_passed_but_what_is_shown_to_it_goes_on() {
    let plan = plan(rate(100.0, 20.0));
    let [_, mut other] = two(Guards::default());
    let before = quota(&mut other, 3050);
    let mut next = participant(3, &plan, Guards::default());
    let mut stranger = participant(4, &plan, Guards::default());
    wants(&mut next, 3000, 3100);
    wants(&mut stranger, 3000, 3100);
    wants(&mut other, 3000, 3100);
    next.leads(at(3100), 2, Some(at(3100)));
    for (participant, no) in [(&mut other, 2), (&mut stranger, 4)] {
        let want = participant.ask(at(3100)).expect("nobody was asked");
        let lend = next.asked(at(3100), Incarnation(no), want).expect("it is new");
        participant.lent(at(3101), lend);
    }
    assert_eq!(quota(&mut other, 3150).rate, before.rate, "what it held goes on");
    assert_eq!(quota(&mut stranger, 3150), Quota { rate: 0, burst: UNIT }, "no more than its floor");
    assert_eq!(quota(&mut next, 3150).rate, 0, "nor for the leader itself");
    // The first leader's own half has lapsed a lease later.
    for ms in (3200..6000).step_by(100) {
        wants(&mut stranger, ms, ms + 100);
        next.leads(at(ms), 2, Some(at(ms)));
        if let Some(want) = stranger.ask(at(ms)) {
            let lend = next.asked(at(ms), Incarnation(4), want).expect("it is new");
            stranger.lent(at(ms + 1), lend);
        }
    }
    assert!(quota(&mut stranger, 5900).rate > 45_000);
}

#[test]
fn a_new_leader_waits_for_what_is_in_hand_as_well() {
    let whole = BudgetLimit { lag: Span::millis(1000), ..level(10.0) };
    let plan = plan(whole);
    let [mut next, mut stranger] = [1, 2].map(|no| participant(no, &plan, Guards::default()));
    let mut lent = |ms: u64| {
        stranger.refused(at(ms), &[LINE]);
        next.leads(at(ms), 2, Some(at(ms)));
        let want = stranger.ask(at(ms)).expect("the last was answered");
        let lend = next.asked(at(ms), Incarnation(2), want).expect("it is new");
        stranger.lent(at(ms), lend);
        quota(&mut stranger, ms).burst
    };
    // It led from 0 on: a lease later what others were lent has lapsed, and lasts for a second yet where it is in hand.
    assert_eq!(lent(0), 0);
    assert_eq!(lent(1800), 0, "a fill of its predecessor's may still be under way");
    assert!(lent(2100) > 0);
}

#[test]
fn what_a_new_leader_goes_on_with_fits_a_lowered_whole() {
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    let [_, mut other] = two(Guards::default());
    let before = quota(&mut other, 3050).rate;
    let mut next = participant(3, &old, Guards::default());
    next.plan(at(3000), old, Some(new));
    next.leads(at(3100), 2, Some(at(3100)));
    let want = other.ask(at(3100)).expect("nobody was asked");
    let lend = next.asked(at(3100), Incarnation(2), want).expect("it is new");
    other.lent(at(3101), lend);
    let after = quota(&mut other, 3101).rate;
    assert!(after > 0 && after <= before * 40 / 100, "{before} before, {after} after");
}

/// A leader, one that lends on, and one that it lends to, all past the first lease; both of these want much.
fn three() -> [Participant; 3] {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut middle, mut last] = [1, 2, 3].map(|no| participant(no, &plan, Guards::default()));
    for ms in (0..3000).step_by(100) {
        wants(&mut middle, ms, ms + 100);
        wants(&mut last, ms, ms + 100);
        if let Some(want) = last.ask(at(ms + 90)) {
            let lend = middle.asked(at(ms + 90), Incarnation(3), want).expect("it is new");
            last.lent(at(ms + 91), lend);
        }
        exchange(&mut leader, &mut middle, 2, ms + 100);
    }
    [leader, middle, last]
}

#[test]
fn one_of_a_location_lends_on_and_goes_on_with_that_when_it_is_cut_off() {
    let [_, mut middle, mut last] = three();
    let [a, b] = [quota(&mut middle, 3001), quota(&mut last, 3001)];
    assert!(a.rate > 30_000 && b.rate > 30_000, "{a:?} {b:?}");
    assert!(a.plus(b).within(Quota::rate(100.0, 20.0)));
    // Cut off, the one wants nothing more: what it was lent goes to the other, for as long as it lasts.
    for ms in (3100..3900).step_by(100) {
        wants(&mut last, ms - 100, ms);
        middle.ask(at(ms));
        if let Some(want) = last.ask(at(ms)) {
            let lend = middle.asked(at(ms), Incarnation(3), want).expect("it is new");
            last.lent(at(ms + 1), lend);
        }
        let sum = quota(&mut middle, ms).plus(quota(&mut last, ms + 1));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    assert_eq!(quota(&mut last, 4300), Quota { rate: 0, burst: UNIT }, "then its floor is left");
}

#[test]
fn a_new_leader_goes_on_with_what_a_leader_lent_and_not_with_what_was_lent_on_of_it() {
    let [_, mut middle, mut last] = three();
    let mut next = participant(4, &plan(rate(100.0, 20.0)), Guards::default());
    next.leads(at(3100), 2, Some(at(3100)));
    let mut lent = Quota::NONE;
    for (participant, no) in [(&mut middle, 2), (&mut last, 3)] {
        let want = participant.ask(at(3400)).expect("what was asked before is in vain");
        let lend = next.asked(at(3400), Incarnation(no), want).expect("it is new");
        lent = lend.shares.iter().fold(lent, |sum, lent| sum.plus(lent.quota));
    }
    // The block holds what was lent on of it: both together would be more than the whole.
    assert!(lent.within(Quota::rate(100.0, 16.0)) && lent.rate > 80_000, "{lent:?}");
}

fn asks(ledger: &mut LeaseLedger, ms: u64, who: u64, wants: Quota, holds: Quota) -> Grant {
    let claim = Claim { wants, weight: 1 };
    let guarding = Guarding { drift: Span::ZERO, lapse: true, returned: true };
    ledger.ask(at(ms), &rate(100.0, 20.0), Incarnation(who), claim, holds, None, None, guarding)
}

#[test]
fn what_is_kept_while_others_hold_too_much_lasts_no_longer_than_it_was_to() {
    let (ten, none) = (Quota::rate(10.0, 10.0), Quota::NONE);
    let mut ledger = LeaseLedger::default();
    ledger.earn(ten.plus(ten), at(1000));
    assert_eq!(asks(&mut ledger, 0, 1, ten, none), Grant { quota: ten, until: at(1000) });
    assert_eq!(asks(&mut ledger, 0, 2, ten, none).quota, ten);
    // Half of it is left to lend, and both hold all of that.
    ledger.earn(ten, at(1500));
    let kept = asks(&mut ledger, 500, 1, ten, ten);
    assert!(kept.quota != none && kept.until == at(1000), "{kept:?}");
    let other = asks(&mut ledger, 500, 2, ten, ten);
    let after = [kept, other].into_iter().filter(|given| given.until > at(1000));
    let after = after.map(|given| given.quota).fold(none, Quota::plus);
    assert!(after.within(ten), "{after:?} of {ten:?} beyond the first end");
}

#[test]
fn what_another_has_lent_costs_no_room_here() {
    let (ten, none) = (Quota::rate(10.0, 10.0), Quota::NONE);
    let mut ledger = LeaseLedger::default();
    ledger.earn(ten, at(1000));
    assert_eq!(asks(&mut ledger, 0, 1, none, ten).quota, none);
    assert_eq!(asks(&mut ledger, 0, 2, ten, none).quota, ten);
}

#[test]
fn what_was_charged_under_another_share_stays_charged_and_costs_no_more() {
    let mut bucket = TokenBucket::new(rate(10.0, 4.0), at(0));
    bucket.grant(at(0), Quota::rate(10.0, 3.0), at(60_000));
    assert_eq!((0..2).filter(|_| bucket.spend(at(2000))).count(), 2);
    bucket.grant(at(2001), Quota::rate(10.0, 2.0), at(60_000));
    bucket.settled(at(2002), at(2000), false);
    assert_eq!((0..9).filter(|_| bucket.spend(at(2003))).count(), 2);
}

#[test]
fn one_that_slept_past_its_lease_spends_its_floor_alone_before_it_has_asked() {
    let [_, mut other] = two(Guards::default());
    let spent = (0..50).filter(|_| other.spend(at(9000), &[LINE])).count();
    assert!(spent <= 1, "{spent} spent of what had lapsed");
    let [_, mut other] = two(Guards { wakes: false, ..Guards::default() });
    assert!((0..50).filter(|_| other.spend(at(9000), &[LINE])).count() > 1, "the guard is needed");
}

#[test]
fn the_room_of_one_that_is_silent_comes_back_after_its_lease_and_no_sooner() {
    let [mut leader, mut other] = two(Guards::default());
    let before = quota(&mut leader, 3000);
    for ms in (3100..3900).step_by(100) {
        wants(&mut leader, ms, ms + 100);
        leader.leads(at(ms), 1, Some(at(ms)));
        let sum = quota(&mut leader, ms).plus(quota(&mut other, ms));
        assert!(sum.within(Quota::rate(100.0, 20.0)), "{ms}: {sum:?}");
    }
    for ms in (3900..5200).step_by(100) {
        wants(&mut leader, ms, ms + 100);
        leader.leads(at(ms), 1, Some(at(ms)));
    }
    assert!(quota(&mut leader, 5200).rate > before.rate * 3 / 2, "within two leases");
}

/// One has all, the leader comes to want as much, and the answer that tells the one to hold less is lost: what both might
/// spend then.
fn after_a_lost_answer(guards: Guards) -> Quota {
    let plan = plan(rate(100.0, 20.0));
    let [mut leader, mut other] = [1, 2].map(|no| participant(no, &plan, guards));
    for ms in (0..7000).step_by(100) {
        wants(&mut other, ms, ms + 100);
        if ms >= 3000 {
            wants(&mut leader, ms, ms + 100);
        }
        let now = ms + 100;
        leader.leads(at(now), 1, Some(at(now)));
        let before = quota(&mut other, now);
        let want = other.ask(at(now)).expect("the last was answered");
        let lend = leader.asked(at(now), Incarnation(2), want).expect("it is new");
        if lend.shares.iter().any(|lent| lent.quota.rate + 10 * UNIT < before.rate) {
            leader.leads(at(now + 1), 1, Some(at(now + 1)));
            return quota(&mut leader, now + 1).plus(quota(&mut other, now + 1));
        }
        other.lent(at(now + 1), lend);
    }
    panic!("it is told to hold less in the end");
}

#[test]
fn what_moves_is_given_back_before_it_is_lent_again_also_where_the_answer_is_lost() {
    let whole = Quota::rate(100.0, 20.0);
    assert!(after_a_lost_answer(Guards::default()).within(whole));
    let without = after_a_lost_answer(Guards { returned: false, ..Guards::default() });
    assert!(!without.within(whole), "the guard is needed: {without:?}");
}

#[test]
fn an_answer_to_an_earlier_question_is_void() {
    let [mut leader, mut other] = two(Guards::default());
    leader.leads(at(3400), 1, Some(at(3400)));
    let early = other.ask(at(3400)).expect("none is open");
    let late = leader.asked(at(3400), Incarnation(2), early).expect("it is new");
    let again = other.ask(at(3700)).expect("the first was in vain");
    let before = quota(&mut other, 3700);
    other.lent(at(3701), late);
    assert_eq!(quota(&mut other, 3701), before, "it may have been lent to others meanwhile");
    // Nor does an earlier question count that comes after a later one.
    assert!(leader.asked(at(3702), Incarnation(2), again.clone()).is_some());
    assert!(leader.asked(at(3703), Incarnation(2), again).is_none());
}

#[test]
fn a_lowered_whole_is_what_is_lent_from_its_decision_on() {
    let [mut leader, mut other] = two(Guards::default());
    let (old, new) = (plan(rate(100.0, 20.0)), plan(rate(40.0, 20.0)));
    leader.plan(at(3000), old, Some(new));
    for ms in (3100..4300).step_by(100) {
        wants(&mut leader, ms, ms + 100);
        wants(&mut other, ms, ms + 100);
        exchange(&mut leader, &mut other, 2, ms);
    }
    // All that was lent before has lapsed a lease after the decision: before the moment at which it holds.
    let sum = quota(&mut leader, 4300).plus(quota(&mut other, 4300));
    assert!(sum.within(Quota::rate(40.0, 20.0)), "{sum:?}");
}

#[test]
fn what_is_in_hand_counts_though_its_share_was_lowered() {
    let whole = level(10.0);
    let mut bucket = TokenBucket::new(whole, at(0));
    bucket.grant(at(0), Quota::level(8.0), at(1000));
    assert_eq!((0..12).filter(|_| bucket.spend(at(1))).count(), 8);
    bucket.grant(at(2), Quota::level(2.0), at(1000));
    assert_eq!(bucket.holds(at(3)), Quota::level(8.0), "until they end");
    (0..7).for_each(|_| bucket.ended(at(1)));
    assert_eq!(bucket.holds(at(4)), Quota::level(2.0));
}

#[test]
fn what_was_in_hand_before_there_was_a_limit_makes_no_room_by_its_end() {
    let whole = level(10.0);
    let mut bucket = TokenBucket::new(whole, at(100));
    bucket.grant(at(100), Quota::level(2.0), at(1000));
    assert_eq!((0..5).filter(|_| bucket.spend(at(101))).count(), 2);
    // Three that began before the limit, and were not counted, end.
    (0..3).for_each(|_| bucket.ended(at(50)));
    assert!(!bucket.spend(at(102)));
    bucket.ended(at(101));
    assert!(bucket.spend(at(103)));
}

#[test]
fn where_units_are_fewer_than_those_who_want_one_each_has_its_turn() {
    let whole = level(2.0);
    let plan = plan(whole);
    let mut parties: Vec<Participant> = (1..=5).map(|no| participant(no, &plan, Guards::default())).collect();
    let (mut had, mut most) = ([0; 5], 0);
    for ms in (0..30_000).step_by(100) {
        let mut units = 0;
        for no in 0..5 {
            parties[no].refused(at(ms), &[LINE]);
            if no > 0 {
                let [leader, other] = parties.get_disjoint_mut([0, no]).unwrap();
                exchange(leader, other, no as u64 + 1, ms);
            }
            let own = quota(&mut parties[no], ms + 2).burst / UNIT;
            had[no] += own;
            units += own;
        }
        most = most.max(units);
    }
    assert!(had.iter().all(|had| *had > 0) && most <= 2, "{had:?}, {most} at once");
}

#[test]
fn what_draws_on_several_lines_draws_on_all_or_none() {
    let (one, other) = (LINE, BudgetKey { budget: 2, of: 7 });
    let plan = Plan { any: [(1, rate(100.0, 20.0)), (2, rate(100.0, 8.0))].into(), ..Plan::default() };
    let mut leader = participant(1, &plan, Guards::default());
    for ms in (0..4000).step_by(100) {
        for ms in (ms..ms + 100).step_by(5) {
            leader.spend(at(ms), &[one, other]);
        }
        leader.leads(at(ms + 100), 1, Some(at(ms + 100)));
    }
    // The narrower one has lent all of it; the wider one has what it did not spend beside it.
    let both = (0..50).filter(|_| leader.spend(at(4500), &[one, other])).count();
    let rest = (0..50).filter(|_| leader.spend(at(4500), &[one])).count();
    assert!(both > 0 && rest > 0, "{both} of both, {rest} more of one");
    // What is not limited costs nothing and is always to be had.
    assert!((0..50).all(|_| leader.spend(at(4500), &[BudgetKey { budget: 9, of: 0 }])));
}

#[test]
fn a_part_counts_for_as_long_as_it_is_reckoned_over() {
    let quota = |part: u64| Quota { rate: 0, burst: part };
    let whole = BudgetLimit {
        kind: Kind::Part,
        quota: quota(1000),
        floor: Quota::NONE,
        routers: 4,
        lag: Span::secs(1.0),
    };
    let mut bucket = TokenBucket::new(whole, at(0));
    bucket.grant(at(0), quota(800), at(5000));
    bucket.grant(at(100), quota(200), at(5000));
    assert!((bucket.part(at(100)) - 0.2).abs() < 1e-9);
    assert_eq!(bucket.holds(at(900)), quota(800));
    assert_eq!(bucket.holds(at(1200)), quota(200));
}

#[test]
fn what_was_not_used_comes_back_once_and_never_beyond_the_burst() {
    let mut bucket = TokenBucket::new(rate(10.0, 4.0), at(0));
    bucket.grant(at(0), Quota::rate(10.0, 3.0), at(60_000));
    let full = at(2000);
    assert_eq!((0..9).filter(|_| bucket.spend(full)).count(), 4);
    // What came meanwhile does not come twice: there is what would be there without the charges.
    (0..9).for_each(|_| bucket.settled(full + Span::millis(90), full, false));
    let again = (0..9).filter(|_| bucket.spend(full + Span::millis(90))).count();
    assert_eq!(again, 4);
    // Nor does what was long used come back.
    (0..9).for_each(|_| bucket.settled(full + Span::millis(400), full + Span::millis(90), false));
    assert_eq!((0..9).filter(|_| bucket.spend(full + Span::millis(400))).count(), 3);
}

#[test]
fn what_is_tried_again_is_bounded_by_what_was_done() {
    let mut further = RetryBudget::new(0.5);
    for _ in 0..10 {
        assert!(further.affords());
        further = further.spent();
    }
    assert!(!further.affords(), "nothing is done: no more is tried");
    further = further.filled();
    assert!(!further.affords() && further.filled().affords());
    let full = (0..100).fold(further, |further, _| further.filled());
    assert!(!(0..10).fold(full, |further, _| further.spent()).affords(), "no more is kept than at the start");
    assert!(further.by(2.0).filled().affords(), "what there was stays, by another number for each");
}

#[test]
fn a_start_has_nothing_at_hand() {
    let mut bucket = TokenBucket::new(rate(10.0, 20.0), at(0));
    assert!(!bucket.spend(at(0)), "a process before it may just have spent that");
    bucket.grant(at(0), Quota::rate(10.0, 19.0), at(60_000));
    assert!(!bucket.spend(at(50)) && bucket.spend(at(150)));
}

proptest! {
    /// Never over the whole, nobody more than it asks, and who gets less than it asks gets, by weight, no less than anybody
    /// else but a grain.
    #[test]
    fn a_division_is_max_min(
        whole in 0u64..100_000,
        asks in prop::collection::vec((0u64..20_000, 1u64..5), 0..40),
        turn in 0usize..50,
    ) {
        let wishes: Vec<Demand> = asks.iter().map(|(wants, weight)| Demand { wants: *wants, weight: *weight }).collect();
        let given = divide(whole, &wishes, 1, turn);
        let sum: u64 = given.iter().sum();
        let wanted: u64 = wishes.iter().map(|wish| wish.wants).sum();
        prop_assert!(sum <= whole);
        prop_assert!(sum + wishes.len() as u64 >= whole.min(wanted));
        for (wish, got) in wishes.iter().zip(&given) {
            prop_assert!(*got <= wish.wants);
            if *got < wish.wants {
                for (other, theirs) in wishes.iter().zip(&given) {
                    prop_assert!(theirs / other.weight <= got / wish.weight + 2);
                }
            }
        }
    }

    /// One whose demand moves a little moves nobody by more than that.
    #[test]
    fn a_division_changes_little_where_demand_does(
        asks in prop::collection::vec(0u64..20_000, 2..30),
        more in 0u64..50,
    ) {
        let wish = |wants: &u64| Demand { wants: *wants, weight: 1 };
        let before = divide(100_000, &asks.iter().map(wish).collect::<Vec<_>>(), 1, 0);
        let mut moved = asks.clone();
        moved[0] += more;
        let after = divide(100_000, &moved.iter().map(wish).collect::<Vec<_>>(), 1, 0);
        for (old, new) in before.iter().zip(&after) {
            prop_assert!(old.abs_diff(*new) <= more + 1);
        }
    }

    /// Whatever it is granted, spends, gets back and when: in no window does it spend more than what it held at most of
    /// stock, and what came of its flow.
    #[test]
    fn a_purse_never_spends_more_than_it_was_granted(
        steps in prop::collection::vec((0u64..400, 0u8..4, 0u64..50, 0u64..10), 1..200),
    ) {
        let whole = rate(60.0, 40.0);
        let mut bucket = TokenBucket::new(whole, at(0));
        let (mut now, mut spent) = (0u64, Vec::<(u64, bool)>::new());
        for (wait, deed, rate, burst) in steps {
            now += wait;
            match deed {
                0 => {
                    let quota = Quota::rate(rate as f64, burst as f64);
                    bucket.grant(at(now), quota, at(now + 700));
                }
                1 => {
                    for (when, used) in spent.iter_mut().rev().take(3) {
                        if *used && now - *when < 240 {
                            *used = false;
                            bucket.settled(at(now), at(*when), false);
                        }
                    }
                }
                _ => (0..burst).for_each(|_| {
                    if bucket.spend(at(now)) {
                        spent.push((now, true));
                    }
                }),
            }
        }
        // Of what it may have held at most, 50 a second and 10 units with its floor.
        let (mut left, mut last) = (10.0f64, 0u64);
        for (when, _) in spent.iter().filter(|(_, used)| *used) {
            left = (left + (when - last) as f64 / 1000.0 * 49.0).min(10.0) - 1.0;
            last = *when;
            prop_assert!(left > -1e-6, "at {when}");
        }
    }
}
