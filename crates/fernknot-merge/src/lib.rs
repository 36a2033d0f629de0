//! Merging of shards' answers, without I/O or clock.
//!
//! This crate owns the rule by which the answers of a fanout become one: the greatest records of all, in falling
//! order, if enough shards answered. The gateway calls [`merge_answers`] once a query is complete.

#![deny(missing_docs)]

/// Bytes of one record; a shorter rest at the end of an answer is ignored.
pub const RECORD_BYTES: usize = 16;

/// Fractions are compared with this tolerance: a quorum such as 0.7 has no exact binary value.
const QUORUM_TOLERANCE: f64 = 1e-9;

/// The separator of seals in [`MergedAnswer::seals`].
const SEAL_SEPARATOR: &str = ", ";

/// The answer of one shard.
#[derive(Clone, Copy, Debug)]
pub struct ShardAnswer<'a> {
    /// The seal of the answer (`Answer-Seal`): proof that it belongs to this request.
    pub seal: &'a str,
    /// The records, each of [`RECORD_BYTES`].
    pub body: &'a [u8],
}

/// The merged answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedAnswer {
    /// The seals of the merged answers, joined by commas (`Part-Seals`).
    pub seals: String,
    /// How many shards are missing (`Parts-Missing`).
    pub missing_shards: usize,
    /// The greatest records in falling order.
    pub body: Vec<u8>,
}

/// Merges the answers to a query that went to `shards` shards into its `top_k` greatest records. Equal records all
/// count.
///
/// `None` where the answers are fewer than the fraction `quorum` of the shards, or there is none at all, or two have
/// the same seal: the result would be no success, or a wrong one.
#[must_use]
pub fn merge_answers(
    answers: &[ShardAnswer],
    shards: usize,
    top_k: usize,
    quorum: f64,
) -> Option<MergedAnswer> {
    let is_answered = !answers.is_empty() && answers.len() <= shards;
    if !is_answered || !has_quorum(answers.len(), shards, quorum) || has_repeated_seal(answers) {
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

/// The greatest records in falling order. Compared as big-endian numbers, which is the order of their bytes.
fn top_records(answers: &[ShardAnswer], top_k: usize) -> Vec<u128> {
    let count = answers.iter().map(|answer| answer.body.len() / RECORD_BYTES).sum();
    let mut records: Vec<u128> = Vec::with_capacity(count);
    for answer in answers {
        let (complete, _) = answer.body.as_chunks::<RECORD_BYTES>();
        records.extend(complete.iter().map(|record| u128::from_be_bytes(*record)));
    }
    let falling = |one: &u128, other: &u128| other.cmp(one);
    if top_k < records.len() {
        // Only the greatest have to be sorted.
        if top_k > 0 {
            records.select_nth_unstable_by(top_k - 1, falling);
        }
        records.truncate(top_k);
    }
    records.sort_unstable_by(falling);
    records
}
