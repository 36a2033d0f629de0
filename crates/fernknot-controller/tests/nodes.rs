//! What nodes may rely on: an update that was acknowledged reaches all that send to them.

mod common;

use common::{Fleet, config_json, ms};
use fernknot_controller::SubscriberId;
use fernknot_registry::NodeState;
use fernknot_rpc::{ControllerToGateway, GatewayToController, Subscription};
use test_case::test_case;

/// The state of a node that a subscriber received last.
fn state(fleet: &Fleet, subscriber: u64, id: &str) -> Option<NodeState> {
    let updates = fleet.received[&subscriber].iter().filter_map(|message| match message {
        ControllerToGateway::NodeUpdates(records) => Some(records),
        _ => None,
    });
    updates.flatten().rfind(|record| record.id == id).map(|record| record.state)
}

#[test]
fn given_subscribers_everywhere_when_a_node_calls_one_controller_then_all_receive_the_update_at_once() {
    let mut fleet = Fleet::three();
    let subscribers: Vec<u64> = (1..=3).map(|at| fleet.subscribe(at, Subscription::All, 0)).collect();
    for (reported, expected) in [("ready", NodeState::Ready), ("draining", NodeState::Draining)] {
        assert_eq!(fleet.send_heartbeat(2, "i-1", reported, 1 + expected as u64), 200);
        fleet.run(ms(10));
        assert!(
            subscribers.iter().all(|subscriber| state(&fleet, *subscriber, "i-1") == Some(expected)),
            "{reported}"
        );
    }
    assert_eq!(fleet.ask(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 200);
    fleet.run(ms(10));
    assert!(subscribers.iter().all(|subscriber| state(&fleet, *subscriber, "i-1") == Some(NodeState::Gone)));
}

#[test]
fn given_a_partitioned_controller_when_a_node_drains_there_then_the_node_has_to_call_another() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.send_heartbeat(1, "i-1", "ready", 1), 200);
    fleet.partition(1);
    fleet.run(ms(2000));
    assert_eq!(fleet.send_heartbeat(1, "i-1", "ready", 2), 503, "the others must learn of it too");
    assert_eq!(fleet.send_heartbeat(1, "i-2", "ready", 1), 503);
    let subscriber = fleet.subscribe(1, Subscription::All, 0);
    assert_eq!(state(&fleet, subscriber, "i-2"), Some(NodeState::Ready), "it lives, whoever learns of it");
    assert_eq!(fleet.send_heartbeat(2, "i-1", "ready", 3), 200, "the next that it calls");
    assert_eq!(fleet.send_heartbeat(1, "i-1", "draining", 4), 503);
    assert_eq!(fleet.ask(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 503);
    assert_eq!(fleet.read(1).0, 503, "a newer one may be known elsewhere");
    fleet.run(ms(3000));
    assert_eq!(fleet.send_heartbeat(2, "i-1", "draining", 4), 200);
    fleet.heal();
    for seq in 5..9 {
        fleet.run(ms(1000));
        assert_eq!(fleet.send_heartbeat(2, "i-1", "draining", seq), 200);
    }
    let subscriber = fleet.subscribe(1, Subscription::All, 0);
    assert_eq!(state(&fleet, subscriber, "i-1"), Some(NodeState::Draining), "sent after the partition");
    assert_eq!(fleet.send_heartbeat(1, "i-1", "draining", 9), 200);
}

/// A node drains at a controller that can't send to another one, or there and at the third; a gateway has subscribed at
/// the other.
#[test_case(1, &[1]; "by one, to a third")]
#[test_case(1, &[1, 3]; "by one, and by the third that knows already")]
fn given_a_one_way_partition_when_a_node_drains_then_subscribers_beyond_it_receive_the_update(
    from: usize,
    called: &[usize],
) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.send_heartbeat(from, "i-1", "ready", 1), 200);
    fleet.run(ms(500));
    let subscriber = fleet.subscribe(2, Subscription::All, 0);
    fleet.partition_one_way(from, 2);
    for (seq, at) in called.iter().enumerate() {
        fleet.send_heartbeat(*at, "i-1", "draining", 2 + seq as u64);
    }
    fleet.run(ms(10));
    assert_eq!(state(&fleet, subscriber, "i-1"), Some(NodeState::Draining));
}

/// The third learnt of it while nothing could be sent to the other, from neither of them.
#[test]
fn given_a_known_drain_when_it_is_acknowledged_then_all_others_are_sent_it_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.send_heartbeat(1, "i-1", "ready", 1), 200);
    fleet.run(ms(500));
    let subscriber = fleet.subscribe(2, Subscription::All, 0);
    fleet.partition_one_way(1, 2);
    fleet.partition_one_way(3, 2);
    fleet.call(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}");
    fleet.run(ms(10));
    fleet.heal();
    assert_eq!(fleet.ask(3, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 200);
    fleet.run(ms(10));
    assert_eq!(state(&fleet, subscriber, "i-1"), Some(NodeState::Gone));
}

#[test]
fn given_a_controller_that_restarts_when_it_meets_the_others_then_it_knows_the_nodes_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.send_heartbeat(1, "i-1", "ready", 1), 200);
    fleet.run(ms(100));
    fleet.kill(1);
    fleet.start(1, false);
    fleet.run(ms(300));
    let subscriber = fleet.subscribe(1, Subscription::All, 0);
    assert_eq!(state(&fleet, subscriber, "i-1"), Some(NodeState::Ready));
}

#[test]
fn given_a_subscriber_of_one_service_when_nodes_of_others_send_heartbeats_then_it_receives_only_its_own() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.send_heartbeat(1, "i-1", "ready", 1), 200);
    let books = fleet.subscribe(1, Subscription::Services(vec!["books".into()]), 0);
    let films = fleet.subscribe(1, Subscription::Services(vec!["films".into()]), 0);
    assert_eq!(fleet.send_heartbeat(1, "i-2", "ready", 1), 200);
    fleet.run(ms(10));
    assert_eq!([state(&fleet, books, "i-2"), state(&fleet, films, "i-2")], [Some(NodeState::Ready), None]);
    assert_eq!(state(&fleet, films, "i-1"), None);
}

#[test]
fn given_gateways_at_all_controllers_when_one_shuts_down_then_the_next_assignment_is_without_it() {
    let mut fleet = Fleet::three();
    let subscribers: Vec<u64> = (1..=3).map(|at| fleet.subscribe(at, Subscription::All, 0)).collect();
    for _ in 0..8 {
        fleet.run(ms(500));
        for (at, subscriber) in (1..=3).zip(&subscribers) {
            let now = fleet.now;
            fleet.controller(at).handle_gateway_message(
                now,
                SubscriberId(*subscriber),
                GatewayToController::Heartbeat { ready: true },
            );
        }
    }
    let assigned = |fleet: &Fleet, subscriber: u64| {
        fleet.received[&subscriber].iter().rev().find_map(|message| match message {
            ControllerToGateway::Assignment(assignment) => {
                Some((assignment.fencing_token, assignment.gateways.len()))
            }
            _ => None,
        })
    };
    let before = assigned(&fleet, subscribers[0]).expect("an assignment was made");
    assert_eq!(before.1, 3);
    assert!(
        subscribers.iter().all(|subscriber| assigned(&fleet, *subscriber) == Some(before)),
        "all by one assignment"
    );
    let now = fleet.now;
    fleet.controller(3).handle_gateway_message(
        now,
        SubscriberId(subscribers[2]),
        GatewayToController::ShuttingDown,
    );
    fleet.run(ms(1500));
    let after = assigned(&fleet, subscribers[0]).expect("an assignment was made");
    assert!(after.0 > before.0);
    assert_eq!(after.1, 2);
}

#[test]
fn given_a_partitioned_controller_when_a_gateway_starts_then_it_is_sent_no_configuration_until_the_others_are_back()
 {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(4, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.leader();
    let other = first % 3 + 1;
    fleet.partition(first);
    fleet.run(ms(3000));
    assert_eq!(fleet.replace(other, 4, &config_json(7, "two")), 200);
    let subscriber = fleet.subscribe(first, Subscription::All, 0);
    fleet.run(ms(1000));
    let is_complete = |fleet: &Fleet| {
        fleet.received[&subscriber]
            .iter()
            .any(|message| matches!(message, ControllerToGateway::SnapshotComplete))
    };
    assert!(
        fleet.config_epochs(subscriber).is_empty() && !is_complete(&fleet),
        "it would be ready with an old one"
    );
    fleet.heal();
    fleet.run(ms(6000));
    assert_eq!(fleet.config_epochs(subscriber), [7]);
    assert!(is_complete(&fleet));
}
