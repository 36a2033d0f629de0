//! Binary snapshot of a map, to preserve it across a restart.
//!
//! The format is a magic number, a version, the length of the rows, the rows in postcard, and a CRC-32 of all preceding
//! bytes; integers are little-endian. A decoded map is unconfirmed: owners and lists override it within an epoch.

use crate::change::{Epoch, Migration, OwnershipChange, Source};
use crate::key_range::KeyRange;
use crate::owners::Owners;
use crate::placement_map::PlacementMap;
use crate::range_state::RangeState;
use fernknot::interface::Nanos;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAGIC: &[u8; 8] = b"fkplace\n";
const FORMAT_VERSION: u32 = 1;
/// Bytes of magic number, version and length.
const HEADER_BYTES: usize = 8 + 4 + 8;
const CHECKSUM_BYTES: usize = 4;
const MIN_SNAPSHOT_BYTES: u64 = (HEADER_BYTES + CHECKSUM_BYTES) as u64;

/// Stored range. postcard writes no names: the order of the fields defines the format.
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

/// Reason for rejecting a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The bytes do not begin with the magic number.
    #[error("the file is not a placement snapshot")]
    NotASnapshot,
    /// The format version is newer than this build supports.
    #[error("snapshot format version {0} is newer than the supported version {FORMAT_VERSION}")]
    NewerVersion(u32),
    /// The snapshot ends too early.
    #[error("the snapshot is truncated: {actual} of at least {expected} bytes")]
    Truncated {
        /// Length of the snapshot in bytes.
        actual: usize,
        /// Minimum length of the complete snapshot in bytes.
        expected: u64,
    },
    /// The checksum does not match, or further bytes follow it.
    #[error("the checksum of the snapshot does not match")]
    ChecksumMismatch,
    /// The rows do not decode.
    #[error("the rows of the snapshot do not decode")]
    MalformedRows,
    /// The range of the row with this index is out of order, overlaps the previous one, or ends before it begins.
    #[error("the range of row {0} is inverted, out of order or overlaps the previous one")]
    InvalidRange(usize),
}

/// Encodes a map.
pub fn encode(map: &PlacementMap) -> Vec<u8> {
    let rows: Vec<Row> = map.iter().map(Row::new).collect();
    // Serialising plain numbers into a vector cannot fail.
    let body = postcard::to_stdvec(&rows).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&body);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a snapshot into a map whose ranges were last reported at `now`.
///
/// # Errors
///
/// Returns a [`SnapshotError`] if any part of the snapshot is invalid; nothing of it is used then.
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

/// Returns the bytes of the rows after verifying magic number, version, length and checksum.
fn verified_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let truncated = |expected: u64| SnapshotError::Truncated { actual: bytes.len(), expected };
    let Some((magic, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(if MAGIC.starts_with(bytes) {
            truncated(MIN_SNAPSHOT_BYTES)
        } else {
            SnapshotError::NotASnapshot
        });
    };
    if magic != MAGIC {
        return Err(SnapshotError::NotASnapshot);
    }
    let (version, rest) = rest.split_first_chunk::<4>().ok_or(truncated(MIN_SNAPSHOT_BYTES))?;
    let version = u32::from_le_bytes(*version);
    // Later fields are not parsed, because a newer version may define them differently.
    if version > FORMAT_VERSION {
        return Err(SnapshotError::NewerVersion(version));
    }
    let (length, rest) = rest.split_first_chunk::<8>().ok_or(truncated(MIN_SNAPSHOT_BYTES))?;
    let length = u64::from_le_bytes(*length);
    let expected = length.saturating_add(MIN_SNAPSHOT_BYTES);
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
