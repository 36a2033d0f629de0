//! How clients are answered when a request was, or was not, sent to a node.

use super::{Scenario, answer, config, request};
use fernknot::interface::Nanos;
use fernknot_net::Event;
use fernknot_schema::ClientLimits;

const LONG: Nanos = Nanos(700_000_000);

/// The first line of a response.
fn status_line(text: &str) -> &str {
    text.split("\r\n").next().unwrap_or_default()
}

#[test]
fn given_a_connection_that_never_opens_when_the_deadline_is_over_then_the_request_is_rejected_and_never_sent()
{
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 80));
    let connection = *scenario.node_connections.last().unwrap();
    scenario.advance(LONG);
    let text = scenario.take_output(client);
    assert_eq!(status_line(&text), "HTTP/1.1 503 Service Unavailable");
    assert!(text.contains("Attempt-Id: a\r\n") && text.contains("Retry-After: "));
    // Nothing of it can reach the node any more.
    assert!(scenario.is_closed(connection));
}

#[test]
fn given_a_connection_that_opened_when_the_node_is_silent_then_the_request_is_not_rejected() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 80));
    let (_, offered) = scenario.open_node_connection();
    assert!(offered.starts_with("GET /m/ "));
    scenario.advance(LONG);
    assert!(matches!(
        status_line(&scenario.take_output(client)),
        "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"
    ));
}

#[test]
fn given_a_reused_connection_when_the_node_is_silent_then_the_request_is_not_rejected() {
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 800));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive(connection, &answer("a"));
    assert_eq!(status_line(&scenario.take_output(client)), "HTTP/1.1 200 OK");
    scenario.receive(client, &request("b", 80));
    assert!(scenario.take_output(connection).contains("Attempt-Id: b\r\n"));
    scenario.advance(LONG);
    assert!(matches!(
        status_line(&scenario.take_output(client)),
        "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"
    ));
}

#[test]
fn given_a_connection_that_opened_and_closed_when_that_is_not_reported_yet_then_the_request_is_not_rejected()
{
    let mut scenario = Scenario::begin(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 80));
    let id = *scenario.node_connections.last().unwrap();
    // It was open, and is closed: the event loop has still to report both.
    scenario.network.connections.remove(&id);
    scenario.advance(LONG);
    assert!(matches!(
        status_line(&scenario.take_output(client)),
        "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"
    ));
    scenario.step(vec![Event::Connected { connection: id }]);
}
