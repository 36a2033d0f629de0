//! The control side of gateways: each listens to one registrar, moves on when that one is silent or hears no
//! majority, and holds the newest plan and what it was told of nodes.

use crate::play::{SeededBug, Settings};
use crate::register::Version;
use crate::world::{Event as All, FIRST_LISTENER, Input, Simulation, ms};
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
const OPENS_WITHIN: Nanos = Nanos(300_000_000);

/// One gateway's control side.
pub struct Subscriber {
    ear: u64,
    at: usize,
    life: u64,
    /// A cut tore a hole into what comes: it ends when that is noticed.
    broken: bool,
    /// It has said something.
    spoken: bool,
    /// Words come in order.
    last: Nanos,
    heard: Nanos,
    lease: Nanos,
    pub order: u64,
    pub version: Option<Version>,
    nodes: BTreeMap<String, NodeRecord>,
    pub touched: Nanos,
    /// When each registrar failed it last.
    failed: BTreeMap<usize, Nanos>,
    older: Option<ControllerToGateway>,
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
    let ControllerToGateway::Plan { order, plan } = plan else { return None };
    let path = &plan.routes.first()?.path_prefix;
    Some((*order, Version { epoch: plan.epoch, body: path.trim_matches('/').parse().ok()? }))
}

impl Subscribers {
    pub fn new(facts: &Settings) -> Subscribers {
        let list = (0..facts.listeners).map(|_| Subscriber {
            ear: 0,
            at: 0,
            life: 0,
            broken: false,
            spoken: false,
            last: Nanos(0),
            heard: Nanos(0),
            lease: Nanos(0),
            order: 0,
            version: None,
            nodes: BTreeMap::new(),
            touched: Nanos(0),
            failed: BTreeMap::new(),
            older: None,
        });
        Subscribers { list: list.collect() }
    }

    pub fn touch(&mut self, place: usize, now: Nanos) {
        if let Some(listener) = place.checked_sub(FIRST_LISTENER).and_then(|at| self.list.get_mut(at)) {
            listener.touched = now;
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
    pub fn begin_listeners(&mut self) {
        for at in 0..self.listeners.list.len() {
            self.later(ms(400 + 50 * at as u64), All::Listener(Event::Look(at)));
        }
    }

    pub fn listener(&mut self, event: Event) {
        match event {
            Event::Open(at, ear) => self.attach(at, ear),
            Event::Word(at, ear, word) => self.heard(at, ear, word),
            Event::Gone(at, ear) => {
                if self.listeners.list[at].ear == ear {
                    self.listeners.list[at].ear = 0;
                    self.move_on(at);
                }
            }
            Event::Look(at) => {
                self.later(LOOK, All::Listener(Event::Look(at)));
                let listener = &self.listeners.list[at];
                let (now, ear, to, life) = (self.now, listener.ear, listener.at, listener.life);
                let patience = if listener.spoken { PATIENCE } else { OPENS_WITHIN };
                if ear == 0 || now - listener.heard > patience || now - listener.lease > PATIENCE {
                    return self.move_on(at);
                }
                if life != 0 && !self.is_cut(FIRST_LISTENER + at, to) {
                    let wait = self.delay(at, to);
                    let alive = Input::Inward(SubscriberId(ear), GatewayToController::Alive { ready: true });
                    self.later(wait, All::Input(to, life, alive));
                }
            }
        }
    }

    /// To another registrar of the list.
    fn move_on(&mut self, at: usize) {
        let place = FIRST_LISTENER + at;
        let listener = &self.listeners.list[at];
        let (ear, old, life) = (listener.ear, listener.at, listener.life);
        if ear != 0 && life != 0 {
            let cut = self.is_cut(place, old);
            let wait = if cut { PATIENCE } else { self.delay(at, old) };
            self.later(wait, All::Input(old, life, Input::EarGone(SubscriberId(ear))));
        }
        // Whoever failed it longest ago.
        let now = self.now;
        let failed = &mut self.listeners.list[at].failed;
        if ear != 0 {
            failed.insert(old, now);
        }
        let ago = |to: &usize| failed.get(to).copied().unwrap_or_default();
        let first = self.listed.iter().map(ago).min();
        let others: Vec<usize> = self.listed.iter().copied().filter(|to| Some(ago(to)) == first).collect();
        let Some(to) = self.chance.pick(&others) else { return };
        self.say(|| format!("listener {at} goes from {old} to {to}"));
        self.count += 1;
        let (now, ear) = (self.now, self.count);
        let listener = &mut self.listeners.list[at];
        (listener.ear, listener.at, listener.life) = (ear, to, 0);
        (listener.broken, listener.spoken) = (false, false);
        (listener.heard, listener.lease, listener.last) = (now, now, now);
        let wait = self.delay(at, to) + self.delay(to, at);
        self.later(wait, All::Listener(Event::Open(at, ear)));
    }

    fn attach(&mut self, at: usize, ear: u64) {
        let place = FIRST_LISTENER + at;
        let to = self.listeners.list[at].at;
        let machine = &self.machines[to];
        if self.listeners.list[at].ear != ear || !machine.powered || machine.removed {
            return;
        }
        if self.is_cut(place, to) || self.is_cut(to, place) {
            return;
        }
        if !machine.is_up() {
            let now = self.now;
            let listener = &mut self.listeners.list[at];
            listener.ear = 0;
            _ = listener.failed.insert(to, now);
            return;
        }
        let listener = &mut self.listeners.list[at];
        listener.life = machine.life;
        let addr = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, at as u8 + 1), 7120);
        let who =
            GatewayRecord { life: IncarnationId(at as u64 + 1), addr, zone: format!("zone-{}", at % 3) };
        let word =
            GatewayToController::Attach { who, ready: true, share: Subscription::All, order: listener.order };
        let wait = self.delay(at, to);
        let life = self.machines[to].life;
        self.later(wait, All::Input(to, life, Input::Inward(SubscriberId(ear), word)));
    }

    /// A registrar tells one listener.
    pub fn tell(&mut self, from: usize, life: u64, ear: SubscriberId, word: &ControllerToGateway) {
        let found =
            self.listeners.list.iter().position(|listener| listener.ear == ear.0 && listener.life == life);
        let Some(at) = found else { return };
        let wait = self.delay(from, at);
        let cut = self.is_cut(from, FIRST_LISTENER + at);
        let listener = &mut self.listeners.list[at];
        listener.broken |= cut;
        if listener.broken {
            return;
        }
        listener.last = listener.last.max(self.now + wait);
        let wait = listener.last - self.now;
        if self.facts.plant == Some(SeededBug::GoesBack)
            && let ControllerToGateway::Plan { order, plan } = word
        {
            // An older plan comes again, as if it were the newest.
            if let Some(ControllerToGateway::Plan { plan: old, .. }) = &listener.older {
                let late = ControllerToGateway::Plan { order: order + 1, plan: old.clone() };
                self.later(wait + ms(100), All::Listener(Event::Word(at, ear.0, late)));
            }
            let kept = ControllerToGateway::Plan { order: *order, plan: plan.clone() };
            self.listeners.list[at].older = Some(kept);
        }
        self.later(wait, All::Listener(Event::Word(at, ear.0, word.clone())));
    }

    fn heard(&mut self, at: usize, ear: u64, word: ControllerToGateway) {
        let now = self.now;
        let listener = &mut self.listeners.list[at];
        if listener.ear != ear {
            return;
        }
        (listener.heard, listener.spoken) = (now, true);
        match word {
            ControllerToGateway::Plan { order, .. } => {
                if order <= listener.order {
                    return;
                }
                let Some((order, version)) = version_of(&word) else {
                    return self.found("CONFIG", format!("listener {at} is told a plan that nobody sent"));
                };
                let old = listener.version.replace(version);
                listener.order = order;
                let moment = self.moment();
                self.sighted(version, moment);
                self.say(|| format!("listener {at} holds order {order}, {version:?}"));
                if old.is_some_and(|old| {
                    old.epoch > version.epoch || old.epoch == version.epoch && old != version
                }) {
                    self.found("CONFIG", format!("listener {at} goes back from {old:?} to {version:?}"));
                }
                let agreed = *self.seen.by_order.entry(order).or_insert(version);
                if agreed != version {
                    self.found("CONFIG", format!("order {order} is {agreed:?} and {version:?}"));
                }
            }
            ControllerToGateway::Nodes(facts) => {
                if self.facts.trace {
                    let told = facts.iter().map(|fact| format!("{} {:?} {}", fact.id, fact.state, fact.seq));
                    let text = format!("listener {at} is told of {}", told.collect::<Vec<_>>().join(", "));
                    self.log.push(format!("{:>10.3} {text}", now.as_millis()));
                }
                for fact in facts {
                    match listener.nodes.get_mut(&fact.id) {
                        Some(known) => {
                            // What a gateway makes of two tellings: leaving is never taken back.
                            let leaves = matches!(known.state, NodeState::Draining | NodeState::Gone);
                            if !leaves && fact.seq >= known.seq || fact.state == NodeState::Gone {
                                *known = fact;
                            } else if fact.state == NodeState::Draining {
                                known.state = fact.state;
                            }
                        }
                        None => _ = listener.nodes.insert(fact.id.clone(), fact),
                    }
                }
            }
            ControllerToGateway::Pulse { lease: true, .. } => listener.lease = now,
            _ => {}
        }
    }

    /// The listeners of a process that ended, or whose connections were reset.
    pub fn listeners_lose(&mut self, at: usize, life: u64, dark: bool) {
        let now = self.now;
        for which in 0..self.listeners.list.len() {
            let listener = &mut self.listeners.list[which];
            if listener.at != at || listener.life != life || listener.ear == 0 {
                continue;
            }
            let ear = listener.ear;
            listener.broken = true;
            if self.machines[at].is_up() {
                // A reset: both ends hear of it, and it is a trouble of the listener's links too.
                self.listeners.list[which].touched = now;
                self.input(at, Input::EarGone(SubscriberId(ear)));
            }
            if !dark {
                self.later(ms(5), All::Listener(Event::Gone(which, ear)));
            }
        }
    }

    /// A cut between a place and another: a listener's connection does not survive it.
    pub fn listeners_cut(&mut self, from: usize, to: usize) {
        for at in 0..self.listeners.list.len() {
            let place = FIRST_LISTENER + at;
            let listener = &mut self.listeners.list[at];
            if (place, listener.at) == (from, to) || (listener.at, place) == (from, to) {
                listener.broken = true;
            }
        }
    }

    /// Drains and versions that listeners in touch must know by now.
    pub fn look_at_listeners(&mut self) {
        let (now, bounds) = (self.now, self.facts.bounds);
        self.seen.drains.retain(|drain| now - drain.at < bounds.drain_cutoff + ms(20_000));
        for at in 0..self.listeners.list.len() {
            let touched = self.listeners.list[at].touched;
            if !self.in_touch(FIRST_LISTENER + at, touched) {
                continue;
            }
            let listener = &self.listeners.list[at];
            let epoch = listener.version.map_or(0, |version| version.epoch);
            let late = self.seen.drains.iter().find(|drain| {
                let holds =
                    listener.nodes.get(&drain.node).is_some_and(|fact| fact.state == NodeState::Ready);
                holds && now - drain.at > bounds.drain_cutoff
            });
            let behind = self
                .seen
                .acknowledged
                .iter()
                .filter(|(version, when)| version.epoch > epoch && now - *when > bounds.apply)
                .max();
            let drain = late.map(|drain| {
                let ago = (now - drain.at).as_millis();
                format!(
                    "listener {at} takes {} for ready {ago:.0} ms after {} acknowledged its drain",
                    drain.node, drain.by
                )
            });
            let behind = behind.map(|(version, when)| {
                let ago = (now - *when).as_millis();
                format!("listener {at} holds version {epoch}, {ago:.0} ms after {version:?} was acknowledged")
            });
            if let Some(text) = drain {
                self.found("DRAIN", text);
            }
            if let Some(text) = behind {
                self.found("APPLY", text);
            }
        }
    }
}
