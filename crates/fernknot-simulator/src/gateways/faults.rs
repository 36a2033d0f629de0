//! Faults of gateways and nodes, drawn during the run.

use crate::gateways::state::GatewayEvent;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Maximum time between two faults of gateways or nodes, without and with changes in series.
const MAX_PAUSE: Nanos = millis(8000);
const MAX_SERIES_PAUSE: Nanos = millis(14_000);

impl Simulation {
    pub(super) fn inject_gateway_fault(&mut self) {
        if self.now >= self.settings.fault_period {
            return;
        }
        let max_pause = if self.settings.changes_in_series { MAX_SERIES_PAUSE } else { MAX_PAUSE };
        let delay = self.rng.between(millis(1500), max_pause);
        self.schedule_gateway(delay, GatewayEvent::InjectFault);
        let index = self.rng.below(self.gateways.processes.len());
        let kind = self.rng.below(5);
        if kind == 4 {
            return self.overload_nodes();
        }
        let process = &mut self.gateways.processes[index];
        if process.gateway.is_none() || process.is_frozen {
            return;
        }
        process.disturbed_at = self.now;
        match kind {
            0 => self.end_gateway(index),
            1 => self.stop_gateway(index),
            2 => self.freeze_gateway(index),
            _ => self.reset_gateway(index),
        }
    }

    /// Begins a graceful shutdown, as SIGTERM does.
    fn stop_gateway(&mut self, index: usize) {
        let process = &mut self.gateways.processes[index];
        let local_time = process.clock.read(self.now);
        if let Some(gateway) = process.gateway.as_mut() {
            gateway.stop(local_time, &mut process.ports);
        }
        self.trace(|| format!("gateway {index} is asked to stop"));
        self.flush_gateway(index);
    }

    fn freeze_gateway(&mut self, index: usize) {
        let process = &mut self.gateways.processes[index];
        process.is_frozen = true;
        let incarnation = process.incarnation;
        self.trace(|| format!("gateway {index} freezes"));
        let delay = self.rng.between(millis(100), millis(3000));
        self.schedule_gateway(delay, GatewayEvent::Thaw { gateway: index, incarnation });
    }

    pub(super) fn thaw_gateway(&mut self, index: usize, incarnation: u64) {
        let process = &mut self.gateways.processes[index];
        if process.incarnation == incarnation {
            process.is_frozen = false;
            process.disturbed_at = self.now;
            self.schedule_turn(index, Nanos(0));
        }
    }

    /// Resets all connections of a gateway.
    fn reset_gateway(&mut self, index: usize) {
        self.trace(|| format!("gateway {index}: its connections are reset"));
        let links: Vec<u64> =
            self.gateways.processes[index].links.values().map(|link| link.connection).collect();
        for connection in links {
            self.break_connection(connection, Nanos(0));
        }
    }
}
