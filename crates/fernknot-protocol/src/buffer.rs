//! The bytes of one direction of a connection: grows as needed and is compacted in place.

#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
}

impl Buffer {
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn len(&self) -> usize {
        self.to - self.from
    }

    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    /// Room for at least so many bytes behind what is held; `filled` says how many came.
    pub fn space(&mut self, least: usize) -> &mut [u8] {
        if self.bytes.len() - self.to < least {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
            let wanted = self.to + least;
            if self.bytes.len() < wanted {
                self.bytes.resize(wanted.next_power_of_two(), 0);
            }
        }
        &mut self.bytes[self.to..]
    }

    pub fn filled(&mut self, count: usize) {
        self.to += count;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.space(bytes.len())[..bytes.len()].copy_from_slice(bytes);
        self.filled(bytes.len());
    }

    pub fn consume(&mut self, count: usize) {
        self.from += count.min(self.len());
        if self.is_empty() {
            (self.from, self.to) = (0, 0);
        }
    }

    /// Keeps the first so many bytes.
    pub fn truncate(&mut self, len: usize) {
        self.to = self.from + len.min(self.len());
    }

    /// Gives back what an empty buffer holds beyond `kept`.
    pub fn shrink(&mut self, kept: usize) {
        if self.is_empty() && self.bytes.len() > kept {
            self.bytes = Vec::new();
            (self.from, self.to) = (0, 0);
        }
    }
}

impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
