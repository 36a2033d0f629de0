//! What a member keeps on disk is encoded as in earlier releases, so that their disks are read.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{Ballot, Mark, MemberId, OrderNo, Saved, ViewNo, Vouched};
use fixtures::Fixtures;
use samples::{ballot, base, mark, state, vouched};

fn saved(vouched: Option<Vouched>) -> Saved {
    Saved {
        me: MemberId(801),
        base: base(802),
        promise: ballot(803),
        vouched,
        held: ViewNo(804),
        no: OrderNo(805),
        state: state("state on disk"),
        marks: vec![(MemberId(806), mark()), (MemberId(807), Mark::default())],
    }
}

/// What a disk holds before there is any view.
fn founding() -> Saved {
    Saved {
        me: MemberId(808),
        base: Default::default(),
        promise: Ballot::default(),
        vouched: None,
        held: ViewNo(0),
        no: OrderNo(0),
        state: state(""),
        marks: Vec::new(),
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
