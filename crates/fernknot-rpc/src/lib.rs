//! Messages between the system's own processes, and how they are framed.
//!
//! A message is encoded with `bitcode` behind its length. A connection carries one type of message each way; bytes
//! that can't be decoded end the connection, as there is no telling where the next message begins. The package owns
//! the message types, their limits and the datagrams of peer sampling; it has no socket and no clock. The hosts of
//! `fernknot-controller` and `fernknot-gateway` call it, and so do the operator's tools and the simulator.
//!
//! `bitcode` has no names: the order of variants and fields, and their types, are the format.

#![deny(missing_docs)]

mod framing;
mod messages;
mod shuffle;

pub use framing::{DecodeError, read_message, write_message};
pub use messages::{
    ControllerEndpoint, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
    MAX_ADVERTISED_CONTROLLERS, MAX_ITEMS_PER_MESSAGE, Subscription,
};
pub use shuffle::{ShuffleDatagram, ShuffleProtocol};
