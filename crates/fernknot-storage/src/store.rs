//! The `fjall` store of one generation: creating, opening, reading and writing it.

use std::path::Path;
use std::{fmt, fs};

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};

use crate::error::{Operation, StorageError};
use crate::generation::Values;
use crate::journal;

/// Name of the only keyspace, the `fjall` table that holds all values; stored on disk.
const KEYSPACE_NAME: &str = "kept";
/// File that every complete store has; without it `fjall` would create a new store in the directory.
const VERSION_FILE: &str = "version";
const CACHE_BYTES: u64 = 1 << 20;
/// Number of files that `fjall` keeps open; the smallest that it accepts.
const MAX_CACHED_FILES: usize = 10;

/// Open `fjall` store of a generation.
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
        let wrap_error = StorageError::wrap(Operation::Open);
        fs::create_dir_all(path).map_err(StorageError::wrap(Operation::Open))?;
        let database = Store::database(path)?;
        let options = || KeyspaceCreateOptions::default().manual_journal_persist(true);
        let keyspace = database.keyspace(KEYSPACE_NAME, options).map_err(&wrap_error)?;
        Ok(Store { keyspace, database })
    }

    /// Opens an existing store, after truncating its journal behind the last complete write.
    pub fn open(path: &Path) -> Result<Store, StorageError> {
        let wrap_error = StorageError::wrap(Operation::Open);
        let wrap_io_error = StorageError::wrap(Operation::Open);
        if !path.join(VERSION_FILE).try_exists().map_err(&wrap_io_error)? {
            return Err(StorageError::new(
                Operation::Open,
                "the store is incomplete: its version file is missing",
            ));
        }
        for entry in fs::read_dir(path).map_err(&wrap_io_error)? {
            let file = entry.map_err(&wrap_io_error)?.path();
            if file.extension().is_some_and(|extension| extension == "jnl") {
                journal::repair(&file).map_err(&wrap_io_error)?;
            }
        }
        let database = Store::database(path)?;
        if !database.keyspace_exists(KEYSPACE_NAME) {
            return Err(StorageError::new(
                Operation::Open,
                "the store is incomplete: its keyspace is missing",
            ));
        }
        let keyspace =
            database.keyspace(KEYSPACE_NAME, KeyspaceCreateOptions::default).map_err(&wrap_error)?;
        Ok(Store { keyspace, database })
    }

    fn database(path: &Path) -> Result<Database, StorageError> {
        // `fjall` needs a worker thread, which stays idle: a generation is replaced before its values would be
        // flushed from memory.
        Database::builder(path)
            .worker_threads(1)
            .cache_size(CACHE_BYTES)
            .max_cached_files(Some(MAX_CACHED_FILES))
            .manual_journal_persist(true)
            .open()
            .map_err(StorageError::wrap(Operation::Open))
    }

    /// Reads the newest value of each key.
    pub fn values(&self) -> Result<Values, StorageError> {
        let mut values = Values::new();
        for guard in self.keyspace.iter() {
            let (key, value) = guard.into_inner().map_err(StorageError::wrap(Operation::Read))?;
            let key = String::from_utf8(key.to_vec()).map_err(StorageError::wrap(Operation::Read))?;
            values.insert(key, value.to_vec().into());
        }
        Ok(values)
    }

    /// Adds or replaces the values of these keys, and syncs them all at once.
    pub fn write<'a>(&self, entries: impl Iterator<Item = (&'a str, &'a [u8])>) -> Result<(), StorageError> {
        for (key, value) in entries {
            self.keyspace.insert(key, value).map_err(StorageError::wrap(Operation::Insert))?;
        }
        self.database.persist(PersistMode::SyncAll).map_err(StorageError::wrap(Operation::Sync))
    }
}
