//! Tests of the choice of voters.

use tindoor_consensus::{MembershipChange, ReplicaInfo, plan_membership_change};

/// Replicas by id, each in the location of its last digit.
fn replicas(replica_ids: &[u64], unreachable: &[u64]) -> Vec<ReplicaInfo> {
    let info = |replica_id: &u64| ReplicaInfo {
        replica_id: *replica_id,
        location: (replica_id % 10) as u16,
        is_reachable: !unreachable.contains(replica_id),
    };
    replica_ids.iter().map(info).collect()
}

/// The replica ids that are added and removed. The first voter leads.
fn plan(
    voters: &[u64],
    unreachable: &[u64],
    candidates: &[u64],
    wanted: usize,
) -> Option<(Vec<u64>, Vec<u64>)> {
    let (voters, leader) = (replicas(voters, unreachable), voters[0]);
    let MembershipChange { added, removed } =
        plan_membership_change(leader, &voters, &replicas(candidates, &[]), wanted)?;
    Some((added, removed))
}

/// Observed with three processes: one that had just become a voter beside the first was cut off, both were
/// needed, and no change was decided for ten seconds.
#[test]
fn two_voters_are_added_to_one_and_an_unreachable_voter_is_replaced_in_one_step() {
    assert_eq!(plan(&[11], &[], &[12], 3), None, "two would need both");
    assert_eq!(plan(&[11], &[], &[12, 13], 3), Some((vec![12, 13], vec![])));
    assert_eq!(plan(&[11, 12, 13], &[12], &[], 3), None, "there is no candidate");
    assert_eq!(plan(&[11, 12, 13], &[12], &[15], 3), Some((vec![15], vec![12])));
    assert_eq!(plan(&[11, 12, 13], &[], &[14], 5), None);
    assert_eq!(plan(&[11, 12, 13], &[], &[14, 15], 4), None, "four would need three, as three of five do");
    assert_eq!(plan(&[11, 12, 13, 14, 15], &[13], &[16], 3), Some((vec![], vec![13, 15])));
    assert_eq!(plan(&[11, 12], &[], &[13], 3), Some((vec![13], vec![])));
    assert_eq!(plan(&[11, 12], &[12], &[], 3), Some((vec![], vec![12])));
}

#[test]
fn voters_are_added_from_the_locations_that_have_fewest() {
    assert_eq!(plan(&[11], &[], &[21, 31, 12], 3), Some((vec![12, 21], vec![])));
    assert_eq!(plan(&[11, 12, 21], &[21], &[31, 13], 3), Some((vec![13], vec![21])));
}
