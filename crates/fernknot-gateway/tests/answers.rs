//! Classification of nodes' responses, reuse of their connections, responses to clients, and the engine's identifiers.

mod common;

use common::{buffer, limits, request, response};
use fernknot::interface::*;
use fernknot_gateway::nodes::{AttemptKey, NodeConnections, ReadOutcome};
use fernknot_gateway::requests::{PendingRequest, ResponseClass, classify_response};
use fernknot_gateway::{ConfigSnapshot, EngineIds};
use fernknot_net::{Buffer, ConnectionId};
use fernknot_schema::{ClientLimits, Route, RouteTarget, RoutingConfig, TrafficClass};
use std::rc::Rc;
use test_case::test_case;

const ATTEMPT_ID_HEADER: &str = "Attempt-Id: a1\r\n";
const SEALED_HEADERS: &str = "Attempt-Id: a1\r\nAnswer-Seal: s\r\n";

#[test_case("200 OK", SEALED_HEADERS, ResponseClass::Part; "a success with a seal")]
#[test_case("200 OK", ATTEMPT_ID_HEADER, ResponseClass::Failure; "a success without a seal")]
#[test_case("200 OK", "Attempt-Id: a1\r\nAnswer-Seal: s\r\nContent-Encoding: gzip\r\n", ResponseClass::Failure; "an encoded body")]
#[test_case("200 OK", "Attempt-Id: a0\r\nAnswer-Seal: s\r\n", ResponseClass::Mismatched; "a late response to another attempt")]
#[test_case("200 OK", "Answer-Seal: s\r\n", ResponseClass::Mismatched; "a response without an attempt identifier")]
#[test_case("500 Oops", SEALED_HEADERS, ResponseClass::Failure; "a failure with a seal")]
#[test_case("503 Full", "Attempt-Id: a1\r\nNot-Executed: 1\r\n", ResponseClass::NotExecuted { wrong_node: false }; "a rejection")]
#[test_case("503 Full", ATTEMPT_ID_HEADER, ResponseClass::Failure; "a 503 without Not-Executed")]
#[test_case("421 Other", ATTEMPT_ID_HEADER, ResponseClass::NotExecuted { wrong_node: true }; "another incarnation at the address")]
fn given_a_response_head_then_it_is_classified(status: &str, headers: &str, expected: ResponseClass) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\n\r\nok");
    assert_eq!(classify_response(&response(&text), "a1"), expected);
}

#[test]
fn given_a_success_without_a_stated_length_then_it_is_no_part() {
    let text = format!("HTTP/1.1 200 OK\r\n{SEALED_HEADERS}\r\ncut sho");
    assert_eq!(classify_response(&response(&text), "a1"), ResponseClass::Failure);
}

fn config(target: RouteTarget) -> RoutingConfig {
    let route = Route {
        name: "r".into(),
        authority: "h.example".into(),
        path_prefix: "/a/".into(),
        traffic_class: TrafficClass::Idempotent,
        deadline_ms: 600,
        target_ms: 60,
        rank: 0,
        target,
        max_attempts: 2,
    };
    RoutingConfig { epoch: 1, routes: vec![route], services: Vec::new(), limits: ClientLimits::default() }
}

fn snapshot_of(target: RouteTarget) -> Rc<ConfigSnapshot> {
    Rc::new(EngineIds::default().snapshot(Nanos(0), 1, config(target), Nanos(0)).snapshot)
}

fn pending_request(target: RouteTarget, text: &str, shard_count: usize) -> PendingRequest {
    PendingRequest::new(
        ConnectionId(7),
        snapshot_of(target),
        0,
        "a1".into(),
        Nanos(600),
        request(text),
        shard_count,
    )
}

fn shards(count: usize, quorum: f64) -> RouteTarget {
    RouteTarget::Fanout { shards: (0..count).map(|shard| format!("s{shard}")).collect(), top_k: 2, quorum }
}

fn part(seal: &str, records: &str) -> String {
    let length = records.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nAnswer-Seal: {seal}\r\nContent-Length: {length}\r\n\r\n{records}"
    )
}

#[test]
fn given_a_request_then_nodes_receive_all_but_its_hop_by_hop_fields() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\n\
                Connection: close\r\nTarget-Node: forged\r\nX-Own: kept\r\nContent-Length: 4\r\n\r\nbody";
    let pending_request = pending_request(RouteTarget::Service("s".into()), text, 1);
    let mut output = Buffer::default();
    pending_request.write_to_node(&mut output, "i-1", Nanos(42_900_000));
    let sent = String::from_utf8(output.data().to_vec()).unwrap();
    assert_eq!(
        sent,
        "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nX-Own: kept\r\nContent-Length: 4\r\n\
         Deadline-Ms: 42\r\nTarget-Node: i-1\r\n\r\nbody"
    );
}

#[test]
fn given_answers_of_three_of_four_shards_then_the_response_lists_their_seals_and_the_missing_count() {
    let mut pending_request =
        pending_request(shards(4, 0.75), "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n", 4);
    for (index, records) in ["0000000000000001", "0000000000000003", "0000000000000002"].iter().enumerate() {
        pending_request.add_part(index, response(&part(&format!("s{index}"), records)));
    }
    // A duplicate that arrives later does not replace the first.
    pending_request.add_part(0, response(&part("duplicate", "9999999999999999")));
    let mut merged = Vec::new();
    let answer = pending_request.merged_response(&mut merged).unwrap();
    let header =
        |name: &str| answer.headers.iter().find(|(key, _)| *key == name).map(|(_, value)| &value[..]);
    assert_eq!(answer.status, 200);
    assert_eq!(header("Part-Seals"), Some("s0, s1, s2"));
    assert_eq!(header("Parts-Missing"), Some("1"));
    assert_eq!(answer.body, b"00000000000000030000000000000002");
}

#[test]
fn given_fewer_parts_than_the_quorum_then_there_is_no_success() {
    let mut pending_request =
        pending_request(shards(4, 0.75), "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n", 4);
    pending_request.add_part(2, response(&part("s2", "0000000000000001")));
    assert!(pending_request.merged_response(&mut Vec::new()).is_none());
}

#[test_case(500, 500; "an error response is forwarded unchanged")]
#[test_case(503, 502; "a 503 that may be untrue is not forwarded")]
#[test_case(429, 502; "a 429 that may be untrue is not forwarded")]
fn given_an_error_response_of_a_node_then_the_client_receives(node_status: u16, client_status: u16) {
    let text = "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n";
    let mut pending_request = pending_request(RouteTarget::Service("s".into()), text, 1);
    pending_request.record_failure(response(&format!(
        "HTTP/1.1 {node_status} Oops\r\n{SEALED_HEADERS}Content-Length: 2\r\n\r\nno"
    )));
    assert_eq!(pending_request.error_response(502).status, client_status);
}

fn first_attempt(part: PartId) -> AttemptKey {
    AttemptKey { part, number: AttemptNumber(0) }
}

/// A connection that carries the first attempt of a part.
fn busy_connection() -> (NodeConnections, ConnectionId, PartId) {
    let (mut connections, id, part) =
        (NodeConnections::default(), ConnectionId(3), PartId { multiget: MultigetId(1), index: 0 });
    connections.add_endpoint(NodeId(1), "i-1", "10.0.0.1:80".parse().unwrap());
    connections.insert(Nanos(0), id, NodeId(1), first_attempt(part));
    (connections, id, part)
}

#[test]
fn given_a_complete_response_then_the_connection_is_reused() {
    let (mut connections, id, _) = busy_connection();
    let mut input = buffer(&part("s", "0000000000000001"));
    assert!(matches!(connections.read(id, &mut input, false, &limits()), ReadOutcome::Response { .. }));
    assert!(connections.release(id, Nanos(10)));
    assert_eq!(connections.take_idle(Nanos(5), NodeId(1), &[]).0, Some(id));
}

#[test]
fn given_a_connection_that_carried_a_request_when_the_request_is_retried_then_another_connection_is_used() {
    let (mut connections, id, _) = busy_connection();
    connections.read(id, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    assert!(connections.release(id, Nanos(10)));
    assert_eq!(connections.take_idle(Nanos(5), NodeId(1), &[id]), (None, vec![]));
    assert_eq!(connections.take_idle(Nanos(5), NodeId(1), &[ConnectionId(4)]).0, Some(id));
}

#[test]
fn given_bytes_after_a_response_then_the_connection_is_not_reused() {
    let (mut connections, id, _) = busy_connection();
    let mut input = buffer(&(part("s", "0000000000000001") + "HTTP/1.1 200 OK\r\n"));
    assert!(matches!(connections.read(id, &mut input, false, &limits()), ReadOutcome::Response { .. }));
    assert!(!connections.release(id, Nanos(10)));
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nshort", true; "a truncated response")]
#[test_case("not an answer at all\r\n\r\n", false; "bytes that are no response")]
fn given_an_invalid_response_then_the_connection_is_invalid(text: &str, read_closed: bool) {
    let (mut connections, id, part) = busy_connection();
    assert!(matches!(connections.read(id, &mut buffer(text), read_closed, &limits()), ReadOutcome::Invalid));
    assert_eq!(connections.remove(id), Some(first_attempt(part)));
}

#[test]
fn given_bytes_on_an_idle_connection_then_it_is_invalid() {
    let (mut connections, id, _) = busy_connection();
    let mut input = buffer(&part("s", "0000000000000001"));
    connections.read(id, &mut input, false, &limits());
    connections.release(id, Nanos(10));
    let mut late = buffer(&part("s", "0000000000000001"));
    assert!(matches!(connections.read(id, &mut late, false, &limits()), ReadOutcome::Invalid));
}

#[test]
fn given_an_incarnation_that_is_gone_then_its_idle_connections_are_closed_and_others_not_reused() {
    let (mut connections, id, _) = busy_connection();
    let other = ConnectionId(4);
    connections.insert(
        Nanos(0),
        other,
        NodeId(1),
        first_attempt(PartId { multiget: MultigetId(2), index: 0 }),
    );
    connections.read(other, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    connections.release(other, Nanos(10));
    assert_eq!(connections.remove_endpoint(NodeId(1)), vec![other]);
    connections.read(id, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    assert!(!connections.release(id, Nanos(10)));
}

#[test_case(config(shards(4, 0.5)), false; "another quorum")]
#[test_case(config(shards(3, 0.75)), true; "another layout of the index")]
fn given_a_new_revision_then_a_use_case_is_kept_only_if_its_quorum_is_unchanged(
    next: RoutingConfig,
    is_kept: bool,
) {
    let mut ids = EngineIds::default();
    let first = ids.snapshot(Nanos(0), 1, config(shards(4, 0.75)), Nanos(100)).snapshot;
    let second = ids.snapshot(Nanos(10), 2, next, Nanos(100)).snapshot;
    assert_eq!(first.use_case(0) == second.use_case(0), is_kept);
}

#[test]
fn given_a_service_unused_beyond_the_retention_when_it_is_used_again_then_its_identifier_is_new() {
    let mut ids = EngineIds::default();
    let retention = Nanos(100);
    let first = ids.shard("s");
    ids.release_unused(Nanos(10), retention, |_| false);
    ids.release_unused(Nanos(110), retention, |_| false);
    assert_eq!(ids.shard("s"), first, "an identifier is kept during the retention");
    ids.release_unused(Nanos(111), retention, |service| service != "s");
    assert_eq!(ids.service_count(), 0);
    let other = ids.shard("t");
    assert!(![first, other].contains(&ids.shard("s")));
}

#[test]
fn given_a_service_used_again_within_the_retention_then_it_keeps_its_identifier() {
    let mut ids = EngineIds::default();
    let retention = Nanos(100);
    let first = ids.shard("s");
    ids.release_unused(Nanos(10), retention, |_| false);
    ids.release_unused(Nanos(60), retention, |_| true);
    ids.release_unused(Nanos(120), retention, |_| false);
    ids.release_unused(Nanos(220), retention, |_| false);
    assert_eq!(ids.shard("s"), first);
}

#[test]
fn given_a_revision_without_a_route_then_its_use_case_is_released_only_after_the_retention() {
    let mut ids = EngineIds::default();
    let retention = Nanos(100);
    let first = ids.snapshot(Nanos(0), 1, config(RouteTarget::Service("s".into())), retention).snapshot;
    let with_prefix = |prefix: &str| {
        let mut config = config(RouteTarget::Service("s".into()));
        config.routes[0].path_prefix = prefix.into();
        config
    };
    let second = ids.snapshot(Nanos(10), 2, with_prefix("/b/"), retention).snapshot;
    assert_ne!(first.use_case(0), second.use_case(0));
    let third = ids.snapshot(Nanos(50), 3, with_prefix("/c/"), retention).snapshot;
    assert_ne!(third.use_case(0), first.use_case(0));
    let change = ids.snapshot(Nanos(200), 4, with_prefix("/d/"), retention);
    let (fourth, released) = (change.snapshot, change.released);
    assert!(released.contains(&fourth.use_case(0)));
    assert!([first.use_case(0), second.use_case(0)].contains(&fourth.use_case(0)));
}
