//! Bodies of clients that are incomplete.

use super::{Scenario, config};
use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Event, NetError};
use fernknot_schema::ClientLimits;
use test_case::test_case;

/// Eight bodies of the greatest size take an eighth of it.
const MEMORY_MB: u64 = 16;
const FIT: usize = 8;
const BODY: usize = 256 * 1024;

fn head(id: &str, more: &str) -> String {
    format!("POST /m/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 800\r\n{more}\r\n")
}

/// A client whose body has begun to arrive.
fn begin_body(scenario: &mut Scenario, id: &str) -> ConnectionId {
    let client = scenario.connect_client();
    scenario.receive(client, &head(id, &format!("Content-Length: {BODY}\r\n")));
    scenario.receive(client, "some");
    client
}

fn full_scenario() -> (Scenario, Vec<ConnectionId>) {
    let mut scenario = Scenario::begin(MEMORY_MB, config(ClientLimits::default()));
    let clients = (0..FIT).map(|client| begin_body(&mut scenario, &format!("a{client}"))).collect();
    (scenario, clients)
}

fn is_rejected(scenario: &mut Scenario, client: ConnectionId) -> bool {
    let text = scenario.take_output(client);
    let rejected = text.starts_with("HTTP/1.1 503 ");
    let closes_and_says_when = text.contains("Connection: close\r\n") && text.contains("Retry-After: ");
    assert!(!rejected || closes_and_says_when && scenario.is_closed(client), "{text}");
    rejected
}

#[test]
fn given_partial_bodies_that_take_all_they_may_when_another_begins_then_it_alone_is_rejected() {
    let (mut scenario, clients) = full_scenario();
    let over = begin_surplus_body(&mut scenario);
    assert!(is_rejected(&mut scenario, over));
    assert!(clients.iter().all(|client| !scenario.is_closed(*client)));
}

/// The same for one that may be rejected at its head.
fn begin_surplus_body(scenario: &mut Scenario) -> ConnectionId {
    let client = scenario.connect_client();
    scenario.receive(client, &head("over", &format!("Content-Length: {BODY}\r\n")));
    client
}

#[test]
fn given_no_room_when_a_client_asks_for_leave_to_send_then_it_gets_none() {
    let (mut scenario, _) = full_scenario();
    let client = scenario.connect_client();
    scenario.receive(client, &head("over", &format!("Expect: 100-continue\r\nContent-Length: {BODY}\r\n")));
    assert!(is_rejected(&mut scenario, client));
}

#[test_case("comes whole"; "once one has come whole")]
#[test_case("goes"; "once its client has gone")]
#[test_case("stalls"; "once its client has taken too long")]
#[test_case("errs"; "once one is refused for what it holds")]
fn given_no_room_then_there_is_some_again(how: &str) {
    let (mut scenario, clients) = full_scenario();
    let id = clients[0];
    match how {
        "comes whole" => scenario.receive(id, &"x".repeat(BODY - 4)),
        "goes" => {
            let (peer, kind) = ("10.9.0.1:999".parse().unwrap(), std::io::ErrorKind::ConnectionReset.into());
            let error = NetError { step: "read from", peer, source: kind };
            scenario.network.connections.remove(&id);
            scenario.step(vec![Event::Closed { connection: id, was_open: true, error }]);
        }
        "stalls" => scenario.advance(Nanos(7_000_000_000)),
        _ => {
            // A chunk that is none takes its connection with it.
            let other = begin_surplus_body(&mut scenario);
            assert!(is_rejected(&mut scenario, other));
            scenario.receive(id, &"x".repeat(BODY - 4));
            let other = scenario.connect_client();
            scenario.receive(other, &head("chunks", "Transfer-Encoding: chunked\r\n"));
            scenario.receive(other, "5\r\nhello\r\nno chunk\r\n");
            assert!(scenario.take_output(other).starts_with("HTTP/1.1 400 "));
        }
    }
    let next = begin_body(&mut scenario, "next");
    assert!(!is_rejected(&mut scenario, next));
    let over = begin_surplus_body(&mut scenario);
    assert_eq!(is_rejected(&mut scenario, over), how != "stalls");
}

#[test]
fn given_bodies_in_chunks_that_grow_when_there_is_no_room_then_those_that_fit_go_on() {
    let mut scenario = Scenario::begin(MEMORY_MB, config(ClientLimits::default()));
    let clients: Vec<ConnectionId> = (0..2 * FIT).map(|_| scenario.connect_client()).collect();
    for (index, client) in clients.iter().enumerate() {
        scenario.receive(*client, &head(&format!("c{index}"), "Transfer-Encoding: chunked\r\n"));
    }
    let chunk = format!("8000\r\n{}\r\n", "y".repeat(0x8000));
    for _ in 0..BODY / 0x8000 {
        for client in &clients {
            if !scenario.is_closed(*client) {
                scenario.receive(*client, &chunk);
            }
        }
    }
    let rejected = clients.iter().filter(|client| is_rejected(&mut scenario, **client)).count();
    assert_eq!(rejected, FIT, "as many as fit go on");
}

#[test]
fn given_a_body_larger_than_the_share_of_the_memory_when_it_alone_comes_then_it_may() {
    let body_bytes = 4 << 20;
    let mut scenario =
        Scenario::begin(MEMORY_MB, config(ClientLimits { body_bytes, ..ClientLimits::default() }));
    let client = scenario.connect_client();
    scenario.receive(client, &head("a", &format!("Content-Length: {body_bytes}\r\n")));
    assert!(!is_rejected(&mut scenario, client));
    let over = begin_surplus_body(&mut scenario);
    assert!(is_rejected(&mut scenario, over));
}
