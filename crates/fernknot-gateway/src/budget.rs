//! This gateway's share of the budget for retries.

/// The retries that are free in each window, for all gateways together, and this gateway's share of them.
pub(crate) struct BudgetShare {
    /// Free retries of one service in a window, over all gateways.
    total: f64,
    /// How many gateways share them; `None` while this one may take no share.
    sharers: Option<u32>,
}

impl BudgetShare {
    pub(crate) fn new(total: f64) -> BudgetShare {
        BudgetShare { total, sharers: None }
    }

    /// Sets how many gateways share the budget; returns whether that has changed.
    pub(crate) fn set_sharers(&mut self, sharers: Option<u32>) -> bool {
        std::mem::replace(&mut self.sharers, sharers) != sharers
    }

    pub(crate) fn sharers(&self) -> Option<u32> {
        self.sharers
    }

    /// Free retries of this gateway in a window; none while the others may not count it.
    pub(crate) fn slack(&self) -> f64 {
        self.sharers.map_or(0.0, |sharers| self.total / f64::from(sharers.max(1)))
    }
}
