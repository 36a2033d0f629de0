//! Values for the recorded encodings. No two fields of one type have the same value, so that fields that change
//! places are noticed.

use fernknot_consensus::{
    AcceptedView, ChosenView, DurableProgress, Member, MemberId, ProposalNumber, Revision, View, ViewNumber,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// A member whose parts all follow from `number`.
pub fn member(number: u8) -> Member {
    Member {
        id: MemberId(0x1000 + u64::from(number)),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, number), 7100 + u16::from(number)),
        zone: format!("zone-{number}"),
    }
}

/// A view with members and absent ones.
pub fn view(number: u64) -> View {
    View {
        number: ViewNumber(number),
        members: vec![member(11), member(12)],
        former_voters: vec![member(13)],
    }
}

/// A view together with the places where the last views began.
pub fn base(number: u64) -> ChosenView {
    let floors = vec![(ViewNumber(number - 1), Revision(2100)), (ViewNumber(number), Revision(2200))];
    ChosenView { view: view(number), view_starts: floors }
}

pub fn ballot(round: u64) -> ProposalNumber {
    ProposalNumber { term: round, proposer: MemberId(0x2000 + round) }
}

pub fn mark() -> DurableProgress {
    DurableProgress {
        prepared: (ViewNumber(301), ballot(302)),
        accepted: (ViewNumber(303), ballot(304)),
        state: (ViewNumber(305), Revision(306)),
    }
}

pub fn state(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

pub fn vouched(state: Option<Arc<[u8]>>) -> AcceptedView {
    AcceptedView { proposal: ballot(401), next: base(402), revision: Revision(403), state }
}
