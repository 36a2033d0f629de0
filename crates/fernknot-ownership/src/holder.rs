//! A gateway's side of its duties.

use crate::cut::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct OwnedKeysSettings {
    /// Keys watched at once.
    pub most_keys: usize,
    /// The old holder serves on for so long at most, until the new one says that it has the key.
    pub hand_over: Nanos,
    /// A gateway whose cut was not confirmed for so long takes no share of a budget: those who come meanwhile are not
    /// in its count. [`crate::unconfirmed`].
    pub unconfirmed: Nanos,
    /// The span over which a budget counts what was spent.
    pub window: Nanos,
}

/// What became of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    Newer,
    Same,
    /// Under an older fence; refused.
    Older,
}

/// How this gateway stands to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipState<'a> {
    Mine,
    /// Another has it by the newest cut; this one serves on until then.
    Handing {
        to: &'a GatewayRecord,
        until: Nanos,
    },
    Other(&'a GatewayRecord),
    /// No gateway of the zone lives, as far as is known.
    Nobody,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Take up a key; where `from` is known, it serves until told ([`Order::SayTaken`]).
    Start { key: String, fence: FencingToken, from: Option<GatewayRecord> },
    /// Tell the earlier holder that this one has the key now.
    SayTaken { to: GatewayRecord, key: String, fence: FencingToken },
    /// Put a key down.
    Stop { key: String, fence: FencingToken },
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct KeyState {
    owner: Option<IncarnationId>,
    /// The host was told to take it up and not yet to put it down.
    started: bool,
    /// Whose it was by the cut before; serves until told.
    from: Option<GatewayRecord>,
    /// The host has taken it up: `from` is to be told.
    say: bool,
    /// Set while this gateway serves on for another.
    handing: Option<Nanos>,
}

/// The duties of one gateway by the newest cut, for the keys it watches.
#[derive(Clone, Debug)]
pub struct OwnedKeys {
    me: IncarnationId,
    zone: Option<String>,
    bounds: OwnedKeysSettings,
    cut: Assignment,
    keys: BTreeMap<String, KeyState>,
    /// Keys for which something may have to be done.
    due: BTreeSet<String>,
    /// Keys that are there no more and have to be put down.
    stops: VecDeque<String>,
    /// Since when every confirmed cut has named this gateway.
    counted_since: Option<Nanos>,
    /// When a hand-over ends at the latest.
    check_at: Option<Nanos>,
    confirmed: Option<Nanos>,
    /// The first cut that was ever made named this gateway: nobody had a share before.
    founding: bool,
    leaving: bool,
}

impl OwnedKeys {
    /// Holds nothing yet. With a zone, a key has a holder in each zone; without, one in all.
    pub fn new(me: IncarnationId, zone: Option<String>, bounds: OwnedKeysSettings) -> OwnedKeys {
        OwnedKeys {
            me,
            zone,
            bounds,
            cut: Assignment::default(),
            keys: BTreeMap::new(),
            due: BTreeSet::new(),
            stops: VecDeque::new(),
            counted_since: None,
            check_at: None,
            confirmed: None,
            founding: false,
            leaving: false,
        }
    }

    /// The life whose duties these are.
    pub fn me(&self) -> IncarnationId {
        self.me
    }

    /// The newest cut taken.
    pub fn cut(&self) -> &Assignment {
        &self.cut
    }

    /// A cut came, from a registrar or by way of a home.
    pub fn take(&mut self, now: Nanos, cut: Assignment) -> ApplyOutcome {
        if cut.fence <= self.cut.fence {
            return if cut.fence == self.cut.fence { ApplyOutcome::Same } else { ApplyOutcome::Older };
        }
        let old = std::mem::replace(&mut self.cut, cut.sorted());
        let until = now + self.bounds.hand_over;
        for (key, held) in &mut self.keys {
            let owner = self.cut.owner(self.zone.as_deref(), key).map(|gateway| gateway.life);
            if owner == held.owner {
                continue;
            }
            // An earlier holder that stops as planned is in no cut, yet serves on: it is told all the same.
            let before = held.owner.filter(|before| *before != self.me && owner == Some(self.me));
            held.from = before.and_then(|before| old.find(before)).cloned();
            // Never put down in between: there is nothing to wait for.
            held.say = held.started && held.from.is_some();
            let mine = held.owner == Some(self.me) && held.started || held.handing.is_some();
            let hands = mine && owner.is_some() && owner != Some(self.me);
            held.handing = hands.then(|| held.handing.unwrap_or(until));
            held.owner = owner;
            self.due.insert(key.clone());
        }
        self.confirm(now, self.cut.fence);
        ApplyOutcome::Newer
    }

    /// One who is in touch with the registrars says that this is the newest fence.
    pub fn confirm(&mut self, now: Nanos, fence: FencingToken) {
        if fence != self.cut.fence || fence == FencingToken::default() {
            return;
        }
        let gap = self.confirmed.is_none_or(|at| now - at > self.bounds.unconfirmed);
        // Views and the cuts in one are counted from 1, and either number is given once.
        let named = self.cut.find(self.me).is_some();
        self.founding = named && (fence == FencingToken::of(1, 1) || self.founding && !gap);
        if !named {
            self.counted_since = None;
        } else if gap || self.counted_since.is_none() {
            self.counted_since = Some(now);
        }
        self.confirmed = Some(self.confirmed.map_or(now, |at| at.max(now)));
    }

    /// Refuses what comes under a fence older than the newest cut's.
    pub fn allows(&self, fence: FencingToken) -> bool {
        fence >= self.cut.fence
    }

    /// Stops as planned: takes no share of a budget from here on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// By how many gateways a budget is shared. None while this gateway may take no share: not counted long enough
    /// for all others to know and for what they spent before to be out of the window, not confirmed for too long, so
    /// that others may have stopped counting it, or leaving.
    pub fn shared_by(&self, now: Nanos) -> Option<u32> {
        // Guards the sum over any window, not only at any moment: others had a larger share until they knew.
        let window = if self.founding { Nanos(0) } else { self.bounds.window };
        let wait = self.bounds.unconfirmed + window;
        let counted = self.counted_since.is_some_and(|since| now - since >= wait) && !self.leaving;
        let confirmed = self.confirmed.is_some_and(|at| now - at < self.bounds.unconfirmed);
        (counted && confirmed).then_some(self.cut.may_be_alive.max(1))
    }

    /// The keys there are; those not named any more are put down.
    pub fn watch<'a>(&mut self, keys: impl IntoIterator<Item = &'a str>) {
        let mut before = std::mem::take(&mut self.keys);
        for key in keys {
            if self.keys.len() >= self.bounds.most_keys || self.keys.contains_key(key) {
                continue;
            }
            let held = before.remove(key).unwrap_or_else(|| {
                self.due.insert(key.to_string());
                let owner = self.cut.owner(self.zone.as_deref(), key).map(|gateway| gateway.life);
                KeyState { owner, ..KeyState::default() }
            });
            self.keys.insert(key.to_string(), held);
        }
        self.stops.extend(before.into_iter().filter(|(_, held)| held.started).map(|(key, _)| key));
    }

    /// How this gateway stands to a key, watched or not.
    pub fn standing(&self, now: Nanos, key: &str) -> OwnershipState<'_> {
        let held = self.keys.get(key);
        let owner = match held {
            Some(held) => held.owner.and_then(|life| self.cut.find(life)),
            None => self.cut.owner(self.zone.as_deref(), key),
        };
        match (owner, held.and_then(|held| held.handing)) {
            (Some(owner), _) if owner.life == self.me => OwnershipState::Mine,
            (Some(to), Some(until)) if now < until => OwnershipState::Handing { to, until },
            (Some(owner), _) => OwnershipState::Other(owner),
            (None, _) => OwnershipState::Nobody,
        }
    }

    /// True where this gateway answers for a key now: it has it, or serves on until the new holder has it.
    pub fn serves(&self, now: Nanos, key: &str) -> bool {
        matches!(self.standing(now, key), OwnershipState::Mine | OwnershipState::Handing { .. })
    }

    /// The new holder of a key says that it has it.
    pub fn taken_over(&mut self, by: IncarnationId, key: &str, fence: FencingToken) {
        if fence < self.cut.fence {
            return;
        }
        if let Some(held) = self.keys.get_mut(key)
            && held.owner == Some(by)
            && held.handing.take().is_some()
        {
            self.due.insert(key.to_string());
        }
    }

    /// The host has taken up a key: the earlier holder may stop.
    pub fn started(&mut self, key: &str) {
        if let Some(held) = self.keys.get_mut(key)
            && held.owner == Some(self.me)
        {
            held.say = held.from.is_some();
            self.due.insert(key.to_string());
        }
    }

    /// The next thing to do, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Action> {
        let fence = self.cut.fence;
        if let Some(key) = self.stops.pop_front() {
            // Named again in between: it is taken up anew after this.
            return Some(Action::Stop { key, fence });
        }
        while let Some(key) = self.due.pop_first() {
            let Some(held) = self.keys.get_mut(&key) else { continue };
            let mine = held.owner == Some(self.me);
            if mine && !held.started {
                held.started = true;
                return Some(Action::Start { key, fence, from: held.from.clone() });
            }
            if mine && held.say {
                held.say = false;
                if let Some(to) = held.from.take() {
                    return Some(Action::SayTaken { to, key, fence });
                }
            }
            if !mine && held.started {
                match held.handing {
                    Some(until) if now < until => {
                        let at = self.check_at.map_or(until, |at| at.min(until));
                        self.check_at = Some(at);
                    }
                    _ => {
                        *held = KeyState { owner: held.owner, ..KeyState::default() };
                        return Some(Action::Stop { key, fence });
                    }
                }
            }
        }
        if self.check_at.is_some_and(|at| now >= at) {
            self.check_at = None;
            let handing = self.keys.iter().filter(|(_, held)| held.handing.is_some());
            self.due.extend(handing.map(|(key, _)| key.clone()));
            return if self.due.is_empty() { None } else { self.next(now) };
        }
        None
    }

    /// When something is to be done without anything coming in.
    pub fn wakes_at(&self) -> Option<Nanos> {
        self.check_at
    }
}
