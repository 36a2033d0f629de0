//! Seed addresses from the settings.

use std::net::SocketAddrV4;

/// Bounded list of seeds, the newest first.
pub(crate) struct Seeds {
    capacity: usize,
    own_addr: SocketAddrV4,
    addrs: Vec<SocketAddrV4>,
    /// Seeds that have not been contacted since they were added.
    not_contacted: Vec<SocketAddrV4>,
}

impl Seeds {
    /// Creates an empty list.
    pub fn new(capacity: usize, own_addr: SocketAddrV4) -> Seeds {
        Seeds { capacity, own_addr, addrs: Vec::new(), not_contacted: Vec::new() }
    }

    /// Returns all seeds, the newest first.
    pub fn addrs(&self) -> &[SocketAddrV4] {
        &self.addrs
    }

    /// Adds new seeds. Earlier ones are kept as long as there is room.
    pub fn set(&mut self, seeds: &[SocketAddrV4]) {
        let earlier = std::mem::take(&mut self.addrs);
        self.not_contacted.truncate(self.capacity);
        for seed in seeds.iter().chain(&earlier) {
            let has_room = self.addrs.len() < self.capacity;
            if has_room && *seed != self.own_addr && !self.addrs.contains(seed) {
                if !earlier.contains(seed) {
                    self.not_contacted.push(*seed);
                }
                self.addrs.push(*seed);
            }
        }
    }

    /// Takes a seed that has not been contacted.
    pub fn take_not_contacted(&mut self) -> Option<SocketAddrV4> {
        self.not_contacted.pop()
    }
}
