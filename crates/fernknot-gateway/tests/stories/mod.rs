//! Stories of one gateway, step by step: what is told to it, and what it says, at the level of bytes.

use crate::stage::{REGISTRAR, facts};
use fernknot::interface::Nanos;
use fernknot_gateway::{Gateway, ListenerIds};
use fernknot_net::{ConnectionId, Event, NetError};
use fernknot_ownership::Assignment;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::{ControllerEndpoint, ControllerToGateway, write_message};
use fernknot_schema::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass};
use fernknot_simulator::ports::{PortAction, SimulatedPorts};

mod bodies;
mod names;
mod offers;
mod resets;
mod resting;

const NODE: &str = "10.128.0.1:8080";
/// A turn of the host's loop at the latest.
const TURN: Nanos = Nanos(10_000_000);
const PULSE: Nanos = Nanos(100_000_000);

pub struct Story {
    now: Nanos,
    gateway: Gateway,
    ports: SimulatedPorts,
    doors: ListenerIds,
    controller: ConnectionId,
    /// Connections to the node that were begun, oldest first.
    lines: Vec<ConnectionId>,
    closed: Vec<ConnectionId>,
    order: u64,
}

/// A version with one service of one node, to which requests under `/m/` go once at most.
pub fn plan(limits: ClientLimits) -> RoutingConfig {
    let route = Route {
        name: "m".into(),
        authority: "h.example".into(),
        path_prefix: "/m/".into(),
        traffic_class: TrafficClass::Mutating,
        deadline_ms: 900,
        target_ms: 150,
        rank: 0,
        target: RouteTarget::Service("lone".into()),
        max_attempts: 1,
    };
    let service = Service {
        name: "lone".into(),
        probe_path: "/health".into(),
        max_connections: 60,
        protocol: "h1".into(),
        tls: false,
    };
    RoutingConfig { epoch: 0, routes: vec![route], services: vec![service], limits }
}

impl Story {
    /// A gateway with so much memory that holds this version and knows the node.
    pub fn begin(memory_mb: u64, plan: RoutingConfig) -> Story {
        let mut ports = SimulatedPorts::default();
        let doors = ListenerIds { front: ports.new_id(), ready: ports.new_id(), inner: ports.new_id() };
        let gateway = Gateway::new(facts(memory_mb), doors, 7).unwrap();
        let (lines, closed) = (Vec::new(), Vec::new());
        let controller = ConnectionId(0);
        let mut story = Story { now: Nanos(0), gateway, ports, doors, controller, lines, closed, order: 0 };
        story.turn(Vec::new());
        story.tells(&ControllerToGateway::Assignment(Assignment::default()));
        story.tells(&ControllerToGateway::NodeUpdates(vec![node("lone", NodeState::Ready)]));
        story.takes(plan);
        story.tells(&ControllerToGateway::SnapshotComplete);
        story.pulses();
        story
    }

    /// The controller is well, and says so.
    pub fn pulses(&mut self) {
        let addr = REGISTRAR.parse().unwrap();
        let controllers = vec![ControllerEndpoint { addr, zone: "north".into() }];
        let order = self.order;
        self.tells(&ControllerToGateway::Heartbeat {
            sender: 1,
            revision: order,
            holds_lease: true,
            hops: 0,
            fencing_token: 0,
            controllers: controllers,
        });
    }

    /// Time goes by under pulses.
    pub fn waits_well(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.now < end {
            self.waits(PULSE);
            self.pulses();
        }
    }

    /// The stream of the controller breaks, and it tells anew all that it knows of nodes.
    pub fn hears_anew(&mut self, nodes: Vec<NodeRecord>) {
        let berth = self.controller;
        self.ports.connections.remove(&berth);
        let (peer, why) = (REGISTRAR.parse().unwrap(), std::io::ErrorKind::ConnectionReset.into());
        let why = NetError { step: "read from", peer, source: why };
        self.turn(vec![Event::Closed { connection: berth, was_open: true, error: why }]);
        while self.controller == berth {
            self.waits(TURN);
        }
        self.tells(&ControllerToGateway::NodeUpdates(nodes));
        self.tells(&ControllerToGateway::SnapshotComplete);
        self.pulses();
    }

    /// The controller says this.
    pub fn tells(&mut self, word: &ControllerToGateway) {
        write_message(&mut self.ports.connections.get_mut(&self.controller).unwrap().input, word);
        let berth = self.controller;
        self.turn(vec![Event::Received { connection: berth }]);
    }

    /// The next version.
    pub fn takes(&mut self, plan: RoutingConfig) {
        self.order += 1;
        self.tells(&ControllerToGateway::Config {
            revision: self.order,
            config: RoutingConfig { epoch: self.order, ..plan },
        });
    }

    /// A turn of the loop with this news.
    pub fn turn(&mut self, events: Vec<Event>) {
        self.gateway.step(self.now, events, &mut self.ports);
        for did in std::mem::take(&mut self.ports.actions) {
            match did {
                PortAction::Connect(berth, to) if to == REGISTRAR.parse().unwrap() => {
                    self.controller = berth;
                    self.ports.connections.get_mut(&berth).unwrap().is_open = true;
                }
                PortAction::Connect(berth, _) => self.lines.push(berth),
                PortAction::Close(berth) => self.closed.push(berth),
                PortAction::StopListening => {}
            }
        }
    }

    /// Time goes by, and nothing happens.
    pub fn waits(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + TURN).min(end);
            self.turn(Vec::new());
        }
    }

    /// A client connects.
    pub fn client(&mut self) -> ConnectionId {
        let berth = self.ports.new_id();
        self.ports.add_connection(berth, true);
        let peer = "10.9.0.1:999".parse().unwrap();
        self.turn(vec![Event::Accepted { connection: berth, listener: self.doors.front, peer }]);
        berth
    }

    /// The platform connects, and sends this.
    pub fn asks_ready(&mut self, text: &str) -> ConnectionId {
        let berth = self.ports.new_id();
        self.ports.add_connection(berth, true);
        let peer = "10.9.0.1:999".parse().unwrap();
        self.turn(vec![Event::Accepted { connection: berth, listener: self.doors.ready, peer }]);
        self.comes(berth, text);
        berth
    }

    /// Bytes come on a connection.
    pub fn comes(&mut self, berth: ConnectionId, text: &str) {
        self.ports.connections.get_mut(&berth).unwrap().input.push(text.as_bytes());
        self.turn(vec![Event::Received { connection: berth }]);
    }

    /// Bytes and a reset come on a connection, and both are told in one turn.
    pub fn comes_and_resets(&mut self, berth: ConnectionId, text: &str) {
        let mut rest = self.ports.connections.remove(&berth).unwrap().input;
        rest.push(text.as_bytes());
        self.ports.unread_after_reset.insert(berth, rest);
        let (peer, why) = (NODE.parse().unwrap(), std::io::ErrorKind::ConnectionReset.into());
        let why = NetError { step: "read from", peer, source: why };
        self.turn(vec![
            Event::Received { connection: berth },
            Event::Closed { connection: berth, was_open: true, error: why },
        ]);
        self.ports.unread_after_reset.clear();
    }

    /// What the gateway has written on a connection since the last call.
    pub fn got(&mut self, berth: ConnectionId) -> String {
        let Some(link) = self.ports.connections.get_mut(&berth) else { return String::new() };
        let text = String::from_utf8_lossy(link.output.data()).into_owned();
        link.output.consume(text.len());
        text
    }

    /// The connection to the node that was begun last comes up; what goes out on it.
    pub fn line_opens(&mut self) -> (ConnectionId, String) {
        let berth = *self.lines.last().expect("no connection was begun");
        self.ports.connections.get_mut(&berth).unwrap().is_open = true;
        self.turn(vec![Event::Connected { connection: berth }]);
        (berth, self.got(berth))
    }

    /// Whether the gateway has ended a connection, or does so once all is written.
    pub fn is_closed(&self, berth: ConnectionId) -> bool {
        self.ports.connections.get(&berth).is_none_or(|link| link.is_closing)
    }
}

/// The one node, as it is told.
pub fn node(service: &str, state: NodeState) -> NodeRecord {
    NodeRecord {
        id: format!("i-{service}"),
        service: service.into(),
        addr: NODE.parse().unwrap(),
        zone: "north".into(),
        state,
        capacity: 8,
        warm_up_left_ms: 0,
        sequence: 1 + u64::from(state != NodeState::Ready),
    }
}

/// A request that may run once at most, with what its client will wait.
pub fn request(id: &str, deadline_ms: u64) -> String {
    format!("GET /m/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n")
}

/// A node's whole answer.
pub fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nAnswer-Seal: s-{id}\r\nContent-Length: 2\r\n\r\nok")
}
