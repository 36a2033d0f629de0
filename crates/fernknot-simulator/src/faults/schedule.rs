//! What may happen to machines, and a schedule of it, drawn from the seed before the run begins.

use crate::rng::Rng;
use crate::time::millis;
use fernknot::interface::Nanos;

/// A fault that is over so soon is not noticed by all.
const SHORT_FAULT: Nanos = millis(300);

/// How long the core is split, and the longest pause until the next split.
const MIN_SPLIT: Nanos = millis(500);
const MAX_SPLIT: Nanos = millis(9000);
const MAX_SPLIT_PAUSE: Nanos = millis(10_000);

/// When a fault that is due happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At its time.
    Immediate,
    /// Right after the next acknowledgement of a change.
    Acknowledged,
    /// Right after the next attempt of a change is sent.
    Sent,
    /// As a controller enters its next view.
    LeaderChange,
    /// As a machine returns.
    MachineReturned,
    /// As a machine is partitioned.
    Partitioned,
}

/// The machine to which a fault happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader of the newest view that anybody entered.
    Leader,
    /// The one that acknowledged a change last.
    LastAcknowledger,
    /// One of those that run, by its place among them.
    Any(usize),
}

/// The direction in which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Neither to the machine nor from it.
    Both,
    /// To the machine.
    Inbound,
    /// From the machine.
    Outbound,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends at once; writes under way may be kept or lost.
    Kill,
    /// The machine is without power for a while.
    PowerLoss,
    /// All processes end at once.
    AllMachines {
        /// The machines lose power too.
        power: bool,
        /// The disk of the target is emptied.
        wiped: bool,
    },
    /// The machine comes back with an empty disk.
    WipeDisk,
    /// The machine is partitioned from the other controllers. Operators and nodes reach it all the same.
    Isolate {
        /// In which direction.
        direction: Direction,
        /// From the subscribers too.
        subscribers: bool,
    },
    /// The machine is partitioned from one other controller.
    PartitionPair {
        /// In which direction.
        direction: Direction,
    },
    /// The core is partitioned into two halves, whatever may be lost besides. Everybody else reaches both.
    SplitCore {
        /// Machines whose bit is set are in one half, the others in the other.
        half: u64,
    },
    /// All connections of the machine end.
    ResetConnections,
    /// The process stands still.
    Freeze,
    /// Writes fail.
    DiskFull,
    /// Writes don't end.
    DiskHang,
    /// Writes take a hundred times as long.
    DiskSlow,
    /// Everything that the machine sends and receives takes longer.
    LinkSlow,
    /// Responses to clients are lost on their way, from all machines.
    LoseResponses,
    /// The machine goes for good; another comes at another address, with an empty disk.
    ReplaceMachine,
    /// SIGTERM, and a start.
    GracefulRestart,
    /// Eight changes at once, on one version.
    ConcurrentChanges,
    /// Changes and resends without a pause.
    ChangeStorm,
    /// Reads, changes and resends at one machine, again and again.
    ReadFlood,
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it is due.
    pub due_at: Nanos,
    /// What it waits for then.
    pub trigger: Trigger,
    /// To which machine it happens.
    pub target: Target,
    /// What happens.
    pub kind: FaultKind,
    /// How long it lasts.
    pub duration: Nanos,
}

impl FaultKind {
    /// Whether a disk is lost by it.
    pub(crate) fn loses_disk(self) -> bool {
        matches!(
            self,
            FaultKind::WipeDisk | FaultKind::ReplaceMachine | FaultKind::AllMachines { wiped: true, .. }
        )
    }

    /// Whether a machine counts as lost by it.
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

/// Faults between two moments.
pub(crate) fn draw_fault_schedule(rng: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut due_at = from;
    while due_at < to {
        let trigger = draw_trigger(rng);
        let target = draw_target(rng);
        let (kind, max_duration) = draw_kind(rng);
        // A third are short: who comes back soon meets responses to its earlier incarnation.
        let max_duration = if rng.one_in(3) { max_duration.min(SHORT_FAULT) } else { max_duration };
        let duration = rng.between(millis(5), max_duration);
        faults.push(Fault { due_at, trigger, target, kind, duration });
        due_at = due_at + rng.between(millis(100), millis(3500));
    }
    faults
}

/// Partitions of the core into halves between two moments, to be added to the faults of [`draw_fault_schedule`].
pub(crate) fn draw_core_splits(rng: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut due_at = from + rng.between(Nanos(0), MAX_SPLIT_PAUSE);
    while due_at < to {
        let trigger = draw_trigger(rng);
        let kind = FaultKind::SplitCore { half: rng.next_u64() };
        let duration = rng.between(MIN_SPLIT, MAX_SPLIT);
        faults.push(Fault { due_at, trigger, target: Target::Leader, kind, duration });
        due_at = due_at + duration + rng.between(Nanos(0), MAX_SPLIT_PAUSE);
    }
    faults
}

fn draw_trigger(rng: &Rng) -> Trigger {
    match rng.below(12) {
        0..4 => Trigger::Immediate,
        4..6 => Trigger::Acknowledged,
        6 => Trigger::Sent,
        7..9 => Trigger::LeaderChange,
        9..11 => Trigger::MachineReturned,
        _ => Trigger::Partitioned,
    }
}

fn draw_target(rng: &Rng) -> Target {
    match rng.below(6) {
        0..3 => Target::Leader,
        3 => Target::LastAcknowledger,
        _ => Target::Any(rng.below(16)),
    }
}

fn draw_direction(rng: &Rng) -> Direction {
    let directions = [Direction::Both, Direction::Both, Direction::Inbound, Direction::Outbound];
    rng.choose(&directions).unwrap_or(Direction::Both)
}

/// A kind of fault, and the longest that it lasts.
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
