//! The stable storage of a replica: its id, hard state, log and snapshot, in one database file. Damage is
//! detected by checksums, and a damaged storage counts as lost: a replica that has forgotten its vote never
//! votes under its old id.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow, ensure};
use redb::{Database, DatabaseError, ReadableTable, Table, TableDefinition};
use tindoor_consensus::{StorageWrite, StoredState};

/// The database file.
const FILE_NAME: &str = "seat.redb";

/// What the file name of a damaged database begins with.
const DAMAGED_FILE_PREFIX: &str = "seat.damaged-";

const REPLICA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

// Keys of the table `REPLICA`.
const REPLICA_ID_KEY: &str = "seat";
const INCARNATION_KEY: &str = "start";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";

/// An open storage; no other process can open it meanwhile.
pub(super) struct ReplicaStorage(Database);

/// What a storage held when it was opened.
pub(super) struct StoredReplica {
    /// The id of the replica.
    pub replica_id: u64,
    /// The incarnation that had it open before: as it is open here, that process has ended.
    pub predecessor: Option<u64>,
    /// None before the first write.
    pub state: Option<StoredState>,
}

impl ReplicaStorage {
    /// Opens a storage, or creates it for a new replica. A damaged one is put aside, and a new one created.
    pub fn open(directory: &Path, replica_id: u64, incarnation: u64) -> Result<(Self, StoredReplica)> {
        std::fs::create_dir_all(directory).with_context(|| format!("{}", directory.display()))?;
        let file = directory.join(FILE_NAME);
        // The library panics at some damage.
        let opened = std::panic::catch_unwind(|| Self::open_file(&file, replica_id, incarnation));
        match opened.unwrap_or_else(|_| Err(anyhow!("it can't be read"))) {
            Ok(opened) => Ok(opened),
            // One that another process has open is not damaged.
            Err(error) if matches!(error.downcast_ref(), Some(DatabaseError::DatabaseAlreadyOpen)) => {
                Err(error)
            }
            Err(error) => {
                let aside = unused_damaged_path(directory);
                tracing::error!(%error, aside = %aside.display(), "replica storage is damaged; it counts as lost");
                std::fs::rename(&file, &aside).with_context(|| format!("{}", file.display()))?;
                Self::open_file(&file, replica_id, incarnation)
            }
        }
    }

    fn open_file(file: &Path, replica_id: u64, incarnation: u64) -> Result<(Self, StoredReplica)> {
        Self::from_database(Database::create(file)?, replica_id, incarnation)
    }

    /// Reads what the database holds, and records this incarnation in it.
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
                "a log without its vote"
            );
            let snapshot = snapshot.unwrap_or_default();
            let state = hard_state.map(|hard_state| StoredState { hard_state, snapshot, entries });
            StoredReplica { replica_id, predecessor, state }
        };
        transaction.commit()?;
        Ok((Self(database), stored))
    }

    /// Writes atomically, and waits until it is on stable storage.
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
    Ok(Some(u64::from_be_bytes(bytes[..].try_into().context("a number")?)))
}

fn read_entries(log: &Table<'_, u64, &[u8]>) -> Result<Vec<(u64, Vec<u8>)>> {
    let mut entries = Vec::new();
    for row in log.iter()? {
        let (index, bytes) = row?;
        entries.push((index.value(), bytes.value().to_vec()));
    }
    Ok(entries)
}

/// An unused path for a damaged database.
fn unused_damaged_path(directory: &Path) -> PathBuf {
    let mut paths = (0u32..).map(|number| directory.join(format!("{DAMAGED_FILE_PREFIX}{number}")));
    paths.find(|path| !path.exists()).expect("one of the paths is unused")
}

#[cfg(test)]
#[path = "../../tests/unit/replica_storage.rs"]
mod tests;
