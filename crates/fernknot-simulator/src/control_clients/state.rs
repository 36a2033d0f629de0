//! What operators and nodes have under way.

use crate::rng::Rng;
use crate::settings::Settings;
use fernknot::interface::Nanos;
use fernknot_http_api::Request;
use std::collections::BTreeMap;

const OPERATORS: u64 = 2;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A change of the configuration, by its number, until it has a clear response.
    Replace(usize),
    /// An acknowledged change once more.
    Resend(usize),
    /// The newest configuration, for an operator or for the checkers.
    Read {
        operator: Option<usize>,
    },
    Heartbeat(usize),
    Drain(usize),
    Deregister(usize),
}

/// One request with all its attempts.
pub(crate) struct ControlRequest {
    pub purpose: Purpose,
    pub request: Request,
    /// The only machine that is asked, if it is one.
    pub only_machine: Option<usize>,
    pub started_at: Nanos,
    /// How long the next attempt waits after a failure.
    pub backoff: Nanos,
    /// Rejections that may not be final.
    pub rejections: usize,
    pub last_machine: Option<usize>,
    /// The operator gives the request up then.
    pub give_up_at: Option<Nanos>,
}

/// One attempt of a request at one machine.
pub(crate) struct Attempt {
    pub request_id: u64,
    pub machine: usize,
    /// The incarnation of the process that has it; 0 before it arrives.
    pub incarnation: u64,
    /// Its place in the one sequence of all events.
    pub invoked_at: u64,
    pub is_answered: bool,
}

impl Attempt {
    /// Whether this incarnation has the attempt and has not answered it.
    pub fn is_pending_at(&self, machine: usize, incarnation: u64) -> bool {
        self.machine == machine && self.incarnation == incarnation && !self.is_answered
    }
}

/// A response as a client reads it.
#[derive(Clone, Debug)]
pub(crate) struct ControlResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

pub(crate) struct Operator {
    pub rng: Rng,
    /// The newest version by its own calls; 0 for none.
    pub newest_epoch: u64,
    /// It reads before it does anything else.
    pub reads_next: bool,
    pub is_hurrying: bool,
}

/// A node, as the control plane knows it.
pub(crate) struct Node {
    pub incarnation: u64,
    pub call_sequence: u64,
    pub phase: NodePhase,
    pub phase_ends_at: Nanos,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodePhase {
    Ready,
    Draining,
    /// Its drain has been acknowledged; it deregisters soon.
    Leaving,
    Out,
}

/// What operators and nodes do next.
#[derive(Clone, Debug)]
pub(crate) enum ControlClientEvent {
    AttemptArrives(u64),
    /// A response, or none as the connection ended.
    AttemptEnded {
        attempt: u64,
        response: Option<ControlResponse>,
    },
    AttemptTimeout(u64),
    Retry {
        request: u64,
    },
    OperatorTurn(usize),
    NodeTurn(usize),
    CheckDeadlines,
    /// One of many reads at a machine, for so long.
    Flood {
        machine: usize,
        remaining: Nanos,
    },
}

/// All operators and nodes, and their requests.
pub(crate) struct ControlClients {
    pub requests: BTreeMap<u64, ControlRequest>,
    pub attempts: BTreeMap<u64, Attempt>,
    pub operators: Vec<Operator>,
    pub nodes: Vec<Node>,
    /// Since when nothing has disturbed the system.
    pub calm_since: Option<Nanos>,
    /// Operators begin nothing more of their own accord.
    pub is_closing: bool,
}

/// The id of a node's incarnation.
pub(crate) fn node_id(incarnation: u64) -> String {
    format!("i-{incarnation}")
}

impl ControlClients {
    pub fn new(settings: &Settings) -> ControlClients {
        let operators = (0..OPERATORS).map(|operator| Operator {
            rng: Rng::new(settings.seed ^ (0x0be0 + operator) << 40),
            newest_epoch: 0,
            reads_next: false,
            is_hurrying: false,
        });
        let nodes = (0..settings.nodes).map(|_| Node {
            incarnation: 0,
            call_sequence: 0,
            phase: NodePhase::Out,
            phase_ends_at: Nanos(0),
        });
        ControlClients {
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            operators: operators.collect(),
            nodes: nodes.collect(),
            calm_since: None,
            is_closing: false,
        }
    }

    /// What the attempt with this number asks, while it is under way.
    pub fn request_of(&self, attempt: u64) -> Option<&Request> {
        let attempt = self.attempts.get(&attempt)?;
        Some(&self.requests.get(&attempt.request_id)?.request)
    }

    /// The id of the incarnation that a node has now, if it has one that serves.
    pub fn node_incarnation(&self, node: usize) -> Option<String> {
        let node = self.nodes.get(node).filter(|node| node.phase != NodePhase::Out)?;
        Some(node_id(node.incarnation))
    }

    /// Changes that have no clear response yet.
    pub fn pending_changes(&self) -> Vec<usize> {
        let changes = self.requests.values().filter_map(|request| match request.purpose {
            Purpose::Replace(change) => Some(change),
            _ => None,
        });
        changes.collect()
    }

    /// The newest version that any operator knows of; 0 for none.
    pub fn newest_known_epoch(&self) -> u64 {
        self.operators.iter().map(|operator| operator.newest_epoch).max().unwrap_or(0)
    }

    /// The request that was begun last, of those under way.
    pub fn last_request(&mut self) -> Option<&mut ControlRequest> {
        self.requests.values_mut().last()
    }
}
