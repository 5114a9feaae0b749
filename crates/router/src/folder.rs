//! What a voter keeps where it lasts: its seat, its vote, its log and snapshots, in one database file. What is
//! damaged is seen (checksums), and then counts as lost: whoever forgot never votes as the one that it was.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow, ensure};
use redb::{Database, ReadableTable, TableDefinition};
use tindoor_consensus::{StorageWrite, StoredState};

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The open folder; nobody else can open it meanwhile.
pub struct Folder(Database);

/// What a folder held at its opening.
pub struct Found {
    /// The seat that it stands for.
    pub replica_id: u64,
    /// The start of the process that had it open before: as it is open here, that one has ended.
    pub before: Option<u64>,
    /// None before the first write.
    pub kept: Option<StoredState>,
}

impl Folder {
    /// Opens it, or begins it with a new seat. A damaged one is put aside, and one begun in its place.
    pub fn open(path: &Path, replica_id: u64, start: u64) -> Result<(Self, Found)> {
        std::fs::create_dir_all(path).with_context(|| format!("{}", path.display()))?;
        let file = path.join("seat.redb");
        // The library panics at some damage that it did not foresee.
        let read = std::panic::catch_unwind(|| Self::read(&file, replica_id, start));
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
                Self::read(&file, replica_id, start)
            }
        }
    }

    fn read(file: &Path, replica_id: u64, start: u64) -> Result<(Self, Found)> {
        Self::found(Database::create(file)?, replica_id, start)
    }

    /// Takes up what a database holds.
    fn found(database: Database, replica_id: u64, start: u64) -> Result<(Self, Found)> {
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
            let replica_id = number(get(&facts, "seat")?)?.unwrap_or(replica_id);
            let before = number(get(&facts, "start")?)?;
            let (hard, snapshot) = (get(&facts, "hard")?, get(&facts, "snapshot")?);
            facts.insert("seat", &replica_id.to_be_bytes()[..])?;
            facts.insert("start", &start.to_be_bytes()[..])?;
            let log = writing.open_table(LOG)?;
            let mut entries = Vec::new();
            for row in log.iter()? {
                let (index, bytes) = row?;
                entries.push((index.value(), bytes.value().to_vec()));
            }
            ensure!(hard.is_some() || entries.is_empty() && snapshot.is_none(), "a log without its vote");
            let kept = hard.map(|hard| StoredState {
                hard_state: hard,
                snapshot: snapshot.unwrap_or_default(),
                entries,
            });
            Found { replica_id, before, kept }
        };
        writing.commit()?;
        Ok((Self(database), found))
    }

    /// Writes all of it, synced, or nothing. It is for a thread of its own: it waits for the disk.
    pub fn write(&self, write: &StorageWrite) -> Result<()> {
        let writing = self.0.begin_write()?;
        {
            let mut facts = writing.open_table(FACTS)?;
            let mut log = writing.open_table(LOG)?;
            if let Some(hard) = &write.hard_state {
                facts.insert("hard", &hard[..])?;
            }
            if let Some(snapshot) = &write.snapshot {
                facts.insert("snapshot", &snapshot[..])?;
                if write.discard_before.is_none() {
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(before) = write.discard_before {
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
#[path = "../tests/unit/folder.rs"]
mod tests;
