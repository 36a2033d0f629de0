//! Long runs of changes and view changes, with members down, suspended, partitioned, or on full, slow, hanging or
//! outdated disks. They guard against growth of disks and memory, and against members that never catch up.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::SeededBug;

#[derive(Debug, Default)]
struct Measurements {
    changes: u64,
    views: u64,
    largest_disk_bytes: usize,
    disk_bytes_at_100: usize,
    disk_bytes_at_end: usize,
    /// Largest number of characters in a replica's debug output, as a measure of its memory.
    memory_chars_at_100: usize,
    memory_chars_at_end: usize,
    slowest_catch_up_ns: u64,
    bytes_per_change: u64,
}

fn largest_disk_bytes(cluster: &Cluster) -> usize {
    let sizes = cluster.machines.iter().filter_map(|machine| machine.saved.as_ref());
    sizes.map(|saved| bitcode::encode(saved).len()).max().unwrap_or_default()
}

fn largest_memory_chars(cluster: &Cluster) -> usize {
    let replicas = cluster.machines.iter().filter_map(|machine| machine.consensus.as_ref());
    replicas.map(|consensus| format!("{consensus:?}").len()).max().unwrap_or_default()
}

/// Runs until all machines are in one view and have delivered the same state. Returns the time that this took in
/// nanoseconds, or `None` if it took too long.
fn run_until_caught_up(cluster: &mut Cluster) -> Option<u64> {
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

/// Injects the fault with this number at the machine with this index.
fn inject(cluster: &mut Cluster, fault: u64, index: usize) {
    match fault {
        0 => cluster.kill(index),
        1 => cluster.machines[index].suspended = true,
        2 => cluster.set_disk(index, Disk::Hanging),
        3 => cluster.set_disk(index, Disk::Full),
        4 => cluster.isolate(index),
        5 => cluster.restore_older_disk(index, 5),
        6 => {
            (0..cluster.machines.len()).for_each(|index| cluster.kill(index));
            cluster.heal();
        }
        _ => cluster.set_disk(index, Disk::Slow),
    }
}

fn run_changes(
    seed: u64,
    count: u8,
    fault_tolerance: usize,
    changes: u64,
    seeded_bug: Option<SeededBug>,
) -> Result<Measurements, String> {
    let mut cluster = Cluster::new(seed, count, 3, fault_tolerance, seeded_bug);
    cluster.state_bytes = 4_000;
    cluster.commits_within(4 * SUSPICION_TIMEOUT).ok_or("never founded")?;
    let mut measurements = Measurements::default();
    let (bytes, mut done) = (cluster.bytes, 0);
    while done < changes {
        let index = cluster.random.below(count as u64) as usize;
        let fault = done / 10 % 8;
        inject(&mut cluster, fault, index);
        for _ in 0..10 {
            cluster
                .commits_within(10 * SUSPICION_TIMEOUT)
                .ok_or_else(|| format!("no commit after {done} changes, fault {fault} at {index}"))?;
            done += 1;
        }
        cluster.heal();
        (0..count as usize).for_each(|index| cluster.restart(index));
        let took = run_until_caught_up(&mut cluster)
            .ok_or_else(|| format!("never caught up after {done} changes, fault {fault} at {index}"))?;
        // A healthy member restarts after every ten changes, too.
        let other = (index + 1) % count as usize;
        cluster.kill(other);
        cluster.restart(other);
        let again = run_until_caught_up(&mut cluster)
            .ok_or_else(|| format!("never caught up after a restart after {done} changes"))?;
        measurements.slowest_catch_up_ns = measurements.slowest_catch_up_ns.max(took).max(again);
        measurements.largest_disk_bytes = measurements.largest_disk_bytes.max(largest_disk_bytes(&cluster));
        if done <= 100 {
            measurements.disk_bytes_at_100 = largest_disk_bytes(&cluster);
            measurements.memory_chars_at_100 = largest_memory_chars(&cluster);
        }
        if let Some(violation) = &cluster.observed.violation {
            return Err(violation.clone());
        }
    }
    cluster.run_for(SUSPICION_TIMEOUT);
    measurements.disk_bytes_at_end = largest_disk_bytes(&cluster);
    measurements.memory_chars_at_end = largest_memory_chars(&cluster);
    measurements.changes = done;
    measurements.views = cluster.observed.views.len() as u64;
    measurements.bytes_per_change = (cluster.bytes - bytes) / done;
    Ok(measurements)
}

#[test_case::test_case(3, 1, 1000)]
#[test_case::test_case(5, 2, 300)]
fn given_hundreds_of_changes_when_members_fail_and_return_then_disks_stay_small_and_all_catch_up(
    count: u8,
    fault_tolerance: usize,
    changes: u64,
) {
    let measurements = run_changes(11, count, fault_tolerance, changes, None);
    println!("{count} members: {measurements:?}");
    let measurements = measurements.unwrap();
    assert!(measurements.views >= changes / 10, "{} views", measurements.views);
    // A disk holds a state of 4 KB, at most one accepted state, and members, view starts and known progress.
    assert!(
        measurements.largest_disk_bytes < 2 * 4_000 + 4_000,
        "{} bytes on disk",
        measurements.largest_disk_bytes
    );
    assert!(measurements.disk_bytes_at_end < measurements.disk_bytes_at_100 + 1_000);
    assert!(
        measurements.memory_chars_at_end < measurements.memory_chars_at_100 * 3 / 2,
        "{} characters",
        measurements.memory_chars_at_end
    );
    assert!(
        measurements.slowest_catch_up_ns <= 8 * SUSPICION_TIMEOUT,
        "{} ms",
        measurements.slowest_catch_up_ns / MS
    );
}

/// Outcome that a leader reports for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Committed,
    Rejected,
    Unknown,
}

/// Returns the outcome that a leader reports for a change in flight when it was isolated, after it returns `views`
/// views later. `reached` means that the others had received the change, so that it was committed.
fn outcome_after(seed: u64, views: u64, reached: bool, seeded_bug: Option<SeededBug>) -> Outcome {
    let mut cluster = Cluster::new(600 + seed, 3, 3, 1, seeded_bug);
    assert_matches!(cluster.commits_within(4 * SUSPICION_TIMEOUT), Some(_));
    cluster.run_for(300 * MS);
    let first = cluster.leader().unwrap();
    if reached {
        let change_id = cluster.propose().unwrap();
        // The change has been received, but no acknowledgement.
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
    // The two remaining members need each other; the view changes when a third machine joins and is dropped.
    let spare = cluster.add(addr(90), false);
    cluster.partition(first, spare);
    while (cluster.observed.views.len() as u64) < first_views + views {
        cluster.set_disk(spare, Disk::Full);
        cluster.commits_within(4 * SUSPICION_TIMEOUT).unwrap();
        cluster.run_for(200 * MS);
        cluster.set_disk(spare, Disk::Healthy);
        cluster.run_for(400 * MS);
    }
    assert_eq!(reported_outcome(&cluster, change_id), Outcome::Unknown);
    cluster.heal();
    cluster.run_for(6 * SUSPICION_TIMEOUT);
    assert_eq!(cluster.observed.violation, None);
    assert!(cluster.all_agree());
    reported_outcome(&cluster, change_id)
}

fn reported_outcome(cluster: &Cluster, change_id: u64) -> Outcome {
    let is_committed = cluster.observed.committed.contains_key(&change_id);
    match (is_committed, cluster.observed.rejected.contains(&change_id)) {
        (true, false) => Outcome::Committed,
        (false, true) => Outcome::Rejected,
        (false, false) => Outcome::Unknown,
        (true, true) => panic!("{change_id} is committed and rejected"),
    }
}

/// A replica keeps the starts of the last 32 views. If the start of the view after the change's own has been
/// discarded, it reports no outcome.
#[test_case::test_case(20, false, Outcome::Rejected; "not received, start kept")]
#[test_case::test_case(20, true, Outcome::Committed; "received, start kept")]
#[test_case::test_case(45, false, Outcome::Unknown; "not received, start discarded")]
#[test_case::test_case(45, true, Outcome::Unknown; "received, start discarded")]
fn given_a_change_unresolved_over_many_views_when_its_leader_returns_then_its_outcome_is_correct_or_unknown(
    views: u64,
    reached: bool,
    expected: Outcome,
) {
    for seed in 0..4 {
        assert_eq!(outcome_after(seed, views, reached, None), expected, "seed {seed}");
    }
}

#[test]
fn given_a_discarded_view_start_that_is_guessed_when_a_change_was_committed_then_the_bug_is_found() {
    let result = outcome_after(0, 45, true, Some(SeededBug::GuessForgottenViewStart));
    assert_eq!(result, Outcome::Rejected);
}
