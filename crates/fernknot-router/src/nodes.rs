//! Data nodes as they are listed.

use crate::app::{App, Timer};
use crate::node_links::{LinkId, NodeLink, Stage};
use fernknot::interface::*;
use fernknot_protocol::discovery::List;
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
    pub more: Vec<LinkId>,
    pub dirty: Vec<LinkId>,
}

impl Nodes {
    pub fn has_more(&self) -> bool {
        !self.more.is_empty()
    }
}
impl App {
    /// Notes what a list says; what the module is to be told of it comes back.
    pub fn note_nodes(&mut self, list: &List) -> Vec<NodeEntry> {
        let mut entries = Vec::new();
        let mut named = HashSet::new();
        for listed in &list.nodes {
            let known = self.nodes.ids.get(&listed.name).copied();
            let slot = known.map(|id| &self.nodes.slots[id.0 as usize]);
            let address = listed.address.or(slot.map(|slot| slot.address));
            let place = listed.place.or(slot.map(|slot| slot.place));
            // One that is gone and was never known changes nothing.
            let (Some(address), Some(place)) = (address, place) else { continue };
            let id = known.unwrap_or_else(|| self.add_node(&listed.name, address, place, listed.since));
            named.insert(id);
            let slot = &mut self.nodes.slots[id.0 as usize];
            let moved = slot.address != address || slot.since != listed.since;
            (slot.address, slot.place, slot.since) = (address, place, listed.since);
            if moved {
                self.retire_links(id);
            }
            self.set_health(id, listed.health);
            entries.push(NodeEntry { node: id, place, health: listed.health, since: listed.since });
        }
        if list.full {
            let all = 0..self.nodes.slots.len() as u32;
            all.map(NodeId).filter(|id| !named.contains(id)).for_each(|id| self.set_health(id, Health::Gone));
        }
        entries
    }

    /// Guards against ids without end where nodes come under ever new names: past a limit, a new
    /// one takes the place of one that is gone.
    fn add_node(&mut self, name: &str, address: SocketAddr, place: PlaceId, since: Nanos) -> NodeId {
        let now = self.now;
        let unused = |slot: &Slot| {
            slot.health == Health::Gone
                && slot.links.is_empty()
                && slot.grace.is_some_and(|grace| grace < now)
        };
        let slots = &mut self.nodes.slots;
        let full = slots.len() >= self.limits.nodes;
        let index = slots.iter().position(|slot| full && unused(slot)).unwrap_or(slots.len());
        let (id, health) = (NodeId(index as u32), Health::Running);
        let slot = Slot { address, place, health, since, links: Vec::new(), grace: None };
        if index == slots.len() {
            slots.push(slot);
        } else {
            slots[index] = slot;
            self.nodes.ids.retain(|_, held| *held != id);
        }
        self.nodes.ids.insert(name.to_string(), id);
        if let Some(peers) = &mut self.peers {
            peers.tags.add(name, id);
        }
        id
    }

    fn set_health(&mut self, id: NodeId, health: Health) {
        let grace = self.now + self.limits.drain_grace;
        let slot = &mut self.nodes.slots[id.0 as usize];
        slot.health = health;
        if health == Health::Running {
            slot.grace = None;
        } else if slot.grace.is_none() {
            slot.grace = Some(grace);
            self.timers.insert((grace, Timer::DrainGrace(id)));
        }
    }

    /// A node that moved or started anew: what is out on its old connections may still be answered.
    fn retire_links(&mut self, id: NodeId) {
        for link in self.nodes.slots[id.0 as usize].links.clone() {
            if let Some(held) = self.nodes.links.get_mut(&link) {
                held.old = true;
                if held.is_idle() {
                    self.close_link(link);
                }
            }
        }
    }

    /// The grace of a draining node has run out: what is unsent will not be sent.
    pub fn drained(&mut self, id: NodeId) {
        let slot = &self.nodes.slots[id.0 as usize];
        if slot.grace.is_none_or(|grace| grace > self.now) {
            return;
        }
        for link in slot.links.clone() {
            let Some(held) = self.nodes.links.get(&link) else { continue };
            let unsent = held.carried.values().filter(|carried| carried.stage == Stage::Waiting);
            for (part, no) in unsent.map(|carried| (carried.part, carried.no)).collect::<Vec<_>>() {
                self.abandon(part, no, Outcome::NeverSent);
            }
        }
    }
}
