//! The clock, the links, the disks and the processes of the controllers.

use crate::callers::ControlClients;
use crate::chance::Rng;
use crate::gateways::Gateways;
use crate::judge::Observations;
use crate::listeners::Subscribers;
use crate::play::{FOUNDING_MEMBERS, SeededBug, Settings};
use crate::traffic::Traffic;
use crate::troubles::{Fault, Trigger};
use fernknot::interface::Nanos;
use fernknot_consensus::{PersistentState, WriteId};
use fernknot_controller::{Action, Controller, ControllerSettings, PendingCall, SubscriberId};
use fernknot_http_api::Reply;
use fernknot_rpc::{ControllerMessage, GatewayToController};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Machines of one play, those that came in the place of others counted too.
pub const MAX_MACHINES: usize = 60;
/// Places below it are machines of the core; the others are listeners.
pub const FIRST_SUBSCRIBER: usize = 100;
/// A first packet that was lost is sent again after this.
const AGAIN: Nanos = Nanos(1_000_000_000);

/// The caller who asks for the timeline.
const TIMELINE_CALL: PendingCall = PendingCall { connection: u64::MAX, call: u64::MAX };
/// Connections of callers at one process: each is used again by others.
const CALLER_CONNECTIONS: u64 = 8;

fn pending_call(call: u64) -> PendingCall {
    PendingCall { connection: call % CALLER_CONNECTIONS, call }
}

/// So many milliseconds.
pub fn millis(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

/// The inner address of a machine.
pub fn controller_addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, at as u8 + 1), 7121)
}

fn machine_index(addr: SocketAddrV4) -> usize {
    (addr.ip().octets()[3] as usize).wrapping_sub(1)
}

/// How a disk takes writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteBehavior {
    Normal,
    /// They wait until it is well again.
    Hanging,
    /// They are refused.
    Full,
    Slow,
}

/// What reaches a process.
#[derive(Clone, Debug)]
pub enum Input {
    Peer(SocketAddrV4, ControllerMessage),
    /// With the connection: one that was given up meanwhile is nobody's any more.
    Connected(SocketAddrV4, u64),
    Disconnected(SocketAddrV4),
    DiskRead,
    Stored(WriteId, bool),
    /// Is this write still out?
    WriteTimeout(WriteId),
    Call(u64),
    CallCancelled(u64),
    GatewayMessage(SubscriberId, GatewayToController),
    SubscriberGone(SubscriberId),
}

/// What is to happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// For the process with this life on that machine.
    Input(usize, u64, Input),
    Word(u64, ControllerMessage),
    Flush(u64),
    /// The first packet of a connection arrives.
    Syn(u64),
    /// Has nothing passed for as long as a connection bears?
    Silent(u64, u64),
    Written(usize, u64, WriteId, PersistentState),
    /// A full disk may have room.
    Reopen(usize, u64),
    Caller(crate::callers::Event),
    Listener(crate::listeners::Event),
    System(crate::gateways::Event),
    Traffic(crate::traffic::Event),
    Due(usize),
    Fire(usize),
    Over(usize, usize),
    SeedsFollow,
    /// A process starts again, unless it runs.
    Begin(usize),
    StopLook(usize, u64),
}

/// A connection from one controller to another.
struct Conn {
    from: usize,
    life: u64,
    to: usize,
    to_life: u64,
    open: bool,
    last: Nanos,
    /// Words that a cut holds back.
    held: VecDeque<ControllerMessage>,
    held_since: u64,
}

/// What lies on a disk, and how it is.
struct Disk {
    state: Option<PersistentState>,
    /// Older copies, for a plant.
    older_states: VecDeque<PersistentState>,
    known_addrs: Vec<SocketAddrV4>,
    write_behavior: WriteBehavior,
    pending_writes: Vec<(WriteId, PersistentState, Nanos)>,
    is_open: bool,
}

/// One machine of the core.
pub struct Machine {
    controller: Option<Controller>,
    pub incarnation: u64,
    started_at: Nanos,
    wake_at: Nanos,
    pub is_powered: bool,
    pub is_frozen: bool,
    /// It went for good.
    pub is_removed: bool,
    inbox: VecDeque<Input>,
    disk: Disk,
    /// When one that was told to stop is killed.
    stop_deadline: Nanos,
    pub has_slow_link: bool,
    pub loses_responses: bool,
    /// Troubles that make it count as lost.
    pub active_faults: usize,
    pub unavailable_until: Nanos,
    /// The last moment of anything that puts it out of touch.
    pub disturbed_at: Nanos,
    /// What it was last seen to know: view, order, epoch, lease.
    known_state: [u64; 4],
}

impl Machine {
    pub fn is_running(&self) -> bool {
        self.controller.is_some() && !self.is_frozen
    }

    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }
}

/// All of it.
pub struct Simulation {
    pub now: Nanos,
    pub settings: Settings,
    pub rng: Rng,
    pub machines: Vec<Machine>,
    events: BTreeMap<(Nanos, u64), Event>,
    pub sequence: u64,
    peer_connections: BTreeMap<u64, Conn>,
    outgoing: BTreeMap<(usize, usize), u64>,
    /// From a place to another nothing goes.
    pub partitions: BTreeMap<(usize, usize), usize>,
    stall_count: u64,
    /// Addresses as the seeds of the next starts, and as callers' lists have them.
    pub seeds: Vec<usize>,
    pub advertised: Vec<usize>,
    pub leader: Option<usize>,
    newest_view: u64,
    pub last_acknowledger: Option<usize>,
    /// The last event that unsettles the core.
    pub core_disturbed_at: Nanos,
    pub slow_faults: usize,
    pub response_loss_faults: usize,
    pub control_clients: ControlClients,
    pub subscribers: Subscribers,
    pub gateways: Gateways,
    pub traffic: Traffic,
    pub faults: Vec<Fault>,
    pub armed_faults: BTreeSet<usize>,
    pub injected_faults: BTreeSet<usize>,
    pub fault_machines: BTreeMap<usize, usize>,
    pub ended_faults: BTreeSet<usize>,
    pub is_healing: bool,
    /// The machine that came back last, after a start, a thaw or a cut.
    pub last_returned: Option<usize>,
    /// What was seen, for the judge.
    pub observations: Observations,
    pub log: Vec<String>,
    zone_delays: [Nanos; 9],
}

impl Simulation {
    pub fn new(facts: Settings, troubles: Vec<Fault>) -> Simulation {
        let chance = Rng::new(facts.seed);
        let mut delays = [millis(0); 9];
        for a in 0..3 {
            for b in 0..a {
                let way = chance.between(millis(1), millis(12));
                (delays[a * 3 + b], delays[b * 3 + a]) = (way, way);
            }
            delays[a * 4] = chance.between(Nanos(100_000), millis(1));
        }
        let mut world = Simulation {
            now: millis(1),
            rng: chance,
            machines: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            peer_connections: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            partitions: BTreeMap::new(),
            stall_count: 0,
            seeds: (0..facts.members.min(FOUNDING_MEMBERS)).collect(),
            advertised: (0..facts.members).collect(),
            leader: None,
            newest_view: 0,
            last_acknowledger: None,
            core_disturbed_at: millis(1),
            slow_faults: 0,
            response_loss_faults: 0,
            control_clients: ControlClients::new(&facts),
            subscribers: Subscribers::new(&facts),
            gateways: Gateways::new(&facts),
            traffic: Traffic::new(&facts),
            faults: troubles,
            armed_faults: BTreeSet::new(),
            injected_faults: BTreeSet::new(),
            fault_machines: BTreeMap::new(),
            ended_faults: BTreeSet::new(),
            is_healing: false,
            last_returned: None,
            observations: Observations::default(),
            log: Vec::new(),
            zone_delays: delays,
            settings: facts,
        };
        for at in 0..world.settings.members {
            world.add_machine();
            let wait = world.rng.between(millis(0), millis(300));
            world.schedule(wait, Event::StopLook(at, 0));
        }
        for at in 0..world.faults.len() {
            let due = world.faults[at].due_at;
            world.schedule(due, Event::Due(at));
        }
        world.start_control_clients();
        world.start_subscribers();
        world.start_gateways();
        world
    }

    pub fn add_machine(&mut self) -> usize {
        self.machines.push(Machine {
            controller: None,
            incarnation: 0,
            started_at: self.now,
            wake_at: Nanos(u64::MAX),
            is_powered: true,
            is_frozen: false,
            is_removed: false,
            inbox: VecDeque::new(),
            disk: Disk {
                state: None,
                older_states: VecDeque::new(),
                known_addrs: Vec::new(),
                write_behavior: WriteBehavior::Normal,
                pending_writes: Vec::new(),
                is_open: true,
            },
            stop_deadline: Nanos(0),
            has_slow_link: false,
            loses_responses: false,
            active_faults: 0,
            unavailable_until: Nanos(0),
            disturbed_at: self.now,
            known_state: [0; 4],
        });
        self.machines.len() - 1
    }

    pub fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.settings.trace {
            let text = text();
            self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
        }
    }

    pub fn schedule(&mut self, wait: Nanos, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + wait, self.sequence), event);
    }

    /// A place in the one sequence of all that operators do and see.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    pub fn sample_delay(&self, from: usize, to: usize) -> Nanos {
        let way = self.zone_delays[(from % 3) * 3 + to % 3];
        let slow = [from, to].iter().any(|at| self.machines.get(*at).is_some_and(|m| m.has_slow_link));
        let way = if slow { way + millis(200) } else { way };
        way + self.rng.between(Nanos(0), way.times(0.3))
    }

    // Time.

    pub fn run_until(&mut self, until: Nanos) {
        loop {
            let event = self.events.keys().next().map(|(at, _)| *at);
            let wakes = self.machines.iter().filter(|m| m.is_running()).map(|m| m.wake_at);
            let Some(at) = wakes.chain(event).min().filter(|at| *at <= until) else { break };
            self.now = self.now.max(at);
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.dispatch(event);
            }
            for at in 0..self.machines.len() {
                if self.machines[at].wake_at <= self.now {
                    self.run_actions(at);
                }
            }
        }
        self.now = until;
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Input(at, life, input) => {
                if self.machines[at].incarnation == life && self.machines[at].is_up() {
                    self.deliver(at, input);
                }
            }
            Event::Word(conn, word) => self.deliver_peer_message(conn, word),
            Event::Flush(conn) => self.flush_stalled(conn),
            Event::Syn(conn) => self.peer_connection_syn(conn),
            Event::Silent(conn, since) => self.time_out_peer_connection(conn, since),
            Event::Written(at, life, ticket, saved) => self.complete_write(at, life, ticket, saved),
            Event::Reopen(at, life) => self.reopen_disk(at, life),
            Event::Caller(event) => self.on_control_client_event(event),
            Event::Listener(event) => self.on_subscriber_event(event),
            Event::System(event) => self.on_gateway_event(event),
            Event::Traffic(event) => self.on_traffic_event(event),
            Event::Due(trouble) => self.fault_due(trouble),
            Event::Fire(trouble) => self.inject_fault(trouble),
            Event::Over(trouble, at) => self.end_fault(trouble, at),
            Event::SeedsFollow => {
                self.advertised =
                    (0..self.machines.len()).filter(|at| !self.machines[*at].is_removed).collect();
            }
            Event::Begin(at) => self.start_controller(at, false),
            // Life 0: a machine that has never run.
            Event::StopLook(at, 0) => self.start_controller(at, true),
            Event::StopLook(at, life) => self.check_stopped(at, life),
        }
    }

    // Processes.

    /// Starts a process with whatever is on its disk.
    pub fn start_controller(&mut self, at: usize, bootstrap: bool) {
        if self.machines[at].is_up() || self.machines[at].is_removed {
            return;
        }
        self.sequence += 1;
        let life = self.sequence;
        let bounds = self.settings.bounds;
        let facts = ControllerSettings {
            addr: controller_addr(at),
            zone: format!("zone-{}", at % 3),
            seeds: self.seeds.iter().map(|at| controller_addr(*at)).collect(),
            bootstrap,
            tolerated_losses: self.settings.losses,
            heartbeat_interval: bounds.heartbeat_interval,
            apply_deadline: bounds.apply_deadline,
            contact_timeout: bounds.contact_timeout,
            budget_window: millis(10_000),
            seed: crate::chance::splitmix64(self.settings.seed ^ life.rotate_left(32)) | 1,
        };
        let machine = &mut self.machines[at];
        machine.incarnation = life;
        machine.started_at = self.now;
        machine.is_frozen = false;
        machine.is_powered = true;
        machine.inbox.clear();
        machine.disk.pending_writes.clear();
        machine.disk.is_open = true;
        machine.controller = Some(self.settings.build_controller(facts, millis(1)));
        machine.disturbed_at = self.now;
        self.core_disturbed_at = self.now;
        self.last_returned = Some(at);
        self.trace(|| format!("{at} starts"));
        let wait = self.rng.between(millis(3), millis(40));
        self.schedule(wait, Event::Input(at, life, Input::DiskRead));
        self.fire_trigger(Trigger::MachineReturned);
        self.run_actions(at);
    }

    /// The process ends; with `power` the machine goes dark too.
    pub fn end_controller(&mut self, at: usize, power: bool) {
        let keep = self.rng.one_in(2);
        let now = self.now;
        let machine = &mut self.machines[at];
        if !machine.is_up() {
            machine.is_powered &= !power;
            return;
        }
        let life = machine.incarnation;
        machine.controller = None;
        machine.is_frozen = false;
        machine.wake_at = Nanos(u64::MAX);
        machine.inbox.clear();
        machine.is_powered = !power;
        machine.disturbed_at = now;
        // Writes under way: some came whole onto the disk, though nobody was told.
        for (_, saved, due) in std::mem::take(&mut machine.disk.pending_writes) {
            let early = self.settings.seeded_bug == Some(SeededBug::DiskAcksEarly);
            if keep && !early && due != Nanos(u64::MAX) {
                machine.disk.state = Some(saved);
            }
        }
        self.core_disturbed_at = now;
        self.trace(|| format!("{at} ends{}", if power { ", without power" } else { "" }));
        // What it sent is on its way; what comes is lost. The others are told if the machine can speak.
        let mine: Vec<u64> =
            self.peer_connections.iter().filter(|(_, c)| c.from == at).map(|(id, _)| *id).collect();
        for id in mine {
            let conn = &self.peer_connections[&id];
            if !conn.open || !conn.held.is_empty() {
                self.peer_connections.remove(&id);
            }
        }
        self.outgoing.retain(|(from, _), _| *from != at);
        let theirs: Vec<u64> =
            self.peer_connections.iter().filter(|(_, c)| c.to == at).map(|(id, _)| *id).collect();
        for id in theirs {
            let conn = &self.peer_connections[&id];
            let (from, from_life) = (conn.from, conn.life);
            if power || self.is_partitioned(at, from) || self.is_partitioned(from, at) {
                let silence = self.settings.bounds.suspect_timeout();
                self.schedule(silence, Event::Silent(id, u64::MAX));
            } else if conn.open {
                self.drop_peer_connection(id);
                let wait = self.sample_delay(at, from);
                self.schedule(wait, Event::Input(from, from_life, Input::Disconnected(controller_addr(at))));
            }
        }
        self.drop_control_calls(at, life, power);
        self.drop_subscribers(at, life, power);
        self.drop_gateway_connections(at, life, power);
    }

    pub fn set_frozen(&mut self, at: usize, frozen: bool) {
        if self.machines[at].is_frozen == frozen || !self.machines[at].is_up() {
            return;
        }
        self.machines[at].is_frozen = frozen;
        self.machines[at].disturbed_at = self.now;
        self.core_disturbed_at = self.now;
        self.trace(|| format!("{at} {}", if frozen { "freezes" } else { "thaws" }));
        if !frozen {
            self.last_returned = Some(at);
            self.fire_trigger(Trigger::MachineReturned);
            // What its own clock had due may come before what waits at its sockets, or after.
            if self.rng.one_in(2) {
                self.run_actions(at);
            }
            for input in std::mem::take(&mut self.machines[at].inbox) {
                self.deliver(at, input);
            }
            self.run_actions(at);
        }
    }

    /// SIGTERM.
    pub fn stop_controller(&mut self, at: usize) {
        let local = self.local_time(at);
        self.core_disturbed_at = self.now;
        let Some(brain) = &mut self.machines[at].controller else { return };
        brain.begin_shutdown(local);
        let life = self.machines[at].incarnation;
        // A quarter of `grace_s`.
        self.machines[at].stop_deadline = self.now + millis(1500);
        self.trace(|| format!("{at} is told to stop"));
        self.run_actions(at);
        self.schedule(millis(20), Event::StopLook(at, life));
    }

    fn check_stopped(&mut self, at: usize, life: u64) {
        let machine = &self.machines[at];
        if machine.incarnation != life {
            return;
        }
        let Some(brain) = &machine.controller else { return };
        if brain.can_exit() || self.now >= machine.stop_deadline {
            self.end_controller(at, false);
        } else {
            self.schedule(millis(20), Event::StopLook(at, life));
        }
    }

    fn local_time(&self, at: usize) -> Nanos {
        self.now - self.machines[at].started_at + millis(1)
    }

    pub fn deliver(&mut self, at: usize, input: Input) {
        let now = self.local_time(at);
        let machine = &mut self.machines[at];
        if machine.is_frozen {
            machine.inbox.push_back(input);
            return;
        }
        let Some(brain) = &mut machine.controller else { return };
        match input {
            Input::Peer(from, word) => brain.handle_peer_message(now, from, word),
            Input::Connected(to, id) if self.outgoing.get(&(at, machine_index(to))) == Some(&id) => {
                brain.peer_connected(now, to)
            }
            Input::Disconnected(to) if !self.outgoing.contains_key(&(at, machine_index(to))) => {
                brain.peer_disconnected(now, to)
            }
            Input::Connected(..) | Input::Disconnected(_) => {}
            Input::DiskRead => {
                let disk = &machine.disk;
                let old = disk
                    .older_states
                    .front()
                    .filter(|_| self.settings.seeded_bug == Some(SeededBug::StaleDisk));
                let saved = old.or(disk.state.as_ref()).cloned();
                let fresh = saved.is_none();
                let text = format!("{at} has read its disk, {}", if fresh { "empty" } else { "not empty" });
                brain.disk_loaded(now, saved, &disk.known_addrs, fresh);
                if self.settings.trace {
                    self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
                }
                brain.set_disk_health(now, true);
            }
            Input::Stored(ticket, ok) => {
                brain.write_completed(now, ticket, ok);
                let well = machine.disk.is_open && machine.disk.pending_writes.is_empty();
                if well {
                    brain.set_disk_health(now, true);
                }
            }
            Input::WriteTimeout(ticket) => {
                if machine.disk.pending_writes.iter().any(|(other, ..)| *other == ticket) {
                    brain.set_disk_health(now, false);
                }
            }
            Input::Call(call) => {
                if let Some(request) = self.control_clients.request_of(call) {
                    brain.handle_call(now, pending_call(call), request);
                }
            }
            Input::CallCancelled(call) => brain.cancel_call(pending_call(call)),
            Input::GatewayMessage(ear, word) => brain.handle_gateway_message(now, ear, word),
            Input::SubscriberGone(ear) => brain.unsubscribe(ear),
        }
        self.run_actions(at);
    }

    pub fn run_actions(&mut self, at: usize) {
        loop {
            let now = self.local_time(at);
            let machine = &mut self.machines[at];
            if machine.is_frozen {
                return;
            }
            let Some(brain) = &mut machine.controller else { return };
            let Some(order) = brain.poll_action(now) else {
                let wake = machine.started_at + (brain.next_timeout() - millis(1));
                machine.wake_at = wake.max(self.now + Nanos(1000));
                return;
            };
            self.execute(at, order);
        }
    }

    fn execute(&mut self, at: usize, order: Action) {
        let life = self.machines[at].incarnation;
        match order {
            Action::Reply { call: slot, reply } => self.route_response(at, slot, reply),
            Action::Send { to, message: word } => {
                let dropped = self.settings.seeded_bug == Some(SeededBug::WithholdsNodeUpdates)
                    && matches!(word, ControllerMessage::NodeUpdates(_));
                let Some(id) = self.outgoing.get(&(at, machine_index(to))).copied().filter(|_| !dropped)
                else {
                    return;
                };
                let wait = self.sample_delay(at, machine_index(to));
                let Some(conn) = self.peer_connections.get_mut(&id).filter(|conn| conn.open) else { return };
                conn.last = conn.last.max(self.now + wait);
                let wait = conn.last - self.now;
                self.schedule(wait, Event::Word(id, word));
            }
            Action::Notify { to, message: word } => {
                for ear in to {
                    match self.gateways.connections.contains_key(&ear.0) {
                        true => self.notify_gateway(at, ear, &word),
                        false => self.notify_subscriber(at, life, ear, &word),
                    }
                }
            }
            Action::Connect { to } => {
                let to = machine_index(to);
                if let Some(old) = self.outgoing.remove(&(at, to)) {
                    self.peer_connections.remove(&old);
                }
                self.sequence += 1;
                let id = self.sequence;
                let conn = Conn {
                    from: at,
                    life,
                    to,
                    to_life: 0,
                    open: false,
                    last: self.now,
                    held: VecDeque::new(),
                    held_since: 0,
                };
                self.peer_connections.insert(id, conn);
                self.outgoing.insert((at, to), id);
                let wait = self.sample_delay(at, to) + self.sample_delay(to, at);
                self.schedule(wait, Event::Syn(id));
            }
            Action::AbortConnect { to } => {
                if let Some(id) = self.outgoing.remove(&(at, machine_index(to))) {
                    self.peer_connections.remove(&id);
                }
            }
            Action::Store { write_id, state: saved } => self.begin_write(at, write_id, saved),
            Action::StoreKnownPeers { addrs } => self.machines[at].disk.known_addrs = addrs,
            Action::Log { text, .. } => self.observe_event(at, &text),
        }
    }

    /// The newest view anybody entered names its sequencer first.
    fn observe_event(&mut self, at: usize, text: &str) {
        self.trace(|| format!("{at}: {text}"));
        if let Some(rest) = text.strip_prefix("view ") {
            let mut words = rest.split([' ', ',']);
            let no = words.next().and_then(|no| no.parse().ok()).unwrap_or(0);
            let first = words.nth(1).and_then(|ip| ip.rsplit('.').next()?.parse::<usize>().ok());
            if no > self.newest_view {
                self.newest_view = no;
                self.leader = first.map(|octet| octet.wrapping_sub(1));
                self.fire_trigger(Trigger::LeaderChange);
            }
        }
        if self.settings.trace {
            self.request_counters(at);
        }
    }

    /// Asks what it knows now, for the timeline, as any operator may.
    fn request_counters(&mut self, at: usize) {
        let now = self.local_time(at);
        let request = crate::callers::parse_request("GET /-/counters HTTP/1.1\r\n", "");
        if let (Some(brain), Some(request)) = (&mut self.machines[at].controller, request) {
            brain.handle_call(now, TIMELINE_CALL, &request);
        }
    }

    fn record_counters(&mut self, at: usize, reply: &Reply) {
        let counters: serde_json::Value = serde_json::from_slice(reply.body.bytes()).unwrap_or_default();
        let level = |name: &str| counters.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        let knows = [level("view"), level("revision"), level("epoch"), level("lease")];
        if std::mem::replace(&mut self.machines[at].known_state, knows) != knows {
            let all = self.machines.iter().map(|machine| {
                let [view, order, epoch, lease] = machine.known_state;
                match machine.controller.is_some() {
                    true => format!("{view}/{order}/{epoch}/{}", if lease == 1 { "held" } else { "none" }),
                    false => "down".into(),
                }
            });
            let all: Vec<String> = all.collect();
            self.trace(|| format!("  who knows what (view/order/epoch/lease): {}", all.join("  ")));
        }
    }

    // Disks.

    fn begin_write(&mut self, at: usize, ticket: WriteId, saved: PersistentState) {
        let life = self.machines[at].incarnation;
        let wait = match self.machines[at].disk.write_behavior {
            WriteBehavior::Normal => self.rng.between(millis(1), millis(5)),
            WriteBehavior::Slow => self.rng.between(millis(30), millis(300)),
            WriteBehavior::Hanging => Nanos(u64::MAX),
            WriteBehavior::Full => {
                self.machines[at].disk.is_open = false;
                self.schedule(millis(1), Event::Input(at, life, Input::Stored(ticket, false)));
                self.schedule(millis(2), Event::Input(at, life, Input::WriteTimeout(ticket)));
                self.machines[at].disk.pending_writes.push((ticket, saved, Nanos(u64::MAX)));
                self.schedule(millis(200), Event::Reopen(at, life));
                return;
            }
        };
        let early = self.settings.seeded_bug == Some(SeededBug::DiskAcksEarly);
        if early {
            self.schedule(Nanos(0), Event::Input(at, life, Input::Stored(ticket, true)));
        }
        let wait = if early && wait.0 != u64::MAX { wait + millis(400) } else { wait };
        let due = if wait.0 == u64::MAX { wait } else { self.now + wait };
        self.machines[at].disk.pending_writes.push((ticket, saved.clone(), due));
        if wait.0 != u64::MAX {
            self.schedule(wait, Event::Written(at, life, ticket, saved));
        }
        let patience = self.settings.bounds.apply_deadline.times(1.0 / 6.0);
        if !early && wait > patience {
            self.schedule(patience, Event::Input(at, life, Input::WriteTimeout(ticket)));
        }
    }

    /// The disk has it, also where the process is frozen.
    fn complete_write(&mut self, at: usize, life: u64, ticket: WriteId, saved: PersistentState) {
        let early = self.settings.seeded_bug == Some(SeededBug::DiskAcksEarly);
        let machine = &mut self.machines[at];
        if machine.incarnation != life || machine.controller.is_none() {
            return;
        }
        machine.disk.pending_writes.retain(|(other, ..)| *other != ticket);
        if let Some(old) = machine.disk.state.replace(saved) {
            machine.disk.older_states.push_back(old);
            if machine.disk.older_states.len() > 4 {
                machine.disk.older_states.pop_front();
            }
        }
        if !early {
            self.deliver(at, Input::Stored(ticket, true));
        }
    }

    /// Whether the folder can be opened anew.
    fn reopen_disk(&mut self, at: usize, life: u64) {
        let machine = &mut self.machines[at];
        if machine.incarnation != life || machine.controller.is_none() {
            return;
        }
        if machine.disk.write_behavior == WriteBehavior::Full {
            return self.schedule(millis(200), Event::Reopen(at, life));
        }
        machine.disk.is_open = true;
        machine.disk.pending_writes.retain(|(_, _, due)| *due != Nanos(u64::MAX));
        let local = self.local_time(at);
        let machine = &mut self.machines[at];
        if let Some(brain) = machine.controller.as_mut().filter(|_| !machine.is_frozen) {
            brain.set_disk_health(local, true);
            self.run_actions(at);
        } else {
            self.schedule(millis(200), Event::Reopen(at, life));
        }
    }

    pub fn set_write_behavior(&mut self, at: usize, writes: WriteBehavior) {
        let life = self.machines[at].incarnation;
        let was = std::mem::replace(&mut self.machines[at].disk.write_behavior, writes);
        if was == WriteBehavior::Hanging && writes != WriteBehavior::Hanging {
            let held: Vec<(WriteId, PersistentState)> = self.machines[at]
                .disk
                .pending_writes
                .iter()
                .filter(|(_, _, due)| due.0 == u64::MAX)
                .map(|(ticket, saved, _)| (*ticket, saved.clone()))
                .collect();
            for (ticket, saved) in held {
                self.schedule(millis(3), Event::Written(at, life, ticket, saved));
            }
        }
        self.machines[at].disturbed_at = self.now;
    }

    pub fn wipe_disk(&mut self, at: usize) {
        let disk = &mut self.machines[at].disk;
        (disk.state, disk.known_addrs) = (None, Vec::new());
        disk.older_states.clear();
    }

    // Links.

    fn drop_peer_connection(&mut self, id: u64) {
        if let Some(conn) = self.peer_connections.remove(&id)
            && self.outgoing.get(&(conn.from, conn.to)) == Some(&id)
        {
            self.outgoing.remove(&(conn.from, conn.to));
        }
    }

    fn peer_connection_syn(&mut self, id: u64) {
        let Some(conn) = self.peer_connections.get(&id) else { return };
        let (from, life, to) = (conn.from, conn.life, conn.to);
        let there = self.machines.get(to).filter(|machine| machine.is_powered && !machine.is_removed);
        let Some(there) = there.filter(|_| !self.is_partitioned(from, to) && !self.is_partitioned(to, from))
        else {
            return self.schedule(AGAIN, Event::Syn(id));
        };
        if !there.is_up() {
            self.drop_peer_connection(id);
            return self
                .schedule(Nanos(0), Event::Input(from, life, Input::Disconnected(controller_addr(to))));
        }
        let to_life = there.incarnation;
        if let Some(conn) = self.peer_connections.get_mut(&id) {
            (conn.open, conn.to_life, conn.last) = (true, to_life, self.now);
        }
        self.schedule(Nanos(0), Event::Input(from, life, Input::Connected(controller_addr(to), id)));
    }

    fn deliver_peer_message(&mut self, id: u64, word: ControllerMessage) {
        let Some(conn) = self.peer_connections.get(&id) else { return };
        let (from, to, to_life) = (conn.from, conn.to, conn.to_life);
        let machine = &self.machines[to];
        if !machine.is_powered || self.is_partitioned(from, to) || !conn.held.is_empty() {
            self.stall_count += 1;
            let no = self.stall_count;
            let silence = self.settings.bounds.suspect_timeout();
            let Some(conn) = self.peer_connections.get_mut(&id) else { return };
            if conn.held.is_empty() {
                conn.held_since = no;
                self.schedule(silence, Event::Silent(id, no));
            }
            let Some(conn) = self.peer_connections.get_mut(&id) else { return };
            return conn.held.push_back(word);
        }
        if machine.incarnation == to_life && machine.is_up() {
            if let ControllerMessage::NodeUpdates(facts) = &word {
                let told = facts.iter().map(|fact| format!("{} {:?} {}", fact.id, fact.state, fact.sequence));
                let text = told.collect::<Vec<_>>().join(", ");
                self.trace(|| format!("{to} is told by {from} of {text}"));
            }
            self.deliver(to, Input::Peer(controller_addr(from), word));
        }
    }

    /// What was held back goes on, if nothing holds it back any more.
    fn flush_stalled(&mut self, id: u64) {
        let Some(conn) = self.peer_connections.get(&id) else { return };
        let (from, to, to_life) = (conn.from, conn.to, conn.to_life);
        if self.is_partitioned(from, to) || !self.machines[to].is_powered {
            return;
        }
        let held =
            self.peer_connections.get_mut(&id).map(|conn| std::mem::take(&mut conn.held)).unwrap_or_default();
        for word in held {
            if self.machines[to].incarnation == to_life {
                self.deliver(to, Input::Peer(controller_addr(from), word));
            }
        }
    }

    /// A sender whose words were not acknowledged for so long gives the connection up.
    fn time_out_peer_connection(&mut self, id: u64, since: u64) {
        let Some(conn) = self.peer_connections.get(&id) else { return };
        let (from, life, to) = (conn.from, conn.life, conn.to);
        if since != u64::MAX && (conn.held.is_empty() || conn.held_since != since) {
            return;
        }
        self.drop_peer_connection(id);
        self.schedule(Nanos(0), Event::Input(from, life, Input::Disconnected(controller_addr(to))));
    }

    /// Cuts or joins one way from a place to another.
    pub fn set_partition(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            *self.partitions.entry((from, to)).or_default() += 1;
        } else if let Some(count) = self.partitions.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.partitions.remove(&(from, to));
            }
        }
        if from < FIRST_SUBSCRIBER && to < FIRST_SUBSCRIBER {
            self.core_disturbed_at = self.now;
        }
        for place in [from, to] {
            self.mark_disturbed(place);
        }
        let both: Vec<u64> = self
            .peer_connections
            .iter()
            .filter(|(_, c)| (c.from, c.to) == (from, to) || (c.from, c.to) == (to, from))
            .map(|(id, _)| *id)
            .collect();
        for id in both {
            if cut {
                // No acknowledgement comes back, though the words may arrive.
                self.stall_count += 1;
                let conn = &self.peer_connections[&id];
                if (conn.from, conn.to) == (to, from) && conn.open {
                    let wait =
                        self.settings.bounds.suspect_timeout() + self.rng.between(millis(0), millis(200));
                    self.schedule(wait, Event::Silent(id, u64::MAX));
                }
            } else {
                let wait = self.rng.between(millis(1), millis(250));
                self.schedule(wait, Event::Flush(id));
            }
        }
        if cut {
            self.partition_subscribers(from, to);
            self.partition_gateways(from, to);
        }
    }

    /// All connections of a machine end at once; what was on its way is lost.
    pub fn reset_connections(&mut self, at: usize) {
        self.core_disturbed_at = self.now;
        self.mark_disturbed(at);
        self.trace(|| format!("{at}: its connections are reset"));
        let all: Vec<u64> = self
            .peer_connections
            .iter()
            .filter(|(_, c)| c.from == at || c.to == at)
            .map(|(id, _)| *id)
            .collect();
        for id in all {
            let conn = &self.peer_connections[&id];
            let (from, life, to) = (conn.from, conn.life, conn.to);
            self.drop_peer_connection(id);
            self.schedule(Nanos(0), Event::Input(from, life, Input::Disconnected(controller_addr(to))));
        }
        let life = self.machines[at].incarnation;
        self.drop_control_calls(at, life, false);
        self.drop_subscribers(at, life, false);
        self.drop_gateway_connections(at, life, false);
    }

    fn mark_disturbed(&mut self, place: usize) {
        if let Some(machine) = self.machines.get_mut(place) {
            machine.disturbed_at = self.now;
        }
        let now = self.now;
        self.subscribers.mark_disturbed(place, now);
        self.gateways.mark_disturbed(place, now);
    }

    // Who is in touch, by the users' own words.

    fn is_linked(&self, a: usize, b: usize) -> bool {
        !self.is_partitioned(a, b) && !self.is_partitioned(b, a)
    }

    /// Machines that run and reach more than half of the core.
    pub fn majority_members(&self) -> Vec<usize> {
        let core: Vec<usize> = (0..self.machines.len()).filter(|at| !self.machines[*at].is_removed).collect();
        let runs: Vec<usize> = core.iter().copied().filter(|at| self.machines[*at].is_running()).collect();
        let reaches = |at: usize| {
            let others = runs.iter().filter(|other| **other == at || self.is_linked(at, **other)).count();
            others * 2 > core.len()
        };
        runs.iter().copied().filter(|at| reaches(*at)).collect()
    }

    pub fn is_settled(&self) -> bool {
        let calm = self.now - self.core_disturbed_at >= self.settings.bounds.contact_timeout
            && self.slow_faults == 0;
        calm && !self.majority_members().is_empty()
    }

    /// Whether a place is in touch, its own last trouble having been at `touched`.
    pub fn is_in_touch(&self, place: usize, touched: Nanos) -> bool {
        let calm = self.now - touched >= self.settings.bounds.contact_timeout;
        calm && self.is_settled()
            && self.majority_members().iter().all(|at| *at == place || self.is_linked(*at, place))
    }

    /// An answer of a process goes to its caller.
    fn route_response(&mut self, at: usize, slot: PendingCall, reply: Reply) {
        if slot == TIMELINE_CALL {
            return self.record_counters(at, &reply);
        }
        self.respond(at, slot.call, &reply);
    }
}
