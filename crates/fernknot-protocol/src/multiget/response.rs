//! The response to a multiget.

use fernknot::interface::ShardId;
use serde::Serialize;

/// What became of a block of a query in two phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BlockState {
    /// Its records are in the response.
    Fetched,
    /// It holds no match, so it was not fetched.
    Pruned,
    /// It holds a match, or may hold one, but its records did not come.
    Missing,
    /// It was not asked for its records, though it was not known to hold no match.
    Unasked,
}

#[derive(Serialize)]
struct FoundItem<'a> {
    bucket: u32,
    item: &'a str,
}

#[derive(Serialize)]
struct BlockStatus {
    bucket: u32,
    state: BlockState,
}

#[derive(Serialize)]
struct ResponseBody<'a> {
    finished: bool,
    found: Vec<FoundItem<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    blocks: Option<Vec<BlockStatus>>,
}

/// The body of a response from the parts that are in, and from the state of each block of a query in two phases.
pub fn response_body<'a>(
    is_complete: bool,
    parts: impl Iterator<Item = (ShardId, &'a str)>,
    blocks: Option<&[(ShardId, BlockState)]>,
) -> Vec<u8> {
    let found = parts.map(|(shard, item)| FoundItem { bucket: shard.0, item }).collect();
    let block_status =
        |(shard, state): &(ShardId, BlockState)| BlockStatus { bucket: shard.0, state: *state };
    let blocks = blocks.map(|blocks| blocks.iter().map(block_status).collect());
    serde_json::to_vec(&ResponseBody { finished: is_complete, found, blocks }).unwrap_or_default()
}
