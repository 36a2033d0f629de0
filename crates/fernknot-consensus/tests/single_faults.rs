//! Replication under single faults, such as a crash, a lost disk or a blocked link.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot::interface::Nanos;

fn founded_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3, 1, None);
    assert_matches!(cluster.commits_within(2_000 * MS), Some(_));
    cluster.run_for(300 * MS);
    assert!(cluster.all_agree());
    cluster
}

#[test]
fn given_three_empty_disks_when_started_then_one_view_of_all_commits_changes() {
    let mut cluster = founded_cluster(1);
    assert_eq!(cluster.members().len(), 3);
    assert_eq!(cluster.observed.views.len(), 1);
    let (messages, syncs) = (cluster.messages, cluster.syncs);
    let took = cluster.commits_within(100 * MS).unwrap();
    println!(
        "one change: {} ms, {} messages and {} syncs",
        took / MS,
        cluster.messages - messages,
        cluster.syncs - syncs
    );
    assert_eq!(cluster.observed.violation, None);
}

/// Checks that the cluster continues after a tolerated fault. Returns the time in nanoseconds until a change was
/// committed.
fn assert_recovers_within(cluster: &mut Cluster, within: u64) -> u64 {
    let took = cluster.commits_within(within);
    assert_eq!(cluster.observed.violation, None);
    let took = took.unwrap_or_else(|| panic!("no further change is committed: {:?}", cluster.members()));
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert!(cluster.all_agree(), "not all in one view");
    assert_eq!(cluster.observed.violation, None);
    took
}

#[test]
fn given_all_killed_when_they_return_then_the_last_view_is_recovered_from_disks_at_once() {
    let mut cluster = founded_cluster(2);
    let committed_before = cluster.observed.committed.len();
    (0..3).for_each(|index| cluster.kill(index));
    cluster.founders = vec![addr(77)]; // founders other than the members don't matter
    (0..3).for_each(|index| cluster.restart(index));
    let took = assert_recovers_within(&mut cluster, 300 * MS);
    println!("all killed: {} ms until a commit", took / MS);
    assert!(cluster.observed.committed.len() > committed_before);
}

#[test_case::test_case(0; "the leader")]
#[test_case::test_case(2; "another")]
fn given_a_killed_member_when_it_stays_down_then_it_is_dropped_and_rejoins_after_a_restart(index: usize) {
    let mut cluster = founded_cluster(3);
    cluster.kill(index);
    let took = cluster.commits_within(3 * SUSPICION_TIMEOUT).expect("continues without it");
    println!("dropped in {} ms", took / MS);
    assert!(took < SUSPICION_TIMEOUT + HEARTBEAT_INTERVAL + 60 * MS, "{took}");
    assert_eq!(cluster.members().len(), 2);
    cluster.restart(index);
    cluster.run_for(3 * HEARTBEAT_INTERVAL);
    assert_eq!(cluster.members().len(), 3);
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test]
fn given_a_wiped_disk_after_a_commit_when_all_lose_power_then_the_commit_survives() {
    for index in 0..3 {
        let mut cluster = founded_cluster(4 + index as u64);
        let committed_before = cluster.observed.committed.len();
        cluster.wipe_disk(index);
        (0..3).for_each(|other| cluster.kill(other));
        (0..3).for_each(|other| cluster.restart(other));
        assert_recovers_within(&mut cluster, 3 * SUSPICION_TIMEOUT);
        assert!(cluster.observed.committed.len() > committed_before);
        assert_eq!(cluster.members().len(), 3);
    }
}

#[test]
fn given_a_machine_replaced_at_another_address_when_the_old_is_gone_then_the_new_one_is_a_member() {
    let mut cluster = founded_cluster(8);
    cluster.kill(1);
    cluster.machines[1].addr = addr(200);
    let new = cluster.add(addr(9), false);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    let id = cluster.machines[new].id;
    assert!(cluster.members().contains(&id));
    assert_eq!(cluster.members().len(), 3);
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test_case::test_case(Disk::Hanging; "hangs")]
#[test_case::test_case(Disk::Full; "full")]
fn given_a_faulty_disk_at_the_leader_when_changes_are_proposed_then_another_member_leads(disk: Disk) {
    let mut cluster = founded_cluster(9);
    let first = cluster.leader().unwrap();
    cluster.set_disk(first, disk);
    let took = cluster.commits_within(SUSPICION_TIMEOUT).expect("another leads");
    println!("faulty disk: {} ms until a commit", took / MS);
    assert_ne!(cluster.leader(), Some(first));
    cluster.set_disk(first, Disk::Healthy);
    cluster.run_for(4 * HEARTBEAT_INTERVAL);
    assert_eq!(cluster.members().len(), 3);
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test]
fn given_a_suspended_member_when_it_resumes_then_it_has_no_lease_and_rejoins() {
    let mut cluster = founded_cluster(10);
    let first = cluster.leader().unwrap();
    cluster.machines[first].suspended = true;
    cluster.commits_within(3 * SUSPICION_TIMEOUT).expect("continues without it");
    let now = fernknot::interface::Nanos(cluster.now);
    assert!(!cluster.machines[first].consensus.as_ref().unwrap().has_lease(now));
    cluster.machines[first].suspended = false;
    cluster.run_for(5 * HEARTBEAT_INTERVAL);
    assert_eq!(cluster.members().len(), 3);
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test]
fn given_a_link_blocked_one_way_when_it_lasts_then_changes_continue_and_all_recover_after() {
    for (from, to) in [(0, 1), (1, 0), (1, 2), (2, 0)] {
        let mut cluster = founded_cluster(11);
        cluster.blocked_links.insert((cluster.machines[from].addr, cluster.machines[to].addr));
        cluster.commits_within(4 * SUSPICION_TIMEOUT).expect("continues");
        let views = cluster.observed.views.len();
        cluster.run_for(10 * SUSPICION_TIMEOUT);
        let more = cluster.observed.views.len() - views;
        assert!(more <= 2, "{more} more views with a link blocked one way");
        cluster.heal();
        cluster.run_for(5 * HEARTBEAT_INTERVAL);
        assert_recovers_within(&mut cluster, 200 * MS);
        assert_eq!(cluster.members().len(), 3);
    }
}

#[test]
fn given_five_machines_and_three_founders_when_started_then_all_five_are_members() {
    let mut cluster = Cluster::new(12, 5, 3, 1, None);
    cluster.run_for(2_000 * MS);
    assert_eq!(cluster.members().len(), 5);
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test_case::test_case(7, 3; "seven of which three may be lost")]
#[test_case::test_case(9, 4; "nine of which four may be lost")]
fn given_fewer_founders_than_a_commit_needs_when_started_then_others_join_before_the_first_commit(
    machines: u8,
    fault_tolerance: usize,
) {
    let mut cluster = Cluster::new(12, machines, 3, fault_tolerance, None);
    // Each host has discovered the addresses of all others.
    for index in 0..cluster.machines.len() {
        let others: Vec<_> = cluster.machines.iter().map(|machine| machine.addr).collect();
        let consensus = cluster.machines[index].consensus.as_mut().expect("it runs");
        others.into_iter().for_each(|other| consensus.add_address(Nanos(cluster.now), other));
        cluster.run_actions(index);
    }
    cluster.commits_within(8 * SUSPICION_TIMEOUT).expect("founded");
    cluster.run_for(4 * SUSPICION_TIMEOUT);
    assert_eq!((cluster.members().len(), &cluster.observed.violation), (machines as usize, &None));
    assert_recovers_within(&mut cluster, 100 * MS);
}

#[test]
fn given_two_of_three_killed_when_changes_are_proposed_then_none_is_committed() {
    let mut cluster = founded_cluster(14);
    cluster.kill(1);
    cluster.kill(2);
    assert_eq!(cluster.commits_within(10 * SUSPICION_TIMEOUT), None);
    cluster.restart(1);
    assert_recovers_within(&mut cluster, 4 * SUSPICION_TIMEOUT);
}

#[test]
fn given_a_member_dropped_when_another_loses_its_disk_after_its_return_then_changes_continue() {
    // The dropped member still votes; otherwise the view of two could never have a majority again after one of the
    // two lost its disk.
    let mut cluster = founded_cluster(15);
    cluster.kill(2);
    cluster.commits_within(3 * SUSPICION_TIMEOUT).unwrap();
    assert_eq!(cluster.members().len(), 2);
    cluster.wipe_disk(0);
    cluster.restart(2);
    cluster.restart(0);
    assert_recovers_within(&mut cluster, 6 * SUSPICION_TIMEOUT);
    assert_eq!(cluster.members().len(), 3);
}
