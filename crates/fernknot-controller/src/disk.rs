//! The disk, seen from the loop: read once at the start and written by a thread of its own.

use fernknot_consensus::{PersistentState, WriteId};
use fernknot_storage::{Capacity, Storage, StorageError};
use fernknot_telemetry::part;
use mio::Waker;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// The register's part, and the controllers once known.
const CONSENSUS_KEY: &str = "views";
const KNOWN_PEERS_KEY: &str = "known";
/// The register has one write out, and one more after a failure; the rest is for addresses.
const WRITE_QUEUE_SLOTS: usize = 8;
/// A folder that does not open is tried again after this.
const REOPEN_DELAY: Duration = Duration::from_millis(200);
/// Tickets of writes that nobody waits for.
const UNTRACKED_TICKET: u64 = u64::MAX;

/// What lay on the disk at the start.
pub struct RecoveredState {
    pub consensus: Option<PersistentState>,
    pub known_peers: Vec<SocketAddrV4>,
    /// Nothing of the register was there.
    pub is_empty: bool,
}

enum DiskState {
    /// The thread that opens the folder hands it over when it has read it.
    Opening(Receiver<(Storage, RecoveredState)>),
    Open(Storage),
    /// This machine has none: what is held is as lasting as the process.
    Absent(Vec<WriteId>),
}

/// The disk.
pub struct Disk {
    state: DiskState,
    /// A disk that takes longer for one write is not well.
    write_timeout: Duration,
}

fn load(cistern: &Storage) -> Result<RecoveredState, StorageError> {
    let bytes = cistern.load(CONSENSUS_KEY)?;
    let known = cistern.load(KNOWN_PEERS_KEY)?.and_then(|bytes| bitcode::decode(&bytes).ok());
    let fresh = bytes.is_none();
    // What another build wrote says nothing here, and its member's life ends: it joins as a new one.
    let saved = bytes.and_then(|bytes| match bitcode::decode::<PersistentState>(&bytes) {
        Ok(saved) => Some(saved),
        Err(why) => {
            log::error!(target: part::STORAGE, "read the register: {why}");
            None
        }
    });
    Ok(RecoveredState { consensus: saved, known_peers: known.unwrap_or_default(), is_empty: fresh })
}

fn load_with_retry(cistern: &Storage) -> RecoveredState {
    let mut told = false;
    loop {
        match load(cistern) {
            Ok(found) => return found,
            Err(why) => {
                if !std::mem::replace(&mut told, true) {
                    log::warn!(target: part::STORAGE, "{why}; trying again");
                }
                std::thread::sleep(REOPEN_DELAY);
            }
        }
    }
}

impl Disk {
    /// Begins to read the folder, on a thread of its own: a disk that hangs holds up no beat. Without a folder, all
    /// is there at once.
    pub fn open(dir: Option<PathBuf>, bytes: u64, patience: Duration, waker: Arc<Waker>) -> Disk {
        let Some(dir) = dir else {
            return Disk { state: DiskState::Absent(Vec::new()), write_timeout: patience };
        };
        let (to, from) = channel();
        let work = move || {
            let wake = waker.clone();
            let waker_of_writes: Box<dyn Fn() + Send> = Box::new(move || _ = wake.wake());
            let space = Capacity { max_pending_writes: WRITE_QUEUE_SLOTS, disk_bytes: bytes };
            match Storage::open(dir, space, Some(waker_of_writes)) {
                Ok(cistern) => {
                    let found = load_with_retry(&cistern);
                    // The loop may have ended meanwhile.
                    let _ = to.send((cistern, found));
                }
                Err(why) => log::error!(target: part::STORAGE, "{why}"),
            }
            let _ = waker.wake();
        };
        if let Err(why) = std::thread::Builder::new().name("opening".into()).spawn(work) {
            log::error!(target: part::STORAGE, "start a thread: {why}");
        }
        Disk { state: DiskState::Opening(from), write_timeout: patience }
    }

    /// What lay there, once it has been read; given out once.
    pub fn take_recovered(&mut self) -> Option<RecoveredState> {
        let DiskState::Opening(from) = &self.state else { return None };
        let (cistern, found) = from.try_recv().ok()?;
        self.state = DiskState::Open(cistern);
        Some(found)
    }

    /// True where there is no disk at all.
    pub fn is_absent(&self) -> bool {
        matches!(self.state, DiskState::Absent(_))
    }

    /// Begins a write of the register. False where it can't even wait.
    pub fn store(&mut self, ticket: WriteId, saved: &PersistentState) -> bool {
        match &mut self.state {
            DiskState::Opening(_) => false,
            DiskState::Open(cistern) => {
                cistern.submit(ticket.0, CONSENSUS_KEY, bitcode::encode(saved)).is_ok()
            }
            DiskState::Absent(done) => {
                done.push(ticket);
                true
            }
        }
    }

    /// Keeps addresses; if it fails, the next change brings them again.
    pub fn store_known_peers(&mut self, addrs: &[SocketAddrV4]) {
        if let DiskState::Open(cistern) = &self.state {
            let _ = cistern.submit(UNTRACKED_TICKET, KNOWN_PEERS_KEY, bitcode::encode(addrs));
        }
    }

    /// Writes of the register that came to an end, and whether it was a good one.
    pub fn take_completed(&mut self) -> Vec<(WriteId, bool)> {
        match &mut self.state {
            DiskState::Opening(_) => Vec::new(),
            DiskState::Open(cistern) => {
                let done =
                    cistern.take_completed().into_iter().filter(|(ticket, _)| *ticket != UNTRACKED_TICKET);
                done.map(|(ticket, end)| {
                    if let Err(why) = &end {
                        log::warn!(target: part::STORAGE, "{why}");
                    }
                    (WriteId(ticket), end.is_ok())
                })
                .collect()
            }
            DiskState::Absent(done) => {
                std::mem::take(done).into_iter().map(|ticket| (ticket, true)).collect()
            }
        }
    }

    /// Whether it writes, and in time; not known before it has been read.
    pub fn is_healthy(&self) -> Option<bool> {
        match &self.state {
            DiskState::Opening(_) => None,
            DiskState::Open(cistern) => {
                let wait = cistern.oldest_pending_age(Instant::now());
                Some(cistern.is_healthy() && wait.is_none_or(|wait| wait < self.write_timeout))
            }
            DiskState::Absent(_) => Some(true),
        }
    }

    /// When it is to be looked at again, if a write is out.
    pub fn is_writing(&self) -> bool {
        matches!(&self.state, DiskState::Open(cistern) if cistern.pending_writes() > 0)
    }
}
