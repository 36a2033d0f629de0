//! The register under the faults of a deployment, one by one and in random schedules.

mod common;

use assert_matches::assert_matches;
use common::*;
use fernknot::interface::Nanos;

fn founded(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 3, 3, 1, None);
    assert_matches!(fleet.goes_on(2_000 * MS), Some(_));
    fleet.play(300 * MS);
    assert!(fleet.agree());
    fleet
}

#[test]
fn given_three_empty_disks_when_started_then_one_view_of_all_takes_changes() {
    let mut fleet = founded(1);
    assert_eq!(fleet.members().len(), 3);
    assert_eq!(fleet.views.len(), 1);
    let (words, syncs) = (fleet.words, fleet.syncs);
    let took = fleet.goes_on(100 * MS).unwrap();
    println!("one change: {} ms, {} words and {} syncs", took / MS, fleet.words - words, fleet.syncs - syncs);
    assert_eq!(fleet.broken, None);
}

/// Goes on after a trouble that was within the losses to be borne.
fn settles(fleet: &mut Fleet, within: u64) -> u64 {
    let took = fleet.goes_on(within);
    assert_eq!(fleet.broken, None);
    let took = took.unwrap_or_else(|| panic!("nothing is taken any more: {:?}", fleet.members()));
    fleet.play(2 * SUSPECT);
    assert!(fleet.agree(), "not all in one view");
    assert_eq!(fleet.broken, None);
    took
}

#[test]
fn given_all_killed_when_they_return_then_the_last_view_is_found_from_disks_at_once() {
    let mut fleet = founded(2);
    let acknowledged = fleet.taken.len();
    (0..3).for_each(|at| fleet.kill(at));
    fleet.founders = vec![addr(77)]; // seeds that name others are no hindrance
    (0..3).for_each(|at| fleet.restart(at));
    let took = settles(&mut fleet, 300 * MS);
    println!("all killed: {} ms", took / MS);
    assert!(fleet.taken.len() > acknowledged);
}

#[test_case::test_case(0; "the sequencer")]
#[test_case::test_case(2; "another")]
fn given_one_killed_when_it_stays_away_then_it_is_dropped_and_let_in_again_later(at: usize) {
    let mut fleet = founded(3);
    fleet.kill(at);
    let took = fleet.goes_on(3 * SUSPECT).expect("goes on without it");
    println!("evicted in {} ms", took / MS);
    assert!(took < SUSPECT + PULSE + 60 * MS, "{took}");
    assert_eq!(fleet.members().len(), 2);
    fleet.restart(at);
    fleet.play(3 * PULSE);
    assert_eq!(fleet.members().len(), 3);
    settles(&mut fleet, 100 * MS);
}

#[test]
fn given_a_wiped_disk_after_an_ack_when_all_lose_power_then_the_ack_stands() {
    for at in 0..3 {
        let mut fleet = founded(4 + at as u64);
        let acknowledged = fleet.taken.len();
        fleet.wipe(at);
        (0..3).for_each(|other| fleet.kill(other));
        (0..3).for_each(|other| fleet.restart(other));
        settles(&mut fleet, 3 * SUSPECT);
        assert!(fleet.taken.len() > acknowledged);
        assert_eq!(fleet.members().len(), 3);
    }
}

#[test]
fn given_a_machine_replaced_at_another_address_when_old_is_gone_then_the_new_one_is_in() {
    let mut fleet = founded(8);
    fleet.kill(1);
    fleet.machines[1].addr = addr(200);
    let new = fleet.add(addr(9), false);
    fleet.play(3 * SUSPECT);
    let id = fleet.machines[new].id;
    assert!(fleet.members().contains(&id));
    assert_eq!(fleet.members().len(), 3);
    settles(&mut fleet, 100 * MS);
}

#[test_case::test_case(Disk::Hangs; "hangs")]
#[test_case::test_case(Disk::Full; "full")]
fn given_the_sequencers_disk_in_trouble_when_changes_come_then_another_sequences(disk: Disk) {
    let mut fleet = founded(9);
    let first = fleet.sequencer().unwrap();
    fleet.disk(first, disk);
    let took = fleet.goes_on(SUSPECT).expect("another sequences");
    println!("disk: {} ms", took / MS);
    assert_ne!(fleet.sequencer(), Some(first));
    fleet.disk(first, Disk::Well);
    fleet.play(4 * PULSE);
    assert_eq!(fleet.members().len(), 3);
    settles(&mut fleet, 100 * MS);
}

#[test]
fn given_a_frozen_member_when_it_wakes_then_it_claims_nothing_and_is_let_in_again() {
    let mut fleet = founded(10);
    let first = fleet.sequencer().unwrap();
    fleet.machines[first].frozen = true;
    fleet.goes_on(3 * SUSPECT).expect("goes on without it");
    let now = fernknot::interface::Nanos(fleet.now);
    assert!(!fleet.machines[first].views.as_ref().unwrap().has_lease(now));
    fleet.machines[first].frozen = false;
    fleet.play(5 * PULSE);
    assert_eq!(fleet.members().len(), 3);
    settles(&mut fleet, 100 * MS);
}

#[test]
fn given_a_one_way_cut_when_it_lasts_then_changes_go_on_and_it_settles_after() {
    for (from, to) in [(0, 1), (1, 0), (1, 2), (2, 0)] {
        let mut fleet = founded(11);
        fleet.cuts.insert((fleet.machines[from].addr, fleet.machines[to].addr));
        fleet.goes_on(4 * SUSPECT).expect("goes on");
        let views = fleet.views.len();
        fleet.play(10 * SUSPECT);
        let more = fleet.views.len() - views;
        assert!(more <= 2, "{more} more views under a lasting cut");
        fleet.heal();
        fleet.play(5 * PULSE);
        settles(&mut fleet, 200 * MS);
        assert_eq!(fleet.members().len(), 3);
    }
}

#[test]
fn given_five_machines_and_three_founders_when_started_then_all_five_are_in() {
    let mut fleet = Fleet::new(12, 5, 3, 1, None);
    fleet.play(2_000 * MS);
    assert_eq!(fleet.members().len(), 5);
    settles(&mut fleet, 100 * MS);
}

#[test_case::test_case(7, 3; "seven of which three may be lost")]
#[test_case::test_case(9, 4; "nine of which four may be lost")]
fn given_fewer_founders_than_a_change_needs_when_started_then_the_others_are_let_in_before_one_is_taken(
    machines: u8,
    losses: usize,
) {
    let mut fleet = Fleet::new(12, machines, 3, losses, None);
    // Their hosts tell them of each other.
    for at in 0..fleet.machines.len() {
        let others: Vec<_> = fleet.machines.iter().map(|machine| machine.addr).collect();
        let views = fleet.machines[at].views.as_mut().expect("it runs");
        others.into_iter().for_each(|other| views.add_address(Nanos(fleet.now), other));
        fleet.serve(at);
    }
    fleet.goes_on(8 * SUSPECT).expect("founded");
    fleet.play(4 * SUSPECT);
    assert_eq!((fleet.members().len(), &fleet.broken), (machines as usize, &None));
    settles(&mut fleet, 100 * MS);
}

#[test]
fn given_one_founder_late_when_started_then_the_others_found_the_view_without_it() {
    let mut fleet = Fleet::new(13, 3, 3, 1, None);
    fleet.kill(0);
    fleet.goes_on(3 * SUSPECT).expect("a majority founds");
    fleet.start(0, true);
    fleet.play(5 * PULSE);
    assert_eq!(fleet.members().len(), 3);
    settles(&mut fleet, 100 * MS);
}

#[test]
fn given_two_of_three_gone_when_changes_come_then_none_is_taken() {
    let mut fleet = founded(14);
    fleet.kill(1);
    fleet.kill(2);
    assert_eq!(fleet.goes_on(10 * SUSPECT), None);
    fleet.restart(1);
    settles(&mut fleet, 4 * SUSPECT);
}

#[test]
fn given_a_member_dropped_when_another_loses_its_disk_after_its_return_then_it_goes_on() {
    // The dropped one still votes: the view of two alone would never have a majority again.
    let mut fleet = founded(15);
    fleet.kill(2);
    fleet.goes_on(3 * SUSPECT).unwrap();
    assert_eq!(fleet.members().len(), 2);
    fleet.wipe(0);
    fleet.restart(2);
    fleet.restart(0);
    settles(&mut fleet, 6 * SUSPECT);
    assert_eq!(fleet.members().len(), 3);
}
