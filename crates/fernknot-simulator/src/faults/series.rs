//! Fault schedule of runs with changes in series: overlapping losses of processes, machines that are cut off from the
//! other controllers only, and calm times in between, in which gateways are in contact.

use crate::faults::schedule::{Direction, Fault, FaultKind, Target, Trigger};
use crate::rng::Rng;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Range of the pause after the last fault of a group.
const MIN_PAUSE: Nanos = millis(500);
const MAX_PAUSE: Nanos = millis(12_000);

/// Draws the faults that are due from `from` until before `to`.
pub(crate) fn draw_series_schedule(rng: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut due_at = from;
    while due_at < to {
        let group = draw_group(rng, due_at);
        let ends = group.iter().map(|fault| fault.due_at + fault.duration);
        due_at = ends.max().unwrap_or(due_at) + rng.between(MIN_PAUSE, MAX_PAUSE);
        faults.extend(group);
    }
    faults.sort_by_key(|fault| fault.due_at);
    faults
}

fn draw_group(rng: &Rng, due_at: Nanos) -> Vec<Fault> {
    match rng.below(10) {
        0..2 => draw_overlapping_losses(rng, due_at),
        2..5 => draw_losses_then_cut(rng, due_at),
        5..7 => vec![draw_cut(rng, due_at)],
        7 => {
            let kind = FaultKind::Isolate { direction: Direction::Both, subscribers: true };
            vec![draw_fault(rng, due_at, kind, millis(500), millis(8000))]
        }
        8 => vec![
            draw_fault(rng, due_at, FaultKind::Freeze, millis(200), millis(6000)),
            draw_fault(rng, due_at + millis(700), FaultKind::DiskHang, millis(200), millis(4000)),
        ],
        _ => vec![draw_fault(rng, due_at, draw_single_kind(rng), millis(10), millis(4000))],
    }
}

/// Draws the losses of two or three processes, each of which begins before the last one has ended.
fn draw_overlapping_losses(rng: &Rng, mut due_at: Nanos) -> Vec<Fault> {
    let mut losses = Vec::new();
    for _ in 0..2 + rng.below(2) {
        let kind = if rng.one_in(4) { FaultKind::PowerLoss } else { FaultKind::Kill };
        let loss = draw_fault(rng, due_at, kind, millis(500), millis(9000));
        due_at = due_at + rng.between(millis(100), loss.duration);
        losses.push(loss);
    }
    losses
}

/// Draws an outage of two machines, and a cut of the leader after their return. During the outage no controller has a
/// majority, so that gateways fail to find one again and again; the cut makes them look for another once more.
fn draw_losses_then_cut(rng: &Rng, due_at: Nanos) -> Vec<Fault> {
    let outage = |due_at| draw_fault(rng, due_at, FaultKind::Kill, millis(6000), millis(16_000));
    let first = outage(due_at);
    let second = outage(due_at + rng.between(millis(100), millis(1000)));
    let end = (first.due_at + first.duration).max(second.due_at + second.duration);
    let cut = draw_cut(rng, end + rng.between(millis(300), millis(20_000)));
    vec![first, second, Fault { target: Target::Leader, ..cut }]
}

/// Draws a cut between one controller and the others; gateways and operators reach both sides.
fn draw_cut(rng: &Rng, due_at: Nanos) -> Fault {
    let kind = FaultKind::Isolate { direction: Direction::Both, subscribers: false };
    draw_fault(rng, due_at, kind, millis(6000), millis(14_000))
}

fn draw_single_kind(rng: &Rng) -> FaultKind {
    let kinds = [
        FaultKind::GracefulRestart,
        FaultKind::ResetConnections,
        FaultKind::DiskSlow,
        FaultKind::LinkSlow,
        FaultKind::LoseResponses,
        FaultKind::ConcurrentChanges,
    ];
    rng.choose(&kinds).unwrap_or(FaultKind::ResetConnections)
}

fn draw_fault(rng: &Rng, due_at: Nanos, kind: FaultKind, min: Nanos, max: Nanos) -> Fault {
    let target = if rng.one_in(3) { Target::Leader } else { Target::Running(rng.below(16)) };
    Fault { due_at, trigger: Trigger::Immediate, target, kind, duration: rng.between(min, max) }
}
