//! State of a controller, and the operations shared by its handlers.

use crate::action::{Action, ActionQueue, PendingCall};
use crate::active_config::ActiveConfig;
use crate::calls::{CheckReadiness, Deregister, Heartbeat, ReadConfig, ReadCounters, ReplaceConfig};
use crate::consensus_driver::ConsensusDriver;
use crate::counters as counter;
use crate::node_registry::NodeRegistry;
use crate::ownership::Ownership;
use crate::peers::Peers;
use crate::pending_changes::PendingChanges;
use crate::read_index::PendingReadIndexes;
use crate::seeded_bug::SeededBug;
use crate::settings::ControllerSettings;
use crate::subscribers::Subscribers;
use crate::timers::Timers;
use crate::usage::Usage;
use fernknot::interface::Nanos;
use fernknot_http_api::Dispatcher;
use fernknot_rpc::ControllerMessage;
use fernknot_telemetry::{Counters, component};
use log::Level;
use std::net::SocketAddrV4;

/// One member of the control plane: replicates the routing configuration with the other controllers, tracks nodes by
/// their heartbeats, and publishes both to the gateways.
///
/// It performs no I/O and reads no clock. Its host passes it inputs with the current time, and polls it for
/// [`Action`]s by [`poll_action`](Controller::poll_action) until none are left.
pub struct Controller {
    pub(super) settings: ControllerSettings,
    pub(super) seeded_bug: Option<SeededBug>,
    /// None only while a call is being dispatched to this controller.
    pub(super) dispatcher: Option<Dispatcher<Controller, PendingCall>>,
    pub(super) timers: Timers,
    pub(super) consensus: ConsensusDriver,
    pub(super) active_config: ActiveConfig,
    /// Whether the state that was delivered last can't be read, so that the active configuration is an older one.
    pub(super) is_newest_state_unreadable: bool,
    pub(super) changes: PendingChanges,
    pub(super) read_indexes: PendingReadIndexes,
    pub(super) nodes: NodeRegistry,
    pub(super) ownership: Ownership,
    pub(super) subscribers: Subscribers,
    /// None without the role of usage reporter.
    pub(super) usage: Option<Usage>,
    pub(super) peers: Peers,
    pub(super) disk: DiskHealth,
    pub(super) shutting_down: bool,
    pub(super) counters: Counters,
    pub(super) actions: ActionQueue,
}

/// Health of the disk, as the host last reported it.
pub(super) struct DiskHealth {
    pub(super) is_healthy: bool,
    /// Whether the disk has become healthy again before. The first time ends the rebuilding of the directory at
    /// start, so changes of health up to then are not logged.
    pub(super) has_recovered: bool,
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
    /// Creates a controller without nodes and configuration. Heartbeats of ready nodes are accepted at once; replies
    /// that need a majority wait or are a 503 until the host has called [`disk_loaded`](Controller::disk_loaded).
    pub fn new(settings: ControllerSettings, now: Nanos) -> Controller {
        Controller::with_seeded_bug(settings, now, None)
    }

    /// Like [`new`](Controller::new), with a bug that a checker must find.
    #[doc(hidden)]
    pub fn with_seeded_bug(settings: ControllerSettings, now: Nanos, bug: Option<SeededBug>) -> Controller {
        let mut peers = Peers::new(settings.addr, settings.suspicion_timeout());
        settings.seeds.iter().for_each(|seed| _ = peers.add(now, *seed));
        let reporter = settings.usage_reporting.clone();
        let usage = reporter.map(|reporter| Usage::new(reporter, settings.contact_timeout, settings.seed));
        let subscriber_heartbeat_interval = settings.subscriber_heartbeat_interval();
        Controller {
            dispatcher: Some(dispatcher()),
            timers: Timers::new(now, settings.heartbeat_interval, subscriber_heartbeat_interval),
            consensus: ConsensusDriver::new(now),
            active_config: ActiveConfig::empty(),
            is_newest_state_unreadable: false,
            changes: PendingChanges::new(bug == Some(SeededBug::ForgetHistoryEarly)),
            read_indexes: PendingReadIndexes::default(),
            nodes: NodeRegistry::new(settings.heartbeat_interval),
            ownership: Ownership::new(settings.heartbeat_interval, settings.gateway_expiry()),
            subscribers: Subscribers::default(),
            usage,
            peers,
            disk: DiskHealth { is_healthy: true, has_recovered: false },
            shutting_down: false,
            counters: Counters::default(),
            actions: ActionQueue::default(),
            seeded_bug: bug,
            settings,
        }
    }

    /// Advances the clock. After a stall of the event loop, the times without a heartbeat of all nodes and gateways
    /// restart, because heartbeats may have been missed.
    pub(super) fn advance_clock(&mut self, now: Nanos) {
        if self.timers.advance(now) {
            self.nodes.reset_liveness(now);
            self.ownership.reset_liveness(now);
            self.counters.add(counter::LOOP_GAPS, 1);
        }
    }

    pub(super) fn now(&self) -> Nanos {
        self.timers.now()
    }

    /// Whether a majority of the view's voters has answered heartbeats within the lease duration, so that the active
    /// configuration is no older than that. False if the newest state can't be read.
    pub fn holds_lease(&self) -> bool {
        self.consensus.has_lease(self.now()) && !self.is_newest_state_unreadable
    }

    /// Whether no majority of the voters is reachable. False in the first suspicion timeout after a start or a stall.
    pub(super) fn is_partitioned(&self) -> bool {
        self.consensus.is_partitioned(self.now())
    }

    /// Sends a message to a controller if a connection to it is open; otherwise the message is dropped.
    pub(super) fn send_to_peer(&mut self, to: SocketAddrV4, message: ControllerMessage) {
        if self.peers.is_connected(to) {
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Sends a message to every controller to which a connection is open.
    pub(super) fn broadcast_to_peers(&mut self, message: impl Fn() -> ControllerMessage) {
        for to in self.peers.connected() {
            self.actions.push(Action::Send { to, message: message() });
        }
    }

    /// Adds an address at which another controller may be reachable.
    pub(super) fn add_peer(&mut self, addr: SocketAddrV4) {
        let now = self.now();
        if !self.peers.add(now, addr) {
            return;
        }
        self.consensus.add_address(now, addr);
        self.actions.log(
            Level::Info,
            component::CONNECTIONS,
            format!("learned the controller address {addr}; connecting"),
        );
        let addrs = self.peers.known_addrs();
        self.actions.push(Action::StoreKnownPeers { addrs });
    }
}
