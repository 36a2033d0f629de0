//! A thousand changes and a hundred changes of view, with members down, frozen, cut off, on full, slow and hanging
//! disks meanwhile, and restarted at every tenth.

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
    /// Letters of all that a register holds, written out.
    memory_at_100: usize,
    memory_at_end: usize,
    slowest_catch_up: u64,
    bytes: u64,
}

fn largest(fleet: &Fleet) -> usize {
    let sizes = fleet.machines.iter().filter_map(|machine| machine.saved.as_ref());
    sizes.map(|saved| bitcode::encode(saved).len()).max().unwrap_or_default()
}

fn most_held(fleet: &Fleet) -> usize {
    let views = fleet.machines.iter().filter_map(|machine| machine.views.as_ref());
    views.map(|views| format!("{views:?}").len()).max().unwrap_or_default()
}

/// How long it takes until all are in one view and have delivered the same.
fn catch_up(fleet: &mut Fleet) -> Option<u64> {
    let begun = fleet.now;
    let live = fleet.machines.iter().filter(|machine| !machine.gone).count();
    while fleet.now - begun < 16 * SUSPECT {
        if fleet.agree() && fleet.members().len() == live {
            return Some(fleet.now - begun);
        }
        fleet.play(5 * MS);
    }
    None
}

fn hundreds(
    seed: u64,
    count: u8,
    losses: usize,
    changes: u64,
    plant: Option<SeededBug>,
) -> Result<Figures, String> {
    let mut fleet = Fleet::new(seed, count, 3, losses, plant);
    fleet.state_bytes = 4_000;
    fleet.goes_on(4 * SUSPECT).ok_or("never founded")?;
    let mut figures = Figures::default();
    let (bytes, mut done) = (fleet.bytes, 0);
    while done < changes {
        let at = fleet.chance.draw(count as u64) as usize;
        let trouble = done / 10 % 8;
        match trouble {
            0 => fleet.kill(at),
            1 => fleet.machines[at].frozen = true,
            2 => fleet.disk(at, Disk::Hangs),
            3 => fleet.disk(at, Disk::Full),
            4 => fleet.cut_off(at),
            5 => fleet.restore(at, 5),
            6 => (0..count as usize).for_each(|at| fleet.kill(at)),
            _ => fleet.disk(at, Disk::Slow),
        }
        if trouble == 6 {
            fleet.heal();
        }
        for _ in 0..10 {
            fleet
                .goes_on(10 * SUSPECT)
                .ok_or_else(|| format!("stuck after {done} changes, {trouble} at {at}"))?;
            done += 1;
        }
        fleet.heal();
        (0..count as usize).for_each(|at| fleet.restart(at));
        let took =
            catch_up(&mut fleet).ok_or_else(|| format!("never caught up after {done}, {trouble} at {at}"))?;
        // Every tenth: one that is well restarts, too.
        let other = (at + 1) % count as usize;
        fleet.kill(other);
        fleet.restart(other);
        let again =
            catch_up(&mut fleet).ok_or_else(|| format!("never caught up after a restart at {done}"))?;
        figures.slowest_catch_up = figures.slowest_catch_up.max(took).max(again);
        figures.largest_disk = figures.largest_disk.max(largest(&fleet));
        if done <= 100 {
            figures.disk_at_100 = largest(&fleet);
            figures.memory_at_100 = most_held(&fleet);
        }
        if let Some(broken) = &fleet.broken {
            return Err(broken.clone());
        }
    }
    fleet.play(SUSPECT);
    figures.disk_at_end = largest(&fleet);
    figures.memory_at_end = most_held(&fleet);
    figures.changes = done;
    figures.views = fleet.views.len() as u64;
    figures.bytes = (fleet.bytes - bytes) / done;
    Ok(figures)
}

#[test_case::test_case(3, 1, 1000)]
#[test_case::test_case(5, 2, 300)]
fn given_hundreds_of_changes_when_members_come_and_go_then_disks_stay_small_and_all_catch_up(
    count: u8,
    losses: usize,
    changes: u64,
) {
    let figures = hundreds(11, count, losses, changes, None);
    println!("{count} members: {figures:?}");
    let figures = figures.unwrap();
    assert!(figures.views >= changes / 10, "{} views", figures.views);
    // A state of 4 KB, at most one more that was vouched for, members, floors and marks.
    assert!(figures.largest_disk < 2 * 4_000 + 4_000, "{} bytes on disk", figures.largest_disk);
    assert!(figures.disk_at_end < figures.disk_at_100 + 1_000);
    assert!(figures.memory_at_end < figures.memory_at_100 * 3 / 2, "{} letters held", figures.memory_at_end);
    assert!(figures.slowest_catch_up <= 8 * SUSPECT, "{} ms", figures.slowest_catch_up / MS);
}

/// A change under way when its sequencer is cut off, and what is said of it when that is back after so many views:
/// taken, refused or neither. `reached`: the others had heard of it, so it was taken in the end.
fn said_after(seed: u64, views: u64, reached: bool, plant: Option<SeededBug>) -> (bool, bool) {
    let mut fleet = Fleet::new(600 + seed, 3, 3, 1, plant);
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    fleet.play(300 * MS);
    let first = fleet.sequencer().unwrap();
    if reached {
        let proposal = fleet.propose().unwrap();
        // The change has arrived, no answer has.
        fleet.play(MS + MS * 6 / 10);
        assert!(!fleet.taken.contains_key(&proposal));
        fleet.drop_words();
        fleet.cut_off(first);
    } else {
        fleet.cut_off(first);
        fleet.propose().unwrap();
    }
    let proposal = fleet.proposals.len() as u64;
    fleet.goes_on(4 * SUSPECT).unwrap();
    let begun = fleet.views.len() as u64;
    // The two that are left can't lose each other: views change as a third machine comes and goes.
    let spare = fleet.add(addr(90), false);
    let (a, b) = (fleet.machines[first].addr, fleet.machines[spare].addr);
    fleet.cuts.extend([(a, b), (b, a)]);
    while (fleet.views.len() as u64) < begun + views {
        fleet.disk(spare, Disk::Full);
        fleet.goes_on(4 * SUSPECT).unwrap();
        fleet.play(200 * MS);
        fleet.disk(spare, Disk::Well);
        fleet.play(400 * MS);
    }
    assert!(!fleet.taken.contains_key(&proposal) && !fleet.refused.contains(&proposal));
    fleet.heal();
    fleet.play(6 * SUSPECT);
    assert_eq!(fleet.broken, None);
    assert!(fleet.agree());
    (fleet.taken.contains_key(&proposal), fleet.refused.contains(&proposal))
}

/// 32 views are remembered.
#[test_case::test_case(20, false, (false, true); "never reached, remembered")]
#[test_case::test_case(20, true, (true, false); "reached, remembered")]
#[test_case::test_case(45, false, (false, false); "never reached, forgotten")]
#[test_case::test_case(45, true, (false, false); "reached, forgotten")]
fn given_a_proposal_unclear_over_many_views_when_its_sequencer_is_back_then_its_end_is_right_or_none(
    views: u64,
    reached: bool,
    said: (bool, bool),
) {
    for seed in 0..4 {
        assert_eq!(said_after(seed, views, reached, None), said, "seed {seed}");
    }
}

#[test]
fn given_a_forgotten_floor_that_is_guessed_when_a_proposal_was_taken_then_it_is_found() {
    assert_eq!(said_after(0, 45, true, Some(SeededBug::GuessForgottenViewStart)), (false, true));
}
