//! JSON form of a multiget's body. A bucket is a part of the multiget, for one shard.

use serde::Deserialize;
use std::borrow::Cow;

/// Body of a two-phase query: the first phase's text and the blocks (shards) that it goes to, and the second phase's
/// text and the blocks that it may go to, if responses of the first phase name them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PhasedBody<'a> {
    #[serde(borrow, rename = "match")]
    pub(super) first: FirstBody<'a>,
    #[serde(borrow, rename = "fetch")]
    pub(super) second: Body<'a>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FirstBody<'a> {
    /// Blocks to be asked in the first phase; by default all blocks that may be fetched.
    pub(super) buckets: Option<Vec<Bucket>>,
    #[serde(borrow)]
    pub(super) body: Cow<'a, str>,
    #[serde(default, borrow)]
    pub(super) terms: Vec<Cow<'a, str>>,
}

#[derive(Deserialize)]
pub(super) struct Body<'a> {
    pub(super) buckets: Vec<Bucket>,
    #[serde(borrow)]
    pub(super) body: Cow<'a, str>,
}

/// Part of a multiget for one shard.
#[derive(Deserialize)]
pub(super) struct Bucket {
    pub(super) bucket: u32,
    pub(super) part: f64,
    /// Expected work of the part, in microseconds.
    pub(super) effort: Option<f64>,
}

/// Returns whether a body is that of a two-phase query.
pub(super) fn is_two_phase(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct PhaseMarker {
        #[serde(rename = "match")]
        first: Option<serde::de::IgnoredAny>,
    }
    serde_json::from_slice::<PhaseMarker>(body).is_ok_and(|marker| marker.first.is_some())
}
