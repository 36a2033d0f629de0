//! Nodes and services that come and go.

use super::{Story, answer, node, plan, request};
use fernknot::interface::Nanos;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::{ClientLimits, RouteTarget, TrafficClass};

#[test]
fn given_a_node_that_no_well_teller_names_when_it_is_dropped_then_nothing_further_goes_to_it() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    story.hears_anew(Vec::new());
    story.waits_well(Nanos(3_000_000_000));
    let client = story.client();
    let begun = story.lines.len();
    story.comes(client, &request("a", 500));
    story.waits(Nanos(600_000_000));
    assert_eq!(story.lines.len(), begun, "it was sent to a node that the list has dropped");
    assert!(story.got(client).starts_with("HTTP/1.1 503 "));
}

/// Services that have a number, as the gateway counts them.
fn numbers(story: &mut Story) -> u64 {
    let berth = story.asks_ready("GET /-/counters HTTP/1.1\r\nHost: h\r\n\r\n");
    let text = story.got(berth);
    let line = text.lines().find_map(|line| line.strip_prefix("services "));
    line.and_then(|count| count.parse().ok()).expect("services are counted")
}

#[test]
fn given_many_cuts_of_an_index_when_each_is_followed_by_another_then_numbers_are_given_up() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    for cut in 0..60 {
        let mut next = plan(ClientLimits::default());
        let shards = (0..4).map(|shard| format!("c{cut}-{shard}")).collect();
        next.routes[0].traffic_class = TrafficClass::Idempotent;
        next.routes[0].target = RouteTarget::Fanout { shards, top_k: 5, quorum: 0.5 };
        story.takes(next);
        story.tells(&ControllerToGateway::NodeUpdates(vec![node(&format!("c{cut}-0"), NodeState::Ready)]));
        story.tells(&ControllerToGateway::NodeUpdates(vec![node(&format!("c{cut}-0"), NodeState::Gone)]));
        story.waits_well(Nanos(1_000_000_000));
    }
    // A service is kept while the list remembers a node of it: two minutes.
    story.waits_well(Nanos(130_000_000_000));
    assert_eq!(numbers(&mut story), 4, "the shards of the cut in force");
}

#[test]
fn given_a_service_that_was_given_up_when_it_comes_back_then_requests_reach_its_node() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let mut other = plan(ClientLimits::default());
    other.routes[0].target = RouteTarget::Service("other".into());
    story.takes(other);
    story.tells(&ControllerToGateway::NodeUpdates(vec![node("lone", NodeState::Gone)]));
    story.waits_well(Nanos(130_000_000_000));
    // That of the version in force gets one with its first node or request.
    assert_eq!(numbers(&mut story), 0);
    story.takes(plan(ClientLimits::default()));
    story.tells(&ControllerToGateway::NodeUpdates(vec![NodeRecord {
        id: "i-new".into(),
        ..node("lone", NodeState::Ready)
    }]));
    let client = story.client();
    story.comes(client, &request("a", 500));
    let (line, offered) = story.line_opens();
    assert!(offered.contains("Target-Node: i-new\r\n"));
    story.comes(line, &answer("a"));
    assert!(story.got(client).starts_with("HTTP/1.1 200 "));
}

#[test]
fn given_a_request_in_hand_under_an_older_version_then_what_that_names_keeps_its_number() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let mut long = plan(ClientLimits::default());
    long.routes[0].target = RouteTarget::Service("empty".into());
    long.routes[0].deadline_ms = 60_000;
    long.routes[0].target_ms = 60_000;
    story.takes(long);
    story.tells(&ControllerToGateway::NodeUpdates(vec![node("empty", NodeState::Ready)]));
    let client = story.client();
    story.comes(client, &request("a", 60_000));
    story.line_opens();
    // Its node is dropped from the list, and the version in force names another service.
    story.takes(plan(ClientLimits::default()));
    let addr = "10.128.0.2:8080".parse().unwrap();
    story.hears_anew(vec![NodeRecord { id: "i-other".into(), addr, ..node("lone", NodeState::Ready) }]);
    story.waits_well(Nanos(10_000_000_000));
    assert_eq!(numbers(&mut story), 2);
    story.waits_well(Nanos(180_000_000_000));
    assert_eq!(numbers(&mut story), 1);
}
