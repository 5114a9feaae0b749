//! This router's part in the division of the fleet's budgets.

use tindoor::time::Moment;
use tindoor_membership::Incarnation;
use tindoor_policy::{PolicyVersion, budgets};
use tindoor_quota::{Participant, QuotaRequest};

use super::Node;
use crate::messages::Message;
use crate::replica::Replica;

/// Leases after which lenders that were skipped as unresponsive are asked again.
const SKIPPED_LENDERS_LEASES: f64 = 4.0;

/// The generations whose budgets are divided.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PlannedGenerations {
    /// The generation in force; 0 for none.
    active: u64,
    /// The decided generation that follows it; 0 for none.
    next: u64,
}

/// Members of the own location that were skipped as lenders, as they did not respond.
pub(super) struct SkippedLenders {
    /// How many.
    pub count: usize,
    /// When the number last changed.
    pub since: Moment,
}

impl Node {
    /// What this router may spend of the fleet's budgets.
    pub fn quota(&mut self) -> &mut Participant {
        &mut self.quota
    }

    /// Plans the division of budgets under the policy that this router goes by, and under the decided one.
    pub(super) fn plan_quota(&mut self, now: Moment) {
        let decided = self.agreed.staged.as_ref().filter(|staged| staged.is_decided());
        let next = decided
            .map(|staged| &staged.version)
            .filter(|next| next.generation > self.newest_used_generation);
        let active = match decided {
            Some(staged) if staged.version.generation <= self.newest_used_generation => Some(&staged.version),
            _ => self.agreed.in_force.as_ref(),
        };
        let generation = |version: Option<&PolicyVersion>| version.map_or(0, |version| version.generation);
        let planned = PlannedGenerations { active: generation(active), next: generation(next) };
        if self.planned_generations == Some(planned) {
            return;
        }
        let plan = |version: &PolicyVersion| budgets::plan(&version.policy);
        self.quota.set_plan(now, active.map(plan).unwrap_or_default(), next.map(plan));
        self.planned_generations = Some(planned);
    }

    /// Requests quota, or, where this router leads, takes up the division of it.
    pub(super) fn reconcile_quota(&mut self, now: Moment) {
        self.plan_quota(now);
        if !self.is_member() {
            self.member_since = None;
        } else if self.member_since.is_none() {
            self.member_since = Some(now);
        }
        // A process that had this name before accepts no more requests a lease after it was removed: from
        // then on its guaranteed minimum is this one's.
        let lease = self.timings.lease + self.timings.drift(self.timings.lease);
        self.quota.set_owns_guaranteed(now, self.member_since.is_some_and(|since| now.since(since) >= lease));
        if self.quota.is_idle() {
            return;
        }
        let term = self.replica.as_ref().and_then(Replica::led_term);
        match term.filter(|_| self.is_member()) {
            Some(term) => {
                let confirmed = self.leadership_confirmed.filter(|(confirmed, _)| *confirmed == term);
                self.quota.lead(now, term, confirmed.map(|(_, at)| at));
            }
            None => {
                self.quota.follow();
                self.request_quota(now);
            }
        }
        let members = &self.agreed.members;
        self.quota.retain(now, |member| members.contains(member));
    }

    fn request_quota(&mut self, now: Moment) {
        if let Some(lender) = self.lender(now)
            && let Some(request) = self.quota.next_request(now)
        {
            self.send(&lender, Message::QuotaRequest(request));
        }
    }

    /// Grants quota to a member. Quota that was granted to another process would be nobody's until it
    /// expired.
    pub(super) fn grant_quota(
        &mut self,
        now: Moment,
        requester: Incarnation,
        address: &str,
        request: QuotaRequest,
    ) {
        if !self.agreed.members.contains(requester) {
            return;
        }
        if let Some(grant) = self.quota.grant_request(now, requester, request) {
            self.send(address, Message::QuotaGrant(grant));
        }
    }

    /// Who is asked for quota: the leader; in a large fleet the first responsive member of the own location,
    /// which asks the leader.
    fn lender(&mut self, now: Moment) -> Option<String> {
        if !self.is_member() {
            return None;
        }
        if self.agreed.members.members().len() > self.limits.direct_quota_members {
            self.update_skipped_lenders(now);
            if let Some(address) = self.local_lender() {
                return Some(address);
            }
        }
        self.leader_address().filter(|leader| *leader != self.identity.address)
    }

    fn update_skipped_lenders(&mut self, now: Moment) {
        if self.quota.unanswered_requests() >= self.limits.unanswered_quota_requests {
            self.quota.reset_unanswered_requests();
            self.skipped_lenders = SkippedLenders { count: self.skipped_lenders.count + 1, since: now };
        } else if now.since(self.skipped_lenders.since) > self.timings.lease * SKIPPED_LENDERS_LEASES {
            self.skipped_lenders = SkippedLenders { count: 0, since: now };
        }
    }

    /// The first member of the own location that was not skipped, if it comes before this router.
    fn local_lender(&self) -> Option<String> {
        let members = self.agreed.members.members().iter();
        let mut local = members.filter(|(_, member)| member.location == self.identity.location);
        let (lender, member) = local.nth(self.skipped_lenders.count)?;
        (*lender < self.identity.incarnation).then(|| member.address.clone())
    }
}
