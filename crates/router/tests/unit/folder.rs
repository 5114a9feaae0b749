use super::*;

fn write(number: u64, first: u64) -> StorageWrite {
    let entry = |index: u64| (index, vec![index as u8; 200]);
    let entries = (first..first + 3).map(entry).collect();
    StorageWrite { number, hard_state: Some(vec![number as u8]), entries, ..StorageWrite::default() }
}

/// A disk that stops at one operation by its number: what was synced lasts, of what was written since then each
/// piece does by lot, and no operation after it succeeds.
#[derive(Clone, Debug, Default)]
struct Disk(std::sync::Arc<std::sync::Mutex<Platter>>);

#[derive(Debug, Default)]
struct Platter {
    now: Vec<u8>,
    lasts: Vec<u8>,
    since: Vec<(usize, Vec<u8>)>,
    stops_at: Option<u64>,
    done: u64,
}

impl Disk {
    fn step<T>(&self, what: impl FnOnce(&mut Platter) -> T) -> std::result::Result<T, std::io::Error> {
        let mut platter = self.0.lock().unwrap();
        platter.done += 1;
        if platter.stops_at.is_some_and(|at| platter.done >= at) {
            return Err(std::io::Error::other("the disk is gone"));
        }
        Ok(what(&mut platter))
    }

    /// What the next process finds.
    fn after(&self, lot: u64) -> Self {
        let mut platter = self.0.lock().unwrap();
        let mut lasts = std::mem::take(&mut platter.lasts);
        for (nth, (at, bytes)) in platter.since.iter().enumerate() {
            if (lot >> (nth % 64)) & 1 == 1 {
                lasts.resize(lasts.len().max(at + bytes.len()), 0);
                lasts[*at..at + bytes.len()].copy_from_slice(bytes);
            }
        }
        let found = Platter { now: lasts.clone(), lasts, ..Platter::default() };
        Self(std::sync::Arc::new(std::sync::Mutex::new(found)))
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> std::result::Result<u64, std::io::Error> {
        self.step(|platter| platter.now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::result::Result<(), std::io::Error> {
        let at = offset as usize;
        let read =
            self.step(|platter| platter.now.get(at..at + out.len()).map(|read| out.copy_from_slice(read)))?;
        read.ok_or_else(|| std::io::Error::other("beyond the end"))
    }

    fn set_len(&self, len: u64) -> std::result::Result<(), std::io::Error> {
        self.step(|platter| platter.now.resize(len as usize, 0))
    }

    fn sync_data(&self) -> std::result::Result<(), std::io::Error> {
        self.step(|platter| {
            platter.lasts = platter.now.clone();
            platter.since.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::result::Result<(), std::io::Error> {
        let at = offset as usize;
        self.step(|platter| {
            platter.now.resize(platter.now.len().max(at + data.len()), 0);
            platter.now[at..at + data.len()].copy_from_slice(data);
            platter.since.push((at, data.to_vec()));
        })
    }
}

/// The disk stops at each single operation in turn: what was told to last is found, or the folder counts as lost,
/// never an older vote.
#[test]
fn a_disk_that_stops_at_any_one_operation_forgets_nothing_that_was_told_to_last() {
    let open = |disk: &Disk, seat, start| {
        let built = redb::Builder::new().create_with_backend(disk.clone());
        built.map_err(anyhow::Error::from).and_then(|database| Folder::found(database, seat, start))
    };
    let mut stopped = 0;
    for stops_at in 1.. {
        let disk = Disk::default();
        disk.0.lock().unwrap().stops_at = Some(stops_at);
        let mut told = 0;
        let all = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let Ok((folder, _)) = open(&disk, 7, 100) else { return false };
            for number in 1..5 {
                if folder.write(&write(number, 2 * number)).is_err() {
                    return false;
                }
                told = number;
            }
            true
        }));
        let lot = stops_at.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        for lot in [0, lot, u64::MAX] {
            // One that a process finds may be damaged as far as the library can tell: then it is put aside.
            let disk = disk.after(lot);
            let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| open(&disk, 8, 101)));
            let Ok(Ok((_, found))) = found else { continue };
            let vote = found.kept.as_ref().map_or(0, |kept| u64::from(kept.hard_state[0]));
            let whole = vote == told || vote == told + 1;
            assert!(
                whole || found.replica_id == 8,
                "stopped at {stops_at}: {vote} found, {told} told to last"
            );
            let last = found.kept.and_then(|kept| kept.entries.last().map(|(index, _)| *index));
            assert_eq!(last, Some(2 * vote + 2).filter(|_| vote > 0), "stopped at {stops_at}");
            stopped += 1;
        }
        if all.is_ok_and(|all| all) {
            break;
        }
    }
    assert!(stopped > 60, "only {stopped} of the stops left a folder");
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tindoor-folder-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn what_was_written_is_found_and_the_seat_and_the_start_before() {
    let path = folder("found");
    let (open, found) = Folder::open(&path, 7, 100).unwrap();
    assert!(found.replica_id == 7 && found.before.is_none() && found.kept.is_none());
    open.write(&write(1, 2)).unwrap();
    // A leader's log takes the place of what was not agreed.
    open.write(&write(2, 4)).unwrap();
    assert!(Folder::open(&path, 8, 101).is_err(), "nobody else opens it meanwhile");
    drop(open);
    let (open, found) = Folder::open(&path, 8, 101).unwrap();
    assert_eq!((found.replica_id, found.before), (7, Some(100)));
    let kept = found.kept.unwrap();
    assert_eq!(kept.hard_state, [2]);
    assert_eq!(kept.entries.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [2, 3, 4, 5, 6]);
    let fold = StorageWrite { snapshot: Some(vec![9]), discard_before: Some(5), ..StorageWrite::default() };
    open.write(&fold).unwrap();
    drop(open);
    let kept = Folder::open(&path, 8, 102).unwrap().1.kept.unwrap();
    assert_eq!((kept.snapshot, kept.entries[0].0), (vec![9], 5));
    std::fs::remove_dir_all(path).unwrap();
}

/// Cut off anywhere, or with bytes turned over, it either holds all that was written or counts as lost: it never
/// holds an older vote under its seat.
#[test]
fn a_damaged_folder_is_no_folder() {
    let path = folder("torn");
    let (open, _) = Folder::open(&path, 7, 100).unwrap();
    (1..6).for_each(|number| open.write(&write(number, 2 * number)).unwrap());
    drop(open);
    let whole = std::fs::read(path.join("seat.redb")).unwrap();
    for nth in 0..24 {
        let mut bytes = whole.clone();
        match nth % 2 {
            0 => bytes.truncate(whole.len() * nth / 24),
            _ => {
                let at = whole.len() * nth / 24;
                bytes[at..(at + 64).min(whole.len())].iter_mut().for_each(|byte| *byte = !*byte);
            }
        }
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("seat.redb"), &bytes).unwrap();
        let (_, found) = Folder::open(&path, 8, 101).unwrap();
        match found.kept {
            Some(kept) => assert_eq!((found.replica_id, kept.hard_state), (7, vec![5]), "case {nth}"),
            None => assert_eq!(found.replica_id, 8, "case {nth}: a seat whose vote is lost is another seat"),
        }
    }
    std::fs::remove_dir_all(path).unwrap();
}

/// A replica's database file as recorded before: `record_replica_storage` writes it.
fn recorded_storage() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replica-storage.redb")
}

/// What that file holds: the hard state and snapshot of the golden files of `tindoor-consensus`, and sample log entries.
fn recorded_replica() -> StoredState {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../consensus/tests/golden");
    let read = |name: &str| std::fs::read(directory.join(format!("replica-with-log-{name}.bin"))).unwrap();
    let entry = |index: u64| (index, vec![index as u8; 5]);
    let entries = [2, 3, 255, 256, 0x0102_0304_0506].map(entry).to_vec();
    StoredState { hard_state: read("hard-state"), snapshot: read("snapshot"), entries }
}

/// The database file of a replica is opened, and the seat, the process before, the hard state, the snapshot and the
/// log entries are found as they were recorded.
#[test]
fn recorded_replica_storage_is_opened() {
    let path = folder("recorded");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::copy(recorded_storage(), path.join("seat.redb")).unwrap();
    let (open, found) = Folder::open(&path, 8, 101).unwrap();
    assert_eq!((found.replica_id, found.before), (0x0123_4567_89ab_cdef, Some(0xfedc_ba98_7654_3210)));
    assert_eq!(found.kept, Some(recorded_replica()));
    drop(open);
    // The process before is now this one; everything else is kept.
    let (open, found) = Folder::open(&path, 8, 102).unwrap();
    assert_eq!((found.replica_id, found.before), (0x0123_4567_89ab_cdef, Some(101)));
    assert_eq!(found.kept, Some(recorded_replica()));
    drop(open);
    let names: Vec<_> = std::fs::read_dir(&path).unwrap().map(|file| file.unwrap().file_name()).collect();
    assert_eq!(names, ["seat.redb"], "nothing was put aside as damaged");
    std::fs::remove_dir_all(path).unwrap();
}

/// `cargo test -p tindoor-router -- --ignored record_replica_storage`
#[test]
#[ignore = "replaces the golden file"]
fn record_replica_storage() {
    let path = folder("record");
    let (open, _) = Folder::open(&path, 0x0123_4567_89ab_cdef, 0xfedc_ba98_7654_3210).unwrap();
    let StoredState { hard_state: hard, snapshot, entries } = recorded_replica();
    let write =
        StorageWrite { hard_state: Some(hard), snapshot: Some(snapshot), entries, ..StorageWrite::default() };
    open.write(&write).unwrap();
    drop(open);
    // As small as the library makes it: a new file is mostly free space.
    let mut database = Database::open(path.join("seat.redb")).unwrap();
    while database.compact().unwrap() {}
    drop(database);
    std::fs::create_dir_all(recorded_storage().parent().unwrap()).unwrap();
    std::fs::copy(path.join("seat.redb"), recorded_storage()).unwrap();
    std::fs::remove_dir_all(path).unwrap();
}
