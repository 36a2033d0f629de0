//! One machine of the core: its disk, and the process that runs on it.

use crate::time::{NEVER, ProcessClock, millis};
use fernknot::interface::Nanos;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_controller::{Controller, SubscriberId};
use fernknot_rpc::{ControllerMessage, GatewayToController};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// How a disk takes writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteBehavior {
    Normal,
    /// Writes wait until the fault has ended.
    Hanging,
    /// Writes fail.
    Full,
    Slow,
}

/// What reaches a controller.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    PeerMessage {
        from: SocketAddrV4,
        message: ControllerMessage,
    },
    /// With the connection: the controller may have given that one up meanwhile.
    PeerConnected {
        peer: SocketAddrV4,
        connection: u64,
    },
    PeerDisconnected {
        peer: SocketAddrV4,
    },
    DiskLoaded,
    Stored {
        write: WriteId,
        succeeded: bool,
    },
    /// The disk counts as failing if this write is still pending.
    WriteTimeout(WriteId),
    Call(u64),
    CallCancelled(u64),
    GatewayMessage {
        from: SubscriberId,
        message: GatewayToController,
    },
    SubscriberGone(SubscriberId),
}

/// A write that the disk has not finished.
pub(crate) struct PendingWrite {
    pub id: WriteId,
    pub state: PersistentState,
    /// None where it waits for the end of a fault.
    pub due_at: Option<Nanos>,
}

/// What the clock of a controller's process shows as it starts.
pub(crate) const CLOCK_AT_START: Nanos = millis(1);

/// What lies on a disk, and how it takes writes.
pub(crate) struct Disk {
    pub state: Option<PersistentState>,
    /// Earlier states, for a seeded bug.
    pub older_states: VecDeque<PersistentState>,
    pub known_peers: Vec<SocketAddrV4>,
    pub write_behavior: WriteBehavior,
    pub pending_writes: Vec<PendingWrite>,
    pub is_open: bool,
}

impl Disk {
    fn new() -> Disk {
        Disk {
            state: None,
            older_states: VecDeque::new(),
            known_peers: Vec::new(),
            write_behavior: WriteBehavior::Normal,
            pending_writes: Vec::new(),
            is_open: true,
        }
    }

    pub fn is_pending(&self, write: WriteId) -> bool {
        self.pending_writes.iter().any(|pending| pending.id == write)
    }

    /// Open, and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.is_open && self.pending_writes.is_empty()
    }
}

/// What a controller last said it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownState {
    pub view: u64,
    pub revision: u64,
    pub epoch: u64,
    pub has_lease: bool,
}

/// One machine of the core.
pub(crate) struct Machine {
    pub controller: Option<Controller>,
    /// The incarnation of the process that runs here, or ran last; 0 before the first.
    pub incarnation: u64,
    /// The clock of its process, which stands at 1 ms as the process starts.
    pub clock: ProcessClock,
    /// When the controller's next timer is due.
    pub wake_at: Nanos,
    pub is_powered: bool,
    pub is_frozen: bool,
    /// The machine was replaced by another one.
    pub is_removed: bool,
    /// Inputs that wait while the process is frozen.
    pub inbox: VecDeque<Input>,
    pub disk: Disk,
    /// When a process that was asked to stop is killed.
    pub stop_deadline: Nanos,
    pub has_slow_link: bool,
    pub loses_responses: bool,
    /// Faults that make the machine count as lost.
    pub active_faults: usize,
    /// It counts as lost until then, though its faults have ended.
    pub unavailable_until: Nanos,
    /// Its disk was lost, and what was on it may not have been replaced yet.
    pub lost_disk: bool,
    /// The last moment of anything that puts it out of touch.
    pub disturbed_at: Nanos,
    pub known_state: KnownState,
}

impl Machine {
    pub fn new(now: Nanos) -> Machine {
        Machine {
            controller: None,
            incarnation: 0,
            clock: ProcessClock::new(now, CLOCK_AT_START, 1.0),
            wake_at: NEVER,
            is_powered: true,
            is_frozen: false,
            is_removed: false,
            inbox: VecDeque::new(),
            disk: Disk::new(),
            stop_deadline: Nanos(0),
            has_slow_link: false,
            loses_responses: false,
            active_faults: 0,
            unavailable_until: Nanos(0),
            lost_disk: false,
            disturbed_at: now,
            known_state: KnownState::default(),
        }
    }

    /// Whether the process runs and is not frozen.
    pub fn is_running(&self) -> bool {
        self.controller.is_some() && !self.is_frozen
    }

    /// Whether there is a process, frozen or not.
    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether this incarnation is up.
    pub fn runs_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.is_up()
    }

    /// Whether packets can reach it.
    pub fn is_reachable(&self) -> bool {
        self.is_powered && !self.is_removed
    }

    /// What the clock of its process shows.
    pub fn local_time(&self, now: Nanos) -> Nanos {
        self.clock.read(now)
    }
}
