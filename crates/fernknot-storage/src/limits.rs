//! How much may be stored, and how long failures are backed off.

use fernknot::interface::Nanos;

use crate::generation::Values;

const MIB: u64 = 1 << 20;
/// At 64,000,000 bytes the store would begin a second journal by itself; this stays below.
const MAX_JOURNAL_BYTES: u64 = 48 * MIB;
/// What surrounds a key and its value in a journal, at most.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// The largest key, in bytes. The journal has two bytes for a key's length.
pub const MAX_KEY_BYTES: usize = 256;

/// How much may be stored, and how long failures are backed off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys and values together that may be stored at once.
    pub max_live_bytes: u64,
    /// A journal that is larger ends its generation.
    pub max_journal_bytes: u64,
    /// The first pause after a failure; each further one is twice as long, up to `max_backoff`.
    pub initial_backoff: Nanos,
    /// The longest pause after a failure.
    pub max_backoff: Nanos,
}

impl Limits {
    /// The limits for a disk of this size.
    #[must_use]
    pub fn of_disk(disk_bytes: u64) -> Limits {
        // A store preallocates 64 MB for its journal while it is being built, so what is beside it has half of a small
        // disk: a journal at its limit, and as much again of values.
        let journal_bytes = (disk_bytes / 16).clamp(4 * MIB, MAX_JOURNAL_BYTES / 2);
        Limits {
            max_live_bytes: journal_bytes / 2,
            max_journal_bytes: journal_bytes,
            initial_backoff: Nanos::from_millis(20.0),
            max_backoff: Nanos::from_millis(1000.0),
        }
    }
}

/// What values take in a journal, at most.
pub(crate) fn total_bytes(values: &Values) -> u64 {
    values.iter().map(|(key, value)| entry_bytes(key, value)).sum()
}

/// What a value takes in a journal, at most.
pub(crate) fn entry_bytes(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len() + ENTRY_OVERHEAD_BYTES) as u64
}
