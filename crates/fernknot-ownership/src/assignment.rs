//! Which gateways are live, and which of them owns a key.

use crate::hashing::{key_hash, splitmix64};
use crate::identifiers::{FencingToken, IncarnationId};
use bitcode::{Decode, Encode};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A live gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GatewayRecord {
    /// The incarnation that is live; a restarted gateway has another.
    pub incarnation: IncarnationId,
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    /// The zone (failure domain) of its machine.
    pub zone: String,
}

/// The live gateways under one fencing token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assignment {
    /// Orders this assignment among all others.
    pub fencing_token: FencingToken,
    /// The live gateways, sorted by incarnation.
    pub gateways: Vec<GatewayRecord>,
    /// How many gateways of all zones may be alive, those lost recently included. A budget is divided by this number.
    pub presumed_alive: u32,
}

/// The difference between two assignments; for a large fleet much smaller than the newer one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AssignmentChange {
    /// The assignment that the change applies to.
    pub from: FencingToken,
    /// The assignment that results.
    pub to: FencingToken,
    /// Gateways that are no longer live.
    pub removed: Vec<IncarnationId>,
    /// Gateways that became live, or whose record differs.
    pub added: Vec<GatewayRecord>,
    /// [`Assignment::presumed_alive`] of the result.
    pub presumed_alive: u32,
}

impl Assignment {
    /// Sorts the gateways by incarnation and drops duplicates, which every other method relies on. To be called on
    /// an assignment that came from another process.
    #[must_use]
    pub fn sorted(mut self) -> Assignment {
        sort_by_incarnation(&mut self.gateways);
        self
    }

    /// The owner of a key among the gateways of a zone, or of all zones. `None` if no gateway is live there.
    pub fn owner(&self, zone: Option<&str>, key: &str) -> Option<&GatewayRecord> {
        let key_hash = key_hash(key);
        self.candidates(zone).max_by_key(|gateway| rendezvous_score(key_hash, gateway))
    }

    /// The gateways of a zone, or of all zones, in their rendezvous order for a key: its owner first.
    pub fn owners_ranked(&self, zone: Option<&str>, key: &str) -> Vec<&GatewayRecord> {
        let key_hash = key_hash(key);
        let mut ranked: Vec<&GatewayRecord> = self.candidates(zone).collect();
        ranked.sort_by_cached_key(|gateway| Reverse(rendezvous_score(key_hash, gateway)));
        ranked
    }

    /// The change that leads from an older assignment to this one.
    pub fn change_since(&self, old: &Assignment) -> AssignmentChange {
        let removed = old.gateways.iter().filter(|gateway| !self.contains(gateway));
        let added = self.gateways.iter().filter(|gateway| !old.contains(gateway));
        AssignmentChange {
            from: old.fencing_token,
            to: self.fencing_token,
            removed: removed.map(|gateway| gateway.incarnation).collect(),
            added: added.cloned().collect(),
            presumed_alive: self.presumed_alive,
        }
    }

    /// The newer assignment to which a change leads from this one. `None` if the change starts from another one.
    pub fn with_change(&self, change: &AssignmentChange) -> Option<Assignment> {
        if change.from != self.fencing_token || change.to <= change.from {
            return None;
        }
        let removed: BTreeSet<IncarnationId> = change.removed.iter().copied().collect();
        let kept = self.gateways.iter().filter(|gateway| !removed.contains(&gateway.incarnation));
        let mut gateways: Vec<GatewayRecord> = kept.chain(&change.added).cloned().collect();
        sort_by_incarnation(&mut gateways);
        Some(Assignment { fencing_token: change.to, gateways, presumed_alive: change.presumed_alive })
    }

    /// The part of the assignment that a zone needs for its own keys.
    pub fn for_zone(&self, zone: &str) -> Assignment {
        let gateways = self.candidates(Some(zone)).cloned().collect();
        Assignment { fencing_token: self.fencing_token, gateways, presumed_alive: self.presumed_alive }
    }

    /// The record of a gateway by its incarnation.
    pub fn gateway(&self, incarnation: IncarnationId) -> Option<&GatewayRecord> {
        let found = self.gateways.binary_search_by_key(&incarnation, |gateway| gateway.incarnation);
        found.ok().map(|index| &self.gateways[index])
    }

    fn contains(&self, gateway: &GatewayRecord) -> bool {
        self.gateway(gateway.incarnation) == Some(gateway)
    }

    fn candidates(&self, zone: Option<&str>) -> impl Iterator<Item = &GatewayRecord> {
        self.gateways.iter().filter(move |gateway| zone.is_none_or(|zone| gateway.zone == zone))
    }
}

/// The gateway with the highest score owns the key; the incarnation breaks ties.
fn rendezvous_score(key_hash: u64, gateway: &GatewayRecord) -> (u64, IncarnationId) {
    let incarnation = gateway.incarnation;
    (splitmix64(key_hash ^ splitmix64(incarnation.0)), incarnation)
}

fn sort_by_incarnation(gateways: &mut Vec<GatewayRecord>) {
    gateways.sort_by_key(|gateway| gateway.incarnation);
    gateways.dedup_by_key(|gateway| gateway.incarnation);
}
