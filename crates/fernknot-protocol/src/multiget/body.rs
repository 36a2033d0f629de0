//! The JSON of a multiget's body.

use serde::Deserialize;
use std::borrow::Cow;

/// A query in two phases: what the first asks of which blocks, and what the second asks of those blocks that the
/// answers name.
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
    /// All blocks that may be fetched, where none are given.
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

/// What is asked of one shard.
#[derive(Deserialize)]
pub(super) struct Bucket {
    pub(super) bucket: u32,
    pub(super) part: f64,
    /// The work that it is expected to take, in microseconds.
    pub(super) effort: Option<f64>,
}

/// Whether a body is of a query in two phases.
pub(super) fn is_phased(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct PhaseMarker {
        #[serde(rename = "match")]
        first: Option<serde::de::IgnoredAny>,
    }
    serde_json::from_slice::<PhaseMarker>(body).is_ok_and(|marker| marker.first.is_some())
}
