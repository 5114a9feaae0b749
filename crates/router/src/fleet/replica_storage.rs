//! The stable storage of a replica: its id, hard state, log and snapshot, in one database file. Checksums
//! detect damage. A damaged storage is treated as lost and replaced by that of a new replica, as a replica
//! that has lost its vote must never vote under its old id.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow, ensure};
use redb::{Database, DatabaseError, ReadableTable, Table, TableDefinition};
use tindoor_consensus::{StorageWrite, StoredState};

/// The name of the database file.
const FILE_NAME: &str = "seat.redb";

/// The prefix of the names to which damaged database files are renamed.
const DAMAGED_FILE_PREFIX: &str = "seat.damaged-";

const REPLICA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

// Keys of the table `REPLICA`.
const REPLICA_ID_KEY: &str = "seat";
const INCARNATION_KEY: &str = "start";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";

/// An open replica storage. No other process can open the same storage at the same time.
pub(super) struct ReplicaStorage(Database);

/// The content of a storage when it was opened.
pub(super) struct StoredReplica {
    /// The id of the replica.
    pub replica_id: u64,
    /// The incarnation that last opened the storage. Its process has ended, as only one process can have the
    /// storage open.
    pub predecessor: Option<u64>,
    /// `None` before the first write.
    pub state: Option<StoredState>,
}

impl ReplicaStorage {
    /// Opens a storage, or creates one for a new replica with `replica_id`. A damaged storage is renamed and
    /// replaced by a new one.
    pub fn open(directory: &Path, replica_id: u64, incarnation: u64) -> Result<(Self, StoredReplica)> {
        std::fs::create_dir_all(directory).with_context(|| format!("{}", directory.display()))?;
        let file = directory.join(FILE_NAME);
        // The database library panics on some kinds of damage.
        let opened = std::panic::catch_unwind(|| Self::open_file(&file, replica_id, incarnation));
        match opened.unwrap_or_else(|_| Err(anyhow!("the database library panicked while opening the file")))
        {
            Ok(opened) => Ok(opened),
            // A storage that another process has open is not damaged.
            Err(error) if matches!(error.downcast_ref(), Some(DatabaseError::DatabaseAlreadyOpen)) => {
                Err(error)
            }
            Err(error) => {
                let aside = unused_damaged_path(directory);
                tracing::error!(
                    %error,
                    aside = %aside.display(),
                    "replica storage is damaged; renamed and replaced by that of a new replica"
                );
                std::fs::rename(&file, &aside).with_context(|| format!("{}", file.display()))?;
                Self::open_file(&file, replica_id, incarnation)
            }
        }
    }

    fn open_file(file: &Path, replica_id: u64, incarnation: u64) -> Result<(Self, StoredReplica)> {
        Self::from_database(Database::create(file)?, replica_id, incarnation)
    }

    /// Reads the content of the database, and records this incarnation in it.
    fn from_database(database: Database, replica_id: u64, incarnation: u64) -> Result<(Self, StoredReplica)> {
        let transaction = database.begin_write()?;
        let stored = {
            let mut replica = transaction.open_table(REPLICA)?;
            let replica_id = read_number(&replica, REPLICA_ID_KEY)?.unwrap_or(replica_id);
            let predecessor = read_number(&replica, INCARNATION_KEY)?;
            let hard_state = read_bytes(&replica, HARD_STATE_KEY)?;
            let snapshot = read_bytes(&replica, SNAPSHOT_KEY)?;
            replica.insert(REPLICA_ID_KEY, &replica_id.to_be_bytes()[..])?;
            replica.insert(INCARNATION_KEY, &incarnation.to_be_bytes()[..])?;
            let entries = read_entries(&transaction.open_table(LOG)?)?;
            ensure!(
                hard_state.is_some() || entries.is_empty() && snapshot.is_none(),
                "the database has log entries or a snapshot but no hard state"
            );
            let snapshot = snapshot.unwrap_or_default();
            let state = hard_state.map(|hard_state| StoredState { hard_state, snapshot, entries });
            StoredReplica { replica_id, predecessor, state }
        };
        transaction.commit()?;
        Ok((Self(database), stored))
    }

    /// Applies a write atomically, and waits until it has reached stable storage.
    pub fn write(&self, write: &StorageWrite) -> Result<()> {
        let transaction = self.0.begin_write()?;
        {
            let mut replica = transaction.open_table(REPLICA)?;
            let mut log = transaction.open_table(LOG)?;
            if let Some(hard_state) = &write.hard_state {
                replica.insert(HARD_STATE_KEY, &hard_state[..])?;
            }
            if let Some(snapshot) = &write.snapshot {
                replica.insert(SNAPSHOT_KEY, &snapshot[..])?;
                if write.discard_before.is_none() {
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(first_kept) = write.discard_before {
                log.retain_in(..first_kept, |_, _| false)?;
            }
            if let Some(&(first, _)) = write.entries.first() {
                log.retain_in(first.., |_, _| false)?;
            }
            for (index, bytes) in &write.entries {
                log.insert(index, &bytes[..])?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

fn read_bytes(table: &Table<'_, &str, &[u8]>, key: &str) -> Result<Option<Vec<u8>>> {
    Ok(table.get(key)?.map(|value| value.value().to_vec()))
}

fn read_number(table: &Table<'_, &str, &[u8]>, key: &str) -> Result<Option<u64>> {
    let Some(bytes) = read_bytes(table, key)? else { return Ok(None) };
    Ok(Some(u64::from_be_bytes(bytes[..].try_into().context("a stored number is not 8 bytes long")?)))
}

fn read_entries(log: &Table<'_, u64, &[u8]>) -> Result<Vec<(u64, Vec<u8>)>> {
    let mut entries = Vec::new();
    for row in log.iter()? {
        let (index, bytes) = row?;
        entries.push((index.value(), bytes.value().to_vec()));
    }
    Ok(entries)
}

/// Returns an unused path for a damaged database.
fn unused_damaged_path(directory: &Path) -> PathBuf {
    let mut paths = (0u32..).map(|number| directory.join(format!("{DAMAGED_FILE_PREFIX}{number}")));
    paths.find(|path| !path.exists()).expect("one of the paths is unused")
}

#[cfg(test)]
#[path = "../../tests/unit/replica_storage.rs"]
mod tests;
