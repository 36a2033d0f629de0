//! The state of a controller, one field a concern, and the operations that its handlers share.

use crate::action::{Action, ActionQueue, PendingCall};
use crate::calls::{CheckReadiness, Deregister, Heartbeat, ReadConfig, ReadCounters, ReplaceConfig};
use crate::consensus_driver::ConsensusDriver;
use crate::control_state::ActiveConfig;
use crate::counters as counter;
use crate::node_registry::NodeRegistry;
use crate::ownership::Ownership;
use crate::peers::Peers;
use crate::pending_changes::PendingChanges;
use crate::read_index::PendingReads;
use crate::seeded_bug::SeededBug;
use crate::settings::ControllerSettings;
use crate::subscribers::Subscribers;
use crate::timers::Timers;
use fernknot::interface::Nanos;
use fernknot_http_api::Dispatcher;
use fernknot_rpc::ControllerMessage;
use fernknot_telemetry::{Counters, part};
use log::Level;
use std::net::SocketAddrV4;

/// One member of the control plane: keeps the routing configuration together with the other controllers, knows the
/// nodes by their heartbeats, and publishes both to the gateways.
///
/// It has no socket, file or clock. Its host hands it inputs, each with the time, and takes [`Action`]s by
/// [`poll_action`](Controller::poll_action) until there are none.
pub struct Controller {
    pub(super) settings: ControllerSettings,
    pub(super) seeded_bug: Option<SeededBug>,
    /// None only while it dispatches a call to this very controller.
    pub(super) dispatcher: Option<Dispatcher<Controller, PendingCall>>,
    pub(super) timers: Timers,
    pub(super) consensus: ConsensusDriver,
    pub(super) active_config: ActiveConfig,
    pub(super) changes: PendingChanges,
    pub(super) reads: PendingReads,
    pub(super) nodes: NodeRegistry,
    pub(super) ownership: Ownership,
    pub(super) subscribers: Subscribers,
    pub(super) peers: Peers,
    pub(super) disk: DiskHealth,
    pub(super) shutting_down: bool,
    pub(super) counters: Counters,
    pub(super) actions: ActionQueue,
}

/// What the host last said of the disk.
pub(super) struct DiskHealth {
    pub(super) is_healthy: bool,
    /// It has been healthy before, after an interruption.
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
    /// Knows no node and no configuration yet. Heartbeats are taken at once, the rest once the host has called
    /// [`disk_loaded`](Controller::disk_loaded).
    pub fn new(settings: ControllerSettings, now: Nanos) -> Controller {
        Controller::with_seeded_bug(settings, now, None)
    }

    /// The same, with a bug that a checker must find.
    #[doc(hidden)]
    pub fn with_seeded_bug(settings: ControllerSettings, now: Nanos, bug: Option<SeededBug>) -> Controller {
        let mut peers = Peers::new(settings.addr, settings.suspicion_timeout());
        settings.seeds.iter().for_each(|seed| _ = peers.add(now, *seed));
        let subscriber_heartbeat_interval = settings.subscriber_heartbeat_interval();
        Controller {
            dispatcher: Some(dispatcher()),
            timers: Timers::new(now, settings.heartbeat_interval, subscriber_heartbeat_interval),
            consensus: ConsensusDriver::new(now),
            active_config: ActiveConfig::empty(),
            changes: PendingChanges::new(bug == Some(SeededBug::ForgetHistoryEarly)),
            reads: PendingReads::default(),
            nodes: NodeRegistry::new(settings.heartbeat_interval),
            ownership: Ownership::new(settings.heartbeat_interval, settings.gateway_expiry()),
            subscribers: Subscribers::default(),
            peers,
            disk: DiskHealth { is_healthy: true, has_recovered: false },
            shutting_down: false,
            counters: Counters::default(),
            actions: ActionQueue::default(),
            seeded_bug: bug,
            settings,
        }
    }

    /// Moves the clock on. After a gap of the loop, what was not heard meanwhile says nothing of those who were not
    /// heard.
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

    /// Whether a majority of the members was heard lately: what is known here is no older than that.
    pub fn holds_lease(&self) -> bool {
        self.consensus.has_lease(self.now())
    }

    /// Whether no majority of the voters is reachable, after having listened for long enough.
    pub(super) fn is_partitioned(&self) -> bool {
        self.consensus.is_partitioned(self.now())
    }

    /// Sends to a controller, if a connection to it is up; otherwise the message is lost.
    pub(super) fn send_to_peer(&mut self, to: SocketAddrV4, message: ControllerMessage) {
        if self.peers.is_connected(to) {
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Sends to every controller to which a connection is up.
    pub(super) fn broadcast_to_peers(&mut self, message: impl Fn() -> ControllerMessage) {
        for to in self.peers.connected() {
            self.actions.push(Action::Send { to, message: message() });
        }
    }

    /// Another controller may be reached at this address.
    pub(super) fn add_peer(&mut self, addr: SocketAddrV4) {
        let now = self.now();
        if !self.peers.add(now, addr) {
            return;
        }
        self.consensus.add_address(now, addr);
        self.actions.log(Level::Info, part::CONNECTIONS, format!("a controller may be at {addr}"));
        let addrs = self.peers.known_addrs();
        self.actions.push(Action::StoreKnownPeers { addrs });
    }
}
