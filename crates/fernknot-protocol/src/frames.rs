//! Frames between a router and a data node: a length of four bytes in little-endian order, a byte for the kind, and the
//! payload. The length counts the kind and the payload.
//!
//! A router sends calls of several parts and cancellations of parts; a node responds to each part separately. A part
//! is the share of a client's query that goes to one shard. A block is the set of records of one shard; a query in two
//! phases first asks blocks which blocks hold matches, and then fetches those blocks.

use crate::buffer::Buffer;
use crate::report;
use fernknot::interface::LoadReport;
use fernknot_router_config::Limits;
use std::io::Write;

const CALL: u8 = b'A';
const CANCEL: u8 = b'B';
const HEALTH_CHECK: u8 = b'C';
const HEALTH_CHECK_RESPONSE: u8 = b'D';
const RESPONSE: u8 = b'E';
const REJECTION: u8 = b'F';

const LENGTH_BYTES: usize = 4;

/// Part of a call that a router sends.
pub struct CallPart<'a> {
    /// Id of the part, which the response repeats; without spaces and line ends.
    pub id: &'a str,
    /// Shard that the part is for.
    pub shard: u32,
    /// Time that the router waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key of the client; without spaces, commas and line ends.
    pub key: Option<&'a str>,
    /// Phase of a two-phase query; `None` for any other query.
    pub phase: Option<CallPhase>,
    /// Query text for the node.
    pub text: &'a str,
}

/// Phase of a two-phase query that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// First phase: asks the node which blocks hold matches for the query.
    Match {
        /// Version of the block's summary (the terms in the block) that the router has cached; `None` without one. If
        /// it is still current, the node may confirm that version instead of looking for matches.
        version: Option<u64>,
    },
    /// Second phase: asks the node for the matching records of the shard's block.
    Fetch,
}

impl CallPhase {
    fn options(phase: Option<CallPhase>) -> String {
        match phase {
            None => String::new(),
            Some(CallPhase::Match { version: None }) => ",p=match".to_string(),
            Some(CallPhase::Match { version: Some(version) }) => format!(",p=match,v={version}"),
            Some(CallPhase::Fetch) => ",p=fetch".to_string(),
        }
    }
}

/// Part of a call that a node has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedPart<'a> {
    /// Id of the part.
    pub id: &'a str,
    /// Shard that the part is for.
    pub shard: u32,
    /// Time-out, idempotency key and phase as comma-separated `name=value` pairs.
    pub options: &'a str,
    /// Query text for the node.
    pub text: &'a str,
}

/// Status of a node's response to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The response has a value.
    Success,
    /// The node failed to execute the part.
    Fault,
    /// The node rejected the part without executing it, because of its load.
    Overload,
}

/// Frame from a node, as a router reads it.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Response to one part of a call.
    Response {
        /// Id of the part.
        id: String,
        /// Status of the response.
        status: CallStatus,
        /// Load that the node reports of itself.
        load: LoadReport,
        /// Value of the response; empty without success.
        value: Vec<u8>,
    },
    /// Health check or the response to one; the router sends no health checks and ignores both.
    HealthCheckResponse,
    /// Reason why the node rejected a frame as a whole; the node then closes the connection.
    Rejected(String),
}

/// Frame whose payload has not been decoded.
pub struct RawFrame<'a> {
    /// Byte for the kind.
    pub kind: u8,
    /// Bytes after the kind.
    pub payload: &'a [u8],
    /// Number of bytes of the frame in the buffer, with its length field.
    pub length: usize,
}

/// Error of a malformed frame, after which the rest of the connection's bytes cannot be read either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is zero or above `max_frame_bytes`.
    #[error("frame length is zero or above the limit")]
    InvalidLength,
    /// The kind is unknown.
    #[error("unknown frame kind")]
    UnknownKind,
    /// A response's header line does not end.
    #[error("response has no header line")]
    MissingLine,
    /// A response's header line has too few fields.
    #[error("response header line has too few fields")]
    MissingField,
    /// A response's id is not UTF-8.
    #[error("response id is not UTF-8")]
    InvalidId,
    /// A response's status is unknown.
    #[error("unknown response status")]
    UnknownStatus,
}

/// Writes a call with the given parts.
pub fn write_call<'a>(out: &mut Buffer, parts: impl Iterator<Item = CallPart<'a>>) {
    let mut payload = Vec::new();
    for CallPart { id, shard, timeout_ms, key, phase, text } in parts {
        let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
        let phase = CallPhase::options(phase);
        // Writing to a vector never fails.
        let _ = writeln!(payload, "{id} {shard} d={timeout_ms}{key}{phase} {}", text.len());
        payload.extend_from_slice(text.as_bytes());
    }
    write_frame(out, CALL, &payload);
}

/// Writes the cancellation of the part with this id, whose response is no longer needed.
pub fn write_cancel(out: &mut Buffer, id: &str) {
    write_frame(out, CANCEL, id.as_bytes());
}

/// Writes a frame of any kind; used by routers and nodes.
pub fn write_frame(out: &mut Buffer, kind: u8, payload: &[u8]) {
    out.push(&(payload.len() as u32 + 1).to_le_bytes());
    out.push(&[kind]);
    out.push(payload);
}

/// Returns the parts in the payload of a call; `None` if it is malformed.
pub fn read_call(mut payload: &[u8]) -> Option<Vec<ReceivedPart<'_>>> {
    let mut parts = Vec::new();
    while !payload.is_empty() {
        let line_end = payload.iter().position(|byte| *byte == b'\n')?;
        let fields: Vec<&str> = std::str::from_utf8(&payload[..line_end]).ok()?.split(' ').collect();
        let [id, shard, options, length] = fields[..] else { return None };
        let (text, rest) = payload[line_end + 1..].split_at_checked(length.parse().ok()?)?;
        let (shard, text) = (shard.parse().ok()?, std::str::from_utf8(text).ok()?);
        parts.push(ReceivedPart { id, shard, options, text });
        payload = rest;
    }
    Some(parts)
}

/// Returns the next frame of any kind, and leaves it in the buffer; `None` until it is complete.
///
/// # Errors The frame's length is zero or above `max_frame_bytes`.
pub fn peek_frame<'a>(buffer: &'a Buffer, limits: &Limits) -> Result<Option<RawFrame<'a>>, FrameError> {
    let Some((length, rest)) = buffer.data().split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > limits.max_frame_bytes {
        return Err(FrameError::InvalidLength);
    }
    if rest.len() < length {
        return Ok(None);
    }
    Ok(Some(RawFrame { kind: rest[0], payload: &rest[1..length], length: LENGTH_BYTES + length }))
}

/// Returns the next frame from a node and consumes its bytes; `None` until it is complete.
///
/// # Errors
/// The bytes are not a frame that a node sends.
pub fn read(buffer: &mut Buffer, limits: &Limits) -> Result<Option<Frame>, FrameError> {
    let Some(RawFrame { kind, payload, length }) = peek_frame(buffer, limits)? else { return Ok(None) };
    let frame = match kind {
        HEALTH_CHECK | HEALTH_CHECK_RESPONSE => Frame::HealthCheckResponse,
        RESPONSE => read_response(payload)?,
        REJECTION => Frame::Rejected(String::from_utf8_lossy(payload).into_owned()),
        _ => return Err(FrameError::UnknownKind),
    };
    buffer.consume(length);
    Ok(Some(frame))
}

fn read_response(payload: &[u8]) -> Result<Frame, FrameError> {
    let line_end = payload.iter().position(|byte| *byte == b'\n').ok_or(FrameError::MissingLine)?;
    let mut fields = payload[..line_end].split(|byte| *byte == b' ');
    let mut field = || fields.next().ok_or(FrameError::MissingField);
    let (id, status, _score, report) = (field()?, field()?, field()?, field()?);
    let id = std::str::from_utf8(id).map_err(|_| FrameError::InvalidId)?;
    let status = match status {
        b"hit" => CallStatus::Success,
        b"fault" => CallStatus::Fault,
        b"overload" => CallStatus::Overload,
        _ => return Err(FrameError::UnknownStatus),
    };
    Ok(Frame::Response {
        id: id.to_string(),
        status,
        // An unreadable load report is ignored, so that it does not invalidate the response.
        load: report::from_text(&String::from_utf8_lossy(report)),
        value: payload[line_end + 1..].to_vec(),
    })
}
