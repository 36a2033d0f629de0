//! Nodes and services that come and go.

use super::{Scenario, answer, config, node_record, request};
use fernknot::interface::Nanos;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::{ClientLimits, RouteTarget, TrafficClass};

#[test]
fn given_a_node_that_no_healthy_source_names_when_it_is_dropped_then_nothing_further_is_sent_to_it() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    scenario.reconnect_source(Vec::new());
    scenario.advance_with_heartbeats(Nanos(3_000_000_000));
    let client = scenario.connect_client();
    let connections_before = scenario.node_connections.len();
    scenario.receive(client, &request("a", 500));
    scenario.advance(Nanos(600_000_000));
    assert_eq!(
        scenario.node_connections.len(),
        connections_before,
        "it was sent to a node that the list has dropped"
    );
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 503 "));
}

/// Services that have an identifier, as the gateway counts them.
fn service_count(scenario: &mut Scenario) -> u64 {
    let id = scenario.ask_platform("GET /-/counters HTTP/1.1\r\nHost: h\r\n\r\n");
    let text = scenario.take_output(id);
    let count = text.lines().find_map(|line| line.strip_prefix("services "));
    count.and_then(|count| count.parse().ok()).expect("services are counted")
}

#[test]
fn given_many_layouts_of_an_index_when_each_is_followed_by_another_then_identifiers_are_released() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    for layout in 0..60 {
        let mut next = config(ClientLimits::default());
        let shards = (0..4).map(|shard| format!("c{layout}-{shard}")).collect();
        next.routes[0].traffic_class = TrafficClass::Idempotent;
        next.routes[0].target = RouteTarget::Fanout { shards, top_k: 5, quorum: 0.5 };
        scenario.apply_config(next);
        scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record(
            &format!("c{layout}-0"),
            NodeState::Ready,
        )]));
        scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record(
            &format!("c{layout}-0"),
            NodeState::Gone,
        )]));
        scenario.advance_with_heartbeats(Nanos(1_000_000_000));
    }
    // A service is kept while the list remembers a node of it: two minutes.
    scenario.advance_with_heartbeats(Nanos(130_000_000_000));
    assert_eq!(service_count(&mut scenario), 4, "the shards of the cut in force");
}

#[test]
fn given_a_service_whose_identifier_was_released_when_it_comes_back_then_requests_reach_its_node() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let mut other = config(ClientLimits::default());
    other.routes[0].target = RouteTarget::Service("other".into());
    scenario.apply_config(other);
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record("lone", NodeState::Gone)]));
    scenario.advance_with_heartbeats(Nanos(130_000_000_000));
    // The service of the configuration in force gets one with its first node or request.
    assert_eq!(service_count(&mut scenario), 0);
    scenario.apply_config(config(ClientLimits::default()));
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![NodeRecord {
        id: "i-new".into(),
        ..node_record("lone", NodeState::Ready)
    }]));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 500));
    let (connection, offered) = scenario.open_node_connection();
    assert!(offered.contains("Target-Node: i-new\r\n"));
    scenario.receive(connection, &answer("a"));
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 200 "));
}

#[test]
fn given_a_request_in_flight_under_an_older_revision_then_what_that_names_keeps_its_identifier() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let mut long = config(ClientLimits::default());
    long.routes[0].target = RouteTarget::Service("empty".into());
    long.routes[0].deadline_ms = 60_000;
    long.routes[0].target_ms = 60_000;
    scenario.apply_config(long);
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record("empty", NodeState::Ready)]));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 60_000));
    scenario.open_node_connection();
    // Its node is dropped from the list, and the configuration in force names another service.
    scenario.apply_config(config(ClientLimits::default()));
    let addr = "10.128.0.2:8080".parse().unwrap();
    scenario.reconnect_source(vec![NodeRecord {
        id: "i-other".into(),
        addr,
        ..node_record("lone", NodeState::Ready)
    }]);
    scenario.advance_with_heartbeats(Nanos(10_000_000_000));
    assert_eq!(service_count(&mut scenario), 2);
    scenario.advance_with_heartbeats(Nanos(180_000_000_000));
    assert_eq!(service_count(&mut scenario), 1);
}
