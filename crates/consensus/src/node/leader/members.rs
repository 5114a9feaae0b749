//! The leader's maintenance of the member list.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};
use tindoor_policy::LogEntry;

use super::super::Node;

/// The time, in addition to the quorum loss grace, after which a superseded member list is discarded and a
/// silent member is removed, in leases.
const RETENTION_LEASES: f64 = 2.0;

impl Node {
    /// Proposes to add a member, if the fleet has room for one more or if it replaces a member of the same
    /// name.
    pub(super) fn add_member(
        &mut self,
        now: Moment,
        incarnation: Incarnation,
        member: Member,
        predecessor: Option<Incarnation>,
    ) {
        let replaces = self.agreed.members.find_by_name(&member.name).is_some();
        let is_new = self.agreed.members.get(incarnation) != Some(&member);
        if is_new && (replaces || self.has_room_for_member()) {
            self.propose(now, LogEntry::Join { incarnation, member, predecessor });
        }
    }

    /// Proposes to remove a member. `ended` states that its process is known to accept no more requests.
    pub(super) fn remove_member(&mut self, now: Moment, incarnation: Incarnation, ended: bool) {
        if self.agreed.members.contains(incarnation) {
            self.propose(now, LogEntry::Leave { incarnation, ended });
        }
    }

    /// Proposes to discard superseded member lists that no router can still use, and to remove a member that
    /// has been silent for longer than the retention period.
    pub(super) fn reconcile_members(&mut self, now: Moment) {
        let grace = self.timings.quorum_loss_grace;
        let retention = grace + self.timings.lease * RETENTION_LEASES + self.timings.drift(grace);
        let is_expired = |at: Moment| now.since(at) > retention;
        let oldest = self.agreed.members.oldest_superseded();
        let oldest = oldest.filter(|index| self.observed_at(*index).is_some_and(is_expired));
        // While a change is staged, old lists are kept: they may still determine whose confirmations are
        // needed.
        if let Some(oldest) = oldest.filter(|_| self.agreed.staged.is_none()) {
            let expired = self.first_observed.range(oldest..).take_while(|(_, at)| is_expired(**at));
            let before = expired.last().map_or(oldest, |(index, _)| *index);
            self.propose(now, LogEntry::RetireLists { before });
        }
        let own = self.identity.incarnation;
        let is_long_silent = |member: &Incarnation| *member != own && self.silence(*member, now) > retention;
        let long_silent = self.agreed.members.members().keys().copied().find(is_long_silent);
        if let Some(member) = long_silent {
            self.remove_member(now, member, false);
        }
    }
}
