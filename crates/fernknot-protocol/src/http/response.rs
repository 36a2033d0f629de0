//! Responses to clients.

use crate::buffer::Buffer;
use std::io::Write;

/// The interim response that lets a client send its body, or that tells it only that its request has been heard.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A response's head, and whether the connection is kept.
pub struct ResponseHead<'a> {
    /// The status code.
    pub status: u16,
    /// The content type.
    pub content_type: &'a str,
    /// When to retry, in seconds.
    pub retry_after_s: Option<f64>,
    /// The connection is kept after the response.
    pub keeps_connection: bool,
    /// The request was of HTTP/1.0, so that a kept connection must be announced.
    pub is_http_1_0: bool,
}

impl ResponseHead<'_> {
    /// Writes the response with this body.
    pub fn write(&self, out: &mut Buffer, body: &[u8]) {
        let connection = match (self.keeps_connection, self.is_http_1_0) {
            (false, _) => "Connection: close\r\n",
            (true, true) => "Connection: keep-alive\r\n",
            (true, false) => "",
        };
        let retry_after =
            self.retry_after_s.map(|wait| format!("Retry-After: {wait:.3}\r\n")).unwrap_or_default();
        // Writing to a buffer does not fail.
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{connection}{retry_after}\r\n",
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
