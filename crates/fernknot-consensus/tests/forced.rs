//! A view by an operator's order, and what becomes of those who were said to be lost.

mod common;

use std::net::SocketAddrV4;

use assert_matches::assert_matches;
use common::*;
use fernknot::interface::Nanos;
use fernknot_consensus::{ForceViewError, SeededBug, ViewNumber};

fn founded(seed: u64, count: u8, losses: usize, plant: Option<SeededBug>) -> Fleet {
    let mut fleet = Fleet::new(seed, count, count.min(3), losses, plant);
    fleet.play(2 * SUSPECT);
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    fleet.play(300 * MS);
    fleet
}

fn force(fleet: &mut Fleet, at: usize, lost: &[usize]) -> Result<ViewNumber, ForceViewError> {
    let lost: Vec<SocketAddrV4> = lost.iter().map(|at| fleet.machines[*at].addr).collect();
    let now = Nanos(fleet.now);
    let end = fleet.machines[at].views.as_mut().unwrap().force_view(now, &lost);
    fleet.serve(at);
    end
}

#[test]
fn given_two_of_three_gone_when_a_view_is_forced_then_the_last_one_goes_on_with_new_disks() {
    let mut fleet = founded(1, 3, 1, None);
    let acknowledged = fleet.taken.len();
    let (new, _) = (fleet.replace(0), fleet.kill(1));
    fleet.machines[1].gone = true;
    fleet.play(3 * SUSPECT);
    assert_eq!(fleet.goes_on(SUSPECT), None);
    assert_matches!(force(&mut fleet, 2, &[0, 1]), Ok(_));
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    assert!(fleet.taken.len() > acknowledged);
    assert_eq!(fleet.members().len(), 2);
    assert!(fleet.members().contains(&fleet.machines[new].id));
    let another = fleet.add(addr(77), false);
    fleet.play(3 * SUSPECT);
    assert!(fleet.members().contains(&fleet.machines[another].id));
    assert_eq!(fleet.broken, None);
}

#[test]
fn given_three_of_five_gone_when_a_view_is_forced_then_both_that_are_left_are_in_it() {
    let mut fleet = founded(2, 5, 1, None);
    (0..3).for_each(|at| fleet.kill(at));
    (0..3).for_each(|at| fleet.machines[at].gone = true);
    fleet.play(3 * SUSPECT);
    let end = [force(&mut fleet, 3, &[0, 1, 2]), force(&mut fleet, 4, &[0, 1, 2])];
    // One of them holds as much and comes first: there it is done.
    assert_eq!(end.iter().filter(|end| end.is_ok()).count(), 1, "{end:?}");
    assert_matches!(fleet.goes_on(4 * SUSPECT), Some(_));
    assert_eq!(fleet.members().len(), 2);
    assert_eq!(fleet.broken, None);
}

#[test]
fn given_a_majority_or_doubt_when_a_view_is_to_be_forced_then_it_is_refused() {
    let mut fleet = founded(3, 3, 1, None);
    fleet.kill(0);
    fleet.play(2 * SUSPECT);
    assert_eq!(force(&mut fleet, 1, &[0]), Err(ForceViewError::MajorityReachable));
    assert_eq!(force(&mut fleet, 1, &[0, 2]), Err(ForceViewError::LostMemberReachable(addr(3))));
    fleet.kill(2);
    fleet.play(2 * SUSPECT);
    assert_eq!(force(&mut fleet, 1, &[0]), Err(ForceViewError::UnreachableNotNamed(addr(3))));
    fleet.kill(1);
    fleet.restart(1);
    assert_eq!(force(&mut fleet, 1, &[0, 2]), Err(ForceViewError::StillListening));
    fleet.play(2 * SUSPECT);
    assert_matches!(force(&mut fleet, 1, &[0, 2]), Ok(_));
    let empty = fleet.add(addr(50), false);
    assert_eq!(force(&mut fleet, empty, &[0, 2]), Err(ForceViewError::NoState));
}

/// The others were only cut off, and changed views and states meanwhile; then all meet.
fn the_others_come_back(seed: u64, plant: Option<SeededBug>) -> Fleet {
    let mut fleet = founded(100 + seed, 3, 1, plant);
    fleet.cut_off(2);
    fleet.play(3 * SUSPECT);
    assert_matches!(force(&mut fleet, 2, &[0, 1]), Ok(_));
    fleet.play(seed % 7 * 100 * MS);
    let new = fleet.add(addr(60), false);
    for at in [0, 1] {
        let (a, b) = (fleet.machines[at].addr, fleet.machines[new].addr);
        fleet.cuts.extend([(a, b), (b, a)]);
    }
    // Both sides go on: that is what the operator has sworn can't be.
    for _ in 0..seed % 5 * 10 {
        fleet.propose();
        fleet.play(30 * MS);
    }
    fleet
}

#[test]
fn given_a_forced_view_when_the_old_majority_returns_then_it_comes_back_as_new_members_only() {
    for seed in 0..60 * more_seeds() {
        let mut fleet = the_others_come_back(seed, None);
        let old = [fleet.machines[0].id, fleet.machines[1].id];
        if seed % 2 == 0 {
            // They may also return from their disks.
            [0, 1].iter().for_each(|at| fleet.kill(*at));
        }
        fleet.heal();
        // Until they hear of it, the old ones may go on.
        fleet.play(2 * PULSE);
        // What the old ones took meanwhile is lost by the operator's word: numbers tell both apart.
        let era = 1u64 << 32;
        fleet.states.retain(|no, _| *no >= era);
        fleet.taken.retain(|_, no| no.0 >= era);
        assert_matches!(fleet.goes_on(8 * SUSPECT), Some(_), "seed {seed}");
        fleet.play(6 * SUSPECT);
        assert_eq!(fleet.broken, None, "seed {seed}");
        assert!(fleet.agree() && fleet.members().len() == 4, "seed {seed}: {:?}", fleet.members());
        assert!(old.iter().all(|id| !fleet.members().contains(id)));
        for at in [0, 1] {
            assert_eq!(fleet.machines[at].renewed, vec![old[at]], "seed {seed}");
        }
        assert!(fleet.machines[2].renewed.is_empty());
        // What is taken from here on is above all that the old ones ever took.
        let last = fleet.taken.len();
        assert_matches!(fleet.goes_on(SUSPECT), Some(_));
        assert!(fleet.taken.values().max().unwrap().0 >= era && fleet.taken.len() > last);
    }
}

#[test]
fn given_a_forced_view_without_its_fence_when_the_old_majority_returns_then_it_is_found() {
    let broken = |seed: &u64| {
        let mut fleet = the_others_come_back(*seed, Some(SeededBug::UnfencedForcedView));
        fleet.heal();
        fleet.goes_on(8 * SUSPECT);
        fleet.play(4 * SUSPECT);
        fleet.broken.is_some()
    };
    let found = (0..20).filter(broken).count();
    println!("UnfencedForce: found by {found} of 20 seeds");
    assert!(found > 0);
}

#[test]
fn given_a_forced_view_when_its_only_member_loses_power_then_it_is_there_or_it_never_was() {
    for seed in 0..40 * more_seeds() {
        let mut fleet = founded(200 + seed, 3, 1, None);
        (0..2).for_each(|at| fleet.kill(at));
        fleet.play(3 * SUSPECT);
        assert_matches!(force(&mut fleet, 2, &[0, 1]), Ok(_));
        let after = fleet.chance.draw(8 * MS);
        fleet.play(after);
        fleet.kill(2);
        fleet.restart(2);
        fleet.play(3 * SUSPECT);
        // Where the order was lost with the power, it is given again.
        let _ = force(&mut fleet, 2, &[0, 1]);
        fleet.add(addr(60), false);
        assert_matches!(fleet.goes_on(8 * SUSPECT), Some(_), "seed {seed}");
        assert_eq!(fleet.broken, None);
    }
}
