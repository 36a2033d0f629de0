//! Typed calls over HTTP/1.1 and JSON, for servers without sockets.
//!
//! A call and its answer are a pair of types ([`Endpoint`]); the server says how each pair is handled ([`Handler`]),
//! and a [`Dispatcher`] finds the endpoint of a request, parses the call and has it handled. An
//! [`HttpServerConnection`] reads requests from the bytes of one connection and writes the replies in their order.
//!
//! The package owns the format of replies and the order of calls on a connection. The controller serves nodes and
//! operators with it, and the simulator reads the controller's replies through it.

#![deny(missing_docs)]

mod connection;
mod dispatcher;
mod endpoint;
mod reply;
mod settings;

pub use connection::{HttpServerConnection, ReadOutcome, SeededBug};
pub use dispatcher::{DispatchOutcome, Dispatcher, Handler};
pub use endpoint::{Endpoint, MatchedRequest};
pub use fernknot_protocol::http::Request;
pub use reply::{Body, Reply};
pub use settings::HttpServerSettings;
