//! A machine: its disk outlives its process.

use std::net::SocketAddrV4;

use fernknot_consensus::{Consensus, MemberId, PersistentState, Revision, WriteId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Healthy,
    /// A sync takes a good part of the suspicion time-out.
    Slow,
    Hanging,
    Full,
}

impl Disk {
    pub fn writes(self) -> bool {
        matches!(self, Disk::Healthy | Disk::Slow)
    }
}

/// A write that a hanging disk has not ended.
#[derive(Debug)]
pub struct HangingWrite {
    pub write_id: WriteId,
    pub state: PersistentState,
}

pub struct Machine {
    pub addr: SocketAddrV4,
    pub id: MemberId,
    pub saved: Option<PersistentState>,
    /// All that was ever completely on the disk under its current id.
    pub written: Vec<PersistentState>,
    /// Ids that its processes gave up.
    pub replaced_ids: Vec<MemberId>,
    pub disk: Disk,
    /// The running process.
    pub consensus: Option<Consensus>,
    /// Counts starts and ends of its process, so that events of an earlier one are known.
    pub incarnation: u64,
    pub suspended: bool,
    /// Taken away with its disk.
    pub removed: bool,
    pub hanging_writes: Vec<HangingWrite>,
}

impl Machine {
    /// A machine with an empty disk.
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

    /// The process, unless it is suspended.
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

    /// The state is durable.
    pub fn record_write(&mut self, state: PersistentState) {
        self.written.retain(|earlier| earlier.member_id == state.member_id);
        self.written.push(state.clone());
        self.saved = Some(state);
    }
}
