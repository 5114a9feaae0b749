//! The leader's part in the choice of voters.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};

use super::super::Node;
use crate::membership_change::{ReplicaInfo, plan_membership_change};

/// Leases of silence after which a voter is replaced.
const UNREACHABLE_LEASES: f64 = 4.0;

/// Heartbeats of silence up to which a replica may become a voter.
const CANDIDATE_SILENCE_HEARTBEATS: f64 = 6.0;

/// Heartbeats between two proposals to change the voters, and to finish a change.
const CHANGE_RETRY_HEARTBEATS: f64 = 8.0;
const FINISH_RETRY_HEARTBEATS: f64 = 2.0;

/// The location of a voter that is no member.
const UNKNOWN_LOCATION: u16 = u16::MAX;

impl Node {
    /// Keeps as many voters as are wanted, and replaces one that is unreachable.
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

    /// Until a change of the voters is finished, those before it are needed as well. A leader that is no
    /// voter after the change can't finish it, and hands over.
    fn finish_membership_change(&mut self, now: Moment) {
        if self.changed_voters_within(now, FINISH_RETRY_HEARTBEATS) {
            return;
        }
        let (stays, successor) = (self.is_own_replica_voting(), self.successor(now));
        let done = match (&mut self.replica, successor) {
            (Some(replica), _) if stays => replica.finish_membership_change(),
            (Some(replica), Some(successor)) => {
                replica.transfer_leadership(successor);
                true
            }
            _ => false,
        };
        if done {
            self.record_voters_change(now);
        }
    }

    /// The voter that was heard from last.
    fn successor(&self, now: Moment) -> Option<u64> {
        let voters = self.agreed.members.members().keys().copied().filter(|member| self.is_voter(*member));
        let heard_last = voters.min_by_key(|voter| self.silence(*voter, now))?;
        self.agreed.members.get(heard_last)?.replica_id
    }

    fn is_voter(&self, member: Incarnation) -> bool {
        let replica_id = self.agreed.members.get(member).and_then(|member| member.replica_id);
        replica_id.is_some_and(|replica_id| self.agreed.voters.contains(&replica_id))
    }

    fn current_voters(&self, now: Moment) -> Vec<ReplicaInfo> {
        let max_silence = self.timings.lease * UNREACHABLE_LEASES;
        let own = self.identity.incarnation;
        let is_reachable = |member| member == own || self.silence(member, now) < max_silence;
        let leads_briefly = now.since(self.leader_since(now)) <= max_silence;
        let members = self.agreed.members.members();
        let info = |replica_id: &u64| {
            let replica_id = *replica_id;
            match members.iter().find(|(_, member)| member.replica_id == Some(replica_id)) {
                Some((incarnation, member)) => {
                    let (location, is_reachable) = (member.location, is_reachable(*incarnation));
                    ReplicaInfo { replica_id, location, is_reachable }
                }
                None => ReplicaInfo { replica_id, location: UNKNOWN_LOCATION, is_reachable: leads_briefly },
            }
        };
        self.agreed.voters.iter().map(info).collect()
    }

    /// Replicas that may become voters: a new voter that is unreachable is one less that may fail.
    fn voter_candidates(&self, now: Moment) -> Vec<ReplicaInfo> {
        let max_silence = self.timings.heartbeat_interval * CANDIDATE_SILENCE_HEARTBEATS;
        let was_heard = |member| self.failure_detector.silence(member, now, Moment::default()) < max_silence;
        let candidate = |(incarnation, member): (&Incarnation, &Member)| {
            let replica_id = member.replica_id?;
            let is_candidate = !self.agreed.voters.contains(&replica_id) && was_heard(*incarnation);
            is_candidate.then_some(ReplicaInfo { replica_id, location: member.location, is_reachable: true })
        };
        self.agreed.members.members().iter().filter_map(candidate).collect()
    }

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
