//! The state of a run, one struct a concern, and the clock that drives it.
//!
//! What the parts do stands in modules above this one, each with an `impl Simulation` of its own. They reach each other
//! through the simulation alone, so that none of them imports another.

use crate::checks::observations::Observations;
use crate::control_clients::state::ControlClients;
use crate::controllers::machine::Machine;
use crate::event::Event;
use crate::faults::schedule::Fault;
use crate::faults::state::FaultState;
use crate::gateways::state::Gateways;
use crate::network::state::PeerNetwork;
use crate::rng::Rng;
use crate::settings::{FOUNDING_MEMBERS, Settings};
use crate::subscribers::state::Subscribers;
use crate::time::millis;
use crate::traffic::state::Traffic;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// The machines that processes and clients know of.
pub(crate) struct Discovery {
    /// Machines that stand as seeds in the settings of the next start.
    pub seeds: Vec<usize>,
    /// Machines on the lists of clients, which lag behind.
    pub advertised: Vec<usize>,
}

/// One run.
pub(crate) struct Simulation {
    /// The simulated clock.
    pub now: Nanos,
    pub settings: Settings,
    pub rng: Rng,
    /// The last number given to an event, a process or a call.
    last_sequence: u64,
    events: BTreeMap<(Nanos, u64), Event>,
    pub machines: Vec<Machine>,
    pub network: PeerNetwork,
    pub discovery: Discovery,
    pub control_clients: ControlClients,
    pub subscribers: Subscribers,
    pub gateways: Gateways,
    pub traffic: Traffic,
    pub faults: FaultState,
    pub observations: Observations,
    /// Lines of the log, where one is written.
    pub log: Vec<String>,
}

impl Simulation {
    /// A run with these faults, at its beginning.
    pub fn new(settings: Settings, faults: Vec<Fault>) -> Simulation {
        let rng = Rng::new(settings.seed);
        let mut simulation = Simulation {
            now: millis(1),
            last_sequence: 0,
            events: BTreeMap::new(),
            machines: Vec::new(),
            network: PeerNetwork::new(&rng, millis(1)),
            discovery: Discovery {
                seeds: (0..settings.members.min(FOUNDING_MEMBERS)).collect(),
                advertised: (0..settings.members).collect(),
            },
            control_clients: ControlClients::new(&settings),
            subscribers: Subscribers::new(&settings),
            gateways: Gateways::new(&settings),
            traffic: Traffic::new(&settings),
            faults: FaultState::new(faults),
            observations: Observations::default(),
            log: Vec::new(),
            rng,
            settings,
        };
        simulation.schedule_first_starts();
        simulation.schedule_faults();
        simulation.start_control_clients();
        simulation.start_subscribers();
        simulation.start_gateways();
        simulation
    }

    fn schedule_first_starts(&mut self) {
        for machine in 0..self.settings.members {
            self.add_machine();
            let delay = self.rng.between(millis(0), millis(300));
            self.schedule(delay, Event::FirstStart(machine));
        }
    }

    fn schedule_faults(&mut self) {
        for fault in 0..self.faults.schedule.len() {
            let due_at = self.faults.schedule[fault].due_at;
            self.schedule(due_at, Event::FaultDue(fault));
        }
    }

    /// A machine with an empty disk, which does not run yet; its number comes back.
    pub fn add_machine(&mut self) -> usize {
        self.machines.push(Machine::new(self.now));
        self.machines.len() - 1
    }

    /// Writes a line to the log, where one is written.
    pub fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.settings.trace {
            let text = text();
            self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
        }
    }

    /// Lets an event happen after `delay`. Events of one moment happen in the order in which they were scheduled.
    pub fn schedule(&mut self, delay: Nanos, event: Event) {
        let sequence = self.next_sequence();
        self.events.insert((self.now + delay, sequence), event);
    }

    /// The next number of the one sequence that orders all events, incarnations and calls of the run.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Runs until this moment.
    pub fn run_until(&mut self, until: Nanos) {
        while let Some(moment) = self.next_moment().filter(|moment| *moment <= until) {
            self.now = self.now.max(moment);
            while let Some(event) = self.pop_due_event() {
                self.dispatch(event);
            }
            for machine in 0..self.machines.len() {
                if self.machines[machine].wake_at <= self.now {
                    self.run_actions(machine);
                }
            }
        }
        self.now = until;
    }

    fn pop_due_event(&mut self) -> Option<Event> {
        let entry = self.events.first_entry().filter(|entry| entry.key().0 <= self.now)?;
        Some(entry.remove())
    }

    /// When the next event is due, or the next timer of a running controller.
    fn next_moment(&self) -> Option<Nanos> {
        let event = self.events.keys().next().map(|(moment, _)| *moment);
        let timers =
            self.machines.iter().filter(|machine| machine.is_running()).map(|machine| machine.wake_at);
        timers.chain(event).min()
    }
}
