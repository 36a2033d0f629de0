//! Limits on the size of requests.

use super::{HEARTBEAT_INTERVAL, Scenario, config, request};
use crate::simulation::APPLY_MS;
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;

/// Size of a body below the default limit of a configuration, and above that of the router in service.
const LARGE_BODY_BYTES: usize = 100_000;
/// Size of a body above the default limit of a configuration.
const TOO_LARGE_BODY_BYTES: usize = 300_000;
/// Number of header fields of a proper request whose head stays below the default limit.
const MANY_FIELDS: usize = 200;

#[test]
fn given_no_configuration_when_a_large_body_arrives_then_the_request_may_be_sent_again() {
    let mut scenario = Scenario::without_updates(260);
    let client = scenario.connect_client();
    scenario.receive(client, &format!("POST /m/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n"));
    scenario.receive(client, &"b".repeat(LARGE_BODY_BYTES));
    let reply = scenario.take_output(client);
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
}

#[test]
fn given_a_head_of_many_fields_within_the_limit_when_it_arrives_then_the_request_is_sent_to_a_node() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    let fields: String = (0..MANY_FIELDS).map(|field| format!("X-Field-{field}: value\r\n")).collect();
    let text = request("a", 500).replacen("\r\n\r\n", &format!("\r\n{fields}\r\n"), 1);
    scenario.receive(client, &text);
    let reply = scenario.take_output(client);
    assert_eq!(reply, "", "the request was rejected");
    let (_, sent) = scenario.open_node_connection();
    assert!(sent.contains("X-Field-199: value"), "{sent}");
}

#[test]
fn given_a_head_above_the_limit_when_it_arrives_then_it_is_rejected_whatever_its_number_of_fields() {
    let limits = ClientLimits { header_bytes: 1_024, ..ClientLimits::default() };
    let mut scenario = Scenario::start(260, config(limits));
    for fields in ["X: y\r\n".repeat(400), format!("X: {}\r\n", "y".repeat(2_000))] {
        let client = scenario.connect_client();
        let text = request("a", 500).replacen("\r\n\r\n", &format!("\r\n{fields}\r\n"), 1);
        scenario.receive(client, &text);
        let reply = scenario.take_output(client);
        assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    }
}

/// Sends a request whose body is larger than the default limit. Returns the reply.
fn reply_to_too_large_body(scenario: &mut Scenario) -> String {
    let client = scenario.connect_client();
    scenario.receive(client, &format!("POST /m/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: {TOO_LARGE_BODY_BYTES}\r\n\r\n"));
    scenario.take_output(client)
}

fn assert_may_be_sent_again(reply: &str) {
    let is_closing = reply.to_ascii_lowercase().contains("connection: close");
    assert!(reply.starts_with("HTTP/1.1 503 ") && reply.contains("Retry-After: ") && is_closing, "{reply}");
}

// The first configuration may have a higher limit than the default.
#[test]
fn given_no_configuration_when_a_body_is_above_the_default_limit_then_the_request_may_be_sent_again() {
    assert_may_be_sent_again(&reply_to_too_large_body(&mut Scenario::without_updates(260)));
}

// A newer configuration may have a higher limit.
#[test]
fn given_an_unconfirmed_configuration_when_a_body_is_above_its_limit_then_the_request_may_be_sent_again() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    scenario.advance_with_heartbeats(HEARTBEAT_INTERVAL.times(5.0));
    let reply = reply_to_too_large_body(&mut scenario);
    assert!(reply.starts_with("HTTP/1.1 413 "), "{reply}");
    scenario.advance(Nanos::from_millis(APPLY_MS));
    assert_may_be_sent_again(&reply_to_too_large_body(&mut scenario));
}
