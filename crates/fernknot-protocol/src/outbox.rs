//! Frames on their way out of a connection: which have begun, which are complete, and which can still be withdrawn.

use crate::buffer::Buffer;
use std::collections::VecDeque;

struct PendingFrame<T> {
    /// The connection's count of bytes before it.
    start: u64,
    /// The connection's count of bytes after it.
    end: u64,
    item: T,
}

/// The frames of a connection's output buffer, each with an item of the owner's that says what it is.
pub struct Outbox<T> {
    frames: VecDeque<PendingFrame<T>>,
    /// Bytes that were ever put into the buffer, less those withdrawn.
    encoded: u64,
    /// Bytes that the socket has taken.
    written: u64,
}

impl<T> Default for Outbox<T> {
    fn default() -> Outbox<T> {
        Outbox { frames: VecDeque::new(), encoded: 0, written: 0 }
    }
}

impl<T> Outbox<T> {
    /// Records a frame of so many bytes that has just been put into the buffer.
    pub fn push(&mut self, length: usize, item: T) {
        let start = self.encoded;
        self.encoded += length as u64;
        self.frames.push_back(PendingFrame { start, end: self.encoded, item });
    }

    /// Records that so many bytes have been written. `on_begun` gets each frame that has begun, and whether it is
    /// complete; complete frames are forgotten.
    pub fn record_written(&mut self, count: usize, mut on_begun: impl FnMut(&T, bool)) {
        self.written += count as u64;
        while let Some(frame) = self.frames.front().filter(|frame| frame.start < self.written) {
            let is_complete = frame.end <= self.written;
            on_begun(&frame.item, is_complete);
            if !is_complete {
                return;
            }
            self.frames.pop_front();
        }
    }

    /// Removes the last frame from the buffer again, unless it has begun. Guards against sending what is cancelled, or
    /// what its node must not get any more, while the socket takes nothing.
    pub fn pop_unwritten(&mut self, out: &mut Buffer) -> Option<T> {
        let frame = self.frames.pop_back_if(|frame| frame.start >= self.written)?;
        out.truncate((frame.start - self.written) as usize);
        self.encoded = frame.start;
        Some(frame.item)
    }
}
