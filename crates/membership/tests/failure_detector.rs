//! Tests of the failure detector.

mod support;

use support::{TIMINGS, at};
use tindoor_membership::{FailureDetector, Incarnation};

#[test]
fn silence_is_compared_with_the_mean_interval() {
    let (peer, min_mean) = (Incarnation(1), TIMINGS.heartbeat_interval);
    let mut failure_detector = FailureDetector::default();
    assert_eq!(failure_detector.suspicion(peer, at(0), min_mean), None);
    for second in 0..10 {
        failure_detector.record_heartbeat(peer, at(second * 1000));
    }
    let suspicion = failure_detector.suspicion(peer, at(12_000), min_mean).expect("it was heard from");
    assert!(
        (2.9..3.1).contains(&suspicion),
        "3 s of silence at a mean interval of 1 s are a suspicion of about 3, not of 12: {suspicion}"
    );
}
