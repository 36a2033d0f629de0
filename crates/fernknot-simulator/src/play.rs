//! One seed played from its start to the judge.

use crate::chance::Rng;
use crate::judge::Violation;
use crate::troubles::{Fault, schedule};
use crate::world::{Simulation, ms};
use fernknot::interface::Nanos;
use fernknot_controller::{Controller, ControllerSettings};
use std::collections::BTreeMap;

/// What the users' pages promise and ask, as their deploy files give it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub beat: Nanos,
    pub apply: Nanos,
    pub contact: Nanos,
    pub ack_deadline: Nanos,
    pub drain_cutoff: Nanos,
    pub catch_up: Nanos,
    pub seed_lag: Nanos,
}

impl Bounds {
    /// After this a connection without acknowledgements is given up, as the host asks its sockets to.
    pub fn suspect(&self) -> Nanos {
        self.contact.times(0.25)
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            beat: ms(1200),
            apply: ms(3000),
            contact: ms(4000),
            ack_deadline: ms(5000),
            drain_cutoff: ms(3000),
            catch_up: ms(4000),
            seed_lag: ms(3000),
        }
    }
}

/// Breaks planted around the registrars, which the judge must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A disk says that it has what it will have only later.
    DiskAcksEarly,
    /// A process starts with an older copy of its folder.
    OldFolder,
    /// 503 to an order becomes 200.
    ClearsUnclear,
    /// A read is answered with what was read there before.
    StaleReads,
    /// What was acknowledged is refused when it comes again.
    RefusesRepeats,
    /// Registrars don't tell each other of nodes.
    KeepsDrains,
    /// An answer goes to another caller who waits.
    SwapsAnswers,
    /// Listeners are told an older plan as if it were the newest.
    GoesBack,
    /// Gateways are told that far more may be sent again than the rules allow.
    FreeRetries,
    /// One of the gateways' own.
    Gateway(fernknot_gateway::SeededBug),
    /// One of the registrars' own.
    Registrar(fernknot_controller::SeededBug),
}

/// Machines that a system's settings name at its first start.
pub const FOUNDERS: usize = 3;

/// One play.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub members: usize,
    pub losses: usize,
    pub listeners: usize,
    /// Real gateways, in place of listeners.
    pub gateways: usize,
    /// Clients, where there are gateways.
    pub clients: usize,
    pub nodes: usize,
    pub most_orders: usize,
    /// Troubles come for so long.
    pub troubled: Nanos,
    /// More may be lost than the budget allows.
    pub beyond: bool,
    pub trace: bool,
    pub bounds: Bounds,
    #[doc(hidden)]
    pub plant: Option<SeededBug>,
}

impl Settings {
    /// A play of so many registrars, of which as many may be lost as leave a majority; two at most, as three seeds
    /// found the first view and a change lies on one disk more than may be lost.
    pub fn new(seed: u64, members: usize) -> Settings {
        Settings {
            seed,
            members,
            losses: (members.saturating_sub(1) / 2).min(FOUNDERS - 1),
            listeners: 3,
            gateways: 0,
            clients: 0,
            nodes: 3,
            most_orders: 60,
            troubled: ms(30_000),
            beyond: false,
            trace: false,
            bounds: Bounds::default(),
            plant: None,
        }
    }

    /// The whole system: real gateways among clients and nodes that answer.
    pub fn system(seed: u64, members: usize) -> Settings {
        let facts = Settings::new(seed, members);
        Settings { listeners: 0, gateways: 2, clients: 4, nodes: 4, ..facts }
    }

    pub(crate) fn registrar(&self, facts: ControllerSettings, now: Nanos) -> Controller {
        match self.plant {
            Some(SeededBug::Registrar(plant)) => Controller::planted(facts, now, Some(plant)),
            _ => Controller::new(facts, now),
        }
    }

    /// The troubles of this seed.
    pub fn troubles(&self) -> Vec<Fault> {
        let chance = Rng::new(self.seed ^ 0x7200_b1e5);
        schedule(&chance, ms(2500), self.troubled)
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub findings: Vec<Violation>,
    pub orders: usize,
    pub reads: usize,
    /// Drains that a machine in touch acknowledged.
    pub drains: usize,
    /// Troubles that came.
    pub troubles: usize,
    /// What happened to requests, and how often.
    pub counts: BTreeMap<&'static str, u64>,
    pub log: Vec<String>,
}

/// Plays it with the troubles of its seed.
pub fn play(facts: &Settings) -> Outcome {
    play_with(facts, facts.troubles())
}

/// Plays it with these troubles.
pub fn play_with(facts: &Settings, troubles: Vec<Fault>) -> Outcome {
    let bounds = facts.bounds;
    let mut world = Simulation::new(facts.clone(), troubles);
    world.run(facts.troubled);
    world.heal();
    // All are back, and then calm for as long as the rules say.
    world.run(facts.troubled + ms(2000) + bounds.contact);
    world.callers.closing = true;
    world.resume_orders();
    let mut until = world.now + bounds.ack_deadline + ms(2000);
    world.run(until);
    world.facts.most_orders += 1;
    // Whoever has one order in force takes the next.
    world.read(Some(0), None);
    until = until + ms(2500);
    world.run(until);
    let newest = world.newest_known();
    world.order(0, newest, newest + 1);
    until = until + bounds.ack_deadline + ms(500);
    world.run(until);
    if world.callers.has_orders() {
        world.found("ACKS", "at the end an order has no clear answer".into());
    }
    let live: Vec<usize> = (0..world.machines.len()).filter(|at| world.machines[*at].runs()).collect();
    for at in &live {
        world.read(None, Some(*at));
    }
    world.run(until + bounds.ack_deadline);
    let last = world.seen.last_reads.clone();
    let taken = world.seen.acknowledged.iter().map(|(version, _)| *version).max();
    for at in live {
        match last.get(&at) {
            None => world.found("LOST", format!("{at} hands out nothing in the end")),
            Some(found) if *found != taken => {
                world.found(
                    "LOST",
                    format!("in the end {at} hands out {found:?}, acknowledged was {taken:?}"),
                );
            }
            _ => {}
        }
    }
    for (at, version) in world.listeners.versions().into_iter().enumerate() {
        if version != taken {
            world.found("APPLY", format!("in the end listener {at} holds {version:?} and not {taken:?}"));
        }
    }
    world.judge_requests();
    world.judge();
    Outcome {
        findings: world.seen.findings,
        orders: world.seen.orders.len(),
        reads: world.seen.reads.len(),
        drains: world.seen.drains_seen,
        troubles: world.fired.len(),
        counts: world.traffic.rules.counts,
        log: world.log,
    }
}

/// Drops troubles one at a time while the same rule still breaks, and returns what is left.
pub fn shrink(facts: &Settings) -> (Vec<Fault>, Outcome) {
    let mut troubles = facts.troubles();
    let mut outcome = play_with(facts, troubles.clone());
    let Some(rule) = outcome.findings.first().map(|finding| finding.rule) else { return (troubles, outcome) };
    let mut at = troubles.len();
    while at > 0 {
        at -= 1;
        let mut fewer = troubles.clone();
        fewer.remove(at);
        let next = play_with(facts, fewer.clone());
        if next.findings.iter().any(|finding| finding.rule == rule) {
            (troubles, outcome) = (fewer, next);
        }
    }
    (troubles, outcome)
}
