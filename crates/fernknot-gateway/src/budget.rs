//! This gateway's share of the retry budget.

/// Free retries, which are allowed in each window (`retry_window_s`) whatever the number of requests, and this
/// gateway's share of them.
pub(crate) struct BudgetShare {
    /// Free retries of one service in a window, of all gateways together.
    total: f64,
    /// Number of gateways that share them; `None` while this one may use no share.
    sharers: Option<u32>,
}

impl BudgetShare {
    pub(crate) fn new(total: f64) -> BudgetShare {
        BudgetShare { total, sharers: None }
    }

    /// Sets the number of gateways that share the budget; returns whether it has changed.
    pub(crate) fn set_sharers(&mut self, sharers: Option<u32>) -> bool {
        std::mem::replace(&mut self.sharers, sharers) != sharers
    }

    pub(crate) fn sharers(&self) -> Option<u32> {
        self.sharers
    }

    /// Free retries of this gateway in a window; 0 while it may use no share.
    pub(crate) fn free_retries(&self) -> f64 {
        self.sharers.map_or(0.0, |sharers| self.total / f64::from(sharers.max(1)))
    }
}
