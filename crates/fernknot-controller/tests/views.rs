//! Reports of the view, and forced views.

mod common;

use assert_matches::assert_matches;
use common::{Cluster, WriteMode, addr, config_json, ms};
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic};
use test_case::test_case;

fn show_views(cluster: &mut Cluster, controller: usize) -> String {
    match cluster.send_as_operator(controller, GatewayToController::Inspect(InspectionTopic::Views)) {
        Some(ControllerToGateway::InspectionReport(report)) => report,
        other => panic!("expected a report: {other:?}"),
    }
}

#[test]
fn given_three_controllers_when_one_fails_then_the_report_names_it_with_the_reason_and_the_remaining_tolerance()
 {
    let mut cluster = Cluster::of_three();
    let healthy_report = show_views(&mut cluster, 1);
    assert!(healthy_report.contains("bears 1 more losses now, is to bear 1"), "{healthy_report}");
    assert_eq!(healthy_report.matches(" member\n").count(), 3, "{healthy_report}");
    cluster.power_off(3);
    cluster.run(ms(3000));
    let report = show_views(&mut cluster, 1);
    assert!(report.contains("zone-3 left out, votes: not heard"), "{report}");
    assert!(report.contains("bears 0 more losses now"), "{report}");
    assert!(cluster.get(1, "GET /-/counters HTTP/1.1\r\n").1.contains("\"remaining_fault_tolerance\":0"));
    cluster.start(3, false);
    cluster.run(ms(3000));
    assert!(show_views(&mut cluster, 1).contains("bears 1 more losses now"));
    cluster.set_write_mode(3, WriteMode::Hang);
    let now = cluster.now;
    cluster.controller_mut(3).set_disk_health(now, false);
    cluster.run(ms(3000));
    let report = show_views(&mut cluster, 1);
    assert!(report.contains("its disk hangs or refuses"), "{report}");
}

#[test_case(false; "the lost controllers stay down")]
#[test_case(true; "the lost controllers return")]
fn given_two_of_three_lost_when_a_view_is_forced_then_changes_are_accepted_once_a_new_controller_joins(
    others_return: bool,
) {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 200);
    cluster.run(ms(50));
    let force = || GatewayToController::ForceView { lost: vec![addr(1), addr(2)] };
    assert_matches!(cluster.send_as_operator(3, force()), Some(ControllerToGateway::ForceViewResult(Err(reason))) if reason.contains("is heard"));
    cluster.power_off(1);
    cluster.power_off(2);
    cluster.run(ms(4000));
    assert_eq!(cluster.replace_config(3, 7, &config_json(8, "two")), 503);
    assert_matches!(cluster.send_as_operator(3, force()), Some(ControllerToGateway::ForceViewResult(Ok(_))));
    cluster.run(ms(500));
    // One disk is not enough to acknowledge a change; another controller has to join.
    assert_eq!(cluster.replace_config(3, 7, &config_json(8, "two")), 503);
    cluster.start(4, false);
    cluster.run(ms(4000));
    assert_eq!(cluster.replace_config(4, 7, &config_json(9, "three")), 200);
    if others_return {
        cluster.start(1, false);
        cluster.start(2, false);
        cluster.run(ms(8000));
        for controller in 1..=4 {
            assert_eq!(
                cluster.read_config(controller),
                (200, config_json(9, "three")),
                "read at {controller}"
            );
        }
        let report = show_views(&mut cluster, 1);
        assert_eq!(report.matches(" member\n").count(), 4, "{report}");
    }
    assert_eq!(cluster.read_config(3), (200, config_json(9, "three")));
}

#[test]
fn given_two_partitioned_controllers_when_they_learn_of_a_forced_view_then_their_later_version_is_discarded()
{
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 200);
    cluster.run(ms(50));
    cluster.partition(3);
    cluster.run(ms(4000));
    assert_eq!(cluster.replace_config(1, 7, &config_json(8, "two")), 200);
    let lost = vec![addr(1), addr(2)];
    assert_matches!(
        cluster.send_as_operator(3, GatewayToController::ForceView { lost }),
        Some(ControllerToGateway::ForceViewResult(Ok(_)))
    );
    cluster.run(ms(500));
    cluster.heal();
    cluster.run(ms(6000));
    for controller in 1..=3 {
        assert_eq!(cluster.read_config(controller), (200, config_json(7, "one")), "read at {controller}");
    }
    // Version 8 was discarded: a change cannot build on it.
    assert_eq!(cluster.replace_config(1, 8, &config_json(9, "three")), 412);
    assert_eq!(cluster.replace_config(2, 7, &config_json(9, "three")), 200);
}
