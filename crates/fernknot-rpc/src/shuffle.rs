//! Datagrams of peer sampling, in which each process periodically sends another one a sample of the processes that it
//! knows and gets one in return: decodes the received ones for the sampler, and encodes the ones it sends.

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Action, PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use std::net::SocketAddrV4;

/// Maximum number of descriptors in a datagram; a datagram with more is ignored.
const MAX_DESCRIPTORS: usize = 32;

/// Datagram of a shuffle, one exchange of samples between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ShuffleDatagram {
    /// Whether the datagram replies to a shuffle of the receiver.
    pub is_reply: bool,
    /// Descriptors of processes that the sender knows.
    pub sample: Vec<PeerDescriptor>,
}

/// Peer sampler with its wire encoding. The host sends the returned datagrams and passes in the received ones; no call
/// blocks.
pub struct ShuffleProtocol {
    sampler: PeerSampler,
}

impl ShuffleProtocol {
    /// Creates a sampler that knows only the seeds. `own` describes this process, `period` is the time between two
    /// shuffles, and `seed` initialises the random number generator.
    pub fn new(own: PeerDescriptor, seeds: &[SocketAddrV4], period: Nanos, seed: u64) -> ShuffleProtocol {
        let sampler = PeerSampler::new(own, seeds, period, PeerSamplerSettings::default(), seed);
        ShuffleProtocol { sampler }
    }

    /// Replaces the seeds, the addresses of controllers in the settings, after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.sampler.set_seeds(seeds);
    }

    /// Handles a received datagram. Returns the reply if the datagram requests one; a datagram that cannot be decoded
    /// is ignored.
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

    /// Returns the next datagram to send and its receiver, if one is due.
    pub fn poll_datagram(&mut self, now: Nanos) -> Option<(SocketAddrV4, Vec<u8>)> {
        let Action::Shuffle { to, sample } = self.sampler.poll_action(now)?;
        Some((to, bitcode::encode(&ShuffleDatagram { is_reply: false, sample })))
    }

    /// Time of the next call of [`poll_datagram`](ShuffleProtocol::poll_datagram); `None` before the first call.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.sampler.wakes_at()
    }

    /// Addresses at which a controller may respond: the controllers known from samples, then the seeds.
    pub fn candidate_controllers(&self) -> Vec<SocketAddrV4> {
        self.sampler.controller_candidates()
    }

    /// Returns the addresses of the known processes of a role.
    pub fn peers(&self, role: Role) -> Vec<SocketAddrV4> {
        self.sampler.peers(role, None).into_iter().map(|peer| peer.addr).collect()
    }
}
