//! Identifiers of nodes and services that are added and removed.

use super::{Scenario, config, node_record, node_response, request};
use fernknot::interface::Nanos;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::{ClientLimits, RouteTarget, TrafficClass};

#[test]
fn given_a_node_that_no_healthy_source_reports_when_it_is_dropped_then_no_further_requests_are_sent_to_it() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    scenario.reconnect_source(Vec::new());
    scenario.advance_with_heartbeats(Nanos(3_000_000_000));
    let client = scenario.connect_client();
    let connections_before = scenario.node_connections.len();
    scenario.receive(client, &request("a", 500));
    scenario.advance(Nanos(600_000_000));
    assert_eq!(
        scenario.node_connections.len(),
        connections_before,
        "the request was sent to a node that had been dropped from the directory"
    );
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 503 "));
}

/// Returns the number of services that have an identifier, by the gateway's counters.
fn service_count(scenario: &mut Scenario) -> u64 {
    let id = scenario.send_platform_request("GET /-/counters HTTP/1.1\r\nHost: h\r\n\r\n");
    let text = scenario.take_output(id);
    let count = text.lines().find_map(|line| line.strip_prefix("services "));
    count.and_then(|count| count.parse().ok()).expect("the counters include the number of services")
}

#[test]
fn given_many_index_layouts_when_each_is_replaced_by_another_then_identifiers_are_released() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
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
    // A service keeps its identifier while the directory remembers a node of it, which is two minutes.
    scenario.advance_with_heartbeats(Nanos(130_000_000_000));
    assert_eq!(service_count(&mut scenario), 4, "the shards of the layout in force");
}

#[test]
fn given_a_service_whose_identifier_was_released_when_it_is_used_again_then_requests_reach_its_node() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    let mut other = config(ClientLimits::default());
    other.routes[0].target = RouteTarget::Service("other".into());
    scenario.apply_config(other);
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record("lone", NodeState::Gone)]));
    scenario.advance_with_heartbeats(Nanos(130_000_000_000));
    // The service of the configuration in force gets an identifier with its first node or request.
    assert_eq!(service_count(&mut scenario), 0);
    scenario.apply_config(config(ClientLimits::default()));
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![NodeRecord {
        id: "i-new".into(),
        ..node_record("lone", NodeState::Ready)
    }]));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 500));
    let (connection, sent_request) = scenario.open_node_connection();
    assert!(sent_request.contains("Target-Node: i-new\r\n"));
    scenario.receive(connection, &node_response("a"));
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 200 "));
}

#[test]
fn given_a_request_in_flight_under_an_older_revision_then_services_of_that_revision_keep_their_identifiers() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    let mut long_deadline_config = config(ClientLimits::default());
    long_deadline_config.routes[0].target = RouteTarget::Service("empty".into());
    long_deadline_config.routes[0].deadline_ms = 60_000;
    long_deadline_config.routes[0].target_ms = 60_000;
    scenario.apply_config(long_deadline_config);
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![node_record("empty", NodeState::Ready)]));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 60_000));
    scenario.open_node_connection();
    // No configuration in force names the service any more, and the next snapshot omits its node.
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
