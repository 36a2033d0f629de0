//! A retry budget that holds in every window, wherever it begins.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Slots that a window is divided into. A retry may reach its node, and a request may have been sent, up to a
/// slot before or after it is counted here, without leaving the budget.
const SLOTS_PER_WINDOW: i64 = 128;
const SLOTS_PER_HALF_WINDOW: i64 = SLOTS_PER_WINDOW / 2;
/// Slots that are kept: a window, half a window before it, and an edge.
const KEPT_SLOTS: usize = (SLOTS_PER_WINDOW + SLOTS_PER_HALF_WINDOW) as usize + 4;
/// The part of a window's retries that is allowed for its own requests; the rest is allowed for those of the window
/// that began half a window earlier, of which more are known when retries are needed all at once.
const SHARE_FOR_OWN_REQUESTS: f64 = 0.5;

/// What was counted from the start on.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: f64,
    retries: f64,
}

/// Requests and retries of the last windows in slots of time, and how many more retries they allow.
///
/// A window that begins in some slot may hold `free` retries and `ratio` for each request, where half the requests
/// so far in it and half of those in the window that began half a window earlier are counted. Either of these counts
/// may be held against the budget, so their mean may be, too; and as the weights are the same at all routers, the sum
/// over routers is within the budget if each router is within its own part, whatever becomes of the traffic of each.
/// The last retry of a window is checked against what the window holds by then, so no window exceeds it later.
#[derive(Clone, Debug)]
pub struct WindowedBudget {
    slot_length: Nanos,
    /// The slot of the newest entry of `ends`.
    newest_slot: i64,
    /// The totals at the end of each slot, the oldest first; never empty.
    ends: VecDeque<Totals>,
}

impl WindowedBudget {
    /// Nothing counted yet, in windows of this length.
    pub fn new(window: Nanos) -> WindowedBudget {
        let slot_length = Nanos((window.0 / SLOTS_PER_WINDOW as u64).max(1));
        WindowedBudget { slot_length, newest_slot: -1, ends: VecDeque::from([Totals::default()]) }
    }

    /// Counts a request; times must not fall by more than a slot.
    pub fn count_request(&mut self, now: Nanos) {
        self.newest_totals(now).requests += 1.0;
    }

    /// Counts a retry; times must not fall by more than a slot.
    pub fn count_retry(&mut self, now: Nanos) {
        self.newest_totals(now).retries += 1.0;
    }

    /// Whether what was counted has no bearing on any window from now on.
    pub fn is_idle(&self, now: Nanos) -> bool {
        self.slot_of(now) > self.newest_slot + KEPT_SLOTS as i64
    }

    /// How many more retries every window allows, where `free` are allowed in any case and `ratio` for each
    /// request; below 0 where the part of this router has become smaller.
    pub fn remaining(&self, now: Nanos, free: f64, ratio: f64) -> f64 {
        let current = self.slot_of(now);
        let begins = current - SLOTS_PER_WINDOW..=current + 1;
        begins.map(|begin| self.remaining_from(begin, current, free, ratio)).fold(f64::INFINITY, f64::min)
    }

    /// How many more retries are allowed in the windows that begin in this slot. Retries are counted from the
    /// slot before on, requests only where they were sent in the window for certain.
    fn remaining_from(&self, begin: i64, current: i64, free: f64, ratio: f64) -> f64 {
        let (_, retries) = self.counted(begin - 1, current);
        let own = self.requests_sent_within(begin);
        let earlier = self.requests_sent_within(begin - SLOTS_PER_HALF_WINDOW);
        let requests = SHARE_FOR_OWN_REQUESTS * own + (1.0 - SHARE_FOR_OWN_REQUESTS) * earlier;
        free + ratio * requests - retries
    }

    /// The requests so far that were sent in any window that begins in this slot, for certain.
    fn requests_sent_within(&self, begin: i64) -> f64 {
        let (requests, _) = self.counted(begin + 2, begin - 1 + SLOTS_PER_WINDOW);
        requests
    }

    /// The requests and the retries of these slots, both ends among them.
    fn counted(&self, first: i64, last: i64) -> (f64, f64) {
        let before = self.totals_at_end_of(first - 1);
        let until = self.totals_at_end_of(last.max(first - 1));
        (until.requests - before.requests, until.retries - before.retries)
    }

    /// The totals at the end of a slot; for one that is not kept any more, those of the oldest that is.
    fn totals_at_end_of(&self, slot: i64) -> Totals {
        let newest = self.ends.len() as i64 - 1;
        let index = (newest + slot - self.newest_slot).clamp(0, newest);
        self.ends[index as usize]
    }

    fn slot_of(&self, now: Nanos) -> i64 {
        (now.0 / self.slot_length.0) as i64
    }

    /// The totals of the slot of this moment, to be counted up.
    fn newest_totals(&mut self, now: Nanos) -> &mut Totals {
        let slot = self.slot_of(now);
        let last = self.totals_at_end_of(self.newest_slot);
        if slot - self.newest_slot > KEPT_SLOTS as i64 {
            self.ends.clear();
            self.ends.push_back(last);
            self.newest_slot = slot - 1;
        }
        while self.newest_slot < slot {
            self.ends.push_back(last);
            self.newest_slot += 1;
        }
        while self.ends.len() > KEPT_SLOTS {
            self.ends.pop_front();
        }
        let newest = self.ends.len() - 1;
        &mut self.ends[newest]
    }
}
