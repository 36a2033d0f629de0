//! The probe in progress, and the probes that the local router relays for others.

use crate::identity::RouterId;
use fernknot::interface::Nanos;
use std::collections::VecDeque;

/// Relayed probes that are remembered; the oldest is dropped.
const MAX_RELAYED: usize = 32;

/// A probe of one router: a direct ping first, then indirect pings through relays.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The router that is probed.
    pub target: RouterId,
    /// The number by which acknowledgements name the probe.
    pub number: u32,
    /// When the first ping was sent.
    pub sent_at: Nanos,
    /// Routers asked to probe the target, at least 1; 0 before any was asked.
    pub relays_asked: usize,
    /// Relays that acknowledged the request itself.
    pub relays_responding: usize,
    /// A relay reached the target; whether the target hears the local router.
    pub relayed_ack: Option<bool>,
}

/// Probes: the one in progress, and those relayed for others.
#[derive(Default)]
pub(crate) struct Probes {
    /// The local router's own probe, if one is in progress.
    pub current: Option<Probe>,
    relayed: VecDeque<RelayedProbe>,
    last_number: u32,
}

/// A probe that another router asked for.
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

    /// Starts a probe; its number.
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

    /// The target acknowledged; whether that was the probe in progress, which is over then.
    pub fn acknowledge(&mut self, from: RouterId, number: u32) -> bool {
        self.current.take_if(|probe| probe.target == from && probe.number == number).is_some()
    }

    /// The probe in progress, if this is its number.
    pub fn current_mut(&mut self, number: u32) -> Option<&mut Probe> {
        self.current.as_mut().filter(|probe| probe.number == number)
    }

    /// Remembers a probe for another router; the number of its own that it gets here.
    pub fn add_relayed(&mut self, requester: RouterId, requester_number: u32) -> u32 {
        let number = self.next_number();
        if self.relayed.len() >= MAX_RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe { number, requester, requester_number });
        number
    }

    /// A relayed probe was acknowledged: who asked for it, and by which number.
    pub fn take_relayed(&mut self, number: u32) -> Option<(RouterId, u32)> {
        let index = self.relayed.iter().position(|probe| probe.number == number)?;
        self.relayed.remove(index).map(|probe| (probe.requester, probe.requester_number))
    }
}
