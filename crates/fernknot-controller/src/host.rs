//! The program's host: sockets, clock, signals, settings and disk around one [`Controller`].

use crate::controller::{Action, Controller, ControllerSettings, PendingCall, SubscriberId};
use crate::disk::Disk;
use fernknot::interface::Nanos;
use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome};
use fernknot_net::{ConnectionId, Event, EventLoop, EventLoopSettings, NetError, Signals};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_rpc::{
    ControllerMessage, ControllerToGateway, GatewayToController, ShuffleProtocol, read_message, write_message,
};
use fernknot_schema::ProcessSettings;
use fernknot_telemetry::part;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;

/// Descriptors that are kept back for the disk and the process itself.
const RESERVED_DESCRIPTORS: u64 = 200;
/// The largest configuration, in bytes; less where memory is small.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// The part of the memory that one configuration may take: it stands in several buffers at once.
const MEMORY_PER_CONFIG: usize = 16;
/// Bytes around a configuration in a word.
const MESSAGE_OVERHEAD_BYTES: usize = 64 * 1024;
/// Bytes that wait for a listener beyond two whole configurations: it does not read, and is dropped.
const OUTPUT_SLACK_BYTES: usize = 1 << 20;
/// How often the settings file is looked at, in beats.
const SETTINGS_POLL_HEARTBEATS: f64 = 2.0;
/// A silent connection from inside is dropped after so many spans of contact, a caller's after so many.
const INTERNAL_IDLE_CONTACTS: f64 = 2.0;
const CALLER_IDLE_CONTACTS: f64 = 15.0;
/// Partial views are shuffled once in so many spans of contact, as at the gateways.
const SHUFFLE_CONTACTS: f64 = 2.0;
/// The part of the grace within which the order to stop is followed.
const SHUTDOWN_GRACE_SHARE: f64 = 0.25;
/// Bytes of a word from one who has not said who it is.
const MAX_UNIDENTIFIED_MESSAGE_BYTES: usize = MESSAGE_OVERHEAD_BYTES;

/// Why the program can't run.
#[derive(Debug, Error)]
pub enum HostError {
    #[error("settings: {0}")]
    Settings(String),
    #[error("{step}: {why}")]
    System { step: &'static str, why: std::io::Error },
    #[error(transparent)]
    Net(#[from] NetError),
}

/// Who is at the other end.
enum ConnectionRole {
    /// A node or an operator, over HTTP.
    HttpCaller(HttpServerConnection),
    /// A process of the system that speaks to this one; a controller once it said where it listens.
    InboundInternal(Option<SocketAddrV4>),
    /// A controller to whom this one speaks.
    OutboundPeer(SocketAddrV4),
}

struct Connection {
    role: ConnectionRole,
    last_heard: Nanos,
}

/// The program.
pub struct Host {
    settings: ProcessSettings,
    settings_path: PathBuf,
    settings_modified: Option<SystemTime>,
    next_settings_poll: Nanos,
    start: Instant,
    event_loop: EventLoop,
    control_listener: ConnectionId,
    internal_listener: ConnectionId,
    connections: HashMap<ConnectionId, Connection>,
    peer_connections: HashMap<SocketAddrV4, ConnectionId>,
    controller: Controller,
    disk: Disk,
    shuffle: ShuffleProtocol,
    signals: Signals,
    http_settings: HttpServerSettings,
    max_message_bytes: usize,
    next_sweep: Nanos,
    shutdown_deadline: Option<Nanos>,
}

/// Where a controller listens for other processes of the system: its second inner port.
fn internal_addr(ip: Ipv4Addr, facts: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(ip, facts.port_range.0 + 1)
}

fn seed_addrs(facts: &ProcessSettings) -> Vec<SocketAddrV4> {
    facts.seeds.iter().map(|seed| internal_addr(*seed.ip(), facts)).collect()
}

fn millis(ms: f64) -> Nanos {
    Nanos::from_millis(ms)
}

fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos.0)
}

/// What a controller can't do without, beyond what the settings' own checks ask for.
///
/// # Errors
/// Every fault, by the place in the file.
pub fn check_settings(facts: &ProcessSettings) -> Result<(), Vec<String>> {
    let mut faults = Vec::new();
    if facts.bind_addrs.control_addr.is_none() {
        faults.push("bind_addrs.control_addr: is missing; a controller is called there".to_string());
    }
    if facts.port_range.0 == u16::MAX || facts.port_range.0 + 1 > facts.port_range.1 {
        faults.push("port_range: has fewer than two ports".to_string());
    }
    if facts.limits.fd_limit <= RESERVED_DESCRIPTORS + 64 {
        faults.push(format!("limits.fd_limit: is under {}", RESERVED_DESCRIPTORS + 65));
    }
    if faults.is_empty() { Ok(()) } else { Err(faults) }
}

impl Host {
    /// Listens, and begins to read the disk. `seed` must differ from start to start and from machine to machine.
    ///
    /// # Errors
    /// Where the system refuses what is needed.
    pub fn new(facts: ProcessSettings, path: PathBuf, seed: u64) -> Result<Host, HostError> {
        check_settings(&facts).map_err(|faults| HostError::Settings(faults.join("; ")))?;
        let system = |step| move |why| HostError::System { step, why };
        let signals = Signals::install().map_err(system("watch for signals"))?;
        let contact = millis(facts.bounds.contact_ms);
        let apply = millis(facts.bounds.apply_ms);
        let beat = millis(facts.heartbeat_interval_ms);
        let memory = (facts.limits.memory_mb * (1 << 20) as f64) as usize;
        let body = MAX_CONFIG_BYTES.min(memory / MEMORY_PER_CONFIG);
        let links = (facts.limits.fd_limit - RESERVED_DESCRIPTORS) as usize;
        let largest_word = 2 * body + MESSAGE_OVERHEAD_BYTES;
        let brain_facts = ControllerSettings {
            addr: internal_addr(facts.ip, &facts),
            zone: facts.zone.clone(),
            seeds: seed_addrs(&facts),
            bootstrap: facts.bootstrap,
            tolerated_losses: facts.fault_budget.machine_losses as usize,
            heartbeat_interval: beat,
            apply_deadline: apply,
            contact_timeout: contact,
            budget_window: millis(facts.bounds.retry_window_s * 1000.0),
            seed,
        };
        let silence = duration(brain_facts.suspicion_timeout());
        let mut dock = EventLoop::new(EventLoopSettings {
            max_connections: links,
            read_ahead_bytes: largest_word + 4,
            unacknowledged_timeout: silence,
        })
        .map_err(system("poll"))?;
        let control = facts.bind_addrs.control_addr.unwrap_or(SocketAddrV4::new(facts.ip, 0));
        let control = dock.listen(control)?;
        let inner = dock.listen(brain_facts.addr)?;
        dock.listen_datagrams(brain_facts.addr)?;
        let own = PeerDescriptor {
            addr: brain_facts.addr,
            role: Role::Controller,
            zone: facts.zone.clone(),
            incarnation: seed,
            age_ms: 0,
        };
        let shuffles = ShuffleProtocol::new(own, &brain_facts.seeds, contact.times(SHUFFLE_CONTACTS), seed);
        let tap =
            HttpServerSettings::new(links, facts.limits.memory_mb, body).map_err(HostError::Settings)?;
        let patience = duration(apply.times(1.0 / 6.0));
        let bytes = (facts.limits.disk_mb * (1 << 20) as f64) as u64;
        let disk = Disk::open(facts.data_dir.clone(), bytes, patience, dock.waker());
        let changed = std::fs::metadata(&path).and_then(|about| about.modified()).ok();
        let start = dock.now();
        let mut host = Host {
            controller: Controller::new(brain_facts, Nanos(0)),
            settings: facts,
            settings_path: path,
            settings_modified: changed,
            next_settings_poll: beat.times(SETTINGS_POLL_HEARTBEATS),
            start,
            event_loop: dock,
            control_listener: control,
            internal_listener: inner,
            connections: HashMap::new(),
            peer_connections: HashMap::new(),
            disk,
            shuffle: shuffles,
            signals,
            http_settings: tap,
            max_message_bytes: largest_word,
            next_sweep: contact,
            shutdown_deadline: None,
        };
        if host.disk.is_absent() {
            log::warn!(target: part::STORAGE, "there is none: what is held ends with the process");
            host.controller.disk_loaded(Nanos(0), None, &[], true);
        }
        Ok(host)
    }

    fn now(&self) -> Nanos {
        Nanos(self.event_loop.now().saturating_duration_since(self.start).as_nanos() as u64)
    }

    /// Runs until the order to stop has been followed.
    pub fn run(&mut self) {
        let mut news = Vec::new();
        loop {
            let now = self.now();
            if self.signals.take_stop_request() && self.shutdown_deadline.is_none() {
                log::info!(target: part::PROCESS, "told to stop");
                self.shutdown_deadline =
                    Some(now + millis(self.settings.bounds.grace_s * 1000.0).times(SHUTDOWN_GRACE_SHARE));
                self.controller.begin_shutdown(now);
            }
            if self.signals.take_reload_request() || now >= self.next_settings_poll {
                self.reload_settings(now);
            }
            self.poll_disk(now);
            self.perform_actions(now);
            while let Some((to, bytes)) = self.shuffle.poll_datagram(now) {
                self.event_loop.send_datagram(to, &bytes);
            }
            if self.next_sweep <= now {
                self.close_idle_connections(now);
            }
            if let Some(until) = self.shutdown_deadline
                && (now >= until || self.controller.can_exit())
            {
                return self.close();
            }
            let shuffle = self.shuffle.next_timeout().unwrap_or(self.next_settings_poll);
            let mut due =
                self.controller.next_timeout().min(self.next_settings_poll).min(self.next_sweep).min(shuffle);
            if self.disk.is_writing() {
                due = due.min(now + millis(self.settings.bounds.apply_ms).times(1.0 / 12.0));
            }
            self.event_loop.poll(Some(duration(due - now)), &mut news);
            for event in news.drain(..) {
                self.handle_event(event);
            }
        }
    }

    /// What has been answered goes out; then the sockets close.
    fn close(&mut self) {
        self.event_loop.stop_listening(self.control_listener);
        self.event_loop.stop_listening(self.internal_listener);
        let mut news = Vec::new();
        let until = self.now() + millis(self.settings.bounds.loss_slack_ms);
        let waits = |dock: &EventLoop, lines: &HashMap<ConnectionId, Connection>| {
            lines.keys().any(|berth| dock.pending_output_bytes(*berth) > 0)
        };
        while waits(&self.event_loop, &self.connections) && self.now() < until {
            let wait = until - self.now();
            self.event_loop.poll(Some(duration(wait.times(0.2))), &mut news);
            news.clear();
        }
        log::info!(target: part::PROCESS, "stopped");
    }

    fn reload_settings(&mut self, now: Nanos) {
        self.next_settings_poll =
            now + millis(self.settings.heartbeat_interval_ms).times(SETTINGS_POLL_HEARTBEATS);
        let changed = std::fs::metadata(&self.settings_path).and_then(|about| about.modified()).ok();
        if changed == self.settings_modified {
            return;
        }
        self.settings_modified = changed;
        let Ok(bytes) = std::fs::read(&self.settings_path) else { return };
        match ProcessSettings::parse(&bytes) {
            Ok(facts) => {
                if facts.seeds != self.settings.seeds {
                    log::info!(target: part::SETTINGS, "{} seeds are named now", facts.seeds.len());
                }
                self.controller.add_seeds(now, &seed_addrs(&facts));
                self.shuffle.set_seeds(&seed_addrs(&facts));
                self.settings.seeds = facts.seeds;
            }
            Err(faults) => {
                for fault in faults {
                    log::warn!(target: part::SETTINGS, "the changed file is not taken: {fault}");
                }
            }
        }
    }

    fn poll_disk(&mut self, now: Nanos) {
        if let Some(found) = self.disk.take_recovered() {
            let held = found.consensus.as_ref().map_or(0, |saved| saved.revision.0);
            log::info!(target: part::STORAGE, "read, order {held}");
            self.controller.disk_loaded(now, found.consensus, &found.known_peers, found.is_empty);
        }
        for (ticket, ok) in self.disk.take_completed() {
            self.controller.write_completed(now, ticket, ok);
        }
        if let Some(well) = self.disk.is_healthy() {
            self.controller.set_disk_health(now, well);
        }
    }

    fn perform_actions(&mut self, now: Nanos) {
        while let Some(order) = self.controller.poll_action(now) {
            match order {
                Action::Reply { call: slot, reply } => self.reply(slot, &reply),
                Action::Send { to, message: word } => {
                    if let Some(berth) = self.peer_connections.get(&to).copied() {
                        self.send_to_peer(now, to, berth, word);
                    }
                }
                Action::Notify { to, message: word } => self.notify(&to, &word),
                Action::Connect { to } => match self.event_loop.connect(to) {
                    Ok(berth) => {
                        self.peer_connections.insert(to, berth);
                        self.connections.insert(
                            berth,
                            Connection { role: ConnectionRole::OutboundPeer(to), last_heard: now },
                        );
                    }
                    Err(why) => {
                        log::warn!(target: part::CONNECTIONS, "{why}");
                        self.controller.peer_disconnected(now, to);
                    }
                },
                Action::AbortConnect { to } => {
                    if let Some(berth) = self.peer_connections.remove(&to) {
                        self.drop_connection(berth);
                    }
                }
                Action::Store { ticket, state: saved } => {
                    if !self.disk.store(ticket, &saved) {
                        self.controller.write_completed(now, ticket, false);
                    }
                    if self.disk.is_absent() {
                        self.poll_disk(now);
                    }
                }
                Action::StoreKnownPeers { addrs } => self.disk.store_known_peers(&addrs),
                Action::Log { level, target: part, text } => log::log!(target: part, level, "{text}"),
            }
        }
    }

    fn send_to_peer(&mut self, now: Nanos, to: SocketAddrV4, berth: ConnectionId, word: ControllerMessage) {
        if self.event_loop.pending_output_bytes(berth) > 2 * self.max_message_bytes + OUTPUT_SLACK_BYTES {
            log::warn!(target: part::CONNECTIONS, "{to} does not read; dropped");
            self.peer_connections.remove(&to);
            self.drop_connection(berth);
            return self.controller.peer_disconnected(now, to);
        }
        if let Some(out) = self.event_loop.output(berth) {
            write_message(out, &GatewayToController::Peer(word));
        }
    }

    /// Written once, given to all.
    fn notify(&mut self, to: &[SubscriberId], word: &ControllerToGateway) {
        let mut bytes = fernknot_net::Buffer::default();
        write_message(&mut bytes, word);
        for ear in to {
            let berth = ConnectionId(ear.0);
            if self.event_loop.pending_output_bytes(berth) > 2 * self.max_message_bytes + OUTPUT_SLACK_BYTES {
                log::warn!(target: part::CONNECTIONS, "a listener does not read; dropped");
                self.controller.unsubscribe(*ear);
                self.drop_connection(berth);
            } else if let Some(out) = self.event_loop.output(berth) {
                out.push(bytes.data());
            }
        }
    }

    fn reply(&mut self, slot: PendingCall, reply: &fernknot_http_api::Reply) {
        let last = self.shutdown_deadline.is_some();
        let berth = ConnectionId(slot.connection);
        let Some(Connection { role: ConnectionRole::HttpCaller(tap), .. }) = self.connections.get_mut(&berth)
        else {
            return;
        };
        let Some(out) = self.event_loop.output(berth) else { return };
        if !tap.write_reply(out, slot.call, reply, last) {
            self.connections.remove(&berth);
            return self.event_loop.close_after_flush(berth);
        }
        // The next request may have come meanwhile.
        self.handle_http_input(berth);
    }

    fn drop_connection(&mut self, berth: ConnectionId) {
        self.connections.remove(&berth);
        self.event_loop.close(berth);
    }

    /// A connection has gone, or is of no use any more.
    fn connection_closed(&mut self, now: Nanos, berth: ConnectionId) {
        let Some(line) = self.connections.remove(&berth) else { return };
        self.event_loop.close(berth);
        match line.role {
            ConnectionRole::HttpCaller(tap) if tap.has_pending_call() => {
                self.controller.cancel_call(PendingCall { connection: berth.0, call: tap.last_call() });
            }
            ConnectionRole::HttpCaller(_) => {}
            ConnectionRole::InboundInternal(_) => self.controller.unsubscribe(SubscriberId(berth.0)),
            ConnectionRole::OutboundPeer(to) => {
                self.peer_connections.remove(&to);
                self.controller.peer_disconnected(now, to);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Accepted { connection: berth, listener: at, .. } => {
                let end = if at == self.control_listener {
                    ConnectionRole::HttpCaller(HttpServerConnection::default())
                } else {
                    ConnectionRole::InboundInternal(None)
                };
                self.connections.insert(berth, Connection { role: end, last_heard: now });
            }
            Event::Connected { connection: berth } => {
                if let Some(Connection { role: ConnectionRole::OutboundPeer(to), .. }) =
                    self.connections.get(&berth)
                {
                    let to = *to;
                    self.controller.peer_connected(now, to);
                }
            }
            Event::Received { connection: berth } => {
                let Some(line) = self.connections.get_mut(&berth) else { return };
                line.last_heard = now;
                match line.role {
                    ConnectionRole::HttpCaller(_) => self.handle_http_input(berth),
                    ConnectionRole::InboundInternal(_) => self.handle_internal_input(now, berth),
                    // Nothing is said back on these.
                    ConnectionRole::OutboundPeer(_) => self.connection_closed(now, berth),
                }
            }
            // Half a connection is of no use: the answers of callers who close theirs are not read.
            Event::ReadClosed { connection: berth } | Event::Closed { connection: berth, .. } => {
                self.connection_closed(now, berth)
            }
            Event::Datagram { from, bytes } => {
                if let Some(answer) = self.shuffle.handle_datagram(now, from, &bytes) {
                    self.event_loop.send_datagram(from, &answer);
                }
            }
            Event::Woken => {}
        }
    }

    fn handle_http_input(&mut self, berth: ConnectionId) {
        let now = self.now();
        let Some(Connection { role: ConnectionRole::HttpCaller(tap), .. }) = self.connections.get_mut(&berth)
        else {
            return;
        };
        let mut input = match self.event_loop.input(berth) {
            Some(input) => std::mem::take(input),
            None => return,
        };
        let Some(out) = self.event_loop.output(berth) else { return };
        let pulled = tap.read_request(&mut input, out, &self.http_settings);
        if let Some(place) = self.event_loop.input(berth) {
            *place = input;
        }
        match pulled {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Request(request) => {
                let slot = PendingCall { connection: berth.0, call: tap.last_call() };
                self.controller.handle_call(now, slot, &request);
            }
            ReadOutcome::Rejected => {
                self.connections.remove(&berth);
                self.event_loop.close_after_flush(berth);
            }
        }
    }

    fn handle_internal_input(&mut self, now: Nanos, berth: ConnectionId) {
        loop {
            let Some(Connection { role: ConnectionRole::InboundInternal(from), .. }) =
                self.connections.get(&berth)
            else {
                return;
            };
            let from = *from;
            let most = if from.is_some() { self.max_message_bytes } else { MAX_UNIDENTIFIED_MESSAGE_BYTES };
            let Some(input) = self.event_loop.input(berth) else { return };
            match read_message::<GatewayToController>(input, most) {
                Ok(None) => return,
                Ok(Some(GatewayToController::Peer(word))) => {
                    if let ControllerMessage::Identify { addr, .. } = &word
                        && let Some(line) = self.connections.get_mut(&berth)
                    {
                        line.role = ConnectionRole::InboundInternal(Some(*addr));
                        let addr = *addr;
                        self.controller.handle_peer_message(now, addr, word);
                    } else if let Some(from) = from {
                        self.controller.handle_peer_message(now, from, word);
                    }
                }
                Ok(Some(word)) => self.controller.handle_gateway_message(now, SubscriberId(berth.0), word),
                Err(why) => {
                    let peer = self.event_loop.peer(berth);
                    log::warn!(target: part::CONNECTIONS, "read from {peer:?}: {why}");
                    return self.connection_closed(now, berth);
                }
            }
        }
    }

    /// Closes what has been silent for long.
    fn close_idle_connections(&mut self, now: Nanos) {
        let contact = millis(self.settings.bounds.contact_ms);
        self.next_sweep = now + contact;
        let late = |line: &Connection| match &line.role {
            ConnectionRole::HttpCaller(tap) => {
                !tap.has_pending_call() && now - line.last_heard > contact.times(CALLER_IDLE_CONTACTS)
            }
            ConnectionRole::InboundInternal(_) => {
                now - line.last_heard > contact.times(INTERNAL_IDLE_CONTACTS)
            }
            ConnectionRole::OutboundPeer(_) => false,
        };
        let late: Vec<ConnectionId> =
            self.connections.iter().filter(|(_, line)| late(line)).map(|(berth, _)| *berth).collect();
        late.into_iter().for_each(|berth| self.connection_closed(now, berth));
        if !self.controller.holds_lease() {
            // Controllers that neither settings nor members name may be known to neighbours.
            self.controller.add_seeds(now, &self.shuffle.candidate_controllers());
        }
    }
}
