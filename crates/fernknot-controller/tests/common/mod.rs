//! An in-memory cluster of controllers with a simulated clock, connections, disks, callers and subscribers.
#![allow(dead_code, unused_imports)] // each test file uses some of the fixtures

mod callers;
mod faults;
mod platform;
mod requests;

pub use platform::{Platform, PlatformMode};
pub use requests::config_json;

use fernknot::interface::Nanos;
use fernknot_consensus::{Message, PersistentState, WriteId};
use fernknot_controller::{Action, Controller, ControllerSettings, SeededBug};
use fernknot_rpc::{ControllerMessage, ControllerToGateway};
use fernknot_schema::DigestKey;
use fernknot_usage_reporting::{CallId, CallOutcome, ReportingSettings, UsageCall};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// One-way network delay between two machines.
pub const ONE_WAY_DELAY: Nanos = Nanos(1_000_000);
/// Duration of a sync of a disk.
pub const SYNC_DURATION: Nanos = Nanos(2_000_000);

pub fn addr(machine_id: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine_id as u8), 7121)
}

pub fn ms(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

/// Result of the writes to a disk.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum WriteMode {
    Succeed,
    /// Writes stay pending until the mode changes.
    Hang,
    Fail,
}

enum Event {
    Message(usize, usize, ControllerMessage),
    Connected(usize, usize),
    Disconnected(usize, usize),
    Stored(usize, WriteId, PersistentState),
    /// A connection to the platform is open; the incarnation tells processes of a machine apart.
    PlatformConnected(usize, u64, CallId),
    PlatformReceived(usize, u64, CallId, UsageCall),
    PlatformAnswered(usize, u64, CallId, CallOutcome),
}

/// A machine with its controller and disk.
struct Machine {
    controller: Option<Controller>,
    incarnation: u64,
    disk: Option<PersistentState>,
    known_peers: Vec<SocketAddrV4>,
    write_mode: WriteMode,
    pending_writes: Vec<(WriteId, PersistentState)>,
}

pub struct Cluster {
    pub now: Nanos,
    machines: BTreeMap<usize, Machine>,
    events: BTreeMap<(Nanos, u64), Event>,
    last_sequence: u64,
    /// Pairs of sender and receiver between which messages are dropped.
    partitions: BTreeSet<(usize, usize)>,
    /// Machines that are switched off: connections to them get no response.
    powered_off: BTreeSet<usize>,
    seeds: Vec<SocketAddrV4>,
    tolerated_losses: usize,
    seeded_bug: Option<SeededBug>,
    /// Status and body of each reply, by caller.
    pub replies: BTreeMap<u64, (u16, String)>,
    /// Messages received by each subscriber.
    pub received: BTreeMap<u64, VecDeque<ControllerToGateway>>,
    /// Lines that all controllers have logged.
    pub log_lines: Vec<String>,
    last_id: u64,
    /// Number of messages between controllers so far, without heartbeats.
    pub message_count: u64,
    /// Role to report usage, of the controllers that are started from now on.
    pub usage_reporting: Option<ReportingSettings>,
    pub platform: Platform,
    /// Difference between the time of day of a machine and the right one, in milliseconds.
    pub clock_error_ms: BTreeMap<usize, i64>,
    /// Machines whose processes don't run, with what they receive meanwhile.
    frozen: BTreeMap<usize, Vec<Event>>,
}

/// Time of day at the start of the cluster's clock, in milliseconds since the beginning of 1970: the start of window
/// 1000 of five seconds.
pub const START_UNIX_MS: u64 = 5_000_000;

impl Cluster {
    /// Creates a cluster of three controllers that tolerates the loss of one.
    pub fn of_three() -> Cluster {
        Cluster::new(3, 3, 1)
    }

    /// Creates a cluster of `count` controllers that start for the first time, with the first `seeds` of them in the
    /// settings, and runs it until they have formed a view.
    pub fn new(count: usize, seeds: usize, tolerated_losses: usize) -> Cluster {
        Cluster::with_seeded_bug(count, seeds, tolerated_losses, None)
    }

    /// Like [`new`](Self::new), with a seeded bug in each controller.
    pub fn with_seeded_bug(
        count: usize,
        seeds: usize,
        tolerated_losses: usize,
        seeded_bug: Option<SeededBug>,
    ) -> Cluster {
        Cluster::create(count, seeds, tolerated_losses, seeded_bug, None)
    }

    /// Creates a cluster of `count` controllers with the role of usage reporter.
    pub fn with_usage_reporting(
        count: usize,
        tolerated_losses: usize,
        usage_reporting: ReportingSettings,
    ) -> Cluster {
        Cluster::create(count, count, tolerated_losses, None, Some(usage_reporting))
    }

    fn create(
        count: usize,
        seeds: usize,
        tolerated_losses: usize,
        seeded_bug: Option<SeededBug>,
        usage_reporting: Option<ReportingSettings>,
    ) -> Cluster {
        let mut cluster = Cluster {
            now: Nanos(1),
            machines: BTreeMap::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            partitions: BTreeSet::new(),
            powered_off: BTreeSet::new(),
            seeds: (1..=seeds).map(addr).collect(),
            tolerated_losses,
            seeded_bug,
            replies: BTreeMap::new(),
            received: BTreeMap::new(),
            log_lines: Vec::new(),
            last_id: 0,
            message_count: 0,
            usage_reporting,
            platform: Platform::default(),
            clock_error_ms: BTreeMap::new(),
            frozen: BTreeMap::new(),
        };
        (1..=count).for_each(|machine_id| cluster.start(machine_id, true));
        cluster.run(ms(1500));
        cluster
    }

    /// Starts a controller on a machine, with the current contents of its disk.
    pub fn start(&mut self, machine_id: usize, bootstrap: bool) {
        self.powered_off.remove(&machine_id);
        self.last_sequence += 1;
        let incarnation = self.last_sequence;
        let holder = format!("core-{machine_id}");
        let usage_reporting =
            self.usage_reporting.clone().map(|reporter| ReportingSettings { holder, ..reporter });
        let settings = ControllerSettings {
            addr: addr(machine_id),
            zone: format!("zone-{machine_id}"),
            seeds: self.seeds.clone(),
            bootstrap,
            tolerated_losses: self.tolerated_losses,
            heartbeat_interval: ms(1200),
            apply_deadline: ms(3000),
            contact_timeout: ms(4000),
            budget_window: ms(10_000),
            seed: incarnation * 1_000_003,
            digest_key: DigestKey::new([machine_id as u8; DigestKey::BYTES]),
            usage_reporting,
        };
        let machine = self.machines.entry(machine_id).or_insert_with(|| Machine {
            controller: None,
            incarnation,
            disk: None,
            known_peers: Vec::new(),
            write_mode: WriteMode::Succeed,
            pending_writes: Vec::new(),
        });
        machine.incarnation = incarnation;
        machine.pending_writes.clear();
        let mut controller = Controller::with_seeded_bug(settings, self.now, self.seeded_bug);
        controller.disk_loaded(self.now, machine.disk.clone(), &machine.known_peers, machine.disk.is_none());
        machine.controller = Some(controller);
    }

    /// Adds a machine without a running controller, with a disk that was written elsewhere.
    pub fn put_disk(&mut self, machine_id: usize, state: PersistentState, known_peers: Vec<SocketAddrV4>) {
        let machine = Machine {
            controller: None,
            incarnation: 0,
            disk: Some(state),
            known_peers,
            write_mode: WriteMode::Succeed,
            pending_writes: Vec::new(),
        };
        self.machines.insert(machine_id, machine);
    }

    /// Returns the machine whose controller leads the view.
    pub fn leader(&mut self) -> usize {
        let all: Vec<usize> = self.machines.keys().copied().collect();
        all.into_iter()
            .find(|machine_id| !self.controller_mut(*machine_id).can_exit())
            .expect("a controller leads")
    }

    pub fn controller_mut(&mut self, machine_id: usize) -> &mut Controller {
        self.machines
            .get_mut(&machine_id)
            .and_then(|machine| machine.controller.as_mut())
            .expect("the controller is running")
    }

    fn schedule(&mut self, wait: Nanos, event: Event) {
        self.last_sequence += 1;
        self.events.insert((self.now + wait, self.last_sequence), event);
    }

    /// Runs the cluster for this duration.
    pub fn run(&mut self, duration: Nanos) {
        let deadline = self.now + duration;
        let all: Vec<usize> = self.machines.keys().copied().collect();
        all.iter().for_each(|machine_id| self.perform_actions(*machine_id));
        loop {
            let timeouts = self
                .machines
                .iter()
                .filter(|(machine_id, _)| !self.frozen.contains_key(machine_id))
                .filter_map(|(_, machine)| machine.controller.as_ref())
                .map(Controller::next_timeout);
            let next_event = self.events.keys().next().map(|(time, _)| *time);
            let Some(time) = timeouts.chain(next_event).min().filter(|time| *time <= deadline) else { break };
            self.now = self.now.max(time);
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.handle_event(event);
            }
            all.iter().for_each(|machine_id| self.perform_actions(*machine_id));
        }
        self.now = deadline;
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        let at = match &event {
            Event::Message(_, at, _)
            | Event::Connected(at, _)
            | Event::Disconnected(at, _)
            | Event::Stored(at, ..)
            | Event::PlatformConnected(at, ..)
            | Event::PlatformAnswered(at, ..) => Some(*at),
            Event::PlatformReceived(..) => None,
        };
        if let Some(buffered) = at.and_then(|at| self.frozen.get_mut(&at)) {
            return buffered.push(event);
        }
        match event {
            Event::PlatformConnected(machine_id, incarnation, call) => {
                self.handle_platform_connected(machine_id, incarnation, call);
            }
            Event::PlatformReceived(machine_id, incarnation, call, content) => {
                let (outcome, wait) = self.platform.receive(now, &content);
                if let Some(outcome) = outcome {
                    let answered = Event::PlatformAnswered(machine_id, incarnation, call, outcome);
                    self.schedule(ONE_WAY_DELAY + wait, answered);
                }
            }
            Event::PlatformAnswered(machine_id, incarnation, call, outcome) => {
                if let Some(controller) = self.controller_of(machine_id, incarnation) {
                    controller.platform_call_finished(now, call, outcome);
                    self.perform_actions(machine_id);
                }
            }
            Event::Message(from, to, message) => {
                if !self.partitions.contains(&(from, to))
                    && let Some(controller) =
                        self.machines.get_mut(&to).and_then(|machine| machine.controller.as_mut())
                {
                    controller.handle_peer_message(now, addr(from), message);
                    self.perform_actions(to);
                }
            }
            Event::Connected(from, to) => {
                let is_running = self.machines.get(&to).is_some_and(|machine| machine.controller.is_some());
                if self.partitions.contains(&(from, to)) {
                    return;
                }
                if let Some(controller) =
                    self.machines.get_mut(&from).and_then(|machine| machine.controller.as_mut())
                {
                    if is_running {
                        controller.peer_connected(now, addr(to))
                    } else {
                        controller.peer_disconnected(now, addr(to))
                    }
                    self.perform_actions(from);
                }
            }
            Event::Disconnected(from, to) => {
                if let Some(controller) =
                    self.machines.get_mut(&from).and_then(|machine| machine.controller.as_mut())
                {
                    controller.peer_disconnected(now, addr(to));
                }
            }
            Event::Stored(machine_id, write_id, state) => {
                let Some(machine) = self.machines.get_mut(&machine_id) else { return };
                let ok = machine.write_mode != WriteMode::Fail;
                if ok {
                    machine.disk = Some(state);
                }
                if let Some(controller) = &mut machine.controller {
                    controller.write_completed(now, write_id, ok);
                }
                self.perform_actions(machine_id);
            }
        }
    }

    /// Returns the controller of this incarnation, if it still runs.
    fn controller_of(&mut self, machine_id: usize, incarnation: u64) -> Option<&mut Controller> {
        let machine = self.machines.get_mut(&machine_id)?;
        machine.controller.as_mut().filter(|_| machine.incarnation == incarnation)
    }

    fn handle_platform_connected(&mut self, machine_id: usize, incarnation: u64, call: CallId) {
        let now = self.now;
        let Some(controller) = self.controller_of(machine_id, incarnation) else { return };
        if let Some(content) = controller.take_platform_call(now, call) {
            self.schedule(ONE_WAY_DELAY, Event::PlatformReceived(machine_id, incarnation, call, content));
        }
        self.perform_actions(machine_id);
    }

    fn set_time_of_day(&mut self, machine_id: usize) {
        let error_ms = self.clock_error_ms.get(&machine_id).copied().unwrap_or_default();
        let unix_ms = (START_UNIX_MS + self.now.0 / 1_000_000).saturating_add_signed(error_ms);
        let now = self.now;
        if let Some(controller) = self.machines.get_mut(&machine_id).and_then(|at| at.controller.as_mut()) {
            controller.set_time_of_day(now, unix_ms);
        }
    }

    fn perform_actions(&mut self, machine_id: usize) {
        if self.frozen.contains_key(&machine_id) {
            return;
        }
        if self.usage_reporting.is_some() {
            self.set_time_of_day(machine_id);
        }
        let now = self.now;
        let machine_id_of = |addr: &SocketAddrV4| addr.ip().octets()[3] as usize;
        while let Some(action) = self
            .machines
            .get_mut(&machine_id)
            .and_then(|machine| machine.controller.as_mut())
            .and_then(|controller| controller.poll_action(now))
        {
            match action {
                Action::Reply { call, reply } => {
                    let text = String::from_utf8_lossy(reply.body.bytes()).into_owned();
                    self.replies.insert(call.connection, (reply.status, text));
                }
                Action::Send { to, message } => {
                    let is_counted = !matches!(
                        &message,
                        ControllerMessage::Consensus(Message::Heartbeat(_))
                            | ControllerMessage::RecentIncarnations(_)
                    );
                    self.message_count += is_counted as u64;
                    self.schedule(ONE_WAY_DELAY, Event::Message(machine_id, machine_id_of(&to), message));
                }
                Action::Notify { to, message } => {
                    for subscriber in to {
                        self.received.entry(subscriber.0).or_default().push_back(message.clone());
                    }
                }
                Action::Connect { to } if self.powered_off.contains(&machine_id_of(&to)) => {}
                Action::Connect { to } => self.schedule(
                    ONE_WAY_DELAY + ONE_WAY_DELAY,
                    Event::Connected(machine_id, machine_id_of(&to)),
                ),
                Action::StartPlatformCall { call } => {
                    if self.platform.mode != PlatformMode::Unreachable {
                        let incarnation = self.machines[&machine_id].incarnation;
                        let connected = Event::PlatformConnected(machine_id, incarnation, call);
                        self.schedule(ONE_WAY_DELAY + ONE_WAY_DELAY, connected);
                    }
                }
                Action::AbortConnect { .. } | Action::AbortPlatformCall { .. } => {}
                Action::Log { text, .. } => self.log_lines.push(text),
                Action::Store { write_id, state } => {
                    let machine = self
                        .machines
                        .get_mut(&machine_id)
                        .expect("the machine whose controller returned the action");
                    if machine.write_mode == WriteMode::Hang {
                        machine.pending_writes.push((write_id, state));
                    } else {
                        self.schedule(SYNC_DURATION, Event::Stored(machine_id, write_id, state));
                    }
                }
                Action::StoreKnownPeers { addrs } => {
                    self.machines
                        .get_mut(&machine_id)
                        .expect("the machine whose controller returned the action")
                        .known_peers = addrs;
                }
            }
        }
    }
}
