//! Requests as a controller's HTTP connection reads them.

use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome, Request};
use fernknot_protocol::buffer::Buffer;

/// Limits far above what any request here needs.
const MAX_CONNECTIONS: usize = 100;
const MEMORY_MB: f64 = 256.0;
const MAX_BODY_BYTES: usize = 1 << 20;

/// The request with these lines and this body; none where it is no request.
pub(crate) fn parse_request(head: &str, body: &str) -> Option<Request> {
    let settings = HttpServerSettings::new(MAX_CONNECTIONS, MEMORY_MB, MAX_BODY_BYTES).ok()?;
    let (mut input, mut output) = (Buffer::default(), Buffer::default());
    input.push(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    match HttpServerConnection::default().read_request(&mut input, &mut output, &settings) {
        ReadOutcome::Request(request) => Some(request),
        _ => None,
    }
}
