//! What an operator may rely on: an acknowledged configuration is in force, and stays.

mod common;

use common::{Fleet, Writes, config_json, ms};
use fernknot_rpc::Subscription;
use test_case::test_case;

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn given_a_fleet_without_faults_when_any_controller_accepts_a_version_then_all_have_it_just_as_sent(
    at: usize,
) {
    let mut fleet = Fleet::three();
    let subscribers: Vec<u64> = (1..=3).map(|at| fleet.subscribe(at, Subscription::All, 0)).collect();
    assert_eq!(fleet.replace(at, 0, &config_json(7, "one")), 200);
    fleet.run(ms(50));
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, config_json(7, "one")));
    }
    for subscriber in subscribers {
        assert_eq!(fleet.config_epochs(subscriber), [7]);
    }
}

#[test_case(1, 1, 0; "alone")]
#[test_case(2, 2, 0; "two")]
#[test_case(5, 3, 2; "five of which three are named")]
fn given_a_fleet_of_another_size_when_a_version_comes_then_it_is_committed_and_outlives_a_restart(
    count: usize,
    seeds: usize,
    losses: usize,
) {
    let mut fleet = Fleet::new(count, seeds, losses);
    assert_eq!(fleet.replace(count, 0, &config_json(7, "one")), 200);
    (1..=count).for_each(|at| fleet.kill(at));
    (1..=losses).for_each(|at| fleet.wipe(at));
    (1..=count).for_each(|at| fleet.start(at, false));
    fleet.run(ms(8000));
    for at in 1..=count {
        assert_eq!(fleet.read(at), (200, config_json(7, "one")), "read at {at}");
    }
}

#[test]
fn given_two_operators_when_both_build_on_one_version_then_exactly_one_is_acknowledged() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(5, "one")), 200);
    let head = "POST /-/config/replace HTTP/1.1\r\nBase-Epoch: 5\r\n";
    let first = fleet.call(2, head, &config_json(7, "two"));
    let second = fleet.call(3, head, &config_json(7, "three"));
    fleet.run(ms(900));
    let mut ends = [fleet.answers[&first].0, fleet.answers[&second].0];
    let won = if ends[0] == 200 { "two" } else { "three" };
    ends.sort();
    assert_eq!(ends, [200, 412]);
    assert_eq!(fleet.read(1), (200, config_json(7, won)));
}

#[test]
fn given_a_committed_version_when_all_restart_then_its_repeat_is_acknowledged_anywhere() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(2, 0, &config_json(3, "one")), 200);
    assert_eq!(fleet.replace(2, 3, &config_json(8, "two")), 200);
    (1..=3).for_each(|at| fleet.kill(at));
    (1..=3).for_each(|at| fleet.start(at, false));
    fleet.run(ms(6000));
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, config_json(8, "two")));
        assert_eq!(fleet.replace(at, 0, &config_json(3, "one")), 200, "superseded, yet committed");
        assert_eq!(fleet.replace(at, 3, &config_json(8, "two")), 200);
        assert_eq!(fleet.replace(at, 3, &config_json(8, "else")), 412, "another one under its number");
    }
}

#[test]
fn given_power_that_comes_back_to_one_after_the_other_when_the_last_is_up_then_all_agree_at_once() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(3, "one")), 200);
    (1..=3).for_each(|at| fleet.power_off(at));
    fleet.restart_clock();
    for at in 1..=3 {
        fleet.start(at, false);
        fleet.run(ms(120));
    }
    for at in 1..=3 {
        assert_eq!(fleet.read(at), (200, config_json(3, "one")), "within 120 ms of the last start");
    }
}

#[test_case("{", 0, 400; "not complete")]
#[test_case("[]", 0, 400; "no object")]
#[test_case(&config_json(7, "a").replace(r#""backend":"books""#, r#""backend":"films""#), 0, 400; "an unknown service")]
#[test_case(&config_json(7, "a").replace("1200", "0"), 0, 400; "no time at all")]
#[test_case(&config_json(4, "a"), 4, 400; "epoch not above")]
#[test_case(&config_json(0, "a"), 4, 400; "epoch of nothing")]
#[test_case(&config_json(7, "a"), 3, 412; "another version in place")]
fn given_a_version_in_force_when_an_invalid_one_comes_then_it_is_rejected_and_nothing_changes(
    body: &str,
    base: u64,
    status: u16,
) {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(4, "one")), 200);
    assert_eq!(fleet.replace(2, base, body), status);
    fleet.run(ms(50));
    assert_eq!(fleet.read(3), (200, config_json(4, "one")));
}

#[test]
fn given_a_call_without_its_base_when_it_comes_then_it_is_rejected() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.ask(1, "POST /-/config/replace HTTP/1.1\r\n", &config_json(7, "a")), 400);
}

#[test]
fn given_disks_that_hang_when_a_version_comes_then_nobody_is_sent_it_before_it_is_durable() {
    let mut fleet = Fleet::three();
    let subscribers: Vec<u64> = (1..=3).map(|at| fleet.subscribe(at, Subscription::All, 0)).collect();
    (1..=3).for_each(|at| fleet.disk(at, Writes::Hang));
    assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 503);
    assert!(subscribers.iter().all(|subscriber| fleet.config_epochs(*subscriber).is_empty()));
    (1..=3).for_each(|at| fleet.disk(at, Writes::Well));
    fleet.run(ms(6000));
    assert_eq!(fleet.replace(2, 0, &config_json(7, "one")), 200, "repeated unchanged");
    fleet.run(ms(50));
    assert!(subscribers.iter().all(|subscriber| fleet.config_epochs(*subscriber) == [7]));
}

#[test_case(Writes::Hang; "hangs")]
#[test_case(Writes::Fail; "is full")]
fn given_one_bad_disk_when_a_version_is_repeated_then_the_others_commit_it_in_time(writes: Writes) {
    let mut fleet = Fleet::three();
    fleet.disk(2, writes);
    let asked = fleet.now;
    while fleet.replace(1, 0, &config_json(7, "one")) != 200 {
        assert!(fleet.now - asked < ms(5000), "not acknowledged in time");
        fleet.run(ms(200));
    }
    fleet.disk(2, Writes::Well);
    fleet.run(ms(6000));
    assert_eq!(fleet.read(2), (200, config_json(7, "one")));
}

#[test]
fn given_an_acknowledged_version_when_a_disk_is_lost_and_all_restart_then_it_is_in_force() {
    for lost in 1..=3 {
        let mut fleet = Fleet::three();
        assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 200);
        (1..=3).for_each(|at| fleet.kill(at));
        fleet.wipe(lost);
        (1..=3).for_each(|at| fleet.start(at, false));
        fleet.run(ms(8000));
        for at in 1..=3 {
            assert_eq!(fleet.read(at), (200, config_json(7, "one")), "disk {lost} lost, read at {at}");
        }
    }
}

#[test]
fn given_a_machine_replaced_at_another_address_when_it_starts_empty_then_it_takes_the_place() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 200);
    fleet.remove(1);
    fleet.start(4, false);
    fleet.run(ms(8000));
    assert_eq!(fleet.read(4), (200, config_json(7, "one")));
    // Now another may go, and what is acknowledged by the rest lives on.
    assert_eq!(fleet.replace(4, 7, &config_json(9, "two")), 200);
    fleet.remove(2);
    fleet.run(ms(8000));
    assert_eq!(fleet.read(3), (200, config_json(9, "two")));
}

#[test]
fn given_a_graceful_shutdown_when_the_leader_goes_then_the_next_change_waits_for_no_time_out() {
    let mut fleet = Fleet::three();
    assert_eq!(fleet.replace(1, 0, &config_json(7, "one")), 200);
    let now = fleet.now;
    let first = (1..=3).find(|at| !fleet.controller(*at).can_exit()).expect("one leads");
    fleet.controller(first).begin_shutdown(now);
    while !fleet.controller(first).can_exit() {
        assert!(fleet.now - now < ms(1400), "a quarter of the grace is over");
        fleet.run(ms(20));
    }
    fleet.kill(first);
    let other = first % 3 + 1;
    assert_eq!(fleet.replace(other, 7, &config_json(9, "two")), 200);
}
