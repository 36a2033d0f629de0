//! Calls over HTTP with JSON. A call and its answer are a pair of types ([`Call`]); who serves them says how for
//! each pair ([`Serve`]), and one generic handler ([`Desk`]) finds the pair of a request, reads it, has it served
//! and writes the answer. No sockets: a [`Tap`] reads requests from the bytes of one connection.

mod call;
mod desk;
mod tap;

pub use call::{Body, Endpoint, MatchedRequest, Reply};
pub use desk::{DispatchOutcome, Dispatcher, Handler};
pub use fernknot_protocol::http::Request;
pub use tap::{HttpServerConnection, HttpServerSettings, ReadOutcome, SeededBug};
