//! Builds the status that is shown to the operator.

use tindoor::time::Moment;
use tindoor_policy::StagedChange;

use super::Node;
use crate::status::Status;

impl Node {
    /// Returns the status of this router, as shown to its operator.
    pub fn status(&mut self, now: Moment) -> Status {
        let unavailable = self.active_policy(now).err();
        let agreed = &self.agreed;
        Status {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation.to_string(),
            fleet: agreed.fleet,
            index: agreed.index,
            generation: agreed.generation(),
            hash: agreed.in_force.as_ref().map(|version| version.hash.clone()).unwrap_or_default(),
            unavailable,
            lease_remaining_ms: self.lease.remaining(now).as_micros() / 1000,
            members: agreed.members.members().len(),
            voters: agreed.voters.iter().map(|replica_id| self.voter_name(*replica_id)).collect(),
            leader: self.leader_address(),
            clock_bound_us: self.fleet_time(now).map(|time| time.error_bound().as_micros()),
            staged_change: agreed.staged.as_ref().map(describe_staged_change),
            on_probation: agreed.probation.as_ref().map(|probation| probation.generation),
        }
    }

    /// Returns the name of a voter, or its replica id if the voter is not a member.
    fn voter_name(&self, replica_id: u64) -> String {
        let process = self.directory.replicas.get(&replica_id).map(|(incarnation, _)| *incarnation);
        let member = process.and_then(|incarnation| self.agreed.members.get(incarnation));
        member.map_or(format!("{replica_id:016x}"), |member| member.name.clone())
    }
}

fn describe_staged_change(staged: &StagedChange) -> String {
    let version = &staged.version;
    let state = if staged.is_decided() { "decided" } else { "asked" };
    format!(
        "{} ({}, from {}, by {}): {state}",
        version.generation, version.hash, version.base_generation, staged.author
    )
}
