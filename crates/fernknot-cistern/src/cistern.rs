//! The host of the keeper: a thread, its queue and the folder.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::error::{Step, StoreError};

/// What a cistern may take up. Ratios to what the process was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Space {
    /// How many writes may wait at once.
    pub slots: usize,
    /// The most bytes that the folder should grow to.
    pub disk_bytes: u64,
}

/// No slot is free: the disk is behind. Nothing of the write was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is free: the disk is behind")]
pub struct Full;

/// What lies on disk, and the thread that keeps it. Dropping it asks the thread to end and does not
/// wait: a disk that hangs must not hold up the end of the process.
pub struct Cistern {}

impl Cistern {
    /// Opens the folder and starts the thread. `waker` is called on that thread whenever something
    /// is done. Blocks until the folder is open or has failed to open once.
    ///
    /// # Errors
    ///
    /// The thread could not be started. A folder that does not open is no error here: the thread
    /// tries again, and until then writes are refused.
    pub fn open(
        _dir: PathBuf,
        _space: Space,
        _waker: Option<Box<dyn Fn() + Send>>,
    ) -> Result<Cistern, StoreError> {
        Ok(Cistern {})
    }

    /// The value last stored under a key. Blocks; meant for the start, before the loop.
    ///
    /// # Errors
    ///
    /// The folder could not be opened or read; nothing is known of what lies there.
    pub fn load(&self, _key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Err(StoreError::new(Step::Read, "nothing here yet"))
    }

    /// Hands a value over to be stored under a key. Its end comes by [`Cistern::done`], with the
    /// same ticket.
    ///
    /// # Errors
    ///
    /// No slot is free.
    pub fn submit(&self, _ticket: u64, _key: impl Into<String>, _value: Vec<u8>) -> Result<(), Full> {
        Err(Full)
    }

    /// What has come to its end since the last call. `Ok` means written and synced.
    pub fn done(&self) -> Vec<(u64, Result<(), StoreError>)> {
        Vec::new()
    }

    /// How long the oldest write that has not come to its end has been waiting.
    pub fn oldest_wait(&self, _now: Instant) -> Option<Duration> {
        None
    }

    /// How many writes wait.
    pub fn waiting(&self) -> usize {
        0
    }

    /// Whether the folder is open and trusted at this moment.
    pub fn sound(&self) -> bool {
        false
    }
}
