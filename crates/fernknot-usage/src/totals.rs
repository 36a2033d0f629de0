//! Totals of several gateway incarnations in the newest windows.

use crate::report::{UsageReport, WindowNumber, WindowUsage};
use fernknot_ownership::IncarnationId;
use std::collections::BTreeMap;

/// Limits on the memory of [`UsageTotals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageLimits {
    /// Maximum number of windows; the oldest ones are forgotten.
    pub max_windows: usize,
    /// Maximum number of totals. Beyond it, totals of further tenants are not recorded.
    pub max_totals: usize,
}

/// Incarnation that counted, and the name of the tenant.
type TotalKey = (IncarnationId, String);

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    requests: u64,
    /// Total at the last report.
    reported: u64,
}

/// Totals of one window.
#[derive(Debug, Default)]
struct Window {
    totals: BTreeMap<TotalKey, Total>,
    /// Whether a total may have changed since the last report.
    has_changes: bool,
}

/// Totals of requests by window, incarnation and tenant. A total never decreases, so that reports may arrive several
/// times, in any order and over several ways.
#[derive(Debug)]
pub struct UsageTotals {
    limits: UsageLimits,
    windows: BTreeMap<WindowNumber, Window>,
    total_count: usize,
}

impl UsageTotals {
    /// Creates totals without a window.
    pub fn new(limits: UsageLimits) -> UsageTotals {
        UsageTotals { limits, windows: BTreeMap::new(), total_count: 0 }
    }

    /// Counts a request.
    pub fn count(&mut self, incarnation: IncarnationId, window: WindowNumber, tenant: &str) {
        if let Some(total) = self.total_mut(incarnation, window, tenant) {
            total.requests += 1;
        }
    }

    /// Records the totals of a report, where they are higher than the known ones.
    pub fn record(&mut self, report: &UsageReport) {
        for usage in &report.windows {
            for (tenant, requests) in &usage.requests {
                if let Some(total) = self.total_mut(report.incarnation, usage.window, tenant) {
                    total.requests = total.requests.max(*requests);
                }
            }
        }
    }

    /// Returns the totals that have changed since they were last taken, at most `max_totals` of them. Call again until
    /// there are none.
    pub fn take_changed(&mut self, max_totals: usize) -> Vec<UsageReport> {
        let mut changed: BTreeMap<IncarnationId, Vec<WindowUsage>> = BTreeMap::new();
        let mut remaining = max_totals;
        for (number, window) in self.windows.iter_mut().filter(|(_, window)| window.has_changes) {
            for ((incarnation, tenant), total) in &mut window.totals {
                if total.requests == total.reported {
                    continue;
                }
                if remaining == 0 {
                    return into_reports(changed);
                }
                remaining -= 1;
                total.reported = total.requests;
                let windows = changed.entry(*incarnation).or_default();
                if windows.last().is_none_or(|last| last.window != *number) {
                    windows.push(WindowUsage { window: *number, requests: Vec::new() });
                }
                if let Some(usage) = windows.last_mut() {
                    usage.requests.push((tenant.clone(), total.requests));
                }
            }
            window.has_changes = false;
        }
        into_reports(changed)
    }

    /// Makes [`UsageTotals::take_changed`] return all totals again, for a receiver that may know none.
    pub fn mark_all_changed(&mut self) {
        for window in self.windows.values_mut() {
            window.has_changes = true;
            window.totals.values_mut().for_each(|total| total.reported = 0);
        }
    }

    /// Returns the total, to be changed, and adds it if there is room; `None` for a window that is older than all kept ones.
    fn total_mut(
        &mut self,
        incarnation: IncarnationId,
        window: WindowNumber,
        tenant: &str,
    ) -> Option<&mut Total> {
        let key = (incarnation, tenant.to_string());
        let is_known = self.windows.get(&window).is_some_and(|known| known.totals.contains_key(&key));
        if !is_known && !self.make_room(window) {
            return None;
        }
        self.total_count += usize::from(!is_known);
        let window = self.windows.entry(window).or_default();
        window.has_changes = true;
        Some(window.totals.entry(key).or_default())
    }

    /// Forgets the oldest windows until a total of this window can be added. Returns whether it can.
    fn make_room(&mut self, window: WindowNumber) -> bool {
        let is_new = !self.windows.contains_key(&window);
        while is_new && self.windows.len() >= self.limits.max_windows || self.is_full() {
            match self.windows.first_key_value() {
                Some((oldest, _)) if *oldest < window => self.forget_oldest(),
                _ => return false,
            }
        }
        true
    }

    fn is_full(&self) -> bool {
        self.total_count >= self.limits.max_totals
    }

    fn forget_oldest(&mut self) {
        if let Some((_, window)) = self.windows.pop_first() {
            self.total_count -= window.totals.len();
        }
    }
}

fn into_reports(changed: BTreeMap<IncarnationId, Vec<WindowUsage>>) -> Vec<UsageReport> {
    changed.into_iter().map(|(incarnation, windows)| UsageReport { incarnation, windows }).collect()
}
