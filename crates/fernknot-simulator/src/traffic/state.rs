//! State of clients and of connections at nodes.

use crate::checks::requests::RequestChecker;
use crate::checks::sent_request::RequestKind;
use crate::settings::Settings;
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// Scheduled event of clients and nodes.
#[derive(Clone, Debug)]
pub(crate) enum TrafficEvent {
    ClientTurn(usize),
    /// Fails an attempt of a client, if it is still the current one.
    ClientTimeout {
        client: usize,
        attempt: u64,
    },
    /// Completes the execution of a request at a node.
    Executed {
        node: usize,
        incarnation: String,
        connection: u64,
        request: Box<Message>,
    },
    /// Sends a response a second time.
    DuplicateResponse {
        incarnation: String,
        node: usize,
        connection: u64,
        bytes: Vec<u8>,
    },
}

/// Request of a client with its remaining attempts.
#[derive(Clone, Copy)]
pub(crate) struct ClientRequest {
    pub kind: RequestKind,
    pub attempts_left: usize,
}

/// A client with at most one request at a time.
#[derive(Default)]
pub(crate) struct Client {
    pub connection: Option<u64>,
    pub is_connected: bool,
    /// Received bytes of an incomplete response.
    pub input: Vec<u8>,
    pub request: Option<ClientRequest>,
    /// Gateway to which all requests go, on routes that come and go; `None` for requests to any gateway.
    pub only_gateway: Option<usize>,
    /// Index of the gateway to which the current or last connection leads.
    pub gateway: usize,
    /// Index in `RequestChecker::requests` of the request that is waiting for a response.
    pub sent_request: Option<usize>,
    /// Current attempt; `None` while the client pauses between attempts.
    pub attempt: Option<u64>,
}

/// A connection accepted by a node.
#[derive(Default)]
pub(crate) struct NodeConnection {
    /// Received bytes of an incomplete request.
    pub input: Vec<u8>,
    pub queue: VecDeque<Message>,
    /// Whether a request is in progress.
    pub is_busy: bool,
}

/// Clients, the nodes' connections, and the checker of their requests.
pub(crate) struct Traffic {
    pub clients: Vec<Client>,
    pub node_connections: BTreeMap<u64, NodeConnection>,
    /// Time until which nodes reject most requests.
    pub overloaded_until: Nanos,
    pub checker: RequestChecker,
}

/// Creates the clients, and with changes in series one more for each gateway, which observes its configuration.
fn clients(settings: &Settings) -> Vec<Client> {
    let observed = if settings.changes_in_series { settings.gateways } else { 0 };
    let observers = (0..observed).map(|gateway| Client { only_gateway: Some(gateway), ..Client::default() });
    (0..settings.clients).map(|_| Client::default()).chain(observers).collect()
}

impl Traffic {
    pub fn new(settings: &Settings) -> Traffic {
        Traffic {
            clients: clients(settings),
            node_connections: BTreeMap::new(),
            overloaded_until: Nanos(0),
            checker: RequestChecker::default(),
        }
    }
}
