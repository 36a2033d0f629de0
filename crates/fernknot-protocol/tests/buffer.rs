//! The buffer of one direction of a connection.

use fernknot_protocol::buffer::Buffer;

#[test]
fn a_buffer_keeps_its_bytes_while_it_grows_and_is_compacted_and_gives_back_what_it_does_not_need() {
    let (mut buffer, mut want) = (Buffer::default(), Vec::new());
    for round in 0..200u8 {
        buffer.push(&vec![round; usize::from(round)]);
        want.extend(vec![round; usize::from(round)]);
        let gone = usize::from(round / 2);
        buffer.consume(gone);
        want.drain(..gone);
        assert_eq!(buffer.data(), want);
    }
    buffer.truncate(3);
    assert_eq!(buffer.data(), &want[..3]);
    buffer.consume(9);
    buffer.shrink(16);
    assert!(buffer.is_empty() && buffer.reserve(1).len() < 64);
}
