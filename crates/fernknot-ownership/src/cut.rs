//! Who lives, and whose a key is.

use bitcode::{Decode, Encode};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// One life of a gateway; a restart has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct IncarnationId(pub u64);

/// Rises with every cut; what comes under an older one is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// A cut's number within its view, below every number of a later view.
    pub fn new(view: u32, count: u32) -> FencingToken {
        FencingToken((view as u64) << 32 | count as u64)
    }

    /// The view in which the cut was made.
    pub fn view(self) -> u32 {
        (self.0 >> 32) as u32
    }

    /// The cut's number within its view.
    pub fn count(self) -> u32 {
        self.0 as u32
    }
}

/// A gateway that lives.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct GatewayRecord {
    pub incarnation: IncarnationId,
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    pub zone: String,
}

/// The gateways that live, under a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assignment {
    pub fencing_token: FencingToken,
    /// In the order of their lives.
    pub gateways: Vec<GatewayRecord>,
    /// How many gateways may be alive in all zones: also those lost only lately. A budget is shared by so many.
    pub presumed_alive: u32,
}

/// What leads from one cut to a newer one: for a large fleet much smaller than the cut.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AssignmentChange {
    pub from: FencingToken,
    pub to: FencingToken,
    pub removed: Vec<IncarnationId>,
    pub added: Vec<GatewayRecord>,
    pub presumed_alive: u32,
}

impl Assignment {
    /// Puts what came from elsewhere into the order that all uses rely on.
    pub fn sorted(mut self) -> Assignment {
        self.gateways.sort_by_key(|gateway| gateway.incarnation);
        self.gateways.dedup_by_key(|gateway| gateway.incarnation);
        self
    }

    /// Whose a key is among the gateways of a zone, or of all zones. None if no gateway lives there.
    pub fn owner(&self, zone: Option<&str>, key: &str) -> Option<&GatewayRecord> {
        let key = key_hash(key);
        let here = self.gateways.iter().filter(|gateway| zone.is_none_or(|zone| gateway.zone == zone));
        here.max_by_key(|gateway| (splitmix64(key ^ splitmix64(gateway.incarnation.0)), gateway.incarnation))
    }

    /// The gateways of a zone, or of all zones, in a key's order: its owner first.
    pub fn owners_ranked(&self, zone: Option<&str>, key: &str) -> Vec<&GatewayRecord> {
        let key = key_hash(key);
        let here = self.gateways.iter().filter(|gateway| zone.is_none_or(|zone| gateway.zone == zone));
        let mut ranked: Vec<&GatewayRecord> = here.collect();
        ranked.sort_by_cached_key(|gateway| {
            Reverse((splitmix64(key ^ splitmix64(gateway.incarnation.0)), gateway.incarnation))
        });
        ranked
    }

    /// What leads from an older cut to this one.
    pub fn change_since(&self, old: &Assignment) -> AssignmentChange {
        let gone = old
            .gateways
            .iter()
            .filter(|gateway| !self.contains(gateway))
            .map(|gateway| gateway.incarnation)
            .collect();
        let come = self.gateways.iter().filter(|gateway| !old.contains(gateway)).cloned().collect();
        AssignmentChange {
            from: old.fencing_token,
            to: self.fencing_token,
            removed: gone,
            added: come,
            presumed_alive: self.presumed_alive,
        }
    }

    /// The newer cut to which a change leads from this one. None if it starts from another cut.
    pub fn with_change(&self, change: &AssignmentChange) -> Option<Assignment> {
        if change.from != self.fencing_token || change.to <= change.from {
            return None;
        }
        let gone: BTreeSet<IncarnationId> = change.removed.iter().copied().collect();
        let stay = self.gateways.iter().filter(|gateway| !gone.contains(&gateway.incarnation));
        let mut live: Vec<GatewayRecord> = stay.chain(&change.added).cloned().collect();
        live.sort_by_key(|gateway| gateway.incarnation);
        live.dedup_by_key(|gateway| gateway.incarnation);
        Some(Assignment { fencing_token: change.to, gateways: live, presumed_alive: change.presumed_alive })
    }

    fn contains(&self, gateway: &GatewayRecord) -> bool {
        let found = self.gateways.binary_search_by_key(&gateway.incarnation, |gateway| gateway.incarnation);
        found.is_ok_and(|at| self.gateways[at] == *gateway)
    }

    /// The part of the cut that a zone needs for its own duties.
    pub fn for_zone(&self, zone: &str) -> Assignment {
        let live = self.gateways.iter().filter(|gateway| gateway.zone == zone).cloned().collect();
        Assignment { fencing_token: self.fencing_token, gateways: live, presumed_alive: self.presumed_alive }
    }

    /// A gateway by its life.
    pub fn gateway(&self, life: IncarnationId) -> Option<&GatewayRecord> {
        self.gateways
            .binary_search_by_key(&life, |gateway| gateway.incarnation)
            .ok()
            .map(|at| &self.gateways[at])
    }
}

/// A hash of a key that is the same in every process (FNV-1a).
pub fn key_hash(key: &str) -> u64 {
    key.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ byte as u64).wrapping_mul(0x0100_0000_01b3))
}

/// Spreads every bit over all (the last step of splitmix64).
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
