//! What a store answers in the first of two phases: which blocks hold matches, and a summary of its own block.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use fernknot::interface::ShardId;
use serde::{Deserialize, Serialize};

/// The blocks that hold matches.
#[derive(Clone, Debug, PartialEq)]
pub enum MatchedBlocks {
    /// These blocks.
    Blocks(Vec<ShardId>),
    /// The block is as in this version of its summary, which the router said that it keeps.
    Same(u64),
}

/// A store's answer in the first of two phases.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchAnswer {
    /// The blocks that hold matches.
    pub matched_blocks: MatchedBlocks,
    /// A summary with its version: the fingerprints of all terms that the block holds.
    pub summary: Option<(u64, Vec<u64>)>,
}

/// Why a match value cannot be read. No part of such a value is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MatchError {
    /// It is not JSON of the form that is expected.
    #[error("a match value cannot be read")]
    Malformed,
    /// It has neither or both of `blocks` and `same`.
    #[error("a match value has not just one of blocks and same")]
    Ambiguous,
    /// A summary has no version.
    #[error("prints come without their version")]
    MissingVersion,
    /// A summary is not in base64.
    #[error("prints are not base64")]
    NotBase64,
    /// A summary is not a whole number of fingerprints.
    #[error("prints are not of eight bytes each")]
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

/// Reads a match value.
///
/// # Errors
/// The value cannot be read, or has two meanings at once.
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
    let (fingerprints, rest) = bytes.as_chunks::<8>();
    if !rest.is_empty() {
        return Err(MatchError::PartialFingerprint);
    }
    Ok(fingerprints.iter().map(|bytes| u64::from_le_bytes(*bytes)).collect())
}

fn encode_fingerprints(fingerprints: &[u64]) -> String {
    let bytes = fingerprints.iter().flat_map(|fingerprint| fingerprint.to_le_bytes());
    STANDARD.encode(bytes.collect::<Vec<u8>>())
}

/// The value as a store writes it.
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
