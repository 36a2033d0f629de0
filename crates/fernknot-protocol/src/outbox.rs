//! Tracking of the frames (messages to a node) in a connection's output buffer: which frames the socket has accepted
//! partly or completely, and which can still be withdrawn.

use crate::buffer::Buffer;
use std::collections::VecDeque;

struct PendingFrame<T> {
    /// Position of the frame's first byte in the connection's output stream.
    start: u64,
    /// Position after the frame's last byte in the connection's output stream.
    end: u64,
    item: T,
}

/// Frames in a connection's output buffer, each with an item by which the owner identifies it.
pub struct Outbox<T> {
    frames: VecDeque<PendingFrame<T>>,
    /// Number of bytes ever added to the buffer, without those of withdrawn frames.
    queued_bytes: u64,
    /// Number of bytes that the socket has accepted.
    written_bytes: u64,
}

impl<T> Default for Outbox<T> {
    fn default() -> Outbox<T> {
        Outbox { frames: VecDeque::new(), queued_bytes: 0, written_bytes: 0 }
    }
}

impl<T> Outbox<T> {
    /// Records a frame of `length` bytes that has just been added to the buffer.
    pub fn push(&mut self, length: usize, item: T) {
        let start = self.queued_bytes;
        self.queued_bytes += length as u64;
        self.frames.push_back(PendingFrame { start, end: self.queued_bytes, item });
    }

    /// Records that the socket has accepted `count` more bytes. `on_started` is called for each frame that is partly or
    /// completely sent, with whether it is complete; complete frames are removed.
    pub fn record_written(&mut self, count: usize, mut on_started: impl FnMut(&T, bool)) {
        self.written_bytes += count as u64;
        while let Some(frame) = self.frames.front().filter(|frame| frame.start < self.written_bytes) {
            let is_complete = frame.end <= self.written_bytes;
            on_started(&frame.item, is_complete);
            if !is_complete {
                return;
            }
            self.frames.pop_front();
        }
    }

    /// Removes the last frame from the buffer and returns its item, unless part of the frame has been sent. Keeps
    /// cancelled calls, and calls that the node may no longer receive, from being sent once the socket accepts data
    /// again.
    pub fn pop_unwritten(&mut self, out: &mut Buffer) -> Option<T> {
        let frame = self.frames.pop_back_if(|frame| frame.start >= self.written_bytes)?;
        out.truncate((frame.start - self.written_bytes) as usize);
        self.queued_bytes = frame.start;
        Some(frame.item)
    }
}
