//! Tests of the agreed state of a fleet's policy.

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
    assert_eq!(agreed.apply(at, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) }), []);
    assert_eq!(agreed.apply(at + 1, LogEntry::Propose(proposal(11, 1))), [Transition::Proposed(2)]);
    assert!(agreed.has_undecided_change(), "routers confirm no leases until it is decided");
    assert_eq!(agreed.apply(at + 2, LogEntry::Activated { generation: 2 }), [], "it is not decided yet");
    let decided = agreed.apply(at + 3, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) });
    assert_eq!(decided, [Transition::Decided(2, FleetTime(5))]);
    assert_eq!(
        agreed.apply(at + 4, LogEntry::Decide { generation: 2, activation_time: FleetTime(9) }),
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

/// Found in a simulated day: a voter restarted while a decision was on its way, its clock was removed, and
/// the remaining one jumped unnoticed.
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
    assert_eq!(agreed.apply(at + 4, LogEntry::Decide { generation: 2, activation_time: FleetTime(5) }), []);
    agreed.apply(at + 5, LogEntry::Clock { incarnation: Incarnation(3), offset_us: Some(0) });
    assert_eq!(
        agreed.apply(at + 6, LogEntry::Decide { generation: 2, activation_time: FleetTime(9) }).len(),
        1,
        "a later decision can"
    );
}

/// Found in a simulated day: the vote of a router that was no longer listed was needed to elect the leader
/// that lists it again.
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
    agreed.apply(at + 3, LogEntry::Decide { generation: 2, activation_time: FleetTime(1) });
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
    agreed.apply(at + 1, LogEntry::Decide { generation: 2, activation_time: FleetTime(1) });
    agreed.apply(at + 2, LogEntry::Activated { generation: 2 });
    let revert = Proposal { reverts: Some(2), policy: policy(0.0), ..proposal(32, 2) };
    assert_eq!(agreed.apply(at + 3, LogEntry::Propose(revert)), [Transition::Proposed(3)]);
    agreed.apply(at + 4, LogEntry::Decide { generation: 3, activation_time: FleetTime(2) });
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
