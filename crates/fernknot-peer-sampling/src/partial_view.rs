//! Partial view: the bounded list of processes that takes part in shuffles.

use crate::peer_descriptor::PeerDescriptor;
use std::net::SocketAddrV4;

/// Minimum number of entries of each zone that a full view keeps, if its size permits.
const MIN_ENTRIES_PER_ZONE: usize = 2;

/// Partial view of a process; the addresses of its entries are unique.
pub(crate) struct PartialView {
    capacity: usize,
    entries: Vec<PeerDescriptor>,
}

impl PartialView {
    /// Creates an empty view.
    pub fn new(capacity: usize) -> PartialView {
        PartialView { capacity, entries: Vec::with_capacity(capacity) }
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &PeerDescriptor> {
        self.entries.iter()
    }

    /// Iterates mutably over all entries.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut PeerDescriptor> {
        self.entries.iter_mut()
    }

    /// Whether the view has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether less than half of the capacity is used.
    pub fn is_half_empty(&self) -> bool {
        self.entries.len() < self.capacity / 2
    }

    /// Removes the entry with an address.
    pub fn remove(&mut self, addr: SocketAddrV4) {
        self.entries.retain(|entry| entry.addr != addr);
    }

    /// Removes the entries of at least this age.
    pub fn drop_expired(&mut self, expiry_age_ms: u32) {
        self.entries.retain(|entry| entry.age_ms < expiry_age_ms);
    }

    /// Returns the oldest entry of a zone, or of all zones.
    pub fn oldest(&self, zone: Option<&str>) -> Option<&PeerDescriptor> {
        let candidates = self.entries.iter().filter(|entry| zone.is_none_or(|zone| entry.zone == zone));
        candidates.max_by_key(|entry| entry.age_ms)
    }

    /// Adds or updates an entry. In a full view it replaces an entry that this shuffle sent to the peer (`sent`, the
    /// last first), or else the oldest entry of the zone with the most entries if the new entry's zone has fewer than
    /// `MIN_ENTRIES_PER_ZONE`. Without such an entry it is ignored.
    pub fn merge(&mut self, entry: &PeerDescriptor, sent: &mut Vec<SocketAddrV4>) {
        if let Some(known) = self.entries.iter_mut().find(|known| known.addr == entry.addr) {
            known.merge_younger(entry);
        } else if self.entries.len() < self.capacity {
            self.entries.push(entry.clone());
        } else if let Some(index) = self.take_sent_entry(sent).or_else(|| self.largest_zone_entry(entry)) {
            self.entries[index] = entry.clone();
        }
    }

    /// Index of the last entry in `sent` that is still in the view; removes it and those after it from `sent`.
    fn take_sent_entry(&self, sent: &mut Vec<SocketAddrV4>) -> Option<usize> {
        while let Some(addr) = sent.pop() {
            if let Some(index) = self.entries.iter().position(|entry| entry.addr == addr) {
                return Some(index);
            }
        }
        None
    }

    /// Index of the oldest entry of the zone with the most entries, if the new entry's zone has too few.
    fn largest_zone_entry(&self, new: &PeerDescriptor) -> Option<usize> {
        let largest = self.entries.iter().map(|entry| self.count_in_zone(&entry.zone)).max().unwrap_or(0);
        if self.count_in_zone(&new.zone) >= MIN_ENTRIES_PER_ZONE || largest <= MIN_ENTRIES_PER_ZONE {
            return None;
        }
        let indexed = self.entries.iter().enumerate();
        let of_largest_zones = indexed.filter(|(_, entry)| self.count_in_zone(&entry.zone) == largest);
        of_largest_zones.max_by_key(|(_, entry)| entry.age_ms).map(|(index, _)| index)
    }

    fn count_in_zone(&self, zone: &str) -> usize {
        self.entries.iter().filter(|entry| entry.zone == zone).count()
    }
}
