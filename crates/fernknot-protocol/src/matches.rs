//! Match values: a store's responses in the first phase of a two-phase query, which determines the blocks to fetch in
//! the second. A block is the set of records of one shard, and has that shard's number; its store is the node that
//! answers for it. Match values name the blocks that hold matches, and may have a summary of the store's own block:
//! the fingerprints of the terms in it at one version, a number that grows when the block changes.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use fernknot::interface::ShardId;
use serde::{Deserialize, Serialize};

/// Blocks that hold matches.
#[derive(Clone, Debug, PartialEq)]
pub enum MatchedBlocks {
    /// Exactly the listed blocks, as far as this store knows.
    Blocks(Vec<ShardId>),
    /// The store's own block is unchanged since this version of its summary, which the router has cached; the router
    /// derives from that summary whether the block matches.
    Same(u64),
}

/// Store's response in the first phase of a two-phase query.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchAnswer {
    /// Blocks that hold matches.
    pub matched_blocks: MatchedBlocks,
    /// Version and content of the summary of the store's own block: the fingerprints of all terms in the block. `None`
    /// if the store sends no summary.
    pub summary: Option<(u64, Vec<u64>)>,
}

/// Error of a malformed match value, no part of which is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MatchError {
    /// The value is not JSON of the expected form.
    #[error("match value is not JSON of the expected form")]
    Malformed,
    /// The value has neither or both of `blocks` and `same`.
    #[error("match value must have exactly one of blocks and same")]
    Ambiguous,
    /// The summary has no version.
    #[error("match value has prints without a version")]
    MissingVersion,
    /// The summary is not valid base64.
    #[error("prints are not valid base64")]
    NotBase64,
    /// The length of the summary is not a multiple of a fingerprint's eight bytes.
    #[error("length of prints is not a multiple of eight bytes")]
    PartialFingerprint,
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

/// Parses a match value.
///
/// # Errors
/// The value is malformed or ambiguous.
pub fn read(value: &str) -> Result<MatchAnswer, MatchError> {
    let value: Value = serde_json::from_str(value).map_err(|_| MatchError::Malformed)?;
    let matched_blocks = match (value.blocks, value.same) {
        (Some(blocks), None) => MatchedBlocks::Blocks(blocks.into_iter().map(ShardId).collect()),
        (None, Some(version)) => MatchedBlocks::Same(version),
        _ => return Err(MatchError::Ambiguous),
    };
    let summary = match (value.version, value.prints) {
        (Some(version), Some(prints)) => Some((version, decode_fingerprints(&prints)?)),
        (None, Some(_)) => return Err(MatchError::MissingVersion),
        _ => None,
    };
    Ok(MatchAnswer { matched_blocks, summary })
}

fn decode_fingerprints(text: &str) -> Result<Vec<u64>, MatchError> {
    let bytes = STANDARD.decode(text).map_err(|_| MatchError::NotBase64)?;
    let (fingerprints, partial_fingerprint) = bytes.as_chunks::<8>();
    if !partial_fingerprint.is_empty() {
        return Err(MatchError::PartialFingerprint);
    }
    Ok(fingerprints.iter().map(|bytes| u64::from_le_bytes(*bytes)).collect())
}

fn encode_fingerprints(fingerprints: &[u64]) -> String {
    let bytes = fingerprints.iter().flat_map(|fingerprint| fingerprint.to_le_bytes());
    STANDARD.encode(bytes.collect::<Vec<u8>>())
}

/// Returns the match value in a store's JSON form.
pub fn write(answer: &MatchAnswer) -> String {
    let (blocks, same) = match &answer.matched_blocks {
        MatchedBlocks::Blocks(blocks) => (Some(blocks.iter().map(|shard| shard.0).collect()), None),
        MatchedBlocks::Same(version) => (None, Some(*version)),
    };
    let value = Value {
        blocks,
        same,
        version: answer.summary.as_ref().map(|(version, _)| *version),
        prints: answer.summary.as_ref().map(|(_, fingerprints)| encode_fingerprints(fingerprints)),
    };
    serde_json::to_string(&value).unwrap_or_default()
}
