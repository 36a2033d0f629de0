//! Parsing of requests by the controllers' HTTP server.

use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome, Request};
use fernknot_protocol::buffer::Buffer;

/// Limits that no request of the simulation reaches.
const MAX_CONNECTIONS: usize = 100;
const MEMORY_MB: f64 = 256.0;
const MAX_BODY_BYTES: usize = 1 << 20;

/// Parses a request from its head lines and its body; `None` if it is invalid.
pub(crate) fn parse_request(head: &str, body: &str) -> Option<Request> {
    let settings = HttpServerSettings::new(MAX_CONNECTIONS, MEMORY_MB, MAX_BODY_BYTES).ok()?;
    let (mut input, mut output) = (Buffer::default(), Buffer::default());
    input.push(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    match HttpServerConnection::default().read_request(&mut input, &mut output, &settings) {
        ReadOutcome::Request(request) => Some(request),
        _ => None,
    }
}
