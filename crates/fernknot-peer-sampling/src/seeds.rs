//! The addresses that the settings name as seeds.

use std::net::SocketAddrV4;

/// Seeds, the newest first.
pub(crate) struct Seeds {
    capacity: usize,
    own_addr: SocketAddrV4,
    addrs: Vec<SocketAddrV4>,
    /// Seeds not contacted yet since they were first named.
    not_contacted: Vec<SocketAddrV4>,
}

impl Seeds {
    /// Knows no seed yet.
    pub fn new(capacity: usize, own_addr: SocketAddrV4) -> Seeds {
        Seeds { capacity, own_addr, addrs: Vec::new(), not_contacted: Vec::new() }
    }

    /// All seeds, the newest first.
    pub fn addrs(&self) -> &[SocketAddrV4] {
        &self.addrs
    }

    /// Takes new seeds in. Earlier ones are remembered as long as there is room.
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

    /// Takes a seed that was not contacted yet.
    pub fn take_not_contacted(&mut self) -> Option<SocketAddrV4> {
        self.not_contacted.pop()
    }
}
