//! Reading of responses from discovery and from nodes.

use super::head;
use super::header_fields::HeaderFields;
use crate::body::{BodyFraming, BodyLimits, framing};
use crate::buffer::Buffer;
use crate::http_error::HttpError;
use fernknot_router_config::Limits;
use httparse::Status;

/// Lowest status code of a final response; those below are interim.
const FIRST_FINAL_STATUS: u16 = 200;

/// Response that has been received completely.
#[derive(Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    headers: HeaderFields,
    /// Body without chunk headers.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keeps_connection: bool,
    /// Whether the head determines the end of the body, so that a truncated body is never taken for complete.
    pub is_self_delimited: bool,
}

impl Response {
    /// Returns the value of the first header field of this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.value(name)
    }

    /// Returns all header fields in the order received.
    pub fn headers(&self) -> &HeaderFields {
        &self.headers
    }
}

/// Reads the responses of one connection in turn.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Response whose head has been read, but not all of its body.
    pending: Option<(Response, BodyFraming)>,
}

impl ResponseReader {
    /// Returns the next final response and consumes its bytes, once it is complete in `buffer`. `is_eof` says that the
    /// other side has closed the connection, which ends a body without a length.
    ///
    /// # Errors
    /// The bytes are not a valid response, or it exceeds the limits.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        is_eof: bool,
        limits: &Limits,
    ) -> Result<Option<Response>, HttpError> {
        while self.pending.is_none() {
            let Some((response, framing)) = read_head(buffer, limits)? else { return Ok(None) };
            // Interim responses are skipped; the final one follows.
            if response.status >= FIRST_FINAL_STATUS {
                self.pending = Some((response, framing));
            }
        }
        let Some((response, framing)) = &mut self.pending else { return Ok(None) };
        let body_limits =
            BodyLimits { max_body_bytes: limits.max_list_bytes, max_line_bytes: limits.max_chunk_line_bytes };
        let is_complete = framing.read(buffer, &mut response.body, body_limits)?;
        let is_complete = is_complete || is_eof && matches!(framing, BodyFraming::UntilClose);
        Ok(self.pending.take_if(|_| is_complete).map(|(response, _)| response))
    }

    /// Reads like [`ResponseReader::read`] the response to a `HEAD`, which has no body whatever length its head gives.
    ///
    /// # Errors
    /// The bytes are not a valid response, or it exceeds the limits.
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
    let mut headers = head::room_for_fields(buffer.data(), limits);
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
    let is_until_close = framing.is_none() && !has_no_body;
    let response = Response {
        status,
        headers: HeaderFields::new(parsed.headers),
        body: Vec::new(),
        keeps_connection: parsed.version == Some(1) && !is_closing && !is_until_close,
        is_self_delimited: !is_until_close,
    };
    buffer.consume(head_bytes);
    let framing =
        if has_no_body { BodyFraming::Length(0) } else { framing.unwrap_or(BodyFraming::UntilClose) };
    Ok(Some((response, framing)))
}
