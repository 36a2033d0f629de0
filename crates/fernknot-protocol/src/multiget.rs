//! A client's multiget, read from its request, and the answer to it.

use crate::http::Request;
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_router_config::{Limits, PhaseFacts, SocketFacts};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;

/// A query in two phases: what the first asks of which blocks, and what the second asks of those blocks
/// that the answers name.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PhasedBody<'a> {
    #[serde(borrow, rename = "match")]
    first: FirstBody<'a>,
    #[serde(borrow, rename = "fetch")]
    second: Body<'a>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FirstBody<'a> {
    /// All blocks that may be fetched, where none are given.
    buckets: Option<Vec<Bucket>>,
    #[serde(borrow)]
    body: Cow<'a, str>,
    #[serde(default, borrow)]
    terms: Vec<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Body<'a> {
    buckets: Vec<Bucket>,
    #[serde(borrow)]
    body: Cow<'a, str>,
}

#[derive(Deserialize)]
struct Bucket {
    bucket: u32,
    part: f64,
    effort: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AskedPart {
    pub shard: ShardId,
    pub weight: f64,
    pub effort: Option<Nanos>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    pub id: String,
    pub use_case: UseCaseId,
    pub key: Option<String>,
    pub wait: Nanos,
    pub repeat: bool,
    pub text: String,
    pub parts: Vec<AskedPart>,
    /// The second of two phases; `text` and `parts` are the first one's then.
    pub second: Option<AskedSecond>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AskedSecond {
    pub text: String,
    /// The blocks that may be fetched.
    pub parts: Vec<AskedPart>,
    /// What the query looks for, for summaries of blocks.
    pub terms: Vec<String>,
}

/// What is wrong with a request that was read whole: the answer's status and words.
pub type Unfit = (u16, &'static str);

/// What a client asks for.
pub fn parse_multiget(request: &Request, facts: &SocketFacts, limits: &Limits) -> Result<Asked, Unfit> {
    let name = request.path().trim_start_matches('/').split('/').next().unwrap_or("");
    let use_case = facts.use_cases.iter().position(|(known, _)| known == name);
    let use_case = use_case.ok_or((404, "unknown use case"))?;
    if request.method != "POST" {
        return Err((405, "a multiget is a POST"));
    }
    let id =
        request.header("req-id").filter(|id| is_name(id, limits)).ok_or((400, "Req-Id missing or unfit"))?;
    let wait = request.header("req-deadline").and_then(|text| text.trim().parse::<f64>().ok());
    let wait = wait.filter(|wait| wait.is_finite() && *wait > 0.0).map(|wait| Nanos::from_millis(wait * 1e3));
    let wait = wait.filter(|wait| *wait <= limits.max_client_wait);
    let wait = wait.ok_or((400, "Req-Deadline missing or unfit"))?;
    let keyed = facts.use_cases[use_case].1;
    let key = request.header("idempotency-key").filter(|_| keyed);
    if keyed && !key.is_some_and(|key| is_name(key, limits)) {
        return Err((400, "Idempotency-Key missing or unfit"));
    }
    let phases = facts.phases.get(use_case).and_then(Option::as_ref);
    let (text, parts, second) = match phases {
        // Only a query in two phases has such a body; any other is read as ever.
        Some(phases) if is_phased(&request.body) => phased(&request.body, facts, phases, limits)?,
        _ => {
            let body: Body = serde_json::from_slice(&request.body).map_err(|_| (400, "body unfit"))?;
            (body.body.into_owned(), parts(&body.buckets, facts, limits)?, None)
        }
    };
    Ok(Asked {
        id: id.to_string(),
        use_case: UseCaseId(use_case),
        key: key.map(str::to_string),
        wait,
        repeat: request.header("req-retry").is_some_and(|mark| mark.trim() == "1"),
        text,
        parts,
        second,
    })
}

/// The parts that a list of buckets asks for.
fn parts(buckets: &[Bucket], facts: &SocketFacts, limits: &Limits) -> Result<Vec<AskedPart>, Unfit> {
    if buckets.is_empty() {
        return Err((400, "no parts"));
    }
    let mut seen = BTreeSet::new();
    for bucket in buckets {
        if bucket.bucket >= facts.shards || !seen.insert(bucket.bucket) {
            return Err((400, "a shard is unknown or asked for twice"));
        }
        if !(0.0..=1.0).contains(&bucket.part) {
            return Err((400, "a part's share is unfit"));
        }
    }
    let whole: f64 = buckets.iter().map(|bucket| bucket.part).sum();
    if (whole - 1.0).abs() > limits.share_tolerance {
        return Err((400, "the parts' shares make no whole"));
    }
    let part = |bucket: &Bucket| AskedPart {
        shard: ShardId(bucket.bucket),
        weight: bucket.part,
        effort: bucket.effort.filter(|effort| *effort > 0.0).map(|effort| Nanos::from_millis(effort / 1e3)),
    };
    Ok(buckets.iter().map(part).collect())
}

fn is_phased(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Sort {
        #[serde(rename = "match")]
        first: Option<serde::de::IgnoredAny>,
    }
    serde_json::from_slice::<Sort>(body).is_ok_and(|sort| sort.first.is_some())
}

type Phased = (String, Vec<AskedPart>, Option<AskedSecond>);

fn phased(body: &[u8], facts: &SocketFacts, phases: &PhaseFacts, limits: &Limits) -> Result<Phased, Unfit> {
    let body: PhasedBody = serde_json::from_slice(body).map_err(|_| (400, "match or fetch unfit"))?;
    let second = parts(&body.second.buckets, facts, limits)?;
    let first = match &body.first.buckets {
        Some(buckets) => parts(buckets, facts, limits)?,
        // What a match costs is not what a fetch costs.
        None => second.iter().map(|part| AskedPart { effort: None, ..part.clone() }).collect(),
    };
    let asked: BTreeSet<ShardId> = first.iter().map(|part| part.shard).collect();
    // Guards against blocks that nothing could ever name or rule out.
    if !phases.names_others && second.iter().any(|part| !asked.contains(&part.shard)) {
        return Err((400, "a block is to be fetched that is not asked for matches"));
    }
    let fits = |term: &Cow<str>| !term.is_empty() && term.len() <= limits.max_term_bytes;
    if body.first.terms.len() > limits.max_terms || !body.first.terms.iter().all(fits) {
        return Err((400, "terms unfit"));
    }
    let terms = body.first.terms.into_iter().map(Cow::into_owned).collect();
    let second = AskedSecond { text: body.second.body.into_owned(), parts: second, terms };
    Ok((body.first.body.into_owned(), first, Some(second)))
}

/// Names go into frames, whose words end at spaces, commas and line ends.
fn is_name(text: &str, limits: &Limits) -> bool {
    let fits = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty() && text.len() <= limits.max_name_bytes && text.bytes().all(fits)
}

#[derive(Serialize)]
struct FoundItem<'a> {
    bucket: u32,
    item: &'a str,
}

/// What an answer in two phases says of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BlockState {
    Fetched,
    Pruned,
    Missing,
    Unasked,
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

/// The body of an answer from the parts that are in, and from what is said of each block of a query in
/// two phases.
pub fn response_body<'a>(
    whole: bool,
    parts: impl Iterator<Item = (ShardId, &'a str)>,
    blocks: Option<&[(ShardId, BlockState)]>,
) -> Vec<u8> {
    let found = parts.map(|(shard, item)| FoundItem { bucket: shard.0, item }).collect();
    let said = |(shard, state): &(ShardId, BlockState)| BlockStatus { bucket: shard.0, state: *state };
    let blocks = blocks.map(|blocks| blocks.iter().map(said).collect());
    serde_json::to_vec(&ResponseBody { finished: whole, found, blocks }).unwrap_or_default()
}
