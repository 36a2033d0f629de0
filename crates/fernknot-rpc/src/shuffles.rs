//! The shuffling of partial views, as datagrams: what comes is taken in, and what is to be said comes back.

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Action, PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use std::net::SocketAddrV4;

/// Descriptors that one datagram may bring; more is refused.
const MAX_DESCRIPTORS: usize = 32;

/// One datagram of a shuffle.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShuffleDatagram {
    /// It answers one of ours.
    pub is_reply: bool,
    pub sample: Vec<PeerDescriptor>,
}

/// An overlay and its datagrams. The host sends what comes out and hands in what came; nothing here waits.
pub struct ShuffleProtocol {
    sampler: PeerSampler,
}

impl ShuffleProtocol {
    pub fn new(me: PeerDescriptor, seeds: &[SocketAddrV4], period: Nanos, seed: u64) -> ShuffleProtocol {
        ShuffleProtocol { sampler: PeerSampler::new(me, seeds, period, PeerSamplerSettings::default(), seed) }
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.sampler.set_seeds(seeds);
    }

    /// A datagram came. The answer to it, if it wants one; what cannot be read is passed over.
    pub fn handle_datagram(&mut self, now: Nanos, from: SocketAddrV4, bytes: &[u8]) -> Option<Vec<u8>> {
        let shuffle: ShuffleDatagram = bitcode::decode(bytes).ok()?;
        if shuffle.sample.len() > MAX_DESCRIPTORS {
            return None;
        }
        if shuffle.is_reply {
            self.sampler.handle_shuffle_reply(now, from, &shuffle.sample);
            return None;
        }
        let sample = self.sampler.handle_shuffle(now, from, &shuffle.sample);
        Some(bitcode::encode(&ShuffleDatagram { is_reply: true, sample }))
    }

    /// The next datagram to be sent, if one is due.
    pub fn poll_datagram(&mut self, now: Nanos) -> Option<(SocketAddrV4, Vec<u8>)> {
        let Action::Shuffle { to, sample } = self.sampler.poll_action(now)?;
        Some((to, bitcode::encode(&ShuffleDatagram { is_reply: false, sample })))
    }

    pub fn next_timeout(&self) -> Option<Nanos> {
        self.sampler.wakes_at()
    }

    /// Where a controller may answer: known ones, then every seed that was ever told.
    pub fn candidate_controllers(&self) -> Vec<SocketAddrV4> {
        self.sampler.controller_candidates()
    }

    /// Processes of a role that are known here.
    pub fn peers(&self, role: Role) -> Vec<SocketAddrV4> {
        self.sampler.peers(role, None).into_iter().map(|peer| peer.addr).collect()
    }
}
