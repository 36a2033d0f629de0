//! Heartbeats that nodes send to controllers. A node is a process that answers requests of one service; a controller
//! keeps the list of nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use bitcode::{Decode, Encode};

use crate::object_reader::{ErrorCollector, ObjectReader, parse_object};
use crate::validation_error::ValidationError;

/// Capacity of a node whose heartbeat has none.
const DEFAULT_CAPACITY: u64 = 1;

/// Body of a heartbeat. The node's id is in the path of the HTTP request that sends it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeHeartbeat {
    /// Name of the service in the routing configuration whose requests the node answers.
    pub service: String,
    /// Address at which the node accepts requests.
    pub address: SocketAddrV4,
    /// Zone (failure domain) of the node's machine; empty if the heartbeat has none.
    pub zone: String,
    /// Version of the node's software, as the node names it (`epoch`); empty if the heartbeat has none. It does not
    /// affect routing.
    pub software_epoch: String,
    /// Number of requests that the node executes at the same time; 1 if the heartbeat has none.
    pub capacity: u32,
    /// State that the node reports of itself.
    pub state: ReportedNodeState,
    /// Remaining time, in milliseconds, in which the node does not have its full capacity yet; 0 if the heartbeat has
    /// none.
    pub warm_up_left_ms: u64,
    /// Number that increases with every heartbeat until the node restarts, to detect heartbeats that arrive out of
    /// order; 0 if the heartbeat has none.
    pub sequence: u64,
}

/// State that a node reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReportedNodeState {
    /// The node accepts new requests.
    Ready,
    /// The node accepts no new requests and will stop.
    Draining,
}

impl NodeHeartbeat {
    /// Parses the body of a heartbeat. Unknown keys are ignored, and few keys are required, since a node whose
    /// heartbeats are rejected gets no requests.
    ///
    /// # Errors
    ///
    /// Returns all errors of the body; the caller responds with a 4xx status.
    pub fn parse(bytes: &[u8]) -> Result<NodeHeartbeat, Vec<ValidationError>> {
        let value = parse_object(bytes)?;
        let errors = ErrorCollector::default();
        let root = ObjectReader::root(&value, &errors);
        root.require(&["backend", "address", "state"]);
        let state = parse_state(&root);
        let software_epoch = parse_software_epoch(&root);
        let address = root.parsed("address", "an IPv4 address with a port");
        let capacity = root.rounded_up("capacity").unwrap_or(DEFAULT_CAPACITY);
        let heartbeat = NodeHeartbeat {
            service: root.string("backend").unwrap_or_default(),
            address: address.unwrap_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
            zone: root.string("zone").unwrap_or_default(),
            software_epoch,
            capacity: u32::try_from(capacity).unwrap_or(u32::MAX),
            state,
            warm_up_left_ms: root.rounded_up("warmup_left_ms").unwrap_or(0),
            sequence: root.rounded_up("call_seq").unwrap_or(0),
        };
        errors.into_result(heartbeat)
    }
}

fn parse_state(root: &ObjectReader<'_>) -> ReportedNodeState {
    match root.string("state").as_deref() {
        Some("draining") => ReportedNodeState::Draining,
        Some("ready") | None => ReportedNodeState::Ready,
        Some(_) => {
            root.report("state", "is neither `ready` nor `draining`");
            ReportedNodeState::Ready
        }
    }
}

/// Parses the version of the node's software, which is a string or a number.
fn parse_software_epoch(root: &ObjectReader<'_>) -> String {
    match root.get("epoch").filter(|epoch| epoch.is_number()) {
        Some(number) => number.to_string(),
        None => root.string("epoch").unwrap_or_default(),
    }
}
