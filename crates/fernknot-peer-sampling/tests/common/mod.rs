//! Some hundred processes in memory; a shuffle takes no time, and the dead don't answer.

use fernknot::interface::Nanos;
use fernknot_peer_sampling::{Action, PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PERIOD: Nanos = Nanos(1_000_000_000);
pub const ZONES: [&str; 3] = ["north", "south", "east"];

pub fn addr(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 7120)
}

pub struct World {
    pub now: Nanos,
    pub alive: BTreeMap<u32, PeerSampler>,
    pub longest: usize,
}

impl World {
    /// Controllers have the first numbers.
    pub fn new(controllers: u32, gateways: u32, seeds: &[u32]) -> World {
        let mut world = World { now: Nanos(0), alive: BTreeMap::new(), longest: 0 };
        for number in 0..controllers + gateways {
            world.start(number, if number < controllers { Role::Controller } else { Role::Gateway }, seeds);
        }
        world
    }

    pub fn start(&mut self, number: u32, role: Role, seeds: &[u32]) {
        let zone = ZONES[number as usize % 3].to_string();
        let me = PeerDescriptor { addr: addr(number), role, zone, incarnation: number as u64 + 1, age_ms: 0 };
        let seeds: Vec<SocketAddrV4> = seeds.iter().map(|seed| addr(*seed)).collect();
        let overlay = PeerSampler::new(me, &seeds, PERIOD, PeerSamplerSettings::default(), number as u64);
        self.alive.insert(number, overlay);
    }

    pub fn run(&mut self, periods: u32) {
        for _ in 0..periods * 10 {
            self.now = self.now + PERIOD.times(0.1);
            for number in self.alive.keys().copied().collect::<Vec<_>>() {
                while let Some(Action::Shuffle { to, sample }) =
                    self.alive.get_mut(&number).unwrap().poll_action(self.now)
                {
                    let other = u32::from(*to.ip()) - 0x0a00_0000;
                    let Some(peer) = self.alive.get_mut(&other) else { continue };
                    let answer = peer.handle_shuffle(self.now, addr(number), &sample);
                    self.longest =
                        self.longest.max(bitcode::encode(&sample).len().max(bitcode::encode(&answer).len()));
                    self.alive.get_mut(&number).unwrap().handle_shuffle_reply(self.now, to, &answer);
                }
            }
        }
    }

    pub fn is_alive(&self, addr: SocketAddrV4) -> bool {
        self.alive.contains_key(&(u32::from(*addr.ip()) - 0x0a00_0000))
    }
}
