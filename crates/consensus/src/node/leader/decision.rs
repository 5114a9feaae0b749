//! The leader's handling of the staged change: the leader decides it once no member objects and silent
//! members can no longer apply the old policy.

use tindoor::time::Moment;
use tindoor_membership::{FleetTime, Incarnation};
use tindoor_policy::{LogEntry, StagedChange};

use super::super::Node;

/// How long the leader waits for possible objections of silent members, as a fraction of a lease.
const OBJECTION_WAIT_LEASE_PART: f64 = 0.5;

/// The lease part of the maximum time from the decision of a change to its activation by any clock, in
/// leases.
const MAX_ACTIVATION_LEASES: f64 = 3.0;

/// The clock error part of that maximum time, in clock bounds.
const MAX_ACTIVATION_CLOCK_BOUNDS: f64 = 6.0;

impl Node {
    /// Records a member's check of the staged policy, then reconsiders the staged change.
    pub(super) fn record_policy_check(
        &mut self,
        now: Moment,
        generation: u64,
        member: Incarnation,
        objection: Option<String>,
    ) {
        let is_staged =
            self.agreed.staged.as_ref().is_some_and(|staged| staged.version.generation == generation);
        if is_staged
            && self.agreed.members.contains(member)
            && let Some(leadership) = &mut self.leadership
        {
            leadership.record_check(generation, member, objection);
        }
        self.reconcile_change(now);
    }

    /// Decides or cancels the staged change, or marks it as activated, whichever is due.
    pub(super) fn reconcile_change(&mut self, now: Moment) {
        let Some(staged) = self.agreed.staged.clone() else { return };
        let generation = staged.version.generation;
        match staged.activation_time {
            None => self.reconcile_decision(now, &staged),
            Some(at) if self.is_activated_everywhere(now, at) => {
                self.propose(now, LogEntry::Activated { generation });
            }
            Some(_) => {}
        }
    }

    /// Returns whether the activation time has passed at every router.
    fn is_activated_everywhere(&self, now: Moment, at: FleetTime) -> bool {
        match self.fleet_time(now) {
            Some(time) => time.low > at.plus(self.timings.clock_bound).0,
            // The fleet's time was lost. The local clock shows when the activation time has certainly passed.
            None => self.observed_decision.is_some_and(|decision| {
                let delay = self.timings.lease * MAX_ACTIVATION_LEASES
                    + self.timings.clock_bound * MAX_ACTIVATION_CLOCK_BOUNDS;
                now.since(decision.at) > delay + self.timings.drift(delay)
            }),
        }
    }

    /// Proposes to cancel or to decide an undecided change, if either is due.
    fn reconcile_decision(&mut self, now: Moment, staged: &StagedChange) {
        let generation = staged.version.generation;
        if self.leadership.is_none() {
            return;
        }
        if let Some(reason) = self.reason_to_cancel(now, staged) {
            return self.propose(now, LogEntry::Cancel { generation, reason });
        }
        let is_proposed = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.decision_proposed == Some(generation));
        if !is_proposed && self.may_decide(now, staged) {
            self.propose_decision(now, generation);
        }
    }

    /// Returns why the change must be cancelled: a member objected, or the decision took too long. `None` if
    /// there is no such reason.
    fn reason_to_cancel(&self, now: Moment, staged: &StagedChange) -> Option<String> {
        let results = self.leadership.as_ref()?.check_results(staged.version.generation);
        if let Some((member, objection)) =
            results.iter().find_map(|(member, result)| Some((member, result.as_ref()?)))
        {
            let known = self.agreed.members.get(*member);
            let name = known.map_or(member.to_string(), |member| member.name.clone());
            return Some(format!("{name}: {objection}"));
        }
        let (lease, grace) = (self.timings.lease, self.timings.quorum_loss_grace);
        let max_wait = (lease + grace) * 2.0 + self.timings.drift(grace);
        let waited = now.since(self.observed_at(staged.index).unwrap_or(now));
        (waited > max_wait).then(|| "no decision in time".into())
    }

    /// Returns whether the change may be decided: no member that is not informed of the change can apply the
    /// old policy beyond the activation time.
    fn may_decide(&self, now: Moment, staged: &StagedChange) -> bool {
        if !self.checks.staged_activation {
            return true;
        }
        let Some(leadership) = &self.leadership else { return false };
        let results = leadership.check_results(staged.version.generation);
        let proposed_at = self.observed_at(staged.index).unwrap_or(now);
        let waited = now.since(proposed_at) >= self.timings.lease * OBJECTION_WAIT_LEASE_PART;
        let members = &self.agreed.members;
        match members.rule_out_uninformed_majority(staged.index, |member| results.contains_key(&member)) {
            Ok(()) => waited || members.members().keys().all(|member| results.contains_key(member)),
            // A majority of a member list is silent. Its members may renew each other's leases until the
            // quorum loss grace has passed.
            Err(uninformed) => {
                let since = self.observed_at(uninformed.superseded_at).unwrap_or(proposed_at);
                let grace = self.timings.quorum_loss_grace;
                waited && now.since(since) > grace + self.timings.drift(grace)
            }
        }
    }

    /// Proposes the decision, if an activation time can be set.
    fn propose_decision(&mut self, now: Moment, generation: u64) {
        let Some(at) = self.activation_time(now) else { return };
        let (Some(replica), Some(leadership)) = (&mut self.replica, &mut self.leadership) else { return };
        if replica.propose(&LogEntry::Decide { generation, activation_time: at }) {
            leadership.decision_proposed = Some(generation);
        }
    }

    /// Returns whether this leader has proposed a decision that is not yet committed.
    pub(in crate::node) fn is_decision_uncommitted(&self) -> bool {
        let undecided = self.agreed.staged.as_ref().filter(|staged| !staged.is_decided());
        let proposed = self.leadership.as_ref().and_then(|leadership| leadership.decision_proposed);
        self.checks.staged_activation
            && undecided.is_some_and(|staged| proposed == Some(staged.version.generation))
    }
}
