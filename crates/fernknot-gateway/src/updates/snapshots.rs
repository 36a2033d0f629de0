//! Services of whose nodes this gateway has a complete snapshot.

use fernknot_rpc::Subscription;
use std::collections::BTreeSet;

/// Snapshots that sources have completed since the start of the process.
#[derive(Default)]
pub(super) struct Snapshots {
    /// Whether any source has completed a snapshot.
    has_any: bool,
    /// Services of the configuration in force that were in a complete snapshot.
    complete: BTreeSet<String>,
}

impl Snapshots {
    /// Records that a source has sent all node records of a subscription. `services` are those of the configuration in
    /// force.
    pub(super) fn record_complete(&mut self, subscription: &Subscription, services: &BTreeSet<String>) {
        self.has_any = true;
        match subscription {
            Subscription::All => self.complete.extend(services.iter().cloned()),
            Subscription::Services(names) => {
                let in_force = names.iter().filter(|name| services.contains(*name));
                self.complete.extend(in_force.cloned());
            }
        }
    }

    /// Forgets services that no configuration in force names: their nodes are no longer received.
    pub(super) fn retain(&mut self, services: &BTreeSet<String>) {
        self.complete.retain(|name| services.contains(name));
    }

    /// Whether all node records of a subscription have been received. `services` are those of the configuration in
    /// force.
    pub(super) fn covers(&self, subscription: &Subscription, services: &BTreeSet<String>) -> bool {
        let is_complete = |name: &String| self.complete.contains(name);
        self.has_any
            && match subscription {
                Subscription::All => services.iter().all(is_complete),
                Subscription::Services(names) => names.iter().all(is_complete),
            }
    }
}
