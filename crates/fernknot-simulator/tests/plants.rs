//! Breaks planted on purpose: each is found within a stated number of seeds.

use fernknot_consensus::SeededBug as Views;
use fernknot_controller::SeededBug as Own;
use fernknot_simulator::play::{SeededBug, Settings, simulate};
use std::ops::Range;
use test_case::test_case;

/// Whether any of these seeds shows the break among so many controllers.
fn is_found(plant: SeededBug, members: usize, beyond: bool, mut seeds: Range<u64>) -> bool {
    seeds.any(|seed| {
        let findings = simulate(&Settings {
            seeded_bug: Some(plant),
            exceeds_fault_budget: beyond,
            ..Settings::new(seed, members)
        })
        .violations;
        if let Some(finding) = findings.iter().find(|finding| finding.rule != "UNDECIDED") {
            println!("{plant:?}: seed {seed}, {}", finding.rule);
        }
        findings.iter().any(|finding| finding.rule != "UNDECIDED")
    })
}

#[test_case(SeededBug::DiskAcksEarly, 0..100; "a disk that says too early that it has stored")]
#[test_case(SeededBug::StaleDisk, 0..30; "an older copy of a folder")]
#[test_case(SeededBug::AcknowledgesUnclear, 0..10; "an unclear end told as a good one")]
#[test_case(SeededBug::StaleReads, 0..10; "a read from a store of old answers")]
#[test_case(SeededBug::RejectsRepeats, 0..10; "a refusal of what was acknowledged")]
#[test_case(SeededBug::WithholdsNodeUpdates, 0..10; "controllers that don't tell each other of nodes")]
#[test_case(SeededBug::SwapsResponses, 0..10; "an answer to another caller")]
#[test_case(SeededBug::ReplaysOldConfig, 0..10; "an older plan told as the newest")]
#[test_case(SeededBug::Controller(Own::AnswerFromLocalState), 0..10; "answers by own state")]
#[test_case(SeededBug::Controller(Own::ForgetHistoryEarly), 0..20; "refusals past a short history")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::CommitOnOneDisk)), 0..20; "one disk for all")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::LeadAgainAfterRestart)), 0..60; "a sequencer that goes on after its restart")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::ReadIndexIgnoresPendingChange)), 0..100; "reads of what was delivered")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::ReadIndexWithoutQuorum)), 140..400; "a confirmation without the others")]
fn given_a_break_when_seeds_within_the_budget_are_played_then_it_is_found(
    plant: SeededBug,
    seeds: Range<u64>,
) {
    assert!(is_found(plant, 3, false, seeds.clone()), "{plant:?} is not found in {seeds:?}");
}

/// Breaks of rules that bear more than the budget show soonest where more is lost. Each search begins near the first
/// seed that shows its break, so that it is short: docs/flume.md has the counts from 0.
#[test_case(SeededBug::Controller(Own::Consensus(Views::SendBeforePersist)), 20..200; "a word before the disk")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::EmptyDiskVotes)), 100..400; "an empty disk's vote")]
#[test_case(SeededBug::Controller(Own::Consensus(Views::ForgetAcceptedView)), 640..960; "a vouched view forgotten")]
#[test_case(SeededBug::Controller(Own::AcceptAnyIncarnation), 970..1300; "an answer to an earlier life")]
fn given_a_break_when_more_is_lost_than_the_budget_then_it_is_found(plant: SeededBug, seeds: Range<u64>) {
    assert!(is_found(plant, 3, true, seeds.clone()), "{plant:?} is not found in {seeds:?}");
}

/// Among three, a majority that goes on and one that is asked have too few voters between them; among five it shows.
#[test]
fn given_a_stopped_voters_confirmation_when_five_are_played_within_the_budget_then_it_is_found() {
    let plant = SeededBug::Controller(Own::Consensus(Views::ReadIndexDuringViewChange));
    assert!(is_found(plant, 5, false, 210..410));
}
