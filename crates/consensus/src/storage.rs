//! The in-memory log of a replica, which the `raft` library reads, and the corresponding writes to stable
//! storage.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// The term and the index of the snapshot with which the log of a new fleet begins.
const INITIAL_TERM_AND_INDEX: u64 = 1;

/// A write that must be atomic, and must be on stable storage before messages that depend on it are sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorageWrite {
    /// The number of the write. Writes are numbered from 1 in the order in which they must be performed. The
    /// write that bootstraps a storage has number 0.
    pub number: u64,
    /// The new encoded hard state (term, vote and commit index), if it changed.
    pub hard_state: Option<Vec<u8>>,
    /// The new encoded snapshot, if it changed. It replaces all stored entries unless `discard_before` is
    /// given.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries to append, with their indexes. Stored entries at or after the first of these indexes
    /// are discarded.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// If given, stored entries before this index are discarded.
    pub discard_before: Option<u64>,
}

/// The contents of a replica's storage when the replica starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The encoded hard state: term, vote and commit index.
    pub hard_state: Vec<u8>,
    /// The encoded snapshot.
    pub snapshot: Vec<u8>,
    /// The encoded entries with their indexes, in order and without gaps.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// The in-memory log of a replica.
#[derive(Debug, Default)]
pub(crate) struct RaftLog {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl RaftLog {
    /// Decodes the stored state. Returns `None` if it can't be decoded or is inconsistent.
    pub fn decode(stored: &StoredState) -> Option<Self> {
        let hard_state = HardState::parse_from_bytes(&stored.hard_state).ok()?;
        let snapshot = Snapshot::parse_from_bytes(&stored.snapshot).ok()?;
        let base = snapshot.get_metadata().index;
        let mut entries = VecDeque::new();
        for (index, bytes) in stored.entries.iter().filter(|(index, _)| *index > base) {
            let entry = Entry::parse_from_bytes(bytes).ok()?;
            let next = entries.back().map_or(base, |last: &Entry| last.index) + 1;
            if entry.index != *index || *index != next {
                return None;
            }
            entries.push_back(entry);
        }
        let log = Self { hard_state, snapshot, entries };
        (log.hard_state.commit <= log.last()).then_some(log)
    }

    /// Returns the log of a new fleet: a snapshot with the given data and a single voter.
    pub fn bootstrap(data: Vec<u8>, replica_id: u64) -> Self {
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = INITIAL_TERM_AND_INDEX;
        snapshot.mut_metadata().term = INITIAL_TERM_AND_INDEX;
        snapshot.mut_metadata().mut_conf_state().voters = vec![replica_id];
        snapshot.data = data.into();
        let mut hard_state = HardState::default();
        (hard_state.term, hard_state.commit) = (INITIAL_TERM_AND_INDEX, INITIAL_TERM_AND_INDEX);
        Self { hard_state, snapshot, entries: VecDeque::new() }
    }

    /// Returns the whole log as a single write.
    pub fn to_write(&self) -> StorageWrite {
        StorageWrite {
            hard_state: Some(encode(&self.hard_state)),
            snapshot: Some(encode(&self.snapshot)),
            entries: self.entries.iter().map(indexed_bytes).collect(),
            ..StorageWrite::default()
        }
    }

    /// Returns the encoded replicated state in the snapshot. Empty if there is no snapshot.
    pub fn snapshot_data(&self) -> &[u8] {
        &self.snapshot.data
    }

    /// Returns the index of the snapshot.
    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the index of the last entry, or of the snapshot if no entries follow it.
    fn last(&self) -> u64 {
        self.entries.back().map_or(self.base(), |last| last.index)
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Sets the term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: HardState, write: &mut StorageWrite) {
        write.hard_state = Some(encode(&hard_state));
        self.hard_state = hard_state;
    }

    /// Appends entries. Existing entries at or after the index of the first new entry are discarded.
    pub fn append(&mut self, entries: &[Entry], write: &mut StorageWrite) {
        let Some(first) = entries.first() else { return };
        while self.entries.back().is_some_and(|last| last.index >= first.index) {
            self.entries.pop_back();
        }
        debug_assert_eq!(first.index, self.last() + 1);
        write.entries.extend(entries.iter().map(indexed_bytes));
        self.entries.extend(entries.iter().cloned());
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Snapshot, write: &mut StorageWrite) {
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.get_metadata().index);
        write.snapshot = Some(encode(&snapshot));
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to the index of the compaction by a snapshot of the replicated state at that
    /// index.
    pub fn compact(&mut self, compaction: Compaction, write: &mut StorageWrite) {
        let Compaction { index, voters, data } = compaction;
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        snapshot.mut_metadata().set_conf_state(voters);
        snapshot.data = data.into();
        write.snapshot = Some(encode(&snapshot));
        write.discard_before = Some(index + 1);
        while self.entries.front().is_some_and(|first| first.index <= index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }
}

/// A snapshot that will replace the log entries up to its index.
pub(crate) struct Compaction {
    /// The index of the last entry that is replaced.
    pub index: u64,
    /// The voters at that index.
    pub voters: ConfState,
    /// The encoded replicated state at that index.
    pub data: Vec<u8>,
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().expect("a message of the raft library can be encoded")
}

fn indexed_bytes(entry: &Entry) -> (u64, Vec<u8>) {
    (entry.index, encode(entry))
}

impl Storage for RaftLog {
    fn initial_state(&self) -> Result<RaftState> {
        let voters = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard_state.clone(), voters))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let base = self.base();
        if low <= base {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let range = (low - base - 1) as usize..(high - base - 1) as usize;
        let mut entries: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let base = self.base();
        if index == base {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < base {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - base - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.base() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
