//! Delays between attempts to reach a process.

use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Doublings of the delay at most.
const MAX_DOUBLINGS: u32 = 4;
/// Addresses remembered at most.
const MAX_ADDRESSES: usize = 256;
/// Least factor on a delay; the random part adds up to 1.
const MIN_JITTER: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct FailedAddress {
    failures: u32,
    retry_at: Nanos,
}

/// Exponential backoff by address, with jitter so that many gateways don't retry at once.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    seed: u64,
    total_failures: u64,
    base_delay: Nanos,
    by_addr: BTreeMap<SocketAddrV4, FailedAddress>,
}

impl Backoff {
    /// Without failures yet. The first delay is the base delay, with jitter from the seed.
    pub fn new(seed: u64, base_delay: Nanos) -> Backoff {
        Backoff { seed, total_failures: 0, base_delay, by_addr: BTreeMap::new() }
    }

    /// An attempt failed: the next one to this address is delayed, longer after each failure.
    pub fn record_failure(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.total_failures += 1;
        let jitter = MIN_JITTER + self.random_fraction(self.total_failures);
        let failures = self.failures(addr);
        let delay = self.base_delay.times(growth(failures) * jitter);
        self.make_room(now, addr);
        let failed = FailedAddress { failures: failures.saturating_add(1), retry_at: now + delay };
        self.by_addr.insert(addr, failed);
    }

    /// An attempt succeeded: the address starts anew.
    pub fn record_success(&mut self, addr: SocketAddrV4) {
        self.by_addr.remove(&addr);
    }

    /// How long to wait for the first response of a process: `first` to begin with, the base delay after a few
    /// failures. Guards a start while the process's machine is down: the first packet is lost and is sent again only
    /// after a second.
    pub fn response_timeout(&self, addr: SocketAddrV4, first: Nanos) -> Nanos {
        first.times(growth(self.failures(addr))).min(self.base_delay)
    }

    /// Whether the delay of the address is over.
    pub fn may_retry(&self, now: Nanos, addr: SocketAddrV4) -> bool {
        self.by_addr.get(&addr).is_none_or(|failed| now >= failed.retry_at)
    }

    /// A number from 0 to 1, the same each time for this process and argument.
    pub fn random_fraction(&self, number: u64) -> f64 {
        (splitmix64(self.seed ^ splitmix64(number)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The place of an address in this process's own random order.
    pub fn rank(&self, addr: SocketAddrV4) -> u64 {
        splitmix64(self.seed ^ splitmix64((u32::from(*addr.ip()) as u64) << 16 | addr.port() as u64))
    }

    fn failures(&self, addr: SocketAddrV4) -> u32 {
        self.by_addr.get(&addr).map_or(0, |failed| failed.failures)
    }

    /// Forgets addresses whose delay is over, or else one, where there is no room for another.
    fn make_room(&mut self, now: Nanos, addr: SocketAddrV4) {
        if self.by_addr.len() < MAX_ADDRESSES || self.by_addr.contains_key(&addr) {
            return;
        }
        self.by_addr.retain(|_, failed| failed.retry_at > now);
        if self.by_addr.len() >= MAX_ADDRESSES {
            self.by_addr.pop_first();
        }
    }
}

fn growth(failures: u32) -> f64 {
    2f64.powi(failures.min(MAX_DOUBLINGS) as i32)
}
