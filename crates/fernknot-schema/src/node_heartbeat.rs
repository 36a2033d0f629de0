//! The heartbeat that a node sends to a controller.

use std::net::{Ipv4Addr, SocketAddrV4};

use bitcode::{Decode, Encode};

use crate::object_reader::{ErrorCollector, ObjectReader, parse_object};
use crate::validation_error::ValidationError;

/// Capacity of a node that gives none.
const DEFAULT_CAPACITY: u64 = 1;

/// The body of a heartbeat. The node's id is in the path of the call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeHeartbeat {
    /// The service that the node belongs to.
    pub service: String,
    /// Where the node accepts requests.
    pub address: SocketAddrV4,
    /// The zone (failure domain) of its machine.
    pub zone: String,
    /// The epoch of the node's software.
    pub software_epoch: String,
    /// How many requests it works on at once.
    pub capacity: u32,
    /// Whether it accepts new requests.
    pub state: ReportedNodeState,
    /// How much longer it is warming up, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Rises with every call of the node's incarnation, so that a late call is recognised.
    pub sequence: u64,
}

/// The state that a node reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReportedNodeState {
    /// It accepts new requests.
    Ready,
    /// It accepts no new requests and will end.
    Draining,
}

impl NodeHeartbeat {
    /// Parses the body of a heartbeat. Unknown keys are ignored, and only what is indispensable is required: a node
    /// whose heartbeats are rejected gets no requests.
    ///
    /// # Errors
    ///
    /// Every error of the body at once; the call is to be answered with a 4xx.
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

/// The epoch is a name, for which a number is accepted as well.
fn parse_software_epoch(root: &ObjectReader<'_>) -> String {
    match root.get("epoch").filter(|epoch| epoch.is_number()) {
        Some(number) => number.to_string(),
        None => root.string("epoch").unwrap_or_default(),
    }
}
