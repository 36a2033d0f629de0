//! One controller: what it knows, and what it does about what it hears.

use crate::calls::{
    ChangeOutcome, CheckReadiness, CountersReport, Deregister, Heartbeat, NodeCallOutcome, ReadConfig,
    ReadConfigOutcome, ReadCounters, ReadinessOutcome, ReplaceConfig,
};
use crate::changes::{
    ChangeAssessment, ChangeStage, ForwardedCallId, PendingChanges, RequestOrigin, assess_change,
};
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
use fernknot_registry::{CallOutcome, NodeRecord, NodeState, Registry, RegistryLimits, incarnation_hash};
use fernknot_rpc::{
    ControllerEndpoint as Told, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
};
use fernknot_schema::{ReportedNodeState as Beats, RoutingConfig, json_digest};
use fernknot_telemetry::{Counters, part};
use log::Level;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// An operator moves on after a second of silence: the end of a change, known or not, comes before.
const CALL_TIMEOUT: Nanos = Nanos(800_000_000);
/// The part of that for which the sequencer keeps a change that another controller handed on.
const LEADER_TIMEOUT_SHARE: f64 = 0.9;
/// Gateways told of in one go, and lives in one `Heard`.
const MAX_ITEMS_PER_MESSAGE: usize = 4096;
/// Told with 503 where no majority is in touch.
const NO_QUORUM_REASON: &str = "cut off from the others; ask another";
/// Controllers named in a pulse.
const MAX_ADVERTISED_CONTROLLERS: usize = 16;

/// A call that waits for its answer. Never used again: an answer belongs to a call, not to the connection that it
/// came on, where another may wait by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingCall {
    /// The connection.
    pub connection: u64,
    /// The number of the call on it.
    pub call: u64,
}

/// The connection of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// What a controller is told at its start.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Where other processes of the system reach it.
    pub addr: SocketAddrV4,
    pub zone: String,
    /// Inner addresses of the controllers that the operator's list named.
    pub seeds: Vec<SocketAddrV4>,
    /// Only true when the whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerated_losses: usize,
    /// About how often a node beats.
    pub heartbeat_interval: Nanos,
    /// Within so long of its acknowledgement a configuration is in force everywhere.
    pub apply_deadline: Nanos,
    /// Machines out of touch are waited for so long by the rules.
    pub contact_timeout: Nanos,
    /// The span over which a budget counts what was spent.
    pub budget_window: Nanos,
    /// Must differ from start to start.
    pub seed: u64,
}

impl ControllerSettings {
    /// A controller that was silent for so long is left out.
    pub fn suspicion_timeout(&self) -> Nanos {
        self.contact_timeout.times(0.25)
    }

    /// How often listeners hear a pulse.
    fn subscriber_heartbeat_interval(&self) -> Nanos {
        self.apply_deadline.times(1.0 / 12.0)
    }

    /// How long a gateway that is unheard may be alive all the same.
    fn gateway_expiry(&self) -> Nanos {
        fernknot_ownership::presumed_alive_timeout(
            self.contact_timeout,
            self.budget_window,
            self.heartbeat_interval,
        )
    }

    fn consensus_settings(&self, id: MemberId, bootstrap: bool) -> ConsensusSettings {
        let suspect_after = self.suspicion_timeout();
        ConsensusSettings {
            me: Member { id, addr: self.addr, zone: self.zone.clone() },
            founders: self.seeds.clone(),
            bootstrap,
            fault_tolerance: self.tolerated_losses,
            suspicion_timeout: suspect_after,
            heartbeat_interval: suspect_after.times(0.2),
            lease_duration: suspect_after.times(0.8),
        }
    }
}

/// What the host is to do.
#[derive(Debug)]
pub enum Action {
    Reply {
        call: PendingCall,
        reply: Reply,
    },
    /// To another controller, over the connection that was opened to it.
    Send {
        to: SocketAddrV4,
        message: ControllerMessage,
    },
    Notify {
        to: Vec<SubscriberId>,
        message: ControllerToGateway,
    },
    /// Open a connection to a controller; `opened` or `closed` follows.
    Connect {
        to: SocketAddrV4,
    },
    /// Stop opening it.
    AbortConnect {
        to: SocketAddrV4,
    },
    /// Write and sync, then call `stored`.
    Store {
        ticket: WriteId,
        state: PersistentState,
    },
    /// Keep these addresses on disk, in the place of those before.
    StoreKnownPeers {
        addrs: Vec<SocketAddrV4>,
    },
    /// A sentence for the log.
    Log {
        level: Level,
        target: &'static str,
        text: String,
    },
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// Reads, refusals and drains by this controller's own state.
    AnswerFromLocalState,
    /// Few versions are remembered, and what lies past them is refused.
    ForgetHistoryEarly,
    /// The end of a call is taken whatever life it is meant for.
    AcceptAnyIncarnation,
    /// One of the views'.
    Consensus(ViewsPlant),
}

/// Versions remembered under `Plant::ForgetEarly`.
const SEEDED_HISTORY_LENGTH: usize = 2;

/// Who waits for a majority's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuorumWaiter {
    /// A change in hand, by its number.
    ConfigChange(u64),
    ReadConfig(PendingCall),
    Readiness(PendingCall),
    /// A node that says that it leaves.
    NodeDrain(PendingCall),
}

/// One controller.
pub struct Controller {
    settings: ControllerSettings,
    seeded_bug: Option<SeededBug>,
    dispatcher: Option<Dispatcher<Controller, PendingCall>>,
    now: Nanos,
    /// None until the disk has been read.
    consensus: Option<Consensus>,
    consensus_due: Nanos,
    /// When they last asked to be pulled without news.
    consensus_wake: Nanos,
    active: ActiveConfig,
    pending_changes: PendingChanges,
    /// What a majority was asked, for whom, and until when the answer is waited for.
    quorum_reads: BTreeMap<ReadIndexId, (QuorumWaiter, Nanos)>,
    last_read_index: u64,
    registry: Registry,
    /// The registry's version that listeners have been told.
    published_version: u64,
    /// Lives of which the other controllers are to be told: something was first told here, or that they leave.
    unannounced_nodes: BTreeSet<String>,
    assigner: Assigner,
    assignment: Assignment,
    subscribers: Subscribers,
    peers: Peers,
    last_turn: Nanos,
    next_heartbeat: Nanos,
    next_peer_sync: Nanos,
    assignment_stale: bool,
    disk_healthy: bool,
    disk_was_healthy: bool,
    had_lease: bool,
    shutting_down: bool,
    counters: Counters,
    actions: VecDeque<Action>,
}

fn dispatcher() -> Dispatcher<Controller, PendingCall> {
    Dispatcher::default()
        .with_endpoint::<Heartbeat>()
        .with_endpoint::<Deregister>()
        .with_endpoint::<ReplaceConfig>()
        .with_endpoint::<ReadConfig>()
        .with_endpoint::<CheckReadiness>()
        .with_endpoint::<ReadCounters>()
}

impl Controller {
    /// Knows no node and no configuration yet; beats are taken at once, the rest once the disk has been read.
    pub fn new(facts: ControllerSettings, now: Nanos) -> Controller {
        Controller::with_seeded_bug(facts, now, None)
    }

    #[doc(hidden)]
    pub fn with_seeded_bug(facts: ControllerSettings, now: Nanos, plant: Option<SeededBug>) -> Controller {
        let mut peers = Peers::new(facts.addr, facts.suspicion_timeout());
        facts.seeds.iter().for_each(|seed| _ = peers.add(now, *seed));
        Controller {
            dispatcher: Some(dispatcher()),
            now,
            consensus: None,
            consensus_due: now,
            consensus_wake: now,
            active: ActiveConfig::empty(),
            pending_changes: PendingChanges::new(plant == Some(SeededBug::ForgetHistoryEarly)),
            quorum_reads: BTreeMap::new(),
            last_read_index: 0,
            registry: Registry::new(facts.heartbeat_interval, RegistryLimits::default()),
            published_version: 0,
            unannounced_nodes: BTreeSet::new(),
            assigner: Assigner::new(
                facts.heartbeat_interval,
                AssignerSettings { max_gateways: 1024, presumed_alive_timeout: facts.gateway_expiry() },
            ),
            assignment: Assignment::default(),
            subscribers: Subscribers::default(),
            peers,
            last_turn: now,
            next_heartbeat: now,
            next_peer_sync: now,
            assignment_stale: true,
            disk_healthy: true,
            disk_was_healthy: false,
            had_lease: false,
            shutting_down: false,
            counters: Counters::default(),
            actions: VecDeque::new(),
            seeded_bug: plant,
            settings: facts,
        }
    }

    // What comes in.

    /// The disk has been read: what the register kept there, if anything, and the controllers once known. `fresh`
    /// says that the disk was empty; an unreadable one is not.
    pub fn disk_loaded(
        &mut self,
        now: Nanos,
        saved: Option<PersistentState>,
        known: &[SocketAddrV4],
        fresh: bool,
    ) {
        self.advance_clock(now);
        let id = saved.as_ref().map_or(MemberId(self.settings.seed.max(1)), |saved| saved.member_id);
        let facts = self.settings.consensus_settings(id, self.settings.bootstrap && fresh);
        let plant = match self.seeded_bug {
            Some(SeededBug::Consensus(plant)) => Some(plant),
            _ => None,
        };
        let mut views =
            Consensus::with_seeded_bug(self.settings.seed.rotate_left(17), facts, saved, now, plant);
        for addr in known {
            self.peers.add(now, *addr);
            views.add_address(now, *addr);
        }
        self.consensus = Some(views);
        self.consensus_due = now;
    }

    /// A request of a node or an operator. The answer comes as an order, now or later.
    pub fn handle_call(&mut self, now: Nanos, slot: PendingCall, request: &Request) {
        self.advance_clock(now);
        // The desk is lent out: what serves is this very controller.
        let Some(desk) = self.dispatcher.take() else { return };
        if let DispatchOutcome::Ready(reply) = desk.dispatch(self, request, slot) {
            self.actions.push_back(Action::Reply { call: slot, reply });
        }
        self.dispatcher = Some(desk);
    }

    /// A caller has gone without waiting for the answer.
    pub fn cancel_call(&mut self, slot: PendingCall) {
        self.pending_changes.cancel(RequestOrigin::Caller(slot));
        let gone: Vec<ReadIndexId> = self
            .quorum_reads
            .iter()
            .filter(|(_, (waiter, _))| matches!(waiter, QuorumWaiter::ReadConfig(of) | QuorumWaiter::Readiness(of) | QuorumWaiter::NodeDrain(of) if *of == slot))
            .map(|(inquiry, _)| *inquiry)
            .collect();
        gone.into_iter().for_each(|inquiry| _ = self.withdraw_read_index(inquiry));
    }

    /// A word of a listener, or of one who becomes it.
    pub fn handle_gateway_message(&mut self, now: Nanos, ear: SubscriberId, word: GatewayToController) {
        self.advance_clock(now);
        match word {
            GatewayToController::Subscribe { gateway: who, ready, subscription: share, revision: order } => {
                if self.assigner.record_heartbeat(now, who.clone()) {
                    self.assignment_stale = true;
                }
                let listener = Subscriber { gateway: who, ready, subscription: share, sent_revision: order };
                self.add_subscriber(ear, listener);
            }
            GatewayToController::Heartbeat { ready } => {
                let Some(listener) = self.subscribers.by_id.get_mut(&ear) else { return };
                listener.ready = ready;
                let who = listener.gateway.clone();
                self.assigner.record_heartbeat(now, who);
            }
            GatewayToController::RelayedHeartbeats(gateways) => {
                for gateway in gateways.into_iter().take(MAX_ITEMS_PER_MESSAGE) {
                    self.assigner.record_heartbeat(now, gateway);
                }
                self.assignment_stale = true;
            }
            GatewayToController::ShuttingDown => {
                self.subscribers.awaiting_snapshot.remove(&ear);
                let Some(listener) = self.subscribers.by_id.remove(&ear) else { return };
                let life = listener.gateway.incarnation;
                self.assigner.record_shutdown(now, life);
                self.assignment_stale = true;
                self.broadcast_to_peers(|| ControllerMessage::GatewayShutDown { incarnation: life.0 });
            }
            GatewayToController::Inspect(question) => {
                let text = self.inspect(question);
                self.actions.push_back(Action::Notify {
                    to: vec![ear],
                    message: ControllerToGateway::InspectionReport(text),
                });
            }
            GatewayToController::ForceView { lost } => {
                let end = self.force_view(&lost);
                self.actions.push_back(Action::Notify {
                    to: vec![ear],
                    message: ControllerToGateway::ForceViewResult(end),
                });
            }
            // Told by the connection that it came on: see `peer`.
            GatewayToController::Peer(_) => {}
        }
    }

    /// A listener's connection has gone. Its gateway may live: its beats say, not its connection.
    pub fn unsubscribe(&mut self, ear: SubscriberId) {
        self.subscribers.by_id.remove(&ear);
        self.subscribers.awaiting_snapshot.remove(&ear);
    }

    /// A word of the controller that listens at `from`.
    pub fn handle_peer_message(&mut self, now: Nanos, from: SocketAddrV4, word: ControllerMessage) {
        self.advance_clock(now);
        self.peers.record_heard(now, from, None);
        match word {
            ControllerMessage::Identify { zone, .. } => {
                self.add_peer(from);
                self.peers.record_heard(now, from, Some(&zone));
                if self.peers.is_connected(from) {
                    self.send_snapshot_to_peer(from);
                }
            }
            ControllerMessage::Consensus(word) => {
                if let Some(views) = &mut self.consensus {
                    views.handle_message(now, from, word);
                    self.consensus_due = now;
                }
            }
            ControllerMessage::NodeUpdates(facts) => {
                let before = self.registry.version();
                let changed = self.registry.merge_reported(now, &facts);
                self.counters.add("nodes_told", changed as u64);
                // That a node leaves is passed on once by each who hears of it. Guards against a cut one way between
                // the teller and another, where nodes and gateways reach both.
                let news = self.registry.changes_since(before).map_or(Vec::new(), |(_, facts)| facts);
                let leaves = |fact: &&NodeRecord| matches!(fact.state, NodeState::Draining | NodeState::Gone);
                self.unannounced_nodes.extend(news.iter().filter(leaves).map(|fact| fact.id.clone()));
            }
            ControllerMessage::RecentIncarnations(hashes) => {
                let unknown = self.registry.record_peer_heartbeats(now, &hashes);
                if !unknown.is_empty() {
                    self.send_to_peer(from, ControllerMessage::RequestNodes(unknown));
                }
            }
            ControllerMessage::RequestNodes(hashes) => {
                let facts = self.registry.records_of(&hashes);
                self.send_to_peer(from, ControllerMessage::NodeUpdates(facts));
            }
            ControllerMessage::LiveGateways(gateways) => {
                self.assigner.merge_reported(now, &gateways);
                self.assignment_stale = true;
            }
            ControllerMessage::GatewayShutDown { incarnation: life } => {
                self.assigner.record_shutdown(now, fernknot_ownership::IncarnationId(life));
                self.assignment_stale = true;
            }
            ControllerMessage::Assignment(cut) => {
                if cut.fencing_token > self.assignment.fencing_token {
                    self.assigner.learn_assignment(now, &cut);
                    self.publish_assignment(cut.sorted());
                }
            }
            ControllerMessage::ForwardChange { incarnation: life, call, base_epoch: base, body } => {
                self.accept_forwarded_change(from, ForwardedCallId { incarnation: life, call }, base, body);
            }
            ControllerMessage::ChangeOutcome { incarnation: life, call, status, reason: why } => {
                let mine =
                    life == self.settings.seed || self.seeded_bug == Some(SeededBug::AcceptAnyIncarnation);
                if mine && let Some(origin) = self.pending_changes.leader_replied(now, from, call, status) {
                    let ground = QuorumEvidence::from_peer();
                    let end = match status {
                        200 => ChangeOutcome::Committed(ground),
                        412 => ChangeOutcome::VersionConflict(why, ground),
                        _ => ChangeOutcome::StaleEpoch(why, ground),
                    };
                    self.finish_change(origin, end);
                }
            }
            ControllerMessage::KnownControllers(addrs) => {
                for addr in addrs.into_iter().take(MAX_ADVERTISED_CONTROLLERS) {
                    self.add_peer(addr);
                }
            }
        }
    }

    /// The connection to a controller is up.
    pub fn peer_connected(&mut self, now: Nanos, to: SocketAddrV4) {
        self.advance_clock(now);
        self.peers.link_opened(to);
        self.send_to_peer(
            to,
            ControllerMessage::Identify { addr: self.settings.addr, zone: self.settings.zone.clone() },
        );
        let mut known = self.peers.known_addrs();
        known.retain(|addr| *addr != to);
        known.truncate(MAX_ADVERTISED_CONTROLLERS);
        self.send_to_peer(to, ControllerMessage::KnownControllers(known));
        self.send_snapshot_to_peer(to);
        // What is said between the members was dropped meanwhile.
        if let Some(views) = &mut self.consensus {
            views.handle_connected(now);
        }
        self.consensus_due = now;
    }

    /// The connection to a controller has gone, or never came up.
    pub fn peer_disconnected(&mut self, now: Nanos, to: SocketAddrV4) {
        self.advance_clock(now);
        self.peers.link_closed(now, to);
    }

    /// The end of a write.
    pub fn write_completed(&mut self, now: Nanos, ticket: WriteId, ok: bool) {
        self.advance_clock(now);
        if let Some(views) = &mut self.consensus {
            views.handle_write_result(now, ticket, ok);
            self.consensus_due = now;
        }
        if !ok {
            self.counters.add("disk_failures", 1);
        }
    }

    /// How the disk is, as far as the host sees: not well when it hangs or could not be opened.
    pub fn set_disk_health(&mut self, now: Nanos, ok: bool) {
        self.advance_clock(now);
        if self.disk_healthy != ok {
            self.disk_healthy = ok;
            // At a start, the folder is built anew first: that is no trouble.
            match (ok, self.disk_was_healthy) {
                (true, true) => self.log(Level::Info, part::STORAGE, "is well again".into()),
                (true, false) => self.disk_was_healthy = true,
                (false, true) => self.log(Level::Warn, part::STORAGE, "hangs or refuses".into()),
                (false, false) => {}
            }
            self.report_disk_health();
        }
    }

    /// A controller whose disk is not well, or who is about to stop, stores nothing further: the others go on.
    fn report_disk_health(&mut self) {
        let ok = self.disk_healthy && !self.shutting_down;
        if let Some(views) = &mut self.consensus {
            views.set_disk_healthy(self.now, ok);
            self.consensus_due = self.now;
        }
    }

    /// The settings name these controllers now.
    pub fn add_seeds(&mut self, now: Nanos, seeds: &[SocketAddrV4]) {
        self.advance_clock(now);
        seeds.iter().for_each(|seed| self.add_peer(*seed));
    }

    /// The order to stop: the sequencer's part goes to another.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.shutting_down = true;
        self.report_disk_health();
    }

    /// True once nothing here is waited for by others.
    pub fn can_exit(&self) -> bool {
        let alone =
            self.consensus.as_ref().and_then(Consensus::view).is_none_or(|view| view.members.len() < 2);
        let out = self.consensus.as_ref().is_none_or(|views| {
            !views.is_leader() && views.leader().is_none_or(|first| first.addr != self.settings.addr)
        });
        (alone || out) && self.pending_changes.changes.is_empty() && self.quorum_reads.is_empty()
    }

    // What goes out.

    /// The next thing to do, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() {
            self.advance_clock(now);
            self.run_due_work();
        }
        self.actions.pop_front()
    }

    /// When `next` is to be called again though nothing comes in.
    pub fn next_timeout(&self) -> Nanos {
        let mut due = self.next_heartbeat.min(self.next_peer_sync);
        if self.consensus.is_some() {
            due = due.min(self.consensus_due);
        }
        let inquiries = self.quorum_reads.values().map(|(_, until)| *until).min();
        [self.pending_changes.next_timeout(self.now), self.peers.next_timeout(), inquiries]
            .into_iter()
            .flatten()
            .fold(due, Nanos::min)
    }

    /// True where a majority of the members was heard lately: what is held here is no older than that.
    pub fn holds_lease(&self) -> bool {
        self.consensus.as_ref().is_some_and(|views| views.has_lease(self.now))
    }

    /// What has been counted here.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.counters
    }

    fn advance_clock(&mut self, now: Nanos) {
        // A gap of the loop: what was not heard meanwhile says nothing of those who were not heard.
        if now - self.last_turn > self.settings.heartbeat_interval.times(2.0) {
            self.registry.reset_liveness(now);
            self.assigner.reset_liveness(now);
            self.counters.add("was_away", 1);
        }
        self.now = self.now.max(now);
        self.last_turn = self.now;
    }

    fn run_due_work(&mut self) {
        let now = self.now;
        self.drain_consensus();
        self.expire_read_indexes();
        for origin in self.pending_changes.expire(now) {
            self.counters.add("changes_unclear", 1);
            self.finish_change(
                origin,
                ChangeOutcome::Unknown("no end in time; it may be repeated unchanged"),
            );
        }
        if !self.pending_changes.changes.is_empty() {
            self.advance_changes();
            self.drain_consensus();
        }
        if self.next_peer_sync <= now {
            self.next_peer_sync = now + self.settings.heartbeat_interval.times(0.5);
            self.sync_peers();
        }
        self.announce_nodes_to_peers();
        self.publish_node_updates();
        if self.assignment_stale || self.next_heartbeat <= now {
            self.assignment_stale = false;
            self.refresh_assignment();
        }
        if self.next_heartbeat <= now {
            self.next_heartbeat = now + self.settings.subscriber_heartbeat_interval();
            self.send_heartbeats();
        }
        while let Some(what) = self.peers.poll_action(now) {
            self.actions.push_back(match what {
                LinkAction::Connect(to) => Action::Connect { to },
                LinkAction::AbortConnect(to) => Action::AbortConnect { to },
            });
        }
    }

    // The control state.

    fn drain_consensus(&mut self) {
        let now = self.now;
        while let Some(order) = self.consensus.as_mut().and_then(|views| views.poll_action(now)) {
            match order {
                ViewOrder::Send { to, message: word } => {
                    self.add_peer(to);
                    // A word for one who is out of reach is lost: the members say again what counts.
                    self.send_to_peer(to, ControllerMessage::Consensus(word));
                }
                ViewOrder::Persist { write_id: ticket, state: saved } => {
                    self.actions.push_back(Action::Store { ticket, state: saved });
                }
                ViewOrder::Deliver { revision: no, state, .. } => self.config_delivered(no, &state),
                ViewOrder::Committed { change_id: proposal, .. } => {
                    let Some(ground) = QuorumEvidence::from_consensus(&order) else { continue };
                    let taken = |stage: ChangeStage| stage == ChangeStage::Proposed(proposal);
                    let ends: Vec<RequestOrigin> = self
                        .pending_changes
                        .changes
                        .iter()
                        .filter(|change| taken(change.stage))
                        .map(|c| c.origin)
                        .collect();
                    self.pending_changes.changes.retain(|change| !taken(change.stage));
                    ends.into_iter()
                        .for_each(|origin| self.finish_change(origin, ChangeOutcome::Committed(ground)));
                }
                ViewOrder::Rejected { change_id: proposal } => {
                    self.pending_changes.requeue_proposed(now, Some(proposal))
                }
                ViewOrder::ViewActivated { view } => {
                    let names: Vec<String> =
                        view.members.iter().map(|member| member.addr.ip().to_string()).collect();
                    let text = format!("view {} with {} is in force", view.number.0, names.join(", "));
                    self.log(Level::Info, part::CONSENSUS, text);
                    self.pending_changes.requeue_proposed(now, None);
                    view.members.iter().for_each(|member| self.add_peer(member.addr));
                    self.assignment_stale = true;
                }
                ViewOrder::ReadIndexConfirmed { read_index: inquiry } => {
                    let Some(ground) = QuorumEvidence::from_consensus(&order) else { continue };
                    if let Some((waiter, _)) = self.quorum_reads.remove(&inquiry) {
                        self.quorum_confirmed(waiter, ground);
                    }
                }
                ViewOrder::ViewLeft => self.log(Level::Warn, part::CONSENSUS, "in no view any more".into()),
                ViewOrder::IdentityReplaced { .. } => {
                    // Guards against a repeat acknowledged out of a history that an operator has given up.
                    self.active = ActiveConfig::empty();
                    let text = "the disk is an older copy of itself, or closed out: joins as a new member";
                    self.log(Level::Warn, part::CONSENSUS, text.into());
                }
                ViewOrder::Wake { after } => self.consensus_wake = now + after,
            }
        }
        // They say when to be pulled only if that differs from what they said before. Guards against a loop that
        // is never idle, as after each of their words.
        self.consensus_due = self.consensus_wake;
        let lease = self.holds_lease();
        if lease != self.had_lease {
            self.had_lease = lease;
            let text = if lease { "a majority is heard" } else { "no majority is heard" };
            self.log(Level::Info, part::CONSENSUS, text.into());
        }
        if lease && !self.subscribers.awaiting_snapshot.is_empty() {
            self.complete_snapshots();
        }
    }

    fn config_delivered(&mut self, no: Revision, state: &[u8]) {
        let control = match ControlState::decode(state) {
            Ok(control) => control,
            Err(why) => return self.log(Level::Error, part::ROUTING_CONFIG, why.to_string()),
        };
        let plan = match control.body.is_empty() {
            true => None,
            false => match RoutingConfig::parse(&control.body) {
                Ok(plan) => Some(plan),
                Err(faults) => {
                    let why = faults.first().map(ToString::to_string).unwrap_or_default();
                    return self.log(
                        Level::Error,
                        part::ROUTING_CONFIG,
                        format!("read version {}: {why}", control.epoch),
                    );
                }
            },
        };
        if control.epoch != self.active.state.epoch {
            let routes = plan.as_ref().map_or(0, |plan| plan.routes.len());
            let text = format!("version {} is in force, {routes} routes", control.epoch);
            self.log(Level::Info, part::ROUTING_CONFIG, text);
        }
        let body = Arc::from(&control.body[..]);
        self.active = ActiveConfig { revision: no.0, state: control, body, config: plan };
        for (origin, ground) in self.pending_changes.take_committed(&self.active.state) {
            self.finish_change(origin, ChangeOutcome::Committed(ground));
        }
        let order = no.0;
        let behind: Vec<SubscriberId> = self
            .subscribers
            .by_id
            .iter()
            .filter(|(ear, listener)| {
                listener.sent_revision < order && !self.subscribers.awaiting_snapshot.contains(ear)
            })
            .map(|(ear, _)| *ear)
            .collect();
        self.send_config(behind);
    }

    fn send_config(&mut self, to: Vec<SubscriberId>) {
        let Some(plan) = self.active.config.clone().filter(|_| !to.is_empty()) else { return };
        let order = self.active.revision;
        for ear in &to {
            if let Some(listener) = self.subscribers.by_id.get_mut(ear) {
                listener.sent_revision = order;
            }
        }
        self.actions.push_back(Action::Notify {
            to,
            message: ControllerToGateway::Config { revision: order, config: plan },
        });
    }

    fn finish_change(&mut self, origin: RequestOrigin, end: ChangeOutcome) {
        let (status, why) = end.status_and_reason();
        match status {
            200 => self.counters.add("changes_taken", 1),
            503 => {}
            _ => {
                self.counters.add("changes_refused", 1);
                self.log(
                    Level::Info,
                    part::ROUTING_CONFIG,
                    format!("a change was refused with {status}: {why}"),
                );
            }
        }
        match origin {
            RequestOrigin::Caller(slot) => {
                self.actions.push_back(Action::Reply { call: slot, reply: end.into() })
            }
            RequestOrigin::Peer(to, ForwardedCallId { incarnation: life, call }) => {
                self.send_to_peer(
                    to,
                    ControllerMessage::ChangeOutcome { incarnation: life, call, status, reason: why },
                );
            }
        }
    }

    // A majority's word.

    /// Asks a majority of the voters. False where that is of no use: none is in touch, or too many wait.
    fn request_read_index(&mut self, waiter: QuorumWaiter, within: Nanos) -> bool {
        if self.seeded_bug == Some(SeededBug::AnswerFromLocalState) {
            self.quorum_confirmed(waiter, QuorumEvidence::from_seeded_bug());
            return true;
        }
        self.last_read_index += 1;
        let (now, inquiry) = (self.now, ReadIndexId(self.last_read_index));
        self.consensus_due = now;
        let asked = self
            .consensus
            .as_mut()
            .is_some_and(|views| !views.is_partitioned(now) && views.read_index(now, inquiry));
        if asked {
            self.counters.add("inquiries", 1);
            self.quorum_reads.insert(inquiry, (waiter, now + within));
        }
        asked
    }

    fn withdraw_read_index(&mut self, inquiry: ReadIndexId) -> Option<QuorumWaiter> {
        if let Some(views) = &mut self.consensus {
            views.cancel_read_index(inquiry);
        }
        self.quorum_reads.remove(&inquiry).map(|(waiter, _)| waiter)
    }

    /// A majority stood in the view after the call of `waiter` came, and what was taken before is delivered here.
    fn quorum_confirmed(&mut self, waiter: QuorumWaiter, ground: QuorumEvidence) {
        let reply = match waiter {
            QuorumWaiter::ConfigChange(call) => {
                if let Some((origin, end)) =
                    self.pending_changes.resolve_confirmed(call, &self.active.state, ground)
                {
                    self.finish_change(origin, end);
                }
                return;
            }
            QuorumWaiter::ReadConfig(slot) => {
                let newest = match self.active.config {
                    None => ReadConfigOutcome::NeverConfigured(ground),
                    Some(_) => ReadConfigOutcome::Current(self.active.body.clone(), ground),
                };
                (slot, newest.into())
            }
            QuorumWaiter::Readiness(slot) => {
                (slot, ReadinessOutcome((!self.shutting_down).then_some(ground)).into())
            }
            QuorumWaiter::NodeDrain(slot) => (slot, NodeCallOutcome::DrainConfirmed(ground).into()),
        };
        self.actions.push_back(Action::Reply { call: reply.0, reply: reply.1 });
    }

    /// The end of one that nobody confirmed: nothing is said of what is known here.
    fn quorum_unavailable(&mut self, waiter: QuorumWaiter) {
        self.counters.add("inquiries_unconfirmed", 1);
        let (slot, reply) = match waiter {
            // Its own time ends it, or its being abandoned.
            QuorumWaiter::ConfigChange(_) => return,
            QuorumWaiter::ReadConfig(slot) => (slot, ReadConfigOutcome::Unavailable.into()),
            QuorumWaiter::Readiness(slot) => (slot, ReadinessOutcome(None).into()),
            QuorumWaiter::NodeDrain(slot) => (slot, self.reject_drain().into()),
        };
        self.actions.push_back(Action::Reply { call: slot, reply });
    }

    /// Those whose time is over; all, and the callers' changes, where no majority is in touch any more, so that they
    /// go on to another controller at once.
    fn expire_read_indexes(&mut self) {
        let now = self.now;
        if self.quorum_reads.is_empty() && self.pending_changes.changes.is_empty() {
            return;
        }
        let cut_off = self.lacks_quorum();
        let over = |(_, (_, until)): &(&ReadIndexId, &(QuorumWaiter, Nanos))| cut_off || *until <= now;
        let over: Vec<ReadIndexId> =
            self.quorum_reads.iter().filter(over).map(|(inquiry, _)| *inquiry).collect();
        for inquiry in over {
            if let Some(waiter) = self.withdraw_read_index(inquiry) {
                self.quorum_unavailable(waiter);
            }
        }
        if cut_off {
            for origin in self.pending_changes.abandon_local() {
                self.counters.add("changes_unclear", 1);
                self.finish_change(origin, ChangeOutcome::Unknown(NO_QUORUM_REASON));
            }
        }
    }

    /// Listened for long enough, and no majority of the voters is in touch.
    fn lacks_quorum(&self) -> bool {
        self.consensus.as_ref().is_some_and(|views| views.is_partitioned(self.now))
    }

    /// A change that came to another controller. What it has checked is checked again: a word may be garbled in ways
    /// that no sum of the transport finds, and only what is sound may go into the order.
    fn accept_forwarded_change(
        &mut self,
        from: SocketAddrV4,
        call: ForwardedCallId,
        base: u64,
        body: Vec<u8>,
    ) {
        let origin = RequestOrigin::Peer(from, call);
        let epoch = match RoutingConfig::parse(&body) {
            Ok(plan) => plan.epoch,
            Err(_) => {
                return self
                    .finish_change(origin, ChangeOutcome::Unknown("garbled on its way to the sequencer"));
            }
        };
        let until = self.now + CALL_TIMEOUT.times(LEADER_TIMEOUT_SHARE);
        let what = (base, epoch, json_digest(&body));
        if !self.pending_changes.admit(self.now, origin, what, body, until) {
            self.finish_change(origin, ChangeOutcome::Unknown("too many changes at once"));
        }
    }

    fn advance_changes(&mut self) {
        let now = self.now;
        let Some(views) = &self.consensus else { return };
        let leads = views.is_leader();
        let first = views.leader().map(|first| first.addr);
        let sequencer = first.filter(|first| *first != self.settings.addr && self.peers.is_connected(*first));
        self.pending_changes.requeue_unless_forwarded_to(sequencer);
        let mut ends = Vec::new();
        let mut says = Vec::new();
        let mut doubts = Vec::new();
        let life = self.settings.seed;
        let planted = self.pending_changes.rejects_forgotten;
        let mut proposes = None;
        let mut flies = self
            .pending_changes
            .changes
            .iter()
            .any(|change| matches!(change.stage, ChangeStage::Proposed(_)));
        for change in &mut self.pending_changes.changes {
            if change.stage != ChangeStage::Queued || change.not_before > now {
                continue;
            }
            let verdict = assess_change(&self.active.state, change, planted);
            if let ChangeAssessment::AlreadyCommitted(ground) = verdict {
                ends.push((change.id, change.origin, ChangeOutcome::Committed(ground)));
            } else if leads && !flies {
                match verdict {
                    ChangeAssessment::Propose => {
                        flies = true;
                        change.stage = ChangeStage::Proposed(change.id);
                        proposes = Some((
                            change.id,
                            change.epoch,
                            change.base_epoch,
                            change.digest,
                            change.body.clone(),
                        ));
                    }
                    // Only a majority may say so: this one may be cut off, and others have gone on.
                    _ => {
                        change.stage = ChangeStage::AwaitingQuorum;
                        doubts.push((change.id, change.deadline));
                    }
                }
            } else if let (Some(to), RequestOrigin::Caller(_)) = (sequencer, change.origin) {
                let (call, base, body) = (change.id, change.base_epoch, change.body.clone());
                says.push((
                    to,
                    ControllerMessage::ForwardChange { incarnation: life, call, base_epoch: base, body },
                ));
                change.stage = ChangeStage::Forwarded(to);
            } else if let (false, RequestOrigin::Peer(..)) = (leads, change.origin) {
                ends.push((change.id, change.origin, ChangeOutcome::Unknown("no sequencer here")));
            }
        }
        self.pending_changes.changes.retain(|change| ends.iter().all(|(call, _, _)| *call != change.id));
        for (_, origin, end) in ends {
            self.finish_change(origin, end);
        }
        for (to, word) in says {
            self.send_to_peer(to, word);
        }
        for (call, until) in doubts {
            if !self.request_read_index(QuorumWaiter::ConfigChange(call), until - now) {
                self.pending_changes.requeue(now, call);
            }
        }
        if let Some((call, epoch, base, digest, body)) = proposes {
            let (taken, control) = (CommittedVersion { epoch, base_epoch: base, digest }, &self.active.state);
            let state = match self.seeded_bug {
                Some(SeededBug::ForgetHistoryEarly) => {
                    control.with_bounded_history(SEEDED_HISTORY_LENGTH, taken, body)
                }
                _ => control.with_committed(taken, body),
            };
            let state = state.encode();
            let order = Revision(self.active.revision);
            if let Some(views) = &mut self.consensus {
                views.propose(now, call, order, state);
            }
        }
    }

    // The other controllers.

    fn send_to_peer(&mut self, to: SocketAddrV4, word: ControllerMessage) {
        if self.peers.is_connected(to) {
            self.actions.push_back(Action::Send { to, message: word });
        }
    }

    fn broadcast_to_peers(&mut self, word: impl Fn() -> ControllerMessage) {
        for to in self.peers.connected() {
            self.send_to_peer(to, word());
        }
    }

    /// All that is known of nodes and gateways, to one who may know little.
    fn send_snapshot_to_peer(&mut self, to: SocketAddrV4) {
        let (_, facts) = self.registry.snapshot();
        for facts in facts.chunks(MAX_ITEMS_PER_MESSAGE) {
            self.send_to_peer(to, ControllerMessage::NodeUpdates(facts.to_vec()));
        }
        if self.assignment.fencing_token != FencingToken::default() {
            let cut = self.assignment.clone();
            self.send_to_peer(to, ControllerMessage::Assignment(cut));
        }
    }

    fn add_peer(&mut self, addr: SocketAddrV4) {
        if !self.peers.add(self.now, addr) {
            return;
        }
        if let Some(views) = &mut self.consensus {
            views.add_address(self.now, addr);
            self.consensus_due = self.now;
        }
        self.log(Level::Info, part::CONNECTIONS, format!("a controller may be at {addr}"));
        let addrs = self.peers.known_addrs();
        self.actions.push_back(Action::StoreKnownPeers { addrs });
    }

    fn sync_peers(&mut self) {
        let now = self.now;
        let heard = self.registry.take_unreported(now);
        let lives = self.assigner.take_unreported(now);
        let gateways = self.assigner.records_of(&lives);
        let up = self.peers.connected();
        for to in &up {
            for heard in heard.chunks(MAX_ITEMS_PER_MESSAGE) {
                self.send_to_peer(*to, ControllerMessage::RecentIncarnations(heard.to_vec()));
            }
            if !gateways.is_empty() {
                self.send_to_peer(*to, ControllerMessage::LiveGateways(gateways.clone()));
            }
        }
        if !self.holds_lease() {
            // Who beats at the others is not known here: nobody is lost for it.
            self.registry.reset_liveness(now);
        }
        let lost = self.registry.expire(now);
        if lost > 0 {
            self.counters.add("nodes_lost", lost as u64);
            self.log(
                Level::Info,
                part::NODES,
                format!("{lost} fell silent, {} are up", self.registry.up_count()),
            );
        }
    }

    /// What nodes said here, and that they leave, goes to the other controllers at once.
    fn announce_nodes_to_peers(&mut self) {
        if self.unannounced_nodes.is_empty() {
            return;
        }
        let hashes: Vec<u64> =
            std::mem::take(&mut self.unannounced_nodes).iter().map(|id| incarnation_hash(id)).collect();
        let facts = self.registry.records_of(&hashes);
        self.broadcast_to_peers(|| ControllerMessage::NodeUpdates(facts.clone()));
    }

    // The gateways.

    /// Guards against a gateway that starts while this controller is cut off, and would be ready with an old
    /// configuration: without a majority it hears of nodes, and that it had better ask another.
    fn add_subscriber(&mut self, ear: SubscriberId, listener: Subscriber) {
        self.subscribers.by_id.insert(ear, listener);
        if self.holds_lease() {
            return self.send_snapshot(ear);
        }
        self.subscribers.awaiting_snapshot.insert(ear);
        self.send_nodes(ear);
        let pulse = self.heartbeat_message();
        self.actions.push_back(Action::Notify { to: vec![ear], message: pulse });
    }

    /// Those who were told in part get the rest, now that a majority is heard.
    fn complete_snapshots(&mut self) {
        for ear in std::mem::take(&mut self.subscribers.awaiting_snapshot) {
            if self.subscribers.by_id.contains_key(&ear) {
                self.send_snapshot(ear);
            }
        }
    }

    fn send_snapshot(&mut self, ear: SubscriberId) {
        if self
            .subscribers
            .by_id
            .get(&ear)
            .is_some_and(|listener| listener.sent_revision < self.active.revision)
        {
            self.send_config(vec![ear]);
        }
        self.send_nodes(ear);
        let pulse = self.heartbeat_message();
        self.actions.extend(
            [ControllerToGateway::SnapshotComplete, pulse]
                .map(|word| Action::Notify { to: vec![ear], message: word }),
        );
    }

    fn send_nodes(&mut self, ear: SubscriberId) {
        let Some(listener) = self.subscribers.by_id.get(&ear) else { return };
        let (_, facts) = self.registry.snapshot();
        let facts = listener.select_records(&facts);
        let cut = (self.assignment.fencing_token != FencingToken::default())
            .then(|| ControllerToGateway::Assignment(self.assignment.clone()));
        let words = cut.into_iter().chain([ControllerToGateway::NodeUpdates(facts)]);
        self.actions.extend(words.map(|word| Action::Notify { to: vec![ear], message: word }));
    }

    fn publish_node_updates(&mut self) {
        if self.registry.version() == self.published_version {
            return;
        }
        let (version, facts) =
            self.registry.changes_since(self.published_version).unwrap_or_else(|| self.registry.snapshot());
        self.published_version = version;
        if facts.is_empty() {
            return;
        }
        let all: Vec<SubscriberId> = self
            .subscribers
            .by_id
            .iter()
            .filter(|(_, listener)| listener.wants_all_services())
            .map(|(ear, _)| *ear)
            .collect();
        for (ear, listener) in
            self.subscribers.by_id.iter().filter(|(_, listener)| !listener.wants_all_services())
        {
            let share = listener.select_records(&facts);
            if !share.is_empty() {
                self.actions.push_back(Action::Notify {
                    to: vec![*ear],
                    message: ControllerToGateway::NodeUpdates(share),
                });
            }
        }
        if !all.is_empty() {
            self.actions
                .push_back(Action::Notify { to: all, message: ControllerToGateway::NodeUpdates(facts) });
        }
    }

    fn refresh_assignment(&mut self) {
        let Some(views) = &self.consensus else { return };
        // Who is cut off from the majority must not cut: its fence would be refused, its count be wrong.
        let leads = views.is_leader() && views.has_lease(self.now);
        let view = views.view().map_or(0, |view| view.number.0 as u32);
        if let Some(cut) = self.assigner.reassign(self.now, view, leads) {
            self.broadcast_to_peers(|| ControllerMessage::Assignment(cut.clone()));
            self.publish_assignment(cut);
        }
    }

    fn publish_assignment(&mut self, cut: Assignment) {
        let text = format!(
            "cut {}.{} has {} gateways of {} that may be alive",
            cut.fencing_token.view(),
            cut.fencing_token.count(),
            cut.gateways.len(),
            cut.presumed_alive
        );
        self.log(Level::Info, part::OWNERSHIP, text);
        self.assignment = cut;
        let to = self.subscribers.ids();
        if !to.is_empty() {
            self.actions.push_back(Action::Notify {
                to,
                message: ControllerToGateway::Assignment(self.assignment.clone()),
            });
        }
    }

    fn heartbeat_message(&mut self) -> ControllerToGateway {
        let mut controllers = vec![Told { addr: self.settings.addr, zone: self.settings.zone.clone() }];
        let view = self.consensus.as_ref().and_then(Consensus::view);
        let members = view.into_iter().flat_map(|view| &view.members);
        let named = members.map(|member| (member.addr, member.zone.clone()));
        let up = self.peers.connected();
        let heard = up.iter().filter_map(|addr| Some((*addr, self.peers.zone(*addr)?.to_string())));
        for (addr, zone) in named.chain(heard) {
            if controllers.len() < MAX_ADVERTISED_CONTROLLERS
                && controllers.iter().all(|known| known.addr != addr)
            {
                controllers.push(Told { addr, zone });
            }
        }
        let lease = self.holds_lease() && !self.shutting_down;
        let (order, fence) = (self.active.revision, self.assignment.fencing_token.0);
        ControllerToGateway::Heartbeat {
            sender: self.settings.seed,
            revision: order,
            holds_lease: lease,
            hops: 0,
            fencing_token: fence,
            controllers: controllers,
        }
    }

    fn send_heartbeats(&mut self) {
        let to = self.subscribers.ids();
        if !to.is_empty() {
            let word = self.heartbeat_message();
            self.actions.push_back(Action::Notify { to, message: word });
        }
    }

    // Words for people.

    fn log(&mut self, level: Level, part: &'static str, text: String) {
        self.actions.push_back(Action::Log { level, target: part, text });
    }

    /// A view by an operator's order.
    fn force_view(&mut self, lost: &[SocketAddrV4]) -> Result<u64, String> {
        let Some(views) = &mut self.consensus else { return Err("the disk has not been read yet".into()) };
        let end = views.force_view(self.now, lost);
        self.consensus_due = self.now;
        let lost: Vec<String> = lost.iter().map(ToString::to_string).collect();
        let text = match &end {
            Ok(no) => format!("an operator forces view {}: {} are lost", no.0, lost.join(", ")),
            Err(why) => format!("a forced view without {} is refused: {why}", lost.join(", ")),
        };
        self.log(Level::Warn, part::CONSENSUS, text);
        end.map(|no| no.0).map_err(|why| why.to_string())
    }

    fn refresh_gauges(&mut self) {
        let view = self.consensus.as_ref().and_then(Consensus::view).map_or(0, |view| view.number.0);
        let borne = self.consensus.as_ref().map_or(0, |views| views.status().remaining_fault_tolerance);
        let levels = [
            ("view", view),
            ("epoch", self.active.state.epoch),
            ("order", self.active.revision),
            ("lease", self.holds_lease() as u64),
            ("losses_borne", borne as u64),
            ("nodes_up", self.registry.up_count() as u64),
            ("listeners", self.subscribers.by_id.len() as u64),
            ("peers_up", self.peers.connected().len() as u64),
            ("fence", self.assignment.fencing_token.0),
            ("disk_ok", self.disk_healthy as u64),
        ];
        levels.into_iter().for_each(|(name, level)| self.counters.set(name, level));
    }

    fn inspect(&mut self, question: InspectionTopic) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        match question {
            InspectionTopic::Nodes => {
                let (version, mut facts) = self.registry.snapshot();
                facts.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
                let _ = writeln!(out, "{} nodes up, change {version}", self.registry.up_count());
                for fact in facts {
                    let NodeRecord { id, service, addr, zone, state, .. } = fact;
                    let _ = writeln!(out, "{service} {id} {addr} {zone} {state:?}");
                }
            }
            InspectionTopic::Views => {
                let standing = self.consensus.as_ref().map(Consensus::status);
                let heard = self.holds_lease();
                out = crate::standing::view_report(
                    standing.as_ref(),
                    self.active.revision,
                    self.settings.tolerated_losses,
                    heard,
                );
            }
            InspectionTopic::Relays | InspectionTopic::Ownership => {
                let (cut, fence) = (&self.assignment, self.assignment.fencing_token);
                let _ = writeln!(
                    out,
                    "cut {}.{}, {} may be alive",
                    fence.view(),
                    fence.count(),
                    cut.presumed_alive
                );
                for gateway in &cut.gateways {
                    let _ = writeln!(out, "{:016x} {} {}", gateway.incarnation.0, gateway.addr, gateway.zone);
                }
            }
            InspectionTopic::Counters => {
                self.refresh_gauges();
                out = self.counters.to_json();
            }
        }
        out
    }
}

impl Handler<Heartbeat, PendingCall> for Controller {
    fn handle(&mut self, call: Heartbeat, slot: PendingCall) -> Option<NodeCallOutcome> {
        let Heartbeat { id, heartbeat: beat } = call;
        self.counters.add("beats", 1);
        let state = match beat.state {
            Beats::Ready => NodeState::Ready,
            Beats::Draining => NodeState::Draining,
        };
        let fact = NodeRecord {
            id,
            service: beat.service,
            addr: beat.address,
            zone: beat.zone,
            state,
            capacity: beat.capacity,
            warm_up_left_ms: beat.warm_up_left_ms,
            sequence: beat.sequence,
        };
        if state == NodeState::Draining && self.lacks_quorum() {
            return Some(self.reject_drain());
        }
        let id = fact.id.clone();
        match self.record_node(id.clone(), |registry, now| registry.record_heartbeat(now, fact)) {
            NodeCallOutcome::Recorded if state == NodeState::Draining => self.confirm_drain(id, slot),
            // It lives, whoever hears it; but the others must hear it too. Guards against nodes that beat on where a
            // controller is cut off from its like alone, and are lost to the majority and its gateways.
            NodeCallOutcome::Recorded if self.lacks_quorum() => {
                Some(NodeCallOutcome::Unavailable(NO_QUORUM_REASON))
            }
            heard => Some(heard),
        }
    }
}

impl Handler<Deregister, PendingCall> for Controller {
    fn handle(&mut self, call: Deregister, slot: PendingCall) -> Option<NodeCallOutcome> {
        self.counters.add("leaves", 1);
        if self.lacks_quorum() {
            return Some(self.reject_drain());
        }
        let id = call.id;
        match self.record_node(id.clone(), |registry, now| registry.deregister(now, &id)) {
            NodeCallOutcome::Recorded => self.confirm_drain(id, slot),
            heard => Some(heard),
        }
    }
}

impl Controller {
    /// The word that a node leaves must reach all gateways in touch, and who is cut off can't promise that. It goes
    /// to the other controllers first and the question after it, on the same connections: a majority that answers has
    /// the word. What is noted here meanwhile is true whoever hears of it. It is told whether it is news here or not:
    /// guards against a word that came here from one who could not tell all, and was refused there.
    fn confirm_drain(&mut self, id: String, slot: PendingCall) -> Option<NodeCallOutcome> {
        self.unannounced_nodes.insert(id);
        self.announce_nodes_to_peers();
        if self.request_read_index(QuorumWaiter::NodeDrain(slot), CALL_TIMEOUT) {
            return None;
        }
        Some(self.reject_drain())
    }

    /// The node is to tell another controller.
    fn reject_drain(&mut self) -> NodeCallOutcome {
        self.counters.add("leaves_refused", 1);
        NodeCallOutcome::Unavailable(NO_QUORUM_REASON)
    }

    fn record_node(
        &mut self,
        id: String,
        note: impl FnOnce(&mut Registry, Nanos) -> CallOutcome,
    ) -> NodeCallOutcome {
        let noted = note(&mut self.registry, self.now);
        if noted.is_update() {
            self.unannounced_nodes.insert(id);
        }
        match noted {
            CallOutcome::Rejected => NodeCallOutcome::Unavailable("no room for another node"),
            _ => NodeCallOutcome::Recorded,
        }
    }
}

impl Handler<ReplaceConfig, PendingCall> for Controller {
    fn handle(&mut self, call: ReplaceConfig, slot: PendingCall) -> Option<ChangeOutcome> {
        self.counters.add("changes", 1);
        if let Some(ground) = QuorumEvidence::from_history(&self.active.state, call.epoch, call.digest) {
            return Some(ChangeOutcome::Committed(ground));
        }
        if self.shutting_down {
            return Some(ChangeOutcome::Unknown("about to stop"));
        }
        if self.lacks_quorum() {
            return Some(ChangeOutcome::Unknown(NO_QUORUM_REASON));
        }
        let (origin, until) = (RequestOrigin::Caller(slot), self.now + CALL_TIMEOUT);
        let what = (call.base_epoch, call.epoch, call.digest);
        let taken = self.pending_changes.admit(self.now, origin, what, call.body, until);
        (!taken).then_some(ChangeOutcome::Unknown("too many changes at once"))
    }
}

impl Handler<ReadConfig, PendingCall> for Controller {
    fn handle(&mut self, _: ReadConfig, slot: PendingCall) -> Option<ReadConfigOutcome> {
        let asked = self.request_read_index(QuorumWaiter::ReadConfig(slot), CALL_TIMEOUT);
        (!asked).then_some(ReadConfigOutcome::Unavailable)
    }
}

impl Handler<CheckReadiness, PendingCall> for Controller {
    fn handle(&mut self, _: CheckReadiness, slot: PendingCall) -> Option<ReadinessOutcome> {
        let asked =
            !self.shutting_down && self.request_read_index(QuorumWaiter::Readiness(slot), CALL_TIMEOUT);
        (!asked).then_some(ReadinessOutcome(None))
    }
}

impl Handler<ReadCounters, PendingCall> for Controller {
    fn handle(&mut self, _: ReadCounters, _: PendingCall) -> Option<CountersReport> {
        self.refresh_gauges();
        Some(CountersReport(self.counters.to_json()))
    }
}
