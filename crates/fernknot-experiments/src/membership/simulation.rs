//! Discrete-event simulation of all routers and the network between them.

use super::cold_budget::MEASURING_INTERVAL;
use super::fault_plan::{Fault, FaultPlan, sample};
use super::figures::{Durations, Row};
use super::fixed_heartbeat::{FixedHeartbeat, HEARTBEAT_INTERVAL};
use super::host::{Host, Process, ProcessStart};
use super::network::Network;
use super::process_io::{Input, Output};
use super::scenario::Scenario;
use super::timing::{BURST_DURATION, FAULT_START, START_SPREAD};
use super::variant::Variant;
use crate::event_queue::EventQueue;
use crate::report::rounded;
use fernknot::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Ratio of the number of all routers to the number of routers in a loss burst.
const ROUTERS_PER_BURST: u32 = 20;

enum Event {
    Delivery {
        from: u32,
        to: u32,
        bytes: Vec<u8>,
    },
    WakeUp(u32),
    Fault(Fault),
    /// A random sample of routers begins a loss burst.
    LossBurstBegins,
    /// Routers measure their shares of a cold node's load budget.
    BudgetMeasurement,
}

/// Observations during the run, from which the figures are computed.
#[derive(Default)]
struct Observations {
    /// Time at which the process of each router without a process was killed.
    died_at: BTreeMap<u32, Nanos>,
    detection_times: Durations,
    rejoin_times: Durations,
    false_failures: u64,
    max_cold_overload: f64,
}

/// Routers and the network between them, in simulated time.
pub(super) struct MembershipSimulation {
    variant: Variant,
    scenario: Scenario,
    seed: u64,
    now: Nanos,
    hosts: Vec<Host>,
    network: Network,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    recovers_at: Option<Nanos>,
    observations: Observations,
}

impl MembershipSimulation {
    /// Creates a run with all starts and faults scheduled.
    pub fn new(variant: Variant, scenario: Scenario, routers: u32, seed: u64) -> MembershipSimulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut events = EventQueue::new();
        for router in 0..routers {
            let at = Nanos(rng.random_range(0..START_SPREAD.0));
            events.schedule(at, Event::Fault(Fault::Start(router)));
        }
        events.schedule(MEASURING_INTERVAL, Event::BudgetMeasurement);
        let plan = FaultPlan::new(scenario, routers, &mut rng);
        for (at, fault) in plan.faults {
            events.schedule(at, Event::Fault(fault));
        }
        MembershipSimulation {
            variant,
            scenario,
            seed,
            now: Nanos(0),
            hosts: (0..routers).map(|_| Host::new(routers)).collect(),
            network: Network::new(scenario, routers, plan.broken_links),
            events,
            rng,
            recovers_at: plan.recovers_at,
            observations: Observations::default(),
        }
    }

    /// Runs all events up to `until`, inclusive.
    pub fn run(&mut self, until: Nanos) {
        while let Some((at, event)) = self.events.pop().filter(|(at, _)| *at <= until) {
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    fn routers(&self) -> u32 {
        self.hosts.len() as u32
    }

    fn host(&mut self, router: u32) -> &mut Host {
        &mut self.hosts[router as usize]
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Delivery { from, to, bytes } => self.deliver(from, to, bytes),
            Event::WakeUp(router) if self.hosts[router as usize].wake_at == self.now => {
                self.run_iteration(router)
            }
            Event::WakeUp(_) => {}
            Event::Fault(fault) => self.inject_fault(fault),
            Event::LossBurstBegins => self.begin_loss_bursts(),
            Event::BudgetMeasurement => self.measure_budgets(),
        }
    }

    // ---- Faults ----------------------------------------------------------------------------

    fn inject_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(router) => {
                self.host(router).kill();
                self.observations.died_at.insert(router, now);
            }
            Fault::Leave(router) => {
                self.host(router).leave(now);
                self.run_iteration(router);
            }
            Fault::Start(router) => self.start(router),
            Fault::Suspend(router) => self.host(router).set_suspended(true),
            Fault::Resume(router) => {
                self.host(router).set_suspended(false);
                self.run_iteration(router);
            }
            Fault::NetworkFaultBegins => {
                self.network.set_faulty(true);
                if self.scenario == Scenario::Loss {
                    self.events.schedule(now, Event::LossBurstBegins);
                }
            }
            Fault::NetworkFaultEnds => self.network.set_faulty(false),
        }
    }

    fn start(&mut self, router: u32) {
        let routers = self.routers();
        let process = self.new_process(router);
        self.host(router).start(process, routers);
        self.observations.died_at.remove(&router);
        self.run_iteration(router);
    }

    fn new_process(&mut self, router: u32) -> Process {
        let (routers, now) = (self.routers(), self.now);
        match self.variant.protocol_variant() {
            Some(variant) => {
                let start_count = self.host(router).start_count();
                let start = ProcessStart { seed: self.seed, router, routers, start_count, now };
                Process::protocol(variant, &start)
            }
            None => {
                let first_heartbeat = now + HEARTBEAT_INTERVAL.times(self.rng.random());
                Process::FixedHeartbeat(FixedHeartbeat::new(router, routers, first_heartbeat))
            }
        }
    }

    /// Begins a loss burst for a sample of the routers, and schedules the next burst for the end of this one while the
    /// network fault is active.
    fn begin_loss_bursts(&mut self) {
        let (now, routers) = (self.now, self.routers());
        for router in sample(&mut self.rng, (routers / ROUTERS_PER_BURST).max(1), routers) {
            self.network.begin_loss_burst(router, now + BURST_DURATION);
        }
        if self.network.is_faulty() {
            self.events.schedule(now + BURST_DURATION, Event::LossBurstBegins);
        }
    }

    // ---- Routers ---------------------------------------------------------------------------

    fn deliver(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let host = self.host(to);
        if !host.has_process() {
            return;
        }
        host.deliver(Input { from, bytes });
        self.run_iteration(to);
    }

    /// Runs one iteration of a router's event loop.
    fn run_iteration(&mut self, router: u32) {
        let now = self.now;
        let Some(outputs) = self.host(router).run_iteration(now) else { return };
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(router, to, bytes),
                Output::FailureChanged { member, was_failed, is_failed } => {
                    self.observe_change(router, member, was_failed, is_failed);
                }
            }
        }
        let wake_at = self.host(router).wake_at;
        self.events.schedule(wake_at, Event::WakeUp(router));
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let now = self.now;
        self.host(from).traffic.add(now, bytes.len());
        if let Some(delay) = self.network.transmit(&mut self.rng, now, from, to) {
            self.events.schedule(now + delay, Event::Delivery { from, to, bytes });
        }
    }

    // ---- Observations ----------------------------------------------------------------------

    /// Records a status change of `member` at `observer`.
    fn observe_change(&mut self, observer: u32, member: u32, was_failed: bool, is_failed: bool) {
        if is_failed {
            self.observe_failure(observer, member);
        } else if was_failed && let Some(recovers_at) = self.recovers_at.filter(|at| *at <= self.now) {
            self.observations.rejoin_times.add(self.now - recovers_at);
        }
    }

    fn observe_failure(&mut self, observer: u32, member: u32) {
        if let Some(died_at) = self.observations.died_at.get(&member) {
            self.observations.detection_times.add(self.now - *died_at);
            return;
        }
        // The failure is false only if the process could send and a path from it to the observer was intact.
        let is_reachable = self.network.receives_from(observer, member) || self.network.has_indirect_paths();
        if is_reachable && !self.hosts[member as usize].is_suspended() {
            self.observations.false_failures += 1;
        }
    }

    /// Records the excess of all claimed shares over a cold node's budget, then lets the active routers measure their
    /// shares. Clients are assumed to load all active routers evenly, so that each gets an equal share of the warm
    /// nodes' answers.
    fn measure_budgets(&mut self) {
        let active = self.hosts.iter().filter(|host| host.is_active()).count().max(1);
        let with_process = self.hosts.iter().filter(|host| host.has_process());
        let claimed: f64 = with_process.map(|host| host.budget.share()).sum();
        if self.now >= FAULT_START {
            self.observations.max_cold_overload = self.observations.max_cold_overload.max(claimed - 1.0);
        }
        for host in self.hosts.iter_mut().filter(|host| host.is_active()) {
            host.budget.add_measurement(1.0 / active as f64);
        }
        self.events.schedule(self.now + MEASURING_INTERVAL, Event::BudgetMeasurement);
    }

    /// Counts the pairs of a router with a process and another one of `members` that the former considers failed or
    /// left if `is_failed_or_left` is true, and neither failed nor left otherwise.
    fn count_pairs(&self, members: &[u32], is_failed_or_left: bool) -> u64 {
        let observers = (0..self.routers()).zip(&self.hosts).filter(|(_, host)| host.has_process());
        let count = |(observer, host): (u32, &Host)| {
            let others = members.iter().filter(|member| **member != observer);
            others.filter(|member| host.is_failed_or_left(**member) == is_failed_or_left).count() as u64
        };
        observers.map(count).sum()
    }

    /// Returns the figures of the run.
    pub fn row(&self) -> Row {
        let routers = self.routers();
        let running: Vec<u32> =
            (0..routers).filter(|router| self.hosts[*router as usize].has_process()).collect();
        let dead: Vec<u32> = self.observations.died_at.keys().copied().collect();
        let router_seconds = self.now.0 as f64 / 1e9 * f64::from(routers);
        let traffic = || self.hosts.iter().map(|host| &host.traffic);
        let datagrams: u64 = traffic().map(|traffic| traffic.datagrams).sum();
        let bytes: u64 = traffic().map(|traffic| traffic.bytes).sum();
        Row {
            experiment: "fleet",
            variant: self.variant.name(),
            seed: self.seed,
            scenario: self.scenario.name(),
            routers,
            false_failures: self.observations.false_failures,
            detect_p50_ms: self.observations.detection_times.quantile_ms(0.5),
            detect_p99_ms: self.observations.detection_times.quantile_ms(0.99),
            undetected: self.count_pairs(&dead, false),
            rejoin_p99_ms: self.observations.rejoin_times.quantile_ms(0.99),
            not_rejoined: self.count_pairs(&running, true),
            failure_changes: self.hosts.iter().map(Host::max_failure_changes).max().unwrap_or(0),
            datagrams_per_s: rounded(datagrams as f64 / router_seconds, 2),
            max_datagrams_per_s: traffic().map(|traffic| traffic.max_per_second).max().unwrap_or(0),
            bytes_per_s: rounded(bytes as f64 / router_seconds, 0),
            cold_overload_share: rounded(self.observations.max_cold_overload.max(0.0), 3),
        }
    }
}
