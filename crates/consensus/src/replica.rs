//! A replica of the log. Drives the `raft` library and returns its writes and messages in the order that the
//! library requires.

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

/// The minimum number of ticks without a message from a leader after which a voter campaigns.
const ELECTION_TICKS: usize = 12;

/// The number of ticks between a leader's `raft` heartbeats.
const HEARTBEAT_TICKS: usize = 3;

/// The interval in which snapshots without a response are sent again, in ticks.
const SNAPSHOT_RETRY_TICKS: u64 = 10;

/// The number of log entries at which the log is compacted into a snapshot.
const COMPACTION_THRESHOLD_ENTRIES: usize = 512;

/// The maximum size of an append message, in bytes.
const MAX_APPEND_BYTES: u64 = 64 << 10;

/// The maximum number of append messages in flight to one follower.
const MAX_APPENDS_IN_FLIGHT: usize = 64;

/// The maximum total size of proposed entries that are not yet committed, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// A replica of the log: the `raft` library with the log, and the output that waits for writes.
pub(crate) struct Replica {
    raw: RawNode<RaftLog>,
    replica_id: u64,
    /// Batches whose writes have not yet completed, in order.
    unpersisted: VecDeque<Batch>,
    /// The number of ticks since the start.
    ticks: u64,
    /// A compaction that waits until the library has recorded its entries as applied.
    pending_compaction: Option<Compaction>,
    /// The write of a compaction. It is merged into the next write.
    compaction_write: Option<StorageWrite>,
}

/// Messages and applied entries that depend on one write.
struct Batch {
    /// The number that the library assigned to the batch and its write.
    number: u64,
    /// Whether the write has not yet completed.
    is_writing: bool,
    /// Messages to send after the write has completed.
    messages: Vec<Message>,
    /// The index of the last entry that was applied with this batch, or 0 if there is none.
    applied: u64,
}

/// The output of a step of the replica.
#[derive(Default)]
pub(crate) struct ReplicaOutput {
    /// Encoded messages with the replica ids of their recipients.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Writes to stable storage, in order.
    pub writes: Vec<StorageWrite>,
    /// An encoded replicated state that replaces the current one. It precedes the entries in `committed`.
    pub installed: Option<Vec<u8>>,
    /// Committed entries with their indexes.
    pub committed: Vec<(u64, LogEntry)>,
    /// Reads that a quorum confirmed: the number of the request, and the commit index when it was made.
    pub confirmed_reads: Vec<(u64, u64)>,
}

impl Replica {
    /// Starts a replica with the given log.
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
        let discard_logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &discard_logger)?;
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

    /// Derives the election timeout from the replica id, the term and the ticks. By default the library draws
    /// it from the system's random number generator, which would make simulations impossible to replay.
    fn set_election_timeout(&mut self) {
        let hash =
            self.replica_id ^ self.raw.raft.term.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (self.ticks >> 6);
        let hash = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        let extra_ticks = ((hash >> 32) as usize) % ELECTION_TICKS;
        self.raw.raft.set_randomized_election_timeout(ELECTION_TICKS + extra_ticks);
    }

    /// Advances the library's clock by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.raw.tick();
        self.set_election_timeout();
        if self.ticks.is_multiple_of(SNAPSHOT_RETRY_TICKS) && self.is_leader() {
            self.retry_snapshots();
        }
    }

    /// Reports unanswered snapshots as failed, so that the library sends them again. Otherwise the library
    /// would wait forever for the response to a snapshot that was lost, or that was rejected because the
    /// recipient is not among the voters in the snapshot.
    fn retry_snapshots(&mut self) {
        let awaits_response = |progress: &raft::Progress| progress.state == ProgressState::Snapshot;
        let tracker = self.raw.raft.prs().iter();
        let replica_ids: Vec<u64> = tracker
            .filter(|(_, progress)| awaits_response(progress))
            .map(|(replica_id, _)| *replica_id)
            .collect();
        for replica_id in replica_ids {
            self.raw.report_snapshot(replica_id, SnapshotStatus::Failure);
        }
    }

    /// Starts an election immediately. Used when a fleet was just bootstrapped.
    pub fn campaign(&mut self) {
        let _ = self.raw.campaign();
        self.set_election_timeout();
    }

    /// Handles a message from another replica. Drops messages that can't be decoded or have another
    /// recipient.
    pub fn step(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.to == self.replica_id
        {
            let _ = self.raw.step(message);
            self.set_election_timeout();
        }
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Returns the replica id of the leader, or 0 if no leader is known.
    pub fn leader_id(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// Returns the index of the last entry that the library has recorded as applied.
    pub fn applied(&self) -> u64 {
        self.raw.raft.raft_log.applied
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Returns the current term. `None` if this replica is not the leader.
    pub fn led_term(&self) -> Option<u64> {
        self.is_leader().then(|| self.term())
    }

    /// Proposes an entry. Returns false if this replica is not the leader, or if too many bytes are
    /// uncommitted.
    pub fn propose(&mut self, entry: &LogEntry) -> bool {
        let data = postcard::to_stdvec(entry).expect("plain values can be encoded");
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes a change of the voters by joint consensus. Returns false if the proposal is rejected.
    ///
    /// From the commit of the change until the commit of
    /// [`finish_membership_change`](Self::finish_membership_change), the voters before the change and the
    /// voters after it must both agree.
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
        // The change is finished explicitly. The library's automatic finish is lost if its leader fails.
        change.set_transition(ConfChangeTransition::Explicit);
        change.changes = added.chain(removed).map(single).collect::<Vec<_>>().into();
        self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Proposes to finish a membership change: once committed, only the voters after the change vote. Returns
    /// false if the proposal is rejected.
    pub fn finish_membership_change(&mut self) -> bool {
        self.raw.propose_conf_change(Vec::new(), ConfChangeV2::default()).is_ok()
    }

    /// Transfers the leadership to another replica.
    pub fn transfer_leadership(&mut self, replica_id: u64) {
        self.raw.transfer_leader(replica_id);
    }

    /// Requests the read index, that is, the commit index confirmed by a quorum. The result has the same
    /// number.
    pub fn request_read(&mut self, number: u64) {
        self.raw.read_index(number.to_be_bytes().to_vec());
    }

    /// Handles the completion of a write: it and all earlier writes are on stable storage.
    pub fn write_completed(&mut self, number: u64) -> ReplicaOutput {
        for batch in self.unpersisted.iter_mut().filter(|batch| batch.number <= number) {
            batch.is_writing = false;
        }
        self.advance()
    }

    /// Compacts the entries up to `index` into a snapshot if the log has reached the compaction threshold, or
    /// if `force` is set. The caller sets `force` when the voters change, because a new voter rejects a
    /// snapshot in which it is not yet a voter.
    pub fn compact(&mut self, index: u64, force: bool, agreed: &AgreedState) {
        let log = self.raw.store();
        let is_full = log.len() >= COMPACTION_THRESHOLD_ENTRIES && self.pending_compaction.is_none();
        if (force || is_full) && index > log.base() {
            // Uses the voters agreed at `index`, because the library's own record of the voters may lag
            // behind.
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

    /// Performs the pending compaction once the library has recorded its entries as applied. Until then the
    /// library still reads these entries from the log.
    fn compact_applied(&mut self) {
        let applied = self.applied();
        if let Some(compaction) = self.pending_compaction.take_if(|pending| pending.index <= applied) {
            let write = self.compaction_write.get_or_insert_default();
            self.raw.mut_store().compact(compaction, write);
        }
    }

    /// Returns all output that is ready now.
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
            let committed = self.decode_committed(ready.take_committed_entries(), &mut output);
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

    /// Updates the log with the snapshot, entries and hard state in `ready`. Returns the index of the
    /// snapshot, if there is one.
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

    /// Decodes committed entries. Returns the index of the last entry, if there is one.
    fn decode_committed(&mut self, entries: Vec<Entry>, output: &mut ReplicaOutput) -> Option<u64> {
        let mut last = None;
        for entry in entries {
            last = Some(entry.index);
            let decoded = self.decode(&entry);
            output.committed.push((entry.index, decoded));
        }
        last
    }

    /// Decodes a committed entry. An entry that can't be decoded was proposed by a newer version of the
    /// program. It is treated as a no-op.
    fn decode(&mut self, entry: &Entry) -> LogEntry {
        match entry.get_entry_type() {
            EntryType::EntryNormal if !entry.data.is_empty() => {
                postcard::from_bytes(&entry.data).unwrap_or(LogEntry::NoOp)
            }
            EntryType::EntryConfChangeV2 => match ConfChangeV2::parse_from_bytes(&entry.data) {
                Ok(change) => self.apply_membership_change(&change),
                Err(_) => LogEntry::NoOp,
            },
            // The first entry of a leader is empty. `EntryConfChange` is the older form of a membership
            // change, which this program never proposes.
            EntryType::EntryNormal | EntryType::EntryConfChange => LogEntry::NoOp,
        }
    }

    fn apply_membership_change(&mut self, change: &ConfChangeV2) -> LogEntry {
        let Ok(ConfState { voters: mut replica_ids, voters_outgoing: mut leaving, .. }) =
            self.raw.apply_conf_change(change)
        else {
            return LogEntry::NoOp;
        };
        // The library would remain the leader after losing its vote, and would fail at the next response.
        if self.is_leader() && !replica_ids.contains(&self.replica_id) && !leaving.contains(&self.replica_id)
        {
            let term = self.term();
            self.raw.raft.become_follower(term, raft::INVALID_ID);
        }
        replica_ids.sort_unstable();
        leaving.sort_unstable();
        LogEntry::Voters { replica_ids, outgoing: leaving }
    }

    /// Releases the messages and applied entries of batches whose writes have completed.
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
