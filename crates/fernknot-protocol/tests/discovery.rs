//! Lists of nodes, and the watch that follows them.

mod common;

use common::limits;
use fernknot::interface::{Health, Nanos, PlaceId};
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::discovery::{Watch, parse_list};
use fernknot_protocol::http::ResponseHead;
use test_case::test_case;

const NODE: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:8443","cell":3,"lifecycle":"draining","startedAtMs":1700000000000}"#;

#[test_case(NODE, 1, 0; "sound")]
#[test_case(r#"{"instanceId":"s-1","lifecycle":"removed"}"#, 1, 0; "gone without address")]
#[test_case(r#"{"instanceId":"s-1","lifecycle":"up","cell":1}"#, 0, 1; "up without address")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"here","lifecycle":"up","cell":1}"#, 0, 1; "no address")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up","cell":-1}"#, 0, 1; "no place")]
#[test_case(r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"odd","cell":1}"#, 0, 1; "strange state")]
#[test_case("7", 0, 1; "no entry at all")]
fn one_bad_entry_costs_no_other(entry: &str, read: usize, bad: usize) {
    let json = format!(r#"{{"generation":9,"reset":true,"instances":[{entry},{NODE}]}}"#);
    let list = parse_list(json.as_bytes()).unwrap();
    assert_eq!((list.generation, list.nodes.len(), list.rejected_entries.len()), (9, read + 1, bad));
    let sound = list.nodes.last().unwrap();
    assert_eq!((sound.health, sound.place), (Health::Draining, Some(PlaceId(3))));
    assert_eq!(sound.started_at, Nanos(1_700_000_000_000_000_000));
}

/// What the watch asks next, after an answer with this body.
fn asks_after(first: &str, then: &str) -> String {
    let (mut watch, host) = (Watch::default(), "127.0.0.1:8500".parse().unwrap());
    for body in [first, then] {
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

const WHOLE: &str = r#"{"generation":41,"reset":true,"instances":[]}"#;

#[test_case(r#"{"generation":43,"reset":false,"instances":[]}"#, "?index=43&wait=20000"; "changes")]
#[test_case(r#"{"generation":2,"reset":true,"instances":[]}"#, "?index=2&wait=20000"; "a whole list that goes back")]
#[test_case(r#"{"generation":2,"reset":false,"instances":[]}"#, ""; "changes that go back")]
#[test_case("[]", ""; "no list")]
fn a_watch_goes_on_from_what_it_has(then: &str, query: &str) {
    assert_eq!(asks_after(WHOLE, then), format!("GET /discovery/hosts{query} HTTP/1.1"));
}
