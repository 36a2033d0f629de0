//! Parsing of a multiget request. A block is the set of records of one shard; a part of the first of two phases asks a
//! block for matches, a part of the second fetches a block.

use super::body::{Body, Bucket, FirstBody, PhasedBody, is_two_phase};
use super::error::RequestError;
use crate::http::Request;
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_router_config::{Limits, SocketSettings, TwoPhaseSettings};
use std::borrow::Cow;
use std::collections::BTreeSet;

/// Part of a multiget for one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedPart {
    /// Shard that the part queries.
    pub shard: ShardId,
    /// Share of the part in the complete answer, from 0 to 1.
    pub weight: f64,
    /// Expected work of the part, as processing time at a node; `None` if the client gives none.
    pub effort: Option<Nanos>,
}

/// Validated multiget of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct MultigetRequest {
    /// Id that the client gave the request.
    pub id: String,
    /// Use case that the path names.
    pub use_case: UseCaseId,
    /// Idempotency key, if the use case requires one.
    pub key: Option<String>,
    /// Time that the client waits for the response, from the arrival of the request.
    pub timeout: Nanos,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Query text, the same for each shard.
    pub text: String,
    /// Parts of the multiget, one for each shard queried.
    pub parts: Vec<RequestedPart>,
    /// Second phase of a two-phase query, for which `text` and `parts` are those of the first phase; `None` for any
    /// other query.
    pub second_phase: Option<SecondPhaseRequest>,
}

/// Second phase of a two-phase query.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondPhaseRequest {
    /// Query text, the same for each block that is fetched.
    pub text: String,
    /// Parts for the blocks that may be fetched.
    pub parts: Vec<RequestedPart>,
    /// Search terms that a matching block contains; the router looks them up in cached summaries of the terms in each
    /// block.
    pub terms: Vec<String>,
}

/// Parses a multiget request.
///
/// # Errors
/// The request is not a valid multiget.
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
    let id =
        request.header("req-id").filter(|id| is_valid_name(id, limits)).ok_or(RequestError::InvalidId)?;
    let client_timeout = parse_timeout(request, limits)?;
    let is_keyed = settings.use_cases[use_case].1;
    let key = if is_keyed { Some(parse_key(request, limits)?) } else { None };
    let ParsedBody { text, parts, second_phase } =
        match settings.phases.get(use_case).and_then(Option::as_ref) {
            // In a use case with two phases, a query without them is parsed like that of any other use case.
            Some(phases) if is_two_phase(&request.body) => {
                parse_two_phase(&request.body, settings, phases, limits)?
            }
            _ => parse_plain(&request.body, settings, limits)?,
        };
    Ok(MultigetRequest {
        id: id.to_string(),
        use_case: UseCaseId(use_case),
        key: key.map(str::to_string),
        timeout: client_timeout,
        is_retry: request.header("req-retry").is_some_and(|value| value.trim() == "1"),
        text,
        parts,
        second_phase,
    })
}

fn parse_timeout(request: &Request, limits: &Limits) -> Result<Nanos, RequestError> {
    let seconds = request.header("req-deadline").and_then(|text| text.trim().parse::<f64>().ok());
    seconds
        .filter(|seconds| seconds.is_finite() && *seconds > 0.0)
        .map(|seconds| Nanos::from_millis(seconds * 1e3))
        .filter(|timeout| *timeout <= limits.max_client_wait)
        .ok_or(RequestError::InvalidDeadline)
}

fn parse_key<'a>(request: &'a Request, limits: &Limits) -> Result<&'a str, RequestError> {
    let key = request.header("idempotency-key").filter(|key| is_valid_name(key, limits));
    key.ok_or(RequestError::InvalidIdempotencyKey)
}

/// Returns whether a name is valid in frames, whose fields end at spaces, commas and line ends.
fn is_valid_name(text: &str, limits: &Limits) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty() && text.len() <= limits.max_name_bytes && text.bytes().all(is_allowed)
}

/// Parsed body of a request.
struct ParsedBody {
    text: String,
    parts: Vec<RequestedPart>,
    second_phase: Option<SecondPhaseRequest>,
}

fn parse_plain(body: &[u8], settings: &SocketSettings, limits: &Limits) -> Result<ParsedBody, RequestError> {
    let body: Body = serde_json::from_slice(body).map_err(|_| RequestError::InvalidBody)?;
    let parts = parse_parts(&body.buckets, settings, limits)?;
    Ok(ParsedBody { text: body.body.into_owned(), parts, second_phase: None })
}

fn parse_two_phase(
    body: &[u8],
    settings: &SocketSettings,
    phases: &TwoPhaseSettings,
    limits: &Limits,
) -> Result<ParsedBody, RequestError> {
    let body: PhasedBody = serde_json::from_slice(body).map_err(|_| RequestError::InvalidPhases)?;
    let fetch_parts = parse_parts(&body.second.buckets, settings, limits)?;
    let match_parts = first_phase_parts(&body.first, &fetch_parts, settings, limits)?;
    let match_shards: BTreeSet<ShardId> = match_parts.iter().map(|part| part.shard).collect();
    // A block that is not asked for matches can only be named by other blocks. If these name only themselves, nothing
    // could decide whether to fetch it.
    if !phases.may_name_other_blocks && fetch_parts.iter().any(|part| !match_shards.contains(&part.shard)) {
        return Err(RequestError::UnreachableBlock);
    }
    check_terms(&body.first.terms, limits)?;
    let terms = body.first.terms.into_iter().map(Cow::into_owned).collect();
    let second_phase = SecondPhaseRequest { text: body.second.body.into_owned(), parts: fetch_parts, terms };
    Ok(ParsedBody {
        text: body.first.body.into_owned(),
        parts: match_parts,
        second_phase: Some(second_phase),
    })
}

/// Returns the parts of the first phase: those given, or by default all that may be fetched.
fn first_phase_parts(
    first: &FirstBody,
    fetch_parts: &[RequestedPart],
    settings: &SocketSettings,
    limits: &Limits,
) -> Result<Vec<RequestedPart>, RequestError> {
    match &first.buckets {
        Some(buckets) => parse_parts(buckets, settings, limits),
        // The expected work is that of a fetch, which says nothing about the work of a match.
        None => Ok(fetch_parts.iter().map(|part| RequestedPart { effort: None, ..part.clone() }).collect()),
    }
}

fn check_terms(terms: &[Cow<str>], limits: &Limits) -> Result<(), RequestError> {
    let is_valid = |term: &Cow<str>| !term.is_empty() && term.len() <= limits.max_term_bytes;
    if terms.len() > limits.max_terms || !terms.iter().all(is_valid) {
        return Err(RequestError::InvalidTerms);
    }
    Ok(())
}

/// Validates a list of buckets and returns their parts.
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
    Ok(buckets.iter().map(requested_part).collect())
}

fn requested_part(bucket: &Bucket) -> RequestedPart {
    let effort_us = bucket.effort.filter(|effort| *effort > 0.0);
    RequestedPart {
        shard: ShardId(bucket.bucket),
        weight: bucket.part,
        effort: effort_us.map(|effort| Nanos::from_millis(effort / 1e3)),
    }
}
