//! Messages between routers as plain values, and their bytes by postcard.
//!
//! postcard writes no names: the order of fields and variants is the format.

use crate::identity::{Incarnation, RouterId};
use crate::status::{Status, VersionedStatus};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the message format. Messages of another one are rejected.
pub const MESSAGE_VERSION: u8 = 1;
/// The first byte of each datagram of this protocol. Datagrams about node load never begin with it: there it would be
/// a count of entries, of which so many do not fit into a datagram.
pub const DATAGRAM_PREFIX: u8 = 0xff;

/// About the bytes of one update, to estimate how many do not fit.
const BYTES_PER_UPDATE: usize = 16;

/// A datagram from one router to another: one protocol message and the updates piggybacked on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// [`MESSAGE_VERSION`] of the sender.
    pub version: u8,
    /// A hash of the sender's configured name.
    #[serde(with = "postcard::fixint::le")]
    pub name_hash: u32,
    /// When the sender's process started, by its own wall clock in milliseconds.
    pub started_ms: u64,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The protocol message.
    pub body: MessageBody,
    /// Statuses passed on.
    pub updates: Vec<Update>,
}

/// A protocol message of SWIM. A `number` is chosen by the router that probes and comes back with the acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A direct probe of the receiver.
    Ping {
        /// The sender's number of the probe.
        number: u32,
    },
    /// The receiver's direct probe arrived.
    Ack {
        /// The receiver's number of the probe.
        number: u32,
    },
    /// SWIM's ping-req: asks the receiver to probe a third router.
    PingRequest {
        /// The sender's number of the probe.
        number: u32,
        /// The router to probe.
        target: RouterId,
    },
    /// A probe of the receiver for another router.
    IndirectPing {
        /// The sender's number of the probe.
        number: u32,
        /// The router that asked for it.
        requester: RouterId,
    },
    /// The receiver's indirect probe arrived.
    IndirectAck {
        /// The receiver's number of the probe.
        number: u32,
        /// The router that asked for the probe.
        requester: RouterId,
        /// Whether the sender received anything from the requester lately.
        hears_requester: bool,
    },
    /// The probe that the receiver asked for was acknowledged.
    RelayedAck {
        /// The receiver's number of the probe.
        number: u32,
        /// Whether the probed router received anything from the receiver lately.
        hears_requester: bool,
    },
    /// The ping-req arrived, whatever becomes of the probe: Lifeguard's nack, sent at once.
    PingRequestAck {
        /// The receiver's number of the probe.
        number: u32,
    },
    /// Nothing but the updates.
    Gossip,
}

/// The status of one router, passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The router whose status it is.
    pub member: RouterId,
    /// The status, and the incarnation that it is about.
    pub state: VersionedStatus,
    /// The router that knows this first hand, where it is not the member itself.
    pub reporter: Option<RouterId>,
}

impl MessageBody {
    /// Whether another router waits for it under a time-out.
    pub(crate) fn is_acknowledgement(self) -> bool {
        match self {
            MessageBody::Ack { .. }
            | MessageBody::IndirectAck { .. }
            | MessageBody::RelayedAck { .. }
            | MessageBody::PingRequestAck { .. } => true,
            MessageBody::Ping { .. }
            | MessageBody::PingRequest { .. }
            | MessageBody::IndirectPing { .. }
            | MessageBody::Gossip => false,
        }
    }
}

impl Update {
    /// Whether only the member itself can claim that first.
    pub(crate) fn is_own_claim(&self) -> bool {
        matches!(self.state.status, Status::Alive | Status::Left)
    }
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// Its sender is not on the list of routers.
    #[error("the sender is not a configured router")]
    UnknownSender,
    /// It is of another version of the format.
    #[error("the message is of another format version than {MESSAGE_VERSION}")]
    UnsupportedVersion,
    /// It is not a message.
    #[error("the datagram is not a message")]
    Malformed,
}

impl Message {
    /// The bytes, at most `max_bytes` where that can be: updates are dropped from the end until the rest fits. Also
    /// how many updates were kept.
    pub fn encode(&mut self, max_bytes: usize) -> (Vec<u8>, usize) {
        loop {
            // Serialising plain values into a vector cannot fail.
            let bytes = postcard::to_extend(self, vec![DATAGRAM_PREFIX]).unwrap_or_default();
            if bytes.len() <= max_bytes || self.updates.is_empty() {
                return (bytes, self.updates.len());
            }
            let excess = (bytes.len() - max_bytes).div_ceil(BYTES_PER_UPDATE).max(1);
            self.updates.truncate(self.updates.len().saturating_sub(excess));
        }
    }

    /// The message of these bytes.
    ///
    /// # Errors
    ///
    /// [`RejectReason::UnsupportedVersion`] and [`RejectReason::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Message, RejectReason> {
        let payload = bytes.strip_prefix(&[DATAGRAM_PREFIX]).ok_or(RejectReason::Malformed)?;
        if payload.first().is_some_and(|version| *version != MESSAGE_VERSION) {
            return Err(RejectReason::UnsupportedVersion);
        }
        match postcard::take_from_bytes::<Message>(payload) {
            Ok((message, [])) => Ok(message),
            _ => Err(RejectReason::Malformed),
        }
    }
}
