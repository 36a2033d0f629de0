//! Assignments: the live gateways, and the owner of each key among them.

use crate::hashing::{key_hash, splitmix64};
use crate::identifiers::{FencingToken, IncarnationId};
use bitcode::{Decode, Encode};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Record of a live gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GatewayRecord {
    /// Incarnation of the gateway; a restart changes it.
    pub incarnation: IncarnationId,
    /// Address at which other processes of the system reach it.
    pub addr: SocketAddrV4,
    /// Zone (failure domain) of its machine.
    pub zone: String,
}

/// Live gateways under one fencing token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assignment {
    /// Token that orders this assignment among all others.
    pub fencing_token: FencingToken,
    /// Live gateways, sorted by incarnation.
    pub gateways: Vec<GatewayRecord>,
    /// Number of gateways of all zones that may be alive, including those lost or shut down within the presumed-alive
    /// time-out ([`crate::presumed_alive_timeout`]). Budgets are divided by this number.
    pub presumed_alive: u32,
}

/// Difference between two assignments; for many gateways much smaller than the newer assignment.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AssignmentChange {
    /// Token of the assignment that the change applies to.
    pub from: FencingToken,
    /// Token of the resulting assignment.
    pub to: FencingToken,
    /// Gateways that are no longer live.
    pub removed: Vec<IncarnationId>,
    /// Gateways that became live, or whose record differs.
    pub added: Vec<GatewayRecord>,
    /// [`Assignment::presumed_alive`] of the result.
    pub presumed_alive: u32,
}

impl Assignment {
    /// Sorts the gateways by incarnation and removes duplicates, as every other method requires. To be called on an
    /// assignment received from another process.
    #[must_use]
    pub fn sorted(mut self) -> Assignment {
        sort_by_incarnation(&mut self.gateways);
        self
    }

    /// Owner of a key among the gateways of a zone, or of all zones; `None` if no gateway is live there.
    pub fn owner(&self, zone: Option<&str>, key: &str) -> Option<&GatewayRecord> {
        let key_hash = key_hash(key);
        self.candidates(zone).max_by_key(|gateway| rendezvous_score(key_hash, gateway))
    }

    /// Gateways of a zone, or of all zones, in the rendezvous order of a key; the owner comes first.
    pub fn owners_ranked(&self, zone: Option<&str>, key: &str) -> Vec<&GatewayRecord> {
        let key_hash = key_hash(key);
        let mut ranked: Vec<&GatewayRecord> = self.candidates(zone).collect();
        ranked.sort_by_cached_key(|gateway| Reverse(rendezvous_score(key_hash, gateway)));
        ranked
    }

    /// Returns the change from an older assignment to this one.
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

    /// Applies a change to this assignment; `None` if the change applies to another one.
    pub fn with_change(&self, change: &AssignmentChange) -> Option<Assignment> {
        if change.from != self.fencing_token || change.to <= change.from {
            return None;
        }
        let removed: BTreeSet<IncarnationId> = change.removed.iter().copied().collect();
        let remaining = self.gateways.iter().filter(|gateway| !removed.contains(&gateway.incarnation));
        let mut gateways: Vec<GatewayRecord> = remaining.chain(&change.added).cloned().collect();
        sort_by_incarnation(&mut gateways);
        Some(Assignment { fencing_token: change.to, gateways, presumed_alive: change.presumed_alive })
    }

    /// Returns the part of the assignment with the gateways of a zone.
    pub fn for_zone(&self, zone: &str) -> Assignment {
        let gateways = self.candidates(Some(zone)).cloned().collect();
        Assignment { fencing_token: self.fencing_token, gateways, presumed_alive: self.presumed_alive }
    }

    /// Record of a gateway by its incarnation.
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

/// Rendezvous score of a gateway for a key: the highest one owns the key, and the incarnation breaks ties.
fn rendezvous_score(key_hash: u64, gateway: &GatewayRecord) -> (u64, IncarnationId) {
    let incarnation = gateway.incarnation;
    (splitmix64(key_hash ^ splitmix64(incarnation.0)), incarnation)
}

fn sort_by_incarnation(gateways: &mut Vec<GatewayRecord>) {
    gateways.sort_by_key(|gateway| gateway.incarnation);
    gateways.dedup_by_key(|gateway| gateway.incarnation);
}
