//! The host of the keeper: a thread, its bounded queue and its waker.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fernknot::interface::Nanos;

use crate::error::{Operation, StorageError};
use crate::folder::StoreDirectory;
use crate::keeper::{GenerationManager, Limits, Values};

/// What a cistern may take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// How many writes may wait at once, those that ended and were not fetched included.
    pub max_pending_writes: usize,
    /// The bytes that the disk gives; bounds in the folder are ratios to it.
    pub disk_bytes: u64,
}

/// No slot is free: the disk is behind. Nothing of the write was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is free: the disk is behind")]
pub struct QueueFull;

/// Called on the cistern's thread.
pub type Waker = Box<dyn Fn() + Send>;

/// What lies on disk, and the thread that keeps it. Dropping it asks the thread to end and does not
/// wait: a disk that hangs must not hold up the end of the process.
#[derive(Debug)]
pub struct Storage {
    shared: Arc<Shared>,
    max_pending_writes: usize,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<SharedState>,
    /// Something was handed over, or the end is asked for.
    work_available: Condvar,
    /// The folder was read, or could not be.
    load_finished: Condvar,
}

#[derive(Debug, Default)]
struct SharedState {
    queue: VecDeque<(u64, String, Vec<u8>)>,
    /// By the order of handing over: ticket and time.
    pending: BTreeMap<u64, (u64, Instant)>,
    next_sequence: u64,
    completed: Vec<(u64, Result<(), StorageError>)>,
    /// Whether the folder was read, once that was tried.
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
    /// Starts the thread, which opens the folder. `waker` is called on that thread whenever a write
    /// has come to its end and whenever [`Cistern::loaded`] or [`Cistern::sound`] changes.
    ///
    /// # Errors
    ///
    /// The thread could not be started. A folder that does not open is no error here: the thread
    /// goes on trying, and until then writes are refused.
    pub fn open(dir: PathBuf, space: Capacity, waker: Option<Waker>) -> Result<Storage, StorageError> {
        let shared = Arc::new(Shared::default());
        let theirs = shared.clone();
        let keeper = GenerationManager::new(Limits::of_disk(space.disk_bytes));
        let thread = std::thread::Builder::new()
            .name("cistern".into())
            .spawn(move || run_thread(&theirs, keeper, StoreDirectory::new(dir), waker))
            .map_err(StorageError::at(Operation::Open))?;
        Ok(Storage { shared, max_pending_writes: space.max_pending_writes, thread: Some(thread) })
    }

    /// The value last stored under a key. Blocks until the folder was read or could not be; meant
    /// for the start, before the loop.
    ///
    /// # Errors
    ///
    /// The folder could not be opened or read yet: nothing is known of what lies there.
    pub fn load(&self, key: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let mut state = self.shared.lock();
        loop {
            match &state.loaded {
                Some(Ok(())) => return Ok(state.stored.get(key).map(|value| value.to_vec())),
                Some(Err(error)) => return Err(error.clone()),
                None => state = self.shared.load_finished.wait(state).unwrap_or_else(PoisonError::into_inner),
            }
        }
    }

    /// Whether [`Cistern::load`] has an answer, and which; never blocks. An error may turn into `Ok`
    /// later, when the folder opens after all.
    pub fn loaded(&self) -> Option<Result<(), StorageError>> {
        self.shared.lock().loaded.clone()
    }

    /// Hands a value over to be stored under a key. Its end comes by [`Cistern::done`], with the
    /// same ticket.
    ///
    /// # Errors
    ///
    /// No slot is free.
    pub fn submit(&self, ticket: u64, key: impl Into<String>, value: Vec<u8>) -> Result<(), QueueFull> {
        let mut state = self.shared.lock();
        if state.pending.len() + state.completed.len() >= self.max_pending_writes {
            return Err(QueueFull);
        }
        let number = state.next_sequence;
        state.next_sequence += 1;
        state.pending.insert(number, (ticket, Instant::now()));
        state.queue.push_back((number, key.into(), value));
        drop(state);
        self.shared.work_available.notify_one();
        Ok(())
    }

    /// What has come to its end since the last call. `Ok` means that the value, or a newer one that
    /// was handed over under the same key, is written and synced. After an error it may be there or
    /// not.
    pub fn take_completed(&self) -> Vec<(u64, Result<(), StorageError>)> {
        std::mem::take(&mut self.shared.lock().completed)
    }

    /// How long the oldest write that has not come to its end has been waiting.
    pub fn oldest_pending_age(&self, now: Instant) -> Option<Duration> {
        let state = self.shared.lock();
        state.pending.values().next().map(|(_, since)| now.saturating_duration_since(*since))
    }

    /// How many writes have not come to their end.
    pub fn pending_writes(&self) -> usize {
        self.shared.lock().pending.len()
    }

    /// Whether there is an open store that is trusted. While there is none, writes are refused.
    pub fn is_healthy(&self) -> bool {
        self.shared.lock().healthy
    }

    /// Ends the thread once all that was handed over has come to its end, and waits for that.
    pub fn close(mut self) {
        self.request_shutdown();
        if let Some(thread) = self.thread.take() {
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

fn run_thread(
    shared: &Shared,
    mut keeper: GenerationManager,
    mut folder: StoreDirectory,
    waker: Option<Waker>,
) {
    let start = Instant::now();
    let now = || Nanos(u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX));
    loop {
        while let Some(order) = keeper.poll_action(now()) {
            let end = folder.execute(order);
            if let Err(error) = &end {
                log::warn!("{error}");
            }
            keeper.complete_action(end, now());
            publish(shared, &mut keeper, waker.as_ref());
            accept_submissions(&mut shared.lock(), &mut keeper);
        }
        // Refusals come without an order.
        publish(shared, &mut keeper, waker.as_ref());
        let mut state = shared.lock();
        if state.queue.is_empty() {
            if state.shutting_down {
                return;
            }
            state = match keeper.wake_at() {
                Some(at) => {
                    let pause = Duration::from_nanos((at - now()).0).max(Duration::from_millis(1));
                    let waited = shared.work_available.wait_timeout(state, pause);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => shared.work_available.wait(state).unwrap_or_else(PoisonError::into_inner),
            };
        }
        accept_submissions(&mut state, &mut keeper);
    }
}

fn accept_submissions(state: &mut SharedState, keeper: &mut GenerationManager) {
    for (number, key, value) in state.queue.drain(..) {
        keeper.submit(number, key, value);
    }
}

/// Makes what the keeper knows visible, and wakes the host where that changed something.
fn publish(shared: &Shared, keeper: &mut GenerationManager, waker: Option<&Waker>) {
    let reports = keeper.take_completed();
    let mut state = shared.lock();
    let mut changed = !reports.is_empty() || state.healthy != keeper.is_healthy();
    state.healthy = keeper.is_healthy();
    for (number, end) in reports {
        if let Some((ticket, _)) = state.pending.remove(&number) {
            state.completed.push((ticket, end));
        }
    }
    // The values are shared, so this copies a few pointers.
    let loaded = match (keeper.stored(), keeper.fault()) {
        (Some(kept), _) => {
            state.stored.clone_from(kept);
            Some(Ok(()))
        }
        (None, trouble) => trouble.cloned().map(Err),
    };
    if loaded.is_some() && loaded != state.loaded {
        state.loaded = loaded;
        shared.load_finished.notify_all();
        changed = true;
    }
    drop(state);
    if let (true, Some(waker)) = (changed, waker) {
        waker();
    }
}
