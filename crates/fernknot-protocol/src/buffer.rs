//! Byte buffer for one direction of a connection.

/// Queue of bytes that grows as needed and is compacted in place.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// Returns the bytes that were added and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns the length of [`Buffer::data`].
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Returns whether [`Buffer::data`] is empty.
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

    /// Removes up to `count` bytes from the front of the data.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.len());
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Shortens the data to its first `len` bytes; shorter data is left as it is.
    pub fn truncate(&mut self, len: usize) {
        self.end = self.start + len.min(self.len());
    }

    /// Frees the memory of the buffer if it is empty and its capacity exceeds `max_idle_bytes`.
    pub fn shrink(&mut self, max_idle_bytes: usize) {
        if self.is_empty() && self.bytes.len() > max_idle_bytes {
            self.bytes = Vec::new();
            (self.start, self.end) = (0, 0);
        }
    }
}

/// Appends to the buffer; never fails.
impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
