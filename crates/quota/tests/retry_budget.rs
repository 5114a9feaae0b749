//! Tests of the local retry budget.

use tindoor_quota::RetryBudget;

#[test]
fn retries_are_bounded_by_successes() {
    let mut budget = RetryBudget::new(0.5);
    for _ in 0..10 {
        assert!(budget.can_afford());
        budget = budget.after_retry();
    }
    assert!(!budget.can_afford(), "without a success the initial credit allows only ten retries");
    budget = budget.after_success();
    assert!(!budget.can_afford() && budget.after_success().can_afford());
    let full = (0..100).fold(budget, |budget, _| budget.after_success());
    assert!(
        !(0..10).fold(full, |budget, _| budget.after_retry()).can_afford(),
        "the credit never exceeds the initial credit"
    );
    assert!(
        budget.with_per_success(2.0).after_success().can_afford(),
        "the credit is kept when the credit per success changes"
    );
}
