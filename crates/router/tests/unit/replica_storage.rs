use super::*;

/// The name of the database file, which must not change: a router would take its storage for lost.
const RECORDED_FILE_NAME: &str = "seat.redb";

/// A write of three entries from that index on.
fn write(number: u64, first: u64) -> StorageWrite {
    let entry = |index: u64| (index, vec![index as u8; 200]);
    let entries = (first..first + 3).map(entry).collect();
    StorageWrite { number, hard_state: Some(vec![number as u8]), entries, ..StorageWrite::default() }
}

type IoResult<T> = std::result::Result<T, std::io::Error>;

/// A disk that fails at one operation, by its number, and at all later ones. What was synced is kept; of what
/// was written since, each piece is kept or lost.
#[derive(Clone, Debug, Default)]
struct FailingDisk(std::sync::Arc<std::sync::Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    current: Vec<u8>,
    synced: Vec<u8>,
    unsynced_writes: Vec<(usize, Vec<u8>)>,
    fails_at: Option<u64>,
    operations: u64,
}

impl FailingDisk {
    fn operate<T>(&self, operation: impl FnOnce(&mut DiskState) -> T) -> IoResult<T> {
        let mut state = self.0.lock().unwrap();
        state.operations += 1;
        if state.fails_at.is_some_and(|at| state.operations >= at) {
            return Err(std::io::Error::other("the disk is gone"));
        }
        Ok(operation(&mut state))
    }

    /// What the next process finds. The bits of `kept_writes` tell which unsynced writes are kept.
    fn after_failure(&self, kept_writes: u64) -> Self {
        let mut state = self.0.lock().unwrap();
        let mut synced = std::mem::take(&mut state.synced);
        for (number, (at, bytes)) in state.unsynced_writes.iter().enumerate() {
            if (kept_writes >> (number % 64)) & 1 == 1 {
                synced.resize(synced.len().max(at + bytes.len()), 0);
                synced[*at..at + bytes.len()].copy_from_slice(bytes);
            }
        }
        let found = DiskState { current: synced.clone(), synced, ..DiskState::default() };
        Self(std::sync::Arc::new(std::sync::Mutex::new(found)))
    }
}

impl redb::StorageBackend for FailingDisk {
    fn len(&self) -> IoResult<u64> {
        self.operate(|state| state.current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> IoResult<()> {
        let at = offset as usize;
        let read = self
            .operate(|state| state.current.get(at..at + out.len()).map(|bytes| out.copy_from_slice(bytes)))?;
        read.ok_or_else(|| std::io::Error::other("beyond the end"))
    }

    fn set_len(&self, len: u64) -> IoResult<()> {
        self.operate(|state| state.current.resize(len as usize, 0))
    }

    fn sync_data(&self) -> IoResult<()> {
        self.operate(|state| {
            state.synced = state.current.clone();
            state.unsynced_writes.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> IoResult<()> {
        let at = offset as usize;
        self.operate(|state| {
            state.current.resize(state.current.len().max(at + data.len()), 0);
            state.current[at..at + data.len()].copy_from_slice(data);
            state.unsynced_writes.push((at, data.to_vec()));
        })
    }
}

fn open_disk(
    disk: &FailingDisk,
    replica_id: u64,
    incarnation: u64,
) -> Result<(ReplicaStorage, StoredReplica)> {
    let database = redb::Builder::new().create_with_backend(disk.clone())?;
    ReplicaStorage::from_database(database, replica_id, incarnation)
}

/// Writes until the disk fails. Returns the number of the last write that succeeded, and whether all did.
fn write_until_failure(disk: &FailingDisk) -> (u64, bool) {
    let mut last_completed = 0;
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let Ok((storage, _)) = open_disk(disk, 7, 100) else { return false };
        for number in 1..5 {
            if storage.write(&write(number, 2 * number)).is_err() {
                return false;
            }
            last_completed = number;
        }
        true
    }));
    (last_completed, result.is_ok_and(|all_written| all_written))
}

/// The disk fails at each single operation in turn: what was reported as written is found, or the storage
/// counts as lost; an older vote is never found.
#[test]
fn a_disk_that_fails_at_any_operation_loses_nothing_that_was_reported_as_written() {
    let mut found_after_failure = 0;
    for fails_at in 1.. {
        let disk = FailingDisk::default();
        disk.0.lock().unwrap().fails_at = Some(fails_at);
        let (last_completed, all_written) = write_until_failure(&disk);
        let some_writes = fails_at.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for kept_writes in [0, some_writes, u64::MAX] {
            // A storage may be damaged as far as the library can tell: then it is put aside.
            let disk = disk.after_failure(kept_writes);
            let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| open_disk(&disk, 8, 101)));
            let Ok(Ok((_, found))) = opened else { continue };
            let vote = found.state.as_ref().map_or(0, |state| u64::from(state.hard_state[0]));
            let is_current = vote == last_completed || vote == last_completed + 1;
            assert!(
                is_current || found.replica_id == 8,
                "failed at {fails_at}: {vote} found, {last_completed} reported as written"
            );
            let last = found.state.and_then(|state| state.entries.last().map(|(index, _)| *index));
            assert_eq!(last, Some(2 * vote + 2).filter(|_| vote > 0), "failed at {fails_at}");
            found_after_failure += 1;
        }
        if all_written {
            break;
        }
    }
    assert!(found_after_failure > 60, "only {found_after_failure} of the failures left a storage");
}

fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tindoor-replica-storage-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn what_was_written_is_found_with_the_replica_id_and_the_predecessor() {
    let path = directory("found");
    let (storage, found) = ReplicaStorage::open(&path, 7, 100).unwrap();
    assert!(found.replica_id == 7 && found.predecessor.is_none() && found.state.is_none());
    storage.write(&write(1, 2)).unwrap();
    // A leader's log takes the place of entries that were not committed.
    storage.write(&write(2, 4)).unwrap();
    assert!(ReplicaStorage::open(&path, 8, 101).is_err(), "no other process opens it meanwhile");
    drop(storage);
    let (storage, found) = ReplicaStorage::open(&path, 8, 101).unwrap();
    assert_eq!((found.replica_id, found.predecessor), (7, Some(100)));
    let state = found.state.unwrap();
    assert_eq!(state.hard_state, [2]);
    assert_eq!(state.entries.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [2, 3, 4, 5, 6]);
    let compaction =
        StorageWrite { snapshot: Some(vec![9]), discard_before: Some(5), ..StorageWrite::default() };
    storage.write(&compaction).unwrap();
    drop(storage);
    let state = ReplicaStorage::open(&path, 8, 102).unwrap().1.state.unwrap();
    assert_eq!((state.snapshot, state.entries[0].0), (vec![9], 5));
    std::fs::remove_dir_all(path).unwrap();
}

/// Truncated anywhere, or with inverted bytes, a storage either holds all that was written or counts as lost:
/// it never holds an older vote under its replica id.
#[test]
fn a_damaged_storage_counts_as_lost() {
    let path = directory("damaged");
    let (storage, _) = ReplicaStorage::open(&path, 7, 100).unwrap();
    (1..6).for_each(|number| storage.write(&write(number, 2 * number)).unwrap());
    drop(storage);
    let complete = std::fs::read(path.join(RECORDED_FILE_NAME)).unwrap();
    for case in 0..24 {
        let mut bytes = complete.clone();
        let at = complete.len() * case / 24;
        if case % 2 == 0 {
            bytes.truncate(at);
        } else {
            bytes[at..(at + 64).min(complete.len())].iter_mut().for_each(|byte| *byte = !*byte);
        }
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join(RECORDED_FILE_NAME), &bytes).unwrap();
        let (_, found) = ReplicaStorage::open(&path, 8, 101).unwrap();
        match found.state {
            Some(state) => assert_eq!((found.replica_id, state.hard_state), (7, vec![5]), "case {case}"),
            None => assert_eq!(found.replica_id, 8, "case {case}: without its vote it is another replica"),
        }
    }
    std::fs::remove_dir_all(path).unwrap();
}

/// A replica's database file as recorded before: `record_replica_storage` writes it.
fn recorded_storage() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replica-storage.redb")
}

/// What that file holds: the hard state and snapshot of the golden files of `tindoor-consensus`, and sample
/// log entries.
fn recorded_replica() -> StoredState {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../consensus/tests/golden");
    let read = |name: &str| std::fs::read(directory.join(format!("replica-with-log-{name}.bin"))).unwrap();
    let entry = |index: u64| (index, vec![index as u8; 5]);
    let entries = [2, 3, 255, 256, 0x0102_0304_0506].map(entry).to_vec();
    StoredState { hard_state: read("hard-state"), snapshot: read("snapshot"), entries }
}

/// The database file of a replica is opened, and the replica id, the predecessor, the hard state, the
/// snapshot and the log entries are found as they were recorded.
#[test]
fn recorded_replica_storage_is_opened() {
    let path = directory("recorded");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::copy(recorded_storage(), path.join(RECORDED_FILE_NAME)).unwrap();
    let (storage, found) = ReplicaStorage::open(&path, 8, 101).unwrap();
    assert_eq!((found.replica_id, found.predecessor), (0x0123_4567_89ab_cdef, Some(0xfedc_ba98_7654_3210)));
    assert_eq!(found.state, Some(recorded_replica()));
    drop(storage);
    // The predecessor is now this process; everything else is kept.
    let (storage, found) = ReplicaStorage::open(&path, 8, 102).unwrap();
    assert_eq!((found.replica_id, found.predecessor), (0x0123_4567_89ab_cdef, Some(101)));
    assert_eq!(found.state, Some(recorded_replica()));
    drop(storage);
    let names: Vec<_> = std::fs::read_dir(&path).unwrap().map(|file| file.unwrap().file_name()).collect();
    assert_eq!(names, [RECORDED_FILE_NAME], "nothing was put aside as damaged");
    std::fs::remove_dir_all(path).unwrap();
}

/// `cargo test -p tindoor-router -- --ignored record_replica_storage`
#[test]
#[ignore = "replaces the golden file"]
fn record_replica_storage() {
    let path = directory("record");
    let (storage, _) = ReplicaStorage::open(&path, 0x0123_4567_89ab_cdef, 0xfedc_ba98_7654_3210).unwrap();
    let StoredState { hard_state, snapshot, entries } = recorded_replica();
    let write = StorageWrite {
        hard_state: Some(hard_state),
        snapshot: Some(snapshot),
        entries,
        ..StorageWrite::default()
    };
    storage.write(&write).unwrap();
    drop(storage);
    // As small as the library makes it: a new file is mostly free space.
    let mut database = Database::open(path.join(RECORDED_FILE_NAME)).unwrap();
    while database.compact().unwrap() {}
    drop(database);
    std::fs::create_dir_all(recorded_storage().parent().unwrap()).unwrap();
    std::fs::copy(path.join(RECORDED_FILE_NAME), recorded_storage()).unwrap();
    std::fs::remove_dir_all(path).unwrap();
}
