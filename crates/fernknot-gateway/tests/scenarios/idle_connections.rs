//! Idle connections of clients.

use super::{Scenario, answer, config, request};
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;

const SECOND: Nanos = Nanos(1_000_000_000);

fn idle_limits(idle_ms: u64) -> ClientLimits {
    ClientLimits { idle_ms, ..ClientLimits::default() }
}

#[test]
fn given_a_stated_idle_time_when_a_configuration_shortens_it_then_the_connection_stays_as_stated() {
    let mut scenario = Scenario::begin(260, config(idle_limits(10_000)));
    let informed = scenario.connect_client();
    scenario.receive(informed, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive(connection, &answer("a"));
    assert!(scenario.take_output(informed).contains("Keep-Alive: timeout=9"));
    scenario.apply_config(config(idle_limits(2_000)));
    let newer = scenario.connect_client();
    // Four fifths of the time-out that it was told.
    scenario.advance(SECOND.times(8.0));
    assert!(!scenario.is_closed(informed), "a connection was closed that its client may still use");
    assert!(scenario.is_closed(newer), "one that came since goes by the version in force");
    scenario.advance(SECOND.times(3.0));
    assert!(scenario.is_closed(informed), "a connection rests for ever");
}

#[test]
fn given_a_stated_idle_time_when_a_shorter_one_is_stated_then_that_counts() {
    let mut scenario = Scenario::begin(260, config(idle_limits(10_000)));
    let client = scenario.connect_client();
    scenario.apply_config(config(idle_limits(2_000)));
    scenario.receive(client, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive(connection, &answer("a"));
    assert!(scenario.take_output(client).contains("Keep-Alive: timeout=1"));
    scenario.advance(SECOND.times(3.0));
    assert!(scenario.is_closed(client));
}
