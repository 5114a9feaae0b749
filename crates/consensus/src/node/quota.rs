//! This router's part in the division of the fleet's budgets: it requests quota, and grants quota to others.

use tindoor::time::Moment;
use tindoor_membership::Incarnation;
use tindoor_policy::{PolicyVersion, budgets};
use tindoor_quota::{Participant, QuotaRequest};

use super::Node;
use crate::messages::Message;
use crate::replica::Replica;

/// The time after which lenders that were skipped as unresponsive are asked again, in leases.
const SKIPPED_LENDERS_LEASES: f64 = 4.0;

/// The generations whose budgets are currently divided.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PlannedGenerations {
    /// The generation in force here, or 0 if there is none.
    active: u64,
    /// The decided generation that will follow it, or 0 if there is none.
    next: u64,
}

/// Members of this router's location that are skipped as lenders because they did not respond.
pub(super) struct SkippedLenders {
    /// The number of skipped members, counted from the first member of the location.
    pub count: usize,
    /// When the number was last changed or reset.
    pub since: Moment,
}

impl Node {
    /// Returns this router's share of the fleet's budgets.
    pub fn quota(&mut self) -> &mut Participant {
        &mut self.quota
    }

    /// Plans the division of budgets under the policy that this router applies, and under the decided policy
    /// that will follow it.
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

    /// Requests quota. If this router is the leader, divides the budgets instead.
    pub(super) fn reconcile_quota(&mut self, now: Moment) {
        self.plan_quota(now);
        if !self.is_member() {
            self.member_since = None;
        } else if self.member_since.is_none() {
            self.member_since = Some(now);
        }
        // A previous process with this router's name may accept requests until one lease after its removal.
        // Only then does its guaranteed minimum pass to this process.
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

    /// Sends a quota request to the lender, if one is due.
    fn request_quota(&mut self, now: Moment) {
        if let Some(lender) = self.lender(now)
            && let Some(request) = self.quota.next_request(now)
        {
            self.send(&lender, Message::QuotaRequest(request));
        }
    }

    /// Grants quota to a member. Ignores requests from processes that are not members: quota granted to such
    /// a process would be lost to the fleet until it expired.
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

    /// Returns the address of the router from which this router requests quota: the leader, or in a large
    /// fleet the first responsive member of this router's location. That member requests quota from the
    /// leader.
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

    /// Skips one more lender after too many unanswered requests. Stops skipping lenders after
    /// `SKIPPED_LENDERS_LEASES`.
    fn update_skipped_lenders(&mut self, now: Moment) {
        if self.quota.unanswered_requests() >= self.limits.unanswered_quota_requests {
            self.quota.reset_unanswered_requests();
            self.skipped_lenders = SkippedLenders { count: self.skipped_lenders.count + 1, since: now };
        } else if now.since(self.skipped_lenders.since) > self.timings.lease * SKIPPED_LENDERS_LEASES {
            self.skipped_lenders = SkippedLenders { count: 0, since: now };
        }
    }

    /// Returns the address of the first member of this router's location that is not skipped, if that member
    /// precedes this router in the order of members.
    fn local_lender(&self) -> Option<String> {
        let members = self.agreed.members.members().iter();
        let mut local = members.filter(|(_, member)| member.location == self.identity.location);
        let (lender, member) = local.nth(self.skipped_lenders.count)?;
        (*lender < self.identity.incarnation).then(|| member.address.clone())
    }
}
