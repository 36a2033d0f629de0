//! Settings for the tests, and a check that a reader's messages do not depend on how its input is split.
#![allow(dead_code)]

use fernknot::interface::Nanos;
use fernknot_protocol::buffer::Buffer;
use fernknot_router_config::{LatencySplit, Limits, SocketSettings, TwoPhaseSettings, UnansweredBlock};
use std::fmt::Debug;

pub fn settings() -> SocketSettings {
    let one_second = Nanos::from_millis(1000.0);
    SocketSettings {
        zones: Vec::new(),
        use_cases: vec![("page".to_string(), false), ("mark".to_string(), true)],
        shards: 4,
        max_calls_per_connection: 8,
        max_parts_per_call: 1,
        node_idle_timeout: one_second,
        connect_timeout: one_second,
        drain_grace: one_second,
        longest_deadline: Nanos(3_000_000_000),
        phases: vec![Some(phases(false)), None],
        position: 0,
    }
}

pub fn phases(may_name_other_blocks: bool) -> TwoPhaseSettings {
    TwoPhaseSettings {
        latency_target: Nanos::from_millis(1000.0),
        min_first_phase_share: 0.2,
        max_first_phase_share: 0.8,
        unanswered_block: UnansweredBlock::Fetch,
        may_name_other_blocks,
        min_match_share: 1.0,
        split: LatencySplit::Learned,
        rejects_late_second_phase: true,
        prunes_unmatched: true,
    }
}

pub fn limits() -> Limits {
    Limits::new(256, 64.0, &settings()).unwrap()
}

/// Returns the messages read from input that arrives in these pieces, and the error that ended reading, if any.
fn read_pieces<'a, T>(
    pieces: impl Iterator<Item = &'a [u8]>,
    mut read: impl FnMut(&mut Buffer) -> Result<Option<T>, String>,
) -> (Vec<T>, Option<String>) {
    let (mut buffer, mut messages) = (Buffer::default(), Vec::new());
    for piece in pieces {
        buffer.push(piece);
        loop {
            match read(&mut buffer) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
    }
    (messages, None)
}

/// Checks that the same messages are read from input in one piece, split at any one byte, and byte by byte, and returns
/// them with the error, if any; `new_reader` returns a new reader.
pub fn read_at_every_split<T, R>(bytes: &[u8], new_reader: impl Fn() -> R) -> (Vec<T>, Option<String>)
where
    T: PartialEq + Debug,
    R: FnMut(&mut Buffer) -> Result<Option<T>, String>,
{
    let unsplit = read_pieces(std::iter::once(bytes), new_reader());
    for split in 0..bytes.len() {
        assert_eq!(
            read_pieces([&bytes[..split], &bytes[split..]].into_iter(), new_reader()),
            unsplit,
            "split at {split}"
        );
    }
    assert_eq!(read_pieces(bytes.chunks(1), new_reader()), unsplit);
    unsplit
}
