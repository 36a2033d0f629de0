//! What nodes answer, and what clients get of it.

mod common;

use common::{buffer, limits, request, response};
use fernknot::interface::*;
use fernknot_gateway::asks::{PendingRequest, ResponseClass, classify_response};
use fernknot_gateway::lines::{NodeConnections, ReadOutcome};
use fernknot_gateway::routes::{ConfigSnapshot, EngineIds};
use fernknot_net::{Buffer, ConnectionId};
use fernknot_schema::{ClientLimits, Route, RouteTarget, RoutingConfig, TrafficClass};
use std::rc::Rc;
use test_case::test_case;

const OWN: &str = "Attempt-Id: a1\r\n";
const SEALED: &str = "Attempt-Id: a1\r\nAnswer-Seal: s\r\n";

#[test_case("200 OK", SEALED, ResponseClass::Part; "a success with its seal")]
#[test_case("200 OK", OWN, ResponseClass::Failure; "a success without a seal")]
#[test_case("200 OK", "Attempt-Id: a1\r\nAnswer-Seal: s\r\nContent-Encoding: gzip\r\n", ResponseClass::Failure; "coded bytes")]
#[test_case("200 OK", "Attempt-Id: a0\r\nAnswer-Seal: s\r\n", ResponseClass::Mismatched; "the late answer to another try")]
#[test_case("200 OK", "Answer-Seal: s\r\n", ResponseClass::Mismatched; "an answer to nobody knows what")]
#[test_case("500 Oops", SEALED, ResponseClass::Failure; "a failure that bears a seal")]
#[test_case("503 Full", "Attempt-Id: a1\r\nNot-Executed: 1\r\n", ResponseClass::NotExecuted { wrong_node: false }; "turned away")]
#[test_case("503 Full", OWN, ResponseClass::Failure; "a 503 that does not say so may have run")]
#[test_case("421 Other", OWN, ResponseClass::NotExecuted { wrong_node: true }; "another life at the address")]
fn given_a_head_then_its_worth_is(status: &str, headers: &str, wanted: ResponseClass) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\n\r\nok");
    assert_eq!(classify_response(&response(&text), "a1"), wanted);
}

#[test]
fn given_a_success_whose_end_no_head_tells_then_it_is_no_part() {
    let text = format!("HTTP/1.1 200 OK\r\n{SEALED}\r\ncut sho");
    assert_eq!(classify_response(&response(&text), "a1"), ResponseClass::Failure);
}

fn plan(to: RouteTarget) -> RoutingConfig {
    let route = Route {
        name: "r".into(),
        authority: "h.example".into(),
        path_prefix: "/a/".into(),
        traffic_class: TrafficClass::Idempotent,
        deadline_ms: 600,
        target_ms: 60,
        rank: 0,
        target: to,
        max_attempts: 2,
    };
    RoutingConfig { epoch: 1, routes: vec![route], services: Vec::new(), limits: ClientLimits::default() }
}

fn pinned(to: RouteTarget) -> Rc<ConfigSnapshot> {
    Rc::new(EngineIds::default().snapshot(Nanos(0), 1, plan(to), Nanos(0)).0)
}

fn ask(to: RouteTarget, text: &str, parts: usize) -> PendingRequest {
    PendingRequest::new(ConnectionId(7), pinned(to), 0, "a1".into(), Nanos(600), request(text), parts)
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
fn given_a_request_then_nodes_get_all_of_it_but_what_concerns_one_connection() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\n\
                Connection: close\r\nTarget-Node: forged\r\nX-Own: kept\r\nContent-Length: 4\r\n\r\nbody";
    let ask = ask(RouteTarget::Service("s".into()), text, 1);
    let mut out = Buffer::default();
    ask.write_to_node(&mut out, "i-1", Nanos(42_900_000));
    let sent = String::from_utf8(out.data().to_vec()).unwrap();
    assert_eq!(
        sent,
        "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nX-Own: kept\r\nContent-Length: 4\r\n\
         Deadline-Ms: 42\r\nTarget-Node: i-1\r\n\r\nbody"
    );
}

#[test]
fn given_parts_of_three_shards_of_four_then_the_answer_names_them_and_what_is_missing() {
    let mut ask = ask(shards(4, 0.75), "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n", 4);
    for (index, records) in ["0000000000000001", "0000000000000003", "0000000000000002"].iter().enumerate() {
        ask.add_part(index, response(&part(&format!("s{index}"), records)));
    }
    // A twin that comes later does not replace what is in.
    ask.add_part(0, response(&part("twin", "9999999999999999")));
    let mut merged = Vec::new();
    let answer = ask.merged_response(&mut merged).unwrap();
    let header =
        |name: &str| answer.headers.iter().find(|(key, _)| *key == name).map(|(_, value)| &value[..]);
    assert_eq!(answer.status, 200);
    assert_eq!(header("Part-Seals"), Some("s0, s1, s2"));
    assert_eq!(header("Parts-Missing"), Some("1"));
    assert_eq!(answer.body, b"00000000000000030000000000000002");
}

#[test]
fn given_fewer_parts_than_the_quorum_then_there_is_no_success() {
    let mut ask = ask(shards(4, 0.75), "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n", 4);
    ask.add_part(2, response(&part("s2", "0000000000000001")));
    assert!(ask.merged_response(&mut Vec::new()).is_none());
}

#[test_case(500, 500; "a node's own failure is passed on unchanged")]
#[test_case(503, 502; "a promise that may be untrue is not")]
#[test_case(429, 502; "nor is this one")]
fn given_a_node_that_failed_then_the_client_gets(node: u16, client: u16) {
    let text = "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n";
    let mut ask = ask(RouteTarget::Service("s".into()), text, 1);
    ask.record_failure(response(&format!("HTTP/1.1 {node} Oops\r\n{SEALED}Content-Length: 2\r\n\r\nno")));
    assert_eq!(ask.error_response(502).status, client);
}

/// A line that carries the first hand-off of a part.
fn line() -> (NodeConnections, ConnectionId, PartId) {
    let (mut lines, berth, part) =
        (NodeConnections::default(), ConnectionId(3), PartId { of: MultigetId(1), index: 0 });
    lines.add_endpoint(NodeId(1), "i-1", "10.0.0.1:80".parse().unwrap());
    lines.insert(Nanos(0), berth, NodeId(1), part, HandOffNo(0));
    (lines, berth, part)
}

#[test]
fn given_a_whole_answer_then_the_line_serves_again() {
    let (mut lines, berth, _) = line();
    let mut input = buffer(&part("s", "0000000000000001"));
    assert!(matches!(lines.read(berth, &mut input, false, &limits()), ReadOutcome::Response { .. }));
    assert!(lines.release(berth, Nanos(10)));
    assert_eq!(lines.take_idle(Nanos(5), NodeId(1), &[]).0, Some(berth));
}

#[test]
fn given_a_request_that_a_line_carried_when_it_goes_to_that_node_again_then_it_takes_another_line() {
    let (mut lines, berth, _) = line();
    lines.read(berth, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    assert!(lines.release(berth, Nanos(10)));
    assert_eq!(lines.take_idle(Nanos(5), NodeId(1), &[berth]), (None, vec![]));
    assert_eq!(lines.take_idle(Nanos(5), NodeId(1), &[ConnectionId(4)]).0, Some(berth));
}

#[test]
fn given_bytes_behind_an_answer_then_the_line_is_not_used_again() {
    let (mut lines, berth, _) = line();
    let mut input = buffer(&(part("s", "0000000000000001") + "HTTP/1.1 200 OK\r\n"));
    assert!(matches!(lines.read(berth, &mut input, false, &limits()), ReadOutcome::Response { .. }));
    assert!(!lines.release(berth, Nanos(10)));
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nshort", true; "an answer cut short")]
#[test_case("not an answer at all\r\n\r\n", false; "bytes that form none")]
fn given_no_answer_then_the_line_is_spoilt(text: &str, ended: bool) {
    let (mut lines, berth, part) = line();
    assert!(matches!(lines.read(berth, &mut buffer(text), ended, &limits()), ReadOutcome::Invalid));
    assert_eq!(lines.remove(berth), Some((part, HandOffNo(0))));
}

#[test]
fn given_bytes_on_an_idle_line_then_they_belong_to_nobody() {
    let (mut lines, berth, _) = line();
    let mut input = buffer(&part("s", "0000000000000001"));
    lines.read(berth, &mut input, false, &limits());
    lines.release(berth, Nanos(10));
    let mut late = buffer(&part("s", "0000000000000001"));
    assert!(matches!(lines.read(berth, &mut late, false, &limits()), ReadOutcome::Invalid));
}

#[test]
fn given_a_life_that_is_gone_then_its_idle_lines_are_closed_and_others_not_used_again() {
    let (mut lines, berth, _) = line();
    let other = ConnectionId(4);
    lines.insert(Nanos(0), other, NodeId(1), PartId { of: MultigetId(2), index: 0 }, HandOffNo(0));
    lines.read(other, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    lines.release(other, Nanos(10));
    assert_eq!(lines.remove_endpoint(NodeId(1)), vec![other]);
    lines.read(berth, &mut buffer(&part("s", "0000000000000001")), false, &limits());
    assert!(!lines.release(berth, Nanos(10)));
}

#[test_case(plan(shards(4, 0.5)), false; "another quorum")]
#[test_case(plan(shards(3, 0.75)), true; "another cut of the index")]
fn given_a_version_with_then_the_number_stays_only_if_what_is_open_may_be_judged_by_it(
    next: RoutingConfig,
    stays: bool,
) {
    let mut names = EngineIds::default();
    let (first, _, _) = names.snapshot(Nanos(0), 1, plan(shards(4, 0.75)), Nanos(100));
    let (second, _, _) = names.snapshot(Nanos(10), 2, next, Nanos(100));
    assert_eq!(first.use_case(0) == second.use_case(0), stays);
}

#[test]
fn given_a_service_out_of_use_for_long_when_it_comes_back_then_its_number_is_another() {
    let mut names = EngineIds::default();
    let keep = Nanos(100);
    let first = names.shard("s");
    names.release_unused(Nanos(10), keep, |_| false);
    names.release_unused(Nanos(110), keep, |_| false);
    assert_eq!(names.shard("s"), first, "a number is kept as long as what is known by it may count");
    names.release_unused(Nanos(111), keep, |service| service != "s");
    assert_eq!(names.service_count(), 0);
    let other = names.shard("t");
    assert!(![first, other].contains(&names.shard("s")));
}

#[test]
fn given_a_service_used_again_in_time_then_its_number_stays() {
    let mut names = EngineIds::default();
    let keep = Nanos(100);
    let first = names.shard("s");
    names.release_unused(Nanos(10), keep, |_| false);
    names.release_unused(Nanos(60), keep, |_| true);
    names.release_unused(Nanos(120), keep, |_| false);
    names.release_unused(Nanos(220), keep, |_| false);
    assert_eq!(names.shard("s"), first);
}

#[test]
fn given_a_version_that_drops_a_route_then_its_number_is_free_only_once_nothing_of_it_is_in_hand() {
    let mut names = EngineIds::default();
    let keep = Nanos(100);
    let (first, _, _) = names.snapshot(Nanos(0), 1, plan(RouteTarget::Service("s".into())), keep);
    let with = |prefix: &str| {
        let mut plan = plan(RouteTarget::Service("s".into()));
        plan.routes[0].path_prefix = prefix.into();
        plan
    };
    let (second, _, _) = names.snapshot(Nanos(10), 2, with("/b/"), keep);
    assert_ne!(first.use_case(0), second.use_case(0));
    let (third, _, _) = names.snapshot(Nanos(50), 3, with("/c/"), keep);
    assert_ne!(third.use_case(0), first.use_case(0));
    let (fourth, _, freed) = names.snapshot(Nanos(200), 4, with("/d/"), keep);
    assert!(freed.contains(&fourth.use_case(0)));
    assert!([first.use_case(0), second.use_case(0)].contains(&fourth.use_case(0)));
}
