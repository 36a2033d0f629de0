//! Parsing of node lists, and the calls of the watch.

mod common;

use common::limits;
use fernknot::interface::{Health, Nanos, PlaceId};
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::discovery::{Watch, parse_list};
use fernknot_protocol::http::ResponseHead;
use test_case::test_case;

const NODE: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:8443","cell":3,"lifecycle":"draining","startedAtMs":1700000000000}"#;

#[test_case(NODE, 1, 0; "valid")]
#[test_case(r#"{"instanceId":"s-1","lifecycle":"removed"}"#, 1, 0; "removed node without an address")]
#[test_case(r#"{"instanceId":"s-1","lifecycle":"up","cell":1}"#, 0, 1; "running node without an address")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"here","lifecycle":"up","cell":1}"#, 0, 1; "unparsable address")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up","cell":-1}"#, 0, 1; "negative cell")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"odd","cell":1}"#, 0, 1; "unknown lifecycle")]
#[test_case("7", 0, 1; "number instead of an entry")]
fn an_invalid_entry_is_rejected_without_the_others(entry: &str, accepted: usize, rejected: usize) {
    let json = format!(r#"{{"generation":9,"reset":true,"instances":[{entry},{NODE}]}}"#);
    let list = parse_list(json.as_bytes()).unwrap();
    assert_eq!((list.generation, list.nodes.len(), list.rejected_entries.len()), (9, accepted + 1, rejected));
    let valid_node = list.nodes.last().unwrap();
    assert_eq!((valid_node.health, valid_node.place), (Health::Draining, Some(PlaceId(3))));
    assert_eq!(valid_node.started_at, Nanos(1_700_000_000_000_000_000));
}

/// Returns the request line of the watch's third call, after two responses with these bodies.
fn third_request_line(first_body: &str, second_body: &str) -> String {
    let (mut watch, host) = (Watch::default(), "127.0.0.1:8500".parse().unwrap());
    for body in [first_body, second_body] {
        watch.write_request(&mut Buffer::default(), host, Nanos(20_000_000_000));
        let mut input = Buffer::default();
        ResponseHead {
            status: 200,
            content_type: "application/json",
            retry_after_s: None,
            keeps_connection: true,
            is_http_1_0: false,
        }
        .write(&mut input, body.as_bytes());
        let _ = watch.read(&mut input, false, &limits());
    }
    let mut out = Buffer::default();
    watch.write_request(&mut out, host, Nanos(20_000_000_000));
    String::from_utf8(out.data().to_vec()).unwrap().lines().next().unwrap().to_string()
}

const FULL_LIST: &str = r#"{"generation":41,"reset":true,"instances":[]}"#;

#[test_case(r#"{"generation":43,"reset":false,"instances":[]}"#, "?index=43&wait=20000"; "changes")]
#[test_case(r#"{"generation":2,"reset":true,"instances":[]}"#, "?index=2&wait=20000"; "full list with a lower version")]
#[test_case(r#"{"generation":2,"reset":false,"instances":[]}"#, ""; "changes with a lower version")]
#[test_case("[]", ""; "not a list")]
fn a_watch_requests_changes_since_its_last_list_or_else_the_full_list(second_body: &str, query: &str) {
    assert_eq!(third_request_line(FULL_LIST, second_body), format!("GET /discovery/hosts{query} HTTP/1.1"));
}
