//! The adapter process: a query from its arrival to its answer, and lines of input that are rejected.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};
use test_case::test_case;

const CONFIG: &str = include_str!("../../../examples/config.json");

/// Settings of the example configuration.
fn settings() -> Value {
    let config: Value = serde_json::from_str(CONFIG).unwrap();
    config["settings"].clone()
}

fn run(lines: &[String]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_fernknot-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all((lines.join("\n") + "\n").as_bytes()).unwrap();
    adapter.wait_with_output().unwrap()
}

fn batch(now_ms: f64, events: Value) -> String {
    json!({"wall": now_ms, "events": events}).to_string()
}

/// Returns the fields of the only action with this name in a reply.
fn action(reply: &str, name: &str) -> Value {
    let reply: Value = serde_json::from_str(reply).unwrap();
    let actions = reply["output"].as_array().unwrap();
    let mut named = actions.iter().filter_map(|action| action.get(name));
    let found = named.next().unwrap_or_else(|| panic!("no {name} in {reply}")).clone();
    assert!(named.next().is_none(), "more than one {name} in {reply}");
    found
}

#[test]
fn a_query_is_sent_to_a_node_and_completed_by_its_answer() {
    let nodes = json!([{"node": "n-1", "cell": 0, "campus": null, "health": "Running", "since": 0.0}]);
    let query = json!({"router": 1, "req": "q", "rangeNo": -1, "clientDeadline": 1_003_000.0, "query": 7});
    let part = json!({"router": 1, "req": "p", "rangeNo": 0, "clientDeadline": 1_003_000.0, "query": 7, "heft": 1.0});
    let start = batch(
        1_000_000.0,
        json!([
            {"directory": {"sheet": 1, "nodesList": nodes}},
            {"powerOn": {"router": 1, "prng": 5, "facts": settings()}},
            {"view": {"router": 1, "mode": "total", "sheet": 1}},
            {"order": query},
            {"order": part},
        ]),
    );
    let finished =
        json!({"router": 1, "req": "p", "how": 200, "duration": 3.0, "sendNo": 0, "node": "n-1", "load": {}});
    let end = batch(1_000_003.0, json!([{"finished": finished}]));
    let output = run(&[start, end]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    let replies: Vec<&str> = text.lines().collect();
    let sent = action(replies[0], "transmit");
    assert_eq!((&sent["router"], &sent["req"], &sent["node"]), (&json!(1), &json!("p"), &json!("n-1")));
    assert_eq!(action(replies[1], "wrapUp"), json!({"router": 1, "req": "q", "full": true}));
}

#[test_case("{", "not JSON: "; "invalid JSON")]
#[test_case("[1]", "not a batch: "; "not a batch")]
#[test_case(r#"{"wall":1,"events":[{"order":{"router":1}}]}"#, "event order: missing field"; "an event without its fields")]
#[test_case(r#"{"wall":1,"events":[{"view":{"router":1,"mode":"odd"}}]}"#, "event view: unknown variant"; "an unknown mode")]
fn an_invalid_line_ends_the_adapter_with_an_error_message(line: &str, message: &str) {
    let output = run(&[line.to_string()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.starts_with(&format!("fernknot-bench-adapter: {message}")), "{text}");
}
