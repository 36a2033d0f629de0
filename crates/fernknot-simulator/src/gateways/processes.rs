//! Life cycle of a gateway process, and the turns of its event loop.

use crate::checks::rule::Rule;
use crate::event::Event;
use crate::gateways::settings::process_settings;
use crate::gateways::state::{Endpoint, GatewayEvent, GatewayLink, Side};
use crate::ports::PortAction;
use crate::rng::splitmix64;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::{ProcessClock, micros, millis};
use crate::topology::{FIRST_GATEWAY, controller_addr};
use fernknot::interface::Nanos;
use fernknot_gateway::{Gateway, GatewayError};
use fernknot_net::{ConnectionId, Event as NetworkEvent};
use fernknot_schema::ValidationError;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Maximum interval between the turns of a gateway's event loop.
const MAX_TURN_INTERVAL: Nanos = millis(250);

/// Error that prevents the start of a gateway.
#[derive(Debug, Error)]
enum GatewayStartError {
    #[error("it can't read its settings: {0:?}")]
    InvalidSettings(Vec<ValidationError>),
    #[error(transparent)]
    Rejected(#[from] GatewayError),
}

impl Simulation {
    pub(crate) fn start_gateways(&mut self) {
        for gateway in 0..self.gateways.processes.len() {
            self.schedule_gateway(millis(400 + 50 * gateway as u64), GatewayEvent::Start(gateway));
        }
        if !self.gateways.processes.is_empty() {
            self.start_traffic();
            self.schedule_gateway(millis(4000), GatewayEvent::InjectFault);
        }
    }

    pub(super) fn schedule_gateway(&mut self, delay: Nanos, event: GatewayEvent) {
        self.schedule(delay, Event::Gateway(event));
    }

    pub(crate) fn on_gateway_event(&mut self, event: GatewayEvent) {
        match event {
            GatewayEvent::Start(gateway) => self.start_gateway(gateway),
            GatewayEvent::Turn { gateway, incarnation } => {
                let process = &self.gateways.processes[gateway];
                if process.incarnation == incarnation && process.turn_at == Some(self.now) {
                    self.gateway_turn(gateway);
                }
            }
            GatewayEvent::Syn(connection) => self.syn_arrives(connection),
            GatewayEvent::Opened(connection) => self.connection_opened(connection),
            GatewayEvent::Bytes { connection, to, bytes } => self.bytes_arrive(connection, to, &bytes),
            GatewayEvent::EndArrives { connection, to, is_reset } => {
                self.connection_ended(connection, to, is_reset);
            }
            GatewayEvent::Thaw { gateway, incarnation } => self.thaw_gateway(gateway, incarnation),
            GatewayEvent::InjectFault => self.inject_gateway_fault(),
        }
    }

    fn start_gateway(&mut self, index: usize) {
        let incarnation = self.next_sequence();
        let gateway = match self.build_gateway(index, incarnation) {
            Ok(gateway) => gateway,
            Err(error) => return self.report(Rule::Settings, format!("gateway {index}: {error}")),
        };
        let process = &mut self.gateways.processes[index];
        process.gateway = Some(gateway);
        process.incarnation = incarnation;
        process.clock = ProcessClock::new(self.now, Nanos(0), self.settings.clock_rate(incarnation));
        process.disturbed_at = self.now;
        process.refuses_clients = false;
        process.is_frozen = false;
        self.trace(|| format!("gateway {index} starts"));
        self.schedule_turn(index, Nanos(0));
    }

    fn build_gateway(&self, index: usize, incarnation: u64) -> Result<Gateway, GatewayStartError> {
        let seed = splitmix64(self.settings.seed ^ incarnation.rotate_left(24)) | 1;
        let settings = process_settings(index, &self.discovery.seeds, &self.settings)
            .map_err(GatewayStartError::InvalidSettings)?;
        let listeners = self.gateways.processes[index].listeners;
        let gateway = Gateway::new(settings, listeners, seed)?;
        Ok(match self.settings.seeded_bug {
            Some(SeededBug::Gateway(bug)) => gateway.with_seeded_bug(bug),
            _ => gateway,
        })
    }

    /// Ends the process with all its connections, and schedules the start of another incarnation.
    pub(super) fn end_gateway(&mut self, index: usize) {
        let process = &mut self.gateways.processes[index];
        process.gateway = None;
        process.refuses_clients = true;
        process.turn_at = None;
        process.disturbed_at = self.now;
        process.inbox.clear();
        process.ports.clear();
        for link in std::mem::take(&mut process.links).into_values() {
            let side = self.closing_side(index, link);
            self.close_connection(link.connection, side, true);
        }
        self.trace(|| format!("gateway {index} ends"));
        let delay = self.rng.between(millis(100), millis(2000));
        self.schedule_gateway(delay, GatewayEvent::Start(index));
    }

    /// Returns the side that closes when the process of a gateway ends. For a connection of a gateway to itself,
    /// which was opened to the address of an earlier incarnation, this is the opener for both ends: another choice
    /// would change the order of events in the runs of recorded seeds.
    fn closing_side(&self, index: usize, link: GatewayLink) -> Side {
        let connection = self.gateways.connections.get(&link.connection);
        match connection.map(|connection| connection.opener.endpoint) {
            Some(Endpoint::Gateway { index: opener, .. }) if opener == index => Side::Opener,
            _ => link.side,
        }
    }

    pub(super) fn schedule_turn(&mut self, index: usize, delay: Nanos) {
        let due_at = self.now + delay;
        let process = &mut self.gateways.processes[index];
        if process.turn_at.is_none_or(|turn_at| due_at < turn_at) {
            process.turn_at = Some(due_at);
            let incarnation = process.incarnation;
            self.schedule_gateway(delay, GatewayEvent::Turn { gateway: index, incarnation });
        }
    }

    fn gateway_turn(&mut self, index: usize) {
        let seeds: Vec<SocketAddrV4> =
            self.discovery.seeds.iter().map(|seed| controller_addr(*seed)).collect();
        let process = &mut self.gateways.processes[index];
        process.turn_at = None;
        let local_time = process.clock.read(self.now);
        let Some(gateway) = process.gateway.as_mut().filter(|_| !process.is_frozen) else { return };
        gateway.step(local_time, process.inbox.drain(..), &mut process.ports);
        process.ports.unread_after_reset.clear();
        if gateway.take_settings_reload_request() {
            gateway.set_seeds(&seeds);
        }
        let has_shut_down = gateway.poll_shutdown(local_time, &mut process.ports);
        let delay = process.clock.simulated_span(gateway.next_wakeup() - local_time);
        self.flush_gateway(index);
        if has_shut_down {
            return self.end_gateway(index);
        }
        self.schedule_turn(index, delay.max(micros(1)).min(MAX_TURN_INTERVAL));
    }

    /// Executes the gateway's pending network operations and sends its output.
    pub(super) fn flush_gateway(&mut self, index: usize) {
        for action in std::mem::take(&mut self.gateways.processes[index].ports.actions) {
            match action {
                PortAction::Connect(connection, to) => self.gateway_connects(index, connection, to),
                PortAction::Close(connection) => self.gateway_closes(index, connection),
                PortAction::StopListening => self.gateways.processes[index].refuses_clients = true,
            }
        }
        for connection in std::mem::take(&mut self.gateways.processes[index].ports.pending_output) {
            self.flush_output(index, connection);
        }
    }

    fn gateway_connects(&mut self, index: usize, connection: ConnectionId, to: SocketAddrV4) {
        let incarnation = self.gateways.processes[index].incarnation;
        let id = self.open_connection(Endpoint::Gateway { index, incarnation, connection }, to);
        let link = GatewayLink { connection: id, side: Side::Opener };
        self.gateways.processes[index].links.insert(connection, link);
    }

    fn gateway_closes(&mut self, index: usize, connection: ConnectionId) {
        if let Some(link) = self.gateways.processes[index].links.remove(&connection) {
            self.close_connection(link.connection, link.side, false);
        }
    }

    pub(super) fn flush_output(&mut self, index: usize, id: ConnectionId) {
        let process = &mut self.gateways.processes[index];
        let Some(connection) = process.ports.connections.get_mut(&id).filter(|link| link.is_open) else {
            return;
        };
        let bytes = connection.output.data().to_vec();
        connection.output.consume(bytes.len());
        let is_closing = connection.is_closing;
        if let Some(link) = process.links.get(&id).copied().filter(|_| !bytes.is_empty()) {
            let bytes = self.without_relayed_configs(link, bytes);
            self.send_bytes(link.connection, link.side, bytes);
        }
        if is_closing {
            self.gateways.processes[index].ports.connections.remove(&id);
            self.gateway_closes(index, id);
        }
    }

    /// Queues a network event for the gateway's next turn, which begins at once or, for one event in ten, up to 10 ms
    /// later.
    pub(super) fn push_gateway_event(&mut self, index: usize, event: NetworkEvent) {
        self.gateways.processes[index].inbox.push(event);
        let delay = match self.rng.below(10) {
            0 => self.rng.between(Nanos(0), millis(10)),
            _ => Nanos(0),
        };
        self.schedule_turn(index, delay);
    }

    /// Returns whether a gateway is in contact, as defined by [`Simulation::is_in_contact`].
    pub(crate) fn is_gateway_in_contact(&self, index: usize) -> bool {
        self.is_in_contact(FIRST_GATEWAY + index, self.gateways.processes[index].disturbed_at)
    }
}
