//! Which gateways a controller knows of, and when each was last heard of.

use crate::assignment::GatewayRecord;
use crate::identifiers::IncarnationId;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct KnownGateway {
    record: GatewayRecord,
    /// When its last heartbeat came, to this controller or to another one.
    last_heartbeat_at: Nanos,
    /// A heartbeat came to this controller since the other controllers were last notified.
    unreported: bool,
}

/// The gateways known to one controller, by their heartbeats here and at the other controllers.
#[derive(Clone, Debug)]
pub(crate) struct GatewayLiveness {
    max_gateways: usize,
    /// How long a gateway is remembered after its last heartbeat, or after its shutdown.
    retention: Nanos,
    gateways: BTreeMap<IncarnationId, KnownGateway>,
    /// Gateways that shut down as planned, and when: a heartbeat in flight does not bring them back.
    shut_down: BTreeMap<IncarnationId, Nanos>,
    now: Nanos,
}

impl GatewayLiveness {
    /// Knows no gateway yet.
    pub fn new(max_gateways: usize, retention: Nanos) -> GatewayLiveness {
        GatewayLiveness {
            max_gateways,
            retention,
            gateways: BTreeMap::new(),
            shut_down: BTreeMap::new(),
            now: Nanos(0),
        }
    }

    /// Moves the clock forward and forgets the gateways whose retention has ended. Returns the time in force, which
    /// never goes back.
    pub fn advance_clock(&mut self, now: Nanos) -> Nanos {
        if now > self.now {
            self.now = now;
            let retention = self.retention;
            self.gateways.retain(|_, gateway| now - gateway.last_heartbeat_at <= retention);
            self.shut_down.retain(|_, at| now - *at <= retention);
        }
        self.now
    }

    /// Takes in what is known of a gateway as of now. Returns false where it has shut down or there is no room.
    pub fn merge(&mut self, record: GatewayRecord) -> bool {
        let incarnation = record.incarnation;
        if self.shut_down.contains_key(&incarnation) {
            return false;
        }
        if !self.gateways.contains_key(&incarnation) {
            // A new incarnation at this address: the older one can't be alive, and uses no share of a budget.
            self.gateways.retain(|_, known| known.record.addr != record.addr);
            if self.gateways.len() >= self.max_gateways {
                return false;
            }
        }
        let unreported = self.gateways.get(&incarnation).is_some_and(|known| known.unreported);
        let known = KnownGateway { record, last_heartbeat_at: self.now, unreported };
        self.gateways.insert(incarnation, known);
        true
    }

    /// Marks a gateway's heartbeat as one that the other controllers are to be notified of.
    pub fn mark_unreported(&mut self, incarnation: IncarnationId) {
        if let Some(known) = self.gateways.get_mut(&incarnation) {
            known.unreported = true;
        }
    }

    /// Takes the incarnations whose heartbeats came here since the last call.
    pub fn take_unreported(&mut self) -> Vec<IncarnationId> {
        let mut taken = Vec::new();
        for (incarnation, known) in &mut self.gateways {
            if std::mem::take(&mut known.unreported) {
                taken.push(*incarnation);
            }
        }
        taken
    }

    /// Another controller received heartbeats of these gateways now. Returns those that are unknown here.
    pub fn record_peer_heartbeats(&mut self, incarnations: &[IncarnationId]) -> Vec<IncarnationId> {
        let mut unknown = Vec::new();
        for incarnation in incarnations {
            match self.gateways.get_mut(incarnation) {
                Some(known) => known.last_heartbeat_at = self.now,
                None if self.shut_down.contains_key(incarnation) => {}
                None => unknown.push(*incarnation),
            }
        }
        unknown
    }

    /// A gateway shuts down as planned.
    pub fn record_shutdown(&mut self, incarnation: IncarnationId) {
        self.gateways.remove(&incarnation);
        if self.shut_down.len() < self.max_gateways {
            self.shut_down.insert(incarnation, self.now);
        }
    }

    /// Treats every known gateway as heard of now.
    pub fn reset(&mut self) {
        for known in self.gateways.values_mut() {
            known.last_heartbeat_at = self.now;
        }
    }

    /// Whether the gateway is known and has not shut down.
    pub fn contains(&self, incarnation: IncarnationId) -> bool {
        self.gateways.contains_key(&incarnation)
    }

    /// The known gateways among these.
    pub fn records_of(&self, incarnations: &[IncarnationId]) -> Vec<GatewayRecord> {
        let known = incarnations.iter().filter_map(|incarnation| self.gateways.get(incarnation));
        known.map(|known| known.record.clone()).collect()
    }

    /// The gateways whose last heartbeat is at most this long ago, sorted by incarnation.
    pub fn live_within(&self, timeout: Nanos) -> Vec<GatewayRecord> {
        let live = self.gateways.values().filter(|known| self.now - known.last_heartbeat_at <= timeout);
        live.map(|known| known.record.clone()).collect()
    }

    /// How many gateways are remembered, those that shut down included.
    pub fn remembered(&self) -> usize {
        self.gateways.len() + self.shut_down.len()
    }
}
