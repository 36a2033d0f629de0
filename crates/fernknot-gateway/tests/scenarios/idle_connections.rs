//! Idle time-outs of client connections.

use super::{Scenario, config, node_response, request};
use fernknot::interface::Nanos;
use fernknot_schema::ClientLimits;

const SECOND: Nanos = Nanos(1_000_000_000);

fn idle_limits(idle_ms: u64) -> ClientLimits {
    ClientLimits { idle_ms, ..ClientLimits::default() }
}

#[test]
fn given_a_stated_idle_timeout_when_a_configuration_shortens_it_then_the_connection_stays_open_as_stated() {
    let mut scenario = Scenario::start(260, config(idle_limits(10_000)));
    let earlier_client = scenario.connect_client();
    scenario.receive(earlier_client, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive(connection, &node_response("a"));
    assert!(scenario.take_output(earlier_client).contains("Keep-Alive: timeout=9"));
    scenario.apply_config(config(idle_limits(2_000)));
    let later_client = scenario.connect_client();
    // Less than the nine seconds that were stated to the earlier client.
    scenario.advance(SECOND.times(8.0));
    assert!(
        !scenario.is_closed(earlier_client),
        "the gateway closed a connection before the idle time-out that it stated"
    );
    assert!(
        scenario.is_closed(later_client),
        "a later connection has the idle time-out of the configuration in force"
    );
    scenario.advance(SECOND.times(3.0));
    assert!(scenario.is_closed(earlier_client), "an idle connection was not closed after its time-out");
}

#[test]
fn given_an_accepted_connection_when_a_response_states_a_shorter_idle_timeout_then_it_applies() {
    let mut scenario = Scenario::start(260, config(idle_limits(10_000)));
    let client = scenario.connect_client();
    scenario.apply_config(config(idle_limits(2_000)));
    scenario.receive(client, &request("a", 500));
    let (connection, _) = scenario.open_node_connection();
    scenario.receive(connection, &node_response("a"));
    assert!(scenario.take_output(client).contains("Keep-Alive: timeout=1"));
    scenario.advance(SECOND.times(3.0));
    assert!(scenario.is_closed(client));
}
