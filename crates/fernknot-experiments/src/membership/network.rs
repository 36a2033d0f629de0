//! Which datagrams the network delivers.

use super::fault_plan::Link;
use super::scenario::Scenario;
use fernknot::interface::Nanos;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// The share of datagrams that is lost while losses last.
const LOSS_SHARE: f64 = 0.2;
/// How long a datagram takes.
const DELAYS: std::ops::Range<u64> = 200_000..2_000_000;

/// The network and its faults.
pub(super) struct Network {
    scenario: Scenario,
    routers: u32,
    broken_links: BTreeSet<Link>,
    is_faulty: bool,
    /// Until when all that a router sends is lost.
    burst_until: Vec<Nanos>,
}

impl Network {
    /// A network without a fault yet.
    pub fn new(scenario: Scenario, routers: u32, broken_links: BTreeSet<Link>) -> Network {
        let burst_until = vec![Nanos(0); routers as usize];
        Network { scenario, routers, broken_links, is_faulty: false, burst_until }
    }

    /// Whether the scenario's fault lasts.
    pub fn is_faulty(&self) -> bool {
        self.is_faulty
    }

    /// Begins or ends the scenario's fault.
    pub fn set_faulty(&mut self, is_faulty: bool) {
        self.is_faulty = is_faulty;
    }

    /// All that this router sends until then is lost, while the fault lasts.
    pub fn begin_burst(&mut self, router: u32, until: Nanos) {
        self.burst_until[router as usize] = until;
    }

    /// Whether links that are broken for good leave `receiver` within hearing of `sender`.
    pub fn hears(&self, receiver: u32, sender: u32) -> bool {
        if !self.is_faulty {
            return true;
        }
        let is_minority = |router: u32| router < self.routers * 2 / 5;
        match self.scenario {
            Scenario::OneWay => !self.broken_links.contains(&Link { from: sender, to: receiver }),
            Scenario::Ring => receiver == (sender + 1) % self.routers,
            Scenario::Partition => is_minority(receiver) == is_minority(sender),
            _ => true,
        }
    }

    /// Whether all routers hear of each other through third ones while the fault lasts, though not all directly.
    pub fn is_heard_through_others(&self) -> bool {
        matches!(self.scenario, Scenario::Ring | Scenario::OneWay)
    }

    /// After what time a datagram is delivered; `None` if it is lost.
    pub fn transmit(&self, rng: &mut ChaCha8Rng, now: Nanos, from: u32, to: u32) -> Option<Nanos> {
        let passes = match self.scenario {
            Scenario::Loss if self.is_faulty => {
                self.burst_until[from as usize] <= now && !rng.random_bool(LOSS_SHARE)
            }
            _ => self.hears(to, from),
        };
        passes.then(|| Nanos(rng.random_range(DELAYS)))
    }
}
