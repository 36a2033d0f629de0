//! One generation's `fjall` store.

use std::path::Path;
use std::{fmt, fs};

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};

use crate::error::{Operation, StorageError};
use crate::generation::Values;
use crate::journal;

/// The name of the one keyspace; stored on disk.
const KEYSPACE: &str = "kept";
/// A file that every complete store has; without it `fjall` would take the directory for a new one.
const VERSION_FILE: &str = "version";
const CACHE_BYTES: u64 = 1 << 20;
/// The fewest that `fjall` accepts.
const MAX_CACHED_FILES: usize = 10;

/// An open store.
pub(crate) struct Store {
    // Dropped in this order: the database waits for its threads and then releases the lock.
    keyspace: Keyspace,
    database: Database,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

impl Store {
    /// Creates a store in a new directory.
    pub fn create(path: &Path) -> Result<Store, StorageError> {
        let at = StorageError::at(Operation::Open);
        fs::create_dir_all(path).map_err(StorageError::at(Operation::Open))?;
        let database = Store::database(path)?;
        let options = || KeyspaceCreateOptions::default().manual_journal_persist(true);
        let keyspace = database.keyspace(KEYSPACE, options).map_err(&at)?;
        Ok(Store { keyspace, database })
    }

    /// Opens a store that exists, after repairing its journal.
    pub fn open(path: &Path) -> Result<Store, StorageError> {
        let at = StorageError::at(Operation::Open);
        let at_io = StorageError::at(Operation::Open);
        if !path.join(VERSION_FILE).try_exists().map_err(&at_io)? {
            return Err(StorageError::new(Operation::Open, "the store is not whole"));
        }
        for entry in fs::read_dir(path).map_err(&at_io)? {
            let file = entry.map_err(&at_io)?.path();
            if file.extension().is_some_and(|extension| extension == "jnl") {
                journal::repair(&file).map_err(&at_io)?;
            }
        }
        let database = Store::database(path)?;
        if !database.keyspace_exists(KEYSPACE) {
            return Err(StorageError::new(Operation::Open, "the store lacks its keyspace"));
        }
        let keyspace = database.keyspace(KEYSPACE, KeyspaceCreateOptions::default).map_err(&at)?;
        Ok(Store { keyspace, database })
    }

    fn database(path: &Path) -> Result<Database, StorageError> {
        // One worker thread, which has nothing to do: a generation ends before its values leave memory.
        Database::builder(path)
            .worker_threads(1)
            .cache_size(CACHE_BYTES)
            .max_cached_files(Some(MAX_CACHED_FILES))
            .manual_journal_persist(true)
            .open()
            .map_err(StorageError::at(Operation::Open))
    }

    /// Reads all values.
    pub fn values(&self) -> Result<Values, StorageError> {
        let mut values = Values::new();
        for guard in self.keyspace.iter() {
            let (key, value) = guard.into_inner().map_err(StorageError::at(Operation::Read))?;
            let key = String::from_utf8(key.to_vec()).map_err(StorageError::at(Operation::Read))?;
            values.insert(key, value.to_vec().into());
        }
        Ok(values)
    }

    /// Adds values and syncs them.
    pub fn write<'a>(&self, entries: impl Iterator<Item = (&'a str, &'a [u8])>) -> Result<(), StorageError> {
        for (key, value) in entries {
            self.keyspace.insert(key, value).map_err(StorageError::at(Operation::Insert))?;
        }
        self.database.persist(PersistMode::SyncAll).map_err(StorageError::at(Operation::Sync))
    }
}
