//! Which replicas are to vote: an odd number of them, as an even one needs one more for a quorum and
//! tolerates no more failures. A change is one joint step, in which the voters before and after it must both
//! agree.

/// A voter, or a replica that may become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// Its replica id.
    pub replica_id: u64,
    /// Its location.
    pub location: u16,
    /// Whether it was heard from recently. A voter that was not is replaced.
    pub is_reachable: bool,
}

/// Replicas that become voters and voters that cease to be, in one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipChange {
    /// Replica ids that become voters.
    pub added: Vec<u64>,
    /// Replica ids that cease to be voters.
    pub removed: Vec<u64>,
}

/// The next change of the voters, if any is due. `leader` stays a voter. All `candidates` are reachable.
///
/// An unreachable voter is replaced in one step: if its replacement were added first and it were removed
/// after that, the fleet would meanwhile need a larger quorum than it has. From one voter on two are added at
/// once, as two voters need both.
pub fn plan_membership_change(
    leader: u64,
    voters: &[ReplicaInfo],
    candidates: &[ReplicaInfo],
    wanted: usize,
) -> Option<MembershipChange> {
    let wanted = if wanted.is_multiple_of(2) { wanted.max(2) - 1 } else { wanted };
    let mut plan = Plan {
        leader,
        voters: voters.to_vec(),
        candidates: candidates.to_vec(),
        change: MembershipChange::default(),
    };
    if plan.voters.len() > wanted {
        plan.shrink_to(wanted)?;
    } else if let Some(unreachable) = plan.next_to_remove().filter(|voter| !voter.is_reachable) {
        plan.replace(unreachable);
    } else if plan.voters.len() < wanted {
        plan.grow()?;
    }
    Some(plan.change).filter(|change| *change != MembershipChange::default())
}

struct Plan {
    leader: u64,
    voters: Vec<ReplicaInfo>,
    candidates: Vec<ReplicaInfo>,
    change: MembershipChange,
}

impl Plan {
    /// An unreachable voter first, then one of the location that has most voters.
    fn next_to_remove(&self) -> Option<ReplicaInfo> {
        self.voters.iter().copied().filter(|voter| voter.replica_id != self.leader).max_by_key(|voter| {
            (!voter.is_reachable, in_location(&self.voters, voter.location), voter.replica_id)
        })
    }

    /// A candidate of the location that has fewest of these voters, so that no location has most of them.
    fn take_candidate(&mut self, voters: &[ReplicaInfo]) -> Option<ReplicaInfo> {
        let key = |index: &usize| {
            let candidate = &self.candidates[*index];
            (in_location(voters, candidate.location), candidate.replica_id)
        };
        let next = (0..self.candidates.len()).min_by_key(key)?;
        Some(self.candidates.swap_remove(next))
    }

    fn remove(&mut self, voter: ReplicaInfo) {
        self.voters.retain(|other| other.replica_id != voter.replica_id);
        self.change.removed.push(voter.replica_id);
    }

    fn shrink_to(&mut self, wanted: usize) -> Option<()> {
        while self.voters.len() > wanted {
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

    /// Adds as many as it takes to the next odd number, or none.
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

fn in_location(voters: &[ReplicaInfo], location: u16) -> usize {
    voters.iter().filter(|voter| voter.location == location).count()
}
