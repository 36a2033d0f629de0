//! State of gateway processes and of byte-stream connections.

use crate::ports::SimulatedPorts;
use crate::settings::Settings;
use crate::time::ProcessClock;
use crate::topology::{FIRST_GATEWAY, ZONES};
use fernknot::interface::Nanos;
use fernknot_gateway::{Gateway, ListenerIds};
use fernknot_net::{Buffer, ConnectionId, Event as NetworkEvent};
use fernknot_schema::RoutingConfig;
use std::collections::BTreeMap;

/// Process at one end of a connection.
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
    /// No process listens at the address.
    Unreachable,
}

impl Endpoint {
    /// Returns the position by which partitions identify the endpoint; `None` for nodes and clients, whose links are
    /// never partitioned.
    pub fn position(self) -> Option<usize> {
        match self {
            Endpoint::Gateway { index, .. } => Some(FIRST_GATEWAY + index),
            Endpoint::Controller { machine, .. } => Some(machine),
            Endpoint::Node(_) | Endpoint::Client(_) | Endpoint::Unreachable => None,
        }
    }

    /// Returns the index of the zone, for network delays.
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

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The side that opened the connection.
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

/// State of one side of a connection.
pub(crate) struct ConnectionEnd {
    pub endpoint: Endpoint,
    /// Time at which the last bytes sent to this side arrive, which may lie in the future. No later bytes arrive
    /// before.
    pub last_arrival: Nanos,
    /// Whether this side has closed the connection or seen its end.
    pub is_closed: bool,
}

/// A byte-stream connection. It delivers in order; a reset or a partition loses the bytes in flight.
pub(crate) struct ByteConnection {
    pub opener: ConnectionEnd,
    pub acceptor: ConnectionEnd,
    /// Whether the connection has stopped delivering.
    pub is_broken: bool,
    /// Bytes that have arrived at a controller and do not yet form a complete message.
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

    /// Returns whether the connection links two positions, in either direction.
    pub fn links(&self, from: usize, to: usize) -> bool {
        let ends = (self.opener.endpoint.position(), self.acceptor.endpoint.position());
        ends == (Some(from), Some(to)) || ends == (Some(to), Some(from))
    }
}

/// Scheduled event of gateways and their connections.
#[derive(Clone, Debug)]
pub(crate) enum GatewayEvent {
    Start(usize),
    Turn {
        gateway: usize,
        incarnation: u64,
    },
    /// The SYN packet of a connection arrives.
    Syn(u64),
    /// The opener is notified that its connection is open.
    Opened(u64),
    Bytes {
        connection: u64,
        to: Side,
        bytes: Vec<u8>,
    },
    /// The close or reset of a connection arrives at one side.
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

/// A gateway's side of a connection.
#[derive(Clone, Copy)]
pub(crate) struct GatewayLink {
    pub connection: u64,
    pub side: Side,
}

/// Process of a gateway, which restarts as another incarnation after its end, and its simulated connections.
pub(crate) struct GatewayProcess {
    pub gateway: Option<Gateway>,
    /// Incarnation of the current or most recent process; 0 before the first start.
    pub incarnation: u64,
    pub clock: ProcessClock,
    /// Whether connections of clients are refused.
    pub refuses_clients: bool,
    pub is_frozen: bool,
    pub ports: SimulatedPorts,
    pub listeners: ListenerIds,
    /// Network events for the next turn.
    pub inbox: Vec<NetworkEvent>,
    pub turn_at: Option<Nanos>,
    pub links: BTreeMap<ConnectionId, GatewayLink>,
    /// Time of the last event that may interrupt the gateway's contact with the controllers, such as a partition.
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

/// Gateways and all byte-stream connections.
pub(crate) struct Gateways {
    pub processes: Vec<GatewayProcess>,
    pub connections: BTreeMap<u64, ByteConnection>,
    /// Configuration that controllers last sent to any gateway, for the seeded bug `ReplaysOldConfig`.
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

    /// Returns the matching connections in the order in which they were opened.
    pub fn connections_where(&self, predicate: impl Fn(&ByteConnection) -> bool) -> Vec<u64> {
        let matching = self.connections.iter().filter(|(_, connection)| predicate(connection));
        matching.map(|(id, _)| *id).collect()
    }
}
