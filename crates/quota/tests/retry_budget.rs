//! Tests of the local budget for retries.

use tindoor_quota::RetryBudget;

#[test]
fn retries_are_bounded_by_successes() {
    let mut budget = RetryBudget::new(0.5);
    for _ in 0..10 {
        assert!(budget.can_afford());
        budget = budget.after_retry();
    }
    assert!(!budget.can_afford(), "without a success there are no more retries");
    budget = budget.after_success();
    assert!(!budget.can_afford() && budget.after_success().can_afford());
    let full = (0..100).fold(budget, |budget, _| budget.after_success());
    assert!(
        !(0..10).fold(full, |budget, _| budget.after_retry()).can_afford(),
        "no more credit is kept than at the start"
    );
    assert!(
        budget.with_per_success(2.0).after_success().can_afford(),
        "the credit stays when the number per success changes"
    );
}
