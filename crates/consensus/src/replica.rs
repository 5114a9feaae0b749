//! One replica of the log: the `raft` library with what it wants written and sent, in the order that it
//! needs.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType,
    Message,
};
use raft::{ProgressState, RawNode, ReadState, Ready, SnapshotStatus, StateRole};
use tindoor_policy::{AgreedState, LogEntry};

use crate::membership_change::MembershipChange;
use crate::storage::{Compaction, RaftLog, StorageWrite};

/// Ticks until a voter that hears from no leader campaigns.
const ELECTION_TICKS: usize = 12;

/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 3;

/// Ticks until a snapshot without a response is sent again.
const SNAPSHOT_RETRY_TICKS: u64 = 10;

/// Entries that are kept before they are compacted into a snapshot.
const COMPACTION_THRESHOLD_ENTRIES: usize = 512;

/// The largest message of log entries, in bytes.
const MAX_APPEND_BYTES: u64 = 64 << 10;

/// Append messages in flight to one follower.
const MAX_APPENDS_IN_FLIGHT: usize = 64;

/// Proposed entries that are not yet committed, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// The `raft` library with this replica's log.
pub(crate) struct Replica {
    raw: RawNode<RaftLog>,
    replica_id: u64,
    /// Batches that wait for their write, in order.
    unpersisted: VecDeque<Batch>,
    ticks: u64,
    /// A compaction that waits until the library counts its entries as applied.
    pending_compaction: Option<Compaction>,
    /// The write of a compaction, which is done with the next write.
    compaction_write: Option<StorageWrite>,
}

/// What depends on one write.
struct Batch {
    /// The library's number of it.
    number: u64,
    /// Whether its write is not yet done.
    is_writing: bool,
    /// Messages to be sent after the write.
    messages: Vec<Message>,
    /// The index of the last entry that was applied with it; 0 for none.
    applied: u64,
}

/// What a step of the replica led to.
#[derive(Default)]
pub(crate) struct ReplicaOutput {
    /// Messages with the replica ids of their recipients.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// What is to be written.
    pub writes: Vec<StorageWrite>,
    /// A replicated state that takes the place of all before.
    pub installed: Option<Vec<u8>>,
    /// Committed entries with their indexes.
    pub committed: Vec<(u64, LogEntry)>,
    /// Reads that a quorum confirmed: the request's number, and the commit index at the request.
    pub confirmed_reads: Vec<(u64, u64)>,
}

impl Replica {
    /// Starts a replica with this log.
    pub fn start(replica_id: u64, log: RaftLog) -> raft::Result<Self> {
        let config = raft::Config {
            id: replica_id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: log.base(),
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_APPENDS_IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &silent)?;
        let mut replica = Self {
            raw,
            replica_id,
            unpersisted: VecDeque::new(),
            ticks: 0,
            pending_compaction: None,
            compaction_write: None,
        };
        replica.set_election_timeout();
        Ok(replica)
    }

    /// Derives the election timeout from replica id, term and ticks. The library draws it from the system's
    /// random numbers, and a simulation could not be replayed.
    fn set_election_timeout(&mut self) {
        let mixed =
            self.replica_id ^ self.raw.raft.term.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (self.ticks >> 6);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        let extra = ((mixed >> 32) as usize) % ELECTION_TICKS;
        self.raw.raft.set_randomized_election_timeout(ELECTION_TICKS + extra);
    }

    /// Advances the library's time by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.raw.tick();
        self.set_election_timeout();
        if self.ticks.is_multiple_of(SNAPSHOT_RETRY_TICKS) && self.is_leader() {
            self.retry_snapshots();
        }
    }

    /// Reports snapshots as failed, so that they are sent again: one may have been lost, or refused by a
    /// replica that is not in it, and the library would wait for its response for ever.
    fn retry_snapshots(&mut self) {
        let awaiting = |progress: &raft::Progress| progress.state == ProgressState::Snapshot;
        let tracker = self.raw.raft.prs().iter();
        let replica_ids: Vec<u64> =
            tracker.filter(|(_, progress)| awaiting(progress)).map(|(replica_id, _)| *replica_id).collect();
        for replica_id in replica_ids {
            self.raw.report_snapshot(replica_id, SnapshotStatus::Failure);
        }
    }

    /// Campaigns at once, for a fleet that was just bootstrapped.
    pub fn campaign(&mut self) {
        let _ = self.raw.campaign();
        self.set_election_timeout();
    }

    /// Handles a message of another replica. One that can't be decoded is dropped.
    pub fn step(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.to == self.replica_id
        {
            let _ = self.raw.step(message);
            self.set_election_timeout();
        }
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The replica id of the leader; 0 where none is known.
    pub fn leader_id(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// The index of the last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.raw.raft.raft_log.applied
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// The current term, if this replica leads in it.
    pub fn led_term(&self) -> Option<u64> {
        self.is_leader().then(|| self.term())
    }

    /// Proposes an entry. False where this replica does not lead, or where too much is uncommitted.
    pub fn propose(&mut self, entry: &LogEntry) -> bool {
        let data = postcard::to_stdvec(entry).expect("plain values can be encoded");
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes a change of the voters. From its commit on, until that of
    /// [`finish_membership_change`](Self::finish_membership_change), the voters before and after it must both
    /// agree.
    pub fn begin_membership_change(&mut self, planned: &MembershipChange) -> bool {
        let single = |(replica_id, kind): (u64, ConfChangeType)| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = replica_id;
            single
        };
        let added = planned.added.iter().map(|replica_id| (*replica_id, ConfChangeType::AddNode));
        let removed = planned.removed.iter().map(|replica_id| (*replica_id, ConfChangeType::RemoveNode));
        let mut change = ConfChangeV2::default();
        // Finished explicitly: the library's own way of finishing may be lost with its leader.
        change.set_transition(ConfChangeTransition::Explicit);
        change.changes = added.chain(removed).map(single).collect::<Vec<_>>().into();
        self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Proposes that the voters before the change have no vote any more.
    pub fn finish_membership_change(&mut self) -> bool {
        self.raw.propose_conf_change(Vec::new(), ConfChangeV2::default()).is_ok()
    }

    /// Transfers the leadership to another replica.
    pub fn transfer_leadership(&mut self, replica_id: u64) {
        self.raw.transfer_leader(replica_id);
    }

    /// Requests the commit index, confirmed by a quorum; the result bears the same number.
    pub fn request_read(&mut self, number: u64) {
        self.raw.read_index(number.to_be_bytes().to_vec());
    }

    /// That write, and all before it, is on stable storage.
    pub fn write_completed(&mut self, number: u64) -> ReplicaOutput {
        for batch in self.unpersisted.iter_mut().filter(|batch| batch.number <= number) {
            batch.is_writing = false;
        }
        self.advance()
    }

    /// Compacts the applied entries into a snapshot, where there are many of them, or where it is `due`: a
    /// new voter accepts no snapshot from before it was one.
    pub fn compact(&mut self, index: u64, due: bool, agreed: &AgreedState) {
        let log = self.raw.store();
        let is_full = log.len() >= COMPACTION_THRESHOLD_ENTRIES && self.pending_compaction.is_none();
        if (due || is_full) && index > log.base() {
            // The voters as agreed at that index: the library's own record of them may lag behind.
            let voters = ConfState {
                voters: agreed.voters.clone(),
                voters_outgoing: agreed.outgoing_voters.clone(),
                ..ConfState::default()
            };
            let data = postcard::to_stdvec(agreed).expect("plain values can be encoded");
            self.pending_compaction = Some(Compaction { index, voters, data });
            self.compact_applied();
        }
    }

    /// Carries out the pending compaction once the library counts its entries as applied: it reads its log up
    /// to there.
    fn compact_applied(&mut self) {
        let applied = self.applied();
        if let Some(compaction) = self.pending_compaction.take_if(|pending| pending.index <= applied) {
            let write = self.compaction_write.get_or_insert_default();
            self.raw.mut_store().compact(compaction, write);
        }
    }

    /// All that is due now.
    pub fn advance(&mut self) -> ReplicaOutput {
        let mut output = ReplicaOutput::default();
        loop {
            self.release_persisted(&mut output);
            if !self.raw.has_ready() {
                return output;
            }
            let mut ready = self.raw.ready();
            let number = ready.number();
            let mut write = self.compaction_write.take().unwrap_or_default();
            let installed = self.update_log(&mut ready, &mut write, &mut output);
            push_messages(ready.take_messages(), &mut output);
            output.confirmed_reads.extend(ready.take_read_states().into_iter().filter_map(confirmed_read));
            let committed = self.commit(ready.take_committed_entries(), &mut output);
            let is_writing = write != StorageWrite::default();
            if is_writing {
                write.number = number;
                output.writes.push(write);
            }
            let messages = ready.take_persisted_messages();
            let applied = committed.or(installed).unwrap_or(0);
            self.unpersisted.push_back(Batch { number, is_writing, messages, applied });
            self.raw.advance_append_async(ready);
        }
    }

    /// Updates the log by snapshot, entries and hard state. Returns the index of the snapshot, if there is
    /// one.
    fn update_log(
        &mut self,
        ready: &mut Ready,
        write: &mut StorageWrite,
        output: &mut ReplicaOutput,
    ) -> Option<u64> {
        let mut installed = None;
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            installed = Some(snapshot.get_metadata().index);
            output.installed = Some(snapshot.data.to_vec());
            output.committed.clear();
            self.raw.mut_store().install(snapshot, write);
        }
        let entries = ready.take_entries();
        self.raw.mut_store().append(&entries, write);
        if let Some(hard_state) = ready.hs().cloned() {
            self.raw.mut_store().set_hard_state(hard_state, write);
        }
        installed
    }

    /// Decodes committed entries. Returns the index of the last of them.
    fn commit(&mut self, entries: Vec<Entry>, output: &mut ReplicaOutput) -> Option<u64> {
        let mut last = None;
        for entry in entries {
            last = Some(entry.index);
            let decoded = self.decode(&entry);
            output.committed.push((entry.index, decoded));
        }
        last
    }

    /// An entry that can't be decoded was proposed by a newer version of the program: it changes nothing
    /// here.
    fn decode(&mut self, entry: &Entry) -> LogEntry {
        match entry.get_entry_type() {
            EntryType::EntryNormal if !entry.data.is_empty() => {
                postcard::from_bytes(&entry.data).unwrap_or(LogEntry::NoOp)
            }
            EntryType::EntryConfChangeV2 => match ConfChangeV2::parse_from_bytes(&entry.data) {
                Ok(change) => self.apply_membership_change(&change),
                Err(_) => LogEntry::NoOp,
            },
            // A leader's first entry is empty; this program proposes no changes of the older kind.
            EntryType::EntryNormal | EntryType::EntryConfChange => LogEntry::NoOp,
        }
    }

    fn apply_membership_change(&mut self, change: &ConfChangeV2) -> LogEntry {
        let Ok(ConfState { voters: mut replica_ids, voters_outgoing: mut leaving, .. }) =
            self.raw.apply_conf_change(change)
        else {
            return LogEntry::NoOp;
        };
        // The library goes on leading where it has no vote any more, and fails at the next response.
        if self.is_leader() && !replica_ids.contains(&self.replica_id) && !leaving.contains(&self.replica_id)
        {
            let term = self.term();
            self.raw.raft.become_follower(term, raft::INVALID_ID);
        }
        replica_ids.sort_unstable();
        leaving.sort_unstable();
        LogEntry::Voters { replica_ids, outgoing: leaving }
    }

    /// Sends what has waited for writes that are done.
    fn release_persisted(&mut self, output: &mut ReplicaOutput) {
        while let Some(batch) = self.unpersisted.pop_front_if(|batch| !batch.is_writing) {
            push_messages(batch.messages, output);
            self.raw.on_persist_ready(batch.number);
            if batch.applied > 0 {
                self.raw.advance_apply_to(batch.applied);
            }
            self.compact_applied();
        }
    }
}

fn push_messages(messages: Vec<Message>, output: &mut ReplicaOutput) {
    let encoded = |message: Message| Some((message.to, message.write_to_bytes().ok()?));
    output.messages.extend(messages.into_iter().filter_map(encoded));
}

fn confirmed_read(read: ReadState) -> Option<(u64, u64)> {
    Some((u64::from_be_bytes(read.request_ctx.try_into().ok()?), read.index))
}
