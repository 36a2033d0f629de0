//! Sample values for the recorded encodings. No two fields of one type have the same value, so that swapped fields are
//! detected.

use fernknot_consensus::{
    AcceptedView, ChosenView, DurableProgress, Member, MemberId, ProposalInView, ProposalNumber, Revision,
    StatePosition, View, ViewNumber, ViewStart,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// Returns a member whose fields are derived from `number`.
pub fn member(number: u8) -> Member {
    Member {
        id: MemberId(0x1000 + u64::from(number)),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, number), 7100 + u16::from(number)),
        zone: format!("zone-{number}"),
    }
}

/// Returns a view with members and former voters.
pub fn view(number: u64) -> View {
    View {
        number: ViewNumber(number),
        members: vec![member(11), member(12)],
        former_voters: vec![member(13)],
    }
}

/// Returns a chosen view with the starts of two views.
pub fn chosen_view(number: u64) -> ChosenView {
    let view_starts = vec![
        ViewStart { view: ViewNumber(number - 1), revision: Revision(2100) },
        ViewStart { view: ViewNumber(number), revision: Revision(2200) },
    ];
    ChosenView { view: view(number), view_starts }
}

pub fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber { term, proposer: MemberId(0x2000 + term) }
}

pub fn progress() -> DurableProgress {
    DurableProgress {
        prepared: ProposalInView { view: ViewNumber(301), proposal: proposal_number(302) },
        accepted: ProposalInView { view: ViewNumber(303), proposal: proposal_number(304) },
        state: StatePosition { view: ViewNumber(305), revision: Revision(306) },
    }
}

pub fn state(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

pub fn accepted_view(state: Option<Arc<[u8]>>) -> AcceptedView {
    AcceptedView { proposal: proposal_number(401), next: chosen_view(402), revision: Revision(403), state }
}
