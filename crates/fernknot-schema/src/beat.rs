//! What a node says of itself about every beat.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

use crate::walk::{ObjectReader, ValidationError, parse_object};

/// The body of a heartbeat. The node's id is in the path of the call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeHeartbeat {
    /// The service that the node belongs to.
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// The epoch of the node's software.
    pub software_epoch: String,
    /// How many requests it works on at once.
    pub capacity: u32,
    pub state: ReportedNodeState,
    /// How much longer it stays slow from its start, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Rises with every call of a node's life, so that a late call can be known.
    pub sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ReportedNodeState {
    Ready,
    Draining,
}

impl NodeHeartbeat {
    /// Reads the body of a beat. Unknown keys pass; only what nothing can be done without must be
    /// there, since a node whose beats are refused gets no work.
    ///
    /// # Errors
    ///
    /// Every fault of the body at once; the call wants a 4xx.
    pub fn parse(bytes: &[u8]) -> Result<NodeHeartbeat, Vec<ValidationError>> {
        let value = parse_object(bytes)?;
        let top = ObjectReader::root(&value);
        let mut faults = Vec::new();
        let f = &mut faults;
        for key in ["backend", "address", "state"] {
            top.require(f, key);
        }
        let state = match top.string(f, "state").as_deref() {
            Some("draining") => ReportedNodeState::Draining,
            Some("ready") | None => ReportedNodeState::Ready,
            Some(_) => {
                top.report(f, "state", "is neither `ready` nor `draining`");
                ReportedNodeState::Ready
            }
        };
        // A software epoch is a name, but a number names one as well.
        let epoch = match top.get("epoch").filter(|epoch| epoch.is_number()) {
            Some(number) => number.to_string(),
            None => top.string(f, "epoch").unwrap_or_default(),
        };
        let address = top.parsed(f, "address", "an IPv4 address with a port");
        let capacity = top.rounded_up(f, "capacity").unwrap_or(1);
        let beat = NodeHeartbeat {
            service: top.string(f, "backend").unwrap_or_default(),
            address: address.unwrap_or(SocketAddrV4::new([0, 0, 0, 0].into(), 0)),
            zone: top.string(f, "zone").unwrap_or_default(),
            software_epoch: epoch,
            capacity: u32::try_from(capacity).unwrap_or(u32::MAX),
            state,
            warm_up_left_ms: top.rounded_up(f, "warmup_left_ms").unwrap_or(0),
            sequence: top.rounded_up(f, "call_seq").unwrap_or(0),
        };
        if faults.is_empty() { Ok(beat) } else { Err(faults) }
    }
}
