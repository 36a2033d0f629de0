//! The end of a journal after a loss of power. Of what was written after the last sync each piece
//! may be there, missing or torn; the store mends an end that is cut short, but takes one with a
//! hole in it for damage and does not open again. So it is cut here, before it is opened: every
//! batch that was synced has its checksum right, and what follows the last such batch was never
//! reported as stored.
//!
//! A batch is a start (tag 1, count, number), items (tag 2, two bytes, keyspace, lengths of key,
//! value and stored value, key, stored value), and an end (tag 3, xxh3 of the items, four fixed
//! bytes).

use std::fs::{File, OpenOptions};
use std::hash::Hasher;
use std::io::{self, BufReader, Read};
use std::path::Path;

use xxhash_rust::xxh3::Xxh3;

const BATCH_START: u8 = 1;
const BATCH_ITEM: u8 = 2;
const BATCH_END: u8 = 3;
const BATCH_TRAILER: [u8; 4] = *b"FJL\x03";

/// Cuts a journal behind its last whole batch and syncs it. Says how many bytes it holds now.
///
/// # Errors
///
/// The file could not be read, cut or synced.
pub fn repair(path: &Path) -> io::Result<u64> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let length = file.metadata()?.len();
    let whole = complete_length(&file, length)?;
    if whole < length {
        file.set_len(whole)?;
    }
    file.sync_all()?;
    Ok(whole)
}

/// How many bytes from the start form whole batches.
fn complete_length(file: &File, length: u64) -> io::Result<u64> {
    let mut reader =
        JournalReader { input: BufReader::with_capacity(1 << 16, file), remaining_bytes: length };
    let mut whole = 0;
    loop {
        match reader.read_batch() {
            Ok(true) => whole = length - reader.remaining_bytes,
            Ok(false) => return Ok(whole),
            // The file is shorter than it said.
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(whole),
            Err(error) => return Err(error),
        }
    }
}

struct JournalReader<R> {
    input: R,
    remaining_bytes: u64,
}

impl<R: Read> JournalReader<R> {
    /// Reads one batch; false where there is no whole one.
    fn read_batch(&mut self) -> io::Result<bool> {
        let Some([BATCH_START]) = self.read_bytes()? else { return Ok(false) };
        let Some(count) = self.read_bytes()?.map(u32::from_le_bytes) else { return Ok(false) };
        let Some(_number) = self.read_bytes::<8>()? else { return Ok(false) };
        let mut hash = Xxh3::new();
        for _ in 0..count {
            let Some(head) = self.read_bytes::<21>()? else { return Ok(false) };
            // Values are stored as they are, so both their lengths are the same.
            let [BATCH_ITEM, _, 0, _, _, _, _, _, _, _, _, k0, k1, v0, v1, v2, v3, s0, s1, s2, s3] = head
            else {
                return Ok(false);
            };
            let (value, stored) =
                (u32::from_le_bytes([v0, v1, v2, v3]), u32::from_le_bytes([s0, s1, s2, s3]));
            let body = u64::from(u16::from_le_bytes([k0, k1])) + u64::from(stored);
            // A torn length must not be taken for one and reserve as much memory.
            if value != stored || body > self.remaining_bytes {
                return Ok(false);
            }
            hash.update(&head);
            self.hash_bytes(&mut hash, body)?;
        }
        let Some([BATCH_END]) = self.read_bytes()? else { return Ok(false) };
        let Some(sum) = self.read_bytes()?.map(u64::from_le_bytes) else { return Ok(false) };
        Ok(self.read_bytes()? == Some(BATCH_TRAILER) && sum == hash.finish())
    }

    fn read_bytes<const N: usize>(&mut self) -> io::Result<Option<[u8; N]>> {
        if self.remaining_bytes < N as u64 {
            return Ok(None);
        }
        let mut bytes = [0; N];
        self.input.read_exact(&mut bytes)?;
        self.remaining_bytes -= N as u64;
        Ok(Some(bytes))
    }

    fn hash_bytes(&mut self, hash: &mut Xxh3, mut body: u64) -> io::Result<()> {
        let mut piece = [0; 4096];
        while body > 0 {
            let size = body.min(piece.len() as u64) as usize;
            self.input.read_exact(&mut piece[..size])?;
            hash.update(&piece[..size]);
            body -= size as u64;
            self.remaining_bytes -= size as u64;
        }
        Ok(())
    }
}
