//! What nodes may rely on: a word that was acknowledged reaches all who send to them.

mod common;

use common::{Fleet, ms, plan};
use fernknot_controller::SubscriberId;
use fernknot_registry::NodeState;
use fernknot_rpc::{ControllerToGateway, GatewayToController, Subscription};
use test_case::test_case;

/// The last that a listener heard of a node.
fn state(fleet: &Fleet, ear: u64, id: &str) -> Option<NodeState> {
    let words = fleet.heard[&ear].iter().filter_map(|word| match word {
        ControllerToGateway::NodeUpdates(facts) => Some(facts),
        _ => None,
    });
    words.flatten().rfind(|fact| fact.id == id).map(|fact| fact.state)
}

#[test]
fn given_listeners_everywhere_when_a_node_says_a_word_at_one_controller_then_all_hear_it_at_once() {
    let mut fleet = Fleet::three();
    let ears: Vec<u64> = (1..=3).map(|at| fleet.listen(at, Subscription::All, 0)).collect();
    for (said, heard) in [("ready", NodeState::Ready), ("draining", NodeState::Draining)] {
        assert_eq!(fleet.beat(2, "i-1", said, 1 + heard as u64), 200);
        fleet.run(ms(10));
        assert!(ears.iter().all(|ear| state(&fleet, *ear, "i-1") == Some(heard)), "{said}");
    }
    assert_eq!(fleet.ask(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 200);
    fleet.run(ms(10));
    assert!(ears.iter().all(|ear| state(&fleet, *ear, "i-1") == Some(NodeState::Gone)));
}

#[test]
fn given_a_controller_that_is_cut_off_when_a_node_drains_there_then_it_is_sent_to_another() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.beat(1, "i-1", "ready", 1), 200);
    fleet.cut_off(1);
    fleet.run(ms(2000));
    assert_eq!(fleet.beat(1, "i-1", "ready", 2), 503, "the others must hear it too");
    assert_eq!(fleet.beat(1, "i-2", "ready", 1), 503);
    let ear = fleet.listen(1, Subscription::All, 0);
    assert_eq!(state(&fleet, ear, "i-2"), Some(NodeState::Ready), "it lives, whoever hears it");
    assert_eq!(fleet.beat(2, "i-1", "ready", 3), 200, "the next that it calls");
    assert_eq!(fleet.beat(1, "i-1", "draining", 4), 503);
    assert_eq!(fleet.ask(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 503);
    assert_eq!(fleet.read(1).0, 503, "a newer one may be known elsewhere");
    fleet.run(ms(3000));
    assert_eq!(fleet.beat(2, "i-1", "draining", 4), 200);
    fleet.join_all();
    for seq in 5..9 {
        fleet.run(ms(1000));
        assert_eq!(fleet.beat(2, "i-1", "draining", seq), 200);
    }
    let ear = fleet.listen(1, Subscription::All, 0);
    assert_eq!(state(&fleet, ear, "i-1"), Some(NodeState::Draining), "told after the cut");
    assert_eq!(fleet.beat(1, "i-1", "draining", 9), 200);
}

/// One that can't speak to another is told of a drain, by words alone or by the third too; who listens at the other.
#[test_case(1, &[1]; "by one that a third hears")]
#[test_case(1, &[1, 3]; "by one, and by the third that knows already")]
fn given_a_cut_one_way_when_a_node_drains_then_who_listens_past_the_cut_hears_of_it(
    from: usize,
    told: &[usize],
) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.beat(from, "i-1", "ready", 1), 200);
    fleet.run(ms(500));
    let ear = fleet.listen(2, Subscription::All, 0);
    fleet.cut_one_way(from, 2);
    for (seq, at) in told.iter().enumerate() {
        fleet.beat(*at, "i-1", "draining", 2 + seq as u64);
    }
    fleet.run(ms(10));
    assert_eq!(state(&fleet, ear, "i-1"), Some(NodeState::Draining));
}

/// The third has it from one that came back and told all it knew, while the other could not hear either.
#[test]
fn given_a_drain_that_is_known_when_it_is_acknowledged_then_all_others_are_told_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.beat(1, "i-1", "ready", 1), 200);
    fleet.run(ms(500));
    let ear = fleet.listen(2, Subscription::All, 0);
    fleet.cut_one_way(1, 2);
    fleet.cut_one_way(3, 2);
    fleet.call(1, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}");
    fleet.run(ms(10));
    fleet.join_all();
    assert_eq!(fleet.ask(3, "POST /-/nodes/i-1/deregister HTTP/1.1\r\n", "{}"), 200);
    fleet.run(ms(10));
    assert_eq!(state(&fleet, ear, "i-1"), Some(NodeState::Gone));
}

#[test]
fn given_a_controller_that_restarts_when_it_meets_the_others_then_it_knows_the_nodes_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.beat(1, "i-1", "ready", 1), 200);
    fleet.run(ms(100));
    fleet.kill(1);
    fleet.start(1, false);
    fleet.run(ms(300));
    let ear = fleet.listen(1, Subscription::All, 0);
    assert_eq!(state(&fleet, ear, "i-1"), Some(NodeState::Ready));
}

#[test]
fn given_a_listener_of_one_service_when_nodes_of_others_beat_then_it_hears_only_its_own() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.beat(1, "i-1", "ready", 1), 200);
    let books = fleet.listen(1, Subscription::Services(vec!["books".into()]), 0);
    let films = fleet.listen(1, Subscription::Services(vec!["films".into()]), 0);
    assert_eq!(fleet.beat(1, "i-2", "ready", 1), 200);
    fleet.run(ms(10));
    assert_eq!([state(&fleet, books, "i-2"), state(&fleet, films, "i-2")], [Some(NodeState::Ready), None]);
    assert_eq!(state(&fleet, films, "i-1"), None);
}

#[test]
fn given_gateways_at_all_controllers_when_one_leaves_by_order_then_the_next_cut_is_without_it() {
    let mut fleet = Fleet::three();
    let ears: Vec<u64> = (1..=3).map(|at| fleet.listen(at, Subscription::All, 0)).collect();
    for _ in 0..8 {
        fleet.run(ms(500));
        for (at, ear) in (1..=3).zip(&ears) {
            let now = fleet.now;
            fleet.brain(at).handle_gateway_message(
                now,
                SubscriberId(*ear),
                GatewayToController::Heartbeat { ready: true },
            );
        }
    }
    let live = |fleet: &Fleet, ear: u64| {
        fleet.heard[&ear].iter().rev().find_map(|word| match word {
            ControllerToGateway::Assignment(cut) => Some((cut.fencing_token, cut.gateways.len())),
            _ => None,
        })
    };
    let before = live(&fleet, ears[0]).expect("a cut was made");
    assert_eq!(before.1, 3);
    assert!(ears.iter().all(|ear| live(&fleet, *ear) == Some(before)), "all by one cut");
    let now = fleet.now;
    fleet.brain(3).handle_gateway_message(now, SubscriberId(ears[2]), GatewayToController::ShuttingDown);
    fleet.run(ms(1500));
    let after = live(&fleet, ears[0]).expect("a cut was made");
    assert!(after.0 > before.0);
    assert_eq!(after.1, 2);
}

#[test]
fn given_a_controller_that_is_cut_off_when_a_gateway_starts_then_it_is_told_no_configuration_until_the_others_are_back()
 {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(4, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.first();
    let other = first % 3 + 1;
    fleet.cut_off(first);
    fleet.run(ms(3000));
    assert_eq!(fleet.replace(other, 4, &plan(7, "two")), 200);
    let ear = fleet.listen(first, Subscription::All, 0);
    fleet.run(ms(1000));
    let whole = |fleet: &Fleet| {
        fleet.heard[&ear].iter().any(|word| matches!(word, ControllerToGateway::SnapshotComplete))
    };
    assert!(fleet.plans(ear).is_empty() && !whole(&fleet), "it would be ready with an old one");
    fleet.join_all();
    fleet.run(ms(6000));
    assert_eq!(fleet.plans(ear), [7]);
    assert!(whole(&fleet));
}
