//! The shuffling of partial views, as datagrams: what comes is taken in, and what is to be said comes back.

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Descriptor, Order, Overlay, OverlayBounds, Role};
use std::net::SocketAddrV4;

/// Descriptors that one datagram may bring; more is refused.
const MOST: usize = 32;

/// One datagram of a shuffle.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Shuffle {
    /// It answers one of ours.
    pub answer: bool,
    pub sample: Vec<Descriptor>,
}

/// An overlay and its datagrams. The host sends what comes out and hands in what came; nothing here waits.
pub struct Shuffles {
    overlay: Overlay,
}

impl Shuffles {
    pub fn new(me: Descriptor, seeds: &[SocketAddrV4], period: Nanos, seed: u64) -> Shuffles {
        Shuffles { overlay: Overlay::new(me, seeds, period, OverlayBounds::default(), seed) }
    }

    /// The settings name other seeds now.
    pub fn seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.overlay.seeds(seeds);
    }

    /// A datagram came. The answer to it, if it wants one; what cannot be read is passed over.
    pub fn came(&mut self, now: Nanos, from: SocketAddrV4, bytes: &[u8]) -> Option<Vec<u8>> {
        let shuffle: Shuffle = bitcode::decode(bytes).ok()?;
        if shuffle.sample.len() > MOST {
            return None;
        }
        if shuffle.answer {
            self.overlay.answered(now, from, &shuffle.sample);
            return None;
        }
        let sample = self.overlay.heard(now, from, &shuffle.sample);
        Some(bitcode::encode(&Shuffle { answer: true, sample }))
    }

    /// The next datagram to be sent, if one is due.
    pub fn next(&mut self, now: Nanos) -> Option<(SocketAddrV4, Vec<u8>)> {
        let Order::Shuffle { to, sample } = self.overlay.next(now)?;
        Some((to, bitcode::encode(&Shuffle { answer: false, sample })))
    }

    pub fn wakes_at(&self) -> Option<Nanos> {
        self.overlay.wakes_at()
    }

    /// Where a registrar may answer: known ones, then every seed that was ever told.
    pub fn registrars(&self) -> Vec<SocketAddrV4> {
        self.overlay.where_registrars_may_be()
    }

    /// Processes of a role that are known here.
    pub fn peers(&self, role: Role) -> Vec<SocketAddrV4> {
        self.overlay.peers(role, None).into_iter().map(|peer| peer.addr).collect()
    }
}
