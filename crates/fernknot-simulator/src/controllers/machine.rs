//! State of a controller machine: its disk and the process that runs on it.

use crate::time::{NEVER, ProcessClock, millis};
use fernknot::interface::Nanos;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_controller::{Controller, SubscriberId};
use fernknot_rpc::{ControllerMessage, GatewayToController};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Response of a disk to writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteBehavior {
    Normal,
    /// Writes wait until the fault has ended.
    Hanging,
    /// Writes fail, and the disk closes until it has space again.
    Full,
    Slow,
}

/// Input that the simulation delivers to a controller. Calls are identified by the numbers of the clients' attempts.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    PeerMessage {
        from: SocketAddrV4,
        message: ControllerMessage,
    },
    /// Carries the connection's id, since the controller may have aborted that connection in the meantime.
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
    /// Marks the disk as unhealthy if this write is still pending.
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
    /// Completion time; `None` while the write waits for the end of a fault.
    pub due_at: Option<Nanos>,
}

/// Reading of a controller's clock when its process starts.
pub(crate) const INITIAL_CLOCK_READING: Nanos = millis(1);

/// Contents of a disk, its pending writes, and its behavior under the current fault.
pub(crate) struct Disk {
    pub state: Option<PersistentState>,
    /// Earlier states, for the seeded bug `StaleDisk`.
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

    /// Returns whether the disk is open and has no pending writes.
    pub fn is_idle(&self) -> bool {
        self.is_open && self.pending_writes.is_empty()
    }
}

/// Part of a controller's counters that the log shows: the number of its view, the revision and the epoch of its
/// configuration, and whether a majority of the members was reachable recently (the lease).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownState {
    pub view: u64,
    pub revision: u64,
    pub epoch: u64,
    pub has_lease: bool,
}

/// A machine that runs a controller.
pub(crate) struct Machine {
    pub controller: Option<Controller>,
    /// Incarnation of the current or most recent process; 0 before the first start.
    pub incarnation: u64,
    /// Clock of the process, which reads [`INITIAL_CLOCK_READING`] when the process starts.
    pub clock: ProcessClock,
    /// Simulated time of the controller's next timer.
    pub wake_at: Nanos,
    pub is_powered: bool,
    pub is_frozen: bool,
    /// Whether another machine has replaced this one.
    pub is_removed: bool,
    /// Inputs queued while the process is frozen.
    pub inbox: VecDeque<Input>,
    pub disk: Disk,
    /// Time at which a process that is shutting down is killed.
    pub stop_deadline: Nanos,
    pub has_slow_link: bool,
    pub loses_responses: bool,
    /// Number of active faults by which the machine counts as lost.
    pub active_faults: usize,
    /// Time until which the machine counts as lost after its faults have ended.
    pub unavailable_until: Nanos,
    /// Whether the disk was lost and its data may not have been replicated to the machine again.
    pub lost_disk: bool,
    /// Time of the last event that interrupts the machine's contact with the other processes.
    pub disturbed_at: Nanos,
    pub known_state: KnownState,
}

impl Machine {
    pub fn new(now: Nanos) -> Machine {
        Machine {
            controller: None,
            incarnation: 0,
            clock: ProcessClock::new(now, INITIAL_CLOCK_READING, 1.0),
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

    /// Returns whether the process runs and is not frozen.
    pub fn is_running(&self) -> bool {
        self.controller.is_some() && !self.is_frozen
    }

    /// Returns whether a controller process exists on the machine, frozen or not.
    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }

    /// Returns whether the current process is this incarnation.
    pub fn runs_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.is_up()
    }

    /// Returns whether packets can reach the machine.
    pub fn is_reachable(&self) -> bool {
        self.is_powered && !self.is_removed
    }

    /// Returns the reading of the process's clock at the simulated time `now`.
    pub fn local_time(&self, now: Nanos) -> Nanos {
        self.clock.read(now)
    }
}
