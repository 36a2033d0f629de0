//! Kinds of faults, and the fault schedule, which is drawn from the seed before the run begins.

use crate::rng::Rng;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Maximum duration of a short fault, which some processes do not detect.
const MAX_SHORT_FAULT_DURATION: Nanos = millis(300);

/// Range of the duration of a core split, and the longest pause until the next one.
const MIN_SPLIT_DURATION: Nanos = millis(500);
const MAX_SPLIT_DURATION: Nanos = millis(9000);
const MAX_SPLIT_PAUSE: Nanos = millis(10_000);

/// Condition on which a fault that is due is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// None: the fault is injected when it is due.
    Immediate,
    /// The next acknowledgement of a change.
    ChangeAcknowledged,
    /// The next attempt of a change.
    ChangeSent,
    /// A controller's entry into a newer view.
    LeaderChange,
    /// The return of a machine after a start, a freeze or a partition.
    MachineReturned,
    /// The beginning of a partition fault: `Isolate`, `PartitionPair` or `SplitCore`.
    Partitioned,
}

/// Machine on which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Leader of the newest view that any controller has entered.
    Leader,
    /// Machine that acknowledged a change last.
    LastAcknowledger,
    /// Running machine at this index modulo the number of running machines.
    Running(usize),
}

/// Blocked direction of the partitioned links of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To and from the machine.
    Both,
    /// To the machine.
    Inbound,
    /// From the machine.
    Outbound,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends at once and is started again when the fault ends; pending writes may be kept or lost.
    Kill,
    /// The machine loses power until the fault ends.
    PowerLoss,
    /// The processes of all machines end at once, and are started again within 300 ms after the end of the fault.
    AllMachines {
        /// The machines lose power too.
        power: bool,
        /// The disk of the target is wiped.
        wiped: bool,
    },
    /// The process ends, and the machine returns with an empty disk.
    WipeDisk,
    /// The machine is partitioned from the other controllers, but not from operators and nodes.
    Isolate {
        /// Blocked direction.
        direction: Direction,
        /// The machine is partitioned from the subscribers too; production gateways always stay linked.
        subscribers: bool,
    },
    /// The machine is partitioned from one other, by index the next of the initial machines.
    PartitionPair {
        /// Blocked direction.
        direction: Direction,
    },
    /// The core is partitioned into two parts, in addition to the losses of the fault budget. Clients reach both parts.
    SplitCore {
        /// Bit mask of the machines in the first part; the bit's position is the machine's index.
        half: u64,
    },
    /// All connections of the machine are reset.
    ResetConnections,
    /// The process is suspended, and continues with the inputs that arrived meanwhile when the fault ends.
    Freeze,
    /// Writes to the disk fail until the fault ends.
    DiskFull,
    /// Writes to the disk hang, and are completed when the fault ends.
    DiskHang,
    /// Writes take 30 to 300 ms instead of 1 to 5 ms.
    DiskSlow,
    /// Network delays from and to the machine increase by 200 ms.
    LinkSlow,
    /// Two thirds of the responses of all controllers to operators and nodes are lost.
    LoseResponses,
    /// The machine is replaced permanently by a new one with another address and an empty disk.
    ReplaceMachine,
    /// The process receives SIGTERM and is started again.
    GracefulRestart,
    /// Eight concurrent changes based on one version.
    ConcurrentChanges,
    /// Operators change, resend and read in quick succession.
    ChangeStorm,
    /// Reads at one machine in quick succession, with some changes and resends. The machine is the one that returned
    /// last, whatever the target; the target if none has returned.
    ReadFlood,
}

/// A fault of a schedule. Once due, it waits for its trigger, at most five seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Simulated time at which the fault is due.
    pub due_at: Nanos,
    /// Condition that the fault waits for once it is due.
    pub trigger: Trigger,
    /// Machine on which the fault is injected.
    pub target: Target,
    /// Effect of the fault.
    pub kind: FaultKind,
    /// Time from the injection to the end of the fault.
    pub duration: Nanos,
}

impl FaultKind {
    /// Returns whether the fault loses a disk.
    pub(crate) fn loses_disk(self) -> bool {
        matches!(
            self,
            FaultKind::WipeDisk | FaultKind::ReplaceMachine | FaultKind::AllMachines { wiped: true, .. }
        )
    }

    /// Returns whether a machine counts as lost during the fault.
    pub(crate) fn counts_as_loss(self) -> bool {
        !matches!(
            self,
            FaultKind::ResetConnections
                | FaultKind::SplitCore { .. }
                | FaultKind::LoseResponses
                | FaultKind::ConcurrentChanges
                | FaultKind::ChangeStorm
                | FaultKind::ReadFlood
        )
    }
}

/// Draws the faults that are due from `from` until before `to`.
pub(crate) fn draw_fault_schedule(rng: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut due_at = from;
    while due_at < to {
        let trigger = draw_trigger(rng);
        let target = draw_target(rng);
        let (kind, max_duration) = draw_kind(rng);
        // A third are short, so that a restarted machine receives responses to its previous incarnation.
        let max_duration =
            if rng.one_in(3) { max_duration.min(MAX_SHORT_FAULT_DURATION) } else { max_duration };
        let duration = rng.between(millis(5), max_duration);
        faults.push(Fault { due_at, trigger, target, kind, duration });
        due_at = due_at + rng.between(millis(100), millis(3500));
    }
    faults
}

/// Draws the core splits that are due from `from` until before `to`, in addition to [`draw_fault_schedule`].
pub(crate) fn draw_core_splits(rng: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut due_at = from + rng.between(Nanos(0), MAX_SPLIT_PAUSE);
    while due_at < to {
        let trigger = draw_trigger(rng);
        let kind = FaultKind::SplitCore { half: rng.next_u64() };
        let duration = rng.between(MIN_SPLIT_DURATION, MAX_SPLIT_DURATION);
        faults.push(Fault { due_at, trigger, target: Target::Leader, kind, duration });
        due_at = due_at + duration + rng.between(Nanos(0), MAX_SPLIT_PAUSE);
    }
    faults
}

fn draw_trigger(rng: &Rng) -> Trigger {
    match rng.below(12) {
        0..4 => Trigger::Immediate,
        4..6 => Trigger::ChangeAcknowledged,
        6 => Trigger::ChangeSent,
        7..9 => Trigger::LeaderChange,
        9..11 => Trigger::MachineReturned,
        _ => Trigger::Partitioned,
    }
}

fn draw_target(rng: &Rng) -> Target {
    match rng.below(6) {
        0..3 => Target::Leader,
        3 => Target::LastAcknowledger,
        _ => Target::Running(rng.below(16)),
    }
}

fn draw_direction(rng: &Rng) -> Direction {
    let directions = [Direction::Both, Direction::Both, Direction::Inbound, Direction::Outbound];
    rng.choose(&directions).unwrap_or(Direction::Both)
}

/// Draws a kind of fault, and returns it with its maximum duration.
fn draw_kind(rng: &Rng) -> (FaultKind, Nanos) {
    let direction = draw_direction(rng);
    let (kind, max_duration_ms) = match rng.below(26) {
        0 => (FaultKind::Kill, 4000),
        1 => (FaultKind::PowerLoss, 4000),
        2 => (FaultKind::AllMachines { power: rng.one_in(2), wiped: rng.one_in(3) }, 1500),
        3 => (FaultKind::WipeDisk, 3000),
        4..8 => (FaultKind::Isolate { direction, subscribers: rng.one_in(2) }, 12_000),
        8 => (FaultKind::PartitionPair { direction }, 8000),
        9 | 21..24 => (FaultKind::ResetConnections, 10),
        10 | 11 => (FaultKind::Freeze, 6000),
        12 => (FaultKind::DiskFull, 4000),
        13 => (FaultKind::DiskHang, 4000),
        14 => (FaultKind::DiskSlow, 4000),
        15 => (FaultKind::LinkSlow, 4000),
        16 => (FaultKind::LoseResponses, 8000),
        17 => (FaultKind::ReplaceMachine, 2000),
        18 => (FaultKind::GracefulRestart, 500),
        19 | 20 | 24 => (FaultKind::ReadFlood, 1500),
        _ if rng.one_in(2) => (FaultKind::ConcurrentChanges, 3000),
        _ => (FaultKind::ChangeStorm, 3000),
    };
    (kind, millis(max_duration_ms))
}
