//! One registrar: what it knows, and what it does about what it hears.

use crate::calls::{
    ChangeOutcome, CheckReadiness, CountersReport, Deregister, Heartbeat, NodeCallOutcome, ReadConfig,
    ReadConfigOutcome, ReadCounters, ReadinessOutcome, ReplaceConfig,
};
use crate::changes::{ChangeAssessment, ChangeStage, ForwardedCallId, PendingChanges, RequestOrigin, judge};
use crate::control::{ActiveConfig, CommittedVersion, ControlState};
use crate::ears::{Subscriber, Subscribers};
use crate::ground::QuorumEvidence;
use crate::peers::{LinkAction, Peers};
use fernknot::interface::Nanos;
use fernknot_consensus::{
    Action as ViewOrder, Consensus, ConsensusSettings, Member, MemberId, PersistentState, ReadIndexId,
    Revision, SeededBug as ViewsPlant, WriteId,
};
use fernknot_http_api::{DispatchOutcome, Dispatcher, Handler, Reply, Request};
use fernknot_ownership::{Assigner, AssignerSettings, Assignment, FencingToken};
use fernknot_registry::{CallOutcome, NodeRecord, NodeState, Registry, RegistryLimits, life_hash};
use fernknot_rpc::{
    ControllerEndpoint as Told, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
};
use fernknot_schema::{ReportedNodeState as Beats, RoutingConfig, digest};
use fernknot_telemetry::{Counters, part};
use log::Level;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// An operator moves on after a second of silence: the end of a change, known or not, comes before.
const CALL_WITHIN: Nanos = Nanos(800_000_000);
/// The part of that for which the sequencer keeps a change that another registrar handed on.
const SEQUENCER_SHARE: f64 = 0.9;
/// Gateways told of in one go, and lives in one `Heard`.
const MOST_TOLD: usize = 4096;
/// Told with 503 where no majority is in touch.
const CUT_OFF: &str = "cut off from the others; ask another";
/// Registrars named in a pulse.
const MOST_NAMED: usize = 16;

/// A call that waits for its answer. Never used again: an answer belongs to a call, not to the connection that it
/// came on, where another may wait by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingCall {
    /// The connection.
    pub line: u64,
    /// The number of the call on it.
    pub call: u64,
}

/// The connection of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// What a registrar is told at its start.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    pub zone: String,
    /// Inner addresses of the registrars that the operator's list named.
    pub seeds: Vec<SocketAddrV4>,
    /// Only true when the whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub losses: usize,
    /// About how often a node beats.
    pub beat: Nanos,
    /// Within so long of its acknowledgement a configuration is in force everywhere.
    pub apply: Nanos,
    /// Machines out of touch are waited for so long by the rules.
    pub contact: Nanos,
    /// The span over which a budget counts what was spent.
    pub window: Nanos,
    /// Must differ from start to start.
    pub seed: u64,
}

impl ControllerSettings {
    /// A registrar that was silent for so long is left out.
    pub fn suspect(&self) -> Nanos {
        self.contact.times(0.25)
    }

    /// How often listeners hear a pulse.
    fn pulse(&self) -> Nanos {
        self.apply.times(1.0 / 12.0)
    }

    /// How long a gateway that is unheard may be alive all the same.
    fn doubt(&self) -> Nanos {
        fernknot_ownership::doubt(self.contact, self.window, self.beat)
    }

    fn views(&self, id: MemberId, bootstrap: bool) -> ConsensusSettings {
        let suspect_after = self.suspect();
        ConsensusSettings {
            me: Member { id, addr: self.addr, zone: self.zone.clone() },
            founders: self.seeds.clone(),
            bootstrap,
            losses: self.losses,
            suspect_after,
            pulse_every: suspect_after.times(0.2),
            lease: suspect_after.times(0.8),
        }
    }
}

/// What the host is to do.
#[derive(Debug)]
pub enum Action {
    Answer {
        slot: PendingCall,
        reply: Reply,
    },
    /// To another registrar, over the connection that was opened to it.
    Say {
        to: SocketAddrV4,
        word: ControllerMessage,
    },
    Tell {
        to: Vec<SubscriberId>,
        word: ControllerToGateway,
    },
    /// Open a connection to a registrar; `opened` or `closed` follows.
    Connect {
        to: SocketAddrV4,
    },
    /// Stop opening it.
    GiveUp {
        to: SocketAddrV4,
    },
    /// Write and sync, then call `stored`.
    Store {
        ticket: WriteId,
        saved: PersistentState,
    },
    /// Keep these addresses on disk, in the place of those before.
    Remember {
        addrs: Vec<SocketAddrV4>,
    },
    /// A sentence for the log.
    Note {
        level: Level,
        part: &'static str,
        text: String,
    },
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// Reads, refusals and drains by this registrar's own state.
    OwnState,
    /// Few versions are remembered, and what lies past them is refused.
    ForgetEarly,
    /// The end of a call is taken whatever life it is meant for.
    AnyLife,
    /// One of the views'.
    Views(ViewsPlant),
}

/// Versions remembered under `Plant::ForgetEarly`.
const FEW: usize = 2;

/// Who waits for a majority's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuorumWaiter {
    /// A change in hand, by its number.
    Change(u64),
    Read(PendingCall),
    Ready(PendingCall),
    /// A node that says that it leaves.
    Leave(PendingCall),
}

/// One registrar.
pub struct Controller {
    facts: ControllerSettings,
    plant: Option<SeededBug>,
    desk: Option<Dispatcher<Controller, PendingCall>>,
    now: Nanos,
    /// None until the disk has been read.
    views: Option<Consensus>,
    views_due: Nanos,
    /// When they last asked to be pulled without news.
    views_wake: Nanos,
    in_force: ActiveConfig,
    changes: PendingChanges,
    /// What a majority was asked, for whom, and until when the answer is waited for.
    inquiries: BTreeMap<ReadIndexId, (QuorumWaiter, Nanos)>,
    next_inquiry: u64,
    registry: Registry,
    /// The registry's version that listeners have been told.
    nodes_told: u64,
    /// Lives of which the other registrars are to be told: something was first told here, or that they leave.
    to_tell: BTreeSet<String>,
    keeper: Assigner,
    cut: Assignment,
    ears: Subscribers,
    peers: Peers,
    turned: Nanos,
    pulse_at: Nanos,
    beat_at: Nanos,
    cut_look: bool,
    disk_ok: bool,
    disk_was_ok: bool,
    lease: bool,
    stopping: bool,
    counters: Counters,
    orders: VecDeque<Action>,
}

fn desk() -> Dispatcher<Controller, PendingCall> {
    Dispatcher::default()
        .on::<Heartbeat>()
        .on::<Deregister>()
        .on::<ReplaceConfig>()
        .on::<ReadConfig>()
        .on::<CheckReadiness>()
        .on::<ReadCounters>()
}

impl Controller {
    /// Knows no node and no configuration yet; beats are taken at once, the rest once the disk has been read.
    pub fn new(facts: ControllerSettings, now: Nanos) -> Controller {
        Controller::planted(facts, now, None)
    }

    #[doc(hidden)]
    pub fn planted(facts: ControllerSettings, now: Nanos, plant: Option<SeededBug>) -> Controller {
        let mut peers = Peers::new(facts.addr, facts.suspect());
        facts.seeds.iter().for_each(|seed| _ = peers.know(now, *seed));
        Controller {
            desk: Some(desk()),
            now,
            views: None,
            views_due: now,
            views_wake: now,
            in_force: ActiveConfig::none(),
            changes: PendingChanges::new(plant == Some(SeededBug::ForgetEarly)),
            inquiries: BTreeMap::new(),
            next_inquiry: 0,
            registry: Registry::new(facts.beat, RegistryLimits::default()),
            nodes_told: 0,
            to_tell: BTreeSet::new(),
            keeper: Assigner::new(facts.beat, AssignerSettings { most_gateways: 1024, doubt: facts.doubt() }),
            cut: Assignment::default(),
            ears: Subscribers::default(),
            peers,
            turned: now,
            pulse_at: now,
            beat_at: now,
            cut_look: true,
            disk_ok: true,
            disk_was_ok: false,
            lease: false,
            stopping: false,
            counters: Counters::default(),
            orders: VecDeque::new(),
            plant,
            facts,
        }
    }

    // What comes in.

    /// The disk has been read: what the register kept there, if anything, and the registrars once known. `fresh`
    /// says that the disk was empty; an unreadable one is not.
    pub fn disk_read(
        &mut self,
        now: Nanos,
        saved: Option<PersistentState>,
        known: &[SocketAddrV4],
        fresh: bool,
    ) {
        self.tick(now);
        let id = saved.as_ref().map_or(MemberId(self.facts.seed.max(1)), |saved| saved.me);
        let facts = self.facts.views(id, self.facts.bootstrap && fresh);
        let plant = match self.plant {
            Some(SeededBug::Views(plant)) => Some(plant),
            _ => None,
        };
        let mut views = Consensus::planted(self.facts.seed.rotate_left(17), facts, saved, now, plant);
        for addr in known {
            self.peers.know(now, *addr);
            views.know(now, *addr);
        }
        self.views = Some(views);
        self.views_due = now;
    }

    /// A request of a node or an operator. The answer comes as an order, now or later.
    pub fn call(&mut self, now: Nanos, slot: PendingCall, request: &Request) {
        self.tick(now);
        // The desk is lent out: what serves is this very registrar.
        let Some(desk) = self.desk.take() else { return };
        if let DispatchOutcome::Now(reply) = desk.serve(self, request, slot) {
            self.orders.push_back(Action::Answer { slot, reply });
        }
        self.desk = Some(desk);
    }

    /// A caller has gone without waiting for the answer.
    pub fn call_gone(&mut self, slot: PendingCall) {
        self.changes.forget(RequestOrigin::Caller(slot));
        let gone: Vec<ReadIndexId> = self
            .inquiries
            .iter()
            .filter(|(_, (waiter, _))| matches!(waiter, QuorumWaiter::Read(of) | QuorumWaiter::Ready(of) | QuorumWaiter::Leave(of) if *of == slot))
            .map(|(inquiry, _)| *inquiry)
            .collect();
        gone.into_iter().for_each(|inquiry| _ = self.withdraw(inquiry));
    }

    /// A word of a listener, or of one who becomes it.
    pub fn inward(&mut self, now: Nanos, ear: SubscriberId, word: GatewayToController) {
        self.tick(now);
        match word {
            GatewayToController::Attach { who, ready, share, order } => {
                if self.keeper.alive(now, who.clone()) {
                    self.cut_look = true;
                }
                let listener = Subscriber { who, ready, share, order };
                self.welcome(ear, listener);
            }
            GatewayToController::Alive { ready } => {
                let Some(listener) = self.ears.list.get_mut(&ear) else { return };
                listener.ready = ready;
                let who = listener.who.clone();
                self.keeper.alive(now, who);
            }
            GatewayToController::Below(gateways) => {
                for gateway in gateways.into_iter().take(MOST_TOLD) {
                    self.keeper.alive(now, gateway);
                }
                self.cut_look = true;
            }
            GatewayToController::Leaving => {
                self.ears.partly.remove(&ear);
                let Some(listener) = self.ears.list.remove(&ear) else { return };
                let life = listener.who.life;
                self.keeper.left(now, life);
                self.cut_look = true;
                self.say_all(|| ControllerMessage::GatewayLeft { life: life.0 });
            }
            GatewayToController::Ask(question) => {
                let text = self.answer(question);
                self.orders
                    .push_back(Action::Tell { to: vec![ear], word: ControllerToGateway::Answer(text) });
            }
            GatewayToController::Force { lost } => {
                let end = self.force_view(&lost);
                self.orders.push_back(Action::Tell { to: vec![ear], word: ControllerToGateway::Forced(end) });
            }
            // Told by the connection that it came on: see `peer`.
            GatewayToController::Peer(_) => {}
        }
    }

    /// A listener's connection has gone. Its gateway may live: its beats say, not its connection.
    pub fn ear_gone(&mut self, ear: SubscriberId) {
        self.ears.list.remove(&ear);
        self.ears.partly.remove(&ear);
    }

    /// A word of the registrar that listens at `from`.
    pub fn peer(&mut self, now: Nanos, from: SocketAddrV4, word: ControllerMessage) {
        self.tick(now);
        self.peers.heard(now, from, None);
        match word {
            ControllerMessage::Hello { zone, .. } => {
                self.learn(from);
                self.peers.heard(now, from, Some(&zone));
                if self.peers.is_up(from) {
                    self.tell_whole(from);
                }
            }
            ControllerMessage::Views(word) => {
                if let Some(views) = &mut self.views {
                    views.heard(now, from, word);
                    self.views_due = now;
                }
            }
            ControllerMessage::Nodes(facts) => {
                let before = self.registry.version();
                let changed = self.registry.told(now, &facts);
                self.counters.add("nodes_told", changed as u64);
                // That a node leaves is passed on once by each who hears of it. Guards against a cut one way between
                // the teller and another, where nodes and gateways reach both.
                let news = self.registry.changes_since(before).map_or(Vec::new(), |(_, facts)| facts);
                let leaves = |fact: &&NodeRecord| matches!(fact.state, NodeState::Draining | NodeState::Gone);
                self.to_tell.extend(news.iter().filter(leaves).map(|fact| fact.id.clone()));
            }
            ControllerMessage::Heard(hashes) => {
                let unknown = self.registry.heard_elsewhere(now, &hashes);
                if !unknown.is_empty() {
                    self.say(from, ControllerMessage::Want(unknown));
                }
            }
            ControllerMessage::Want(hashes) => {
                let facts = self.registry.facts_of(&hashes);
                self.say(from, ControllerMessage::Nodes(facts));
            }
            ControllerMessage::Gateways(gateways) => {
                self.keeper.told(now, &gateways);
                self.cut_look = true;
            }
            ControllerMessage::GatewayLeft { life } => {
                self.keeper.left(now, fernknot_ownership::IncarnationId(life));
                self.cut_look = true;
            }
            ControllerMessage::Cut(cut) => {
                if cut.fence > self.cut.fence {
                    self.keeper.learn(now, &cut);
                    self.new_cut(cut.sorted());
                }
            }
            ControllerMessage::Replace { life, call, base, body } => {
                self.handed(from, ForwardedCallId { life, call }, base, body);
            }
            ControllerMessage::Replaced { life, call, status, why } => {
                let mine = life == self.facts.seed || self.plant == Some(SeededBug::AnyLife);
                if mine && let Some(origin) = self.changes.ended_elsewhere(now, from, call, status) {
                    let ground = QuorumEvidence::relayed();
                    let end = match status {
                        200 => ChangeOutcome::Taken(ground),
                        412 => ChangeOutcome::Other(why, ground),
                        _ => ChangeOutcome::Invalid(why, ground),
                    };
                    self.end(origin, end);
                }
            }
            ControllerMessage::Know(addrs) => {
                for addr in addrs.into_iter().take(MOST_NAMED) {
                    self.learn(addr);
                }
            }
        }
    }

    /// The connection to a registrar is up.
    pub fn opened(&mut self, now: Nanos, to: SocketAddrV4) {
        self.tick(now);
        self.peers.opened(to);
        self.say(to, ControllerMessage::Hello { addr: self.facts.addr, zone: self.facts.zone.clone() });
        let mut known = self.peers.all();
        known.retain(|addr| *addr != to);
        known.truncate(MOST_NAMED);
        self.say(to, ControllerMessage::Know(known));
        self.tell_whole(to);
        // What is said between the members was dropped meanwhile.
        if let Some(views) = &mut self.views {
            views.reached(now);
        }
        self.views_due = now;
    }

    /// The connection to a registrar has gone, or never came up.
    pub fn closed(&mut self, now: Nanos, to: SocketAddrV4) {
        self.tick(now);
        self.peers.closed(now, to);
    }

    /// The end of a write.
    pub fn stored(&mut self, now: Nanos, ticket: WriteId, ok: bool) {
        self.tick(now);
        if let Some(views) = &mut self.views {
            views.stored(now, ticket, ok);
            self.views_due = now;
        }
        if !ok {
            self.counters.add("disk_failures", 1);
        }
    }

    /// How the disk is, as far as the host sees: not well when it hangs or could not be opened.
    pub fn disk(&mut self, now: Nanos, ok: bool) {
        self.tick(now);
        if self.disk_ok != ok {
            self.disk_ok = ok;
            // At a start, the folder is built anew first: that is no trouble.
            match (ok, self.disk_was_ok) {
                (true, true) => self.note(Level::Info, part::DISK, "is well again".into()),
                (true, false) => self.disk_was_ok = true,
                (false, true) => self.note(Level::Warn, part::DISK, "hangs or refuses".into()),
                (false, false) => {}
            }
            self.disk_word();
        }
    }

    /// A registrar whose disk is not well, or who is about to stop, stores nothing further: the others go on.
    fn disk_word(&mut self) {
        let ok = self.disk_ok && !self.stopping;
        if let Some(views) = &mut self.views {
            views.disk_ok(self.now, ok);
            self.views_due = self.now;
        }
    }

    /// The settings name these registrars now.
    pub fn seeds(&mut self, now: Nanos, seeds: &[SocketAddrV4]) {
        self.tick(now);
        seeds.iter().for_each(|seed| self.learn(*seed));
    }

    /// The order to stop: the sequencer's part goes to another.
    pub fn stop(&mut self, now: Nanos) {
        self.tick(now);
        self.stopping = true;
        self.disk_word();
    }

    /// True once nothing here is waited for by others.
    pub fn may_end(&self) -> bool {
        let alone = self.views.as_ref().and_then(Consensus::view).is_none_or(|view| view.members.len() < 2);
        let out = self.views.as_ref().is_none_or(|views| {
            !views.is_sequencer() && views.sequencer().is_none_or(|first| first.addr != self.facts.addr)
        });
        (alone || out) && self.changes.list.is_empty() && self.inquiries.is_empty()
    }

    // What goes out.

    /// The next thing to do, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Action> {
        if self.orders.is_empty() {
            self.tick(now);
            self.work();
        }
        self.orders.pop_front()
    }

    /// When `next` is to be called again though nothing comes in.
    pub fn due(&self) -> Nanos {
        let mut due = self.pulse_at.min(self.beat_at);
        if self.views.is_some() {
            due = due.min(self.views_due);
        }
        let inquiries = self.inquiries.values().map(|(_, until)| *until).min();
        [self.changes.due(self.now), self.peers.due(), inquiries].into_iter().flatten().fold(due, Nanos::min)
    }

    /// True where a majority of the members was heard lately: what is held here is no older than that.
    pub fn holds_lease(&self) -> bool {
        self.views.as_ref().is_some_and(|views| views.holds_lease(self.now))
    }

    /// What has been counted here.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    fn tick(&mut self, now: Nanos) {
        // A gap of the loop: what was not heard meanwhile says nothing of those who were not heard.
        if now - self.turned > self.facts.beat.times(2.0) {
            self.registry.was_away(now);
            self.keeper.was_away(now);
            self.counters.add("was_away", 1);
        }
        self.now = self.now.max(now);
        self.turned = self.now;
    }

    fn work(&mut self) {
        let now = self.now;
        self.drain_views();
        self.end_inquiries();
        for origin in self.changes.expire(now) {
            self.counters.add("changes_unclear", 1);
            self.end(origin, ChangeOutcome::Unclear("no end in time; it may be repeated unchanged"));
        }
        if !self.changes.list.is_empty() {
            self.step_changes();
            self.drain_views();
        }
        if self.beat_at <= now {
            self.beat_at = now + self.facts.beat.times(0.5);
            self.half_beat();
        }
        self.tell_others();
        self.tell_nodes();
        if self.cut_look || self.pulse_at <= now {
            self.cut_look = false;
            self.look_at_cut();
        }
        if self.pulse_at <= now {
            self.pulse_at = now + self.facts.pulse();
            self.pulse();
        }
        while let Some(what) = self.peers.next(now) {
            self.orders.push_back(match what {
                LinkAction::Connect(to) => Action::Connect { to },
                LinkAction::GiveUp(to) => Action::GiveUp { to },
            });
        }
    }

    // The control state.

    fn drain_views(&mut self) {
        let now = self.now;
        while let Some(order) = self.views.as_mut().and_then(|views| views.poll_action(now)) {
            match order {
                ViewOrder::Say { to, word } => {
                    self.learn(to);
                    // A word for one who is out of reach is lost: the members say again what counts.
                    self.say(to, ControllerMessage::Views(word));
                }
                ViewOrder::Store { ticket, saved } => {
                    self.orders.push_back(Action::Store { ticket, saved });
                }
                ViewOrder::Deliver { no, state, .. } => self.delivered(no, &state),
                ViewOrder::Taken { proposal, .. } => {
                    let Some(ground) = QuorumEvidence::of(&order) else { continue };
                    let taken = |stage: ChangeStage| stage == ChangeStage::Proposed(proposal);
                    let ends: Vec<RequestOrigin> = self
                        .changes
                        .list
                        .iter()
                        .filter(|change| taken(change.stage))
                        .map(|c| c.origin)
                        .collect();
                    self.changes.list.retain(|change| !taken(change.stage));
                    ends.into_iter().for_each(|origin| self.end(origin, ChangeOutcome::Taken(ground)));
                }
                ViewOrder::Refused { proposal } => self.changes.unpropose(now, Some(proposal)),
                ViewOrder::Entered { view } => {
                    let names: Vec<String> =
                        view.members.iter().map(|member| member.addr.ip().to_string()).collect();
                    let text = format!("view {} with {} is in force", view.number.0, names.join(", "));
                    self.note(Level::Info, part::VIEWS, text);
                    self.changes.unpropose(now, None);
                    view.members.iter().for_each(|member| self.learn(member.addr));
                    self.cut_look = true;
                }
                ViewOrder::Confirmed { inquiry } => {
                    let Some(ground) = QuorumEvidence::of(&order) else { continue };
                    if let Some((waiter, _)) = self.inquiries.remove(&inquiry) {
                        self.confirmed(waiter, ground);
                    }
                }
                ViewOrder::Left => self.note(Level::Warn, part::VIEWS, "in no view any more".into()),
                ViewOrder::Renewed { .. } => {
                    // Guards against a repeat acknowledged out of a history that an operator has given up.
                    self.in_force = ActiveConfig::none();
                    let text = "the disk is an older copy of itself, or closed out: joins as a new member";
                    self.note(Level::Warn, part::VIEWS, text.into());
                }
                ViewOrder::Wake { after } => self.views_wake = now + after,
            }
        }
        // They say when to be pulled only if that differs from what they said before. Guards against a loop that
        // is never idle, as after each of their words.
        self.views_due = self.views_wake;
        let lease = self.holds_lease();
        if lease != self.lease {
            self.lease = lease;
            let text = if lease { "a majority is heard" } else { "no majority is heard" };
            self.note(Level::Info, part::VIEWS, text.into());
        }
        if lease && !self.ears.partly.is_empty() {
            self.complete();
        }
    }

    fn delivered(&mut self, no: Revision, state: &[u8]) {
        let control = match ControlState::read(state) {
            Ok(control) => control,
            Err(why) => return self.note(Level::Error, part::PLAN, why.to_string()),
        };
        let plan = match control.body.is_empty() {
            true => None,
            false => match RoutingConfig::read(&control.body) {
                Ok(plan) => Some(plan),
                Err(faults) => {
                    let why = faults.first().map(ToString::to_string).unwrap_or_default();
                    return self.note(
                        Level::Error,
                        part::PLAN,
                        format!("read version {}: {why}", control.epoch),
                    );
                }
            },
        };
        if control.epoch != self.in_force.control.epoch {
            let routes = plan.as_ref().map_or(0, |plan| plan.routes.len());
            let text = format!("version {} is in force, {routes} routes", control.epoch);
            self.note(Level::Info, part::PLAN, text);
        }
        let body = Arc::from(&control.body[..]);
        self.in_force = ActiveConfig { order: no.0, control, body, plan };
        for (origin, ground) in self.changes.settle(&self.in_force.control) {
            self.end(origin, ChangeOutcome::Taken(ground));
        }
        let order = no.0;
        let behind: Vec<SubscriberId> = self
            .ears
            .list
            .iter()
            .filter(|(ear, listener)| listener.order < order && !self.ears.partly.contains(ear))
            .map(|(ear, _)| *ear)
            .collect();
        self.tell_plan(behind);
    }

    fn tell_plan(&mut self, to: Vec<SubscriberId>) {
        let Some(plan) = self.in_force.plan.clone().filter(|_| !to.is_empty()) else { return };
        let order = self.in_force.order;
        for ear in &to {
            if let Some(listener) = self.ears.list.get_mut(ear) {
                listener.order = order;
            }
        }
        self.orders.push_back(Action::Tell { to, word: ControllerToGateway::Plan { order, plan } });
    }

    fn end(&mut self, origin: RequestOrigin, end: ChangeOutcome) {
        let (status, why) = end.status();
        match status {
            200 => self.counters.add("changes_taken", 1),
            503 => {}
            _ => {
                self.counters.add("changes_refused", 1);
                self.note(Level::Info, part::PLAN, format!("a change was refused with {status}: {why}"));
            }
        }
        match origin {
            RequestOrigin::Caller(slot) => self.orders.push_back(Action::Answer { slot, reply: end.into() }),
            RequestOrigin::Peer(to, ForwardedCallId { life, call }) => {
                self.say(to, ControllerMessage::Replaced { life, call, status, why });
            }
        }
    }

    // A majority's word.

    /// Asks a majority of the voters. False where that is of no use: none is in touch, or too many wait.
    fn inquire(&mut self, waiter: QuorumWaiter, within: Nanos) -> bool {
        if self.plant == Some(SeededBug::OwnState) {
            self.confirmed(waiter, QuorumEvidence::planted());
            return true;
        }
        self.next_inquiry += 1;
        let (now, inquiry) = (self.now, ReadIndexId(self.next_inquiry));
        self.views_due = now;
        let asked =
            self.views.as_mut().is_some_and(|views| !views.is_cut_off(now) && views.inquire(now, inquiry));
        if asked {
            self.counters.add("inquiries", 1);
            self.inquiries.insert(inquiry, (waiter, now + within));
        }
        asked
    }

    fn withdraw(&mut self, inquiry: ReadIndexId) -> Option<QuorumWaiter> {
        if let Some(views) = &mut self.views {
            views.withdraw(inquiry);
        }
        self.inquiries.remove(&inquiry).map(|(waiter, _)| waiter)
    }

    /// A majority stood in the view after the call of `waiter` came, and what was taken before is delivered here.
    fn confirmed(&mut self, waiter: QuorumWaiter, ground: QuorumEvidence) {
        let reply = match waiter {
            QuorumWaiter::Change(call) => {
                if let Some((origin, end)) = self.changes.confirmed(call, &self.in_force.control, ground) {
                    self.end(origin, end);
                }
                return;
            }
            QuorumWaiter::Read(slot) => {
                let newest = match self.in_force.plan {
                    None => ReadConfigOutcome::None(ground),
                    Some(_) => ReadConfigOutcome::Body(self.in_force.body.clone(), ground),
                };
                (slot, newest.into())
            }
            QuorumWaiter::Ready(slot) => (slot, ReadinessOutcome((!self.stopping).then_some(ground)).into()),
            QuorumWaiter::Leave(slot) => (slot, NodeCallOutcome::Leaves(ground).into()),
        };
        self.orders.push_back(Action::Answer { slot: reply.0, reply: reply.1 });
    }

    /// The end of one that nobody confirmed: nothing is said of what is known here.
    fn unconfirmed(&mut self, waiter: QuorumWaiter) {
        self.counters.add("inquiries_unconfirmed", 1);
        let (slot, reply) = match waiter {
            // Its own time ends it, or its being abandoned.
            QuorumWaiter::Change(_) => return,
            QuorumWaiter::Read(slot) => (slot, ReadConfigOutcome::Unsure.into()),
            QuorumWaiter::Ready(slot) => (slot, ReadinessOutcome(None).into()),
            QuorumWaiter::Leave(slot) => (slot, self.leaves_elsewhere().into()),
        };
        self.orders.push_back(Action::Answer { slot, reply });
    }

    /// Those whose time is over; all, and the callers' changes, where no majority is in touch any more, so that they
    /// go on to another registrar at once.
    fn end_inquiries(&mut self) {
        let now = self.now;
        if self.inquiries.is_empty() && self.changes.list.is_empty() {
            return;
        }
        let cut_off = self.is_cut_off();
        let over = |(_, (_, until)): &(&ReadIndexId, &(QuorumWaiter, Nanos))| cut_off || *until <= now;
        let over: Vec<ReadIndexId> =
            self.inquiries.iter().filter(over).map(|(inquiry, _)| *inquiry).collect();
        for inquiry in over {
            if let Some(waiter) = self.withdraw(inquiry) {
                self.unconfirmed(waiter);
            }
        }
        if cut_off {
            for origin in self.changes.abandon() {
                self.counters.add("changes_unclear", 1);
                self.end(origin, ChangeOutcome::Unclear(CUT_OFF));
            }
        }
    }

    /// Listened for long enough, and no majority of the voters is in touch.
    fn is_cut_off(&self) -> bool {
        self.views.as_ref().is_some_and(|views| views.is_cut_off(self.now))
    }

    /// A change that came to another registrar. What it has checked is checked again: a word may be garbled in ways
    /// that no sum of the transport finds, and only what is sound may go into the order.
    fn handed(&mut self, from: SocketAddrV4, call: ForwardedCallId, base: u64, body: Vec<u8>) {
        let origin = RequestOrigin::Peer(from, call);
        let epoch = match RoutingConfig::read(&body) {
            Ok(plan) => plan.epoch,
            Err(_) => return self.end(origin, ChangeOutcome::Unclear("garbled on its way to the sequencer")),
        };
        let until = self.now + CALL_WITHIN.times(SEQUENCER_SHARE);
        let what = (base, epoch, digest(&body));
        if !self.changes.take(self.now, origin, what, body, until) {
            self.end(origin, ChangeOutcome::Unclear("too many changes at once"));
        }
    }

    fn step_changes(&mut self) {
        let now = self.now;
        let Some(views) = &self.views else { return };
        let leads = views.is_sequencer();
        let first = views.sequencer().map(|first| first.addr);
        let sequencer = first.filter(|first| *first != self.facts.addr && self.peers.is_up(*first));
        self.changes.handed_only_to(sequencer);
        let mut ends = Vec::new();
        let mut says = Vec::new();
        let mut doubts = Vec::new();
        let life = self.facts.seed;
        let planted = self.changes.planted;
        let mut proposes = None;
        let mut flies =
            self.changes.list.iter().any(|change| matches!(change.stage, ChangeStage::Proposed(_)));
        for change in &mut self.changes.list {
            if change.stage != ChangeStage::Waits || change.not_before > now {
                continue;
            }
            let verdict = judge(&self.in_force.control, change, planted);
            if let ChangeAssessment::Taken(ground) = verdict {
                ends.push((change.call, change.origin, ChangeOutcome::Taken(ground)));
            } else if leads && !flies {
                match verdict {
                    ChangeAssessment::Propose => {
                        flies = true;
                        change.stage = ChangeStage::Proposed(change.call);
                        proposes = Some((
                            change.call,
                            change.epoch,
                            change.base,
                            change.digest,
                            change.body.clone(),
                        ));
                    }
                    // Only a majority may say so: this one may be cut off, and others have gone on.
                    _ => {
                        change.stage = ChangeStage::Doubted;
                        doubts.push((change.call, change.until));
                    }
                }
            } else if let (Some(to), RequestOrigin::Caller(_)) = (sequencer, change.origin) {
                let (call, base, body) = (change.call, change.base, change.body.clone());
                says.push((to, ControllerMessage::Replace { life, call, base, body }));
                change.stage = ChangeStage::HandedTo(to);
            } else if let (false, RequestOrigin::Peer(..)) = (leads, change.origin) {
                ends.push((change.call, change.origin, ChangeOutcome::Unclear("no sequencer here")));
            }
        }
        self.changes.list.retain(|change| ends.iter().all(|(call, _, _)| *call != change.call));
        for (_, origin, end) in ends {
            self.end(origin, end);
        }
        for (to, word) in says {
            self.say(to, word);
        }
        for (call, until) in doubts {
            if !self.inquire(QuorumWaiter::Change(call), until - now) {
                self.changes.wait(now, call);
            }
        }
        if let Some((call, epoch, base, digest, body)) = proposes {
            let (taken, control) = (CommittedVersion { epoch, base, digest }, &self.in_force.control);
            let state = match self.plant {
                Some(SeededBug::ForgetEarly) => control.remembering(FEW, taken, body),
                _ => control.with(taken, body),
            };
            let state = state.write();
            let order = Revision(self.in_force.order);
            if let Some(views) = &mut self.views {
                views.propose(now, call, order, state);
            }
        }
    }

    // The other registrars.

    fn say(&mut self, to: SocketAddrV4, word: ControllerMessage) {
        if self.peers.is_up(to) {
            self.orders.push_back(Action::Say { to, word });
        }
    }

    fn say_all(&mut self, word: impl Fn() -> ControllerMessage) {
        for to in self.peers.up() {
            self.say(to, word());
        }
    }

    /// All that is known of nodes and gateways, to one who may know little.
    fn tell_whole(&mut self, to: SocketAddrV4) {
        let (_, facts) = self.registry.snapshot();
        for facts in facts.chunks(MOST_TOLD) {
            self.say(to, ControllerMessage::Nodes(facts.to_vec()));
        }
        if self.cut.fence != FencingToken::default() {
            let cut = self.cut.clone();
            self.say(to, ControllerMessage::Cut(cut));
        }
    }

    fn learn(&mut self, addr: SocketAddrV4) {
        if !self.peers.know(self.now, addr) {
            return;
        }
        if let Some(views) = &mut self.views {
            views.know(self.now, addr);
            self.views_due = self.now;
        }
        self.note(Level::Info, part::LINKS, format!("a registrar may be at {addr}"));
        let addrs = self.peers.all();
        self.orders.push_back(Action::Remember { addrs });
    }

    fn half_beat(&mut self) {
        let now = self.now;
        let heard = self.registry.heard_lately(now);
        let lives = self.keeper.heard_lately(now);
        let gateways = self.keeper.gateways_of(&lives);
        let up = self.peers.up();
        for to in &up {
            for heard in heard.chunks(MOST_TOLD) {
                self.say(*to, ControllerMessage::Heard(heard.to_vec()));
            }
            if !gateways.is_empty() {
                self.say(*to, ControllerMessage::Gateways(gateways.clone()));
            }
        }
        if !self.holds_lease() {
            // Who beats at the others is not known here: nobody is lost for it.
            self.registry.was_away(now);
        }
        let lost = self.registry.expire(now);
        if lost > 0 {
            self.counters.add("nodes_lost", lost as u64);
            self.note(Level::Info, part::NODES, format!("{lost} fell silent, {} are up", self.registry.up()));
        }
    }

    /// What nodes said here, and that they leave, goes to the other registrars at once.
    fn tell_others(&mut self) {
        if self.to_tell.is_empty() {
            return;
        }
        let hashes: Vec<u64> = std::mem::take(&mut self.to_tell).iter().map(|id| life_hash(id)).collect();
        let facts = self.registry.facts_of(&hashes);
        self.say_all(|| ControllerMessage::Nodes(facts.clone()));
    }

    // The gateways.

    /// Guards against a gateway that starts while this registrar is cut off, and would be ready with an old
    /// configuration: without a majority it hears of nodes, and that it had better ask another.
    fn welcome(&mut self, ear: SubscriberId, listener: Subscriber) {
        self.ears.list.insert(ear, listener);
        if self.holds_lease() {
            return self.tell_all(ear);
        }
        self.ears.partly.insert(ear);
        self.tell_nodes_to(ear);
        let pulse = self.pulse_word();
        self.orders.push_back(Action::Tell { to: vec![ear], word: pulse });
    }

    /// Those who were told in part get the rest, now that a majority is heard.
    fn complete(&mut self) {
        for ear in std::mem::take(&mut self.ears.partly) {
            if self.ears.list.contains_key(&ear) {
                self.tell_all(ear);
            }
        }
    }

    fn tell_all(&mut self, ear: SubscriberId) {
        if self.ears.list.get(&ear).is_some_and(|listener| listener.order < self.in_force.order) {
            self.tell_plan(vec![ear]);
        }
        self.tell_nodes_to(ear);
        let pulse = self.pulse_word();
        self.orders
            .extend([ControllerToGateway::Whole, pulse].map(|word| Action::Tell { to: vec![ear], word }));
    }

    fn tell_nodes_to(&mut self, ear: SubscriberId) {
        let Some(listener) = self.ears.list.get(&ear) else { return };
        let (_, facts) = self.registry.snapshot();
        let facts = listener.share_of(&facts);
        let cut =
            (self.cut.fence != FencingToken::default()).then(|| ControllerToGateway::Cut(self.cut.clone()));
        let words = cut.into_iter().chain([ControllerToGateway::Nodes(facts)]);
        self.orders.extend(words.map(|word| Action::Tell { to: vec![ear], word }));
    }

    fn tell_nodes(&mut self) {
        if self.registry.version() == self.nodes_told {
            return;
        }
        let (version, facts) =
            self.registry.changes_since(self.nodes_told).unwrap_or_else(|| self.registry.snapshot());
        self.nodes_told = version;
        if facts.is_empty() {
            return;
        }
        let all: Vec<SubscriberId> =
            self.ears.list.iter().filter(|(_, listener)| listener.wants_all()).map(|(ear, _)| *ear).collect();
        for (ear, listener) in self.ears.list.iter().filter(|(_, listener)| !listener.wants_all()) {
            let share = listener.share_of(&facts);
            if !share.is_empty() {
                self.orders
                    .push_back(Action::Tell { to: vec![*ear], word: ControllerToGateway::Nodes(share) });
            }
        }
        if !all.is_empty() {
            self.orders.push_back(Action::Tell { to: all, word: ControllerToGateway::Nodes(facts) });
        }
    }

    fn look_at_cut(&mut self) {
        let Some(views) = &self.views else { return };
        // Who is cut off from the majority must not cut: its fence would be refused, its count be wrong.
        let leads = views.is_sequencer() && views.holds_lease(self.now);
        let view = views.view().map_or(0, |view| view.number.0 as u32);
        if let Some(cut) = self.keeper.recut(self.now, view, leads) {
            self.say_all(|| ControllerMessage::Cut(cut.clone()));
            self.new_cut(cut);
        }
    }

    fn new_cut(&mut self, cut: Assignment) {
        let text = format!(
            "cut {}.{} has {} gateways of {} that may be alive",
            cut.fence.view(),
            cut.fence.count(),
            cut.live.len(),
            cut.may_be_alive
        );
        self.note(Level::Info, part::DUTIES, text);
        self.cut = cut;
        let to = self.ears.all();
        if !to.is_empty() {
            self.orders.push_back(Action::Tell { to, word: ControllerToGateway::Cut(self.cut.clone()) });
        }
    }

    fn pulse_word(&mut self) -> ControllerToGateway {
        let mut registrars = vec![Told { addr: self.facts.addr, zone: self.facts.zone.clone() }];
        let view = self.views.as_ref().and_then(Consensus::view);
        let members = view.into_iter().flat_map(|view| &view.members);
        let named = members.map(|member| (member.addr, member.zone.clone()));
        let up = self.peers.up();
        let heard = up.iter().filter_map(|addr| Some((*addr, self.peers.zone(*addr)?.to_string())));
        for (addr, zone) in named.chain(heard) {
            if registrars.len() < MOST_NAMED && registrars.iter().all(|known| known.addr != addr) {
                registrars.push(Told { addr, zone });
            }
        }
        let lease = self.holds_lease() && !self.stopping;
        let (order, fence) = (self.in_force.order, self.cut.fence.0);
        ControllerToGateway::Pulse { teller: self.facts.seed, order, lease, hops: 0, fence, registrars }
    }

    fn pulse(&mut self) {
        let to = self.ears.all();
        if !to.is_empty() {
            let word = self.pulse_word();
            self.orders.push_back(Action::Tell { to, word });
        }
    }

    // Words for people.

    fn note(&mut self, level: Level, part: &'static str, text: String) {
        self.orders.push_back(Action::Note { level, part, text });
    }

    /// A view by an operator's order.
    fn force_view(&mut self, lost: &[SocketAddrV4]) -> Result<u64, String> {
        let Some(views) = &mut self.views else { return Err("the disk has not been read yet".into()) };
        let end = views.force(self.now, lost);
        self.views_due = self.now;
        let lost: Vec<String> = lost.iter().map(ToString::to_string).collect();
        let text = match &end {
            Ok(no) => format!("an operator forces view {}: {} are lost", no.0, lost.join(", ")),
            Err(why) => format!("a forced view without {} is refused: {why}", lost.join(", ")),
        };
        self.note(Level::Warn, part::VIEWS, text);
        end.map(|no| no.0).map_err(|why| why.to_string())
    }

    fn levels(&mut self) {
        let view = self.views.as_ref().and_then(Consensus::view).map_or(0, |view| view.number.0);
        let borne = self.views.as_ref().map_or(0, |views| views.standing().losses_borne);
        let levels = [
            ("view", view),
            ("epoch", self.in_force.control.epoch),
            ("order", self.in_force.order),
            ("lease", self.holds_lease() as u64),
            ("losses_borne", borne as u64),
            ("nodes_up", self.registry.up() as u64),
            ("listeners", self.ears.list.len() as u64),
            ("peers_up", self.peers.up().len() as u64),
            ("fence", self.cut.fence.0),
            ("disk_ok", self.disk_ok as u64),
        ];
        levels.into_iter().for_each(|(name, level)| self.counters.set(name, level));
    }

    fn answer(&mut self, question: InspectionTopic) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        match question {
            InspectionTopic::Nodes => {
                let (version, mut facts) = self.registry.snapshot();
                facts.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
                let _ = writeln!(out, "{} nodes up, change {version}", self.registry.up());
                for fact in facts {
                    let NodeRecord { id, service, addr, zone, state, .. } = fact;
                    let _ = writeln!(out, "{service} {id} {addr} {zone} {state:?}");
                }
            }
            InspectionTopic::Views => {
                let standing = self.views.as_ref().map(Consensus::standing);
                let heard = self.holds_lease();
                out = crate::standing::told(standing.as_ref(), self.in_force.order, self.facts.losses, heard);
            }
            InspectionTopic::Homes | InspectionTopic::Duties => {
                let (cut, fence) = (&self.cut, self.cut.fence);
                let _ = writeln!(
                    out,
                    "cut {}.{}, {} may be alive",
                    fence.view(),
                    fence.count(),
                    cut.may_be_alive
                );
                for gateway in &cut.live {
                    let _ = writeln!(out, "{:016x} {} {}", gateway.life.0, gateway.addr, gateway.zone);
                }
            }
            InspectionTopic::Counters => {
                self.levels();
                out = self.counters.json();
            }
        }
        out
    }
}

impl Handler<Heartbeat, PendingCall> for Controller {
    fn serve(&mut self, call: Heartbeat, slot: PendingCall) -> Option<NodeCallOutcome> {
        let Heartbeat { id, beat } = call;
        self.counters.add("beats", 1);
        let state = match beat.state {
            Beats::Ready => NodeState::Ready,
            Beats::Draining => NodeState::Draining,
        };
        let fact = NodeRecord {
            id,
            service: beat.backend,
            addr: beat.address,
            zone: beat.zone,
            state,
            capacity: beat.capacity,
            warm_left_ms: beat.warmup_left_ms,
            seq: beat.call_seq,
        };
        if state == NodeState::Draining && self.is_cut_off() {
            return Some(self.leaves_elsewhere());
        }
        let id = fact.id.clone();
        match self.noted(id.clone(), |registry, now| registry.beat(now, fact)) {
            NodeCallOutcome::Noted if state == NodeState::Draining => self.leaves(id, slot),
            // It lives, whoever hears it; but the others must hear it too. Guards against nodes that beat on where a
            // registrar is cut off from its like alone, and are lost to the majority and its gateways.
            NodeCallOutcome::Noted if self.is_cut_off() => Some(NodeCallOutcome::No(CUT_OFF)),
            heard => Some(heard),
        }
    }
}

impl Handler<Deregister, PendingCall> for Controller {
    fn serve(&mut self, call: Deregister, slot: PendingCall) -> Option<NodeCallOutcome> {
        self.counters.add("leaves", 1);
        if self.is_cut_off() {
            return Some(self.leaves_elsewhere());
        }
        let id = call.id;
        match self.noted(id.clone(), |registry, now| registry.leave(now, &id)) {
            NodeCallOutcome::Noted => self.leaves(id, slot),
            heard => Some(heard),
        }
    }
}

impl Controller {
    /// The word that a node leaves must reach all gateways in touch, and who is cut off can't promise that. It goes
    /// to the other registrars first and the question after it, on the same connections: a majority that answers has
    /// the word. What is noted here meanwhile is true whoever hears of it. It is told whether it is news here or not:
    /// guards against a word that came here from one who could not tell all, and was refused there.
    fn leaves(&mut self, id: String, slot: PendingCall) -> Option<NodeCallOutcome> {
        self.to_tell.insert(id);
        self.tell_others();
        if self.inquire(QuorumWaiter::Leave(slot), CALL_WITHIN) {
            return None;
        }
        Some(self.leaves_elsewhere())
    }

    /// The node is to tell another registrar.
    fn leaves_elsewhere(&mut self) -> NodeCallOutcome {
        self.counters.add("leaves_refused", 1);
        NodeCallOutcome::No(CUT_OFF)
    }

    fn noted(
        &mut self,
        id: String,
        note: impl FnOnce(&mut Registry, Nanos) -> CallOutcome,
    ) -> NodeCallOutcome {
        let noted = note(&mut self.registry, self.now);
        if noted.is_news() {
            self.to_tell.insert(id);
        }
        match noted {
            CallOutcome::Refused => NodeCallOutcome::No("no room for another node"),
            _ => NodeCallOutcome::Noted,
        }
    }
}

impl Handler<ReplaceConfig, PendingCall> for Controller {
    fn serve(&mut self, call: ReplaceConfig, slot: PendingCall) -> Option<ChangeOutcome> {
        self.counters.add("changes", 1);
        if let Some(ground) = QuorumEvidence::known(&self.in_force.control, call.epoch, call.digest) {
            return Some(ChangeOutcome::Taken(ground));
        }
        if self.stopping {
            return Some(ChangeOutcome::Unclear("about to stop"));
        }
        if self.is_cut_off() {
            return Some(ChangeOutcome::Unclear(CUT_OFF));
        }
        let (origin, until) = (RequestOrigin::Caller(slot), self.now + CALL_WITHIN);
        let what = (call.base, call.epoch, call.digest);
        let taken = self.changes.take(self.now, origin, what, call.body, until);
        (!taken).then_some(ChangeOutcome::Unclear("too many changes at once"))
    }
}

impl Handler<ReadConfig, PendingCall> for Controller {
    fn serve(&mut self, _: ReadConfig, slot: PendingCall) -> Option<ReadConfigOutcome> {
        let asked = self.inquire(QuorumWaiter::Read(slot), CALL_WITHIN);
        (!asked).then_some(ReadConfigOutcome::Unsure)
    }
}

impl Handler<CheckReadiness, PendingCall> for Controller {
    fn serve(&mut self, _: CheckReadiness, slot: PendingCall) -> Option<ReadinessOutcome> {
        let asked = !self.stopping && self.inquire(QuorumWaiter::Ready(slot), CALL_WITHIN);
        (!asked).then_some(ReadinessOutcome(None))
    }
}

impl Handler<ReadCounters, PendingCall> for Controller {
    fn serve(&mut self, _: ReadCounters, _: PendingCall) -> Option<CountersReport> {
        self.levels();
        Some(CountersReport(self.counters.json()))
    }
}
