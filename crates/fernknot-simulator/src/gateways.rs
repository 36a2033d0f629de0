//! The real gateways, and the connections that bear their bytes: to controllers, to each other, to nodes and from
//! clients. A connection is in order; a reset or a cut loses what is on its way.

use crate::play::{SeededBug, Settings};
use crate::ports::{PortAction, SimulatedPorts};
use crate::world::{Event as All, FIRST_SUBSCRIBER, Input, Simulation, controller_addr, millis};
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_gateway::{Gateway, ListenerIds};
use fernknot_net::{Buffer, ConnectionId, Event as Happened, NetError};
use fernknot_rpc::{ControllerToGateway, GatewayToController, read_message, write_message};
use fernknot_schema::{ProcessSettings, RoutingConfig};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Places from here on are gateways, in plays that have them; such plays have no listeners.
pub const FIRST_GATEWAY: usize = FIRST_SUBSCRIBER;
/// The share of further tries that the rules allow, what is free in each window, and its length.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 10.0;
pub const RETRY_WINDOW: Nanos = Nanos(10_000_000_000);
/// A first packet that was lost is sent again after this.
const AGAIN: Nanos = Nanos(1_000_000_000);
/// The longest word of a gateway to a controller.
const MOST: usize = 16 << 20;
const INNER_PORT: u16 = 7120;

/// Who is at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    Gateway {
        at: usize,
        incarnation: u64,
        connection: ConnectionId,
    },
    Controller {
        at: usize,
        incarnation: u64,
    },
    Node {
        at: usize,
    },
    Client(usize),
    /// Its first packet is lost or refused.
    Unreachable,
}

/// One connection; the first end opened it.
pub struct ByteConnection {
    pub endpoints: [Endpoint; 2],
    /// When what was sent last arrives at each end.
    last_arrival: [Nanos; 2],
    /// Nothing passes any more.
    is_broken: bool,
    /// Each end that has closed it or seen its end.
    closed: [bool; 2],
    /// What a controller has read of it.
    received: Buffer,
}

/// What happens to gateways next.
#[derive(Clone, Debug)]
pub enum Event {
    Begin(usize),
    Turn(usize, u64),
    Syn(u64),
    Up(u64),
    Bytes(u64, usize, Vec<u8>),
    /// The end of a connection reaches one end of it; a reset where it is true.
    Ended(u64, usize, bool),
    Thaw(usize, u64),
    Trouble,
}

/// One gateway's process.
pub struct GatewayProcess {
    gateway: Option<Gateway>,
    pub incarnation: u64,
    started_at: Nanos,
    refuses_clients: bool,
    is_frozen: bool,
    ports: SimulatedPorts,
    doors: ListenerIds,
    inbox: Vec<Happened>,
    turn_at: Option<Nanos>,
    connections: BTreeMap<ConnectionId, u64>,
    /// The last moment of anything that puts it out of touch.
    pub disturbed_at: Nanos,
}

/// All of them, and their connections.
pub struct Gateways {
    pub processes: Vec<GatewayProcess>,
    pub connections: BTreeMap<u64, ByteConnection>,
    /// The plan told last, for a plant.
    previous_config: Option<RoutingConfig>,
}

fn gateway_addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, at as u8 + 1), INNER_PORT)
}

/// Where a node of this place listens, whatever life it has.
pub fn node_addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, at as u8, 1), 80)
}

/// A gateway's settings; none where they are not sound.
fn process_settings(at: usize, seeds: &[usize], facts: &Settings) -> Option<ProcessSettings> {
    let bounds = &facts.bounds;
    let seeds: Vec<String> =
        seeds.iter().map(|at| format!("\"{}:8729\"", controller_addr(*at).ip())).collect();
    let ip = gateway_addr(at);
    let free = if facts.seeded_bug == Some(SeededBug::UnlimitedRetries) { 100.0 } else { 1.0 };
    let text = format!(
        r#"{{"node_name": "edge-{at}", "role": "gate", "machine_class": "edge", "serves": ["edge"], "ip": "{ip}",
        "zone": "zone-{zone}", "region": "r", "zones": {{"zone-0": "r", "zone-1": "r", "zone-2": "r"}},
        "bind_addrs": {{"front_addr": "{ip}:8726", "ready_addr": "{ip}:8723"}},
        "port_range": [{INNER_PORT}, 7135], "seeds": [{seeds}], "bootstrap": true, "counted": false,
        "limits": {{"memory_mb": 260, "fd_limit": 4100}}, "beat_ms": {beat},
        "bounds": {{"apply_ms": {apply}, "contact_ms": {contact}, "grace_s": 6.0, "drain_cutoff_ms": {cutoff},
                    "retry_ratio": {ratio}, "retry_window_s": {window}, "retry_slack": {slack}}}}}"#,
        ip = ip.ip(),
        zone = at % 3,
        seeds = seeds.join(", "),
        beat = bounds.heartbeat_interval.as_millis(),
        apply = bounds.apply_deadline.as_millis(),
        contact = bounds.contact_timeout.as_millis(),
        cutoff = bounds.drain_cutoff.as_millis(),
        ratio = RETRY_RATIO * free,
        slack = RETRY_SLACK * free,
        window = RETRY_WINDOW.as_millis() / 1e3,
    );
    ProcessSettings::parse(text.as_bytes()).ok()
}

impl Gateways {
    pub fn new(facts: &Settings) -> Gateways {
        let list = (0..facts.gateways).map(|_| {
            let mut ports = SimulatedPorts::default();
            let doors = ListenerIds { front: ports.new_id(), ready: ports.new_id(), inner: ports.new_id() };
            GatewayProcess {
                gateway: None,
                incarnation: 0,
                started_at: Nanos(0),
                refuses_clients: true,
                is_frozen: false,
                ports,
                doors,
                inbox: Vec::new(),
                turn_at: None,
                connections: BTreeMap::new(),
                disturbed_at: Nanos(0),
            }
        });
        Gateways { processes: list.collect(), connections: BTreeMap::new(), previous_config: None }
    }

    pub fn mark_disturbed(&mut self, place: usize, now: Nanos) {
        if let Some(process) = place.checked_sub(FIRST_GATEWAY).and_then(|at| self.processes.get_mut(at)) {
            process.disturbed_at = now;
        }
    }
}

/// Where cuts find an end; nodes and clients stand where no cut is.
fn network_position(end: Endpoint) -> Option<usize> {
    match end {
        Endpoint::Gateway { at, .. } => Some(FIRST_GATEWAY + at),
        Endpoint::Controller { at, .. } => Some(at),
        Endpoint::Node { .. } | Endpoint::Client(_) | Endpoint::Unreachable => None,
    }
}

fn zone_of(end: Endpoint) -> usize {
    match end {
        Endpoint::Gateway { at, .. }
        | Endpoint::Controller { at, .. }
        | Endpoint::Node { at }
        | Endpoint::Client(at) => at % 3,
        Endpoint::Unreachable => 0,
    }
}

impl Simulation {
    pub fn start_gateways(&mut self) {
        for at in 0..self.gateways.processes.len() {
            self.schedule(millis(400 + 50 * at as u64), All::System(Event::Begin(at)));
        }
        if !self.gateways.processes.is_empty() {
            self.start_traffic();
            self.schedule(millis(4000), All::System(Event::Trouble));
        }
    }

    pub fn on_gateway_event(&mut self, event: Event) {
        match event {
            Event::Begin(at) => self.start_gateway(at),
            Event::Turn(at, life) => {
                let process = &self.gateways.processes[at];
                if process.incarnation == life && process.turn_at == Some(self.now) {
                    self.gateway_turn(at);
                }
            }
            Event::Syn(id) => self.connection_syn(id),
            Event::Up(id) => self.connection_up(id),
            Event::Bytes(id, to, bytes) => self.bytes_arrive(id, to, &bytes),
            Event::Ended(id, to, reset) => self.connection_ended(id, to, reset),
            Event::Thaw(at, life) => {
                let now = self.now;
                let process = &mut self.gateways.processes[at];
                if process.incarnation == life {
                    (process.is_frozen, process.disturbed_at) = (false, now);
                    self.schedule_turn(at, Nanos(0));
                }
            }
            Event::Trouble => self.inject_gateway_fault(),
        }
    }

    // Processes.

    fn start_gateway(&mut self, at: usize) {
        self.sequence += 1;
        let life = self.sequence;
        let seed = crate::chance::splitmix64(self.settings.seed ^ life.rotate_left(24)) | 1;
        let Some(facts) = process_settings(at, &self.seeds, &self.settings) else {
            return self.report_violation("SETTINGS", format!("gateway {at} can't read its settings"));
        };
        let process = &mut self.gateways.processes[at];
        let brain = match Gateway::new(facts, process.doors, seed) {
            Ok(brain) => brain,
            Err(why) => return self.report_violation("SETTINGS", format!("gateway {at}: {why}")),
        };
        process.gateway = Some(match self.settings.seeded_bug {
            Some(SeededBug::Gateway(plant)) => brain.with_seeded_bug(plant),
            _ => brain,
        });
        (process.incarnation, process.started_at, process.disturbed_at) = (life, self.now, self.now);
        (process.refuses_clients, process.is_frozen) = (false, false);
        self.trace(|| format!("gateway {at} starts"));
        self.schedule_turn(at, Nanos(0));
    }

    /// The process ends, and its connections with it; another life begins later.
    fn end_gateway(&mut self, at: usize) {
        let now = self.now;
        let process = &mut self.gateways.processes[at];
        (process.gateway, process.refuses_clients, process.turn_at, process.disturbed_at) =
            (None, true, None, now);
        process.inbox.clear();
        process.ports.connections.clear();
        process.ports.unread_after_reset.clear();
        process.ports.pending_output.clear();
        process.ports.actions.clear();
        for id in std::mem::take(&mut process.connections).into_values() {
            self.close_connection(
                id,
                Endpoint::Gateway { at, incarnation: 0, connection: ConnectionId(0) },
                true,
            );
        }
        self.trace(|| format!("gateway {at} ends"));
        let wait = self.rng.between(millis(100), millis(2000));
        self.schedule(wait, All::System(Event::Begin(at)));
    }

    fn schedule_turn(&mut self, at: usize, wait: Nanos) {
        let due = self.now + wait;
        let process = &mut self.gateways.processes[at];
        if process.turn_at.is_none_or(|set| due < set) {
            process.turn_at = Some(due);
            let life = process.incarnation;
            self.schedule(wait, All::System(Event::Turn(at, life)));
        }
    }

    fn gateway_turn(&mut self, at: usize) {
        let now = self.now;
        let seeds: Vec<SocketAddrV4> = self.seeds.iter().map(|at| controller_addr(*at)).collect();
        let process = &mut self.gateways.processes[at];
        process.turn_at = None;
        let clock = now - process.started_at;
        let Some(brain) = process.gateway.as_mut().filter(|_| !process.is_frozen) else { return };
        brain.step(clock, process.inbox.drain(..), &mut process.ports);
        process.ports.unread_after_reset.clear();
        if brain.take_settings_reload_request() {
            brain.set_seeds(&seeds);
        }
        let is_out = brain.poll_shutdown(clock, &mut process.ports);
        let wait = brain.next_wakeup() - clock;
        self.flush_gateway(at);
        if is_out {
            return self.end_gateway(at);
        }
        self.schedule_turn(at, wait.max(Nanos(1000)).min(millis(250)));
    }

    /// What it did and said leaves.
    fn flush_gateway(&mut self, at: usize) {
        for did in std::mem::take(&mut self.gateways.processes[at].ports.actions) {
            match did {
                PortAction::Connect(berth, to) => {
                    let life = self.gateways.processes[at].incarnation;
                    let id = self
                        .open_connection(Endpoint::Gateway { at, incarnation: life, connection: berth }, to);
                    self.gateways.processes[at].connections.insert(berth, id);
                }
                PortAction::Close(berth) => self.gateway_closes_connection(at, berth),
                PortAction::StopListening => self.gateways.processes[at].refuses_clients = true,
            }
        }
        for berth in std::mem::take(&mut self.gateways.processes[at].ports.pending_output) {
            self.flush_output(at, berth);
        }
    }

    fn gateway_closes_connection(&mut self, at: usize, berth: ConnectionId) {
        if let Some(id) = self.gateways.processes[at].connections.remove(&berth) {
            self.close_connection(id, Endpoint::Gateway { at, incarnation: 0, connection: berth }, false);
        }
    }

    fn flush_output(&mut self, at: usize, berth: ConnectionId) {
        let process = &mut self.gateways.processes[at];
        let Some(link) = process.ports.connections.get_mut(&berth).filter(|link| link.is_open) else {
            return;
        };
        let bytes = link.output.data().to_vec();
        link.output.consume(bytes.len());
        let closing = link.is_closing;
        if let Some(id) = process.connections.get(&berth).copied().filter(|_| !bytes.is_empty()) {
            self.send_bytes(id, Endpoint::Gateway { at, incarnation: 0, connection: berth }, bytes);
        }
        if closing {
            self.gateways.processes[at].ports.connections.remove(&berth);
            self.gateway_closes_connection(at, berth);
        }
    }

    fn push_gateway_event(&mut self, at: usize, event: Happened) {
        self.gateways.processes[at].inbox.push(event);
        let wait = match self.rng.below(10) {
            0 => self.rng.between(Nanos(0), millis(10)),
            _ => Nanos(0),
        };
        self.schedule_turn(at, wait);
    }

    // Connections.

    /// Begins a connection from this end.
    pub fn open_connection(&mut self, from: Endpoint, to: SocketAddrV4) -> u64 {
        let octets = to.ip().octets();
        let (net, third, last) = (octets[1], octets[2] as usize, (octets[3] as usize).wrapping_sub(1));
        let to = match net {
            0 if last < self.machines.len() => Endpoint::Controller { at: last, incarnation: 0 },
            1 if last < self.gateways.processes.len() => {
                Endpoint::Gateway { at: last, incarnation: 0, connection: ConnectionId(0) }
            }
            9 if third < self.settings.nodes && to == node_addr(third) => Endpoint::Node { at: third },
            _ => Endpoint::Unreachable,
        };
        self.sequence += 1;
        let id = self.sequence;
        let (last, done) = ([self.now; 2], [false; 2]);
        let pipe = ByteConnection {
            endpoints: [from, to],
            last_arrival: last,
            is_broken: false,
            closed: done,
            received: Buffer::default(),
        };
        self.gateways.connections.insert(id, pipe);
        let wait = self.sample_delay(zone_of(from), zone_of(to));
        self.schedule(wait, All::System(Event::Syn(id)));
        id
    }

    /// From a client to a gateway's front.
    pub fn connect_client(&mut self, client: usize, at: usize) -> u64 {
        self.open_connection(Endpoint::Client(client), gateway_addr(at))
    }

    fn are_endpoints_partitioned(&self, a: Endpoint, b: Endpoint) -> bool {
        let (Some(a), Some(b)) = (network_position(a), network_position(b)) else { return false };
        self.is_partitioned(a, b) || self.is_partitioned(b, a)
    }

    fn connection_syn(&mut self, id: u64) {
        let Some(pipe) = self.gateways.connections.get(&id) else { return };
        if pipe.closed[0] {
            self.gateways.connections.remove(&id);
            return;
        }
        let [from, to] = pipe.endpoints;
        let is_dark = matches!(to, Endpoint::Controller { at, .. } if !self.machines[at].is_powered || self.machines[at].is_removed);
        if is_dark || self.are_endpoints_partitioned(from, to) {
            return self.schedule(AGAIN, All::System(Event::Syn(id)));
        }
        let accepted = match to {
            Endpoint::Controller { at, .. } => {
                let machine = &self.machines[at];
                machine.is_up().then_some(Endpoint::Controller { at, incarnation: machine.incarnation })
            }
            Endpoint::Gateway { at, .. } => {
                let is_client = matches!(from, Endpoint::Client(_));
                let process = &mut self.gateways.processes[at];
                if process.gateway.is_none() || (is_client && process.refuses_clients) {
                    None
                } else {
                    let berth = process.ports.new_id();
                    process.ports.add_connection(berth, true);
                    process.connections.insert(berth, id);
                    let door = if is_client { process.doors.front } else { process.doors.inner };
                    let life = process.incarnation;
                    self.push_gateway_event(
                        at,
                        Happened::Accepted { connection: berth, listener: door, peer: gateway_addr(at) },
                    );
                    Some(Endpoint::Gateway { at, incarnation: life, connection: berth })
                }
            }
            Endpoint::Node { at } => (self.node_is_up(at) && !self.rng.one_in(100)).then_some(to),
            Endpoint::Client(_) | Endpoint::Unreachable => None,
        };
        let wait = self.sample_delay(zone_of(to), zone_of(from));
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        pipe.last_arrival[0] = self.now + wait;
        match accepted {
            Some(end) => {
                pipe.endpoints[1] = end;
                self.schedule(wait, All::System(Event::Up(id)));
            }
            None => {
                pipe.closed[1] = true;
                self.schedule(wait, All::System(Event::Ended(id, 0, true)));
            }
        }
    }

    fn connection_up(&mut self, id: u64) {
        let Some(pipe) = self.gateways.connections.get(&id).filter(|pipe| !pipe.closed[0]) else { return };
        match pipe.endpoints[0] {
            Endpoint::Gateway { at, incarnation: life, connection: berth }
                if self.gateways.processes[at].incarnation == life =>
            {
                if let Some(link) = self.gateways.processes[at].ports.connections.get_mut(&berth) {
                    link.is_open = true;
                    self.push_gateway_event(at, Happened::Connected { connection: berth });
                    self.flush_output(at, berth);
                }
            }
            Endpoint::Client(client) => self.client_connected(client, id),
            _ => {}
        }
    }

    /// Which of its two ends this is.
    fn side(pipe: &ByteConnection, end: Endpoint) -> usize {
        let same = |other: Endpoint| match (other, end) {
            (
                Endpoint::Gateway { at, connection: berth, .. },
                Endpoint::Gateway { at: mine, connection: named, .. },
            ) => at == mine && (named == ConnectionId(0) || berth == named),
            (Endpoint::Controller { at, .. }, Endpoint::Controller { at: mine, .. }) => at == mine,
            (other, end) => other == end,
        };
        usize::from(!same(pipe.endpoints[0]))
    }

    /// One end says something.
    pub fn send_bytes(&mut self, id: u64, from: Endpoint, bytes: Vec<u8>) {
        let Some(pipe) = self.gateways.connections.get(&id) else { return };
        let (ends, to) = (pipe.endpoints, 1 - Simulation::side(pipe, from));
        if pipe.is_broken || pipe.closed[1 - to] {
            return;
        }
        let wait = self.sample_delay(zone_of(ends[1 - to]), zone_of(ends[to]));
        let now = self.now;
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        pipe.last_arrival[to] = pipe.last_arrival[to].max(now + wait);
        let mut wait = pipe.last_arrival[to] - now;
        let mut bytes = bytes;
        if bytes.len() > 1 && self.rng.one_in(8) {
            let rest = bytes.split_off(1 + self.rng.below(bytes.len() - 1));
            self.schedule(wait, All::System(Event::Bytes(id, to, bytes)));
            wait = wait + self.rng.between(Nanos(100_000), millis(4));
            if let Some(pipe) = self.gateways.connections.get_mut(&id) {
                pipe.last_arrival[to] = now + wait;
            }
            bytes = rest;
        }
        self.schedule(wait, All::System(Event::Bytes(id, to, bytes)));
    }

    /// One end closes it; the other sees that after all that was said before.
    pub fn close_connection(&mut self, id: u64, from: Endpoint, reset: bool) {
        let now = self.now;
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        let side = Simulation::side(pipe, from);
        pipe.closed[side] = true;
        if pipe.closed[1 - side] {
            self.gateways.connections.remove(&id);
            return;
        }
        let (ends, last, lost) = (pipe.endpoints, pipe.last_arrival[1 - side], pipe.is_broken);
        let wait = self.sample_delay(zone_of(ends[side]), zone_of(ends[1 - side]));
        let wait = (last.max(now + wait)) - now;
        if !lost {
            self.schedule(wait, All::System(Event::Ended(id, 1 - side, reset)));
        }
    }

    fn bytes_arrive(&mut self, id: u64, to: usize, bytes: &[u8]) {
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        if pipe.is_broken || pipe.closed[to] {
            return;
        }
        match pipe.endpoints[to] {
            Endpoint::Gateway { at, incarnation: life, connection: berth } => {
                let process = &mut self.gateways.processes[at];
                if process.incarnation == life
                    && let Some(link) = process.ports.connections.get_mut(&berth)
                {
                    link.input.push(bytes);
                    self.push_gateway_event(at, Happened::Received { connection: berth });
                }
            }
            Endpoint::Controller { at, incarnation: life } => {
                pipe.received.push(bytes);
                loop {
                    let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
                    match read_message::<GatewayToController>(&mut pipe.received, MOST) {
                        Ok(Some(word))
                            if self.machines[at].incarnation == life && self.machines[at].is_up() =>
                        {
                            self.deliver(at, Input::GatewayMessage(SubscriberId(id), word));
                        }
                        Ok(Some(_)) => {}
                        Ok(None) => return,
                        Err(why) => {
                            return self.report_violation("UNASKED", format!("a word that is none: {why}"));
                        }
                    }
                }
            }
            Endpoint::Node { at } => self.node_receives(at, id, bytes),
            Endpoint::Client(client) => self.client_receives(client, id, bytes),
            Endpoint::Unreachable => {}
        }
    }

    fn connection_ended(&mut self, id: u64, to: usize, reset: bool) {
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        if pipe.closed[to] {
            return;
        }
        let end = pipe.endpoints[to];
        // A gateway that sees an end in order still has to close.
        let stays = !reset && matches!(end, Endpoint::Gateway { .. });
        pipe.closed[to] = !stays;
        if pipe.closed == [true; 2] {
            self.gateways.connections.remove(&id);
        }
        match end {
            Endpoint::Gateway { at, incarnation: life, connection: berth }
                if self.gateways.processes[at].incarnation == life =>
            {
                let process = &mut self.gateways.processes[at];
                if stays {
                    return self.push_gateway_event(at, Happened::ReadClosed { connection: berth });
                }
                process.connections.remove(&berth);
                let Some(link) = process.ports.connections.remove(&berth) else { return };
                let opened = link.is_open;
                process.ports.unread_after_reset.insert(berth, link.input);
                let kind = if opened { ErrorKind::ConnectionReset } else { ErrorKind::ConnectionRefused };
                let why = NetError { step: "read from", peer: gateway_addr(at), source: kind.into() };
                if !link.is_closing {
                    self.push_gateway_event(
                        at,
                        Happened::Closed { connection: berth, was_open: opened, error: why },
                    );
                }
            }
            Endpoint::Controller { at, incarnation: life }
                if self.machines[at].incarnation == life && self.machines[at].is_up() =>
            {
                self.deliver(at, Input::SubscriberGone(SubscriberId(id)));
            }
            Endpoint::Node { at } => self.node_disconnected(at, id),
            Endpoint::Client(client) => self.client_disconnected(client, id),
            _ => {}
        }
    }

    /// Both ends see a reset after so long, and nothing passes meanwhile.
    fn break_connection(&mut self, id: u64, after: Nanos) {
        let Some(pipe) = self.gateways.connections.get_mut(&id) else { return };
        pipe.is_broken = true;
        for to in 0..2 {
            self.schedule(after, All::System(Event::Ended(id, to, true)));
        }
    }

    fn connections_where(&self, which: impl Fn(&ByteConnection) -> bool) -> Vec<u64> {
        self.gateways.connections.iter().filter(|(_, pipe)| which(pipe)).map(|(id, _)| *id).collect()
    }

    /// A controller tells a gateway.
    pub fn notify_gateway(&mut self, from: usize, ear: SubscriberId, word: &ControllerToGateway) {
        let mut out = Buffer::default();
        write_message(&mut out, word);
        if self.settings.seeded_bug == Some(SeededBug::ReplaysOldConfig)
            && let ControllerToGateway::Config { revision: order, config: plan } = word
        {
            // An older plan comes again, as if it were the newest.
            if let Some(old) = self.gateways.previous_config.replace(plan.clone()) {
                write_message(&mut out, &ControllerToGateway::Config { revision: order + 1, config: old });
            }
        }
        self.send_bytes(ear.0, Endpoint::Controller { at: from, incarnation: 0 }, out.data().to_vec());
    }

    /// Gateways at a controller that ended, or whose connections were reset.
    pub fn drop_gateway_connections(&mut self, at: usize, life: u64, dark: bool) {
        let after = if dark { self.settings.bounds.suspect_timeout() } else { millis(5) };
        let resets = self.machines[at].is_up();
        for id in
            self.connections_where(|pipe| pipe.endpoints[1] == Endpoint::Controller { at, incarnation: life })
        {
            self.break_connection(id, after);
            if let (true, Some(Endpoint::Gateway { at, .. })) =
                (resets, self.gateways.connections.get(&id).map(|pipe| pipe.endpoints[0]))
            {
                self.gateways.processes[at].disturbed_at = self.now;
            }
        }
    }

    /// A cut between a place and another: connections of gateways don't survive it.
    pub fn partition_gateways(&mut self, from: usize, to: usize) {
        let after = self.settings.bounds.suspect_timeout();
        let between = |pipe: &ByteConnection| {
            let ends = (network_position(pipe.endpoints[0]), network_position(pipe.endpoints[1]));
            ends == (Some(from), Some(to)) || ends == (Some(to), Some(from))
        };
        for id in self.connections_where(|pipe| between(pipe) && !pipe.is_broken) {
            self.break_connection(id, after);
        }
    }

    // Troubles of their own.

    fn inject_gateway_fault(&mut self) {
        if self.now >= self.settings.fault_period {
            return;
        }
        let wait = self.rng.between(millis(1500), millis(8000));
        self.schedule(wait, All::System(Event::Trouble));
        let at = self.rng.below(self.gateways.processes.len());
        let now = self.now;
        let dice = self.rng.below(5);
        if dice == 4 {
            return self.overload_nodes();
        }
        let process = &mut self.gateways.processes[at];
        let Some(brain) = process.gateway.as_mut().filter(|_| !process.is_frozen) else { return };
        process.disturbed_at = now;
        let life = process.incarnation;
        match dice {
            0 => self.end_gateway(at),
            1 => {
                brain.stop(now - process.started_at, &mut process.ports);
                self.trace(|| format!("gateway {at} is told to stop"));
                self.flush_gateway(at);
            }
            2 => {
                process.is_frozen = true;
                self.trace(|| format!("gateway {at} freezes"));
                let wait = self.rng.between(millis(100), millis(3000));
                self.schedule(wait, All::System(Event::Thaw(at, life)));
            }
            _ => {
                self.trace(|| format!("gateway {at}: its connections are reset"));
                let mine = self.gateways.processes[at].connections.values().copied().collect::<Vec<u64>>();
                mine.into_iter().for_each(|id| self.break_connection(id, Nanos(0)));
            }
        }
    }

    /// Whether a gateway is in touch, by the users' words.
    pub fn is_gateway_in_touch(&self, at: usize) -> bool {
        self.is_in_touch(FIRST_GATEWAY + at, self.gateways.processes[at].disturbed_at)
    }
}
