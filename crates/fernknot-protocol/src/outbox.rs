//! Frames on their way out of a connection: which have begun, which are out whole, and which can
//! still be taken back.

use crate::buffer::Buffer;
use std::collections::VecDeque;

struct PendingFrame<T> {
    /// The connection's count of bytes before it and after it.
    from: u64,
    to: u64,
    item: T,
}

pub struct Outbox<T> {
    frames: VecDeque<PendingFrame<T>>,
    encoded: u64,
    written: u64,
}

impl<T> Default for Outbox<T> {
    fn default() -> Outbox<T> {
        Outbox { frames: VecDeque::new(), encoded: 0, written: 0 }
    }
}

impl<T> Outbox<T> {
    /// Notes a frame of so many bytes that has just been put into the buffer.
    pub fn push(&mut self, length: usize, item: T) {
        let from = self.encoded;
        self.encoded += length as u64;
        self.frames.push_back(PendingFrame { from, to: self.encoded, item });
    }

    /// Notes that so many bytes have gone out. `begun` is told each frame that has begun, and
    /// whether all of it is out; those are forgotten.
    pub fn record_written(&mut self, count: usize, mut begun: impl FnMut(&T, bool)) {
        self.written += count as u64;
        while let Some(frame) = self.frames.front().filter(|frame| frame.from < self.written) {
            let whole = frame.to <= self.written;
            begun(&frame.item, whole);
            if !whole {
                return;
            }
            self.frames.pop_front();
        }
    }

    /// Takes the last frame out of the buffer again, unless it has begun. Guards against sending
    /// what is called off, or what its node must not get any more, while the socket takes nothing.
    pub fn pop_unwritten(&mut self, out: &mut Buffer) -> Option<T> {
        let frame = self.frames.pop_back_if(|frame| frame.from >= self.written)?;
        out.truncate((frame.from - self.written) as usize);
        self.encoded = frame.from;
        Some(frame.item)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Three frames of 5, 7 and 4 bytes, of which so many bytes go out.
    #[test_case(0, "", "", "cba"; "nothing")]
    #[test_case(1, "", "a", "cb"; "one begun")]
    #[test_case(5, "a", "", "cb"; "one whole")]
    #[test_case(6, "a", "b", "c"; "one whole and one begun")]
    #[test_case(15, "ab", "c", ""; "all begun")]
    #[test_case(16, "abc", "", ""; "all whole")]
    fn a_frame_is_whole_with_its_last_byte_and_can_be_taken_back_before_its_first(
        count: usize,
        whole: &str,
        begun: &str,
        back: &str,
    ) {
        let (mut outbox, mut out) = (Outbox::default(), Buffer::default());
        for (item, length) in [('a', 5), ('b', 7), ('c', 4)] {
            out.push(item.to_string().repeat(length).as_bytes());
            outbox.push(length, item);
        }
        let (mut all, mut some) = (String::new(), String::new());
        // Byte by byte, as a socket may take them.
        for _ in 0..count {
            some.clear();
            outbox.record_written(1, |item, whole| if whole { all.push(*item) } else { some.push(*item) });
            out.consume(1);
        }
        let mut taken = String::new();
        while let Some(item) = outbox.pop_unwritten(&mut out) {
            taken.push(item);
        }
        assert_eq!((all.as_str(), some.as_str(), taken.as_str()), (whole, begun, back));
        assert!(out.data().iter().all(|byte| begun.as_bytes().contains(byte)));
        outbox.record_written(out.len(), |item, whole| assert!(whole && begun.contains(*item)));
    }
}
