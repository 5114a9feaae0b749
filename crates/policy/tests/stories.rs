//! Short stories of what is agreed of a policy, of its keys and of probation.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tindoor::settings::{AttemptSettings, ClassSettings, PurgeSettings, RejectionSettings, Settings};
use tindoor::time::{Moment, Span};
use tindoor_membership::{FleetTime, Incarnation, Member};
use tindoor_policy::{
    AgreedState, Assessment, Count, LogEntry, OutcomeWindow, Policy, Probation, ProbationLimits, Proposal,
    ProposalOutcome, Transition, keys,
};

fn policy(number: f64) -> Policy {
    Policy(BTreeMap::from([("longest_come_back_ms".to_string(), number)]))
}

fn proposal(token: u64, made_from: u64) -> Proposal {
    let (by, note) = ("lab".to_string(), String::new());
    Proposal { token, made_from, policy: policy(token as f64), undoes: None, by, note }
}

/// A fleet that is founded, and the next index.
fn founded() -> (AgreedState, u64) {
    let mut agreed = AgreedState::new();
    agreed.apply(1, LogEntry::Found { fleet: 7, policy: policy(0.0), replica_id: 1 });
    let listed = Member { name: "n0".into(), address: "a".into(), replica_id: Some(1), location: 0 };
    agreed.apply(2, LogEntry::Join { start: Incarnation(1), listed, after: None });
    agreed.apply(3, LogEntry::Clock { of: Incarnation(1), ahead: Some(0) });
    (agreed, 4)
}

#[test]
fn a_change_is_asked_decided_in_force_and_kept_in_this_order_only() {
    let (mut agreed, at) = founded();
    assert_eq!(agreed.apply(at, LogEntry::Decide { generation: 2, at: FleetTime(5) }), []);
    assert_eq!(agreed.apply(at + 1, LogEntry::Propose(proposal(11, 1))), [Transition::Proposed(2)]);
    assert!(!agreed.is_open(), "peers vouch for nobody until it is decided");
    assert_eq!(agreed.apply(at + 2, LogEntry::Held { generation: 2 }), [], "it is not decided yet");
    let decided = agreed.apply(at + 3, LogEntry::Decide { generation: 2, at: FleetTime(5) });
    assert_eq!(decided, [Transition::Decided(2, FleetTime(5))]);
    assert_eq!(
        agreed.apply(at + 4, LogEntry::Decide { generation: 2, at: FleetTime(9) }),
        [],
        "there is one moment"
    );
    let cancelled = LogEntry::CallOff { generation: 2, why: "late".into() };
    assert_eq!(agreed.apply(at + 5, cancelled), [], "what is decided can't be called off");
    assert_eq!(agreed.generation(), 1);
    assert_eq!(agreed.apply(at + 6, LogEntry::Held { generation: 2 }), [Transition::Held(2)]);
    assert_eq!((agreed.generation(), agreed.probation.as_ref().map(|p| p.0)), (2, Some(2)));
    assert_eq!(agreed.apply(at + 7, LogEntry::Propose(proposal(12, 2))).len(), 1);
    let end = &agreed.end_of(12).expect("it is over").end;
    assert!(matches!(end, ProposalOutcome::Refused(why) if why.contains("probation")), "{end:?}");
    assert_eq!(agreed.apply(at + 8, LogEntry::Kept { generation: 2, finding: "kept".into() }).len(), 1);
    assert_eq!(agreed.apply(at + 9, LogEntry::Propose(proposal(13, 2))), [Transition::Proposed(3)]);
}

/// Met in a simulated day: a voter started anew while a decision was on its way, its clock went, and the one that was left
/// jumped with nobody to see it.
#[test]
fn a_decision_that_finds_too_few_clocks_decides_nothing() {
    let (mut agreed, at) = founded();
    let join = |start: u64| {
        let listed = Member { name: "n1".into(), address: "b".into(), replica_id: None, location: 0 };
        LogEntry::Join { start: Incarnation(start), listed, after: None }
    };
    agreed.apply(at, join(2));
    agreed.apply(at + 1, LogEntry::Clock { of: Incarnation(2), ahead: Some(0) });
    agreed.apply(at + 2, LogEntry::Propose(proposal(11, 1)));
    agreed.apply(at + 3, join(3));
    assert_eq!(agreed.clocks.keys().collect::<Vec<_>>(), [&Incarnation(1)]);
    assert_eq!(agreed.apply(at + 4, LogEntry::Decide { generation: 2, at: FleetTime(5) }), []);
    agreed.apply(at + 5, LogEntry::Clock { of: Incarnation(3), ahead: Some(0) });
    assert_eq!(
        agreed.apply(at + 6, LogEntry::Decide { generation: 2, at: FleetTime(9) }).len(),
        1,
        "another may"
    );
}

/// Met in a simulated day: the vote of one that was listed no more was what it took to elect whoever lists it again.
#[test]
fn a_voter_that_is_listed_no_more_can_still_be_reached_for_its_vote() {
    let (mut agreed, at) = founded();
    let listed = Member { name: "n1".into(), address: "b".into(), replica_id: Some(2), location: 0 };
    agreed.apply(at, LogEntry::Join { start: Incarnation(2), listed, after: None });
    agreed.apply(at + 1, LogEntry::Voters { replica_ids: vec![1, 2, 3], leaving: vec![1] });
    agreed.apply(at + 2, LogEntry::Leave { start: Incarnation(2), ended: false });
    assert_eq!(agreed.replica_ids.get(&2), Some(&(Incarnation(2), "b".to_string())));
    agreed.apply(at + 3, LogEntry::Voters { replica_ids: vec![1, 3, 4], leaving: Vec::new() });
    assert_eq!(agreed.replica_ids.get(&2), None, "once it votes no more nobody needs it");
}

#[test]
fn of_two_proposers_one_is_told_that_it_was_made_from_what_is_gone() {
    let (mut agreed, at) = founded();
    agreed.apply(at, LogEntry::Propose(proposal(21, 1)));
    agreed.apply(at + 1, LogEntry::Propose(proposal(22, 1)));
    assert!(
        matches!(&agreed.end_of(22).unwrap().end, ProposalOutcome::Refused(why) if why.contains("under way"))
    );
    agreed.apply(at + 2, LogEntry::Propose(proposal(21, 1)));
    assert_eq!(agreed.staged.as_ref().unwrap().version.generation, 2, "told twice, taken once");
    agreed.apply(at + 3, LogEntry::Decide { generation: 2, at: FleetTime(1) });
    agreed.apply(at + 4, LogEntry::Held { generation: 2 });
    agreed.apply(at + 5, LogEntry::Kept { generation: 2, finding: String::new() });
    agreed.apply(at + 6, LogEntry::Propose(proposal(23, 1)));
    assert!(
        matches!(&agreed.end_of(23).unwrap().end, ProposalOutcome::Refused(why) if why.contains("made from"))
    );
    agreed.compares = false;
    assert_eq!(
        agreed.apply(at + 7, LogEntry::Propose(proposal(24, 1))),
        [Transition::Proposed(3)],
        "the guard is needed"
    );
}

#[test]
fn an_undo_goes_the_same_way_and_is_on_no_probation_itself() {
    let (mut agreed, at) = founded();
    agreed.apply(at, LogEntry::Propose(proposal(31, 1)));
    agreed.apply(at + 1, LogEntry::Decide { generation: 2, at: FleetTime(1) });
    agreed.apply(at + 2, LogEntry::Held { generation: 2 });
    let undo = Proposal { undoes: Some(2), policy: policy(0.0), ..proposal(32, 2) };
    assert_eq!(agreed.apply(at + 3, LogEntry::Propose(undo)), [Transition::Proposed(3)]);
    agreed.apply(at + 4, LogEntry::Decide { generation: 3, at: FleetTime(2) });
    agreed.apply(at + 5, LogEntry::Held { generation: 3 });
    assert_eq!((agreed.generation(), agreed.probation.is_none()), (3, true));
    assert_eq!(agreed.in_force.as_ref().unwrap().hash, policy(0.0).hash());
}

#[test]
fn what_is_agreed_is_the_same_after_it_was_carried() {
    let (mut agreed, at) = founded();
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
fn a_policy_says_what_the_settings_say_and_changes_only_what_may_change() {
    let (settings, classes) = deployment();
    let own = keys::from_settings(&settings, &classes);
    assert_eq!(own.0["offering.pages.latency_goal_ms"], 300.0);
    assert_eq!(keys::apply_to_settings(&own, &settings, &classes).unwrap(), settings, "there and back");
    let change = |name: &str, number: f64| own.with([(name.to_string(), number)]);
    let check = |new: &Policy| keys::check_change(&own, new, &classes);
    assert_eq!(check(&change("offering.pages.latency_goal_ms", 250.0)), Ok(()));
    let why = |name: &str, number: f64| check(&change(name, number)).unwrap_err();
    assert!(why("offering.pages.cut_off_ms", 2000.0).contains("at a start only"));
    assert!(why("offering.videos.fresh_ms", 1.0).contains("no offering"));
    assert!(why("fresh", 1.0).contains("no such key"));
    assert!(why("most_dispatches", 2.5).contains("whole number"));
    assert!(why("longest_come_back_ms", f64::NAN).contains("is not from"));
    assert!(why("offering.pages.latency_goal_ms", 4000.0).contains("cut-off"));
    assert!(why("offering.pages.fresh_ms", 70_000.0).contains("outlive the memory of its purge"));
}

#[test]
fn a_hash_tells_policies_apart_and_nothing_else() {
    assert_eq!(policy(0.0).hash(), policy(-0.0).hash());
    assert_ne!(policy(1.0).hash(), policy(2.0).hash());
}

/// Plays requests of four locations for so many seconds, 50 a second each, `good` of them in time by location, and
/// time and generation.
fn judged(seed: u64, seconds: u64, good: impl Fn(u16, u64, u64) -> f64) -> (Assessment, u64) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut tally = OutcomeWindow::default();
    let at = |second: u64| Moment::at_micros(1_000_000_000 + second * 1_000_000);
    let mut tell = |tally: &mut OutcomeWindow, second: u64, generation: u64| {
        for location in 0..4 {
            let quota = good(location, second, generation);
            let count = (0..50).filter(|_| chance.random_bool(quota)).count() as u64;
            let count = Count { requests: 50, good: count };
            tally.add(at(second), Span::secs(120.0), generation, (location, 0), count);
        }
    };
    (0..30).for_each(|second| tell(&mut tally, second, 1));
    let bounds = ProbationLimits::default();
    let mut probation = None;
    for second in 30..30 + seconds {
        tell(&mut tally, second, 2);
        // Begins with what was known before its time.
        let probation = probation.get_or_insert_with(|| Probation::begin(bounds, &tally, [1, 2], at(30)));
        let finding = probation.judge(&tally, at(second + 1));
        if finding != Assessment::Open {
            return (finding, second - 29);
        }
    }
    (Assessment::Open, seconds)
}

#[test]
fn a_change_that_makes_one_location_fail_is_found_within_seconds() {
    let (finding, after) = judged(1, 40, |location, _, of| if of == 2 && location == 1 { 0.2 } else { 0.95 });
    assert!(matches!(finding, Assessment::Harm { location: 1, .. }), "{finding:?}");
    assert!(after <= 3, "after {after} s");
}

#[test]
fn a_trouble_from_before_or_everywhere_or_none_undoes_nothing() {
    let (before, _) =
        judged(2, 40, |location, second, _| if location == 1 && second >= 25 { 0.3 } else { 0.95 });
    assert_eq!(before, Assessment::Trouble { began_before: true });
    let (everywhere, _) = judged(3, 40, |_, second, _| if second >= 32 { 0.3 } else { 0.95 });
    assert_eq!(everywhere, Assessment::Trouble { began_before: false });
    assert_eq!(judged(4, 40, |_, _, _| 0.9).0, Assessment::NoHarm);
}

#[test]
fn false_alarms_are_as_rare_as_stated() {
    let alarms =
        (0..300).filter(|seed| matches!(judged(*seed, 30, |_, _, _| 0.9).0, Assessment::Harm { .. }));
    assert_eq!(alarms.count(), 0, "one in ten thousand is stated");
}

#[test]
fn too_little_traffic_is_an_outcome_of_its_own() {
    let tally = OutcomeWindow::default();
    let now = Moment::at_micros(100_000_000);
    let probation = Probation::begin(ProbationLimits::default(), &tally, [1, 2], now);
    assert_eq!(probation.judge(&tally, now), Assessment::Open);
    assert_eq!(probation.judge(&tally, now + Span::secs(31.0)), Assessment::TooLittle);
}
