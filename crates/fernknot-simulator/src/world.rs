//! The clock, the links, the disks and the processes of the registrars.

use crate::callers::ControlClients;
use crate::chance::Rng;
use crate::gateways::Gateways;
use crate::judge::Observations;
use crate::listeners::Subscribers;
use crate::play::{FOUNDERS, SeededBug, Settings};
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
pub const MOST_MACHINES: usize = 60;
/// Places below it are machines of the core; the others are listeners.
pub const FIRST_LISTENER: usize = 100;
/// A first packet that was lost is sent again after this.
const AGAIN: Nanos = Nanos(1_000_000_000);

/// The caller who asks for the timeline.
const NOBODY: PendingCall = PendingCall { line: u64::MAX, call: u64::MAX };
/// Connections of callers at one process: each is used again by others.
const LINES: u64 = 8;

fn slot(call: u64) -> PendingCall {
    PendingCall { line: call % LINES, call }
}

/// So many milliseconds.
pub fn ms(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

/// The inner address of a machine.
pub fn addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, at as u8 + 1), 7121)
}

fn machine_at(addr: SocketAddrV4) -> usize {
    (addr.ip().octets()[3] as usize).wrapping_sub(1)
}

/// How a disk takes writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteBehavior {
    Well,
    /// They wait until it is well again.
    Hang,
    /// They are refused.
    Full,
    Slow,
}

/// What reaches a process.
#[derive(Clone, Debug)]
pub enum Input {
    Peer(SocketAddrV4, ControllerMessage),
    /// With the connection: one that was given up meanwhile is nobody's any more.
    Opened(SocketAddrV4, u64),
    Closed(SocketAddrV4),
    DiskRead,
    Stored(WriteId, bool),
    /// Is this write still out?
    DiskLook(WriteId),
    Call(u64),
    CallGone(u64),
    Inward(SubscriberId, GatewayToController),
    EarGone(SubscriberId),
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

/// A connection from one registrar to another.
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
    saved: Option<PersistentState>,
    /// Older copies, for a plant.
    older: VecDeque<PersistentState>,
    known: Vec<SocketAddrV4>,
    writes: WriteBehavior,
    under_way: Vec<(WriteId, PersistentState, Nanos)>,
    sound: bool,
}

/// One machine of the core.
pub struct Machine {
    brain: Option<Controller>,
    pub life: u64,
    started: Nanos,
    wake: Nanos,
    pub powered: bool,
    pub frozen: bool,
    /// It went for good.
    pub removed: bool,
    inbox: VecDeque<Input>,
    disk: Disk,
    /// When one that was told to stop is killed.
    stops_by: Nanos,
    pub slow_link: bool,
    pub answers_lost: bool,
    /// Troubles that make it count as lost.
    pub troubles: usize,
    pub lost_until: Nanos,
    /// The last moment of anything that puts it out of touch.
    pub touched: Nanos,
    /// What it was last seen to know: view, order, epoch, lease.
    knows: [u64; 4],
}

impl Machine {
    pub fn runs(&self) -> bool {
        self.brain.is_some() && !self.frozen
    }

    pub fn is_up(&self) -> bool {
        self.brain.is_some()
    }
}

/// All of it.
pub struct Simulation {
    pub now: Nanos,
    pub facts: Settings,
    pub chance: Rng,
    pub machines: Vec<Machine>,
    events: BTreeMap<(Nanos, u64), Event>,
    pub count: u64,
    conns: BTreeMap<u64, Conn>,
    out: BTreeMap<(usize, usize), u64>,
    /// From a place to another nothing goes.
    pub cut: BTreeMap<(usize, usize), usize>,
    cut_no: u64,
    /// Addresses as the seeds of the next starts, and as callers' lists have them.
    pub seeds: Vec<usize>,
    pub listed: Vec<usize>,
    pub sequencer: Option<usize>,
    newest_view: u64,
    pub last_acknowledger: Option<usize>,
    /// The last event that unsettles the core.
    pub core_event: Nanos,
    pub slowed: usize,
    pub answers_lost: usize,
    pub callers: ControlClients,
    pub listeners: Subscribers,
    pub gateways: Gateways,
    pub traffic: Traffic,
    pub troubles: Vec<Fault>,
    pub armed: BTreeSet<usize>,
    pub fired: BTreeSet<usize>,
    pub fired_on: BTreeMap<usize, usize>,
    pub over: BTreeSet<usize>,
    pub healing: bool,
    /// The machine that came back last, after a start, a thaw or a cut.
    pub last_back: Option<usize>,
    /// What was seen, for the judge.
    pub seen: Observations,
    pub log: Vec<String>,
    delays: [Nanos; 9],
}

impl Simulation {
    pub fn new(facts: Settings, troubles: Vec<Fault>) -> Simulation {
        let chance = Rng::new(facts.seed);
        let mut delays = [ms(0); 9];
        for a in 0..3 {
            for b in 0..a {
                let way = chance.between(ms(1), ms(12));
                (delays[a * 3 + b], delays[b * 3 + a]) = (way, way);
            }
            delays[a * 4] = chance.between(Nanos(100_000), ms(1));
        }
        let mut world = Simulation {
            now: ms(1),
            chance,
            machines: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            conns: BTreeMap::new(),
            out: BTreeMap::new(),
            cut: BTreeMap::new(),
            cut_no: 0,
            seeds: (0..facts.members.min(FOUNDERS)).collect(),
            listed: (0..facts.members).collect(),
            sequencer: None,
            newest_view: 0,
            last_acknowledger: None,
            core_event: ms(1),
            slowed: 0,
            answers_lost: 0,
            callers: ControlClients::new(&facts),
            listeners: Subscribers::new(&facts),
            gateways: Gateways::new(&facts),
            traffic: Traffic::new(&facts),
            troubles,
            armed: BTreeSet::new(),
            fired: BTreeSet::new(),
            fired_on: BTreeMap::new(),
            over: BTreeSet::new(),
            healing: false,
            last_back: None,
            seen: Observations::default(),
            log: Vec::new(),
            delays,
            facts,
        };
        for at in 0..world.facts.members {
            world.add_machine();
            let wait = world.chance.between(ms(0), ms(300));
            world.later(wait, Event::StopLook(at, 0));
        }
        for at in 0..world.troubles.len() {
            let due = world.troubles[at].at;
            world.later(due, Event::Due(at));
        }
        world.begin_callers();
        world.begin_listeners();
        world.begin_gateways();
        world
    }

    pub fn add_machine(&mut self) -> usize {
        self.machines.push(Machine {
            brain: None,
            life: 0,
            started: self.now,
            wake: Nanos(u64::MAX),
            powered: true,
            frozen: false,
            removed: false,
            inbox: VecDeque::new(),
            disk: Disk {
                saved: None,
                older: VecDeque::new(),
                known: Vec::new(),
                writes: WriteBehavior::Well,
                under_way: Vec::new(),
                sound: true,
            },
            stops_by: Nanos(0),
            slow_link: false,
            answers_lost: false,
            troubles: 0,
            lost_until: Nanos(0),
            touched: self.now,
            knows: [0; 4],
        });
        self.machines.len() - 1
    }

    pub fn say(&mut self, text: impl FnOnce() -> String) {
        if self.facts.trace {
            let text = text();
            self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
        }
    }

    pub fn later(&mut self, wait: Nanos, event: Event) {
        self.count += 1;
        self.events.insert((self.now + wait, self.count), event);
    }

    /// A place in the one sequence of all that operators do and see.
    pub fn moment(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains_key(&(from, to))
    }

    pub fn delay(&self, from: usize, to: usize) -> Nanos {
        let way = self.delays[(from % 3) * 3 + to % 3];
        let slow = [from, to].iter().any(|at| self.machines.get(*at).is_some_and(|m| m.slow_link));
        let way = if slow { way + ms(200) } else { way };
        way + self.chance.between(Nanos(0), way.times(0.3))
    }

    // Time.

    pub fn run(&mut self, until: Nanos) {
        loop {
            let event = self.events.keys().next().map(|(at, _)| *at);
            let wakes = self.machines.iter().filter(|m| m.runs()).map(|m| m.wake);
            let Some(at) = wakes.chain(event).min().filter(|at| *at <= until) else { break };
            self.now = self.now.max(at);
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.take(event);
            }
            for at in 0..self.machines.len() {
                if self.machines[at].wake <= self.now {
                    self.follow(at);
                }
            }
        }
        self.now = until;
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Input(at, life, input) => {
                if self.machines[at].life == life && self.machines[at].is_up() {
                    self.input(at, input);
                }
            }
            Event::Word(conn, word) => self.word(conn, word),
            Event::Flush(conn) => self.flush(conn),
            Event::Syn(conn) => self.syn(conn),
            Event::Silent(conn, since) => self.silent(conn, since),
            Event::Written(at, life, ticket, saved) => self.written(at, life, ticket, saved),
            Event::Reopen(at, life) => self.reopen(at, life),
            Event::Caller(event) => self.caller(event),
            Event::Listener(event) => self.listener(event),
            Event::System(event) => self.system(event),
            Event::Traffic(event) => self.traffic(event),
            Event::Due(trouble) => self.due(trouble),
            Event::Fire(trouble) => self.fire(trouble),
            Event::Over(trouble, at) => self.over(trouble, at),
            Event::SeedsFollow => {
                self.listed = (0..self.machines.len()).filter(|at| !self.machines[*at].removed).collect();
            }
            Event::Begin(at) => self.start(at, false),
            // Life 0: a machine that has never run.
            Event::StopLook(at, 0) => self.start(at, true),
            Event::StopLook(at, life) => self.stop_look(at, life),
        }
    }

    // Processes.

    /// Starts a process with whatever is on its disk.
    pub fn start(&mut self, at: usize, bootstrap: bool) {
        if self.machines[at].is_up() || self.machines[at].removed {
            return;
        }
        self.count += 1;
        let life = self.count;
        let bounds = self.facts.bounds;
        let facts = ControllerSettings {
            addr: addr(at),
            zone: format!("zone-{}", at % 3),
            seeds: self.seeds.iter().map(|at| addr(*at)).collect(),
            bootstrap,
            losses: self.facts.losses,
            beat: bounds.beat,
            apply: bounds.apply,
            contact: bounds.contact,
            window: ms(10_000),
            seed: crate::chance::mixed(self.facts.seed ^ life.rotate_left(32)) | 1,
        };
        let machine = &mut self.machines[at];
        machine.life = life;
        machine.started = self.now;
        machine.frozen = false;
        machine.powered = true;
        machine.inbox.clear();
        machine.disk.under_way.clear();
        machine.disk.sound = true;
        machine.brain = Some(self.facts.registrar(facts, ms(1)));
        machine.touched = self.now;
        self.core_event = self.now;
        self.last_back = Some(at);
        self.say(|| format!("{at} starts"));
        let wait = self.chance.between(ms(3), ms(40));
        self.later(wait, Event::Input(at, life, Input::DiskRead));
        self.trigger(Trigger::Return);
        self.follow(at);
    }

    /// The process ends; with `power` the machine goes dark too.
    pub fn end(&mut self, at: usize, power: bool) {
        let keep = self.chance.one_in(2);
        let now = self.now;
        let machine = &mut self.machines[at];
        if !machine.is_up() {
            machine.powered &= !power;
            return;
        }
        let life = machine.life;
        machine.brain = None;
        machine.frozen = false;
        machine.wake = Nanos(u64::MAX);
        machine.inbox.clear();
        machine.powered = !power;
        machine.touched = now;
        // Writes under way: some came whole onto the disk, though nobody was told.
        for (_, saved, due) in std::mem::take(&mut machine.disk.under_way) {
            let early = self.facts.plant == Some(SeededBug::DiskAcksEarly);
            if keep && !early && due != Nanos(u64::MAX) {
                machine.disk.saved = Some(saved);
            }
        }
        self.core_event = now;
        self.say(|| format!("{at} ends{}", if power { ", without power" } else { "" }));
        // What it sent is on its way; what comes is lost. The others are told if the machine can speak.
        let mine: Vec<u64> = self.conns.iter().filter(|(_, c)| c.from == at).map(|(id, _)| *id).collect();
        for id in mine {
            let conn = &self.conns[&id];
            if !conn.open || !conn.held.is_empty() {
                self.conns.remove(&id);
            }
        }
        self.out.retain(|(from, _), _| *from != at);
        let theirs: Vec<u64> = self.conns.iter().filter(|(_, c)| c.to == at).map(|(id, _)| *id).collect();
        for id in theirs {
            let conn = &self.conns[&id];
            let (from, from_life) = (conn.from, conn.life);
            if power || self.is_cut(at, from) || self.is_cut(from, at) {
                let silence = self.facts.bounds.suspect();
                self.later(silence, Event::Silent(id, u64::MAX));
            } else if conn.open {
                self.drop_conn(id);
                let wait = self.delay(at, from);
                self.later(wait, Event::Input(from, from_life, Input::Closed(addr(at))));
            }
        }
        self.callers_lose(at, life, power);
        self.listeners_lose(at, life, power);
        self.gateways_lose(at, life, power);
    }

    pub fn freeze(&mut self, at: usize, frozen: bool) {
        if self.machines[at].frozen == frozen || !self.machines[at].is_up() {
            return;
        }
        self.machines[at].frozen = frozen;
        self.machines[at].touched = self.now;
        self.core_event = self.now;
        self.say(|| format!("{at} {}", if frozen { "freezes" } else { "thaws" }));
        if !frozen {
            self.last_back = Some(at);
            self.trigger(Trigger::Return);
            // What its own clock had due may come before what waits at its sockets, or after.
            if self.chance.one_in(2) {
                self.follow(at);
            }
            for input in std::mem::take(&mut self.machines[at].inbox) {
                self.input(at, input);
            }
            self.follow(at);
        }
    }

    /// SIGTERM.
    pub fn stop(&mut self, at: usize) {
        let local = self.local(at);
        self.core_event = self.now;
        let Some(brain) = &mut self.machines[at].brain else { return };
        brain.stop(local);
        let life = self.machines[at].life;
        // A quarter of `grace_s`.
        self.machines[at].stops_by = self.now + ms(1500);
        self.say(|| format!("{at} is told to stop"));
        self.follow(at);
        self.later(ms(20), Event::StopLook(at, life));
    }

    fn stop_look(&mut self, at: usize, life: u64) {
        let machine = &self.machines[at];
        if machine.life != life {
            return;
        }
        let Some(brain) = &machine.brain else { return };
        if brain.may_end() || self.now >= machine.stops_by {
            self.end(at, false);
        } else {
            self.later(ms(20), Event::StopLook(at, life));
        }
    }

    fn local(&self, at: usize) -> Nanos {
        self.now - self.machines[at].started + ms(1)
    }

    pub fn input(&mut self, at: usize, input: Input) {
        let now = self.local(at);
        let machine = &mut self.machines[at];
        if machine.frozen {
            machine.inbox.push_back(input);
            return;
        }
        let Some(brain) = &mut machine.brain else { return };
        match input {
            Input::Peer(from, word) => brain.peer(now, from, word),
            Input::Opened(to, id) if self.out.get(&(at, machine_at(to))) == Some(&id) => {
                brain.opened(now, to)
            }
            Input::Closed(to) if !self.out.contains_key(&(at, machine_at(to))) => brain.closed(now, to),
            Input::Opened(..) | Input::Closed(_) => {}
            Input::DiskRead => {
                let disk = &machine.disk;
                let old = disk.older.front().filter(|_| self.facts.plant == Some(SeededBug::OldFolder));
                let saved = old.or(disk.saved.as_ref()).cloned();
                let fresh = saved.is_none();
                let text = format!("{at} has read its disk, {}", if fresh { "empty" } else { "not empty" });
                brain.disk_read(now, saved, &disk.known, fresh);
                if self.facts.trace {
                    self.log.push(format!("{:>10.3} {text}", self.now.as_millis()));
                }
                brain.disk(now, true);
            }
            Input::Stored(ticket, ok) => {
                brain.stored(now, ticket, ok);
                let well = machine.disk.sound && machine.disk.under_way.is_empty();
                if well {
                    brain.disk(now, true);
                }
            }
            Input::DiskLook(ticket) => {
                if machine.disk.under_way.iter().any(|(other, ..)| *other == ticket) {
                    brain.disk(now, false);
                }
            }
            Input::Call(call) => {
                if let Some(request) = self.callers.request_of(call) {
                    brain.call(now, slot(call), request);
                }
            }
            Input::CallGone(call) => brain.call_gone(slot(call)),
            Input::Inward(ear, word) => brain.inward(now, ear, word),
            Input::EarGone(ear) => brain.ear_gone(ear),
        }
        self.follow(at);
    }

    pub fn follow(&mut self, at: usize) {
        loop {
            let now = self.local(at);
            let machine = &mut self.machines[at];
            if machine.frozen {
                return;
            }
            let Some(brain) = &mut machine.brain else { return };
            let Some(order) = brain.next(now) else {
                let wake = machine.started + (brain.due() - ms(1));
                machine.wake = wake.max(self.now + Nanos(1000));
                return;
            };
            self.obey(at, order);
        }
    }

    fn obey(&mut self, at: usize, order: Action) {
        let life = self.machines[at].life;
        match order {
            Action::Answer { slot, reply } => self.answered(at, slot, reply),
            Action::Say { to, word } => {
                let dropped = self.facts.plant == Some(SeededBug::KeepsDrains)
                    && matches!(word, ControllerMessage::Nodes(_));
                let Some(id) = self.out.get(&(at, machine_at(to))).copied().filter(|_| !dropped) else {
                    return;
                };
                let wait = self.delay(at, machine_at(to));
                let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.open) else { return };
                conn.last = conn.last.max(self.now + wait);
                let wait = conn.last - self.now;
                self.later(wait, Event::Word(id, word));
            }
            Action::Tell { to, word } => {
                for ear in to {
                    match self.gateways.pipes.contains_key(&ear.0) {
                        true => self.tell_gateway(at, ear, &word),
                        false => self.tell(at, life, ear, &word),
                    }
                }
            }
            Action::Connect { to } => {
                let to = machine_at(to);
                if let Some(old) = self.out.remove(&(at, to)) {
                    self.conns.remove(&old);
                }
                self.count += 1;
                let id = self.count;
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
                self.conns.insert(id, conn);
                self.out.insert((at, to), id);
                let wait = self.delay(at, to) + self.delay(to, at);
                self.later(wait, Event::Syn(id));
            }
            Action::GiveUp { to } => {
                if let Some(id) = self.out.remove(&(at, machine_at(to))) {
                    self.conns.remove(&id);
                }
            }
            Action::Store { ticket, saved } => self.store(at, ticket, saved),
            Action::Remember { addrs } => self.machines[at].disk.known = addrs,
            Action::Note { text, .. } => self.noted(at, &text),
        }
    }

    /// The newest view anybody entered names its sequencer first.
    fn noted(&mut self, at: usize, text: &str) {
        self.say(|| format!("{at}: {text}"));
        if let Some(rest) = text.strip_prefix("view ") {
            let mut words = rest.split([' ', ',']);
            let no = words.next().and_then(|no| no.parse().ok()).unwrap_or(0);
            let first = words.nth(1).and_then(|ip| ip.rsplit('.').next()?.parse::<usize>().ok());
            if no > self.newest_view {
                self.newest_view = no;
                self.sequencer = first.map(|octet| octet.wrapping_sub(1));
                self.trigger(Trigger::HandOver);
            }
        }
        if self.facts.trace {
            self.look_at(at);
        }
    }

    /// Asks what it knows now, for the timeline, as any operator may.
    fn look_at(&mut self, at: usize) {
        let now = self.local(at);
        let request = crate::callers::request("GET /-/counters HTTP/1.1\r\n", "");
        if let (Some(brain), Some(request)) = (&mut self.machines[at].brain, request) {
            brain.call(now, NOBODY, &request);
        }
    }

    fn looked_at(&mut self, at: usize, reply: &Reply) {
        let counters: serde_json::Value = serde_json::from_slice(reply.body.bytes()).unwrap_or_default();
        let level = |name: &str| counters.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        let knows = [level("view"), level("order"), level("epoch"), level("lease")];
        if std::mem::replace(&mut self.machines[at].knows, knows) != knows {
            let all = self.machines.iter().map(|machine| {
                let [view, order, epoch, lease] = machine.knows;
                match machine.brain.is_some() {
                    true => format!("{view}/{order}/{epoch}/{}", if lease == 1 { "held" } else { "none" }),
                    false => "down".into(),
                }
            });
            let all: Vec<String> = all.collect();
            self.say(|| format!("  who knows what (view/order/epoch/lease): {}", all.join("  ")));
        }
    }

    // Disks.

    fn store(&mut self, at: usize, ticket: WriteId, saved: PersistentState) {
        let life = self.machines[at].life;
        let wait = match self.machines[at].disk.writes {
            WriteBehavior::Well => self.chance.between(ms(1), ms(5)),
            WriteBehavior::Slow => self.chance.between(ms(30), ms(300)),
            WriteBehavior::Hang => Nanos(u64::MAX),
            WriteBehavior::Full => {
                self.machines[at].disk.sound = false;
                self.later(ms(1), Event::Input(at, life, Input::Stored(ticket, false)));
                self.later(ms(2), Event::Input(at, life, Input::DiskLook(ticket)));
                self.machines[at].disk.under_way.push((ticket, saved, Nanos(u64::MAX)));
                self.later(ms(200), Event::Reopen(at, life));
                return;
            }
        };
        let early = self.facts.plant == Some(SeededBug::DiskAcksEarly);
        if early {
            self.later(Nanos(0), Event::Input(at, life, Input::Stored(ticket, true)));
        }
        let wait = if early && wait.0 != u64::MAX { wait + ms(400) } else { wait };
        let due = if wait.0 == u64::MAX { wait } else { self.now + wait };
        self.machines[at].disk.under_way.push((ticket, saved.clone(), due));
        if wait.0 != u64::MAX {
            self.later(wait, Event::Written(at, life, ticket, saved));
        }
        let patience = self.facts.bounds.apply.times(1.0 / 6.0);
        if !early && wait > patience {
            self.later(patience, Event::Input(at, life, Input::DiskLook(ticket)));
        }
    }

    /// The disk has it, also where the process is frozen.
    fn written(&mut self, at: usize, life: u64, ticket: WriteId, saved: PersistentState) {
        let early = self.facts.plant == Some(SeededBug::DiskAcksEarly);
        let machine = &mut self.machines[at];
        if machine.life != life || machine.brain.is_none() {
            return;
        }
        machine.disk.under_way.retain(|(other, ..)| *other != ticket);
        if let Some(old) = machine.disk.saved.replace(saved) {
            machine.disk.older.push_back(old);
            if machine.disk.older.len() > 4 {
                machine.disk.older.pop_front();
            }
        }
        if !early {
            self.input(at, Input::Stored(ticket, true));
        }
    }

    /// Whether the folder can be opened anew.
    fn reopen(&mut self, at: usize, life: u64) {
        let machine = &mut self.machines[at];
        if machine.life != life || machine.brain.is_none() {
            return;
        }
        if machine.disk.writes == WriteBehavior::Full {
            return self.later(ms(200), Event::Reopen(at, life));
        }
        machine.disk.sound = true;
        machine.disk.under_way.retain(|(_, _, due)| *due != Nanos(u64::MAX));
        let local = self.local(at);
        let machine = &mut self.machines[at];
        if let Some(brain) = machine.brain.as_mut().filter(|_| !machine.frozen) {
            brain.disk(local, true);
            self.follow(at);
        } else {
            self.later(ms(200), Event::Reopen(at, life));
        }
    }

    pub fn set_disk(&mut self, at: usize, writes: WriteBehavior) {
        let life = self.machines[at].life;
        let was = std::mem::replace(&mut self.machines[at].disk.writes, writes);
        if was == WriteBehavior::Hang && writes != WriteBehavior::Hang {
            let held: Vec<(WriteId, PersistentState)> = self.machines[at]
                .disk
                .under_way
                .iter()
                .filter(|(_, _, due)| due.0 == u64::MAX)
                .map(|(ticket, saved, _)| (*ticket, saved.clone()))
                .collect();
            for (ticket, saved) in held {
                self.later(ms(3), Event::Written(at, life, ticket, saved));
            }
        }
        self.machines[at].touched = self.now;
    }

    pub fn wipe(&mut self, at: usize) {
        let disk = &mut self.machines[at].disk;
        (disk.saved, disk.known) = (None, Vec::new());
        disk.older.clear();
    }

    // Links.

    fn drop_conn(&mut self, id: u64) {
        if let Some(conn) = self.conns.remove(&id)
            && self.out.get(&(conn.from, conn.to)) == Some(&id)
        {
            self.out.remove(&(conn.from, conn.to));
        }
    }

    fn syn(&mut self, id: u64) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (from, life, to) = (conn.from, conn.life, conn.to);
        let there = self.machines.get(to).filter(|machine| machine.powered && !machine.removed);
        let Some(there) = there.filter(|_| !self.is_cut(from, to) && !self.is_cut(to, from)) else {
            return self.later(AGAIN, Event::Syn(id));
        };
        if !there.is_up() {
            self.drop_conn(id);
            return self.later(Nanos(0), Event::Input(from, life, Input::Closed(addr(to))));
        }
        let to_life = there.life;
        if let Some(conn) = self.conns.get_mut(&id) {
            (conn.open, conn.to_life, conn.last) = (true, to_life, self.now);
        }
        self.later(Nanos(0), Event::Input(from, life, Input::Opened(addr(to), id)));
    }

    fn word(&mut self, id: u64, word: ControllerMessage) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (from, to, to_life) = (conn.from, conn.to, conn.to_life);
        let machine = &self.machines[to];
        if !machine.powered || self.is_cut(from, to) || !conn.held.is_empty() {
            self.cut_no += 1;
            let no = self.cut_no;
            let silence = self.facts.bounds.suspect();
            let Some(conn) = self.conns.get_mut(&id) else { return };
            if conn.held.is_empty() {
                conn.held_since = no;
                self.later(silence, Event::Silent(id, no));
            }
            let Some(conn) = self.conns.get_mut(&id) else { return };
            return conn.held.push_back(word);
        }
        if machine.life == to_life && machine.is_up() {
            if let ControllerMessage::Nodes(facts) = &word {
                let told = facts.iter().map(|fact| format!("{} {:?} {}", fact.id, fact.state, fact.seq));
                let text = told.collect::<Vec<_>>().join(", ");
                self.say(|| format!("{to} is told by {from} of {text}"));
            }
            self.input(to, Input::Peer(addr(from), word));
        }
    }

    /// What was held back goes on, if nothing holds it back any more.
    fn flush(&mut self, id: u64) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (from, to, to_life) = (conn.from, conn.to, conn.to_life);
        if self.is_cut(from, to) || !self.machines[to].powered {
            return;
        }
        let held = self.conns.get_mut(&id).map(|conn| std::mem::take(&mut conn.held)).unwrap_or_default();
        for word in held {
            if self.machines[to].life == to_life {
                self.input(to, Input::Peer(addr(from), word));
            }
        }
    }

    /// A sender whose words were not acknowledged for so long gives the connection up.
    fn silent(&mut self, id: u64, since: u64) {
        let Some(conn) = self.conns.get(&id) else { return };
        let (from, life, to) = (conn.from, conn.life, conn.to);
        if since != u64::MAX && (conn.held.is_empty() || conn.held_since != since) {
            return;
        }
        self.drop_conn(id);
        self.later(Nanos(0), Event::Input(from, life, Input::Closed(addr(to))));
    }

    /// Cuts or joins one way from a place to another.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            *self.cut.entry((from, to)).or_default() += 1;
        } else if let Some(count) = self.cut.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.cut.remove(&(from, to));
            }
        }
        if from < FIRST_LISTENER && to < FIRST_LISTENER {
            self.core_event = self.now;
        }
        for place in [from, to] {
            self.touch(place);
        }
        let both: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, c)| (c.from, c.to) == (from, to) || (c.from, c.to) == (to, from))
            .map(|(id, _)| *id)
            .collect();
        for id in both {
            if cut {
                // No acknowledgement comes back, though the words may arrive.
                self.cut_no += 1;
                let conn = &self.conns[&id];
                if (conn.from, conn.to) == (to, from) && conn.open {
                    let wait = self.facts.bounds.suspect() + self.chance.between(ms(0), ms(200));
                    self.later(wait, Event::Silent(id, u64::MAX));
                }
            } else {
                let wait = self.chance.between(ms(1), ms(250));
                self.later(wait, Event::Flush(id));
            }
        }
        if cut {
            self.listeners_cut(from, to);
            self.gateways_cut(from, to);
        }
    }

    /// All connections of a machine end at once; what was on its way is lost.
    pub fn reset(&mut self, at: usize) {
        self.core_event = self.now;
        self.touch(at);
        self.say(|| format!("{at}: its connections are reset"));
        let all: Vec<u64> =
            self.conns.iter().filter(|(_, c)| c.from == at || c.to == at).map(|(id, _)| *id).collect();
        for id in all {
            let conn = &self.conns[&id];
            let (from, life, to) = (conn.from, conn.life, conn.to);
            self.drop_conn(id);
            self.later(Nanos(0), Event::Input(from, life, Input::Closed(addr(to))));
        }
        let life = self.machines[at].life;
        self.callers_lose(at, life, false);
        self.listeners_lose(at, life, false);
        self.gateways_lose(at, life, false);
    }

    fn touch(&mut self, place: usize) {
        if let Some(machine) = self.machines.get_mut(place) {
            machine.touched = self.now;
        }
        let now = self.now;
        self.listeners.touch(place, now);
        self.gateways.touch(place, now);
    }

    // Who is in touch, by the users' own words.

    fn linked(&self, a: usize, b: usize) -> bool {
        !self.is_cut(a, b) && !self.is_cut(b, a)
    }

    /// Machines that run and reach more than half of the core.
    pub fn majority(&self) -> Vec<usize> {
        let core: Vec<usize> = (0..self.machines.len()).filter(|at| !self.machines[*at].removed).collect();
        let runs: Vec<usize> = core.iter().copied().filter(|at| self.machines[*at].runs()).collect();
        let reaches = |at: usize| {
            let others = runs.iter().filter(|other| **other == at || self.linked(at, **other)).count();
            others * 2 > core.len()
        };
        runs.iter().copied().filter(|at| reaches(*at)).collect()
    }

    pub fn settled(&self) -> bool {
        let calm = self.now - self.core_event >= self.facts.bounds.contact && self.slowed == 0;
        calm && !self.majority().is_empty()
    }

    /// Whether a place is in touch, its own last trouble having been at `touched`.
    pub fn in_touch(&self, place: usize, touched: Nanos) -> bool {
        let calm = self.now - touched >= self.facts.bounds.contact;
        calm && self.settled() && self.majority().iter().all(|at| *at == place || self.linked(*at, place))
    }

    /// An answer of a process goes to its caller.
    fn answered(&mut self, at: usize, slot: PendingCall, reply: Reply) {
        if slot == NOBODY {
            return self.looked_at(at, &reply);
        }
        self.answer(at, slot.call, &reply);
    }
}
