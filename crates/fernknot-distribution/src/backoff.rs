//! Exponential backoff between attempts to reach a process.

use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum number of addresses that are remembered.
const MAX_ADDRESSES: usize = 256;
/// Smallest random factor on a delay; the largest is 1 more.
const MIN_JITTER_FACTOR: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct FailedAddress {
    failures: u32,
    retry_at: Nanos,
}

/// Exponential backoff for each address, with jitter so that many gateways do not retry at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    seed: u64,
    total_failures: u64,
    base_delay: Nanos,
    by_addr: BTreeMap<SocketAddrV4, FailedAddress>,
}

impl Backoff {
    /// Creates a backoff without failures. The first delay is the base delay, with jitter from the seed.
    pub fn new(seed: u64, base_delay: Nanos) -> Backoff {
        Backoff { seed, total_failures: 0, base_delay, by_addr: BTreeMap::new() }
    }

    /// Records a failed attempt: each one doubles the delay before the next attempt at this address, up to
    /// `MAX_DOUBLINGS` times. Failures are forgotten once the longest delay has elapsed without another one.
    pub fn record_failure(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.total_failures += 1;
        let jitter = MIN_JITTER_FACTOR + self.random_fraction(self.total_failures);
        let failures = self.failures(now, addr);
        let delay = self.base_delay.times(delay_factor(failures) * jitter);
        self.make_room(now, addr);
        let failed = FailedAddress { failures: failures.saturating_add(1), retry_at: now + delay };
        self.by_addr.insert(addr, failed);
    }

    /// Records a successful attempt, which resets the delay of the address.
    pub fn record_success(&mut self, addr: SocketAddrV4) {
        self.by_addr.remove(&addr);
    }

    /// Time to wait for the first response of a process: `initial_timeout` at first, doubled after each failure up to
    /// the base delay. A short initial time-out avoids a long wait at the start while the process's machine is down:
    /// the lost first packet would be retransmitted only after a second.
    pub fn response_timeout(&self, now: Nanos, addr: SocketAddrV4, initial_timeout: Nanos) -> Nanos {
        initial_timeout.times(delay_factor(self.failures(now, addr))).min(self.base_delay)
    }

    /// Whether the delay of the address has elapsed.
    pub fn may_retry(&self, now: Nanos, addr: SocketAddrV4) -> bool {
        self.by_addr.get(&addr).is_none_or(|failed| now >= failed.retry_at)
    }

    /// Random fraction from 0 to 1 that depends only on the seed and the argument.
    pub fn random_fraction(&self, number: u64) -> f64 {
        (splitmix64(self.seed ^ splitmix64(number)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Sort key of an address in a random order that is specific to this process.
    pub fn rank(&self, addr: SocketAddrV4) -> u64 {
        splitmix64(self.seed ^ splitmix64((u32::from(*addr.ip()) as u64) << 16 | addr.port() as u64))
    }

    fn failures(&self, now: Nanos, addr: SocketAddrV4) -> u32 {
        let retention = self.base_delay.times(delay_factor(MAX_DOUBLINGS));
        let recent = self.by_addr.get(&addr).filter(|failed| now - failed.retry_at <= retention);
        recent.map_or(0, |failed| failed.failures)
    }

    /// Makes room for another address where needed: removes those whose delay has elapsed, or else an arbitrary one.
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

fn delay_factor(failures: u32) -> f64 {
    2f64.powi(failures.min(MAX_DOUBLINGS) as i32)
}
