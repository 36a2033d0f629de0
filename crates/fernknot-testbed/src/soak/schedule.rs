//! Faults of a soak, drawn from its seed before it begins. They come in series and overlap.

use crate::cluster::Role;
use crate::soak::settings::SoakSettings;
use fernknot::interface::Nanos;
use fernknot_simulator::rng::Rng;
use fernknot_simulator::time::millis;
use std::time::Duration;

/// Value XORed into the seed for the schedule, so that its draws differ from those of nodes and clients.
const SCHEDULE_SEED: u64 = 0x50a4_7e57;
/// Shortest pause between two faults.
const MIN_PAUSE: Nanos = millis(200);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL; the process is started again when the fault ends.
    Kill,
    /// SIGTERM; the process is started again once it has exited and the fault has ended.
    Terminate,
    /// SIGSTOP, and SIGCONT when the fault ends.
    Suspend,
    /// SIGHUP.
    Reload,
    /// A node drains, ends, and is replaced by another one. The process that the fault names is not affected.
    DrainNode,
}

/// A fault of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time from the beginning of the soak.
    pub begins_at: Duration,
    /// Time from the beginning of the soak at which the fault ends.
    pub ends_at: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Role of the affected process.
    pub role: Role,
    /// Number of the affected process.
    pub number: usize,
}

/// Returns the faults of a soak in the order in which they begin. No process has two at one time, and one gateway at
/// least has none.
pub fn draw_schedule(settings: &SoakSettings) -> Vec<Fault> {
    let rng = Rng::new(settings.seed ^ SCHEDULE_SEED);
    let max_pause = to_nanos(settings.max_pause);
    let mut faults: Vec<Fault> = Vec::new();
    let mut begins_at = rng.between(MIN_PAUSE, max_pause);
    while begins_at < to_nanos(settings.duration) {
        let fault = draw_fault(&rng, begins_at, settings);
        if is_allowed(&faults, &fault, settings.gateways) {
            faults.push(fault);
        }
        // Half of the faults follow closely, so that several overlap.
        let longest = if rng.one_in(2) { millis(1000).min(max_pause) } else { max_pause };
        begins_at = begins_at + rng.between(MIN_PAUSE, longest);
    }
    faults
}

fn draw_fault(rng: &Rng, begins_at: Nanos, settings: &SoakSettings) -> Fault {
    let (role, count) = match rng.below(2) {
        0 => (Role::Controller, settings.controllers),
        _ => (Role::Gateway, settings.gateways),
    };
    let (kind, max_duration) = match rng.below(10) {
        0..3 => (FaultKind::Kill, millis(6000)),
        3..6 => (FaultKind::Terminate, millis(3000)),
        6..8 => (FaultKind::Suspend, millis(5000)),
        8 => (FaultKind::Reload, millis(20)),
        _ => (FaultKind::DrainNode, millis(20)),
    };
    let ends_at = begins_at + rng.between(millis(10), max_duration);
    Fault {
        begins_at: to_duration(begins_at),
        ends_at: to_duration(ends_at),
        kind,
        role,
        number: rng.below(count),
    }
}

fn is_allowed(faults: &[Fault], new: &Fault, gateways: usize) -> bool {
    let overlaps = |fault: &&Fault| fault.ends_at + GAP > new.begins_at;
    let is_same = |fault: &&Fault| (fault.role, fault.number) == (new.role, new.number);
    if faults.iter().filter(overlaps).any(|fault| is_same(&fault)) {
        return false;
    }
    let affected_gateways =
        faults.iter().filter(overlaps).filter(|fault| fault.role == Role::Gateway).count();
    new.role != Role::Gateway || affected_gateways + 1 < gateways
}

/// Time between two faults of one process, in which a process that was asked to exit does so.
const GAP: Duration = Duration::from_secs(7);

fn to_nanos(duration: Duration) -> Nanos {
    Nanos(duration.as_nanos() as u64)
}

fn to_duration(time: Nanos) -> Duration {
    Duration::from_nanos(time.0)
}
