//! Connections of clients that rest.

use super::{Story, answer, plan, request};
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;

const SECOND: Nanos = Nanos(1_000_000_000);

fn rests(idle_ms: u64) -> ClientLimits {
    ClientLimits { idle_ms, ..ClientLimits::default() }
}

#[test]
fn given_a_client_told_of_a_long_rest_when_a_version_shortens_it_then_its_connection_stays_as_told() {
    let mut story = Story::begin(260, plan(rests(10_000)));
    let told = story.client();
    story.comes(told, &request("a", 500));
    let (line, _) = story.line_opens();
    story.comes(line, &answer("a"));
    assert!(story.got(told).contains("Keep-Alive: timeout=9"));
    story.takes(plan(rests(2_000)));
    let since = story.client();
    // Four fifths of what was in force when it was told.
    story.waits(SECOND.times(8.0));
    assert!(!story.is_closed(told), "a connection was closed that its client may still use");
    assert!(story.is_closed(since), "one that came since goes by the version in force");
    story.waits(SECOND.times(3.0));
    assert!(story.is_closed(told), "a connection rests for ever");
}

#[test]
fn given_a_client_told_of_a_long_rest_when_it_is_told_a_shorter_one_then_that_counts() {
    let mut story = Story::begin(260, plan(rests(10_000)));
    let client = story.client();
    story.takes(plan(rests(2_000)));
    story.comes(client, &request("a", 500));
    let (line, _) = story.line_opens();
    story.comes(line, &answer("a"));
    assert!(story.got(client).contains("Keep-Alive: timeout=1"));
    story.waits(SECOND.times(3.0));
    assert!(story.is_closed(client));
}
