//! What clients are told of requests that were, or were not, offered to a node.

use super::{Story, answer, plan, request};
use fernknot::interface::Nanos;
use fernknot_net::Event;
use fernknot_schema::ClientLimits;

const LONG: Nanos = Nanos(700_000_000);

/// The first line of what a client got.
fn told(text: &str) -> &str {
    text.split("\r\n").next().unwrap_or_default()
}

#[test]
fn given_a_connection_that_never_comes_up_when_time_is_over_then_the_client_gets_a_promise_that_holds() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 80));
    let line = *story.lines.last().unwrap();
    story.waits(LONG);
    let text = story.got(client);
    assert_eq!(told(&text), "HTTP/1.1 503 Service Unavailable");
    assert!(text.contains("Attempt-Id: a\r\n") && text.contains("Retry-After: "));
    // Nothing of it can reach the node any more.
    assert!(story.is_closed(line));
}

#[test]
fn given_a_connection_that_came_up_when_the_node_is_silent_then_nothing_is_promised() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 80));
    let (_, offered) = story.line_opens();
    assert!(offered.starts_with("GET /m/ "));
    story.waits(LONG);
    assert!(matches!(told(&story.got(client)), "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"));
}

#[test]
fn given_a_kept_connection_when_the_node_is_silent_then_nothing_is_promised() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 800));
    let (line, _) = story.line_opens();
    story.comes(line, &answer("a"));
    assert_eq!(told(&story.got(client)), "HTTP/1.1 200 OK");
    story.comes(client, &request("b", 80));
    assert!(story.got(line).contains("Attempt-Id: b\r\n"));
    story.waits(LONG);
    assert!(matches!(told(&story.got(client)), "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"));
}

#[test]
fn given_a_connection_that_came_up_and_went_when_that_is_not_told_yet_then_nothing_is_promised() {
    let mut story = Story::begin(260, plan(ClientLimits::default()));
    let client = story.client();
    story.comes(client, &request("a", 80));
    let berth = *story.lines.last().unwrap();
    // It was up, and is gone: of both the loop has still to tell.
    story.ports.connections.remove(&berth);
    story.waits(LONG);
    assert!(matches!(told(&story.got(client)), "HTTP/1.1 504 Gateway Timeout" | "HTTP/1.1 502 Bad Gateway"));
    story.turn(vec![Event::Connected { connection: berth }]);
}
