//! Handover of keys between gateways: the previous owner serves a key until the new owner notifies it that it serves
//! the key now, or until a time-out elapses. A gateway watches the keys that it serves when it owns them.

use crate::assignment::{Assignment, GatewayRecord};
use crate::identifiers::{FencingToken, IncarnationId};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ownership of a key from the perspective of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipState<'a> {
    /// Key that this gateway owns.
    Owned,
    /// Key that another gateway owns by the newest assignment, and that this one serves until the handover ends.
    HandingOver {
        /// Record of the new owner.
        to: &'a GatewayRecord,
        /// Latest time at which this gateway stops serving the key.
        until: Nanos,
    },
    /// Key that another gateway owns and serves.
    OwnedByOther(&'a GatewayRecord),
    /// Key without an owner, because no gateway of the zone is known to be live.
    Unowned,
}

/// Action that the host, the program that uses `OwnedKeys`, has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start serving a key. A previous owner serves it until it is notified ([`Action::NotifyPreviousOwner`]).
    Acquire {
        /// Key that this gateway owns by the newest assignment.
        key: String,
        /// Token of the assignment that gives the key to this gateway.
        fencing_token: FencingToken,
        /// Owner by the previous assignment, if that was another gateway.
        previous_owner: Option<GatewayRecord>,
    },
    /// Notify the previous owner that this gateway serves the key now.
    NotifyPreviousOwner {
        /// Owner by the previous assignment, which serves the key until it is notified or its time-out elapses.
        to: GatewayRecord,
        /// Key that this gateway now serves.
        key: String,
        /// Token of the newest assignment.
        fencing_token: FencingToken,
    },
    /// Stop serving a key.
    Release {
        /// Key that this gateway serves, but no longer watches, or no longer owns after the end of the handover.
        key: String,
        /// Token of the newest assignment.
        fencing_token: FencingToken,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct KeyState {
    owner: Option<IncarnationId>,
    /// Whether [`Action::Acquire`] was issued without a later [`Action::Release`].
    acquired: bool,
    /// Owner by the previous assignment, which serves the key until it is notified.
    previous_owner: Option<GatewayRecord>,
    /// Whether the previous owner has to be notified, because the host serves the key.
    notify_previous_owner: bool,
    /// End of the time for which this gateway serves the key for its new owner.
    handover_until: Option<Nanos>,
}

/// Keys that one gateway watches, and the actions that the newest assignment requires for each.
#[derive(Clone, Debug)]
pub(crate) struct KeyHandover {
    incarnation: IncarnationId,
    zone: Option<String>,
    max_keys: usize,
    handover_timeout: Nanos,
    keys: BTreeMap<String, KeyState>,
    /// Keys for which an action may be due.
    pending_keys: BTreeSet<String>,
    /// Acquired keys that are no longer watched and have to be released.
    unwatched_keys: VecDeque<String>,
    /// Latest time at which the next handover ends.
    handover_check_at: Option<Nanos>,
}

impl KeyHandover {
    /// Creates a state without watched keys. With a zone, every key has one owner in each zone; without, one in the
    /// whole system.
    pub fn new(
        incarnation: IncarnationId,
        zone: Option<String>,
        max_keys: usize,
        handover_timeout: Nanos,
    ) -> KeyHandover {
        KeyHandover {
            incarnation,
            zone,
            max_keys,
            handover_timeout,
            keys: BTreeMap::new(),
            pending_keys: BTreeSet::new(),
            unwatched_keys: VecDeque::new(),
            handover_check_at: None,
        }
    }

    /// Updates the owner of every watched key to a newer assignment.
    pub fn apply(&mut self, now: Nanos, old: &Assignment, new: &Assignment) {
        let handover_until = now + self.handover_timeout;
        for (key, state) in &mut self.keys {
            let owner = new.owner(self.zone.as_deref(), key).map(|gateway| gateway.incarnation);
            if owner != state.owner {
                state.change_owner(self.incarnation, owner, old, handover_until);
                self.pending_keys.insert(key.clone());
            }
        }
    }

    /// Sets the watched keys; acquired keys that are not among them are released.
    pub fn watch_keys<'a>(&mut self, assignment: &Assignment, keys: impl IntoIterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.keys);
        for key in keys {
            if self.keys.len() >= self.max_keys || self.keys.contains_key(key) {
                continue;
            }
            let state = before.remove(key).unwrap_or_else(|| {
                self.pending_keys.insert(key.to_string());
                let owner = assignment.owner(self.zone.as_deref(), key).map(|gateway| gateway.incarnation);
                KeyState { owner, ..KeyState::default() }
            });
            self.keys.insert(key.to_string(), state);
        }
        let unwatched = before.into_iter().filter(|(_, state)| state.acquired);
        self.unwatched_keys.extend(unwatched.map(|(key, _)| key));
    }

    /// Returns the ownership state of any key, whether watched or not.
    pub fn ownership_state<'a>(
        &self,
        now: Nanos,
        assignment: &'a Assignment,
        key: &str,
    ) -> OwnershipState<'a> {
        let state = self.keys.get(key);
        let owner = match state {
            Some(state) => state.owner.and_then(|incarnation| assignment.gateway(incarnation)),
            None => assignment.owner(self.zone.as_deref(), key),
        };
        match (owner, state.and_then(|state| state.handover_until)) {
            (Some(owner), _) if owner.incarnation == self.incarnation => OwnershipState::Owned,
            (Some(to), Some(until)) if now < until => OwnershipState::HandingOver { to, until },
            (Some(owner), _) => OwnershipState::OwnedByOther(owner),
            (None, _) => OwnershipState::Unowned,
        }
    }

    /// Ends the handover of a key, because its new owner now serves it.
    pub fn handover_acknowledged(&mut self, by: IncarnationId, key: &str) {
        if let Some(state) = self.keys.get_mut(key)
            && state.owner == Some(by)
            && state.handover_until.take().is_some()
        {
            self.pending_keys.insert(key.to_string());
        }
    }

    /// Records that the host now serves a key, so that the previous owner is notified.
    pub fn key_acquired(&mut self, key: &str) {
        if let Some(state) = self.keys.get_mut(key)
            && state.owner == Some(self.incarnation)
        {
            state.notify_previous_owner = state.previous_owner.is_some();
            self.pending_keys.insert(key.to_string());
        }
    }

    /// Returns the next action; the host polls until there is none.
    pub fn poll_action(&mut self, now: Nanos, fencing_token: FencingToken) -> Option<Action> {
        if let Some(key) = self.unwatched_keys.pop_front() {
            // If the key is watched again by now, it is acquired again after this release.
            return Some(Action::Release { key, fencing_token });
        }
        while let Some(key) = self.pending_keys.pop_first() {
            if let Some(action) = self.poll_key(now, key, fencing_token) {
                return Some(action);
            }
        }
        if self.handover_check_at.is_none_or(|at| now < at) {
            return None;
        }
        self.handover_check_at = None;
        let handing_over = self.keys.iter().filter(|(_, state)| state.handover_until.is_some());
        self.pending_keys.extend(handing_over.map(|(key, _)| key.clone()));
        if self.pending_keys.is_empty() { None } else { self.poll_action(now, fencing_token) }
    }

    fn poll_key(&mut self, now: Nanos, key: String, fencing_token: FencingToken) -> Option<Action> {
        let state = self.keys.get_mut(&key)?;
        if state.owner != Some(self.incarnation) {
            return self.poll_release(now, key, fencing_token);
        }
        if !state.acquired {
            state.acquired = true;
            let previous_owner = state.previous_owner.clone();
            return Some(Action::Acquire { key, fencing_token, previous_owner });
        }
        if std::mem::take(&mut state.notify_previous_owner) {
            let to = state.previous_owner.take()?;
            return Some(Action::NotifyPreviousOwner { to, key, fencing_token });
        }
        None
    }

    /// Releases a key of another owner, unless its handover is still in progress.
    fn poll_release(&mut self, now: Nanos, key: String, fencing_token: FencingToken) -> Option<Action> {
        let state = self.keys.get_mut(&key).filter(|state| state.acquired)?;
        if let Some(until) = state.handover_until.filter(|until| now < *until) {
            let check_at = self.handover_check_at.map_or(until, |at| at.min(until));
            self.handover_check_at = Some(check_at);
            return None;
        }
        *state = KeyState { owner: state.owner, ..KeyState::default() };
        Some(Action::Release { key, fencing_token })
    }

    /// Time at which an action may be due without further input.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.handover_check_at
    }
}

impl KeyState {
    fn change_owner(
        &mut self,
        this_gateway: IncarnationId,
        owner: Option<IncarnationId>,
        old: &Assignment,
        handover_until: Nanos,
    ) {
        let is_own = owner == Some(this_gateway);
        // A previous owner that shuts down is not in the new assignment, but still serves the key and has to be
        // notified.
        let previous = self.owner.filter(|previous| *previous != this_gateway && is_own);
        self.previous_owner = previous.and_then(|previous| old.gateway(previous)).cloned();
        // This gateway never released the key, so it can notify the previous owner immediately.
        self.notify_previous_owner = self.acquired && self.previous_owner.is_some();
        let was_serving = self.owner == Some(this_gateway) && self.acquired || self.handover_until.is_some();
        let starts_handover = was_serving && owner.is_some() && !is_own;
        self.handover_until = starts_handover.then(|| self.handover_until.unwrap_or(handover_until));
        self.owner = owner;
    }
}
