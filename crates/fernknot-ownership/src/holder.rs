//! A gateway's side of its duties.

use crate::cut::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct OwnedKeysSettings {
    /// Keys watched at once.
    pub max_keys: usize,
    /// The old holder serves on for so long at most, until the new one says that it has the key.
    pub handover_timeout: Nanos,
    /// A gateway whose cut was not confirmed for so long takes no share of a budget: those who come meanwhile are not
    /// in its count. [`crate::unconfirmed`].
    pub confirmation_timeout: Nanos,
    /// The span over which a budget counts what was spent.
    pub budget_window: Nanos,
}

/// What became of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    Applied,
    Unchanged,
    /// Under an older fence; refused.
    Stale,
}

/// How this gateway stands to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipState<'a> {
    Owned,
    /// Another has it by the newest cut; this one serves on until then.
    HandingOver {
        to: &'a GatewayRecord,
        until: Nanos,
    },
    OwnedByOther(&'a GatewayRecord),
    /// No gateway of the zone lives, as far as is known.
    Unowned,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Take up a key; where `from` is known, it serves until told ([`Order::SayTaken`]).
    Acquire { key: String, fencing_token: FencingToken, previous_owner: Option<GatewayRecord> },
    /// Tell the earlier holder that this one has the key now.
    NotifyPreviousOwner { to: GatewayRecord, key: String, fencing_token: FencingToken },
    /// Put a key down.
    Release { key: String, fencing_token: FencingToken },
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct KeyState {
    owner: Option<IncarnationId>,
    /// The host was told to take it up and not yet to put it down.
    acquired: bool,
    /// Whose it was by the cut before; serves until told.
    previous_owner: Option<GatewayRecord>,
    /// The host has taken it up: `from` is to be told.
    notify_previous_owner: bool,
    /// Set while this gateway serves on for another.
    handover_until: Option<Nanos>,
}

/// The duties of one gateway by the newest cut, for the keys it watches.
#[derive(Clone, Debug)]
pub struct OwnedKeys {
    incarnation: IncarnationId,
    zone: Option<String>,
    settings: OwnedKeysSettings,
    assignment: Assignment,
    keys: BTreeMap<String, KeyState>,
    /// Keys for which something may have to be done.
    pending_keys: BTreeSet<String>,
    /// Keys that are there no more and have to be put down.
    released_keys: VecDeque<String>,
    /// Since when every confirmed cut has named this gateway.
    listed_since: Option<Nanos>,
    /// When a hand-over ends at the latest.
    handover_check_at: Option<Nanos>,
    confirmed_at: Option<Nanos>,
    /// The first cut that was ever made named this gateway: nobody had a share before.
    in_first_assignment: bool,
    shutting_down: bool,
}

impl OwnedKeys {
    /// Holds nothing yet. With a zone, a key has a holder in each zone; without, one in all.
    pub fn new(me: IncarnationId, zone: Option<String>, bounds: OwnedKeysSettings) -> OwnedKeys {
        OwnedKeys {
            incarnation: me,
            zone,
            settings: bounds,
            assignment: Assignment::default(),
            keys: BTreeMap::new(),
            pending_keys: BTreeSet::new(),
            released_keys: VecDeque::new(),
            listed_since: None,
            handover_check_at: None,
            confirmed_at: None,
            in_first_assignment: false,
            shutting_down: false,
        }
    }

    /// The life whose duties these are.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// The newest cut taken.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// A cut came, from a controller or by way of a home.
    pub fn apply(&mut self, now: Nanos, cut: Assignment) -> ApplyOutcome {
        if cut.fencing_token <= self.assignment.fencing_token {
            return if cut.fencing_token == self.assignment.fencing_token {
                ApplyOutcome::Unchanged
            } else {
                ApplyOutcome::Stale
            };
        }
        let old = std::mem::replace(&mut self.assignment, cut.sorted());
        let until = now + self.settings.handover_timeout;
        for (key, held) in &mut self.keys {
            let owner = self.assignment.owner(self.zone.as_deref(), key).map(|gateway| gateway.incarnation);
            if owner == held.owner {
                continue;
            }
            // An earlier holder that stops as planned is in no cut, yet serves on: it is told all the same.
            let before =
                held.owner.filter(|before| *before != self.incarnation && owner == Some(self.incarnation));
            held.previous_owner = before.and_then(|before| old.gateway(before)).cloned();
            // Never put down in between: there is nothing to wait for.
            held.notify_previous_owner = held.acquired && held.previous_owner.is_some();
            let mine = held.owner == Some(self.incarnation) && held.acquired || held.handover_until.is_some();
            let hands = mine && owner.is_some() && owner != Some(self.incarnation);
            held.handover_until = hands.then(|| held.handover_until.unwrap_or(until));
            held.owner = owner;
            self.pending_keys.insert(key.clone());
        }
        self.confirm(now, self.assignment.fencing_token);
        ApplyOutcome::Applied
    }

    /// One who is in touch with the controllers says that this is the newest fence.
    pub fn confirm(&mut self, now: Nanos, fence: FencingToken) {
        if fence != self.assignment.fencing_token || fence == FencingToken::default() {
            return;
        }
        let gap = self.confirmed_at.is_none_or(|at| now - at > self.settings.confirmation_timeout);
        // Views and the cuts in one are counted from 1, and either number is given once.
        let named = self.assignment.gateway(self.incarnation).is_some();
        self.in_first_assignment =
            named && (fence == FencingToken::new(1, 1) || self.in_first_assignment && !gap);
        if !named {
            self.listed_since = None;
        } else if gap || self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(now, |at| at.max(now)));
    }

    /// Refuses what comes under a fence older than the newest cut's.
    pub fn accepts(&self, fence: FencingToken) -> bool {
        fence >= self.assignment.fencing_token
    }

    /// Stops as planned: takes no share of a budget from here on.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// By how many gateways a budget is shared. None while this gateway may take no share: not counted long enough
    /// for all others to know and for what they spent before to be out of the window, not confirmed for too long, so
    /// that others may have stopped counting it, or leaving.
    pub fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        // Guards the sum over any window, not only at any moment: others had a larger share until they knew.
        let window = if self.in_first_assignment { Nanos(0) } else { self.settings.budget_window };
        let wait = self.settings.confirmation_timeout + window;
        let counted = self.listed_since.is_some_and(|since| now - since >= wait) && !self.shutting_down;
        let confirmed = self.confirmed_at.is_some_and(|at| now - at < self.settings.confirmation_timeout);
        (counted && confirmed).then_some(self.assignment.presumed_alive.max(1))
    }

    /// The keys there are; those not named any more are put down.
    pub fn watch_keys<'a>(&mut self, keys: impl IntoIterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.keys);
        for key in keys {
            if self.keys.len() >= self.settings.max_keys || self.keys.contains_key(key) {
                continue;
            }
            let held = before.remove(key).unwrap_or_else(|| {
                self.pending_keys.insert(key.to_string());
                let owner =
                    self.assignment.owner(self.zone.as_deref(), key).map(|gateway| gateway.incarnation);
                KeyState { owner, ..KeyState::default() }
            });
            self.keys.insert(key.to_string(), held);
        }
        self.released_keys.extend(before.into_iter().filter(|(_, held)| held.acquired).map(|(key, _)| key));
    }

    /// How this gateway stands to a key, watched or not.
    pub fn ownership_state(&self, now: Nanos, key: &str) -> OwnershipState<'_> {
        let held = self.keys.get(key);
        let owner = match held {
            Some(held) => held.owner.and_then(|life| self.assignment.gateway(life)),
            None => self.assignment.owner(self.zone.as_deref(), key),
        };
        match (owner, held.and_then(|held| held.handover_until)) {
            (Some(owner), _) if owner.incarnation == self.incarnation => OwnershipState::Owned,
            (Some(to), Some(until)) if now < until => OwnershipState::HandingOver { to, until },
            (Some(owner), _) => OwnershipState::OwnedByOther(owner),
            (None, _) => OwnershipState::Unowned,
        }
    }

    /// True where this gateway answers for a key now: it has it, or serves on until the new holder has it.
    pub fn serves(&self, now: Nanos, key: &str) -> bool {
        matches!(self.ownership_state(now, key), OwnershipState::Owned | OwnershipState::HandingOver { .. })
    }

    /// The new holder of a key says that it has it.
    pub fn handover_acknowledged(&mut self, by: IncarnationId, key: &str, fence: FencingToken) {
        if fence < self.assignment.fencing_token {
            return;
        }
        if let Some(held) = self.keys.get_mut(key)
            && held.owner == Some(by)
            && held.handover_until.take().is_some()
        {
            self.pending_keys.insert(key.to_string());
        }
    }

    /// The host has taken up a key: the earlier holder may stop.
    pub fn key_acquired(&mut self, key: &str) {
        if let Some(held) = self.keys.get_mut(key)
            && held.owner == Some(self.incarnation)
        {
            held.notify_previous_owner = held.previous_owner.is_some();
            self.pending_keys.insert(key.to_string());
        }
    }

    /// The next thing to do, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        let fence = self.assignment.fencing_token;
        if let Some(key) = self.released_keys.pop_front() {
            // Named again in between: it is taken up anew after this.
            return Some(Action::Release { key, fencing_token: fence });
        }
        while let Some(key) = self.pending_keys.pop_first() {
            let Some(held) = self.keys.get_mut(&key) else { continue };
            let mine = held.owner == Some(self.incarnation);
            if mine && !held.acquired {
                held.acquired = true;
                return Some(Action::Acquire {
                    key,
                    fencing_token: fence,
                    previous_owner: held.previous_owner.clone(),
                });
            }
            if mine && held.notify_previous_owner {
                held.notify_previous_owner = false;
                if let Some(to) = held.previous_owner.take() {
                    return Some(Action::NotifyPreviousOwner { to, key, fencing_token: fence });
                }
            }
            if !mine && held.acquired {
                match held.handover_until {
                    Some(until) if now < until => {
                        let at = self.handover_check_at.map_or(until, |at| at.min(until));
                        self.handover_check_at = Some(at);
                    }
                    _ => {
                        *held = KeyState { owner: held.owner, ..KeyState::default() };
                        return Some(Action::Release { key, fencing_token: fence });
                    }
                }
            }
        }
        if self.handover_check_at.is_some_and(|at| now >= at) {
            self.handover_check_at = None;
            let handing = self.keys.iter().filter(|(_, held)| held.handover_until.is_some());
            self.pending_keys.extend(handing.map(|(key, _)| key.clone()));
            return if self.pending_keys.is_empty() { None } else { self.poll_action(now) };
        }
        None
    }

    /// When something is to be done without anything coming in.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.handover_check_at
    }
}
