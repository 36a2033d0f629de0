//! The state on disk is encoded as in earlier releases, so that their disks can be read.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{
    AcceptedView, DurableProgress, KnownProgress, MemberId, PersistentState, ProposalNumber, Revision,
    ViewNumber,
};
use fixtures::Fixtures;
use samples::{accepted_view, chosen_view, progress, proposal_number, state};

fn saved(accepted: Option<AcceptedView>) -> PersistentState {
    PersistentState {
        member_id: MemberId(801),
        chosen: chosen_view(802),
        prepared: proposal_number(803),
        accepted,
        state_view: ViewNumber(804),
        revision: Revision(805),
        state: state("state on disk"),
        known_progress: vec![
            KnownProgress { member: MemberId(806), progress: progress() },
            KnownProgress { member: MemberId(807), progress: DurableProgress::default() },
        ],
    }
}

/// Returns the state on disk before the first view.
fn before_first_view() -> PersistentState {
    PersistentState {
        member_id: MemberId(808),
        chosen: Default::default(),
        prepared: ProposalNumber::default(),
        accepted: None,
        state_view: ViewNumber(0),
        revision: Revision(0),
        state: state(""),
        known_progress: Vec::new(),
    }
}

#[test]
fn given_recorded_disks_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("disk_format.hex");
    fixtures.check("saved", &saved(None));
    fixtures.check("saved-with-accepted-view", &saved(Some(accepted_view(None))));
    fixtures.check("saved-with-accepted-state", &saved(Some(accepted_view(Some(state("accepted state"))))));
    fixtures.check("saved-before-the-first-view", &before_first_view());
    fixtures.finish();
}
