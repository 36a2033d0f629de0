//! Guarantees for operators: an acknowledged configuration becomes active and is not lost.

mod common;

use common::{Cluster, WriteMode, config_json, ms};
use fernknot_rpc::Subscription;
use test_case::test_case;

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn given_a_cluster_without_faults_when_any_controller_accepts_a_version_then_all_return_it_unchanged(
    controller: usize,
) {
    let mut cluster = Cluster::of_three();
    let subscribers: Vec<u64> =
        (1..=3).map(|controller| cluster.subscribe(controller, Subscription::All, 0)).collect();
    assert_eq!(cluster.replace_config(controller, 0, &config_json(7, "one")), 200);
    cluster.run(ms(50));
    for controller in 1..=3 {
        assert_eq!(cluster.read_config(controller), (200, config_json(7, "one")));
    }
    for subscriber in subscribers {
        assert_eq!(cluster.config_epochs(subscriber), [7]);
    }
}

#[test_case(1, 1, 0; "one controller")]
#[test_case(2, 2, 0; "two controllers")]
#[test_case(5, 3, 2; "five controllers with three seeds")]
fn given_a_cluster_of_another_size_when_a_version_is_committed_then_it_survives_a_restart(
    count: usize,
    seeds: usize,
    tolerated_losses: usize,
) {
    let mut cluster = Cluster::new(count, seeds, tolerated_losses);
    assert_eq!(cluster.replace_config(count, 0, &config_json(7, "one")), 200);
    (1..=count).for_each(|controller| cluster.kill(controller));
    (1..=tolerated_losses).for_each(|controller| cluster.wipe(controller));
    (1..=count).for_each(|controller| cluster.start(controller, false));
    cluster.run(ms(8000));
    for controller in 1..=count {
        assert_eq!(cluster.read_config(controller), (200, config_json(7, "one")), "read at {controller}");
    }
}

#[test]
fn given_two_operators_when_both_build_on_one_version_then_exactly_one_is_acknowledged() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(5, "one")), 200);
    let head = "POST /-/config/replace HTTP/1.1\r\nBase-Epoch: 5\r\n";
    let first = cluster.call(2, head, &config_json(7, "two"));
    let second = cluster.call(3, head, &config_json(7, "three"));
    cluster.run(ms(900));
    let mut statuses = [cluster.replies[&first].0, cluster.replies[&second].0];
    let committed_path = if statuses[0] == 200 { "two" } else { "three" };
    statuses.sort();
    assert_eq!(statuses, [200, 412]);
    assert_eq!(cluster.read_config(1), (200, config_json(7, committed_path)));
}

#[test]
fn given_a_committed_version_when_all_restart_then_every_controller_acknowledges_its_retry() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(2, 0, &config_json(3, "one")), 200);
    assert_eq!(cluster.replace_config(2, 3, &config_json(8, "two")), 200);
    (1..=3).for_each(|controller| cluster.kill(controller));
    (1..=3).for_each(|controller| cluster.start(controller, false));
    cluster.run(ms(6000));
    for controller in 1..=3 {
        assert_eq!(cluster.read_config(controller), (200, config_json(8, "two")));
        assert_eq!(
            cluster.replace_config(controller, 0, &config_json(3, "one")),
            200,
            "retry of a committed, superseded version"
        );
        assert_eq!(cluster.replace_config(controller, 3, &config_json(8, "two")), 200);
        assert_eq!(
            cluster.replace_config(controller, 3, &config_json(8, "else")),
            412,
            "another configuration with the same epoch"
        );
    }
}

#[test]
fn given_controllers_switched_on_one_by_one_when_the_last_has_started_then_all_agree_within_120_ms() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(3, "one")), 200);
    (1..=3).for_each(|controller| cluster.power_off(controller));
    cluster.restart_clock();
    for controller in 1..=3 {
        cluster.start(controller, false);
        cluster.run(ms(120));
    }
    for controller in 1..=3 {
        assert_eq!(
            cluster.read_config(controller),
            (200, config_json(3, "one")),
            "within 120 ms of the last start"
        );
    }
}

#[test_case("{", 0, 400; "incomplete JSON")]
#[test_case("[]", 0, 400; "not an object")]
#[test_case(&config_json(7, "a").replace(r#""backend":"books""#, r#""backend":"films""#), 0, 400; "an unknown service")]
#[test_case(&config_json(7, "a").replace("1200", "0"), 0, 400; "deadline of zero")]
#[test_case(&config_json(4, "a"), 4, 400; "epoch not above")]
#[test_case(&config_json(0, "a"), 4, 400; "epoch zero")]
#[test_case(&config_json(7, "a"), 3, 412; "base epoch is not active")]
fn given_an_active_version_when_an_invalid_change_is_sent_then_it_is_rejected_and_the_version_stays_active(
    body: &str,
    base: u64,
    status: u16,
) {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(4, "one")), 200);
    assert_eq!(cluster.replace_config(2, base, body), status);
    cluster.run(ms(50));
    assert_eq!(cluster.read_config(3), (200, config_json(4, "one")));
}

#[test]
fn given_a_change_without_a_base_epoch_when_it_is_sent_then_it_is_rejected() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.call_and_wait(1, "POST /-/config/replace HTTP/1.1\r\n", &config_json(7, "a")), 400);
}

#[test]
fn given_hung_disks_when_a_version_is_sent_then_no_subscriber_receives_it_before_it_is_durable() {
    let mut cluster = Cluster::of_three();
    let subscribers: Vec<u64> =
        (1..=3).map(|controller| cluster.subscribe(controller, Subscription::All, 0)).collect();
    (1..=3).for_each(|controller| cluster.set_write_mode(controller, WriteMode::Hang));
    assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 503);
    assert!(subscribers.iter().all(|subscriber| cluster.config_epochs(*subscriber).is_empty()));
    (1..=3).for_each(|controller| cluster.set_write_mode(controller, WriteMode::Succeed));
    cluster.run(ms(6000));
    assert_eq!(cluster.replace_config(2, 0, &config_json(7, "one")), 200, "unchanged retry");
    cluster.run(ms(50));
    assert!(subscribers.iter().all(|subscriber| cluster.config_epochs(*subscriber) == [7]));
}

#[test_case(WriteMode::Hang; "hung disk")]
#[test_case(WriteMode::Fail; "full disk")]
fn given_one_faulty_disk_when_a_change_is_retried_then_the_others_commit_it_within_5_s(
    write_mode: WriteMode,
) {
    let mut cluster = Cluster::of_three();
    cluster.set_write_mode(2, write_mode);
    let start = cluster.now;
    while cluster.replace_config(1, 0, &config_json(7, "one")) != 200 {
        assert!(cluster.now - start < ms(5000), "not acknowledged in time");
        cluster.run(ms(200));
    }
    cluster.set_write_mode(2, WriteMode::Succeed);
    cluster.run(ms(6000));
    assert_eq!(cluster.read_config(2), (200, config_json(7, "one")));
}

#[test]
fn given_an_acknowledged_version_when_a_disk_is_lost_and_all_restart_then_it_is_active() {
    for lost in 1..=3 {
        let mut cluster = Cluster::of_three();
        assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 200);
        (1..=3).for_each(|controller| cluster.kill(controller));
        cluster.wipe(lost);
        (1..=3).for_each(|controller| cluster.start(controller, false));
        cluster.run(ms(8000));
        for controller in 1..=3 {
            assert_eq!(
                cluster.read_config(controller),
                (200, config_json(7, "one")),
                "disk {lost} lost, read at {controller}"
            );
        }
    }
}

#[test]
fn given_a_replacement_machine_at_another_address_when_it_starts_with_an_empty_disk_then_it_becomes_a_member()
{
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 200);
    cluster.remove(1);
    cluster.start(4, false);
    cluster.run(ms(8000));
    assert_eq!(cluster.read_config(4), (200, config_json(7, "one")));
    // The replacement restores the tolerance of one more loss.
    assert_eq!(cluster.replace_config(4, 7, &config_json(9, "two")), 200);
    cluster.remove(2);
    cluster.run(ms(8000));
    assert_eq!(cluster.read_config(3), (200, config_json(9, "two")));
}

#[test]
fn given_a_graceful_shutdown_of_the_leader_when_it_has_exited_then_the_next_change_waits_for_no_time_out() {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &config_json(7, "one")), 200);
    let start = cluster.now;
    let leader = (1..=3)
        .find(|controller| !cluster.controller_mut(*controller).can_exit())
        .expect("a controller leads");
    cluster.controller_mut(leader).begin_shutdown(start);
    while !cluster.controller_mut(leader).can_exit() {
        assert!(cluster.now - start < ms(1400), "a quarter of the grace period has passed");
        cluster.run(ms(20));
    }
    cluster.kill(leader);
    let other = leader % 3 + 1;
    assert_eq!(cluster.replace_config(other, 7, &config_json(9, "two")), 200);
}
