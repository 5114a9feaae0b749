//! Tests of the agreed state of a policy, of its keys and of probation.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::settings::{AttemptSettings, ClassSettings, PurgeSettings, RejectionSettings, Settings};
use tindoor::time::{Moment, Span};
use tindoor_membership::{FleetTime, Incarnation, Member};
use tindoor_policy::{
    AgreedState, Assessment, GenerationChange, LogEntry, OutcomeCount, OutcomeWindow, Policy, Probation,
    ProbationLimits, Proposal, ProposalOutcome, TrafficCell, Transition, keys,
};

fn policy(number: f64) -> Policy {
    Policy(BTreeMap::from([("longest_come_back_ms".to_string(), number)]))
}

fn proposal(token: u64, base_generation: u64) -> Proposal {
    let (author, note) = ("lab".to_string(), String::new());
    Proposal { token, base_generation, policy: policy(token as f64), reverts: None, author, note }
}

/// A fleet with one router, and the next index of its log.
fn bootstrapped() -> (AgreedState, u64) {
    let mut agreed = AgreedState::new();
    agreed.apply(1, LogEntry::Bootstrap { fleet: 7, policy: policy(0.0), replica_id: 1 });
    let member = Member { name: "n0".into(), address: "a".into(), replica_id: Some(1), location: 0 };
    agreed.apply(2, LogEntry::Join { incarnation: Incarnation(1), member, predecessor: None });
    agreed.apply(3, LogEntry::Clock { incarnation: Incarnation(1), offset_us: Some(0) });
    (agreed, 4)
}

#[test]
fn a_change_is_proposed_decided_activated_and_ends_probation_in_this_order_only() {
    let (mut agreed, at) = bootstrapped();
    assert_eq!(agreed.apply(at, LogEntry::Decide { generation: 2, effective_at: FleetTime(5) }), []);
    assert_eq!(agreed.apply(at + 1, LogEntry::Propose(proposal(11, 1))), [Transition::Proposed(2)]);
    assert!(agreed.has_undecided_change(), "routers confirm no leases until it is decided");
    assert_eq!(agreed.apply(at + 2, LogEntry::Activated { generation: 2 }), [], "it is not decided yet");
    let decided = agreed.apply(at + 3, LogEntry::Decide { generation: 2, effective_at: FleetTime(5) });
    assert_eq!(decided, [Transition::Decided(2, FleetTime(5))]);
    assert_eq!(
        agreed.apply(at + 4, LogEntry::Decide { generation: 2, effective_at: FleetTime(9) }),
        [],
        "the moment is decided once"
    );
    let cancelled = LogEntry::Cancel { generation: 2, reason: "late".into() };
    assert_eq!(agreed.apply(at + 5, cancelled), [], "a decided change can't be cancelled");
    assert_eq!(agreed.generation(), 1);
    assert_eq!(agreed.apply(at + 6, LogEntry::Activated { generation: 2 }), [Transition::Activated(2)]);
    assert_eq!(
        (agreed.generation(), agreed.probation.as_ref().map(|probation| probation.generation)),
        (2, Some(2))
    );
    assert_eq!(agreed.apply(at + 7, LogEntry::Propose(proposal(12, 2))).len(), 1);
    let outcome = &agreed.past_proposal(12).expect("the proposal has ended").outcome;
    assert!(matches!(outcome, ProposalOutcome::Rejected(why) if why.contains("probation")), "{outcome:?}");
    assert_eq!(
        agreed.apply(at + 8, LogEntry::ProbationEnded { generation: 2, finding: "kept".into() }).len(),
        1
    );
    assert_eq!(agreed.apply(at + 9, LogEntry::Propose(proposal(13, 2))), [Transition::Proposed(3)]);
}

/// Found in a simulated day: a voter restarted while a decision was on its way, its clock was removed, and the remaining
/// one jumped unnoticed.
#[test]
fn a_decision_with_too_few_clocks_decides_nothing() {
    let (mut agreed, at) = bootstrapped();
    let join = |incarnation: u64| {
        let member = Member { name: "n1".into(), address: "b".into(), replica_id: None, location: 0 };
        LogEntry::Join { incarnation: Incarnation(incarnation), member, predecessor: None }
    };
    agreed.apply(at, join(2));
    agreed.apply(at + 1, LogEntry::Clock { incarnation: Incarnation(2), offset_us: Some(0) });
    agreed.apply(at + 2, LogEntry::Propose(proposal(11, 1)));
    agreed.apply(at + 3, join(3));
    assert_eq!(agreed.clocks.keys().collect::<Vec<_>>(), [&Incarnation(1)]);
    assert_eq!(agreed.apply(at + 4, LogEntry::Decide { generation: 2, effective_at: FleetTime(5) }), []);
    agreed.apply(at + 5, LogEntry::Clock { incarnation: Incarnation(3), offset_us: Some(0) });
    assert_eq!(
        agreed.apply(at + 6, LogEntry::Decide { generation: 2, effective_at: FleetTime(9) }).len(),
        1,
        "a later decision can"
    );
}

/// Found in a simulated day: the vote of a router that was no longer listed was needed to elect the leader that lists it
/// again.
#[test]
fn a_voter_that_is_no_longer_listed_keeps_its_address() {
    let (mut agreed, at) = bootstrapped();
    let member = Member { name: "n1".into(), address: "b".into(), replica_id: Some(2), location: 0 };
    agreed.apply(at, LogEntry::Join { incarnation: Incarnation(2), member, predecessor: None });
    agreed.apply(at + 1, LogEntry::Voters { replica_ids: vec![1, 2, 3], outgoing: vec![1] });
    agreed.apply(at + 2, LogEntry::Leave { incarnation: Incarnation(2), ended: false });
    assert_eq!(agreed.replica_addresses.get(&2), Some(&(Incarnation(2), "b".to_string())));
    agreed.apply(at + 3, LogEntry::Voters { replica_ids: vec![1, 3, 4], outgoing: Vec::new() });
    assert_eq!(agreed.replica_addresses.get(&2), None, "the address is dropped once it is no voter");
}

#[test]
fn of_two_proposals_one_is_rejected_and_a_stale_one_as_well() {
    let (mut agreed, at) = bootstrapped();
    agreed.apply(at, LogEntry::Propose(proposal(21, 1)));
    agreed.apply(at + 1, LogEntry::Propose(proposal(22, 1)));
    assert!(
        matches!(&agreed.past_proposal(22).unwrap().outcome, ProposalOutcome::Rejected(why) if why.contains("under way"))
    );
    agreed.apply(at + 2, LogEntry::Propose(proposal(21, 1)));
    assert_eq!(agreed.staged.as_ref().unwrap().version.generation, 2, "a repeated proposal is accepted once");
    agreed.apply(at + 3, LogEntry::Decide { generation: 2, effective_at: FleetTime(1) });
    agreed.apply(at + 4, LogEntry::Activated { generation: 2 });
    agreed.apply(at + 5, LogEntry::ProbationEnded { generation: 2, finding: String::new() });
    agreed.apply(at + 6, LogEntry::Propose(proposal(23, 1)));
    assert!(
        matches!(&agreed.past_proposal(23).unwrap().outcome, ProposalOutcome::Rejected(why) if why.contains("made from"))
    );
    agreed.checks_base_generation = false;
    assert_eq!(
        agreed.apply(at + 7, LogEntry::Propose(proposal(24, 1))),
        [Transition::Proposed(3)],
        "the check is needed"
    );
}

#[test]
fn a_revert_is_a_change_like_others_and_is_on_no_probation_itself() {
    let (mut agreed, at) = bootstrapped();
    agreed.apply(at, LogEntry::Propose(proposal(31, 1)));
    agreed.apply(at + 1, LogEntry::Decide { generation: 2, effective_at: FleetTime(1) });
    agreed.apply(at + 2, LogEntry::Activated { generation: 2 });
    let revert = Proposal { reverts: Some(2), policy: policy(0.0), ..proposal(32, 2) };
    assert_eq!(agreed.apply(at + 3, LogEntry::Propose(revert)), [Transition::Proposed(3)]);
    agreed.apply(at + 4, LogEntry::Decide { generation: 3, effective_at: FleetTime(2) });
    agreed.apply(at + 5, LogEntry::Activated { generation: 3 });
    assert_eq!((agreed.generation(), agreed.probation.is_none()), (3, true));
    assert_eq!(agreed.in_force.as_ref().unwrap().hash, policy(0.0).hash());
}

#[test]
fn the_agreed_state_is_the_same_after_it_was_encoded_and_decoded() {
    let (mut agreed, at) = bootstrapped();
    agreed.apply(at, LogEntry::Propose(proposal(41, 1)));
    let bytes = postcard::to_stdvec(&agreed).unwrap();
    assert_eq!(postcard::from_bytes::<AgreedState>(&bytes).unwrap(), agreed);
}

fn deployment() -> (Settings, Vec<String>) {
    let settings = Settings {
        attempts: AttemptSettings { drain_grace: Span::millis(500), ..AttemptSettings::default() },
        rejection: RejectionSettings {
            max_retry_after: Some(Span::millis(500)),
            ..RejectionSettings::default()
        },
        purges: PurgeSettings { copies_gone_after: Some(Span::secs(60.0)), ..PurgeSettings::default() },
        classes: vec![ClassSettings {
            deadline: Span::millis(3000),
            latency_objective: Span::millis(300),
            max_age: Some(Span::secs(8.0)),
            ..ClassSettings::default()
        }],
        ..Settings::default()
    };
    (settings, vec!["pages".to_string()])
}

#[test]
fn a_policy_follows_the_settings_and_changes_only_keys_that_may_change() {
    let (settings, classes) = deployment();
    let own = keys::from_settings(&settings, &classes);
    assert_eq!(own.0["offering.pages.latency_goal_ms"], 300.0);
    assert_eq!(
        keys::apply_to_settings(&own, &settings, &classes).unwrap(),
        settings,
        "applying a policy restores the settings that it was made from"
    );
    let change = |name: &str, number: f64| own.with([(name.to_string(), number)]);
    let check = |new: &Policy| keys::check_change(&own, new, &classes);
    assert_eq!(check(&change("offering.pages.latency_goal_ms", 250.0)), Ok(()));
    let why = |name: &str, number: f64| check(&change(name, number)).unwrap_err().to_string();
    assert!(why("offering.pages.cut_off_ms", 2000.0).contains("at a start only"));
    assert!(why("offering.videos.fresh_ms", 1.0).contains("no offering"));
    assert!(why("fresh", 1.0).contains("no such key"));
    assert!(why("most_dispatches", 2.5).contains("whole number"));
    assert!(why("longest_come_back_ms", f64::NAN).contains("is not from"));
    assert!(why("offering.pages.latency_goal_ms", 4000.0).contains("cut-off"));
    assert!(why("offering.pages.fresh_ms", 70_000.0).contains("outlive the memory of its purge"));
}

#[test]
fn equal_policies_have_equal_hashes_and_others_do_not() {
    assert_eq!(policy(0.0).hash(), policy(-0.0).hash());
    assert_ne!(policy(1.0).hash(), policy(2.0).hash());
}

/// Assesses a change with traffic of four locations for so many seconds, 50 requests per second each. The fraction in time
/// is given by location, second and generation. Returns the assessment and the second that it was made in.
fn assess(seed: u64, seconds: u64, fraction_in_time: impl Fn(u16, u64, u64) -> f64) -> (Assessment, u64) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut outcomes = OutcomeWindow::default();
    let at = |second: u64| Moment::at_micros(1_000_000_000 + second * 1_000_000);
    let mut record = |outcomes: &mut OutcomeWindow, second: u64, generation: u64| {
        for location in 0..4 {
            let fraction = fraction_in_time(location, second, generation);
            let count = (0..50).filter(|_| chance.random_bool(fraction)).count() as u64;
            let count = OutcomeCount { requests: 50, in_time: count };
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
        // The probation begins with what was counted before the change.
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
    let (finding, after) = assess(1, 40, |location, _, of| if of == 2 && location == 1 { 0.2 } else { 0.95 });
    assert!(matches!(finding, Assessment::Harm { location: 1, .. }), "{finding:?}");
    assert!(after <= 3, "after {after} s");
}

#[test]
fn a_fault_from_before_or_everywhere_or_none_is_not_harm() {
    let (before, _) =
        assess(2, 40, |location, second, _| if location == 1 && second >= 25 { 0.3 } else { 0.95 });
    assert_eq!(before, Assessment::UnrelatedFault { began_before: true });
    let (everywhere, _) = assess(3, 40, |_, second, _| if second >= 32 { 0.3 } else { 0.95 });
    assert_eq!(everywhere, Assessment::UnrelatedFault { began_before: false });
    assert_eq!(assess(4, 40, |_, _, _| 0.9).0, Assessment::NoHarm);
}

#[test]
fn false_alarms_are_as_rare_as_stated() {
    let alarms =
        (0..300).filter(|seed| matches!(assess(*seed, 30, |_, _, _| 0.9).0, Assessment::Harm { .. }));
    assert_eq!(alarms.count(), 0, "the stated rate is one in ten thousand");
}

#[test]
fn too_little_traffic_is_an_assessment_of_its_own() {
    let outcomes = OutcomeWindow::default();
    let now = Moment::at_micros(100_000_000);
    let probation =
        Probation::begin(ProbationLimits::default(), &outcomes, GenerationChange { from: 1, to: 2 }, now);
    assert_eq!(probation.assess(&outcomes, now), Assessment::Undecided);
    assert_eq!(probation.assess(&outcomes, now + Span::secs(31.0)), Assessment::TooLittleTraffic);
}
