//! Members that come back with an older copy of their own disk.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot_consensus::SeededBug;

fn founded(seed: u64, count: u8, losses: usize, plant: Option<SeededBug>) -> Fleet {
    let mut fleet = Fleet::new(seed, count, count, losses, plant);
    assert_matches!(fleet.goes_on(2_000 * MS), Some(_));
    fleet.play(300 * MS);
    for _ in 0..6 {
        assert_matches!(fleet.goes_on(200 * MS), Some(_));
    }
    fleet.play(300 * MS);
    fleet
}

/// The view of all without the last machine, which loses its reach and comes back later.
fn without_the_last(fleet: &mut Fleet) {
    let last = fleet.machines.len() - 1;
    fleet.cut_off(last);
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    for _ in 0..3 {
        assert_matches!(fleet.goes_on(200 * MS), Some(_));
    }
    fleet.play(200 * MS);
}

#[test]
fn given_an_older_copy_when_the_others_remember_more_then_it_is_a_new_member() {
    for at in 0..3 {
        for writes in 1..8 {
            let mut fleet = founded(100 + writes as u64, 3, 1, None);
            let (was, acknowledged) = (fleet.machines[at].id, fleet.taken.len());
            fleet.restore(at, writes);
            fleet.restart(at);
            assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
            fleet.play(2 * SUSPECT);
            assert_eq!(fleet.broken, None);
            assert_eq!(fleet.machines[at].renewed, vec![was], "machine {at}, {writes} writes back");
            assert_eq!(fleet.members().len(), 3);
            assert!(fleet.taken.len() > acknowledged);
        }
    }
}

#[test]
fn given_an_older_copy_when_all_lose_power_then_nothing_is_lost_and_all_go_on() {
    let mut known = 0;
    for seed in 0..40u64 {
        let (at, writes) = (seed as usize % 3, 1 + seed as usize % 7);
        let mut fleet = founded(200 + seed, 3, 1, None);
        fleet.restore(at, writes);
        (0..3).for_each(|other| fleet.kill(other));
        (0..3).for_each(|other| fleet.restart(other));
        assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_), "seed {seed}");
        fleet.play(2 * SUSPECT);
        assert_eq!(fleet.broken, None, "seed {seed}");
        assert_eq!(fleet.members().len(), 3);
        known += fleet.machines[at].renewed.len();
        if fleet.machines[at].renewed.is_empty() {
            println!("seed {seed}: {writes} write(s) back was not known");
        }
    }
    println!("all restarted: {known} of 40 older copies were known as such");
    // One write back may be one that nobody had heard of yet.
    assert!(known >= 34, "{known}");
}

#[test]
fn given_an_older_copy_of_five_when_most_of_the_others_restart_then_one_that_did_not_is_enough_to_know_it() {
    for seed in 0..20 * more_seeds() {
        let (at, writes) = (seed as usize % 5, 1 + seed as usize % 9);
        let mut fleet = founded(700 + seed, 5, 2, None);
        let was = fleet.machines[at].id;
        fleet.restore(at, writes);
        (1..4).for_each(|next| fleet.kill((at + next) % 5));
        (0..5).for_each(|other| fleet.restart(other));
        assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_), "seed {seed}");
        fleet.play(2 * SUSPECT);
        assert_eq!(fleet.machines[at].renewed, vec![was], "seed {seed}");
        assert_eq!((fleet.broken.clone(), fleet.members().len()), (None, 5), "seed {seed}");
    }
}

#[test]
fn given_two_losses_borne_when_one_disk_is_an_older_copy_and_another_empty_then_nothing_is_lost() {
    for seed in 0..20 * more_seeds() {
        let (at, writes) = (seed as usize % 5, 1 + seed as usize % 9);
        let mut fleet = founded(800 + seed, 5, 2, None);
        fleet.propose();
        let after = fleet.chance.draw(10 * MS);
        fleet.play(after);
        fleet.restore(at, writes);
        fleet.wipe((at + 1 + seed as usize % 4) % 5);
        if seed % 2 == 0 {
            (0..5).for_each(|other| fleet.kill(other));
        }
        (0..5).for_each(|other| fleet.restart(other));
        assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_), "seed {seed}");
        fleet.play(4 * SUSPECT);
        assert_eq!((fleet.broken.clone(), fleet.members().len()), (None, 5), "seed {seed}");
    }
}

/// Three disks lose some of what they had called synced, and all return. Whether they go on by themselves.
fn all_older(seed: u64, plant: Option<SeededBug>) -> (Fleet, bool) {
    let mut fleet = founded(900 + seed, 3, 1, plant);
    for at in 0..3 {
        let writes = fleet.chance.draw(6) as usize;
        fleet.restore(at, writes);
    }
    // What was on the lost writes may be lost; what is taken from here on may not.
    let newest =
        fleet.machines.iter().filter_map(|machine| machine.saved.as_ref()).map(|saved| saved.revision).max();
    fleet.taken.clear();
    fleet.states.retain(|no, _| Some(*no) <= newest.map(|newest| newest.0));
    (0..3).for_each(|at| fleet.restart(at));
    let goes_on = fleet.goes_on(6 * SUSPECT).is_some();
    (fleet, goes_on)
}

/// As many as say that a view was forced at their order.
fn force_anywhere(fleet: &mut Fleet) -> usize {
    let now = fernknot::interface::Nanos(fleet.now);
    let mut done = 0;
    for at in 0..fleet.machines.len() {
        done += fleet.machines[at].views.as_mut().unwrap().force_view(now, &[]).is_ok() as usize;
        fleet.serve(at);
    }
    done
}

#[test]
fn given_all_disks_older_than_was_said_when_all_return_then_none_is_given_up_before_an_operator_forces_a_view()
 {
    let (mut by_themselves, mut forced) = (0, 0);
    for seed in 0..60 * more_seeds() {
        let (mut fleet, goes_on) = all_older(seed, None);
        if goes_on {
            by_themselves += 1;
        } else {
            assert!(fleet.machines.iter().all(|machine| machine.renewed.is_empty()), "seed {seed}");
            assert_eq!(force_anywhere(&mut fleet), 1, "seed {seed}");
            assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_), "seed {seed}");
            forced += 1;
        }
        fleet.play(4 * SUSPECT);
        assert!(fleet.agree() && fleet.members().len() == 3, "seed {seed}: {:?}", fleet.members());
        assert_eq!(fleet.broken, None, "seed {seed}");
    }
    println!("all older: {by_themselves} went on by themselves, {forced} by an operator's order");
    assert!(by_themselves > 0 && forced > 0);
}

#[test]
fn given_older_copies_that_give_themselves_up_at_once_when_no_view_goes_on_then_it_is_found() {
    let lost = |seed: &u64| {
        let (fleet, goes_on) = all_older(*seed, Some(SeededBug::ResetOnFirstConflict));
        !goes_on && fleet.machines.iter().any(|machine| !machine.renewed.is_empty())
    };
    let found = (0..20).filter(lost).count();
    println!("GivesUpAtOnce: found by {found} of 20 seeds");
    assert!(found > 0);
}

/// One restarts while all others run: how long until a change is taken with it, and it has delivered it.
fn one_returns(seed: u64, plant: Option<SeededBug>) -> u64 {
    let mut fleet = founded(1500 + seed, 3, 1, plant);
    let at = seed as usize % 3;
    fleet.kill(at);
    fleet.restart(at);
    let begun = fleet.now;
    while fleet.now - begun < 4 * SUSPECT {
        fleet.goes_on(4 * SUSPECT).expect("goes on");
        if fleet.agree() && fleet.members().len() == 3 {
            return fleet.now - begun;
        }
    }
    panic!("seed {seed}: it does not come back")
}

#[test]
fn given_one_that_restarts_when_all_others_run_then_its_questions_cost_it_no_wait() {
    let sorted = |plant: Option<SeededBug>| {
        let mut took: Vec<u64> = (0..60).map(|seed| one_returns(seed, plant) / MS).collect();
        took.sort();
        took
    };
    let (asked, before) = (sorted(None), sorted(Some(SeededBug::OutdatedDiskVotes)));
    println!(
        "one returns: {} ms, {} at most; without questions {}, {}",
        asked[30], asked[59], before[30], before[59]
    );
    assert!(asked[30] <= before[30] + 20 && asked[59] <= before[59] + PULSE / MS, "{asked:?} {before:?}");
}

/// The view of the others begins, and acknowledges; then one of it comes back with the copy from before, and finds
/// only the one who wasn't there.
fn back_to_before_the_view(fleet: &mut Fleet) {
    let before = fleet.machines[1].copies.len();
    without_the_last(fleet);
    let writes = fleet.machines[1].copies.len() - before;
    fleet.restore(1, writes);
    let last = fleet.machines.len() - 1;
    (0..last).for_each(|at| fleet.kill(at));
    fleet.cuts.clear();
    // The one that was there all along is slower to return than the other two.
    fleet.restart(1);
    let delay = fleet.chance.draw(SUSPECT / 2);
    fleet.play(delay);
    fleet.heal();
    fleet.goes_on(8 * SUSPECT);
    fleet.play(2 * SUSPECT);
}

/// As before, but the one that was there all along never stopped, and is only out of reach for a while.
fn back_while_one_knows(fleet: &mut Fleet) {
    let before = fleet.machines[1].copies.len();
    without_the_last(fleet);
    let writes = fleet.machines[1].copies.len() - before;
    fleet.restore(1, writes);
    fleet.cuts.clear();
    fleet.cut_off(0);
    fleet.restart(1);
    let delay = fleet.chance.draw(SUSPECT / 2);
    fleet.play(delay);
    fleet.heal();
    fleet.goes_on(8 * SUSPECT);
    fleet.play(2 * SUSPECT);
}

#[test_case::test_case(back_to_before_the_view; "all restarted")]
#[test_case::test_case(back_while_one_knows; "one knows")]
fn given_a_copy_from_before_the_view_when_it_meets_one_who_missed_it_then_nothing_is_lost(
    moment: fn(&mut Fleet),
) {
    let play = |seed: u64, plant: Option<SeededBug>| {
        let mut fleet = founded(300 + seed, 3, 1, plant);
        moment(&mut fleet);
        let lost = fleet.broken.clone();
        let settled = fleet.agree() && fleet.members().len() == 3;
        lost.or_else(|| (!settled).then(|| format!("not settled: {:?}", fleet.members())))
    };
    let found = (0..20).filter_map(|seed| play(seed, Some(SeededBug::OutdatedDiskVotes))).collect::<Vec<_>>();
    println!("OldCopyVotes: found by {} of 20 seeds, such as {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    for seed in 0..60 * more_seeds() {
        assert_eq!(play(seed, None), None, "seed {seed}");
    }
}

/// All lose power in the middle of changes, and return together: how long it takes until a change is taken.
fn all_return(seed: u64, plant: Option<SeededBug>) -> u64 {
    let mut fleet = founded(500 + seed, 3, 1, plant);
    // What was not synced may be lost, and nothing that was vouched for.
    fleet.propose();
    let after = fleet.chance.draw(12 * MS);
    fleet.play(after);
    (0..3).for_each(|at| fleet.kill(at));
    (0..3).for_each(|at| fleet.restart(at));
    let took = fleet.goes_on(SUSPECT).expect("goes on");
    fleet.play(SUSPECT);
    assert!(fleet.machines.iter().all(|machine| machine.renewed.is_empty()), "seed {seed}");
    assert_eq!(fleet.broken, None);
    took
}

#[test]
fn given_good_disks_when_all_lose_power_then_none_gives_itself_up_and_all_go_on_at_once() {
    let sorted = |plant: Option<SeededBug>| {
        let mut took: Vec<u64> = (0..100).map(|seed| all_return(seed, plant) / MS).collect();
        took.sort();
        took
    };
    // Without the questions that a disk's past asks: as it was before there were any.
    let (asked, before) = (sorted(None), sorted(Some(SeededBug::OutdatedDiskVotes)));
    let told = |took: &[u64]| {
        format!("{} ms in the middle, {} of 90 in 100, {} at most", took[50], took[90], took[99])
    };
    println!("all return: {}; without questions {}", told(&asked), told(&before));
    assert!(asked[50] <= before[50] && asked[99] <= before[99] + 10, "{asked:?}");
}

#[test]
fn given_one_with_a_good_disk_when_the_only_other_that_could_know_is_silent_then_it_waits_for_it_first() {
    let mut fleet = founded(600, 3, 1, None);
    fleet.kill(0);
    fleet.kill(1);
    fleet.play(2 * SUSPECT);
    fleet.restart(1);
    fleet.play(SUSPECT - 50 * MS);
    assert_eq!(fleet.goes_on(MS), None);
    let took = fleet.goes_on(3 * SUSPECT).expect("goes on without the silent one");
    println!("one silent: {} ms", (took + SUSPECT - 50 * MS) / MS);
    assert_eq!(fleet.broken, None);
}
