//! What an operator sees of the view, and how one is forced.

mod common;

use assert_matches::assert_matches;
use common::{Fleet, Writes, addr, config_json, ms};
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic};
use test_case::test_case;

fn shown(fleet: &mut Fleet, at: usize) -> String {
    match fleet.send_as_operator(at, GatewayToController::Inspect(InspectionTopic::Views)) {
        Some(ControllerToGateway::InspectionReport(text)) => text,
        other => panic!("no report: {other:?}"),
    }
}

#[test]
fn given_three_controllers_when_one_fails_then_it_is_named_with_the_reason_and_no_more_losses_are_tolerated()
{
    let mut fleet = Fleet::three();
    let calm = shown(&mut fleet, 1);
    assert!(calm.contains("bears 1 more losses now, is to bear 1"), "{calm}");
    assert_eq!(calm.matches(" member\n").count(), 3, "{calm}");
    fleet.power_off(3);
    fleet.run(ms(3000));
    let text = shown(&mut fleet, 1);
    assert!(text.contains("zone-3 left out, votes: not heard"), "{text}");
    assert!(text.contains("bears 0 more losses now"), "{text}");
    assert!(fleet.get(1, "GET /-/counters HTTP/1.1\r\n").1.contains("\"remaining_fault_tolerance\":0"));
    fleet.start(3, false);
    fleet.run(ms(3000));
    assert!(shown(&mut fleet, 1).contains("bears 1 more losses now"));
    fleet.disk(3, Writes::Hang);
    let now = fleet.now;
    fleet.controller(3).set_disk_health(now, false);
    fleet.run(ms(3000));
    let text = shown(&mut fleet, 1);
    assert!(text.contains("its disk hangs or refuses"), "{text}");
}

#[test_case(false; "the others are gone")]
#[test_case(true; "the others come back")]
fn given_two_of_three_lost_when_an_operator_forces_a_view_then_what_is_left_goes_on(back: bool) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 200);
    fleet.run(ms(50));
    let force = || GatewayToController::ForceView { lost: vec![addr(1), addr(2)] };
    assert_matches!(fleet.send_as_operator(3, force()), Some(ControllerToGateway::ForceViewResult(Err(reason))) if reason.contains("is heard"));
    fleet.power_off(1);
    fleet.power_off(2);
    fleet.run(ms(4000));
    assert_eq!(fleet.replace(3, 7, &config_json(8, "two")), 503);
    assert_matches!(fleet.send_as_operator(3, force()), Some(ControllerToGateway::ForceViewResult(Ok(_))));
    fleet.run(ms(500));
    // One disk is not enough to acknowledge on: a new one is.
    assert_eq!(fleet.replace(3, 7, &config_json(8, "two")), 503);
    fleet.start(4, false);
    fleet.run(ms(4000));
    assert_eq!(fleet.replace(4, 7, &config_json(9, "three")), 200);
    if back {
        fleet.start(1, false);
        fleet.start(2, false);
        fleet.run(ms(8000));
        for at in 1..=4 {
            assert_eq!(fleet.read(at), (200, config_json(9, "three")), "read at {at}");
        }
        let text = shown(&mut fleet, 1);
        assert_eq!(text.matches(" member\n").count(), 4, "{text}");
    }
    assert_eq!(fleet.read(3), (200, config_json(9, "three")));
}

#[test]
fn given_two_that_were_only_partitioned_when_they_learn_of_the_forced_view_then_what_they_confirmed_is_void()
{
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 200);
    fleet.run(ms(50));
    fleet.partition(3);
    fleet.run(ms(4000));
    assert_eq!(fleet.replace(1, 7, &config_json(8, "two")), 200);
    let lost = vec![addr(1), addr(2)];
    assert_matches!(
        fleet.send_as_operator(3, GatewayToController::ForceView { lost }),
        Some(ControllerToGateway::ForceViewResult(Ok(_)))
    );
    fleet.run(ms(500));
    fleet.heal();
    fleet.run(ms(6000));
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, config_json(7, "one")), "read at {at}");
    }
    // It is a version like any other now: on version 8 nothing can be built.
    assert_eq!(fleet.replace(1, 8, &config_json(9, "three")), 412);
    assert_eq!(fleet.replace(2, 7, &config_json(9, "three")), 200);
}
