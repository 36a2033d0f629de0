//! Event loop: each iteration reads the ready sockets, passes the input to the engine, runs the engine's actions until
//! there are none, and writes.

use crate::clients::Clients;
use crate::clock::Clock;
use crate::context::Context;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::error::RunError;
use crate::events::{ReadyEvents, Source, Timer};
use crate::log_queue::LogQueue;
use crate::membership::Membership;
use crate::node_connection::AttemptId;
use crate::nodes::Nodes;
use crate::peers::Peers;
use crate::tcp_connection::EventLoopHandle;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Readiness};
use fernknot::interface::Nanos;
use fernknot_engine::{Action, Engine};
use fernknot_router_config::{Precedence, RouterConfig};
use slog::{Level, info, warn};
use std::collections::BTreeSet;
use std::time::Duration;

const NANOS_PER_US: u64 = 1000;
/// Longest wait of the event loop if no timer is set.
const MAX_POLL_TIMEOUT: Nanos = Nanos(1_000_000_000);

struct App {
    context: Context,
    log_queue: LogQueue,
    clock: Clock,
    clients: Clients,
    nodes: Nodes,
    discovery: Discovery,
    peers: Option<Peers>,
}

/// Runs the router until it receives a signal to stop and has answered all pending requests.
pub fn run(config: RouterConfig) -> Result<(), RunError> {
    let mut event_loop: EventLoop<'static, ReadyEvents> =
        EventLoop::try_new().map_err(RunError::EventLoop)?;
    let handle = event_loop.handle();
    watch_signals(&handle)?;
    let (name, listen, last_known_list) =
        (config.name.clone(), config.listen, config.last_known_list.clone());
    let mut app = App::new(config, handle)?;
    let mut events = ReadyEvents::default();
    info!(app.context.log, "started"; "name" => name, "listen" => %listen);
    let last_known_list = last_known_list.as_deref().map(|list| list.get());
    app.discovery.start(&mut app.context, &mut app.nodes, last_known_list);
    app.run_iteration(&mut events);
    while !app.is_done() {
        event_loop.dispatch(Some(app.timeout()), &mut events).map_err(RunError::EventLoop)?;
        app.run_iteration(&mut events);
    }
    let counters = app.context.counters_text();
    info!(app.context.log, "stopped"; "counters" => counters.trim().replace('\n', ", "));
    app.log_queue.flush();
    Ok(())
}

fn watch_signals(event_loop: &EventLoopHandle) -> Result<(), RunError> {
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(RunError::Signals)?;
    event_loop
        .insert_source(signals, |event, _, events: &mut ReadyEvents| events.signals.push(event.signal()))
        .map_err(|error| RunError::SignalSource(Box::new(error)))?;
    Ok(())
}

impl App {
    fn new(config: RouterConfig, event_loop: EventLoopHandle) -> Result<App, RunError> {
        let level = if config.verbose { Level::Debug } else { Level::Info };
        let (log_queue, log) = LogQueue::new(config.limits.max_pending_log_bytes, level);
        let clock = Clock::new();
        let now = clock.now();
        let clients = Clients::new(&event_loop, config.listen).map_err(RunError::Listen)?;
        let membership = new_membership(&config, now);
        let position = config.sockets.position;
        let peers = config.peer_addresses.map(|addresses| Peers::new(&event_loop, addresses, position));
        let peers = peers.transpose().map_err(RunError::PeerListen)?;
        let max_term_filter_bytes = config.limits.max_term_filter_bytes;
        let context = Context {
            now,
            engine: Engine::new(config.seed, config.site, &config.sockets.phases, max_term_filter_bytes, now),
            settings: config.sockets,
            counters: Counters::default(),
            timers: BTreeSet::new(),
            membership,
            has_full_list: false,
            stop_deadline: None,
            is_linger_over: false,
            limits: config.limits,
            log,
            event_loop,
        };
        let nodes = Nodes { tags: peers.as_ref().map(|_| Default::default()), ..Nodes::default() };
        let discovery = Discovery::new(config.discovery);
        Ok(App { context, log_queue, clock, clients, nodes, discovery, peers })
    }

    /// Returns the earliest time of all timers, of the engine and of membership.
    fn next_due(&self) -> Option<Nanos> {
        let timer = self.context.timers.first().map(|(at, _)| *at);
        let membership = self.context.membership.as_ref().map(Membership::next_wakeup);
        timer.into_iter().chain(self.context.engine.next_due()).chain(membership).min()
    }

    /// Returns the time that the event loop may wait for events.
    fn timeout(&self) -> Duration {
        if self.clients.has_readable() || self.nodes.has_readable() {
            return Duration::ZERO;
        }
        let next = self.next_due().unwrap_or(self.context.now + MAX_POLL_TIMEOUT);
        // If the loop wakes up early, it waits again.
        Duration::from_nanos((next - self.clock.now()).0)
    }

    fn is_done(&self) -> bool {
        self.context.is_linger_over
            && self.context.engine.table.unanswered == 0
            && !self.clients.has_busy_clients()
    }

    /// Starts a graceful shutdown: connections are still accepted for `shutdown_linger`, and pending requests are
    /// answered.
    fn stop(&mut self) {
        let context = &mut self.context;
        if context.stop_deadline.is_some() {
            return;
        }
        info!(context.log, "stopping"; "owed" => context.engine.table.unanswered);
        let linger_end = context.now + context.limits.shutdown_linger;
        context.stop_deadline = Some(linger_end + context.limits.final_response_timeout);
        context.set_timer(linger_end, Timer::ShutdownLinger);
        if let Some(membership) = &mut context.membership {
            membership.leave(context.now);
        }
    }

    /// Reloads the configuration, and applies the part that a running router can change: the limits, the address of
    /// discovery, and, if membership is on, the list of routers. An invalid configuration changes nothing. Pending
    /// requests and open connections stay.
    fn reload(&mut self) {
        let context = &mut self.context;
        match RouterConfig::read(Precedence::File, crate::variable) {
            Ok(config) => {
                context.counters.configurations_taken += 1;
                info!(context.log, "reloaded the configuration"; "discovery" => %config.discovery);
                self.apply_config(config);
            }
            Err(error) => {
                context.counters.configurations_bad += 1;
                warn!(context.log, "cannot reload the configuration; keeping the current one";
                    "why" => error.to_string());
            }
        }
    }

    fn apply_config(&mut self, config: RouterConfig) {
        let context = &mut self.context;
        context.limits = config.limits;
        self.discovery.change_address(context, config.discovery);
        // With membership, the list of routers may change while they run.
        let new = config.membership.zip(config.peer_addresses);
        if let Some((membership, (settings, addresses))) = context.membership.as_mut().zip(new) {
            membership.change_routers(context.now, &settings, &addresses);
            if let Some(peers) = &mut self.peers {
                peers.change_addresses(addresses, config.sockets.position);
            }
        }
    }

    fn run_iteration(&mut self, events: &mut ReadyEvents) {
        self.begin_iteration();
        for signal in std::mem::take(&mut events.signals) {
            match signal {
                Signal::SIGHUP => self.reload(),
                _ => self.stop(),
            }
        }
        for (source, readiness) in std::mem::take(&mut events.sockets) {
            self.socket_ready(source, readiness);
        }
        self.clients.read_more_clients(&mut self.context);
        self.nodes.read_more_nodes(&mut self.context);
        self.run_timers();
        if self.context.stop_deadline.is_some() {
            self.clients.close_idle_clients(&mut self.context);
        }
        self.run_actions();
        if let Some(peers) = &self.peers {
            peers.send_membership(&mut self.context);
        }
        self.end_iteration();
    }

    fn begin_iteration(&mut self) {
        self.context.now = self.clock.now();
        self.context.counters.turns += 1;
        if let Some(membership) = &mut self.context.membership {
            membership.wake(self.context.now);
        }
        if let Some(at) = self.next_due() {
            let late_us = (self.context.now - at).0 / NANOS_PER_US;
            let counters = &mut self.context.counters;
            counters.longest_late_us = counters.longest_late_us.max(late_us);
        }
    }

    fn end_iteration(&mut self) {
        self.log_queue.flush();
        let took_us = (self.clock.now() - self.context.now).0 / NANOS_PER_US;
        let counters = &mut self.context.counters;
        counters.longest_turn_us = counters.longest_turn_us.max(took_us);
    }

    fn socket_ready(&mut self, source: Source, readiness: Readiness) {
        let App { context, clients, nodes, discovery, peers, .. } = self;
        match source {
            Source::Listener => clients.accept(context),
            Source::Client(id) => clients.client_ready(context, id, readiness),
            Source::Node(id) => nodes.node_ready(context, id, readiness),
            Source::Discovery => discovery.ready(context, nodes, readiness),
            Source::Peers => {
                if let (Some(peers), Some(tags)) = (peers.as_ref(), &nodes.tags) {
                    peers.receive(context, tags);
                }
            }
        }
    }

    fn run_timers(&mut self) {
        while let Some((at, timer)) = self.context.timers.first().copied() {
            if at > self.context.now {
                return;
            }
            self.context.cancel_timer(at, timer);
            self.timer_due(timer);
        }
    }

    fn timer_due(&mut self, timer: Timer) {
        let App { context, clients, nodes, discovery, .. } = self;
        match timer {
            Timer::NodeConnection(id) => nodes.deadline_passed(context, id),
            Timer::NodeIdle(id) => nodes.idle_timer_due(context, id),
            Timer::DrainGrace(node) => nodes.drain_grace_expired(context, node),
            Timer::Client(id) => clients.client_timer_due(context, id),
            Timer::Accept => clients.accept(context),
            Timer::Discovery => discovery.timer_due(context),
            Timer::ShutdownLinger => {
                clients.accept(context);
                clients.stop_listening();
                context.is_linger_over = true;
            }
        }
    }

    /// Runs the engine's actions and writes the resulting output, until neither the engine nor the writing has more
    /// work.
    fn run_actions(&mut self) {
        loop {
            while let Some(action) = self.context.engine.poll_action(self.context.now) {
                self.run_action(action);
            }
            let App { context, clients, nodes, .. } = self;
            nodes.assign_calls(context);
            nodes.flush_nodes(context);
            clients.flush_clients(context);
            if !context.engine.has_input() && nodes.unassigned_attempts.is_empty() {
                break;
            }
        }
    }

    fn run_action(&mut self, action: Action) {
        let App { context, clients, nodes, peers, .. } = self;
        match action {
            Action::Send { part, number, node } => nodes.queue_attempt(AttemptId { part, number }, node),
            Action::Cancel { part, number, outcome } => {
                nodes.abandon(context, AttemptId { part, number }, outcome);
            }
            Action::Answer { requester, verdict, stage } => {
                clients.answer(context, requester, verdict, stage)
            }
            // The router watches discovery from its start, so a request of the engine for the list changes nothing.
            Action::SubscribeToNodeList => {}
            Action::RenewConnections { node } => nodes.renew_connections(context, node),
            Action::NotifyPeers { updates } => {
                if let (Some(peers), Some(tags)) = (peers, &nodes.tags) {
                    peers.send_updates(context, tags, &updates);
                }
            }
        }
    }
}

fn new_membership(config: &RouterConfig, now: Nanos) -> Option<Membership> {
    let settings = config.membership.as_ref()?;
    let addresses = config.peer_addresses.as_ref()?;
    let (position, datagram_bytes) = (config.sockets.position, config.limits.max_datagram_bytes);
    Some(Membership::new(config.seed, settings, addresses, position, datagram_bytes, now))
}
