//! Selection of the controller that a gateway subscribes to.

use crate::backoff::Backoff;
use crate::source::Source;
use crate::subscription::{Subscription, Subscriptions};
use crate::timing::Timing;
use fernknot::interface::Nanos;
use std::net::SocketAddrV4;

/// Address and zone of a controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerEndpoint {
    /// Address at which other processes of the system reach the controller.
    pub addr: SocketAddrV4,
    /// Zone (failure domain) of its machine; empty if unknown.
    pub zone: String,
}

/// The controller in use and the candidate being tried, if any topic has to come from a controller.
#[derive(Clone, Debug)]
pub(crate) struct ControllerSelection {
    own_zone: String,
    controllers: Vec<ControllerEndpoint>,
    current: Option<SocketAddrV4>,
    candidate: Option<SocketAddrV4>,
}

impl ControllerSelection {
    /// Creates a selection without known controllers.
    pub fn new(own_zone: &str) -> ControllerSelection {
        ControllerSelection {
            own_zone: own_zone.to_string(),
            controllers: Vec::new(),
            current: None,
            candidate: None,
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
        self.current.into_iter().chain(self.candidate)
    }

    /// Stops using a controller whose connection is lost.
    pub fn remove(&mut self, addr: SocketAddrV4) {
        self.current = self.current.filter(|current| *current != addr);
        self.candidate = self.candidate.filter(|candidate| *candidate != addr);
    }

    /// Stops using any controller, because no topic has to come from one.
    pub fn clear(&mut self) {
        self.current = None;
        self.candidate = None;
    }

    /// Evaluates the candidate and the controller in use by their heartbeats, and picks a new candidate if needed.
    pub fn update(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &mut Backoff,
        timing: &Timing,
    ) {
        self.evaluate_candidate(now, subscriptions, backoff, timing);
        self.drop_unresponsive_current(now, subscriptions, backoff, timing);
        self.pick_candidate(now, subscriptions, backoff, timing);
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
        let timeout = backoff.response_timeout(addr, timing.heartbeat_interval);
        let current_responds =
            subscription_to(subscriptions, self.current).is_some_and(|current| current.has_responded);
        if candidate.is_fresh(now, timing.stale_after) {
            self.current = self.candidate.take();
        } else if candidate.has_responded && !current_responds {
            // The candidate has no lease, but is the only controller that responds: use it while the search continues.
            backoff.record_failure(now, addr);
            self.current = self.candidate.take();
        } else if candidate.has_responded || now - candidate.subscribed_at >= timeout {
            backoff.record_failure(now, addr);
            self.candidate = None;
        }
    }

    fn drop_unresponsive_current(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &mut Backoff,
        timing: &Timing,
    ) {
        let Some(addr) = self.current else { return };
        let is_unresponsive = subscription_to(subscriptions, Some(addr))
            .is_none_or(|current| now - current.last_message_at > timing.source_timeout);
        if is_unresponsive {
            backoff.record_failure(now, addr);
            self.current = None;
        }
    }

    fn pick_candidate(
        &mut self,
        now: Nanos,
        subscriptions: &Subscriptions,
        backoff: &Backoff,
        timing: &Timing,
    ) {
        let is_healthy = subscription_to(subscriptions, self.current)
            .is_some_and(|current| now - current.last_leased_at <= timing.stale_after);
        let current_zone = self.current.and_then(|addr| self.zone_of(addr));
        let is_in_own_zone = current_zone == Some(&self.own_zone);
        if self.candidate.is_some() || (is_healthy && is_in_own_zone) {
            return;
        }
        let others = self.controllers.iter().filter(|controller| Some(controller.addr) != self.current);
        let available = others.filter(|controller| backoff.may_retry(now, controller.addr));
        // A healthy and known controller is replaced only by one of this gateway's own zone.
        let accepts_any_zone = !is_healthy || current_zone.is_none();
        let eligible = available.filter(|controller| accepts_any_zone || controller.zone == self.own_zone);
        let nearest = eligible
            .min_by_key(|controller| (controller.zone != self.own_zone, backoff.rank(controller.addr)));
        self.candidate = nearest.map(|controller| controller.addr);
    }

    fn zone_of(&self, addr: SocketAddrV4) -> Option<&String> {
        let known = self.controllers.iter().find(|controller| controller.addr == addr);
        known.map(|controller| &controller.zone)
    }
}

fn subscription_to(subscriptions: &Subscriptions, controller: Option<SocketAddrV4>) -> Option<&Subscription> {
    subscriptions.get(&Source::controller(controller?))
}
