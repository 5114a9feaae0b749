//! Tests of the budgets that a policy declares, and of the keys that an attempt is charged to.

use tindoor::host::{AttemptStatus, Outcome, OutcomeDetail, QuotaCharge};
use tindoor_policy::budgets::{Budget, BudgetScope, plan, router_bound_objection, scope_of_name};
use tindoor_policy::{Policy, keys};
use tindoor_quota::{BudgetKind, Quota, UNIT};

fn policy(keys: &[(&str, f64)]) -> Policy {
    Policy::default().with(keys.iter().map(|(key, number)| (key.to_string(), *number)))
}

/// A valid declaration of a rate budget, with only the keys that it needs.
const RATE_BUDGET: [(&str, f64); 3] = [
    ("budget.routers_most", 10.0),
    ("budget.origin_fills.per_s", 100.0),
    ("budget.origin_fills.burst", 40.0),
];

#[test]
fn the_rejection_of_a_budget_that_cannot_be_divided_names_its_key() {
    let pages = ["pages".to_string()];
    let rejection = |keys: &[(&str, f64)]| {
        keys::check(&policy(keys), &pages).expect_err("the policy is rejected").to_string()
    };
    assert!(rejection(&RATE_BUDGET[1..]).starts_with("budget.origin_fills.burst: needs budget.routers_most"));
    assert!(
        rejection(&RATE_BUDGET[..2])
            .starts_with("budget.origin_fills.per_s: needs budget.origin_fills.burst")
    );
    let small = [RATE_BUDGET[0], RATE_BUDGET[1], ("budget.origin_fills.burst", 19.0)];
    assert!(rejection(&small).contains("at least two for each of the 10 routers"));
    assert!(rejection(&[("offering.pages.origin_fills_per_s", 5.0)]).contains("needs budget.routers_most"));
    assert!(rejection(&[RATE_BUDGET[0], ("budget.nonesuch.per_s", 5.0)]).contains("unknown key"));
    assert_eq!(keys::check(&policy(&RATE_BUDGET), &pages), Ok(()));
}

#[test]
fn a_change_that_adds_budgets_can_be_reverted() {
    let (before, after) = (policy(&[("most_dispatches", 4.0)]), policy(&RATE_BUDGET));
    let both = before.with(after.0.clone());
    assert_eq!(keys::check_change(&before, &both, &[]), Ok(()));
    assert_eq!(
        keys::check_change(&both, &before, &[]),
        Ok(()),
        "budgets can be removed; then nothing is limited"
    );
    assert!(keys::check_change(&both, &after, &[]).is_err(), "a setting of the library can't be unset");
}

#[test]
fn a_plan_sets_aside_the_guaranteed_minima_of_all_possible_routers() {
    let pages = scope_of_name("pages");
    let more = [
        ("budget.floor_part", 0.2),
        ("budget.origin_fills.in_hand", 100.0),
        ("offering.pages.origin_fills_per_s", 50.0),
        ("offering.pages.origin_fills_burst", 30.0),
        ("offering.pages.cut_off_ms", 1500.0),
        ("budget.cold_parts", 1.0),
    ];
    let plan = plan(&policy(&[&RATE_BUDGET[..], &more].concat()));
    let fills = plan.limit(Budget::OriginFills.key(0)).expect("the budget is declared");
    assert_eq!(fills.guaranteed, Quota { rate: 2 * UNIT, burst: UNIT });
    assert_eq!(fills.grantable(), Quota { rate: 80 * UNIT, burst: 30 * UNIT });
    let concurrent = plan.limit(Budget::ConcurrentOriginFills.key(0)).expect("the budget is declared");
    // A fill may be in flight until the deadline of its request.
    assert_eq!((concurrent.guaranteed.burst, concurrent.release_lag.as_micros()), (2 * UNIT, 1_500_000));
    assert_eq!(plan.limit(Budget::ClassFills.key(pages)).map(|limit| limit.total.rate), Some(50 * UNIT));
    assert!(
        plan.limit(Budget::ClassFills.key(scope_of_name("saves"))).is_none(),
        "another class is not limited"
    );
    assert_eq!(plan.limit(Budget::WarmingCaches.key(7)).map(|limit| limit.kind), Some(BudgetKind::Fraction));
    assert!(
        tindoor_policy::budgets::plan(&policy(&RATE_BUDGET[1..])).is_empty(),
        "nothing is limited without guaranteed minima"
    );
}

#[test]
fn an_attempt_is_charged_to_each_budget_that_it_may_use() {
    let scope = BudgetScope::new(3, &["pages".to_string(), "saves".to_string()], true);
    let charged = |charge: QuotaCharge| scope.charged_keys(&charge).to_vec();
    let cached_read = QuotaCharge {
        endpoint: 9,
        class: 1,
        cache_only: false,
        may_fill_from_origin: false,
        is_retry: false,
    };
    assert!(charged(cached_read).is_empty(), "a read of a cached copy uses none of these budgets");
    assert_eq!(charged(QuotaCharge { cache_only: true, ..cached_read }), [Budget::CacheOnlyReads.key(9)]);
    let fills = [
        Budget::OriginFills.key(0),
        Budget::LocationFills.key(3),
        Budget::ClassFills.key(scope_of_name("saves")),
        Budget::ConcurrentOriginFills.key(0),
    ];
    assert_eq!(charged(QuotaCharge { may_fill_from_origin: true, ..cached_read }), fills);
    let retry = charged(QuotaCharge { may_fill_from_origin: true, is_retry: true, ..cached_read });
    assert_eq!(retry, [&fills[..], &[Budget::Retries.key(0)]].concat());
}

#[test]
fn only_outcomes_that_rule_out_an_origin_fill_are_not_counted_as_fills() {
    let [reported, unreported] = [true, false].map(|reported| BudgetScope::new(0, &[], reported));
    let may_have_filled = [
        Outcome::new(AttemptStatus::Served, OutcomeDetail::FilledFromOrigin),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::TimedOut, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Error, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Cancelled, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Overloaded, OutcomeDetail::OriginFailed),
    ];
    let not_filled = [
        Outcome::new(AttemptStatus::Served, OutcomeDetail::Hit),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::JoinedFill),
        Outcome::new(AttemptStatus::Served, OutcomeDetail::StaleHit),
        Outcome::new(AttemptStatus::Miss, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Superseded, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Unreachable, OutcomeDetail::Unknown),
        Outcome::new(AttemptStatus::Overloaded, OutcomeDetail::NoFillSlot),
    ];
    for scope in [&reported, &unreported] {
        may_have_filled.iter().for_each(|outcome| assert!(scope.may_have_filled(*outcome), "{outcome:?}"));
        not_filled.iter().for_each(|outcome| assert!(!scope.may_have_filled(*outcome), "{outcome:?}"));
    }
    let filled = Outcome::new(AttemptStatus::Served, OutcomeDetail::FilledFromSource);
    assert!(
        !reported.may_have_filled(filled) && unreported.may_have_filled(filled),
        "a parent may have filled from the origin, unless caches report fills from the origin"
    );
}

#[test]
fn the_bound_on_routers_is_not_lowered_below_the_number_that_may_act() {
    let bound = |most: f64| policy(&[("budget.routers_most", most)]);
    assert!(
        router_bound_objection(None, &bound(5.0), 6).is_some()
            && router_bound_objection(None, &bound(6.0), 6).is_none()
    );
    assert!(
        router_bound_objection(Some(&bound(9.0)), &bound(5.0), 6)
            .map(|error| error.to_string())
            .is_some_and(|text| text.starts_with("budget.routers_most: ") && text.ends_with("found 5"))
    );
    // Two incarnations of one router are both counted for a while. This must not block the policy in force.
    assert!(router_bound_objection(Some(&bound(5.0)), &bound(5.0), 8).is_none());
    assert!(
        router_bound_objection(Some(&bound(5.0)), &bound(7.0), 8).is_none(),
        "nor a policy with a higher bound"
    );
}
