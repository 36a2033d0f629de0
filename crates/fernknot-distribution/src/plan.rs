//! Which links there have to be, by what is known now.

use crate::homes::{Action, Relays};
use crate::link::{SourceHeartbeat, SourceKind, Subscription, Topic};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

type DesiredSubscriptions = BTreeMap<(SourceKind, SocketAddrV4), BTreeSet<Topic>>;

impl Relays {
    pub(crate) fn update_subscriptions(&mut self, now: Nanos) {
        (self.needs_update, self.next_update_at) = (false, now + self.heartbeat_interval);
        self.handover_until.retain(|_, until| now < *until);
        self.judge_relays(now);
        let direct = self.topics_from_controller();
        self.choose_controller(now, !direct.is_empty());
        let plan = self.desired_subscriptions(now, &direct);
        self.apply_subscriptions(now, plan);
    }

    /// Homes fall when stale and stand again when they have been fresh for a span.
    fn judge_relays(&mut self, now: Nanos) {
        let homes: BTreeSet<SocketAddrV4> = self.upstream_by_topic.values().flatten().copied().collect();
        for addr in homes {
            let link = self.subscriptions.get(&(SourceKind::Relay, addr));
            let spread = self.stale_after.times(0.25 * self.backoff.random_fraction(addr.port() as u64));
            let holds = link.is_some_and(|link| {
                let is_well = now - link.last_message_at <= self.stale_after && link.has_responded;
                let span = if is_well { self.unleased_relay_timeout } else { self.stale_after };
                now - link.last_leased_at <= span + spread
            });
            let steady =
                link.filter(|link| link.is_fresh(now, self.stale_after)).and_then(|link| link.leased_since);
            if !self.stale_relays.contains(&addr) {
                if link.is_some() && !holds {
                    self.stale_relays.insert(addr);
                }
            } else if steady.is_some_and(|since| now - since >= self.stale_after) {
                self.stale_relays.remove(&addr);
            }
        }
    }

    /// Topics to be had from a controller: as their home, as the home until lately, or since the home is stale.
    fn topics_from_controller(&self) -> BTreeSet<Topic> {
        let direct = self.upstream_by_topic.iter().filter(|(topic, home)| {
            home.is_none_or(|addr| self.stale_relays.contains(&addr))
                || self.handover_until.contains_key(topic)
        });
        direct.map(|(topic, _)| topic.clone()).collect()
    }

    fn choose_controller(&mut self, now: Nanos, needed: bool) {
        if !needed {
            (self.current_controller, self.candidate_controller) = (None, None);
            return;
        }
        let link = |addr: Option<SocketAddrV4>| {
            addr.and_then(|addr| self.subscriptions.get(&(SourceKind::Controller, addr)))
        };
        let is_fresh =
            |addr| link(addr).is_some_and(|link: &Subscription| link.is_fresh(now, self.stale_after));
        if let Some(trial) = self.candidate_controller {
            let tried = link(Some(trial));
            let wait = self.backoff.response_timeout(trial, self.heartbeat_interval);
            if is_fresh(Some(trial)) {
                (self.current_controller, self.candidate_controller) = (Some(trial), None);
            } else if tried.is_some_and(|link| link.has_responded)
                && !link(self.current_controller).is_some_and(|link| link.has_responded)
            {
                // No lease, but the only one that speaks: better than none while the search goes on.
                self.backoff.record_failure(now, trial);
                (self.current_controller, self.candidate_controller) = (Some(trial), None);
            } else if tried.is_some_and(|link| link.has_responded || now - link.attached_at >= wait) {
                self.backoff.record_failure(now, trial);
                self.candidate_controller = None;
            }
        }
        let link = |addr: Option<SocketAddrV4>| {
            addr.and_then(|addr| self.subscriptions.get(&(SourceKind::Controller, addr)))
        };
        if let Some(current) = self.current_controller
            && link(self.current_controller)
                .is_none_or(|link| now - link.last_message_at > self.unleased_relay_timeout)
        {
            self.backoff.record_failure(now, current);
            self.current_controller = None;
        }
        let settled =
            link(self.current_controller).is_some_and(|link| now - link.last_leased_at <= self.stale_after);
        let zone_of = |addr: SocketAddrV4| {
            let known = self.controllers.iter().find(|controller| controller.addr == addr);
            known.map(|controller| controller.zone.as_str())
        };
        let at_home = self.current_controller.and_then(zone_of) == Some(self.zone.as_str());
        let named = self.current_controller.is_some_and(|addr| zone_of(addr).is_some());
        if self.candidate_controller.is_some() || (settled && at_home) {
            return;
        }
        let others =
            self.controllers.iter().filter(|controller| Some(controller.addr) != self.current_controller);
        let free = others.filter(|controller| self.backoff.may_retry(now, controller.addr));
        // From a controller that is well, only to one of the own zone; or away from one that is not named any more.
        let better = free.filter(|controller| !settled || !named || controller.zone == self.zone);
        self.candidate_controller = better
            .min_by_key(|controller| (controller.zone != self.zone, self.backoff.rank(controller.addr)))
            .map(|controller| controller.addr);
    }

    fn desired_subscriptions(&mut self, now: Nanos, direct: &BTreeSet<Topic>) -> DesiredSubscriptions {
        let mut plan = DesiredSubscriptions::new();
        for addr in self.current_controller.iter().chain(&self.candidate_controller) {
            plan.insert((SourceKind::Controller, *addr), direct.clone());
        }
        for (topic, home) in &self.upstream_by_topic {
            if let Some(addr) = home {
                plan.entry((SourceKind::Relay, *addr)).or_default().insert(topic.clone());
            }
        }
        // The old source is kept until the new one speaks.
        let (links, topics, stale, current) =
            (&self.subscriptions, &self.upstream_by_topic, self.stale_after, self.current_controller);
        self.previous_sources.retain(|topic, (what, addr, until)| {
            let source = match topics.get(topic) {
                Some(Some(home)) => Some((SourceKind::Relay, *home)),
                _ => current.map(|addr| (SourceKind::Controller, addr)),
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

    fn apply_subscriptions(&mut self, now: Nanos, plan: DesiredSubscriptions) {
        let old: Vec<(SourceKind, SocketAddrV4)> =
            self.subscriptions.keys().filter(|key| !plan.contains_key(key)).copied().collect();
        for (what, addr) in old {
            self.subscriptions.remove(&(what, addr));
            self.actions.push_back(Action::Unsubscribe { addr, kind: what });
        }
        for ((what, addr), topics) in plan {
            match self.subscriptions.get_mut(&(what, addr)) {
                Some(link) if link.topics == topics => continue,
                Some(link) => link.topics.clone_from(&topics),
                // A home that was lost is tried again after a pause; a controller was chosen after its own.
                None if what == SourceKind::Relay && !self.backoff.may_retry(now, addr) => continue,
                None => {
                    self.subscriptions.insert((what, addr), Subscription::new(now, topics.clone()));
                }
            }
            self.actions.push_back(Action::Subscribe {
                addr,
                kind: what,
                topics: topics.into_iter().collect(),
            });
        }
    }

    /// Passes fresh pulses on at once, to those all of whose topics come here fresh; and says at intervals that this
    /// gateway is well to those of whose topics that is not so.
    pub(crate) fn forward_heartbeats(&mut self, now: Nanos) {
        let passed = std::mem::take(&mut self.not_yet_forwarded);
        let by_time = now >= self.next_forward_at;
        if by_time {
            self.next_forward_at = now + self.heartbeat_interval;
        }
        if self.subscribers.is_empty() {
            return;
        }
        // Fresher than stale: what is passed on is old already when it arrives.
        let fresh = self
            .subscriptions
            .iter()
            .filter(|(_, link)| link.is_fresh(now, self.heartbeat_interval.times(1.5)));
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
            let lately =
                |share| asks.forwarded_at.is_some_and(|at| now - at < self.heartbeat_interval.times(share));
            let whole = asks.topics.iter().all(|topic| topics.contains(topic));
            let due = asks.topics.iter().any(|topic| news.contains(topic)) && !lately(0.5);
            if whole && due {
                with.push(*addr);
            } else if !whole && by_time && !lately(1.0) {
                without.push(*addr);
            } else {
                continue;
            }
            asks.forwarded_at = Some(now);
        }
        for (to, lease) in [(with, true), (without, false)] {
            if !to.is_empty() {
                self.actions.push_back(Action::ForwardHeartbeat {
                    to,
                    heartbeat: SourceHeartbeat {
                        has_lease: lease,
                        hops: hops.saturating_add(1),
                        ..self.newest_seen
                    },
                });
            }
        }
    }
}
