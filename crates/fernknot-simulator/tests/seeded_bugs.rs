//! Detection of seeded bugs: the checkers find each bug within the given range of seeds.

use fernknot_consensus::SeededBug as ConsensusBug;
use fernknot_controller::SeededBug as ControllerBug;
use fernknot_simulator::Rule;
use fernknot_simulator::run::simulate;
use fernknot_simulator::settings::{SeededBug, Settings};
use std::ops::Range;
use test_case::test_case;

/// Returns whether any of these seeds detects the bug in a system of `members` controllers.
fn is_detected(bug: SeededBug, members: usize, exceeds_fault_budget: bool, mut seeds: Range<u64>) -> bool {
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

#[test_case(SeededBug::DiskAcksEarly, 0..100; "disk acknowledges a write before it is stored")]
#[test_case(SeededBug::StaleDisk, 0..30; "process starts with an older copy of its disk")]
#[test_case(SeededBug::AcknowledgesUnclear, 0..10; "unclear response reported as success")]
#[test_case(SeededBug::StaleReads, 0..10; "read answered with an older response")]
#[test_case(SeededBug::RejectsRepeats, 0..10; "acknowledged change rejected when it is resent")]
#[test_case(SeededBug::WithholdsNodeUpdates, 0..10; "controllers do not forward node updates")]
#[test_case(SeededBug::SwapsResponses, 0..10; "response sent to another client")]
#[test_case(SeededBug::ReplaysOldConfig, 0..10; "older configuration sent as the newest")]
#[test_case(SeededBug::Controller(ControllerBug::AnswerFromLocalState), 0..10; "read answered from local state")]
#[test_case(SeededBug::Controller(ControllerBug::ForgetHistoryEarly), 0..20; "change history forgotten too early")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::CommitOnOneDisk)), 0..20; "commit on one disk")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::LeadAgainAfterRestart)), 0..60; "leader continues after its restart")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexIgnoresPendingChange)), 0..100; "read index ignores a pending change")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexWithoutQuorum)), 140..400; "read index without a quorum")]
fn given_a_seeded_bug_when_seeds_run_within_the_fault_budget_then_it_is_detected(
    bug: SeededBug,
    seeds: Range<u64>,
) {
    assert!(is_detected(bug, 3, false, seeds.clone()), "{bug:?} is not detected in {seeds:?}");
}

/// Bugs that violate safety rules, which must hold even if more machines are lost than the fault budget allows, are
/// detected sooner with more losses. Each range starts near the first seed that detects its bug, to keep the test
/// short; docs/simulator.md has the counts from seed 0.
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::SendBeforePersist)), 20..200; "message sent before its state is persisted")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::EmptyDiskVotes)), 100..400; "vote of a member with an empty disk")]
#[test_case(SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ForgetAcceptedView)), 640..960; "accepted view forgotten")]
#[test_case(SeededBug::Controller(ControllerBug::AcceptAnyIncarnation), 970..1300; "response to an earlier incarnation accepted")]
fn given_a_seeded_bug_when_losses_exceed_the_fault_budget_then_it_is_detected(
    bug: SeededBug,
    seeds: Range<u64>,
) {
    assert!(is_detected(bug, 3, true, seeds.clone()), "{bug:?} is not detected in {seeds:?}");
}

/// Runs five controllers: with three, the majority that continues and the one that confirms a read have too few voters
/// between them for the bug to show.
#[test]
fn given_read_confirmations_by_stopped_voters_when_five_controllers_run_then_the_bug_is_detected() {
    let bug = SeededBug::Controller(ControllerBug::Consensus(ConsensusBug::ReadIndexDuringViewChange));
    assert!(is_detected(bug, 5, false, 210..410));
}
