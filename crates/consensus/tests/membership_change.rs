//! Tests of the planning of voter changes.

use tindoor_consensus::{MembershipChange, ReplicaInfo, plan_membership_change};

/// Returns replicas with these ids. The location of each is the last digit of its id.
fn replicas(replica_ids: &[u64], unreachable: &[u64]) -> Vec<ReplicaInfo> {
    let info = |replica_id: &u64| ReplicaInfo {
        replica_id: *replica_id,
        location: (replica_id % 10) as u16,
        is_reachable: !unreachable.contains(replica_id),
    };
    replica_ids.iter().map(info).collect()
}

/// Plans a change and returns the replica ids that are added and removed. The first voter is the leader.
fn plan(
    voters: &[u64],
    unreachable: &[u64],
    candidates: &[u64],
    target: usize,
) -> Option<(Vec<u64>, Vec<u64>)> {
    let (voters, leader) = (replicas(voters, unreachable), voters[0]);
    let MembershipChange { added, removed } =
        plan_membership_change(leader, &voters, &replicas(candidates, &[]), target)?;
    Some((added, removed))
}

/// Guards against a fleet of two voters, both of which are needed for a quorum. In a fleet of three
/// processes, the second voter was cut off just after it had been added, and no change could be decided for
/// ten seconds.
#[test]
fn two_voters_are_added_to_one_and_an_unreachable_voter_is_replaced_in_one_step() {
    assert_eq!(plan(&[11], &[], &[12], 3), None, "a fleet of two voters would need both");
    assert_eq!(plan(&[11], &[], &[12, 13], 3), Some((vec![12, 13], vec![])));
    assert_eq!(plan(&[11, 12, 13], &[12], &[], 3), None, "no candidate to replace the unreachable voter");
    assert_eq!(plan(&[11, 12, 13], &[12], &[15], 3), Some((vec![15], vec![12])));
    assert_eq!(plan(&[11, 12, 13], &[], &[14], 5), None);
    assert_eq!(plan(&[11, 12, 13], &[], &[14, 15], 4), None, "a quorum of four voters is three, as of five");
    assert_eq!(plan(&[11, 12, 13, 14, 15], &[13], &[16], 3), Some((vec![], vec![13, 15])));
    assert_eq!(plan(&[11, 12], &[], &[13], 3), Some((vec![13], vec![])));
    assert_eq!(plan(&[11, 12], &[12], &[], 3), Some((vec![], vec![12])));
}

#[test]
fn voters_are_added_in_the_locations_with_the_fewest_voters() {
    assert_eq!(plan(&[11], &[], &[21, 31, 12], 3), Some((vec![12, 21], vec![])));
    assert_eq!(plan(&[11, 12, 21], &[21], &[31, 13], 3), Some((vec![13], vec![21])));
}
