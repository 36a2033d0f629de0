//! The users' worst days, points 1, 2 and 5: what a controller replies when others may know more than it does.

mod common;

use common::{Fleet, ONE_WAY_DELAY, SYNC_TIME, Writes, config_json, ms};
use fernknot::interface::Nanos;
use fernknot_consensus::SeededBug as ConsensusBug;
use fernknot_controller::{CommittedVersion, ControlState, SeededBug};
use fernknot_registry::NodeState;
use fernknot_rpc::{ControllerToGateway, Subscription};
use test_case::test_case;

const REPLACE: &str = "POST /-/config/replace HTTP/1.1\r\n";

/// The leader is partitioned and the others commit two versions; what it replies meanwhile to repeats of them, to reads,
/// to readiness and to a node that leaves, each asked once every 100 ms for six seconds.
fn partitioned_leader(bug: Option<SeededBug>) -> Result<(), String> {
    let mut fleet = Fleet::with_seeded_bug(3, 3, 1, bug);
    assert_eq!(fleet.replace(1, 0, &config_json(4, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.leader();
    let other = first % 3 + 1;
    fleet.partition(first);
    let (mut newest, mut next) = (4, 5);
    for turn in 0..60 {
        if turn % 20 == 1 && fleet.replace(other, newest, &config_json(next, "more")) == 200 {
            (newest, next) = (next, next + 1);
        }
        let asked = fleet.now;
        let head = format!("{REPLACE}Base-Epoch: {}\r\n", newest.max(5) - 1);
        let repeat = fleet.call(first, &head, &config_json(newest, if newest == 4 { "one" } else { "more" }));
        let read = fleet.call(first, "GET /-/config/read HTTP/1.1\r\n", "");
        let ready = fleet.call(first, "GET /-/readiness HTTP/1.1\r\n", "");
        let leaves = fleet.call(first, "POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}");
        fleet.run(ms(900));
        let status = |call: &u64| fleet.answers.get(call).map_or(0, |(status, _)| *status);
        // A repeat of what was committed before the partition is known here for ever.
        let known = if newest == 4 { 200 } else { 503 };
        if status(&repeat) != known {
            return Err(format!("at {asked:?} the repeat of version {newest} got {}", status(&repeat)));
        }
        for (what, call) in [("a read", read), ("readiness", ready), ("a node that leaves", leaves)] {
            if status(&call) != 503 {
                return Err(format!("at {asked:?} {what} got {}", status(&call)));
            }
        }
    }
    assert!(newest > 5, "the others went on, to version {newest}");
    fleet.heal();
    fleet.run(ms(6000));
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, config_json(newest, "more")));
        assert_eq!(fleet.replace(at, newest - 1, &config_json(newest, "more")), 200);
    }
    Ok(())
}

#[test]
fn given_a_partitioned_leader_when_the_others_go_on_then_it_answers_nothing_from_local_state() {
    assert_eq!(partitioned_leader(None), Ok(()));
}

#[test_case(SeededBug::AnswerFromLocalState; "local state")]
#[test_case(SeededBug::Consensus(ConsensusBug::ReadIndexWithoutQuorum); "a read index that asks nobody")]
fn given_a_seeded_bug_when_the_leader_is_partitioned_then_it_is_found(bug: SeededBug) {
    assert!(partitioned_leader(Some(bug)).is_err());
}

/// A version is acknowledged by the leader; at that very moment its messages to another stop, which is read.
fn read_at_the_moment(bug: Option<SeededBug>) -> Vec<(u16, String)> {
    let mut read = Vec::new();
    for other in 1..=2 {
        let mut fleet = Fleet::with_seeded_bug(3, 3, 1, bug);
        assert_eq!(fleet.replace(1, 0, &config_json(4, "one")), 200);
        fleet.run(ms(50));
        let first = fleet.leader();
        let other = (first + other - 1) % 3 + 1;
        assert_eq!(
            fleet.ask_until_reply(first, &format!("{REPLACE}Base-Epoch: 4\r\n"), &config_json(7, "two")),
            200
        );
        fleet.partition_one_way(first, other);
        read.push(fleet.read(other));
    }
    read
}

#[test]
fn given_a_version_just_acknowledged_when_read_where_no_message_of_it_has_come_then_it_is_returned() {
    assert_eq!(read_at_the_moment(None), vec![(200, config_json(7, "two")); 2]);
}

#[test_case(SeededBug::AnswerFromLocalState; "local state")]
#[test_case(SeededBug::Consensus(ConsensusBug::ReadIndexIgnoresPendingChange); "what is stored is not waited for")]
fn given_a_seeded_bug_when_a_version_was_just_acknowledged_then_it_is_found(bug: SeededBug) {
    assert!(read_at_the_moment(Some(bug)).contains(&(200, config_json(4, "one"))));
}

#[test]
fn given_a_node_that_leaves_when_it_is_acknowledged_then_a_majority_knows_already() {
    let heartbeat = |state: &str, seq: u64| {
        format!(
            r#"{{"backend":"books","address":"10.9.0.1:80","zone":"zone-1","epoch":"v1","capacity":3,
            "state":"{state}","warmup_left_ms":0,"call_seq":{seq}}}"#
        )
    };
    for at in 1..=3 {
        let mut fleet = Fleet::three();
        let subscribers: Vec<u64> = (1..=3).map(|at| fleet.subscribe(at, Subscription::All, 0)).collect();
        let head = "POST /-/nodes/i-1/heartbeat HTTP/1.1\r\n";
        assert_eq!(fleet.ask_until_reply(at, head, &heartbeat("ready", 1)), 200);
        fleet.run(ms(2000));
        assert_eq!(fleet.ask_until_reply(at, head, &heartbeat("draining", 2)), 200);
        let knows = subscribers.iter().filter(|subscriber| {
            fleet.received[subscriber].iter().any(|message| match message {
                ControllerToGateway::NodeUpdates(records) => {
                    records.iter().any(|record| record.state == NodeState::Draining)
                }
                _ => false,
            })
        });
        assert!(knows.count() >= 2, "announced at {at}");
    }
}

/// Two operators send different bodies under one epoch to two controllers, and the leader fails so long after.
fn race_at_a_view_change(after: u64, fault: u64) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.leader();
    let (one, two) = (first % 3 + 1, (first + 1) % 3 + 1);
    let head = format!("{REPLACE}Base-Epoch: 5\r\n");
    let calls =
        [fleet.call(one, &head, &config_json(7, "two")), fleet.call(two, &head, &config_json(7, "three"))];
    fleet.run(Nanos(after * 500_000));
    match fault {
        0 => fleet.kill(first),
        1 => fleet.partition(first),
        _ => fleet.disk(first, Writes::Hang),
    }
    fleet.run(ms(900));
    let mut took = Vec::new();
    for (call, path) in calls.iter().zip(["two", "three"]) {
        match fleet.answers.get(call).map_or(0, |(status, _)| *status) {
            200 => took.push(path),
            412 | 503 => {}
            status => panic!("{after}, {fault}: {path} got {status}"),
        }
    }
    // Each is sent again, as it was, until its outcome is known.
    let mut outcomes = [("two", one), ("three", two)].map(|(path, at)| {
        for _ in 0..20 {
            match fleet.replace(at, 5, &config_json(7, path)) {
                503 => fleet.run(ms(200)),
                status => return (path, status),
            }
        }
        (path, 503)
    });
    outcomes.sort_by_key(|(_, status)| *status);
    assert_eq!(outcomes.map(|(_, status)| status), [200, 412], "{after}, {fault}");
    assert!(took.iter().all(|path| *path == outcomes[0].0), "{after}, {fault}: {took:?}, then {outcomes:?}");
    assert_eq!(fleet.read(one), (200, config_json(7, outcomes[0].0)));
}

#[test_case(0; "killed")]
#[test_case(1; "partitioned")]
#[test_case(2; "its disk hangs")]
fn given_two_bodies_under_one_epoch_when_the_leader_fails_at_any_moment_then_one_is_committed(fault: u64) {
    (0..24).for_each(|after| race_at_a_view_change(after, fault));
}

#[test]
fn given_eight_changes_at_once_when_all_build_on_one_version_then_one_is_committed_and_the_rest_rejected() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    let head = format!("{REPLACE}Base-Epoch: 5\r\n");
    let paths: Vec<String> = (0..8).map(|no| format!("p{no}")).collect();
    // Each to two controllers, as when its answer was lost.
    let calls: Vec<u64> =
        (0..16).map(|no| fleet.call(no % 3 + 1, &head, &config_json(7, &paths[no % 8]))).collect();
    fleet.run(ms(900));
    let status = |no: usize| fleet.answers[&calls[no]].0;
    let committed: Vec<usize> = (0..8).filter(|no| status(*no) == 200).collect();
    assert_eq!(committed.len(), 1);
    for no in 0..8 {
        assert_eq!(status(no), status(no + 8), "the same change, the same outcome");
        assert!([200, 412].contains(&status(no)));
    }
}

#[test]
fn given_a_committed_version_when_it_comes_with_other_white_space_then_it_is_acknowledged_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    let other = config_json(5, "one").replace(',', " ,\n ").replace(':', " : ");
    (1..=3).for_each(|at| assert_eq!(fleet.replace(at, 0, &other), 200));
}

#[test]
fn given_an_unknown_outcome_when_it_proves_committed_and_superseded_then_its_repeat_is_acknowledged() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    (1..=3).for_each(|at| fleet.disk(at, Writes::Hang));
    assert_eq!(fleet.replace(2, 5, &config_json(6, "two")), 503);
    (1..=3).for_each(|at| fleet.disk(at, Writes::Well));
    fleet.run(ms(4000));
    assert_eq!(fleet.read(3), (200, config_json(6, "two")), "it was on its way to all disks");
    assert_eq!(fleet.replace(3, 6, &config_json(8, "three")), 200);
    (1..=3).for_each(|at| assert_eq!(fleet.replace(at, 5, &config_json(6, "two")), 200));
}

/// So many versions one after the other; then the first of them is sent again.
fn repeat_after(count: u64, bug: Option<SeededBug>) -> u16 {
    let mut fleet = Fleet::with_seeded_bug(3, 3, 1, bug);
    for epoch in 1..=count {
        assert_eq!(fleet.replace(1, epoch - 1, &config_json(epoch, "p")), 200);
    }
    let again: Vec<u16> = (1..=3).map(|at| fleet.replace(at, 0, &config_json(1, "p"))).collect();
    assert!(again.iter().all(|status| *status == again[0]));
    again[0]
}

#[test]
fn given_a_thousand_versions_when_the_first_comes_again_then_it_is_known() {
    assert_eq!(repeat_after(1000, None), 200);
}

#[test]
fn given_more_versions_than_are_remembered_when_the_first_comes_again_then_it_is_not_rejected() {
    assert_eq!(repeat_after(1030, None), 503);
}

#[test]
fn given_few_versions_remembered_and_older_ones_rejected_when_one_comes_again_then_the_bug_is_found() {
    assert!([400, 412].contains(&repeat_after(4, Some(SeededBug::ForgetHistoryEarly))));
}

/// A controller forwards a call, ends and comes back at its address while the call is pending at the leader. The outcome
/// of that call reaches the new incarnation, which has forwarded another one under the same number.
fn outcome_for_an_earlier_incarnation(bug: Option<SeededBug>) -> (u16, bool) {
    let mut fleet = Fleet::with_seeded_bug(3, 3, 1, bug);
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.leader();
    let other = first % 3 + 1;
    // The leader's disk hangs: the calls stay pending there.
    fleet.disk(first, Writes::Hang);
    fleet.call(other, &format!("{REPLACE}Base-Epoch: 5\r\n"), &config_json(7, "two"));
    fleet.run(ms(5));
    fleet.kill(other);
    fleet.start(other, false);
    fleet.run(ms(60));
    let call = fleet.call(other, &format!("{REPLACE}Base-Epoch: 5\r\n"), &config_json(8, "three"));
    fleet.run(ms(60));
    fleet.disk(first, Writes::Well);
    fleet.run(ms(900));
    let status = fleet.answers.get(&call).map_or(0, |(status, _)| *status);
    let read = fleet.read(other);
    (status, read == (200, config_json(8, "three")))
}

#[test]
fn given_a_call_of_an_earlier_incarnation_when_its_outcome_comes_then_no_other_call_takes_it() {
    let (status, is_in_force) = outcome_for_an_earlier_incarnation(None);
    assert!(status != 200 || is_in_force, "acknowledged, and another one is in force");
}

#[test]
fn given_outcomes_for_any_incarnation_when_one_comes_for_an_earlier_then_the_bug_is_found() {
    assert_eq!(outcome_for_an_earlier_incarnation(Some(SeededBug::AcceptAnyIncarnation)), (200, false));
}

/// What each call costs a fleet of three without faults: milliseconds until its reply, and messages between controllers.
/// By the lease alone, all but changes were once answered at once, without a message.
#[test_case("GET /-/config/read HTTP/1.1\r\n", "", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "a read")]
#[test_case("GET /-/readiness HTTP/1.1\r\n", "", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "readiness")]
#[test_case("POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}", 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 10; "a node that leaves, six messages with its record")]
#[test_case(&format!("{REPLACE}Base-Epoch: 3\r\n"), &config_json(9, "x"), 0, ONE_WAY_DELAY + ONE_WAY_DELAY, 4; "a rejection by the leader")]
#[test_case(&format!("{REPLACE}Base-Epoch: 3\r\n"), &config_json(9, "x"), 1, ONE_WAY_DELAY.times(4.0), 6; "a rejection by another")]
#[test_case(&format!("{REPLACE}Base-Epoch: 0\r\n"), &config_json(5, "one"), 1, Nanos(0), 0; "a repeat of what was committed")]
#[test_case(&format!("{REPLACE}Base-Epoch: 5\r\n"), &config_json(9, "x"), 0, ONE_WAY_DELAY + ONE_WAY_DELAY + SYNC_TIME, 6; "a change")]
fn given_a_fleet_without_faults_when_a_call_is_made_then_it_costs_a_round(
    head: &str,
    body: &str,
    away: usize,
    takes: Nanos,
    messages: u64,
) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    fleet.run(ms(50));
    let at = (fleet.leader() + away - 1) % 3 + 1;
    let (begin, before) = (fleet.now, fleet.message_count);
    assert!(fleet.ask_until_reply(at, head, body) >= 200);
    let took = fleet.now - begin;
    fleet.run(ms(20));
    let sent = fleet.message_count - before;
    println!("{} at {away} away: {} us, {sent} messages", head.trim(), took.0 / 1000);
    assert!(took <= takes + Nanos(50_000), "{took:?}");
    assert_eq!(sent, messages);
}

#[test]
fn given_ten_thousand_versions_when_the_state_goes_to_disk_then_its_history_is_bounded() {
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
