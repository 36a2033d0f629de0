//! How controllers are found when none of those that are known answers.

use crate::settings::GatewaySettings;
use fernknot::interface::Nanos;
use fernknot_net::Network;
use fernknot_peer_sampling::PeerDescriptor;
use fernknot_rpc::ShuffleProtocol;
use std::net::SocketAddrV4;

/// Partial views are shuffled once in so many times `contact_ms`.
const SHUFFLE_INTERVAL_CONTACTS: f64 = 2.0;

/// Peer sampling by datagrams, and requests to the host to read the settings file again.
pub(crate) struct Discovery {
    peer_sampling: ShuffleProtocol,
    reload_interval: Nanos,
    next_reload_at: Nanos,
    wants_settings_reload: bool,
}

impl Discovery {
    pub(crate) fn new(
        own: PeerDescriptor,
        seeds: &[SocketAddrV4],
        settings: &GatewaySettings,
        rng_seed: u64,
    ) -> Discovery {
        let shuffle_interval = settings.contact.times(SHUFFLE_INTERVAL_CONTACTS);
        Discovery {
            peer_sampling: ShuffleProtocol::new(own, seeds, shuffle_interval, rng_seed),
            reload_interval: settings.contact,
            next_reload_at: Nanos(0),
            wants_settings_reload: false,
        }
    }

    /// The settings name these controllers now.
    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.peer_sampling.set_seeds(seeds);
    }

    /// Handles a datagram of another process and sends its reply.
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

    /// Where controllers may be that no source of updates names any more. The settings may name others by now, so the
    /// host is asked to read them again, at most once in a reload interval.
    pub(crate) fn find_controllers(&mut self, now: Nanos) -> Vec<SocketAddrV4> {
        if now >= self.next_reload_at {
            self.next_reload_at = now + self.reload_interval;
            self.wants_settings_reload = true;
        }
        self.peer_sampling.candidate_controllers()
    }

    /// Whether the host is to read the settings again; true once for each request.
    pub(crate) fn take_settings_reload_request(&mut self) -> bool {
        std::mem::take(&mut self.wants_settings_reload)
    }
}
