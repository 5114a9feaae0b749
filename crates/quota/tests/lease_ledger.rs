//! Tests of the lease ledger.

mod support;

use support::{at, rate};
use tindoor::time::Span;
use tindoor_membership::Incarnation;
use tindoor_quota::{Claim, Grant, LeaseLedger, LedgerChecks, LendingTerms, LoanRequest, Quota};

/// Requests quota from a ledger whose router does not lead, and returns the grant.
fn request(ledger: &mut LeaseLedger, ms: u64, borrower: u64, demand: Quota, holdings: Quota) -> Grant {
    let claim = Claim { demand, weight: 1 };
    let checks = LedgerChecks { drift: Span::ZERO, count_until_expired: true, count_until_returned: true };
    let limit = rate(100.0, 20.0);
    let terms = LendingTerms { limit, confirmed: None, carried_over: None, checks };
    ledger.grant(at(ms), LoanRequest { borrower: Incarnation(borrower), claim, holdings }, &terms)
}

#[test]
fn a_kept_grant_is_not_extended_while_others_hold_more_than_their_targets() {
    let (ten, none) = (Quota::rate(10.0, 10.0), Quota::NONE);
    let mut ledger = LeaseLedger::default();
    ledger.set_lendable(ten.plus(ten), at(1000));
    assert_eq!(request(&mut ledger, 0, 1, ten, none), Grant { quota: ten, expires: at(1000) });
    assert_eq!(request(&mut ledger, 0, 2, ten, none).quota, ten);
    // The lendable quota is halved, while each of the two borrowers still holds as much as the new total.
    ledger.set_lendable(ten, at(1500));
    let kept = request(&mut ledger, 500, 1, ten, ten);
    assert!(kept.quota != none && kept.expires == at(1000), "{kept:?}");
    let other = request(&mut ledger, 500, 2, ten, ten);
    let after = [kept, other].into_iter().filter(|grant| grant.expires > at(1000));
    let after = after.map(|grant| grant.quota).fold(none, Quota::plus);
    assert!(after.within(ten), "{after:?} of {ten:?} after the first expiry");
}

#[test]
fn holdings_granted_by_another_lender_are_not_counted_as_outstanding() {
    let (ten, none) = (Quota::rate(10.0, 10.0), Quota::NONE);
    let mut ledger = LeaseLedger::default();
    ledger.set_lendable(ten, at(1000));
    assert_eq!(request(&mut ledger, 0, 1, none, ten).quota, none);
    assert_eq!(request(&mut ledger, 0, 2, ten, none).quota, ten);
}
