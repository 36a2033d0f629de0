//! The thread that owns the directory, its bounded queue and its waker.

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
/// The thread sleeps for so long at least before it retries.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// How much a storage may take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// How many writes may be pending at once, those included that have ended and were not taken.
    pub max_pending_writes: usize,
    /// The size of the disk; limits on what is stored are ratios of it.
    pub disk_bytes: u64,
}

/// Too many writes are pending: the disk is behind. Nothing of the write was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is free: the disk is behind")]
pub struct QueueFull;

/// Called on the storage's thread.
pub type Waker = Box<dyn Fn() + Send>;

/// What is on disk, and the thread that owns it. Dropping it asks the thread to end and does not wait: a disk that hangs
/// must not delay the end of the process.
#[derive(Debug)]
pub struct Storage {
    shared: Arc<Shared>,
    max_pending_writes: usize,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<SharedState>,
    /// Something was submitted, or a shutdown was requested.
    work_available: Condvar,
    /// The directory was read, or could not be.
    load_finished: Condvar,
}

/// A write on its way to the thread. `sequence` orders all writes of a storage.
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
    /// By sequence.
    pending: BTreeMap<u64, PendingWrite>,
    next_sequence: u64,
    completed: Vec<CompletedWrite>,
    /// Whether the directory was read, once that was tried.
    loaded: Option<Result<(), StorageError>>,
    stored: Values,
    healthy: bool,
    shutting_down: bool,
}

impl Shared {
    /// No code that can panic runs under this lock, so a poisoned one is as good as any.
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Storage {
    /// Starts the thread, which opens the directory. `waker` is called on that thread whenever a write has ended and
    /// whenever [`Storage::loaded`] or [`Storage::is_healthy`] changes.
    ///
    /// # Errors
    ///
    /// The thread could not be started. A directory that does not open is no error here: the thread keeps trying, and
    /// until then writes are rejected.
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
            .map_err(StorageError::at(Operation::Open))?;
        let max_pending_writes = capacity.max_pending_writes;
        Ok(Storage { shared, max_pending_writes, thread: Some(thread) })
    }

    /// The value last stored under a key. Blocks until the directory was read or could not be; meant for the start,
    /// before the event loop.
    ///
    /// # Errors
    ///
    /// The directory could not be opened or read yet: nothing is known of what is there.
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

    /// Whether [`Storage::load`] has an answer, and which; never blocks. An error may turn into `Ok` later, when the
    /// directory opens after all.
    #[must_use]
    pub fn loaded(&self) -> Option<Result<(), StorageError>> {
        self.shared.lock().loaded.clone()
    }

    /// Submits a value to be stored under a key. Its result comes by [`Storage::take_completed`], with the same id.
    ///
    /// # Errors
    ///
    /// Too many writes are pending.
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

    /// The writes that have ended since the last call.
    #[must_use = "each result is given once"]
    pub fn take_completed(&self) -> Vec<CompletedWrite> {
        std::mem::take(&mut self.shared.lock().completed)
    }

    /// How long the oldest write that has not ended has been pending.
    #[must_use]
    pub fn oldest_pending_age(&self, now: Instant) -> Option<Duration> {
        let state = self.shared.lock();
        let oldest = state.pending.values().next()?;
        Some(now.saturating_duration_since(oldest.submitted_at))
    }

    /// How many writes have not ended.
    #[must_use]
    pub fn pending_writes(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Whether there is an open store that is trusted. While there is none, writes are rejected.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().healthy
    }

    /// Ends the thread once all that was submitted has ended, and waits for that.
    pub fn close(mut self) {
        self.request_shutdown();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has ended, too.
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

/// What runs on the thread.
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

    /// Works until a shutdown is requested and nothing is pending.
    fn run(&mut self) {
        loop {
            self.execute_actions();
            // Rejections come without an action.
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
                log::warn!("{error}");
            }
            self.manager.complete_action(result, self.now());
            self.publish();
            accept_submissions(&mut self.shared.lock(), &mut self.manager);
        }
    }

    /// Waits until something is submitted or the manager wants to be polled; false: the thread is to end.
    fn wait_for_work(&mut self) -> bool {
        let mut state = self.shared.lock();
        if state.queue.is_empty() {
            if state.shutting_down {
                return false;
            }
            let work_available = &self.shared.work_available;
            state = match self.manager.wake_at() {
                Some(at) => {
                    let pause = Duration::from_nanos((at - self.now()).0).max(MIN_RETRY_PAUSE);
                    let waited = work_available.wait_timeout(state, pause);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => work_available.wait(state).unwrap_or_else(PoisonError::into_inner),
            };
        }
        accept_submissions(&mut state, &mut self.manager);
        true
    }

    /// Makes what the manager knows visible, and wakes the host where that changed something.
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

    /// Makes the stored values, or why they can't be read, visible; says whether that changed something.
    fn publish_loaded(&self, state: &mut SharedState) -> bool {
        if let Some(stored) = self.manager.stored() {
            // The values are shared, so this copies a few pointers.
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
