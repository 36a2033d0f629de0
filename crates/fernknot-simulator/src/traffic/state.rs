//! Clients, and connections at nodes.

use crate::checks::requests::RequestChecker;
use crate::checks::sent_request::RequestKind;
use crate::settings::Settings;
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// What happens in the traffic next.
#[derive(Clone, Debug)]
pub(crate) enum TrafficEvent {
    ClientTurn(usize),
    /// A client has waited too long, if it is still at this attempt.
    ClientTimeout {
        client: usize,
        attempt: u64,
    },
    /// A node's incarnation has run a request.
    Executed {
        node: usize,
        incarnation: String,
        connection: u64,
        request: Box<Message>,
    },
    /// A node's incarnation sends a response once more.
    DuplicateResponse {
        incarnation: String,
        node: usize,
        connection: u64,
        bytes: Vec<u8>,
    },
}

/// What a client wants, until it has it or gives up.
#[derive(Clone, Copy)]
pub(crate) struct ClientRequest {
    pub kind: RequestKind,
    pub attempts_left: usize,
}

/// One client, with at most one request at a time.
#[derive(Default)]
pub(crate) struct Client {
    pub connection: Option<u64>,
    pub is_connected: bool,
    /// Bytes that have arrived and make no whole response yet.
    pub input: Vec<u8>,
    pub request: Option<ClientRequest>,
    /// The gateway of its connection.
    pub gateway: usize,
    /// The number of the request that waits for a response, among all that were sent.
    pub sent_request: Option<usize>,
    /// The attempt whose time-out counts; none where the client rests.
    pub attempt: Option<u64>,
}

/// A connection at a node.
#[derive(Default)]
pub(crate) struct NodeConnection {
    /// Bytes that have arrived and make no whole request yet.
    pub input: Vec<u8>,
    pub queue: VecDeque<Message>,
    /// It works on a request.
    pub is_busy: bool,
}

/// All clients and nodes, and the checker of their requests.
pub(crate) struct Traffic {
    pub clients: Vec<Client>,
    pub node_connections: BTreeMap<u64, NodeConnection>,
    /// Until then nodes reject most requests.
    pub overloaded_until: Nanos,
    pub checker: RequestChecker,
}

impl Traffic {
    pub fn new(settings: &Settings) -> Traffic {
        Traffic {
            clients: (0..settings.clients).map(|_| Client::default()).collect(),
            node_connections: BTreeMap::new(),
            overloaded_until: Nanos(0),
            checker: RequestChecker::default(),
        }
    }
}
