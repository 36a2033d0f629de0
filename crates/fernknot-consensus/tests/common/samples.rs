//! Values for the recorded encodings. No two fields of one type have the same value, so that fields that change
//! places are noticed.

use fernknot_consensus::{Ballot, Base, Mark, Member, MemberId, OrderNo, View, ViewNo, Vouched};
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
    View { no: ViewNo(number), members: vec![member(11), member(12)], absent: vec![member(13)] }
}

/// A view together with the places where the last views began.
pub fn base(number: u64) -> Base {
    let floors = vec![(ViewNo(number - 1), OrderNo(2100)), (ViewNo(number), OrderNo(2200))];
    Base { view: view(number), floors }
}

pub fn ballot(round: u64) -> Ballot {
    Ballot { round, id: MemberId(0x2000 + round) }
}

pub fn mark() -> Mark {
    Mark {
        promise: (ViewNo(301), ballot(302)),
        vouched: (ViewNo(303), ballot(304)),
        held: (ViewNo(305), OrderNo(306)),
    }
}

pub fn state(text: &str) -> Arc<[u8]> {
    Arc::from(text.as_bytes())
}

pub fn vouched(state: Option<Arc<[u8]>>) -> Vouched {
    Vouched { ballot: ballot(401), next: base(402), no: OrderNo(403), state }
}
