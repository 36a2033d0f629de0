//! Random schedules of faults, and seeded bugs that these or fixed scenarios must find.

mod common;

use common::*;
use fernknot_consensus::{Consensus, SeededBug, ViewNumber};
use proptest::prelude::*;

fn fault() -> impl Strategy<Value = Fault> {
    let index = 0usize..8;
    prop_oneof![
        3 => index.clone().prop_map(Fault::Kill),
        1 => Just(Fault::KillAll),
        5 => index.clone().prop_map(Fault::Restart),
        2 => (index.clone(), any::<bool>()).prop_map(|(index, all)| Fault::Wipe(index, all)),
        1 => index.clone().prop_map(Fault::Replace),
        2 => (index.clone(), 1usize..40, any::<bool>()).prop_map(|(index, writes, all)| Fault::Restore(index, writes, all)),
        2 => (index.clone(), index.clone()).prop_map(|(a, b)| Fault::BlockLink(a, b)),
        2 => Just(Fault::UnblockLinks),
        1 => index.clone().prop_map(Fault::Suspend),
        2 => index.clone().prop_map(Fault::Resume),
        3 => (index, 0u8..3).prop_map(|(index, kind)| Fault::Disk(index, kind)),
        1 => (0u64..200, 0u64..200, 0u64..300).prop_map(|(loss, duplication, delay)| Fault::Links(loss, duplication, delay)),
        8 => Just(Fault::Propose),
        4 => Just(Fault::Read),
        8 => (1u64..1200).prop_map(Fault::Wait),
    ]
}

/// Returns the configuration: 48 cases, or the number in PROPTEST_CASES.
fn config() -> ProptestConfig {
    let default =
        ProptestConfig { max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { 48 };
    ProptestConfig { cases, ..default }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn given_random_faults_when_they_end_then_nothing_acknowledged_is_lost_and_all_continue(
        seed in any::<u64>(),
        machines in 3u8..=5,
        faults in proptest::collection::vec(fault(), 1..60),
    ) {
        let mut cluster = Cluster::new(seed, machines, 3, 1, None);
        let result = cluster.run_schedule(&faults);
        prop_assert!(result.is_ok(), "{:?}", result);
    }
}

/// Returns the number of the first random schedule, counted from 1, that fails with the bug; `None` if none of the
/// first 100 does.
fn schedules_to_find(seeded_bug: SeededBug) -> Option<u32> {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), random);
    let schedules = (any::<u64>(), proptest::collection::vec(fault(), 1..60));
    (1..=100).find(|_| {
        let (seed, faults) = schedules.new_tree(&mut runner).unwrap().current();
        Cluster::new(seed, 3, 3, 1, Some(seeded_bug)).run_schedule(&faults).is_err()
    })
}

#[test_case::test_case(SeededBug::LeadAgainAfterRestart; "leads again after a restart")]
#[test_case::test_case(SeededBug::ReadIndexIgnoresPendingChange; "read index ignores a pending change")]
fn given_a_seeded_bug_when_schedules_are_run_then_it_is_found(seeded_bug: SeededBug) {
    let schedules = schedules_to_find(seeded_bug);
    println!("{seeded_bug:?}: found by schedule {schedules:?}");
    assert!(schedules.is_some());
}

/// Returns the number of the view that is active at this machine.
fn active_view(cluster: &Cluster, index: usize) -> Option<ViewNumber> {
    let consensus = cluster.machines[index].consensus.as_ref();
    consensus.and_then(Consensus::view).map(|view| view.number)
}

fn run_until_next_view(cluster: &mut Cluster, index: usize) {
    let before = active_view(cluster, index);
    for _ in 0..40_000 {
        cluster.run_for(MS / 10);
        if active_view(cluster, index) != before {
            break;
        }
    }
}

/// Proposes a change while the disks of the others hang, then wipes the leader's disk and kills the others.
fn commit_on_too_few_disks(cluster: &mut Cluster) {
    for index in [1, 2] {
        cluster.set_disk(index, Disk::Hanging);
    }
    cluster.propose();
    cluster.run_for(20 * MS);
    cluster.wipe_disk(0);
    for index in [1, 2] {
        cluster.kill(index);
    }
    cluster.heal();
    cluster.commits_within(8 * SUSPICION_TIMEOUT);
}

/// Changes to a view of the first two machines. Then only the third, which doesn't know of that view, and the first
/// with a wiped disk reach each other.
fn join_wiped_and_dropped_members(cluster: &mut Cluster) {
    cluster.isolate(2);
    cluster.commits_within(4 * SUSPICION_TIMEOUT);
    cluster.wipe_disk(0);
    cluster.blocked_links.clear();
    cluster.isolate(1);
    cluster.restart(0);
    cluster.commits_within(12 * SUSPICION_TIMEOUT);
}

/// Activates the next view at the first machine, and isolates it before the second learns that the view is chosen.
fn isolate_after_activation(cluster: &mut Cluster) {
    cluster.isolate(2);
    for _ in 0..20_000 {
        cluster.run_for(MS / 10);
        if active_view(cluster, 0) != active_view(cluster, 1) {
            break;
        }
    }
    cluster.blocked_links.clear();
    cluster.isolate(0);
    cluster.drop_messages();
    cluster.commits_within(12 * SUSPICION_TIMEOUT);
}

/// Isolates the first machine, lets the others continue, and requests reads at all machines.
fn read_while_isolated(cluster: &mut Cluster) {
    cluster.isolate(0);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    cluster.propose_at(1);
    cluster.run_for(HEARTBEAT_INTERVAL);
    cluster.request_reads();
    cluster.run_for(HEARTBEAT_INTERVAL);
}

/// Of five machines, the third and the fourth change to a view of their own, with the vote of the fifth. The fifth is
/// not a member of that view, has prepared the change to it, and doesn't learn that it was chosen. It then reaches
/// only the first two, while reads are requested at all machines.
fn read_during_view_change(cluster: &mut Cluster) {
    let partition = |cluster: &mut Cluster, pairs: &[(usize, usize)]| {
        pairs.iter().for_each(|(one, other)| cluster.partition(*one, *other));
    };
    let halves = [(0, 2), (0, 3), (1, 2), (1, 3)];
    partition(cluster, &halves);
    partition(cluster, &[(0, 4), (1, 4), (2, 4)]);
    run_until_next_view(cluster, 3);
    cluster.drop_messages();
    cluster.blocked_links.clear();
    partition(cluster, &halves);
    partition(cluster, &[(2, 4), (3, 4)]);
    for _ in 0..20 {
        [2, 3].iter().for_each(|index| _ = cluster.propose_at(*index));
        cluster.run_for(HEARTBEAT_INTERVAL / 10);
        cluster.request_reads();
    }
}

/// Drops the third machine from the view. It returns, misses that a view with it is chosen, and receives that view's
/// state with a change in flight that another member has not acknowledged. It has delivered nothing of that view, and
/// reads are pending at all machines.
fn read_with_change_in_flight(cluster: &mut Cluster) {
    cluster.isolate(2);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    for _ in 0..3 {
        cluster.propose_at(0);
        cluster.run_for(HEARTBEAT_INTERVAL);
    }
    cluster.blocked_links.clear();
    run_until_next_view(cluster, 0);
    let third = cluster.machines[2].addr;
    cluster.drop_messages();
    cluster.blocked_links = [0, 1].iter().map(|index| (cluster.machines[*index].addr, third)).collect();
    cluster.run_for(20 * MS);
    cluster.blocked_links.insert((cluster.machines[1].addr, cluster.machines[0].addr));
    cluster.propose_at(0);
    cluster.request_reads();
    cluster.run_for(5 * MS);
    cluster.blocked_links = [(cluster.machines[1].addr, cluster.machines[0].addr)].into();
    cluster.run_for(2 * HEARTBEAT_INTERVAL);
}

#[test_case::test_case(SeededBug::ReadIndexBelowViewStart, 3, read_with_change_in_flight)]
#[test_case::test_case(SeededBug::ReadIndexWithoutQuorum, 3, read_while_isolated)]
#[test_case::test_case(SeededBug::ReadIndexDuringViewChange, 5, read_during_view_change)]
#[test_case::test_case(SeededBug::CommitOnOneDisk, 3, commit_on_too_few_disks)]
#[test_case::test_case(SeededBug::SendBeforePersist, 3, commit_on_too_few_disks)]
#[test_case::test_case(SeededBug::EmptyDiskVotes, 3, join_wiped_and_dropped_members)]
#[test_case::test_case(SeededBug::ForgetAcceptedView, 3, isolate_after_activation)]
fn given_a_seeded_bug_when_its_scenario_is_run_then_only_it_is_found(
    seeded_bug: SeededBug,
    machines: u8,
    scenario: fn(&mut Cluster),
) {
    let run = |seed: u64, seeded_bug: Option<SeededBug>| {
        let mut cluster = Cluster::new(seed, machines, machines, 1, seeded_bug);
        cluster.commits_within(4 * SUSPICION_TIMEOUT);
        cluster.run_for(300 * MS);
        scenario(&mut cluster);
        cluster.run_for(SUSPICION_TIMEOUT);
        cluster.observed.violation
    };
    let seeds = 1..12u64;
    let found: Vec<String> = seeds.clone().filter_map(|seed| run(seed, Some(seeded_bug))).collect();
    println!("{seeded_bug:?}: found by {} of 11 seeds, such as {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    for seed in seeds {
        assert_eq!(run(seed, None), None);
    }
}
