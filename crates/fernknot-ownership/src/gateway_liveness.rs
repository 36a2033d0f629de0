//! Gateways known to a controller, and the time of each one's last heartbeat.

use crate::assignment::GatewayRecord;
use crate::identifiers::IncarnationId;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct KnownGateway {
    record: GatewayRecord,
    /// Time of its last heartbeat to this controller or to another one.
    last_heartbeat_at: Nanos,
    /// Whether this controller received a heartbeat of the gateway since it last reported the gateway to the other
    /// controllers.
    unreported: bool,
}

/// Gateways known to one controller, from heartbeats that it or other controllers received.
#[derive(Clone, Debug)]
pub(crate) struct GatewayLiveness {
    max_gateways: usize,
    /// Time for which a gateway is remembered after its last heartbeat or its shutdown.
    retention: Nanos,
    gateways: BTreeMap<IncarnationId, KnownGateway>,
    /// Gateways that shut down gracefully, with the time; a heartbeat in flight must not make them live again.
    shut_down: BTreeMap<IncarnationId, Nanos>,
    now: Nanos,
}

impl GatewayLiveness {
    /// Creates a state without gateways.
    pub fn new(max_gateways: usize, retention: Nanos) -> GatewayLiveness {
        GatewayLiveness {
            max_gateways,
            retention,
            gateways: BTreeMap::new(),
            shut_down: BTreeMap::new(),
            now: Nanos(0),
        }
    }

    /// Advances the clock and forgets the gateways whose retention has ended. Returns the current time, which never
    /// goes back.
    pub fn advance_clock(&mut self, now: Nanos) -> Nanos {
        if now > self.now {
            self.now = now;
            let retention = self.retention;
            self.gateways.retain(|_, gateway| now - gateway.last_heartbeat_at <= retention);
            self.shut_down.retain(|_, at| now - *at <= retention);
        }
        self.now
    }

    /// Adds or updates a gateway, with a heartbeat as of now. Returns false if it has shut down or there are too many.
    pub fn merge(&mut self, record: GatewayRecord) -> bool {
        let incarnation = record.incarnation;
        if self.shut_down.contains_key(&incarnation) {
            return false;
        }
        if !self.gateways.contains_key(&incarnation) {
            // A new incarnation at this address shows that the older one has ended and uses no budget share.
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

    /// Marks a gateway as one whose heartbeat has to be reported to the other controllers.
    pub fn mark_unreported(&mut self, incarnation: IncarnationId) {
        if let Some(known) = self.gateways.get_mut(&incarnation) {
            known.unreported = true;
        }
    }

    /// Takes the incarnations whose heartbeats this controller received since the last call.
    pub fn take_unreported(&mut self) -> Vec<IncarnationId> {
        let mut taken = Vec::new();
        for (incarnation, known) in &mut self.gateways {
            if std::mem::take(&mut known.unreported) {
                taken.push(*incarnation);
            }
        }
        taken
    }

    /// Records heartbeats of these gateways at another controller as of now. Returns the unknown ones.
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

    /// Records a gateway's graceful shutdown.
    pub fn record_shutdown(&mut self, incarnation: IncarnationId) {
        self.gateways.remove(&incarnation);
        if self.shut_down.len() < self.max_gateways {
            self.shut_down.insert(incarnation, self.now);
        }
    }

    /// Treats every known gateway as alive now.
    pub fn reset(&mut self) {
        for known in self.gateways.values_mut() {
            known.last_heartbeat_at = self.now;
        }
    }

    /// Whether the gateway is known and has not shut down.
    pub fn contains(&self, incarnation: IncarnationId) -> bool {
        self.gateways.contains_key(&incarnation)
    }

    /// Returns the records of the known gateways among these.
    pub fn records_of(&self, incarnations: &[IncarnationId]) -> Vec<GatewayRecord> {
        let known = incarnations.iter().filter_map(|incarnation| self.gateways.get(incarnation));
        known.map(|known| known.record.clone()).collect()
    }

    /// Returns the gateways whose last heartbeat is at most `timeout` old, sorted by incarnation.
    pub fn live_within(&self, timeout: Nanos) -> Vec<GatewayRecord> {
        let live = self.gateways.values().filter(|known| self.now - known.last_heartbeat_at <= timeout);
        live.map(|known| known.record.clone()).collect()
    }

    /// Number of remembered gateways, including those that shut down.
    pub fn remembered_count(&self) -> usize {
        self.gateways.len() + self.shut_down.len()
    }
}
