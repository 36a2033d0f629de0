//! Executes the generation manager's actions on files. Each generation is a directory named by its number. It
//! contains a `fjall` store and, once the generation is sealed (marked as complete), the file `sealed`.

use std::fs::{self, File};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use crate::error::{Operation, StorageError};
use crate::generation::{Action, Generation, ListedGeneration, Outcome, Values};
use crate::store::Store;

/// File that marks a generation as complete, if it has the contents of [`seal_contents`].
const SEAL_FILE: &str = "sealed";
/// Maximum depth of nested directories that are removed. A generation nests them two deep; anything deeper is not part
/// of a store.
const MAX_REMOVE_DEPTH: usize = 4;

/// Open store and its generation.
#[derive(Debug)]
struct OpenGeneration {
    generation: Generation,
    store: Store,
}

/// Directory of generations, and the stores that are open.
#[derive(Debug)]
pub struct StoreDirectory {
    path: PathBuf,
    /// Sealed store that receives the writes.
    open: Option<OpenGeneration>,
    /// Store that was built and is not sealed yet.
    built: Option<OpenGeneration>,
}

impl StoreDirectory {
    /// Creates a handle for the directory at this path; the first listing creates the directory itself.
    #[must_use]
    pub fn new(path: PathBuf) -> StoreDirectory {
        StoreDirectory { path, open: None, built: None }
    }

    /// Executes an action. Blocks until the disk operations have finished.
    ///
    /// # Errors
    ///
    /// Returns the operation that failed and the reason; a panic of `fjall` counts as a failure. After a failed write
    /// or seal the open store is closed and never used again.
    pub fn execute(&mut self, action: Action) -> Result<Outcome, StorageError> {
        let operation = match action {
            Action::List | Action::Read(_) => Operation::Read,
            Action::Build(..) => Operation::Open,
            Action::Seal(_) => Operation::Seal,
            Action::Write(..) => Operation::Insert,
            Action::Remove(_) => Operation::Remove,
        };
        let writes_to_open = matches!(action, Action::Write(..) | Action::Seal(_));
        // `fjall` panics on states that it considers impossible; a panic is handled as a failed operation.
        let result = catch_unwind(AssertUnwindSafe(|| self.attempt(action)))
            .unwrap_or_else(|_| Err(StorageError::new(operation, "the storage engine panicked")));
        if result.is_err() {
            self.built = None;
            if writes_to_open {
                self.open = None;
            }
        }
        result
    }

    fn attempt(&mut self, action: Action) -> Result<Outcome, StorageError> {
        match action {
            Action::List => self.list_generations().map(Outcome::Listed),
            Action::Read(generation) => {
                Store::open(&self.generation_path(generation))?.values().map(Outcome::Contents)
            }
            Action::Build(generation, values) => self.build_generation(generation, &values),
            Action::Seal(generation) => self.seal_generation(generation),
            Action::Write(generation, values) => self.write(generation, &values),
            Action::Remove(generation) => self.remove_generation(generation),
        }
    }

    fn generation_path(&self, generation: Generation) -> PathBuf {
        self.path.join(generation.0.to_string())
    }

    fn list_generations(&self) -> Result<Vec<ListedGeneration>, StorageError> {
        let wrap_error = StorageError::wrap(Operation::Open);
        if !self.path.try_exists().map_err(&wrap_error)? {
            fs::create_dir_all(&self.path).map_err(&wrap_error)?;
            // Without the directory's own entry in its parent, everything synced in it would be lost.
            if let Some(parent) = self.path.parent() {
                sync_directory(parent).map_err(&wrap_error)?;
            }
        }
        let mut generations = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(&wrap_error)? {
            let name = entry.map_err(&wrap_error)?.file_name();
            // Entries whose names are not numbers are not generations.
            let number: Option<u64> = name.to_str().and_then(|name| name.parse().ok());
            if let Some(generation) = number.map(Generation) {
                generations.push(ListedGeneration { generation, sealed: self.is_sealed(generation)? });
            }
        }
        Ok(generations)
    }

    fn is_sealed(&self, generation: Generation) -> Result<bool, StorageError> {
        match fs::read(self.generation_path(generation).join(SEAL_FILE)) {
            // A torn seal counts as missing: no write is acknowledged before the seal is synced.
            Ok(bytes) => Ok(bytes == seal_contents(generation)),
            Err(error) if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::NotADirectory) => {
                Ok(false)
            }
            // Treating an unreadable seal as missing would discard the generation's values.
            Err(error) => Err(StorageError::new(Operation::Read, error)),
        }
    }

    fn build_generation(&mut self, generation: Generation, values: &Values) -> Result<Outcome, StorageError> {
        let path = self.generation_path(generation);
        self.built = None;
        let store = Store::create(&path)?;
        store.write(entries(values))?;
        drop(store);
        // Reopening verifies that the store can be opened, and truncates its preallocated journal.
        let store = Store::open(&path)?;
        let contents = store.values()?;
        self.built = Some(OpenGeneration { generation, store });
        Ok(Outcome::Contents(contents))
    }

    fn write(&mut self, generation: Generation, values: &Values) -> Result<Outcome, StorageError> {
        let open = self.open.as_ref().filter(|open| open.generation == generation);
        let Some(open) = open else {
            return Err(StorageError::new(Operation::Insert, "this generation is not open"));
        };
        open.store.write(entries(values))?;
        Ok(Outcome::Done)
    }

    fn remove_generation(&mut self, generation: Generation) -> Result<Outcome, StorageError> {
        let wrap_error = StorageError::wrap(Operation::Remove);
        remove_directory(&self.generation_path(generation), MAX_REMOVE_DEPTH).map_err(&wrap_error)?;
        sync_directory(&self.path).map_err(&wrap_error)?;
        Ok(Outcome::Done)
    }

    fn seal_generation(&mut self, generation: Generation) -> Result<Outcome, StorageError> {
        let wrap_error = StorageError::wrap(Operation::Seal);
        let Some(built) = self.built.take().filter(|built| built.generation == generation) else {
            return Err(StorageError::new(Operation::Seal, "this generation was not built"));
        };
        let path = self.generation_path(generation);
        // The directories are synced first: a seal that survives a power loss implies a complete store.
        sync_directory(&path).map_err(&wrap_error)?;
        sync_directory(&self.path).map_err(&wrap_error)?;
        let mut file = File::create(path.join(SEAL_FILE)).map_err(&wrap_error)?;
        file.write_all(&seal_contents(generation)).map_err(&wrap_error)?;
        file.sync_all().map_err(&wrap_error)?;
        sync_directory(&path).map_err(&wrap_error)?;
        self.open = Some(built);
        Ok(Outcome::Done)
    }
}

/// Returns the values as pairs of key and bytes.
fn entries(values: &Values) -> impl Iterator<Item = (&str, &[u8])> {
    values.iter().map(|(key, value)| (key.as_str(), &**value))
}

/// Contents of a complete seal file; stored on disk.
fn seal_contents(generation: Generation) -> Vec<u8> {
    format!("fernknot cistern, generation {}\n", generation.0).into_bytes()
}

fn sync_directory(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

/// Removes a directory, its seal first, so that a generation partly removed before a power loss is not taken for a
/// complete one.
fn remove_directory(path: &Path, depth: usize) -> io::Result<()> {
    let ignore_missing = |result: io::Result<()>| match result {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    };
    let entries = match fs::read_dir(path) {
        Ok(entries) => entries,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) if error.kind() == io::ErrorKind::NotADirectory => {
            return ignore_missing(fs::remove_file(path));
        }
        Err(error) => return Err(error),
    };
    ignore_missing(fs::remove_file(path.join(SEAL_FILE)))?;
    for entry in entries {
        let entry = entry?;
        match entry.file_type()?.is_dir() && depth > 0 {
            true => remove_directory(&entry.path(), depth - 1)?,
            false => ignore_missing(fs::remove_file(entry.path()))?,
        }
    }
    ignore_missing(fs::remove_dir(path))
}
