//! Simulated network: loss, blocked links and delays of datagrams.

use super::fault_plan::Link;
use super::scenario::Scenario;
use fernknot::interface::Nanos;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Share of datagrams lost during the fault of the loss scenario, outside bursts.
const LOSS_SHARE: f64 = 0.2;
/// Range of the one-way delay of a datagram, in nanoseconds.
const DELAY_RANGE_NANOS: std::ops::Range<u64> = 200_000..2_000_000;

/// Network between the simulated routers, with the fault of the scenario.
pub(super) struct Network {
    scenario: Scenario,
    routers: u32,
    broken_links: BTreeSet<Link>,
    is_faulty: bool,
    /// End of each router's loss burst, in which all datagrams that it sends are lost.
    loss_burst_until: Vec<Nanos>,
}

impl Network {
    /// Creates a network whose fault has not begun.
    pub fn new(scenario: Scenario, routers: u32, broken_links: BTreeSet<Link>) -> Network {
        let loss_burst_until = vec![Nanos(0); routers as usize];
        Network { scenario, routers, broken_links, is_faulty: false, loss_burst_until }
    }

    /// Whether the scenario's fault is active.
    pub fn is_faulty(&self) -> bool {
        self.is_faulty
    }

    /// Begins or ends the scenario's fault.
    pub fn set_faulty(&mut self, is_faulty: bool) {
        self.is_faulty = is_faulty;
    }

    /// Begins a burst in which all datagrams that this router sends are lost, until `until` or the end of the fault.
    pub fn begin_loss_burst(&mut self, router: u32, until: Nanos) {
        self.loss_burst_until[router as usize] = until;
    }

    /// Whether the link from `sender` to `receiver` is intact; random losses and loss bursts do not break a link.
    pub fn receives_from(&self, receiver: u32, sender: u32) -> bool {
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

    /// Whether all routers can reach each other through other routers during the fault, though not all directly.
    pub fn has_indirect_paths(&self) -> bool {
        matches!(self.scenario, Scenario::Ring | Scenario::OneWay)
    }

    /// Draws the delay after which a datagram is delivered; `None` if it is lost.
    pub fn transmit(&self, rng: &mut ChaCha8Rng, now: Nanos, from: u32, to: u32) -> Option<Nanos> {
        let is_delivered = match self.scenario {
            Scenario::Loss if self.is_faulty => {
                self.loss_burst_until[from as usize] <= now && !rng.random_bool(LOSS_SHARE)
            }
            _ => self.receives_from(to, from),
        };
        is_delivered.then(|| Nanos(rng.random_range(DELAY_RANGE_NANOS)))
    }
}
