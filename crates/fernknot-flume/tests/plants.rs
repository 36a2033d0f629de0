//! Breaks planted on purpose: each is found within a stated number of seeds.

use fernknot_flume::play::{Facts, Plant, play};
use fernknot_headworks::Plant as Own;
use fernknot_views::Plant as Views;
use test_case::test_case;

/// The first of so many seeds that shows the break.
fn first(plant: Plant, members: usize, seeds: u64) -> Option<(u64, &'static str)> {
    (0..seeds).find_map(|seed| {
        let outcome = play(&Facts { plant: Some(plant), ..Facts::new(seed, members) });
        outcome.findings.first().map(|finding| (seed, finding.rule))
    })
}

#[test_case(Plant::DiskAcksEarly, 10000)]
#[test_case(Plant::OldFolder, 10000)]
#[test_case(Plant::ClearsUnclear, 10000)]
#[test_case(Plant::StaleReads, 10000)]
#[test_case(Plant::RefusesRepeats, 10000)]
#[test_case(Plant::KeepsDrains, 10000)]
#[test_case(Plant::SwapsAnswers, 10000)]
#[test_case(Plant::GoesBack, 10000)]
#[test_case(Plant::Registrar(Own::OwnState), 10000)]
#[test_case(Plant::Registrar(Own::ForgetEarly), 10000)]
#[test_case(Plant::Registrar(Own::AnyLife), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::EmptyVotes)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::WordBeforeDisk)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::OneDisk)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::ForgetVouched)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::SequenceAgain)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::ConfirmAlone)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::ConfirmStopped)), 10000)]
#[test_case(Plant::Registrar(Own::Views(Views::ReadDelivered)), 10000)]
fn given_a_planted_break_when_seeds_are_played_then_it_is_found(plant: Plant, seeds: u64) {
    let found = first(plant, 3, seeds);
    println!("FIRST {plant:?} {found:?}");
    assert!(found.is_some(), "{plant:?} is not found in {seeds} seeds");
}
