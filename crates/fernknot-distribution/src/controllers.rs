//! Which controller a gateway is with, and how it goes to another.

use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Most doublings of the pause after failed tries.
const MAX_DOUBLINGS: u32 = 4;

/// A controller that is known to be there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerEndpoint {
    pub addr: SocketAddrV4,
    pub zone: String,
}

/// Pauses after failures, by address; spread by chance so that many gateways don't try at once.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    seed: u64,
    failures: u64,
    base_delay: Nanos,
    max_addresses: usize,
    by_addr: BTreeMap<SocketAddrV4, (u32, Nanos)>,
}

impl Backoff {
    pub fn new(seed: u64, stale: Nanos, most: usize) -> Backoff {
        Backoff { seed, failures: 0, base_delay: stale, max_addresses: most, by_addr: BTreeMap::new() }
    }

    pub fn record_failure(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.failures += 1;
        let spread = 0.5 + self.random_fraction(self.failures);
        let fails = self.by_addr.get(&addr).map_or(0, |(fails, _)| *fails);
        let pause = self.base_delay.times(2f64.powi(fails.min(MAX_DOUBLINGS) as i32) * spread);
        if self.by_addr.len() >= self.max_addresses && !self.by_addr.contains_key(&addr) {
            self.by_addr.retain(|_, (_, until)| *until > now);
            if self.by_addr.len() >= self.max_addresses {
                self.by_addr.pop_first();
            }
        }
        self.by_addr.insert(addr, (fails.saturating_add(1), now + pause));
    }

    pub fn record_success(&mut self, addr: SocketAddrV4) {
        self.by_addr.remove(&addr);
    }

    /// How long one that has not spoken yet is waited for: short at first, `stale` after a few failures. Guards a start
    /// while the controller's machine has no power, when the first packet is lost and comes again after a second.
    pub fn response_timeout(&self, addr: SocketAddrV4, first: Nanos) -> Nanos {
        let fails = self.by_addr.get(&addr).map_or(0, |(fails, _)| *fails);
        first.times(2f64.powi(fails.min(MAX_DOUBLINGS) as i32)).min(self.base_delay)
    }

    pub fn may_retry(&self, now: Nanos, addr: SocketAddrV4) -> bool {
        self.by_addr.get(&addr).is_none_or(|(_, until)| now >= *until)
    }

    /// A share of one, the same each time for this process and number.
    pub fn random_fraction(&self, number: u64) -> f64 {
        (splitmix64(self.seed ^ splitmix64(number)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An order of addresses of this process's own.
    pub fn rank(&self, addr: SocketAddrV4) -> u64 {
        splitmix64(self.seed ^ splitmix64((u32::from(*addr.ip()) as u64) << 16 | addr.port() as u64))
    }
}
