//! Which frames are complete, and which can be withdrawn.

use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::outbox::Outbox;
use test_case::test_case;

/// Three frames of 5, 7 and 4 bytes, of which so many bytes go out.
#[test_case(0, "", "", "cba"; "nothing")]
#[test_case(1, "", "a", "cb"; "one begun")]
#[test_case(5, "a", "", "cb"; "one whole")]
#[test_case(6, "a", "b", "c"; "one whole and one begun")]
#[test_case(15, "ab", "c", ""; "all begun")]
#[test_case(16, "abc", "", ""; "all whole")]
fn a_frame_is_complete_with_its_last_byte_and_can_be_withdrawn_before_its_first(
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
