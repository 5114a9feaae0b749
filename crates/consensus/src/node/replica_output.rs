//! Processes the output of the log replica: writes, messages, committed entries and confirmed reads.

use tindoor::time::Moment;
use tindoor_membership::Confirmation;

use super::Node;
use crate::actions::Action;
use crate::messages::Message;
use crate::replica::{Replica, ReplicaOutput};

impl Node {
    /// Handles the completion of the write with this number. It and all earlier writes must be on stable
    /// storage.
    pub fn write_completed(&mut self, now: Moment, number: u64) {
        if let Some(replica) = &mut self.replica {
            let output = replica.write_completed(number);
            self.handle_output(now, output);
        }
        self.advance_replica(now);
    }

    /// Processes the output of the replica until there is none, then reports a change of the leadership.
    pub(super) fn advance_replica(&mut self, now: Moment) {
        while let Some(replica) = &mut self.replica {
            let output = replica.advance();
            if !self.handle_output(now, output) {
                break;
            }
        }
        let term = self.replica.as_ref().and_then(Replica::led_term);
        if term != self.reported_term {
            self.reported_term = term;
            self.actions.push(Action::LeadershipChanged(term));
        }
    }

    /// Processes one output of the replica. Returns whether it contained anything after which the replica may
    /// have more output.
    fn handle_output(&mut self, now: Moment, output: ReplicaOutput) -> bool {
        let ReplicaOutput { messages, writes, installed, committed, confirmed_reads } = output;
        let has_progress =
            !(messages.is_empty() && writes.is_empty() && installed.is_none() && committed.is_empty());
        self.actions.extend(writes.into_iter().map(Action::Write));
        if let Some(data) = installed {
            self.install_snapshot(now, &data);
        }
        for (index, entry) in committed {
            self.apply_entry(now, index, entry);
        }
        for (number, index) in confirmed_reads {
            self.handle_confirmed_read(number, index);
        }
        for (replica_id, bytes) in messages {
            if let Some(address) = self.replica_address(replica_id).map(str::to_string) {
                self.send(&address, Message::Raft(bytes));
            }
        }
        has_progress
    }

    /// Handles a quorum's confirmation that this router was the leader when it requested the read, and that
    /// `index` was the commit index at that time.
    fn handle_confirmed_read(&mut self, number: u64, index: u64) {
        let Some(at) = self.read_requests.remove(&number) else { return };
        // The confirmation permits quota grants only if this router has applied everything up to `index`.
        let is_applied = index <= self.agreed.index;
        if let Some(term) = self.replica.as_ref().and_then(Replica::led_term).filter(|_| is_applied) {
            self.leadership_confirmed = Some((term, at)).max(self.leadership_confirmed);
        }
        self.lease.confirm_by_quorum(&self.timings, self.agreed.index, Confirmation { index, at });
    }
}
