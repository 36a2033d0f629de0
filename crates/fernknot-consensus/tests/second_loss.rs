//! A second loss right after the view has changed for the first one: at the moment from which the fleet says that it
//! bears another, and just before it.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::{Ineligibility, SeededBug, ViewStatus};

/// As many as started, of which so many disks may be lost at once.
fn founded(seed: u64, count: u8, losses: usize, plant: Option<SeededBug>) -> Fleet {
    let mut fleet = Fleet::new(seed, count, count.min(3), losses, plant);
    fleet.play(2 * SUSPECT);
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    fleet.play(300 * MS);
    assert_eq!(fleet.members().len(), count as usize);
    fleet
}

fn standing(fleet: &Fleet) -> Option<ViewStatus> {
    let at = fleet.sequencer()?;
    fleet.machines[at].views.as_ref().map(|views| views.status())
}

/// Plays until the newest view is in force and bears so many losses; false: it does not come to it.
fn bears(fleet: &mut Fleet, losses: usize, view: u64) -> bool {
    for step in 0..16 * SUSPECT / MS {
        if standing(fleet)
            .is_some_and(|it| it.active && it.number.0 > view && it.remaining_fault_tolerance >= losses)
        {
            return true;
        }
        if step % 25 == 0 {
            fleet.propose();
        }
        fleet.play(MS);
    }
    false
}

#[derive(Clone, Copy, Debug)]
enum First {
    /// The disk is emptied, and the machine comes back.
    Wiped,
    /// The machine is gone, and an empty one comes at another address.
    Replaced,
    /// It only stops, and comes back later.
    Away,
    /// It stops by order: its disk takes nothing more.
    Leaves,
    /// It comes back with an older copy of its disk.
    Older,
}

const FIRSTS: [First; 5] = [First::Wiped, First::Replaced, First::Away, First::Leaves, First::Older];

fn lose(fleet: &mut Fleet, first: First, at: usize) {
    match first {
        First::Wiped => {
            fleet.wipe(at);
            fleet.restart(at);
        }
        First::Replaced => _ = fleet.replace(at),
        First::Away => fleet.kill(at),
        First::Leaves => fleet.disk(at, Disk::Full),
        First::Older => {
            fleet.restore(at, 3);
            fleet.restart(at);
        }
    }
}

/// The first loss, then a second one `after` the fleet says that it bears it; all others lose power at that moment.
fn play(seed: u64, count: u8, losses: usize, plant: Option<SeededBug>) -> Result<(), String> {
    let mut fleet = founded(seed, count, losses, plant);
    let first = FIRSTS[seed as usize % FIRSTS.len()];
    let one = fleet.chance.draw(count as u64) as usize;
    let view = standing(&fleet).ok_or("no view")?.number.0;
    lose(&mut fleet, first, one);
    if matches!(first, First::Away | First::Leaves) {
        // Until it is back three bear nothing: it comes back once it has been left out.
        fleet.play(2 * SUSPECT);
        if standing(&fleet).is_none_or(|it| it.remaining_fault_tolerance + 1 > count as usize / 2) {
            return Err(format!("{first:?} of {one} is not counted: {:?}", standing(&fleet)));
        }
        fleet.disk(one, Disk::Well);
        fleet.restart(one);
    }
    if !bears(&mut fleet, 1, view) {
        return Err(format!("{first:?} of {one}: it never bears another: {:?}", standing(&fleet)));
    }
    let after = seed / FIRSTS.len() as u64 % 40;
    fleet.play(after * MS / 2);
    // Any other: first the one that sequences, as often as not.
    let mut two = fleet.chance.draw(fleet.machines.len() as u64) as usize;
    while two == one || fleet.machines[two].gone {
        two = (two + 1) % fleet.machines.len();
    }
    let all = fleet.chance.draw(2) == 0;
    fleet.wipe(two);
    if all {
        (0..fleet.machines.len()).for_each(|at| fleet.kill(at));
    }
    fleet.heal();
    let went_on = fleet.goes_on(12 * SUSPECT);
    fleet.play(4 * SUSPECT);
    if let Some(broken) = &fleet.broken {
        return Err(format!("{first:?} of {one}, then {two} after {after}/2 ms, all {all}: {broken}"));
    }
    if went_on.is_none() || !fleet.agree() || fleet.members().len() != count as usize {
        return Err(format!(
            "{first:?} of {one}, then {two} after {after}/2 ms, all {all}: {:?}",
            fleet.members()
        ));
    }
    Ok(())
}

#[test_case::test_case(3, 1, 120)]
#[test_case::test_case(5, 2, 30)]
#[test_case::test_case(5, 1, 20)]
#[test_case::test_case(9, 1, 6)]
fn given_a_loss_when_another_is_said_to_be_borne_and_comes_then_nothing_is_lost(
    count: u8,
    losses: usize,
    seeds: u64,
) {
    for seed in 0..seeds * more_seeds() {
        assert_eq!(play(seed, count, losses, None), Ok(()), "seed {seed}");
    }
}

/// Just before: the second one only stops, `after` the first, while the view may be changing; its disk comes back.
#[test_case::test_case(3, 1, 60)]
#[test_case::test_case(5, 2, 15)]
fn given_a_loss_when_another_stops_at_any_moment_of_the_repair_then_nothing_is_lost_once_it_is_back(
    count: u8,
    losses: usize,
    seeds: u64,
) {
    for seed in 0..seeds * more_seeds() {
        let mut fleet = founded(1000 + seed, count, losses, None);
        let first = FIRSTS[seed as usize % FIRSTS.len()];
        let one = fleet.chance.draw(count as u64) as usize;
        lose(&mut fleet, first, one);
        let steps = fleet.chance.draw(140);
        for _ in 0..steps {
            fleet.propose();
            fleet.play(5 * MS);
        }
        let two = (one + 1 + fleet.chance.draw(count as u64 - 1) as usize) % count as usize;
        fleet.kill(two);
        for _ in 0..fleet.chance.draw(400) {
            fleet.propose();
            fleet.play(5 * MS);
        }
        fleet.heal();
        assert_matches!(fleet.goes_on(12 * SUSPECT), Some(_), "seed {seed}: {first:?} of {one}, {two}");
        fleet.play(4 * SUSPECT);
        assert_eq!(fleet.broken, None, "seed {seed}: {first:?} of {one}, {two}");
        assert!(fleet.agree() && fleet.members().len() == count as usize, "seed {seed}");
    }
}

#[test]
fn given_a_joiner_that_counts_early_when_schedules_are_played_then_it_is_found() {
    let found = (0..200).find(|seed| play(*seed, 3, 1, Some(SeededBug::JoinerCountsWithoutState)).is_err());
    println!("JoinerCounts: found by seed {found:?}");
    assert!(found.is_some());
}

#[test]
fn given_one_that_is_out_when_it_is_asked_why_then_it_says_so_and_how_many_losses_are_borne() {
    let mut fleet = founded(7, 3, 1, None);
    assert_matches!(standing(&fleet), Some(it) if it.remaining_fault_tolerance == 1 && it.replicas.iter().all(|seat| seat.ineligibility.is_none()));
    fleet.kill(2);
    fleet.play(2 * SUSPECT);
    let it = standing(&fleet).unwrap();
    let out = it.replicas.iter().find(|seat| !seat.is_member).unwrap();
    assert!(out.is_voter && out.ineligibility == Some(Ineligibility::Unreachable));
    assert_eq!(it.remaining_fault_tolerance, 0);
    fleet.restart(2);
    fleet.play(SUSPECT);
    assert_eq!(standing(&fleet).unwrap().remaining_fault_tolerance, 1);
    fleet.disk(2, Disk::Hangs);
    fleet.play(SUSPECT);
    let it = standing(&fleet).unwrap();
    assert_matches!(it.replicas.iter().find(|seat| !seat.is_member), Some(seat) if seat.ineligibility == Some(Ineligibility::DiskUnhealthy));
    assert_eq!(it.remaining_fault_tolerance, 0);
}

#[test_case::test_case(1, 0, 0)]
#[test_case::test_case(2, 1, 0)]
#[test_case::test_case(3, 1, 1)]
#[test_case::test_case(4, 1, 1)]
#[test_case::test_case(5, 2, 2)]
#[test_case::test_case(9, 2, 4)]
fn given_a_fleet_of_any_size_when_all_is_well_then_it_bears_less_than_half(
    count: u8,
    losses: usize,
    borne: usize,
) {
    let fleet = founded(8, count, losses, None);
    assert_eq!(standing(&fleet).unwrap().remaining_fault_tolerance, borne);
}

#[test_case::test_case(3, 1)]
#[test_case::test_case(5, 2)]
#[test_case::test_case(9, 2)]
fn given_all_is_well_when_as_many_as_are_borne_are_lost_at_once_then_the_rest_goes_on(
    count: u8,
    losses: usize,
) {
    for seed in 0..10 {
        let mut fleet = founded(2000 + seed, count, losses, None);
        // An empty disk finds the others by its seeds: all of those that are named may be among the lost.
        fleet.founders = (1..=count).map(addr).collect();
        let borne = standing(&fleet).unwrap().remaining_fault_tolerance;
        fleet.propose();
        let after = fleet.chance.draw(10 * MS);
        fleet.play(after);
        (0..borne).for_each(|at| fleet.wipe((at + seed as usize) % count as usize));
        assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_), "seed {seed}");
        fleet.heal();
        fleet.play(4 * SUSPECT);
        assert_eq!(fleet.broken, None, "seed {seed}");
        assert!(fleet.agree() && fleet.members().len() == count as usize, "seed {seed}");
    }
}

#[test]
fn given_one_left_of_three_when_it_lives_on_alone_then_it_takes_nothing_and_bears_nothing() {
    let mut fleet = founded(9, 3, 1, None);
    (0..2).for_each(|at| fleet.kill(at));
    assert_eq!(fleet.goes_on(10 * SUSPECT), None);
    let it = fleet.machines[2].views.as_ref().unwrap().status();
    assert_eq!(it.remaining_fault_tolerance, 0);
}
