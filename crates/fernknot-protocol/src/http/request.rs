//! Reading of requests from clients.

use super::head;
use crate::body::{BodyFraming, BodyLimits, framing};
use crate::buffer::Buffer;
use crate::http_error::{HEAD_TOO_LARGE, HttpError};
use fernknot_router_config::Limits;
use httparse::Status;
use std::fmt;

/// Request that has been received completely. Its debug output has no values of header fields and no body, which may
/// be secret.
#[derive(Default)]
pub struct Request {
    /// Method as it was sent.
    pub method: String,
    /// Path, with the query string if there is one.
    pub target: String,
    headers: Vec<(String, String)>,
    /// Body without chunk headers.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keeps_connection: bool,
    /// Whether the request uses HTTP/1.0, where the response has to announce that the connection stays open.
    pub is_http_1_0: bool,
    /// Whether the client waits for the interim response 100 before it sends the body.
    pub expects_continue: bool,
}

impl Request {
    /// Returns the value of the first header field of this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find_value(&self.headers, name)
    }

    /// Returns all header fields in the order received.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Removes all header fields of this name, compared without regard to case. Returns their values in the order
    /// received.
    pub fn remove_headers(&mut self, name: &str) -> Vec<String> {
        let removed = self.headers.extract_if(.., |(key, _)| key.eq_ignore_ascii_case(name));
        removed.map(|(_, value)| value).collect()
    }

    /// Adds a header field after the others. The caller ensures that the value has no control characters.
    pub fn add_header(&mut self, name: &str, value: &str) {
        self.headers.push((name.to_string(), value.to_string()));
    }

    /// Returns the target without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

impl fmt::Debug for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header_names: Vec<&str> = self.headers.iter().map(|(name, _)| name.as_str()).collect();
        f.debug_struct("Request")
            .field("method", &self.method)
            .field("path", &self.path())
            .field("header_names", &header_names)
            .field("body_bytes", &self.body.len())
            .finish_non_exhaustive()
    }
}

/// Reads the requests of one connection in turn.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Request whose head has been read, but not all of its body.
    pending: Option<(Request, BodyFraming)>,
}

impl RequestReader {
    /// Returns whether a head has been read whose body is not complete.
    pub fn has_pending_body(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the number of bytes allocated for an incomplete body; a content length is allocated in full once the
    /// head has been read.
    pub fn body_capacity(&self) -> usize {
        self.pending.as_ref().map_or(0, |(request, _)| request.body.capacity())
    }

    /// Returns whether the client waits for [`CONTINUE`](super::CONTINUE) before it sends the body; true at most once
    /// per request.
    pub fn take_expects_continue(&mut self) -> bool {
        self.pending.as_mut().is_some_and(|(request, _)| std::mem::take(&mut request.expects_continue))
    }

    /// Returns the next request and consumes its bytes, once it is complete in `buffer`.
    ///
    /// # Errors
    /// The bytes are not a valid request, or it exceeds the limits.
    pub fn read(&mut self, buffer: &mut Buffer, limits: &Limits) -> Result<Option<Request>, HttpError> {
        if self.pending.is_none() {
            self.pending = read_head(buffer, limits)?;
        }
        let Some((request, framing)) = &mut self.pending else { return Ok(None) };
        let body_limits =
            BodyLimits { max_body_bytes: limits.max_body_bytes, max_line_bytes: limits.max_chunk_line_bytes };
        let is_complete = framing.read(buffer, &mut request.body, body_limits)?;
        Ok(self.pending.take_if(|_| is_complete).map(|(request, _)| request))
    }
}

fn read_head(buffer: &mut Buffer, limits: &Limits) -> Result<Option<(Request, BodyFraming)>, HttpError> {
    let mut headers = head::room_for_fields(buffer.data(), limits);
    let mut parsed = httparse::Request::new(&mut headers);
    let head_bytes = match parsed.parse(buffer.data()) {
        Ok(Status::Complete(bytes)) if bytes <= limits.max_head_bytes => bytes,
        Ok(Status::Partial) if buffer.len() <= limits.max_head_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError { status: HEAD_TOO_LARGE, reason: "head too large" });
        }
        Err(_) => return Err(HttpError { status: 400, reason: "not HTTP" }),
    };
    let is_version_1_0 = parsed.version == Some(0);
    let connection = |token| head::has_token(parsed.headers, "connection", token);
    let request = Request {
        method: parsed.method.unwrap_or_default().to_string(),
        target: parsed.path.unwrap_or_default().to_string(),
        headers: parsed.headers.iter().map(head::to_strings).collect(),
        body: Vec::new(),
        keeps_connection: if is_version_1_0 { connection("keep-alive") } else { !connection("close") },
        is_http_1_0: is_version_1_0,
        expects_continue: !is_version_1_0 && head::has_token(parsed.headers, "expect", "100-continue"),
    };
    let framing = framing(parsed.headers)?.unwrap_or(BodyFraming::Length(0));
    buffer.consume(head_bytes);
    Ok(Some((request, framing)))
}
