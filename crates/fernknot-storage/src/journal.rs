//! Repair of a journal after a power loss. Each part of the data written after the last sync may be present, missing or
//! torn. `fjall` repairs a truncated end, but treats a hole as corruption and refuses to open the store. The journal is
//! therefore truncated here before it is opened: every synced batch has a valid checksum, and data after the last such
//! batch was never acknowledged.
//!
//! A batch consists of a start (tag 1, number of items, batch number), items (tag 2, two bytes, keyspace, lengths of
//! key, value and stored value, key, stored value) and an end (tag 3, xxh3 hash of the items, four fixed bytes).

use std::fs::{File, OpenOptions};
use std::hash::Hasher;
use std::io::{self, BufReader, Read};
use std::path::Path;

use xxhash_rust::xxh3::Xxh3;

const BATCH_START: u8 = 1;
const BATCH_ITEM: u8 = 2;
const BATCH_END: u8 = 3;
const BATCH_TRAILER: [u8; 4] = *b"FJL\x03";
/// Size of an item without its key and value.
const ITEM_HEADER_BYTES: usize = 21;
const READ_BUFFER_BYTES: usize = 1 << 16;
const HASH_CHUNK_BYTES: usize = 4096;

/// Truncates a journal after its last complete batch and syncs it. Returns its length in bytes.
///
/// # Errors
///
/// Returns the I/O error if the file cannot be read, truncated or synced.
pub(crate) fn repair(path: &Path) -> io::Result<u64> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let length = file.metadata()?.len();
    let complete = complete_length(&file, length)?;
    if complete < length {
        file.set_len(complete)?;
    }
    file.sync_all()?;
    Ok(complete)
}

/// Number of bytes from the start that form complete batches.
fn complete_length(file: &File, length: u64) -> io::Result<u64> {
    let mut reader =
        JournalReader { input: BufReader::with_capacity(READ_BUFFER_BYTES, file), remaining_bytes: length };
    let mut complete = 0;
    loop {
        match reader.read_batch() {
            Ok(true) => complete = length - reader.remaining_bytes,
            Ok(false) => return Ok(complete),
            // The file is shorter than its metadata says.
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(complete),
            Err(error) => return Err(error),
        }
    }
}

/// Reader of a journal that stops at its length.
struct JournalReader<R> {
    input: R,
    remaining_bytes: u64,
}

impl<R: Read> JournalReader<R> {
    /// Reads one batch. Returns false if there is no complete one.
    fn read_batch(&mut self) -> io::Result<bool> {
        let Some([BATCH_START]) = self.read_bytes()? else { return Ok(false) };
        let Some(count) = self.read_bytes()?.map(u32::from_le_bytes) else { return Ok(false) };
        let Some(_number) = self.read_bytes::<8>()? else { return Ok(false) };
        let mut hash = Xxh3::new();
        for _ in 0..count {
            if !self.read_item(&mut hash)? {
                return Ok(false);
            }
        }
        let Some([BATCH_END]) = self.read_bytes()? else { return Ok(false) };
        let Some(checksum) = self.read_bytes()?.map(u64::from_le_bytes) else { return Ok(false) };
        Ok(self.read_bytes()? == Some(BATCH_TRAILER) && checksum == hash.finish())
    }

    /// Reads and hashes one item. Returns false if it is not complete.
    fn read_item(&mut self, hash: &mut Xxh3) -> io::Result<bool> {
        let Some(header) = self.read_bytes::<ITEM_HEADER_BYTES>()? else { return Ok(false) };
        // Values are stored uncompressed, so the lengths of the value and the stored value are the same.
        let [BATCH_ITEM, _, 0, _, _, _, _, _, _, _, _, k0, k1, v0, v1, v2, v3, s0, s1, s2, s3] = header
        else {
            return Ok(false);
        };
        let key_length = u16::from_le_bytes([k0, k1]);
        let value_length = u32::from_le_bytes([v0, v1, v2, v3]);
        let stored_length = u32::from_le_bytes([s0, s1, s2, s3]);
        let body_length = u64::from(key_length) + u64::from(stored_length);
        // A length damaged by a torn write must not be used.
        if value_length != stored_length || body_length > self.remaining_bytes {
            return Ok(false);
        }
        hash.update(&header);
        self.hash_bytes(hash, body_length)?;
        Ok(true)
    }

    /// Reads `N` bytes; returns `None` if fewer are left.
    fn read_bytes<const N: usize>(&mut self) -> io::Result<Option<[u8; N]>> {
        if self.remaining_bytes < N as u64 {
            return Ok(None);
        }
        let mut bytes = [0; N];
        self.input.read_exact(&mut bytes)?;
        self.remaining_bytes -= N as u64;
        Ok(Some(bytes))
    }

    fn hash_bytes(&mut self, hash: &mut Xxh3, mut length: u64) -> io::Result<()> {
        let mut chunk = [0; HASH_CHUNK_BYTES];
        while length > 0 {
            let size = length.min(chunk.len() as u64) as usize;
            self.input.read_exact(&mut chunk[..size])?;
            hash.update(&chunk[..size]);
            length -= size as u64;
            self.remaining_bytes -= size as u64;
        }
        Ok(())
    }
}
