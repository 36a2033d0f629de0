//! Merges the parts of a gathered answer: of all records of the parts that are in, the greatest, falling.
//! No I/O and no clock.

/// Bytes of one record; what is left over at the end of a part is none.
pub const RECORD_BYTES: usize = 16;

/// A part that is in: the seal of the answer that brought it, and its bytes.
#[derive(Clone, Copy, Debug)]
pub struct ShardAnswer<'a> {
    pub seal: &'a str,
    pub body: &'a [u8],
}

/// What a gathered answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedAnswer {
    /// The seals of the parts that are in, joined by commas.
    pub seals: String,
    pub missing_shards: usize,
    pub body: Vec<u8>,
}

/// Joins the parts of an answer that was asked of `shards` shards, with the greatest `top` records. Every
/// equal record counts. `None` where fewer than the share `quorum` is in, nothing is in at all, or two parts
/// bear one seal: such an answer would be no success, or a wrong one.
pub fn merge_answers(parts: &[ShardAnswer], shards: usize, top: usize, quorum: f64) -> Option<MergedAnswer> {
    // Shares are fractions of whole numbers; the slack is for those that binary cannot hold.
    let enough = parts.len() as f64 + 1e-9 >= quorum * shards as f64;
    let twice =
        parts.iter().enumerate().any(|(at, part)| parts[..at].iter().any(|other| other.seal == part.seal));
    if parts.is_empty() || parts.len() > shards || !enough || twice {
        return None;
    }
    let count = parts.iter().map(|part| part.body.len() / RECORD_BYTES).sum();
    let mut records: Vec<u128> = Vec::with_capacity(count);
    for part in parts {
        let (whole, _) = part.body.as_chunks::<RECORD_BYTES>();
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if top < records.len() {
        // Only what can be among the greatest is put in order.
        if top > 0 {
            records.select_nth_unstable_by(top - 1, |one, other| other.cmp(one));
        }
        records.truncate(top);
    }
    records.sort_unstable_by(|one, other| other.cmp(one));
    let body = records.iter().flat_map(|record| record.to_be_bytes()).collect();
    let seals: Vec<&str> = parts.iter().map(|part| part.seal).collect();
    Some(MergedAnswer { seals: seals.join(", "), missing_shards: shards - parts.len(), body })
}
