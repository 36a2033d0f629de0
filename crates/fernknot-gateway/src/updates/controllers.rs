//! Controllers that this gateway may subscribe to.

use fernknot_distribution::ControllerEndpoint;
use fernknot_rpc::ControllerEndpoint as ReportedController;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Known controllers by inner address, that is, the one for other processes of the system.
#[derive(Default)]
pub(super) struct KnownControllers {
    /// Zone of each controller; empty for a seed, whose zone is unknown.
    zones: BTreeMap<SocketAddrV4, String>,
}

impl KnownControllers {
    /// Adds controllers that may answer at these addresses.
    pub(super) fn add_seeds(&mut self, addrs: &[SocketAddrV4]) {
        for addr in addrs {
            self.zones.entry(*addr).or_default();
        }
    }

    /// Replaces all controllers with the list in a heartbeat with a lease, which is complete.
    pub(super) fn replace(&mut self, controllers: Vec<ReportedController>) {
        self.zones = controllers.into_iter().map(|known| (known.addr, known.zone)).collect();
    }

    /// Returns the controllers for the selection of sources.
    pub(super) fn endpoints(&self) -> Vec<ControllerEndpoint> {
        let endpoint =
            |(addr, zone): (&SocketAddrV4, &String)| ControllerEndpoint { addr: *addr, zone: zone.clone() };
        self.zones.iter().map(endpoint).collect()
    }

    /// Returns the controllers for heartbeats to subscribers.
    pub(super) fn reported(&self) -> Vec<ReportedController> {
        let reported =
            |(addr, zone): (&SocketAddrV4, &String)| ReportedController { addr: *addr, zone: zone.clone() };
        self.zones.iter().map(reported).collect()
    }

    /// Returns the controllers as text for operators.
    pub(super) fn describe(&self) -> String {
        self.zones.iter().map(|(addr, zone)| format!("controller {addr} {zone}\n")).collect()
    }
}
