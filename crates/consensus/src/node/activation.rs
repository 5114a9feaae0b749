//! Determines which policy applies to requests and when a staged change is activated.

use tindoor::time::Moment;
use tindoor_membership::FleetTime;
use tindoor_policy::{PolicyVersion, Proposal, StagedChange};

use super::Node;
use crate::actions::Objection;
use crate::errors::RevertError;
use crate::status::UnavailableReason;

/// The decision of a staged change, as observed at this router.
#[derive(Clone, Copy)]
pub(super) struct ObservedDecision {
    /// When the decision was first observed, by the local clock.
    pub at: Moment,
    /// The generation that the change replaces.
    pub from_generation: u64,
    /// The generation of the change.
    pub to_generation: u64,
}

impl Node {
    /// Returns the policy that applies to a request accepted now, or the reason why no request may be
    /// accepted.
    pub fn active_policy(&mut self, now: Moment) -> Result<&PolicyVersion, UnavailableReason> {
        if !self.is_member() {
            return Err(UnavailableReason::NotAMember);
        }
        if self.checks.lease && !self.lease.is_valid(now) {
            return Err(UnavailableReason::LeaseExpired);
        }
        if self.is_clock_untrusted(now) {
            return Err(UnavailableReason::ClockUncertain);
        }
        let version = match self.activated_change(now)? {
            Some(staged) => &staged.version,
            None => self.agreed.in_force.as_ref().ok_or(UnavailableReason::NotAMember)?,
        };
        let objection = self.policy_checks.get(&version.generation).and_then(Option::as_ref);
        if objection.is_some_and(|objection| objection.permanent) {
            return Err(UnavailableReason::PolicyNotApplicable);
        }
        let generation = version.generation;
        if self.newest_used_generation < generation {
            self.newest_used_generation = generation;
            self.plan_quota(now);
        }
        self.version_of(generation).ok_or(UnavailableReason::NotAMember)
    }

    /// Returns the staged change if its activation time has passed. Fails if the fleet's time is not known
    /// precisely enough to tell.
    fn activated_change(&self, now: Moment) -> Result<Option<&StagedChange>, UnavailableReason> {
        let Some((staged, at)) =
            self.agreed.staged.as_ref().and_then(|staged| Some((staged, staged.activation_time?)))
        else {
            return Ok(None);
        };
        if staged.version.generation <= self.newest_used_generation {
            return Ok(Some(staged));
        }
        let time = self.fleet_time(now).ok_or(UnavailableReason::ClockUncertain)?;
        let is_precise = time.error_bound() <= self.timings.clock_bound;
        if is_precise || time.low >= at.0 || time.high < at.0 {
            Ok(Some(staged).filter(|_| time.midpoint() >= at.0))
        } else {
            Err(UnavailableReason::ClockUncertain)
        }
    }

    /// Returns the policy of a generation, if it is staged or in force.
    fn version_of(&self, generation: u64) -> Option<&PolicyVersion> {
        let staged = self.agreed.staged.as_ref().map(|staged| &staged.version);
        staged.into_iter().chain(&self.agreed.in_force).find(|version| version.generation == generation)
    }

    /// Returns the policy in force, whether or not this router may accept requests under it.
    pub fn in_force(&self) -> Option<&PolicyVersion> {
        self.agreed.in_force.as_ref()
    }

    /// Handles the result of an [`Action::CheckPolicy`](crate::Action::CheckPolicy): the objection, or `None`
    /// if this router can apply the policy.
    pub fn policy_checked(&mut self, now: Moment, generation: u64, objection: Option<Objection>) {
        self.policy_checks.insert(generation, objection);
        let (in_force, staged) = (self.agreed.generation(), self.agreed.staged.as_ref());
        let staged = staged.map(|staged| staged.version.generation);
        self.policy_checks
            .retain(|checked, _| *checked == in_force || Some(*checked) == staged || *checked == generation);
        self.send_policy_check(now);
        self.advance_replica(now);
    }

    /// Returns a proposal to revert the generation on probation: a new change that restores the previous
    /// policy.
    pub fn revert_proposal(
        &mut self,
        generation: u64,
        by: &str,
        note: &str,
    ) -> Result<Proposal, RevertError> {
        let on_probation = self.agreed.probation.as_ref();
        let Some(on_probation) = on_probation.filter(|on_probation| on_probation.generation == generation)
        else {
            return Err(RevertError::NotOnProbation { generation });
        };
        let policy = (*on_probation.previous.policy).clone();
        let token = self.new_token();
        let (by, note) = (by.to_string(), note.to_string());
        Ok(Proposal {
            token,
            base_generation: generation,
            policy,
            reverts: Some(generation),
            author: by,
            note,
        })
    }

    /// Returns the activation time of a decision made now. `None` while the fleet's time is not known
    /// precisely enough to set one.
    pub(super) fn activation_time(&self, now: Moment) -> Option<FleetTime> {
        let time = self.fleet_time(now)?;
        if !self.checks.staged_activation {
            return Some(FleetTime(time.midpoint()));
        }
        if time.error_bound() > self.timings.clock_bound * 0.5 || !self.agreed.has_enough_clocks() {
            return None;
        }
        let lease = self.timings.lease + self.timings.drift(self.timings.lease);
        Some(FleetTime(time.high).plus(lease + self.timings.clock_bound * 2.0))
    }
}
