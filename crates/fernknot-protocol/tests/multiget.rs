//! Parsing of multiget requests, and the bodies of responses.

mod common;

use common::{limits, phases, settings};
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{Request, RequestReader};
use fernknot_protocol::multiget;
use fernknot_router_config::SocketSettings;
use test_case::test_case;

fn request(path: &str, headers: &str, body: &str) -> Request {
    let mut buffer = Buffer::default();
    let length = body.len();
    buffer
        .push(format!("POST {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes());
    RequestReader::default().read(&mut buffer, &limits()).unwrap().unwrap()
}

#[test]
fn all_fields_of_a_multiget_are_parsed() {
    let body = r#"{"body":"a\u00e9\"\n","seed":1,"buckets":[{"bucket":3,"part":0.5,"effort":9000,"seed":"00"},{"part":0.5,"bucket":0}]}"#;
    let head = "Req-Id: 9b.x\r\nReq-Deadline: 0.480\r\nReq-Retry: 1\r\nIdempotency-Key: k1\r\n";
    let parsed =
        multiget::parse_multiget(&request("/mark/7?x=1", head, body), &settings(), &limits()).unwrap();
    assert_eq!(
        (parsed.id.as_str(), parsed.use_case, parsed.key.as_deref()),
        ("9b.x", UseCaseId(1), Some("k1"))
    );
    assert_eq!(
        (parsed.timeout, parsed.is_retry, parsed.text.as_str()),
        (Nanos(480_000_000), true, "a\u{e9}\"\n")
    );
    let shards: Vec<_> = parsed.parts.iter().map(|part| (part.shard.0, part.weight, part.effort)).collect();
    assert_eq!(shards, [(3, 0.5, Some(Nanos(9_000_000))), (0, 0.5, None)]);
    let plain = multiget::parse_multiget(&request("/page", head, body), &settings(), &limits()).unwrap();
    assert_eq!(plain.key, None);
}

#[test_case("Req-Deadline: 1e300\r\n"; "deadline above the limit")]
#[test_case("Req-Deadline: nan\r\n"; "deadline that is not a number")]
#[test_case("Req-Deadline: 0\r\n"; "deadline of zero")]
#[test_case("Req-Deadline: 1\r\nIdempotency-Key: a,b\r\n"; "idempotency key with a comma")]
fn requests_with_invalid_headers_are_rejected(head: &str) {
    let body = r#"{"buckets":[{"bucket":0,"part":1}],"body":""}"#;
    let request = request("/mark", &format!("Req-Id: a\r\n{head}"), body);
    assert_eq!(multiget::parse_multiget(&request, &settings(), &limits()).unwrap_err().status(), 400);
}

/// Returns the status and the body of the response to a rejected request.
fn status_and_text(error: multiget::RequestError) -> (u16, String) {
    (error.status(), error.to_string())
}

const HEAD: &str = "Req-Id: a\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n";

#[test]
fn both_phases_of_a_two_phase_query_are_parsed() {
    let body = r#"{"match":{"body":"find","terms":["beach"]},"fetch":{"body":"get","buckets":[
        {"bucket":2,"part":0.75,"effort":9000},{"bucket":0,"part":0.25}]}}"#;
    let parsed = multiget::parse_multiget(&request("/page", HEAD, body), &settings(), &limits()).unwrap();
    let second = parsed.second_phase.unwrap();
    assert_eq!(
        (parsed.text.as_str(), second.text.as_str(), second.terms),
        ("find", "get", vec!["beach".into()])
    );
    let parts = |parts: &[multiget::RequestedPart]| -> Vec<_> {
        parts.iter().map(|part| (part.shard.0, part.weight, part.effort.is_some())).collect()
    };
    assert_eq!(parts(&parsed.parts), [(2, 0.75, false), (0, 0.25, false)]);
    assert_eq!(parts(&second.parts), [(2, 0.75, true), (0, 0.25, false)]);
    // A use case without two phases rejects the body of a two-phase query.
    let plain_use_case = multiget::parse_multiget(&request("/mark", HEAD, body), &settings(), &limits());
    assert_eq!(status_and_text(plain_use_case.unwrap_err()), (400, "body unfit".to_string()));
}

const FETCH: &str = r#""fetch":{"body":"","buckets":[{"bucket":0,"part":1}]}"#;

#[test_case(r#"{"match":{"body":""}}"#, "match or fetch unfit"; "no fetch")]
#[test_case(&format!(r#"{{"match":{{}},{FETCH}}}"#), "match or fetch unfit"; "no match text")]
#[test_case(&format!(r#"{{"match":{{"body":"","therms":[]}},{FETCH}}}"#), "match or fetch unfit"; "misspelt key")]
#[test_case(&format!(r#"{{"match":{{"body":"","buckets":[]}},{FETCH}}}"#), "no parts"; "empty list of blocks")]
#[test_case(&format!(r#"{{"match":{{"body":"","terms":[""]}},{FETCH}}}"#), "terms unfit"; "empty term")]
#[test_case(
    &format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":9,"part":1}}]}},{FETCH}}}"#),
    "a shard is unknown or asked for twice"; "unknown block"
)]
#[test_case(
    &format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":1,"part":1}}]}},{FETCH}}}"#),
    "a block is to be fetched that is not asked for matches"; "block that no response could name"
)]
fn invalid_two_phase_queries_are_rejected_with_the_reason(body: &str, reason: &str) {
    let error = multiget::parse_multiget(&request("/page", HEAD, body), &settings(), &limits()).unwrap_err();
    assert_eq!(status_and_text(error), (400, reason.to_string()));
}

#[test]
fn a_block_may_be_fetched_without_a_match_request_if_blocks_may_name_others() {
    let settings = SocketSettings { phases: vec![Some(phases(true))], ..settings() };
    let body = format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":1,"part":1}}]}},{FETCH}}}"#);
    let parsed = multiget::parse_multiget(&request("/page", HEAD, &body), &settings, &limits()).unwrap();
    assert_eq!(
        (parsed.parts[0].shard, parsed.second_phase.unwrap().parts[0].shard),
        (ShardId(1), ShardId(0))
    );
}

#[test]
fn the_response_to_a_two_phase_query_has_the_state_of_each_block() {
    use multiget::BlockState;
    let block_states = [
        (ShardId(3), BlockState::Fetched),
        (ShardId(4), BlockState::Pruned),
        (ShardId(5), BlockState::Unasked),
    ];
    let body = multiget::response_body(false, [(ShardId(3), "x")].into_iter(), Some(&block_states));
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let state = |bucket, state| serde_json::json!({"bucket": bucket, "state": state});
    let blocks = [state(3, "fetched"), state(4, "pruned"), state(5, "unasked")];
    assert_eq!(json["blocks"], serde_json::json!(blocks));
}

#[test]
fn values_are_passed_on_unchanged() {
    let value = "q\"\\\n\u{1}\u{2028}\u{1f600}";
    let body = multiget::response_body(false, [(ShardId(3), value)].into_iter(), None);
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(json, serde_json::json!({"finished": false, "found": [{"bucket": 3, "item": value}]}));
}
