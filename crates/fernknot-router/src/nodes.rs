//! Data nodes as they are listed.

use crate::core::Core;
use crate::ids::{LinkId, Timer};
use crate::node_link::{NodeLink, Stage};
use fernknot::interface::*;
use fernknot_protocol::discovery::NodeList;
use fernknot_protocol::news::Tags;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// A data node as the list has it.
pub struct Slot {
    pub address: SocketAddr,
    pub place: PlaceId,
    pub health: Health,
    pub since: Nanos,
    pub links: Vec<LinkId>,
    /// When the grace ends that it was given when it began to drain or went.
    pub grace: Option<Nanos>,
}

#[derive(Default)]
pub struct Nodes {
    pub ids: HashMap<String, NodeId>,
    pub slots: Vec<Slot>,
    pub links: HashMap<LinkId, NodeLink>,
    pub next_link: u64,
    /// Hand-offs of this pull that stand on no connection yet.
    pub pulled: BTreeMap<NodeId, Vec<(PartId, HandOffNo)>>,
    /// The connection that each hand-off out is on.
    pub on: HashMap<(PartId, HandOffNo), LinkId>,
    /// What nodes are called between routers, where routers may send each other messages.
    pub tags: Option<Tags>,
    pub more: Vec<LinkId>,
    pub dirty: Vec<LinkId>,
}

impl Nodes {
    pub fn has_more(&self) -> bool {
        !self.more.is_empty()
    }
}

impl Nodes {
    /// Notes what a list says; what the module is to be told of it comes back.
    pub fn note_nodes(&mut self, core: &mut Core, list: &NodeList) -> Vec<NodeEntry> {
        let mut entries = Vec::new();
        let mut named = HashSet::new();
        for listed in &list.nodes {
            let known = self.ids.get(&listed.name).copied();
            let slot = known.map(|id| &self.slots[id.0 as usize]);
            let address = listed.address.or(slot.map(|slot| slot.address));
            let place = listed.place.or(slot.map(|slot| slot.place));
            // One that is gone and was never known changes nothing.
            let (Some(address), Some(place)) = (address, place) else { continue };
            let id =
                known.unwrap_or_else(|| self.add_node(core, &listed.name, address, place, listed.started_at));
            named.insert(id);
            let slot = &mut self.slots[id.0 as usize];
            let moved = slot.address != address || slot.since != listed.started_at;
            (slot.address, slot.place, slot.since) = (address, place, listed.started_at);
            if moved {
                self.retire_links(core, id);
            }
            self.set_health(core, id, listed.health);
            let zone = core.facts.zones.iter().position(|zone| listed.zone.as_ref() == Some(zone));
            let zone = zone.map(|zone| ZoneId(zone as u32));
            entries.push(NodeEntry {
                node: id,
                place,
                zone,
                health: listed.health,
                since: listed.started_at,
            });
        }
        if list.is_full {
            let all = 0..self.slots.len() as u32;
            all.map(NodeId)
                .filter(|id| !named.contains(id))
                .for_each(|id| self.set_health(core, id, Health::Gone));
        }
        entries
    }

    /// Guards against ids without end where nodes come under ever new names: past a limit, a new
    /// one takes the place of one that is gone.
    fn add_node(
        &mut self,
        core: &mut Core,
        name: &str,
        address: SocketAddr,
        place: PlaceId,
        since: Nanos,
    ) -> NodeId {
        let now = core.now;
        let unused = |slot: &Slot| {
            slot.health == Health::Gone
                && slot.links.is_empty()
                && slot.grace.is_some_and(|grace| grace < now)
        };
        let slots = &mut self.slots;
        let full = slots.len() >= core.limits.nodes_before_reuse;
        let index = slots.iter().position(|slot| full && unused(slot)).unwrap_or(slots.len());
        let (id, health) = (NodeId(index as u32), Health::Running);
        let slot = Slot { address, place, health, since, links: Vec::new(), grace: None };
        if index == slots.len() {
            slots.push(slot);
        } else {
            slots[index] = slot;
            self.ids.retain(|_, held| *held != id);
        }
        self.ids.insert(name.to_string(), id);
        if let Some(tags) = &mut self.tags {
            tags.add(name, id);
        }
        id
    }

    fn set_health(&mut self, core: &mut Core, id: NodeId, health: Health) {
        let grace = core.now + core.limits.drain_grace;
        let slot = &mut self.slots[id.0 as usize];
        slot.health = health;
        if health == Health::Running {
            slot.grace = None;
        } else if slot.grace.is_none() {
            slot.grace = Some(grace);
            core.timers.insert((grace, Timer::DrainGrace(id)));
        }
    }

    /// A node that moved or started anew: what is out on its old connections may still be answered.
    fn retire_links(&mut self, core: &mut Core, id: NodeId) {
        for link in self.slots[id.0 as usize].links.clone() {
            if let Some(held) = self.links.get_mut(&link) {
                held.old = true;
                if held.is_idle() {
                    self.close_link(core, link);
                }
            }
        }
    }

    /// The grace of a draining node has run out: what is unsent will not be sent.
    pub fn drained(&mut self, core: &mut Core, id: NodeId) {
        let slot = &self.slots[id.0 as usize];
        if slot.grace.is_none_or(|grace| grace > core.now) {
            return;
        }
        for link in slot.links.clone() {
            let Some(held) = self.links.get(&link) else { continue };
            let unsent = held.carried.values().filter(|carried| carried.stage == Stage::Waiting);
            for (part, no) in unsent.map(|carried| (carried.part, carried.no)).collect::<Vec<_>>() {
                self.abandon(core, part, no, Outcome::NeverSent);
            }
        }
    }
}
