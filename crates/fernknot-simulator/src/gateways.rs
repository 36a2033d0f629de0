//! The real gateways, and the connections that bear their bytes: to registrars, to each other, to nodes and from
//! clients. A connection is in order; a reset or a cut loses what is on its way.

use crate::play::{SeededBug, Settings};
use crate::ports::{PortAction, SimulatedPorts};
use crate::world::{Event as All, FIRST_LISTENER, Input, Simulation, addr, ms};
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_gateway::{Gateway, ListenerIds};
use fernknot_net::{Buffer, ConnectionId, Event as Happened, NetError};
use fernknot_rpc::{ControllerToGateway, GatewayToController, pull, push};
use fernknot_schema::{ProcessSettings, RoutingConfig};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Places from here on are gateways, in plays that have them; such plays have no listeners.
pub const FIRST_GATEWAY: usize = FIRST_LISTENER;
/// The share of further tries that the rules allow, what is free in each window, and its length.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 10.0;
pub const RETRY_WINDOW: Nanos = Nanos(10_000_000_000);
/// A first packet that was lost is sent again after this.
const AGAIN: Nanos = Nanos(1_000_000_000);
/// The longest word of a gateway to a registrar.
const MOST: usize = 16 << 20;
const INNER_PORT: u16 = 7120;

/// Who is at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    Gateway {
        at: usize,
        life: u64,
        berth: ConnectionId,
    },
    Registrar {
        at: usize,
        life: u64,
    },
    Node {
        at: usize,
    },
    Client(usize),
    /// Its first packet is lost or refused.
    Nobody,
}

/// One connection; the first end opened it.
pub struct ByteConnection {
    pub ends: [Endpoint; 2],
    /// When what was sent last arrives at each end.
    last: [Nanos; 2],
    /// Nothing passes any more.
    lost: bool,
    /// Each end that has closed it or seen its end.
    done: [bool; 2],
    /// What a registrar has read of it.
    read: Buffer,
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
    brain: Option<Gateway>,
    pub life: u64,
    born: Nanos,
    deaf: bool,
    frozen: bool,
    ports: SimulatedPorts,
    doors: ListenerIds,
    inbox: Vec<Happened>,
    turn_at: Option<Nanos>,
    pipes: BTreeMap<ConnectionId, u64>,
    /// The last moment of anything that puts it out of touch.
    pub touched: Nanos,
}

/// All of them, and their connections.
pub struct Gateways {
    pub list: Vec<GatewayProcess>,
    pub pipes: BTreeMap<u64, ByteConnection>,
    /// The plan told last, for a plant.
    older: Option<RoutingConfig>,
}

fn gateway_addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, at as u8 + 1), INNER_PORT)
}

/// Where a node of this place listens, whatever life it has.
pub fn node_addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, at as u8, 1), 80)
}

/// A gateway's settings; none where they are not sound.
fn settings(at: usize, seeds: &[usize], facts: &Settings) -> Option<ProcessSettings> {
    let bounds = &facts.bounds;
    let seeds: Vec<String> = seeds.iter().map(|at| format!("\"{}:8729\"", addr(*at).ip())).collect();
    let ip = gateway_addr(at);
    let free = if facts.plant == Some(SeededBug::FreeRetries) { 100.0 } else { 1.0 };
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
        beat = bounds.beat.as_millis(),
        apply = bounds.apply.as_millis(),
        contact = bounds.contact.as_millis(),
        cutoff = bounds.drain_cutoff.as_millis(),
        ratio = RETRY_RATIO * free,
        slack = RETRY_SLACK * free,
        window = RETRY_WINDOW.as_millis() / 1e3,
    );
    ProcessSettings::read(text.as_bytes()).ok()
}

impl Gateways {
    pub fn new(facts: &Settings) -> Gateways {
        let list = (0..facts.gateways).map(|_| {
            let mut ports = SimulatedPorts::default();
            let doors = ListenerIds { front: ports.name(), ready: ports.name(), inner: ports.name() };
            GatewayProcess {
                brain: None,
                life: 0,
                born: Nanos(0),
                deaf: true,
                frozen: false,
                ports,
                doors,
                inbox: Vec::new(),
                turn_at: None,
                pipes: BTreeMap::new(),
                touched: Nanos(0),
            }
        });
        Gateways { list: list.collect(), pipes: BTreeMap::new(), older: None }
    }

    pub fn touch(&mut self, place: usize, now: Nanos) {
        if let Some(process) = place.checked_sub(FIRST_GATEWAY).and_then(|at| self.list.get_mut(at)) {
            process.touched = now;
        }
    }
}

/// Where cuts find an end; nodes and clients stand where no cut is.
fn place(end: Endpoint) -> Option<usize> {
    match end {
        Endpoint::Gateway { at, .. } => Some(FIRST_GATEWAY + at),
        Endpoint::Registrar { at, .. } => Some(at),
        Endpoint::Node { .. } | Endpoint::Client(_) | Endpoint::Nobody => None,
    }
}

fn zone(end: Endpoint) -> usize {
    match end {
        Endpoint::Gateway { at, .. }
        | Endpoint::Registrar { at, .. }
        | Endpoint::Node { at }
        | Endpoint::Client(at) => at % 3,
        Endpoint::Nobody => 0,
    }
}

impl Simulation {
    pub fn begin_gateways(&mut self) {
        for at in 0..self.gateways.list.len() {
            self.later(ms(400 + 50 * at as u64), All::System(Event::Begin(at)));
        }
        if !self.gateways.list.is_empty() {
            self.begin_traffic();
            self.later(ms(4000), All::System(Event::Trouble));
        }
    }

    pub fn system(&mut self, event: Event) {
        match event {
            Event::Begin(at) => self.begin_gateway(at),
            Event::Turn(at, life) => {
                let process = &self.gateways.list[at];
                if process.life == life && process.turn_at == Some(self.now) {
                    self.turn(at);
                }
            }
            Event::Syn(id) => self.pipe_syn(id),
            Event::Up(id) => self.pipe_up(id),
            Event::Bytes(id, to, bytes) => self.pipe_bytes(id, to, &bytes),
            Event::Ended(id, to, reset) => self.pipe_ended(id, to, reset),
            Event::Thaw(at, life) => {
                let now = self.now;
                let process = &mut self.gateways.list[at];
                if process.life == life {
                    (process.frozen, process.touched) = (false, now);
                    self.turn_soon(at, Nanos(0));
                }
            }
            Event::Trouble => self.gateway_trouble(),
        }
    }

    // Processes.

    fn begin_gateway(&mut self, at: usize) {
        self.count += 1;
        let life = self.count;
        let seed = crate::chance::mixed(self.facts.seed ^ life.rotate_left(24)) | 1;
        let Some(facts) = settings(at, &self.seeds, &self.facts) else {
            return self.found("SETTINGS", format!("gateway {at} can't read its settings"));
        };
        let process = &mut self.gateways.list[at];
        let brain = match Gateway::new(facts, process.doors, seed) {
            Ok(brain) => brain,
            Err(why) => return self.found("SETTINGS", format!("gateway {at}: {why}")),
        };
        process.brain = Some(match self.facts.plant {
            Some(SeededBug::Gateway(plant)) => brain.planted(plant),
            _ => brain,
        });
        (process.life, process.born, process.touched) = (life, self.now, self.now);
        (process.deaf, process.frozen) = (false, false);
        self.say(|| format!("gateway {at} starts"));
        self.turn_soon(at, Nanos(0));
    }

    /// The process ends, and its connections with it; another life begins later.
    fn end_gateway(&mut self, at: usize) {
        let now = self.now;
        let process = &mut self.gateways.list[at];
        (process.brain, process.deaf, process.turn_at, process.touched) = (None, true, None, now);
        process.inbox.clear();
        process.ports.links.clear();
        process.ports.rests.clear();
        process.ports.dirty.clear();
        process.ports.did.clear();
        for id in std::mem::take(&mut process.pipes).into_values() {
            self.pipe_close(id, Endpoint::Gateway { at, life: 0, berth: ConnectionId(0) }, true);
        }
        self.say(|| format!("gateway {at} ends"));
        let wait = self.chance.between(ms(100), ms(2000));
        self.later(wait, All::System(Event::Begin(at)));
    }

    fn turn_soon(&mut self, at: usize, wait: Nanos) {
        let due = self.now + wait;
        let process = &mut self.gateways.list[at];
        if process.turn_at.is_none_or(|set| due < set) {
            process.turn_at = Some(due);
            let life = process.life;
            self.later(wait, All::System(Event::Turn(at, life)));
        }
    }

    fn turn(&mut self, at: usize) {
        let now = self.now;
        let seeds: Vec<SocketAddrV4> = self.seeds.iter().map(|at| addr(*at)).collect();
        let process = &mut self.gateways.list[at];
        process.turn_at = None;
        let clock = now - process.born;
        let Some(brain) = process.brain.as_mut().filter(|_| !process.frozen) else { return };
        brain.turn(clock, process.inbox.drain(..), &mut process.ports);
        process.ports.rests.clear();
        if brain.wants_seeds() {
            brain.seeds(&seeds);
        }
        let is_out = brain.is_out(clock, &mut process.ports);
        let wait = brain.due() - clock;
        self.flush_gateway(at);
        if is_out {
            return self.end_gateway(at);
        }
        self.turn_soon(at, wait.max(Nanos(1000)).min(ms(250)));
    }

    /// What it did and said leaves.
    fn flush_gateway(&mut self, at: usize) {
        for did in std::mem::take(&mut self.gateways.list[at].ports.did) {
            match did {
                PortAction::Connect(berth, to) => {
                    let life = self.gateways.list[at].life;
                    let id = self.pipe(Endpoint::Gateway { at, life, berth }, to);
                    self.gateways.list[at].pipes.insert(berth, id);
                }
                PortAction::Close(berth) => self.gateway_closes(at, berth),
                PortAction::StopListening => self.gateways.list[at].deaf = true,
            }
        }
        for berth in std::mem::take(&mut self.gateways.list[at].ports.dirty) {
            self.flush_link(at, berth);
        }
    }

    fn gateway_closes(&mut self, at: usize, berth: ConnectionId) {
        if let Some(id) = self.gateways.list[at].pipes.remove(&berth) {
            self.pipe_close(id, Endpoint::Gateway { at, life: 0, berth }, false);
        }
    }

    fn flush_link(&mut self, at: usize, berth: ConnectionId) {
        let process = &mut self.gateways.list[at];
        let Some(link) = process.ports.links.get_mut(&berth).filter(|link| link.open) else { return };
        let bytes = link.output.data().to_vec();
        link.output.consume(bytes.len());
        let closing = link.closing;
        if let Some(id) = process.pipes.get(&berth).copied().filter(|_| !bytes.is_empty()) {
            self.pipe_send(id, Endpoint::Gateway { at, life: 0, berth }, bytes);
        }
        if closing {
            self.gateways.list[at].ports.links.remove(&berth);
            self.gateway_closes(at, berth);
        }
    }

    fn happened(&mut self, at: usize, event: Happened) {
        self.gateways.list[at].inbox.push(event);
        let wait = match self.chance.below(10) {
            0 => self.chance.between(Nanos(0), ms(10)),
            _ => Nanos(0),
        };
        self.turn_soon(at, wait);
    }

    // Connections.

    /// Begins a connection from this end.
    pub fn pipe(&mut self, from: Endpoint, to: SocketAddrV4) -> u64 {
        let octets = to.ip().octets();
        let (net, third, last) = (octets[1], octets[2] as usize, (octets[3] as usize).wrapping_sub(1));
        let to = match net {
            0 if last < self.machines.len() => Endpoint::Registrar { at: last, life: 0 },
            1 if last < self.gateways.list.len() => {
                Endpoint::Gateway { at: last, life: 0, berth: ConnectionId(0) }
            }
            9 if third < self.facts.nodes && to == node_addr(third) => Endpoint::Node { at: third },
            _ => Endpoint::Nobody,
        };
        self.count += 1;
        let id = self.count;
        let (last, done) = ([self.now; 2], [false; 2]);
        let pipe = ByteConnection { ends: [from, to], last, lost: false, done, read: Buffer::default() };
        self.gateways.pipes.insert(id, pipe);
        let wait = self.delay(zone(from), zone(to));
        self.later(wait, All::System(Event::Syn(id)));
        id
    }

    /// From a client to a gateway's front.
    pub fn pipe_to_gateway(&mut self, client: usize, at: usize) -> u64 {
        self.pipe(Endpoint::Client(client), gateway_addr(at))
    }

    fn is_apart(&self, a: Endpoint, b: Endpoint) -> bool {
        let (Some(a), Some(b)) = (place(a), place(b)) else { return false };
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    fn pipe_syn(&mut self, id: u64) {
        let Some(pipe) = self.gateways.pipes.get(&id) else { return };
        if pipe.done[0] {
            self.gateways.pipes.remove(&id);
            return;
        }
        let [from, to] = pipe.ends;
        let is_dark = matches!(to, Endpoint::Registrar { at, .. } if !self.machines[at].powered || self.machines[at].removed);
        if is_dark || self.is_apart(from, to) {
            return self.later(AGAIN, All::System(Event::Syn(id)));
        }
        let accepted = match to {
            Endpoint::Registrar { at, .. } => {
                let machine = &self.machines[at];
                machine.is_up().then_some(Endpoint::Registrar { at, life: machine.life })
            }
            Endpoint::Gateway { at, .. } => {
                let is_client = matches!(from, Endpoint::Client(_));
                let process = &mut self.gateways.list[at];
                if process.brain.is_none() || (is_client && process.deaf) {
                    None
                } else {
                    let berth = process.ports.name();
                    process.ports.add(berth, true);
                    process.pipes.insert(berth, id);
                    let door = if is_client { process.doors.front } else { process.doors.inner };
                    let life = process.life;
                    self.happened(at, Happened::Accepted { berth, at: door, peer: gateway_addr(at) });
                    Some(Endpoint::Gateway { at, life, berth })
                }
            }
            Endpoint::Node { at } => (self.node_is_up(at) && !self.chance.one_in(100)).then_some(to),
            Endpoint::Client(_) | Endpoint::Nobody => None,
        };
        let wait = self.delay(zone(to), zone(from));
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        pipe.last[0] = self.now + wait;
        match accepted {
            Some(end) => {
                pipe.ends[1] = end;
                self.later(wait, All::System(Event::Up(id)));
            }
            None => {
                pipe.done[1] = true;
                self.later(wait, All::System(Event::Ended(id, 0, true)));
            }
        }
    }

    fn pipe_up(&mut self, id: u64) {
        let Some(pipe) = self.gateways.pipes.get(&id).filter(|pipe| !pipe.done[0]) else { return };
        match pipe.ends[0] {
            Endpoint::Gateway { at, life, berth } if self.gateways.list[at].life == life => {
                if let Some(link) = self.gateways.list[at].ports.links.get_mut(&berth) {
                    link.open = true;
                    self.happened(at, Happened::Opened { berth });
                    self.flush_link(at, berth);
                }
            }
            Endpoint::Client(client) => self.client_is_up(client, id),
            _ => {}
        }
    }

    /// Which of its two ends this is.
    fn side(pipe: &ByteConnection, end: Endpoint) -> usize {
        let same = |other: Endpoint| match (other, end) {
            (Endpoint::Gateway { at, berth, .. }, Endpoint::Gateway { at: mine, berth: named, .. }) => {
                at == mine && (named == ConnectionId(0) || berth == named)
            }
            (Endpoint::Registrar { at, .. }, Endpoint::Registrar { at: mine, .. }) => at == mine,
            (other, end) => other == end,
        };
        usize::from(!same(pipe.ends[0]))
    }

    /// One end says something.
    pub fn pipe_send(&mut self, id: u64, from: Endpoint, bytes: Vec<u8>) {
        let Some(pipe) = self.gateways.pipes.get(&id) else { return };
        let (ends, to) = (pipe.ends, 1 - Simulation::side(pipe, from));
        if pipe.lost || pipe.done[1 - to] {
            return;
        }
        let wait = self.delay(zone(ends[1 - to]), zone(ends[to]));
        let now = self.now;
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        pipe.last[to] = pipe.last[to].max(now + wait);
        let mut wait = pipe.last[to] - now;
        let mut bytes = bytes;
        if bytes.len() > 1 && self.chance.one_in(8) {
            let rest = bytes.split_off(1 + self.chance.below(bytes.len() - 1));
            self.later(wait, All::System(Event::Bytes(id, to, bytes)));
            wait = wait + self.chance.between(Nanos(100_000), ms(4));
            if let Some(pipe) = self.gateways.pipes.get_mut(&id) {
                pipe.last[to] = now + wait;
            }
            bytes = rest;
        }
        self.later(wait, All::System(Event::Bytes(id, to, bytes)));
    }

    /// One end closes it; the other sees that after all that was said before.
    pub fn pipe_close(&mut self, id: u64, from: Endpoint, reset: bool) {
        let now = self.now;
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        let side = Simulation::side(pipe, from);
        pipe.done[side] = true;
        if pipe.done[1 - side] {
            self.gateways.pipes.remove(&id);
            return;
        }
        let (ends, last, lost) = (pipe.ends, pipe.last[1 - side], pipe.lost);
        let wait = self.delay(zone(ends[side]), zone(ends[1 - side]));
        let wait = (last.max(now + wait)) - now;
        if !lost {
            self.later(wait, All::System(Event::Ended(id, 1 - side, reset)));
        }
    }

    fn pipe_bytes(&mut self, id: u64, to: usize, bytes: &[u8]) {
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        if pipe.lost || pipe.done[to] {
            return;
        }
        match pipe.ends[to] {
            Endpoint::Gateway { at, life, berth } => {
                let process = &mut self.gateways.list[at];
                if process.life == life
                    && let Some(link) = process.ports.links.get_mut(&berth)
                {
                    link.input.push(bytes);
                    self.happened(at, Happened::Came { berth });
                }
            }
            Endpoint::Registrar { at, life } => {
                pipe.read.push(bytes);
                loop {
                    let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
                    match pull::<GatewayToController>(&mut pipe.read, MOST) {
                        Ok(Some(word)) if self.machines[at].life == life && self.machines[at].is_up() => {
                            self.input(at, Input::Inward(SubscriberId(id), word));
                        }
                        Ok(Some(_)) => {}
                        Ok(None) => return,
                        Err(why) => return self.found("UNASKED", format!("a word that is none: {why}")),
                    }
                }
            }
            Endpoint::Node { at } => self.node_gets(at, id, bytes),
            Endpoint::Client(client) => self.client_gets(client, id, bytes),
            Endpoint::Nobody => {}
        }
    }

    fn pipe_ended(&mut self, id: u64, to: usize, reset: bool) {
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        if pipe.done[to] {
            return;
        }
        let end = pipe.ends[to];
        // A gateway that sees an end in order still has to close.
        let stays = !reset && matches!(end, Endpoint::Gateway { .. });
        pipe.done[to] = !stays;
        if pipe.done == [true; 2] {
            self.gateways.pipes.remove(&id);
        }
        match end {
            Endpoint::Gateway { at, life, berth } if self.gateways.list[at].life == life => {
                let process = &mut self.gateways.list[at];
                if stays {
                    return self.happened(at, Happened::Ended { berth });
                }
                process.pipes.remove(&berth);
                let Some(link) = process.ports.links.remove(&berth) else { return };
                let opened = link.open;
                process.ports.rests.insert(berth, link.input);
                let kind = if opened { ErrorKind::ConnectionReset } else { ErrorKind::ConnectionRefused };
                let why = NetError { step: "read from", peer: gateway_addr(at), why: kind.into() };
                if !link.closing {
                    self.happened(at, Happened::Gone { berth, opened, why });
                }
            }
            Endpoint::Registrar { at, life }
                if self.machines[at].life == life && self.machines[at].is_up() =>
            {
                self.input(at, Input::EarGone(SubscriberId(id)));
            }
            Endpoint::Node { at } => self.node_loses(at, id),
            Endpoint::Client(client) => self.client_loses(client, id),
            _ => {}
        }
    }

    /// Both ends see a reset after so long, and nothing passes meanwhile.
    fn pipe_breaks(&mut self, id: u64, after: Nanos) {
        let Some(pipe) = self.gateways.pipes.get_mut(&id) else { return };
        pipe.lost = true;
        for to in 0..2 {
            self.later(after, All::System(Event::Ended(id, to, true)));
        }
    }

    fn pipes_where(&self, which: impl Fn(&ByteConnection) -> bool) -> Vec<u64> {
        self.gateways.pipes.iter().filter(|(_, pipe)| which(pipe)).map(|(id, _)| *id).collect()
    }

    /// A registrar tells a gateway.
    pub fn tell_gateway(&mut self, from: usize, ear: SubscriberId, word: &ControllerToGateway) {
        let mut out = Buffer::default();
        push(&mut out, word);
        if self.facts.plant == Some(SeededBug::GoesBack)
            && let ControllerToGateway::Plan { order, plan } = word
        {
            // An older plan comes again, as if it were the newest.
            if let Some(old) = self.gateways.older.replace(plan.clone()) {
                push(&mut out, &ControllerToGateway::Plan { order: order + 1, plan: old });
            }
        }
        self.pipe_send(ear.0, Endpoint::Registrar { at: from, life: 0 }, out.data().to_vec());
    }

    /// Gateways at a registrar that ended, or whose connections were reset.
    pub fn gateways_lose(&mut self, at: usize, life: u64, dark: bool) {
        let after = if dark { self.facts.bounds.suspect() } else { ms(5) };
        let resets = self.machines[at].is_up();
        for id in self.pipes_where(|pipe| pipe.ends[1] == Endpoint::Registrar { at, life }) {
            self.pipe_breaks(id, after);
            if let (true, Some(Endpoint::Gateway { at, .. })) =
                (resets, self.gateways.pipes.get(&id).map(|pipe| pipe.ends[0]))
            {
                self.gateways.list[at].touched = self.now;
            }
        }
    }

    /// A cut between a place and another: connections of gateways don't survive it.
    pub fn gateways_cut(&mut self, from: usize, to: usize) {
        let after = self.facts.bounds.suspect();
        let between = |pipe: &ByteConnection| {
            let ends = (place(pipe.ends[0]), place(pipe.ends[1]));
            ends == (Some(from), Some(to)) || ends == (Some(to), Some(from))
        };
        for id in self.pipes_where(|pipe| between(pipe) && !pipe.lost) {
            self.pipe_breaks(id, after);
        }
    }

    // Troubles of their own.

    fn gateway_trouble(&mut self) {
        if self.now >= self.facts.troubled {
            return;
        }
        let wait = self.chance.between(ms(1500), ms(8000));
        self.later(wait, All::System(Event::Trouble));
        let at = self.chance.below(self.gateways.list.len());
        let now = self.now;
        let dice = self.chance.below(5);
        if dice == 4 {
            return self.crowd_nodes();
        }
        let process = &mut self.gateways.list[at];
        let Some(brain) = process.brain.as_mut().filter(|_| !process.frozen) else { return };
        process.touched = now;
        let life = process.life;
        match dice {
            0 => self.end_gateway(at),
            1 => {
                brain.stop(now - process.born, &mut process.ports);
                self.say(|| format!("gateway {at} is told to stop"));
                self.flush_gateway(at);
            }
            2 => {
                process.frozen = true;
                self.say(|| format!("gateway {at} freezes"));
                let wait = self.chance.between(ms(100), ms(3000));
                self.later(wait, All::System(Event::Thaw(at, life)));
            }
            _ => {
                self.say(|| format!("gateway {at}: its connections are reset"));
                let mine = self.gateways.list[at].pipes.values().copied().collect::<Vec<u64>>();
                mine.into_iter().for_each(|id| self.pipe_breaks(id, Nanos(0)));
            }
        }
    }

    /// Whether a gateway is in touch, by the users' words.
    pub fn gateway_in_touch(&self, at: usize) -> bool {
        self.in_touch(FIRST_GATEWAY + at, self.gateways.list[at].touched)
    }
}
