//! Bodies of clients that come in part.

use super::{Story, plan};
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

/// A client whose body has begun to come.
fn begins(story: &mut Story, id: &str) -> ConnectionId {
    let client = story.client();
    story.comes(client, &head(id, &format!("Content-Length: {BODY}\r\n")));
    story.comes(client, "some");
    client
}

fn full() -> (Story, Vec<ConnectionId>) {
    let mut story = Story::begin(MEMORY_MB, plan(ClientLimits::default()));
    let clients = (0..FIT).map(|client| begins(&mut story, &format!("a{client}"))).collect();
    (story, clients)
}

fn is_refused(story: &mut Story, client: ConnectionId) -> bool {
    let text = story.got(client);
    let refused = text.starts_with("HTTP/1.1 503 ");
    let told = text.contains("Connection: close\r\n") && text.contains("Retry-After: ");
    assert!(!refused || told && story.is_closed(client), "{text}");
    refused
}

#[test]
fn given_bodies_in_part_that_take_all_they_may_when_another_begins_then_it_alone_is_refused() {
    let (mut story, clients) = full();
    let over = begins_one_more(&mut story);
    assert!(is_refused(&mut story, over));
    assert!(clients.iter().all(|client| !story.is_closed(*client)));
}

/// Like `begins`, for one that may be refused at its head.
fn begins_one_more(story: &mut Story) -> ConnectionId {
    let client = story.client();
    story.comes(client, &head("over", &format!("Content-Length: {BODY}\r\n")));
    client
}

#[test]
fn given_no_room_when_a_client_asks_for_leave_to_send_then_it_gets_none() {
    let (mut story, _) = full();
    let client = story.client();
    story.comes(client, &head("over", &format!("Expect: 100-continue\r\nContent-Length: {BODY}\r\n")));
    assert!(is_refused(&mut story, client));
}

#[test_case("comes whole"; "once one has come whole")]
#[test_case("goes"; "once its client has gone")]
#[test_case("stalls"; "once its client has taken too long")]
#[test_case("errs"; "once one is refused for what it holds")]
fn given_no_room_then_there_is_some_again(how: &str) {
    let (mut story, clients) = full();
    let berth = clients[0];
    match how {
        "comes whole" => story.comes(berth, &"x".repeat(BODY - 4)),
        "goes" => {
            let (peer, why) = ("10.9.0.1:999".parse().unwrap(), std::io::ErrorKind::ConnectionReset.into());
            let why = NetError { step: "read from", peer, source: why };
            story.ports.connections.remove(&berth);
            story.turn(vec![Event::Closed { connection: berth, was_open: true, error: why }]);
        }
        "stalls" => story.waits(Nanos(7_000_000_000)),
        _ => {
            // A chunk that is none takes its connection with it.
            let other = begins_one_more(&mut story);
            assert!(is_refused(&mut story, other));
            story.comes(berth, &"x".repeat(BODY - 4));
            let other = story.client();
            story.comes(other, &head("chunks", "Transfer-Encoding: chunked\r\n"));
            story.comes(other, "5\r\nhello\r\nno chunk\r\n");
            assert!(story.got(other).starts_with("HTTP/1.1 400 "));
        }
    }
    let next = begins(&mut story, "next");
    assert!(!is_refused(&mut story, next));
    let over = begins_one_more(&mut story);
    assert_eq!(is_refused(&mut story, over), how != "stalls");
}

#[test]
fn given_bodies_in_chunks_that_grow_when_there_is_no_room_then_those_that_fit_go_on() {
    let mut story = Story::begin(MEMORY_MB, plan(ClientLimits::default()));
    let clients: Vec<ConnectionId> = (0..2 * FIT).map(|_| story.client()).collect();
    for (no, client) in clients.iter().enumerate() {
        story.comes(*client, &head(&format!("c{no}"), "Transfer-Encoding: chunked\r\n"));
    }
    let chunk = format!("8000\r\n{}\r\n", "y".repeat(0x8000));
    for _ in 0..BODY / 0x8000 {
        for client in &clients {
            if !story.is_closed(*client) {
                story.comes(*client, &chunk);
            }
        }
    }
    let refused = clients.iter().filter(|client| is_refused(&mut story, **client)).count();
    assert_eq!(refused, FIT, "as many as fit go on");
}

#[test]
fn given_a_body_larger_than_the_share_of_the_memory_when_it_alone_comes_then_it_may() {
    let body_bytes = 4 << 20;
    let mut story = Story::begin(MEMORY_MB, plan(ClientLimits { body_bytes, ..ClientLimits::default() }));
    let client = story.client();
    story.comes(client, &head("a", &format!("Content-Length: {body_bytes}\r\n")));
    assert!(!is_refused(&mut story, client));
    let over = begins_one_more(&mut story);
    assert!(is_refused(&mut story, over));
}
