//! What a client asks for.

use super::body::{Body, Bucket, FirstBody, PhasedBody, is_phased};
use super::error::RequestError;
use crate::http::Request;
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_router_config::{Limits, SocketSettings, TwoPhaseSettings};
use std::borrow::Cow;
use std::collections::BTreeSet;

/// What is asked of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedPart {
    /// The shard.
    pub shard: ShardId,
    /// The part's share of the whole answer, between 0 and 1.
    pub weight: f64,
    /// The work that it is expected to take.
    pub effort: Option<Nanos>,
}

/// A multiget as its client asks for it.
#[derive(Clone, Debug, PartialEq)]
pub struct MultigetRequest {
    /// The client's id for the request.
    pub id: String,
    /// The use case that the path names.
    pub use_case: UseCaseId,
    /// The idempotency key, where the use case needs one.
    pub key: Option<String>,
    /// How long the client waits.
    pub timeout: Nanos,
    /// The client says that it has sent the request before.
    pub is_retry: bool,
    /// What is asked of each shard.
    pub text: String,
    /// The shards that are asked.
    pub parts: Vec<RequestedPart>,
    /// The second of two phases; `text` and `parts` are the first one's then.
    pub second: Option<SecondPhaseRequest>,
}

/// The second phase of a query in two phases.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondPhaseRequest {
    /// What is asked of each block.
    pub text: String,
    /// The blocks that may be fetched.
    pub parts: Vec<RequestedPart>,
    /// What the query looks for, for summaries of blocks.
    pub terms: Vec<String>,
}

/// Reads a multiget.
///
/// # Errors
/// The request is none that can be answered.
pub fn parse_multiget(
    request: &Request,
    settings: &SocketSettings,
    limits: &Limits,
) -> Result<MultigetRequest, RequestError> {
    let name = request.path().trim_start_matches('/').split('/').next().unwrap_or("");
    let use_case = settings.use_cases.iter().position(|(known, _)| known == name);
    let use_case = use_case.ok_or(RequestError::UnknownUseCase)?;
    if request.method != "POST" {
        return Err(RequestError::NotPost);
    }
    let id = request.header("req-id").filter(|id| is_name(id, limits)).ok_or(RequestError::InvalidId)?;
    let wait = parse_wait(request, limits)?;
    let is_keyed = settings.use_cases[use_case].1;
    let key = if is_keyed { Some(parse_key(request, limits)?) } else { None };
    let ParsedBody { text, parts, second } = match settings.phases.get(use_case).and_then(Option::as_ref) {
        // Only a query in two phases has such a body; any other is read as for any use case.
        Some(phases) if is_phased(&request.body) => parse_phased(&request.body, settings, phases, limits)?,
        _ => parse_plain(&request.body, settings, limits)?,
    };
    Ok(MultigetRequest {
        id: id.to_string(),
        use_case: UseCaseId(use_case),
        key: key.map(str::to_string),
        timeout: wait,
        is_retry: request.header("req-retry").is_some_and(|value| value.trim() == "1"),
        text,
        parts,
        second,
    })
}

fn parse_wait(request: &Request, limits: &Limits) -> Result<Nanos, RequestError> {
    let seconds = request.header("req-deadline").and_then(|text| text.trim().parse::<f64>().ok());
    seconds
        .filter(|seconds| seconds.is_finite() && *seconds > 0.0)
        .map(|seconds| Nanos::from_millis(seconds * 1e3))
        .filter(|wait| *wait <= limits.max_client_wait)
        .ok_or(RequestError::InvalidDeadline)
}

fn parse_key<'a>(request: &'a Request, limits: &Limits) -> Result<&'a str, RequestError> {
    let key = request.header("idempotency-key").filter(|key| is_name(key, limits));
    key.ok_or(RequestError::InvalidIdempotencyKey)
}

/// Names go into frames, whose fields end at spaces, commas and line ends.
fn is_name(text: &str, limits: &Limits) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty() && text.len() <= limits.max_name_bytes && text.bytes().all(is_allowed)
}

/// What the body of a request asks for.
struct ParsedBody {
    text: String,
    parts: Vec<RequestedPart>,
    second: Option<SecondPhaseRequest>,
}

fn parse_plain(body: &[u8], settings: &SocketSettings, limits: &Limits) -> Result<ParsedBody, RequestError> {
    let body: Body = serde_json::from_slice(body).map_err(|_| RequestError::InvalidBody)?;
    let parts = parse_parts(&body.buckets, settings, limits)?;
    Ok(ParsedBody { text: body.body.into_owned(), parts, second: None })
}

fn parse_phased(
    body: &[u8],
    settings: &SocketSettings,
    phases: &TwoPhaseSettings,
    limits: &Limits,
) -> Result<ParsedBody, RequestError> {
    let body: PhasedBody = serde_json::from_slice(body).map_err(|_| RequestError::InvalidPhases)?;
    let fetched = parse_parts(&body.second.buckets, settings, limits)?;
    let asked = first_parts(&body.first, &fetched, settings, limits)?;
    let asked_shards: BTreeSet<ShardId> = asked.iter().map(|part| part.shard).collect();
    // Guards against blocks that nothing could ever name or rule out.
    if !phases.may_name_other_blocks && fetched.iter().any(|part| !asked_shards.contains(&part.shard)) {
        return Err(RequestError::UnreachableBlock);
    }
    check_terms(&body.first.terms, limits)?;
    let terms = body.first.terms.into_iter().map(Cow::into_owned).collect();
    let second = SecondPhaseRequest { text: body.second.body.into_owned(), parts: fetched, terms };
    Ok(ParsedBody { text: body.first.body.into_owned(), parts: asked, second: Some(second) })
}

/// The parts of the first phase: those that are given, or all that may be fetched.
fn first_parts(
    first: &FirstBody,
    fetched: &[RequestedPart],
    settings: &SocketSettings,
    limits: &Limits,
) -> Result<Vec<RequestedPart>, RequestError> {
    match &first.buckets {
        Some(buckets) => parse_parts(buckets, settings, limits),
        // What a match costs is not what a fetch costs.
        None => Ok(fetched.iter().map(|part| RequestedPart { effort: None, ..part.clone() }).collect()),
    }
}

fn check_terms(terms: &[Cow<str>], limits: &Limits) -> Result<(), RequestError> {
    let is_valid = |term: &Cow<str>| !term.is_empty() && term.len() <= limits.max_term_bytes;
    if terms.len() > limits.max_terms || !terms.iter().all(is_valid) {
        return Err(RequestError::InvalidTerms);
    }
    Ok(())
}

/// The parts that a list of buckets asks for.
fn parse_parts(
    buckets: &[Bucket],
    settings: &SocketSettings,
    limits: &Limits,
) -> Result<Vec<RequestedPart>, RequestError> {
    if buckets.is_empty() {
        return Err(RequestError::NoParts);
    }
    let mut seen = BTreeSet::new();
    for bucket in buckets {
        if bucket.bucket >= settings.shards || !seen.insert(bucket.bucket) {
            return Err(RequestError::InvalidShard);
        }
        if !(0.0..=1.0).contains(&bucket.part) {
            return Err(RequestError::InvalidShare);
        }
    }
    let share_sum: f64 = buckets.iter().map(|bucket| bucket.part).sum();
    if (share_sum - 1.0).abs() > limits.share_tolerance {
        return Err(RequestError::InvalidShareSum);
    }
    Ok(buckets.iter().map(asked_part).collect())
}

fn asked_part(bucket: &Bucket) -> RequestedPart {
    let effort_us = bucket.effort.filter(|effort| *effort > 0.0);
    RequestedPart {
        shard: ShardId(bucket.bucket),
        weight: bucket.part,
        effort: effort_us.map(|effort| Nanos::from_millis(effort / 1e3)),
    }
}
