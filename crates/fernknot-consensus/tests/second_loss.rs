//! A second loss shortly after the first: just after the cluster reports that it tolerates another, and before it does.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::{Ineligibility, SeededBug, ViewStatus};

/// Returns a cluster with `count` members that have committed a change.
fn founded_cluster(seed: u64, count: u8, fault_tolerance: usize, seeded_bug: Option<SeededBug>) -> Cluster {
    let mut cluster = Cluster::new(seed, count, count.min(3), fault_tolerance, seeded_bug);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    cluster.run_for(300 * MS);
    assert_eq!(cluster.members().len(), count as usize);
    cluster
}

fn status(cluster: &Cluster) -> Option<ViewStatus> {
    let index = cluster.leader()?;
    cluster.machines[index].consensus.as_ref().map(|consensus| consensus.status())
}

/// Runs until a view later than `view` is active and tolerates this number of losses. Returns false if that takes too
/// long.
fn run_until_tolerates(cluster: &mut Cluster, losses: usize, view: u64) -> bool {
    for step in 0..16 * SUSPICION_TIMEOUT / MS {
        if status(cluster).is_some_and(|status| {
            status.active && status.number.0 > view && status.remaining_fault_tolerance >= losses
        }) {
            return true;
        }
        if step % 25 == 0 {
            cluster.propose();
        }
        cluster.run_for(MS);
    }
    false
}

#[derive(Clone, Copy, Debug)]
enum FirstLoss {
    /// The disk is wiped, and the machine restarts.
    Wiped,
    /// The machine is replaced by an empty one at another address.
    Replaced,
    /// The process stops, and restarts later.
    Stopped,
    /// The disk is full, and later has space again.
    DiskFull,
    /// The machine restarts with an outdated copy of its disk.
    Outdated,
}

const FIRST_LOSSES: [FirstLoss; 5] =
    [FirstLoss::Wiped, FirstLoss::Replaced, FirstLoss::Stopped, FirstLoss::DiskFull, FirstLoss::Outdated];

fn lose(cluster: &mut Cluster, first: FirstLoss, index: usize) {
    match first {
        FirstLoss::Wiped => {
            cluster.wipe_disk(index);
            cluster.restart(index);
        }
        FirstLoss::Replaced => _ = cluster.replace_machine(index),
        FirstLoss::Stopped => cluster.kill(index),
        FirstLoss::DiskFull => cluster.set_disk(index, Disk::Full),
        FirstLoss::Outdated => {
            cluster.restore_older_disk(index, 3);
            cluster.restart(index);
        }
    }
}

/// Loses one member, and another one shortly after the cluster reports that it tolerates another loss. In half of the
/// runs all machines lose power at that moment.
fn run_two_losses(
    seed: u64,
    count: u8,
    fault_tolerance: usize,
    seeded_bug: Option<SeededBug>,
) -> Result<(), String> {
    let mut cluster = founded_cluster(seed, count, fault_tolerance, seeded_bug);
    let first = FIRST_LOSSES[seed as usize % FIRST_LOSSES.len()];
    let first_lost = cluster.random.below(count as u64) as usize;
    let view = status(&cluster).ok_or("no view")?.number.0;
    lose(&mut cluster, first, first_lost);
    if matches!(first, FirstLoss::Stopped | FirstLoss::DiskFull) {
        // Without the member, the view may not tolerate another loss. It returns once it has been dropped.
        cluster.run_for(2 * SUSPICION_TIMEOUT);
        if status(&cluster).is_none_or(|status| status.remaining_fault_tolerance + 1 > count as usize / 2) {
            return Err(format!(
                "{first:?} of {first_lost} does not reduce the fault tolerance: {:?}",
                status(&cluster)
            ));
        }
        cluster.set_disk(first_lost, Disk::Healthy);
        cluster.restart(first_lost);
    }
    if !run_until_tolerates(&mut cluster, 1, view) {
        return Err(format!(
            "{first:?} of {first_lost}: the cluster never tolerates another loss: {:?}",
            status(&cluster)
        ));
    }
    let after = seed / FIRST_LOSSES.len() as u64 % 40;
    cluster.run_for(after * MS / 2);
    // Any other member, possibly the leader.
    let mut second_lost = cluster.random.below(cluster.machines.len() as u64) as usize;
    while second_lost == first_lost || cluster.machines[second_lost].removed {
        second_lost = (second_lost + 1) % cluster.machines.len();
    }
    let all_lose_power = cluster.random.below(2) == 0;
    cluster.wipe_disk(second_lost);
    if all_lose_power {
        (0..cluster.machines.len()).for_each(|index| cluster.kill(index));
    }
    cluster.heal();
    let took = cluster.commits_within(12 * SUSPICION_TIMEOUT);
    cluster.run_for(4 * SUSPICION_TIMEOUT);
    if let Some(violation) = &cluster.observed.violation {
        return Err(format!(
            "{first:?} of {first_lost}, then {second_lost} after {after}/2 ms, all lose power: {all_lose_power}: {violation}"
        ));
    }
    if took.is_none() || !cluster.all_agree() || cluster.members().len() != count as usize {
        return Err(format!(
            "{first:?} of {first_lost}, then {second_lost} after {after}/2 ms, all lose power: {all_lose_power}: {:?}",
            cluster.members()
        ));
    }
    Ok(())
}

#[test_case::test_case(3, 1, 120)]
#[test_case::test_case(5, 2, 30)]
#[test_case::test_case(5, 1, 20)]
#[test_case::test_case(9, 1, 6)]
fn given_a_loss_when_another_occurs_after_it_is_reported_as_tolerated_then_nothing_is_lost(
    count: u8,
    fault_tolerance: usize,
    seeds: u64,
) {
    for seed in 0..seeds * seed_multiplier() {
        assert_eq!(run_two_losses(seed, count, fault_tolerance, None), Ok(()), "seed {seed}");
    }
}

/// The second member only stops, with its disk kept, while the view may still be changing.
#[test_case::test_case(3, 1, 60)]
#[test_case::test_case(5, 2, 15)]
fn given_a_loss_when_another_member_stops_during_the_repair_then_nothing_is_lost_once_it_returns(
    count: u8,
    fault_tolerance: usize,
    seeds: u64,
) {
    for seed in 0..seeds * seed_multiplier() {
        let mut cluster = founded_cluster(1000 + seed, count, fault_tolerance, None);
        let first = FIRST_LOSSES[seed as usize % FIRST_LOSSES.len()];
        let first_lost = cluster.random.below(count as u64) as usize;
        lose(&mut cluster, first, first_lost);
        let steps = cluster.random.below(140);
        for _ in 0..steps {
            cluster.propose();
            cluster.run_for(5 * MS);
        }
        let second_lost = (first_lost + 1 + cluster.random.below(count as u64 - 1) as usize) % count as usize;
        cluster.kill(second_lost);
        for _ in 0..cluster.random.below(400) {
            cluster.propose();
            cluster.run_for(5 * MS);
        }
        cluster.heal();
        assert_matches!(
            cluster.commits_within(12 * SUSPICION_TIMEOUT),
            Some(_),
            "seed {seed}: {first:?} of {first_lost}, {second_lost}"
        );
        cluster.run_for(4 * SUSPICION_TIMEOUT);
        assert_eq!(cluster.observed.violation, None, "seed {seed}: {first:?} of {first_lost}, {second_lost}");
        assert!(cluster.all_agree() && cluster.members().len() == count as usize, "seed {seed}");
    }
}

#[test]
fn given_a_joining_member_that_counts_early_when_two_are_lost_then_the_bug_is_found() {
    let found =
        (0..200).find(|seed| run_two_losses(*seed, 3, 1, Some(SeededBug::JoinerCountsWithoutState)).is_err());
    println!("JoinerCountsWithoutState: found by seed {found:?}");
    assert!(found.is_some());
}

#[test]
fn given_a_dropped_member_when_the_status_is_read_then_it_gives_the_reason_and_the_remaining_fault_tolerance()
{
    let mut cluster = founded_cluster(7, 3, 1, None);
    let all_eligible = status(&cluster).unwrap();
    assert_eq!(all_eligible.remaining_fault_tolerance, 1);
    assert!(all_eligible.replicas.iter().all(|replica| replica.ineligibility.is_none()));
    cluster.kill(2);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    let without_one = status(&cluster).unwrap();
    let dropped = without_one.replicas.iter().find(|replica| !replica.is_member).unwrap();
    assert!(dropped.is_voter && dropped.ineligibility == Some(Ineligibility::Unreachable));
    assert_eq!(without_one.remaining_fault_tolerance, 0);
    cluster.restart(2);
    cluster.run_for(SUSPICION_TIMEOUT);
    assert_eq!(status(&cluster).unwrap().remaining_fault_tolerance, 1);
    cluster.set_disk(2, Disk::Hanging);
    cluster.run_for(SUSPICION_TIMEOUT);
    let without_disk = status(&cluster).unwrap();
    let dropped = without_disk.replicas.iter().find(|replica| !replica.is_member).unwrap();
    assert_eq!(dropped.ineligibility, Some(Ineligibility::DiskUnhealthy));
    assert_eq!(without_disk.remaining_fault_tolerance, 0);
}

#[test_case::test_case(1, 0, 0)]
#[test_case::test_case(2, 1, 0)]
#[test_case::test_case(3, 1, 1)]
#[test_case::test_case(4, 1, 1)]
#[test_case::test_case(5, 2, 2)]
#[test_case::test_case(9, 2, 4)]
fn given_a_cluster_of_any_size_when_all_are_healthy_then_it_tolerates_the_loss_of_less_than_half(
    count: u8,
    fault_tolerance: usize,
    expected: usize,
) {
    let cluster = founded_cluster(8, count, fault_tolerance, None);
    assert_eq!(status(&cluster).unwrap().remaining_fault_tolerance, expected);
}

#[test_case::test_case(3, 1)]
#[test_case::test_case(5, 2)]
#[test_case::test_case(9, 2)]
fn given_all_healthy_when_as_many_as_are_tolerated_are_lost_at_once_then_the_rest_continues(
    count: u8,
    fault_tolerance: usize,
) {
    for seed in 0..10 {
        let mut cluster = founded_cluster(2000 + seed, count, fault_tolerance, None);
        // A wiped member finds the others by the configured founders. All are named, since any may be lost.
        cluster.founders = (1..=count).map(addr).collect();
        let tolerated = status(&cluster).unwrap().remaining_fault_tolerance;
        cluster.propose();
        let after = cluster.random.below(10 * MS);
        cluster.run_for(after);
        (0..tolerated).for_each(|index| cluster.wipe_disk((index + seed as usize) % count as usize));
        assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        cluster.heal();
        cluster.run_for(4 * SUSPICION_TIMEOUT);
        assert_eq!(cluster.observed.violation, None, "seed {seed}");
        assert!(cluster.all_agree() && cluster.members().len() == count as usize, "seed {seed}");
    }
}

#[test]
fn given_one_left_of_three_when_it_runs_alone_then_it_commits_nothing_and_tolerates_no_loss() {
    let mut cluster = founded_cluster(9, 3, 1, None);
    (0..2).for_each(|index| cluster.kill(index));
    assert_eq!(cluster.commits_within(10 * SUSPICION_TIMEOUT), None);
    let status = cluster.machines[2].consensus.as_ref().unwrap().status();
    assert_eq!(status.remaining_fault_tolerance, 0);
}

/// Loses the leader while it changes to a view without an unreachable member. The view that the survivor has accepted
/// may have been chosen, and includes the lost leader. Returns the time in nanoseconds from the third member's return
/// to the next commit, or `None` if it is too long.
fn recovery_time_after_interrupted_view_change(seed: u64) -> Option<u64> {
    let mut cluster = founded_cluster(seed, 3, 1, None);
    let leader = cluster.leader().expect("a leader");
    let third = (leader + 1 + cluster.random.below(2) as usize) % 3;
    let survivor = 3 - leader - third;
    cluster.isolate(third);
    let has_accepted = |cluster: &Cluster| {
        let saved = cluster.machines[survivor].saved.as_ref();
        saved.is_some_and(|saved| saved.accepted.is_some())
    };
    for _ in 0..4 * SUSPICION_TIMEOUT / MS {
        if has_accepted(&cluster) {
            break;
        }
        cluster.run_for(MS);
    }
    let moment = cluster.random.below(4) * MS;
    cluster.run_for(moment);
    cluster.kill(leader);
    cluster.run_for(4 * SUSPICION_TIMEOUT);
    cluster.blocked_links.clear();
    let took = cluster.commits_within(40 * SUSPICION_TIMEOUT);
    assert_eq!(cluster.observed.violation, None, "seed {seed}");
    took
}

#[test]
fn given_an_interrupted_view_change_when_its_proposer_is_lost_and_the_third_member_returns_then_changes_continue_soon()
 {
    let times: Vec<u64> = (0..100 * seed_multiplier())
        .map(|seed| recovery_time_after_interrupted_view_change(seed).expect("a change is committed"))
        .collect();
    let slowest = times.iter().max().copied().unwrap_or_default();
    println!("{} runs, the slowest {} ms", times.len(), slowest / MS);
    assert!(slowest <= 4 * SUSPICION_TIMEOUT, "{} ms", slowest / MS);
}
