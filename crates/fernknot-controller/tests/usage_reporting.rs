//! Usage is reported once for each window, in time, by one controller at a time, whatever happens to its holder or to
//! the platform.

mod common;

use common::{Cluster, PlatformMode, START_UNIX_MS, WriteMode, config_json, ms};
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_ownership::IncarnationId;
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic, Subscription};
use fernknot_usage::{UsageReport, WindowNumber, WindowUsage};
use fernknot_usage_reporting::ReportingSettings;
use test_case::test_case;

const USAGE_DELAY: Nanos = Nanos(10_000_000_000);

fn cluster(count: usize, tolerated_losses: usize) -> Cluster {
    let reporter = ReportingSettings {
        holder: String::new(),
        lease: ms(3000),
        window: ms(5000),
        usage_delay: USAGE_DELAY,
        calls_per_s: 50.0,
    };
    Cluster::with_usage_reporting(count, tolerated_losses, reporter)
}

fn current_window(cluster: &Cluster) -> u64 {
    (START_UNIX_MS + cluster.now.0 / 1_000_000) / 5000
}

/// Reports totals of a gateway for the current window to a controller.
fn report(cluster: &mut Cluster, machine_id: usize, incarnation: u64, tenant: &str, total: u64) {
    let window = WindowNumber(current_window(cluster));
    let windows = vec![WindowUsage { window, requests: vec![(tenant.to_string(), total)] }];
    let report = UsageReport { incarnation: IncarnationId(incarnation), windows };
    let now = cluster.now;
    cluster.controller_mut(machine_id).handle_gateway_message(
        now,
        SubscriberId(900 + incarnation),
        GatewayToController::UsageReports(vec![report]),
    );
}

/// Runs the cluster for some seconds, with a report of one request a second by a gateway of each of `machines`.
fn run_with_usage(cluster: &mut Cluster, machines: &[usize], seconds: u64) {
    for _ in 0..seconds {
        for machine_id in machines {
            let total = 1 + (cluster.now.0 / 1_000_000_000) % 5;
            report(cluster, *machine_id, *machine_id as u64, "milo40", total);
        }
        cluster.run(ms(1000));
    }
}

fn sum(body: &str) -> u64 {
    body.rsplit(':').next().and_then(|count| count.trim_end_matches('}').parse().ok()).unwrap_or_default()
}

#[test]
fn given_gateways_at_all_controllers_when_windows_end_then_each_is_reported_once_with_the_sum() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 60);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
    assert_eq!(cluster.platform.acts.len(), cluster.platform.accepted.len(), "no report is repeated");
    assert_eq!(cluster.platform.body(1002), r#"{"window":1002,"counts":{"milo40":15}}"#);
    let holder = format!("core-{}", cluster.leader());
    assert!(cluster.platform.acts.iter().all(|(by, _)| *by == holder));
}

#[test]
fn given_no_gateways_when_windows_end_then_they_are_reported_empty_from_the_first_on() {
    let mut cluster = cluster(3, 1);
    cluster.run(ms(30_000));
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
    assert_eq!(cluster.platform.body(1000), r#"{"window":1000,"counts":{}}"#);
}

#[test]
fn given_a_subscriber_when_usage_is_fixed_then_it_is_sent_no_configuration_and_the_time_before_each_heartbeat()
 {
    let mut cluster = cluster(3, 1);
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "a")), 200);
    let subscriber = cluster.subscribe(2, Subscription::All, 0);
    run_with_usage(&mut cluster, &[1, 2, 3], 40);
    assert!(cluster.platform.accepted.len() >= 5, "usage was fixed several times");
    assert_eq!(cluster.config_epochs(subscriber), [5]);
    let messages = &cluster.received[&subscriber];
    let revisions = messages.iter().filter_map(|message| match message {
        ControllerToGateway::Config { revision, .. } | ControllerToGateway::Heartbeat { revision, .. } => {
            Some(*revision)
        }
        _ => None,
    });
    let mut revisions: Vec<u64> = revisions.collect();
    revisions.dedup();
    assert_eq!(revisions.len(), 1, "the configuration keeps its revision: {revisions:?}");
    let is_heartbeat =
        |message: &ControllerToGateway| matches!(message, ControllerToGateway::Heartbeat { .. });
    for (at, _) in messages.iter().enumerate().filter(|(_, message)| is_heartbeat(message)) {
        assert!(matches!(messages[at - 1], ControllerToGateway::TimeOfDay { .. }));
    }
    assert_eq!(cluster.replace_config(3, 5, &config_json(6, "b")), 200);
    cluster.run(ms(100));
    assert_eq!(cluster.config_epochs(subscriber), [5, 6]);
}

/// Guards against usage counted in wrong windows by the clock of a controller that is cut off from the others.
#[test]
fn given_a_controller_without_a_lease_when_it_sends_heartbeats_then_it_states_no_time_of_day() {
    let mut cluster = cluster(3, 1);
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "a")), 200);
    let subscriber = cluster.subscribe(3, Subscription::All, 0);
    cluster.partition(3);
    cluster.run(ms(3000));
    cluster.received.get_mut(&subscriber).unwrap().clear();
    cluster.run(ms(1000));
    let messages = &cluster.received[&subscriber];
    assert!(messages.iter().any(|message| matches!(message, ControllerToGateway::Heartbeat { .. })));
    assert!(!messages.iter().any(|message| matches!(message, ControllerToGateway::TimeOfDay { .. })));
}

#[test]
fn given_changes_of_the_configuration_when_usage_is_fixed_between_them_then_each_is_acknowledged_quickly() {
    let mut cluster = cluster(3, 1);
    for epoch in 1..=300u64 {
        let started = cluster.now;
        assert_eq!(
            cluster.replace_config(1 + (epoch % 3) as usize, epoch - 1, &config_json(epoch, "a")),
            200
        );
        let took = cluster.now - started;
        assert!(took <= ms(80), "change {epoch} took {took:?}");
        report(&mut cluster, 1, 1, "milo40", epoch);
        cluster.run(ms(100));
    }
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
}

#[test]
fn given_a_leader_that_is_killed_at_any_moment_then_each_window_is_still_reported_in_time_with_one_content() {
    for moment in (0..5000).step_by(250) {
        let mut cluster = cluster(3, 1);
        run_with_usage(&mut cluster, &[1, 2, 3], 12);
        cluster.run(ms(moment));
        let leader = cluster.leader();
        cluster.kill(leader);
        let others: Vec<usize> = (1..=3).filter(|other| *other != leader).collect();
        run_with_usage(&mut cluster, &others, 40);
        let now = cluster.now;
        cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
    }
}

#[test_case(2; "between the commit and the call")]
#[test_case(5; "between the call and the answer")]
fn given_a_leader_that_is_killed_around_a_call_then_the_next_reports_the_same_content(after_start_ms: u64) {
    let mut cluster = cluster(3, 1);
    cluster.platform.mode = PlatformMode::Slow(ms(1000));
    run_with_usage(&mut cluster, &[1, 2, 3], 11);
    // Window 1001 is closed 13 s after the start.
    while cluster.now < ms(13_000) {
        cluster.run(ms(1));
    }
    cluster.run(ms(after_start_ms + 4));
    let leader = cluster.leader();
    cluster.kill(leader);
    let others: Vec<usize> = (1..=3).filter(|other| *other != leader).collect();
    run_with_usage(&mut cluster, &others, 25);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
    assert_eq!(sum(cluster.platform.body(1001)), 15);
}

#[test_case(1500)]
#[test_case(4000)]
#[test_case(20_000)]
fn given_a_frozen_leader_when_it_wakes_then_it_makes_no_call_that_it_may_not(frozen_ms: u64) {
    for moment in (0..5000).step_by(500) {
        let mut cluster = cluster(3, 1);
        cluster.platform.mode = PlatformMode::Slow(ms(300));
        run_with_usage(&mut cluster, &[1, 2, 3], 12);
        cluster.run(ms(moment));
        let leader = cluster.leader();
        cluster.freeze(leader);
        cluster.run(ms(frozen_ms));
        cluster.thaw(leader);
        cluster.run(ms(30_000));
        let now = cluster.now;
        cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
        assert_eq!(cluster.platform.fenced, 0, "the lease ends before another controller leads");
    }
}

#[test]
fn given_a_leader_cut_off_with_a_minority_when_the_majority_goes_on_then_only_one_of_them_acts() {
    let mut cluster = cluster(5, 2);
    run_with_usage(&mut cluster, &[1, 2, 3, 4, 5], 15);
    let leader = cluster.leader();
    cluster.partition(leader);
    cluster.run(ms(25_000));
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
    assert_ne!(cluster.platform.acts.last().unwrap().0, format!("core-{leader}"));
    cluster.heal();
    cluster.run(ms(25_000));
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
}

#[test]
fn given_no_majority_when_it_returns_then_the_windows_of_the_meantime_are_reported_with_their_counts() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 15);
    (1..=3).for_each(|machine_id| cluster.partition(machine_id));
    run_with_usage(&mut cluster, &[1, 2, 3], 30);
    let reported = cluster.platform.accepted.len();
    cluster.heal();
    let healed_at = cluster.now;
    run_with_usage(&mut cluster, &[1, 2, 3], 30);
    assert!(cluster.platform.accepted.len() > reported + 6);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, healed_at + ms(8000));
    assert_eq!(sum(cluster.platform.body(1005)), 15);
}

#[test_case(60_000)]
#[test_case(-60_000)]
#[test_case(3000)]
fn given_the_clock_of_one_controller_when_it_steps_then_windows_are_reported_as_before(step_ms: i64) {
    for stepping in 1..=3 {
        let mut cluster = cluster(3, 1);
        run_with_usage(&mut cluster, &[1, 2, 3], 12);
        cluster.clock_error_ms.insert(stepping, step_ms);
        run_with_usage(&mut cluster, &[1, 2, 3], 30);
        let now = cluster.now;
        cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
        assert_eq!(sum(cluster.platform.body(1005)), 15);
    }
}

#[test_case(PlatformMode::Slow(ms(4000)); "slow")]
#[test_case(PlatformMode::Silent; "silent")]
#[test_case(PlatformMode::AcceptSilently; "accepts without an answer")]
#[test_case(PlatformMode::AcceptAndReset; "resets")]
#[test_case(PlatformMode::Reject(429); "too many calls")]
#[test_case(PlatformMode::Reject(503); "unavailable")]
#[test_case(PlatformMode::Unreachable; "unreachable")]
fn given_a_platform_with_a_fault_when_it_is_over_then_every_window_is_reported_soon(mode: PlatformMode) {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 12);
    cluster.platform.mode = mode;
    run_with_usage(&mut cluster, &[1, 2, 3], 30);
    cluster.platform.mode = PlatformMode::Accept;
    let over_at = cluster.now;
    run_with_usage(&mut cluster, &[1, 2, 3], 30);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, over_at + ms(10_500));
    assert_eq!(sum(cluster.platform.body(1005)), 15);
}

#[test]
fn given_a_leader_that_shuts_down_when_it_leaves_then_another_one_reports_in_time() {
    let mut cluster = cluster(3, 1);
    cluster.platform.mode = PlatformMode::Slow(ms(500));
    run_with_usage(&mut cluster, &[1, 2, 3], 14);
    let (leader, now) = (cluster.leader(), cluster.now);
    cluster.controller_mut(leader).begin_shutdown(now);
    cluster.run(ms(2000));
    assert!(cluster.controller_mut(leader).can_exit());
    cluster.kill(leader);
    let others: Vec<usize> = (1..=3).filter(|other| *other != leader).collect();
    run_with_usage(&mut cluster, &others, 30);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
}

#[test]
fn given_all_controllers_when_they_restart_then_windows_go_on_where_they_were() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 20);
    (1..=3).for_each(|machine_id| cluster.kill(machine_id));
    cluster.run(ms(2000));
    (1..=3).for_each(|machine_id| cluster.start(machine_id, false));
    let restarted_at = cluster.now;
    run_with_usage(&mut cluster, &[1, 2, 3], 30);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, restarted_at + ms(8000));
    assert_eq!(cluster.platform.acts.len(), cluster.platform.accepted.len() + 1, "one is repeated unchanged");
}

#[test]
fn given_a_hung_disk_of_the_leader_when_windows_close_then_another_one_reports_them() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 12);
    let (leader, now) = (cluster.leader(), cluster.now);
    cluster.set_write_mode(leader, WriteMode::Hang);
    cluster.controller_mut(leader).set_disk_health(now, false);
    run_with_usage(&mut cluster, &[1, 2, 3], 40);
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, Nanos(0));
}

#[test]
fn given_an_operator_when_it_shows_the_duties_then_the_report_names_the_token_and_the_windows() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 20);
    let leader = cluster.leader();
    let request = GatewayToController::Inspect(InspectionTopic::Ownership);
    let report = match cluster.send_as_operator(leader, request) {
        Some(ControllerToGateway::InspectionReport(report)) => report,
        other => panic!("expected a report, not {other:?}"),
    };
    assert!(report.contains("usage report: held by this controller, fencing token 1\n"), "{report}");
    let windows = "usage report: last window fixed 1002, last acknowledged 1002, 0 waiting, 0 given up\n";
    assert!(report.contains(windows), "{report}");
    let (status, counters) = cluster.get(leader, "GET /-/counters HTTP/1.1\r\n");
    assert_eq!(status, 200);
    for counter in ["\"usage_fencing_token\":1", "\"usage_last_fixed\":1002", "\"usage_calls_fenced\":0"] {
        assert!(counters.replace(' ', "").contains(counter), "{counter} in {counters}");
    }
}

// A content that another leader may replace must not reach the platform.
#[test]
fn given_disks_that_hang_when_a_window_closes_then_it_is_not_reported_before_its_content_is_committed() {
    let mut cluster = cluster(3, 1);
    run_with_usage(&mut cluster, &[1, 2, 3], 11);
    // Window 1001 is closed 13 s after the start.
    let reported = cluster.platform.accepted.len();
    assert!(cluster.now < ms(13_000));
    for machine_id in 1..=3 {
        cluster.set_write_mode(machine_id, WriteMode::Hang);
    }
    run_with_usage(&mut cluster, &[1, 2, 3], 2);
    assert_eq!(cluster.platform.accepted.len(), reported, "a window was reported without a commit");
    for machine_id in 1..=3 {
        cluster.set_write_mode(machine_id, WriteMode::Succeed);
    }
    cluster.run(ms(25_000));
    let now = cluster.now;
    cluster.platform.check_due(now, USAGE_DELAY, now);
    assert!(cluster.platform.accepted.len() > reported);
}
