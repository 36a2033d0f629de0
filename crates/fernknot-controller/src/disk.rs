//! The disk, seen from the event loop: read once at the start, and written by a thread of its own.

use fernknot_consensus::{PersistentState, WriteId};
use fernknot_storage::{Capacity, CompletedWrite, Storage, StorageError};
use fernknot_telemetry::part;
use mio::Waker;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// The key of the consensus state.
const CONSENSUS_KEY: &str = "views";
/// The key of the addresses of other controllers.
const KNOWN_PEERS_KEY: &str = "known";
/// Writes that may be pending: one of the consensus state, one more after a failure, and the rest for addresses.
const MAX_PENDING_WRITES: usize = 8;
/// A directory that can't be read is tried again after this.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The identifier of writes that nobody waits for.
const UNTRACKED_WRITE: u64 = u64::MAX;

/// What lay on the disk at the start.
pub struct RecoveredState {
    /// The state of the consensus member, if it can be read.
    pub consensus: Option<PersistentState>,
    /// Addresses of other controllers.
    pub known_peers: Vec<SocketAddrV4>,
    /// No consensus state was stored, readable or not.
    pub is_empty: bool,
}

enum DiskState {
    /// The thread that opens the directory sends it over once it has read it.
    Opening(Receiver<(Storage, RecoveredState)>),
    /// The directory has been read.
    Open(Storage),
    /// This machine has none: the state lasts as long as the process. Holds the writes that have been asked for.
    Absent(Vec<WriteId>),
}

/// The disk of a controller.
pub struct Disk {
    state: DiskState,
    /// A disk that takes longer for one write is unhealthy.
    write_timeout: Duration,
}

impl Disk {
    /// Begins to read the directory, on a thread of its own: a disk that hangs holds up no heartbeat. Without a
    /// directory, the disk is absent. `waker` ends the wait of the event loop when there is something to take.
    pub fn open(
        directory: Option<PathBuf>,
        disk_bytes: u64,
        write_timeout: Duration,
        waker: Arc<Waker>,
    ) -> Disk {
        let Some(directory) = directory else {
            return Disk { state: DiskState::Absent(Vec::new()), write_timeout };
        };
        let (sender, receiver) = channel();
        let work = move || open_and_load(directory, disk_bytes, &waker, &sender);
        if let Err(error) = std::thread::Builder::new().name("opening".into()).spawn(work) {
            log::error!(target: part::STORAGE, "start a thread: {error}");
        }
        Disk { state: DiskState::Opening(receiver), write_timeout }
    }

    /// What lay on the disk, once it has been read; returned once.
    pub fn take_recovered(&mut self) -> Option<RecoveredState> {
        let DiskState::Opening(receiver) = &self.state else { return None };
        let (storage, recovered) = receiver.try_recv().ok()?;
        self.state = DiskState::Open(storage);
        Some(recovered)
    }

    /// Whether there is no disk at all.
    pub fn is_absent(&self) -> bool {
        matches!(self.state, DiskState::Absent(_))
    }

    /// Begins to write the consensus state. False where the write can't even be queued.
    pub fn store(&mut self, write_id: WriteId, state: &PersistentState) -> bool {
        match &mut self.state {
            DiskState::Opening(_) => false,
            DiskState::Open(storage) => {
                storage.submit(write_id.0, CONSENSUS_KEY, bitcode::encode(state)).is_ok()
            }
            DiskState::Absent(completed) => {
                completed.push(write_id);
                true
            }
        }
    }

    /// Keeps addresses of other controllers. If that fails, the next change brings them again.
    pub fn store_known_peers(&mut self, addrs: &[SocketAddrV4]) {
        if let DiskState::Open(storage) = &self.state {
            let _ = storage.submit(UNTRACKED_WRITE, KNOWN_PEERS_KEY, bitcode::encode(addrs));
        }
    }

    /// Writes of the consensus state that have ended, and whether each is on disk.
    pub fn take_completed(&mut self) -> Vec<(WriteId, bool)> {
        match &mut self.state {
            DiskState::Opening(_) => Vec::new(),
            DiskState::Open(storage) => completed_writes(storage),
            DiskState::Absent(completed) => {
                std::mem::take(completed).into_iter().map(|write_id| (write_id, true)).collect()
            }
        }
    }

    /// Whether it writes, and in time; None before it has been read.
    pub fn is_healthy(&self) -> Option<bool> {
        match &self.state {
            DiskState::Opening(_) => None,
            DiskState::Open(storage) => {
                let age = storage.oldest_pending_age(Instant::now());
                Some(storage.is_healthy() && age.is_none_or(|age| age < self.write_timeout))
            }
            DiskState::Absent(_) => Some(true),
        }
    }

    /// Whether a write is pending, so that the disk has to be looked at again.
    pub fn is_writing(&self) -> bool {
        matches!(&self.state, DiskState::Open(storage) if storage.pending_writes() > 0)
    }
}

fn completed_writes(storage: &mut Storage) -> Vec<(WriteId, bool)> {
    let tracked = storage.take_completed().into_iter().filter(|write| write.write_id != UNTRACKED_WRITE);
    tracked
        .map(|CompletedWrite { write_id, result }| {
            if let Err(error) = &result {
                log::warn!(target: part::STORAGE, "{error}");
            }
            (WriteId(write_id), result.is_ok())
        })
        .collect()
}

/// The work of the thread that opens the directory.
fn open_and_load(
    directory: PathBuf,
    disk_bytes: u64,
    waker: &Arc<Waker>,
    sender: &Sender<(Storage, RecoveredState)>,
) {
    let wake = waker.clone();
    let wake_after_writes: Box<dyn Fn() + Send> = Box::new(move || _ = wake.wake());
    let capacity = Capacity { max_pending_writes: MAX_PENDING_WRITES, disk_bytes };
    match Storage::open(directory, capacity, Some(wake_after_writes)) {
        Ok(storage) => {
            let recovered = load_with_retry(&storage);
            // The event loop may have ended meanwhile.
            let _ = sender.send((storage, recovered));
        }
        Err(error) => log::error!(target: part::STORAGE, "{error}"),
    }
    let _ = waker.wake();
}

fn load_with_retry(storage: &Storage) -> RecoveredState {
    let mut is_logged = false;
    loop {
        match load(storage) {
            Ok(recovered) => return recovered,
            Err(error) => {
                if !std::mem::replace(&mut is_logged, true) {
                    log::warn!(target: part::STORAGE, "{error}; retrying");
                }
                std::thread::sleep(READ_RETRY_DELAY);
            }
        }
    }
}

fn load(storage: &Storage) -> Result<RecoveredState, StorageError> {
    let bytes = storage.load(CONSENSUS_KEY)?;
    let known_peers = storage.load(KNOWN_PEERS_KEY)?.and_then(|bytes| bitcode::decode(&bytes).ok());
    let is_empty = bytes.is_none();
    let consensus = bytes.and_then(|bytes| decode_consensus(&bytes));
    Ok(RecoveredState { consensus, known_peers: known_peers.unwrap_or_default(), is_empty })
}

/// What another build wrote says nothing here, and the identity of its member ends: it joins as a new one.
fn decode_consensus(bytes: &[u8]) -> Option<PersistentState> {
    match bitcode::decode(bytes) {
        Ok(state) => Some(state),
        Err(error) => {
            log::error!(target: part::STORAGE, "read the consensus state: {error}");
            None
        }
    }
}
