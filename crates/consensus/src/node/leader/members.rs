//! The leader's part in the member list.

use tindoor::time::Moment;
use tindoor_membership::{Incarnation, Member};
use tindoor_policy::LogEntry;

use super::super::Node;

/// Leases beyond the quorum loss grace, after which a superseded list is discarded and a silent member
/// removed.
const RETENTION_LEASES: f64 = 2.0;

impl Node {
    /// Adds a member, if there is room for one more, or if it replaces one of the same name.
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

    pub(super) fn remove_member(&mut self, now: Moment, incarnation: Incarnation, ended: bool) {
        if self.agreed.members.contains(incarnation) {
            self.propose(now, LogEntry::Leave { incarnation, ended });
        }
    }

    /// Discards superseded lists by which no router can go any more, and removes members that were silent for
    /// very long.
    pub(super) fn reconcile_members(&mut self, now: Moment) {
        let grace = self.timings.quorum_loss_grace;
        let retention = grace + self.timings.lease * RETENTION_LEASES + self.timings.drift(grace);
        let is_over = |at: Moment| now.since(at) > retention;
        let oldest = self.agreed.members.oldest_superseded();
        let oldest = oldest.filter(|index| self.observed_at(*index).is_some_and(is_over));
        // While a change is staged the old lists may still be what tells whose confirmations count.
        if let Some(oldest) = oldest.filter(|_| self.agreed.staged.is_none()) {
            let over = self.first_observed.range(oldest..).take_while(|(_, at)| is_over(**at));
            let before = over.last().map_or(oldest, |(index, _)| *index);
            self.propose(now, LogEntry::RetireLists { before });
        }
        let own = self.identity.incarnation;
        let is_gone = |member: &Incarnation| *member != own && self.silence(*member, now) > retention;
        let gone = self.agreed.members.members().keys().copied().find(is_gone);
        if let Some(member) = gone {
            self.remove_member(now, member, false);
        }
    }
}
