//! The control side of gateways: each listens to one controller, moves on when that one is silent or hears no
//! majority, and holds the newest plan and what it was told of nodes.

use crate::play::{SeededBug, Settings};
use crate::register::Version;
use crate::world::{Event as All, FIRST_SUBSCRIBER, Input, Simulation, millis};
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::{ControllerToGateway, GatewayToController, Subscription};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

const LOOK: Nanos = Nanos(100_000_000);
/// A teller that is silent, or hears no majority, for so long is left.
const PATIENCE: Nanos = Nanos(1_000_000_000);
/// One that has not begun to speak is left sooner.
const FIRST_MESSAGE_TIMEOUT: Nanos = Nanos(300_000_000);

/// One gateway's control side.
pub struct Subscriber {
    subscription: u64,
    controller: usize,
    incarnation: u64,
    /// A cut tore a hole into what comes: it ends when that is noticed.
    is_broken: bool,
    /// It has said something.
    has_spoken: bool,
    /// Words come in order.
    last_arrival: Nanos,
    last_heard: Nanos,
    last_lease: Nanos,
    pub revision: u64,
    pub version: Option<Version>,
    nodes: BTreeMap<String, NodeRecord>,
    pub disturbed_at: Nanos,
    /// When each controller failed it last.
    last_failures: BTreeMap<usize, Nanos>,
    previous_config: Option<ControllerToGateway>,
}

/// What listeners do next.
#[derive(Clone, Debug)]
pub enum Event {
    Open(usize, u64),
    Word(usize, u64, ControllerToGateway),
    Gone(usize, u64),
    Look(usize),
}

/// All of them.
pub struct Subscribers {
    list: Vec<Subscriber>,
}

fn version_of(plan: &ControllerToGateway) -> Option<(u64, Version)> {
    let ControllerToGateway::Config { revision: order, config: plan } = plan else { return None };
    let path = &plan.routes.first()?.path_prefix;
    Some((*order, Version { epoch: plan.epoch, body: path.trim_matches('/').parse().ok()? }))
}

impl Subscribers {
    pub fn new(facts: &Settings) -> Subscribers {
        let list = (0..facts.subscribers).map(|_| Subscriber {
            subscription: 0,
            controller: 0,
            incarnation: 0,
            is_broken: false,
            has_spoken: false,
            last_arrival: Nanos(0),
            last_heard: Nanos(0),
            last_lease: Nanos(0),
            revision: 0,
            version: None,
            nodes: BTreeMap::new(),
            disturbed_at: Nanos(0),
            last_failures: BTreeMap::new(),
            previous_config: None,
        });
        Subscribers { list: list.collect() }
    }

    pub fn mark_disturbed(&mut self, place: usize, now: Nanos) {
        if let Some(listener) = place.checked_sub(FIRST_SUBSCRIBER).and_then(|at| self.list.get_mut(at)) {
            listener.disturbed_at = now;
        }
    }

    pub fn count(&self) -> usize {
        self.list.len()
    }

    pub fn versions(&self) -> Vec<Option<Version>> {
        self.list.iter().map(|listener| listener.version).collect()
    }
}

impl Simulation {
    pub fn start_subscribers(&mut self) {
        for at in 0..self.subscribers.list.len() {
            self.schedule(millis(400 + 50 * at as u64), All::Listener(Event::Look(at)));
        }
    }

    pub fn on_subscriber_event(&mut self, event: Event) {
        match event {
            Event::Open(at, ear) => self.attach_subscriber(at, ear),
            Event::Word(at, ear, word) => self.subscriber_receives(at, ear, word),
            Event::Gone(at, ear) => {
                if self.subscribers.list[at].subscription == ear {
                    self.subscribers.list[at].subscription = 0;
                    self.subscribe_elsewhere(at);
                }
            }
            Event::Look(at) => {
                self.schedule(LOOK, All::Listener(Event::Look(at)));
                let listener = &self.subscribers.list[at];
                let (now, ear, to, life) =
                    (self.now, listener.subscription, listener.controller, listener.incarnation);
                let patience = if listener.has_spoken { PATIENCE } else { FIRST_MESSAGE_TIMEOUT };
                if ear == 0 || now - listener.last_heard > patience || now - listener.last_lease > PATIENCE {
                    return self.subscribe_elsewhere(at);
                }
                if life != 0 && !self.is_partitioned(FIRST_SUBSCRIBER + at, to) {
                    let wait = self.sample_delay(at, to);
                    let alive = Input::GatewayMessage(
                        SubscriberId(ear),
                        GatewayToController::Heartbeat { ready: true },
                    );
                    self.schedule(wait, All::Input(to, life, alive));
                }
            }
        }
    }

    /// To another controller of the list.
    fn subscribe_elsewhere(&mut self, at: usize) {
        let place = FIRST_SUBSCRIBER + at;
        let listener = &self.subscribers.list[at];
        let (ear, old, life) = (listener.subscription, listener.controller, listener.incarnation);
        if ear != 0 && life != 0 {
            let cut = self.is_partitioned(place, old);
            let wait = if cut { PATIENCE } else { self.sample_delay(at, old) };
            self.schedule(wait, All::Input(old, life, Input::SubscriberGone(SubscriberId(ear))));
        }
        // Whoever failed it longest ago.
        let now = self.now;
        let failed = &mut self.subscribers.list[at].last_failures;
        if ear != 0 {
            failed.insert(old, now);
        }
        let ago = |to: &usize| failed.get(to).copied().unwrap_or_default();
        let first = self.advertised.iter().map(ago).min();
        let others: Vec<usize> =
            self.advertised.iter().copied().filter(|to| Some(ago(to)) == first).collect();
        let Some(to) = self.rng.choose(&others) else { return };
        self.trace(|| format!("listener {at} goes from {old} to {to}"));
        self.sequence += 1;
        let (now, ear) = (self.now, self.sequence);
        let listener = &mut self.subscribers.list[at];
        (listener.subscription, listener.controller, listener.incarnation) = (ear, to, 0);
        (listener.is_broken, listener.has_spoken) = (false, false);
        (listener.last_heard, listener.last_lease, listener.last_arrival) = (now, now, now);
        let wait = self.sample_delay(at, to) + self.sample_delay(to, at);
        self.schedule(wait, All::Listener(Event::Open(at, ear)));
    }

    fn attach_subscriber(&mut self, at: usize, ear: u64) {
        let place = FIRST_SUBSCRIBER + at;
        let to = self.subscribers.list[at].controller;
        let machine = &self.machines[to];
        if self.subscribers.list[at].subscription != ear || !machine.is_powered || machine.is_removed {
            return;
        }
        if self.is_partitioned(place, to) || self.is_partitioned(to, place) {
            return;
        }
        if !machine.is_up() {
            let now = self.now;
            let listener = &mut self.subscribers.list[at];
            listener.subscription = 0;
            _ = listener.last_failures.insert(to, now);
            return;
        }
        let listener = &mut self.subscribers.list[at];
        listener.incarnation = machine.incarnation;
        let addr = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, at as u8 + 1), 7120);
        let who = GatewayRecord {
            incarnation: IncarnationId(at as u64 + 1),
            addr,
            zone: format!("zone-{}", at % 3),
        };
        let word = GatewayToController::Subscribe {
            gateway: who,
            ready: true,
            subscription: Subscription::All,
            revision: listener.revision,
        };
        let wait = self.sample_delay(at, to);
        let life = self.machines[to].incarnation;
        self.schedule(wait, All::Input(to, life, Input::GatewayMessage(SubscriberId(ear), word)));
    }

    /// A controller tells one listener.
    pub fn notify_subscriber(
        &mut self,
        from: usize,
        life: u64,
        ear: SubscriberId,
        word: &ControllerToGateway,
    ) {
        let found = self
            .subscribers
            .list
            .iter()
            .position(|listener| listener.subscription == ear.0 && listener.incarnation == life);
        let Some(at) = found else { return };
        let wait = self.sample_delay(from, at);
        let cut = self.is_partitioned(from, FIRST_SUBSCRIBER + at);
        let listener = &mut self.subscribers.list[at];
        listener.is_broken |= cut;
        if listener.is_broken {
            return;
        }
        listener.last_arrival = listener.last_arrival.max(self.now + wait);
        let wait = listener.last_arrival - self.now;
        if self.settings.seeded_bug == Some(SeededBug::ReplaysOldConfig)
            && let ControllerToGateway::Config { revision: order, config: plan } = word
        {
            // An older plan comes again, as if it were the newest.
            if let Some(ControllerToGateway::Config { config: old, .. }) = &listener.previous_config {
                let late = ControllerToGateway::Config { revision: order + 1, config: old.clone() };
                self.schedule(wait + millis(100), All::Listener(Event::Word(at, ear.0, late)));
            }
            let kept = ControllerToGateway::Config { revision: *order, config: plan.clone() };
            self.subscribers.list[at].previous_config = Some(kept);
        }
        self.schedule(wait, All::Listener(Event::Word(at, ear.0, word.clone())));
    }

    fn subscriber_receives(&mut self, at: usize, ear: u64, word: ControllerToGateway) {
        let now = self.now;
        let listener = &mut self.subscribers.list[at];
        if listener.subscription != ear {
            return;
        }
        (listener.last_heard, listener.has_spoken) = (now, true);
        match word {
            ControllerToGateway::Config { revision: order, .. } => {
                if order <= listener.revision {
                    return;
                }
                let Some((order, version)) = version_of(&word) else {
                    return self.report_violation(
                        "CONFIG",
                        format!("listener {at} is told a plan that nobody sent"),
                    );
                };
                let old = listener.version.replace(version);
                listener.revision = order;
                let moment = self.next_sequence();
                self.record_sighting(version, moment);
                self.trace(|| format!("listener {at} holds order {order}, {version:?}"));
                if old.is_some_and(|old| {
                    old.epoch > version.epoch || old.epoch == version.epoch && old != version
                }) {
                    self.report_violation(
                        "CONFIG",
                        format!("listener {at} goes back from {old:?} to {version:?}"),
                    );
                }
                let agreed = *self.observations.versions_by_revision.entry(order).or_insert(version);
                if agreed != version {
                    self.report_violation("CONFIG", format!("order {order} is {agreed:?} and {version:?}"));
                }
            }
            ControllerToGateway::NodeUpdates(facts) => {
                if self.settings.trace {
                    let told =
                        facts.iter().map(|fact| format!("{} {:?} {}", fact.id, fact.state, fact.sequence));
                    let text = format!("listener {at} is told of {}", told.collect::<Vec<_>>().join(", "));
                    self.log.push(format!("{:>10.3} {text}", now.as_millis()));
                }
                for fact in facts {
                    match listener.nodes.get_mut(&fact.id) {
                        Some(known) => {
                            // What a gateway makes of two tellings: leaving is never taken back.
                            let leaves = matches!(known.state, NodeState::Draining | NodeState::Gone);
                            if !leaves && fact.sequence >= known.sequence || fact.state == NodeState::Gone {
                                *known = fact;
                            } else if fact.state == NodeState::Draining {
                                known.state = fact.state;
                            }
                        }
                        None => _ = listener.nodes.insert(fact.id.clone(), fact),
                    }
                }
            }
            ControllerToGateway::Heartbeat { holds_lease: true, .. } => listener.last_lease = now,
            _ => {}
        }
    }

    /// The listeners of a process that ended, or whose connections were reset.
    pub fn drop_subscribers(&mut self, at: usize, life: u64, dark: bool) {
        let now = self.now;
        for which in 0..self.subscribers.list.len() {
            let listener = &mut self.subscribers.list[which];
            if listener.controller != at || listener.incarnation != life || listener.subscription == 0 {
                continue;
            }
            let ear = listener.subscription;
            listener.is_broken = true;
            if self.machines[at].is_up() {
                // A reset: both ends hear of it, and it is a trouble of the listener's links too.
                self.subscribers.list[which].disturbed_at = now;
                self.deliver(at, Input::SubscriberGone(SubscriberId(ear)));
            }
            if !dark {
                self.schedule(millis(5), All::Listener(Event::Gone(which, ear)));
            }
        }
    }

    /// A cut between a place and another: a listener's connection does not survive it.
    pub fn partition_subscribers(&mut self, from: usize, to: usize) {
        for at in 0..self.subscribers.list.len() {
            let place = FIRST_SUBSCRIBER + at;
            let listener = &mut self.subscribers.list[at];
            if (place, listener.controller) == (from, to) || (listener.controller, place) == (from, to) {
                listener.is_broken = true;
            }
        }
    }

    /// Drains and versions that listeners in touch must know by now.
    pub fn check_subscribers(&mut self) {
        let (now, bounds) = (self.now, self.settings.bounds);
        self.observations
            .drains
            .retain(|drain| now - drain.acknowledged_at < bounds.drain_cutoff + millis(20_000));
        for at in 0..self.subscribers.list.len() {
            let touched = self.subscribers.list[at].disturbed_at;
            if !self.is_in_touch(FIRST_SUBSCRIBER + at, touched) {
                continue;
            }
            let listener = &self.subscribers.list[at];
            let epoch = listener.version.map_or(0, |version| version.epoch);
            let late = self.observations.drains.iter().find(|drain| {
                let holds =
                    listener.nodes.get(&drain.node).is_some_and(|fact| fact.state == NodeState::Ready);
                holds && now - drain.acknowledged_at > bounds.drain_cutoff
            });
            let behind = self
                .observations
                .acknowledged
                .iter()
                .filter(|(version, when)| version.epoch > epoch && now - *when > bounds.apply_deadline)
                .max();
            let drain = late.map(|drain| {
                let ago = (now - drain.acknowledged_at).as_millis();
                format!(
                    "listener {at} takes {} for ready {ago:.0} ms after {} acknowledged its drain",
                    drain.node, drain.machine
                )
            });
            let behind = behind.map(|(version, when)| {
                let ago = (now - *when).as_millis();
                format!("listener {at} holds version {epoch}, {ago:.0} ms after {version:?} was acknowledged")
            });
            if let Some(text) = drain {
                self.report_violation("DRAIN", text);
            }
            if let Some(text) = behind {
                self.report_violation("APPLY", text);
            }
        }
    }
}
