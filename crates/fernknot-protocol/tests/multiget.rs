//! Multigets are read from requests, and answered.

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
fn a_multiget_is_read_with_all_that_it_says() {
    let body = r#"{"body":"a\u00e9\"\n","seed":1,"buckets":[{"bucket":3,"part":0.5,"effort":9000,"seed":"00"},{"part":0.5,"bucket":0}]}"#;
    let head = "Req-Id: 9b.x\r\nReq-Deadline: 0.480\r\nReq-Retry: 1\r\nIdempotency-Key: k1\r\n";
    let asked =
        multiget::parse_multiget(&request("/mark/7?x=1", head, body), &settings(), &limits()).unwrap();
    assert_eq!((asked.id.as_str(), asked.use_case, asked.key.as_deref()), ("9b.x", UseCaseId(1), Some("k1")));
    assert_eq!(
        (asked.timeout, asked.is_retry, asked.text.as_str()),
        (Nanos(480_000_000), true, "a\u{e9}\"\n")
    );
    let shards: Vec<_> = asked.parts.iter().map(|part| (part.shard.0, part.weight, part.effort)).collect();
    assert_eq!(shards, [(3, 0.5, Some(Nanos(9_000_000))), (0, 0.5, None)]);
    let plain = multiget::parse_multiget(&request("/page", head, body), &settings(), &limits()).unwrap();
    assert_eq!(plain.key, None);
}

#[test_case("Req-Deadline: 1e300\r\n"; "endless")]
#[test_case("Req-Deadline: nan\r\n"; "no number")]
#[test_case("Req-Deadline: 0\r\n"; "at once")]
#[test_case("Req-Deadline: 1\r\nIdempotency-Key: a,b\r\n"; "a key that would break a list")]
fn unusable_heads_are_unfit(head: &str) {
    let body = r#"{"buckets":[{"bucket":0,"part":1}],"body":""}"#;
    let request = request("/mark", &format!("Req-Id: a\r\n{head}"), body);
    assert_eq!(multiget::parse_multiget(&request, &settings(), &limits()).unwrap_err().status(), 400);
}

/// How a request that is rejected is answered.
fn status_and_text(error: multiget::RequestError) -> (u16, String) {
    (error.status(), error.to_string())
}

const HEAD: &str = "Req-Id: a\r\nReq-Deadline: 1\r\nIdempotency-Key: k\r\n";

#[test]
fn a_query_in_two_phases_is_read_with_both() {
    let body = r#"{"match":{"body":"find","terms":["beach"]},"fetch":{"body":"get","buckets":[
        {"bucket":2,"part":0.75,"effort":9000},{"bucket":0,"part":0.25}]}}"#;
    let asked = multiget::parse_multiget(&request("/page", HEAD, body), &settings(), &limits()).unwrap();
    let second = asked.second_phase.unwrap();
    assert_eq!(
        (asked.text.as_str(), second.text.as_str(), second.terms),
        ("find", "get", vec!["beach".into()])
    );
    let parts = |parts: &[multiget::RequestedPart]| -> Vec<_> {
        parts.iter().map(|part| (part.shard.0, part.weight, part.effort.is_some())).collect()
    };
    assert_eq!(parts(&asked.parts), [(2, 0.75, false), (0, 0.25, false)]);
    assert_eq!(parts(&second.parts), [(2, 0.75, true), (0, 0.25, false)]);
    // Elsewhere such a body is what it ever was: none that can be used.
    let elsewhere = multiget::parse_multiget(&request("/mark", HEAD, body), &settings(), &limits());
    assert_eq!(status_and_text(elsewhere.unwrap_err()), (400, "body unfit".to_string()));
}

const BOTH: &str = r#""fetch":{"body":"","buckets":[{"bucket":0,"part":1}]}"#;

#[test_case(r#"{"match":{"body":""}}"#, "match or fetch unfit"; "no fetch")]
#[test_case(&format!(r#"{{"match":{{}},{BOTH}}}"#), "match or fetch unfit"; "no match text")]
#[test_case(&format!(r#"{{"match":{{"body":"","therms":[]}},{BOTH}}}"#), "match or fetch unfit"; "a key misspelt")]
#[test_case(&format!(r#"{{"match":{{"body":"","buckets":[]}},{BOTH}}}"#), "no parts"; "no block asked")]
#[test_case(&format!(r#"{{"match":{{"body":"","terms":[""]}},{BOTH}}}"#), "terms unfit"; "an empty term")]
#[test_case(
    &format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":9,"part":1}}]}},{BOTH}}}"#),
    "a shard is unknown or asked for twice"; "an unknown block"
)]
#[test_case(
    &format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":1,"part":1}}]}},{BOTH}}}"#),
    "a block is to be fetched that is not asked for matches"; "a block that nothing could name"
)]
fn unusable_queries_in_two_phases_are_unfit(body: &str, why: &str) {
    let unfit = multiget::parse_multiget(&request("/page", HEAD, body), &settings(), &limits()).unwrap_err();
    assert_eq!(status_and_text(unfit), (400, why.to_string()));
}

#[test]
fn where_blocks_name_others_some_may_be_fetched_that_are_not_asked() {
    let settings = SocketSettings { phases: vec![Some(phases(true))], ..settings() };
    let body = format!(r#"{{"match":{{"body":"","buckets":[{{"bucket":1,"part":1}}]}},{BOTH}}}"#);
    let asked = multiget::parse_multiget(&request("/page", HEAD, &body), &settings, &limits()).unwrap();
    assert_eq!((asked.parts[0].shard, asked.second_phase.unwrap().parts[0].shard), (ShardId(1), ShardId(0)));
}

#[test]
fn an_answer_in_two_phases_says_what_became_of_each_block() {
    use multiget::BlockState;
    let said = [
        (ShardId(3), BlockState::Fetched),
        (ShardId(4), BlockState::Pruned),
        (ShardId(5), BlockState::Unasked),
    ];
    let body = multiget::response_body(false, [(ShardId(3), "x")].into_iter(), Some(&said));
    let read: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let state = |bucket, state| serde_json::json!({"bucket": bucket, "state": state});
    let blocks = [state(3, "fetched"), state(4, "pruned"), state(5, "unasked")];
    assert_eq!(read["blocks"], serde_json::json!(blocks));
}

#[test]
fn values_pass_unchanged() {
    let value = "q\"\\\n\u{1}\u{2028}\u{1f600}";
    let body = multiget::response_body(false, [(ShardId(3), value)].into_iter(), None);
    let read: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(read, serde_json::json!({"finished": false, "found": [{"bucket": 3, "item": value}]}));
}
