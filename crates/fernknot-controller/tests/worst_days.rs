//! The users' worst days, points 1, 2 and 5: what a controller says when others may know more than it does.

mod common;

use common::{Fleet, SYNC, WAY, Writes, ms, plan};
use fernknot::interface::Nanos;
use fernknot_consensus::SeededBug as ViewsPlant;
use fernknot_controller::{CommittedVersion, ControlState, SeededBug};
use fernknot_registry::NodeState;
use fernknot_rpc::{ControllerToGateway, Subscription};
use test_case::test_case;

const REPLACE: &str = "POST /-/config/replace HTTP/1.1\r\n";

/// The sequencer is cut off and the others take two versions; what it says meanwhile to repeats of them, to reads, to
/// readiness and to a node that leaves, each asked once every 100 ms for six seconds.
fn cut_off_sequencer(plant: Option<SeededBug>) -> Result<(), String> {
    let mut fleet = Fleet::planted(3, 3, 1, plant);
    assert_eq!(fleet.replace(1, 0, &plan(4, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.first();
    let other = first % 3 + 1;
    fleet.cut_off(first);
    let (mut newest, mut next) = (4, 5);
    for turn in 0..60 {
        if turn % 20 == 1 && fleet.replace(other, newest, &plan(next, "more")) == 200 {
            (newest, next) = (next, next + 1);
        }
        let asked = fleet.now;
        let head = format!("{REPLACE}Base-Epoch: {}\r\n", newest.max(5) - 1);
        let repeat = fleet.call(first, &head, &plan(newest, if newest == 4 { "one" } else { "more" }));
        let read = fleet.call(first, "GET /-/config/read HTTP/1.1\r\n", "");
        let ready = fleet.call(first, "GET /-/readiness HTTP/1.1\r\n", "");
        let leaves = fleet.call(first, "POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}");
        fleet.run(ms(900));
        let status = |call: &u64| fleet.answers.get(call).map_or(0, |(status, _)| *status);
        // A repeat of what was taken before the cut is known here for ever.
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
    fleet.join_all();
    fleet.run(ms(6000));
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, plan(newest, "more")));
        assert_eq!(fleet.replace(at, newest - 1, &plan(newest, "more")), 200);
    }
    Ok(())
}

#[test]
fn given_a_sequencer_that_is_cut_off_when_the_others_go_on_then_it_says_nothing_from_its_own_state() {
    assert_eq!(cut_off_sequencer(None), Ok(()));
}

#[test_case(SeededBug::AnswerFromLocalState; "own state")]
#[test_case(SeededBug::Consensus(ViewsPlant::ReadIndexWithoutQuorum); "an inquiry that asks nobody")]
fn given_a_planted_break_when_the_sequencer_is_cut_off_then_it_is_found(plant: SeededBug) {
    assert!(cut_off_sequencer(Some(plant)).is_err());
}

/// A version is acknowledged by the sequencer; at that very moment its words to another stop, which is read.
fn read_at_the_moment(plant: Option<SeededBug>) -> Vec<(u16, String)> {
    let mut read = Vec::new();
    for other in 1..=2 {
        let mut fleet = Fleet::planted(3, 3, 1, plant);
        assert_eq!(fleet.replace(1, 0, &plan(4, "one")), 200);
        fleet.run(ms(50));
        let first = fleet.first();
        let other = (first + other - 1) % 3 + 1;
        assert_eq!(fleet.answered(first, &format!("{REPLACE}Base-Epoch: 4\r\n"), &plan(7, "two")), 200);
        fleet.cut_one_way(first, other);
        read.push(fleet.read(other));
    }
    read
}

#[test]
fn given_a_version_just_acknowledged_when_read_where_no_word_of_it_has_come_then_it_is_handed_out() {
    assert_eq!(read_at_the_moment(None), vec![(200, plan(7, "two")); 2]);
}

#[test_case(SeededBug::AnswerFromLocalState; "own state")]
#[test_case(SeededBug::Consensus(ViewsPlant::ReadIndexIgnoresPendingChange); "what is stored is not waited for")]
fn given_a_planted_break_when_a_version_was_just_acknowledged_then_it_is_found(plant: SeededBug) {
    assert!(read_at_the_moment(Some(plant)).contains(&(200, plan(4, "one"))));
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
        let ears: Vec<u64> = (1..=3).map(|at| fleet.listen(at, Subscription::All, 0)).collect();
        let head = "POST /-/nodes/i-1/heartbeat HTTP/1.1\r\n";
        assert_eq!(fleet.answered(at, head, &heartbeat("ready", 1)), 200);
        fleet.run(ms(2000));
        assert_eq!(fleet.answered(at, head, &heartbeat("draining", 2)), 200);
        let knows = ears.iter().filter(|ear| {
            fleet.heard[ear].iter().any(|word| match word {
                ControllerToGateway::NodeUpdates(facts) => {
                    facts.iter().any(|fact| fact.state == NodeState::Draining)
                }
                _ => false,
            })
        });
        assert!(knows.count() >= 2, "told at {at}");
    }
}

/// Two operators send different bodies under one number to two controllers, and the sequencer is lost so long after.
fn race_at_a_hand_over(after: u64, trouble: u64) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.first();
    let (one, two) = (first % 3 + 1, (first + 1) % 3 + 1);
    let head = format!("{REPLACE}Base-Epoch: 5\r\n");
    let calls = [fleet.call(one, &head, &plan(7, "two")), fleet.call(two, &head, &plan(7, "three"))];
    fleet.run(Nanos(after * 500_000));
    match trouble {
        0 => fleet.kill(first),
        1 => fleet.cut_off(first),
        _ => fleet.disk(first, Writes::Hang),
    }
    fleet.run(ms(900));
    let mut took = Vec::new();
    for (call, path) in calls.iter().zip(["two", "three"]) {
        match fleet.answers.get(call).map_or(0, |(status, _)| *status) {
            200 => took.push(path),
            412 | 503 => {}
            status => panic!("{after}, {trouble}: {path} got {status}"),
        }
    }
    // Each is sent again, as it was, until its end is clear.
    let mut ends = [("two", one), ("three", two)].map(|(path, at)| {
        for _ in 0..20 {
            match fleet.replace(at, 5, &plan(7, path)) {
                503 => fleet.run(ms(200)),
                status => return (path, status),
            }
        }
        (path, 503)
    });
    ends.sort_by_key(|(_, status)| *status);
    assert_eq!(ends.map(|(_, status)| status), [200, 412], "{after}, {trouble}");
    assert!(took.iter().all(|path| *path == ends[0].0), "{after}, {trouble}: {took:?}, then {ends:?}");
    assert_eq!(fleet.read(one), (200, plan(7, ends[0].0)));
}

#[test_case(0; "killed")]
#[test_case(1; "cut off")]
#[test_case(2; "its disk hangs")]
fn given_two_bodies_under_one_number_when_the_sequencer_goes_at_any_moment_then_one_is_taken(trouble: u64) {
    (0..24).for_each(|after| race_at_a_hand_over(after, trouble));
}

#[test]
fn given_eight_orders_at_once_when_all_build_on_one_version_then_one_is_taken_and_the_rest_refused() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    let head = format!("{REPLACE}Base-Epoch: 5\r\n");
    let paths: Vec<String> = (0..8).map(|no| format!("p{no}")).collect();
    // Each to two controllers, as when its answer was lost.
    let calls: Vec<u64> = (0..16).map(|no| fleet.call(no % 3 + 1, &head, &plan(7, &paths[no % 8]))).collect();
    fleet.run(ms(900));
    let status = |no: usize| fleet.answers[&calls[no]].0;
    let taken: Vec<usize> = (0..8).filter(|no| status(*no) == 200).collect();
    assert_eq!(taken.len(), 1);
    for no in 0..8 {
        assert_eq!(status(no), status(no + 8), "the same order, the same end");
        assert!([200, 412].contains(&status(no)));
    }
}

#[test]
fn given_a_taken_version_when_it_comes_with_other_white_space_then_it_is_acknowledged_again() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    let other = plan(5, "one").replace(',', " ,\n ").replace(':', " : ");
    (1..=3).for_each(|at| assert_eq!(fleet.replace(at, 0, &other), 200));
}

#[test]
fn given_an_unclear_end_when_it_is_found_taken_and_superseded_then_its_repeat_is_acknowledged() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    (1..=3).for_each(|at| fleet.disk(at, Writes::Hang));
    assert_eq!(fleet.replace(2, 5, &plan(6, "two")), 503);
    (1..=3).for_each(|at| fleet.disk(at, Writes::Well));
    fleet.run(ms(4000));
    assert_eq!(fleet.read(3), (200, plan(6, "two")), "it was on its way to all disks");
    assert_eq!(fleet.replace(3, 6, &plan(8, "three")), 200);
    (1..=3).for_each(|at| assert_eq!(fleet.replace(at, 5, &plan(6, "two")), 200));
}

/// So many versions one after the other; then the first of them is sent again.
fn repeat_after(count: u64, plant: Option<SeededBug>) -> u16 {
    let mut fleet = Fleet::planted(3, 3, 1, plant);
    for epoch in 1..=count {
        assert_eq!(fleet.replace(1, epoch - 1, &plan(epoch, "p")), 200);
    }
    let again: Vec<u16> = (1..=3).map(|at| fleet.replace(at, 0, &plan(1, "p"))).collect();
    assert!(again.iter().all(|status| *status == again[0]));
    again[0]
}

#[test]
fn given_a_thousand_versions_when_the_first_comes_again_then_it_is_known() {
    assert_eq!(repeat_after(1000, None), 200);
}

#[test]
fn given_more_versions_than_are_remembered_when_the_first_comes_again_then_it_is_not_refused() {
    assert_eq!(repeat_after(1030, None), 503);
}

#[test]
fn given_few_versions_remembered_and_what_lies_past_them_refused_when_it_comes_again_then_it_is_found() {
    assert!([400, 412].contains(&repeat_after(4, Some(SeededBug::ForgetHistoryEarly))));
}

/// A controller hands a call on, ends and comes back at its address while the sequencer has the call in hand. The end
/// of that call reaches the new life, which has handed on another one under the same number.
fn an_end_for_an_earlier_life(plant: Option<SeededBug>) -> (u16, bool) {
    let mut fleet = Fleet::planted(3, 3, 1, plant);
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    fleet.run(ms(50));
    let first = fleet.first();
    let other = first % 3 + 1;
    // The sequencer's disk hangs: the calls stay in hand there.
    fleet.disk(first, Writes::Hang);
    fleet.call(other, &format!("{REPLACE}Base-Epoch: 5\r\n"), &plan(7, "two"));
    fleet.run(ms(5));
    fleet.kill(other);
    fleet.start(other, false);
    fleet.run(ms(60));
    let call = fleet.call(other, &format!("{REPLACE}Base-Epoch: 5\r\n"), &plan(8, "three"));
    fleet.run(ms(60));
    fleet.disk(first, Writes::Well);
    fleet.run(ms(900));
    let status = fleet.answers.get(&call).map_or(0, |(status, _)| *status);
    let read = fleet.read(other);
    (status, read == (200, plan(8, "three")))
}

#[test]
fn given_a_call_of_an_earlier_life_when_its_end_comes_then_no_other_call_takes_it() {
    let (status, taken) = an_end_for_an_earlier_life(None);
    assert!(status != 200 || taken, "acknowledged, and another one is in force");
}

#[test]
fn given_ends_that_name_no_life_when_one_comes_for_an_earlier_then_it_is_found() {
    assert_eq!(an_end_for_an_earlier_life(Some(SeededBug::AcceptAnyIncarnation)), (200, false));
}

/// What each call costs a calm fleet of three: milliseconds until its answer, and words between controllers. The lease
/// answered all but changes at once, without a word.
#[test_case("GET /-/config/read HTTP/1.1\r\n", "", 0, WAY + WAY, 4; "a read")]
#[test_case("GET /-/readiness HTTP/1.1\r\n", "", 0, WAY + WAY, 4; "readiness")]
#[test_case("POST /-/nodes/i-9/deregister HTTP/1.1\r\n", "{}", 0, WAY + WAY, 10; "a node that leaves, six of them its news")]
#[test_case(&format!("{REPLACE}Base-Epoch: 3\r\n"), &plan(9, "x"), 0, WAY + WAY, 4; "a refusal by the sequencer")]
#[test_case(&format!("{REPLACE}Base-Epoch: 3\r\n"), &plan(9, "x"), 1, WAY.times(4.0), 6; "a refusal by another")]
#[test_case(&format!("{REPLACE}Base-Epoch: 0\r\n"), &plan(5, "one"), 1, Nanos(0), 0; "a repeat of what was taken")]
#[test_case(&format!("{REPLACE}Base-Epoch: 5\r\n"), &plan(9, "x"), 0, WAY + WAY + SYNC, 6; "a change")]
fn given_a_calm_fleet_when_a_call_is_made_then_it_costs_a_round(
    head: &str,
    body: &str,
    away: usize,
    takes: Nanos,
    words: u64,
) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &plan(5, "one")), 200);
    fleet.run(ms(50));
    let at = (fleet.first() + away - 1) % 3 + 1;
    let (begin, before) = (fleet.now, fleet.words);
    assert!(fleet.answered(at, head, body) >= 200);
    let took = fleet.now - begin;
    fleet.run(ms(20));
    let said = fleet.words - before;
    println!("{} at {away} away: {} us, {said} words", head.trim(), took.0 / 1000);
    assert!(took <= takes + Nanos(50_000), "{took:?}");
    assert_eq!(said, words);
}

#[test]
fn given_ten_thousand_versions_when_the_state_goes_to_disk_then_its_history_is_bounded() {
    let (mut control, mut chance) = (ControlState::default(), 1u64);
    let mut sizes = Vec::new();
    for version in 1..=10_000u64 {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let taken = CommittedVersion { epoch: 3 * version, base_epoch: control.epoch, digest: chance };
        control = control.with_committed(taken, Vec::new());
        if [1, 100, 1_024, 10_000].contains(&version) {
            sizes.push(control.encode().len());
        }
    }
    println!("bytes of history after 1, 100, 1,024 and 10,000 versions: {sizes:?}");
    assert!(sizes[3] <= sizes[2] + 64 && sizes[3] < 25 * 1024);
    assert_eq!(control.newest_forgotten_epoch(), 3 * (10_000 - 1_024));
}
