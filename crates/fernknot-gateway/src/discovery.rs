//! Discovery of controllers when none of the known ones answers.

use crate::settings::GatewaySettings;
use fernknot::interface::Nanos;
use fernknot_net::Network;
use fernknot_peer_sampling::PeerDescriptor;
use fernknot_rpc::ShuffleProtocol;
use std::net::SocketAddrV4;

/// Interval of peer sampling's shuffles (exchanges of known addresses with another process), in multiples of
/// `contact_ms`.
const SHUFFLE_INTERVAL_CONTACTS: f64 = 2.0;

/// Peer sampling over datagrams, and requests to the host (the program that drives the gateway) to read the settings
/// file again.
pub(crate) struct Discovery {
    peer_sampling: ShuffleProtocol,
    reload_interval: Nanos,
    next_reload_at: Nanos,
    settings_reload_requested: bool,
}

impl Discovery {
    pub(crate) fn new(
        own: PeerDescriptor,
        seeds: &[SocketAddrV4],
        settings: &GatewaySettings,
        rng_seed: u64,
    ) -> Discovery {
        let shuffle_interval = settings.contact_timeout.times(SHUFFLE_INTERVAL_CONTACTS);
        Discovery {
            peer_sampling: ShuffleProtocol::new(own, seeds, shuffle_interval, rng_seed),
            reload_interval: settings.contact_timeout,
            next_reload_at: Nanos(0),
            settings_reload_requested: false,
        }
    }

    /// Adds the controllers that the settings name now to the seeds. Earlier seeds are kept as long as there is room.
    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peer_sampling.set_seeds(seeds);
    }

    /// Handles a datagram from another process and sends the reply, if there is one.
    pub(crate) fn handle_datagram<N: Network>(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        bytes: &[u8],
        network: &mut N,
    ) {
        if let Some(reply) = self.peer_sampling.handle_datagram(now, from, bytes) {
            network.send_datagram(from, &reply);
        }
    }

    /// Sends the datagrams that are due.
    pub(crate) fn send_due<N: Network>(&mut self, now: Nanos, network: &mut N) {
        while let Some((to, bytes)) = self.peer_sampling.poll_datagram(now) {
            network.send_datagram(to, &bytes);
        }
    }

    /// Returns addresses of controllers that may answer although no source of updates names them any more. The settings
    /// may name other controllers by now, so the host is asked to read them again, at most once per reload interval.
    pub(crate) fn find_controllers(&mut self, now: Nanos) -> Vec<SocketAddrV4> {
        if now >= self.next_reload_at {
            self.next_reload_at = now + self.reload_interval;
            self.settings_reload_requested = true;
        }
        self.peer_sampling.candidate_controllers()
    }

    /// Whether the host has to read the settings again; true once for each request.
    pub(crate) fn take_settings_reload_request(&mut self) -> bool {
        std::mem::take(&mut self.settings_reload_requested)
    }
}
