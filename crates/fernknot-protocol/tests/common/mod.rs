//! Settings for the tests, and readers fed whole, byte by byte and split at every byte.
#![allow(dead_code)]

use fernknot::interface::Nanos;
use fernknot_protocol::buffer::Buffer;
use fernknot_router_config::{LatencySplit, Limits, SocketSettings, TwoPhaseSettings, UnansweredBlock};
use std::fmt::Debug;

pub fn settings() -> SocketSettings {
    let span = Nanos::from_millis(1000.0);
    SocketSettings {
        zones: Vec::new(),
        use_cases: vec![("page".to_string(), false), ("mark".to_string(), true)],
        shards: 4,
        max_calls_per_connection: 8,
        max_parts_per_call: 1,
        node_idle_timeout: span,
        connect_timeout: span,
        drain_grace: span,
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

/// What is read of `bytes` fed in these pieces: all that comes, and whether reading failed.
fn feed<'a, T>(
    pieces: impl Iterator<Item = &'a [u8]>,
    mut read: impl FnMut(&mut Buffer) -> Result<Option<T>, String>,
) -> (Vec<T>, Option<String>) {
    let (mut buffer, mut got) = (Buffer::default(), Vec::new());
    for piece in pieces {
        buffer.push(piece);
        loop {
            match read(&mut buffer) {
                Ok(Some(message)) => got.push(message),
                Ok(None) => break,
                Err(why) => return (got, Some(why)),
            }
        }
    }
    (got, None)
}

/// Whole, split at each byte and byte by byte, the same must be read; `fresh` makes a new reader.
pub fn same_however_cut<T, R>(bytes: &[u8], fresh: impl Fn() -> R) -> (Vec<T>, Option<String>)
where
    T: PartialEq + Debug,
    R: FnMut(&mut Buffer) -> Result<Option<T>, String>,
{
    let whole = feed(std::iter::once(bytes), fresh());
    for cut in 0..bytes.len() {
        assert_eq!(feed([&bytes[..cut], &bytes[cut..]].into_iter(), fresh()), whole, "cut at {cut}");
    }
    assert_eq!(feed(bytes.chunks(1), fresh()), whole);
    whole
}
