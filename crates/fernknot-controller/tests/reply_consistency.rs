//! Replies of a controller while the others may have committed newer versions, and while the leader fails.

mod common;

use common::{Cluster, ONE_WAY_DELAY, SYNC_DURATION, WriteMode, config_json, ms};
use fernknot::interface::Nanos;
use fernknot_consensus::SeededBug as ConsensusBug;
use fernknot_controller::{CommittedVersion, ControlState, SeededBug};
use fernknot_registry::NodeState;
use fernknot_rpc::{ControllerToGateway, Subscription};
use test_case::test_case;

const REPLACE_CONFIG_HEAD: &str = "POST /-/config/replace HTTP/1.1\r\n";

/// Partitions the leader while the others commit versions. Checks its replies to retries of them, to reads, readiness
/// checks and deregistrations, once per 900 ms.
fn check_partitioned_leader(bug: Option<SeededBug>) -> Result<(), String> {
    let mut cluster = Cluster::with_seeded_bug(3, 3, 1, bug);
    assert_eq!(cluster.replace_config(1, 0, &config_json(4, "one")), 200);
    cluster.run(ms(50));
    let leader = cluster.leader();
    let other = leader % 3 + 1;
    cluster.partition(leader);
    let (mut newest, mut next) = (4, 5);
    for turn in 0..60 {
        if turn % 20 == 1 && cluster.replace_config(other, newest, &config_json(next, "more")) == 200 {
            (newest, next) = (next, next + 1);
        }
        let asked_at = cluster.now;
        let head = format!("{REPLACE_CONFIG_HEAD}Base-Epoch: {}\r\n", newest.max(5) - 1);
        let repeat =
            cluster.call(leader, &head, &config_json(newest, if newest == 4 { "one" } else { "more" }));
        let read = cluster.call(leader, "GET /-/config/read HTTP/1.1\r\n", "");
        let ready = cluster.call(leader, "GET /-/readiness HTTP/1.1\r\n", "");
        let drain = cluster.call(leader, "POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}");
        cluster.run(ms(900));
        let status = |call: &u64| cluster.replies.get(call).map_or(0, |(status, _)| *status);
        // A retry of the version committed before the partition is found in the local history.
        let expected = if newest == 4 { 200 } else { 503 };
        if status(&repeat) != expected {
            return Err(format!("at {asked_at:?} the retry of version {newest} got {}", status(&repeat)));
        }
        for (call_name, call) in [("a read", read), ("readiness", ready), ("a deregistration", drain)] {
            if status(&call) != 503 {
                return Err(format!("at {asked_at:?} {call_name} got {}", status(&call)));
            }
        }
    }
    assert!(newest > 5, "the others committed versions up to {newest}");
    cluster.heal();
    cluster.run(ms(6000));
    for controller in 1..=3 {
        assert_eq!(cluster.read_config(controller), (200, config_json(newest, "more")));
        assert_eq!(cluster.replace_config(controller, newest - 1, &config_json(newest, "more")), 200);
    }
    Ok(())
}

#[test]
fn given_a_partitioned_leader_when_the_others_commit_versions_then_it_replies_nothing_from_local_state() {
    assert_eq!(check_partitioned_leader(None), Ok(()));
}

#[test_case(SeededBug::AnswerFromLocalState; "replies from local state")]
#[test_case(SeededBug::Consensus(ConsensusBug::ReadIndexWithoutQuorum); "read index without a quorum")]
fn given_a_seeded_bug_when_the_leader_is_partitioned_then_the_bug_is_found(bug: SeededBug) {
    assert!(check_partitioned_leader(Some(bug)).is_err());
}

/// Lets the leader acknowledge a version, drops its messages to another controller from that moment, and reads from
/// that controller; for each of the two others.
fn read_from_others_after_acknowledgement(bug: Option<SeededBug>) -> Vec<(u16, String)> {
    let mut reads = Vec::new();
    for other in 1..=2 {
        let mut cluster = Cluster::with_seeded_bug(3, 3, 1, bug);
        assert_eq!(cluster.replace_config(1, 0, &config_json(4, "one")), 200);
        cluster.run(ms(50));
        let leader = cluster.leader();
        let other = (leader + other - 1) % 3 + 1;
        assert_eq!(
            cluster.call_until_reply(
                leader,
                &format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 4\r\n"),
                &config_json(7, "two")
            ),
            200
        );
        cluster.partition_one_way(leader, other);
        reads.push(cluster.read_config(other));
    }
    reads
}

#[test]
fn given_a_version_just_acknowledged_when_read_from_a_controller_without_the_commit_then_it_is_returned() {
    assert_eq!(read_from_others_after_acknowledgement(None), vec![(200, config_json(7, "two")); 2]);
}

#[test_case(SeededBug::AnswerFromLocalState; "replies from local state")]
#[test_case(SeededBug::Consensus(ConsensusBug::ReadIndexIgnoresPendingChange); "read index that ignores pending changes")]
fn given_a_seeded_bug_when_a_version_was_just_acknowledged_then_the_bug_is_found(bug: SeededBug) {
    assert!(read_from_others_after_acknowledgement(Some(bug)).contains(&(200, config_json(4, "one"))));
}

#[test]
fn given_a_draining_node_when_the_drain_is_acknowledged_then_a_majority_has_recorded_it() {
    let heartbeat = |state: &str, sequence: u64| {
        format!(
            r#"{{"backend":"books","address":"10.9.0.1:80","zone":"zone-1","epoch":"v1","capacity":3,
            "state":"{state}","warmup_left_ms":0,"call_seq":{sequence}}}"#
        )
    };
    for controller in 1..=3 {
        let mut cluster = Cluster::of_three();
        let subscribers: Vec<u64> =
            (1..=3).map(|controller| cluster.subscribe(controller, Subscription::All, 0)).collect();
        let head = "POST /-/nodes/i-1/heartbeat HTTP/1.1\r\n";
        assert_eq!(cluster.call_until_reply(controller, head, &heartbeat("ready", 1)), 200);
        cluster.run(ms(2000));
        assert_eq!(cluster.call_until_reply(controller, head, &heartbeat("draining", 2)), 200);
        let informed = subscribers.iter().filter(|subscriber| {
            cluster.received[subscriber].iter().any(|message| match message {
                ControllerToGateway::NodeUpdates(records) => {
                    records.iter().any(|record| record.state == NodeState::Draining)
                }
                _ => false,
            })
        });
        assert!(informed.count() >= 2, "announced at {controller}");
    }
}

/// Two operators send different configurations with the same epoch to two controllers, and the leader fails after
/// `after` times 0.5 ms.
fn check_concurrent_changes_at_leader_failure(after: u64, fault: u64) {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    cluster.run(ms(50));
    let leader = cluster.leader();
    let (one, two) = (leader % 3 + 1, (leader + 1) % 3 + 1);
    let head = format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 5\r\n");
    let calls = [
        cluster.call(one, &head, &config_json(7, "two")),
        cluster.call(two, &head, &config_json(7, "three")),
    ];
    cluster.run(Nanos(after * 500_000));
    match fault {
        0 => cluster.kill(leader),
        1 => cluster.partition(leader),
        _ => cluster.set_write_mode(leader, WriteMode::Hang),
    }
    cluster.run(ms(900));
    let mut acknowledged_paths = Vec::new();
    for (call, path) in calls.iter().zip(["two", "three"]) {
        match cluster.replies.get(call).map_or(0, |(status, _)| *status) {
            200 => acknowledged_paths.push(path),
            412 | 503 => {}
            status => panic!("{after}, {fault}: {path} got {status}"),
        }
    }
    // Each change is retried unchanged until its outcome is known.
    let mut outcomes = [("two", one), ("three", two)].map(|(path, controller)| {
        for _ in 0..20 {
            match cluster.replace_config(controller, 5, &config_json(7, path)) {
                503 => cluster.run(ms(200)),
                status => return (path, status),
            }
        }
        (path, 503)
    });
    outcomes.sort_by_key(|(_, status)| *status);
    assert_eq!(outcomes.map(|(_, status)| status), [200, 412], "{after}, {fault}");
    assert!(
        acknowledged_paths.iter().all(|path| *path == outcomes[0].0),
        "{after}, {fault}: {acknowledged_paths:?}, then {outcomes:?}"
    );
    assert_eq!(cluster.read_config(one), (200, config_json(7, outcomes[0].0)));
}

#[test_case(0; "killed")]
#[test_case(1; "partitioned")]
#[test_case(2; "hung disk")]
fn given_two_configurations_with_one_epoch_when_the_leader_fails_at_any_moment_then_one_is_committed(
    fault: u64,
) {
    (0..24).for_each(|after| check_concurrent_changes_at_leader_failure(after, fault));
}

#[test]
fn given_eight_concurrent_changes_when_all_build_on_one_version_then_one_is_committed_and_the_rest_rejected()
{
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    let head = format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 5\r\n");
    let paths: Vec<String> = (0..8).map(|index| format!("p{index}")).collect();
    // Each change is sent to two controllers, like a retry after a lost reply.
    let calls: Vec<u64> =
        (0..16).map(|index| cluster.call(index % 3 + 1, &head, &config_json(7, &paths[index % 8]))).collect();
    cluster.run(ms(900));
    let status = |index: usize| cluster.replies[&calls[index]].0;
    let committed: Vec<usize> = (0..8).filter(|index| status(*index) == 200).collect();
    assert_eq!(committed.len(), 1);
    for index in 0..8 {
        assert_eq!(status(index), status(index + 8), "the same change, the same outcome");
        assert!([200, 412].contains(&status(index)));
    }
}

#[test]
fn given_a_committed_version_when_it_is_sent_with_other_white_space_then_it_is_acknowledged_again() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    let other = config_json(5, "one").replace(',', " ,\n ").replace(':', " : ");
    (1..=3).for_each(|controller| assert_eq!(cluster.replace_config(controller, 0, &other), 200));
}

#[test]
fn given_an_unknown_outcome_when_the_change_was_committed_and_superseded_then_its_retry_is_acknowledged() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    (1..=3).for_each(|controller| cluster.set_write_mode(controller, WriteMode::Hang));
    assert_eq!(cluster.replace_config(2, 5, &config_json(6, "two")), 503);
    (1..=3).for_each(|controller| cluster.set_write_mode(controller, WriteMode::Succeed));
    cluster.run(ms(4000));
    assert_eq!(
        cluster.read_config(3),
        (200, config_json(6, "two")),
        "the pending change is committed once the disks recover"
    );
    assert_eq!(cluster.replace_config(3, 6, &config_json(8, "three")), 200);
    (1..=3).for_each(|controller| {
        assert_eq!(cluster.replace_config(controller, 5, &config_json(6, "two")), 200)
    });
}

/// Commits `count` versions, retries the first one, and returns its status.
fn status_of_repeat_after(count: u64, bug: Option<SeededBug>) -> u16 {
    let mut cluster = Cluster::with_seeded_bug(3, 3, 1, bug);
    for epoch in 1..=count {
        assert_eq!(cluster.replace_config(1, epoch - 1, &config_json(epoch, "p")), 200);
    }
    let statuses: Vec<u16> =
        (1..=3).map(|controller| cluster.replace_config(controller, 0, &config_json(1, "p"))).collect();
    assert!(statuses.iter().all(|status| *status == statuses[0]));
    statuses[0]
}

#[test]
fn given_a_thousand_versions_when_the_first_is_retried_then_it_is_acknowledged() {
    assert_eq!(status_of_repeat_after(1000, None), 200);
}

#[test]
fn given_more_versions_than_the_history_holds_when_the_first_is_retried_then_its_outcome_is_unknown() {
    assert_eq!(status_of_repeat_after(1030, None), 503);
}

#[test]
fn given_a_seeded_bug_that_rejects_versions_older_than_the_history_when_one_is_retried_then_the_bug_is_found()
{
    assert!([400, 412].contains(&status_of_repeat_after(4, Some(SeededBug::ForgetHistoryEarly))));
}

/// A controller forwards a call and restarts while the call is pending at the leader. The outcome of that call
/// reaches the new incarnation, which has forwarded another call with the same number. Returns the status of the
/// second call, and whether its configuration is active.
fn deliver_outcome_for_earlier_incarnation(bug: Option<SeededBug>) -> (u16, bool) {
    let mut cluster = Cluster::with_seeded_bug(3, 3, 1, bug);
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    cluster.run(ms(50));
    let leader = cluster.leader();
    let other = leader % 3 + 1;
    // With its disk hung, the leader keeps the calls pending.
    cluster.set_write_mode(leader, WriteMode::Hang);
    cluster.call(other, &format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 5\r\n"), &config_json(7, "two"));
    cluster.run(ms(5));
    cluster.kill(other);
    cluster.start(other, false);
    cluster.run(ms(60));
    let call =
        cluster.call(other, &format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 5\r\n"), &config_json(8, "three"));
    cluster.run(ms(60));
    cluster.set_write_mode(leader, WriteMode::Succeed);
    cluster.run(ms(900));
    let status = cluster.replies.get(&call).map_or(0, |(status, _)| *status);
    let read = cluster.read_config(other);
    (status, read == (200, config_json(8, "three")))
}

#[test]
fn given_a_call_of_an_earlier_incarnation_when_its_outcome_arrives_then_no_other_call_receives_it() {
    let (status, is_active) = deliver_outcome_for_earlier_incarnation(None);
    assert!(status != 200 || is_active, "acknowledged although another configuration is active");
}

#[test]
fn given_a_seeded_bug_that_accepts_any_incarnation_when_an_outcome_arrives_late_then_the_bug_is_found() {
    assert_eq!(deliver_outcome_for_earlier_incarnation(Some(SeededBug::AcceptAnyIncarnation)), (200, false));
}

/// Checks the latency of each call in a cluster of three without faults, and the number of messages between
/// controllers.
#[test_case("GET /-/config/read HTTP/1.1\r\n", "", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "a read")]
#[test_case("GET /-/readiness HTTP/1.1\r\n", "", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "readiness")]
#[test_case("POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 10; "a deregistration, six messages with the node record")]
#[test_case(&format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 3\r\n"), &config_json(9, "x"), 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "a rejection by the leader")]
#[test_case(&format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 3\r\n"), &config_json(9, "x"), 1, ONE_WAY_DELAY.times(4.0), 6; "a rejection by another controller")]
#[test_case(&format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 0\r\n"), &config_json(5, "one"), 1, Nanos(0), 0; "a retry of a committed version")]
#[test_case(&format!("{REPLACE_CONFIG_HEAD}Base-Epoch: 5\r\n"), &config_json(9, "x"), 0, ONE_WAY_DELAY + ONE_WAY_DELAY + SYNC_DURATION, 6; "a change")]
fn given_a_cluster_without_faults_when_a_call_is_made_then_it_takes_the_expected_time_and_messages(
    head: &str,
    body: &str,
    offset_from_leader: usize,
    max_latency: Nanos,
    expected_messages: u64,
) {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    cluster.run(ms(50));
    let controller = (cluster.leader() + offset_from_leader - 1) % 3 + 1;
    let (start, messages_before) = (cluster.now, cluster.message_count);
    assert!(cluster.call_until_reply(controller, head, body) >= 200);
    let latency = cluster.now - start;
    cluster.run(ms(20));
    let messages_sent = cluster.message_count - messages_before;
    println!(
        "{} at offset {offset_from_leader} from the leader: {} us, {messages_sent} messages",
        head.trim(),
        latency.0 / 1000
    );
    assert!(latency <= max_latency + Nanos(50_000), "{latency:?}");
    assert_eq!(messages_sent, expected_messages);
}

#[test]
fn given_ten_thousand_versions_when_the_state_is_encoded_then_its_history_is_bounded() {
    let (mut control, mut random) = (ControlState::default(), 1u64);
    let mut sizes = Vec::new();
    for version in 1..=10_000u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let committed = CommittedVersion { epoch: 3 * version, base_epoch: control.epoch, digest: random };
        control = control.with_committed(committed, Vec::new());
        if [1, 100, 1_024, 10_000].contains(&version) {
            sizes.push(control.encode().len());
        }
    }
    println!("bytes of history after 1, 100, 1,024 and 10,000 versions: {sizes:?}");
    assert!(sizes[3] <= sizes[2] + 64 && sizes[3] < 25 * 1024);
    assert_eq!(control.newest_forgotten_epoch(), 3 * (10_000 - 1_024));
}
