//! Size limits of a store, and delays after failures.

use fernknot::interface::Nanos;

use crate::generation::Values;

const MIB: u64 = 1 << 20;
/// Largest journal in bytes, below the 64,000,000 bytes at which `fjall` starts a second one.
const MAX_JOURNAL_BYTES: u64 = 48 * MIB;
/// Upper bound of the bytes that a journal adds to a key and its value.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// Maximum length of a key in bytes, well within the two bytes in which the journal encodes it.
pub const MAX_KEY_BYTES: usize = 256;

/// Size limits of a store, and delays after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of all stored keys and values, in bytes.
    pub max_live_bytes: u64,
    /// Size of the journal in bytes above which a new generation is built.
    pub max_journal_bytes: u64,
    /// First delay after a failure; each further delay is twice as long, up to `max_backoff`.
    pub initial_backoff: Nanos,
    /// Longest delay between a failure and the next attempt.
    pub max_backoff: Nanos,
}

impl Limits {
    /// Returns the limits for a directory that may use `disk_bytes` bytes.
    #[must_use]
    pub fn of_disk(disk_bytes: u64) -> Limits {
        // A store under construction preallocates 64 MB for its journal, so that on a small disk the previous
        // generation may use only half of the space: a journal at its limit, and as many bytes again for the values.
        let journal_bytes = (disk_bytes / 16).clamp(4 * MIB, MAX_JOURNAL_BYTES / 2);
        Limits {
            max_live_bytes: journal_bytes / 2,
            max_journal_bytes: journal_bytes,
            initial_backoff: Nanos::from_millis(20.0),
            max_backoff: Nanos::from_millis(1000.0),
        }
    }
}

/// Upper bound of the bytes that values take in a journal.
pub(crate) fn total_bytes(values: &Values) -> u64 {
    values.iter().map(|(key, value)| entry_bytes(key, value)).sum()
}

/// Upper bound of the bytes that a key and its value take in a journal.
pub(crate) fn entry_bytes(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len() + ENTRY_OVERHEAD_BYTES) as u64
}
