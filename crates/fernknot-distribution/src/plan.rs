//! Which links there have to be, by what is known now.

use crate::homes::{Action, Relays};
use crate::link::{SourceHeartbeat, SourceKind, Subscription, Topic};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

type DesiredSubscriptions = BTreeMap<(SourceKind, SocketAddrV4), BTreeSet<Topic>>;

impl Relays {
    pub(crate) fn look(&mut self, now: Nanos) {
        (self.dirty, self.look_at) = (false, now + self.pulse_every);
        self.handing.retain(|_, until| now < *until);
        self.judge_homes(now);
        let direct = self.direct();
        self.choose_registrar(now, !direct.is_empty());
        let plan = self.plan(now, &direct);
        self.order(now, plan);
    }

    /// Homes fall when stale and stand again when they have been fresh for a span.
    fn judge_homes(&mut self, now: Nanos) {
        let homes: BTreeSet<SocketAddrV4> = self.topics.values().flatten().copied().collect();
        for addr in homes {
            let link = self.links.get(&(SourceKind::Home, addr));
            let spread = self.stale.times(0.25 * self.pauses.chance(addr.port() as u64));
            let holds = link.is_some_and(|link| {
                let is_well = now - link.well_at <= self.stale && link.heard;
                let span = if is_well { self.patience } else { self.stale };
                now - link.fresh_at <= span + spread
            });
            let steady = link.filter(|link| link.is_fresh(now, self.stale)).and_then(|link| link.fresh_since);
            if !self.fallen.contains(&addr) {
                if link.is_some() && !holds {
                    self.fallen.insert(addr);
                }
            } else if steady.is_some_and(|since| now - since >= self.stale) {
                self.fallen.remove(&addr);
            }
        }
    }

    /// Topics to be had from a registrar: as their home, as the home until lately, or since the home is stale.
    fn direct(&self) -> BTreeSet<Topic> {
        let direct = self.topics.iter().filter(|(topic, home)| {
            home.is_none_or(|addr| self.fallen.contains(&addr)) || self.handing.contains_key(topic)
        });
        direct.map(|(topic, _)| topic.clone()).collect()
    }

    fn choose_registrar(&mut self, now: Nanos, needed: bool) {
        if !needed {
            (self.current, self.trial) = (None, None);
            return;
        }
        let link =
            |addr: Option<SocketAddrV4>| addr.and_then(|addr| self.links.get(&(SourceKind::Registrar, addr)));
        let is_fresh = |addr| link(addr).is_some_and(|link: &Subscription| link.is_fresh(now, self.stale));
        if let Some(trial) = self.trial {
            let tried = link(Some(trial));
            let wait = self.pauses.wait(trial, self.pulse_every);
            if is_fresh(Some(trial)) {
                (self.current, self.trial) = (Some(trial), None);
            } else if tried.is_some_and(|link| link.heard)
                && !link(self.current).is_some_and(|link| link.heard)
            {
                // No lease, but the only one that speaks: better than none while the search goes on.
                self.pauses.failed(now, trial);
                (self.current, self.trial) = (Some(trial), None);
            } else if tried.is_some_and(|link| link.heard || now - link.since >= wait) {
                self.pauses.failed(now, trial);
                self.trial = None;
            }
        }
        let link =
            |addr: Option<SocketAddrV4>| addr.and_then(|addr| self.links.get(&(SourceKind::Registrar, addr)));
        if let Some(current) = self.current
            && link(self.current).is_none_or(|link| now - link.well_at > self.patience)
        {
            self.pauses.failed(now, current);
            self.current = None;
        }
        let settled = link(self.current).is_some_and(|link| now - link.fresh_at <= self.stale);
        let zone_of = |addr: SocketAddrV4| {
            let known = self.registrars.iter().find(|registrar| registrar.addr == addr);
            known.map(|registrar| registrar.zone.as_str())
        };
        let at_home = self.current.and_then(zone_of) == Some(self.zone.as_str());
        let named = self.current.is_some_and(|addr| zone_of(addr).is_some());
        if self.trial.is_some() || (settled && at_home) {
            return;
        }
        let others = self.registrars.iter().filter(|registrar| Some(registrar.addr) != self.current);
        let free = others.filter(|registrar| self.pauses.is_over(now, registrar.addr));
        // From a registrar that is well, only to one of the own zone; or away from one that is not named any more.
        let better = free.filter(|registrar| !settled || !named || registrar.zone == self.zone);
        self.trial = better
            .min_by_key(|registrar| (registrar.zone != self.zone, self.pauses.rank(registrar.addr)))
            .map(|registrar| registrar.addr);
    }

    fn plan(&mut self, now: Nanos, direct: &BTreeSet<Topic>) -> DesiredSubscriptions {
        let mut plan = DesiredSubscriptions::new();
        for addr in self.current.iter().chain(&self.trial) {
            plan.insert((SourceKind::Registrar, *addr), direct.clone());
        }
        for (topic, home) in &self.topics {
            if let Some(addr) = home {
                plan.entry((SourceKind::Home, *addr)).or_default().insert(topic.clone());
            }
        }
        // The old source is kept until the new one speaks.
        let (links, topics, stale, current) = (&self.links, &self.topics, self.stale, self.current);
        self.moving.retain(|topic, (what, addr, until)| {
            let source = match topics.get(topic) {
                Some(Some(home)) => Some((SourceKind::Home, *home)),
                _ => current.map(|addr| (SourceKind::Registrar, addr)),
            };
            let speaks =
                source.and_then(|source| links.get(&source)).is_some_and(|link| link.is_fresh(now, stale));
            let keep = now < *until && !speaks && links.contains_key(&(*what, *addr));
            if keep {
                plan.entry((*what, *addr)).or_default().insert(topic.clone());
            }
            keep
        });
        plan
    }

    fn order(&mut self, now: Nanos, plan: DesiredSubscriptions) {
        let old: Vec<(SourceKind, SocketAddrV4)> =
            self.links.keys().filter(|key| !plan.contains_key(key)).copied().collect();
        for (what, addr) in old {
            self.links.remove(&(what, addr));
            self.orders.push_back(Action::Detach { addr, what });
        }
        for ((what, addr), topics) in plan {
            match self.links.get_mut(&(what, addr)) {
                Some(link) if link.topics == topics => continue,
                Some(link) => link.topics.clone_from(&topics),
                // A home that was lost is tried again after a pause; a registrar was chosen after its own.
                None if what == SourceKind::Home && !self.pauses.is_over(now, addr) => continue,
                None => {
                    self.links.insert((what, addr), Subscription::new(now, topics.clone()));
                }
            }
            self.orders.push_back(Action::Attach { addr, what, topics: topics.into_iter().collect() });
        }
    }

    /// Passes fresh pulses on at once, to those all of whose topics come here fresh; and says at intervals that this
    /// gateway is well to those of whose topics that is not so.
    pub(crate) fn relay(&mut self, now: Nanos) {
        let passed = std::mem::take(&mut self.passed);
        let by_time = now >= self.relay_at;
        if by_time {
            self.relay_at = now + self.pulse_every;
        }
        if self.subscribers.is_empty() {
            return;
        }
        // Fresher than stale: what is passed on is old already when it arrives.
        let fresh = self.links.iter().filter(|(_, link)| link.is_fresh(now, self.pulse_every.times(1.5)));
        let (mut topics, mut news, mut hops) = (BTreeSet::new(), BTreeSet::new(), 0);
        for (key, link) in fresh {
            topics.extend(&link.topics);
            hops = link.hops.max(hops);
            if passed.contains(key) {
                news.extend(&link.topics);
            }
        }
        let (mut with, mut without) = (Vec::new(), Vec::new());
        for (addr, asks) in &mut self.subscribers {
            let lately = |share| asks.passed_at.is_some_and(|at| now - at < self.pulse_every.times(share));
            let whole = asks.topics.iter().all(|topic| topics.contains(topic));
            let due = asks.topics.iter().any(|topic| news.contains(topic)) && !lately(0.5);
            if whole && due {
                with.push(*addr);
            } else if !whole && by_time && !lately(1.0) {
                without.push(*addr);
            } else {
                continue;
            }
            asks.passed_at = Some(now);
        }
        for (to, lease) in [(with, true), (without, false)] {
            if !to.is_empty() {
                self.orders.push_back(Action::Relay {
                    to,
                    pulse: SourceHeartbeat { lease, hops: hops.saturating_add(1), ..self.newest },
                });
            }
        }
    }
}
