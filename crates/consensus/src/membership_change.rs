//! Plans which replicas vote. The number of voters should be odd: an even number needs a larger quorum and
//! tolerates no more failures than the odd number below it. A change uses joint consensus: until it is
//! finished, the voters before it and the voters after it must both agree.

/// A voter, or a replica that may become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// The replica id.
    pub replica_id: u64,
    /// The replica's location.
    pub location: u16,
    /// Whether this replica was heard from recently. Unreachable voters are replaced.
    pub is_reachable: bool,
}

/// Replicas that become voters and voters that stop being voters, in one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Replica ids that become voters.
    pub added: Vec<u64>,
    /// Replica ids that stop being voters.
    pub removed: Vec<u64>,
}

/// Returns the next change of the voters. `None` if no change is needed or possible.
///
/// `leader` always stays a voter. All `candidates` must be reachable. The target number of voters is
/// `target`, or the odd number below it if `target` is even.
///
/// An unreachable voter is replaced in one step. If its replacement were added first and the unreachable
/// voter removed later, the fleet would need a larger quorum in between than it may be able to form. A single
/// voter is extended by two voters at once, because a fleet of two voters would need both for a quorum.
pub fn plan_membership_change(
    leader: u64,
    voters: &[ReplicaInfo],
    candidates: &[ReplicaInfo],
    target: usize,
) -> Option<MembershipChange> {
    let target = if target.is_multiple_of(2) { target.max(2) - 1 } else { target };
    let mut plan = Plan {
        leader,
        voters: voters.to_vec(),
        candidates: candidates.to_vec(),
        change: MembershipChange::default(),
    };
    if plan.voters.len() > target {
        plan.shrink_to(target)?;
    } else if let Some(unreachable) = plan.next_to_remove().filter(|voter| !voter.is_reachable) {
        plan.replace(unreachable);
    } else if plan.voters.len() < target {
        plan.grow()?;
    }
    Some(plan.change).filter(|change| *change != MembershipChange::default())
}

/// A change under construction, with the voters and candidates that remain after it.
struct Plan {
    leader: u64,
    voters: Vec<ReplicaInfo>,
    candidates: Vec<ReplicaInfo>,
    change: MembershipChange,
}

impl Plan {
    /// Returns the voter to remove next: an unreachable voter if there is one, otherwise a voter in the
    /// location with the most voters. Never returns the leader.
    fn next_to_remove(&self) -> Option<ReplicaInfo> {
        self.voters.iter().copied().filter(|voter| voter.replica_id != self.leader).max_by_key(|voter| {
            (!voter.is_reachable, count_in_location(&self.voters, voter.location), voter.replica_id)
        })
    }

    /// Takes a candidate from the location with the fewest of `voters`, so that no location has most of them.
    fn take_candidate(&mut self, voters: &[ReplicaInfo]) -> Option<ReplicaInfo> {
        let key = |index: &usize| {
            let candidate = &self.candidates[*index];
            (count_in_location(voters, candidate.location), candidate.replica_id)
        };
        let next = (0..self.candidates.len()).min_by_key(key)?;
        Some(self.candidates.swap_remove(next))
    }

    fn remove(&mut self, voter: ReplicaInfo) {
        self.voters.retain(|other| other.replica_id != voter.replica_id);
        self.change.removed.push(voter.replica_id);
    }

    fn shrink_to(&mut self, target: usize) -> Option<()> {
        while self.voters.len() > target {
            let voter = self.next_to_remove()?;
            self.remove(voter);
        }
        Some(())
    }

    fn replace(&mut self, unreachable: ReplicaInfo) {
        let mut remaining = self.voters.clone();
        remaining.retain(|voter| voter.replica_id != unreachable.replica_id);
        match self.take_candidate(&remaining) {
            Some(replacement) => {
                self.remove(unreachable);
                self.change.added.push(replacement.replica_id);
            }
            None if self.voters.len().is_multiple_of(2) => self.remove(unreachable),
            None => {}
        }
    }

    /// Adds voters up to the next odd number of voters, or none if there are too few candidates.
    fn grow(&mut self) -> Option<()> {
        let missing = if self.voters.len().is_multiple_of(2) { 1 } else { 2 };
        while self.change.added.len() < missing && self.candidates.len() + self.change.added.len() >= missing
        {
            let voters = self.voters.clone();
            let candidate = self.take_candidate(&voters)?;
            self.voters.push(candidate);
            self.change.added.push(candidate.replica_id);
        }
        Some(())
    }
}

fn count_in_location(voters: &[ReplicaInfo], location: u16) -> usize {
    voters.iter().filter(|voter| voter.location == location).count()
}
