//! The controllers that are kept besides the partial view.

use crate::peer_descriptor::{PeerDescriptor, Role};
use std::net::SocketAddrV4;

/// A process's known controllers; no two have the same address.
pub(crate) struct KnownControllers {
    capacity: usize,
    /// Older entries are dropped as long as a younger one is known.
    expiry_age_ms: u32,
    entries: Vec<PeerDescriptor>,
}

impl KnownControllers {
    /// Knows no controller yet.
    pub fn new(capacity: usize, expiry_age_ms: u32) -> KnownControllers {
        KnownControllers { capacity, expiry_age_ms, entries: Vec::new() }
    }

    /// All known controllers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter()
    }

    /// All known controllers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PeerDescriptor> {
        self.entries.iter_mut()
    }

    /// Whether no controller is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the controller at this address is known.
    pub fn contains(&self, addr: SocketAddrV4) -> bool {
        self.entries.iter().any(|entry| entry.addr == addr)
    }

    /// The controllers young enough to be sent to others.
    pub fn young(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter().filter(|entry| entry.age_ms < self.max_young_age_ms())
    }

    /// Takes an entry in if it is a controller.
    pub fn merge(&mut self, entry: &PeerDescriptor) {
        if entry.role != Role::Controller {
            return;
        }
        if let Some(known) = self.entries.iter_mut().find(|known| known.addr == entry.addr) {
            known.merge_younger(entry);
            return;
        }
        self.entries.push(entry.clone());
        if self.entries.len() > self.capacity {
            self.evict();
        }
    }

    /// A controller was reached.
    pub fn reset_age(&mut self, addr: SocketAddrV4) {
        self.entries.iter_mut().filter(|entry| entry.addr == addr).for_each(|entry| entry.age_ms = 0);
    }

    /// A controller could not be reached.
    pub fn add_age(&mut self, addr: SocketAddrV4, age_ms: u32) {
        for entry in self.entries.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age_ms = entry.age_ms.saturating_add(age_ms);
        }
    }

    /// Drops expired entries, unless all are: an old entry is better than none.
    pub fn drop_expired(&mut self) {
        let expiry_age_ms = self.expiry_age_ms;
        if self.entries.iter().any(|entry| entry.age_ms < expiry_age_ms) {
            self.entries.retain(|entry| entry.age_ms < expiry_age_ms);
        }
    }

    /// Removes the oldest entry, but a young one that is the last of its zone only after all others.
    fn evict(&mut self) {
        let count = |zone: &str| self.entries.iter().filter(|entry| entry.zone == zone).count();
        let indexed = self.entries.iter().enumerate();
        let worst = indexed.max_by_key(|(_, entry)| {
            let is_expendable = entry.age_ms >= self.max_young_age_ms() || count(&entry.zone) > 1;
            (is_expendable, entry.age_ms)
        });
        if let Some(index) = worst.map(|(index, _)| index) {
            self.entries.swap_remove(index);
        }
    }

    fn max_young_age_ms(&self) -> u32 {
        self.expiry_age_ms / 2
    }
}
