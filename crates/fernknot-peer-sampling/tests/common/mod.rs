//! Fixture: processes in memory, with instantaneous shuffles; ended processes do not reply.

use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Action, PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PERIOD: Nanos = Nanos(1_000_000_000);
pub const ZONES: [&str; 3] = ["north", "south", "east"];

pub fn addr(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 7120)
}

pub struct Cluster {
    pub now: Nanos,
    pub live: BTreeMap<u32, PeerSampler>,
    pub largest_message_bytes: usize,
}

impl Cluster {
    /// Starts the processes with consecutive numbers, controllers first.
    pub fn new(controllers: u32, gateways: u32, seeds: &[u32]) -> Cluster {
        let mut cluster = Cluster { now: Nanos(0), live: BTreeMap::new(), largest_message_bytes: 0 };
        for number in 0..controllers + gateways {
            cluster.start(number, if number < controllers { Role::Controller } else { Role::Gateway }, seeds);
        }
        cluster
    }

    pub fn start(&mut self, number: u32, role: Role, seeds: &[u32]) {
        let zone = ZONES[number as usize % 3].to_string();
        let own_descriptor =
            PeerDescriptor { addr: addr(number), role, zone, incarnation: number as u64 + 1, age_ms: 0 };
        let seeds: Vec<SocketAddrV4> = seeds.iter().map(|seed| addr(*seed)).collect();
        let sampler =
            PeerSampler::new(own_descriptor, &seeds, PERIOD, PeerSamplerSettings::default(), number as u64);
        self.live.insert(number, sampler);
    }

    pub fn run(&mut self, periods: u32) {
        for _ in 0..periods * 10 {
            self.now = self.now + PERIOD.times(0.1);
            for number in self.live.keys().copied().collect::<Vec<_>>() {
                while let Some(Action::Shuffle { to, sample }) =
                    self.live.get_mut(&number).unwrap().poll_action(self.now)
                {
                    let peer_number = u32::from(*to.ip()) - 0x0a00_0000;
                    let Some(peer) = self.live.get_mut(&peer_number) else { continue };
                    let reply = peer.handle_shuffle(self.now, addr(number), &sample);
                    self.largest_message_bytes = self
                        .largest_message_bytes
                        .max(bitcode::encode(&sample).len().max(bitcode::encode(&reply).len()));
                    self.live.get_mut(&number).unwrap().handle_shuffle_reply(self.now, to, &reply);
                }
            }
        }
    }

    pub fn is_live(&self, addr: SocketAddrV4) -> bool {
        self.live.contains_key(&(u32::from(*addr.ip()) - 0x0a00_0000))
    }
}
