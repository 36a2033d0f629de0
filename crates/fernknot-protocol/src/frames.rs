//! Frames between a router and a data node: a length, a letter and the rest.

use crate::buffer::Buffer;
use crate::report;
use fernknot::interface::LoadReport;
use fernknot_router_config::Limits;
use std::io::Write;

/// One part of a call.
pub struct CallPart<'a> {
    pub id: &'a str,
    pub shard: u32,
    /// Milliseconds that the router will wait.
    pub timeout_ms: u64,
    pub key: Option<&'a str>,
    /// Of a query in two phases: which one, and the version of the block's summary that the router keeps.
    pub phase: Option<CallPhase>,
    pub text: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    Match { version: Option<u64> },
    Fetch,
}

impl CallPhase {
    fn words(phase: Option<CallPhase>) -> String {
        match phase {
            None => String::new(),
            Some(CallPhase::Match { version: None }) => ",p=match".to_string(),
            Some(CallPhase::Match { version: Some(version) }) => format!(",p=match,v={version}"),
            Some(CallPhase::Fetch) => ",p=fetch".to_string(),
        }
    }
}

pub fn write_call<'a>(out: &mut Buffer, parts: impl Iterator<Item = CallPart<'a>>) {
    let mut rest = Vec::new();
    for part in parts {
        let key = part.key.map(|key| format!(",k={key}")).unwrap_or_default();
        // Writing to a vector does not fail.
        let phase = CallPhase::words(part.phase);
        let _ = writeln!(
            rest,
            "{} {} d={}{key}{phase} {}",
            part.id,
            part.shard,
            part.timeout_ms,
            part.text.len()
        );
        rest.extend_from_slice(part.text.as_bytes());
    }
    write_frame(out, b'A', &rest);
}

pub fn write_cancel(out: &mut Buffer, id: &str) {
    write_frame(out, b'B', id.as_bytes());
}

/// The form of every frame, for both sides.
pub fn write_frame(out: &mut Buffer, letter: u8, rest: &[u8]) {
    out.push(&(rest.len() as u32 + 1).to_le_bytes());
    out.push(&[letter]);
    out.push(rest);
}

/// The parts of a call as a node reads them: id, shard, list and text; `None` if it is not one.
pub fn read_call(mut rest: &[u8]) -> Option<Vec<(&str, u32, &str, &str)>> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let words: Vec<&str> = std::str::from_utf8(&rest[..end]).ok()?.split(' ').collect();
        let [id, shard, list, length] = words[..] else { return None };
        let (text, after) = rest[end + 1..].split_at_checked(length.parse().ok()?)?;
        parts.push((id, shard.parse().ok()?, list, std::str::from_utf8(text).ok()?));
        rest = after;
    }
    Some(parts)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    Success,
    Fault,
    Overload,
}

#[derive(Debug, PartialEq)]
pub enum Frame {
    Response {
        id: String,
        status: CallStatus,
        load: LoadReport,
        value: Vec<u8>,
    },
    /// A probe's answer; this router sends none.
    HealthCheckResponse,
    /// The node could not use a frame and closes.
    Rejected(String),
}

/// A frame as it came, and the bytes that it takes in all.
pub struct RawFrame<'a> {
    pub kind: u8,
    pub payload: &'a [u8],
    pub length: usize,
}

/// The next frame, whatever it is; it stays in the buffer.
pub fn peek_frame<'a>(buffer: &'a Buffer, limits: &Limits) -> Result<Option<RawFrame<'a>>, &'static str> {
    let Some((head, rest)) = buffer.data().split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length == 0 || length > limits.max_frame_bytes {
        return Err("a frame's length is unfit");
    }
    if rest.len() < length {
        return Ok(None);
    }
    Ok(Some(RawFrame { kind: rest[0], payload: &rest[1..length], length: 4 + length }))
}

pub fn read(buffer: &mut Buffer, limits: &Limits) -> Result<Option<Frame>, &'static str> {
    let Some(RawFrame { kind: letter, payload: rest, length }) = peek_frame(buffer, limits)? else {
        return Ok(None);
    };
    let frame = match letter {
        b'C' | b'D' => Frame::HealthCheckResponse,
        b'E' => ended(rest)?,
        b'F' => Frame::Rejected(String::from_utf8_lossy(rest).into_owned()),
        _ => return Err("a frame's letter is unknown"),
    };
    buffer.consume(length);
    Ok(Some(frame))
}

fn ended(rest: &[u8]) -> Result<Frame, &'static str> {
    let line = rest.iter().position(|byte| *byte == b'\n').ok_or("an answer has no line")?;
    let mut words = rest[..line].split(|byte| *byte == b' ');
    let mut word = || words.next().ok_or("an answer's line is short");
    let (id, end, _score, report) = (word()?, word()?, word()?, word()?);
    let id = std::str::from_utf8(id).map_err(|_| "an answer's id is no text")?;
    let end = match end {
        b"hit" => CallStatus::Success,
        b"fault" => CallStatus::Fault,
        b"overload" => CallStatus::Overload,
        _ => return Err("an answer's end is unknown"),
    };
    Ok(Frame::Response {
        id: id.to_string(),
        status: end,
        // Guards a good answer against a report that cannot be read.
        load: report::from_text(&String::from_utf8_lossy(report)),
        value: rest[line + 1..].to_vec(),
    })
}
