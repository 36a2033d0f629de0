//! A simulated machine: a disk and a process on it that may crash and restart.

use std::net::SocketAddrV4;

use fernknot_consensus::{Consensus, MemberId, PersistentState, Revision, WriteId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Healthy,
    /// A sync takes up to a quarter of the suspicion time-out.
    Slow,
    Hanging,
    Full,
}

impl Disk {
    pub fn completes_writes(self) -> bool {
        matches!(self, Disk::Healthy | Disk::Slow)
    }
}

/// A write that a hanging disk has not completed.
#[derive(Debug)]
pub struct HangingWrite {
    pub write_id: WriteId,
    pub state: PersistentState,
}

pub struct Machine {
    pub addr: SocketAddrV4,
    pub id: MemberId,
    /// The content of the disk; `None` if it is empty.
    pub saved: Option<PersistentState>,
    /// All states written to the disk under its current id, oldest first.
    pub written: Vec<PersistentState>,
    /// Ids that its processes have replaced.
    pub replaced_ids: Vec<MemberId>,
    pub disk: Disk,
    /// The running process.
    pub consensus: Option<Consensus>,
    /// Number of starts and crashes of its process. Events of another incarnation are ignored.
    pub incarnation: u64,
    pub suspended: bool,
    /// Whether the machine is removed for good, with its disk.
    pub removed: bool,
    pub hanging_writes: Vec<HangingWrite>,
}

impl Machine {
    /// Returns a machine with an empty disk and no process.
    pub fn new(addr: SocketAddrV4, id: MemberId) -> Machine {
        Machine {
            addr,
            id,
            saved: None,
            written: Vec::new(),
            replaced_ids: Vec::new(),
            disk: Disk::Healthy,
            consensus: None,
            incarnation: 0,
            suspended: false,
            removed: false,
            hanging_writes: Vec::new(),
        }
    }

    /// Returns the running process, unless it is suspended.
    pub fn responsive(&mut self) -> Option<&mut Consensus> {
        let suspended = self.suspended;
        self.consensus.as_mut().filter(|_| !suspended)
    }

    pub fn delivered_revision(&self) -> Option<Revision> {
        self.consensus.as_ref().and_then(Consensus::delivered).map(|(revision, _)| revision)
    }

    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Records that the state is durable.
    pub fn record_write(&mut self, state: PersistentState) {
        self.written.retain(|earlier| earlier.member_id == state.member_id);
        self.written.push(state.clone());
        self.saved = Some(state);
    }
}
