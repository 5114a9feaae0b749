//! The leader's choice of voters.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};

use super::super::Node;
use crate::membership_change::{ReplicaInfo, plan_membership_change};

/// The silence after which a voter is unreachable and is replaced, in leases.
const UNREACHABLE_LEASES: f64 = 4.0;

/// The silence above which a replica may not become a voter, in heartbeats.
const CANDIDATE_SILENCE_HEARTBEATS: f64 = 6.0;

/// The interval between proposals to change the voters, in heartbeats.
const CHANGE_RETRY_HEARTBEATS: f64 = 8.0;

/// The interval between proposals to finish a change of the voters, in heartbeats.
const FINISH_RETRY_HEARTBEATS: f64 = 2.0;

/// The location that is assumed for a voter that is not a member.
const UNKNOWN_LOCATION: u16 = u16::MAX;

impl Node {
    /// Maintains the target number of voters and replaces unreachable ones.
    pub(super) fn reconcile_voters(&mut self, now: Moment) {
        if !self.agreed.outgoing_voters.is_empty() {
            return self.finish_membership_change(now);
        }
        if self.changed_voters_within(now, CHANGE_RETRY_HEARTBEATS) || !self.is_member() {
            return;
        }
        let Some(own) = self.identity.replica_id else { return };
        let (voters, candidates) = (self.current_voters(now), self.voter_candidates(now));
        if let Some(change) = plan_membership_change(own, &voters, &candidates, self.limits.voters)
            && self.replica.as_mut().is_some_and(|replica| replica.begin_membership_change(&change))
        {
            self.record_voters_change(now);
        }
    }

    /// Finishes the current change of the voters; until then, the voters before the change are needed as
    /// well. A leader that is not a voter after the change can't finish it, and transfers the leadership to
    /// another replica that is.
    fn finish_membership_change(&mut self, now: Moment) {
        if self.changed_voters_within(now, FINISH_RETRY_HEARTBEATS) {
            return;
        }
        let (remains_voter, successor) = (self.is_local_replica_voter(), self.successor(now));
        let is_started = match (&mut self.replica, successor) {
            (Some(replica), _) if remains_voter => replica.finish_membership_change(),
            (Some(replica), Some(successor)) => {
                replica.transfer_leadership(successor);
                true
            }
            _ => false,
        };
        if is_started {
            self.record_voters_change(now);
        }
    }

    /// Returns the voter that was heard from most recently.
    fn successor(&self, now: Moment) -> Option<u64> {
        let voters = self.agreed.members.members().keys().copied().filter(|member| self.is_voter(*member));
        let last_heard = voters.min_by_key(|voter| self.silence(*voter, now))?;
        self.agreed.members.get(last_heard)?.replica_id
    }

    fn is_voter(&self, member: Incarnation) -> bool {
        let replica_id = self.agreed.members.get(member).and_then(|member| member.replica_id);
        replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id))
    }

    /// Returns the current voters and whether each is reachable.
    fn current_voters(&self, now: Moment) -> Vec<ReplicaInfo> {
        let max_silence = self.timings.lease * UNREACHABLE_LEASES;
        let own = self.identity.incarnation;
        let is_reachable = |member| member == own || self.silence(member, now) < max_silence;
        let is_new_leader = now.since(self.leader_since(now)) <= max_silence;
        let members = self.agreed.members.members();
        let info = |replica_id: &u64| {
            let replica_id = *replica_id;
            match members.iter().find(|(_, member)| member.replica_id == Some(replica_id)) {
                Some((incarnation, member)) => {
                    let (location, is_reachable) = (member.location, is_reachable(*incarnation));
                    ReplicaInfo { replica_id, location, is_reachable }
                }
                None => ReplicaInfo { replica_id, location: UNKNOWN_LOCATION, is_reachable: is_new_leader },
            }
        };
        self.agreed.voters.iter().map(info).collect()
    }

    /// Returns the replicas that may become voters. They must be reachable, because an unreachable new voter
    /// would reduce the number of failures that the fleet tolerates.
    fn voter_candidates(&self, now: Moment) -> Vec<ReplicaInfo> {
        let max_silence = self.timings.heartbeat_interval * CANDIDATE_SILENCE_HEARTBEATS;
        let is_recently_heard =
            |member| self.failure_detector.silence(member, now, Moment::default()) < max_silence;
        let candidate = |(incarnation, member): (&Incarnation, &Member)| {
            let replica_id = member.replica_id?;
            let is_candidate = !self.agreed.voters.contains(&replica_id) && is_recently_heard(*incarnation);
            is_candidate.then_some(ReplicaInfo { replica_id, location: member.location, is_reachable: true })
        };
        self.agreed.members.members().iter().filter_map(candidate).collect()
    }

    /// Returns whether the last step of a membership change was less than this number of heartbeats ago.
    fn changed_voters_within(&self, now: Moment, heartbeats: f64) -> bool {
        let proposed = self.leadership.as_ref().and_then(|leadership| leadership.membership_change_proposed);
        proposed.is_some_and(|at| now.since(at) < self.timings.heartbeat_interval * heartbeats)
    }

    fn record_voters_change(&mut self, now: Moment) {
        if let Some(leadership) = &mut self.leadership {
            leadership.membership_change_proposed = Some(now);
        }
    }
}
