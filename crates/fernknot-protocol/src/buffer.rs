//! The bytes of one direction of a connection.

/// A queue of bytes that grows as needed and is compacted in place.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// The bytes that have been put in and not consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// How many bytes [`Buffer::data`] has.
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Whether there are no bytes to consume.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Makes room for at least `min_len` bytes behind the data and returns the free space; [`Buffer::commit`] then adds
    /// the bytes written there to the data.
    pub fn reserve(&mut self, min_len: usize) -> &mut [u8] {
        if self.bytes.len() - self.end < min_len {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            let needed = self.end + min_len;
            if self.bytes.len() < needed {
                self.bytes.resize(needed.next_power_of_two(), 0);
            }
        }
        &mut self.bytes[self.end..]
    }

    /// Adds the first `count` bytes of the free space, which [`Buffer::reserve`] returned, to the data.
    pub fn commit(&mut self, count: usize) {
        self.end += count;
    }

    /// Adds bytes to the end of the data.
    pub fn push(&mut self, bytes: &[u8]) {
        self.reserve(bytes.len())[..bytes.len()].copy_from_slice(bytes);
        self.commit(bytes.len());
    }

    /// Removes so many bytes, or all, from the front of the data.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.len());
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Keeps the first so many bytes of the data.
    pub fn truncate(&mut self, len: usize) {
        self.end = self.start + len.min(self.len());
    }

    /// Frees the memory of an empty buffer that has more than `kept` bytes.
    pub fn shrink(&mut self, kept: usize) {
        if self.is_empty() && self.bytes.len() > kept {
            self.bytes = Vec::new();
            (self.start, self.end) = (0, 0);
        }
    }
}

/// Writing to a buffer does not fail.
impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
