//! Responses to requests without a route while the configuration in force may be outdated.

use super::{HEARTBEAT_INTERVAL, Scenario, config, node_response, request};
use crate::simulation::APPLY_MS;
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;

/// Time without a heartbeat after which a configuration acknowledged `apply_ms` ago may be missing: the lease of the last
/// one was confirmed up to a fifth of `contact_ms` (400) before it was sent.
const UNCONFIRMED_AFTER: Nanos = Nanos(((APPLY_MS - 80.0) * 1e6) as u64);

fn without_route(id: &str) -> String {
    format!("GET /none/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\r\n")
}

/// Returns the response to a request without a route.
fn response_without_route(scenario: &mut Scenario) -> String {
    let client = scenario.connect_client();
    scenario.receive(client, &without_route("a"));
    scenario.take_output(client)
}

fn start() -> Scenario {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    scenario.advance_with_heartbeats(HEARTBEAT_INTERVAL.times(5.0));
    scenario
}

fn assert_unconfirmed(response: &str) {
    assert!(response.starts_with("HTTP/1.1 503 ") && response.contains("\r\nRetry-After: "), "{response}");
}

#[test]
fn given_a_confirmed_configuration_when_a_request_has_no_route_then_it_is_answered_with_404() {
    let response = response_without_route(&mut start());
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}

/// Guards against a 404 for a route that was added while no controller was in contact.
#[test]
fn given_no_heartbeat_with_a_lease_when_a_request_has_no_route_then_it_is_rejected_until_the_next_heartbeats()
{
    let mut scenario = start();
    scenario.advance(UNCONFIRMED_AFTER);
    assert_unconfirmed(&response_without_route(&mut scenario));
    let client = scenario.connect_client();
    scenario.receive(client, &request("b", 500));
    let (node, _) = scenario.open_node_connection();
    scenario.receive(node, &node_response("b"));
    assert!(scenario.take_output(client).starts_with("HTTP/1.1 200 "), "known routes are served");
    scenario.reconnect_source(Vec::new());
    scenario.advance_with_heartbeats(HEARTBEAT_INTERVAL.times(3.0));
    let response = response_without_route(&mut scenario);
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}

#[test]
fn given_heartbeats_without_a_lease_when_a_request_has_no_route_then_it_is_rejected() {
    let mut scenario = start();
    scenario.has_lease = false;
    scenario.advance_with_heartbeats(UNCONFIRMED_AFTER);
    assert_unconfirmed(&response_without_route(&mut scenario));
}

/// Guards against a 404 while a newer configuration is on its way, for example behind a slow link.
#[test]
fn given_a_newer_revision_announced_when_a_request_has_no_route_then_it_is_rejected_until_it_is_in_force() {
    let mut scenario = start();
    scenario.revision += 1;
    scenario.send_heartbeat();
    assert_unconfirmed(&response_without_route(&mut scenario));
    scenario.revision -= 1;
    scenario.apply_config(config(ClientLimits::default()));
    scenario.advance_with_heartbeats(HEARTBEAT_INTERVAL);
    let response = response_without_route(&mut scenario);
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}

/// Heartbeats that are read after a stall may have been sent before it.
#[test]
fn given_a_stall_of_the_gateway_when_it_reads_earlier_heartbeats_then_they_do_not_confirm_the_configuration()
{
    let mut scenario = start();
    scenario.stall(Nanos::from_millis(2.0 * APPLY_MS));
    scenario.send_heartbeat();
    scenario.send_heartbeat();
    assert_unconfirmed(&response_without_route(&mut scenario));
    scenario.advance_with_heartbeats(HEARTBEAT_INTERVAL.times(2.0));
    let response = response_without_route(&mut scenario);
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}
