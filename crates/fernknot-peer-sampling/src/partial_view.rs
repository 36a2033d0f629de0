//! The bounded list of processes that is shuffled.

use crate::peer_descriptor::PeerDescriptor;
use std::net::SocketAddrV4;

/// Entries kept of each zone at least, as long as the view has room for it.
const MIN_ENTRIES_PER_ZONE: usize = 2;

/// A process's partial view; no two entries have the same address.
pub(crate) struct PartialView {
    capacity: usize,
    entries: Vec<PeerDescriptor>,
}

impl PartialView {
    /// Without entries yet.
    pub fn new(capacity: usize) -> PartialView {
        PartialView { capacity, entries: Vec::with_capacity(capacity) }
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter()
    }

    /// All entries.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PeerDescriptor> {
        self.entries.iter_mut()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether there are entries for less than half of the capacity.
    pub fn is_half_empty(&self) -> bool {
        self.entries.len() < self.capacity / 2
    }

    /// Removes the entry of an address.
    pub fn remove(&mut self, addr: SocketAddrV4) {
        self.entries.retain(|entry| entry.addr != addr);
    }

    /// Removes the entries of this age and above.
    pub fn drop_expired(&mut self, expiry_age_ms: u32) {
        self.entries.retain(|entry| entry.age_ms < expiry_age_ms);
    }

    /// The oldest entry, in a zone or in all.
    pub fn oldest(&self, zone: Option<&str>) -> Option<&PeerDescriptor> {
        let candidates = self.entries.iter().filter(|entry| zone.is_none_or(|zone| entry.zone == zone));
        candidates.max_by_key(|entry| entry.age_ms)
    }

    /// Takes an entry in. Where the view is full it replaces one that was sent to the peer (`sent`, the last first), or
    /// one of a crowded zone.
    pub fn merge(&mut self, entry: &PeerDescriptor, sent: &mut Vec<SocketAddrV4>) {
        if let Some(known) = self.entries.iter_mut().find(|known| known.addr == entry.addr) {
            known.merge_younger(entry);
        } else if self.entries.len() < self.capacity {
            self.entries.push(entry.clone());
        } else if let Some(index) = self.take_sent_entry(sent).or_else(|| self.crowded_zone_entry(entry)) {
            self.entries[index] = entry.clone();
        }
    }

    fn take_sent_entry(&self, sent: &mut Vec<SocketAddrV4>) -> Option<usize> {
        while let Some(addr) = sent.pop() {
            if let Some(index) = self.entries.iter().position(|entry| entry.addr == addr) {
                return Some(index);
            }
        }
        None
    }

    /// The oldest entry of the zone with the most, if the new entry is of a zone with too few.
    fn crowded_zone_entry(&self, new: &PeerDescriptor) -> Option<usize> {
        let largest = self.entries.iter().map(|entry| self.count(&entry.zone)).max().unwrap_or(0);
        if self.count(&new.zone) >= MIN_ENTRIES_PER_ZONE || largest <= MIN_ENTRIES_PER_ZONE {
            return None;
        }
        let indexed = self.entries.iter().enumerate();
        let crowded = indexed.filter(|(_, entry)| self.count(&entry.zone) == largest);
        crowded.max_by_key(|(_, entry)| entry.age_ms).map(|(index, _)| index)
    }

    fn count(&self, zone: &str) -> usize {
        self.entries.iter().filter(|entry| entry.zone == zone).count()
    }
}
