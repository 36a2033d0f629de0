//! Limits on the size of requests.

use super::{Scenario, config, request};
use fernknot_schema::ClientLimits;

/// Size of a body below the default limit of a configuration, and above that of the router in service.
const LARGE_BODY_BYTES: usize = 100_000;
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
