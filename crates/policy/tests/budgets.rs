//! Stories of the budgets that a policy declares, and of what a attempt draws on.

use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, QuotaCharge};
use tindoor_policy::budgets::{Budget, BudgetScope, number, plan, too_few};
use tindoor_policy::{Policy, keys};
use tindoor_quota::{Kind, Quota, UNIT};

fn policy(keys: &[(&str, f64)]) -> Policy {
    Policy::default().with(keys.iter().map(|(key, number)| (key.to_string(), *number)))
}

const PLAIN: [(&str, f64); 3] = [
    ("budget.routers_most", 10.0),
    ("budget.origin_fills.per_s", 100.0),
    ("budget.origin_fills.burst", 40.0),
];

#[test]
fn a_budget_that_cannot_be_kept_is_refused_by_its_key() {
    let pages = ["pages".to_string()];
    let refused = |keys: &[(&str, f64)]| keys::check(&policy(keys), &pages).expect_err("it is refused");
    assert!(refused(&PLAIN[1..]).starts_with("budget.origin_fills.burst: without budget.routers_most"));
    assert!(refused(&PLAIN[..2]).starts_with("budget.origin_fills.per_s: without budget.origin_fills.burst"));
    let small = [PLAIN[0], PLAIN[1], ("budget.origin_fills.burst", 19.0)];
    assert!(refused(&small).contains("under two for each of the 10 routers"));
    assert!(refused(&[("offering.pages.origin_fills_per_s", 5.0)]).contains("without budget.routers_most"));
    assert!(refused(&[PLAIN[0], ("budget.nonesuch.per_s", 5.0)]).contains("no such key"));
    assert_eq!(keys::check(&policy(&PLAIN), &pages), Ok(()));
}

#[test]
fn a_change_that_brings_budgets_can_be_undone() {
    let (before, after) = (policy(&[("most_dispatches", 4.0)]), policy(&PLAIN));
    let both = before.with(after.0.clone());
    assert_eq!(keys::check_change(&before, &both, &[]), Ok(()));
    assert_eq!(keys::check_change(&both, &before, &[]), Ok(()), "then it is not limited");
    assert!(keys::check_change(&both, &after, &[]).is_err(), "what the module reads can't go");
}

#[test]
fn floors_of_all_that_may_belong_are_kept_out_of_what_is_divided() {
    let pages = number("pages");
    let more = [
        ("budget.floor_part", 0.2),
        ("budget.origin_fills.in_hand", 100.0),
        ("offering.pages.origin_fills_per_s", 50.0),
        ("offering.pages.origin_fills_burst", 30.0),
        ("offering.pages.cut_off_ms", 1500.0),
        ("budget.cold_parts", 1.0),
    ];
    let plan = plan(&policy(&[&PLAIN[..], &more].concat()));
    let fills = plan.whole(Budget::OriginFills.of(0)).expect("it is declared");
    assert_eq!(fills.floor, Quota { rate: 2 * UNIT, burst: UNIT });
    assert_eq!(fills.divided(), Quota { rate: 80 * UNIT, burst: 30 * UNIT });
    let in_hand = plan.whole(Budget::FillsInHand.of(0)).expect("it is declared");
    // A fill that was begun lasts as long as its request.
    assert_eq!((in_hand.floor.burst, in_hand.lag.as_micros()), (2 * UNIT, 1_500_000));
    assert_eq!(plan.whole(Budget::OfferingFills.of(pages)).map(|whole| whole.quota.rate), Some(50 * UNIT));
    assert!(plan.whole(Budget::OfferingFills.of(number("saves"))).is_none(), "another is not limited");
    assert_eq!(plan.whole(Budget::ColdCaches.of(7)).map(|whole| whole.kind), Some(Kind::Part));
    assert!(tindoor_policy::budgets::plan(&policy(&PLAIN[1..])).is_empty(), "nor anything without floors");
}

#[test]
fn a_attempt_draws_on_what_it_may_cost() {
    let place = BudgetScope::new(3, &["pages".to_string(), "saves".to_string()], true);
    let drawn = |draw: QuotaCharge| {
        let (lines, count) = place.draws(&draw);
        lines[..count].to_vec()
    };
    let plain = QuotaCharge {
        endpoint: 9,
        class: 1,
        cache_only: false,
        may_fill_from_origin: false,
        is_retry: false,
    };
    assert!(drawn(plain).is_empty(), "what is only held costs nothing of these");
    assert_eq!(drawn(QuotaCharge { cache_only: true, ..plain }), [Budget::Looks.of(9)]);
    let fills = [
        Budget::OriginFills.of(0),
        Budget::LocationFills.of(3),
        Budget::OfferingFills.of(number("saves")),
        Budget::FillsInHand.of(0),
    ];
    assert_eq!(drawn(QuotaCharge { may_fill_from_origin: true, ..plain }), fills);
    let further = drawn(QuotaCharge { may_fill_from_origin: true, is_retry: true, ..plain });
    assert_eq!(further, [&fills[..], &[Budget::Further.of(0)]].concat());
}

#[test]
fn what_may_have_filled_counts_and_what_surely_did_not_comes_back() {
    let [told, untold] = [true, false].map(|told| BudgetScope::new(0, &[], told));
    let fills = [
        Outcome::new(AttemptStatus::Served, OutcomeDetail::FilledFromOrigin),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::TimedOut, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Overloaded, OutcomeDetail::OriginFailed),
    ];
    let none = [
        Outcome::new(AttemptStatus::Served, OutcomeDetail::Hit),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::JoinedFill),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::StaleHit),
        Outcome::new(AttemptStatus::Miss, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Unreachable, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Overloaded, OutcomeDetail::NoFillSlot),
    ];
    for place in [&told, &untold] {
        fills.iter().for_each(|end| assert!(place.by_origin(*end), "{end:?}"));
        none.iter().for_each(|end| assert!(!place.by_origin(*end), "{end:?}"));
    }
    let filled = Outcome::new(AttemptStatus::Served, OutcomeDetail::FilledFromSource);
    assert!(!told.by_origin(filled) && untold.by_origin(filled), "a parent may have held it");
}

#[test]
fn a_bound_on_routers_is_lowered_to_those_that_may_act_and_gone_by_whoever_does() {
    let bound = |most: f64| policy(&[("budget.routers_most", most)]);
    assert!(too_few(None, &bound(5.0), 6).is_some() && too_few(None, &bound(6.0), 6).is_none());
    assert!(
        too_few(Some(&bound(9.0)), &bound(5.0), 6)
            .is_some_and(|why| why.starts_with("budget.routers_most: 5"))
    );
    // Starts of one name count twice for a while: no reason to stay out of what is in force.
    assert!(too_few(Some(&bound(5.0)), &bound(5.0), 8).is_none());
    assert!(too_few(Some(&bound(5.0)), &bound(7.0), 8).is_none(), "nor to refuse more");
}
