//! The program's host: sockets, clock, signals, settings and disk around one [`Registrar`].

use crate::disk::Disk;
use crate::registrar::{Action, Controller, ControllerSettings, PendingCall, SubscriberId};
use fernknot::interface::Nanos;
use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome};
use fernknot_net::{ConnectionId, Event, EventLoop, EventLoopSettings, NetError, Signals};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_rpc::{
    ControllerMessage, ControllerToGateway, GatewayToController, ShuffleProtocol, pull, push,
};
use fernknot_schema::ProcessSettings;
use fernknot_telemetry::part;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;

/// Descriptors that are kept back for the disk and the process itself.
const KEPT_BACK: u64 = 200;
/// The largest configuration, in bytes; less where memory is small.
const LARGEST_BODY: usize = 8 << 20;
/// The part of the memory that one configuration may take: it stands in several buffers at once.
const MEMORY_PER_BODY: usize = 16;
/// Bytes around a configuration in a word.
const ENVELOPE: usize = 64 * 1024;
/// Bytes that wait for a listener beyond two whole configurations: it does not read, and is dropped.
const SLACK: usize = 1 << 20;
/// How often the settings file is looked at, in beats.
const BEATS_TO_LOOK: f64 = 2.0;
/// A silent connection from inside is dropped after so many spans of contact, a caller's after so many.
const SILENT_CONTACTS: f64 = 2.0;
const IDLE_CONTACTS: f64 = 15.0;
/// Partial views are shuffled once in so many spans of contact, as at the gateways.
const SHUFFLE_CONTACTS: f64 = 2.0;
/// The part of the grace within which the order to stop is followed.
const STOP_SHARE: f64 = 0.25;
/// Bytes of a word from one who has not said who it is.
const STRANGER: usize = ENVELOPE;

/// Why the program can't run.
#[derive(Debug, Error)]
pub enum HostError {
    #[error("settings: {0}")]
    Facts(String),
    #[error("{step}: {why}")]
    System { step: &'static str, why: std::io::Error },
    #[error(transparent)]
    Net(#[from] NetError),
}

/// Who is at the other end.
enum ConnectionRole {
    /// A node or an operator, over HTTP.
    Caller(HttpServerConnection),
    /// A process of the system that speaks to this one; a registrar once it said where it listens.
    Inner(Option<SocketAddrV4>),
    /// A registrar to whom this one speaks.
    Outer(SocketAddrV4),
}

struct Connection {
    end: ConnectionRole,
    heard: Nanos,
}

/// The program.
pub struct Host {
    facts: ProcessSettings,
    path: PathBuf,
    changed: Option<SystemTime>,
    look_at: Nanos,
    start: Instant,
    dock: EventLoop,
    control: ConnectionId,
    inner: ConnectionId,
    lines: HashMap<ConnectionId, Connection>,
    outer: HashMap<SocketAddrV4, ConnectionId>,
    brain: Controller,
    disk: Disk,
    shuffles: ShuffleProtocol,
    signals: Signals,
    tap: HttpServerSettings,
    largest_word: usize,
    sweep_at: Nanos,
    stopping: Option<Nanos>,
}

/// Where a registrar listens for other processes of the system: its second inner port.
fn inner_addr(ip: Ipv4Addr, facts: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(ip, facts.port_range.0 + 1)
}

fn seeds(facts: &ProcessSettings) -> Vec<SocketAddrV4> {
    facts.seeds.iter().map(|seed| inner_addr(*seed.ip(), facts)).collect()
}

fn millis(ms: f64) -> Nanos {
    Nanos::from_millis(ms)
}

fn span(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos.0)
}

/// What a registrar can't do without, beyond what the settings' own checks ask for.
///
/// # Errors
/// Every fault, by the place in the file.
pub fn check(facts: &ProcessSettings) -> Result<(), Vec<String>> {
    let mut faults = Vec::new();
    if facts.bind_addrs.control_addr.is_none() {
        faults.push("bind_addrs.control_addr: is missing; a registrar is called there".to_string());
    }
    if facts.port_range.0 == u16::MAX || facts.port_range.0 + 1 > facts.port_range.1 {
        faults.push("port_range: has fewer than two ports".to_string());
    }
    if facts.limits.fd_limit <= KEPT_BACK + 64 {
        faults.push(format!("limits.fd_limit: is under {}", KEPT_BACK + 65));
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

impl Host {
    /// Listens, and begins to read the disk. `seed` must differ from start to start and from machine to machine.
    ///
    /// # Errors
    /// Where the system refuses what is needed.
    pub fn new(facts: ProcessSettings, path: PathBuf, seed: u64) -> Result<Host, HostError> {
        check(&facts).map_err(|faults| HostError::Facts(faults.join("; ")))?;
        let system = |step| move |why| HostError::System { step, why };
        let signals = Signals::watch().map_err(system("watch for signals"))?;
        let contact = millis(facts.bounds.contact_ms);
        let apply = millis(facts.bounds.apply_ms);
        let beat = millis(facts.beat_ms);
        let memory = (facts.limits.memory_mb * (1 << 20) as f64) as usize;
        let body = LARGEST_BODY.min(memory / MEMORY_PER_BODY);
        let links = (facts.limits.fd_limit - KEPT_BACK) as usize;
        let largest_word = 2 * body + ENVELOPE;
        let brain_facts = ControllerSettings {
            addr: inner_addr(facts.ip, &facts),
            zone: facts.zone.clone(),
            seeds: seeds(&facts),
            bootstrap: facts.bootstrap,
            losses: facts.fault_budget.machine_losses as usize,
            beat,
            apply,
            contact,
            window: millis(facts.bounds.retry_window_s * 1000.0),
            seed,
        };
        let silence = span(brain_facts.suspect());
        let mut dock = EventLoop::new(EventLoopSettings { links, ahead: largest_word + 4, silence })
            .map_err(system("poll"))?;
        let control = facts.bind_addrs.control_addr.unwrap_or(SocketAddrV4::new(facts.ip, 0));
        let control = dock.listen(control)?;
        let inner = dock.listen(brain_facts.addr)?;
        dock.listen_datagrams(brain_facts.addr)?;
        let own = PeerDescriptor {
            addr: brain_facts.addr,
            role: Role::Registrar,
            zone: facts.zone.clone(),
            life: seed,
            age: 0,
        };
        let shuffles = ShuffleProtocol::new(own, &brain_facts.seeds, contact.times(SHUFFLE_CONTACTS), seed);
        let tap = HttpServerSettings::new(links, facts.limits.memory_mb, body).map_err(HostError::Facts)?;
        let patience = span(apply.times(1.0 / 6.0));
        let bytes = (facts.limits.disk_mb * (1 << 20) as f64) as u64;
        let disk = Disk::begin(facts.data_dir.clone(), bytes, patience, dock.waker());
        let changed = std::fs::metadata(&path).and_then(|about| about.modified()).ok();
        let start = dock.clock();
        let mut host = Host {
            brain: Controller::new(brain_facts, Nanos(0)),
            facts,
            path,
            changed,
            look_at: beat.times(BEATS_TO_LOOK),
            start,
            dock,
            control,
            inner,
            lines: HashMap::new(),
            outer: HashMap::new(),
            disk,
            shuffles,
            signals,
            tap,
            largest_word,
            sweep_at: contact,
            stopping: None,
        };
        if host.disk.is_absent() {
            log::warn!(target: part::DISK, "there is none: what is held ends with the process");
            host.brain.disk_read(Nanos(0), None, &[], true);
        }
        Ok(host)
    }

    fn now(&self) -> Nanos {
        Nanos(self.dock.clock().saturating_duration_since(self.start).as_nanos() as u64)
    }

    /// Runs until the order to stop has been followed.
    pub fn run(&mut self) {
        let mut news = Vec::new();
        loop {
            let now = self.now();
            if self.signals.stop() && self.stopping.is_none() {
                log::info!(target: part::PROCESS, "told to stop");
                self.stopping = Some(now + millis(self.facts.bounds.grace_s * 1000.0).times(STOP_SHARE));
                self.brain.stop(now);
            }
            if self.signals.changed() || now >= self.look_at {
                self.look_at_facts(now);
            }
            self.look_at_disk(now);
            self.follow(now);
            while let Some((to, bytes)) = self.shuffles.next(now) {
                self.dock.send_datagram(to, &bytes);
            }
            if self.sweep_at <= now {
                self.sweep(now);
            }
            if let Some(until) = self.stopping
                && (now >= until || self.brain.may_end())
            {
                return self.end();
            }
            let shuffle = self.shuffles.wakes_at().unwrap_or(self.look_at);
            let mut due = self.brain.due().min(self.look_at).min(self.sweep_at).min(shuffle);
            if self.disk.is_writing() {
                due = due.min(now + millis(self.facts.bounds.apply_ms).times(1.0 / 12.0));
            }
            self.dock.turn(Some(span(due - now)), &mut news);
            for event in news.drain(..) {
                self.take(event);
            }
        }
    }

    /// What has been answered goes out; then the sockets close.
    fn end(&mut self) {
        self.dock.stop_listening(self.control);
        self.dock.stop_listening(self.inner);
        let mut news = Vec::new();
        let until = self.now() + millis(self.facts.bounds.loss_slack_ms);
        let waits = |dock: &EventLoop, lines: &HashMap<ConnectionId, Connection>| {
            lines.keys().any(|berth| dock.waiting(*berth) > 0)
        };
        while waits(&self.dock, &self.lines) && self.now() < until {
            let wait = until - self.now();
            self.dock.turn(Some(span(wait.times(0.2))), &mut news);
            news.clear();
        }
        log::info!(target: part::PROCESS, "stopped");
    }

    fn look_at_facts(&mut self, now: Nanos) {
        self.look_at = now + millis(self.facts.beat_ms).times(BEATS_TO_LOOK);
        let changed = std::fs::metadata(&self.path).and_then(|about| about.modified()).ok();
        if changed == self.changed {
            return;
        }
        self.changed = changed;
        let Ok(bytes) = std::fs::read(&self.path) else { return };
        match ProcessSettings::read(&bytes) {
            Ok(facts) => {
                if facts.seeds != self.facts.seeds {
                    log::info!(target: part::FACTS, "{} seeds are named now", facts.seeds.len());
                }
                self.brain.seeds(now, &seeds(&facts));
                self.shuffles.seeds(&seeds(&facts));
                self.facts.seeds = facts.seeds;
            }
            Err(faults) => {
                for fault in faults {
                    log::warn!(target: part::FACTS, "the changed file is not taken: {fault}");
                }
            }
        }
    }

    fn look_at_disk(&mut self, now: Nanos) {
        if let Some(found) = self.disk.found() {
            let held = found.saved.as_ref().map_or(0, |saved| saved.no.0);
            log::info!(target: part::DISK, "read, order {held}");
            self.brain.disk_read(now, found.saved, &found.known, found.fresh);
        }
        for (ticket, ok) in self.disk.done() {
            self.brain.stored(now, ticket, ok);
        }
        if let Some(well) = self.disk.is_well() {
            self.brain.disk(now, well);
        }
    }

    fn follow(&mut self, now: Nanos) {
        while let Some(order) = self.brain.next(now) {
            match order {
                Action::Answer { slot, reply } => self.answer(slot, &reply),
                Action::Say { to, word } => {
                    if let Some(berth) = self.outer.get(&to).copied() {
                        self.say(now, to, berth, word);
                    }
                }
                Action::Tell { to, word } => self.tell(&to, &word),
                Action::Connect { to } => match self.dock.connect(to) {
                    Ok(berth) => {
                        self.outer.insert(to, berth);
                        self.lines.insert(berth, Connection { end: ConnectionRole::Outer(to), heard: now });
                    }
                    Err(why) => {
                        log::warn!(target: part::LINKS, "{why}");
                        self.brain.closed(now, to);
                    }
                },
                Action::GiveUp { to } => {
                    if let Some(berth) = self.outer.remove(&to) {
                        self.drop_line(berth);
                    }
                }
                Action::Store { ticket, saved } => {
                    if !self.disk.store(ticket, &saved) {
                        self.brain.stored(now, ticket, false);
                    }
                    if self.disk.is_absent() {
                        self.look_at_disk(now);
                    }
                }
                Action::Remember { addrs } => self.disk.remember(&addrs),
                Action::Note { level, part, text } => log::log!(target: part, level, "{text}"),
            }
        }
    }

    fn say(&mut self, now: Nanos, to: SocketAddrV4, berth: ConnectionId, word: ControllerMessage) {
        if self.dock.waiting(berth) > 2 * self.largest_word + SLACK {
            log::warn!(target: part::LINKS, "{to} does not read; dropped");
            self.outer.remove(&to);
            self.drop_line(berth);
            return self.brain.closed(now, to);
        }
        if let Some(out) = self.dock.output(berth) {
            push(out, &GatewayToController::Peer(word));
        }
    }

    /// Written once, given to all.
    fn tell(&mut self, to: &[SubscriberId], word: &ControllerToGateway) {
        let mut bytes = fernknot_net::Buffer::default();
        push(&mut bytes, word);
        for ear in to {
            let berth = ConnectionId(ear.0);
            if self.dock.waiting(berth) > 2 * self.largest_word + SLACK {
                log::warn!(target: part::LINKS, "a listener does not read; dropped");
                self.brain.ear_gone(*ear);
                self.drop_line(berth);
            } else if let Some(out) = self.dock.output(berth) {
                out.push(bytes.data());
            }
        }
    }

    fn answer(&mut self, slot: PendingCall, reply: &fernknot_http_api::Reply) {
        let last = self.stopping.is_some();
        let berth = ConnectionId(slot.line);
        let Some(Connection { end: ConnectionRole::Caller(tap), .. }) = self.lines.get_mut(&berth) else {
            return;
        };
        let Some(out) = self.dock.output(berth) else { return };
        if !tap.answer(out, slot.call, reply, last) {
            self.lines.remove(&berth);
            return self.dock.close_after(berth);
        }
        // The next request may have come meanwhile.
        self.caller_came(berth);
    }

    fn drop_line(&mut self, berth: ConnectionId) {
        self.lines.remove(&berth);
        self.dock.close(berth);
    }

    /// A connection has gone, or is of no use any more.
    fn gone(&mut self, now: Nanos, berth: ConnectionId) {
        let Some(line) = self.lines.remove(&berth) else { return };
        self.dock.close(berth);
        match line.end {
            ConnectionRole::Caller(tap) if tap.waits() => {
                self.brain.call_gone(PendingCall { line: berth.0, call: tap.call() });
            }
            ConnectionRole::Caller(_) => {}
            ConnectionRole::Inner(_) => self.brain.ear_gone(SubscriberId(berth.0)),
            ConnectionRole::Outer(to) => {
                self.outer.remove(&to);
                self.brain.closed(now, to);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Accepted { berth, at, .. } => {
                let end = if at == self.control {
                    ConnectionRole::Caller(HttpServerConnection::default())
                } else {
                    ConnectionRole::Inner(None)
                };
                self.lines.insert(berth, Connection { end, heard: now });
            }
            Event::Opened { berth } => {
                if let Some(Connection { end: ConnectionRole::Outer(to), .. }) = self.lines.get(&berth) {
                    let to = *to;
                    self.brain.opened(now, to);
                }
            }
            Event::Came { berth } => {
                let Some(line) = self.lines.get_mut(&berth) else { return };
                line.heard = now;
                match line.end {
                    ConnectionRole::Caller(_) => self.caller_came(berth),
                    ConnectionRole::Inner(_) => self.inner_came(now, berth),
                    // Nothing is said back on these.
                    ConnectionRole::Outer(_) => self.gone(now, berth),
                }
            }
            // Half a connection is of no use: the answers of callers who close theirs are not read.
            Event::Ended { berth } | Event::Gone { berth, .. } => self.gone(now, berth),
            Event::Datagram { from, bytes } => {
                if let Some(answer) = self.shuffles.came(now, from, &bytes) {
                    self.dock.send_datagram(from, &answer);
                }
            }
            Event::Woken => {}
        }
    }

    fn caller_came(&mut self, berth: ConnectionId) {
        let now = self.now();
        let Some(Connection { end: ConnectionRole::Caller(tap), .. }) = self.lines.get_mut(&berth) else {
            return;
        };
        let mut input = match self.dock.input(berth) {
            Some(input) => std::mem::take(input),
            None => return,
        };
        let Some(out) = self.dock.output(berth) else { return };
        let pulled = tap.pull(&mut input, out, &self.tap);
        if let Some(place) = self.dock.input(berth) {
            *place = input;
        }
        match pulled {
            ReadOutcome::Nothing => {}
            ReadOutcome::Call(request) => {
                let slot = PendingCall { line: berth.0, call: tap.call() };
                self.brain.call(now, slot, &request);
            }
            ReadOutcome::Bad => {
                self.lines.remove(&berth);
                self.dock.close_after(berth);
            }
        }
    }

    fn inner_came(&mut self, now: Nanos, berth: ConnectionId) {
        loop {
            let Some(Connection { end: ConnectionRole::Inner(from), .. }) = self.lines.get(&berth) else {
                return;
            };
            let from = *from;
            let most = if from.is_some() { self.largest_word } else { STRANGER };
            let Some(input) = self.dock.input(berth) else { return };
            match pull::<GatewayToController>(input, most) {
                Ok(None) => return,
                Ok(Some(GatewayToController::Peer(word))) => {
                    if let ControllerMessage::Hello { addr, .. } = &word
                        && let Some(line) = self.lines.get_mut(&berth)
                    {
                        line.end = ConnectionRole::Inner(Some(*addr));
                        let addr = *addr;
                        self.brain.peer(now, addr, word);
                    } else if let Some(from) = from {
                        self.brain.peer(now, from, word);
                    }
                }
                Ok(Some(word)) => self.brain.inward(now, SubscriberId(berth.0), word),
                Err(why) => {
                    let peer = self.dock.peer(berth);
                    log::warn!(target: part::LINKS, "read from {peer:?}: {why}");
                    return self.gone(now, berth);
                }
            }
        }
    }

    /// Closes what has been silent for long.
    fn sweep(&mut self, now: Nanos) {
        let contact = millis(self.facts.bounds.contact_ms);
        self.sweep_at = now + contact;
        let late = |line: &Connection| match &line.end {
            ConnectionRole::Caller(tap) => !tap.waits() && now - line.heard > contact.times(IDLE_CONTACTS),
            ConnectionRole::Inner(_) => now - line.heard > contact.times(SILENT_CONTACTS),
            ConnectionRole::Outer(_) => false,
        };
        let late: Vec<ConnectionId> =
            self.lines.iter().filter(|(_, line)| late(line)).map(|(berth, _)| *berth).collect();
        late.into_iter().for_each(|berth| self.gone(now, berth));
        if !self.brain.holds_lease() {
            // Registrars that neither settings nor members name may be known to neighbours.
            self.brain.seeds(now, &self.shuffles.registrars());
        }
    }
}
