//! Selection of the controller that a gateway subscribes to.

use crate::attempt_pacing::AttemptPacing;
use crate::backoff::Backoff;
use crate::source::Source;
use crate::subscription::{Subscription, Subscriptions};
use crate::timing::Timing;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Address and zone of a controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerEndpoint {
    /// Address at which other processes of the system reach the controller.
    pub addr: SocketAddrV4,
    /// Zone (failure domain) of its machine; empty if unknown.
    pub zone: String,
}

/// Maximum number of controllers without a lease to which a gateway stays subscribed besides the one in use: whichever
/// of them has a lease first is used, without a further attempt.
const MAX_STANDBYS: usize = 2;

/// The controller in use and those that may replace it, if any topic has to come from a controller.
#[derive(Clone, Debug)]
pub(crate) struct ControllerSelection {
    own_zone: String,
    controllers: Vec<ControllerEndpoint>,
    current: Option<SocketAddrV4>,
    /// Controller from which the first heartbeat is awaited.
    candidate: Option<SocketAddrV4>,
    /// Controllers that respond, but without a lease.
    standbys: Vec<SocketAddrV4>,
    pacing: AttemptPacing,
    /// Time of the last attempt at each controller since one with a lease was last in use.
    attempted_at: BTreeMap<SocketAddrV4, Nanos>,
}

impl ControllerSelection {
    /// Creates a selection without known controllers.
    pub fn new(own_zone: &str, timing: &Timing) -> ControllerSelection {
        ControllerSelection {
            own_zone: own_zone.to_string(),
            controllers: Vec::new(),
            current: None,
            candidate: None,
            standbys: Vec::new(),
            pacing: AttemptPacing::new(timing.attempt_interval),
            attempted_at: BTreeMap::new(),
        }
    }

    /// Sets the known controllers. Returns whether they differ.
    pub fn set_controllers(&mut self, mut controllers: Vec<ControllerEndpoint>) -> bool {
        controllers.sort();
        controllers.dedup_by_key(|controller| controller.addr);
        let differ = controllers != self.controllers;
        if differ {
            self.controllers = controllers;
        }
        differ
    }

    /// Address of the controller in use.
    pub fn current(&self) -> Option<SocketAddrV4> {
        self.current
    }

    /// Addresses of the controllers to subscribe to.
    pub fn selected(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.current.into_iter().chain(self.candidate).chain(self.standbys.iter().copied())
    }

    /// Stops using a controller whose connection is lost.
    pub fn remove(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.current = self.current.filter(|current| *current != addr);
        self.candidate = self.candidate.filter(|candidate| *candidate != addr);
        self.standbys.retain(|standby| *standby != addr);
        self.attempted_at.insert(addr, now);
    }

    /// Stops using any controller, because no topic has to come from one.
    pub fn clear(&mut self) {
        self.current = None;
        self.candidate = None;
        self.standbys.clear();
        self.attempted_at.clear();
    }

    /// Evaluates the subscribed controllers by their heartbeats, and picks a new candidate if needed.
    pub fn update(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &mut Backoff,
        timing: &Timing,
    ) {
        self.evaluate_candidate(now, subscriptions, backoff, timing);
        self.drop_unresponsive(now, subscriptions, backoff, timing);
        self.use_leased_standby(now, subscriptions, timing);
        self.pick_candidate(now, subscriptions, backoff, timing);
    }

    /// Time after which [`Self::update`] has a decision to make even if no message arrives.
    pub fn next_deadline(
        &self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &Backoff,
        timing: &Timing,
    ) -> Option<Nanos> {
        if let Some(addr) = self.candidate {
            let candidate = subscription_to(subscriptions, Some(addr))?;
            let timeout = backoff.response_timeout(now, addr, timing.heartbeat_interval);
            return Some(candidate.subscribed_at + timeout);
        }
        (!self.is_healthy(now, subscriptions, timing)).then(|| self.pacing.next_at())
    }

    fn evaluate_candidate(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &mut Backoff,
        timing: &Timing,
    ) {
        let Some(addr) = self.candidate else { return };
        let Some(candidate) = subscription_to(subscriptions, Some(addr)) else { return };
        let timeout = backoff.response_timeout(now, addr, timing.heartbeat_interval);
        let current_responds =
            subscription_to(subscriptions, self.current).is_some_and(|current| current.has_responded);
        if candidate.is_fresh(now, timing.stale_after) {
            self.current = self.candidate.take();
        } else if candidate.has_responded {
            backoff.record_failure(now, addr);
            self.candidate = None;
            if !current_responds {
                self.current = Some(addr);
            } else if self.standbys.len() < MAX_STANDBYS {
                self.standbys.push(addr);
            }
        } else if now - candidate.subscribed_at >= timeout {
            backoff.record_failure(now, addr);
            self.candidate = None;
        }
    }

    fn drop_unresponsive(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &mut Backoff,
        timing: &Timing,
    ) {
        let is_unresponsive = |addr: &SocketAddrV4| {
            subscription_to(subscriptions, Some(*addr))
                .is_none_or(|subscription| now - subscription.last_message_at > timing.source_timeout)
        };
        let held: Vec<SocketAddrV4> = self.current.into_iter().chain(self.standbys.iter().copied()).collect();
        for addr in held.into_iter().filter(is_unresponsive) {
            backoff.record_failure(now, addr);
            self.remove(now, addr);
        }
    }

    /// Replaces a controller in use that has no lease by a standby that has one. Standbys are not needed while the
    /// controller in use has a lease.
    fn use_leased_standby(&mut self, now: Nanos, subscriptions: &Subscriptions, timing: &Timing) {
        let is_fresh = |addr: &SocketAddrV4| {
            subscription_to(subscriptions, Some(*addr))
                .is_some_and(|subscription| subscription.is_fresh(now, timing.stale_after))
        };
        if !self.current.as_ref().is_some_and(is_fresh) {
            let Some(leased) = self.standbys.iter().copied().find(is_fresh) else { return };
            self.current = Some(leased);
        }
        self.standbys.clear();
        self.attempted_at.clear();
    }

    fn is_healthy(&self, now: Nanos, subscriptions: &Subscriptions, timing: &Timing) -> bool {
        subscription_to(subscriptions, self.current)
            .is_some_and(|current| now - current.last_leased_at <= timing.stale_after)
    }

    fn pick_candidate(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &Backoff,
        timing: &Timing,
    ) {
        if self.candidate.is_some() {
            return;
        }
        self.candidate = match self.is_healthy(now, subscriptions, timing) {
            true => self.nearer_controller(now, backoff),
            false if now >= self.pacing.next_at() => self.next_controller(backoff),
            false => None,
        };
        if let Some(addr) = self.candidate {
            self.attempted_at.insert(addr, now);
            self.pacing.record(now, backoff);
        }
    }

    /// Controller that replaces a healthy one: only one of this gateway's own zone, unless the zone of the one in use
    /// is unknown.
    fn nearer_controller(&self, now: Nanos, backoff: &Backoff) -> Option<SocketAddrV4> {
        let current_zone = self.current.and_then(|addr| self.zone_of(addr));
        if current_zone == Some(&self.own_zone) {
            return None;
        }
        let eligible = self.unselected().filter(|controller| {
            let is_nearer = current_zone.is_none() || controller.zone == self.own_zone;
            is_nearer && backoff.may_retry(now, controller.addr)
        });
        let nearest = eligible
            .min_by_key(|controller| (controller.zone != self.own_zone, backoff.rank(controller.addr)));
        nearest.map(|controller| controller.addr)
    }

    /// Next controller to try while none with a lease is known. Each is tried in turn: that one had no lease, or did not
    /// respond, does not tell when it will.
    fn next_controller(&self, backoff: &Backoff) -> Option<SocketAddrV4> {
        let next = self.unselected().min_by_key(|controller| {
            let addr = controller.addr;
            (self.attempted_at.get(&addr), controller.zone != self.own_zone, backoff.rank(addr))
        });
        next.map(|controller| controller.addr)
    }

    fn unselected(&self) -> impl Iterator<Item = &ControllerEndpoint> {
        self.controllers.iter().filter(|controller| !self.selected().any(|addr| addr == controller.addr))
    }

    fn zone_of(&self, addr: SocketAddrV4) -> Option<&String> {
        let known = self.controllers.iter().find(|controller| controller.addr == addr);
        known.map(|controller| &controller.zone)
    }
}

fn subscription_to(subscriptions: &Subscriptions, controller: Option<SocketAddrV4>) -> Option<&Subscription> {
    subscriptions.get(&Source::controller(controller?))
}
