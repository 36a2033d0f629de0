//! The storage thread that owns the directory, its bounded queue and its waker.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fernknot::interface::Nanos;

use crate::directory::StoreDirectory;
use crate::error::{Operation, StorageError};
use crate::generation::{CompletedWrite, Values};
use crate::generation_manager::GenerationManager;
use crate::limits::Limits;

const THREAD_NAME: &str = "storage";
/// Shortest sleep of the storage thread before it polls the generation manager for a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Limits on the memory and disk space of a [`Storage`], which its owner sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of writes that are pending, or completed but not yet taken.
    pub max_pending_writes: usize,
    /// Size of the disk in bytes; the limits on stored data are shares of it.
    pub disk_bytes: u64,
}

/// Rejection of a write because too many are pending, or completed but not yet taken. Nothing of the write was
/// accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of pending writes is full")]
pub struct QueueFull;

/// Callback that the storage thread calls after a write has completed or [`Storage::loaded`] or
/// [`Storage::is_healthy`] has changed.
pub type Waker = Box<dyn Fn() + Send>;

/// Handle of the stored values and the thread that owns them. Dropping it requests the thread's end without waiting for
/// it, so that a hanging disk does not delay the end of the process.
#[derive(Debug)]
pub struct Storage {
    shared: Arc<Shared>,
    max_pending_writes: usize,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<SharedState>,
    /// Notified when a write is submitted or a shutdown is requested.
    work_available: Condvar,
    /// Notified when reading the directory has succeeded or failed.
    load_finished: Condvar,
}

/// Write that the thread has not accepted yet. `sequence` orders all writes of a storage.
#[derive(Debug)]
struct SubmittedWrite {
    sequence: u64,
    key: String,
    value: Vec<u8>,
}

#[derive(Debug)]
struct PendingWrite {
    write_id: u64,
    submitted_at: Instant,
}

#[derive(Debug, Default)]
struct SharedState {
    queue: VecDeque<SubmittedWrite>,
    /// Writes without a result, by their sequence number; the first one is the oldest.
    pending: BTreeMap<u64, PendingWrite>,
    next_sequence: u64,
    completed: Vec<CompletedWrite>,
    /// Result of the last attempt to read the directory; `None` before the first one has finished.
    loaded: Option<Result<(), StorageError>>,
    stored: Values,
    healthy: bool,
    shutting_down: bool,
}

impl Shared {
    /// Locks the state. No code that can panic runs under this lock, so a poisoned lock is used like any other.
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Storage {
    /// Starts the thread, which opens the directory. `waker` is called on that thread whenever a write has completed
    /// and whenever [`Storage::loaded`] or [`Storage::is_healthy`] changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started. A directory that cannot be opened is no error here: the thread
    /// keeps retrying, and rejects writes until it succeeds.
    pub fn open(
        directory: PathBuf,
        capacity: Capacity,
        waker: Option<Waker>,
    ) -> Result<Storage, StorageError> {
        let shared = Arc::new(Shared::default());
        let mut worker = Worker {
            shared: shared.clone(),
            manager: GenerationManager::new(Limits::of_disk(capacity.disk_bytes)),
            directory: StoreDirectory::new(directory),
            waker,
            started_at: Instant::now(),
        };
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || worker.run())
            .map_err(StorageError::wrap(Operation::Open))?;
        let max_pending_writes = capacity.max_pending_writes;
        Ok(Storage { shared, max_pending_writes, thread: Some(thread) })
    }

    /// Returns the value last stored under a key. Blocks until the first attempt to read the directory has finished;
    /// to be called at the start of the process, before the event loop.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory could not be opened or read yet; the stored values are then unknown.
    pub fn load(&self, key: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let mut state = self.shared.lock();
        loop {
            match &state.loaded {
                Some(Ok(())) => return Ok(state.stored.get(key).map(|value| value.to_vec())),
                Some(Err(error)) => return Err(error.clone()),
                None => {
                    let waited = self.shared.load_finished.wait(state);
                    state = waited.unwrap_or_else(PoisonError::into_inner);
                }
            }
        }
    }

    /// Returns the result of reading the directory, or `None` before the first attempt has finished; never blocks. An
    /// error becomes `Ok` when a later attempt succeeds.
    #[must_use]
    pub fn loaded(&self) -> Option<Result<(), StorageError>> {
        self.shared.lock().loaded.clone()
    }

    /// Submits a value to be stored under a key. [`Storage::take_completed`] returns the result under the same id.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if too many writes are pending, or completed but not yet taken.
    pub fn submit(&self, write_id: u64, key: impl Into<String>, value: Vec<u8>) -> Result<(), QueueFull> {
        let mut state = self.shared.lock();
        if state.pending.len() + state.completed.len() >= self.max_pending_writes {
            return Err(QueueFull);
        }
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        state.pending.insert(sequence, PendingWrite { write_id, submitted_at: Instant::now() });
        state.queue.push_back(SubmittedWrite { sequence, key: key.into(), value });
        drop(state);
        self.shared.work_available.notify_one();
        Ok(())
    }

    /// Takes the writes that have completed since the last call.
    #[must_use = "each result is given once"]
    pub fn take_completed(&self) -> Vec<CompletedWrite> {
        std::mem::take(&mut self.shared.lock().completed)
    }

    /// Returns the age of the oldest write without a result, since its submission; `None` if no write is pending.
    #[must_use]
    pub fn oldest_pending_age(&self, now: Instant) -> Option<Duration> {
        let state = self.shared.lock();
        let oldest = state.pending.values().next()?;
        Some(now.saturating_duration_since(oldest.submitted_at))
    }

    /// Returns the number of writes without a result.
    #[must_use]
    pub fn pending_writes(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Returns whether a trusted store is open: one that this process built and read back, and to which no write has
    /// failed. Writes are rejected after a failure, until there is one again.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().healthy
    }

    /// Waits until all submitted writes have completed and the thread has ended.
    pub fn close(mut self) {
        self.request_shutdown();
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked, so it has ended as well.
            let _ = thread.join();
        }
    }

    fn request_shutdown(&self) {
        self.shared.lock().shutting_down = true;
        self.shared.work_available.notify_one();
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        self.request_shutdown();
    }
}

/// State that only the storage thread uses.
struct Worker {
    shared: Arc<Shared>,
    manager: GenerationManager,
    directory: StoreDirectory,
    waker: Option<Waker>,
    started_at: Instant,
}

impl Worker {
    fn now(&self) -> Nanos {
        Nanos(u64::try_from(self.started_at.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    /// Executes actions until a shutdown is requested and no write is pending.
    fn run(&mut self) {
        loop {
            self.execute_actions();
            // Rejections are published even if no action was executed.
            self.publish();
            if !self.wait_for_work() {
                return;
            }
        }
    }

    fn execute_actions(&mut self) {
        while let Some(action) = self.manager.poll_action(self.now()) {
            let result = self.directory.execute(action);
            if let Err(error) = &result {
                log::warn!("{error}; the storage retries after a backoff delay");
            }
            self.manager.complete_action(result, self.now());
            self.publish();
            accept_submissions(&mut self.shared.lock(), &mut self.manager);
        }
    }

    /// Waits until a write is submitted or the manager has to be polled. Returns false if the thread has to end.
    fn wait_for_work(&mut self) -> bool {
        let mut state = self.shared.lock();
        if state.queue.is_empty() {
            if state.shutting_down {
                return false;
            }
            let work_available = &self.shared.work_available;
            state = match self.manager.wake_at() {
                Some(at) => {
                    let delay = Duration::from_nanos((at - self.now()).0).max(MIN_RETRY_DELAY);
                    let waited = work_available.wait_timeout(state, delay);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => work_available.wait(state).unwrap_or_else(PoisonError::into_inner),
            };
        }
        accept_submissions(&mut state, &mut self.manager);
        true
    }

    /// Publishes the manager's state to the owner of the [`Storage`], and calls the waker if it changed.
    fn publish(&mut self) {
        let completed = self.manager.take_completed();
        let mut state = self.shared.lock();
        let mut changed = !completed.is_empty() || state.healthy != self.manager.is_healthy();
        state.healthy = self.manager.is_healthy();
        for CompletedWrite { write_id: sequence, result } in completed {
            if let Some(PendingWrite { write_id, .. }) = state.pending.remove(&sequence) {
                state.completed.push(CompletedWrite { write_id, result });
            }
        }
        changed |= self.publish_loaded(&mut state);
        drop(state);
        if changed && let Some(waker) = &self.waker {
            waker();
        }
    }

    /// Publishes the stored values, or the error of reading them. Returns whether the result changed.
    fn publish_loaded(&self, state: &mut SharedState) -> bool {
        if let Some(stored) = self.manager.stored() {
            // The values are reference-counted, so this copies only pointers and keys.
            state.stored.clone_from(stored);
        }
        let loaded = match (self.manager.stored(), self.manager.fault()) {
            (Some(_), _) => Some(Ok(())),
            (None, fault) => fault.cloned().map(Err),
        };
        if loaded.is_none() || loaded == state.loaded {
            return false;
        }
        state.loaded = loaded;
        self.shared.load_finished.notify_all();
        true
    }
}

fn accept_submissions(state: &mut SharedState, manager: &mut GenerationManager) {
    for SubmittedWrite { sequence, key, value } in state.queue.drain(..) {
        manager.submit(sequence, key, value);
    }
}
