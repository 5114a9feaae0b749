//! The log of one voter as the `raft` library reads it, and what is to be written of it where it lasts.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// What is to be written, all of it or nothing, before what depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorageWrite {
    /// Counted from 1, in the order in which they are to be written.
    pub number: u64,
    pub hard: Option<Vec<u8>>,
    /// Replaces all entries up to its index.
    pub snapshot: Option<Vec<u8>>,
    /// With their indexes; whatever was there from the first of them on goes.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries before that index go.
    pub cut_before: Option<u64>,
}

/// What was read from where it lasts, at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    pub hard: Vec<u8>,
    pub snapshot: Vec<u8>,
    /// In their order, without gaps.
    pub entries: Vec<(u64, Vec<u8>)>,
}

#[derive(Debug, Default)]
pub struct Log {
    hard: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Reads what was kept; none where it doesn't fit together.
    pub fn read(kept: &StoredState) -> Option<Self> {
        let hard = HardState::parse_from_bytes(&kept.hard).ok()?;
        let snapshot = Snapshot::parse_from_bytes(&kept.snapshot).ok()?;
        let base = snapshot.get_metadata().index;
        let mut entries = VecDeque::new();
        for (index, bytes) in kept.entries.iter().filter(|(index, _)| *index > base) {
            let entry = Entry::parse_from_bytes(bytes).ok()?;
            let next = entries.back().map_or(base, |last: &Entry| last.index) + 1;
            if entry.index != *index || *index != next {
                return None;
            }
            entries.push_back(entry);
        }
        let log = Self { hard, snapshot, entries };
        (log.hard.commit <= log.last()).then_some(log)
    }

    /// A log that begins with this as all there is.
    pub fn begin(data: Vec<u8>, replica_id: u64) -> Self {
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = 1;
        snapshot.mut_metadata().term = 1;
        snapshot.mut_metadata().mut_conf_state().voters = vec![replica_id];
        snapshot.data = data.into();
        let mut hard = HardState::default();
        (hard.term, hard.commit) = (1, 1);
        Self { hard, snapshot, entries: VecDeque::new() }
    }

    /// The whole of it, to be written as the first.
    pub fn whole(&self) -> StorageWrite {
        let bytes = |entry: &Entry| (entry.index, entry.write_to_bytes().expect("an entry has a form"));
        StorageWrite {
            hard: Some(self.hard.write_to_bytes().expect("a state has a form")),
            snapshot: Some(self.snapshot.write_to_bytes().expect("a snapshot has a form")),
            entries: self.entries.iter().map(bytes).collect(),
            ..StorageWrite::default()
        }
    }

    pub fn snapshot_data(&self) -> &[u8] {
        &self.snapshot.data
    }

    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.entries.back().map_or(self.base(), |last| last.index)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn set_hard(&mut self, hard: HardState, write: &mut StorageWrite) {
        write.hard = Some(hard.write_to_bytes().expect("a state has a form"));
        self.hard = hard;
    }

    pub fn append(&mut self, new: &[Entry], write: &mut StorageWrite) {
        let Some(first) = new.first() else { return };
        while self.entries.back().is_some_and(|last| last.index >= first.index) {
            self.entries.pop_back();
        }
        debug_assert_eq!(first.index, self.last() + 1);
        let bytes = |entry: &Entry| (entry.index, entry.write_to_bytes().expect("an entry has a form"));
        write.entries.extend(new.iter().map(bytes));
        self.entries.extend(new.iter().cloned());
    }

    /// A snapshot from the leader in place of all there is.
    pub fn install(&mut self, snapshot: Snapshot, write: &mut StorageWrite) {
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(snapshot.get_metadata().index);
        write.snapshot = Some(snapshot.write_to_bytes().expect("a snapshot has a form"));
        self.snapshot = snapshot;
    }

    /// What was applied up to `index` stands in `data` from now on, and its entries go.
    pub fn compact(&mut self, index: u64, conf: ConfState, data: Vec<u8>, write: &mut StorageWrite) {
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = index;
        snapshot.mut_metadata().term = term;
        snapshot.mut_metadata().set_conf_state(conf);
        snapshot.data = data.into();
        write.snapshot = Some(snapshot.write_to_bytes().expect("a snapshot has a form"));
        write.cut_before = Some(index + 1);
        while self.entries.front().is_some_and(|first| first.index <= index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        let conf = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard.clone(), conf))
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
