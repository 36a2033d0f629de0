//! Access to the disk from the event loop: a separate thread reads it once at start, and writes are asynchronous.

use fernknot_consensus::{PersistentState, WriteId};
use fernknot_storage::{Capacity, CompletedWrite, Storage, StorageError};
use fernknot_telemetry::component;
use mio::Waker;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Storage key of the consensus state.
const CONSENSUS_KEY: &str = "views";
/// Storage key of the addresses of other controllers.
const KNOWN_PEERS_KEY: &str = "known";
/// Maximum number of pending writes: one of the consensus state, one more after a failure, and the rest for
/// addresses.
const MAX_PENDING_WRITES: usize = 8;
/// Delay between two attempts to read the directory.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Identifier of the writes of addresses, whose completion is not reported to the controller.
const UNTRACKED_WRITE_ID: u64 = u64::MAX;

/// State read from the disk at the start of the process.
pub struct RecoveredState {
    /// State of the consensus member, if it can be decoded.
    pub consensus: Option<PersistentState>,
    /// Internal addresses of other controllers that an earlier process knew; empty if there are none or they can't be
    /// decoded.
    pub known_peers: Vec<SocketAddrV4>,
    /// Whether no consensus state was stored, decodable or not.
    pub is_empty: bool,
}

enum DiskState {
    /// A thread is opening and reading the directory; it sends the result through this channel.
    Opening(Receiver<(Storage, RecoveredState)>),
    /// The directory is open and has been read.
    Open(Storage),
    /// The machine has no disk, and the state lasts as long as the process. Holds the writes requested so far.
    Absent(Vec<WriteId>),
}

/// Data directory of a controller, as the event loop uses it: no call waits for the disk.
pub struct Disk {
    state: DiskState,
    /// Age of a pending write above which the disk is unhealthy.
    write_timeout: Duration,
}

impl Disk {
    /// Starts to read the directory on a separate thread, so that a hung disk does not delay heartbeats. Without a
    /// directory, the disk is absent. `waker` wakes the event loop when a result is available.
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
            log::error!(
                target: component::STORAGE,
                "cannot start the thread that opens the disk: {error}; the disk stays unavailable until a restart"
            );
        }
        Disk { state: DiskState::Opening(receiver), write_timeout }
    }

    /// Returns the recovered state, once, after the directory has been read.
    pub fn take_recovered(&mut self) -> Option<RecoveredState> {
        let DiskState::Opening(receiver) = &self.state else { return None };
        let (storage, recovered) = receiver.try_recv().ok()?;
        self.state = DiskState::Open(storage);
        Some(recovered)
    }

    /// Whether the controller runs without a data directory.
    pub fn is_absent(&self) -> bool {
        matches!(self.state, DiskState::Absent(_))
    }

    /// Submits a write of the consensus state. Returns false if it cannot be queued.
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

    /// Submits a write of the addresses of other controllers. A failure is ignored: the next change of the addresses
    /// writes all of them again.
    pub fn store_known_peers(&mut self, addrs: &[SocketAddrV4]) {
        if let DiskState::Open(storage) = &self.state {
            let _ = storage.submit(UNTRACKED_WRITE_ID, KNOWN_PEERS_KEY, bitcode::encode(addrs));
        }
    }

    /// Takes the completed writes of the consensus state, each with true if it is on disk.
    pub fn take_completed(&mut self) -> Vec<(WriteId, bool)> {
        match &mut self.state {
            DiskState::Opening(_) => Vec::new(),
            DiskState::Open(storage) => completed_writes(storage),
            DiskState::Absent(completed) => {
                std::mem::take(completed).into_iter().map(|write_id| (write_id, true)).collect()
            }
        }
    }

    /// Whether the disk accepts writes and completes them in time; None before the directory has been read.
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

    /// Whether a write is pending, so that the disk has to be polled.
    pub fn is_writing(&self) -> bool {
        matches!(&self.state, DiskState::Open(storage) if storage.pending_writes() > 0)
    }
}

fn completed_writes(storage: &mut Storage) -> Vec<(WriteId, bool)> {
    let tracked = storage.take_completed().into_iter().filter(|write| write.write_id != UNTRACKED_WRITE_ID);
    tracked
        .map(|CompletedWrite { write_id, result }| {
            if let Err(error) = &result {
                log::warn!(target: component::STORAGE, "cannot write the consensus state: {error}");
            }
            (WriteId(write_id), result.is_ok())
        })
        .collect()
}

/// Opens the directory and sends its contents; the main function of the opening thread.
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
            // Fails only if the event loop has ended in the meantime.
            let _ = sender.send((storage, recovered));
        }
        Err(error) => log::error!(
            target: component::STORAGE,
            "cannot open the storage directory: {error}; the disk stays unavailable until a restart"
        ),
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
                    log::warn!(target: component::STORAGE, "cannot read the stored state: {error}; retrying");
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

/// Decodes the consensus state. A state that another build wrote cannot be decoded: its member's identity is lost,
/// and this controller joins as a new member.
fn decode_consensus(bytes: &[u8]) -> Option<PersistentState> {
    match bitcode::decode(bytes) {
        Ok(state) => Some(state),
        Err(error) => {
            log::error!(
                target: component::STORAGE,
                "cannot decode the consensus state: {error}; joining as a new member"
            );
            None
        }
    }
}
