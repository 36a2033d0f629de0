//! A reader yields the messages of a connection however its bytes are split.

use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{DecodeError, MessageReader, write_message};

const MAX_MESSAGE_BYTES: usize = 1 << 20;

fn messages() -> Vec<String> {
    vec!["a".repeat(300), String::new(), "b".repeat(5_000), "c".to_string()]
}

fn read_available(reader: &mut MessageReader, input: &mut Buffer) -> Vec<String> {
    std::iter::from_fn(|| reader.read::<String>(input, MAX_MESSAGE_BYTES).unwrap()).collect()
}

#[test]
fn given_messages_when_their_bytes_arrive_in_pieces_then_each_is_read_once_and_the_input_is_consumed() {
    let mut bytes = Buffer::default();
    messages().iter().for_each(|message| write_message(&mut bytes, message));
    for piece_bytes in [1, 3, 7, 64, 1_000, bytes.len()] {
        let (mut reader, mut input, mut read) = (MessageReader::default(), Buffer::default(), Vec::new());
        for piece in bytes.data().chunks(piece_bytes) {
            input.push(piece);
            read.extend(read_available(&mut reader, &mut input));
            assert!(input.is_empty(), "{piece_bytes} bytes a piece");
        }
        assert_eq!(read, messages(), "{piece_bytes} bytes a piece");
        assert!(reader.is_empty());
    }
}

#[test]
fn given_a_length_above_the_limit_when_it_is_read_then_it_is_rejected_before_the_message_arrives() {
    let mut input = Buffer::default();
    input.push(&(MAX_MESSAGE_BYTES as u32 + 1).to_le_bytes());
    let error = MessageReader::default().read::<String>(&mut input, MAX_MESSAGE_BYTES).unwrap_err();
    assert_eq!(error, DecodeError::TooLong { length: MAX_MESSAGE_BYTES + 1, max: MAX_MESSAGE_BYTES });
}
