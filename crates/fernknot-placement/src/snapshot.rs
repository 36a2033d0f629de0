//! A map as bytes, to be kept over a restart: a mark, a version, the length, the spans, and a checksum of
//! all that. What is read is hearsay: owners and lists go before it within an epoch.

use crate::map::{Change, Epoch, Map, Move, Owners, Told};
use crate::span::Span;
use fernknot::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::fmt;

const MARK: &[u8; 8] = b"fkplace\n";
const VERSION: u32 = 1;
/// Mark, version, length before the spans; the checksum after them.
const HEAD: usize = 8 + 4 + 8;
const SUM: usize = 4;

#[derive(Serialize, Deserialize)]
struct Row {
    first: u64,
    last: u64,
    epoch: Epoch,
    owners: Owners,
    moving: Option<Move>,
}

/// Why a snapshot is refused, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    NotOne,
    Newer(u32),
    CutOff {
        has: usize,
        wants: u64,
    },
    Checksum,
    Unreadable,
    /// Spans that are out of order, overlap, or end before they begin, at this row.
    Spans(usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::NotOne => write!(out, "the file is no snapshot of a placement"),
            Refused::Newer(version) => write!(out, "version {version} is newer than {VERSION}"),
            Refused::CutOff { has, wants } => write!(out, "cut off: {has} bytes of {wants}"),
            Refused::Checksum => write!(out, "the checksum does not match"),
            Refused::Unreadable => write!(out, "the rows cannot be read"),
            Refused::Spans(row) => write!(out, "row {row} overlaps or is out of order"),
        }
    }
}

/// The map as bytes.
pub fn write(map: &Map) -> Vec<u8> {
    let row = |(span, entry): (Span, &crate::map::Entry)| Row {
        first: span.first,
        last: span.last,
        epoch: entry.epoch,
        owners: entry.owners.clone(),
        moving: entry.moving.clone(),
    };
    let rows: Vec<Row> = map.iter().map(row).collect();
    // Rows are plain numbers, which always serialize.
    let body = postcard::to_stdvec(&rows).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD + body.len() + SUM);
    out.extend_from_slice(MARK);
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&(body.len() as u64).to_le_bytes());
    out.extend_from_slice(&body);
    let sum = crc32fast::hash(&out);
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

/// Reads a snapshot whole or not at all.
pub fn read(bytes: &[u8], now: Nanos) -> Result<Map, Refused> {
    let Some((mark, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(if MARK.starts_with(bytes) {
            Refused::CutOff { has: bytes.len(), wants: (HEAD + SUM) as u64 }
        } else {
            Refused::NotOne
        });
    };
    if mark != MARK {
        return Err(Refused::NotOne);
    }
    let short = |wants: u64| Refused::CutOff { has: bytes.len(), wants };
    let (version, rest) = rest.split_first_chunk::<4>().ok_or(short((HEAD + SUM) as u64))?;
    let version = u32::from_le_bytes(*version);
    // Guards against reading rows that mean something else since: nothing behind the version is looked at.
    if version > VERSION {
        return Err(Refused::Newer(version));
    }
    let (length, rest) = rest.split_first_chunk::<8>().ok_or(short((HEAD + SUM) as u64))?;
    let length = u64::from_le_bytes(*length);
    let wants = length.saturating_add((HEAD + SUM) as u64);
    if (bytes.len() as u64) < wants {
        return Err(short(wants));
    }
    let (body, sum) = rest.split_at(length as usize);
    let whole = &bytes[..HEAD + length as usize];
    if sum != crc32fast::hash(whole).to_le_bytes() {
        return Err(Refused::Checksum);
    }
    let rows: Vec<Row> = postcard::from_bytes(body).map_err(|_| Refused::Unreadable)?;
    let (mut map, mut before) = (Map::default(), None);
    for (index, row) in rows.into_iter().enumerate() {
        let span = Span::new(row.first, row.last).filter(|span| before.is_none_or(|last| span.first > last));
        let span = span.ok_or(Refused::Spans(index))?;
        before = Some(span.last);
        let change = Change { span, epoch: row.epoch, owners: row.owners, moving: row.moving };
        map.take(now, &change, Told::Kept);
    }
    Ok(map)
}
