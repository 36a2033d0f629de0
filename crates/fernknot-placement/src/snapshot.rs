//! A map as bytes, to be kept over a restart.
//!
//! The format is a magic number, a version, the length of the rows, the rows by postcard, and a CRC-32 of all that;
//! integers are little-endian. What is decoded is unconfirmed: owners and lists override it within an epoch.

use crate::change::{Epoch, Migration, OwnershipChange, Source};
use crate::key_range::KeyRange;
use crate::owners::Owners;
use crate::placement_map::PlacementMap;
use crate::range_state::RangeState;
use fernknot::interface::Nanos;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAGIC: &[u8; 8] = b"fkplace\n";
const VERSION: u32 = 1;
/// Bytes of magic number, version and length, before the rows.
const HEADER_BYTES: usize = 8 + 4 + 8;
const CHECKSUM_BYTES: usize = 4;
const MIN_BYTES: u64 = (HEADER_BYTES + CHECKSUM_BYTES) as u64;

/// One range. postcard writes no names: the order of the fields is the format.
#[derive(Serialize, Deserialize)]
struct Row {
    first: u64,
    last: u64,
    epoch: Epoch,
    owners: Owners,
    migration: Option<Migration>,
}

impl Row {
    fn new((range, state): (KeyRange, &RangeState)) -> Row {
        Row {
            first: range.first,
            last: range.last,
            epoch: state.epoch,
            owners: state.owners.clone(),
            migration: state.migration.clone(),
        }
    }
}

/// Why a snapshot was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// It does not begin with the magic number.
    #[error("the file is no snapshot of a placement")]
    NotASnapshot,
    /// A later build wrote it.
    #[error("version {0} is newer than {VERSION}")]
    NewerVersion(u32),
    /// Bytes are missing at its end.
    #[error("cut off: {actual} bytes of {expected}")]
    Truncated {
        /// The bytes that there are.
        actual: usize,
        /// The bytes that there should be, at least.
        expected: u64,
    },
    /// Its checksum does not match, or bytes follow it.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// The rows are not rows.
    #[error("the rows cannot be read")]
    MalformedRows,
    /// This row's range is out of order, overlaps the one before, or ends before it begins.
    #[error("row {0} overlaps or is out of order")]
    InvalidRange(usize),
}

/// The map as bytes.
pub fn encode(map: &PlacementMap) -> Vec<u8> {
    let rows: Vec<Row> = map.iter().map(Row::new).collect();
    // Serialising plain numbers into a vector cannot fail.
    let body = postcard::to_stdvec(&rows).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&body);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The map of a snapshot, as of `now`.
///
/// # Errors
///
/// Any [`SnapshotError`]: nothing of a rejected snapshot is used.
pub fn decode(bytes: &[u8], now: Nanos) -> Result<PlacementMap, SnapshotError> {
    let body = verified_body(bytes)?;
    let rows: Vec<Row> = postcard::from_bytes(body).map_err(|_| SnapshotError::MalformedRows)?;
    let mut map = PlacementMap::default();
    let mut last_key = None;
    for (index, row) in rows.into_iter().enumerate() {
        let range = KeyRange::new(row.first, row.last)
            .filter(|range| last_key.is_none_or(|last| range.first > last))
            .ok_or(SnapshotError::InvalidRange(index))?;
        last_key = Some(range.last);
        let change =
            OwnershipChange { range, epoch: row.epoch, owners: row.owners, migration: row.migration };
        map.apply(now, &change, Source::Snapshot);
    }
    Ok(map)
}

/// The rows' bytes, once magic number, version, length and checksum are right.
fn verified_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let truncated = |expected: u64| SnapshotError::Truncated { actual: bytes.len(), expected };
    let Some((magic, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(if MAGIC.starts_with(bytes) {
            truncated(MIN_BYTES)
        } else {
            SnapshotError::NotASnapshot
        });
    };
    if magic != MAGIC {
        return Err(SnapshotError::NotASnapshot);
    }
    let (version, rest) = rest.split_first_chunk::<4>().ok_or(truncated(MIN_BYTES))?;
    let version = u32::from_le_bytes(*version);
    // Nothing after the version is looked at: it may mean something else in a later one.
    if version > VERSION {
        return Err(SnapshotError::NewerVersion(version));
    }
    let (length, rest) = rest.split_first_chunk::<8>().ok_or(truncated(MIN_BYTES))?;
    let length = u64::from_le_bytes(*length);
    let expected = length.saturating_add(MIN_BYTES);
    if (bytes.len() as u64) < expected {
        return Err(truncated(expected));
    }
    let (body, checksum) = rest.split_at(length as usize);
    let checksummed = &bytes[..HEADER_BYTES + length as usize];
    if checksum != crc32fast::hash(checksummed).to_le_bytes() {
        return Err(SnapshotError::ChecksumMismatch);
    }
    Ok(body)
}
