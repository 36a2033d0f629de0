//! Contents and memory of the connection buffer.

use fernknot_protocol::buffer::Buffer;

#[test]
fn a_buffer_keeps_its_bytes_across_growth_and_compaction_and_frees_its_memory_once_empty() {
    let (mut buffer, mut expected) = (Buffer::default(), Vec::new());
    for round in 0..200u8 {
        buffer.push(&vec![round; usize::from(round)]);
        expected.extend(vec![round; usize::from(round)]);
        let consumed = usize::from(round / 2);
        buffer.consume(consumed);
        expected.drain(..consumed);
        assert_eq!(buffer.data(), expected);
    }
    buffer.truncate(3);
    assert_eq!(buffer.data(), &expected[..3]);
    buffer.consume(9);
    buffer.shrink(16);
    assert!(buffer.is_empty() && buffer.reserve(1).len() < 64);
}
