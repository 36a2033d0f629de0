//! Writing of responses to clients.

use crate::buffer::Buffer;
use std::io::Write;

/// Interim response that asks a client to send the body of its request, or acknowledges that a request was received.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Field that a response with status 401 must have (RFC 9110, 15.5.2).
const CHALLENGE: &str = "WWW-Authenticate: Bearer\r\n";

/// Head of a response. One with status 401 asks for a bearer token.
pub struct ResponseHead<'a> {
    /// Status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'a str,
    /// Time after which the client may retry, in seconds.
    pub retry_after_s: Option<f64>,
    /// Whether the connection stays open after the response.
    pub keeps_connection: bool,
    /// Whether the request used HTTP/1.0, where the response has to announce that the connection stays open.
    pub is_http_1_0: bool,
}

impl ResponseHead<'_> {
    /// Writes the head, followed by the body.
    pub fn write(&self, out: &mut Buffer, body: &[u8]) {
        let connection = match (self.keeps_connection, self.is_http_1_0) {
            (false, _) => "Connection: close\r\n",
            (true, true) => "Connection: keep-alive\r\n",
            (true, false) => "",
        };
        let retry_after =
            self.retry_after_s.map(|wait| format!("Retry-After: {wait:.3}\r\n")).unwrap_or_default();
        let challenge = if self.status == 401 { CHALLENGE } else { "" };
        // Writing to a buffer never fails.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}{retry_after}{challenge}\r\n",
            self.status,
            reason_phrase(self.status),
            self.content_type,
            body.len()
        );
        out.push(body);
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}
