//! One gateway's right to its share of a budget that all gateways spend together.

use crate::assignment::Assignment;
use crate::identifiers::{FencingToken, IncarnationId};
use fernknot::interface::Nanos;

/// State that decides whether a gateway may use its share of a budget.
///
/// The spending of all gateways stays within the budget over any window, not only at any moment: a gateway waits until
/// all others divide the budget by a number that includes it, and until their spending under larger shares has left the
/// window.
#[derive(Clone, Debug)]
pub(crate) struct BudgetShare {
    incarnation: IncarnationId,
    confirmation_timeout: Nanos,
    budget_window: Nanos,
    /// Time since which every confirmed assignment has listed this gateway.
    listed_since: Option<Nanos>,
    /// Time of the last confirmation that the assignment in force is the newest one.
    confirmed_at: Option<Nanos>,
    /// Whether the first assignment ever made listed this gateway, so that no gateway had a share before.
    in_first_assignment: bool,
    shutting_down: bool,
}

impl BudgetShare {
    /// Creates the state of a gateway that may not use a share yet; see [`crate::OwnedKeysSettings`] for the times.
    pub fn new(incarnation: IncarnationId, confirmation_timeout: Nanos, budget_window: Nanos) -> BudgetShare {
        BudgetShare {
            incarnation,
            confirmation_timeout,
            budget_window,
            listed_since: None,
            confirmed_at: None,
            in_first_assignment: false,
            shutting_down: false,
        }
    }

    /// Records that the assignment in force is confirmed as the newest one.
    pub fn confirm(&mut self, now: Nanos, assignment: &Assignment) {
        let has_gap = self.confirmed_at.is_none_or(|at| now - at > self.confirmation_timeout);
        let is_listed = assignment.gateway(self.incarnation).is_some();
        // Views and the assignments within one are counted from 1, and each number is used once.
        let is_first = assignment.fencing_token == FencingToken::new(1, 1);
        self.in_first_assignment = is_listed && (is_first || self.in_first_assignment && !has_gap);
        if !is_listed {
            self.listed_since = None;
        } else if has_gap || self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(now, |at| at.max(now)));
    }

    /// Gives up the share permanently.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Whether this gateway may use its share now.
    pub fn is_usable(&self, now: Nanos) -> bool {
        let budget_window = if self.in_first_assignment { Nanos(0) } else { self.budget_window };
        let waiting_time = self.confirmation_timeout + budget_window;
        let is_counted_by_all = self.listed_since.is_some_and(|since| now - since >= waiting_time);
        let is_confirmed = self.confirmed_at.is_some_and(|at| now - at < self.confirmation_timeout);
        is_counted_by_all && is_confirmed && !self.shutting_down
    }
}
