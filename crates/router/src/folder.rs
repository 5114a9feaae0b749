//! What a voter keeps where it lasts: its seat, its vote, its log and snapshots, in one database file. What is
//! damaged is seen (checksums), and then counts as lost: whoever forgot never votes as the one that it was.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow, ensure};
use redb::{Database, ReadableTable, TableDefinition};
use tindoor_council::{Kept, Write};

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The open folder; nobody else can open it meanwhile.
pub struct Folder(Database);

/// What a folder held at its opening.
pub struct Found {
    /// The seat that it stands for.
    pub seat: u64,
    /// The start of the process that had it open before: as it is open here, that one has ended.
    pub before: Option<u64>,
    /// None before the first write.
    pub kept: Option<Kept>,
}

impl Folder {
    /// Opens it, or begins it with a new seat. A damaged one is put aside, and one begun in its place.
    pub fn open(path: &Path, seat: u64, start: u64) -> Result<(Self, Found)> {
        std::fs::create_dir_all(path).with_context(|| format!("{}", path.display()))?;
        let file = path.join("seat.redb");
        // The library panics at some damage that it did not foresee.
        let read = std::panic::catch_unwind(|| Self::read(&file, seat, start));
        match read.unwrap_or_else(|_| Err(anyhow!("it can't be read"))) {
            Ok(read) => Ok(read),
            // One that another process has open is not damaged.
            Err(what) if matches!(what.downcast_ref(), Some(redb::DatabaseError::DatabaseAlreadyOpen)) => {
                Err(what)
            }
            Err(what) => {
                let aside = aside(path);
                tracing::error!(%what, aside = %aside.display(), "the folder is damaged: it counts as lost");
                std::fs::rename(&file, &aside).with_context(|| format!("{}", file.display()))?;
                Self::read(&file, seat, start)
            }
        }
    }

    fn read(file: &Path, seat: u64, start: u64) -> Result<(Self, Found)> {
        let database = Database::create(file)?;
        let writing = database.begin_write()?;
        let found = {
            let mut facts = writing.open_table(FACTS)?;
            let number = |bytes: Option<Vec<u8>>| -> Result<Option<u64>> {
                bytes
                    .map(|bytes| Ok(u64::from_be_bytes(bytes[..].try_into().context("a number")?)))
                    .transpose()
            };
            let get = |facts: &redb::Table<&str, &[u8]>, key: &str| -> Result<Option<Vec<u8>>> {
                Ok(facts.get(key)?.map(|value| value.value().to_vec()))
            };
            let seat = number(get(&facts, "seat")?)?.unwrap_or(seat);
            let before = number(get(&facts, "start")?)?;
            let (hard, snapshot) = (get(&facts, "hard")?, get(&facts, "snapshot")?);
            facts.insert("seat", &seat.to_be_bytes()[..])?;
            facts.insert("start", &start.to_be_bytes()[..])?;
            let log = writing.open_table(LOG)?;
            let mut entries = Vec::new();
            for row in log.iter()? {
                let (index, bytes) = row?;
                entries.push((index.value(), bytes.value().to_vec()));
            }
            ensure!(hard.is_some() || entries.is_empty() && snapshot.is_none(), "a log without its vote");
            let kept = hard.map(|hard| Kept { hard, snapshot: snapshot.unwrap_or_default(), entries });
            Found { seat, before, kept }
        };
        writing.commit()?;
        Ok((Self(database), found))
    }

    /// Writes all of it, synced, or nothing. It is for a thread of its own: it waits for the disk.
    pub fn write(&self, write: &Write) -> Result<()> {
        let writing = self.0.begin_write()?;
        {
            let mut facts = writing.open_table(FACTS)?;
            let mut log = writing.open_table(LOG)?;
            if let Some(hard) = &write.hard {
                facts.insert("hard", &hard[..])?;
            }
            if let Some(snapshot) = &write.snapshot {
                facts.insert("snapshot", &snapshot[..])?;
                if write.cut_before.is_none() {
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(before) = write.cut_before {
                log.retain_in(..before, |_, _| false)?;
            }
            if let Some(&(first, _)) = write.entries.first() {
                log.retain_in(first.., |_, _| false)?;
            }
            for (index, bytes) in &write.entries {
                log.insert(index, &bytes[..])?;
            }
        }
        writing.commit()?;
        Ok(())
    }
}

/// A name that is free, for what is put aside.
fn aside(path: &Path) -> PathBuf {
    let mut names = (0u32..).map(|nth| path.join(format!("seat.damaged-{nth}")));
    names.find(|name| !name.exists()).expect("one of them is free")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(number: u64, first: u64) -> Write {
        let entry = |index: u64| (index, vec![index as u8; 200]);
        let entries = (first..first + 3).map(entry).collect();
        Write { number, hard: Some(vec![number as u8]), entries, ..Write::default() }
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
        assert!(found.seat == 7 && found.before.is_none() && found.kept.is_none());
        open.write(&write(1, 2)).unwrap();
        // A leader's log takes the place of what was not agreed.
        open.write(&write(2, 4)).unwrap();
        assert!(Folder::open(&path, 8, 101).is_err(), "nobody else opens it meanwhile");
        drop(open);
        let (open, found) = Folder::open(&path, 8, 101).unwrap();
        assert_eq!((found.seat, found.before), (7, Some(100)));
        let kept = found.kept.unwrap();
        assert_eq!(kept.hard, [2]);
        assert_eq!(kept.entries.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [2, 3, 4, 5, 6]);
        let fold = Write { snapshot: Some(vec![9]), cut_before: Some(5), ..Write::default() };
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
                Some(kept) => assert_eq!((found.seat, kept.hard), (7, vec![5]), "case {nth}"),
                None => assert_eq!(found.seat, 8, "case {nth}: a seat whose vote is lost is another seat"),
            }
        }
        std::fs::remove_dir_all(path).unwrap();
    }
}
