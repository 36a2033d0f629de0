//! A gateway's side of ownership: the assignment in force, the keys that follow from it, and its budget share.

use crate::assignment::Assignment;
use crate::budget_share::BudgetShare;
use crate::identifiers::{FencingToken, IncarnationId};
use crate::key_handover::{Action, KeyHandover, OwnershipState};
use fernknot::interface::Nanos;

/// Limits and time-outs of [`OwnedKeys`].
#[derive(Clone, Copy, Debug)]
pub struct OwnedKeysSettings {
    /// Keys watched at once.
    pub max_keys: usize,
    /// How long the previous owner of a key serves on at most until the new owner's notification comes.
    pub handover_timeout: Nanos,
    /// A gateway whose assignment was not confirmed for this long uses no budget share: gateways that joined
    /// meanwhile are not in its count. See [`crate::confirmation_timeout`].
    pub confirmation_timeout: Nanos,
    /// The window over which a budget counts what was spent.
    pub budget_window: Nanos,
}

/// The result of applying an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was newer and is in force now.
    Applied,
    /// It was in force already.
    Unchanged,
    /// Its fencing token is older; it was rejected.
    Stale,
}

/// What one gateway owns by the newest assignment, among the keys that it watches.
///
/// The host passes assignments, confirmations and messages of other gateways in and pulls [`Action`]s until there are
/// none.
#[derive(Clone, Debug)]
pub struct OwnedKeys {
    incarnation: IncarnationId,
    assignment: Assignment,
    handover: KeyHandover,
    budget_share: BudgetShare,
}

impl OwnedKeys {
    /// Owns nothing yet. With a zone, every key has an owner in each zone; without, one in all zones together.
    pub fn new(incarnation: IncarnationId, zone: Option<String>, settings: OwnedKeysSettings) -> OwnedKeys {
        let OwnedKeysSettings { max_keys, handover_timeout, confirmation_timeout, budget_window } = settings;
        OwnedKeys {
            incarnation,
            assignment: Assignment::default(),
            handover: KeyHandover::new(incarnation, zone, max_keys, handover_timeout),
            budget_share: BudgetShare::new(incarnation, confirmation_timeout, budget_window),
        }
    }

    /// The incarnation of this gateway.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// The assignment in force.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Applies an assignment that came from a controller or through a relay.
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

    /// A process with a valid lease says that this is the newest fencing token.
    pub fn confirm(&mut self, now: Nanos, fencing_token: FencingToken) {
        if fencing_token == self.assignment.fencing_token && fencing_token != FencingToken::default() {
            self.budget_share.confirm(now, &self.assignment);
        }
    }

    /// Whether a message under this fencing token may be acted on: it is not older than the assignment in force.
    pub fn accepts(&self, fencing_token: FencingToken) -> bool {
        fencing_token >= self.assignment.fencing_token
    }

    /// Begins a graceful shutdown: no budget share is used from here on.
    pub fn begin_shutdown(&mut self) {
        self.budget_share.begin_shutdown();
    }

    /// The number of gateways that share a budget. `None` while this gateway may use no share: it is not yet listed
    /// for long enough, its assignment was not confirmed for too long, or it shuts down.
    pub fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.budget_share.is_usable(now).then_some(self.assignment.presumed_alive.max(1))
    }

    /// Sets the keys to watch; acquired keys that are not among them are released.
    pub fn watch_keys<'a>(&mut self, keys: impl IntoIterator<Item = &'a str>) {
        self.handover.watch_keys(&self.assignment, keys);
    }

    /// How this gateway stands to a key, watched or not.
    pub fn ownership_state(&self, now: Nanos, key: &str) -> OwnershipState<'_> {
        self.handover.ownership_state(now, &self.assignment, key)
    }

    /// Whether this gateway serves a key now: it owns it, or hands it over and the new owner does not serve it yet.
    pub fn serves(&self, now: Nanos, key: &str) -> bool {
        matches!(self.ownership_state(now, key), OwnershipState::Owned | OwnershipState::HandingOver { .. })
    }

    /// The new owner of a key notified this gateway that it serves the key. Rejected under an older fencing token.
    pub fn handover_acknowledged(&mut self, by: IncarnationId, key: &str, fencing_token: FencingToken) {
        if self.accepts(fencing_token) {
            self.handover.handover_acknowledged(by, key);
        }
    }

    /// The host has carried out [`Action::Acquire`]: the previous owner may stop.
    pub fn key_acquired(&mut self, key: &str) {
        self.handover.key_acquired(key);
    }

    /// The next action, until there is none.
    #[must_use]
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        self.handover.poll_action(now, self.assignment.fencing_token)
    }

    /// When an action may be due without further input.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.handover.wakes_at()
    }
}
