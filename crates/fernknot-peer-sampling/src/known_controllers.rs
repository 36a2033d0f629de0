//! Known controllers, which are kept in addition to the partial view.

use crate::peer_descriptor::{PeerDescriptor, Role};
use std::net::SocketAddrV4;

/// Controllers known to a process; their addresses are unique.
pub(crate) struct KnownControllers {
    capacity: usize,
    /// Age from which entries are dropped, as long as a younger one is known.
    expiry_age_ms: u32,
    entries: Vec<PeerDescriptor>,
}

impl KnownControllers {
    /// Creates an empty list.
    pub fn new(capacity: usize, expiry_age_ms: u32) -> KnownControllers {
        KnownControllers { capacity, expiry_age_ms, entries: Vec::new() }
    }

    /// Iterates over all known controllers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter()
    }

    /// Iterates mutably over all known controllers.
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

    /// Iterates over the controllers that are young enough to be sent to others.
    pub fn young(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter().filter(|entry| entry.age_ms < self.max_young_age_ms())
    }

    /// Adds or updates an entry if it is a controller.
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

    /// Resets the age of a controller that was reached.
    pub fn reset_age(&mut self, addr: SocketAddrV4) {
        self.entries.iter_mut().filter(|entry| entry.addr == addr).for_each(|entry| entry.age_ms = 0);
    }

    /// Increases the age of a controller that could not be reached.
    pub fn add_age(&mut self, addr: SocketAddrV4, age_ms: u32) {
        for entry in self.entries.iter_mut().filter(|entry| entry.addr == addr) {
            entry.age_ms = entry.age_ms.saturating_add(age_ms);
        }
    }

    /// Drops expired entries, unless all are expired: an old entry is better than none.
    pub fn drop_expired(&mut self) {
        let expiry_age_ms = self.expiry_age_ms;
        if self.entries.iter().any(|entry| entry.age_ms < expiry_age_ms) {
            self.entries.retain(|entry| entry.age_ms < expiry_age_ms);
        }
    }

    /// Removes the oldest entry. A young entry that is the only one of its zone is removed only if all entries are like
    /// that.
    fn evict(&mut self) {
        let count_in_zone = |zone: &str| self.entries.iter().filter(|entry| entry.zone == zone).count();
        let indexed = self.entries.iter().enumerate();
        let evicted = indexed.max_by_key(|(_, entry)| {
            let is_expendable = entry.age_ms >= self.max_young_age_ms() || count_in_zone(&entry.zone) > 1;
            (is_expendable, entry.age_ms)
        });
        if let Some(index) = evicted.map(|(index, _)| index) {
            self.entries.swap_remove(index);
        }
    }

    /// Age from which an entry is no longer sent to others.
    fn max_young_age_ms(&self) -> u32 {
        self.expiry_age_ms / 2
    }
}
