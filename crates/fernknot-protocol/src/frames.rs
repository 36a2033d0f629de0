//! Frames between a router and a data node: four bytes of length, little-endian, a byte for the kind, and a payload.
//!
//! A router sends calls, each of several parts, and cancels parts; a node answers each part by itself.

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

/// One part of a call, as it is sent.
pub struct CallPart<'a> {
    /// The part's id, which its response repeats; without spaces and line ends.
    pub id: &'a str,
    /// The shard that is asked.
    pub shard: u32,
    /// Milliseconds that the router will wait.
    pub timeout_ms: u64,
    /// The client's idempotency key; without spaces, commas and line ends.
    pub key: Option<&'a str>,
    /// Of a query in two phases: which one.
    pub phase: Option<CallPhase>,
    /// What is asked.
    pub text: &'a str,
}

/// The phase of a query in two phases that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// The first: which blocks hold matches.
    Match {
        /// The version of the block's summary that the router keeps.
        version: Option<u64>,
    },
    /// The second: the block's records.
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

/// One part of a call, as a node reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedPart<'a> {
    /// The part's id.
    pub id: &'a str,
    /// The shard that is asked.
    pub shard: u32,
    /// Time-out, key and phase, as `name=value` separated by commas.
    pub options: &'a str,
    /// What is asked.
    pub text: &'a str,
}

/// How a node answered a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// With a value.
    Success,
    /// It could not.
    Fault,
    /// It rejected the part without working on it.
    Overload,
}

/// A frame of a node, as a router reads it.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// The answer to one part of a call.
    Response {
        /// The part's id.
        id: String,
        /// How the node answered.
        status: CallStatus,
        /// The node's own load.
        load: LoadReport,
        /// The value; empty without success.
        value: Vec<u8>,
    },
    /// A health check or the answer to one; this router sends none.
    HealthCheckResponse,
    /// The node could not use a frame, and closes; its reason.
    Rejected(String),
}

/// A frame as it came.
pub struct RawFrame<'a> {
    /// The byte for the kind.
    pub kind: u8,
    /// What follows the kind.
    pub payload: &'a [u8],
    /// The bytes that the frame takes in the buffer.
    pub length: usize,
}

/// Why a frame cannot be read. What follows it cannot be read either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is zero or beyond the limit.
    #[error("a frame's length is unfit")]
    InvalidLength,
    /// No frame is of this kind.
    #[error("a frame's letter is unknown")]
    UnknownKind,
    /// A response has no line end.
    #[error("an answer has no line")]
    MissingLine,
    /// A response's line has too few fields.
    #[error("an answer's line is short")]
    MissingField,
    /// A response's id is not UTF-8.
    #[error("an answer's id is no text")]
    InvalidId,
    /// A response's status is unknown.
    #[error("an answer's end is unknown")]
    UnknownStatus,
}

/// Writes a call of these parts.
pub fn write_call<'a>(out: &mut Buffer, parts: impl Iterator<Item = CallPart<'a>>) {
    let mut payload = Vec::new();
    for CallPart { id, shard, timeout_ms, key, phase, text } in parts {
        let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
        let phase = CallPhase::options(phase);
        // Writing to a vector does not fail.
        let _ = writeln!(payload, "{id} {shard} d={timeout_ms}{key}{phase} {}", text.len());
        payload.extend_from_slice(text.as_bytes());
    }
    write_frame(out, CALL, &payload);
}

/// Writes that the answer to the part of this id is no longer needed.
pub fn write_cancel(out: &mut Buffer, id: &str) {
    write_frame(out, CANCEL, id.as_bytes());
}

/// Writes any frame, for both sides.
pub fn write_frame(out: &mut Buffer, kind: u8, payload: &[u8]) {
    out.push(&(payload.len() as u32 + 1).to_le_bytes());
    out.push(&[kind]);
    out.push(payload);
}

/// The parts of a call's payload; `None` if it is not one.
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

/// The next frame, whatever it is, once it is complete; it stays in the buffer.
///
/// # Errors
/// The frame's length is zero or beyond the limit.
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

/// The next frame of a node, once it is complete; its bytes are consumed.
///
/// # Errors
/// The bytes are no frame that a node sends.
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
        // Guards a good answer against a report that cannot be read.
        load: report::from_text(&String::from_utf8_lossy(report)),
        value: payload[line_end + 1..].to_vec(),
    })
}
