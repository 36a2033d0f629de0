//! What befalls the machines, and when: a schedule drawn from the seed before the play begins.

use crate::chance::Rng;
use crate::play::FOUNDING_MEMBERS;
use crate::world::{Event, FIRST_SUBSCRIBER, MAX_MACHINES, Simulation, WriteBehavior, millis};
use fernknot::interface::Nanos;

/// When a trouble that is due comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At its time.
    Immediate,
    /// Right after the next acknowledgement of a change.
    Acknowledged,
    /// Right after the next sending of a change.
    Sent,
    /// As a controller enters its next view.
    LeaderChange,
    /// As a machine returns.
    MachineReturned,
    /// As a machine is cut off.
    Partitioned,
}

/// Whom it befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Who leads by the newest view that anybody entered.
    Leader,
    /// Who acknowledged a change last.
    LastAcknowledger,
    /// One of those that run, by its place.
    Any(usize),
}

/// Which way nothing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    Inbound,
    Outbound,
}

/// What happens. Spans are how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends at once; writes under way may be kept or lost.
    Kill,
    /// The machine is without power for a while.
    PowerLoss,
    /// All are killed, or lose power, at once.
    AllMachines {
        power: bool,
        wiped: bool,
    },
    /// The machine comes back with an empty disk.
    WipeDisk,
    /// From the other controllers; with `listeners` also from the gateways. Operators and nodes reach either side.
    Isolate {
        direction: Direction,
        subscribers: bool,
    },
    /// From one other controller only.
    PartitionPair {
        direction: Direction,
    },
    /// All connections of the machine end.
    ResetConnections,
    Freeze,
    DiskFull,
    DiskHang,
    DiskSlow,
    LinkSlow,
    /// Answers to callers are lost on their way.
    LoseResponses,
    /// The machine goes for good; another comes at another address, with an empty disk.
    ReplaceMachine,
    /// SIGTERM, and a start.
    GracefulRestart,
    /// Eight orders at once, on one version.
    ConcurrentChanges,
    /// Orders and resends without a pause.
    ChangeStorm,
    /// Reads, orders and resends at one machine, again and again.
    ReadFlood,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub due_at: Nanos,
    pub trigger: Trigger,
    pub target: Target,
    pub kind: FaultKind,
    pub duration: Nanos,
}

impl FaultKind {
    /// Whether a machine counts as lost by it.
    pub fn counts_as_loss(self) -> bool {
        !matches!(
            self,
            FaultKind::ResetConnections
                | FaultKind::LoseResponses
                | FaultKind::ConcurrentChanges
                | FaultKind::ChangeStorm
                | FaultKind::ReadFlood
        )
    }
}

/// A schedule between two moments.
pub fn draw_fault_schedule(chance: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut list = Vec::new();
    let mut at = from;
    while at < to {
        let trigger = match chance.below(12) {
            0..4 => Trigger::Immediate,
            4..6 => Trigger::Acknowledged,
            6 => Trigger::Sent,
            7..9 => Trigger::LeaderChange,
            9..11 => Trigger::MachineReturned,
            _ => Trigger::Partitioned,
        };
        let target = match chance.below(6) {
            0..3 => Target::Leader,
            3 => Target::LastAcknowledger,
            _ => Target::Any(chance.below(16)),
        };
        let way = chance
            .choose(&[Direction::Both, Direction::Both, Direction::Inbound, Direction::Outbound])
            .unwrap_or(Direction::Both);
        let (what, longest) = match chance.below(26) {
            0 => (FaultKind::Kill, 4000),
            1 => (FaultKind::PowerLoss, 4000),
            2 => (FaultKind::AllMachines { power: chance.one_in(2), wiped: chance.one_in(3) }, 1500),
            3 => (FaultKind::WipeDisk, 3000),
            4..8 => (FaultKind::Isolate { direction: way, subscribers: chance.one_in(2) }, 12_000),
            8 => (FaultKind::PartitionPair { direction: way }, 8000),
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
            _ => (if chance.one_in(2) { FaultKind::ConcurrentChanges } else { FaultKind::ChangeStorm }, 3000),
        };
        // A third are short: who comes back soon meets answers to its earlier life.
        let longest = if chance.one_in(3) { millis(longest).min(SHORT_FAULT) } else { millis(longest) };
        let lasts = chance.between(millis(5), longest);
        list.push(Fault { due_at: at, trigger, target, kind: what, duration: lasts });
        at = at + chance.between(millis(100), millis(3500));
    }
    list
}

// What they do.

/// What is over so soon is not noticed by all.
const SHORT_FAULT: Nanos = Nanos(300_000_000);
/// A trouble that waits for its moment comes without it after this.
const PATIENCE: Nanos = Nanos(5_000_000_000);

impl Simulation {
    pub fn fault_due(&mut self, at: usize) {
        if self.control_clients.is_closing || self.is_healing {
            return;
        }
        match self.faults[at].trigger {
            Trigger::Immediate => self.inject_fault(at),
            _ => {
                self.armed_faults.insert(at);
                self.schedule(PATIENCE, Event::Fire(at));
            }
        }
    }

    /// Something has happened that a trouble may wait for.
    pub fn fire_trigger(&mut self, trigger: Trigger) {
        let waits = self.armed_faults.iter().copied().find(|at| self.faults[*at].trigger == trigger);
        if let Some(at) = waits {
            self.armed_faults.remove(&at);
            let wait = self.rng.between(Nanos(0), millis(15));
            self.schedule(wait, Event::Fire(at));
        }
    }

    fn lost_machines(&self) -> Vec<usize> {
        let lost = |at: &usize| {
            let machine = &self.machines[*at];
            !machine.is_removed && (machine.active_faults > 0 || machine.unavailable_until > self.now)
        };
        (0..self.machines.len()).filter(lost).collect()
    }

    fn resolve_target(&self, target: Target) -> Option<usize> {
        let up: Vec<usize> = (0..self.machines.len()).filter(|at| self.machines[*at].is_running()).collect();
        let wanted = match target {
            Target::Leader => self.leader,
            Target::LastAcknowledger => self.last_acknowledger,
            Target::Any(at) => up.get(at % up.len().max(1)).copied(),
        };
        wanted.filter(|at| up.contains(at)).or(up.first().copied())
    }

    /// It happens, unless more would be lost than the budget allows.
    pub fn inject_fault(&mut self, no: usize) {
        let Fault { target, kind: what, duration: lasts, .. } = self.faults[no];
        self.armed_faults.remove(&no);
        if self.is_healing || !self.injected_faults.insert(no) {
            return;
        }
        let mut at = match self.resolve_target(target) {
            Some(at) => at,
            None => return,
        };
        if what == FaultKind::ReadFlood {
            at = self.last_returned.unwrap_or(at);
        }
        let lost = self.lost_machines();
        if what.counts_as_loss() {
            let others = lost.iter().filter(|other| **other != at).count();
            let all = matches!(what, FaultKind::AllMachines { .. });
            if !self.settings.exceeds_fault_budget
                && (others >= self.settings.losses || all && !lost.is_empty())
            {
                return self.trace(|| format!("({what:?} on {at} would lose too many)"));
            }
        }
        self.trace(|| format!("TROUBLE {no}: {what:?} on {at} for {:.0} ms", lasts.as_millis()));
        if what.counts_as_loss() {
            self.machines[at].active_faults += 1;
            self.machines[at].disturbed_at = self.now;
        }
        self.fault_machines.insert(no, at);
        self.schedule(lasts, Event::Over(no, at));
        match what {
            FaultKind::Kill => self.end_controller(at, false),
            FaultKind::PowerLoss => self.end_controller(at, true),
            FaultKind::AllMachines { power, wiped } => {
                for other in 0..self.machines.len() {
                    if other != at && !self.machines[other].is_removed {
                        self.machines[other].active_faults += 1;
                    }
                    self.end_controller(other, power);
                }
                if wiped {
                    self.wipe_disk(at);
                }
            }
            FaultKind::WipeDisk => {
                self.end_controller(at, false);
                self.wipe_disk(at);
            }
            FaultKind::Isolate { direction: way, subscribers: listeners } => {
                self.isolate(at, way, listeners, true)
            }
            FaultKind::PartitionPair { direction: way } => self.partition_pair(at, way, true),
            FaultKind::ResetConnections => self.reset_connections(at),
            FaultKind::Freeze => self.set_frozen(at, true),
            FaultKind::DiskFull => self.set_write_behavior(at, WriteBehavior::Full),
            FaultKind::DiskHang => self.set_write_behavior(at, WriteBehavior::Hanging),
            FaultKind::DiskSlow => {
                self.slow_faults += 1;
                self.set_write_behavior(at, WriteBehavior::Slow);
            }
            FaultKind::LinkSlow => {
                self.slow_faults += 1;
                self.machines[at].has_slow_link = true;
            }
            FaultKind::LoseResponses => {
                self.response_loss_faults += 1;
                self.machines.iter_mut().for_each(|machine| machine.loses_responses = true);
            }
            FaultKind::ReplaceMachine => self.replace_machine(at),
            FaultKind::GracefulRestart => self.stop_controller(at),
            FaultKind::ConcurrentChanges => self.submit_concurrent_changes(),
            FaultKind::ChangeStorm => self.set_hurry(true),
            FaultKind::ReadFlood => self.flood_machine(at, lasts),
        }
        if matches!(what, FaultKind::Isolate { .. } | FaultKind::PartitionPair { .. }) {
            self.fire_trigger(Trigger::Partitioned);
        }
    }

    /// The trouble ends.
    pub fn end_fault(&mut self, no: usize, at: usize) {
        let Fault { kind: what, .. } = self.faults[no];
        if !self.ended_faults.insert(no) {
            return;
        }
        self.trace(|| format!("trouble {no} is over: {what:?} on {at}"));
        let mut theirs = vec![at];
        match what {
            FaultKind::Kill | FaultKind::PowerLoss | FaultKind::WipeDisk => self.start_controller(at, false),
            FaultKind::AllMachines { .. } => {
                theirs = (0..self.machines.len()).filter(|at| !self.machines[*at].is_removed).collect();
                for other in theirs.clone() {
                    let wait = self.rng.between(millis(0), millis(300));
                    self.schedule(wait, Event::Begin(other));
                }
            }
            FaultKind::Isolate { direction: way, subscribers: listeners } => {
                self.isolate(at, way, listeners, false)
            }
            FaultKind::PartitionPair { direction: way } => self.partition_pair(at, way, false),
            FaultKind::ResetConnections | FaultKind::ConcurrentChanges | FaultKind::ReadFlood => {}
            FaultKind::Freeze => self.set_frozen(at, false),
            FaultKind::DiskFull | FaultKind::DiskHang => self.set_write_behavior(at, WriteBehavior::Normal),
            FaultKind::DiskSlow => {
                self.slow_faults -= 1;
                self.core_disturbed_at = self.now;
                self.set_write_behavior(at, WriteBehavior::Normal);
            }
            FaultKind::LinkSlow => {
                self.slow_faults -= 1;
                self.core_disturbed_at = self.now;
                self.machines[at].has_slow_link = false;
            }
            FaultKind::LoseResponses => {
                self.response_loss_faults -= 1;
                let lost = self.response_loss_faults > 0;
                self.machines.iter_mut().for_each(|machine| machine.loses_responses = lost);
            }
            FaultKind::ReplaceMachine => theirs = vec![self.machines.len() - 1],
            FaultKind::GracefulRestart => {
                // Whatever has not ended by itself within its grace is killed.
                self.schedule(millis(1600), Event::Begin(at));
                self.machines[at].unavailable_until =
                    self.now + millis(1600) + self.settings.bounds.catch_up_time;
            }
            FaultKind::ChangeStorm => self.set_hurry(false),
        }
        if what.counts_as_loss() {
            let until = self.now + self.settings.bounds.catch_up_time;
            for at in theirs {
                let machine = &mut self.machines[at];
                machine.active_faults = machine.active_faults.saturating_sub(1);
                machine.unavailable_until = machine.unavailable_until.max(until);
                machine.disturbed_at = self.now;
            }
        }
    }

    fn isolate(&mut self, at: usize, way: Direction, listeners: bool, cut: bool) {
        if !cut {
            self.last_returned = Some(at);
            self.fire_trigger(Trigger::MachineReturned);
        }
        let gateways =
            FIRST_SUBSCRIBER..FIRST_SUBSCRIBER + if listeners { self.subscribers.count() } else { 0 };
        // Also from those that come while it lasts.
        let others: Vec<usize> = (0..MAX_MACHINES).filter(|other| *other != at).chain(gateways).collect();
        for other in others {
            self.partition_direction(at, other, way, cut);
        }
    }

    fn partition_pair(&mut self, at: usize, way: Direction, cut: bool) {
        let other = (at + 1) % self.settings.members;
        if other != at {
            self.partition_direction(at, other, way, cut);
        }
    }

    fn partition_direction(&mut self, at: usize, other: usize, way: Direction, cut: bool) {
        if way != Direction::Outbound {
            self.set_partition(other, at, cut);
        }
        if way != Direction::Inbound {
            self.set_partition(at, other, cut);
        }
    }

    /// Another machine in its place, at another address, known to the lists a while later.
    fn replace_machine(&mut self, at: usize) {
        if self.machines.len() >= MAX_MACHINES {
            return;
        }
        self.end_controller(at, true);
        self.machines[at].is_removed = true;
        let new = self.add_machine();
        self.machines[new].active_faults += 1;
        self.seeds.retain(|seed| *seed != at);
        let known: Vec<usize> = (0..new).filter(|at| !self.machines[*at].is_removed).collect();
        let place = self.rng.below(self.seeds.len() + 1);
        self.seeds.insert(place, new);
        for more in known {
            if self.seeds.len() < FOUNDING_MEMBERS && !self.seeds.contains(&more) {
                self.seeds.push(more);
            }
        }
        self.trace(|| format!("{new} comes in the place of {at}"));
        self.start_controller(new, false);
        let lag = self.settings.bounds.seed_lag;
        self.schedule(lag, Event::SeedsFollow);
    }

    /// All that is wrong ends now.
    pub fn heal_all(&mut self) {
        self.trace(|| "all heals".into());
        self.is_healing = true;
        self.armed_faults.clear();
        let open: Vec<usize> =
            self.injected_faults.iter().copied().filter(|no| !self.ended_faults.contains(no)).collect();
        for no in open {
            let at = self.fault_machines.get(&no).copied();
            if let Some(at) = at {
                self.end_fault(no, at);
            }
        }
        for at in 0..self.machines.len() {
            self.schedule(millis(1700), Event::Begin(at));
        }
    }
}
