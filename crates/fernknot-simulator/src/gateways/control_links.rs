//! Gateways' connections to controllers: notifications, and what ends the connections.

use crate::gateways::state::{Endpoint, Side};
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot_controller::SubscriberId;
use fernknot_net::Buffer;
use fernknot_rpc::{ControllerToGateway, write_message};

impl Simulation {
    /// A controller sends something to a gateway that is subscribed to it.
    pub(crate) fn notify_gateway(&mut self, to: SubscriberId, message: &ControllerToGateway) {
        let mut output = Buffer::default();
        write_message(&mut output, message);
        if self.settings.has_bug(SeededBug::ReplaysOldConfig)
            && let ControllerToGateway::Config { revision, config } = message
            && let Some(older) = self.gateways.previous_config.replace(config.clone())
        {
            // The configuration before this one comes again, as if it were the newest.
            let replayed = ControllerToGateway::Config { revision: revision + 1, config: older };
            write_message(&mut output, &replayed);
        }
        self.send_bytes(to.0, Side::Acceptor, output.data().to_vec());
    }

    /// A controller's process has ended, or its connections were reset. Gateways learn of it later, if the machine has
    /// lost power.
    pub(crate) fn drop_gateway_connections(&mut self, machine: usize, incarnation: u64, loses_power: bool) {
        let after = if loses_power { self.settings.bounds.suspect_timeout() } else { millis(5) };
        let is_reset = self.machines[machine].is_up();
        let controller = Endpoint::Controller { machine, incarnation };
        for id in self.gateways.connections_where(|connection| connection.acceptor.endpoint == controller) {
            self.break_connection(id, after);
            let opener = self.gateways.connections.get(&id).map(|connection| connection.opener.endpoint);
            if is_reset && let Some(Endpoint::Gateway { index, .. }) = opener {
                self.gateways.processes[index].disturbed_at = self.now;
            }
        }
    }

    /// Connections of gateways don't survive a partition.
    pub(crate) fn partition_gateways(&mut self, from: usize, to: usize) {
        let after = self.settings.bounds.suspect_timeout();
        let is_affected =
            self.gateways.connections_where(|connection| connection.links(from, to) && !connection.is_broken);
        for id in is_affected {
            self.break_connection(id, after);
        }
    }
}
