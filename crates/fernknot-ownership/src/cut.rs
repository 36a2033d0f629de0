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
    pub fn of(view: u32, count: u32) -> FencingToken {
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
    pub life: IncarnationId,
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    pub zone: String,
}

/// The gateways that live, under a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assignment {
    pub fence: FencingToken,
    /// In the order of their lives.
    pub live: Vec<GatewayRecord>,
    /// How many gateways may be alive in all zones: also those lost only lately. A budget is shared by so many.
    pub may_be_alive: u32,
}

/// What leads from one cut to a newer one: for a large fleet much smaller than the cut.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AssignmentChange {
    pub from: FencingToken,
    pub to: FencingToken,
    pub gone: Vec<IncarnationId>,
    pub come: Vec<GatewayRecord>,
    pub may_be_alive: u32,
}

impl Assignment {
    /// Puts what came from elsewhere into the order that all uses rely on.
    pub fn sorted(mut self) -> Assignment {
        self.live.sort_by_key(|gateway| gateway.life);
        self.live.dedup_by_key(|gateway| gateway.life);
        self
    }

    /// Whose a key is among the gateways of a zone, or of all zones. None if no gateway lives there.
    pub fn owner(&self, zone: Option<&str>, key: &str) -> Option<&GatewayRecord> {
        let key = key_hash(key);
        let here = self.live.iter().filter(|gateway| zone.is_none_or(|zone| gateway.zone == zone));
        here.max_by_key(|gateway| (scatter(key ^ scatter(gateway.life.0)), gateway.life))
    }

    /// The gateways of a zone, or of all zones, in a key's order: its owner first.
    pub fn ranked(&self, zone: Option<&str>, key: &str) -> Vec<&GatewayRecord> {
        let key = key_hash(key);
        let here = self.live.iter().filter(|gateway| zone.is_none_or(|zone| gateway.zone == zone));
        let mut ranked: Vec<&GatewayRecord> = here.collect();
        ranked.sort_by_cached_key(|gateway| Reverse((scatter(key ^ scatter(gateway.life.0)), gateway.life)));
        ranked
    }

    /// What leads from an older cut to this one.
    pub fn change_since(&self, old: &Assignment) -> AssignmentChange {
        let gone = old.live.iter().filter(|gateway| !self.has(gateway)).map(|gateway| gateway.life).collect();
        let come = self.live.iter().filter(|gateway| !old.has(gateway)).cloned().collect();
        AssignmentChange { from: old.fence, to: self.fence, gone, come, may_be_alive: self.may_be_alive }
    }

    /// The newer cut to which a change leads from this one. None if it starts from another cut.
    pub fn changed_by(&self, change: &AssignmentChange) -> Option<Assignment> {
        if change.from != self.fence || change.to <= change.from {
            return None;
        }
        let gone: BTreeSet<IncarnationId> = change.gone.iter().copied().collect();
        let stay = self.live.iter().filter(|gateway| !gone.contains(&gateway.life));
        let mut live: Vec<GatewayRecord> = stay.chain(&change.come).cloned().collect();
        live.sort_by_key(|gateway| gateway.life);
        live.dedup_by_key(|gateway| gateway.life);
        Some(Assignment { fence: change.to, live, may_be_alive: change.may_be_alive })
    }

    fn has(&self, gateway: &GatewayRecord) -> bool {
        let found = self.live.binary_search_by_key(&gateway.life, |gateway| gateway.life);
        found.is_ok_and(|at| self.live[at] == *gateway)
    }

    /// The part of the cut that a zone needs for its own duties.
    pub fn of_zone(&self, zone: &str) -> Assignment {
        let live = self.live.iter().filter(|gateway| gateway.zone == zone).cloned().collect();
        Assignment { fence: self.fence, live, may_be_alive: self.may_be_alive }
    }

    /// A gateway by its life.
    pub fn find(&self, life: IncarnationId) -> Option<&GatewayRecord> {
        self.live.binary_search_by_key(&life, |gateway| gateway.life).ok().map(|at| &self.live[at])
    }
}

/// A hash of a key that is the same in every process (FNV-1a).
pub fn key_hash(key: &str) -> u64 {
    key.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ byte as u64).wrapping_mul(0x0100_0000_01b3))
}

/// Spreads every bit over all (the last step of splitmix64).
pub fn scatter(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
