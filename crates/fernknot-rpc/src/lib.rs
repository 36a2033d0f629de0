//! Messages between the system's own processes, and their framing.
//!
//! Terms: a subscriber is a gateway that has asked for updates; a relay is a gateway that forwards updates to others
//! of its zone; peer sampling is the exchange of samples of known processes between two processes. The control state,
//! on which the controllers agree, contains the routing configuration, and its revision grows with each change. A
//! view is the set of controllers that store it. An incarnation is one run of a process or a node, from start to end.
//! An internal address is the one at which other processes of the system reach a process, unlike its addresses for
//! callers.
//!
//! Each message is encoded with `bitcode` and preceded by its length. A connection carries one message type in each
//! direction. Bytes that cannot be decoded end the connection, because the start of the next message is then unknown.
//! The package owns the message types, their limits and the datagrams of peer sampling; it has no socket and no clock.
//! It is used by the hosts of `fernknot-controller` and `fernknot-gateway`, the operator's tools and the simulator.
//!
//! `bitcode` encodes no names: the wire format is defined by the order and the types of variants and fields.

#![deny(missing_docs)]

mod framing;
mod messages;
mod shuffle;

/// Bound on the types of the messages that are read.
pub use bitcode::DecodeOwned;
pub use framing::{DecodeError, MessageReader, read_message, write_message};
pub use messages::{
    ControllerEndpoint, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
    MAX_ADVERTISED_CONTROLLERS, MAX_ITEMS_PER_MESSAGE, Subscription,
};
pub use shuffle::{ShuffleDatagram, ShuffleProtocol};
