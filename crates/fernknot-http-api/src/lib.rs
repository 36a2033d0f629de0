//! Typed calls over HTTP/1.1 and JSON, for servers without sockets: the program around a server passes in the
//! received bytes and sends the written ones.
//!
//! A call and its answer are a pair of types ([`Endpoint`]). The server implements a [`Handler`] for each pair, and a
//! [`Dispatcher`] finds the endpoint of a request, parses the call and passes it to the handler. An
//! [`HttpServerConnection`] reads requests from the bytes of one connection and writes the replies in the order of the
//! requests.
//!
//! The package owns the format of replies and the order of calls on a connection. The controller uses it to serve nodes
//! and operators, and the simulator uses it to read the controller's replies.

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
