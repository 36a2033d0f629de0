//! Merging of shards' answers, without I/O or a clock.
//!
//! A record is a fixed number of bytes, compared as a big-endian number. The merged answer consists of the greatest
//! records of all answers, in descending order, if enough shards answered. The gateway, which sends a client's query
//! to the shards, calls [`merge_answers`] at the end of the query.

#![deny(missing_docs)]

/// Size of a record in bytes. An incomplete record at the end of an answer is ignored.
pub const RECORD_BYTES: usize = 16;

/// Tolerance of the comparison with the quorum, in answers: a quorum such as 0.7 has no exact binary value.
const QUORUM_TOLERANCE: f64 = 1e-9;

/// Separator of seals in [`MergedAnswer::seals`].
const SEAL_SEPARATOR: &str = ", ";

/// Answer of one shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardAnswer<'a> {
    /// Seal of the answer, the value of its header field `Answer-Seal`: a text that proves that the answer belongs to
    /// this request. Answers of different shards have different seals.
    pub seal: &'a str,
    /// Records of [`RECORD_BYTES`] each.
    pub body: &'a [u8],
}

/// Merged answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedAnswer {
    /// Seals of the merged answers, separated by commas; value of the header field `Part-Seals`.
    pub seals: String,
    /// Number of shards without an answer; value of the header field `Parts-Missing`.
    pub missing_shards: usize,
    /// Greatest records in descending order.
    pub body: Vec<u8>,
}

/// Merges the answers to a query that went to `shards` shards into its `top_k` greatest records. Equal records are all
/// kept.
///
/// Returns `None` if the query did not succeed, because there is no answer or fewer than the fraction `quorum` of the
/// shards answered. Also returns `None` if the answers cannot be right, because there are more answers than shards or
/// two have the same seal.
#[must_use]
pub fn merge_answers(
    answers: &[ShardAnswer],
    shards: usize,
    top_k: usize,
    quorum: f64,
) -> Option<MergedAnswer> {
    let is_count_valid = !answers.is_empty() && answers.len() <= shards;
    if !is_count_valid || !has_quorum(answers.len(), shards, quorum) || has_repeated_seal(answers) {
        return None;
    }
    let records = top_records(answers, top_k);
    let seals: Vec<&str> = answers.iter().map(|answer| answer.seal).collect();
    Some(MergedAnswer {
        seals: seals.join(SEAL_SEPARATOR),
        missing_shards: shards - answers.len(),
        body: records.iter().flat_map(|record| record.to_be_bytes()).collect(),
    })
}

fn has_quorum(answers: usize, shards: usize, quorum: f64) -> bool {
    answers as f64 + QUORUM_TOLERANCE >= quorum * shards as f64
}

fn has_repeated_seal(answers: &[ShardAnswer]) -> bool {
    let mut indexed = answers.iter().enumerate();
    indexed.any(|(index, answer)| answers[..index].iter().any(|earlier| earlier.seal == answer.seal))
}

/// Returns the greatest records in descending order, which is that of their bytes: as big-endian numbers.
fn top_records(answers: &[ShardAnswer], top_k: usize) -> Vec<u128> {
    let count = answers.iter().map(|answer| answer.body.len() / RECORD_BYTES).sum();
    let mut records: Vec<u128> = Vec::with_capacity(count);
    for answer in answers {
        let (complete, _) = answer.body.as_chunks::<RECORD_BYTES>();
        records.extend(complete.iter().map(|record| u128::from_be_bytes(*record)));
    }
    let descending = |one: &u128, other: &u128| other.cmp(one);
    if top_k < records.len() {
        // Selection first, so that only the records that are kept are sorted.
        if top_k > 0 {
            records.select_nth_unstable_by(top_k - 1, descending);
        }
        records.truncate(top_k);
    }
    records.sort_unstable_by(descending);
    records
}
