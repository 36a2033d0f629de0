//! Responses of discovery and nodes.

use super::head;
use crate::body::{BodyFraming, BodyLimits, framing};
use crate::buffer::Buffer;
use crate::http_error::HttpError;
use fernknot_router_config::Limits;
use httparse::Status;

/// The least status of a response that is not an interim one.
const FIRST_FINAL_STATUS: u16 = 200;

/// A response that has been read completely.
#[derive(Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// The connection is kept after the response.
    pub keeps_connection: bool,
    /// The head tells where the body ends, so that one cut short cannot pass for complete.
    pub is_self_delimited: bool,
}

impl Response {
    /// The value of the first line of this name, in any case of letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        head::find(&self.headers, name)
    }

    /// All lines of the head, in the order in which they came.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }
}

/// Reads the responses of one connection, one after the other.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// A response whose head has been read, but not all of its body.
    pending: Option<(Response, BodyFraming)>,
}

impl ResponseReader {
    /// The next final response, once it is complete in `buffer`; its bytes are consumed. `ended` says that nothing
    /// further will come, which ends a body without a length.
    ///
    /// # Errors
    /// The bytes are no response, or one beyond the limits.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> Result<Option<Response>, HttpError> {
        while self.pending.is_none() {
            let Some((response, framing)) = read_head(buffer, limits)? else { return Ok(None) };
            // An interim response announces the real one.
            if response.status >= FIRST_FINAL_STATUS {
                self.pending = Some((response, framing));
            }
        }
        let Some((response, framing)) = &mut self.pending else { return Ok(None) };
        let body_limits =
            BodyLimits { max_body_bytes: limits.max_list_bytes, max_line_bytes: limits.max_chunk_line_bytes };
        let is_complete = framing.read(buffer, &mut response.body, body_limits)?;
        let is_complete = is_complete || ended && matches!(framing, BodyFraming::ToEnd);
        Ok(self.pending.take_if(|_| is_complete).map(|(response, _)| response))
    }

    /// The same for a response that has no body, whatever length its head gives: one to a `HEAD`.
    ///
    /// # Errors
    /// The bytes are no response, or one beyond the limits.
    pub fn read_bodiless(
        &mut self,
        buffer: &mut Buffer,
        limits: &Limits,
    ) -> Result<Option<Response>, HttpError> {
        while let Some((response, _)) = read_head(buffer, limits)? {
            if response.status >= FIRST_FINAL_STATUS {
                return Ok(Some(Response { is_self_delimited: true, ..response }));
            }
        }
        Ok(None)
    }
}

fn read_head(buffer: &mut Buffer, limits: &Limits) -> Result<Option<(Response, BodyFraming)>, HttpError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_bytes = match parsed.parse(buffer.data()) {
        Ok(Status::Complete(bytes)) => bytes,
        Ok(Status::Partial) if buffer.len() <= limits.max_head_bytes => return Ok(None),
        _ => return Err(HttpError { status: 502, reason: "not an HTTP answer" }),
    };
    let status = parsed.code.unwrap_or_default();
    let is_closing = parsed.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("connection") && header.value.eq_ignore_ascii_case(b"close")
    });
    let has_no_body = matches!(status, 100..200 | 204 | 304);
    let framing = framing(parsed.headers)?;
    let is_to_end = framing.is_none() && !has_no_body;
    let response = Response {
        status,
        headers: parsed.headers.iter().map(head::text).collect(),
        body: Vec::new(),
        keeps_connection: parsed.version == Some(1) && !is_closing && !is_to_end,
        is_self_delimited: !is_to_end,
    };
    buffer.consume(head_bytes);
    let framing = if has_no_body { BodyFraming::Length(0) } else { framing.unwrap_or(BodyFraming::ToEnd) };
    Ok(Some((response, framing)))
}
