//! A thousand changes and a hundred view changes, with members down, suspended, partitioned off, on full, slow and
//! hanging disks meanwhile, and restarted at every tenth.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::SeededBug;

#[derive(Debug, Default)]
struct Figures {
    changes: u64,
    views: u64,
    largest_disk: usize,
    disk_at_100: usize,
    disk_at_end: usize,
    /// Characters of the debug output of a replica.
    memory_at_100: usize,
    memory_at_end: usize,
    slowest_catch_up: u64,
    bytes: u64,
}

fn largest_disk(cluster: &Cluster) -> usize {
    let sizes = cluster.machines.iter().filter_map(|machine| machine.saved.as_ref());
    sizes.map(|saved| bitcode::encode(saved).len()).max().unwrap_or_default()
}

fn largest_memory(cluster: &Cluster) -> usize {
    let replicas = cluster.machines.iter().filter_map(|machine| machine.consensus.as_ref());
    replicas.map(|consensus| format!("{consensus:?}").len()).max().unwrap_or_default()
}

/// How long it takes until all are in one view and have delivered the same.
fn catch_up(cluster: &mut Cluster) -> Option<u64> {
    let began_at = cluster.now;
    let remaining = cluster.remaining_machines();
    while cluster.now - began_at < 16 * SUSPICION_TIMEOUT {
        if cluster.all_agree() && cluster.members().len() == remaining {
            return Some(cluster.now - began_at);
        }
        cluster.run_for(5 * MS);
    }
    None
}

/// One of the faults that a tenth of the changes suffers.
fn inject(cluster: &mut Cluster, fault: u64, at: usize) {
    match fault {
        0 => cluster.kill(at),
        1 => cluster.machines[at].suspended = true,
        2 => cluster.set_disk(at, Disk::Hanging),
        3 => cluster.set_disk(at, Disk::Full),
        4 => cluster.isolate(at),
        5 => cluster.restore_older_disk(at, 5),
        6 => {
            (0..cluster.machines.len()).for_each(|at| cluster.kill(at));
            cluster.heal();
        }
        _ => cluster.set_disk(at, Disk::Slow),
    }
}

fn run_changes(
    seed: u64,
    count: u8,
    fault_tolerance: usize,
    changes: u64,
    seeded_bug: Option<SeededBug>,
) -> Result<Figures, String> {
    let mut cluster = Cluster::new(seed, count, 3, fault_tolerance, seeded_bug);
    cluster.state_bytes = 4_000;
    cluster.commits_within(4 * SUSPICION_TIMEOUT).ok_or("never founded")?;
    let mut figures = Figures::default();
    let (bytes, mut done) = (cluster.bytes, 0);
    while done < changes {
        let at = cluster.random.below(count as u64) as usize;
        let fault = done / 10 % 8;
        inject(&mut cluster, fault, at);
        for _ in 0..10 {
            cluster
                .commits_within(10 * SUSPICION_TIMEOUT)
                .ok_or_else(|| format!("stuck after {done} changes, {fault} at {at}"))?;
            done += 1;
        }
        cluster.heal();
        (0..count as usize).for_each(|at| cluster.restart(at));
        let took =
            catch_up(&mut cluster).ok_or_else(|| format!("never caught up after {done}, {fault} at {at}"))?;
        // After every ten changes a healthy one restarts, too.
        let other = (at + 1) % count as usize;
        cluster.kill(other);
        cluster.restart(other);
        let again =
            catch_up(&mut cluster).ok_or_else(|| format!("never caught up after a restart at {done}"))?;
        figures.slowest_catch_up = figures.slowest_catch_up.max(took).max(again);
        figures.largest_disk = figures.largest_disk.max(largest_disk(&cluster));
        if done <= 100 {
            figures.disk_at_100 = largest_disk(&cluster);
            figures.memory_at_100 = largest_memory(&cluster);
        }
        if let Some(violation) = &cluster.observed.violation {
            return Err(violation.clone());
        }
    }
    cluster.run_for(SUSPICION_TIMEOUT);
    figures.disk_at_end = largest_disk(&cluster);
    figures.memory_at_end = largest_memory(&cluster);
    figures.changes = done;
    figures.views = cluster.observed.views.len() as u64;
    figures.bytes = (cluster.bytes - bytes) / done;
    Ok(figures)
}

#[test_case::test_case(3, 1, 1000)]
#[test_case::test_case(5, 2, 300)]
fn given_hundreds_of_changes_when_members_come_and_go_then_disks_stay_small_and_all_catch_up(
    count: u8,
    fault_tolerance: usize,
    changes: u64,
) {
    let figures = run_changes(11, count, fault_tolerance, changes, None);
    println!("{count} members: {figures:?}");
    let figures = figures.unwrap();
    assert!(figures.views >= changes / 10, "{} views", figures.views);
    // A state of 4 KB, at most one more that was accepted, members, view starts and known progress.
    assert!(figures.largest_disk < 2 * 4_000 + 4_000, "{} bytes on disk", figures.largest_disk);
    assert!(figures.disk_at_end < figures.disk_at_100 + 1_000);
    assert!(figures.memory_at_end < figures.memory_at_100 * 3 / 2, "{} characters", figures.memory_at_end);
    assert!(figures.slowest_catch_up <= 8 * SUSPICION_TIMEOUT, "{} ms", figures.slowest_catch_up / MS);
}

/// What a leader reports of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Committed,
    Rejected,
    Nothing,
}

/// What a leader reports of a change that was in flight when it was partitioned off, once it is back after so many
/// views. `reached`: the others had received it, so it was committed in the end.
fn result_after(seed: u64, views: u64, reached: bool, seeded_bug: Option<SeededBug>) -> Reported {
    let mut cluster = Cluster::new(600 + seed, 3, 3, 1, seeded_bug);
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    cluster.run_for(300 * MS);
    let first = cluster.leader().unwrap();
    if reached {
        let change_id = cluster.propose().unwrap();
        // The change has arrived, no answer has.
        cluster.run_for(MS + MS * 6 / 10);
        assert!(!cluster.observed.committed.contains_key(&change_id));
        cluster.drop_messages();
        cluster.isolate(first);
    } else {
        cluster.isolate(first);
        cluster.propose().unwrap();
    }
    let change_id = cluster.observed.proposals.len() as u64;
    cluster.commits_within(4 * SUSPICION_TIMEOUT).unwrap();
    let first_views = cluster.observed.views.len() as u64;
    // The two that remain can't lose each other: views change as a third machine comes and goes.
    let spare = cluster.add(addr(90), false);
    cluster.partition(first, spare);
    while (cluster.observed.views.len() as u64) < first_views + views {
        cluster.set_disk(spare, Disk::Full);
        cluster.commits_within(4 * SUSPICION_TIMEOUT).unwrap();
        cluster.run_for(200 * MS);
        cluster.set_disk(spare, Disk::Healthy);
        cluster.run_for(400 * MS);
    }
    assert_eq!(reported(&cluster, change_id), Reported::Nothing);
    cluster.heal();
    cluster.run_for(6 * SUSPICION_TIMEOUT);
    assert_eq!(cluster.observed.violation, None);
    assert!(cluster.all_agree());
    reported(&cluster, change_id)
}

fn reported(cluster: &Cluster, change_id: u64) -> Reported {
    let is_committed = cluster.observed.committed.contains_key(&change_id);
    match (is_committed, cluster.observed.rejected.contains(&change_id)) {
        (true, false) => Reported::Committed,
        (false, true) => Reported::Rejected,
        (false, false) => Reported::Nothing,
        (true, true) => panic!("{change_id} is committed and rejected"),
    }
}

/// 32 views are remembered.
#[test_case::test_case(20, false, Reported::Rejected; "never reached, remembered")]
#[test_case::test_case(20, true, Reported::Committed; "reached, remembered")]
#[test_case::test_case(45, false, Reported::Nothing; "never reached, forgotten")]
#[test_case::test_case(45, true, Reported::Nothing; "reached, forgotten")]
fn given_a_change_unresolved_over_many_views_when_its_leader_is_back_then_its_result_is_right_or_none(
    views: u64,
    reached: bool,
    expected: Reported,
) {
    for seed in 0..4 {
        assert_eq!(result_after(seed, views, reached, None), expected, "seed {seed}");
    }
}

#[test]
fn given_a_forgotten_view_start_that_is_guessed_when_a_change_was_committed_then_the_bug_is_found() {
    let result = result_after(0, 45, true, Some(SeededBug::GuessForgottenViewStart));
    assert_eq!(result, Reported::Rejected);
}
