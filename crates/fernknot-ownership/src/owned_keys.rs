//! Ownership state of one gateway: the assignment in force, the keys it owns by that assignment, and its budget share.

use crate::assignment::Assignment;
use crate::budget_share::BudgetShare;
use crate::identifiers::{FencingToken, IncarnationId};
use crate::key_handover::{Action, KeyHandover, OwnershipState};
use fernknot::interface::Nanos;

/// Limits and time-outs of [`OwnedKeys`].
#[derive(Clone, Copy, Debug)]
pub struct OwnedKeysSettings {
    /// Maximum number of watched keys.
    pub max_keys: usize,
    /// Maximum time for which the previous owner of a key serves it while waiting for the new owner's notification.
    pub handover_timeout: Nanos,
    /// Time since the last confirmation of its assignment after which a gateway may not use its share of the budget: it
    /// divides the budget by [`Assignment::presumed_alive`], which may not count gateways that have joined since. See
    /// [`crate::confirmation_timeout`].
    pub confirmation_timeout: Nanos,
    /// Length of the time window in which the spending of all gateways together must stay within the budget.
    pub budget_window: Nanos,
}

/// Result of applying an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Newer assignment, which is now in force.
    Applied,
    /// Assignment that was already in force.
    Unchanged,
    /// Assignment that was rejected because its fencing token is older.
    Stale,
}

/// Watched keys of one gateway and their ownership by the newest assignment.
///
/// A watched key is one that this gateway serves when it owns it. The host, which is the program that uses this state,
/// passes in assignments, confirmations and messages of other gateways, and polls [`Action`]s until there are none.
#[derive(Clone, Debug)]
pub struct OwnedKeys {
    incarnation: IncarnationId,
    assignment: Assignment,
    handover: KeyHandover,
    budget_share: BudgetShare,
}

impl OwnedKeys {
    /// Creates the state of a gateway that owns no key. With a zone, every key has one owner in each zone; without, one
    /// in the whole system.
    pub fn new(incarnation: IncarnationId, zone: Option<String>, settings: OwnedKeysSettings) -> OwnedKeys {
        let OwnedKeysSettings { max_keys, handover_timeout, confirmation_timeout, budget_window } = settings;
        OwnedKeys {
            incarnation,
            assignment: Assignment::default(),
            handover: KeyHandover::new(incarnation, zone, max_keys, handover_timeout),
            budget_share: BudgetShare::new(incarnation, confirmation_timeout, budget_window),
        }
    }

    /// Incarnation of this gateway.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Assignment in force.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Applies an assignment received from a controller or a relay.
    pub fn apply(&mut self, now: Nanos, assignment: Assignment) -> ApplyOutcome {
        if assignment.fencing_token < self.assignment.fencing_token {
            return ApplyOutcome::Stale;
        }
        if assignment.fencing_token == self.assignment.fencing_token {
            return ApplyOutcome::Unchanged;
        }
        let old = std::mem::replace(&mut self.assignment, assignment.sorted());
        self.handover.apply(now, &old, &self.assignment);
        self.confirm(now, self.assignment.fencing_token);
        ApplyOutcome::Applied
    }

    /// Records a confirmation that this is the newest fencing token, from a process whose heartbeat has a lease: the
    /// controller that it comes from is in contact with a majority. It has no effect if the token is not that of the
    /// assignment in force.
    pub fn confirm(&mut self, now: Nanos, fencing_token: FencingToken) {
        if fencing_token == self.assignment.fencing_token && fencing_token != FencingToken::default() {
            self.budget_share.confirm(now, &self.assignment);
        }
    }

    /// Whether a message with this fencing token is accepted: the token is not older than that of the assignment in
    /// force.
    pub fn accepts(&self, fencing_token: FencingToken) -> bool {
        fencing_token >= self.assignment.fencing_token
    }

    /// Begins a graceful shutdown, after which no budget share is used.
    pub fn begin_shutdown(&mut self) {
        self.budget_share.begin_shutdown();
    }

    /// Number of gateways that share a budget. `None` while this gateway may not use a share: confirmed assignments
    /// have not listed it for the confirmation time-out plus the budget window (for the first assignment ever made, the
    /// time-out alone), the last confirmation is older than the time-out, or it is shutting down.
    pub fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.budget_share.is_usable(now).then_some(self.assignment.presumed_alive.max(1))
    }

    /// Sets the keys to watch; acquired keys that are not among them are released.
    pub fn watch_keys<'a>(&mut self, keys: impl IntoIterator<Item = &'a str>) {
        self.handover.watch_keys(&self.assignment, keys);
    }

    /// Returns the ownership state of any key, whether watched or not.
    pub fn ownership_state(&self, now: Nanos, key: &str) -> OwnershipState<'_> {
        self.handover.ownership_state(now, &self.assignment, key)
    }

    /// Whether this gateway serves a key now: it owns the key, or is handing it over to an owner that does not serve it
    /// yet.
    pub fn serves(&self, now: Nanos, key: &str) -> bool {
        matches!(self.ownership_state(now, key), OwnershipState::Owned | OwnershipState::HandingOver { .. })
    }

    /// Handles the notification that the new owner of a key serves it; ignored if its fencing token is older than that
    /// of the assignment in force.
    pub fn handover_acknowledged(&mut self, by: IncarnationId, key: &str, fencing_token: FencingToken) {
        if self.accepts(fencing_token) {
            self.handover.handover_acknowledged(by, key);
        }
    }

    /// Records that the host has executed [`Action::Acquire`], so that the previous owner may stop.
    pub fn key_acquired(&mut self, key: &str) {
        self.handover.key_acquired(key);
    }

    /// Returns the next action; the host polls until there is none.
    #[must_use]
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.handover.poll_action(now, self.assignment.fencing_token)
    }

    /// Time at which an action may be due without further input.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.handover.wakes_at()
    }
}
