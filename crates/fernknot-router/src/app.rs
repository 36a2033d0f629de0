//! The loop: each turn reads all that is ready, tells the module, pulls decisions until there are
//! none, and writes.

use crate::clients::Clients;
use crate::clock::Clock;
use crate::core::Core;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::ids::{Heard, Source, Timer};
use crate::logs::Lines;
use crate::membership::Membership;
use crate::nodes::Nodes;
use crate::peers::Peers;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use fernknot::interface::*;
use fernknot_engine::{Engine, Order};
use fernknot_router_config::{Precedence, RouterConfig};
use slog::{Level, info, warn};
use std::collections::BTreeSet;
use std::time::Duration;

struct App {
    core: Core,
    lines: Lines,
    clock: Clock,
    clients: Clients,
    nodes: Nodes,
    discovery: Discovery,
    peers: Option<Peers>,
}

pub fn run(start: RouterConfig) -> Result<(), String> {
    let level = if start.verbose { Level::Debug } else { Level::Info };
    let (lines, log) = Lines::new(start.limits.max_pending_log_bytes, level);
    let told = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let mut events: EventLoop<'static, Heard> =
        EventLoop::try_new().map_err(|error| format!("event loop: {error}"))?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|error| format!("signals: {error}"))?;
    handle
        .insert_source(signals, |event, _, heard: &mut Heard| heard.signals.push(event.signal()))
        .map_err(|error| format!("signals: {error}"))?;
    let clock = Clock::new();
    let now = clock.now();
    let clients = Clients::new(&handle, start.listen).map_err(told("listen"))?;
    let fleet = start.membership.as_ref().zip(start.peer_addresses.as_ref()).map(|(fleet, told)| {
        Membership::new(start.seed, fleet, told, start.sockets.position, start.limits.max_datagram_bytes, now)
    });
    let peers = start.peer_addresses.map(|told| Peers::new(&handle, told, start.sockets.position));
    let peers = peers.transpose().map_err(told("peer_listen"))?;
    let core = Core {
        now,
        engine: Engine::new(
            start.seed,
            start.site,
            &start.sockets.phases,
            start.limits.max_sketch_bytes,
            now,
        ),
        facts: start.sockets,
        counters: Counters::default(),
        timers: BTreeSet::new(),
        fleet,
        has_list: false,
        stop_by: None,
        lingered: false,
        limits: start.limits,
        log,
        handle,
    };
    let nodes = Nodes { tags: peers.as_ref().map(|_| Default::default()), ..Nodes::default() };
    let mut app =
        App { core, lines, clock, clients, nodes, discovery: Discovery::new(start.discovery), peers };
    let mut heard = Heard::default();
    info!(app.core.log, "started"; "name" => start.name, "listen" => %start.listen);
    app.discovery.start_lists(
        &mut app.core,
        &mut app.nodes,
        start.last_known_list.as_deref().map(|known| known.get()),
    );
    app.turn(&mut heard);
    while !app.is_done() {
        let timeout = app.timeout();
        events.dispatch(Some(timeout), &mut heard).map_err(|error| format!("event loop: {error}"))?;
        app.turn(&mut heard);
    }
    info!(app.core.log, "stopped"; "counters" => app.core.counters_text().trim().replace('\n', ", "));
    app.lines.flush();
    Ok(())
}

impl App {
    /// The next time at which something is due.
    fn next_due(&self) -> Option<Nanos> {
        let timer = self.core.timers.first().map(|(at, _)| *at);
        let fleet = self.core.fleet.as_ref().map(Membership::due);
        timer.into_iter().chain(self.core.engine.due()).chain(fleet).min()
    }

    fn timeout(&self) -> Duration {
        if self.clients.has_more() || self.nodes.has_more() {
            return Duration::ZERO;
        }
        let next = self.next_due().unwrap_or(self.core.now + Nanos(1_000_000_000));
        // To the nanosecond; were the loop to wake early, it would only wait once more.
        Duration::from_nanos((next - self.clock.now()).0)
    }

    fn stop(&mut self) {
        let core = &mut self.core;
        if core.stop_by.is_none() {
            info!(core.log, "told to stop"; "owed" => core.engine.table.owed);
            let until = core.now + core.limits.shutdown_linger;
            core.stop_by = Some(until + core.limits.final_response_timeout);
            core.timers.insert((until, Timer::Linger));
            core.fleet.iter_mut().for_each(|fleet| fleet.leave(core.now));
        }
    }

    /// Takes the configuration anew, as far as a running router can: its limits, and where discovery
    /// is. One that cannot be used changes nothing. Guards what is in hand and every connection
    /// against a new file.
    fn read_again(&mut self) {
        let core = &mut self.core;
        match RouterConfig::read(Precedence::File, crate::variable) {
            Ok(start) => {
                core.counters.configurations_taken += 1;
                info!(core.log, "configuration taken"; "discovery" => %start.discovery);
                core.limits = start.limits;
                self.discovery.move_discovery(core, start.discovery);
                // Where membership is on, the list of routers may change while they run.
                if let (Some(fleet), Some(given), Some(told)) =
                    (&mut core.fleet, start.membership, start.peer_addresses)
                {
                    fleet.list(core.now, &given, &told);
                    self.peers.iter_mut().for_each(|peers| peers.list(told.clone(), start.sockets.position));
                }
            }
            Err(why) => {
                core.counters.configurations_bad += 1;
                warn!(core.log, "the new configuration is not taken"; "why" => why.to_string());
            }
        }
    }

    fn is_done(&self) -> bool {
        self.core.lingered && self.core.engine.table.owed == 0 && !self.clients.are_busy()
    }

    fn turn(&mut self, heard: &mut Heard) {
        self.core.now = self.clock.now();
        self.core.counters.turns += 1;
        self.core.fleet.iter_mut().for_each(|fleet| fleet.woke(self.core.now));
        if let Some(at) = self.next_due() {
            let late = (self.core.now - at).0 / 1000;
            self.core.counters.longest_late_us = self.core.counters.longest_late_us.max(late);
        }
        for signal in std::mem::take(&mut heard.signals) {
            match signal {
                Signal::SIGHUP => self.read_again(),
                _ => self.stop(),
            }
        }
        let App { core, clients, nodes, discovery, peers, .. } = self;
        for (source, readiness) in std::mem::take(&mut heard.ready) {
            match source {
                Source::Listener => clients.accept(core),
                Source::Client(id) => clients.client_ready(core, id, readiness),
                Source::Node(id) => nodes.node_ready(core, id, readiness),
                Source::Discovery => discovery.discovery_ready(core, nodes, readiness),
                Source::Peers => {
                    if let (Some(peers), Some(tags)) = (peers.as_ref(), &nodes.tags) {
                        peers.hear(core, tags);
                    }
                }
            }
        }
        clients.read_more_clients(core);
        nodes.read_more_nodes(core);
        while let Some((at, timer)) = self.core.timers.first().copied().filter(|(at, _)| *at <= self.core.now)
        {
            self.core.timers.remove(&(at, timer));
            self.due(timer);
        }
        let App { core, clients, .. } = self;
        if core.stop_by.is_some() {
            clients.end_idle_clients(core);
        }
        loop {
            while let Some(order) = self.core.engine.next(self.core.now) {
                self.act(order);
            }
            let App { core, clients, nodes, .. } = self;
            nodes.place_calls(core);
            nodes.flush_nodes(core);
            clients.flush_clients(core);
            if !core.engine.has_news() && nodes.pulled.is_empty() {
                break;
            }
        }
        let App { core, peers, .. } = self;
        peers.iter().for_each(|peers| peers.keep_track(core));
        self.lines.flush();
        let took = (self.clock.now() - self.core.now).0 / 1000;
        self.core.counters.longest_turn_us = self.core.counters.longest_turn_us.max(took);
    }

    fn due(&mut self, timer: Timer) {
        let App { core, clients, nodes, discovery, .. } = self;
        match timer {
            Timer::Link(id) => nodes.link_late(core, id),
            Timer::NodeIdle(id) => nodes.node_idle(core, id),
            Timer::DrainGrace(node) => nodes.drained(core, node),
            Timer::Client(id) => clients.client_due(core, id),
            Timer::Accept => clients.accept(core),
            Timer::Discovery => discovery.discovery_due(core),
            Timer::Linger => {
                clients.accept(core);
                clients.stop_listening();
                core.lingered = true;
            }
        }
    }

    /// Carries out one order.
    fn act(&mut self, order: Order) {
        let App { core, clients, nodes, peers, .. } = self;
        match order {
            Order::Send { part, no, node } => nodes.send(part, no, node),
            Order::Abandon { part, no, outcome } => nodes.abandon(core, part, no, outcome),
            Order::Answer { asker, verdict, ended } => clients.give(core, asker, verdict, ended),
            // Discovery is watched from the start, whether or not that must be asked for.
            Order::FollowList => {}
            Order::Renew { node } => nodes.renew_links(core, node),
            Order::Tell { news } => {
                if let (Some(peers), Some(tags)) = (peers, &nodes.tags) {
                    peers.tell(core, tags, &news);
                }
            }
        }
    }
}
