//! Tests of probation: faults that a change caused are detected, and other faults are not attributed to it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::time::{Moment, Span};
use tindoor_policy::{
    Assessment, GenerationChange, OutcomeCount, OutcomeWindow, Probation, ProbationLimits, TrafficCell,
};

/// Simulates the probation of a change that takes effect at second 30, with four locations that have 50
/// requests per second each. `fraction_in_time` gives the fraction in time by location, second and
/// generation. Returns the first assessment other than `Undecided`, or `Undecided` if there is none within
/// `seconds`, and how many seconds after the change it was made.
fn assess(seed: u64, seconds: u64, fraction_in_time: impl Fn(u16, u64, u64) -> f64) -> (Assessment, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut outcomes = OutcomeWindow::default();
    let at = |second: u64| Moment::at_micros(1_000_000_000 + second * 1_000_000);
    let mut record = |outcomes: &mut OutcomeWindow, second: u64, generation: u64| {
        for location in 0..4 {
            let fraction = fraction_in_time(location, second, generation);
            let served = (0..50).filter(|_| rng.random_bool(fraction)).count() as u64;
            let count = OutcomeCount { requests: 50, in_time: served };
            outcomes.add(
                at(second),
                Span::secs(120.0),
                generation,
                TrafficCell { location, class: 0 },
                count,
            );
        }
    };
    (0..30).for_each(|second| record(&mut outcomes, second, 1));
    let limits = ProbationLimits::default();
    let mut probation = None;
    for second in 30..30 + seconds {
        record(&mut outcomes, second, 2);
        // The baseline includes only the counts of generation 1, from before the change.
        let probation = probation.get_or_insert_with(|| {
            Probation::begin(limits, &outcomes, GenerationChange { from: 1, to: 2 }, at(30))
        });
        let finding = probation.assess(&outcomes, at(second + 1));
        if finding != Assessment::Undecided {
            return (finding, second - 29);
        }
    }
    (Assessment::Undecided, seconds)
}

#[test]
fn a_change_that_makes_one_location_fail_is_detected_within_seconds() {
    let (finding, after) =
        assess(1, 40, |location, _, generation| if generation == 2 && location == 1 { 0.2 } else { 0.95 });
    assert!(matches!(finding, Assessment::Harm { location: 1, .. }), "{finding:?}");
    assert!(after <= 3, "after {after} s");
}

#[test]
fn an_earlier_fault_a_fault_at_all_locations_and_no_fault_are_not_harm() {
    let (before, _) =
        assess(2, 40, |location, second, _| if location == 1 && second >= 25 { 0.3 } else { 0.95 });
    assert_eq!(before, Assessment::UnrelatedFault { began_before: true });
    let (everywhere, _) = assess(3, 40, |_, second, _| if second >= 32 { 0.3 } else { 0.95 });
    assert_eq!(everywhere, Assessment::UnrelatedFault { began_before: false });
    assert_eq!(assess(4, 40, |_, _, _| 0.9).0, Assessment::NoHarm);
}

#[test]
fn a_harmless_change_raises_no_false_alarm() {
    let alarms =
        (0..300).filter(|seed| matches!(assess(*seed, 30, |_, _, _| 0.9).0, Assessment::Harm { .. }));
    assert_eq!(alarms.count(), 0, "the stated false alarm rate is one in ten thousand");
}

#[test]
fn a_change_without_traffic_is_assessed_as_too_little_traffic() {
    let outcomes = OutcomeWindow::default();
    let now = Moment::at_micros(100_000_000);
    let probation =
        Probation::begin(ProbationLimits::default(), &outcomes, GenerationChange { from: 1, to: 2 }, now);
    assert_eq!(probation.assess(&outcomes, now), Assessment::Undecided);
    assert_eq!(probation.assess(&outcomes, now + Span::secs(31.0)), Assessment::TooLittleTraffic);
}
