//! Random schedules of troubles, and breaks planted in the register that they must find.

mod common;

use common::*;
use fernknot_consensus::SeededBug;
use proptest::prelude::*;

fn trouble() -> impl Strategy<Value = Trouble> {
    let at = 0usize..8;
    prop_oneof![
        3 => at.clone().prop_map(Trouble::Kill),
        1 => Just(Trouble::KillAll),
        5 => at.clone().prop_map(Trouble::Restart),
        2 => (at.clone(), any::<bool>()).prop_map(|(at, all)| Trouble::Wipe(at, all)),
        1 => at.clone().prop_map(Trouble::Replace),
        2 => (at.clone(), 1usize..40, any::<bool>()).prop_map(|(at, writes, all)| Trouble::Restore(at, writes, all)),
        2 => (at.clone(), at.clone()).prop_map(|(a, b)| Trouble::Cut(a, b)),
        2 => Just(Trouble::Mend),
        1 => at.clone().prop_map(Trouble::Freeze),
        2 => at.clone().prop_map(Trouble::Thaw),
        3 => (at, 0u8..3).prop_map(|(at, kind)| Trouble::Disk(at, kind)),
        1 => (0u64..200, 0u64..200, 0u64..300).prop_map(|(lose, double, late)| Trouble::Links(lose, double, late)),
        8 => Just(Trouble::Propose),
        4 => Just(Trouble::Ask),
        8 => (1u64..1200).prop_map(Trouble::Play),
    ]
}

/// 48 schedules, or as many as PROPTEST_CASES tells.
fn runs() -> ProptestConfig {
    let told =
        ProptestConfig { max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { told.cases } else { 48 };
    ProptestConfig { cases, ..told }
}

proptest! {
    #![proptest_config(runs())]

    #[test]
    fn given_random_troubles_when_they_end_then_nothing_acknowledged_is_lost_and_all_go_on(
        seed in any::<u64>(),
        machines in 3u8..=5,
        troubles in proptest::collection::vec(trouble(), 1..60),
    ) {
        let mut fleet = Fleet::new(seed, machines, 3, 1, None);
        let end = fleet.schedule(&troubles);
        prop_assert!(end.is_ok(), "{:?}", end);
    }
}

/// How many random schedules it takes to find the break.
fn found(plant: SeededBug) -> Option<u32> {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), random);
    let schedules = (any::<u64>(), proptest::collection::vec(trouble(), 1..60));
    (1..=100).find(|_| {
        let (seed, troubles) = schedules.new_tree(&mut runner).unwrap().current();
        Fleet::new(seed, 3, 3, 1, Some(plant)).schedule(&troubles).is_err()
    })
}

#[test_case::test_case(SeededBug::LeadAgainAfterRestart; "goes on after a restart")]
#[test_case::test_case(SeededBug::ReadIndexIgnoresPendingChange; "waits for nothing stored")]
fn given_a_planted_break_when_schedules_are_played_then_it_is_found(plant: SeededBug) {
    let schedules = found(plant);
    println!("{plant:?}: found by schedule {schedules:?}");
    assert!(schedules.is_some());
}

/// The first is wiped after what it acknowledged, and the others lose power.
fn ack_on_too_few(fleet: &mut Fleet) {
    for at in [1, 2] {
        fleet.disk(at, Disk::Hangs);
    }
    fleet.propose();
    fleet.play(20 * MS);
    fleet.wipe(0);
    for at in [1, 2] {
        fleet.kill(at);
    }
    fleet.heal();
    fleet.goes_on(8 * SUSPECT);
}

/// A view of the first two; then the third, which has not heard of it, and the first one's new disk.
fn an_empty_disk_and_one_left_out(fleet: &mut Fleet) {
    fleet.cut_off(2);
    fleet.goes_on(4 * SUSPECT);
    fleet.wipe(0);
    fleet.cuts.clear();
    fleet.cut_off(1);
    fleet.restart(0);
    fleet.goes_on(12 * SUSPECT);
}

/// The first has entered the next view and vanishes before the second has heard that it is chosen.
fn chosen_and_gone(fleet: &mut Fleet) {
    fleet.cut_off(2);
    let number = |fleet: &Fleet, at: usize| {
        fleet.machines[at].views.as_ref().and_then(|views| views.view()).map(|view| view.number)
    };
    for _ in 0..20_000 {
        fleet.play(MS / 10);
        if number(fleet, 0) != number(fleet, 1) {
            break;
        }
    }
    fleet.cuts.clear();
    fleet.cut_off(0);
    fleet.drop_words();
    fleet.goes_on(12 * SUSPECT);
}

/// The first is cut off, the others go on, and all are asked.
fn cut_off_and_asked(fleet: &mut Fleet) {
    fleet.cut_off(0);
    fleet.play(3 * SUSPECT);
    fleet.propose_at(1);
    fleet.play(PULSE);
    fleet.ask();
    fleet.play(PULSE);
}

/// Of five, the third and the fourth go on as a view by the vote of the fifth, which is not in it, has stopped, and
/// has not heard that the view was chosen. Now it hears only the first two, who ask.
fn stopped_and_asked(fleet: &mut Fleet) {
    let cut = |fleet: &mut Fleet, pairs: &[(usize, usize)]| {
        for (a, b) in pairs {
            let (a, b) = (fleet.machines[*a].addr, fleet.machines[*b].addr);
            fleet.cuts.extend([(a, b), (b, a)]);
        }
    };
    let halves = [(0, 2), (0, 3), (1, 2), (1, 3)];
    cut(fleet, &halves);
    cut(fleet, &[(0, 4), (1, 4), (2, 4)]);
    let view =
        |fleet: &Fleet| fleet.machines[3].views.as_ref().and_then(|v| v.view()).map(|view| view.number);
    let before = view(fleet);
    for _ in 0..40_000 {
        fleet.play(MS / 10);
        if view(fleet) != before {
            break;
        }
    }
    fleet.drop_words();
    fleet.cuts.clear();
    cut(fleet, &halves);
    cut(fleet, &[(2, 4), (3, 4)]);
    for _ in 0..20 {
        [2, 3].iter().for_each(|at| _ = fleet.propose_at(*at));
        fleet.play(PULSE / 10);
        fleet.ask();
    }
}

/// The third was left out, comes back, misses that the view with it is chosen, and gets the whole of it with a change
/// under way that another has not answered to: of the view it has delivered nothing. All were asked before.
fn back_with_a_change_under_way(fleet: &mut Fleet) {
    fleet.cut_off(2);
    fleet.play(3 * SUSPECT);
    for _ in 0..3 {
        fleet.propose_at(0);
        fleet.play(PULSE);
    }
    fleet.cuts.clear();
    let view =
        |fleet: &Fleet| fleet.machines[0].views.as_ref().and_then(|v| v.view()).map(|view| view.number);
    let before = view(fleet);
    for _ in 0..40_000 {
        fleet.play(MS / 10);
        if view(fleet) != before {
            break;
        }
    }
    let third = fleet.machines[2].addr;
    fleet.drop_words();
    fleet.cuts = [0, 1].iter().map(|at| (fleet.machines[*at].addr, third)).collect();
    fleet.play(20 * MS);
    fleet.cuts.insert((fleet.machines[1].addr, fleet.machines[0].addr));
    fleet.propose_at(0);
    fleet.ask();
    fleet.play(5 * MS);
    fleet.cuts = [(fleet.machines[1].addr, fleet.machines[0].addr)].into();
    fleet.play(2 * PULSE);
}

#[test_case::test_case(SeededBug::ReadIndexBelowViewStart, 3, back_with_a_change_under_way)]
#[test_case::test_case(SeededBug::ReadIndexWithoutQuorum, 3, cut_off_and_asked)]
#[test_case::test_case(SeededBug::ReadIndexDuringViewChange, 5, stopped_and_asked)]
#[test_case::test_case(SeededBug::CommitOnOneDisk, 3, ack_on_too_few)]
#[test_case::test_case(SeededBug::SendBeforePersist, 3, ack_on_too_few)]
#[test_case::test_case(SeededBug::EmptyDiskVotes, 3, an_empty_disk_and_one_left_out)]
#[test_case::test_case(SeededBug::ForgetAcceptedView, 3, chosen_and_gone)]
fn given_a_planted_break_when_its_moment_is_played_then_only_it_is_found(
    plant: SeededBug,
    machines: u8,
    moment: fn(&mut Fleet),
) {
    let play = |seed: u64, plant: Option<SeededBug>| {
        let mut fleet = Fleet::new(seed, machines, machines, 1, plant);
        fleet.goes_on(4 * SUSPECT);
        fleet.play(300 * MS);
        moment(&mut fleet);
        fleet.play(SUSPECT);
        fleet.broken
    };
    let seeds = 1..12u64;
    let found: Vec<String> = seeds.clone().filter_map(|seed| play(seed, Some(plant))).collect();
    println!("{plant:?}: {} of 11, such as {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    for seed in seeds {
        assert_eq!(play(seed, None), None);
    }
}
