use super::*;

/// The expected name of the database file. It must not change: after an upgrade, a router would not find its
/// storage and would start as a new replica.
const RECORDED_FILE_NAME: &str = "seat.redb";

/// Returns a write with three log entries, the first at index `first`.
fn write(number: u64, first: u64) -> StorageWrite {
    let entry = |index: u64| (index, vec![index as u8; 200]);
    let entries = (first..first + 3).map(entry).collect();
    StorageWrite { number, hard_state: Some(vec![number as u8]), entries, ..StorageWrite::default() }
}

type IoResult<T> = std::result::Result<T, std::io::Error>;

/// A disk that fails at operation number `fails_at` and at all later ones. After the failure, all synced data
/// is kept, and each write since the last sync is either kept or lost.
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
            return Err(std::io::Error::other("the simulated disk has failed"));
        }
        Ok(operation(&mut state))
    }

    /// Returns the disk that the next process finds. Each bit of `kept_writes` selects whether an unsynced
    /// write is kept.
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
        read.ok_or_else(|| std::io::Error::other("read beyond the end of the disk"))
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

/// Writes until the disk fails. Returns the number of the last successful write, and whether all were
/// successful.
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

/// Lets the disk fail at each operation in turn. Afterwards the storage either holds everything that was
/// reported as written, or is treated as lost. It never holds an older vote.
#[test]
fn after_a_disk_failure_at_any_operation_no_completed_write_is_silently_lost() {
    let mut found_after_failure = 0;
    for fails_at in 1.. {
        let disk = FailingDisk::default();
        disk.0.lock().unwrap().fails_at = Some(fails_at);
        let (last_completed, all_written) = write_until_failure(&disk);
        let some_writes = fails_at.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for kept_writes in [0, some_writes, u64::MAX] {
            // The database library may find the storage damaged; the router then replaces it.
            let disk = disk.after_failure(kept_writes);
            let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| open_disk(&disk, 8, 101)));
            let Ok(Ok((_, found))) = opened else { continue };
            let vote = found.state.as_ref().map_or(0, |state| u64::from(state.hard_state[0]));
            let is_current = vote == last_completed || vote == last_completed + 1;
            assert!(
                is_current || found.replica_id == 8,
                "failed at operation {fails_at}: write {vote} found, {last_completed} reported as completed"
            );
            let last = found.state.and_then(|state| state.entries.last().map(|(index, _)| *index));
            assert_eq!(last, Some(2 * vote + 2).filter(|_| vote > 0), "failed at operation {fails_at}");
            found_after_failure += 1;
        }
        if all_written {
            break;
        }
    }
    assert!(found_after_failure > 60, "only {found_after_failure} of the failures left a readable storage");
}

/// Returns an unused directory for a test.
fn test_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tindoor-replica-storage-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn a_reopened_storage_returns_the_written_state_the_replica_id_and_the_predecessor() {
    let path = test_directory("found");
    let (storage, found) = ReplicaStorage::open(&path, 7, 100).unwrap();
    assert!(found.replica_id == 7 && found.predecessor.is_none() && found.state.is_none());
    storage.write(&write(1, 2)).unwrap();
    // Overwrites entries from index 4 on, as when a leader replaces uncommitted entries.
    storage.write(&write(2, 4)).unwrap();
    assert!(ReplicaStorage::open(&path, 8, 101).is_err(), "an open storage can't be opened again");
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

/// Truncates the database file at several lengths, or inverts some of its bytes. The storage then either
/// holds everything that was written or is treated as lost. It never holds an older vote under its replica
/// id.
#[test]
fn a_damaged_storage_is_complete_or_replaced_by_that_of_a_new_replica() {
    let path = test_directory("damaged");
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
            None => assert_eq!(found.replica_id, 8, "case {case}: a replica without vote needs a new id"),
        }
    }
    std::fs::remove_dir_all(path).unwrap();
}

/// Returns the path of the golden database file, which `record_replica_storage` writes.
fn recorded_storage() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replica-storage.redb")
}

/// Returns the content of the golden file: the hard state and snapshot of the golden files of
/// `tindoor-consensus`, and sample log entries.
fn recorded_replica() -> StoredState {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../consensus/tests/golden");
    let read = |name: &str| std::fs::read(directory.join(format!("replica-with-log-{name}.bin"))).unwrap();
    let entry = |index: u64| (index, vec![index as u8; 5]);
    let entries = [2, 3, 255, 256, 0x0102_0304_0506].map(entry).to_vec();
    StoredState { hard_state: read("hard-state"), snapshot: read("snapshot"), entries }
}

/// Guards the file format: a database file recorded earlier must open with the recorded replica id,
/// predecessor, hard state, snapshot and log entries.
#[test]
fn the_recorded_database_file_is_opened_with_all_its_content() {
    let path = test_directory("recorded");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::copy(recorded_storage(), path.join(RECORDED_FILE_NAME)).unwrap();
    let (storage, found) = ReplicaStorage::open(&path, 8, 101).unwrap();
    assert_eq!((found.replica_id, found.predecessor), (0x0123_4567_89ab_cdef, Some(0xfedc_ba98_7654_3210)));
    assert_eq!(found.state, Some(recorded_replica()));
    drop(storage);
    // The predecessor is now the incarnation that opened the file above; everything else is unchanged.
    let (storage, found) = ReplicaStorage::open(&path, 8, 102).unwrap();
    assert_eq!((found.replica_id, found.predecessor), (0x0123_4567_89ab_cdef, Some(101)));
    assert_eq!(found.state, Some(recorded_replica()));
    drop(storage);
    let names: Vec<_> = std::fs::read_dir(&path).unwrap().map(|file| file.unwrap().file_name()).collect();
    assert_eq!(names, [RECORDED_FILE_NAME], "the file was not renamed as damaged");
    std::fs::remove_dir_all(path).unwrap();
}

/// Records the golden file: `cargo test -p tindoor-router -- --ignored record_replica_storage`.
#[test]
#[ignore = "replaces the golden file"]
fn record_replica_storage() {
    let path = test_directory("record");
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
    // Compacts the file, as most of a new file is free space.
    let mut database = Database::open(path.join(RECORDED_FILE_NAME)).unwrap();
    while database.compact().unwrap() {}
    drop(database);
    std::fs::create_dir_all(recorded_storage().parent().unwrap()).unwrap();
    std::fs::copy(path.join(RECORDED_FILE_NAME), recorded_storage()).unwrap();
    std::fs::remove_dir_all(path).unwrap();
}
