//! Usage of tenants: which requests are counted once, in which window, and what is reported to the source of the
//! configuration.

use super::api_keys::{
    OTHER_KEY, REJECTION, VALID, access, allow_retries, request, routes, send, start_with, subscribe,
};
use super::{Scenario, node_record, node_response};
use crate::simulation::settings_with_platform;
use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Event};
use fernknot_ownership::IncarnationId;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::{ControllerToGateway, GatewayToController};
use fernknot_schema::{RouteTarget, Service};
use fernknot_usage::{UsageReport, WindowNumber, WindowUsage};
use std::collections::BTreeMap;

/// Number of the window, of 5 seconds, in which the runs begin.
const WINDOW: u64 = 353_445_120;
const REPORT_TIME: Nanos = Nanos(2_000_000_000);

/// Starts a gateway whose source of the configuration has stated a time of day, this long after the window's start.
fn start(after_ms: u64) -> Scenario {
    let mut scenario = start_with(settings_with_platform(260));
    scenario.send_update(&ControllerToGateway::TimeOfDay { unix_ms: WINDOW * 5000 + after_ms });
    scenario.take_requests();
    scenario
}

/// Returns the totals that the gateway reports within two seconds, by window, incarnation and tenant.
fn reported(scenario: &mut Scenario) -> BTreeMap<(u64, u64, String), u64> {
    scenario.advance_with_heartbeats(REPORT_TIME);
    totals(&scenario.take_requests())
}

fn totals(messages: &[GatewayToController]) -> BTreeMap<(u64, u64, String), u64> {
    let mut totals = BTreeMap::new();
    for message in messages {
        let GatewayToController::UsageReports(reports) = message else { continue };
        for UsageReport { incarnation, windows } in reports {
            for WindowUsage { window, requests } in windows {
                for (tenant, total) in requests {
                    totals.insert((window.0 - WINDOW, incarnation.0, tenant.clone()), *total);
                }
            }
        }
    }
    totals
}

/// Totals of the gateway itself, in the window in which the runs begin.
fn own(expected: &[(&str, u64)]) -> BTreeMap<(u64, u64, String), u64> {
    in_window(0, expected)
}

fn in_window(window: u64, expected: &[(&str, u64)]) -> BTreeMap<(u64, u64, String), u64> {
    expected
        .iter()
        .map(|(tenant, total)| ((window, super::INCARNATION, tenant.to_string()), *total))
        .collect()
}

/// Sends a request of the tenant `acme` and opens its connection to the node.
fn send_open(scenario: &mut Scenario) -> (ConnectionId, ConnectionId) {
    let client = send(scenario, &request("/m/", VALID));
    (client, scenario.open_node_connection().0)
}

#[test]
fn given_answered_requests_then_each_is_counted_once_for_its_tenant() {
    let mut scenario = start(0);
    let other = format!("Authorization: Bearer {OTHER_KEY}\r\n");
    for headers in [VALID, VALID, &other] {
        send(&mut scenario, &request("/m/", headers));
        let (node, _) = scenario.open_node_connection();
        scenario.receive(node, &node_response("a").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    }
    assert_eq!(reported(&mut scenario), own(&[("acme", 2), ("zeta", 1)]));
    assert_eq!(reported(&mut scenario), own(&[]), "unchanged totals are not reported again");
}

#[test]
fn given_a_request_sent_before_a_window_ends_then_it_counts_in_this_window_whenever_it_is_answered() {
    let mut scenario = start(4990);
    let (_, node) = send_open(&mut scenario);
    scenario.advance_with_heartbeats(Nanos::from_millis(300.0));
    scenario.receive(node, &node_response("a"));
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}

#[test]
fn given_a_connection_that_opens_after_a_window_ends_then_the_request_counts_in_the_next_window() {
    let mut scenario = start(4990);
    send(&mut scenario, &request("/m/", VALID));
    scenario.advance(Nanos::from_millis(50.0));
    let (node, _) = scenario.open_node_connection();
    scenario.receive(node, &node_response("a"));
    assert_eq!(reported(&mut scenario), in_window(1, &[("acme", 1)]));
}

#[test]
fn given_a_rejection_by_the_node_then_the_request_is_not_counted() {
    let mut scenario = start(0);
    let (_, node) = send_open(&mut scenario);
    scenario.receive(node, REJECTION);
    assert_eq!(reported(&mut scenario), own(&[]));
}

#[test]
fn given_a_connection_that_never_opens_then_the_request_is_not_counted() {
    let mut scenario = start(0);
    send(&mut scenario, &request("/m/", VALID));
    assert_eq!(reported(&mut scenario), own(&[]));
}

#[test]
fn given_no_response_of_the_node_then_the_request_is_counted() {
    let mut scenario = start(0);
    send_open(&mut scenario);
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}

#[test]
fn given_a_client_that_leaves_then_the_request_that_was_sent_is_counted() {
    let mut scenario = start(0);
    let (client, _) = send_open(&mut scenario);
    scenario.step(vec![Event::ReadClosed { connection: client }]);
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}

#[test]
fn given_unauthorized_unrouted_and_public_requests_then_none_is_counted() {
    let mut scenario = start(0);
    send(&mut scenario, &request("/m/", ""));
    send(&mut scenario, &request("/none/", VALID));
    send(&mut scenario, &request("/p/", ""));
    let (node, _) = scenario.open_node_connection();
    scenario.receive(node, &node_response("a"));
    assert_eq!(reported(&mut scenario), own(&[]));
}

#[test]
fn given_no_tenants_or_no_interface_of_the_platform_then_nothing_is_reported() {
    let mut without_tenants = start(0);
    without_tenants.apply_config(routes());
    let mut without_platform = start_with(crate::simulation::settings(260));
    without_platform.send_update(&ControllerToGateway::TimeOfDay { unix_ms: WINDOW * 5000 });
    for scenario in [&mut without_tenants, &mut without_platform] {
        let (_, node) = send_open(scenario);
        scenario.receive(node, &node_response("a"));
        assert_eq!(reported(scenario), own(&[]));
    }
}

#[test]
fn given_a_new_subscription_then_all_totals_are_reported_again() {
    let mut scenario = start(0);
    let (_, node) = send_open(&mut scenario);
    scenario.receive(node, &node_response("a"));
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
    scenario.reconnect_source(Vec::new());
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}

#[test]
fn given_a_time_of_day_by_the_machine_only_then_it_decides_on_the_window_until_a_source_states_another() {
    let mut scenario = start_with(settings_with_platform(260));
    scenario.gateway.set_machine_time(scenario.now, (WINDOW + 9) * 5000);
    for window in [9, 0] {
        let (_, node) = send_open(&mut scenario);
        scenario.receive(node, &node_response("a").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        scenario.step(Vec::new());
        assert_eq!(reported(&mut scenario), in_window(window, &[("acme", 1)]));
        scenario.send_update(&ControllerToGateway::TimeOfDay { unix_ms: WINDOW * 5000 });
    }
}

#[test]
fn given_reports_of_subscribers_then_they_are_passed_on_and_the_time_of_day_too() {
    let mut scenario = start(0);
    let subscriber = scenario.connect_process();
    scenario.exchange(subscriber, &subscribe());
    let report = |incarnation, total| UsageReport {
        incarnation: IncarnationId(incarnation),
        windows: vec![WindowUsage { window: WindowNumber(WINDOW), requests: vec![("acme".into(), total)] }],
    };
    // The subscriber's own, and one that it has received itself.
    let reports = GatewayToController::UsageReports(vec![report(5, 3), report(6, 4)]);
    let updates = scenario.exchange(subscriber, &reports);
    assert!(!updates.iter().any(|update| matches!(update, ControllerToGateway::TimeOfDay { .. })));
    let passed_on: BTreeMap<_, _> = [((0, 5, "acme".to_string()), 3), ((0, 6, "acme".to_string()), 4)].into();
    assert_eq!(reported(&mut scenario), passed_on);
    let updates = scenario.take_updates(subscriber);
    let heartbeat = updates.iter().position(|update| matches!(update, ControllerToGateway::Heartbeat { .. }));
    let before = &updates[..heartbeat.expect("a heartbeat is forwarded")];
    assert!(
        matches!(before.last(), Some(ControllerToGateway::TimeOfDay { unix_ms })
        if (WINDOW * 5000..(WINDOW + 1) * 5000).contains(unix_ms)),
        "{before:?}"
    );
    // Until it exits, a gateway that shuts down reports what it still serves.
    scenario.exchange(subscriber, &GatewayToController::ShuttingDown);
    scenario.exchange(subscriber, &GatewayToController::UsageReports(vec![report(5, 8)]));
    assert_eq!(reported(&mut scenario), [((0, 5, "acme".to_string()), 8)].into());
}

#[test]
fn given_a_graceful_shutdown_then_the_remaining_usage_is_reported_before_it_is_complete() {
    let mut scenario = start(0);
    let (_, node) = send_open(&mut scenario);
    scenario.advance_with_heartbeats(Nanos::from_millis(600.0));
    scenario.take_requests();
    scenario.gateway.stop(scenario.now, &mut scenario.network);
    scenario.receive(node, &node_response("a"));
    let mut messages = Vec::new();
    loop {
        scenario.advance_with_heartbeats(Nanos::from_millis(10.0));
        let is_complete = scenario.gateway.poll_shutdown(scenario.now, &mut scenario.network);
        messages.extend(scenario.take_requests());
        if is_complete {
            break;
        }
    }
    assert_eq!(totals(&messages), own(&[("acme", 1)]));
}

#[test]
fn given_a_revision_that_removes_a_tenant_then_its_request_in_flight_still_counts_for_it() {
    let mut scenario = start(0);
    let (_, node) = send_open(&mut scenario);
    let mut fewer = access();
    fewer.tenants.remove(0);
    scenario.apply_config_with_access(routes(), fewer);
    scenario.receive(node, &node_response("a"));
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}

#[test]
fn given_a_retry_after_a_rejection_then_the_request_counts_once_when_the_retry_was_sent() {
    let mut scenario = start(4900);
    allow_retries(&mut scenario);
    let client = send(&mut scenario, &request("/i/", VALID));
    let (node, _) = scenario.open_node_connection();
    scenario.receive(node, REJECTION);
    scenario.advance_with_heartbeats(Nanos::from_millis(200.0));
    let (retry, _) = scenario.open_node_connection();
    assert_ne!(retry, node);
    scenario.receive(retry, &node_response("a"));
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 200 "));
    let mut expected = own(&[("acme", 4)]);
    expected.extend(in_window(1, &[("acme", 1)]));
    assert_eq!(reported(&mut scenario), expected);
}

#[test]
fn given_a_request_to_several_shards_then_it_counts_once() {
    let mut scenario = start(0);
    let mut config = routes();
    let shards = vec!["lone".to_string(), "pair".to_string()];
    config.routes[2].target = RouteTarget::Fanout { shards, top_k: 2, quorum: 1.0 };
    config.services.push(Service { name: "pair".into(), ..config.services[0].clone() });
    scenario.apply_config_with_access(config, access());
    let addr = "10.128.0.3:8080".parse().unwrap();
    let second = NodeRecord { addr, ..node_record("pair", NodeState::Ready) };
    scenario.send_update(&ControllerToGateway::NodeUpdates(vec![second]));
    let before = scenario.node_connections.len();
    send(&mut scenario, &request("/i/", VALID));
    // The node that has just appeared gets its part a little later.
    scenario.advance_with_heartbeats(Nanos::from_millis(100.0));
    let connections = scenario.node_connections[before..].to_vec();
    assert_eq!(connections.len(), 2);
    for id in connections {
        scenario.network.connections.get_mut(&id).unwrap().is_open = true;
        scenario.step(vec![Event::Connected { connection: id }]);
        scenario.receive(id, &node_response("a"));
    }
    assert_eq!(reported(&mut scenario), own(&[("acme", 1)]));
}
