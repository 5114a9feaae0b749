//! Tests of the member list.

use std::collections::BTreeSet;

use proptest::prelude::*;
use tindoor_membership::{Incarnation, Member, MemberList, UninformedMajority};

fn member(number: u64) -> Member {
    let (name, address) = (format!("n{number}"), format!("a{number}"));
    Member { name, address, replica_id: Some(number), location: 0 }
}

/// A list of the members 1, 2 and 3.
fn list_of_three() -> MemberList {
    MemberList::new((1..=3).map(|number| (Incarnation(number), member(number))).collect())
}

#[test]
fn a_superseded_list_is_checked_until_it_is_discarded() {
    let mut member_list = list_of_three();
    for number in 4..=10 {
        member_list.add(number, Incarnation(number), member(number), None);
    }
    // Two of the first three members are cut off and still use the first list, of which they are a majority.
    let is_informed = |member: Incarnation| ![Incarnation(1), Incarnation(2)].contains(&member);
    assert_eq!(
        member_list.rule_out_uninformed_majority(20, is_informed),
        Err(UninformedMajority { superseded_at: 4 }),
        "eight of ten are informed, but only one of the first three"
    );
    member_list.discard_superseded(4);
    assert_eq!(
        member_list.rule_out_uninformed_majority(20, is_informed),
        Ok(()),
        "no router uses the first list any more, and two of four members are no majority"
    );
    assert_eq!(
        member_list.rule_out_uninformed_majority(20, |member| member.0 > 6),
        Err(UninformedMajority { superseded_at: 20 }),
        "six of ten members are uninformed"
    );
}

#[test]
fn a_process_that_is_proved_to_have_ended_need_not_be_informed() {
    let is_informed = |member: Incarnation| member.0 == 3 || member.0 > 10;
    let mut member_list = list_of_three();
    member_list.add(4, Incarnation(11), member(1), Some(Incarnation(1)));
    member_list.add(5, Incarnation(12), member(2), None);
    assert_eq!(member_list.members().len(), 3);
    assert_eq!(member_list.rule_out_uninformed_majority(20, is_informed), Ok(()));
    let mut without_proof = list_of_three();
    without_proof.add(4, Incarnation(11), member(1), None);
    without_proof.add(5, Incarnation(12), member(2), None);
    let result = without_proof.rule_out_uninformed_majority(20, is_informed);
    assert!(result.is_err(), "without a proof, a removed process may still use the first list");
}

proptest! {
    /// An uninformed majority is reported exactly if the uninformed processes are more than half of the
    /// members of any list that a router may still use.
    #[test]
    fn an_uninformed_majority_of_any_list_is_detected(
        steps in prop::collection::vec((0u64..8, any::<bool>()), 1..24),
        informed in prop::collection::btree_set(0u64..40, 0..40),
    ) {
        let mut member_list = MemberList::default();
        let mut lists: Vec<BTreeSet<Incarnation>> = Vec::new();
        for (position, (name, joins)) in steps.iter().enumerate() {
            let (index, incarnation) = (position as u64 + 1, Incarnation(position as u64));
            match (joins, member_list.find_by_name(&format!("n{name}"))) {
                (false, Some(known)) => member_list.remove(index, known, false),
                _ => member_list.add(index, incarnation, member(*name), None),
            }
            lists.push(member_list.members().keys().copied().collect());
        }
        let is_informed = |member: Incarnation| informed.contains(&member.0);
        let has_uninformed_majority = lists.iter().any(|list| {
            2 * list.iter().filter(|member| !is_informed(**member)).count() > list.len()
        });
        let result = member_list.rule_out_uninformed_majority(100, is_informed);
        prop_assert_eq!(result.is_ok(), !has_uninformed_majority);
    }
}
