//! Gateways' connections to controllers: notifications, and loss of the connections.

use crate::gateways::state::{Endpoint, GatewayLink, Side};
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_net::Buffer;
use fernknot_rpc::{ControllerToGateway, read_message, write_message};

/// Intervals at which the seeded bug `WithholdsConfigs` begins to withhold configurations, and for how long.
const WITHHOLDING_INTERVAL: Nanos = millis(20_000);
const WITHHOLDING_TIME: Nanos = millis(8000);

impl Simulation {
    /// Sends a message of a controller to a subscribed gateway.
    pub(crate) fn notify_gateway(&mut self, to: SubscriberId, message: &ControllerToGateway) {
        let is_config = matches!(message, ControllerToGateway::Config { .. });
        if is_config && self.settings.has_bug(SeededBug::WithholdsConfigs) && self.withholds_configs() {
            return;
        }
        let mut output = Buffer::default();
        write_message(&mut output, message);
        if self.settings.has_bug(SeededBug::ReplaysOldConfig)
            && let ControllerToGateway::Config { revision, config } = message
            && let Some(older) = self.gateways.previous_config.replace(config.clone())
        {
            // Sends the previous configuration again with the next revision.
            let replayed = ControllerToGateway::Config { revision: revision + 1, config: older };
            write_message(&mut output, &replayed);
        }
        self.send_bytes(to.0, Side::Acceptor, output.data().to_vec());
    }

    fn withholds_configs(&self) -> bool {
        self.now.0 % WITHHOLDING_INTERVAL.0 < WITHHOLDING_TIME.0
    }

    /// Implements the seeded bug `RelaysNoConfigs`: removes the configurations from messages of one gateway to another.
    pub(super) fn without_relayed_configs(&self, link: GatewayLink, bytes: Vec<u8>) -> Vec<u8> {
        let opener =
            self.gateways.connections.get(&link.connection).map(|connection| connection.opener.endpoint);
        let is_to_subscriber =
            link.side == Side::Acceptor && matches!(opener, Some(Endpoint::Gateway { .. }));
        if !self.settings.has_bug(SeededBug::RelaysNoConfigs) || !is_to_subscriber {
            return bytes;
        }
        let (mut input, mut output) = (Buffer::default(), Buffer::default());
        input.push(&bytes);
        while let Ok(Some(message)) = read_message::<ControllerToGateway>(&mut input, bytes.len()) {
            if !matches!(message, ControllerToGateway::Config { .. }) {
                write_message(&mut output, &message);
            }
        }
        output.data().to_vec()
    }

    /// Breaks the gateways' connections to a controller whose process has ended or whose connections were reset.
    /// Gateways detect a power loss only after a time-out.
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

    /// Breaks the connections of gateways across a partitioned link.
    pub(crate) fn partition_gateways(&mut self, from: usize, to: usize) {
        let after = self.settings.bounds.suspect_timeout();
        let is_affected =
            self.gateways.connections_where(|connection| connection.links(from, to) && !connection.is_broken);
        for id in is_affected {
            self.break_connection(id, after);
        }
    }
}
