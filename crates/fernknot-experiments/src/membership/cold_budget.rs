//! Shares of a cold node's load budget. A node is cold for a while after its start; all routers together may then send
//! it a limited load, the budget, which they divide among themselves without coordination. A router derives its share
//! from its part of the recent answers of the other, warm nodes, and from the number of routers that it considers live.
//! A router that underestimates this number claims too much.

use fernknot::interface::Nanos;

/// Interval at which routers measure their part of the warm nodes' answers, as in the production router.
pub(super) const MEASURING_INTERVAL: Nanos = Nanos(2_000_000_000);
/// Weight of a new measurement in the moving average, from 0 to 1.
const MEASUREMENT_WEIGHT: f64 = 0.2;

/// Share of a cold node's budget that one router claims.
pub(super) struct BudgetShare {
    share: f64,
    /// Number of routers that this router considered live when the number was last set.
    live_routers: f64,
}

impl BudgetShare {
    /// Creates the share of one of `routers` routers that divide the budget equally.
    pub fn new(routers: u32) -> BudgetShare {
        BudgetShare { share: 1.0 / f64::from(routers), live_routers: f64::from(routers) }
    }

    /// Share that this router claims, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Prepares the share for a new process of the router; a restarted process claims nothing until its first
    /// measurement. `routers` is the number of all routers.
    pub fn process_started(&mut self, routers: u32, is_restart: bool) {
        if is_restart {
            self.share = 0.0;
        }
        self.live_routers = f64::from(routers);
    }

    /// Sets the number of routers that this router considers live. An increase lowers the share in proportion at once,
    /// before the next measurement.
    pub fn set_live_routers(&mut self, live_routers: usize) {
        let live_routers = live_routers as f64;
        if live_routers > self.live_routers {
            self.share *= self.live_routers / live_routers;
        }
        self.live_routers = live_routers;
    }

    /// Adds a measurement: the share of the warm nodes' answers that went to this router, from 0 to 1.
    pub fn add_measurement(&mut self, measured_share: f64) {
        let weight = if self.share > 0.0 { MEASUREMENT_WEIGHT } else { 1.0 };
        self.share += (measured_share - self.share) * weight;
    }
}
