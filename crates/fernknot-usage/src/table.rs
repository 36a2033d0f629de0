//! Table of the totals that gateways have reported, by window, incarnation and tenant.

use crate::report::{UsageReport, WindowNumber, WindowUsage};
use fernknot_ownership::IncarnationId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Totals of one window, by the incarnation that counted and the tenant.
type WindowTotals = BTreeMap<(IncarnationId, Arc<str>), u64>;

/// Limits of a [`UsageTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Maximum number of totals of all windows; a report of a new one beyond it is rejected.
    pub max_totals: usize,
    /// Maximum length of a tenant's name, in bytes; a total with a longer one is rejected.
    pub max_name_bytes: usize,
}

/// Numbers of totals that a table did not take over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedTotals {
    /// Totals of windows that are no longer open, which exceed what is known of them.
    pub late: u64,
    /// Totals of windows that lie too far ahead.
    pub early: u64,
    /// Totals beyond the limits.
    pub over_limit: u64,
}

/// Totals of all open windows. Merging reports in any order, and any number of times, gives the same totals as long as
/// no limit is reached: of several totals of one incarnation, window and tenant, the largest counts.
#[derive(Clone, Debug)]
pub struct UsageTable {
    limits: TableLimits,
    windows: BTreeMap<WindowNumber, WindowTotals>,
    /// Names of the tenants in the windows, each held once.
    names: BTreeSet<Arc<str>>,
    total_count: usize,
    rejected: RejectedTotals,
}

impl UsageTable {
    /// Creates an empty table.
    pub fn new(limits: TableLimits) -> UsageTable {
        UsageTable {
            limits,
            windows: BTreeMap::new(),
            names: BTreeSet::new(),
            total_count: 0,
            rejected: RejectedTotals::default(),
        }
    }

    /// Merges a report, without totals of windows that are not `open`. Returns what was new in it, to be passed on to
    /// others, or None if nothing was.
    pub fn merge(&mut self, report: &UsageReport, open: RangeInclusive<WindowNumber>) -> Option<UsageReport> {
        let mut changed = Vec::new();
        for WindowUsage { window, requests } in &report.windows {
            if !open.contains(window) {
                let is_late = window < open.start();
                let rejected = if is_late { &mut self.rejected.late } else { &mut self.rejected.early };
                *rejected += requests.len() as u64;
                continue;
            }
            let requests: Vec<_> = requests
                .iter()
                .filter(|(tenant, total)| self.raise(*window, report.incarnation, tenant, *total))
                .cloned()
                .collect();
            if !requests.is_empty() {
                changed.push(WindowUsage { window: *window, requests });
            }
        }
        (!changed.is_empty()).then_some(UsageReport { incarnation: report.incarnation, windows: changed })
    }

    /// Raises one total. Returns false if it is not higher than the known one, or beyond the limits.
    fn raise(&mut self, window: WindowNumber, incarnation: IncarnationId, tenant: &str, total: u64) -> bool {
        if total == 0 {
            return false;
        }
        if tenant.len() > self.limits.max_name_bytes {
            self.rejected.over_limit += 1;
            return false;
        }
        let name = self.names.get(tenant).cloned().unwrap_or_else(|| Arc::from(tenant));
        let key = (incarnation, name);
        if let Some(known) = self.windows.get_mut(&window).and_then(|totals| totals.get_mut(&key)) {
            let is_higher = *known < total;
            *known = total.max(*known);
            return is_higher;
        }
        if self.total_count >= self.limits.max_totals {
            self.rejected.over_limit += 1;
            return false;
        }
        self.names.insert(key.1.clone());
        self.windows.entry(window).or_default().insert(key, total);
        self.total_count += 1;
        true
    }

    /// Sums of a window over all incarnations, sorted by tenant.
    pub fn sums(&self, window: WindowNumber) -> Vec<(String, u64)> {
        let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
        for ((_, tenant), total) in self.windows.get(&window).into_iter().flatten() {
            let sum = sums.entry(tenant).or_default();
            *sum = sum.saturating_add(*total);
        }
        sums.into_iter().map(|(tenant, sum)| (tenant.to_string(), sum)).collect()
    }

    /// Oldest window with a total.
    pub fn oldest_window(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// Forgets all windows before this one.
    pub fn forget_before(&mut self, first_open: WindowNumber) {
        if self.oldest_window().is_none_or(|oldest| oldest >= first_open) {
            return;
        }
        self.windows = self.windows.split_off(&first_open);
        self.total_count = self.windows.values().map(BTreeMap::len).sum();
        // A name is held here and by each total.
        self.names.retain(|name| Arc::strong_count(name) > 1);
    }

    /// All totals, one report an incarnation, for another table to merge.
    pub fn snapshot(&self) -> Vec<UsageReport> {
        let mut reports: BTreeMap<IncarnationId, BTreeMap<WindowNumber, Vec<(String, u64)>>> =
            BTreeMap::new();
        for (window, totals) in &self.windows {
            for ((incarnation, tenant), total) in totals {
                let windows = reports.entry(*incarnation).or_default();
                windows.entry(*window).or_default().push((tenant.to_string(), *total));
            }
        }
        let to_usage = |(window, requests)| WindowUsage { window, requests };
        let reports = reports.into_iter().map(|(incarnation, windows)| UsageReport {
            incarnation,
            windows: windows.into_iter().map(to_usage).collect(),
        });
        reports.collect()
    }

    /// Number of totals that are held.
    pub fn total_count(&self) -> usize {
        self.total_count
    }

    /// Numbers of totals that were not taken over so far.
    pub fn rejected(&self) -> RejectedTotals {
        self.rejected
    }
}
