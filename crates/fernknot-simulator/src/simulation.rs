//! State of a run, one struct per component, and the event loop with its simulated clock.
//!
//! The components implement their behavior in modules of their own, each with an `impl Simulation`. They call each
//! other through the simulation only, so that no component imports another.

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

/// Machines that processes and clients are configured to contact.
pub(crate) struct Discovery {
    /// Machines listed as the first ones to contact in the settings of processes that start from now on.
    pub seeds: Vec<usize>,
    /// Machines on the clients' lists of controllers, which contain a replacement only after `Bounds::seed_lag`.
    pub advertised: Vec<usize>,
}

/// A run: its clock, its pending events and the state of all components.
pub(crate) struct Simulation {
    /// Current simulated time.
    pub now: Nanos,
    pub settings: Settings,
    pub rng: Rng,
    /// Last number assigned to an event, a process or a call.
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
    /// Log lines; empty unless `settings.trace` is set.
    pub log: Vec<String>,
}

impl Simulation {
    /// Creates a run with these faults and schedules its first events.
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

    /// Adds a machine with an empty disk and no running process, and returns its index.
    pub fn add_machine(&mut self) -> usize {
        self.machines.push(Machine::new(self.now));
        self.machines.len() - 1
    }

    /// Appends a line to the log if `settings.trace` is set.
    pub fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.settings.trace {
            let text = text();
            self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
        }
    }

    /// Schedules an event after `delay`. Events due at the same time occur in the order in which they were scheduled.
    pub fn schedule(&mut self, delay: Nanos, event: Event) {
        let sequence = self.next_sequence();
        self.events.insert((self.now + delay, sequence), event);
    }

    /// Returns the next number of the single sequence that orders all events, incarnations and calls of the run.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Processes events and timers up to and including `until`.
    pub fn run_until(&mut self, until: Nanos) {
        while let Some(time) = self.next_event_time().filter(|time| *time <= until) {
            self.now = self.now.max(time);
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

    /// Time of the next event or of the next timer of a running controller, whichever is earlier.
    fn next_event_time(&self) -> Option<Nanos> {
        let event = self.events.keys().next().map(|(time, _)| *time);
        let timers =
            self.machines.iter().filter(|machine| machine.is_running()).map(|machine| machine.wake_at);
        timers.chain(event).min()
    }
}
