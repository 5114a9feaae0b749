//! Tests of the agreed state: how log entries move a policy change through its stages.

use std::collections::BTreeMap;

use tindoor_membership::{FleetTime, Incarnation, Member};
use tindoor_policy::{AgreedState, LogEntry, Policy, Proposal, ProposalOutcome, Transition};

fn policy(number: f64) -> Policy {
    Policy(BTreeMap::from([("longest_come_back_ms".to_string(), number)]))
}

fn proposal(token: u64, base_generation: u64) -> Proposal {
    let (author, note) = ("lab".to_string(), String::new());
    Proposal { token, base_generation, policy: policy(token as f64), reverts: None, author, note }
}

/// Returns a fleet with one router, and the next index of its log.
fn bootstrapped() -> (AgreedState, u64) {
    let mut agreed = AgreedState::new();
    agreed.apply(1, LogEntry::Bootstrap { fleet: 7, policy: policy(0.0), replica_id: 1 });
    let member = Member { name: "n0".into(), address: "a".into(), replica_id: Some(1), location: 0 };
    agreed.apply(2, LogEntry::Join { incarnation: Incarnation(1), member, predecessor: None });
    agreed.apply(3, LogEntry::Clock { incarnation: Incarnation(1), offset_us: Some(0) });
    (agreed, 4)
}

#[test]
fn the_stages_of_a_change_follow_each_other_in_a_fixed_order() {
    let (mut agreed, index) = bootstrapped();
    assert_eq!(agreed.apply(index, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) }), []);
    assert_eq!(agreed.apply(index + 1, LogEntry::Propose(proposal(11, 1))), [Transition::Proposed(2)]);
    assert!(agreed.has_undecided_change(), "routers confirm no leases until the change is decided");
    assert_eq!(
        agreed.apply(index + 2, LogEntry::Activated { generation: 2 }),
        [],
        "the change is not decided yet"
    );
    let decided = agreed.apply(index + 3, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) });
    assert_eq!(decided, [Transition::Decided(2, FleetTime(5))]);
    assert_eq!(
        agreed.apply(index + 4, LogEntry::Decide { generation: 2, activation_time: FleetTime(9) }),
        [],
        "the activation time is decided only once"
    );
    let cancelled = LogEntry::Cancel { generation: 2, reason: "late".into() };
    assert_eq!(agreed.apply(index + 5, cancelled), [], "a decided change can't be cancelled");
    assert_eq!(agreed.generation(), 1);
    assert_eq!(agreed.apply(index + 6, LogEntry::Activated { generation: 2 }), [Transition::Activated(2)]);
    assert_eq!(
        (agreed.generation(), agreed.probation.as_ref().map(|probation| probation.generation)),
        (2, Some(2))
    );
    assert_eq!(agreed.apply(index + 7, LogEntry::Propose(proposal(12, 2))).len(), 1);
    let outcome = &agreed.past_proposal(12).expect("the proposal has ended").outcome;
    assert!(
        matches!(outcome, ProposalOutcome::Rejected(reason) if reason.contains("probation")),
        "{outcome:?}"
    );
    assert_eq!(
        agreed.apply(index + 8, LogEntry::ProbationEnded { generation: 2, finding: "kept".into() }).len(),
        1
    );
    assert_eq!(agreed.apply(index + 9, LogEntry::Propose(proposal(13, 2))), [Transition::Proposed(3)]);
}

/// Guards against a fault found in a simulated day: a voter restarted while a decision was being replicated.
/// The restart removed the voter's clock, and a jump of the remaining clock went unnoticed.
#[test]
fn a_decision_has_no_effect_while_there_are_too_few_clocks() {
    let (mut agreed, index) = bootstrapped();
    let join = |incarnation: u64| {
        let member = Member { name: "n1".into(), address: "b".into(), replica_id: None, location: 0 };
        LogEntry::Join { incarnation: Incarnation(incarnation), member, predecessor: None }
    };
    agreed.apply(index, join(2));
    agreed.apply(index + 1, LogEntry::Clock { incarnation: Incarnation(2), offset_us: Some(0) });
    agreed.apply(index + 2, LogEntry::Propose(proposal(11, 1)));
    agreed.apply(index + 3, join(3));
    assert_eq!(agreed.clocks.keys().collect::<Vec<_>>(), [&Incarnation(1)]);
    assert_eq!(
        agreed.apply(index + 4, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) }),
        []
    );
    agreed.apply(index + 5, LogEntry::Clock { incarnation: Incarnation(3), offset_us: Some(0) });
    assert_eq!(
        agreed.apply(index + 6, LogEntry::Decide { generation: 2, activation_time: FleetTime(9) }).len(),
        1,
        "a later decision has an effect, with enough clocks"
    );
}

/// Guards against a fault found in a simulated day: a voter was no longer a member, and the election of the
/// leader that would add it again needed its vote.
#[test]
fn a_voter_that_is_no_longer_a_member_keeps_its_address() {
    let (mut agreed, index) = bootstrapped();
    let member = Member { name: "n1".into(), address: "b".into(), replica_id: Some(2), location: 0 };
    agreed.apply(index, LogEntry::Join { incarnation: Incarnation(2), member, predecessor: None });
    agreed.apply(index + 1, LogEntry::Voters { replica_ids: vec![1, 2, 3], outgoing: vec![1] });
    agreed.apply(index + 2, LogEntry::Leave { incarnation: Incarnation(2), ended: false });
    assert_eq!(agreed.replica_addresses.get(&2), Some(&(Incarnation(2), "b".to_string())));
    agreed.apply(index + 3, LogEntry::Voters { replica_ids: vec![1, 3, 4], outgoing: Vec::new() });
    assert_eq!(
        agreed.replica_addresses.get(&2),
        None,
        "the address is dropped when the replica is no longer a voter"
    );
}

#[test]
fn proposals_are_rejected_during_another_change_and_from_an_outdated_base() {
    let (mut agreed, index) = bootstrapped();
    agreed.apply(index, LogEntry::Propose(proposal(21, 1)));
    agreed.apply(index + 1, LogEntry::Propose(proposal(22, 1)));
    assert!(matches!(
        &agreed.past_proposal(22).unwrap().outcome,
        ProposalOutcome::Rejected(reason) if reason.contains("under way")
    ));
    agreed.apply(index + 2, LogEntry::Propose(proposal(21, 1)));
    assert_eq!(agreed.staged.as_ref().unwrap().version.generation, 2, "a repeated proposal is accepted once");
    agreed.apply(index + 3, LogEntry::Decide { generation: 2, activation_time: FleetTime(1) });
    agreed.apply(index + 4, LogEntry::Activated { generation: 2 });
    agreed.apply(index + 5, LogEntry::ProbationEnded { generation: 2, finding: String::new() });
    agreed.apply(index + 6, LogEntry::Propose(proposal(23, 1)));
    assert!(matches!(
        &agreed.past_proposal(23).unwrap().outcome,
        ProposalOutcome::Rejected(reason) if reason.contains("made from")
    ));
    agreed.checks_base_generation = false;
    assert_eq!(
        agreed.apply(index + 7, LogEntry::Propose(proposal(24, 1))),
        [Transition::Proposed(3)],
        "without the check, a proposal from an outdated base is accepted"
    );
}

#[test]
fn a_revert_goes_through_all_stages_except_probation() {
    let (mut agreed, index) = bootstrapped();
    agreed.apply(index, LogEntry::Propose(proposal(31, 1)));
    agreed.apply(index + 1, LogEntry::Decide { generation: 2, activation_time: FleetTime(1) });
    agreed.apply(index + 2, LogEntry::Activated { generation: 2 });
    let revert = Proposal { reverts: Some(2), policy: policy(0.0), ..proposal(32, 2) };
    assert_eq!(agreed.apply(index + 3, LogEntry::Propose(revert)), [Transition::Proposed(3)]);
    agreed.apply(index + 4, LogEntry::Decide { generation: 3, activation_time: FleetTime(2) });
    agreed.apply(index + 5, LogEntry::Activated { generation: 3 });
    assert_eq!((agreed.generation(), agreed.probation.is_none()), (3, true));
    assert_eq!(agreed.in_force.as_ref().unwrap().hash, policy(0.0).hash());
}

#[test]
fn encoding_and_decoding_preserves_the_agreed_state() {
    let (mut agreed, index) = bootstrapped();
    agreed.apply(index, LogEntry::Propose(proposal(41, 1)));
    let bytes = postcard::to_stdvec(&agreed).unwrap();
    assert_eq!(postcard::from_bytes::<AgreedState>(&bytes).unwrap(), agreed);
}
