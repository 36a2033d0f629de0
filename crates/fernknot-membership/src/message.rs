//! Messages between routers, and their encoding by postcard.
//!
//! postcard writes no names: the order of fields and variants defines the format.

use crate::identity::{Incarnation, RouterId};
use crate::status::{Status, VersionedStatus};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the message format. Messages of any other version are rejected.
pub const MESSAGE_VERSION: u8 = 1;
/// First byte of each datagram of this protocol. Datagrams in which routers report the load of nodes never begin with
/// it: their first byte is a number of entries, and that many entries do not fit into a datagram.
pub const DATAGRAM_PREFIX: u8 = 0xff;

/// Approximate size of one update in bytes, to estimate how many updates do not fit.
const BYTES_PER_UPDATE: usize = 16;

/// Datagram from one router to another: one protocol message and the updates piggybacked on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// [`MESSAGE_VERSION`] of the sender.
    pub version: u8,
    /// Hash of the sender's configured name.
    #[serde(with = "postcard::fixint::le")]
    pub name_hash: u32,
    /// Start of the sender's process, by its own wall clock in milliseconds.
    pub started_ms: u64,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Protocol message.
    pub body: MessageBody,
    /// Piggybacked status updates.
    pub updates: Vec<Update>,
}

/// SWIM protocol message. The probing router chooses `number`, and acknowledgements return it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Direct probe of the receiver.
    Ping {
        /// Probe number chosen by the sender.
        number: u32,
    },
    /// Acknowledgement of the receiver's direct probe.
    Ack {
        /// Probe number chosen by the receiver.
        number: u32,
    },
    /// SWIM's ping-req: asks the receiver, then called a relay, to probe a third router.
    PingRequest {
        /// Probe number chosen by the sender.
        number: u32,
        /// Router to probe.
        target: RouterId,
    },
    /// Probe of the receiver on behalf of another router.
    IndirectPing {
        /// Probe number chosen by the sender.
        number: u32,
        /// Router that requested the probe.
        requester: RouterId,
    },
    /// Acknowledgement of the receiver's indirect probe.
    IndirectAck {
        /// Probe number chosen by the receiver.
        number: u32,
        /// Router that requested the probe.
        requester: RouterId,
        /// Whether the sender received a message from the requester within the last two probe periods.
        hears_requester: bool,
    },
    /// Acknowledgement, forwarded by a relay, of the indirect probe that the receiver requested.
    RelayedAck {
        /// Probe number chosen by the receiver.
        number: u32,
        /// Whether the probed router received a message from the receiver within the two probe periods before the
        /// probe.
        hears_requester: bool,
    },
    /// Acknowledgement of the ping-req itself, sent at once and independent of the probe's result: Lifeguard's nack.
    PingRequestAck {
        /// Probe number chosen by the receiver.
        number: u32,
    },
    /// Carrier of updates without a protocol message.
    Gossip,
}

/// Status of one router, as disseminated by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Router whose status is reported.
    pub member: RouterId,
    /// Status, and the incarnation that it refers to.
    pub state: VersionedStatus,
    /// Router with first-hand knowledge of the status, if other than the member itself.
    pub reporter: Option<RouterId>,
}

impl MessageBody {
    /// Whether another router waits for the message with a time-out.
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
    /// Whether the status can originate only from the member itself.
    pub(crate) fn is_own_claim(&self) -> bool {
        matches!(self.state.status, Status::Alive | Status::Left)
    }
}

/// Reason for rejecting a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The sender is not on the list of routers.
    #[error("the sender is not a configured router")]
    UnknownSender,
    /// The message has another format version.
    #[error("the message has another format version than {MESSAGE_VERSION}")]
    UnsupportedVersion,
    /// The bytes do not decode to a message.
    #[error("the datagram is not a membership message")]
    Malformed,
}

impl Message {
    /// Encodes the message in at most `max_bytes` by dropping updates from the end. A message without updates may
    /// exceed the limit. Also returns the number of updates encoded.
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

    /// Decodes a message.
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
