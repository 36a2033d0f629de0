//! Gateways' processes, and connections of bytes.

use crate::ports::SimulatedPorts;
use crate::settings::Settings;
use crate::time::ProcessClock;
use crate::topology::{FIRST_GATEWAY, ZONES};
use fernknot::interface::Nanos;
use fernknot_gateway::{Gateway, ListenerIds};
use fernknot_net::{Buffer, ConnectionId, Event as NetworkEvent};
use fernknot_schema::RoutingConfig;
use std::collections::BTreeMap;

/// Who is at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Gateway {
        index: usize,
        incarnation: u64,
        connection: ConnectionId,
    },
    Controller {
        machine: usize,
        incarnation: u64,
    },
    Node(usize),
    Client(usize),
    /// Nobody listens at the address.
    Unreachable,
}

impl Endpoint {
    /// Where partitions find it; there are none at nodes and clients.
    pub fn position(self) -> Option<usize> {
        match self {
            Endpoint::Gateway { index, .. } => Some(FIRST_GATEWAY + index),
            Endpoint::Controller { machine, .. } => Some(machine),
            Endpoint::Node(_) | Endpoint::Client(_) | Endpoint::Unreachable => None,
        }
    }

    /// The number by which delays are sampled for it.
    pub fn zone(self) -> usize {
        match self {
            Endpoint::Gateway { index, .. }
            | Endpoint::Controller { machine: index, .. }
            | Endpoint::Node(index)
            | Endpoint::Client(index) => index % ZONES,
            Endpoint::Unreachable => 0,
        }
    }
}

/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The end that opened it.
    Opener,
    Acceptor,
}

impl Side {
    pub fn other(self) -> Side {
        match self {
            Side::Opener => Side::Acceptor,
            Side::Acceptor => Side::Opener,
        }
    }
}

/// One end of a connection.
pub(crate) struct ConnectionEnd {
    pub endpoint: Endpoint,
    /// When what was sent last arrives here.
    pub last_arrival: Nanos,
    /// It has closed the connection, or seen its end.
    pub is_closed: bool,
}

/// One connection: in order, and a reset or a partition loses what is on its way.
pub(crate) struct ByteConnection {
    pub opener: ConnectionEnd,
    pub acceptor: ConnectionEnd,
    /// Nothing passes any more.
    pub is_broken: bool,
    /// Bytes that a controller has received and not read.
    pub received: Buffer,
}

impl ByteConnection {
    pub fn new(opener: Endpoint, acceptor: Endpoint, now: Nanos) -> ByteConnection {
        let end = |endpoint| ConnectionEnd { endpoint, last_arrival: now, is_closed: false };
        ByteConnection {
            opener: end(opener),
            acceptor: end(acceptor),
            is_broken: false,
            received: Buffer::default(),
        }
    }

    pub fn end(&self, side: Side) -> &ConnectionEnd {
        match side {
            Side::Opener => &self.opener,
            Side::Acceptor => &self.acceptor,
        }
    }

    pub fn end_mut(&mut self, side: Side) -> &mut ConnectionEnd {
        match side {
            Side::Opener => &mut self.opener,
            Side::Acceptor => &mut self.acceptor,
        }
    }

    pub fn is_closed(&self) -> bool {
        self.opener.is_closed && self.acceptor.is_closed
    }

    /// Whether it links these two positions, in either direction.
    pub fn links(&self, from: usize, to: usize) -> bool {
        let ends = (self.opener.endpoint.position(), self.acceptor.endpoint.position());
        ends == (Some(from), Some(to)) || ends == (Some(to), Some(from))
    }
}

/// What happens to gateways and their connections next.
#[derive(Clone, Debug)]
pub(crate) enum GatewayEvent {
    Start(usize),
    Turn {
        gateway: usize,
        incarnation: u64,
    },
    /// The first packet of a connection arrives.
    Syn(u64),
    /// The opener learns that its connection is open.
    Opened(u64),
    Bytes {
        connection: u64,
        to: Side,
        bytes: Vec<u8>,
    },
    /// The end of a connection reaches one end of it.
    EndArrives {
        connection: u64,
        to: Side,
        is_reset: bool,
    },
    Thaw {
        gateway: usize,
        incarnation: u64,
    },
    InjectFault,
}

/// A gateway's end of a connection.
#[derive(Clone, Copy)]
pub(crate) struct GatewayLink {
    pub connection: u64,
    pub side: Side,
}

/// One gateway's process.
pub(crate) struct GatewayProcess {
    pub gateway: Option<Gateway>,
    /// The incarnation of the process that runs, or ran last; 0 before the first.
    pub incarnation: u64,
    pub clock: ProcessClock,
    /// No client can connect.
    pub refuses_clients: bool,
    pub is_frozen: bool,
    pub ports: SimulatedPorts,
    pub listeners: ListenerIds,
    /// Events for its next turn.
    pub inbox: Vec<NetworkEvent>,
    pub turn_at: Option<Nanos>,
    pub links: BTreeMap<ConnectionId, GatewayLink>,
    /// The last moment of anything that puts it out of touch.
    pub disturbed_at: Nanos,
}

impl GatewayProcess {
    fn new() -> GatewayProcess {
        let mut ports = SimulatedPorts::default();
        let listeners = ListenerIds { front: ports.new_id(), ready: ports.new_id(), inner: ports.new_id() };
        GatewayProcess {
            gateway: None,
            incarnation: 0,
            clock: ProcessClock::new(Nanos(0), Nanos(0), 1.0),
            refuses_clients: true,
            is_frozen: false,
            ports,
            listeners,
            inbox: Vec::new(),
            turn_at: None,
            links: BTreeMap::new(),
            disturbed_at: Nanos(0),
        }
    }
}

/// All gateways, and all connections of bytes.
pub(crate) struct Gateways {
    pub processes: Vec<GatewayProcess>,
    pub connections: BTreeMap<u64, ByteConnection>,
    /// The configuration that was sent last, for a seeded bug.
    pub previous_config: Option<RoutingConfig>,
}

impl Gateways {
    pub fn new(settings: &Settings) -> Gateways {
        let processes = (0..settings.gateways).map(|_| GatewayProcess::new()).collect();
        Gateways { processes, connections: BTreeMap::new(), previous_config: None }
    }

    pub fn mark_disturbed(&mut self, position: usize, now: Nanos) {
        let process = position.checked_sub(FIRST_GATEWAY).and_then(|index| self.processes.get_mut(index));
        if let Some(process) = process {
            process.disturbed_at = now;
        }
    }

    /// Connections of which this holds, in the order in which they were opened.
    pub fn connections_where(&self, holds: impl Fn(&ByteConnection) -> bool) -> Vec<u64> {
        let matching = self.connections.iter().filter(|(_, connection)| holds(connection));
        matching.map(|(id, _)| *id).collect()
    }
}
