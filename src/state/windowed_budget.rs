//! Retry budget that holds in every window, wherever that begins. A request is an accepted part; a retry is an attempt
//! beyond the first of its part.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Number of slots of a window. The budget holds even if a retry reaches its node, or a request was sent, up to one
/// slot before or after it is counted here.
const SLOTS_PER_WINDOW: i64 = 128;
const SLOTS_PER_HALF_WINDOW: i64 = SLOTS_PER_WINDOW / 2;
/// Number of slots that are kept: a window, half a window before it, and a margin.
const KEPT_SLOTS: usize = (SLOTS_PER_WINDOW + SLOTS_PER_HALF_WINDOW) as usize + 4;
/// Share of a window's retries that is allowed for its own requests. The rest is allowed for those of the window that
/// began half a window earlier, of which more have been counted when many retries are needed at once.
const SHARE_FOR_OWN_REQUESTS: f64 = 0.5;

/// Numbers of requests and retries since the budget was created.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: f64,
    retries: f64,
}

/// Requests and retries of the last windows in time slots, and the number of further retries that they allow.
///
/// A window that begins in some slot may contain `free` retries and `ratio` per request, where half of its own
/// requests so far and half of those in the window that began half a window earlier count. Each of these two counts
/// would be a valid limit, and so is their mean. As the weights are the same at all routers, the sum over routers is
/// within the budget if each router is within its share, however traffic moves between them. The last retry of a
/// window is checked against the requests counted by then, so the window cannot exceed its budget later.
#[derive(Clone, Debug)]
pub struct WindowedBudget {
    slot_length: Nanos,
    /// Slot of the newest entry of `slot_totals`.
    newest_slot: i64,
    /// Totals at the end of each kept slot, oldest first; never empty.
    slot_totals: VecDeque<Totals>,
}

impl WindowedBudget {
    /// Creates an empty budget for windows of this length.
    pub fn new(window: Nanos) -> WindowedBudget {
        let slot_length = Nanos((window.0 / SLOTS_PER_WINDOW as u64).max(1));
        WindowedBudget { slot_length, newest_slot: -1, slot_totals: VecDeque::from([Totals::default()]) }
    }

    /// Counts a request; times must not decrease by more than a slot.
    pub fn count_request(&mut self, now: Nanos) {
        self.newest_totals(now).requests += 1.0;
    }

    /// Counts a retry; times must not decrease by more than a slot.
    pub fn count_retry(&mut self, now: Nanos) {
        self.newest_totals(now).retries += 1.0;
    }

    /// Whether the counts no longer affect any window from now on.
    pub fn is_idle(&self, now: Nanos) -> bool {
        self.slot_of(now) > self.newest_slot + KEPT_SLOTS as i64
    }

    /// Returns the number of further retries that every window allows, with `free` retries in any case and `ratio`
    /// per request; negative if this router's share of the budget has shrunk below its use.
    pub fn remaining(&self, now: Nanos, free: f64, ratio: f64) -> f64 {
        let current = self.slot_of(now);
        let starts = current - SLOTS_PER_WINDOW..=current + 1;
        starts.map(|start| self.remaining_from(start, current, free, ratio)).fold(f64::INFINITY, f64::min)
    }

    /// Returns the number of further retries allowed in the windows that begin in this slot. Retries are counted
    /// from the slot before it on, requests only if they were certainly sent in the window.
    fn remaining_from(&self, start: i64, current: i64, free: f64, ratio: f64) -> f64 {
        let (_, retries) = self.counts_between(start - 1, current);
        let own = self.certain_requests_from(start);
        let earlier = self.certain_requests_from(start - SLOTS_PER_HALF_WINDOW);
        let requests = SHARE_FOR_OWN_REQUESTS * own + (1.0 - SHARE_FOR_OWN_REQUESTS) * earlier;
        free + ratio * requests - retries
    }

    /// Returns the number of requests so far that were certainly sent in every window that begins in this slot.
    fn certain_requests_from(&self, start: i64) -> f64 {
        let (requests, _) = self.counts_between(start + 2, start - 1 + SLOTS_PER_WINDOW);
        requests
    }

    /// Returns the numbers of requests and retries in the slots from `first` to `last`, both included.
    fn counts_between(&self, first: i64, last: i64) -> (f64, f64) {
        let before = self.totals_at_end_of(first - 1);
        let until = self.totals_at_end_of(last.max(first - 1));
        (until.requests - before.requests, until.retries - before.retries)
    }

    /// Returns the totals at the end of a slot, or of the oldest or newest kept slot if it lies outside of these.
    fn totals_at_end_of(&self, slot: i64) -> Totals {
        let newest = self.slot_totals.len() as i64 - 1;
        let index = (newest + slot - self.newest_slot).clamp(0, newest);
        self.slot_totals[index as usize]
    }

    fn slot_of(&self, now: Nanos) -> i64 {
        (now.0 / self.slot_length.0) as i64
    }

    /// Returns the totals of the current slot for counting.
    fn newest_totals(&mut self, now: Nanos) -> &mut Totals {
        let slot = self.slot_of(now);
        let last = self.totals_at_end_of(self.newest_slot);
        if slot - self.newest_slot > KEPT_SLOTS as i64 {
            self.slot_totals.clear();
            self.slot_totals.push_back(last);
            self.newest_slot = slot - 1;
        }
        while self.newest_slot < slot {
            self.slot_totals.push_back(last);
            self.newest_slot += 1;
        }
        while self.slot_totals.len() > KEPT_SLOTS {
            self.slot_totals.pop_front();
        }
        let newest = self.slot_totals.len() - 1;
        &mut self.slot_totals[newest]
    }
}
