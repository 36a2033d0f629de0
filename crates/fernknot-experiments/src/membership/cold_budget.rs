//! What routers take of a cold node's budget that all of them share: each takes a part, by what warm nodes answered to
//! it lately and by how many routers it takes to be live. A router that takes too few for live takes too much.

use fernknot::interface::Nanos;

/// What warm nodes answer to a router is measured in this interval, as the decision module does.
pub(super) const MEASURING_INTERVAL: Nanos = Nanos(2_000_000_000);
/// The weight of a new measurement.
const GAIN: f64 = 0.2;

/// One router's part of the budget.
pub(super) struct BudgetShare {
    share: f64,
    /// Among how many routers it was shared last.
    sharers: f64,
}

impl BudgetShare {
    /// An equal part for each router.
    pub fn new(routers: u32) -> BudgetShare {
        BudgetShare { share: 1.0 / f64::from(routers), sharers: f64::from(routers) }
    }

    /// The part that this router takes, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// A new process has measured nothing; `is_restart` if another ran before it.
    pub fn process_started(&mut self, routers: u32, is_restart: bool) {
        if is_restart {
            self.share = 0.0;
        }
        self.sharers = f64::from(routers);
    }

    /// With more routers than were measured among, each takes less at once.
    pub fn set_sharers(&mut self, sharers: usize) {
        let sharers = sharers as f64;
        if sharers > self.sharers {
            self.share *= self.sharers / sharers;
        }
        self.sharers = sharers;
    }

    /// What warm nodes answered to this router, as a share of what they answered to all of those that run.
    pub fn measure(&mut self, measured_share: f64) {
        let gain = if self.share > 0.0 { GAIN } else { 1.0 };
        self.share += (measured_share - self.share) * gain;
    }
}
