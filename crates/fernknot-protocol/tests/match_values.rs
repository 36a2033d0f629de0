//! What a store answers in the first of two phases.

use fernknot::interface::ShardId;
use fernknot_protocol::matches::{MatchAnswer, MatchedBlocks, read, write};
use test_case::test_case;

#[test_case(r#"{"blocks":[]}"#, MatchedBlocks::Blocks(vec![]), None; "nothing matches")]
#[test_case(r#"{"blocks":[3,9],"note":1}"#, MatchedBlocks::Blocks(vec![ShardId(3), ShardId(9)]), None; "two")]
#[test_case(r#"{"same":7}"#, MatchedBlocks::Same(7), None; "as it was")]
#[test_case(r#"{"blocks":[],"version":7}"#, MatchedBlocks::Blocks(vec![]), None; "a version alone")]
#[test_case(
    r#"{"blocks":[],"version":7,"prints":"AQAAAAAAAAA="}"#, MatchedBlocks::Blocks(vec![]), Some((7, vec![1]));
    "with a summary"
)]
fn match_values_are_read_and_written(
    text: &str,
    matched_blocks: MatchedBlocks,
    summary: Option<(u64, Vec<u64>)>,
) {
    let value = read(text).unwrap();
    assert_eq!(value, MatchAnswer { matched_blocks, summary });
    assert_eq!(read(&write(&value)).unwrap(), value);
}

#[test_case(""; "empty")]
#[test_case("hello"; "no object")]
#[test_case("{}"; "nothing said")]
#[test_case(r#"{"blocks":[1],"same":2}"#; "two things")]
#[test_case(r#"{"blocks":[-1]}"#; "a negative block")]
#[test_case(r#"{"blocks":[4294967296]}"#; "a block past all")]
#[test_case(r#"{"blocks":[1]"#; "cut off")]
#[test_case(r#"{"blocks":[],"prints":"AQAAAAAAAAA="}"#; "prints without a version")]
#[test_case(r#"{"blocks":[],"version":1,"prints":"AQAA"}"#; "half a print")]
#[test_case(r#"{"blocks":[],"version":1,"prints":"%"}"#; "no base64")]
fn what_cannot_be_read_is_refused_whole(text: &str) {
    assert!(read(text).is_err());
}
