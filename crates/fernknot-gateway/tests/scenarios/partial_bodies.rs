//! Memory limit of incomplete request bodies.

use super::{Scenario, config};
use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Event, NetError};
use fernknot_schema::ClientLimits;
use test_case::test_case;

/// Memory of the gateway, an eighth of which is available for incomplete bodies: `BODIES_THAT_FIT` of the maximum size.
const MEMORY_MB: u64 = 16;
const BODIES_THAT_FIT: usize = 8;
const BODY_BYTES: usize = 256 * 1024;

fn head(id: &str, framing: &str) -> String {
    format!("POST /m/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 800\r\n{framing}\r\n")
}

/// Connects a client whose body has begun to arrive.
fn begin_body(scenario: &mut Scenario, id: &str) -> ConnectionId {
    let client = scenario.connect_client();
    scenario.receive(client, &head(id, &format!("Content-Length: {BODY_BYTES}\r\n")));
    scenario.receive(client, "some");
    client
}

fn scenario_at_memory_limit() -> (Scenario, Vec<ConnectionId>) {
    let mut scenario = Scenario::start(MEMORY_MB, config(ClientLimits::default()));
    let clients =
        (0..BODIES_THAT_FIT).map(|client| begin_body(&mut scenario, &format!("a{client}"))).collect();
    (scenario, clients)
}

fn is_rejected(scenario: &mut Scenario, client: ConnectionId) -> bool {
    let text = scenario.take_output(client);
    let rejected = text.starts_with("HTTP/1.1 503 ");
    let closes_with_retry_after = text.contains("Connection: close\r\n") && text.contains("Retry-After: ");
    assert!(!rejected || closes_with_retry_after && scenario.is_closed(client), "{text}");
    rejected
}

#[test]
fn given_partial_bodies_at_the_memory_limit_when_another_begins_then_only_it_is_rejected() {
    let (mut scenario, clients) = scenario_at_memory_limit();
    let surplus = send_surplus_head(&mut scenario);
    assert!(is_rejected(&mut scenario, surplus));
    assert!(clients.iter().all(|client| !scenario.is_closed(*client)));
}

/// Connects a client that sends only the head of a request with a body, which may already be rejected.
fn send_surplus_head(scenario: &mut Scenario) -> ConnectionId {
    let client = scenario.connect_client();
    scenario.receive(client, &head("surplus", &format!("Content-Length: {BODY_BYTES}\r\n")));
    client
}

#[test]
fn given_partial_bodies_at_the_memory_limit_when_a_client_expects_100_continue_then_it_is_rejected() {
    let (mut scenario, _) = scenario_at_memory_limit();
    let client = scenario.connect_client();
    scenario.receive(
        client,
        &head("surplus", &format!("Expect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n")),
    );
    assert!(is_rejected(&mut scenario, client));
}

#[test_case("completes"; "once one is complete")]
#[test_case("disconnects"; "once its client has disconnected")]
#[test_case("stalls"; "once its client has timed out")]
#[test_case("is malformed"; "once one is rejected as malformed")]
fn given_partial_bodies_at_the_memory_limit_when_one_ends_then_another_is_accepted(end: &str) {
    let (mut scenario, clients) = scenario_at_memory_limit();
    let id = clients[0];
    match end {
        "completes" => scenario.receive(id, &"x".repeat(BODY_BYTES - 4)),
        "disconnects" => {
            let (peer, kind) = ("10.9.0.1:999".parse().unwrap(), std::io::ErrorKind::ConnectionReset.into());
            let error = NetError { step: "read from", peer, source: kind };
            scenario.network.connections.remove(&id);
            scenario.step(vec![Event::Closed { connection: id, was_open: true, error }]);
        }
        "stalls" => scenario.advance(Nanos(7_000_000_000)),
        _ => {
            // A malformed chunk closes its connection.
            let other = send_surplus_head(&mut scenario);
            assert!(is_rejected(&mut scenario, other));
            scenario.receive(id, &"x".repeat(BODY_BYTES - 4));
            let other = scenario.connect_client();
            scenario.receive(other, &head("chunks", "Transfer-Encoding: chunked\r\n"));
            scenario.receive(other, "5\r\nhello\r\nno chunk\r\n");
            assert!(scenario.take_output(other).starts_with("HTTP/1.1 400 "));
        }
    }
    let next = begin_body(&mut scenario, "next");
    assert!(!is_rejected(&mut scenario, next));
    let surplus = send_surplus_head(&mut scenario);
    assert_eq!(is_rejected(&mut scenario, surplus), end != "stalls");
}

#[test]
fn given_growing_chunked_bodies_when_the_memory_limit_is_reached_then_those_that_fit_continue() {
    let mut scenario = Scenario::start(MEMORY_MB, config(ClientLimits::default()));
    let clients: Vec<ConnectionId> = (0..2 * BODIES_THAT_FIT).map(|_| scenario.connect_client()).collect();
    for (index, client) in clients.iter().enumerate() {
        scenario.receive(*client, &head(&format!("c{index}"), "Transfer-Encoding: chunked\r\n"));
    }
    let chunk = format!("8000\r\n{}\r\n", "y".repeat(0x8000));
    for _ in 0..BODY_BYTES / 0x8000 {
        for client in &clients {
            if !scenario.is_closed(*client) {
                scenario.receive(*client, &chunk);
            }
        }
    }
    let rejected = clients.iter().filter(|client| is_rejected(&mut scenario, **client)).count();
    assert_eq!(rejected, BODIES_THAT_FIT, "all other bodies fit");
}

#[test]
fn given_a_body_larger_than_the_memory_limit_when_it_is_the_only_one_then_it_is_accepted() {
    let body_bytes = 4 << 20;
    let mut scenario =
        Scenario::start(MEMORY_MB, config(ClientLimits { body_bytes, ..ClientLimits::default() }));
    let client = scenario.connect_client();
    scenario.receive(client, &head("a", &format!("Content-Length: {body_bytes}\r\n")));
    assert!(!is_rejected(&mut scenario, client));
    let surplus = send_surplus_head(&mut scenario);
    assert!(is_rejected(&mut scenario, surplus));
}
