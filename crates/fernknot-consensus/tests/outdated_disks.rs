//! Members that restart with an outdated copy of their own disk.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::SeededBug;

fn founded_cluster(seed: u64, count: u8, fault_tolerance: usize, seeded_bug: Option<SeededBug>) -> Cluster {
    let mut cluster = Cluster::new(seed, count, count, fault_tolerance, seeded_bug);
    assert_matches!(cluster.commits_within(2_000 * MS), Some(_));
    cluster.run_for(300 * MS);
    for _ in 0..6 {
        assert_matches!(cluster.commits_within(200 * MS), Some(_));
    }
    cluster.run_for(300 * MS);
    cluster
}

/// Isolates the last machine, so that the others continue in a view without it.
fn change_view_without_the_last(cluster: &mut Cluster) {
    let last = cluster.machines.len() - 1;
    cluster.isolate(last);
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    for _ in 0..3 {
        assert_matches!(cluster.commits_within(200 * MS), Some(_));
    }
    cluster.run_for(200 * MS);
}

#[test]
fn given_an_outdated_disk_when_the_others_know_of_later_progress_then_it_becomes_a_new_member() {
    for index in 0..3 {
        for writes in 1..8 {
            let mut cluster = founded_cluster(100 + writes as u64, 3, 1, None);
            let (previous, committed_before) = (cluster.machines[index].id, cluster.observed.committed.len());
            cluster.restore_older_disk(index, writes);
            cluster.restart(index);
            assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
            cluster.run_for(2 * SUSPICION_TIMEOUT);
            assert_eq!(cluster.observed.violation, None);
            assert_eq!(
                cluster.machines[index].replaced_ids,
                vec![previous],
                "machine {index}, {writes} writes lost"
            );
            assert_eq!(cluster.members().len(), 3);
            assert!(cluster.observed.committed.len() > committed_before);
        }
    }
}

#[test]
fn given_an_outdated_disk_when_all_lose_power_then_nothing_is_lost_and_all_continue() {
    let mut detected = 0;
    for seed in 0..40u64 {
        let (index, writes) = (seed as usize % 3, 1 + seed as usize % 7);
        let mut cluster = founded_cluster(200 + seed, 3, 1, None);
        cluster.restore_older_disk(index, writes);
        (0..3).for_each(|other| cluster.kill(other));
        (0..3).for_each(|other| cluster.restart(other));
        assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        cluster.run_for(2 * SUSPICION_TIMEOUT);
        assert_eq!(cluster.observed.violation, None, "seed {seed}");
        assert_eq!(cluster.members().len(), 3);
        detected += cluster.machines[index].replaced_ids.len();
        if cluster.machines[index].replaced_ids.is_empty() {
            println!("seed {seed}: the loss of {writes} write(s) was not detected");
        }
    }
    println!("all restarted: {detected} of 40 outdated disks were detected");
    // The loss of one write can't be detected if no other replica knew of it yet.
    assert!(detected >= 34, "{detected}");
}

#[test]
fn given_an_outdated_disk_of_five_when_all_others_but_one_restart_then_that_one_detects_it() {
    for seed in 0..20 * seed_multiplier() {
        let (index, writes) = (seed as usize % 5, 1 + seed as usize % 9);
        let mut cluster = founded_cluster(700 + seed, 5, 2, None);
        let previous = cluster.machines[index].id;
        cluster.restore_older_disk(index, writes);
        (1..4).for_each(|next| cluster.kill((index + next) % 5));
        (0..5).for_each(|other| cluster.restart(other));
        assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        cluster.run_for(2 * SUSPICION_TIMEOUT);
        assert_eq!(cluster.machines[index].replaced_ids, vec![previous], "seed {seed}");
        assert_eq!((cluster.observed.violation.clone(), cluster.members().len()), (None, 5), "seed {seed}");
    }
}

#[test]
fn given_two_losses_tolerated_when_one_disk_is_outdated_and_another_empty_then_nothing_is_lost() {
    for seed in 0..20 * seed_multiplier() {
        let (index, writes) = (seed as usize % 5, 1 + seed as usize % 9);
        let mut cluster = founded_cluster(800 + seed, 5, 2, None);
        cluster.propose();
        let after = cluster.random.below(10 * MS);
        cluster.run_for(after);
        cluster.restore_older_disk(index, writes);
        cluster.wipe_disk((index + 1 + seed as usize % 4) % 5);
        if seed % 2 == 0 {
            (0..5).for_each(|other| cluster.kill(other));
        }
        (0..5).for_each(|other| cluster.restart(other));
        assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        cluster.run_for(4 * SUSPICION_TIMEOUT);
        assert_eq!((cluster.observed.violation.clone(), cluster.members().len()), (None, 5), "seed {seed}");
    }
}

/// Restarts three members whose disks all lost some synced writes. Also returns whether they continue without an
/// operator.
fn restart_all_outdated(seed: u64, seeded_bug: Option<SeededBug>) -> (Cluster, bool) {
    let mut cluster = founded_cluster(900 + seed, 3, 1, seeded_bug);
    for index in 0..3 {
        let writes = cluster.random.below(6) as usize;
        cluster.restore_older_disk(index, writes);
    }
    // Changes in the lost writes may be lost; those committed from here on may not.
    let newest = cluster
        .machines
        .iter()
        .filter_map(|machine| machine.saved.as_ref())
        .map(|saved| saved.revision)
        .max();
    cluster.observed.committed.clear();
    cluster.observed.states.retain(|revision, _| Some(*revision) <= newest.map(|newest| newest.0));
    (0..3).for_each(|index| cluster.restart(index));
    let continues = cluster.commits_within(6 * SUSPICION_TIMEOUT).is_some();
    (cluster, continues)
}

/// Tries to force a view at each machine. Returns the number of machines at which this succeeded.
fn force_at_each(cluster: &mut Cluster) -> usize {
    let now = fernknot::interface::Nanos(cluster.now);
    let mut forced = 0;
    for index in 0..cluster.machines.len() {
        forced += cluster.machines[index].consensus.as_mut().unwrap().force_view(now, &[]).is_ok() as usize;
        cluster.run_actions(index);
    }
    forced
}

#[test]
fn given_all_disks_outdated_when_all_return_then_none_is_reset_before_an_operator_forces_a_view() {
    let (mut unaided, mut forced) = (0, 0);
    for seed in 0..60 * seed_multiplier() {
        let (mut cluster, continues) = restart_all_outdated(seed, None);
        if continues {
            unaided += 1;
        } else {
            assert!(cluster.machines.iter().all(|machine| machine.replaced_ids.is_empty()), "seed {seed}");
            assert_eq!(force_at_each(&mut cluster), 1, "seed {seed}");
            assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
            forced += 1;
        }
        cluster.run_for(4 * SUSPICION_TIMEOUT);
        assert!(cluster.all_agree() && cluster.members().len() == 3, "seed {seed}: {:?}", cluster.members());
        assert_eq!(cluster.observed.violation, None, "seed {seed}");
    }
    println!("all outdated: {unaided} clusters continued unaided, {forced} after a forced view");
    assert!(unaided > 0 && forced > 0);
}

#[test]
fn given_outdated_disks_reset_at_once_when_no_view_is_active_then_the_bug_is_found() {
    let is_found = |seed: &u64| {
        let (cluster, continues) = restart_all_outdated(*seed, Some(SeededBug::ResetOnFirstConflict));
        !continues && cluster.machines.iter().any(|machine| !machine.replaced_ids.is_empty())
    };
    let found = (0..20).filter(is_found).count();
    println!("ResetOnFirstConflict: found by {found} of 20 seeds");
    assert!(found > 0);
}

/// Restarts one member while the others run. Returns the time in nanoseconds until it has delivered a new change.
fn time_until_one_returns(seed: u64, seeded_bug: Option<SeededBug>) -> u64 {
    let mut cluster = founded_cluster(1500 + seed, 3, 1, seeded_bug);
    let index = seed as usize % 3;
    cluster.kill(index);
    cluster.restart(index);
    let began_at = cluster.now;
    while cluster.now - began_at < 4 * SUSPICION_TIMEOUT {
        cluster.commits_within(4 * SUSPICION_TIMEOUT).expect("continues");
        if cluster.all_agree() && cluster.members().len() == 3 {
            return cluster.now - began_at;
        }
    }
    panic!("seed {seed}: the member did not return in time")
}

#[test]
fn given_a_member_that_restarts_when_all_others_run_then_recovery_does_not_delay_it() {
    let sorted = |seeded_bug: Option<SeededBug>| {
        let mut took: Vec<u64> = (0..60).map(|seed| time_until_one_returns(seed, seeded_bug) / MS).collect();
        took.sort();
        took
    };
    let (recovering, trusting) = (sorted(None), sorted(Some(SeededBug::OutdatedDiskVotes)));
    println!(
        "one restarted: median {} ms, maximum {} ms; without recovery {} and {} ms",
        recovering[30], recovering[59], trusting[30], trusting[59]
    );
    let is_as_fast = recovering[30] <= trusting[30] + 20;
    let has_no_outlier = recovering[59] <= trusting[59] + HEARTBEAT_INTERVAL / MS;
    assert!(is_as_fast && has_no_outlier, "{recovering:?} {trusting:?}");
}

/// Lets a view without the last machine commit changes. Then all its members stop, and one of them returns with its
/// disk from before that view. At first it reaches only the machine that was not in the view.
fn restart_from_before_the_view(cluster: &mut Cluster) {
    let before = cluster.machines[1].written.len();
    change_view_without_the_last(cluster);
    let writes = cluster.machines[1].written.len() - before;
    cluster.restore_older_disk(1, writes);
    let last = cluster.machines.len() - 1;
    (0..last).for_each(|index| cluster.kill(index));
    cluster.blocked_links.clear();
    // The member with the newest disk returns last.
    cluster.restart(1);
    let delay = cluster.random.below(SUSPICION_TIMEOUT / 2);
    cluster.run_for(delay);
    cluster.heal();
    cluster.commits_within(8 * SUSPICION_TIMEOUT);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
}

/// Like [`restart_from_before_the_view`], but the member with the newest disk keeps running and is unreachable for a
/// while.
fn restart_while_one_is_isolated(cluster: &mut Cluster) {
    let before = cluster.machines[1].written.len();
    change_view_without_the_last(cluster);
    let writes = cluster.machines[1].written.len() - before;
    cluster.restore_older_disk(1, writes);
    cluster.blocked_links.clear();
    cluster.isolate(0);
    cluster.restart(1);
    let delay = cluster.random.below(SUSPICION_TIMEOUT / 2);
    cluster.run_for(delay);
    cluster.heal();
    cluster.commits_within(8 * SUSPICION_TIMEOUT);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
}

#[test_case::test_case(restart_from_before_the_view; "all members of the view restarted")]
#[test_case::test_case(restart_while_one_is_isolated; "the member with the newest disk is isolated")]
fn given_a_disk_from_before_the_view_when_its_member_reaches_one_that_missed_the_view_then_nothing_is_lost(
    scenario: fn(&mut Cluster),
) {
    let run = |seed: u64, seeded_bug: Option<SeededBug>| {
        let mut cluster = founded_cluster(300 + seed, 3, 1, seeded_bug);
        scenario(&mut cluster);
        let violation = cluster.observed.violation.clone();
        let recovered = cluster.all_agree() && cluster.members().len() == 3;
        violation.or_else(|| {
            (!recovered).then(|| format!("not all in one view of three: {:?}", cluster.members()))
        })
    };
    let found = (0..20).filter_map(|seed| run(seed, Some(SeededBug::OutdatedDiskVotes))).collect::<Vec<_>>();
    println!("OutdatedDiskVotes: found by {} of 20 seeds, such as {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    for seed in 0..60 * seed_multiplier() {
        assert_eq!(run(seed, None), None, "seed {seed}");
    }
}

/// All members lose power with a change in flight, and restart together. Returns the time in nanoseconds until a new
/// change is committed.
fn time_until_all_return(seed: u64, seeded_bug: Option<SeededBug>) -> u64 {
    let mut cluster = founded_cluster(500 + seed, 3, 1, seeded_bug);
    // Writes that were not synced may be lost; acknowledged ones are not, so no disk is outdated.
    cluster.propose();
    let after = cluster.random.below(12 * MS);
    cluster.run_for(after);
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.restart(index));
    let took = cluster.commits_within(SUSPICION_TIMEOUT).expect("continues");
    cluster.run_for(SUSPICION_TIMEOUT);
    assert!(cluster.machines.iter().all(|machine| machine.replaced_ids.is_empty()), "seed {seed}");
    assert_eq!(cluster.observed.violation, None);
    took
}

#[test]
fn given_current_disks_when_all_lose_power_then_none_is_reset_and_all_continue_at_once() {
    let sorted = |seeded_bug: Option<SeededBug>| {
        let mut took: Vec<u64> = (0..100).map(|seed| time_until_all_return(seed, seeded_bug) / MS).collect();
        took.sort();
        took
    };
    // The seeded bug leaves out the recovery, which gives the time to compare with.
    let (recovering, trusting) = (sorted(None), sorted(Some(SeededBug::OutdatedDiskVotes)));
    let summary = |took: &[u64]| {
        format!("median {} ms, 90th percentile {} ms, maximum {} ms", took[50], took[90], took[99])
    };
    println!("all restarted: {}; without recovery: {}", summary(&recovering), summary(&trusting));
    assert!(recovering[50] <= trusting[50] && recovering[99] <= trusting[99] + 10, "{recovering:?}");
}

#[test]
fn given_a_restarted_member_when_another_voter_is_unreachable_then_recovery_waits_until_that_one_is_suspected()
 {
    let mut cluster = founded_cluster(600, 3, 1, None);
    cluster.kill(0);
    cluster.kill(1);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    cluster.restart(1);
    cluster.run_for(SUSPICION_TIMEOUT - 50 * MS);
    assert_eq!(cluster.commits_within(MS), None);
    let took = cluster.commits_within(3 * SUSPICION_TIMEOUT).expect("continues without the unreachable one");
    println!("one unreachable: {} ms", (took + SUSPICION_TIMEOUT - 50 * MS) / MS);
    assert_eq!(cluster.observed.violation, None);
}
