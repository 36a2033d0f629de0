//! Body of the response to a multiget.

use fernknot::interface::ShardId;
use serde::Serialize;

/// State of a block in the response to a two-phase query, which fetches the blocks (sets of records, one per shard)
/// that match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BlockState {
    /// The block's records are in the response.
    Fetched,
    /// The block holds no match, so it was not fetched.
    Pruned,
    /// The block's records were requested but not received.
    Missing,
    /// The block's records were not requested, although it may hold a match.
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

/// Returns the JSON body of the response with the received parts and, for a two-phase query, the state of each block.
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
