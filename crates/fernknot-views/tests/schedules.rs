//! Random schedules of troubles, and breaks planted in the register that they must find.

mod common;

use common::*;
use fernknot_views::Plant;
use proptest::prelude::*;

fn trouble() -> impl Strategy<Value = Trouble> {
    let at = 0usize..8;
    prop_oneof![
        3 => at.clone().prop_map(Trouble::Kill),
        1 => Just(Trouble::KillAll),
        5 => at.clone().prop_map(Trouble::Restart),
        2 => (at.clone(), any::<bool>()).prop_map(|(at, all)| Trouble::Wipe(at, all)),
        1 => at.clone().prop_map(Trouble::Replace),
        2 => (at.clone(), at.clone()).prop_map(|(a, b)| Trouble::Cut(a, b)),
        2 => Just(Trouble::Mend),
        1 => at.clone().prop_map(Trouble::Freeze),
        2 => at.clone().prop_map(Trouble::Thaw),
        3 => (at, 0u8..3).prop_map(|(at, kind)| Trouble::Disk(at, kind)),
        1 => (0u64..200, 0u64..200, 0u64..300).prop_map(|(lose, double, late)| Trouble::Links(lose, double, late)),
        8 => Just(Trouble::Propose),
        8 => (1u64..1200).prop_map(Trouble::Play),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 30, failure_persistence: None, ..ProptestConfig::default() })]

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
fn found(plant: Plant) -> Option<u32> {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), random);
    let schedules = (any::<u64>(), proptest::collection::vec(trouble(), 1..60));
    (1..=400).find(|_| {
        let (seed, troubles) = schedules.new_tree(&mut runner).unwrap().current();
        Fleet::new(seed, 3, 3, 1, Some(plant)).schedule(&troubles).is_err()
    })
}

#[test_case::test_case(Plant::EmptyVotes)]
#[test_case::test_case(Plant::WordBeforeDisk)]
#[test_case::test_case(Plant::OneDisk)]
#[test_case::test_case(Plant::ForgetVouched)]
#[test_case::test_case(Plant::SequenceAgain)]
fn given_a_planted_break_when_schedules_are_played_then_it_is_found(plant: Plant) {
    let schedules = found(plant);
    println!("{plant:?}: found by schedule {schedules:?}");
    assert!(schedules.is_some());
}
