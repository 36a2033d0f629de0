//! Parsing and writing of match values.

use fernknot::interface::ShardId;
use fernknot_protocol::matches::{MatchAnswer, MatchedBlocks, read, write};
use test_case::test_case;

#[test_case(r#"{"blocks":[]}"#, MatchedBlocks::Blocks(vec![]), None; "no match")]
#[test_case(r#"{"blocks":[3,9],"note":1}"#, MatchedBlocks::Blocks(vec![ShardId(3), ShardId(9)]), None; "two blocks and an unknown key")]
#[test_case(r#"{"same":7}"#, MatchedBlocks::Same(7), None; "unchanged")]
#[test_case(r#"{"blocks":[],"version":7}"#, MatchedBlocks::Blocks(vec![]), None; "version without a summary")]
#[test_case(
    r#"{"blocks":[],"version":7,"prints":"AQAAAAAAAAA="}"#, MatchedBlocks::Blocks(vec![]), Some((7, vec![1]));
    "with a summary"
)]
fn match_values_are_read_as_written(
    text: &str,
    matched_blocks: MatchedBlocks,
    summary: Option<(u64, Vec<u64>)>,
) {
    let value = read(text).unwrap();
    assert_eq!(value, MatchAnswer { matched_blocks, summary });
    assert_eq!(read(&write(&value)).unwrap(), value);
}

#[test_case(""; "empty")]
#[test_case("hello"; "not an object")]
#[test_case("{}"; "neither blocks nor same")]
#[test_case(r#"{"blocks":[1],"same":2}"#; "both blocks and same")]
#[test_case(r#"{"blocks":[-1]}"#; "a negative block")]
#[test_case(r#"{"blocks":[4294967296]}"#; "block number above 32 bits")]
#[test_case(r#"{"blocks":[1]"#; "truncated")]
#[test_case(r#"{"blocks":[],"prints":"AQAAAAAAAAA="}"#; "prints without a version")]
#[test_case(r#"{"blocks":[],"version":1,"prints":"AQAA"}"#; "incomplete fingerprint")]
#[test_case(r#"{"blocks":[],"version":1,"prints":"%"}"#; "invalid base64")]
fn malformed_match_values_are_rejected(text: &str) {
    assert!(read(text).is_err());
}
