//! Completion and withdrawal of frames in a connection's output buffer.

use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::outbox::Outbox;
use test_case::test_case;

/// Writes `count` bytes of three frames of 5, 7 and 4 bytes.
#[test_case(0, "", "", "cba"; "no bytes")]
#[test_case(1, "", "a", "cb"; "one frame in part")]
#[test_case(5, "a", "", "cb"; "one frame")]
#[test_case(6, "a", "b", "c"; "one frame and part of the next")]
#[test_case(15, "ab", "c", ""; "all but the last byte")]
#[test_case(16, "abc", "", ""; "all frames")]
fn a_frame_is_complete_after_its_last_byte_and_can_be_withdrawn_before_its_first(
    count: usize,
    expected_completed: &str,
    expected_partial: &str,
    expected_withdrawn: &str,
) {
    let (mut outbox, mut out) = (Outbox::default(), Buffer::default());
    for (item, length) in [('a', 5), ('b', 7), ('c', 4)] {
        out.push(item.to_string().repeat(length).as_bytes());
        outbox.push(length, item);
    }
    let (mut completed, mut partial) = (String::new(), String::new());
    // A socket may accept single bytes.
    for _ in 0..count {
        partial.clear();
        outbox.record_written(
            1,
            |item, is_complete| if is_complete { completed.push(*item) } else { partial.push(*item) },
        );
        out.consume(1);
    }
    let mut withdrawn = String::new();
    while let Some(item) = outbox.pop_unwritten(&mut out) {
        withdrawn.push(item);
    }
    assert_eq!(
        (completed.as_str(), partial.as_str(), withdrawn.as_str()),
        (expected_completed, expected_partial, expected_withdrawn)
    );
    assert!(out.data().iter().all(|byte| expected_partial.as_bytes().contains(byte)));
    outbox.record_written(out.len(), |item, is_complete| {
        assert!(is_complete && expected_partial.contains(*item))
    });
}
