//! The controllers that are known to answer, or may.

use fernknot_distribution::ControllerEndpoint;
use fernknot_rpc::ControllerEndpoint as ReportedController;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Controllers by inner address.
#[derive(Default)]
pub(super) struct KnownControllers {
    /// The zone of each; empty for a seed, whose zone is not known.
    zones: BTreeMap<SocketAddrV4, String>,
}

impl KnownControllers {
    /// Adds controllers that may answer at these addresses.
    pub(super) fn add_seeds(&mut self, addrs: &[SocketAddrV4]) {
        for addr in addrs {
            self.zones.entry(*addr).or_default();
        }
    }

    /// A source in touch with the controllers has reported all of them.
    pub(super) fn replace(&mut self, controllers: Vec<ReportedController>) {
        self.zones = controllers.into_iter().map(|known| (known.addr, known.zone)).collect();
    }

    /// As the choice of sources needs them.
    pub(super) fn endpoints(&self) -> Vec<ControllerEndpoint> {
        let endpoint =
            |(addr, zone): (&SocketAddrV4, &String)| ControllerEndpoint { addr: *addr, zone: zone.clone() };
        self.zones.iter().map(endpoint).collect()
    }

    /// As subscribers are told of them.
    pub(super) fn reported(&self) -> Vec<ReportedController> {
        let reported =
            |(addr, zone): (&SocketAddrV4, &String)| ReportedController { addr: *addr, zone: zone.clone() };
        self.zones.iter().map(reported).collect()
    }

    /// The controllers, for a person to read.
    pub(super) fn describe(&self) -> String {
        self.zones.iter().map(|(addr, zone)| format!("controller {addr} {zone}\n")).collect()
    }
}
