//! What a store answers in the first of two phases: which blocks hold matches, and a summary of its own.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use fernknot::interface::ShardId;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq)]
pub enum Names {
    Blocks(Vec<ShardId>),
    /// The block is as in this version of its summary, which the router said that it keeps.
    Same(u64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Match {
    pub names: Names,
    /// A summary with its version: the prints of all terms that the block holds.
    pub sketch: Option<(u64, Vec<u64>)>,
}

#[derive(Deserialize, Serialize)]
struct Value {
    #[serde(skip_serializing_if = "Option::is_none")]
    blocks: Option<Vec<u32>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    same: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prints: Option<String>,
}

/// Reads a match value. One that cannot be read, or says two things at once, is refused whole.
pub fn read(value: &str) -> Result<Match, &'static str> {
    let value: Value = serde_json::from_str(value).map_err(|_| "a match value cannot be read")?;
    let names = match (value.blocks, value.same) {
        (Some(blocks), None) => Names::Blocks(blocks.into_iter().map(ShardId).collect()),
        (None, Some(version)) => Names::Same(version),
        _ => return Err("a match value has not just one of blocks and same"),
    };
    let sketch = match (value.version, value.prints) {
        (Some(version), Some(prints)) => Some((version, prints_of(&prints)?)),
        (None, Some(_)) => return Err("prints come without their version"),
        _ => None,
    };
    Ok(Match { names, sketch })
}

fn prints_of(text: &str) -> Result<Vec<u64>, &'static str> {
    let bytes = STANDARD.decode(text).map_err(|_| "prints are not base64")?;
    let (prints, rest) = bytes.as_chunks::<8>();
    if !rest.is_empty() {
        return Err("prints are not of eight bytes each");
    }
    Ok(prints.iter().map(|print| u64::from_le_bytes(*print)).collect())
}

/// The same as a store writes it.
pub fn write(answer: &Match) -> String {
    let (blocks, same) = match &answer.names {
        Names::Blocks(blocks) => (Some(blocks.iter().map(|shard| shard.0).collect()), None),
        Names::Same(version) => (None, Some(*version)),
    };
    let bytes = |prints: &Vec<u64>| prints.iter().flat_map(|print| print.to_le_bytes()).collect::<Vec<u8>>();
    let value = Value {
        blocks,
        same,
        version: answer.sketch.as_ref().map(|(version, _)| *version),
        prints: answer.sketch.as_ref().map(|(_, prints)| STANDARD.encode(bytes(prints))),
    };
    serde_json::to_string(&value).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(r#"{"blocks":[]}"#, Names::Blocks(vec![]), None; "nothing matches")]
    #[test_case(r#"{"blocks":[3,9],"note":1}"#, Names::Blocks(vec![ShardId(3), ShardId(9)]), None; "two")]
    #[test_case(r#"{"same":7}"#, Names::Same(7), None; "as it was")]
    #[test_case(r#"{"blocks":[],"version":7}"#, Names::Blocks(vec![]), None; "a version alone")]
    #[test_case(
        r#"{"blocks":[],"version":7,"prints":"AQAAAAAAAAA="}"#, Names::Blocks(vec![]), Some((7, vec![1]));
        "with a summary"
    )]
    fn match_values_are_read_and_written(text: &str, names: Names, sketch: Option<(u64, Vec<u64>)>) {
        let value = read(text).unwrap();
        assert_eq!(value, Match { names, sketch });
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
}
