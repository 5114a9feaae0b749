//! Tests of the consistency check of timings.

mod support;

use support::{TIMINGS, at};
use tindoor::time::Span;
use tindoor_membership::Timings;

#[test]
fn errors_of_inconsistent_timings_name_the_configuration_key() {
    assert_eq!(TIMINGS.check(), Ok(()));
    let short = Timings { lease: Span::millis(500), ..TIMINGS };
    assert!(short.check().unwrap_err().to_string().starts_with("lease_ms"));
    let drifting = Timings { drift_ppm: 9_999, lease: Span::millis(20_000), ..TIMINGS };
    assert!(drifting.check().unwrap_err().to_string().starts_with("drift_ppm"));
}

#[test]
fn two_clocks_drift_apart_by_twice_the_drift_of_one() {
    assert_eq!(TIMINGS.drift(at(1000).since(at(0))), Span::micros(400));
}
