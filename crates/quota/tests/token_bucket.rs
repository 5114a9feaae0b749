//! Tests of the token bucket: what one router may spend of one key.

mod support;

use proptest::prelude::*;
use support::{at, concurrency, rate};
use tindoor::time::Span;
use tindoor_quota::{BudgetKind, BudgetLimit, Quota, TokenBucket};

#[test]
fn a_new_bucket_has_no_tokens() {
    let mut bucket = TokenBucket::new(rate(10.0, 20.0), at(0));
    assert!(!bucket.spend(at(0)), "the router's previous process may just have spent the burst");
    bucket.set_grant(at(0), Quota::rate(10.0, 19.0), at(60_000));
    assert!(!bucket.spend(at(50)) && bucket.spend(at(150)));
}

#[test]
fn a_charge_under_an_earlier_grant_is_not_refunded() {
    let mut bucket = TokenBucket::new(rate(10.0, 4.0), at(0));
    bucket.set_grant(at(0), Quota::rate(10.0, 3.0), at(60_000));
    assert_eq!((0..2).filter(|_| bucket.spend(at(2000))).count(), 2);
    bucket.set_grant(at(2001), Quota::rate(10.0, 2.0), at(60_000));
    bucket.settle(at(2002), at(2000), false);
    assert_eq!((0..9).filter(|_| bucket.spend(at(2003))).count(), 2);
}

#[test]
fn units_in_flight_count_as_holdings_after_their_grant_was_lowered() {
    let limit = concurrency(10.0);
    let mut bucket = TokenBucket::new(limit, at(0));
    bucket.set_grant(at(0), Quota::concurrency(8.0), at(1000));
    assert_eq!((0..12).filter(|_| bucket.spend(at(1))).count(), 8);
    bucket.set_grant(at(2), Quota::concurrency(2.0), at(1000));
    assert_eq!(bucket.holdings(at(3)), Quota::concurrency(8.0), "until they are released");
    (0..7).for_each(|_| bucket.release(at(1)));
    assert_eq!(bucket.holdings(at(4)), Quota::concurrency(2.0));
}

#[test]
fn units_spent_before_the_limit_existed_release_nothing() {
    let limit = concurrency(10.0);
    let mut bucket = TokenBucket::new(limit, at(100));
    bucket.set_grant(at(100), Quota::concurrency(2.0), at(1000));
    assert_eq!((0..5).filter(|_| bucket.spend(at(101))).count(), 2);
    // Releases three units that were spent before the limit existed and were therefore never counted.
    (0..3).for_each(|_| bucket.release(at(50)));
    assert!(!bucket.spend(at(102)));
    bucket.release(at(101));
    assert!(bucket.spend(at(103)));
}

#[test]
fn a_lowered_fraction_counts_as_holdings_for_its_sliding_window() {
    let fraction = |thousandths: u64| Quota { rate: 0, burst: thousandths };
    let limit = BudgetLimit {
        kind: BudgetKind::Fraction,
        total: fraction(1000),
        guaranteed: Quota::NONE,
        max_routers: 4,
        release_lag: Span::secs(1.0),
    };
    let mut bucket = TokenBucket::new(limit, at(0));
    bucket.set_grant(at(0), fraction(800), at(5000));
    bucket.set_grant(at(100), fraction(200), at(5000));
    assert!((bucket.share_fraction(at(100)) - 0.2).abs() < 1e-9);
    assert_eq!(bucket.holdings(at(900)), fraction(800));
    assert_eq!(bucket.holdings(at(1200)), fraction(200));
}

#[test]
fn an_unused_charge_is_refunded_once_and_never_beyond_the_burst() {
    let mut bucket = TokenBucket::new(rate(10.0, 4.0), at(0));
    bucket.set_grant(at(0), Quota::rate(10.0, 3.0), at(60_000));
    let full = at(2000);
    assert_eq!((0..9).filter(|_| bucket.spend(full)).count(), 4);
    // The refund restores the tokens that the bucket would have without the charges. Tokens that were added
    // since the charges are not added twice.
    (0..9).for_each(|_| bucket.settle(full + Span::millis(90), full, false));
    let again = (0..9).filter(|_| bucket.spend(full + Span::millis(90))).count();
    assert_eq!(again, 4);
    // Charges older than the refund window are final.
    (0..9).for_each(|_| bucket.settle(full + Span::millis(400), full + Span::millis(90), false));
    assert_eq!((0..9).filter(|_| bucket.spend(full + Span::millis(400))).count(), 3);
}

proptest! {
    /// For any sequence of grants, charges and refunds, the bucket never spends more in any window than its
    /// largest burst plus the tokens that its largest rate adds.
    #[test]
    fn a_bucket_never_spends_more_than_it_was_granted(
        steps in prop::collection::vec((0u64..400, 0u8..4, 0u64..50, 0u64..10), 1..200),
    ) {
        let limit = rate(60.0, 40.0);
        let mut bucket = TokenBucket::new(limit, at(0));
        let (mut now, mut spent) = (0u64, Vec::<(u64, bool)>::new());
        for (wait, action, rate, burst) in steps {
            now += wait;
            match action {
                0 => {
                    let quota = Quota::rate(rate as f64, burst as f64);
                    bucket.set_grant(at(now), quota, at(now + 700));
                }
                1 => {
                    for (spent_at, used) in spent.iter_mut().rev().take(3) {
                        if *used && now - *spent_at < 240 {
                            *used = false;
                            bucket.settle(at(now), at(*spent_at), false);
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
        // The largest grant is 49 units per second with a burst of 9 units; the guaranteed minimum is a burst
        // of one unit.
        let (mut tokens, mut last) = (10.0f64, 0u64);
        for (spent_at, _) in spent.iter().filter(|(_, used)| *used) {
            tokens = (tokens + (spent_at - last) as f64 / 1000.0 * 49.0).min(10.0) - 1.0;
            last = *spent_at;
            prop_assert!(tokens > -1e-6, "more spent than granted at {spent_at} ms");
        }
    }
}
