//! The work of the leader: it maintains the members, the clocks, the voters, the staged change and the change
//! on probation.

mod clocks;
mod decision;
mod members;
mod probation;
mod voters;

use tindoor::time::{Moment, Span};
use tindoor_membership::Incarnation;
use tindoor_policy::LogEntry;

use super::Node;
use crate::leadership::Leadership;
use crate::messages::Command;
use crate::replica::Replica;

/// The time after which an entry that was proposed but not committed may be proposed again, in heartbeats.
const PROPOSAL_RETRY_HEARTBEATS: f64 = 6.0;

impl Node {
    /// Does the leader's periodic work at each heartbeat.
    pub(super) fn lead(&mut self, now: Moment) {
        let term = self.replica.as_ref().map_or(0, Replica::term);
        let current = self.leadership.take().filter(|leadership| leadership.term == term);
        let mut leadership = current.unwrap_or_else(|| Leadership::new(now, term));
        leadership.expire_proposals(now, self.timings.heartbeat_interval * PROPOSAL_RETRY_HEARTBEATS);
        self.leadership = Some(leadership);
        // A leader that was just elected may not yet have applied the entries that are already committed.
        if self.agreed.fleet == 0 {
            return;
        }
        self.reconcile_members(now);
        self.reconcile_clocks(now);
        self.reconcile_voters(now);
        self.reconcile_change(now);
        self.reconcile_probation(now);
    }

    /// Executes a command. This router must be the leader.
    pub(super) fn execute_command(&mut self, now: Moment, command: Command) {
        if self.leadership.is_none() {
            let term = self.replica.as_ref().map_or(0, Replica::term);
            self.leadership = Some(Leadership::new(now, term));
        }
        match command {
            Command::Join { incarnation, member, predecessor } => {
                self.add_member(now, incarnation, member, predecessor);
            }
            Command::Leave { incarnation } => self.remove_member(now, incarnation, true),
            Command::RemoveMember { name } => {
                if let Some(incarnation) = self.agreed.members.find_by_name(&name) {
                    self.remove_member(now, incarnation, true);
                }
            }
            Command::PolicyCheck { generation, incarnation, objection } => {
                self.record_policy_check(now, generation, incarnation, objection);
            }
            Command::Propose(proposal) => {
                if self.agreed.past_proposal(proposal.token).is_none() {
                    self.propose(now, LogEntry::Propose(proposal));
                }
            }
            Command::Withdraw { generation } => {
                self.propose(now, LogEntry::Cancel { generation, reason: "withdrawn".into() });
            }
            Command::ReportOutcomes { .. } => {}
        }
    }

    /// Proposes an entry, unless the same entry was already proposed and may not yet be committed.
    fn propose(&mut self, now: Moment, entry: LogEntry) {
        let (Some(replica), Some(leadership)) = (&mut self.replica, &mut self.leadership) else { return };
        if !leadership.is_proposed(&entry) && replica.propose(&entry) {
            leadership.record_proposal(now, entry);
        }
    }

    /// Returns when this router became the leader.
    fn leader_since(&self, now: Moment) -> Moment {
        self.leadership.as_ref().map_or(now, |leadership| leadership.since)
    }

    /// Returns how long a member has been silent, counted from the start of this leadership at the earliest.
    fn silence(&self, member: Incarnation, now: Moment) -> Span {
        self.failure_detector.silence(member, now, self.leader_since(now))
    }
}
