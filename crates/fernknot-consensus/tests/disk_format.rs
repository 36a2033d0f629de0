//! What a member keeps on disk is encoded as in earlier releases, so that their disks are read.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{
    AcceptedView, DurableProgress, MemberId, PersistentState, ProposalNumber, Revision, ViewNumber,
};
use fixtures::Fixtures;
use samples::{ballot, base, mark, state, vouched};

fn saved(vouched: Option<AcceptedView>) -> PersistentState {
    PersistentState {
        member_id: MemberId(801),
        chosen: base(802),
        prepared: ballot(803),
        accepted: vouched,
        state_view: ViewNumber(804),
        revision: Revision(805),
        state: state("state on disk"),
        known_progress: vec![(MemberId(806), mark()), (MemberId(807), DurableProgress::default())],
    }
}

/// What a disk holds before there is any view.
fn founding() -> PersistentState {
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
    fixtures.check("saved-with-accepted-view", &saved(Some(vouched(None))));
    fixtures.check("saved-with-accepted-state", &saved(Some(vouched(Some(state("accepted state"))))));
    fixtures.check("saved-before-the-first-view", &founding());
    fixtures.finish();
}
