//! Probe in progress, and probes relayed for other routers.

use crate::identity::RouterId;
use fernknot::interface::Nanos;
use std::collections::VecDeque;

/// Maximum number of relayed probes to track; the oldest is dropped.
const MAX_RELAYED_PROBES: usize = 32;

/// Probe of one router: a direct ping first, then indirect pings through relays.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// Router that is probed.
    pub target: RouterId,
    /// Number that identifies the probe in acknowledgements.
    pub number: u32,
    /// Time at which the first ping was sent.
    pub sent_at: Nanos,
    /// Number of routers asked to relay the probe; 0 before the indirect phase, then at least 1.
    pub relays_asked: usize,
    /// Number of relays that acknowledged the request itself.
    pub relays_responding: usize,
    /// Whether the target receives from the local router, by the acknowledgements that relays have forwarded; `None`
    /// without any.
    pub relayed_ack: Option<bool>,
}

/// Probe in progress, and probes relayed for other routers.
#[derive(Default)]
pub(crate) struct Probes {
    /// Own probe in progress.
    pub current: Option<Probe>,
    relayed: VecDeque<RelayedProbe>,
    last_number: u32,
}

/// Probe that another router requested.
struct RelayedProbe {
    number: u32,
    requester: RouterId,
    requester_number: u32,
}

impl Probes {
    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Starts a probe and returns its number.
    pub fn start(&mut self, target: RouterId, now: Nanos) -> u32 {
        let number = self.next_number();
        self.current = Some(Probe {
            target,
            number,
            sent_at: now,
            relays_asked: 0,
            relays_responding: 0,
            relayed_ack: None,
        });
        number
    }

    /// Ends the probe in progress if this acknowledgement matches it; returns whether it did.
    pub fn acknowledge(&mut self, from: RouterId, number: u32) -> bool {
        self.current.take_if(|probe| probe.target == from && probe.number == number).is_some()
    }

    /// Probe in progress, if it has this number.
    pub fn current_mut(&mut self, number: u32) -> Option<&mut Probe> {
        self.current.as_mut().filter(|probe| probe.number == number)
    }

    /// Registers a probe on behalf of another router and returns the local number of the probe.
    pub fn add_relayed(&mut self, requester: RouterId, requester_number: u32) -> u32 {
        let number = self.next_number();
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe { number, requester, requester_number });
        number
    }

    /// Ends the relayed probe of this number and returns its requester and the requester's number.
    pub fn take_relayed(&mut self, number: u32) -> Option<(RouterId, u32)> {
        let index = self.relayed.iter().position(|probe| probe.number == number)?;
        self.relayed.remove(index).map(|probe| (probe.requester, probe.requester_number))
    }
}
