//! Classification of nodes' responses, and serialisation of responses to clients.

use crate::headers;
use fernknot_net::Buffer;
use fernknot_protocol::http::Response;
use std::io::Write;

/// Class of a node's response, with regard to the attempt that its connection carries.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A sealed, complete answer.
    Part,
    /// The node did not execute the request.
    NotExecuted {
        /// Whether another incarnation than the addressed one has answered.
        wrong_node: bool,
    },
    /// The node may have executed the request, but the response is no valid answer.
    Failure,
    /// A response to another attempt, or to none.
    Mismatched,
}

/// Classifies a response by its head. A response counts as an answer only if its `Attempt-Id` matches, its status is a
/// success, it has a seal, its end is certain, and its body is not encoded.
pub fn classify_response(response: &Response, attempt_id: &str) -> ResponseClass {
    if response.header(headers::ATTEMPT_ID) != Some(attempt_id) {
        return ResponseClass::Mismatched;
    }
    let is_sealed = response.header(headers::ANSWER_SEAL).is_some_and(|seal| !seal.is_empty());
    let is_encoded = response.header("content-encoding").is_some();
    match response.status {
        200..300 if is_sealed && response.is_self_delimited && !is_encoded => ResponseClass::Part,
        421 => ResponseClass::NotExecuted { wrong_node: true },
        _ if response.header(headers::NOT_EXECUTED).is_some() => {
            ResponseClass::NotExecuted { wrong_node: false }
        }
        _ => ResponseClass::Failure,
    }
}

/// A response to a client.
pub struct FinalResponse<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Header fields without those that concern the connection or the length.
    pub headers: Vec<(&'a str, String)>,
    /// Body; empty for a response to `HEAD`.
    pub body: &'a [u8],
    /// Value of `Content-Length` if it differs from the length of `body`, as in a response to `HEAD`.
    pub content_length: Option<&'a str>,
}

impl FinalResponse<'_> {
    /// Writes the response. If `keep_alive` is set, the connection stays open, and the response states that the client
    /// may reuse it for `idle_s` seconds; 0 states nothing.
    pub fn write(&self, output: &mut Buffer, keep_alive: bool, idle_s: u64) {
        // Writing to a buffer does not fail.
        let _ = write!(output, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            let _ = write!(output, "{name}: {value}\r\n");
        }
        let _ = match keep_alive {
            true if idle_s > 0 => write!(output, "Keep-Alive: timeout={idle_s}\r\n"),
            true => Ok(()),
            false => write!(output, "Connection: close\r\n"),
        };
        let _ = match self.content_length {
            Some(length) => write!(output, "Content-Length: {length}\r\n\r\n"),
            None => write!(output, "Content-Length: {}\r\n\r\n", self.body.len()),
        };
        output.push(self.body);
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
