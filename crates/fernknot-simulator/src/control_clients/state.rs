//! State of operators and nodes, and their pending requests.

use crate::rng::Rng;
use crate::settings::Settings;
use fernknot::interface::Nanos;
use fernknot_http_api::Request;
use std::collections::BTreeMap;

const OPERATOR_COUNT: u64 = 2;

/// Purpose of a request. The numbers are the index of a change in `Observations::changes`, or of a node in
/// `ControlClients::nodes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Change of the configuration, retried until it has a definitive response or is abandoned.
    Replace(usize),
    /// Repetition of an acknowledged change, which must succeed again.
    Resend(usize),
    /// Read of the newest configuration, for an operator or for the checkers.
    Read {
        operator: Option<usize>,
    },
    Heartbeat(usize),
    Drain(usize),
    Deregister(usize),
}

/// A request, which may need several attempts.
pub(crate) struct ControlRequest {
    pub purpose: Purpose,
    pub request: Request,
    /// Machine to which all attempts go; `None` if any controller may be called.
    pub only_machine: Option<usize>,
    pub started_at: Nanos,
    /// Delay of the next attempt after a failure.
    pub backoff: Nanos,
    /// Number of attempts that were rejected.
    pub rejections: usize,
    pub last_machine: Option<usize>,
    /// Time after which a failed attempt is not retried; `None` if attempts are retried without limit.
    pub give_up_at: Option<Nanos>,
}

/// An attempt of a request at one machine.
pub(crate) struct Attempt {
    pub request_id: u64,
    pub machine: usize,
    /// Incarnation of the process that received the attempt; 0 before it arrives.
    pub incarnation: u64,
    /// Number of the attempt in the run's single sequence of events; also its id.
    pub invoked_at: u64,
    pub is_answered: bool,
}

impl Attempt {
    /// Returns whether this incarnation has received the attempt and has not answered it.
    pub fn is_pending_at(&self, machine: usize, incarnation: u64) -> bool {
        self.machine == machine && self.incarnation == incarnation && !self.is_answered
    }
}

/// Response of a controller as read by a client.
#[derive(Clone, Debug)]
pub(crate) struct ControlResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

pub(crate) struct Operator {
    pub rng: Rng,
    /// Newest epoch known from the operator's own calls; 0 for none.
    pub newest_epoch: u64,
    /// Whether the operator's next operation is a read.
    pub reads_next: bool,
    pub in_change_storm: bool,
}

/// State of a node as a client of the control plane.
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
    /// The drain has been acknowledged; the node deregisters when the phase ends.
    Leaving,
    Stopped,
}

/// Scheduled event of operators and nodes.
#[derive(Clone, Debug)]
pub(crate) enum ControlClientEvent {
    AttemptArrives(u64),
    /// Ends an attempt with a response, or without one if the connection ended.
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
    /// Continues a flood of requests at a machine for the duration `remaining`.
    Flood {
        machine: usize,
        remaining: Nanos,
    },
}

/// Operators and nodes with their requests.
pub(crate) struct ControlClients {
    pub requests: BTreeMap<u64, ControlRequest>,
    pub attempts: BTreeMap<u64, Attempt>,
    pub operators: Vec<Operator>,
    pub nodes: Vec<Node>,
    /// Start of the current period in which the core is stable, no link is partitioned and no responses are lost;
    /// `None` outside such a period. The acknowledgement deadline counts from there at the earliest.
    pub undisturbed_since: Option<Nanos>,
    /// Whether the run is in its final phase, in which operators start no operations of their own and no fault begins.
    pub in_final_phase: bool,
}

/// Returns the id of a node's incarnation.
pub(crate) fn node_id(incarnation: u64) -> String {
    format!("i-{incarnation}")
}

impl ControlClients {
    pub fn new(settings: &Settings) -> ControlClients {
        let operators = (0..OPERATOR_COUNT).map(|operator| Operator {
            rng: Rng::new(settings.seed ^ (0x0be0 + operator) << 40),
            newest_epoch: 0,
            reads_next: false,
            in_change_storm: false,
        });
        let nodes = (0..settings.nodes).map(|_| Node {
            incarnation: 0,
            call_sequence: 0,
            phase: NodePhase::Stopped,
            phase_ends_at: Nanos(0),
        });
        ControlClients {
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            operators: operators.collect(),
            nodes: nodes.collect(),
            undisturbed_since: None,
            in_final_phase: false,
        }
    }

    /// Returns the request of a pending attempt.
    pub fn request_of(&self, attempt: u64) -> Option<&Request> {
        let attempt = self.attempts.get(&attempt)?;
        Some(&self.requests.get(&attempt.request_id)?.request)
    }

    /// Returns the id of a node's current incarnation; `None` if the node is stopped.
    pub fn node_incarnation(&self, node: usize) -> Option<String> {
        let node = self.nodes.get(node).filter(|node| node.phase != NodePhase::Stopped)?;
        Some(node_id(node.incarnation))
    }

    /// Returns the indices of changes with a pending request.
    pub fn pending_changes(&self) -> Vec<usize> {
        let changes = self.requests.values().filter_map(|request| match request.purpose {
            Purpose::Replace(change) => Some(change),
            _ => None,
        });
        changes.collect()
    }

    /// Returns the newest epoch known to any operator; 0 for none.
    pub fn newest_known_epoch(&self) -> u64 {
        self.operators.iter().map(|operator| operator.newest_epoch).max().unwrap_or(0)
    }

    /// Returns the pending request that was begun last.
    pub fn last_request(&mut self) -> Option<&mut ControlRequest> {
        self.requests.values_mut().last()
    }
}
