//! The datagrams of peer sampling: decodes those that come for the sampler, and encodes those that it sends.

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Action, PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use std::net::SocketAddrV4;

/// Descriptors that one datagram may bring; one with more is ignored.
const MAX_DESCRIPTORS: usize = 32;

/// One datagram of a shuffle.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShuffleDatagram {
    /// Whether it answers a shuffle of the receiver.
    pub is_reply: bool,
    /// Processes that the sender knows.
    pub sample: Vec<PeerDescriptor>,
}

/// A peer sampler and its datagrams. The host sends what it is given and hands in what came; nothing here waits.
pub struct ShuffleProtocol {
    sampler: PeerSampler,
}

impl ShuffleProtocol {
    /// Knows the seeds only. `own` describes this process, `period` is the time between two shuffles, and `seed` that of
    /// the random choices.
    pub fn new(own: PeerDescriptor, seeds: &[SocketAddrV4], period: Nanos, seed: u64) -> ShuffleProtocol {
        let sampler = PeerSampler::new(own, seeds, period, PeerSamplerSettings::default(), seed);
        ShuffleProtocol { sampler }
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.sampler.set_seeds(seeds);
    }

    /// A datagram came. Returns the reply to it, if it asks for one; what can't be decoded is ignored.
    pub fn handle_datagram(&mut self, now: Nanos, from: SocketAddrV4, bytes: &[u8]) -> Option<Vec<u8>> {
        let datagram: ShuffleDatagram = bitcode::decode(bytes).ok()?;
        if datagram.sample.len() > MAX_DESCRIPTORS {
            return None;
        }
        if datagram.is_reply {
            self.sampler.handle_shuffle_reply(now, from, &datagram.sample);
            return None;
        }
        let sample = self.sampler.handle_shuffle(now, from, &datagram.sample);
        Some(bitcode::encode(&ShuffleDatagram { is_reply: true, sample }))
    }

    /// The next datagram to be sent and its receiver, if one is due.
    pub fn poll_datagram(&mut self, now: Nanos) -> Option<(SocketAddrV4, Vec<u8>)> {
        let Action::Shuffle { to, sample } = self.sampler.poll_action(now)?;
        Some((to, bitcode::encode(&ShuffleDatagram { is_reply: false, sample })))
    }

    /// When [`poll_datagram`](ShuffleProtocol::poll_datagram) has to be called next; None where there is nobody to
    /// shuffle with.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.sampler.wakes_at()
    }

    /// Where a controller may answer: known ones, then every seed that was ever named.
    pub fn candidate_controllers(&self) -> Vec<SocketAddrV4> {
        self.sampler.controller_candidates()
    }

    /// The processes of a role that are known here.
    pub fn peers(&self, role: Role) -> Vec<SocketAddrV4> {
        self.sampler.peers(role, None).into_iter().map(|peer| peer.addr).collect()
    }
}
