//! One seed played from its start to the judge.

use crate::chance::Rng;
use crate::judge::Violation;
use crate::troubles::{Fault, draw_fault_schedule};
use crate::world::{Simulation, millis};
use fernknot::interface::Nanos;
use fernknot_controller::{Controller, ControllerSettings};
use std::collections::BTreeMap;

/// What the users' pages promise and ask, as their deploy files give it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub heartbeat_interval: Nanos,
    pub apply_deadline: Nanos,
    pub contact_timeout: Nanos,
    pub ack_deadline: Nanos,
    pub drain_cutoff: Nanos,
    pub catch_up_time: Nanos,
    pub seed_lag: Nanos,
}

impl Bounds {
    /// After this a connection without acknowledgements is given up, as the host asks its sockets to.
    pub fn suspect_timeout(&self) -> Nanos {
        self.contact_timeout.times(0.25)
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            heartbeat_interval: millis(1200),
            apply_deadline: millis(3000),
            contact_timeout: millis(4000),
            ack_deadline: millis(5000),
            drain_cutoff: millis(3000),
            catch_up_time: millis(4000),
            seed_lag: millis(3000),
        }
    }
}

/// Breaks planted around the controllers, which the judge must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A disk says that it has what it will have only later.
    DiskAcksEarly,
    /// A process starts with an older copy of its folder.
    StaleDisk,
    /// 503 to an order becomes 200.
    AcknowledgesUnclear,
    /// A read is answered with what was read there before.
    StaleReads,
    /// What was acknowledged is refused when it comes again.
    RejectsRepeats,
    /// Controllers don't tell each other of nodes.
    WithholdsNodeUpdates,
    /// An answer goes to another caller who waits.
    SwapsResponses,
    /// Listeners are told an older plan as if it were the newest.
    ReplaysOldConfig,
    /// Gateways are told that far more may be sent again than the rules allow.
    UnlimitedRetries,
    /// One of the gateways' own.
    Gateway(fernknot_gateway::SeededBug),
    /// One of the controllers' own.
    Controller(fernknot_controller::SeededBug),
}

/// Machines that a system's settings name at its first start.
pub const FOUNDING_MEMBERS: usize = 3;

/// One play.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub members: usize,
    pub losses: usize,
    pub subscribers: usize,
    /// Real gateways, in place of listeners.
    pub gateways: usize,
    /// Clients, where there are gateways.
    pub clients: usize,
    pub nodes: usize,
    pub max_changes: usize,
    /// Troubles come for so long.
    pub fault_period: Nanos,
    /// More may be lost than the budget allows.
    pub exceeds_fault_budget: bool,
    pub trace: bool,
    pub bounds: Bounds,
    #[doc(hidden)]
    pub seeded_bug: Option<SeededBug>,
}

impl Settings {
    /// A play of so many controllers, of which as many may be lost as leave a majority; two at most, as three seeds
    /// found the first view and a change lies on one disk more than may be lost.
    pub fn new(seed: u64, members: usize) -> Settings {
        Settings {
            seed,
            members,
            losses: (members.saturating_sub(1) / 2).min(FOUNDING_MEMBERS - 1),
            subscribers: 3,
            gateways: 0,
            clients: 0,
            nodes: 3,
            max_changes: 60,
            fault_period: millis(30_000),
            exceeds_fault_budget: false,
            trace: false,
            bounds: Bounds::default(),
            seeded_bug: None,
        }
    }

    /// The whole system: real gateways among clients and nodes that answer.
    pub fn whole_system(seed: u64, members: usize) -> Settings {
        let facts = Settings::new(seed, members);
        Settings { subscribers: 0, gateways: 2, clients: 4, nodes: 4, ..facts }
    }

    pub(crate) fn build_controller(&self, facts: ControllerSettings, now: Nanos) -> Controller {
        match self.seeded_bug {
            Some(SeededBug::Controller(plant)) => Controller::with_seeded_bug(facts, now, Some(plant)),
            _ => Controller::new(facts, now),
        }
    }

    /// The troubles of this seed.
    pub fn fault_schedule(&self) -> Vec<Fault> {
        let chance = Rng::new(self.seed ^ 0x7200_b1e5);
        draw_fault_schedule(&chance, millis(2500), self.fault_period)
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub changes: usize,
    pub reads: usize,
    /// Drains that a machine in touch acknowledged.
    pub drains: usize,
    /// Troubles that came.
    pub faults: usize,
    /// What happened to requests, and how often.
    pub counts: BTreeMap<&'static str, u64>,
    pub log: Vec<String>,
}

/// Plays it with the troubles of its seed.
pub fn simulate(facts: &Settings) -> Outcome {
    simulate_with_faults(facts, facts.fault_schedule())
}

/// Plays it with these troubles.
pub fn simulate_with_faults(facts: &Settings, troubles: Vec<Fault>) -> Outcome {
    let bounds = facts.bounds;
    let mut world = Simulation::new(facts.clone(), troubles);
    world.run_until(facts.fault_period);
    world.heal_all();
    // All are back, and then calm for as long as the rules say.
    world.run_until(facts.fault_period + millis(2000) + bounds.contact_timeout);
    world.control_clients.is_closing = true;
    world.resume_changes();
    let mut until = world.now + bounds.ack_deadline + millis(2000);
    world.run_until(until);
    world.settings.max_changes += 1;
    // Whoever has one order in force takes the next.
    world.send_read(Some(0), None);
    until = until + millis(2500);
    world.run_until(until);
    let newest = world.newest_known_epoch();
    world.submit_change(0, newest, newest + 1);
    until = until + bounds.ack_deadline + millis(500);
    world.run_until(until);
    if world.control_clients.has_pending_changes() {
        world.report_violation("ACKS", "at the end an order has no clear answer".into());
    }
    let live: Vec<usize> = (0..world.machines.len()).filter(|at| world.machines[*at].is_running()).collect();
    for at in &live {
        world.send_read(None, Some(*at));
    }
    world.run_until(until + bounds.ack_deadline);
    let last = world.observations.final_reads.clone();
    let taken = world.observations.acknowledged.iter().map(|(version, _)| *version).max();
    for at in live {
        match last.get(&at) {
            None => world.report_violation("LOST", format!("{at} hands out nothing in the end")),
            Some(found) if *found != taken => {
                world.report_violation(
                    "LOST",
                    format!("in the end {at} hands out {found:?}, acknowledged was {taken:?}"),
                );
            }
            _ => {}
        }
    }
    for (at, version) in world.subscribers.versions().into_iter().enumerate() {
        if version != taken {
            world.report_violation(
                "APPLY",
                format!("in the end listener {at} holds {version:?} and not {taken:?}"),
            );
        }
    }
    world.check_requests();
    world.check_history();
    Outcome {
        violations: world.observations.violations,
        changes: world.observations.changes.len(),
        reads: world.observations.reads.len(),
        drains: world.observations.drain_count,
        faults: world.injected_faults.len(),
        counts: world.traffic.checker.counts,
        log: world.log,
    }
}

/// Drops troubles one at a time while the same rule still breaks, and returns what is left.
pub fn shrink(facts: &Settings) -> (Vec<Fault>, Outcome) {
    let mut troubles = facts.fault_schedule();
    let mut outcome = simulate_with_faults(facts, troubles.clone());
    let Some(rule) = outcome.violations.first().map(|finding| finding.rule) else {
        return (troubles, outcome);
    };
    let mut at = troubles.len();
    while at > 0 {
        at -= 1;
        let mut fewer = troubles.clone();
        fewer.remove(at);
        let next = simulate_with_faults(facts, fewer.clone());
        if next.violations.iter().any(|finding| finding.rule == rule) {
            (troubles, outcome) = (fewer, next);
        }
    }
    (troubles, outcome)
}
