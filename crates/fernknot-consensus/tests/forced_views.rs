//! Views forced by an operator, and the return of replicas that were named as lost.

mod common;

use std::net::SocketAddrV4;

use assert_matches::assert_matches;
use common::*;
use fernknot::interface::Nanos;
use fernknot_consensus::{ForceViewError, SeededBug, ViewNumber};

fn founded_cluster(seed: u64, count: u8, fault_tolerance: usize, seeded_bug: Option<SeededBug>) -> Cluster {
    let mut cluster = Cluster::new(seed, count, count.min(3), fault_tolerance, seeded_bug);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    cluster.run_for(300 * MS);
    cluster
}

fn force(cluster: &mut Cluster, index: usize, lost: &[usize]) -> Result<ViewNumber, ForceViewError> {
    let lost: Vec<SocketAddrV4> = lost.iter().map(|index| cluster.machines[*index].addr).collect();
    let now = Nanos(cluster.now);
    let result = cluster.machines[index].consensus.as_mut().unwrap().force_view(now, &lost);
    cluster.run_actions(index);
    result
}

#[test]
fn given_two_of_three_lost_when_a_view_is_forced_then_the_survivor_continues_with_new_members() {
    let mut cluster = founded_cluster(1, 3, 1, None);
    let committed_before = cluster.observed.committed.len();
    let (new, _) = (cluster.replace_machine(0), cluster.kill(1));
    cluster.machines[1].removed = true;
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    assert_eq!(cluster.commits_within(SUSPICION_TIMEOUT), None);
    assert_matches!(force(&mut cluster, 2, &[0, 1]), Ok(_));
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    assert!(cluster.observed.committed.len() > committed_before);
    assert_eq!(cluster.members().len(), 2);
    assert!(cluster.members().contains(&cluster.machines[new].id));
    let another = cluster.add(addr(77), false);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    assert!(cluster.members().contains(&cluster.machines[another].id));
    assert_eq!(cluster.observed.violation, None);
}

#[test]
fn given_three_of_five_lost_when_a_view_is_forced_then_both_survivors_are_in_it() {
    let mut cluster = founded_cluster(2, 5, 1, None);
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.machines[index].removed = true);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    let results = [force(&mut cluster, 3, &[0, 1, 2]), force(&mut cluster, 4, &[0, 1, 2])];
    // Both machines have the same state: the request succeeds only at the one with the smaller id.
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1, "{results:?}");
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    assert_eq!(cluster.members().len(), 2);
    assert_eq!(cluster.observed.violation, None);
}

#[test]
fn given_a_reachable_majority_or_unclear_losses_when_a_view_is_forced_then_it_is_rejected() {
    let mut cluster = founded_cluster(3, 3, 1, None);
    cluster.kill(0);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert_eq!(force(&mut cluster, 1, &[0]), Err(ForceViewError::MajorityReachable));
    assert_eq!(force(&mut cluster, 1, &[0, 2]), Err(ForceViewError::LostMemberReachable(addr(3))));
    cluster.kill(2);
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert_eq!(force(&mut cluster, 1, &[0]), Err(ForceViewError::UnreachableNotNamed(addr(3))));
    cluster.kill(1);
    cluster.restart(1);
    assert_eq!(force(&mut cluster, 1, &[0, 2]), Err(ForceViewError::StillListening));
    cluster.run_for(2 * SUSPICION_TIMEOUT);
    assert_matches!(force(&mut cluster, 1, &[0, 2]), Ok(_));
    let empty = cluster.add(addr(50), false);
    assert_eq!(force(&mut cluster, empty, &[0, 2]), Err(ForceViewError::NoState));
}

/// Forces a view at a machine whose peers are not lost but only partitioned from it, and continue on their own.
fn force_view_against_majority(seed: u64, seeded_bug: Option<SeededBug>) -> Cluster {
    let mut cluster = founded_cluster(100 + seed, 3, 1, seeded_bug);
    cluster.isolate(2);
    cluster.run_for(3 * SUSPICION_TIMEOUT);
    assert_matches!(force(&mut cluster, 2, &[0, 1]), Ok(_));
    cluster.run_for(seed % 7 * 100 * MS);
    let new = cluster.add(addr(60), false);
    [0, 1].iter().for_each(|index| cluster.partition(*index, new));
    // Both sides continue, although the operator has declared the other side as lost.
    for _ in 0..seed % 5 * 10 {
        cluster.propose();
        cluster.run_for(30 * MS);
    }
    cluster
}

#[test]
fn given_a_forced_view_when_the_old_majority_returns_then_it_rejoins_as_new_members_only() {
    for seed in 0..60 * seed_multiplier() {
        let mut cluster = force_view_against_majority(seed, None);
        let old = [cluster.machines[0].id, cluster.machines[1].id];
        if seed % 2 == 0 {
            // Half of the runs restart the old members from their disks.
            [0, 1].iter().for_each(|index| cluster.kill(*index));
        }
        cluster.heal();
        // The old members may continue until they learn of the forced view.
        cluster.run_for(2 * HEARTBEAT_INTERVAL);
        // Changes that the old members committed meanwhile are lost, as the operator accepted. Their revisions are
        // below the start of the era.
        let era_start = 1u64 << 32;
        cluster.observed.states.retain(|revision, _| *revision >= era_start);
        cluster.observed.committed.retain(|_, revision| revision.0 >= era_start);
        assert_matches!(cluster.commits_within(8 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        cluster.run_for(6 * SUSPICION_TIMEOUT);
        assert_eq!(cluster.observed.violation, None, "seed {seed}");
        assert!(cluster.all_agree() && cluster.members().len() == 4, "seed {seed}: {:?}", cluster.members());
        assert!(old.iter().all(|id| !cluster.members().contains(id)));
        for index in [0, 1] {
            assert_eq!(cluster.machines[index].replaced_ids, vec![old[index]], "seed {seed}");
        }
        assert!(cluster.machines[2].replaced_ids.is_empty());
        // New commits have higher revisions than all that the old members committed.
        let committed = cluster.observed.committed.len();
        assert_matches!(cluster.commits_within(SUSPICION_TIMEOUT), Some(_));
        assert!(cluster.observed.newest_committed().unwrap().0 >= era_start);
        assert!(cluster.observed.committed.len() > committed);
    }
}

#[test]
fn given_an_unfenced_forced_view_when_the_old_majority_returns_then_the_bug_is_found() {
    let is_found = |seed: &u64| {
        let mut cluster = force_view_against_majority(*seed, Some(SeededBug::UnfencedForcedView));
        cluster.heal();
        cluster.commits_within(8 * SUSPICION_TIMEOUT);
        cluster.run_for(4 * SUSPICION_TIMEOUT);
        cluster.observed.violation.is_some()
    };
    let found = (0..20).filter(is_found).count();
    println!("UnfencedForcedView: found by {found} of 20 seeds");
    assert!(found > 0);
}

#[test]
fn given_a_forced_view_when_its_only_member_loses_power_then_it_is_durable_or_can_be_forced_again() {
    for seed in 0..40 * seed_multiplier() {
        let mut cluster = founded_cluster(200 + seed, 3, 1, None);
        (0..2).for_each(|index| cluster.kill(index));
        cluster.run_for(3 * SUSPICION_TIMEOUT);
        assert_matches!(force(&mut cluster, 2, &[0, 1]), Ok(_));
        let after = cluster.random.below(8 * MS);
        cluster.run_for(after);
        cluster.kill(2);
        cluster.restart(2);
        cluster.run_for(3 * SUSPICION_TIMEOUT);
        // If the forced view was not durable yet, it is forced again.
        let _ = force(&mut cluster, 2, &[0, 1]);
        cluster.add(addr(60), false);
        assert_matches!(cluster.commits_within(8 * SUSPICION_TIMEOUT), Some(_), "seed {seed}");
        assert_eq!(cluster.observed.violation, None);
    }
}
