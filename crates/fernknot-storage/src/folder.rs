//! The keeper's orders on files. Each generation is a folder with a number for its name, holding a
//! `fjall` store and, once it is sealed, the file `sealed`.

use std::fs::{self, File};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};

use crate::error::{Operation, StorageError};
use crate::journal;
use crate::keeper::{Action, Generation, Outcome, Values};

const KEYSPACE: &str = "kept";
const SEAL_FILE: &str = "sealed";
/// A file that every whole store has; without it `fjall` would take the folder for a new one.
const VERSION_FILE: &str = "version";
/// Folders in a generation lie two deep; nothing deeper is ours to remove.
const MAX_REMOVE_DEPTH: usize = 4;
const CACHE_BYTES: u64 = 1 << 20;
/// The fewest that `fjall` takes.
const MAX_CACHED_FILES: usize = 10;

/// The folder, and the stores that are open.
#[derive(Debug)]
pub struct StoreDirectory {
    path: PathBuf,
    open: Option<(Generation, Store)>,
    built: Option<(Generation, Store)>,
}

struct Store {
    // Dropped in this order: the database waits for its threads and then lets the lock go.
    keyspace: Keyspace,
    database: Database,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Store")
    }
}

impl StoreDirectory {
    pub fn new(dir: PathBuf) -> StoreDirectory {
        StoreDirectory { path: dir, open: None, built: None }
    }

    /// Carries an order out. Blocks for as long as the disk does.
    ///
    /// # Errors
    ///
    /// The step that failed. A store in which a write failed is closed for good, and so is one in
    /// which `fjall` panicked.
    pub fn execute(&mut self, order: Action) -> Result<Outcome, StorageError> {
        let step = match order {
            Action::List | Action::Read(_) => Operation::Read,
            Action::Build(..) => Operation::Open,
            Action::Seal(_) => Operation::Seal,
            Action::Write(..) => Operation::Insert,
            Action::Remove(_) => Operation::Remove,
        };
        let spoils = matches!(order, Action::Write(..) | Action::Seal(_));
        // What `fjall` holds to be impossible it panics on; here that is one more failed step.
        let end = catch_unwind(AssertUnwindSafe(|| self.attempt(order)))
            .unwrap_or_else(|_| Err(StorageError::new(step, "the store panicked")));
        if end.is_err() {
            self.built = None;
            if spoils {
                self.open = None;
            }
        }
        end
    }

    fn attempt(&mut self, order: Action) -> Result<Outcome, StorageError> {
        match order {
            Action::List => self.list_generations().map(Outcome::Listed),
            Action::Read(generation) => {
                Store::open(&self.generation_path(generation))?.values().map(Outcome::Contents)
            }
            Action::Build(generation, values) => self.build_generation(generation, &values),
            Action::Seal(generation) => self.seal_generation(generation),
            Action::Write(generation, items) => match &self.open {
                Some((open, store)) if *open == generation => {
                    store.write(items.iter().map(|(key, value)| (key.as_str(), &**value)))?;
                    Ok(Outcome::Done)
                }
                _ => Err(StorageError::new(Operation::Insert, "this generation is not open")),
            },
            Action::Remove(generation) => {
                let path = self.generation_path(generation);
                remove_directory(&path, MAX_REMOVE_DEPTH).map_err(StorageError::at(Operation::Remove))?;
                sync_directory(&self.path).map_err(StorageError::at(Operation::Remove))?;
                Ok(Outcome::Done)
            }
        }
    }

    fn generation_path(&self, generation: Generation) -> PathBuf {
        self.path.join(generation.0.to_string())
    }

    fn list_generations(&self) -> Result<Vec<(Generation, bool)>, StorageError> {
        let at = StorageError::at(Operation::Open);
        if !self.path.try_exists().map_err(&at)? {
            fs::create_dir_all(&self.path).map_err(&at)?;
            // A folder whose own name is lost takes all that was synced in it along.
            if let Some(parent) = self.path.parent() {
                sync_directory(parent).map_err(&at)?;
            }
        }
        let mut generations = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(&at)? {
            let name = entry.map_err(&at)?.file_name();
            // What bears no number is not ours.
            let number: Option<u64> = name.to_str().and_then(|name| name.parse().ok());
            if let Some(generation) = number.map(Generation) {
                generations.push((generation, self.is_sealed(generation)?));
            }
        }
        Ok(generations)
    }

    fn is_sealed(&self, generation: Generation) -> Result<bool, StorageError> {
        match fs::read(self.generation_path(generation).join(SEAL_FILE)) {
            // A torn seal is none: nothing is reported as stored before it is synced.
            Ok(bytes) => Ok(bytes == seal_contents(generation)),
            Err(error) if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::NotADirectory) => {
                Ok(false)
            }
            // To take a seal that cannot be read for none would lose what it seals.
            Err(error) => Err(StorageError::new(Operation::Read, error)),
        }
    }

    fn build_generation(&mut self, generation: Generation, values: &Values) -> Result<Outcome, StorageError> {
        let path = self.generation_path(generation);
        self.built = None;
        let store = Store::create(&path)?;
        store.write(values.iter().map(|(key, value)| (key.as_str(), &**value)))?;
        drop(store);
        // Opening it anew shows that it opens, and cuts the room set aside from its journal.
        let store = Store::open(&path)?;
        let held = store.values()?;
        self.built = Some((generation, store));
        Ok(Outcome::Contents(held))
    }

    fn seal_generation(&mut self, generation: Generation) -> Result<Outcome, StorageError> {
        let at = StorageError::at(Operation::Seal);
        let Some(built) = self.built.take().filter(|(built, _)| *built == generation) else {
            return Err(StorageError::new(Operation::Seal, "this generation was not built"));
        };
        let path = self.generation_path(generation);
        // The names first: once the seal is there, all that it speaks for must be.
        sync_directory(&path).map_err(&at)?;
        sync_directory(&self.path).map_err(&at)?;
        let mut file = File::create(path.join(SEAL_FILE)).map_err(&at)?;
        file.write_all(&seal_contents(generation)).map_err(&at)?;
        file.sync_all().map_err(&at)?;
        sync_directory(&path).map_err(&at)?;
        self.open = Some(built);
        Ok(Outcome::Done)
    }
}

impl Store {
    fn create(path: &Path) -> Result<Store, StorageError> {
        let at = StorageError::at(Operation::Open);
        fs::create_dir_all(path).map_err(StorageError::at(Operation::Open))?;
        let database = Store::database(path)?;
        let options = || KeyspaceCreateOptions::default().manual_journal_persist(true);
        let kept = database.keyspace(KEYSPACE, options).map_err(&at)?;
        Ok(Store { keyspace: kept, database })
    }

    /// Opens a store that is there.
    fn open(path: &Path) -> Result<Store, StorageError> {
        let at = StorageError::at(Operation::Open);
        let io = StorageError::at(Operation::Open);
        if !path.join(VERSION_FILE).try_exists().map_err(&io)? {
            return Err(StorageError::new(Operation::Open, "the store is not whole"));
        }
        for entry in fs::read_dir(path).map_err(&io)? {
            let file = entry.map_err(&io)?.path();
            if file.extension().is_some_and(|extension| extension == "jnl") {
                journal::repair(&file).map_err(&io)?;
            }
        }
        let database = Store::database(path)?;
        if !database.keyspace_exists(KEYSPACE) {
            return Err(StorageError::new(Operation::Open, "the store lacks its keyspace"));
        }
        let kept = database.keyspace(KEYSPACE, KeyspaceCreateOptions::default).map_err(&at)?;
        Ok(Store { keyspace: kept, database })
    }

    fn database(path: &Path) -> Result<Database, StorageError> {
        // One thread, which has nothing to do: a generation ends before its values leave memory.
        Database::builder(path)
            .worker_threads(1)
            .cache_size(CACHE_BYTES)
            .max_cached_files(Some(MAX_CACHED_FILES))
            .manual_journal_persist(true)
            .open()
            .map_err(StorageError::at(Operation::Open))
    }

    fn values(&self) -> Result<Values, StorageError> {
        let mut values = Values::new();
        for guard in self.keyspace.iter() {
            let (key, value) = guard.into_inner().map_err(StorageError::at(Operation::Read))?;
            let key = String::from_utf8(key.to_vec()).map_err(StorageError::at(Operation::Read))?;
            values.insert(key, value.to_vec().into());
        }
        Ok(values)
    }

    fn write<'a>(&self, items: impl Iterator<Item = (&'a str, &'a [u8])>) -> Result<(), StorageError> {
        for (key, value) in items {
            self.keyspace.insert(key, value).map_err(StorageError::at(Operation::Insert))?;
        }
        self.database.persist(PersistMode::SyncAll).map_err(StorageError::at(Operation::Sync))
    }
}

fn seal_contents(generation: Generation) -> Vec<u8> {
    format!("fernknot cistern, generation {}\n", generation.0).into_bytes()
}

fn sync_directory(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

/// Removes a folder, its seal first: what is left after a loss of power must not look whole.
fn remove_directory(path: &Path, depth: usize) -> io::Result<()> {
    let gone = |end: io::Result<()>| match end {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        end => end,
    };
    let entries = match fs::read_dir(path) {
        Ok(entries) => entries,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) if error.kind() == io::ErrorKind::NotADirectory => return gone(fs::remove_file(path)),
        Err(error) => return Err(error),
    };
    gone(fs::remove_file(path.join(SEAL_FILE)))?;
    for entry in entries {
        let entry = entry?;
        match entry.file_type()?.is_dir() && depth > 0 {
            true => remove_directory(&entry.path(), depth - 1)?,
            false => gone(fs::remove_file(entry.path()))?,
        }
    }
    gone(fs::remove_dir(path))
}
