//! Responses of nodes whose connections are reset.

use super::{Scenario, config, node_response, request};
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;
use test_case::test_case;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nAnswer-Seal: s-a\r\n";

fn run_with_reset(text: &str) -> (Scenario, String) {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive_then_reset(connection, text);
    scenario.advance(Nanos(600_000_000));
    let response = scenario.take_output(client);
    (scenario, response)
}

#[test_case("Content-Length: 2\r\n\r\nok"; "with a length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"; "in chunks")]
#[test_case("Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"; "with unrelated bytes after it")]
fn given_a_complete_response_when_a_reset_is_reported_with_it_then_the_client_receives_it(rest: &str) {
    let (mut scenario, response) = run_with_reset(&format!("{RESPONSE_HEAD}{rest}"));
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n") && response.ends_with("\r\n\r\nok"), "{response}");
    // The connection is not reused.
    let connections_before = scenario.node_connections.len();
    let client = scenario.connect_client();
    scenario.receive(client, &request("b", 500));
    assert_eq!(scenario.node_connections.len(), connections_before + 1);
}

#[test_case("Content-Length: 3\r\n\r\nok"; "with a length")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"; "in chunks")]
#[test_case("\r\nok"; "without a length")]
#[test_case("Content-Le"; "within its head")]
fn given_an_incomplete_response_when_a_reset_is_reported_with_it_then_the_client_receives_a_502(rest: &str) {
    let (_, response) = run_with_reset(&format!("{RESPONSE_HEAD}{rest}"));
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
}

#[test]
fn given_a_response_in_two_pieces_when_a_reset_is_reported_with_the_second_then_the_client_receives_it() {
    let mut scenario = Scenario::start(260, config(ClientLimits::default()));
    let client = scenario.connect_client();
    scenario.receive(client, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    let response = node_response("a");
    let (first, second) = response.split_at(response.len() - 1);
    scenario.receive(connection, first);
    scenario.receive_then_reset(connection, second);
    assert!(scenario.take_output(client).ends_with("\r\n\r\nok"));
}
