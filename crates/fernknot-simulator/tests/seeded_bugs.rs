//! Bugs seeded on purpose: each is found within a stated number of seeds.

use fernknot_consensus::SeededBug as ConsensusBug;
use fernknot_controller::SeededBug as ControllerBug;
use fernknot_simulator::Rule;
use fernknot_simulator::run::simulate;
use fernknot_simulator::settings::{SeededBug, Settings};
use std::ops::Range;
use test_case::test_case;

/// Whether any of these seeds shows the bug among so many controllers.
fn is_found(bug: SeededBug, members: usize, exceeds_fault_budget: bool, mut seeds: Range<u64>) -> bool {
    seeds.any(|seed| {
        let violations = simulate(&Settings {
            seeded_bug: Some(bug),
            exceeds_fault_budget,
            ..Settings::new(seed, members)
        })
        .violations;
        if let Some(violation) = violations.iter().find(|violation| violation.rule != Rule::Undecided) {
            println!("{bug:?}: seed {seed}, {}", violation.rule);
        }
        violations.iter().any(|violation| violation.rule != Rule::Undecided)
    })
}

#[test_case(SeededBug::DiskAcksEarly, 0..100; "a disk that acknowledges a write too early")]
#[test_case(SeededBug::StaleDisk, 0..30; "an older copy of a disk")]
#[test_case(SeededBug::AcknowledgesUnclear, 0..10; "an unclear end reported as success")]
#[test_case(SeededBug::StaleReads, 0..10; "a read from a store of old responses")]
#[test_case(SeededBug::RejectsRepeats, 0..10; "a rejection of what was acknowledged")]
#[test_case(SeededBug::WithholdsNodeUpdates, 0..10; "controllers that withhold node updates")]
#[test_case(SeededBug::SwapsResponses, 0..10; "a response to another client")]
#[test_case(SeededBug::ReplaysOldConfig, 0..10; "an older configuration sent as the newest")]
#[test_case(SeededBug::Controller(ControllerBug::AnswerFromLocalState), 0..10; "responses by local state")]
#[test_case(SeededBug::Controller(ControllerBug::ForgetHistoryEarly), 0..20; "rejections past a short history")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::CommitOnOneDisk)), 0..20; "one disk for all")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::LeadAgainAfterRestart)), 0..60; "a leader that goes on after its restart")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexIgnoresPendingChange)), 0..100; "reads of what was delivered")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexWithoutQuorum)), 140..400; "a confirmation without the others")]
fn given_a_seeded_bug_when_seeds_run_within_the_budget_then_it_is_found(bug: SeededBug, seeds: Range<u64>) {
    assert!(is_found(bug, 3, false, seeds.clone()), "{bug:?} is not found in {seeds:?}");
}

/// Bugs in rules that bear more than the budget show soonest where more is lost. Each search begins near the first
/// seed that shows its bug, so that it is short: docs/simulator.md has the counts from 0.
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::SendBeforePersist)), 20..200; "a message before the write")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::EmptyDiskVotes)), 100..400; "an empty disk's vote")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ForgetAcceptedView)), 640..960; "an accepted view forgotten")]
#[test_case(SeededBug::Controller(ControllerBug::AcceptAnyIncarnation), 970..1300; "a response to an earlier incarnation")]
fn given_a_seeded_bug_when_more_is_lost_than_the_budget_then_it_is_found(bug: SeededBug, seeds: Range<u64>) {
    assert!(is_found(bug, 3, true, seeds.clone()), "{bug:?} is not found in {seeds:?}");
}

/// Among three, a majority that goes on and one that is asked have too few voters between them; among five it shows.
#[test]
fn given_a_stopped_voters_confirmation_when_five_run_within_the_budget_then_it_is_found() {
    let bug = SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexDuringViewChange));
    assert!(is_found(bug, 5, false, 210..410));
}
